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
    if (latest >= wall && (job->lost || latest < job->latest)) {
        job->latest = latest;
        job->lost = false;
    }
}

void lmn_job_update_latest_start(const struct lmn_settings *cfg, struct lmn_job *job,
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
        job->lost = false;
        job->latest = job->at;
        return;
    }
    job->lost = true;
    job->latest = 0;
    for (size_t i = 0; i < cfg->nobjectives; i++) {
        const struct lmn_objective *objective = &cfg->objectives[i];
        if (!lmn_objective_applies(objective, spec))
            continue;
        if (objective->kind == LMN_OBJECTIVE_START)
            expect(job, job->at + objective->within_s, wall);
        else if (objective->kind == LMN_OBJECTIVE_FINISH)
            expect(job, job->at + objective->within_s - run, wall);
        else
            expect(job, job->at + spec->deadline_s * objective->times - run, wall);
        any = true;
    }
    if (spec->deadline_s >= 0) {
        expect(job, job->at + spec->deadline_s - run, wall);
        any = true;
    }
    if (!any) {
        job->lost = false;
        job->latest = INFINITY;
    }
}

/* Processor seconds of the job's tasks in the partition that have not been started. */
static double work_left(const struct lmn_job *job, const struct lmn_partition *partition)
{
    double tasks = 0;

    for (guint i = 0; i < job->ranges->len; i++) {
        const struct lmn_range *range = job->ranges->pdata[i];
        if (range->part == partition && range->st)
            tasks += range->hi - range->lo - range->nfinished - range->nstarted;
    }
    if (lmn_job_is_faulty(&job->failures))
        tasks = MIN(tasks, 1);
    return MAX(tasks, 0) * MAX(job->spec.cpus, 0.01) * MAX(job->spec.estimate_s, 1);
}

static gint by_latest(gconstpointer a, gconstpointer b)
{
    const struct lmn_job *x = *(struct lmn_job *const *)a,
                         *y = *(struct lmn_job *const *)b;

    if (x->guaranteed != y->guaranteed)
        return x->guaranteed ? -1 : 1;
    if (x->spec.urgency != y->spec.urgency)
        return x->spec.urgency > y->spec.urgency ? -1 : 1;
    if (x->latest != y->latest)
        return x->latest < y->latest ? -1 : 1;
    return strcmp(x->spec.ref, y->spec.ref);
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
        j->yields = false;
        all += j->left;
        if (!j->spec.spot)
            ordinary += j->left;
        for (;;) {
            double ends = wall + (j->spec.spot ? all / MAX(cpus, 1)
                                               : ordinary / MAX(ordinary_cpus, 1));
            struct lmn_job *most = NULL;
            if (ends <= j->latest)
                break;
            for (guint k = 0; k <= i; k++) {
                struct lmn_job *o = v->pdata[k];
                if (!o->yields && o->guaranteed == j->guaranteed &&
                    o->spec.urgency == j->spec.urgency &&
                    (j->spec.spot || !o->spec.spot) && (!most || o->left > most->left))
                    most = o;
            }
            if (!most || most->left <= 0)
                break;
            most->yields = true;
            all -= most->left;
            if (!most->spec.spot)
                ordinary -= most->left;
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
        if (!machine->type || !machine->accounted || machine->retiring ||
            machine->lapsed || machine->is_gone)
            continue;
        cpus += machine->type->cpus;
        ordinary += machine->spot ? 0 : machine->type->cpus;
    }
    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        struct lmn_job *job = ((struct lmn_range *)x)->job;
        if (job->phase != LMN_JOB_ACTIVE || job->lost || job->ranked == partition ||
            job->spec.kind == LMN_JOB_SERVICE)
            continue;
        job->ranked = partition;
        job->left = work_left(job, partition);
        g_ptr_array_add(v, job);
    }
    lmn_overload_triage(v, wall, cpus, ordinary);
    for (guint i = 0; i < v->len; i++)
        ((struct lmn_job *)v->pdata[i])->ranked = NULL;
    g_ptr_array_free(v, TRUE);
}

void lmn_update_job_order(struct lmn_core *core, double wall)
{
    GHashTableIter it;
    gpointer v;

    bool due = wall < core->triaged || wall - core->triaged > TRIAGE_S;

    core->wall = wall;
    if (due) {
        core->triaged = wall;
        lmn_update_fair_shares(core);
        lmn_update_starvation(core, wall);
    }
    for (int i = 0; i < core->nparts; i++) {
        struct lmn_partition *partition = &core->parts[i];
        if (!partition->mine)
            continue;
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v))
            lmn_job_update_latest_start(core->cfg, ((struct lmn_range *)v)->job, wall);
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
    return job->spec.urgency == LMN_PRIORITY_PRODUCTION && !job->lost ? 0
           : job->aged                                                ? 1
           : job->owed                                                ? 2
                                                                      : 3;
}

int lmn_job_compare(const struct lmn_job *a, const struct lmn_job *b)
{
    /* A team need not wait for others as long as its work fits into its guarantee. */
    if (a->guaranteed != b->guaranteed)
        return a->guaranteed ? -1 : 1;
    if (group(a) != group(b))
        return group(a) - group(b);
    /* What can't be in time any more yields to what still can. */
    if (a->lost != b->lost)
        return a->lost ? 1 : -1;
    if (a->spec.urgency != b->spec.urgency)
        return a->spec.urgency > b->spec.urgency ? -1 : 1;
    if (!a->lost && a->yields != b->yields)
        return a->yields ? 1 : -1;
    if (!a->lost && a->latest != b->latest)
        return a->latest < b->latest ? -1 : 1;
    if (a->at != b->at)
        return a->at < b->at ? -1 : 1;
    return strcmp(a->spec.ref, b->spec.ref);
}
