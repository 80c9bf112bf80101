/** @file
 * Applies job and range records to the watch cache: see state/job_records.h. Owns the
 * fields of struct lmn_job and struct lmn_range that come from records, and the teams'
 * demand in struct lmn_quota_ledger. */
#include "state/job_records.h"

#include "protocol/wire.h"
#include "state/records.h"
#include "state/retention.h"
#include "util/log.h"

#include <stdlib.h>
#include <string.h>

/** CPUs or GPUs by which a sum of demand may exceed a quota because of floating-point
 * rounding. */
static const double QUOTA_TOLERANCE = 1e-6;

/** A decoded job record. */
struct job_record {
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open_ranges;
    double accepted_at_s; /* time of day */
};

/** A range's bounds, from its key and its record. */
struct range_bounds {
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t first;
    uint64_t end;
};

/** Index of the team in the settings; -1: no such team. */
static int team_index(const struct lmn_settings *settings, const char *name)
{
    const struct lmn_team *team = lmn_settings_find_team(settings, name);
    return team ? (int)(team - settings->teams) : -1;
}

/** Adds the resources of all the job's tasks to its team's demand (sign 1), or subtracts
 * them (sign -1). */
static void change_demand(struct lmn_core *core, const struct lmn_job *job, int sign)
{
    if (job->team < 0)
        return;
    core->quota.demanded_cpus[job->team] += sign * job->spec.cpus * job->spec.tasks;
    core->quota.demanded_gpus[job->team] += sign * job->spec.gpus * job->spec.tasks;
}

/** Whether the team's guaranteed quota covers the demand of all its active jobs,
 * including this one, which must have been added already. */
static bool fits_guarantee(const struct lmn_core *core, const struct lmn_job *job)
{
    if (job->team < 0)
        return false;
    const struct lmn_team *team = &core->settings->teams[job->team];
    return team->cpus + team->gpus > 0 &&
           (job->spec.cpus <= 0 ||
            core->quota.demanded_cpus[job->team] <= team->cpus + QUOTA_TOLERANCE) &&
           (job->spec.gpus <= 0 ||
            core->quota.demanded_gpus[job->team] <= team->gpus + QUOTA_TOLERANCE);
}

/** Whether to skip a job that the cache does not contain. A listing skips final jobs
 * above max_retained_jobs, except those that have ranges, since a range refers to its
 * job. Which jobs have ranges is known only in a second listing, which
 * too_many_final_jobs requests.
 */
static bool should_skip_job(struct lmn_core *core, const char *job_id,
                            enum lmn_job_phase phase)
{
    if (!core->cache.is_listing || phase == LMN_JOB_ACTIVE ||
        core->cache.final_jobs.length < core->cache.max_retained_jobs)
        return false;
    if (core->cache.needed_job_ids)
        return !g_hash_table_contains(core->cache.needed_job_ids, job_id);
    core->cache.too_many_final_jobs = true;
    return true;
}

/** Adds a job to the cache and takes ownership of the record's spec. */
static struct lmn_job *add_job(struct lmn_core *core, const char *job_id,
                               const struct job_record *record)
{
    struct lmn_job *job = g_new0(struct lmn_job, 1);

    job->spec = record->spec;
    job->accepted_at_s = record->accepted_at_s;
    job->ranges = g_ptr_array_new();
    job->image = g_intern_string(job->spec.image);
    job->class_name = g_intern_string(job->spec.class_name);
    job->team = team_index(core->settings, job->spec.team);
    g_hash_table_insert(core->cache.jobs, job->spec.id, job);
    lmn_debug("job_added job=%s class=%s tasks=%u cpus=%.1f estimate=%.1f "
              "deadline=%.1f image=%s",
              job_id, job->spec.class_name, job->spec.tasks, job->spec.cpus,
              job->spec.estimate_s, job->spec.deadline_s, job->spec.image);
    return job;
}

/** Sets the job's phase, and updates the team's demand and the list of final jobs. Must
 * be called before job->revision is set: 0 there means that the job is new. */
static void set_phase(struct lmn_core *core, struct lmn_job *job, const char *job_id,
                      enum lmn_job_phase phase, struct timespec now)
{
    bool is_new = !job->revision;
    bool was_active = job->phase == LMN_JOB_ACTIVE;
    bool is_active = phase == LMN_JOB_ACTIVE;

    if (is_new && is_active) {
        change_demand(core, job, 1);
        job->is_within_guarantee = fits_guarantee(core, job);
    } else if (was_active && !is_active && !is_new) {
        change_demand(core, job, -1);
    }
    if (phase != job->phase)
        lmn_debug("job_finished job=%s phase=%d after=%.1f", job_id, phase,
                  lmn_time_seconds(lmn_wall_clock_now()) - job->accepted_at_s);
    if (!is_active && (was_active || is_new))
        lmn_retention_add(core, job, now);
    job->phase = phase;
}

