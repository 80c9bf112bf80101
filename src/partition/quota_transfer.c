/* Parts of teams' limits on their way between partitions.
 *
 * A part is given to another partition by its owner alone, by one write that is
 * conditional on its ownership and on the team's record, and only what its tasks do not
 * use. What is being given counts as given from before the write goes out until the
 * mirror shows what became of it; what is received counts only once the mirror shows it.
 * So the parts in use never add up to more than the limit, whatever fails. */
#include "partition/quota_transfer.h"
#include "scheduler/reservation.h"
#include "util/log.h"

#include <string.h>

static char *record_key(const struct lmn_core *core, int team)
{
    /* Keys hold no spaces; names may. */
    char *name = g_uri_escape_string(core->settings->teams[team].name, NULL, FALSE);
    char *key = g_strdup_printf("q/%s", name);
    g_free(name);
    return key;
}

void lmn_quota_record_apply(struct lmn_core *core, const char *key,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *value, uint64_t revision)
{
    int team = -1;

    for (size_t i = 0; i < core->settings->team_count && team < 0; i++) {
        char *own = record_key(core, (int)i);
        if (!strcmp(own, key))
            team = (int)i;
        g_free(own);
    }
    if (team < 0 || !value || core->quota.revision[team] >= revision)
        return;
    const struct lmn_cbor_value *cpus =
        lmn_cbor_first_child(document, lmn_cbor_get(document, value, "cpus"));
    const struct lmn_cbor_value *gpus =
        lmn_cbor_first_child(document, lmn_cbor_get(document, value, "gpus"));
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        partition->quota.cpus[team] = partition->quota.gpus[team] = 0;
        if (cpus)
            lmn_cbor_get_number(cpus, &partition->quota.cpus[team]),
                cpus = lmn_cbor_next(document, cpus);
        if (gpus)
            lmn_cbor_get_number(gpus, &partition->quota.gpus[team]),
                gpus = lmn_cbor_next(document, gpus);
        /* Either our transfer was applied, or it can't be any more. */
        if (partition->quota.transfer.team == team &&
            revision > partition->quota.transfer.revision)
            partition->quota.transfer.team = -1;
    }
    core->quota.revision[team] = revision;
    /* Parts of another limit, from settings before these, are no parts of this one. */
    double cpus_max = -1, gpus_max = -1;
    lmn_cbor_get_number(lmn_cbor_get(document, value, "cpus_max"), &cpus_max);
    lmn_cbor_get_number(lmn_cbor_get(document, value, "gpus_max"), &gpus_max);
    core->quota.has_record[team] = cpus_max == core->settings->teams[team].cpus_max &&
                                   gpus_max == core->settings->teams[team].gpus_max;
}

struct transfer_ref {
    struct lmn_core *c;
    int part;
    uint64_t serial;
};

static void submit(struct lmn_core *core, struct lmn_partition *partition);

static void given(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                  uint64_t revision)
{
    struct transfer_ref *w = arg;
    struct lmn_core *core = w->c;
    struct lmn_partition *partition = &core->partitions[w->part];
    (void)txn;
    (void)revision;

    pthread_mutex_lock(&core->lock);
    if (partition->ownership.is_owned && partition->quota.transfer.team >= 0 &&
        partition->quota.transfer.serial == w->serial) {
        if (outcome == LMN_TXN_REJECTED && !partition->quota.transfer.is_uncertain) {
            partition->quota.transfer.team =
                -1; /* surely not applied, and never will be */
        } else if (outcome == LMN_TXN_REJECTED || outcome == LMN_TXN_UNKNOWN) {
            /* Only the mirror can tell; the same write again makes it tell. */
            partition->quota.transfer.is_uncertain = true;
            partition->quota.transfer.retry_at = lmn_time_add(lmn_now(), 0.5);
        }
    }
    pthread_mutex_unlock(&core->lock);
    g_free(w);
}

