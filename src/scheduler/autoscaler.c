#include "scheduler/autoscaler.h"
#include "scheduler/fair_share.h"
#include "admission/connection_budget.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

void lmn_autoscaler_init(struct lmn_autoscaler *f)
{
    f->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    f->refusals = g_array_new(FALSE, FALSE, sizeof(struct lmn_capacity_backoff));
    f->boots = g_array_new(FALSE, FALSE, sizeof(struct lmn_boot_time));
}

/* Boots usually take up to 1.5 times what the type says (the protocol). */
static const double USUAL = 1.5;
/* How much the last boot counts. */
static const double LAST = 0.2;

static struct lmn_boot_time *boots(const struct lmn_autoscaler *f, const char *type,
                                   const char *zone)
{
    for (guint i = 0; i < f->boots->len; i++) {
        struct lmn_boot_time *b = &g_array_index(f->boots, struct lmn_boot_time, i);
        if (!strcmp(b->type, type) && !strcmp(b->zone, zone))
            return b;
    }
    return NULL;
}

void lmn_autoscaler_record_boot(struct lmn_autoscaler *f,
                                const struct lmn_cloud_machine *m, double age_s)
{
    struct lmn_boot_time *b = boots(f, m->type, m->zone), new = {.typical = age_s};

    if (b) {
        b->typical += (age_s - b->typical) * LAST;
        return;
    }
    g_strlcpy(new.type, m->type, sizeof new.type);
    g_strlcpy(new.zone, m->zone, sizeof new.zone);
    g_array_append_val(f->boots, new);
}

double lmn_autoscaler_boot_timeout_s(const struct lmn_autoscaler *f,
                                     const struct lmn_machine_type *t, const char *zone,
                                     double lag_s)
{
    const struct lmn_boot_time *b = boots(f, t->name, zone);

    return USUAL * MAX(t->ready_s, b ? b->typical : 0) + 2 * lag_s;
}

/* Machines of one type and zone. */
struct kind {
    const struct lmn_machine_type *type;
    const char *zone;
    unsigned all, late;
};

/* Processors that a few late ones will not bring: they are rented once more. Where many
 * are late it is the cloud that is slow, and more of them would be no sooner there. */
static void count_late(const struct lmn_core *c, const struct lmn_autoscaler *f,
                       double *late, double *late_ordinary, struct timespec now)
{
    GArray *kinds = g_array_new(FALSE, FALSE, sizeof(struct kind));
    GHashTableIter it;
    gpointer v;

    for (int pass = 0; pass < 2; pass++) {
        g_hash_table_iter_init(&it, f->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_cloud_machine *m = v;
            const struct lmn_machine_type *t = lmn_machine_type_by_name(c, m->type);
            struct kind *k = NULL, new = {t, m->zone, 0, 0};
            if (!t || m->broken)
                continue;
            for (guint i = 0; i < kinds->len && !k; i++) {
                struct kind *x = &g_array_index(kinds, struct kind, i);
                k = x->type == t && !strcmp(x->zone, m->zone) ? x : NULL;
            }
            if (!k) {
                g_array_append_val(kinds, new);
                k = &g_array_index(kinds, struct kind, kinds->len - 1);
            }
            bool is_late = m->booting && lmn_time_diff_s(now, m->since) >
                                             lmn_autoscaler_boot_timeout_s(
                                                 f, t, m->zone, c->cfg->list_lag_s);
            if (!pass) {
                k->all++;
                k->late += is_late;
            } else if (is_late && 4 * k->late <= k->all) {
                *late += t->cpus;
                *late_ordinary += m->spot ? 0 : t->cpus;
            }
        }
    }
    g_array_free(kinds, TRUE);
}

struct want {
    const struct lmn_job_spec *spec;
    int team;
    bool cheap; /* cheap machines only */
    double cpus, gpus, mem;
};

/* A team's work runs on no more than its limit, however much of it waits: what it wants
 * beyond that is not rented for. Else, with limits far below the demand, thousands of
 * machines were rented, found nothing that might start, went back as idle, and were
 * rented again. All its ranges are cut alike: which of them goes first is not decided
 * here. */
