#include "scheduler/fair_share.h"

/* Of an even part. */
static const double PART = 0.25;
/* The largest jobs, too, have to begin within four minutes; a machine may have to run
 * empty for that. */
static const double AGED_S = 60;
/* Work that is bought elsewhere costs so many times its worth; what runs no longer than
 * so fills a gap on a machine that stays for others. */
static const double LEFT = 2, GAP_S = 30;

bool lmn_is_under_fair_share(const struct lmn_fair_share *share, double all_used,
                             unsigned kinds)
{
    return kinds > 1 && share->waiting > 0 && share->used < PART * all_used / kinds;
}

static struct lmn_fair_share *find(GArray *v, const void *of)
{
    struct lmn_fair_share new = {.of = of};

    for (guint i = 0; i < v->len; i++) {
        struct lmn_fair_share *share = &g_array_index(v, struct lmn_fair_share, i);
        if (share->of == of)
            return share;
    }
    g_array_append_val(v, new);
    return &g_array_index(v, struct lmn_fair_share, v->len - 1);
}

static void count(struct lmn_fair_share *share, const struct lmn_range *range)
{
    uint32_t waiting = range->hi - range->lo -
                       MIN(range->nfinished + range->nstarted, range->hi - range->lo);

    /* Of one that fails wherever it starts, nothing can. */
    if (lmn_job_is_faulty(&range->job->failures))
        waiting = 0;
    share->used += range->nstarted * range->job->spec.cpus;
    share->waiting += waiting * range->job->spec.cpus;
}

static void add_up(const struct lmn_core *core, GArray *classes, GArray *teams)
{
    for (int i = 0; i < core->nparts; i++) {
        const struct lmn_partition *partition = &core->parts[i];
        GHashTableIter it;
        gpointer v;
        if (!partition->mine)
            continue;
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *range = v;
            if (range->job->phase != LMN_JOB_ACTIVE || !range->st)
                continue;
            if (classes)
                count(find(classes, range->job->cls), range);
            if (teams && range->job->team >= 0)
                count(find(teams, &core->cfg->teams[range->job->team]), range);
        }
    }
}

GArray *lmn_fair_share_by_class(const struct lmn_core *core)
{
    GArray *classes = g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share));

    add_up(core, classes, NULL);
    return classes;
}

unsigned lmn_fair_share_sum(const GArray *v, double *used)
{
    unsigned kinds = 0;

    *used = 0;
    for (guint i = 0; i < v->len; i++) {
        const struct lmn_fair_share *share = &g_array_index(v, struct lmn_fair_share, i);
        *used += share->used;
        kinds += share->waiting > 0;
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

void lmn_update_fair_shares(struct lmn_core *core)
{
    GArray *classes = g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share));
    GArray *teams = g_array_new(FALSE, FALSE, sizeof(struct lmn_fair_share));

    add_up(core, classes, teams);
    bool any = keep_owed(classes);
    any = keep_owed(teams) || any;
    for (int i = 0; i < core->nparts && (any || core->owing); i++) {
        GHashTableIter it;
        gpointer v;
        if (!core->parts[i].mine)
            continue;
        g_hash_table_iter_init(&it, core->parts[i].ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_job *job = ((struct lmn_range *)v)->job;
            job->owed = among(classes, job->cls) ||
                        (job->team >= 0 && among(teams, &core->cfg->teams[job->team]));
        }
    }
    core->owing = any;
    g_array_free(classes, TRUE);
    g_array_free(teams, TRUE);
}

bool lmn_is_spot_only(const struct lmn_settings *cfg, const struct lmn_job_spec *spec,
                      const struct lmn_machine_type *type)
{
    return spec->urgency == LMN_PRIORITY_IDLE && spec->spot &&
           spec->kind == LMN_JOB_BATCH && spec->estimate_s > GAP_S &&
           type->rate > LEFT * type->spot_rate && !lmn_job_spec_has_objective(cfg, spec);
}

/* Where no cheap machine could hold it, any will do. */
static bool cheap_here(const struct lmn_partition *partition,
                       const struct lmn_job_spec *spec)
{
    for (guint k = 0; k < partition->list->len; k++) {
        const struct lmn_machine *machine = partition->list->pdata[k];
        if (machine->spot && machine->type && machine->accounted && !machine->is_gone &&
            !machine->lapsed &&
            lmn_job_spec_allows(spec, machine->type, machine->zone, true))
            return true;
    }
    return false;
}

void lmn_update_starvation(struct lmn_core *core, double wall)
{
    for (int i = 0; i < core->nparts; i++) {
        struct lmn_partition *partition = &core->parts[i];
        GHashTableIter it;
        gpointer v;
        if (!partition->mine)
            continue;
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *range = v;
            struct lmn_job *job = range->job;
            if (job->phase != LMN_JOB_ACTIVE || !range->st)
                continue;
            job->aged = wall - job->at > AGED_S && !range->nstarted &&
                        !range->nfinished && !lmn_job_is_faulty(&job->failures);
            job->cheap = job->spec.urgency == LMN_PRIORITY_IDLE &&
                         cheap_here(partition, &job->spec);
        }
    }
}
