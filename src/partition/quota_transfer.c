/* Transfers of a team's quota share between partitions. The core's lock is held by the
 * caller throughout, except in handle_write_outcome, which takes it. */
#include "partition/quota_transfer.h"

#include "scheduler/reservation.h"
#include "util/log.h"

#include <string.h>

/* Seconds after which a write whose outcome is unknown is repeated. */
static const double RETRY_S = 0.5;

/* Amounts of CPUs or GPUs below this are rounding errors. */
static const double EPSILON = 1e-6;

enum { NO_TEAM = -1 };

enum { OWNER_KEY_SIZE = 32 }; /* bytes */

/* The key of the team's record; freed by the caller. The name is escaped, because it may
 * have spaces and a key may not. */
static char *record_key(const struct lmn_core *core, int team)
{
    g_autofree char *name =
        g_uri_escape_string(core->settings->teams[team].name, NULL, FALSE);

    return g_strdup_printf("q/%s", name);
}

/* The index of the team whose record has the key; NO_TEAM: none. */
static int find_team_by_key(const struct lmn_core *core, const char *key)
{
    for (size_t i = 0; i < core->settings->team_count; i++) {
        g_autofree char *team_key = record_key(core, (int)i);
        if (!strcmp(team_key, key))
            return (int)i;
    }
    return NO_TEAM;
}

/* Reads the share from the list node and sets `node` to the next one. If the list has
 * ended, the share is 0. */
static void read_share(const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value **node, double *share)
{
    *share = 0;
    if (!*node)
        return;
    lmn_cbor_get_number(*node, share);
    *node = lmn_cbor_next(document, *node);
}

static void read_shares(struct lmn_core *core, int team,
                        const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *value, uint64_t revision)
{
    const struct lmn_cbor_value *cpus =
        lmn_cbor_first_child(document, lmn_cbor_get(document, value, "cpus"));
    const struct lmn_cbor_value *gpus =
        lmn_cbor_first_child(document, lmn_cbor_get(document, value, "gpus"));

    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition_quota *quota = &core->partitions[i].quota;
        read_share(document, &cpus, &quota->cpus[team]);
        read_share(document, &gpus, &quota->gpus[team]);
        /* This revision of the record either includes the partition's transfer, or makes
         * its condition fail for good: the transfer is over. */
        if (quota->transfer.team == team && revision > quota->transfer.revision)
            quota->transfer.team = NO_TEAM;
    }
}

void lmn_quota_record_apply(struct lmn_core *core, const char *key,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *value, uint64_t revision)
{
    int team = find_team_by_key(core, key);
    double cpus_max = -1, gpus_max = -1;

    if (team < 0 || !value || core->quota.revision[team] >= revision)
        return;
    read_shares(core, team, document, value, revision);
    core->quota.revision[team] = revision;
    /* Shares of another limit, written under earlier settings, do not add up to the
     * present limit: the even shares apply instead. */
    lmn_cbor_get_number(lmn_cbor_get(document, value, "cpus_max"), &cpus_max);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "gpus_max"), &gpus_max);
    core->quota.has_record[team] = cpus_max == core->settings->teams[team].cpus_max &&
                                   gpus_max == core->settings->teams[team].gpus_max;
}

/* Which transfer a write in flight belongs to. */
struct transfer_write {
    struct lmn_core *core;
    int partition_id;
    uint64_t serial;
};

/* Handles the outcome of a transfer's write. Takes the lock. */
static void handle_write_outcome(void *arg, struct lmn_txn *txn,
                                 enum lmn_txn_outcome outcome, uint64_t revision)
{
    struct transfer_write *write = arg;
    struct lmn_core *core = write->core;
    struct lmn_partition *partition = &core->partitions[write->partition_id];
    struct lmn_quota_transfer *transfer = &partition->quota.transfer;
    (void)txn;
    (void)revision;