static void submit(struct lmn_core *core, struct lmn_partition *partition)
{
    struct transfer_ref *w = g_new0(struct transfer_ref, 1);
    int team = partition->quota.transfer.team;
    char *key = record_key(core, team), owner[32];
    GByteArray *buffer = g_byte_array_new();

    *w = (struct transfer_ref){core, partition->id, partition->quota.transfer.serial};
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_CLOSE, given, w);
    g_snprintf(owner, sizeof owner, "o/%d", partition->id);
    lmn_txn_require_version(txn, owner, partition->ownership.revision);
    lmn_txn_require_version(txn, key, partition->quota.transfer.revision);
    lmn_cbor_put_map(buffer, 4);
    lmn_cbor_put_text(buffer, "cpus_max"),
        lmn_cbor_put_number(buffer, core->settings->teams[team].cpus_max);
    lmn_cbor_put_text(buffer, "gpus_max"),
        lmn_cbor_put_number(buffer, core->settings->teams[team].gpus_max);
    for (int gpus = 0; gpus < 2; gpus++) {
        lmn_cbor_put_text(buffer, gpus ? "gpus" : "cpus");
        lmn_cbor_put_array(buffer, (size_t)core->partition_count);
        for (int i = 0; i < core->partition_count; i++) {
            double x, y;
            lmn_quota_even_share(core, team, &x, &y);
            if (core->quota.has_record[team])
                x = core->partitions[i].quota.cpus[team],
                y = core->partitions[i].quota.gpus[team];
            double by =
                gpus ? partition->quota.transfer.gpus : partition->quota.transfer.cpus;
            lmn_cbor_put_number(
                buffer, (gpus ? y : x) + (i == partition->quota.transfer.to_partition ? by
                                          : i == partition->id ? -by
                                                               : 0));
        }
    }
    lmn_txn_put(txn, key, buffer, 0);
    g_free(key);
    partition->quota.transfer.retry_at = (struct timespec){0, 0};
    lmn_kv_client_submit(core->kv_client, txn);
}

bool lmn_quota_transfer_begin(struct lmn_core *core, struct lmn_partition *partition,
                              int team, int to, double cpus, double gpus)
{
    double have_cpus, have_gpus;

    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        partition->ownership.is_transferring || partition->quota.transfer.team >= 0 ||
        to == partition->id || to < 0 || to >= core->partition_count || team < 0 ||
        team >= (int)core->settings->team_count ||
        !lmn_team_has_limit(&core->settings->teams[team]))
        return false;
    lmn_quota_share(core, partition, team, &have_cpus, &have_gpus);
    cpus = CLAMP(cpus, 0, MAX(have_cpus - partition->quota.used_cpus[team], 0));
    gpus = CLAMP(gpus, 0, MAX(have_gpus - partition->quota.used_gpus[team], 0));
    if (cpus < 1e-6 && gpus < 1e-6)
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
    submit(core, partition);
    return true;
}

void lmn_quota_transfer_flush(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now)
{
    if (partition->quota.transfer.team >= 0 &&
        partition->quota.transfer.retry_at.tv_sec &&
        !lmn_time_before(now, partition->quota.transfer.retry_at) &&
        core->quota.revision[partition->quota.transfer.team] ==
            partition->quota.transfer.revision)
        submit(core, partition);
}

void lmn_quota_transfer_reset(struct lmn_partition *partition)
{
    partition->quota.transfer.team = -1;
}

bool lmn_quota_request_handle(struct lmn_core *core, struct lmn_partition *partition,
                              int to, const struct lmn_quota_request *request,
                              struct timespec now)
{
    double cpus, gpus, have_cpus, have_gpus;

    if (!partition->ownership.is_owned || request->team < 0 ||
        request->team >= (int)core->settings->team_count)
        return false;
    lmn_quota_spare(core, partition, request, &cpus, &gpus);
    /* Small tasks take each piece of the part as it becomes free: a task larger than any
     * part waited for as long as they came. */
    lmn_quota_share(core, partition, request->team, &have_cpus, &have_gpus);
    double lacks_cpus = MIN(request->least_cpus, have_cpus);
    double lacks_gpus = MIN(request->least_gpus, have_gpus);
    if (partition->quota.used_cpus[request->team] + lacks_cpus > have_cpus + 1e-6 ||
        partition->quota.used_gpus[request->team] + lacks_gpus > have_gpus + 1e-6)
        lmn_reserve_quota(partition, request->team, lacks_cpus, lacks_gpus, now);
    return lmn_quota_transfer_begin(core, partition, request->team, to, cpus, gpus);
}
