/** @file
 * Consolidation of replicas; see consolidation.h.
 *
 * As services end one by one, the remaining replicas are scattered over machines that are
 * half empty but paid for in full. While no task waits, the replicas of the emptiest
 * machine are moved to free capacity of other machines, and the machine is returned to
 * the cloud. Batch tasks are not moved: they end by themselves. The caller holds the
 * core's lock. */
#include "scheduler/consolidation.h"
#include "scheduler/affinity.h"
#include "scheduler/assignment.h"
#include "scheduler/image_cache.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

/** Seconds between consolidations of a partition. */
static const double INTERVAL_S = 0.5;
/** Most machines that one consolidation examines; each takes a search over all others. */
enum { MAX_EXAMINED = 4 };
/** Most replicas on a machine that is emptied. */
enum { MAX_REPLICAS = 64 };
/** Seconds that a replica must have run before it is moved. */
static const double SETTLED_AFTER_S = 35;
/** Fraction of the machines' processors that must stay free for new tasks. */
static const double RESERVE_FRACTION = 0.08;
/** Grace period of a stopped replica beyond the time to save its checkpoint. */
static const double SAVE_MARGIN_S = 1;

/** A machine that replicas could be moved to. */
struct target {
    struct lmn_machine *machine;
    struct lmn_resources available;
};

/** Machines of a partition that take part in a consolidation. */
struct partition_summary {
    GArray *targets;        /**< struct target, the emptiest first */
    double cpus;            /**< of the targets */
    double free_cpus;       /**< of the targets */
    bool has_waiting_tasks; /**< a task is in a queue of the partition */
};

/** Whether the machine answers, and nothing known will remove it soon. */
static bool is_stable(const struct lmn_core *core, const struct lmn_machine *machine,
                      struct timespec now)
{
    return machine->type && machine->record.revision && machine->lifecycle.is_accounted &&
           !machine->lifecycle.is_draining && !machine->lifecycle.has_spot_notice &&
           !machine->agent.lease_expired && !machine->lifecycle.is_terminated &&
           !machine->reservation.preemption_tasks &&
           !lmn_machine_is_silent(core, machine, now);
}

static bool is_replica(const struct lmn_attempt *attempt)
{
    return attempt->holds_capacity && attempt->range && attempt->job &&
           attempt->job->phase == LMN_JOB_ACTIVE &&
           attempt->job->spec.kind == LMN_JOB_SERVICE;
}

/** Whether the replica has run for SETTLED_AFTER_S and is not being stopped. */
static bool is_settled(const struct lmn_attempt *attempt, struct timespec now)
{
    return attempt->state == LMN_ATTEMPT_RUNNING && attempt->was_reported &&
           !attempt->must_stop && !attempt->push_in_flight &&
           !(lmn_time_diff_s(now, attempt->started_at) < SETTLED_AFTER_S);
}

/** Whether the machine has replicas, MAX_REPLICAS at most, and all may be moved now. */
static bool has_movable_replicas(const struct lmn_machine *machine, struct timespec now)
{
    guint count = 0;

    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!is_replica(attempt))
            continue;
        if (!is_settled(attempt, now))
            return false;
        count++;
    }
    return count > 0 && count <= MAX_REPLICAS;
}

/** Whether a replica of the job may be moved from one machine to the other. The target
 * must have the job's image, so that the replica starts without a fetch. */
static bool may_move_to(const struct lmn_machine *machine, const struct lmn_machine *from,
                        const struct lmn_job *job)
{
    return lmn_machine_can_run(machine, job) && lmn_machine_has_image(machine, job) &&
           (!strcmp(machine->zone, from->zone) ||
            lmn_zone_task_capacity(job, machine->zone));
}

/** Returns the fullest target that a replica of the job can be moved to, or NULL. */
static struct target *find_target(GArray *targets, const struct lmn_machine *from,
                                  const struct lmn_job *job)
{
    struct target *best = NULL;

    for (guint i = 0; i < targets->len; i++) {
        struct target *target = &g_array_index(targets, struct target, i);
        if (target->machine == from ||
            !lmn_resources_fit_task(&target->available, &job->spec) ||
            (best && target->available.cpus >= best->available.cpus))
            continue;
        if (may_move_to(target->machine, from, job))
            best = target;
    }
    return best;
}

