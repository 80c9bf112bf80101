/* Partitions of the machines: who owns which, under what term. */
#include "partition/partition.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "partition/machine_block.h"
#include "partition/quota_transfer.h"
#include "partition/transfer_target.h"
#include "partition/range.h"
#include "replication/replica_choice.h"
#include "replication/standby_record.h"
#include "replication/stream.h"
#include "replication/failover.h"
#include "state/task_ledger.h"

#include <string.h>

/* A fixed function of the name: machines are numbered as they are rented, so the number's
 * remainder spreads them evenly; names of another form are hashed. */
int lmn_partition_for_machine(const char *machine, int nparts)
{
    size_t len = strlen(machine), digits = 0;
    unsigned long n = 0;

    while (digits < len && digits < 9 && g_ascii_isdigit(machine[len - 1 - digits]))
        digits++;
    if (!digits)
        return (int)(g_str_hash(machine) % (guint)nparts);
    for (size_t i = len - digits; i < len; i++)
        n = n * 10 + (unsigned long)(machine[i] - '0');
    return (int)(n % (unsigned long)nparts);
}

static void reset_machine(struct lmn_machine *machine)
{
    lmn_queue_clear(&machine->queue);
    for (guint i = 0; i < machine->attempts->len; i++)
        lmn_attempt_uncount(machine,
                            &g_array_index(machine->attempts, struct lmn_attempt, i));
    g_array_set_size(machine->attempts, 0);
    g_array_set_size(machine->failures.jobs, 0);
    machine->failures.quarantined_until = (struct timespec){0, 0};
    lmn_machine_cancel_wake(machine);
    machine->push.is_in_flight = false;
    machine->agent.unanswered_probes = machine->agent.ignored_commands = 0;
    machine->reservation.preemption_tasks = 0;
    machine->reservation.job = NULL;
    machine->agent.next_probe_at = (struct timespec){0, 0};
    machine->agent.has_reported = machine->lifecycle.is_accounted =
        machine->agent.lease_expired = false;
    machine->lifecycle.is_draining = machine->lifecycle.drain_at_once =
        machine->lifecycle.has_spot_notice = machine->lifecycle.is_terminated = false;
    machine->lifecycle.is_inherited = machine->record.revision != 0;
    machine->agent.incarnation = machine->agent.sequence =
        machine->agent.heartbeat_sequence = 0;
    machine->stealing.interval_s = 0;
    machine->lifecycle.idle_since = machine->stealing.next_at = (struct timespec){0, 0};
}

/* With what a standby was told, or what this process knew as the last owner; else as one
 * that knows nothing. */
static void begin_warm(struct lmn_core *core, struct lmn_partition *partition,
                       struct timespec now)
{
    const char *why = lmn_failover_cold_reason(core, partition);

    partition->ownership.is_warm = !why;
    if (partition->ownership.is_warm) {
        guint held = lmn_failover_restore(core, partition, now);
        core->counters.warm_failovers++;
        core->counters.own_state_failovers +=
            partition->replication.replica->is_own_state;
        lmn_info("failover_warm partition=%d epoch=%" G_GUINT64_FORMAT
                 " machines=%u attempts=%u own=%d",
                 partition->id, partition->ownership.epoch, partition->machine_list->len,
                 held, partition->replication.replica->is_own_state);
    } else if (partition->machine_list->len) {
        core->counters.cold_failovers++;
        lmn_info("failover_cold partition=%d epoch=%" G_GUINT64_FORMAT
                 " machines=%u why=\"%s\"",
                 partition->id, partition->ownership.epoch, partition->machine_list->len,
                 why);
    }
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = NULL;
}

void lmn_partition_own(struct lmn_core *core, struct lmn_partition *partition,
                       struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    lmn_replication_reset(core, partition);
    partition->ownership.is_owned = true;
    partition->ownership.is_ready = partition->ownership.is_transferring =
        partition->ownership.has_started_task = partition->ownership.is_warm =
            partition->ownership.inherited_may_start = false;
    partition->ownership.epoch = partition->record.owner_epoch;
    partition->ownership.revision = partition->record.owner_revision;
    partition->ownership.last_attempt = 0;
    partition->ownership.since = now;
    partition->ownership.needs_probing = true;
    memset(partition->quota.used_cpus, 0,
           core->settings->team_count * sizeof *partition->quota.used_cpus);
    memset(partition->quota.used_gpus, 0,
           core->settings->team_count * sizeof *partition->quota.used_gpus);
    core->counters.failovers++;
    lmn_machine_blocks_reset(partition);
    /* Of an earlier term of ours: they would hold returns up that wait for no cut. */
    g_array_set_size(partition->zone_cuts, 0);
    memset(partition->quota.reservations, 0,
           core->settings->team_count * sizeof *partition->quota.reservations);
    lmn_quota_transfer_reset(partition);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        reset_machine(v);
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_range_open(core, v);
    lmn_info("partition_acquired partition=%d epoch=%" G_GUINT64_FORMAT
             " machines=%u ranges=%u",
             partition->id, partition->ownership.epoch,
             g_hash_table_size(partition->machines),
             g_hash_table_size(partition->ranges));
    begin_warm(core, partition, now);
    lmn_partition_check_ready(core, partition, now);
    pthread_cond_broadcast(&core->machines_woken);
}

