/* Steals between partitions. A partition with idle room asks a fresh random sample of the
 * others how many queued tasks would fit there, and pulls from the busiest. The victim
 * moves the end of a range by one conditional write: never a task that was started, under
 * whatever term. */
#include "scheduler/work_stealing.h"
#include "util/log.h"
#include "scheduler/job_order.h"
#include "scheduler/queue.h"
#include "scheduler/quota.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

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

bool lmn_steal_request_fill(struct lmn_core *core, struct lmn_partition *partition,
                            struct lmn_steal_request *request, struct timespec now)
{
    GHashTableIter it;
    gpointer v;

    request->partition = partition->id;
    request->capacity_count = 0;
    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        partition->ownership.is_transferring ||
        lmn_time_before(now, partition->scheduling.next_steal_at))
        return false;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v) &&
           request->capacity_count < G_N_ELEMENTS(request->capacities)) {
        const struct lmn_machine *machine = v;
        if (!machine->stealing.is_idle_with_capacity || machine->queue.task_count ||
            !machine->type || !machine->record.revision ||
            machine->lifecycle.is_draining || machine->lifecycle.has_spot_notice ||
            machine->agent.lease_expired || machine->lifecycle.is_terminated ||
            machine->type->cpus - machine->used.cpus < 0.01)
            continue;
        struct lmn_free_capacity *capacity =
            &request->capacities[request->capacity_count++];
        g_strlcpy(capacity->type, machine->type_name, sizeof capacity->type);
        g_strlcpy(capacity->zone, machine->zone, sizeof capacity->zone);
        capacity->is_spot = machine->is_spot;
        capacity->cpus = machine->type->cpus - machine->used.cpus;
        capacity->gpus = machine->type->gpus - machine->used.gpus;
        capacity->memory_gb = machine->type->memory_gb - machine->used.memory_gb;
    }
    for (size_t i = 0; i < core->settings->team_count; i++) {
        const struct lmn_team *team = &core->settings->teams[i];
        double cpus, gpus;
        lmn_quota_share(core, partition, (int)i, &cpus, &gpus);
        request->team_free_cpus[i] =
            team->cpus_max > 0 ? cpus - partition->quota.used_cpus[i] : 1e12;
        request->team_free_gpus[i] =
            team->gpus_max > 0 ? gpus - partition->quota.used_gpus[i] : 1e12;
    }
    return request->capacity_count > 0;
}

/* How many tasks of the job the thief has room and quota for. */
static uint32_t thief_room(const struct lmn_core *core,
                           const struct lmn_steal_request *request,
                           const struct lmn_job *job)
{
    const struct lmn_job_spec *spec = &job->spec;
    double n = 0, quota = 1e6;

    if (job->team < 0)
        return 0;
    for (guint i = 0; i < request->capacity_count; i++) {
        const struct lmn_free_capacity *capacity = &request->capacities[i];
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, capacity->type);
        double k = 1e6;
        if (!type || !lmn_job_spec_allows(spec, type, capacity->zone, capacity->is_spot))
            continue;
        if (spec->cpus > 0)
            k = MIN(k, floor(capacity->cpus / spec->cpus + 1e-6));
        if (spec->gpus > 0)
            k = MIN(k, floor(capacity->gpus / spec->gpus + 1e-6));
        if (spec->memory_gb > 0)
            k = MIN(k, floor(capacity->memory_gb / spec->memory_gb + 1e-6));
        n += MAX(k, 0);
    }
    if (spec->cpus > 0)
        quota = MIN(quota, floor(request->team_free_cpus[job->team] / spec->cpus + 1e-6));
    if (spec->gpus > 0)
        quota = MIN(quota, floor(request->team_free_gpus[job->team] / spec->gpus + 1e-6));
    return (uint32_t)MAX(MIN(n, quota), 0);
}

/* Whether the job's tasks look at each other's places: one owner has to see them all. */
static bool is_whole(const struct lmn_job *job)
{
    return job->spec.requires_one_zone || job->spec.spreads_over_zones;
}

/* Whether the range is all of its job, and nothing of it has begun, ended or may be on
 * any machine: moved as one, the job still has one owner that sees all of its tasks. */
static bool is_untouched(const struct lmn_range *range)
{
    const struct lmn_job *job = range->job;
    int placed = 0;

    for (guint i = 0; job->zones && i < job->zones->len; i++)
        placed += g_array_index(job->zones, struct lmn_zone_tasks, i).tasks;
    return range->first == 0 && range->end == job->spec.tasks && !range->started_count &&
           !range->finished_count && placed == 0;
}

/* Queued tasks at the end of a range: what a move can take. */
static uint32_t tail(const struct lmn_range *range)
{
    uint32_t n = range->end - range->first, k = n;

    if (!range->task_states || range->job->phase != LMN_JOB_ACTIVE || range->is_writing ||
        range->move_to >= 0)
        return 0;
    /* Those that fail wherever they start are not worth a change. */
    if ((is_whole(range->job) && !is_untouched(range)) ||
        lmn_job_is_faulty(&range->job->failures))
        return 0;
    while (k > 0 && range->task_states[k - 1] == LMN_TASK_QUEUED)
        k--;
    return n - k;
}