    pthread_mutex_lock(&core->lock);
    if (partition->ownership.is_owned && transfer->team >= 0 &&
        transfer->serial == write->serial) {
        if (outcome == LMN_TXN_REJECTED && !transfer->is_uncertain) {
            /* The only write of this transfer was not and will not be applied. */
            transfer->team = NO_TEAM;
        } else if (outcome == LMN_TXN_REJECTED || outcome == LMN_TXN_UNKNOWN) {
            /* One of the transfer's writes may have been, or may still be, applied. Only
             * a new revision of the record in the watch cache shows which. The write is
             * repeated until there is one. */
            transfer->is_uncertain = true;
            transfer->retry_at = lmn_time_add(lmn_now(), RETRY_S);
        }
    }
    pthread_mutex_unlock(&core->lock);
    g_free(write);
}

enum resource { RESOURCE_CPUS, RESOURCE_GPUS };

/* The partition's share of the resource after the donor's transfer. */
static double share_after_transfer(const struct lmn_core *core,
                                   const struct lmn_partition *donor, int partition_id,
                                   enum resource resource)
{
    const struct lmn_quota_transfer *transfer = &donor->quota.transfer;
    double amount = resource == RESOURCE_GPUS ? transfer->gpus : transfer->cpus;
    double cpus, gpus;

    lmn_quota_even_share(core, transfer->team, &cpus, &gpus);
    if (core->quota.has_record[transfer->team]) {
        cpus = core->partitions[partition_id].quota.cpus[transfer->team];
        gpus = core->partitions[partition_id].quota.gpus[transfer->team];
    }
    double share = resource == RESOURCE_GPUS ? gpus : cpus;
    if (partition_id == transfer->to_partition)
        return share + amount;
    return partition_id == donor->id ? share - amount : share;
}

static void put_shares(GByteArray *record, const struct lmn_core *core,
                       const struct lmn_partition *donor, enum resource resource)
{
    lmn_cbor_put_text(record, resource == RESOURCE_GPUS ? "gpus" : "cpus");
    lmn_cbor_put_array(record, (size_t)core->partition_count);
    for (int i = 0; i < core->partition_count; i++)
        lmn_cbor_put_number(record, share_after_transfer(core, donor, i, resource));
}

/* The team's record as it is after the transfer. */
static GByteArray *record_after_transfer(const struct lmn_core *core,
                                         const struct lmn_partition *donor)
{
    int team = donor->quota.transfer.team;
    GByteArray *record = g_byte_array_new();

    lmn_cbor_put_map(record, 4);
    lmn_cbor_put_text(record, "cpus_max");
    lmn_cbor_put_number(record, core->settings->teams[team].cpus_max);
    lmn_cbor_put_text(record, "gpus_max");
    lmn_cbor_put_number(record, core->settings->teams[team].gpus_max);
    put_shares(record, core, donor, RESOURCE_CPUS);
    put_shares(record, core, donor, RESOURCE_GPUS);
    return record;
}

/* Submits the write of the partition's transfer, conditional on this controller's
 * ownership and on the revision of the team's record. */
static void submit_transfer(struct lmn_core *core, struct lmn_partition *partition)
{
    struct lmn_quota_transfer *transfer = &partition->quota.transfer;
    struct transfer_write *write = g_new0(struct transfer_write, 1);
    g_autofree char *key = record_key(core, transfer->team);
    char owner_key[OWNER_KEY_SIZE];

    *write = (struct transfer_write){core, partition->id, transfer->serial};
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_CLOSE, handle_write_outcome, write);
    g_snprintf(owner_key, sizeof owner_key, "o/%d", partition->id);
    lmn_txn_require_version(txn, owner_key, partition->ownership.revision);
    lmn_txn_require_version(txn, key, transfer->revision);
    lmn_txn_put(txn, key, record_after_transfer(core, partition), 0);
    transfer->retry_at = (struct timespec){0, 0};
    lmn_kv_client_submit(core->kv_client, txn);
}