static void bound_by_limits(const struct lmn_core *c, GArray *a)
{
    double *cpus = g_new0(double, c->cfg->nteams);
    double *gpus = g_new0(double, c->cfg->nteams);

    for (guint i = 0; i < a->len; i++) {
        const struct want *w = &g_array_index(a, struct want, i);
        cpus[w->team] += w->cpus;
        gpus[w->team] += w->gpus;
    }
    for (guint i = 0; i < a->len; i++) {
        struct want *w = &g_array_index(a, struct want, i);
        const struct lmn_team *t = &c->cfg->teams[w->team];
        double part = 1;
        if (t->cpus_max > 0 && cpus[w->team] > t->cpus_max)
            part = t->cpus_max / cpus[w->team];
        if (t->gpus_max > 0 && gpus[w->team] > t->gpus_max)
            part = MIN(part, t->gpus_max / gpus[w->team]);
        w->cpus *= part;
        w->mem *= part;
    }
    g_free(cpus);
    g_free(gpus);
}

/* Whether no ordinary machine is worth renting for it. */
static bool cheap_only(const struct lmn_core *c, const struct lmn_job_spec *s)
{
    for (size_t i = 0; i < c->types.n; i++)
        if (!lmn_is_spot_only(c->cfg, s, &c->types.v[i]))
            return false;
    return c->types.n > 0;
}

/* Processors that each open range could use: all of a service's, and of an array as many
 * as work it off within the horizon. */
static GArray *wants(const struct lmn_core *c, bool cheap)
{
    GArray *a = g_array_new(FALSE, FALSE, sizeof(struct want));
    double horizon = c->tuning.horizon_s;
    GHashTableIter it;
    gpointer v;

    for (int i = 0; i < c->nparts; i++) {
        g_hash_table_iter_init(&it, c->parts[i].ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *r = v;
            const struct lmn_job_spec *s = &r->job->spec;
            double left = r->hi - r->lo - (r->st ? r->nfinished : r->ndone);
            if (r->job->phase != LMN_JOB_ACTIVE || left <= 0 || r->job->team < 0)
                continue;
            if (s->kind == LMN_JOB_BATCH)
                left = MIN(left, MAX(left * MAX(s->estimate_s, 1) / horizon, 1));
            if (lmn_job_is_faulty(&r->job->failures))
                left = MIN(left, 1); /* its only try */
            struct want w = {s,
                             r->job->team,
                             cheap && cheap_only(c, s),
                             left * s->cpus,
                             left * s->gpus,
                             left * s->mem};
            g_array_append_val(a, w);
        }
    }
    bound_by_limits(c, a);
    return a;
}

static struct lmn_capacity_backoff *refusal(struct lmn_autoscaler *f, const char *type,
                                            const char *zone, bool spot)
{
    for (guint i = 0; i < f->refusals->len; i++) {
        struct lmn_capacity_backoff *r =
            &g_array_index(f->refusals, struct lmn_capacity_backoff, i);
        if (r->spot == spot && !strcmp(r->type, type) && !strcmp(r->zone, zone))
            return r;
    }
    return NULL;
}

void lmn_autoscaler_record_result(struct lmn_autoscaler *f,
                                  const struct lmn_provision_request *r, unsigned got,
                                  struct timespec now)
{
    struct lmn_capacity_backoff *old = refusal(f, r->type, r->zone, r->spot);

    if (got >= r->count) {
        if (old)
            old->wait_s = 0;
        return;
    }
    if (!old) {
        struct lmn_capacity_backoff n = {.spot = r->spot};
        g_strlcpy(n.type, r->type, sizeof n.type);
        g_strlcpy(n.zone, r->zone, sizeof n.zone);
        g_array_append_val(f->refusals, n);
        old = &g_array_index(f->refusals, struct lmn_capacity_backoff,
                             f->refusals->len - 1);
    }
    old->wait_s = got ? 8 : CLAMP(old->wait_s * 2, 8, 32);
    old->until = lmn_time_add(now, old->wait_s);
}

/* The cheapest that serves the deficit, of which ordinary machines may serve no more than
 * `dear`; returns its cost, or infinity. */
static double choose(const struct lmn_core *c, struct lmn_autoscaler *f, const GArray *w,
                     double deficit, double dear, bool any, bool first,
                     struct lmn_provision_request *out, struct timespec now)
{
    double best = INFINITY;

