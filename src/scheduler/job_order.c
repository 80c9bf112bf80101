/** @file
 * The order of jobs and overload triage; see job_order.h. The caller holds the core's
 * lock. */
#include "scheduler/job_order.h"
#include "scheduler/fair_share.h"

#include <math.h>
#include <string.h>

/** Seconds between triages: the time of one grows with the square of the number of jobs.
 */
static const double TRIAGE_INTERVAL_S = 0.4;
/** Fraction of the estimated run time that a task takes at least. Tasks often run for
 * half of the estimate, so an objective counts as missed only if a run of that length
 * would end too late. */
static const double LEAST_RUN_FRACTION = 0.5;
/** Minimum processors and seconds of a task in the sum of the remaining work. */
static const double MIN_TASK_CPUS = 0.01, MIN_TASK_S = 1;

/** Updates the job for an objective that is met if a task starts by `latest_start_s`.
 * Objectives that can no longer be met are ignored. */
static void consider_objective(struct lmn_job *job, double latest_start_s,
                               double wall_clock_s)
{
    if (latest_start_s >= wall_clock_s &&
        (job->has_missed_objective || latest_start_s < job->latest_start_s)) {
        job->latest_start_s = latest_start_s;
        job->has_missed_objective = false;
    }
}

/** Time of day by which a task that runs for `run_s` has to start to meet the objective.
 */
static double objective_latest_start_s(const struct lmn_objective *objective,
                                       const struct lmn_job *job, double run_s)
{
    switch (objective->kind) {
    case LMN_OBJECTIVE_START:
        return job->accepted_at_s + objective->within_s;
    case LMN_OBJECTIVE_FINISH:
        return job->accepted_at_s + objective->within_s - run_s;
    default:
        return job->accepted_at_s + job->spec.deadline_s * objective->times - run_s;
    }
}

void lmn_job_update_latest_start(const struct lmn_settings *settings, struct lmn_job *job,
                                 double wall_clock_s)
{
    const struct lmn_job_spec *spec = &job->spec;
    double run_s = spec->estimate_s * LEAST_RUN_FRACTION;
    bool has_objective = false;

    /* A service misses its objective again in every second in which a replica does not
     * run, so it is never too late to start one. If services counted as missed, as batch
     * jobs do, they would wait for every batch job that can still meet its objective. */
    if (spec->kind == LMN_JOB_SERVICE) {
        job->has_missed_objective = false;
        job->latest_start_s = job->accepted_at_s;
        return;
    }
    job->has_missed_objective = true;
    job->latest_start_s = 0;
    for (size_t i = 0; i < settings->objective_count; i++) {
        const struct lmn_objective *objective = &settings->objectives[i];
        if (!lmn_objective_applies(objective, spec))
            continue;
        consider_objective(job, objective_latest_start_s(objective, job, run_s),
                           wall_clock_s);
        has_objective = true;
    }
    if (spec->deadline_s >= 0) {
        consider_objective(job, job->accepted_at_s + spec->deadline_s - run_s,
                           wall_clock_s);
        has_objective = true;
    }
    if (!has_objective) {
        job->has_missed_objective = false;
        job->latest_start_s = INFINITY;
    }
}

/** Estimated processor seconds of the job's tasks in the partition that have not started.
 */
static double remaining_cpu_s(const struct lmn_job *job,
                              const struct lmn_partition *partition)
{
    double tasks = 0;

    for (guint i = 0; i < job->ranges->len; i++) {
        const struct lmn_range *range = job->ranges->pdata[i];
        if (range->partition == partition && range->task_states)
            tasks +=
                range->end - range->first - range->finished_count - range->started_count;
    }
    /* A faulty job is retried with one task at a time. */
    if (lmn_job_is_faulty(&job->failures))
        tasks = MIN(tasks, 1);
    return MAX(tasks, 0) * MAX(job->spec.cpus, MIN_TASK_CPUS) *
           MAX(job->spec.estimate_s, MIN_TASK_S);
}

