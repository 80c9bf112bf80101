/** @file
 * Unschedulable tasks; see unschedulable.h. The caller holds the core's lock. */
#include "scheduler/unschedulable.h"
#include "scheduler/affinity.h"
#include "scheduler/autoscaler_demand.h"
#include "scheduler/wait_reason.h"
#include "replication/start_gate.h"
#include "state/core.h"
#include "state/task_ledger.h"

#include <string.h>

/** Seconds between two lists of a partition. */
static const double LIST_INTERVAL_S = 1;
/** Seconds after which a list is no longer valid. */
static const double LIST_VALID_S = 15;
/** Least seconds for which tasks wait before they are listed. Until then they may still
 * be stolen by a partition that has free capacity. */
static const double MIN_PATIENCE_S = 10;
/** Factor of the wait for a batch job with running tasks, whose ends let others start. */
static const double RUNNING_BATCH_FACTOR = 2;

/** A range whose tasks have waited for too long. */
struct candidate {
    const struct lmn_range *range;
    double waited_s;
};

/** Number of the range's tasks that are queued, or are being moved to another partition.
 */
static uint32_t count_waiting(const struct lmn_range *range)
{
    return range->end - range->first - range->started_count - range->finished_count;
}

/** Whether tasks of the range could start now if a machine had free capacity for them. */
static bool may_start_tasks(const struct lmn_core *core, const struct lmn_range *range,
                            struct timespec now)
{
    const struct lmn_job *job = range->job;

    return range->task_states && range->is_assigned && count_waiting(range) > 0 &&
           range->move_to < 0 && lmn_job_may_run(core, job) &&
           lmn_range_may_start(range) &&
           !lmn_time_before(now, job->failures.backoff_until);
}

/** Seconds for which queued tasks may wait before they are listed. The autoscaler
 * provisions as many machines as finish the work within the horizon, so that waits of
 * that length are normal. */
static double patience_s(const struct lmn_core *core, const struct lmn_range *range)
{
    double patience_s = MAX(core->cache.operator_settings.horizon_s, MIN_PATIENCE_S);
    bool is_running_batch =
        range->job->spec.kind == LMN_JOB_BATCH && range->started_count > 0;

    return is_running_batch ? patience_s * RUNNING_BATCH_FACTOR : patience_s;
}

/** Updates lmn_range.waiting_since. Only time in which the tasks could have started
 * counts, since this ownership began.
 * @param may_start whether they could start now if a machine had free capacity */
static void update_wait(struct lmn_range *range, bool may_start, struct timespec now)
{
    if (!may_start) {
        range->waiting_since = (struct timespec){0, 0};
        return;
    }
    if (!range->waiting_since.tv_sec ||
        lmn_time_before(range->waiting_since, range->partition->ownership.since))
        range->waiting_since = now;
    if (lmn_time_before(range->waiting_since, range->last_start_at))
        range->waiting_since = range->last_start_at;
}

/** Whether the job waits for a spot instance, which the autoscaler's demand covers. */
static bool waits_for_spot(const struct lmn_job *job)
{
    return job->is_spot_only && !job->is_starving;
}

static gint compare_longest_first(gconstpointer first, gconstpointer second)
{
    const struct candidate *left = first, *right = second;

    if (left->waited_s != right->waited_s)
        return left->waited_s > right->waited_s ? -1 : 1;
    return strcmp(left->range->key, right->range->key);
}

/** Whether tasks of the partition start as soon as a machine has free capacity. */
static bool starts_tasks(const struct lmn_core *core,
                         const struct lmn_partition *partition, struct timespec now)
{
    return partition->ownership.inherited_may_start &&
           !partition->ownership.is_transferring &&
           !lmn_replication_is_stuck(partition, now) &&
           lmn_watch_cache_age_s(core, now) <= LMN_MAX_CACHE_AGE_S;
}

/** Updates the waits of all ranges of the partition.
 * @return struct candidate, the longest wait first; the caller frees the array */
static GArray *list_candidates(const struct lmn_core *core,
                               const struct lmn_partition *partition, struct timespec now)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    bool partition_starts = starts_tasks(core, partition, now);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_range *range = value;
        update_wait(range, partition_starts && may_start_tasks(core, range, now), now);
        if (!range->waiting_since.tv_sec)
            continue;
        struct candidate candidate = {range, lmn_time_diff_s(now, range->waiting_since)};
        if (candidate.waited_s >= patience_s(core, range) && !waits_for_spot(range->job))
            g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, compare_longest_first);
    return candidates;
}

/** Adds the zone unless it is there. */
static void add_zone(struct lmn_unschedulable_tasks *tasks, const char *zone)
{
    const char *interned = g_intern_string(zone);

    for (uint32_t i = 0; i < tasks->zone_count; i++)
        if (tasks->zones[i] == interned)
            return;
    if (tasks->zone_count < LMN_MAX_UNSCHEDULABLE_ZONES)
        tasks->zones[tasks->zone_count++] = interned;
}

/** Fills in the zones of a job with affinity or anti-affinity.
 * @return false: no zone is left, and its tasks wait for other tasks of the job */
static bool fill_zones(const struct lmn_core *core, const struct lmn_job *job,
                       struct lmn_unschedulable_tasks *tasks)
{
    const struct lmn_machine_types *types = &core->cloud.machine_types;

