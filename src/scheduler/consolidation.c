/** @file
 * Consolidation of replicas; see consolidation.h.
 *
 * Services end one by one, and leave others scattered over machines that are half empty
 * and paid for whole. While nothing waits, the replicas of the emptiest machine are moved
 * to free capacity of others, and the machine is returned. Batch tasks are left to run
 * out. The core's lock is held. */
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
/** Machines that are examined at a time, since each takes a search over all others. */
enum { MAX_EXAMINED = 4 };
/** Replicas that are moved at a time. */
enum { MAX_REPLICAS = 64 };
/** Seconds that a replica has run before it is moved. */
static const double SETTLED_AFTER_S = 35;
/** Free capacity that is left for what comes next, as a fraction of the machines'
 * processors. */
static const double RESERVE_FRACTION = 0.08;
/** Seconds that a replica gets beyond the time that saving a checkpoint takes. */
static const double SAVE_MARGIN_S = 1;

/** A machine that replicas could be moved to. */
struct target {
    struct lmn_machine *machine;
    struct lmn_resources available;
};

/** What a partition has. */
struct survey {
    GArray *targets; /**< struct target */
    double cpus;     /**< of the targets */
    double free_cpus;
    bool has_waiting_tasks;
};

/** Whether the machine is expected to stay and to answer. */
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

/** Whether the replica runs steadily. */
static bool is_settled(const struct lmn_attempt *attempt, struct timespec now)
{
    return attempt->state == LMN_ATTEMPT_RUNNING && attempt->was_reported &&
           !attempt->must_stop && !attempt->push_in_flight &&
           !(lmn_time_diff_s(now, attempt->started_at) < SETTLED_AFTER_S);
}

/** Whether the machine has replicas, and they may all be moved now. */
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

/** Whether a replica of the job may be moved to the machine. The machine must have the
 * image, so that the replica starts at once. */
static bool accepts(const struct lmn_machine *machine, const struct lmn_machine *from,
                    const struct lmn_job *job)
{
    return lmn_machine_can_run(machine, job) && lmn_machine_has_image(machine, job) &&
           (!strcmp(machine->zone, from->zone) ||
            lmn_zone_task_capacity(job, machine->zone));
}

/** The fullest of the targets that a replica of the job can be moved to; NULL: none. */
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
        if (accepts(target->machine, from, job))
            best = target;
    }
    return best;
}

/** Whether all replicas of the machine fit elsewhere, placed one after the other. */
static bool can_empty(const GArray *targets, const struct lmn_machine *machine)
{
    GArray *left = g_array_sized_new(FALSE, FALSE, sizeof(struct target), targets->len);
    bool fits = true;

    g_array_append_vals(left, targets->data, targets->len);
    for (guint i = 0; fits && i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!is_replica(attempt))
            continue;
        struct target *target = find_target(left, machine, attempt->job);
        fits = target != NULL;
        if (target)
            lmn_resources_subtract_task(&target->available, &attempt->job->spec);
    }
    g_array_free(left, TRUE);
    return fits;
}

static gint compare_emptiest_first(gconstpointer left, gconstpointer right)
{
    const struct target *a = left, *b = right;

    if (a->available.cpus != b->available.cpus)
        return a->available.cpus > b->available.cpus ? -1 : 1;
    return strcmp(a->machine->name, b->machine->name);
}

/** Lists the machines that replicas could be moved to, the emptiest first. Spot instances
 * are left out: they hold other work, and go by themselves. So are empty machines. */
static struct survey survey_machines(const struct lmn_core *core,
                                     const struct lmn_partition *partition,
                                     struct timespec now)
{
    struct survey survey = {.targets = g_array_new(FALSE, FALSE, sizeof(struct target)),
                            .has_waiting_tasks =
                                partition->scheduling.unassigned.task_count > 0};
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct lmn_machine *machine = value;
        survey.has_waiting_tasks =
            survey.has_waiting_tasks || machine->queue.task_count > 0;
        if (!is_stable(core, machine, now) || machine->is_spot || machine->used.cpus <= 0)
            continue;
        struct target target = {machine, lmn_machine_free_resources(machine)};
        survey.cpus += machine->type->cpus;
        survey.free_cpus += target.available.cpus;
        g_array_append_val(survey.targets, target);
    }
    g_array_sort(survey.targets, compare_emptiest_first);
    return survey;
}

/** The machine to empty; NULL: none. */
static struct lmn_machine *choose_machine(const struct survey *survey,
                                          struct timespec now)
{
    guint examined = 0;

    for (guint i = 0; i < survey->targets->len && examined < MAX_EXAMINED; i++) {
        struct lmn_machine *machine =
            g_array_index(survey->targets, struct target, i).machine;
        /* The capacity that its replicas take elsewhere, and its own, will be missing. */
        if (survey->free_cpus - machine->type->cpus < RESERVE_FRACTION * survey->cpus)
            return NULL;
        if (!has_movable_replicas(machine, now))
            continue;
        examined++;
        if (can_empty(survey->targets, machine))
            return machine;
    }
    return NULL;
}

/** Stops the machine's replicas, and drains it. */
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
    lmn_machine_drain(core, machine, false, "its replicas have room elsewhere", now);
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
    struct survey survey = survey_machines(core, partition, now);
    struct lmn_machine *machine =
        survey.has_waiting_tasks ? NULL : choose_machine(&survey, now);
    if (machine)
        empty_machine(core, machine, now);
    g_array_free(survey.targets, TRUE);
}
