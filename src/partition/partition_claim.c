/* Which partitions this controller should claim, and the transactions that change a
 * partition's owner. The core's lock is held by the caller throughout. */
#include "partition/partition_claim.h"

#include "partition/transfer_target.h"
#include "replication/replica.h"
#include "replication/replica_choice.h"
#include "replication/standby_record.h"
#include "state/fencing_token.h"

int lmn_partition_next_owner(const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now)
{
    int standby = lmn_standby_in_sync(core, partition, now);

    if (standby >= 0)
        return standby;
    for (int i = 0; i < core->members.count; i++) {
        int member_index = (partition->id + i) % core->members.count;
        if (lmn_member_is_trusted(&core->members, member_index, now))
            return member_index;
    }
    return -1;
}

enum { RECORD_KEY_SIZE = 32 }; /* bytes */

/* How long after a partition lost its owner only the last owner may claim it, in seconds.
 * The last owner claims it as soon as it has a new lease, within a few tenths of a
 * second. */
static const double LAST_OWNER_PRIORITY_S = 1.5;

/* Whether to leave the partition, whose owner's record was removed, to its last owner for
 * LAST_OWNER_PRIORITY_S: if that member's process is still running, it knows which tasks
 * are on the machines. Not if it does not answer: the partition of a crashed owner is
 * taken over without delay. */
static bool is_reserved_for_last_owner(const struct lmn_core *core,
                                       const struct lmn_partition *partition,
                                       struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int last = lmn_member_index(members, partition->record.last_owner);

    if (last < 0 || last == members->self ||
        lmn_time_diff_s(now, partition->record.vacant_since) >= LAST_OWNER_PRIORITY_S)
        return false;
    const struct lmn_member_view *member = &members->views[last];
    return member->ever_contacted && !member->unanswered_since.tv_sec &&
           !member->is_declared_failed && !member->is_shutting_down &&
           !lmn_member_is_suspected(members, last);
}

/* How long after its start, or after acquiring a lease, a process claims only partitions
 * that it owned last or is the preferred owner of, in seconds. Other controllers may be
 * about to acquire their leases, too: without the wait, after a network cut of the zone
 * of all controllers, one controller claimed every partition, each as a cold failover,
 * 0.3 s before the other controllers had their leases. */
static const double NEW_LEASE_WAIT_S = 3;

/* How long each trusted member that precedes this controller in the partition's order has
 * for its claim, in seconds. */
static const double CLAIM_DELAY_S = 1.5;

/* Whether this controller claims a partition, as far as the records of its owner and its
 * standby decide. */
enum claim_decision {
    CLAIM_NOW,
    CLAIM_NOT_NOW,
    CLAIM_IN_TURN /* after the members that precede this one in the partition's order */
};

/* The decision for a partition that has an owner. */
static enum claim_decision decide_owned(const struct lmn_core *core,
                                        const struct lmn_partition *partition,
                                        struct timespec now)
{
    int owner = lmn_member_index(&core->members, partition->record.owner);

    /* Only one process runs for each member: a partition that a previous process owned
     * under another lease belongs to this process. */
    if (owner == core->members.self)
        return partition->record.owner_lease != core->lease.id ? CLAIM_NOW
                                                               : CLAIM_NOT_NOW;
    return lmn_partition_is_orphaned(core, partition, now) ? CLAIM_IN_TURN
                                                           : CLAIM_NOT_NOW;
}

/* The decision for a partition without an owner. */
static enum claim_decision decide_vacant(const struct lmn_core *core,
                                         const struct lmn_partition *partition,
                                         struct timespec now)
{
    const struct lmn_members *members = &core->members;

    if (lmn_replica_own_is_latest(partition))
        return CLAIM_NOW;
    if (is_reserved_for_last_owner(core, partition, now))
        return CLAIM_NOT_NOW;
    if (partition->id % members->count != members->self)
        return CLAIM_IN_TURN;
    int standby = lmn_standby_in_sync(core, partition, now);
    return standby < 0 || standby == members->self ? CLAIM_NOW : CLAIM_IN_TURN;
}

/* Whether it is this controller's turn to claim the partition: it is the member chosen by
 * lmn_orphan_claimants, or the trusted members that precede it in the partition's order
 * have had CLAIM_DELAY_S each.
 * @param since the time from which the first member could claim the partition */
static bool is_our_turn(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec since,
                        struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int claimants[LMN_MAX_PARTITIONS], preceding_members = 1;

    lmn_orphan_claimants(core, now, claimants);
    int claimant = claimants[partition->id];
    if (claimant == members->self)
        return true;
    for (int i = 0; i < members->count; i++) {
        int member_index = (partition->id + i) % members->count;
        if (member_index == members->self)
            break;
        preceding_members +=
            member_index != claimant && lmn_member_is_trusted(members, member_index, now);
    }
    return lmn_time_diff_s(now, since) >= CLAIM_DELAY_S * preceding_members;
}