/** Whether all replicas of the machine fit on other targets together. */
static bool can_move_all_replicas(const GArray *targets,
                                  const struct lmn_machine *machine)
{
    GArray *remaining =
        g_array_sized_new(FALSE, FALSE, sizeof(struct target), targets->len);
    bool fits = true;

    g_array_append_vals(remaining, targets->data, targets->len);
    for (guint i = 0; fits && i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!is_replica(attempt))
            continue;
        struct target *target = find_target(remaining, machine, attempt->job);
        fits = target != NULL;
        if (target)
            lmn_resources_subtract_tasks(&target->available, 1, &attempt->job->spec);
    }
    g_array_free(remaining, TRUE);
    return fits;
}

static gint compare_emptiest_first(gconstpointer first, gconstpointer second)
{
    const struct target *left = first, *right = second;

    if (left->available.cpus != right->available.cpus)
        return left->available.cpus > right->available.cpus ? -1 : 1;
    return strcmp(left->machine->name, right->machine->name);
}

/** Lists the machines that replicas could be moved to. Empty machines are not listed, nor
 * are spot instances: they also run other jobs, and the cloud reclaims them by itself. */
static struct partition_summary summarize_machines(const struct lmn_core *core,
                                                   const struct lmn_partition *partition,
                                                   struct timespec now)
{
    struct partition_summary summary = {
        .targets = g_array_new(FALSE, FALSE, sizeof(struct target)),
        .has_waiting_tasks = partition->scheduling.unassigned.task_count > 0};
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_machine *machine = value;
        summary.has_waiting_tasks =
            summary.has_waiting_tasks || machine->queue.task_count > 0;
        if (!is_stable(core, machine, now) || machine->is_spot || machine->used.cpus <= 0)
            continue;
        struct target target = {machine, lmn_machine_free_resources(machine)};
        summary.cpus += machine->type->cpus;
        summary.free_cpus += target.available.cpus;
        g_array_append_val(summary.targets, target);
    }
    g_array_sort(summary.targets, compare_emptiest_first);
    return summary;
}

/** Returns the machine to empty, or NULL. */
static struct lmn_machine *choose_machine(const struct partition_summary *summary,
                                          struct timespec now)
{
    guint examined = 0;

    for (guint i = 0; i < summary->targets->len && examined < MAX_EXAMINED; i++) {
        struct lmn_machine *machine =
            g_array_index(summary->targets, struct target, i).machine;
        /* Returning the machine reduces the free capacity by all of its processors: the
         * free ones, and those that its replicas then use on other machines. */
        if (summary->free_cpus - machine->type->cpus < RESERVE_FRACTION * summary->cpus)
            return NULL;
        if (!has_movable_replicas(machine, now))
            continue;
        examined++;
        if (can_move_all_replicas(summary->targets, machine))
            return machine;
    }
    return NULL;
}

/** Stops the machine's replicas and drains the machine. */
static void empty_machine(struct lmn_core *core, struct lmn_machine *machine,
                          struct timespec now)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!is_replica(attempt))
            continue;
        attempt->must_stop = true;
        attempt->grace_s = attempt->job->spec.save_s + SAVE_MARGIN_S;
    }
    lmn_machine_drain(core, machine, false, "its replicas fit on other machines", now);
    lmn_machine_wake(machine);
    pthread_cond_broadcast(&core->machines_woken);
}

/** Whether the partition may be consolidated now. */
static bool is_due(const struct lmn_core *core, const struct lmn_partition *partition,
                   struct timespec now)
{
    return partition->ownership.is_owned && partition->ownership.is_ready &&
           !partition->ownership.is_transferring &&
           !lmn_time_before(now, partition->scheduling.next_consolidation_at) &&
           !(lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S);
}

void lmn_consolidate_replicas(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now)
{
    if (!is_due(core, partition, now))
        return;
    partition->scheduling.next_consolidation_at = lmn_time_add(now, INTERVAL_S);
    struct partition_summary summary = summarize_machines(core, partition, now);
    struct lmn_machine *machine =
        summary.has_waiting_tasks ? NULL : choose_machine(&summary, now);
    if (machine)
        empty_machine(core, machine, now);
    g_array_free(summary.targets, TRUE);
}
