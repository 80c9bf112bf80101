/** @file
 * Fair-share floors and starvation; see fair_share.h. The caller holds the core's lock.
 */
#include "scheduler/fair_share.h"

/** A subject's floor, as a fraction of an even share of the processors in use. */
static const double FLOOR_FRACTION = 0.25;
/** Seconds after which a job without a started task is starving. Even the largest jobs
 * should start within 4 minutes, for which a machine may first have to become empty. */
static const double STARVING_AFTER_S = 60;
/** Cost of work that is never done here and has to be bought elsewhere, as a multiple of
 * its worth. */
static const double UNFINISHED_WORK_COST = 2;
/** Longest run time of an idle task that may use free capacity of an ordinary machine: it
 * ends before the machine's other tasks do. */
static const double MAX_BACKFILL_S = 30;

bool lmn_is_under_fair_share(const struct lmn_fair_share *share, double all_used_cpus,
                             unsigned waiting_subjects)
{
    return waiting_subjects > 1 && share->waiting_cpus > 0 &&
           share->used_cpus < FLOOR_FRACTION * all_used_cpus / waiting_subjects;
}

/** Calls the function for each range of each partition that this controller owns. */
static void foreach_owned_range(const struct lmn_core *core,
                                void (*visit)(const struct lmn_range *range, void *data),
                                void *data)
{
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        GHashTableIter iter;
        gpointer value;
        if (!partition->ownership.is_owned)
            continue;
        g_hash_table_iter_init(&iter, partition->ranges);
        while (g_hash_table_iter_next(&iter, NULL, &value))
            visit(value, data);
    }
}

/** Whether the range belongs to an active job and this controller tracks its tasks. */
static bool is_open(const struct lmn_range *range)
{
    return range->job->phase == LMN_JOB_ACTIVE && range->task_states;
}

/** Returns the subject's entry, or NULL. */
static struct lmn_fair_share *find_share(const GArray *shares, const void *subject)
{
    for (guint i = 0; i < shares->len; i++) {
        struct lmn_fair_share *share = &g_array_index(shares, struct lmn_fair_share, i);
        if (share->subject == subject)
            return share;
    }
    return NULL;
}

/** Adds the range's usage and demand to the subject's entry; creates the entry if there
 * is none. */
static void count_range(GArray *shares, const void *subject,
                        const struct lmn_range *range)
{
    struct lmn_fair_share *share = find_share(shares, subject);
    uint32_t tasks = range->end - range->first;
    uint32_t waiting = tasks - MIN(range->finished_count + range->started_count, tasks);

    if (!share) {
        struct lmn_fair_share new_share = {.subject = subject};
        g_array_append_val(shares, new_share);
        share = &g_array_index(shares, struct lmn_fair_share, shares->len - 1);
    }
    /* A faulty job's tasks fail on every machine, so they do not count as demand. */
    if (lmn_job_is_faulty(&range->job->failures))
        waiting = 0;
    share->used_cpus += range->started_count * range->job->spec.cpus;
    share->waiting_cpus += waiting * range->job->spec.cpus;
}

/** Shares of classes and of teams, as an argument of range visitors. */
struct share_tables {
    const struct lmn_core *core;
    GArray *classes; /**< struct lmn_fair_share */
    GArray *teams;   /**< struct lmn_fair_share */
};

static const void *team_of(const struct share_tables *tables, const struct lmn_job *job)
{
    return &tables->core->settings->teams[job->team];
}

static void count_by_class(const struct lmn_range *range, void *data)
{
    struct share_tables *tables = data;

    if (is_open(range))
        count_range(tables->classes, range->job->class_name, range);
}

static void count_by_class_and_team(const struct lmn_range *range, void *data)
{
    struct share_tables *tables = data;

    count_by_class(range, data);
    if (is_open(range) && range->job->team >= 0)
        count_range(tables->teams, team_of(tables, range->job), range);
}

