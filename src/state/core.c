#include "state/core.h"
#include "util/log.h"
#include "util/thread.h"
#include "state/task_ledger.h"

#include <string.h>

static void free_machine(gpointer m)
{
    lmn_machine_free(m);
}

static void free_range(gpointer r)
{
    lmn_range_free(r);
}

static void make_teams(struct lmn_partition *p, size_t nteams)
{
    p->quota_cpus = g_new0(double, nteams);
    p->quota_gpus = g_new0(double, nteams);
    p->used_cpus = g_new0(double, nteams);
    p->used_gpus = g_new0(double, nteams);
    p->keep = g_new0(struct lmn_quota_reservation, nteams);
}

static void free_teams(struct lmn_partition *p)
{
    g_free(p->quota_cpus);
    g_free(p->quota_gpus);
    g_free(p->used_cpus);
    g_free(p->used_gpus);
    g_free(p->keep);
}

struct lmn_core *lmn_core_alloc(const struct lmn_settings *cfg,
                                struct lmn_kv_client *state, uint32_t seed)
{
    struct lmn_core *c = g_new0(struct lmn_core, 1);

    pthread_mutex_init(&c->lock, NULL);
    lmn_cond_init(&c->changed);
    lmn_cond_init(&c->poked);
    lmn_cond_init(&c->asking);
    lmn_cond_init(&c->told);
    c->cfg = cfg;
    c->state = state;
    lmn_connection_budget_init(cfg, &c->sockets);
    lmn_worker_hosts_init(&c->hosts, cfg->listen);
    c->tuning = lmn_operator_settings_default;
    c->rng = g_rand_new_with_seed(seed);
    c->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    c->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&c->final_jobs);
    c->retained_most = LMN_RETAINED_JOBS;
    c->quota_rev = g_new0(uint64_t, cfg->nteams);
    c->quota_known = g_new0(bool, cfg->nteams);
    c->asked_cpus = g_new0(double, cfg->nteams);
    c->asked_gpus = g_new0(double, cfg->nteams);
    c->nparts = cfg->partitions;
    c->parts = g_new0(struct lmn_partition, c->nparts);
    c->booted = lmn_now();
    lmn_members_init(&c->members, cfg, c->booted);
    lmn_latency_init(&c->accepting);
    lmn_latency_init(&c->starting);
    lmn_latency_init(&c->telling);
    for (int i = 0; i < c->nparts; i++) {
        struct lmn_partition *p = &c->parts[i];
        p->id = i;
        p->vacant = c->booted;
        p->transfer.team = -1;
        p->ranges = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_range);
        p->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_machine);
        p->list = g_ptr_array_new();
        make_teams(p, cfg->nteams);
        p->hosts = &c->hosts;
        p->poked = g_ptr_array_new();
        p->blocks = g_ptr_array_new();
        p->cuts = g_array_new(FALSE, TRUE, sizeof(struct lmn_zone_cut));
        p->untold = g_ptr_array_new();
        p->forgotten = g_ptr_array_new_with_free_func(g_free);
        g_queue_init(&p->stream.waiting);
        lmn_cond_init(&p->following);
        lmn_queue_init(&p->unplaced);
    }
    /* Fixed room: machines point at their types. */
    c->types.v = g_new0(struct lmn_machine_type, 256);
    return c;
}

static void free_partition(const struct lmn_core *c, struct lmn_partition *p)
{
    if (c->owner)
        c->owner->partition_free(p);
    lmn_queue_clear(&p->unplaced);
    g_ptr_array_free(p->unplaced.segs, TRUE);
    g_hash_table_destroy(p->ranges);
    g_hash_table_destroy(p->machines);
    for (guint i = 0; i < p->blocks->len; i++) {
        struct lmn_machine_block *b = p->blocks->pdata[i];
        if (b)
            g_ptr_array_free(b->machines, TRUE);
        g_free(b);
    }
    g_ptr_array_free(p->blocks, TRUE);
    g_ptr_array_free(p->poked, TRUE);
    free_teams(p);
    g_ptr_array_free(p->list, TRUE);
    g_array_free(p->cuts, TRUE);
    g_ptr_array_free(p->untold, TRUE);
    g_ptr_array_free(p->forgotten, TRUE);
    pthread_cond_destroy(&p->following);
}

void lmn_core_free(struct lmn_core *c)
{
    GHashTableIter it;
    gpointer v;

    /* Machines uncount their tasks of jobs, so those go last. */
    for (int i = 0; i < c->nparts; i++)
        free_partition(c, &c->parts[i]);
    g_free(c->parts);
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_job_free(v);
    g_hash_table_destroy(c->jobs);
    g_hash_table_destroy(c->gone);
    g_queue_clear(&c->final_jobs);
    lmn_worker_hosts_clear(&c->hosts);
    lmn_latency_clear(&c->accepting);
    lmn_latency_clear(&c->starting);
    lmn_latency_clear(&c->telling);
    g_rand_free(c->rng);
    g_free(c->types.v);
    g_free(c->quota_rev);
    g_free(c->quota_known);
    g_free(c->asked_cpus);
    g_free(c->asked_gpus);
    pthread_cond_destroy(&c->changed);
    pthread_cond_destroy(&c->asking);
    pthread_cond_destroy(&c->poked);
    pthread_cond_destroy(&c->told);
    pthread_mutex_destroy(&c->lock);
    g_free(c);
}

unsigned lmn_member_owned_partitions(const struct lmn_core *c, int rank)
{
    unsigned n = 0;

    for (int i = 0; i < c->nparts; i++)
        n += c->parts[i].owner_rev &&
             !strcmp(c->parts[i].owner, lmn_member_name(&c->members, rank));
    return n;
}

const struct lmn_machine_type *lmn_machine_type_by_name(const struct lmn_core *c,
                                                        const char *name)
{
    for (size_t i = 0; i < c->types.n; i++)
        if (!strcmp(c->types.v[i].name, name))
            return &c->types.v[i];
    return NULL;
}

double lmn_watch_cache_age_s(const struct lmn_core *c, struct timespec now)
{
    return c->synced ? lmn_time_diff_s(now, c->fresh) : 1e9;
}

bool lmn_watch_cache_is_too_stale(const struct lmn_core *c, struct timespec now)
{
    return lmn_watch_cache_age_s(c, now) > lmn_settings_max_cache_age_s(c->cfg);
}

bool lmn_tombstone_receive(struct lmn_core *c, const char *ref, struct timespec now)
{
    struct lmn_job *j = g_hash_table_lookup(c->jobs, ref);

    /* Of a job that the mirror does not show yet, nothing was started here. */
    if (!j || j->phase != LMN_JOB_ACTIVE)
        return false;
    if (!j->tombstone.tv_sec)
        lmn_debug("job-tombstone job=%s", ref);
    j->tombstone = now;
    return true;
}

bool lmn_job_may_run(const struct lmn_core *c, const struct lmn_job *j)
{
    return j && j->phase == LMN_JOB_ACTIVE &&
           !(j->tombstone.tv_sec && lmn_time_before(c->fresh, j->tombstone));
}
