/** @file
 * Preemption for production tasks; see preemption.h.
 *
 * Tasks are stopped only as the protocol's section "Preemption" allows. While capacity is
 * being freed on a machine, the machine starts no task of lower priority: otherwise small
 * tasks would take the capacity of each victim as it ends. The caller holds the core's
 * lock. */
#include "scheduler/preemption.h"
#include "util/log.h"
#include "scheduler/affinity.h"
#include "scheduler/image_cache.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"

#include <string.h>

/** Most waiting tasks for which one call frees capacity. */
enum { MAX_WAITING_TASKS = 16 };
/** Most tasks that are preempted for one waiting task. */
enum { MAX_VICTIMS = 64 };
/** Seconds for which a machine's freed capacity is reserved for production tasks. */
static const double RESERVATION_S = 8;
/** Seconds added to the lost run time of each preempted task, for its later restart. */
static const double RESTART_S = 5;
/** Seconds of lost work that are as bad as one second of fetching an image. */
static const double FETCH_WEIGHT = 4;
/** Grace period of a preempted task beyond the time to save its checkpoint. */
static const double SAVE_MARGIN_S = 1;

/** A production task that waits. */
struct waiting_task {
    struct lmn_queue *queue;     /**< the queue that contains the task */
    struct lmn_machine *machine; /**< owner of the queue; NULL: the unassigned queue */
    struct lmn_range *range;
    uint32_t index; /**< of the task in its job */
};

/** Tasks to preempt on a machine. */
struct preemption_plan {
    guint victims[MAX_VICTIMS]; /**< indexes of the machine's attempts */
    guint victim_count;
    double loss_cpu_s; /**< processor seconds lost; INFINITY: the task can't be made to
                          fit */
};

/** Adds the queue's production tasks to the list, up to MAX_WAITING_TASKS. Leaves out as
 * many as the machine has reserved capacity for. */
static void collect_waiting(struct lmn_queue *queue, struct lmn_machine *machine,
                            GArray *waiting, struct timespec now)
{
    uint32_t reserved = machine ? machine->reservation.preemption_tasks : 0;

    for (guint i = 0; i < queue->segments->len && waiting->len < MAX_WAITING_TASKS; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        const struct lmn_job *job = segment->job;
        if (job->spec.priority != LMN_PRIORITY_PRODUCTION ||
            job->phase != LMN_JOB_ACTIVE ||
            lmn_time_before(now, job->failures.backoff_until))
            continue;
        for (uint32_t index = segment->first;
             index < segment->end && waiting->len < MAX_WAITING_TASKS; index++) {
            struct waiting_task task = {queue, machine, segment->range, index};
            if (reserved > 0)
                reserved--;
            else
                g_array_append_val(waiting, task);
        }
    }
}

/** Whether the attempt may be preempted for a job with the spec's priority. */
static bool is_preemptible(const struct lmn_attempt *attempt,
                           const struct lmn_job_spec *spec)
{
    return attempt->job && attempt->range && attempt->job->phase == LMN_JOB_ACTIVE &&
           attempt->holds_capacity && !attempt->must_stop && !attempt->push_in_flight &&
           attempt->was_reported && attempt->job->spec.priority < spec->priority &&
           (attempt->state == LMN_ATTEMPT_FETCHING ||
            attempt->state == LMN_ATTEMPT_RUNNING);
}

/** Most seconds that victims may take to save checkpoints: half of the time within which
 * the waiting task should start. The other half is for messages and the start itself.
 * INFINITY if no objective limits the time to start. */
static double max_save_s(const struct lmn_settings *settings,
                         const struct lmn_job_spec *spec)
{
    double least_s = INFINITY;

    for (size_t i = 0; i < settings->objective_count; i++) {
        const struct lmn_objective *objective = &settings->objectives[i];
        if (objective->kind == LMN_OBJECTIVE_START &&
            (!*objective->class_name || !strcmp(objective->class_name, spec->class_name)))
            least_s = MIN(least_s, objective->within_s);
    }
    return least_s / 2;
}

