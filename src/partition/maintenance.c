/* The periodic maintenance of owned partitions. The core's lock is held by the caller
 * throughout. */
#include "partition/maintenance.h"

#include "partition/heartbeat_reply.h"
#include "partition/machine_silence.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "replication/replica.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "state/task_ledger.h"
#include "util/log.h"

/* The lease has certainly expired on the worker's side once lease_s times this factor,
 * plus this margin in seconds, has passed since the worker's last heartbeat. The factor
 * covers the drift between the two clocks, the margin the delays of this controller. */
static const double CLOCK_DRIFT_FACTOR = 1.002, LEASE_MARGIN_S = 1.5;

/* How long after its lease's end a worker may take to come back with a new incarnation,
 * in seconds, before its machine is returned. */
static const double EXPIRED_WORKER_RETURN_S = 12;

/* How long after its announced end a spot machine counts as reclaimed by the cloud, in
 * seconds. */
static const double SPOT_END_MARGIN_S = 0.5;

/* The number of consecutive unanswered probes after which a machine counts as
 * unreachable. */
enum { UNREACHABLE_PROBES = 2 };

/* How long an inherited machine may stay unaccounted for before it is returned, in
 * seconds: in general; in addition to lease_s if most machines of the partition are
 * silent; in addition to cancel_s if the machine's zone is cut off and the partition's
 * preferred owner is in it. */
static const double UNACCOUNTED_S = 2.5, UNACCOUNTED_LEASE_MARGIN_S = 8,
                    UNACCOUNTED_ZONE_CUT_MARGIN_S = 4;

/* A live worker's next heartbeat arrives within heartbeat_s times this factor; if the
 * reply to its last heartbeat was lost, up to this many seconds later. */
static const double HEARTBEAT_INTERVAL_FACTOR = 1.25, LOST_REPLY_DELAY_S = 4;

/* Seconds between two reconciliations of queues and task states. */
static const double RECONCILIATION_INTERVAL_S = 5.0;

/* The interval between two rounds in seconds: for each owned machine, and at most. With
 * up to UNTHROTTLED_MACHINES owned machines every call runs a round. */
static const double ROUND_INTERVAL_S_PER_MACHINE = 0.0003, MAX_ROUND_INTERVAL_S = 1;
enum { UNTHROTTLED_MACHINES = 1000 };

void lmn_machine_handle_termination(struct lmn_core *core, struct lmn_machine *machine,
                                    struct timespec now)
{
    machine->lifecycle.is_terminated = true;
    machine->lifecycle.is_inherited = false;
    machine->lifecycle.is_accounted = true;
    lmn_machine_requeue_tasks(core, machine, "machine terminated by the cloud", now);
    g_hash_table_add(core->cloud.returned_machines, g_strdup(machine->name));
    lmn_partition_check_ready(core, machine->partition, now);
    if (!machine->record.block)
        g_hash_table_remove(machine->partition->machines, machine->name);
}

/* --- one machine --- */

/* How many of the other machines are silent, too: if many are, the network or this
 * controller is more likely at fault than the machine. */
struct silence_context {
    bool most_are_silent; /* most machines of the partition are silent */
    bool zone_is_cut;     /* the machine's zone counts as cut off */
};

static guint count_running_attempts(const struct lmn_machine *machine)
{
    guint count = 0;

    for (guint i = 0; i < machine->attempts->len; i++)
        count += g_array_index(machine->attempts, struct lmn_attempt, i).state !=
                 LMN_ATTEMPT_ENDED;
    return count;
}

/* Seconds since the machine's last heartbeat; if there was none under this ownership,
 * since this controller acquired the partition. */
static double silent_s(const struct lmn_machine *machine, struct timespec now)
{
    return machine->agent.has_reported
               ? lmn_time_diff_s(now, machine->agent.last_heartbeat_at)
               : lmn_time_diff_s(now, machine->partition->ownership.since);
}

/* Requeues the tasks of a machine whose lease has expired: by then the worker has killed
 * all its tasks by itself. The lease counts from the last heartbeat that this controller
 * may have answered.
 *
 * This holds within this controller's own epoch only. Before it, a previous owner may
 * have renewed the worker's lease later than this controller knows; after it, the next
 * owner may. So the watch cache must show that this controller still owned the partition
 * when the lease expired. Without that check, a controller that is cut off together with
 * its zone requeues the tasks of machines in other zones, whose leases the next owner
 * keeps renewing, and starts them a second time on machines in its own zone. */
static void expire_lease(struct lmn_core *core, struct lmn_machine *machine,
                         struct timespec now)
{
    double lease_s = core->settings->lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S;