/** Orders jobs by guarantee and priority, then by latest start. */
static gint compare_latest_start(gconstpointer first, gconstpointer second)
{
    const struct lmn_job *left = *(struct lmn_job *const *)first;
    const struct lmn_job *right = *(struct lmn_job *const *)second;

    if (left->is_within_guarantee != right->is_within_guarantee)
        return left->is_within_guarantee ? -1 : 1;
    if (left->spec.priority != right->spec.priority)
        return left->spec.priority > right->spec.priority ? -1 : 1;
    if (left->latest_start_s != right->latest_start_s)
        return left->latest_start_s < right->latest_start_s ? -1 : 1;
    return strcmp(left->spec.id, right->spec.id);
}

/** Sum of the work of jobs that are not deferred, in processor seconds. */
struct planned_work {
    double cpu_s;
    double ordinary_cpu_s; /**< part of `cpu_s` that may not run on spot instances */
};

/** Adds the job's remaining work if `sign` is 1, or subtracts it if `sign` is -1. */
static void plan_job(struct planned_work *planned, const struct lmn_job *job, int sign)
{
    planned->cpu_s += sign * job->remaining_cpu_s;
    if (!job->spec.may_use_spot)
        planned->ordinary_cpu_s += sign * job->remaining_cpu_s;
}

/** Of the first `count` jobs that may be deferred in favour of `job`, returns the one
 * with the most remaining work, or NULL. They have the same priority and guarantee as
 * `job`, and use machines that `job` could use. */
static struct lmn_job *largest_deferrable(const GPtrArray *jobs, guint count,
                                          const struct lmn_job *job)
{
    struct lmn_job *largest = NULL;

    for (guint i = 0; i < count; i++) {
        struct lmn_job *other = jobs->pdata[i];
        if (!other->is_deferred &&
            other->is_within_guarantee == job->is_within_guarantee &&
            other->spec.priority == job->spec.priority &&
            (job->spec.may_use_spot || !other->spec.may_use_spot) &&
            (!largest || other->remaining_cpu_s > largest->remaining_cpu_s))
            largest = other;
    }
    return largest;
}

/* Under overload, an order by latest start alone makes every job late. Therefore jobs are
 * planned in that order, and whenever one would be late, the largest job of its priority
 * that is planned so far is deferred (after J. M. Moore, "An n job, one machine
 * sequencing algorithm for minimizing the number of late jobs", Management Science 15,
 * 1968). */
void lmn_overload_triage(GPtrArray *jobs, double wall_clock_s, double cpus,
                         double ordinary_cpus)
{
    struct planned_work planned = {0, 0};

    g_ptr_array_sort(jobs, compare_latest_start);
    for (guint i = 0; i < jobs->len; i++) {
        struct lmn_job *job = jobs->pdata[i];
        job->is_deferred = false;
        plan_job(&planned, job, 1);
        for (;;) {
            double ends_at_s =
                wall_clock_s + (job->spec.may_use_spot
                                    ? planned.cpu_s / MAX(cpus, 1)
                                    : planned.ordinary_cpu_s / MAX(ordinary_cpus, 1));
            if (ends_at_s <= job->latest_start_s)
                break;
            struct lmn_job *largest = largest_deferrable(jobs, i + 1, job);
            if (!largest || largest->remaining_cpu_s <= 0)
                break;
            largest->is_deferred = true;
            plan_job(&planned, largest, -1);
        }
    }
}

/** Adds up the processors of the partition's machines that can run tasks.
 * @param[out] ordinary_cpus processors of the machines that are not spot instances */
static void sum_cpus(const struct lmn_partition *partition, double *cpus,
                     double *ordinary_cpus)
{
    GHashTableIter iter;
    gpointer value;

    *cpus = *ordinary_cpus = 0;
    g_hash_table_iter_init(&iter, partition->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_machine *machine = value;
        if (!machine->type || !machine->lifecycle.is_accounted ||
            machine->lifecycle.is_draining || machine->agent.lease_expired ||
            machine->lifecycle.is_terminated)
            continue;
        *cpus += machine->type->cpus;
        *ordinary_cpus += machine->is_spot ? 0 : machine->type->cpus;
    }
}

/** Lists the jobs that take part in the partition's triage, each once. Sets
 * lmn_job.triage_partition in them; the caller clears it. */