void lmn_partition_lose(struct lmn_core *core, struct lmn_partition *partition,
                        const char *why)
{
    GHashTableIter it;
    gpointer v;

    lmn_info("partition_lost partition=%d epoch=%" G_GUINT64_FORMAT " why=\"%s\"",
             partition->id, partition->ownership.epoch, why);
    lmn_replica_keep_own(partition);
    partition->ownership.is_owned = partition->ownership.is_ready =
        partition->ownership.is_transferring = partition->ownership.is_warm =
            partition->ownership.inherited_may_start = false;
    lmn_replication_reset(core, partition);
    lmn_quota_transfer_reset(partition);
    lmn_queue_clear(&partition->scheduling.unassigned);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        reset_machine(machine);
        if (!machine->record.revision)
            g_hash_table_iter_remove(&it);
    }
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *range = v;
        g_clear_pointer(&range->task_states, g_free);
        range->started_count = 0;
        range->is_writing = false;
    }
}

/* Deals what may start and was not dealt yet. A range can become known between the change
 * that made the partition ours and our noticing it, so whether it was dealt is kept, not
 * inferred. */
static void deal_ranges(struct lmn_core *core, struct lmn_partition *partition,
                        struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *range = v;
        if (range->is_assigned || range->job->phase != LMN_JOB_ACTIVE ||
            !lmn_range_may_start(range))
            continue;
        range->is_assigned = true;
        lmn_assign_range(core, range, now);
    }
}

void lmn_partition_check_ready(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    if (!partition->ownership.is_owned || partition->ownership.is_ready)
        return;
    guint unheard = 0;
    partition->ownership.unaccounted_cpus = partition->ownership.unaccounted_gpus = 0;
    partition->ownership.has_unaccounted_unknown = false;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
        if (!machine->lifecycle.is_inherited || machine->lifecycle.is_accounted)
            continue;
        /* It may hold any task that a predecessor started; if the takeover is warm, only
         * those that are in the books. */
        unheard++;
        partition->ownership.has_unaccounted_unknown =
            partition->ownership.has_unaccounted_unknown || !machine->type;
        partition->ownership.unaccounted_cpus += machine->type ? machine->type->cpus : 0;
        partition->ownership.unaccounted_gpus += machine->type ? machine->type->gpus : 0;
    }
    partition->ownership.is_ready = !unheard;
    if (partition->ownership.is_ready) {
        partition->ownership.ready_at = now;
        lmn_info("partition_ready partition=%d epoch=%" G_GUINT64_FORMAT " after=%.2f",
                 partition->id, partition->ownership.epoch,
                 lmn_time_diff_s(now, partition->ownership.since));
    }
    partition->ownership.inherited_may_start =
        partition->ownership.is_ready || partition->ownership.is_warm;
    deal_ranges(core, partition, now);
}

bool lmn_preferred_owner_is_in_zone(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    const char *zone)
{
    int n = (int)core->settings->member_count + 1, holder = partition->id % n;

    if (lmn_settings_member_index(core->settings, core->settings->node_name) == holder)
        return !strcmp(core->settings->zone, zone);
    for (size_t i = 0; i < core->settings->member_count; i++)
        if (lmn_settings_member_index(core->settings, core->settings->members[i].name) ==
            holder)
            return !strcmp(core->settings->members[i].zone, zone);
    return false;
}

int lmn_partition_next_owner(const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now)
{
    int named = lmn_standby_in_sync(core, partition, now);

    if (named >= 0)
        return named;
    for (int k = 0; k < core->members.count; k++) {
        int member_index = (partition->id + k) % core->members.count;
        if (lmn_member_is_trusted(&core->members, member_index, now))
            return member_index;
    }
    return -1;
}

/* The last owner has so long to claim its partition again before others do: its claim
 * comes with its next lease, within a few tenths of a second. */
static const double TAKE_BACK_S = 1.5;

/* Whether to leave the partition, whose owner key is gone, to its last owner for a
 * moment. One that has lived all the while knows what is on the machines. Not if it does
 * not answer: that of a crashed owner is taken over without delay. */
