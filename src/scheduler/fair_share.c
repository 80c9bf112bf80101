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
    return kinds > 1 && share->waiting_cpus > 0 &&
           share->used_cpus < PART * all_used / kinds;
}

static struct lmn_fair_share *find(GArray *v, const void *of)
{
    struct lmn_fair_share new = {.subject = of};

    for (guint i = 0; i < v->len; i++) {
        struct lmn_fair_share *share = &g_array_index(v, struct lmn_fair_share, i);
        if (share->subject == of)
            return share;
    }
    g_array_append_val(v, new);
    return &g_array_index(v, struct lmn_fair_share, v->len - 1);
}

static void count(struct lmn_fair_share *share, const struct lmn_range *range)
{
    uint32_t waiting =
        range->end - range->first -
        MIN(range->finished_count + range->started_count, range->end - range->first);

    /* Of one that fails wherever it starts, nothing can. */
    if (lmn_job_is_faulty(&range->job->failures))
        waiting = 0;
    share->used_cpus += range->started_count * range->job->spec.cpus;
    share->waiting_cpus += waiting * range->job->spec.cpus;
}

static void add_up(const struct lmn_core *core, GArray *classes, GArray *teams)
{
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        GHashTableIter it;
        gpointer v;
        if (!partition->ownership.is_owned)
            continue;
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *range = v;
            if (range->job->phase != LMN_JOB_ACTIVE || !range->task_states)
                continue;
            if (classes)
                count(find(classes, range->job->class_name), range);
            if (teams && range->job->team >= 0)
                count(find(teams, &core->settings->teams[range->job->team]), range);
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
        *used += share->used_cpus;
        kinds += share->waiting_cpus > 0;
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
        if (g_array_index(v, struct lmn_fair_share, i).subject == of)
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
    for (int i = 0;
         i < core->partition_count && (any || core->scheduling.has_underserved_share);
         i++) {
        GHashTableIter it;
        gpointer v;
        if (!core->partitions[i].ownership.is_owned)
            continue;
        g_hash_table_iter_init(&it, core->partitions[i].ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_job *job = ((struct lmn_range *)v)->job;
            job->is_under_fair_share =
                among(classes, job->class_name) ||
                (job->team >= 0 && among(teams, &core->settings->teams[job->team]));
        }
    }
    core->scheduling.has_underserved_share = any;
    g_array_free(classes, TRUE);
    g_array_free(teams, TRUE);
}

bool lmn_is_spot_only(const struct lmn_settings *settings,
                      const struct lmn_job_spec *spec,
                      const struct lmn_machine_type *type)
{
    return spec->priority == LMN_PRIORITY_IDLE && spec->may_use_spot &&
           spec->kind == LMN_JOB_BATCH && spec->estimate_s > GAP_S &&
           type->rate > LEFT * type->spot_rate &&
           !lmn_job_spec_has_objective(settings, spec);
}

/* Where no cheap machine could hold it, any will do. */
static bool cheap_here(const struct lmn_partition *partition,
                       const struct lmn_job_spec *spec)
{
    for (guint k = 0; k < partition->machine_list->len; k++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[k];
        if (machine->is_spot && machine->type && machine->lifecycle.is_accounted &&
            !machine->lifecycle.is_terminated && !machine->agent.lease_expired &&
            lmn_job_spec_allows(spec, machine->type, machine->zone, true))
            return true;
    }
    return false;
}

void lmn_update_starvation(struct lmn_core *core, double wall)
{
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        GHashTableIter it;
        gpointer v;
        if (!partition->ownership.is_owned)
            continue;
        g_hash_table_iter_init(&it, partition->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *range = v;
            struct lmn_job *job = range->job;
            if (job->phase != LMN_JOB_ACTIVE || !range->task_states)
                continue;
            job->is_starving = wall - job->accepted_at_s > AGED_S &&
                               !range->started_count && !range->finished_count &&
                               !lmn_job_is_faulty(&job->failures);
            job->is_spot_only = job->spec.priority == LMN_PRIORITY_IDLE &&
                                cheap_here(partition, &job->spec);
        }
    }
}