    if (!machine->lifecycle.is_accounted || machine->agent.lease_expired ||
        silent_s(machine, now) <= lease_s ||
        lmn_time_diff_s(core->cache.fresh_at, machine->agent.last_heartbeat_at) <=
            lease_s)
        return;
    machine->agent.lease_expired = true;
    lmn_info("machine_lease_expired machine=%s partition=%d tasks=%u", machine->name,
             machine->partition->id, count_running_attempts(machine));
    lmn_machine_requeue_tasks(core, machine, "lease expired", now);
}

/* Returns a machine that sends no heartbeats and answers no probe. Most machines that
 * fall silent are gone, and the cloud's response to the return confirms that sooner than
 * the lease expires. A machine whose worker answers a probe is kept. So are machines in a
 * zone that is cut off: their tasks are still running and would be killed, and no machine
 * would be left in the zone when the link works again. */
static void drain_if_unreachable(struct lmn_core *core, struct lmn_machine *machine,
                                 const struct silence_context *context,
                                 struct timespec now)
{
    if (lmn_machine_is_silent(core, machine, now) &&
        machine->agent.unanswered_probes >= UNREACHABLE_PROBES &&
        !context->most_are_silent && !context->zone_is_cut)
        lmn_machine_drain(core, machine, true, "no heartbeat and no reply to probes",
                          now);
}

/* Returns a machine whose worker has not come back within EXPIRED_WORKER_RETURN_S after
 * its lease expired; in a zone that is cut off, within cancel_s more. Time during which
 * this controller answered no heartbeats does not count. */
static void drain_if_lease_expired(struct lmn_core *core, struct lmn_machine *machine,
                                   const struct silence_context *context,
                                   struct timespec now)
{
    const struct lmn_settings *settings = core->settings;
    bool only_zone_is_silent = !context->most_are_silent && context->zone_is_cut;

    if (machine->agent.lease_expired &&
        silent_s(machine, now) > settings->lease_s + EXPIRED_WORKER_RETURN_S +
                                     (only_zone_is_silent ? settings->cancel_s : 0) &&
        lmn_time_diff_s(now, lmn_heartbeats_answered_since(core)) >
            EXPIRED_WORKER_RETURN_S)
        lmn_machine_drain(core, machine, true, "no heartbeat since its lease expired",
                          now);
}

static void drain_if_spot_ended(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now)
{
    if (machine->lifecycle.has_spot_notice &&
        lmn_time_diff_s(now, machine->lifecycle.spot_notice_at) >
            machine->lifecycle.spot_notice_s + SPOT_END_MARGIN_S)
        lmn_machine_drain(core, machine, true, "spot machine reclaimed by the cloud",
                          now);
}

/* How many seconds an inherited machine may stay unaccounted for before it is returned.
 *
 * If most machines of the partition are silent, the fault is more likely on this
 * controller's side: then the machines are kept until their leases have expired. If the
 * zone is cut off and the partition's preferred owner is in it, that member may go on
 * answering the workers for up to cancel_s, until its watch cache is too old, and their
 * leases expire after that. If the preferred owner is in another zone, nobody renews the
 * leases of these workers, and the partition's queued tasks need not wait longer. */
static double unaccounted_limit_s(const struct lmn_core *core,
                                  const struct lmn_machine *machine,
                                  const struct silence_context *context)
{
    const struct lmn_settings *settings = core->settings;
    double limit_s = UNACCOUNTED_S;

    if (context->most_are_silent)
        limit_s = settings->lease_s + UNACCOUNTED_LEASE_MARGIN_S;
    else if (context->zone_is_cut &&
             lmn_preferred_owner_is_in_zone(core, machine->partition, machine->zone))
        limit_s = settings->cancel_s + UNACCOUNTED_ZONE_CUT_MARGIN_S;
    /* A worker that has sent a heartbeat was sent a reply, and gets the time for its next
     * heartbeat, which acknowledges the new epoch. */
    if (machine->agent.has_reported)
        limit_s = MAX(limit_s, HEARTBEAT_INTERVAL_FACTOR * settings->heartbeat_s +
                                   LOST_REPLY_DELAY_S);
    return limit_s;
}

/* For how many seconds the machine could have been accounted for: an inherited one since
 * this controller acquired the partition, any other since it was first seen. */
static double unaccounted_s(const struct lmn_machine *machine, struct timespec now)
{
    return lmn_time_diff_s(now, machine->lifecycle.is_inherited
                                    ? machine->partition->ownership.since
                                    : machine->agent.first_seen_at);
}