void lmn_job_record_apply(struct lmn_core *core, const struct lmn_record_change *change)
{
    const char *job_id = change->name;
    struct job_record record;

    if (!change->value)
        return; /* jobs are never removed from the store */
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, job_id);
    if (job && job->revision >= change->revision) {
        job->generation = core->cache.generation;
        return;
    }
    if (lmn_job_record_decode(change->document, change->value, &record.spec,
                              &record.phase, &record.open_ranges,
                              &record.accepted_at_s) != 0) {
        lmn_error("record_unreadable key=%s", change->key);
        lmn_job_spec_clear(&record.spec);
        return;
    }
    if (!job && should_skip_job(core, job_id, record.phase)) {
        lmn_job_spec_clear(&record.spec);
        return;
    }
    if (!job)
        job = add_job(core, job_id, &record);
    else
        lmn_job_spec_clear(&record.spec); /* a job's description never changes */
    set_phase(core, job, job_id, record.phase, change->now);
    job->open_ranges = record.open_ranges;
    job->revision = change->revision;
    job->generation = core->cache.generation;
}

/** Calls range_removed, then frees the range. */
static void remove_range(struct lmn_core *core, struct lmn_range *range)
{
    core->owner_ops->range_removed(core, range);
    g_hash_table_remove(range->partition->ranges, range->key);
}

/** Reads the range's bounds.
 *
 * @return false if the key or the record is malformed */
static bool read_bounds(const struct lmn_record_change *change,
                        struct range_bounds *bounds)
{
    const char *slash = strchr(change->name, '/');

    if (!slash || (size_t)(slash - change->name) >= sizeof bounds->job_id ||
        !lmn_cbor_get_uint(lmn_cbor_get(change->document, change->value, "hi"),
                           &bounds->end))
        return false;
    g_strlcpy(bounds->job_id, change->name, (gsize)(slash - change->name) + 1);
    bounds->first = (uint32_t)strtoul(slash + 1, NULL, 10);
    return true;
}

/** Adds a new range to the partition and to its job. */
static struct lmn_range *add_range(struct lmn_partition *partition, struct lmn_job *job,
                                   const struct range_bounds *bounds,
                                   const struct lmn_record_change *change)
{
    struct lmn_range *range = g_new0(struct lmn_range, 1);

    range->key = g_strdup(change->key);
    range->job = job;
    range->partition = partition;
    range->first = bounds->first;
    range->end = (uint32_t)bounds->end;
    range->done = g_malloc0((range->end - range->first + 7) / 8);
    range->move_to = -1;
    range->created_revision = change->revision;
    g_hash_table_insert(partition->ranges, range->key, range);
    g_ptr_array_add(job->ranges, range);
    return range;
}

/** Updates the range's set of done tasks and its revision from the record. */
static void update_range(struct lmn_core *core, struct lmn_range *range,
                         const struct lmn_record_change *change)
{
    if (lmn_bitset_read(lmn_cbor_get(change->document, change->value, "done"),
                        range->done, range->end - range->first) != 0)
        lmn_error("record_unreadable key=%s", change->key);
    range->done_count = lmn_bitset_count(range->done, range->end - range->first);
    range->revision = change->revision;
    range->generation = core->cache.generation;
    if (range->is_writing && range->written_revision &&
        change->revision >= range->written_revision)
        range->is_writing = false;
}

/** Whether this controller has a move of the range in flight that can no longer be
 * committed: the move is conditional on a revision that another write has replaced. */
static bool has_stale_move(const struct lmn_range *range, uint64_t revision)
{
    return range->move_to >= 0 && range->task_states && revision > range->move_revision &&
           range->move_revision;
}

void lmn_range_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change)
{
    struct lmn_range *range = g_hash_table_lookup(partition->ranges, change->key);
    struct range_bounds bounds;

    if (!change->value) {
        if (range && range->revision < change->revision)
            remove_range(core, range);
        return;
    }
    if (range && range->revision >= change->revision) {
        range->generation = core->cache.generation;
        return;
    }
    if (!read_bounds(change, &bounds))
        return;
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, bounds.job_id);
    /* The job became final after needed_job_ids was listed, so it was skipped although it
     * has this range. Only another listing can add the job. */
    if (!job && core->cache.needed_job_ids)
        core->cache.must_relist = true;
    if (!job || bounds.end <= bounds.first || bounds.end > job->spec.tasks) {
        lmn_error("record_unreadable key=%s", change->key);
        return;
    }
    bool is_new = !range;
    if (is_new)
        range = add_range(partition, job, &bounds, change);
    if (bounds.end < range->end)
        core->owner_ops->range_truncated(core, range, (uint32_t)bounds.end);
    update_range(core, range, change);
    if (has_stale_move(range, change->revision))
        core->owner_ops->move_cancelled(core, range, change->now);
    if (is_new && partition->ownership.is_owned)
        core->owner_ops->range_created(core, range, change->now);
}

void lmn_range_records_sweep(struct lmn_core *core, struct lmn_partition *partition)
{
    g_autoptr(GPtrArray) removed = g_ptr_array_new();
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value))
        if (((struct lmn_range *)value)->generation != core->cache.generation)
            g_ptr_array_add(removed, value);
    for (guint i = 0; i < removed->len; i++)
        remove_range(core, removed->pdata[i]);
}