GArray *lmn_fair_share_by_class(const struct lmn_core *core)
{
    GArray *classes = g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share));

    foreach_owned_range(core, count_by_class,
                        &(struct share_tables){core, classes, NULL});
    return classes;
}

unsigned lmn_fair_share_sum(const GArray *shares, double *used_cpus)
{
    unsigned waiting_subjects = 0;

    *used_cpus = 0;
    for (guint i = 0; i < shares->len; i++) {
        const struct lmn_fair_share *share =
            &g_array_index(shares, struct lmn_fair_share, i);
        *used_cpus += share->used_cpus;
        waiting_subjects += share->waiting_cpus > 0;
    }
    return waiting_subjects;
}

/** Removes the subjects that are not under their floor. Returns whether any remain. */
static bool keep_underserved(GArray *shares)
{
    double used_cpus;
    unsigned waiting_subjects = lmn_fair_share_sum(shares, &used_cpus);

    for (guint i = shares->len; i-- > 0;)
        if (!lmn_is_under_fair_share(&g_array_index(shares, struct lmn_fair_share, i),
                                     used_cpus, waiting_subjects))
            g_array_remove_index_fast(shares, i);
    return shares->len > 0;
}

static void mark_underserved(const struct lmn_range *range, void *data)
{
    const struct share_tables *tables = data;
    struct lmn_job *job = range->job;

    job->is_under_fair_share =
        find_share(tables->classes, job->class_name) ||
        (job->team >= 0 && find_share(tables->teams, team_of(tables, job)));
}

void lmn_update_fair_shares(struct lmn_core *core)
{
    struct share_tables tables = {
        core, g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share)),
        g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share))};

    foreach_owned_range(core, count_by_class_and_team, &tables);
    bool has_underserved_class = keep_underserved(tables.classes);
    bool has_underserved = keep_underserved(tables.teams) || has_underserved_class;
    /* Marks that the previous call has set must be cleared. */
    if (has_underserved || core->scheduling.has_underserved_share)
        foreach_owned_range(core, mark_underserved, &tables);
    core->scheduling.has_underserved_share = has_underserved;
    g_array_free(tables.classes, TRUE);
    g_array_free(tables.teams, TRUE);
}

bool lmn_is_spot_only(const struct lmn_settings *settings,
                      const struct lmn_job_spec *spec,
                      const struct lmn_machine_type *type)
{
    return spec->priority == LMN_PRIORITY_IDLE && spec->may_use_spot &&
           spec->kind == LMN_JOB_BATCH && spec->estimate_s > MAX_BACKFILL_S &&
           type->price_per_hour > UNFINISHED_WORK_COST * type->spot_price_per_hour &&
           !lmn_job_spec_has_objective(settings, spec);
}

/** Whether the partition has a spot instance that could run the job. If it has none, the
 * job may use any machine. */
static bool has_spot_for(const struct lmn_partition *partition,
                         const struct lmn_job_spec *spec)
{
    for (guint i = 0; i < partition->machine_list->len; i++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[i];
        if (machine->is_spot && machine->type && machine->lifecycle.is_accounted &&
            !machine->lifecycle.is_terminated && !machine->agent.lease_expired &&
            lmn_job_spec_allows(spec, machine->type, machine->zone, true))
            return true;
    }
    return false;
}

static void update_range_starvation(const struct lmn_range *range, void *data)
{
    const double *wall_clock_s = data;
    struct lmn_job *job = range->job;

    if (!is_open(range))
        return;
    job->is_starving = *wall_clock_s - job->accepted_at_s > STARVING_AFTER_S &&
                       !range->started_count && !range->finished_count &&
                       !lmn_job_is_faulty(&job->failures);
    job->is_spot_only = job->spec.priority == LMN_PRIORITY_IDLE &&
                        has_spot_for(range->partition, &job->spec);
}

void lmn_update_starvation(struct lmn_core *core, double wall_clock_s)
{
    foreach_owned_range(core, update_range_starvation, &wall_clock_s);
}
