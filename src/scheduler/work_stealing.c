/** @file
 * Work stealing between partitions, after MATRIX (A. Rajendran, thesis, 2013): the thief
 * first queries the victims' load, then steals tasks (section 3.3); its interval doubles
 * with each failure up to a cap (sections 2.3.2 and 3.6).
 *
 * Only queued tasks move, never a task that was started, in whatever epoch. The functions
 * depend only on the core's state and the time. The caller holds the core's lock. */
#include "scheduler/work_stealing.h"
#include "util/log.h"
#include "scheduler/assignment.h"
#include "scheduler/job_order.h"
#include "scheduler/quota.h"
#include "scheduler/resources.h"
#include "scheduler/wait_reason.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

/** Free processors that a machine must have to steal for it. */
static const double MIN_FREE_CPUS = 0.01;
/** Unused quota of a team without a limit, in processors or GPUs. */
static const double UNLIMITED = 1e12;
/** Seconds from a successful steal to the next: the stolen tasks have to arrive before
 * the partition's idle capacity is known again. */
static const double ARRIVAL_S = 0.25;
/** Minimum seconds between steals after a failure. */
static const double MIN_INTERVAL_S = 0.1;

void lmn_steal_request_init(struct lmn_steal_request *request,
                            const struct lmn_settings *settings)
{
    memset(request, 0, sizeof *request);
    request->team_free_cpus = g_new0(double, settings->team_count);
    request->team_free_gpus = g_new0(double, settings->team_count);
}

void lmn_steal_request_clear(struct lmn_steal_request *request)
{
    g_free(request->team_free_cpus);
    g_free(request->team_free_gpus);
}

/** Whether the machine has free capacity and no queued tasks, and may start stolen tasks.
 */
static bool is_idle(const struct lmn_machine *machine)
{
    if (!machine->stealing.is_idle_with_capacity || machine->queue.task_count ||
        !machine->type || !machine->record.revision || machine->lifecycle.is_draining ||
        machine->lifecycle.has_spot_notice || machine->agent.lease_expired ||
        machine->lifecycle.is_terminated)
        return false;
    const struct lmn_resources available = lmn_machine_free_resources(machine);
    return available.cpus >= MIN_FREE_CPUS && available.tasks >= 1;
}

/** Adds the machine's free capacity to the request. */
static void add_capacity(struct lmn_steal_request *request,
                         const struct lmn_machine *machine)
{
    struct lmn_free_capacity *capacity = &request->capacities[request->capacity_count++];
    struct lmn_resources available = lmn_machine_free_resources(machine);

    g_strlcpy(capacity->type, machine->type_name, sizeof capacity->type);
    g_strlcpy(capacity->zone, machine->zone, sizeof capacity->zone);
    capacity->is_spot = machine->is_spot;
    capacity->cpus = available.cpus;
    capacity->gpus = available.gpus;
    capacity->memory_gb = available.memory_gb;
}

/** Fills in the unused quota of each team in the partition. */
static void fill_team_quotas(const struct lmn_core *core,
                             const struct lmn_partition *partition,
                             struct lmn_steal_request *request)
{
    for (size_t i = 0; i < core->settings->team_count; i++) {
        const struct lmn_team *team = &core->settings->teams[i];
        double cpus, gpus;
        lmn_quota_share(core, partition, (int)i, &cpus, &gpus);
        request->team_free_cpus[i] =
            team->cpus_max > 0 ? cpus - partition->quota.used_cpus[i] : UNLIMITED;
        request->team_free_gpus[i] =
            team->gpus_max > 0 ? gpus - partition->quota.used_gpus[i] : UNLIMITED;
    }
}

bool lmn_steal_request_fill(struct lmn_core *core, struct lmn_partition *partition,
                            struct lmn_steal_request *request, struct timespec now)
{
    GHashTableIter iter;
    gpointer value;

    request->partition = partition->id;
    request->capacity_count = 0;
    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        partition->ownership.is_transferring ||
        lmn_time_before(now, partition->scheduling.next_steal_at))
        return false;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           request->capacity_count < LMN_MAX_STEAL_CAPACITIES)
        if (is_idle(value))
            add_capacity(request, value);
    fill_team_quotas(core, partition, request);
    return request->capacity_count > 0;
}

