/* The decisions of the ownership manager. The core's lock is held by the caller
 * throughout. */
#include "partition/ownership.h"

#include "partition/partition.h"
#include "partition/partition_claim.h"
#include "partition/shutdown.h"
#include "replication/replica.h"
#include "replication/replica_choice.h"
#include "state/fencing_token.h"
#include "util/log.h"

/* Writes this controller's member record, whose revision is the controller's incarnation.
 * The write is conditional on the record's revision in the watch cache, so that a delayed
 * write does not replace a newer one. Until the watch cache has read the store once, no
 * revision is known, and the write is unconditional. */
static struct lmn_txn *write_own_record(const struct lmn_core *core, uint64_t lease)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    g_autofree char *key = g_strdup_printf("n/%s", core->settings->node_name);
    GByteArray *record = g_byte_array_new();

    if (core->cache.is_synced)
        lmn_txn_require_version(txn, key,
                                core->members.views[core->members.self].incarnation);
    if (core->shutdown.is_requested) {
        lmn_cbor_put_map(record, 2);
        lmn_cbor_put_text(record, "lease");
        lmn_cbor_put_uint(record, lease);
        lmn_cbor_put_text(record, "leaving");
        lmn_cbor_put_bool(record, true);
    } else {
        lmn_cbor_put_uint(record, lease);
    }
    lmn_txn_put(txn, key, record, lease);
    return txn;
}

bool lmn_ownership_is_announced(const struct lmn_core *core, uint64_t lease)
{
    const struct lmn_member_view *member = &core->members.views[core->members.self];

    return core->cache.is_synced && member->is_present && member->lease == lease &&
           member->is_shutting_down == core->shutdown.is_requested;
}

/* Until the watch cache shows the record, it is written again at this interval, in
 * seconds. */
static const double ANNOUNCE_INTERVAL_S = 1;

struct lmn_txn *lmn_ownership_announce(struct lmn_core *core, uint64_t lease,
                                       struct timespec now)
{
    if (!lease || lmn_ownership_is_announced(core, lease) ||
        (core->lease.announced_lease_id == lease &&
         core->lease.announced_shutdown == core->shutdown.is_requested &&
         lmn_time_diff_s(now, core->lease.announced_at) < ANNOUNCE_INTERVAL_S))
        return NULL;
    core->lease.announced_lease_id = lease;
    core->lease.announced_shutdown = core->shutdown.is_requested;
    core->lease.announced_at = now;
    return write_own_record(core, lease);
}

void lmn_ownership_announce_completed(struct lmn_core *core, enum lmn_txn_outcome outcome)
{
    /* The watch cache was behind the store: the next try need not wait for
     * ANNOUNCE_INTERVAL_S. */
    if (outcome == LMN_TXN_CONFLICT)
        core->lease.announced_lease_id = 0;
}

struct lmn_txn *lmn_ownership_refute(const struct lmn_core *core, uint64_t lease,
                                     struct timespec now)
{
    return lmn_self_should_refute(&core->members, now) ? write_own_record(core, lease)
                                                       : NULL;
}

/* Writes the suspicion, conditional on the revision of the record of the member's
 * suspicions in the watch cache. */
static struct lmn_txn *write_suspicion(const struct lmn_core *core, int member_index,
                                       uint64_t lease,
                                       const struct lmn_failure_evidence *evidence)
{
    const struct lmn_member_view *member = &core->members.views[member_index];
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    g_autofree char *key =
        g_strdup_printf("u/%s", lmn_member_name(&core->members, member_index));
    GByteArray *record = g_byte_array_new();

    lmn_txn_require_version(txn, key, member->suspicion_revision);
    lmn_cbor_put_map(record, 3);
    lmn_cbor_put_text(record, "incarnation");
    lmn_cbor_put_uint(record, member->incarnation);
    lmn_cbor_put_text(record, "by");
    lmn_cbor_put_text(record, core->settings->node_name);
    lmn_cbor_put_text(record, "why");
    lmn_cbor_put_uint(record, evidence->cause);
    lmn_txn_put(txn, key, record, lease);
    return txn;
}

