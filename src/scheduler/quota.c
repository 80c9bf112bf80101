/* A team's limit, parted among the partitions. Without a record each has an even part;
 * parts are moved by partition/quota_transfer.c. */
#include "scheduler/quota.h"

#include <string.h>

bool lmn_team_has_limit(const struct lmn_team *t)
{
    return t->cpus_max > 0 || t->gpus_max > 0;
}

void lmn_quota_even_share(const struct lmn_core *c, int team, double *cpus, double *gpus)
{
    *cpus = c->cfg->teams[team].cpus_max / c->nparts;
    *gpus = c->cfg->teams[team].gpus_max / c->nparts;
}

void lmn_quota_share(const struct lmn_core *c, const struct lmn_partition *p, int team,
                     double *cpus, double *gpus)
{
    lmn_quota_even_share(c, team, cpus, gpus);
    if (c->quota_known[team]) {
        *cpus = p->quota_cpus[team];
        *gpus = p->quota_gpus[team];
    }
    if (p->transfer.team == team) {
        *cpus -= p->transfer.cpus;
        *gpus -= p->transfer.gpus;
    }
}

/* What the team's queued tasks in the partition ask for, and the largest of them; returns
 * the processors of the smallest. */
static double queued(const struct lmn_partition *p, int team, struct lmn_quota_request *w)
{
    double smallest = 1e12;
    GHashTableIter it;
    gpointer v;

    *w = (struct lmn_quota_request){.team = team};
    g_hash_table_iter_init(&it, p->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *r = v;
        double n = r->st ? r->hi - r->lo - r->nfinished - r->nstarted : 0;
        if (r->job->team != team || r->job->phase != LMN_JOB_ACTIVE || n <= 0)
            continue;
        if (lmn_job_is_faulty(&r->job->failures))
            n = 1; /* it is tried with a task at a time */
        w->cpus += n * r->job->spec.cpus;
        w->gpus += n * r->job->spec.gpus;
        w->least_cpus = MAX(w->least_cpus, r->job->spec.cpus);
        w->least_gpus = MAX(w->least_gpus, r->job->spec.gpus);
        smallest = MIN(smallest, r->job->spec.cpus);
    }
    return smallest;
}

/* Processors that are free on the partition's machines, where a task of that size fits.
 */
static double free_cpus(const struct lmn_partition *p, double task)
{
    double sum = 0;

    for (guint i = 0; i < p->list->len; i++) {
        const struct lmn_machine *m = p->list->pdata[i];
        if (!m->type || !m->accounted || m->retiring || m->noticed || m->lapsed ||
            m->is_gone)
            continue;
        double left = m->type->cpus - m->used_cpus;
        sum += left + 1e-6 >= task ? left : 0;
    }
    return sum;
}

bool lmn_quota_shortfall(const struct lmn_core *c, const struct lmn_partition *p,
                         int team, struct lmn_quota_request *w)
{
    double cpus, gpus;

    if (!p->mine || !p->ready || !lmn_team_has_limit(&c->cfg->teams[team]))
        return false;
    double smallest = queued(p, team, w);
    lmn_quota_share(c, p, team, &cpus, &gpus);
    /* Only what its queue is short of; the least it needs is what a task needs beyond all
     * of the part, which waiting for others to end would never give it. */
    bool short_cpus = p->used_cpus[team] + w->least_cpus > cpus + 1e-6;
    bool short_gpus = p->used_gpus[team] + w->least_gpus > gpus + 1e-6;
    w->cpus = short_cpus ? MAX(w->cpus - (cpus - p->used_cpus[team]), 0) : 0;
    w->gpus = short_gpus ? MAX(w->gpus - (gpus - p->used_gpus[team]), 0) : 0;
    w->least_cpus = MAX(w->least_cpus - cpus, 0);
    w->least_gpus = MAX(w->least_gpus - gpus, 0);
    /* No more than it has machines for: what it took beyond that lay idle, while others
     * had room. */
    double room = w->cpus > 0 || w->gpus > 0 ? free_cpus(p, smallest) : 0;
    w->cpus = MIN(w->cpus, room);
    w->gpus = room > 0 ? w->gpus : 0;
    w->cpus = MAX(w->cpus, w->least_cpus);
    w->gpus = MAX(w->gpus, w->least_gpus);
    if (c->cfg->teams[team].cpus_max <= 0)
        w->cpus = w->least_cpus = 0;
    if (c->cfg->teams[team].gpus_max <= 0)
        w->gpus = w->least_gpus = 0;
    return w->cpus > 1e-6 || w->gpus > 1e-6;
}

void lmn_quota_spare(const struct lmn_core *c, const struct lmn_partition *p,
                     const struct lmn_quota_request *w, double *cpus, double *gpus)
{
    struct lmn_quota_request own;

    double smallest = queued(p, w->team, &own);
    lmn_quota_share(c, p, w->team, cpus, gpus);
    /* What its own queue does not need, or has no room for: a partition whose machines
     * were full kept most of the limit, while another with room had none left. What is
     * kept for a job that waits for it (scheduler/reservation.h) stays. And whatever
     * another could else never start with. */
    own.cpus = own.cpus > 0 ? MIN(own.cpus, free_cpus(p, smallest)) : 0;
    own.cpus = MAX(own.cpus, p->keep[w->team].job ? p->keep[w->team].cpus : 0);
    *cpus -= p->used_cpus[w->team] + own.cpus;
    *gpus -= p->used_gpus[w->team] + own.gpus;
    *cpus = MAX(MIN(w->cpus, *cpus), w->least_cpus);
    *gpus = MAX(MIN(w->gpus, *gpus), w->least_gpus);
}
