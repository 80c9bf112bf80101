/** @file
 * Preemption for production tasks; see preemption.h.
 *
 * Tasks are stopped only as the protocol's section "Preemption" allows. A machine on
 * which capacity is being freed starts nothing of lower priority until then: otherwise
 * small tasks would take each piece as it becomes free. The core's lock is held. */
#include "scheduler/preemption.h"
#include "util/log.h"
#include "scheduler/affinity.h"
#include "scheduler/image_cache.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"

#include <string.h>

/** Waiting tasks that are helped at a time. */
enum { MAX_HELPED_TASKS = 16 };
/** Tasks that are preempted for one waiting task at most. */
enum { MAX_VICTIMS = 64 };
/** Seconds for which a machine's freed capacity is reserved for production tasks. */
static const double RESERVATION_S = 8;
/** Seconds of work that count as lost with each preempted task beyond its own: it has to
 * be started again. */
static const double RESTART_S = 5;
/** What a second of fetching an image counts against a second of work lost. */
static const double FETCH_WEIGHT = 4;
/** Seconds that a preempted task gets beyond the time that saving a checkpoint takes. */
static const double SAVE_MARGIN_S = 1;

/** A production task that waits. */
struct waiting_task {
    struct lmn_queue *queue;     /**< that holds it */
    struct lmn_machine *machine; /**< whose queue that is; NULL: the unassigned queue */
    struct lmn_range *range;
    uint32_t index; /**< of the task in its job */
};

/** Tasks to preempt on a machine. */
struct preemption_plan {
    guint victims[MAX_VICTIMS]; /**< indexes of the machine's attempts */
    guint victim_count;
    double loss_cpu_s; /**< processor seconds lost; INFINITY: it can't be done */
};

/** Adds waiting production tasks of the queue to the list, until it is full. Tasks for
 * which the machine has freed capacity already are left out. */
static void collect_waiting(struct lmn_queue *queue, struct lmn_machine *machine,
                            GArray *waiting, struct timespec now)
{
    uint32_t served = machine ? machine->reservation.preemption_tasks : 0;

    for (guint i = 0; i < queue->segments->len && waiting->len < MAX_HELPED_TASKS; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        const struct lmn_job *job = segment->job;
        if (job->spec.priority != LMN_PRIORITY_PRODUCTION ||
            job->phase != LMN_JOB_ACTIVE ||
            lmn_time_before(now, job->failures.backoff_until))
            continue;
        for (uint32_t index = segment->first;
             index < segment->end && waiting->len < MAX_HELPED_TASKS; index++) {
            struct waiting_task task = {queue, machine, segment->range, index};
            if (served > 0)
                served--;
            else
                g_array_append_val(waiting, task);
        }
    }
}

/** Whether the attempt may be preempted for a job of that priority. */
static bool is_preemptible(const struct lmn_attempt *attempt,
                           const struct lmn_job_spec *spec)
{
    return attempt->job && attempt->range && attempt->job->phase == LMN_JOB_ACTIVE &&
           attempt->holds_capacity && !attempt->must_stop && !attempt->push_in_flight &&
           attempt->was_reported && attempt->job->spec.priority < spec->priority &&
           (attempt->state == LMN_ATTEMPT_FETCHING ||
            attempt->state == LMN_ATTEMPT_RUNNING);
}

/** Seconds for which a waiting task can wait for others to save their checkpoints: half
 * of the time within which it should start. What is beyond that goes for the messages and
 * the start itself. */
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

/** Whether the attempt is given the time to save a checkpoint. */
static bool gets_time_to_save(const struct lmn_attempt *attempt, double save_limit_s)
{
    return attempt->job->spec.save_s <= save_limit_s;
}

/** Processor seconds that would be lost with the attempt. */
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

/** Index of the attempt that is cheapest to preempt and not in the plan yet; -1: none.
 * @param[out] least_cpu_s its loss */
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

/** Plans the cheapest way to free capacity for one more task on the machine: attempts are
 * chosen one by one, that with the least loss first, until the task fits. */
static struct preemption_plan plan_preemption(const struct lmn_machine *machine,
                                              const struct lmn_job_spec *spec,
                                              double save_limit_s, struct timespec now)
{
    struct lmn_resources available = lmn_machine_free_resources(machine);
    struct preemption_plan plan;

    /* The list of victims is left unset: this is called for each machine. */
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

/** Marks the plan's attempts to be stopped. */
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

/** Number of the job's tasks that capacity is being freed for in the zone; 0 if the job
 * has no affinity or anti-affinity, where it does not matter. */
static uint32_t count_reserved_in_zone(const struct lmn_partition *partition,
                                       const struct lmn_job *job, const char *zone)
{
    uint32_t count = 0;
    GHashTableIter it;
    gpointer value;

    if (!job->spec.spreads_over_zones && !job->spec.requires_one_zone)
        return 0;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
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

/** Whether a task of the job may be placed on the machine, as far as that does not depend
 * on its free capacity. A machine that sends no heartbeats would keep the task waiting.
 */
static bool is_eligible(const struct lmn_core *core, const struct lmn_machine *machine,
                        const struct lmn_job *job, struct timespec now)
{
    return !machine->reservation.preemption_tasks && lmn_machine_can_run(machine, job) &&
           lmn_zone_task_capacity(job, machine->zone) &&
           !lmn_machine_is_silent(core, machine, now);
}

/** The machine where the task costs least, in work lost and in fetching its image; NULL:
 * it can run nowhere. */
static struct lmn_machine *find_machine(struct lmn_core *core,
                                        const struct lmn_partition *partition,
                                        const struct lmn_job *job, double save_limit_s,
                                        struct timespec now)
{
    struct lmn_machine *best = NULL;
    double least_cpu_s = INFINITY;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
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

/** Lists production tasks that wait in the partition. Reservations that have expired are
 * released first. */
static GArray *list_waiting(struct lmn_partition *partition, struct timespec now)
{
    GArray *waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting_task));
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct lmn_machine *machine = value;
        if (machine->reservation.preemption_tasks &&
            lmn_time_before(machine->reservation.preemption_until, now))
            machine->reservation.preemption_tasks = 0;
        collect_waiting(&machine->queue, machine, waiting, now);
    }
    collect_waiting(&partition->scheduling.unassigned, NULL, waiting, now);
    return waiting;
}

/** Frees capacity for the task on the best machine, and moves it to that machine's queue.
 */
static void help_task(struct lmn_core *core, struct lmn_partition *partition,
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
        help_task(core, partition, &g_array_index(waiting, struct waiting_task, i), now);
    g_array_free(waiting, TRUE);
}