/* Returns an inherited machine that is not accounted for in time, because neither its
 * heartbeats nor this controller's probes got through. Heartbeats that carry an older
 * epoch do not extend the limit: they may be delayed copies, or come from a machine that
 * no message of this controller reaches, and the partition's inherited tasks would wait
 * for as long as they keep arriving. */
static void drain_if_unaccounted(struct lmn_core *core, struct lmn_machine *machine,
                                 const struct silence_context *context,
                                 struct timespec now)
{
    const struct lmn_settings *settings = core->settings;
    double waited_s = unaccounted_s(machine, now);
    double limit_s = unaccounted_limit_s(core, machine, context);
    unsigned unanswered_probes = machine->agent.unanswered_probes;

    if (machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted &&
        waited_s > limit_s &&
        (unanswered_probes >= UNREACHABLE_PROBES ||
         (unanswered_probes &&
          waited_s > HEARTBEAT_INTERVAL_FACTOR * settings->heartbeat_s + limit_s) ||
         waited_s > settings->lease_s))
        lmn_machine_drain(core, machine, true,
                          "inherited machine not accounted for in time", now);
}

/* Returns a machine that no owner has recorded and that was never accounted for in this
 * epoch: either this controller knows it only from a delayed heartbeat of a machine that
 * is gone, or no message of this controller reaches it. */
static void drain_if_never_accounted(struct lmn_core *core, struct lmn_machine *machine,
                                     struct timespec now)
{
    const struct lmn_settings *settings = core->settings;

    if (!machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted &&
        unaccounted_s(machine, now) >
            settings->lease_s + HEARTBEAT_INTERVAL_FACTOR * settings->heartbeat_s)
        lmn_machine_drain(core, machine, true,
                          "unrecorded machine not accounted for in time", now);
}

/* Returns a machine that has been idle for idle_return_s. Until the partition is ready,
 * its machines may be idle only because inherited tasks have to wait, so the time counts
 * from when the partition became ready at the earliest. */
static void drain_if_idle(struct lmn_core *core, struct lmn_machine *machine,
                          struct timespec now)
{
    const struct lmn_partition_ownership *ownership = &machine->partition->ownership;
    double idle_return_s = core->cache.operator_settings.idle_return_s;

    if (machine->lifecycle.is_accounted && !machine->lifecycle.is_draining &&
        machine->lifecycle.idle_since.tv_sec && ownership->is_ready &&
        lmn_time_diff_s(now, machine->lifecycle.idle_since) > idle_return_s &&
        lmn_time_diff_s(now, ownership->ready_at) > idle_return_s &&
        !machine->queue.task_count)
        lmn_machine_drain(core, machine, false, "idle", now);
}

/* Wakes a machine that has as many attempts as its heartbeats can name, once results of
 * some are recorded, for a push that clears these. */
static void wake_to_clear_attempts(struct lmn_core *core, struct lmn_machine *machine)
{
    if (machine->push.is_in_flight || !lmn_machine_needs_pushed_clears(machine))
        return;
    lmn_machine_wake(machine);
    pthread_cond_broadcast(&core->machines_woken);
}

static void maintain_machine(struct lmn_core *core, struct lmn_machine *machine,
                             const GArray *silence, struct timespec now)
{
    if (machine->lifecycle.is_terminated)
        return;
    expire_lease(core, machine, now);
    /* If the watch cache is too old, another controller may own the machine by now. */
    if (lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S)
        return;
    const struct silence_context context = {
        .most_are_silent = lmn_machine_majority_is_silent(silence),
        .zone_is_cut = lmn_zone_is_cut_off(machine->partition, machine->zone, now)};
    drain_if_unreachable(core, machine, &context, now);
    drain_if_lease_expired(core, machine, &context, now);
    drain_if_spot_ended(core, machine, now);
    drain_if_unaccounted(core, machine, &context, now);
    drain_if_never_accounted(core, machine, now);
    wake_to_clear_attempts(core, machine);
    drain_if_idle(core, machine, now);
}

/* --- reconciliation --- */

static uint32_t count_in_queue(const struct lmn_queue *queue,
                               const struct lmn_range *range)
{
    uint32_t count = 0;

    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        if (segment->range == range)
            count += segment->end - segment->first;
    }
    return count;
}

static uint32_t count_in_queues(const struct lmn_partition *partition,
                                const struct lmn_range *range)
{
    uint32_t count = count_in_queue(&partition->scheduling.unassigned, range);
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_machine *machine = value;
        count += count_in_queue(&machine->queue, range);
    }
    return count;
}

