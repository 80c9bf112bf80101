/** @file
 * The order of jobs and overload triage; see job_order.h. The core's lock is held. */
#include "scheduler/job_order.h"
#include "scheduler/fair_share.h"

#include <math.h>
#include <string.h>

/** Seconds between triages: one takes up to the square of the number of jobs. */
static const double TRIAGE_INTERVAL_S = 0.4;
/** Fraction of the estimated run time that a task is expected to take at least. Estimates
 * are often wrong by half: an objective counts as missed only when even a run of half the
 * estimate would come too late. */
static const double LEAST_RUN_FRACTION = 0.5;
/** Least processors and seconds that a task counts with in the remaining work. */
static const double MIN_TASK_CPUS = 0.01, MIN_TASK_S = 1;

/** Takes an objective into account that can be met by a start until then. */
static void consider_objective(struct lmn_job *job, double latest_start_s,
                               double wall_clock_s)
{
    if (latest_start_s >= wall_clock_s &&
        (job->has_missed_objective || latest_start_s < job->latest_start_s)) {
        job->latest_start_s = latest_start_s;
        job->has_missed_objective = false;
    }
}

/** Time of day by which a task has to start for the objective, if it runs for `run_s`. */
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

    /* A replica that does not run misses its objective every second anew, however late it
     * is. If services counted as missed, as batch jobs do, they would wait behind every
     * batch job that can still meet its objective. */
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

/** Processor seconds of the job's tasks in the partition that have not started. */
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
    /* A faulty job is tried with one task at a time. */
    if (lmn_job_is_faulty(&job->failures))
        tasks = MIN(tasks, 1);
    return MAX(tasks, 0) * MAX(job->spec.cpus, MIN_TASK_CPUS) *
           MAX(job->spec.estimate_s, MIN_TASK_S);
}

static gint compare_latest_start(gconstpointer left, gconstpointer right)
{
    const struct lmn_job *a = *(struct lmn_job *const *)left;
    const struct lmn_job *b = *(struct lmn_job *const *)right;

    if (a->is_within_guarantee != b->is_within_guarantee)
        return a->is_within_guarantee ? -1 : 1;
    if (a->spec.priority != b->spec.priority)
        return a->spec.priority > b->spec.priority ? -1 : 1;
    if (a->latest_start_s != b->latest_start_s)
        return a->latest_start_s < b->latest_start_s ? -1 : 1;
    return strcmp(a->spec.id, b->spec.id);
}

/** Work that has been planned, in processor seconds. */
struct planned_work {
    double cpu_s;
    double ordinary_cpu_s; /**< of it, what may not run on spot instances */
};

/** Adds the job's remaining work, or takes it away if the sign is -1. */
static void plan_job(struct planned_work *planned, const struct lmn_job *job, int sign)
{
    planned->cpu_s += sign * job->remaining_cpu_s;
    if (!job->spec.may_use_spot)
        planned->ordinary_cpu_s += sign * job->remaining_cpu_s;
}

/** Of the first `count` jobs, the one with the most work that may be deferred in favour
 * of the job: of the same urgency, and on machines that the job could use. NULL: none. */
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

/* With more work than can be done in time, the order by latest start makes all jobs late,
 * one after the other. So the jobs are run through in that order, and whenever one would
 * be late, the largest so far of its urgency is deferred (after J. M. Moore, "An n job,
 * one machine sequencing algorithm for minimizing the number of late jobs", Management
 * Science 15, 1968). */
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

/** Adds up the processors of the partition's machines that run, or soon will run, tasks.
 */
static void sum_cpus(const struct lmn_partition *partition, double *cpus,
                     double *ordinary_cpus)
{
    GHashTableIter it;
    gpointer value;

    *cpus = *ordinary_cpus = 0;
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_machine *machine = value;
        if (!machine->type || !machine->lifecycle.is_accounted ||
            machine->lifecycle.is_draining || machine->agent.lease_expired ||
            machine->lifecycle.is_terminated)
            continue;
        *cpus += machine->type->cpus;
        *ordinary_cpus += machine->is_spot ? 0 : machine->type->cpus;
    }
}

/** Lists the partition's jobs that take part in its triage, each once. The mark
 * triage_partition is left set in them. */
static GPtrArray *list_triage_jobs(struct lmn_partition *partition)
{
    GPtrArray *jobs = g_ptr_array_new();
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
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
    GHashTableIter it;
    gpointer value;

    /* A time of day that was set back must not put the triage off. */
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
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &value))
            lmn_job_update_latest_start(core->settings, ((struct lmn_range *)value)->job,
                                        wall_clock_s);
        if (is_triage_due)
            triage_partition(partition, wall_clock_s);
    }
}

/** Groups of jobs that go before each other, the most urgent first. */
enum urgency_group {
    GROUP_PRODUCTION,
    GROUP_STARVING,
    GROUP_UNDER_FAIR_SHARE,
    GROUP_OTHER
};

/** A class or team that is under its fair-share floor goes before all but production:
 * with more work than capacity for long, the rest of the order leaves it nothing. So does
 * the first task of a job that has waited for long: otherwise a few of a class's jobs use
 * up its floor, while the others wait for minutes. */
static enum urgency_group urgency_group(const struct lmn_job *job)
{
    if (job->spec.priority == LMN_PRIORITY_PRODUCTION && !job->has_missed_objective)
        return GROUP_PRODUCTION;
    if (job->is_starving)
        return GROUP_STARVING;
    return job->is_under_fair_share ? GROUP_UNDER_FAIR_SHARE : GROUP_OTHER;
}

int lmn_job_compare(const struct lmn_job *a, const struct lmn_job *b)
{
    /* A team need not wait for others as long as its work fits into its guarantee. */
    if (a->is_within_guarantee != b->is_within_guarantee)
        return a->is_within_guarantee ? -1 : 1;
    enum urgency_group a_group = urgency_group(a), b_group = urgency_group(b);
    if (a_group != b_group)
        return a_group < b_group ? -1 : 1;
    /* A job that has missed its objectives waits for those that can still meet theirs. */
    if (a->has_missed_objective != b->has_missed_objective)
        return a->has_missed_objective ? 1 : -1;
    if (a->spec.priority != b->spec.priority)
        return a->spec.priority > b->spec.priority ? -1 : 1;
    if (!a->has_missed_objective && a->is_deferred != b->is_deferred)
        return a->is_deferred ? 1 : -1;
    if (!a->has_missed_objective && a->latest_start_s != b->latest_start_s)
        return a->latest_start_s < b->latest_start_s ? -1 : 1;
    if (a->accepted_at_s != b->accepted_at_s)
        return a->accepted_at_s < b->accepted_at_s ? -1 : 1;
    return strcmp(a->spec.id, b->spec.id);
}
