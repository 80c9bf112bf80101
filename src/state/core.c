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

static void make_teams(struct lmn_partition *partition, size_t nteams)
{
    partition->quota_cpus = g_new0(double, nteams);
    partition->quota_gpus = g_new0(double, nteams);
    partition->used_cpus = g_new0(double, nteams);
    partition->used_gpus = g_new0(double, nteams);
    partition->keep = g_new0(struct lmn_quota_reservation, nteams);
}

static void free_teams(struct lmn_partition *partition)
{
    g_free(partition->quota_cpus);
    g_free(partition->quota_gpus);
    g_free(partition->used_cpus);
    g_free(partition->used_gpus);
    g_free(partition->keep);
}

struct lmn_core *lmn_core_alloc(const struct lmn_settings *cfg,
                                struct lmn_kv_client *state, uint32_t seed)
{
    struct lmn_core *core = g_new0(struct lmn_core, 1);

    pthread_mutex_init(&core->lock, NULL);
    lmn_cond_init(&core->changed);
    lmn_cond_init(&core->poked);
    lmn_cond_init(&core->asking);
    lmn_cond_init(&core->told);
    core->cfg = cfg;
    core->state = state;
    lmn_connection_budget_init(cfg, &core->sockets);
    lmn_worker_hosts_init(&core->hosts, cfg->listen);
    core->tuning = lmn_operator_settings_default;
    core->rng = g_rand_new_with_seed(seed);
    core->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    core->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&core->final_jobs);
    core->retained_most = LMN_RETAINED_JOBS;
    core->quota_rev = g_new0(uint64_t, cfg->nteams);
    core->quota_known = g_new0(bool, cfg->nteams);
    core->asked_cpus = g_new0(double, cfg->nteams);
    core->asked_gpus = g_new0(double, cfg->nteams);
    core->nparts = cfg->partitions;
    core->parts = g_new0(struct lmn_partition, core->nparts);
    core->booted = lmn_now();
    lmn_members_init(&core->members, cfg, core->booted);
    lmn_latency_init(&core->accepting);
    lmn_latency_init(&core->starting);
    lmn_latency_init(&core->telling);
    for (int i = 0; i < core->nparts; i++) {
        struct lmn_partition *partition = &core->parts[i];
        partition->id = i;
        partition->vacant = core->booted;
        partition->transfer.team = -1;
        partition->ranges =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_range);
        partition->machines =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_machine);
        partition->list = g_ptr_array_new();
        make_teams(partition, cfg->nteams);
        partition->hosts = &core->hosts;
        partition->poked = g_ptr_array_new();
        partition->blocks = g_ptr_array_new();
        partition->cuts = g_array_new(FALSE, TRUE, sizeof(struct lmn_zone_cut));
        partition->untold = g_ptr_array_new();
        partition->forgotten = g_ptr_array_new_with_free_func(g_free);
        g_queue_init(&partition->stream.waiting);
        lmn_cond_init(&partition->following);
        lmn_queue_init(&partition->unplaced);
    }
    /* Fixed room: machines point at their types. */
    core->types.v = g_new0(struct lmn_machine_type, 256);
    return core;
}

static void free_partition(const struct lmn_core *core, struct lmn_partition *partition)
{
    if (core->owner)
        core->owner->partition_free(partition);
    lmn_queue_clear(&partition->unplaced);
    g_ptr_array_free(partition->unplaced.segs, TRUE);
    g_hash_table_destroy(partition->ranges);
    g_hash_table_destroy(partition->machines);
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        if (block)
            g_ptr_array_free(block->machines, TRUE);
        g_free(block);
    }
    g_ptr_array_free(partition->blocks, TRUE);
    g_ptr_array_free(partition->poked, TRUE);
    free_teams(partition);
    g_ptr_array_free(partition->list, TRUE);
    g_array_free(partition->cuts, TRUE);
    g_ptr_array_free(partition->untold, TRUE);
    g_ptr_array_free(partition->forgotten, TRUE);
    pthread_cond_destroy(&partition->following);
}

void lmn_core_free(struct lmn_core *core)
{
    GHashTableIter it;
    gpointer v;

    /* Machines uncount their tasks of jobs, so those go last. */
    for (int i = 0; i < core->nparts; i++)
        free_partition(core, &core->parts[i]);
    g_free(core->parts);
    g_hash_table_iter_init(&it, core->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_job_free(v);
    g_hash_table_destroy(core->jobs);
    g_hash_table_destroy(core->gone);
    g_queue_clear(&core->final_jobs);
    lmn_worker_hosts_clear(&core->hosts);
    lmn_latency_clear(&core->accepting);
    lmn_latency_clear(&core->starting);
    lmn_latency_clear(&core->telling);
    g_rand_free(core->rng);
    g_free(core->types.v);
    g_free(core->quota_rev);
    g_free(core->quota_known);
    g_free(core->asked_cpus);
    g_free(core->asked_gpus);
    pthread_cond_destroy(&core->changed);
    pthread_cond_destroy(&core->asking);
    pthread_cond_destroy(&core->poked);
    pthread_cond_destroy(&core->told);
    pthread_mutex_destroy(&core->lock);
    g_free(core);
}

unsigned lmn_member_owned_partitions(const struct lmn_core *core, int member_index)
{
    unsigned n = 0;

    for (int i = 0; i < core->nparts; i++)
        n += core->parts[i].owner_rev &&
             !strcmp(core->parts[i].owner, lmn_member_name(&core->members, member_index));
    return n;
}

const struct lmn_machine_type *lmn_machine_type_by_name(const struct lmn_core *core,
                                                        const char *name)
{
    for (size_t i = 0; i < core->types.n; i++)
        if (!strcmp(core->types.v[i].name, name))
            return &core->types.v[i];
    return NULL;
}

double lmn_watch_cache_age_s(const struct lmn_core *core, struct timespec now)
{
    return core->synced ? lmn_time_diff_s(now, core->fresh) : 1e9;
}

bool lmn_watch_cache_is_too_stale(const struct lmn_core *core, struct timespec now)
{
    return lmn_watch_cache_age_s(core, now) > lmn_settings_max_cache_age_s(core->cfg);
}

bool lmn_tombstone_receive(struct lmn_core *core, const char *ref, struct timespec now)
{
    struct lmn_job *job = g_hash_table_lookup(core->jobs, ref);

    /* Of a job that the mirror does not show yet, nothing was started here. */
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return false;
    if (!job->tombstone.tv_sec)
        lmn_debug("job-tombstone job=%s", ref);
    job->tombstone = now;
    return true;
}

bool lmn_job_may_run(const struct lmn_core *core, const struct lmn_job *job)
{
    return job && job->phase == LMN_JOB_ACTIVE &&
           !(job->tombstone.tv_sec && lmn_time_before(core->fresh, job->tombstone));
}