/* How many of the range's tasks should go to the thief. Of a job that can only be moved
 * as one, all, if one of them could start there: such jobs waited for ever in a partition
 * without a machine in their zone. */
static uint32_t movable(const struct lmn_core *core,
                        const struct lmn_steal_request *request,
                        const struct lmn_range *range)
{
    uint32_t queued = tail(range),
             room = queued ? thief_room(core, request, range->job) : 0;

    return room && is_whole(range->job) ? queued : MIN(queued, room);
}

uint32_t lmn_victim_load(const struct lmn_core *core,
                         const struct lmn_partition *partition,
                         const struct lmn_steal_request *request)
{
    GHashTableIter it;
    gpointer v;
    uint32_t n = 0;

    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        partition->ownership.is_transferring || partition->id == request->partition)
        return 0;
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *range = v;
        n += movable(core, request, range);
    }
    return n;
}

static bool held_here(const struct lmn_partition *partition, const struct lmn_job *job)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (lmn_machine_can_run(v, job))
            return true;
    return false;
}

uint32_t lmn_victim_transfer(struct lmn_core *core, struct lmn_partition *partition,
                             const struct lmn_steal_request *request, struct timespec now)
{
    GHashTableIter it;
    gpointer v;
    struct lmn_range *best = NULL;
    uint32_t most = 0;
    (void)now;

    if (!partition->ownership.is_owned || !partition->ownership.is_ready ||
        partition->ownership.is_transferring || partition->id == request->partition)
        return 0;
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_range *range = v;
        uint32_t n = movable(core, request, range);
        if (!n)
            continue;
        int order = best ? lmn_job_compare(range->job, best->job) : -1;
        if (order < 0 || (order == 0 && n > most)) {
            best = range;
            most = n;
        }
    }
    if (!best)
        return 0;
    /* The share of what is queued, but no more than can start there now; and all that
     * can, where no machine of the victim's own could ever take it. */
    double share = held_here(partition, best->job) && !is_whole(best->job)
                       ? core->cache.operator_settings.share
                       : 1;
    uint32_t n = MIN(most, MAX((uint32_t)ceil(tail(best) * share), 1));
    best->move_at = best->end - n;
    best->move_to = request->partition;
    best->move_is_uncertain = false;
    best->move_revision = best->revision;
    for (uint32_t i = best->move_at; i < best->end; i++)
        best->task_states[i - best->first] = LMN_TASK_MOVING;
    lmn_queue_remove_tail(&partition->scheduling.unassigned, best, best->move_at);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_tail(&((struct lmn_machine *)v)->queue, best, best->move_at);
    core->counters.moves++;
    core->counters.moved_tasks += n;
    lmn_debug("range_move_started job=%s from=%u tasks=%u partition=%d to=%d",
              best->job->spec.id, best->move_at, n, partition->id, request->partition);
    return n;
}

void lmn_steal_record_result(struct lmn_core *core, struct lmn_partition *partition,
                             uint32_t got, struct timespec now)
{
    if (got) {
        partition->scheduling.steal_interval_s = 0;
        /* What was won has to arrive before the next look makes sense. */
        partition->scheduling.next_steal_at = lmn_time_add(now, 0.25);
        return;
    }
    partition->scheduling.steal_interval_s =
        partition->scheduling.steal_interval_s > 0
            ? MIN(partition->scheduling.steal_interval_s * 2,
                  core->cache.operator_settings.poll_cap_s)
            : MAX(core->cache.operator_settings.poll_floor_s, 0.1);
    partition->scheduling.next_steal_at =
        lmn_time_add(now, partition->scheduling.steal_interval_s);
}

void lmn_range_truncate(struct lmn_core *core, struct lmn_range *range, uint32_t hi)
{
    GHashTableIter it;
    gpointer v;
    (void)core;

    lmn_queue_remove_tail(&range->partition->scheduling.unassigned, range, hi);
    g_hash_table_iter_init(&it, range->partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_queue_remove_tail(&((struct lmn_machine *)v)->queue, range, hi);
    range->end = hi;
    range->move_to = -1;
    range->move_is_uncertain = false;
}

void lmn_range_cancel_move(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now)
{
    uint32_t at = range->move_at;

    range->move_to = -1;
    range->move_is_uncertain = false;
    if (!range->task_states)
        return;
    for (uint32_t i = at; i < range->end; i++)
        if (range->task_states[i - range->first] == LMN_TASK_MOVING)
            range->task_states[i - range->first] = LMN_TASK_QUEUED;
    if (range->partition->ownership.is_ready && range->job->phase == LMN_JOB_ACTIVE)
        lmn_assign_tasks(core, range, at, range->end, now);
}
