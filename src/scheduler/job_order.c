/* Which job goes first, and which should yield when not all can be in time. */
#include "scheduler/job_order.h"
#include "scheduler/fair_share.h"

#include <math.h>
#include <string.h>

/* How often it is decided anew which jobs yield: it takes up to the square of their
 * number. */
static const double TRIAGE_S = 0.4;

static void expect(struct lmn_job *j, double latest, double wall)
{
    if (latest >= wall && (j->lost || latest < j->latest)) {
        j->latest = latest;
        j->lost = false;
    }
}

void lmn_job_update_latest_start(const struct lmn_settings *cfg, struct lmn_job *j,
                                 double wall)
{
    const struct lmn_job_spec *s = &j->spec;
    bool any = false;

    /* Estimates are often wrong by half: a job is given up as late only when even a run
     * of half the estimate would come too late. */
    double run = s->estimate_s * 0.5;
    /* A replica that does not run is missed every second anew, however late it is: once
     * counted as lost like work with an end, services waited behind every batch that
     * could still be in time. */
    if (s->kind == LMN_JOB_SERVICE) {
        j->lost = false;
        j->latest = j->at;
        return;
    }
    j->lost = true;
    j->latest = 0;
    for (size_t i = 0; i < cfg->nobjectives; i++) {
        const struct lmn_objective *o = &cfg->objectives[i];
        if (!lmn_objective_applies(o, s))
            continue;
        if (o->kind == LMN_OBJECTIVE_START)
            expect(j, j->at + o->within_s, wall);
        else if (o->kind == LMN_OBJECTIVE_FINISH)
            expect(j, j->at + o->within_s - run, wall);
        else
            expect(j, j->at + s->deadline_s * o->times - run, wall);
        any = true;
    }
    if (s->deadline_s >= 0) {
        expect(j, j->at + s->deadline_s - run, wall);
        any = true;
    }
    if (!any) {
        j->lost = false;
        j->latest = INFINITY;
    }
}

/* Processor seconds of the job's tasks in the partition that have not been started. */
static double work_left(const struct lmn_job *j, const struct lmn_partition *p)
{
    double tasks = 0;

    for (guint i = 0; i < j->ranges->len; i++) {
        const struct lmn_range *r = j->ranges->pdata[i];
        if (r->part == p && r->st)
            tasks += r->hi - r->lo - r->nfinished - r->nstarted;
    }
    if (lmn_job_is_faulty(&j->failures))
        tasks = MIN(tasks, 1);
    return MAX(tasks, 0) * MAX(j->spec.cpus, 0.01) * MAX(j->spec.estimate_s, 1);
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

static void triage_partition(struct lmn_partition *p, double wall)
{
    GPtrArray *v = g_ptr_array_new();
    double cpus = 0, ordinary = 0;
    GHashTableIter it;
    gpointer x;

    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_machine *m = x;
        if (!m->type || !m->accounted || m->retiring || m->lapsed || m->is_gone)
            continue;
        cpus += m->type->cpus;
        ordinary += m->spot ? 0 : m->type->cpus;
    }
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        struct lmn_job *j = ((struct lmn_range *)x)->job;
        if (j->phase != LMN_JOB_ACTIVE || j->lost || j->ranked == p ||
            j->spec.kind == LMN_JOB_SERVICE)
            continue;
        j->ranked = p;
        j->left = work_left(j, p);
        g_ptr_array_add(v, j);
    }
    lmn_overload_triage(v, wall, cpus, ordinary);
    for (guint i = 0; i < v->len; i++)
        ((struct lmn_job *)v->pdata[i])->ranked = NULL;
    g_ptr_array_free(v, TRUE);
}

void lmn_update_job_order(struct lmn_core *c, double wall)
{
    GHashTableIter it;
    gpointer v;

    bool due = wall < c->triaged || wall - c->triaged > TRIAGE_S;

    c->wall = wall;
    if (due) {
        c->triaged = wall;
        lmn_update_fair_shares(c);
        lmn_update_starvation(c, wall);
    }
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        if (!p->mine)
            continue;
        g_hash_table_iter_init(&it, p->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v))
            lmn_job_update_latest_start(c->cfg, ((struct lmn_range *)v)->job, wall);
        if (due)
            triage_partition(p, wall);
    }
}

/* A class or team that has less than its floor goes before all but production: with more
 * work than room for long, the rest of the order leaves it nothing. So does the first
 * task of a job that has waited for long: a class's floor was used up by two of its six
 * jobs, while the others waited for six minutes. */
static int group(const struct lmn_job *j)
{
    return j->spec.urgency == LMN_PRIORITY_PRODUCTION && !j->lost ? 0
           : j->aged                                              ? 1
           : j->owed                                              ? 2
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