static GPtrArray *list_triage_jobs(struct lmn_partition *partition)
{
    GPtrArray *jobs = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, partition->ranges);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_job *job = ((struct lmn_range *)value)->job;
        if (job->phase != LMN_JOB_ACTIVE || job->has_missed_objective ||
            job->triage_partition == partition || job->spec.kind == LMN_JOB_SERVICE)
            continue;
        job->triage_partition = partition;
        job->remaining_cpu_s = remaining_cpu_s(job, partition);
        g_ptr_array_add(jobs, job);
    }
    return jobs;
}

static void triage_partition(struct lmn_partition *partition, double wall_clock_s)
{
    double cpus, ordinary_cpus;

    sum_cpus(partition, &cpus, &ordinary_cpus);
    GPtrArray *jobs = list_triage_jobs(partition);
    lmn_overload_triage(jobs, wall_clock_s, cpus, ordinary_cpus);
    for (guint i = 0; i < jobs->len; i++)
        ((struct lmn_job *)jobs->pdata[i])->triage_partition = NULL;
    g_ptr_array_free(jobs, TRUE);
}

void lmn_update_job_order(struct lmn_core *core, double wall_clock_s)
{
    GHashTableIter iter;
    gpointer value;

    /* If the time of day was set back, the triage must not wait until it is reached
     * again. */
    bool is_triage_due =
        wall_clock_s < core->scheduling.last_triage_s ||
        wall_clock_s - core->scheduling.last_triage_s > TRIAGE_INTERVAL_S;

    core->scheduling.wall_clock_s = wall_clock_s;
    if (is_triage_due) {
        core->scheduling.last_triage_s = wall_clock_s;
        lmn_update_fair_shares(core);
        lmn_update_starvation(core, wall_clock_s);
    }
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        if (!partition->ownership.is_owned)
            continue;
        g_hash_table_iter_init(&iter, partition->ranges);
        while (g_hash_table_iter_next(&iter, NULL, &value))
            lmn_job_update_latest_start(core->settings, ((struct lmn_range *)value)->job,
                                        wall_clock_s);
        if (is_triage_due)
            triage_partition(partition, wall_clock_s);
    }
}

/** Groups of jobs, the most urgent first. */
enum urgency_group {
    GROUP_PRODUCTION,
    GROUP_STARVING,
    GROUP_UNDER_FAIR_SHARE,
    GROUP_OTHER
};

/** The job's group. Jobs under a fair-share floor come before all but production jobs:
 * under long overload, the rest of the order would leave their class or team without
 * capacity. Starving jobs come even before those: otherwise a few jobs of a class use up
 * its floor while its other jobs wait for minutes. */
static enum urgency_group urgency_group(const struct lmn_job *job)
{
    if (job->spec.priority == LMN_PRIORITY_PRODUCTION && !job->has_missed_objective)
        return GROUP_PRODUCTION;
    if (job->is_starving)
        return GROUP_STARVING;
    return job->is_under_fair_share ? GROUP_UNDER_FAIR_SHARE : GROUP_OTHER;
}

int lmn_job_compare(const struct lmn_job *left, const struct lmn_job *right)
{
    /* Jobs within their team's guaranteed quota do not wait for other teams' jobs. */
    if (left->is_within_guarantee != right->is_within_guarantee)
        return left->is_within_guarantee ? -1 : 1;
    enum urgency_group left_group = urgency_group(left);
    enum urgency_group right_group = urgency_group(right);
    if (left_group != right_group)
        return left_group < right_group ? -1 : 1;
    /* A job that has missed its objectives waits for jobs that can still meet theirs. */
    if (left->has_missed_objective != right->has_missed_objective)
        return left->has_missed_objective ? 1 : -1;
    if (left->spec.priority != right->spec.priority)
        return left->spec.priority > right->spec.priority ? -1 : 1;
    if (!left->has_missed_objective && left->is_deferred != right->is_deferred)
        return left->is_deferred ? 1 : -1;
    if (!left->has_missed_objective && left->latest_start_s != right->latest_start_s)
        return left->latest_start_s < right->latest_start_s ? -1 : 1;
    if (left->accepted_at_s != right->accepted_at_s)
        return left->accepted_at_s < right->accepted_at_s ? -1 : 1;
    return strcmp(left->spec.id, right->spec.id);
}