struct lmn_txn *lmn_ownership_suspect(struct lmn_core *core, int member_index,
                                      uint64_t lease, struct timespec now)
{
    struct lmn_members *members = &core->members;
    struct lmn_failure_evidence evidence;

    if (!lmn_member_should_suspect(members, member_index, now, &evidence))
        return NULL;
    struct lmn_txn *txn = write_suspicion(core, member_index, lease, &evidence);
    members->counters.suspicions++;
    lmn_info(
        "member_suspicion_written member=%s incarnation=%" G_GUINT64_FORMAT
        " why=%s asked=%.1f others=%.1f by=%u workers=%u stale=%.1f deaf=%.2f",
        lmn_member_name(members, member_index), members->views[member_index].incarnation,
        lmn_suspicion_cause_name(evidence.cause), evidence.own_phi,
        evidence.best_other_phi, evidence.other_witnesses, evidence.redirected_workers,
        evidence.cache_age_s, evidence.silent_machine_share);
    return txn;
}

/* A restarted process has contact with each member that is up within this time, in
 * seconds. */
static const double FIRST_CONTACT_S = 1;

/* What a controller does with a partition that its previous process owned. */
enum restart_decision { RESTART_CLAIM, RESTART_WAIT, RESTART_PASS_TO_STANDBY };

/* Decides whether this controller claims the partition or passes it to the standby. If
 * its previous process owned the partition, the standby that was in sync with that
 * process knows the started tasks and this process does not, unless it still holds the
 * latest state itself.
 * @param standby set to the index of the member to pass the partition to */
static enum restart_decision decide_after_restart(const struct lmn_core *core,
                                                  const struct lmn_partition *partition,
                                                  int *standby, struct timespec now)
{
    const struct lmn_members *members = &core->members;

    if (!partition->record.owner_revision ||
        lmn_member_index(members, partition->record.owner) != members->self ||
        lmn_replica_own_is_latest(partition))
        return RESTART_CLAIM;
    *standby = lmn_standby_in_sync(core, partition, now);
    if (*standby < 0 || *standby == members->self)
        return RESTART_CLAIM;
    if (members->views[*standby].ever_contacted)
        return RESTART_PASS_TO_STANDBY;
    return lmn_time_diff_s(now, core->cache.synced_at) < FIRST_CONTACT_S ? RESTART_WAIT
                                                                         : RESTART_CLAIM;
}

/* If another member owns the partition, claiming it declares that member failed: counts
 * and logs this, with the evidence. */
static void record_failure_declaration(struct lmn_core *core,
                                       const struct lmn_partition *partition,
                                       struct timespec now)
{
    struct lmn_members *members = &core->members;
    struct lmn_failure_evidence evidence;
    int owner = partition->record.owner_revision
                    ? lmn_member_index(members, partition->record.owner)
                    : -1;

    if (owner < 0 || owner == members->self)
        return;
    lmn_member_failure_evidence(members, owner, now, &evidence);
    members->counters.failures_declared++;
    lmn_info("member_declared_failed member=%s incarnation=%" G_GUINT64_FORMAT
             " partition=%d why=%s sides=%u asked=%.1f others=%.1f by=%u "
             "workers=%u suspected=%.2f",
             partition->record.owner, members->views[owner].incarnation, partition->id,
             lmn_suspicion_cause_name(evidence.cause), evidence.independent_witnesses,
             evidence.own_phi, evidence.best_other_phi, evidence.other_witnesses,
             evidence.redirected_workers,
             lmn_time_diff_s(now, members->views[owner].suspected_since));
}

struct lmn_txn *lmn_ownership_claim(struct lmn_core *core, int partition_id,
                                    uint64_t lease, struct timespec now)
{
    const struct lmn_partition *partition = &core->partitions[partition_id];
    int standby = -1;

    if (!core->cache.is_synced || partition->ownership.is_owned ||
        !lmn_partition_should_claim(core, partition, now))
        return NULL;
    switch (decide_after_restart(core, partition, &standby, now)) {
    case RESTART_WAIT:
        return NULL;
    case RESTART_PASS_TO_STANDBY:
        lmn_info("partition_passed_to_standby partition=%d to=%s", partition_id,
                 lmn_member_name(&core->members, standby));
        return lmn_partition_transfer(core, partition, standby);
    case RESTART_CLAIM:
        break;
    }
    record_failure_declaration(core, partition, now);
    return lmn_partition_claim(core, partition, lease);
}

/* How long a partition stays with its owner at least before it is transferred to its
 * preferred owner, in seconds. */
static const double MIN_OWNERSHIP_S = 15.0;

/* How long after it was acquired the partition is kept until its preferred owner is in
 * sync, in seconds. After that it is transferred without. */
static const double MAX_STANDBY_WAIT_S = 30;

/* Whether this controller owns several partitions and the member none: only then is a
 * partition transferred to the member as its preferred owner. */
