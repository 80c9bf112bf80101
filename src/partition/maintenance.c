/* The maintenance loop of an owner. The core's lock is held by the caller throughout. */
#include "partition/maintenance.h"

#include "partition/machine_silence.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "replication/replica.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "state/task_ledger.h"
#include "util/log.h"

/* A lease has surely run out on the worker's side after this factor and margin: the
 * clocks' drift, and our own lateness. */
static const double CLOCK_DRIFT_FACTOR = 1.002, LEASE_MARGIN_S = 1.5;

/* A worker whose lease has expired has so long to come back with a new incarnation. */
static const double EXPIRED_WORKER_RETURN_S = 12;

/* How long after its announced end a spot machine counts as taken. */
static const double SPOT_END_MARGIN_S = 0.5;

/* Unanswered probes in a row after which a machine counts as unreachable. */
enum { UNREACHABLE_PROBES = 2 };

/* How long an inherited machine may stay unaccounted for: normally; added to a lease if
 * most machines are silent; and added to cancel_s in a zone that is cut off together with
 * the partition's preferred owner. */
static const double UNACCOUNTED_S = 2.5, UNACCOUNTED_LEASE_MARGIN_S = 8,
                    UNACCOUNTED_CUT_MARGIN_S = 4;

/* The next heartbeat of a live worker has come after this factor of the interval; after a
 * reply that it did not get, so much later. */
static const double HEARTBEAT_INTERVAL_FACTOR = 1.25, MISSED_REPLY_S = 4;

/* Between two reconciliations. */
static const double RECONCILIATION_INTERVAL_S = 5.0;

/* The interval between two rounds, for each machine, and at most. With so few machines
 * every call makes a round. */
static const double ROUND_S_PER_MACHINE = 0.0003, MAX_ROUND_INTERVAL_S = 1;
enum { FEW_MACHINES = 1000 };

void lmn_machine_terminated(struct lmn_core *core, struct lmn_machine *machine,
                            struct timespec now)
{
    machine->lifecycle.is_terminated = true;
    machine->lifecycle.is_inherited = false;
    machine->lifecycle.is_accounted = true;
    lmn_machine_requeue_tasks(core, machine, "machine gone", now);
    g_hash_table_add(core->cloud.returned_machines, g_strdup(machine->name));
    lmn_partition_check_ready(core, machine->partition, now);
    if (!machine->record.block)
        g_hash_table_remove(machine->partition->machines, machine->name);
}

/* --- one machine --- */

/* What the silence of other machines says about this one. */
struct machine_surroundings {
    bool most_are_silent; /* of the whole partition */
    bool zone_is_cut;
};

static guint running_attempts(const struct lmn_machine *machine)
{
    guint count = 0;

    for (guint i = 0; i < machine->attempts->len; i++)
        count += g_array_index(machine->attempts, struct lmn_attempt, i).state !=
                 LMN_ATTEMPT_ENDED;
    return count;
}

/* Since the last heartbeat, or since the partition is owned. */
static double silent_s(const struct lmn_machine *machine, struct timespec now)
{
    return machine->agent.has_reported
               ? lmn_time_diff_s(now, machine->agent.last_heartbeat_at)
               : lmn_time_diff_s(now, machine->partition->ownership.since);
}

/* Gives up the tasks of a machine whose lease has run out: by then the worker has ended
 * everything by itself. The time counts from the last heartbeat that we may have
 * answered.
 *
 * That holds within our own epoch only. Before, a predecessor may have answered the
 * worker later than we know; and after, a successor. So the watch cache must show that
 * the partition was still ours when the lease was over. Without that check a controller
 * that was cut off with its zone gave up the machines of the other zones, which its
 * successor had kept alive, and started their tasks once more on those of its own zone.
 */
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
             machine->partition->id, running_attempts(machine));
    lmn_machine_requeue_tasks(core, machine, "lease lapsed", now);
}

/* Returns a machine that is silent and answers no probe. Most machines that fall silent
 * are gone, and the cloud's answer to a return proves that sooner than a lease's end; a
 * worker that answers a probe is left alone. Machines in a zone that is cut off are left
 * alone too: to return them would end tasks that run on, and would leave nothing to come
 * back to when the cut is over. */