/* How many tasks have the state queued. */
static uint32_t count_queued_states(const struct lmn_range *range)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < range->end - range->first; i++)
        count += range->task_states[i] == LMN_TASK_QUEUED;
    return count;
}

static void reconcile_range(struct lmn_core *core, struct lmn_range *range,
                            struct timespec now)
{
    if (!range->task_states || range->job->phase != LMN_JOB_ACTIVE)
        return;
    uint32_t queued = count_queued_states(range);
    uint32_t found = count_in_queues(range->partition, range);
    if (found >= queued)
        return;
    core->counters.reconciled_tasks++;
    lmn_error("reconciliation_requeued_tasks range=%s queued=%u found=%u", range->key,
              queued, found);
    lmn_reassign_range(core, range, now);
}

/* A task whose state is queued but that is in no queue would never start. This should not
 * happen; if it does, it is logged as an error, and all queued tasks of the range are
 * assigned to machines again. */
static void reconcile(struct lmn_core *core, struct lmn_partition *partition,
                      struct timespec now)
{
    g_autoptr(GList) ranges = g_hash_table_get_values(partition->ranges);

    for (GList *link = ranges; link && partition->ownership.is_ready; link = link->next)
        reconcile_range(core, link->data, now);
}

/* --- a round --- */

/* Counts the machines in the partitions of each member. */
static void count_members_machines(struct lmn_core *core)
{
    for (int i = 0; i < core->members.count; i++)
        core->members.views[i].machine_count = 0;
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        int owner = partition->record.owner_revision
                        ? lmn_member_index(&core->members, partition->record.owner)
                        : -1;
        if (owner >= 0)
            core->members.views[owner].machine_count += partition->machine_list->len;
    }
}

/* Whether some machine has to be probed, now or later: it is inherited and not accounted
 * for, or silent. */
static bool needs_probing(const struct lmn_core *core,
                          const struct lmn_partition *partition, struct timespec now)
{
    for (guint i = 0; i < partition->machine_list->len; i++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (!machine->lifecycle.is_terminated &&
            ((machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted) ||
             lmn_machine_is_silent(core, machine, now)))
            return true;
    }
    return false;
}

static guint count_owned_machines(const struct lmn_core *core)
{
    guint count = 0;

    for (int i = 0; i < core->partition_count; i++)
        if (core->partitions[i].ownership.is_owned)
            count += core->partitions[i].machine_list->len;
    return count;
}

/* Whether the last round was too recent for another one. A round takes time in proportion
 * to the number of machines, and the conditions that it acts on have lasted for seconds
 * already, so that a round up to MAX_ROUND_INTERVAL_S later costs little. */
static bool is_too_soon(const struct lmn_core *core, struct timespec now)
{
    guint machines = count_owned_machines(core);

    return machines > UNTHROTTLED_MACHINES &&
           lmn_time_diff_s(now, core->maintenance.last_run_at) <
               MIN(machines * ROUND_INTERVAL_S_PER_MACHINE, MAX_ROUND_INTERVAL_S);
}

static void maintain_partition(struct lmn_core *core, struct lmn_partition *partition,
                               bool reconciliation_is_due, struct timespec now)
{
    /* Counted once for all machines: counting again for each machine would take time
     * quadratic in their number. */
    GArray *silence = lmn_machine_silence_count(core, partition, now);

    lmn_zone_cuts_update(core, partition, silence, now);
    partition->ownership.needs_probing = needs_probing(core, partition, now);
    for (guint i = 0; i < partition->machine_list->len; i++)
        maintain_machine(core, partition->machine_list->pdata[i], silence, now);
    g_array_free(silence, TRUE);
    lmn_partition_check_ready(core, partition, now);
    if (reconciliation_is_due)
        reconcile(core, partition, now);
}

void lmn_maintenance_run(struct lmn_core *core, struct timespec now)
{
    bool reconciliation_is_due =
        lmn_time_diff_s(now, core->maintenance.last_reconciled_at) >
        RECONCILIATION_INTERVAL_S;

    if (is_too_soon(core, now))
        return;
    core->maintenance.last_run_at = now;
    if (lmn_watch_cache_is_too_stale(core, now) ||
        !lmn_self_may_reply(&core->members, now))
        core->maintenance.heartbeats_refused_until = now;
    lmn_silent_machine_share_update(core, now);
    count_members_machines(core);
    if (reconciliation_is_due)
        core->maintenance.last_reconciled_at = now;
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        lmn_replica_drop_outdated(core, partition);
        if (partition->ownership.is_owned)
            maintain_partition(core, partition, reconciliation_is_due, now);
    }
}