/** Number of the job's tasks that fit into the thief's free capacity and unused quota. */
static uint32_t thief_task_capacity(const struct lmn_core *core,
                                    const struct lmn_steal_request *request,
                                    const struct lmn_job *job)
{
    const struct lmn_job_spec *spec = &job->spec;
    double fitting = 0;

    if (job->team < 0)
        return 0;
    for (guint i = 0; i < request->capacity_count; i++) {
        const struct lmn_free_capacity *capacity = &request->capacities[i];
        /* The request does not say how many tasks the machine has already. Tasks that
         * it can't start yet wait in the thief's partition, from where they can be stolen
         * again. */
        const struct lmn_resources available = {capacity->cpus, capacity->gpus,
                                                capacity->memory_gb,
                                                LMN_MAX_MACHINE_ATTEMPTS};
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, capacity->type);
        if (!type || !lmn_job_spec_allows(spec, type, capacity->zone, capacity->is_spot))
            continue;
        double on_machine = lmn_resources_task_count(&available, spec);
        fitting += MAX(on_machine, 0);
    }
    const struct lmn_resources quota = {request->team_free_cpus[job->team],
                                        request->team_free_gpus[job->team], INFINITY,
                                        INFINITY};
    double within_quota = lmn_resources_task_count(&quota, spec);
    return (uint32_t)MAX(MIN(fitting, within_quota), 0);
}

/** Whether the job has zone affinity or anti-affinity. All its tasks must then belong to
 * one owner, since the zone of each depends on those of the others. */
static bool is_indivisible(const struct lmn_job *job)
{
    return job->spec.requires_one_zone || job->spec.spreads_over_zones;
}

/** Whether the range contains all tasks of its job, and none of them has started, ended
 * or may be on a machine. A move of the whole range then keeps all tasks with one owner.
 */
static bool is_untouched(const struct lmn_range *range)
{
    const struct lmn_job *job = range->job;
    int placed_tasks = 0;

    for (guint i = 0; job->zones && i < job->zones->len; i++)
        placed_tasks += g_array_index(job->zones, struct lmn_zone_tasks, i).tasks;
    return range->first == 0 && range->end == job->spec.tasks && !range->started_count &&
           !range->finished_count && placed_tasks == 0;
}

/** Number of queued tasks at the end of the range, which is the most that one move can
 * take. 0 if the range can't be moved. */
static uint32_t count_queued_tail(const struct lmn_range *range)
{
    uint32_t tasks = range->end - range->first, tail_start = tasks;

    if (!range->task_states || range->job->phase != LMN_JOB_ACTIVE || range->is_writing ||
        range->move_to >= 0)
        return 0;
    /* Tasks of a faulty job fail on every machine: to move them would waste a write. */
    if ((is_indivisible(range->job) && !is_untouched(range)) ||
        lmn_job_is_faulty(&range->job->failures))
        return 0;
    while (tail_start > 0 && range->task_states[tail_start - 1] == LMN_TASK_QUEUED)
        tail_start--;
    return tasks - tail_start;
}

/** Number of the range's tasks that may move to the thief. An indivisible job moves as a
 * whole if the thief could start one task of it: otherwise it would wait indefinitely in
 * a partition without a machine in its zone. */
static uint32_t count_movable(const struct lmn_core *core,
                              const struct lmn_steal_request *request,
                              const struct lmn_range *range)
{
    uint32_t queued = count_queued_tail(range);
    uint32_t capacity = queued ? thief_task_capacity(core, request, range->job) : 0;

    return capacity && is_indivisible(range->job) ? queued : MIN(queued, capacity);
}

/** Whether the thief may steal tasks from the partition. */
static bool may_be_victim(const struct lmn_partition *partition,
                          const struct lmn_steal_request *request)
{
    return partition->ownership.is_owned && partition->ownership.is_ready &&
           !partition->ownership.is_transferring && partition->id != request->partition;
}

uint32_t lmn_victim_load(const struct lmn_core *core,
                         const struct lmn_partition *partition,
                         const struct lmn_steal_request *request)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t load = 0;

    if (!may_be_victim(partition, request))
        return 0;
    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        load += count_movable(core, request, value);
    return load;
}

/** Whether any machine of the partition could run the job. */
static bool has_machine_for(const struct lmn_partition *partition,
                            const struct lmn_job *job)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (lmn_machine_can_run(value, job))
            return true;
    return false;
}

/** Returns the range to steal from: of the most urgent job, the range with the most
 * movable tasks; NULL if there is none.
 * @param[out] movable number of movable tasks in that range */
