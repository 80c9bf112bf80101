/* Quota shares of teams on their way between partitions. The core's lock is held by the
 * caller throughout, except in transfer_written, which takes it. */
#include "partition/quota_transfer.h"

#include "scheduler/reservation.h"
#include "util/log.h"

#include <string.h>

/* When a write whose outcome is unknown is repeated. */
static const double RETRY_S = 0.5;

/* Amounts below this are rounding errors. */
static const double EPSILON = 1e-6;

enum { NO_TEAM = -1, OWNER_KEY_SIZE = 32 };

/* The key of the team's record; freed by the caller. Keys hold no spaces; names may. */
static char *record_key(const struct lmn_core *core, int team)
{
    g_autofree char *name =
        g_uri_escape_string(core->settings->teams[team].name, NULL, FALSE);

    return g_strdup_printf("q/%s", name);
}

static int team_by_key(const struct lmn_core *core, const char *key)
{
    for (size_t i = 0; i < core->settings->team_count; i++) {
        g_autofree char *team_key = record_key(core, (int)i);
        if (!strcmp(team_key, key))
            return (int)i;
    }
    return NO_TEAM;
}

/* Reads the next number of a list, if there is one, and moves on. */
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
        /* Either our transfer was applied, or it can't be any more. */
        if (quota->transfer.team == team && revision > quota->transfer.revision)
            quota->transfer.team = NO_TEAM;
    }
}

void lmn_quota_record_apply(struct lmn_core *core, const char *key,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *value, uint64_t revision)
{
    int team = team_by_key(core, key);
    double cpus_max = -1, gpus_max = -1;

    if (team < 0 || !value || core->quota.revision[team] >= revision)
        return;
    read_shares(core, team, document, value, revision);
    core->quota.revision[team] = revision;
    /* Shares of another limit, from earlier settings, are no shares of this one. */
    lmn_cbor_get_number(lmn_cbor_get(document, value, "cpus_max"), &cpus_max);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "gpus_max"), &gpus_max);
    core->quota.has_record[team] = cpus_max == core->settings->teams[team].cpus_max &&
                                   gpus_max == core->settings->teams[team].gpus_max;
}

/* The transfer that a write in flight is of. */
struct transfer_write {
    struct lmn_core *core;
    int partition_id;
    uint64_t serial;
};

static void transfer_written(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                             uint64_t revision)
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
            /* It surely was not applied, and never will be. */
            transfer->team = NO_TEAM;
        } else if (outcome == LMN_TXN_REJECTED || outcome == LMN_TXN_UNKNOWN) {
            /* Only the watch cache can tell; to repeat the write makes it tell. */
            transfer->is_uncertain = true;
            transfer->retry_at = lmn_time_add(lmn_now(), RETRY_S);
        }
    }
    pthread_mutex_unlock(&core->lock);
    g_free(write);
}

enum resource { RESOURCE_CPUS, RESOURCE_GPUS };

/* The share that the partition numbered `id` has after the transfer. */
static double share_after_transfer(const struct lmn_core *core,
                                   const struct lmn_partition *donor, int id,
                                   enum resource resource)
{
    const struct lmn_quota_transfer *transfer = &donor->quota.transfer;
    double amount = resource == RESOURCE_GPUS ? transfer->gpus : transfer->cpus;
    double cpus, gpus;

    lmn_quota_even_share(core, transfer->team, &cpus, &gpus);
    if (core->quota.has_record[transfer->team]) {
        cpus = core->partitions[id].quota.cpus[transfer->team];
        gpus = core->partitions[id].quota.gpus[transfer->team];
    }
    double share = resource == RESOURCE_GPUS ? gpus : cpus;
    if (id == transfer->to_partition)
        return share + amount;
    return id == donor->id ? share - amount : share;
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

/* Writes the partition's transfer, conditional on our ownership and the team's record. */
static void submit_transfer(struct lmn_core *core, struct lmn_partition *partition)
{
    struct lmn_quota_transfer *transfer = &partition->quota.transfer;
    struct transfer_write *write = g_new0(struct transfer_write, 1);
    g_autofree char *key = record_key(core, transfer->team);
    char owner_key[OWNER_KEY_SIZE];

    *write = (struct transfer_write){core, partition->id, transfer->serial};
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_CLOSE, transfer_written, write);
    g_snprintf(owner_key, sizeof owner_key, "o/%d", partition->id);
    lmn_txn_require_version(txn, owner_key, partition->ownership.revision);
    lmn_txn_require_version(txn, key, transfer->revision);
    lmn_txn_put(txn, key, record_after_transfer(core, partition), 0);
    transfer->retry_at = (struct timespec){0, 0};
    lmn_kv_client_submit(core->kv_client, txn);
}

/* Whether a transfer of the team's quota to that partition may begin at all. */
static bool may_transfer(const struct lmn_core *core,
                         const struct lmn_partition *partition, int team, int to)
{
    const struct lmn_partition_ownership *ownership = &partition->ownership;

    if (!ownership->is_owned || !ownership->is_ready || ownership->is_transferring ||
        partition->quota.transfer.team >= 0)
        return false;
    if (to == partition->id || to < 0 || to >= core->partition_count)
        return false;
    return team >= 0 && team < (int)core->settings->team_count &&
           lmn_team_has_limit(&core->settings->teams[team]);
}

bool lmn_quota_transfer_begin(struct lmn_core *core, struct lmn_partition *partition,
                              int team, int to, double cpus, double gpus)
{
    double share_cpus, share_gpus;

    if (!may_transfer(core, partition, team, to))
        return false;
    lmn_quota_share(core, partition, team, &share_cpus, &share_gpus);
    cpus = CLAMP(cpus, 0, MAX(share_cpus - partition->quota.used_cpus[team], 0));
    gpus = CLAMP(gpus, 0, MAX(share_gpus - partition->quota.used_gpus[team], 0));
    if (cpus < EPSILON && gpus < EPSILON)
        return false;
    partition->quota.transfer =
        (struct lmn_quota_transfer){.team = team,
                                    .to_partition = to,
                                    .cpus = cpus,
                                    .gpus = gpus,
                                    .revision = core->quota.revision[team],
                                    .serial = ++core->quota.transfer_count};
    lmn_debug("quota_transfer_started team=%s partition=%d to=%d cpus=%.1f gpus=%.1f",
              core->settings->teams[team].name, partition->id, to, cpus, gpus);
    submit_transfer(core, partition);
    return true;
}

void lmn_quota_transfer_flush(struct lmn_core *core, struct lmn_partition *partition,
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

/* Reserves what one task of the request needs, if it is not unused now. Without that,
 * small tasks here would take each piece of the share as it becomes free, and a task
 * larger than any piece would wait for as long as they come. */
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
                              int to, const struct lmn_quota_request *request,
                              struct timespec now)
{
    double spare_cpus, spare_gpus;

    if (!partition->ownership.is_owned || request->team < 0 ||
        request->team >= (int)core->settings->team_count)
        return false;
    lmn_quota_transferable(core, partition, request, &spare_cpus, &spare_gpus);
    reserve_for_request(core, partition, request, now);
    return lmn_quota_transfer_begin(core, partition, request->team, to, spare_cpus,
                                    spare_gpus);
}