    for (size_t i = 0; i < c->types.n; i++)
        for (int z = 0; z < c->types.v[i].nzones; z++)
            for (int spot = 0; spot <= (any && c->tuning.spot >= 0.5); spot++) {
                const struct lmn_machine_type *t = &c->types.v[i];
                const struct lmn_capacity_backoff *no =
                    refusal(f, t->name, t->zones[z], spot);
                double cpus = 0, mem = 0;
                if (no && no->wait_s > 0 && lmn_time_before(now, no->until))
                    continue;
                for (guint k = 0; k < w->len; k++) {
                    const struct want *x = &g_array_index(w, struct want, k);
                    if ((spot || !x->cheap) &&
                        lmn_job_spec_allows(x->spec, t, t->zones[z], spot)) {
                        cpus += x->cpus;
                        mem += x->mem;
                    }
                }
                double most = MIN(deficit, cpus);
                if (!spot)
                    most = MIN(most, dear);
                if (most < 1)
                    continue;
                double usable = MIN(t->cpus, mem > 0 ? t->mem * cpus / mem : t->cpus);
                double rate = spot ? t->spot_rate : t->rate;
                /* Time lost to booting is paid for, and waited for. */
                double cost = rate / usable * (1 + t->ready_s / 120);
                if (cost >= best)
                    continue;
                best = cost;
                g_strlcpy(out->type, t->name, sizeof out->type);
                g_strlcpy(out->zone, t->zones[z], sizeof out->zone);
                out->spot = spot;
                double n = most / usable;
                out->count = (unsigned)CLAMP(first ? ceil(n) : floor(n + 0.5), 0, 50);
            }
    return best;
}

/* How far behind a node may be that rents. */
static const double BEHIND_S = 1;

bool lmn_autoscaler_decide(struct lmn_core *c, struct lmn_autoscaler *f,
                           struct lmn_provision_request *out, struct timespec now)
{
    double need = c->tuning.spare_cpus, need_ordinary = 0, have = 0, have_ordinary = 0;
    double best = INFINITY, machines = 0, need_cheap = 0;
    bool refused = c->tuning.spot < 0.5;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, f->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_cloud_machine *m = v;
        const struct lmn_machine_type *t = lmn_machine_type_by_name(c, m->type);
        machines++;
        if (m->broken || !t)
            continue;
        have += t->cpus;
        if (!m->spot)
            have_ordinary += t->cpus;
    }
    double late = 0, late_ordinary = 0;
    count_late(c, f, &late, &late_ordinary, now);
    have -= late;
    have_ordinary -= late_ordinary;
    for (guint i = 0; i < f->refusals->len; i++)
        refused =
            refused || g_array_index(f->refusals, struct lmn_capacity_backoff, i).spot;
    /* Where no cheap machine can be had at all, idle work takes what there is. */
    GArray *w = wants(c, !refused || have > have_ordinary);
    for (guint i = 0; i < w->len; i++) {
        const struct want *x = &g_array_index(w, struct want, i);
        need += x->cpus;
        need_cheap += x->cheap ? x->cpus : 0;
        if (!x->spec->spot)
            need_ordinary += x->cpus;
    }
    double heard = lmn_connection_budget_max_machines(&c->sockets, c->cfg) - machines;
    /* A machine that can't be heard runs nothing, and those that are heard have enough to
     * wait for while the node is behind. */
    if (heard < 1 || c->load.behind > BEHIND_S) {
        g_array_free(w, TRUE);
        return false;
    }
    /* Ordinary machines for the work that must have them, and whatever is cheapest for
     * the rest: the larger deficit first, since calls are few; where the one can't be
     * had, the other. */
    double ordinary = need_ordinary - have_ordinary, all = need - have;
    bool any = all - MAX(ordinary, 0) > ordinary;
    for (int turn = 0; turn < 2 && best == INFINITY; turn++, any = !any) {
        /* What only ordinary machines can do is theirs to rent, while they can be had. */
        double deficit = !any ? ordinary : turn ? all : all - MAX(ordinary, 0);
        /* Of what any may serve: what cheap machines leave, once those that may use no
         * others have theirs. */
        double left = MAX(have - have_ordinary - need_cheap, 0);
        double dear = any ? need - need_cheap - have_ordinary - left : ordinary;
        if (deficit >= 1)
            best = choose(c, f, w, deficit, dear, any, have <= 0, out, now);
    }
    g_array_free(w, TRUE);
    if (best < INFINITY)
        out->count = (unsigned)MIN(out->count, heard);
    return best < INFINITY && out->count > 0;
}