static struct lmn_range *choose_range(const struct lmn_core *core,
                                      const struct lmn_partition *partition,
                                      const struct lmn_steal_request *request,
                                      uint32_t *movable)
{
    struct lmn_range *best = NULL;
    GHashTableIter iter;
    gpointer value;

    *movable = 0;
    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_range *range = value;
        uint32_t tasks = count_movable(core, request, range);
        if (!tasks)
            continue;
        int order = best ? lmn_job_compare(range->job, best->job) : -1;
        if (order < 0 || (order == 0 && tasks > *movable)) {
            best = range;
            *movable = tasks;
        }
    }
    return best;
}

/** Number of the range's tasks to move: the fraction of its queued tasks that the
 * operator setting `share` gives (MATRIX, section 4.2.1), at most `movable` and at least
 * one. All movable tasks, if the victim has no machine that could run them or the job is
 * indivisible. */
static uint32_t tasks_to_move(const struct lmn_core *core,
                              const struct lmn_partition *partition,
                              const struct lmn_range *range, uint32_t movable)
{
    double share = has_machine_for(partition, range->job) && !is_indivisible(range->job)
                       ? core->cache.operator_settings.share
                       : 1;

    uint32_t wanted = (uint32_t)ceil(count_queued_tail(range) * share);
    return MIN(movable, MAX(wanted, 1));
}

/** Removes the range's tasks from `first` on from all queues of the partition. */
static void dequeue_tail(struct lmn_partition *partition, const struct lmn_range *range,
                         uint32_t first)
{
    GHashTableIter iter;
    gpointer value;

    lmn_queue_remove_tail(&partition->scheduling.unassigned, range, first);
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        lmn_queue_remove_tail(&((struct lmn_machine *)value)->queue, range, first);
}

uint32_t lmn_victim_begin_move(struct lmn_core *core, struct lmn_partition *partition,
                               const struct lmn_steal_request *request,
                               struct timespec now)
{
    uint32_t movable;
    (void)now;

    if (!may_be_victim(partition, request))
        return 0;
    struct lmn_range *range = choose_range(core, partition, request, &movable);
    if (!range)
        return 0;
    uint32_t count = tasks_to_move(core, partition, range, movable);
    range->move_at = range->end - count;
    range->move_to = request->partition;
    range->move_is_uncertain = false;
    range->move_revision = range->revision;
    for (uint32_t i = range->move_at; i < range->end; i++)
        range->task_states[i - range->first] = LMN_TASK_MOVING;
    dequeue_tail(partition, range, range->move_at);
    core->counters.moves++;
    core->counters.moved_tasks += count;
    lmn_debug("range_move_started job=%s from=%u tasks=%u partition=%d to=%d",
              range->job->spec.id, range->move_at, count, partition->id,
              request->partition);
    return count;
}

void lmn_steal_record_result(struct lmn_core *core, struct lmn_partition *partition,
                             uint32_t stolen, struct timespec now)
{
    const struct lmn_operator_settings *settings = &core->cache.operator_settings;
    struct lmn_partition_scheduling *scheduling = &partition->scheduling;

    if (stolen) {
        scheduling->steal_interval_s = 0;
        scheduling->next_steal_at = lmn_time_add(now, ARRIVAL_S);
        return;
    }
    scheduling->steal_interval_s =
        scheduling->steal_interval_s > 0
            ? MIN(scheduling->steal_interval_s * 2, settings->poll_cap_s)
            : MAX(settings->poll_floor_s, MIN_INTERVAL_S);
    scheduling->next_steal_at = lmn_time_add(now, scheduling->steal_interval_s);
}

void lmn_range_truncate(struct lmn_core *core, struct lmn_range *range, uint32_t end)
{
    (void)core;

    dequeue_tail(range->partition, range, end);
    range->end = end;
    range->move_to = -1;
    range->move_is_uncertain = false;
}

void lmn_range_cancel_move(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now)
{
    uint32_t move_at = range->move_at;

    range->move_to = -1;
    range->move_is_uncertain = false;
    if (!range->task_states)
        return;
    for (uint32_t i = move_at; i < range->end; i++)
        if (range->task_states[i - range->first] == LMN_TASK_MOVING)
            range->task_states[i - range->first] = LMN_TASK_QUEUED;
    if (range->partition->ownership.is_ready && range->job->phase == LMN_JOB_ACTIVE)
        lmn_assign_tasks(core, range, move_at, range->end, now);
}