/** Whether the attempt gets time to save a checkpoint before it is stopped. */
static bool gets_time_to_save(const struct lmn_attempt *attempt, double save_limit_s)
{
    return attempt->job->spec.save_s <= save_limit_s;
}

/** Processor seconds of work lost by preempting the attempt.
 * @param saves the attempt gets time to save a checkpoint */
static double loss_cpu_s(const struct lmn_attempt *attempt, bool saves,
                         struct timespec now)
{
    const struct lmn_job_spec *spec = &attempt->job->spec;
    double ran_s = attempt->state == LMN_ATTEMPT_FETCHING
                       ? 0
                       : lmn_time_diff_s(now, attempt->started_at);
    double lost_s = ran_s;

    if (spec->checkpoint_s > 0)
        lost_s = saves ? MIN(ran_s, spec->save_s) : MIN(ran_s, spec->checkpoint_s / 2);
    return spec->cpus * (lost_s + RESTART_S);
}

static bool is_victim(const struct preemption_plan *plan, guint attempt_index)
{
    for (guint i = 0; i < plan->victim_count; i++)
        if (plan->victims[i] == attempt_index)
            return true;
    return false;
}

/** Index of the attempt, not yet in the plan, whose preemption loses the least work; -1:
 * none.
 * @param[out] least_cpu_s processor seconds lost with that attempt; INFINITY if there is
 * none */
static int cheapest_victim(const struct lmn_machine *machine,
                           const struct preemption_plan *plan,
                           const struct lmn_job_spec *spec, double save_limit_s,
                           double *least_cpu_s, struct timespec now)
{
    int cheapest = -1;

    *least_cpu_s = INFINITY;
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (is_victim(plan, i) || !is_preemptible(attempt, spec))
            continue;
        double loss = loss_cpu_s(attempt, gets_time_to_save(attempt, save_limit_s), now);
        if (cheapest < 0 || loss < *least_cpu_s) {
            cheapest = (int)i;
            *least_cpu_s = loss;
        }
    }
    return cheapest;
}

/** Plans how to free capacity for one more task on the machine: chooses attempts in the
 * order of the work lost with them, the least first, until the task fits. */
static struct preemption_plan plan_preemption(const struct lmn_machine *machine,
                                              const struct lmn_job_spec *spec,
                                              double save_limit_s, struct timespec now)
{
    struct lmn_resources available = lmn_machine_free_resources(machine);
    struct preemption_plan plan;

    /* plan.victims stays uninitialized, to save time: plans are made for each machine. */
    plan.victim_count = 0;
    plan.loss_cpu_s = 0;
    while (!lmn_resources_fit_task(&available, spec)) {
        double least_cpu_s;
        int victim =
            cheapest_victim(machine, &plan, spec, save_limit_s, &least_cpu_s, now);
        if (victim < 0 || plan.victim_count == MAX_VICTIMS) {
            plan.victim_count = 0;
            plan.loss_cpu_s = INFINITY;
            return plan;
        }
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, (guint)victim);
        plan.loss_cpu_s += least_cpu_s;
        lmn_resources_add_task(&available, &attempt->job->spec);
        plan.victims[plan.victim_count++] = (guint)victim;
    }
    return plan;
}

/** Marks the attempts of the plan to be stopped. */
static void preempt(struct lmn_machine *machine, const struct preemption_plan *plan,
                    double save_limit_s)
{
    for (guint i = 0; i < plan->victim_count; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, plan->victims[i]);
        attempt->must_stop = true;
        attempt->grace_s = gets_time_to_save(attempt, save_limit_s)
                               ? attempt->job->spec.save_s + SAVE_MARGIN_S
                               : 0;
        lmn_debug("task_preempted task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  attempt->job_id, attempt->index, attempt->number, machine->name);
    }
}

/** Number of the job's tasks that are queued in the zone on machines with a preemption
 * reservation. 0 for a job without affinity or anti-affinity, which does not need the
 * number. */