static void drain_if_unreachable(struct lmn_core *core, struct lmn_machine *machine,
                                 const struct machine_surroundings *surroundings,
                                 struct timespec now)
{
    if (lmn_machine_is_silent(core, machine, now) &&
        machine->agent.unanswered_probes >= UNREACHABLE_PROBES &&
        !surroundings->most_are_silent && !surroundings->zone_is_cut)
        lmn_machine_drain(core, machine, true, "silent and unreachable", now);
}

/* Returns a machine whose worker has not come back after its lease expired. In a zone
 * that is cut off it may take cancel_s longer. */
static void drain_if_lease_expired(struct lmn_core *core, struct lmn_machine *machine,
                                   const struct machine_surroundings *surroundings,
                                   struct timespec now)
{
    const struct lmn_settings *settings = core->settings;
    bool is_cut_alone = !surroundings->most_are_silent && surroundings->zone_is_cut;

    if (machine->agent.lease_expired &&
        silent_s(machine, now) > settings->lease_s + EXPIRED_WORKER_RETURN_S +
                                     (is_cut_alone ? settings->cancel_s : 0) &&
        lmn_time_diff_s(now, lmn_heartbeats_answered_since(core)) >
            EXPIRED_WORKER_RETURN_S)
        lmn_machine_drain(core, machine, true, "silent", now);
}

static void drain_if_spot_ended(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now)
{
    if (machine->lifecycle.has_spot_notice &&
        lmn_time_diff_s(now, machine->lifecycle.spot_notice_at) >
            machine->lifecycle.spot_notice_s + SPOT_END_MARGIN_S)
        lmn_machine_drain(core, machine, true, "taken by the cloud", now);
}

/* How long an inherited machine may stay unaccounted for before it is returned. If most
 * machines are, the fault is more likely on this side: then their leases have to run out
 * first. In a zone that is cut off, the partition's preferred owner, if it stands there,
 * may answer the workers for as long as its view is not too old, and their leases run out
 * after that. If it stands elsewhere, nobody answers them, and the partition's queued
 * work need not wait. */
static double unaccounted_limit_s(const struct lmn_core *core,
                                  const struct lmn_machine *machine,
                                  const struct machine_surroundings *surroundings)
{
    const struct lmn_settings *settings = core->settings;
    double limit_s = UNACCOUNTED_S;

    if (surroundings->most_are_silent)
        limit_s = settings->lease_s + UNACCOUNTED_LEASE_MARGIN_S;
    else if (surroundings->zone_is_cut &&
             lmn_preferred_owner_is_in_zone(core, machine->partition, machine->zone))
        limit_s = settings->cancel_s + UNACCOUNTED_CUT_MARGIN_S;
    /* A worker whose heartbeat came has had a reply, and gets the time for another
     * heartbeat. */
    if (machine->agent.has_reported)
        limit_s = MAX(limit_s,
                      HEARTBEAT_INTERVAL_FACTOR * settings->heartbeat_s + MISSED_REPLY_S);
    return limit_s;
}

/* Since when the machine could have been accounted for. */
static double unaccounted_s(const struct lmn_machine *machine, struct timespec now)
{
    return lmn_time_diff_s(now, machine->lifecycle.is_inherited
                                    ? machine->partition->ownership.since
                                    : machine->agent.first_seen_at);
}

/* Returns an inherited machine if neither its worker's heartbeats nor our probes got
 * through in time. Heartbeats of an older epoch do not put that off: they may be copies
 * that come late, or come from a machine that nothing from us reaches, and the
 * partition's inherited work would wait for as long as they come. */
static void drain_if_unaccounted(struct lmn_core *core, struct lmn_machine *machine,
                                 const struct machine_surroundings *surroundings,
                                 struct timespec now)
{
    const struct lmn_settings *settings = core->settings;
    double waited_s = unaccounted_s(machine, now);
    double limit_s = unaccounted_limit_s(core, machine, surroundings);
    unsigned unanswered = machine->agent.unanswered_probes;

