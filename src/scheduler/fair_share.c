#include "scheduler/fair_share.h"

/* Of an even part. */
static const double PART = 0.25;
/* The largest jobs, too, have to begin within four minutes; a machine may have to run
 * empty for that. */
static const double AGED_S = 60;
/* Work that is bought elsewhere costs so many times its worth; what runs no longer than
 * so fills a gap on a machine that stays for others. */
static const double LEFT = 2, GAP_S = 30;

bool lmn_is_under_fair_share(const struct lmn_fair_share *f, double all_used,
                             unsigned kinds)
{
    return kinds > 1 && f->waiting > 0 && f->used < PART * all_used / kinds;
}

static struct lmn_fair_share *find(GArray *v, const void *of)
{
    struct lmn_fair_share new = {.of = of};

    for (guint i = 0; i < v->len; i++) {
        struct lmn_fair_share *f = &g_array_index(v, struct lmn_fair_share, i);
        if (f->of == of)
            return f;
    }
    g_array_append_val(v, new);
    return &g_array_index(v, struct lmn_fair_share, v->len - 1);
}

static void count(struct lmn_fair_share *f, const struct lmn_range *r)
{
    uint32_t waiting = r->hi - r->lo - MIN(r->nfinished + r->nstarted, r->hi - r->lo);

    /* Of one that fails wherever it starts, nothing can. */
    if (lmn_job_is_faulty(&r->job->failures))
        waiting = 0;
    f->used += r->nstarted * r->job->spec.cpus;
    f->waiting += waiting * r->job->spec.cpus;
}

static void add_up(const struct lmn_core *c, GArray *classes, GArray *teams)
{
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        GHashTableIter it;
        gpointer v;
        if (!p->mine)
            continue;
        g_hash_table_iter_init(&it, p->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *r = v;
            if (r->job->phase != LMN_JOB_ACTIVE || !r->st)
                continue;
            if (classes)
                count(find(classes, r->job->cls), r);
            if (teams && r->job->team >= 0)
                count(find(teams, &c->cfg->teams[r->job->team]), r);
        }
    }
}

GArray *lmn_fair_share_by_class(const struct lmn_core *c)
{
    GArray *classes = g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share));

    add_up(c, classes, NULL);
    return classes;
}

unsigned lmn_fair_share_sum(const GArray *v, double *used)
{
    unsigned kinds = 0;

    *used = 0;
    for (guint i = 0; i < v->len; i++) {
        const struct lmn_fair_share *f = &g_array_index(v, struct lmn_fair_share, i);
        *used += f->used;
        kinds += f->waiting > 0;
    }
    return kinds;
}

/* Keeps those that are owed; returns whether there are any. */
static bool keep_owed(GArray *v)
{
    double used;
    unsigned kinds = lmn_fair_share_sum(v, &used);

    for (guint i = v->len; i-- > 0;)
        if (!lmn_is_under_fair_share(&g_array_index(v, struct lmn_fair_share, i), used,
                                     kinds))
            g_array_remove_index_fast(v, i);
    return v->len > 0;
}

static bool among(const GArray *v, const void *of)
{
    for (guint i = 0; i < v->len; i++)
        if (g_array_index(v, struct lmn_fair_share, i).of == of)
            return true;
    return false;
}

void lmn_update_fair_shares(struct lmn_core *c)
{
    GArray *classes = g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share));
    GArray *teams = g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share));

    add_up(c, classes, teams);
    bool any = keep_owed(classes);
    any = keep_owed(teams) || any;
    for (int i = 0; i < c->nparts && (any || c->owing); i++) {
        GHashTableIter it;
        gpointer v;
        if (!c->parts[i].mine)
            continue;
        g_hash_table_iter_init(&it, c->parts[i].ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_job *j = ((struct lmn_range *)v)->job;
            j->owed = among(classes, j->cls) ||
                      (j->team >= 0 && among(teams, &c->cfg->teams[j->team]));
        }
    }
    c->owing = any;
    g_array_free(classes, TRUE);
    g_array_free(teams, TRUE);
}

bool lmn_is_spot_only(const struct lmn_settings *cfg, const struct lmn_job_spec *s,
                      const struct lmn_machine_type *t)
{
    return s->urgency == LMN_PRIORITY_IDLE && s->spot && s->kind == LMN_JOB_BATCH &&
           s->estimate_s > GAP_S && t->rate > LEFT * t->spot_rate &&
           !lmn_job_spec_has_objective(cfg, s);
}

/* Where no cheap machine could hold it, any will do. */
static bool cheap_here(const struct lmn_partition *p, const struct lmn_job_spec *s)
{
    for (guint k = 0; k < p->list->len; k++) {
        const struct lmn_machine *m = p->list->pdata[k];
        if (m->spot && m->type && m->accounted && !m->is_gone && !m->lapsed &&
            lmn_job_spec_allows(s, m->type, m->zone, true))
            return true;
    }
    return false;
}

void lmn_update_starvation(struct lmn_core *c, double wall)
{
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        GHashTableIter it;
        gpointer v;
        if (!p->mine)
            continue;
        g_hash_table_iter_init(&it, p->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *r = v;
            struct lmn_job *j = r->job;
            if (j->phase != LMN_JOB_ACTIVE || !r->st)
                continue;
            j->aged = wall - j->at > AGED_S && !r->nstarted && !r->nfinished &&
                      !lmn_job_is_faulty(&j->failures);
            j->cheap = j->spec.urgency == LMN_PRIORITY_IDLE && cheap_here(p, &j->spec);
        }
    }
}