static uint32_t count_reserved_in_zone(const struct lmn_partition *partition,
                                       const struct lmn_job *job, const char *zone)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;

    if (!job->spec.spreads_over_zones && !job->spec.requires_one_zone)
        return 0;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_machine *machine = value;
        if (!machine->reservation.preemption_tasks || strcmp(machine->zone, zone))
            continue;
        for (guint i = 0; i < machine->queue.segments->len; i++) {
            const struct lmn_queue_segment *segment = machine->queue.segments->pdata[i];
            if (segment->job == job)
                count += segment->end - segment->first;
        }
    }
    return count;
}

/** Whether capacity may be freed on the machine for a task of the job. A silent machine
 * is not eligible: the task would wait there until the machine sends heartbeats again. */
static bool is_eligible(const struct lmn_core *core, const struct lmn_machine *machine,
                        const struct lmn_job *job, struct timespec now)
{
    return !machine->reservation.preemption_tasks && lmn_machine_can_run(machine, job) &&
           lmn_zone_task_capacity(job, machine->zone) &&
           !lmn_machine_is_silent(core, machine, now);
}

/** Returns the machine with the lowest cost for a task of the job, in work lost and in
 * time to fetch the image; NULL if no machine is eligible. */
static struct lmn_machine *find_machine(struct lmn_core *core,
                                        const struct lmn_partition *partition,
                                        const struct lmn_job *job, double save_limit_s,
                                        struct timespec now)
{
    struct lmn_machine *best = NULL;
    double least_cpu_s = INFINITY;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_machine *machine = value;
        if (!is_eligible(core, machine, job, now))
            continue;
        double cost_cpu_s =
            FETCH_WEIGHT * job->spec.cpus * lmn_image_fetch_s(machine, job, now);
        if (cost_cpu_s < least_cpu_s)
            cost_cpu_s +=
                plan_preemption(machine, &job->spec, save_limit_s, now).loss_cpu_s;
        if (cost_cpu_s >= least_cpu_s ||
            lmn_zone_task_capacity(job, machine->zone) <=
                count_reserved_in_zone(partition, job, machine->zone))
            continue;
        least_cpu_s = cost_cpu_s;
        best = machine;
    }
    return best;
}

/** Releases expired reservations and lists the partition's waiting production tasks. */
static GArray *list_waiting(struct lmn_partition *partition, struct timespec now)
{
    GArray *waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting_task));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_machine *machine = value;
        if (machine->reservation.preemption_tasks &&
            lmn_time_before(machine->reservation.preemption_until, now))
            machine->reservation.preemption_tasks = 0;
        collect_waiting(&machine->queue, machine, waiting, now);
    }
    collect_waiting(&partition->scheduling.unassigned, NULL, waiting, now);
    return waiting;
}

/** Frees capacity for the task on the machine with the lowest cost, and moves the task to
 * that machine's queue. */
static void free_capacity_for_task(struct lmn_core *core, struct lmn_partition *partition,
                                   const struct waiting_task *task, struct timespec now)
{
    const struct lmn_job *job = task->range->job;
    double save_limit_s = max_save_s(core->settings, &job->spec);

    if (!lmn_job_within_quota(core, partition, job))
        return;
    struct lmn_machine *machine = find_machine(core, partition, job, save_limit_s, now);
    if (!machine)
        return;
    struct preemption_plan plan = plan_preemption(machine, &job->spec, save_limit_s, now);
    preempt(machine, &plan, save_limit_s);
    core->counters.preempted += plan.loss_cpu_s > 0;
    machine->reservation.preemption_tasks++;
    machine->reservation.preemption_until = lmn_time_add(now, RESERVATION_S);
    if (machine != task->machine) {
        lmn_queue_remove_task(task->queue, task->range, task->index);
        lmn_queue_add(&machine->queue, task->range, task->index, task->index + 1);
    }
    lmn_machine_wake(machine);
    pthread_cond_broadcast(&core->machines_woken);
}

void lmn_preempt_for_production(struct lmn_core *core, struct lmn_partition *partition,
                                struct timespec now)
{
    if (!partition->ownership.is_owned || partition->ownership.is_transferring)
        return;
    GArray *waiting = list_waiting(partition, now);
    for (guint i = 0; i < waiting->len; i++)
        free_capacity_for_task(core, partition,
                               &g_array_index(waiting, struct waiting_task, i), now);
    g_array_free(waiting, TRUE);
}