bool lmn_partition_should_claim(const struct lmn_core *core,
                                const struct lmn_partition *partition,
                                struct timespec now)
{
    const struct lmn_members *members = &core->members;
    struct timespec since = partition->record.vacant_since;
    bool has_owner = partition->record.owner_revision != 0;

    /* In these states this controller could not run the partition's tasks. */
    if (members->is_isolated_from_workers || core->shutdown.is_requested ||
        !lmn_self_may_reply(members, now))
        return false;
    enum claim_decision decision = has_owner ? decide_owned(core, partition, now)
                                             : decide_vacant(core, partition, now);
    if (decision != CLAIM_IN_TURN)
        return decision == CLAIM_NOW;
    if (has_owner) {
        int owner = lmn_member_index(members, partition->record.owner);
        since = lmn_time_add(members->views[owner].suspected_since,
                             members->timeouts.suspicion_s);
    }
    if (lmn_time_diff_s(now, core->cache.synced_at) < NEW_LEASE_WAIT_S ||
        lmn_time_diff_s(now, core->lease.acquired_at) < NEW_LEASE_WAIT_S)
        return false;
    return is_our_turn(core, partition, since, now);
}

/* Writes the owner's record with the tokens of the claim, and the highest of these as the
 * epoch, conditional on the revisions of both in the watch cache. The owner's record is
 * attached to the new owner's lease, whichever member writes it.
 * @param new_owner name of the member
 * @param lease the new owner's
 * @param require_in_sync makes the write conditional on the record of the standby that is
 * in sync, if the new owner is that standby */
static struct lmn_txn *write_owner(const struct lmn_partition *partition,
                                   const char *new_owner, uint64_t lease,
                                   bool require_in_sync)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    uint64_t epoch = lmn_next_epoch(partition->record.epoch);
    uint64_t stream =
        require_in_sync ? lmn_standby_require_in_sync(partition, new_owner, txn) : 0;
    GByteArray *owner_record = g_byte_array_new();
    char key[RECORD_KEY_SIZE];

    lmn_cbor_put_map(owner_record, 5);
    lmn_cbor_put_text(owner_record, "node");
    lmn_cbor_put_text(owner_record, new_owner);
    lmn_cbor_put_text(owner_record, "lease");
    lmn_cbor_put_uint(owner_record, lease);
    lmn_cbor_put_text(owner_record, "term");
    lmn_cbor_put_uint(owner_record, epoch);
    lmn_cbor_put_text(owner_record, "stream");
    lmn_cbor_put_uint(owner_record, stream);
    lmn_cbor_put_text(owner_record, "raises");
    lmn_cbor_put_uint(owner_record, epoch - partition->record.epoch - 1);
    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.owner_revision);
    lmn_txn_put(txn, key, owner_record, lease);
    g_snprintf(key, sizeof key, "t/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.epoch_revision);
    GByteArray *epoch_record = g_byte_array_new();
    lmn_cbor_put_uint(epoch_record, epoch);
    lmn_txn_put(txn, key, epoch_record, 0);
    return txn;
}

/* Makes the transaction conditional on the member's incarnation in the watch cache. */
static void require_incarnation(const struct lmn_core *core, struct lmn_txn *txn,
                                int member_index)
{
    char *key = g_strdup_printf("n/%s", lmn_member_name(&core->members, member_index));

    lmn_txn_require_version(txn, key, core->members.views[member_index].incarnation);
    g_free(key);
}

struct lmn_txn *lmn_partition_claim(const struct lmn_core *core,
                                    const struct lmn_partition *partition, uint64_t lease)
{
    int owner = partition->record.owner_revision
                    ? lmn_member_index(&core->members, partition->record.owner)
                    : -1;
    /* The condition on the standby's record guards a warm failover: without the replica
     * of the standby's present stream the failover is cold, and needs no condition. */
    bool is_warm =
        partition->replication.replica && !partition->replication.replica->is_own_state &&
        partition->replication.replica->stream == partition->record.standby_stream;
    struct lmn_txn *txn =
        write_owner(partition, core->settings->node_name, lease, is_warm);

    /* The claim declares the owner failed. It is rejected if the owner has refuted the
     * suspicion by then, since that changes its incarnation. */
    if (owner >= 0 && owner != core->members.self)
        require_incarnation(core, txn, owner);
    return txn;
}

struct lmn_txn *lmn_partition_transfer(const struct lmn_core *core,
                                       const struct lmn_partition *partition, int target)
{
    struct lmn_txn *txn = write_owner(partition, lmn_member_name(&core->members, target),
                                      core->members.views[target].lease, true);

    require_incarnation(core, txn, target);
    return txn;
}