/* Whether a transfer of the team's quota to the partition to_partition may begin now. */
static bool may_transfer(const struct lmn_core *core,
                         const struct lmn_partition *partition, int team,
                         int to_partition)
{
    const struct lmn_partition_ownership *ownership = &partition->ownership;

    if (!ownership->is_owned || !ownership->is_ready || ownership->is_transferring ||
        partition->quota.transfer.team >= 0)
        return false;
    if (to_partition == partition->id || to_partition < 0 ||
        to_partition >= core->partition_count)
        return false;
    return team >= 0 && team < (int)core->settings->team_count &&
           lmn_team_has_limit(&core->settings->teams[team]);
}

bool lmn_quota_transfer_begin(struct lmn_core *core, struct lmn_partition *partition,
                              int team, int to_partition, double cpus, double gpus)
{
    double share_cpus, share_gpus;

    if (!may_transfer(core, partition, team, to_partition))
        return false;
    lmn_quota_share(core, partition, team, &share_cpus, &share_gpus);
    cpus = CLAMP(cpus, 0, MAX(share_cpus - partition->quota.used_cpus[team], 0));
    gpus = CLAMP(gpus, 0, MAX(share_gpus - partition->quota.used_gpus[team], 0));
    if (cpus < EPSILON && gpus < EPSILON)
        return false;
    partition->quota.transfer =
        (struct lmn_quota_transfer){.team = team,
                                    .to_partition = to_partition,
                                    .cpus = cpus,
                                    .gpus = gpus,
                                    .revision = core->quota.revision[team],
                                    .serial = ++core->quota.transfer_count};
    lmn_debug("quota_transfer_started team=%s partition=%d to=%d cpus=%.1f gpus=%.1f",
              core->settings->teams[team].name, partition->id, to_partition, cpus, gpus);
    submit_transfer(core, partition);
    return true;
}

void lmn_quota_transfer_retry(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now)
{
    const struct lmn_quota_transfer *transfer = &partition->quota.transfer;

    if (transfer->team >= 0 && transfer->retry_at.tv_sec &&
        !lmn_time_before(now, transfer->retry_at) &&
        core->quota.revision[transfer->team] == transfer->revision)
        submit_transfer(core, partition);
}

void lmn_quota_transfer_reset(struct lmn_partition *partition)
{
    partition->quota.transfer.team = NO_TEAM;
}

/* Reserves what the largest task of the request needs, if that much of the partition's
 * share is not unused now. Otherwise small tasks of this partition would take each part
 * of the share as it becomes free, and a larger task of the other partition would wait
 * for as long as small tasks keep arriving. */
static void reserve_for_request(struct lmn_core *core, struct lmn_partition *partition,
                                const struct lmn_quota_request *request,
                                struct timespec now)
{
    double share_cpus, share_gpus;

    lmn_quota_share(core, partition, request->team, &share_cpus, &share_gpus);
    double needed_cpus = MIN(request->least_cpus, share_cpus);
    double needed_gpus = MIN(request->least_gpus, share_gpus);
    if (partition->quota.used_cpus[request->team] + needed_cpus > share_cpus + EPSILON ||
        partition->quota.used_gpus[request->team] + needed_gpus > share_gpus + EPSILON)
        lmn_reserve_quota_for_partition(partition, request->team, needed_cpus,
                                        needed_gpus, now);
}

bool lmn_quota_request_handle(struct lmn_core *core, struct lmn_partition *partition,
                              int to_partition, const struct lmn_quota_request *request,
                              struct timespec now)
{
    double spare_cpus, spare_gpus;

    if (!partition->ownership.is_owned || request->team < 0 ||
        request->team >= (int)core->settings->team_count)
        return false;
    lmn_quota_transferable(core, partition, request, &spare_cpus, &spare_gpus);
    reserve_for_request(core, partition, request, now);
    return lmn_quota_transfer_begin(core, partition, request->team, to_partition,
                                    spare_cpus, spare_gpus);
}
