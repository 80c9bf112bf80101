/* Which job goes first, and which should yield when not all can be in time. */
#include "scheduler/job_order.h"
#include "scheduler/fair_share.h"

#include <math.h>
#include <string.h>

/* How often it is decided anew which jobs yield: it takes up to the square of their
 * number. */
static const double TRIAGE_S = 0.4;

static void expect(struct lmn_job *job, double latest, double wall)
{
    if (latest >= wall && (job->has_missed_objective || latest < job->latest_start_s)) {
        job->latest_start_s = latest;
        job->has_missed_objective = false;
    }
}

void lmn_job_update_latest_start(const struct lmn_settings *settings, struct lmn_job *job,
                                 double wall)
{
    const struct lmn_job_spec *spec = &job->spec;
    bool any = false;

    /* Estimates are often wrong by half: a job is given up as late only when even a run
     * of half the estimate would come too late. */
    double run = spec->estimate_s * 0.5;
    /* A replica that does not run is missed every second anew, however late it is: once
     * counted as lost like work with an end, services waited behind every batch that
     * could still be in time. */
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
        if (objective->kind == LMN_OBJECTIVE_START)
            expect(job, job->accepted_at_s + objective->within_s, wall);
        else if (objective->kind == LMN_OBJECTIVE_FINISH)
            expect(job, job->accepted_at_s + objective->within_s - run, wall);
        else
            expect(job, job->accepted_at_s + spec->deadline_s * objective->times - run,
                   wall);
        any = true;
    }
    if (spec->deadline_s >= 0) {
        expect(job, job->accepted_at_s + spec->deadline_s - run, wall);
        any = true;
    }
    if (!any) {
        job->has_missed_objective = false;
        job->latest_start_s = INFINITY;
    }
}

/* Processor seconds of the job's tasks in the partition that have not been started. */
static double work_left(const struct lmn_job *job, const struct lmn_partition *partition)
{
    double tasks = 0;

    for (guint i = 0; i < job->ranges->len; i++) {
        const struct lmn_range *range = job->ranges->pdata[i];
        if (range->partition == partition && range->task_states)
            tasks +=
                range->end - range->first - range->finished_count - range->started_count;
    }
    if (lmn_job_is_faulty(&job->failures))
        tasks = MIN(tasks, 1);
    return MAX(tasks, 0) * MAX(job->spec.cpus, 0.01) * MAX(job->spec.estimate_s, 1);
}

static gint by_latest(gconstpointer a, gconstpointer b)
{
    const struct lmn_job *x = *(struct lmn_job *const *)a,
                         *y = *(struct lmn_job *const *)b;

    if (x->is_within_guarantee != y->is_within_guarantee)
        return x->is_within_guarantee ? -1 : 1;
    if (x->spec.priority != y->spec.priority)
        return x->spec.priority > y->spec.priority ? -1 : 1;
    if (x->latest_start_s != y->latest_start_s)
        return x->latest_start_s < y->latest_start_s ? -1 : 1;
    return strcmp(x->spec.id, y->spec.id);
}

/* With more work than can be in time, the earliest first makes all late, one after the
 * other. So the jobs are run through in that order, and whenever one would be late, the
 * largest so far of its urgency yields (after J. M. Moore, "An n job, one machine
 * sequencing algorithm for minimizing the number of late jobs", 1968). */
void lmn_overload_triage(GPtrArray *v, double wall, double cpus, double ordinary_cpus)
{
    double all = 0, ordinary = 0;

    g_ptr_array_sort(v, by_latest);
    for (guint i = 0; i < v->len; i++) {
        struct lmn_job *j = v->pdata[i];
        j->is_deferred = false;
        all += j->remaining_cpu_s;
        if (!j->spec.may_use_spot)
            ordinary += j->remaining_cpu_s;
        for (;;) {
            double ends =
                wall + (j->spec.may_use_spot ? all / MAX(cpus, 1)
                                             : ordinary / MAX(ordinary_cpus, 1));
            struct lmn_job *most = NULL;
            if (ends <= j->latest_start_s)
                break;
            for (guint k = 0; k <= i; k++) {
                struct lmn_job *o = v->pdata[k];
                if (!o->is_deferred && o->is_within_guarantee == j->is_within_guarantee &&
                    o->spec.priority == j->spec.priority &&
                    (j->spec.may_use_spot || !o->spec.may_use_spot) &&
                    (!most || o->remaining_cpu_s > most->remaining_cpu_s))
                    most = o;
            }
            if (!most || most->remaining_cpu_s <= 0)
                break;
            most->is_deferred = true;
            all -= most->remaining_cpu_s;
            if (!most->spec.may_use_spot)
                ordinary -= most->remaining_cpu_s;
        }
    }
}

static void triage_partition(struct lmn_partition *partition, double wall)
{
    GPtrArray *v = g_ptr_array_new();
    double cpus = 0, ordinary = 0;
    GHashTableIter it;
    gpointer x;

    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_machine *machine = x;
        if (!machine->type || !machine->lifecycle.is_accounted ||
            machine->lifecycle.is_draining || machine->agent.lease_expired ||
            machine->lifecycle.is_terminated)
            continue;
        cpus += machine->type->cpus;
        ordinary += machine->is_spot ? 0 : machine->type->cpus;
    }
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        struct lmn_job *job = ((struct lmn_range *)x)->job;
        if (job->phase != LMN_JOB_ACTIVE || job->has_missed_objective ||
            job->triage_partition == partition || job->spec.kind == LMN_JOB_SERVICE)
            continue;
        job->triage_partition = partition;
        job->remaining_cpu_s = work_left(job, partition);
        g_ptr_array_add(v, job);
    }
    lmn_overload_triage(v, wall, cpus, ordinary);
    for (guint i = 0; i < v->len; i++)
        ((struct lmn_job *)v->pdata[i])->triage_partition = NULL;
    g_ptr_array_free(v, TRUE);
}

void lmn_update_job_order(struct lmn_core *core, double wall)
{
    GHashTableIter it;
    gpointer v;

    bool due = wall < core->scheduling.last_triage_s ||
               wall - core->scheduling.last_triage_s > TRIAGE_S;

    core->scheduling.wall_clock_s = wall;
    if (due) {
        core->scheduling.last_triage_s = wall;
        lmn_update_fair_shares(core);
        lmn_update_starvation(core, wall);
    }
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        if (!partition->ownership.is_owned)
            continue;
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v))
            lmn_job_update_latest_start(core->settings, ((struct lmn_range *)v)->job,
                                        wall);
        if (due)
            triage_partition(partition, wall);
    }
}

/* A class or team that has less than its floor goes before all but production: with more
 * work than room for long, the rest of the order leaves it nothing. So does the first
 * task of a job that has waited for long: a class's floor was used up by two of its six
 * jobs, while the others waited for six minutes. */
static int group(const struct lmn_job *job)
{
    return job->spec.priority == LMN_PRIORITY_PRODUCTION && !job->has_missed_objective ? 0
           : job->is_starving                                                          ? 1
           : job->is_under_fair_share                                                  ? 2
                                      : 3;
}

int lmn_job_compare(const struct lmn_job *a, const struct lmn_job *b)
{
    /* A team need not wait for others as long as its work fits into its guarantee. */
    if (a->is_within_guarantee != b->is_within_guarantee)
        return a->is_within_guarantee ? -1 : 1;
    if (group(a) != group(b))
        return group(a) - group(b);
    /* What can't be in time any more yields to what still can. */
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