    if (!job->spec.requires_one_zone && !job->spec.spreads_over_zones)
        return true;
    for (size_t i = 0; i < types->count; i++)
        for (int zone = 0; zone < types->types[i].zone_count; zone++)
            if (lmn_zone_task_capacity(job, types->types[i].zones[zone]))
                add_zone(tasks, types->types[i].zones[zone]);
    return tasks->zone_count > 0;
}

/** Number of the range's waiting tasks that should run at the same time and that the
 * quota lets start. */
static uint32_t count_startable(const struct lmn_core *core,
                                const struct lmn_range *range,
                                const struct lmn_resources *quota)
{
    double tasks = MIN(count_waiting(range), ceil(lmn_range_desired_tasks(core, range)));
    double within_quota = lmn_resources_task_count(quota, &range->job->spec);

    return (uint32_t)CLAMP(within_quota, 0, tasks);
}

/** Lists the candidate's tasks. Those listed before have used up part of the quota.
 * @param listed for each team the resources of its tasks that are listed already */
static void list_tasks(const struct lmn_core *core, struct lmn_partition *partition,
                       const struct candidate *candidate, struct lmn_resources *listed)
{
    const struct lmn_job *job = candidate->range->job;
    struct lmn_unschedulable_tasks tasks = {.waited_s = candidate->waited_s};
    struct lmn_resources quota = lmn_job_available_quota(core, partition, job);

    if (job->team < 0)
        return;
    quota.cpus -= listed[job->team].cpus;
    quota.gpus -= listed[job->team].gpus;
    tasks.tasks = count_startable(core, candidate->range, &quota);
    if (!tasks.tasks || !fill_zones(core, job, &tasks))
        return;
    listed[job->team].cpus += tasks.tasks * job->spec.cpus;
    listed[job->team].gpus += tasks.tasks * job->spec.gpus;
    g_strlcpy(tasks.job_id, job->spec.id, sizeof tasks.job_id);
    g_array_append_val(partition->scheduling.unschedulable, tasks);
}

void lmn_unschedulable_update(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now)
{
    struct lmn_partition_scheduling *scheduling = &partition->scheduling;

    if (!partition->ownership.is_owned ||
        lmn_time_diff_s(now, scheduling->unschedulable_at) < LIST_INTERVAL_S)
        return;
    scheduling->unschedulable_at = now;
    g_array_set_size(scheduling->unschedulable, 0);
    g_autoptr(GArray) candidates = list_candidates(core, partition, now);
    g_autofree struct lmn_resources *listed =
        g_new0(struct lmn_resources, core->settings->team_count);
    for (guint i = 0;
         i < candidates->len && scheduling->unschedulable->len < LMN_MAX_UNSCHEDULABLE;
         i++)
        list_tasks(core, partition, &g_array_index(candidates, struct candidate, i),
                   listed);
}

void lmn_unschedulable_receive(struct lmn_partition *partition, uint64_t epoch,
                               const GArray *tasks, struct timespec now)
{
    struct lmn_partition_scheduling *scheduling = &partition->scheduling;

    if (partition->ownership.is_owned || epoch < partition->record.epoch)
        return;
    g_array_set_size(scheduling->unschedulable, 0);
    g_array_append_vals(scheduling->unschedulable, tasks->data,
                        MIN(tasks->len, LMN_MAX_UNSCHEDULABLE));
    scheduling->unschedulable_at = now;
}

static bool is_valid(const struct lmn_partition *partition, struct timespec now)
{
    return partition->scheduling.unschedulable_at.tv_sec &&
           lmn_time_diff_s(now, partition->scheduling.unschedulable_at) <= LIST_VALID_S;
}

static gint compare_waits(gconstpointer first, gconstpointer second)
{
    const struct lmn_unschedulable_tasks *left = *(gpointer const *)first;
    const struct lmn_unschedulable_tasks *right = *(gpointer const *)second;

    if (left->waited_s != right->waited_s)
        return left->waited_s > right->waited_s ? -1 : 1;
    return strcmp(left->job_id, right->job_id);
}

GPtrArray *lmn_list_unschedulable(const struct lmn_core *core, struct timespec now)
{
    GPtrArray *all = g_ptr_array_new();

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        GArray *listed = partition->scheduling.unschedulable;
        for (guint k = 0; is_valid(partition, now) && k < listed->len; k++)
            g_ptr_array_add(all,
                            &g_array_index(listed, struct lmn_unschedulable_tasks, k));
    }
    g_ptr_array_sort(all, compare_waits);
    return all;
}

double lmn_job_unschedulable_s(const struct lmn_core *core, const struct lmn_job *job,
                               struct timespec now)
{
    double waited_s = 0;

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        const GArray *listed = partition->scheduling.unschedulable;
        for (guint k = 0; is_valid(partition, now) && k < listed->len; k++) {
            const struct lmn_unschedulable_tasks *tasks =
                &g_array_index(listed, struct lmn_unschedulable_tasks, k);
            if (!strcmp(tasks->job_id, job->spec.id))
                waited_s = MAX(waited_s, tasks->waited_s);
        }
    }
    return waited_s;
}