static bool is_member_without_partition(const struct lmn_core *core, int member_index)
{
    int owned_partitions = 0, member_partitions = 0;

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        owned_partitions += partition->ownership.is_owned;
        member_partitions +=
            partition->record.owner_revision &&
            lmn_member_index(&core->members, partition->record.owner) == member_index;
    }
    return owned_partitions >= 2 && !member_partitions;
}

/* Whether the partition may be transferred to its preferred owner now. */
static bool may_transfer_to_preferred(const struct lmn_core *core,
                                      const struct lmn_partition *partition,
                                      int preferred, struct timespec now)
{
    const struct lmn_members *members = &core->members;
    double owned_s = lmn_time_diff_s(now, partition->ownership.since);

    if (!is_member_without_partition(core, preferred) || !partition->ownership.is_ready ||
        preferred == members->self || !lmn_member_is_trusted(members, preferred, now) ||
        lmn_member_readmission_delay_s(members, preferred, now) > 0 ||
        owned_s < MIN_OWNERSHIP_S)
        return false;
    /* The preferred owner gets in sync first, so that it can go on starting tasks without
     * waiting for reports of the machines. If it does not get in sync in time, the
     * partition is transferred without. */
    return core->cache.operator_settings.standby <= 0 ||
           lmn_standby_in_sync(core, partition, now) == preferred ||
           owned_s >= MAX_STANDBY_WAIT_S;
}

/* Whether this controller should claim its own partition anew. A transfer by an older
 * version reserves no tokens to raise, and without these no start can be pushed. */
static bool should_renew_tokens(const struct lmn_partition *partition,
                                struct timespec now)
{
    const struct lmn_partition_ownership *ownership = &partition->ownership;

    return !ownership->token_raises && ownership->is_ready &&
           lmn_next_epoch(partition->record.epoch) > partition->record.epoch + 1 &&
           lmn_time_diff_s(now, ownership->since) >= MIN_OWNERSHIP_S;
}

/* The index of the member that the partition should be transferred to now; -1: none. */
static int choose_transfer_target(const struct lmn_core *core,
                                  const struct lmn_partition *partition,
                                  struct timespec now)
{
    int preferred = partition->id % core->members.count;

    if (!partition->ownership.is_owned)
        return -1;
    if (core->shutdown.is_requested)
        return lmn_shutdown_transfer_target(core, partition, now);
    int target = lmn_self_transfer_target(&core->members, now);
    if (target >= 0)
        return target;
    if (may_transfer_to_preferred(core, partition, preferred, now))
        return preferred;
    return should_renew_tokens(partition, now) ? core->members.self : -1;
}

/* Records that partitions are transferred because heartbeats do not arrive: this
 * controller counts as cut off from its workers until a heartbeat reaches it again. */
static void record_isolation(struct lmn_members *members, int target)
{
    if (members->is_isolated_from_workers)
        return;
    lmn_info("member_heartbeats_missing deaf=%.2f successor=%s",
             members->health.silent_machine_share, lmn_member_name(members, target));
    members->is_isolated_from_workers = true;
}

struct lmn_txn *lmn_ownership_transfer(struct lmn_core *core, int partition_id,
                                       int *target, struct timespec now)
{
    struct lmn_partition *partition = &core->partitions[partition_id];
    struct lmn_partition_ownership *ownership = &partition->ownership;
    struct lmn_members *members = &core->members;

    /* The outcome of the last transfer is unknown. The watch cache has been brought up to
     * date since and still shows this controller as the owner, so the transfer was not
     * applied. */
    if (ownership->is_owned && ownership->is_transferring &&
        lmn_time_before(ownership->transfer_tried_at, core->cache.fresh_at))
        ownership->is_transferring = false;
    *target =
        ownership->is_transferring ? -1 : choose_transfer_target(core, partition, now);
    if (*target < 0)
        return NULL;
    if (lmn_self_transfer_target(members, now) == *target)
        record_isolation(members, *target);
    lmn_info("partition_transfer_started partition=%d to=%s warm=%d", partition_id,
             lmn_member_name(members, *target),
             lmn_standby_in_sync(core, partition, now) == *target);
    ownership->is_transferring = true;
    ownership->transfer_tried_at = now;
    members->counters.transfers++;
    return lmn_partition_transfer(core, partition, *target);
}

void lmn_ownership_transfer_completed(struct lmn_core *core, int partition_id,
                                      enum lmn_txn_outcome outcome, struct timespec now)
{
    struct lmn_partition *partition = &core->partitions[partition_id];

    partition->ownership.transfer_tried_at = now;
    if (outcome == LMN_TXN_REJECTED || outcome == LMN_TXN_CONFLICT)
        partition->ownership.is_transferring = false;
}