static bool left_to_last_owner(const struct lmn_core *core,
                               const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int last = lmn_member_index(members, partition->record.last_owner);

    if (last < 0 || last == members->self ||
        lmn_time_diff_s(now, partition->record.vacant_since) >= TAKE_BACK_S)
        return false;
    const struct lmn_member_view *member = &members->views[last];
    return member->ever_contacted && !member->unanswered_since.tv_sec &&
           !member->is_declared_failed && !member->is_shutting_down &&
           !lmn_member_is_suspected(members, last);
}

/* A process that starts, or gets a new lease, takes only its own for so long. */
static const double FIRST_S = 3;

bool lmn_partition_should_claim(const struct lmn_core *core,
                                const struct lmn_partition *partition,
                                struct timespec now)
{
    const struct lmn_members *members = &core->members;
    struct timespec since = partition->record.vacant_since;
    int successor[LMN_MAX_PARTITIONS], ahead = 1;

    if (members->is_isolated_from_workers || core->shutdown.is_requested ||
        !lmn_self_may_reply(members, now))
        return false; /* it could not serve it */
    if (partition->record.owner_revision) {
        int owner = lmn_member_index(members, partition->record.owner);
        /* Only one process runs for a member: what our last one held is ours. */
        if (owner == members->self)
            return partition->record.owner_lease != core->lease.id;
        if (!lmn_partition_is_orphaned(core, partition, now))
            return false;
        since = lmn_time_add(members->views[owner].suspected_since,
                             members->timeouts.suspicion_s);
    } else if (lmn_replica_own_is_latest(partition)) {
        return true;
    } else if (left_to_last_owner(core, partition, now)) {
        return false;
    } else if (partition->id % members->count == members->self) {
        int named = lmn_standby_in_sync(core, partition, now);
        if (named < 0 || named == members->self)
            return true;
    }
    /* Whoever is just back may be the first of many: after a cut of all controllers' zone
     * one took every partition, cold, 0.3 s before the others had their leases. */
    if (lmn_time_diff_s(now, core->cache.synced_at) < FIRST_S ||
        lmn_time_diff_s(now, core->lease.acquired_at) < FIRST_S)
        return false;
    lmn_transfer_targets(core, now, successor);
    if (successor[partition->id] == members->self)
        return true;
    /* Should that one not come, the others that are up, in their order. */
    for (int k = 0; k < members->count; k++) {
        int member_index = (partition->id + k) % members->count;
        if (member_index == members->self)
            break;
        ahead += member_index != successor[partition->id] &&
                 lmn_member_is_trusted(members, member_index, now);
    }
    return lmn_time_diff_s(now, since) >= 1.5 * ahead;
}

/* The owner's key and a higher term, both conditional on what the mirror shows. The key
 * hangs on the new owner's lease, whoever writes it. */
static struct lmn_txn *transfer(const struct lmn_partition *partition, const char *to,
                                uint64_t lease, bool standby)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    uint64_t epoch = partition->record.epoch + 1;
    uint64_t stream = standby ? lmn_standby_require_in_sync(partition, to, txn) : 0;
    GByteArray *buffer = g_byte_array_new();
    char key[32];

    lmn_cbor_put_map(buffer, 4);
    lmn_cbor_put_text(buffer, "node"), lmn_cbor_put_text(buffer, to);
    lmn_cbor_put_text(buffer, "lease"), lmn_cbor_put_uint(buffer, lease);
    lmn_cbor_put_text(buffer, "term"), lmn_cbor_put_uint(buffer, epoch);
    lmn_cbor_put_text(buffer, "stream"), lmn_cbor_put_uint(buffer, stream);
    g_snprintf(key, sizeof key, "o/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.owner_revision);
    lmn_txn_put(txn, key, buffer, lease);
    g_snprintf(key, sizeof key, "t/%d", partition->id);
    lmn_txn_require_version(txn, key, partition->record.epoch_revision);
    GByteArray *v = g_byte_array_new();
    lmn_cbor_put_uint(v, epoch);
    lmn_txn_put(txn, key, v, 0);
    return txn;
}

static void if_incarnation(const struct lmn_core *core, struct lmn_txn *txn,
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
    /* Conditional on the record only with its copy: without, that would be no help. */
    bool warm =
        partition->replication.replica && !partition->replication.replica->is_own_state &&
        partition->replication.replica->stream == partition->record.standby_stream;
    struct lmn_txn *txn = transfer(partition, core->settings->node_name, lease, warm);

    /* A verdict: it does not hold against one that refutes it first. */
    if (owner >= 0 && owner != core->members.self)
        if_incarnation(core, txn, owner);
    return txn;
}

struct lmn_txn *lmn_partition_transfer(const struct lmn_core *core,
                                       const struct lmn_partition *partition,
                                       int successor)
{
    struct lmn_txn *txn = transfer(partition, lmn_member_name(&core->members, successor),
                                   core->members.views[successor].lease, true);

    if_incarnation(core, txn, successor);
    return txn;
}