    if (machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted &&
        waited_s > limit_s &&
        (unanswered >= UNREACHABLE_PROBES ||
         (unanswered &&
          waited_s > HEARTBEAT_INTERVAL_FACTOR * settings->heartbeat_s + limit_s) ||
         waited_s > settings->lease_s))
        lmn_machine_drain(core, machine, true, "not heard under the new term", now);
}

/* Returns a machine that nobody recorded and that was never accounted for under our
 * epoch: it is known from a late copy of a heartbeat of a machine that is gone, or
 * nothing from us reaches it. */
static void drain_if_never_accounted(struct lmn_core *core, struct lmn_machine *machine,
                                     struct timespec now)
{
    const struct lmn_settings *settings = core->settings;

    if (!machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted &&
        unaccounted_s(machine, now) >
            settings->lease_s + HEARTBEAT_INTERVAL_FACTOR * settings->heartbeat_s)
        lmn_machine_drain(core, machine, true, "never heard under this term", now);
}

/* Returns an idle machine. While a partition's inherited work has to wait, its machines
 * are idle for that alone, so the time counts from when the partition was ready. */
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

static void maintain_machine(struct lmn_core *core, struct lmn_machine *machine,
                             const GArray *silence, struct timespec now)
{
    if (machine->lifecycle.is_terminated)
        return;
    expire_lease(core, machine, now);
    /* With too old a view this controller may not own the machine any more. */
    if (lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S)
        return;
    const struct machine_surroundings surroundings = {
        .most_are_silent = lmn_machine_majority_is_silent(silence),
        .zone_is_cut = lmn_zone_is_cut_off(machine->partition, machine->zone, now)};
    drain_if_unreachable(core, machine, &surroundings, now);
    drain_if_lease_expired(core, machine, &surroundings, now);
    drain_if_spot_ended(core, machine, now);
    drain_if_unaccounted(core, machine, &surroundings, now);
    drain_if_never_accounted(core, machine, now);
    drain_if_idle(core, machine, now);
}

/* --- reconciliation --- */

static uint32_t tasks_in_queue(const struct lmn_queue *queue,
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

static uint32_t tasks_in_queues(const struct lmn_partition *partition,
                                const struct lmn_range *range)
{
    uint32_t count = tasks_in_queue(&partition->scheduling.unassigned, range);
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_machine *machine = value;
        count += tasks_in_queue(&machine->queue, range);
    }
    return count;
}

static uint32_t queued_tasks(const struct lmn_range *range)
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
    uint32_t queued = queued_tasks(range);
    uint32_t found = tasks_in_queues(range->partition, range);
    if (found >= queued)
        return;
    core->counters.reconciled_tasks++;
    lmn_error("reconciliation_requeued_tasks range=%s queued=%u found=%u", range->key,
              queued, found);
    lmn_reassign_range(core, range, now);
}

/* A task whose state is queued but that stands in no queue would wait for ever. There
 * should be none; a range with such a task is logged as an error and assigned anew. */
static void reconcile(struct lmn_core *core, struct lmn_partition *partition,
                      struct timespec now)
{
    g_autoptr(GList) ranges = g_hash_table_get_values(partition->ranges);

    for (GList *link = ranges; link && partition->ownership.is_ready; link = link->next)
        reconcile_range(core, link->data, now);
}

/* --- a round --- */

/* Counts how many machines each member's partitions have. */
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

/* Whether some machine has to be probed, now or later. */
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

static guint owned_machines(const struct lmn_core *core)
{
    guint count = 0;

    for (int i = 0; i < core->partition_count; i++)
        if (core->partitions[i].ownership.is_owned)
            count += core->partitions[i].machine_list->len;
    return count;
}

/* Whether the last round was too recent for another one: a round takes as long as there
 * are machines, and what it finds has been waiting for seconds already. */
static bool is_too_soon(const struct lmn_core *core, struct timespec now)
{
    guint machines = owned_machines(core);

    return machines > FEW_MACHINES &&
           lmn_time_diff_s(now, core->maintenance.last_run_at) <
               MIN(machines * ROUND_S_PER_MACHINE, MAX_ROUND_INTERVAL_S);
}

static void maintain_partition(struct lmn_core *core, struct lmn_partition *partition,
                               bool reconciliation_is_due, struct timespec now)
{
    /* Counted once for all machines: for each of them it would take their square. */
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
