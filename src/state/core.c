/** @file
 * Allocation, release and queries of the shared state: see state/core.h. */
#include "state/core.h"

#include "state/task_ledger.h"
#include "util/log.h"
#include "util/thread.h"

#include <string.h>

enum { MAX_MACHINE_TYPES = 256 };

/** Age in seconds that is returned until a complete listing has been applied. */
static const double AGE_UNKNOWN_S = 1e9;

static void free_machine(gpointer machine)
{
    lmn_machine_free(machine);
}

static void free_range(gpointer range)
{
    lmn_range_free(range);
}

static void init_partition_quota(struct lmn_partition_quota *quota, size_t team_count)
{
    quota->transfer.team = -1;
    quota->cpus = g_new0(double, team_count);
    quota->gpus = g_new0(double, team_count);
    quota->used_cpus = g_new0(double, team_count);
    quota->used_gpus = g_new0(double, team_count);
    quota->reservations = g_new0(struct lmn_quota_reservation, team_count);
}

static void clear_partition_quota(struct lmn_partition_quota *quota)
{
    g_free(quota->cpus);
    g_free(quota->gpus);
    g_free(quota->used_cpus);
    g_free(quota->used_gpus);
    g_free(quota->reservations);
}

static void init_partition(struct lmn_core *core, int id)
{
    struct lmn_partition *partition = &core->partitions[id];

    partition->id = id;
    partition->record.vacant_since = core->booted_at;
    partition->ranges = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_range);
    partition->machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_machine);
    partition->machine_list = g_ptr_array_new();
    init_partition_quota(&partition->quota, core->settings->team_count);
    partition->worker_hosts = &core->worker_hosts;
    partition->scheduling.woken_machines = g_ptr_array_new();
    partition->blocks = g_ptr_array_new();
    partition->zone_cuts = g_array_new(FALSE, TRUE, sizeof(struct lmn_zone_cut));
    partition->replication.pending_machines = g_ptr_array_new();
    partition->replication.pending_removals = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&partition->replication.stream.deferred_responses);
    lmn_cond_init(&partition->replication.due);
    lmn_queue_init(&partition->scheduling.unassigned);
    partition->scheduling.unschedulable =
        g_array_new(FALSE, FALSE, sizeof(struct lmn_unschedulable_tasks));
}

static void init_synchronisation(struct lmn_core *core)
{
    pthread_mutex_init(&core->lock, NULL);
    lmn_cond_init(&core->ownership_changed);
    lmn_cond_init(&core->machines_woken);
    lmn_cond_init(&core->probe_due);
    lmn_cond_init(&core->replication_acknowledged);
}

static void destroy_synchronisation(struct lmn_core *core)
{
    pthread_cond_destroy(&core->ownership_changed);
    pthread_cond_destroy(&core->probe_due);
    pthread_cond_destroy(&core->machines_woken);
    pthread_cond_destroy(&core->replication_acknowledged);
    pthread_mutex_destroy(&core->lock);
}

static void init_watch_cache(struct lmn_watch_cache *cache)
{
    cache->operator_settings = lmn_operator_settings_default;
    cache->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&cache->final_jobs);
    cache->max_retained_jobs = LMN_RETAINED_JOBS;
}

static void clear_watch_cache(struct lmn_watch_cache *cache)
{
    GHashTableIter it;
    gpointer job;

    g_hash_table_iter_init(&it, cache->jobs);
    while (g_hash_table_iter_next(&it, NULL, &job))
        lmn_job_free(job);
    g_hash_table_destroy(cache->jobs);
    g_queue_clear(&cache->final_jobs);
}

static void init_quota_ledger(struct lmn_quota_ledger *quota, size_t team_count)
{
    quota->revision = g_new0(uint64_t, team_count);
    quota->has_record = g_new0(bool, team_count);
    quota->demanded_cpus = g_new0(double, team_count);
    quota->demanded_gpus = g_new0(double, team_count);
}

static void clear_quota_ledger(struct lmn_quota_ledger *quota)
{
    g_free(quota->revision);
    g_free(quota->has_record);
    g_free(quota->demanded_cpus);
    g_free(quota->demanded_gpus);
}

struct lmn_core *lmn_core_alloc(const struct lmn_settings *settings,
                                struct lmn_kv_client *kv_client, uint32_t seed)
{
    struct lmn_core *core = g_new0(struct lmn_core, 1);

    init_synchronisation(core);
    core->settings = settings;
    core->kv_client = kv_client;
    lmn_connection_budget_init(settings, &core->connection_budget);
    lmn_worker_hosts_init(&core->worker_hosts, settings->client_listen);
    core->random = g_rand_new_with_seed(seed);
    init_watch_cache(&core->cache);
    core->cloud.returned_machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    init_quota_ledger(&core->quota, settings->team_count);
    core->partition_count = settings->partition_count;
    core->partitions = g_new0(struct lmn_partition, core->partition_count);
    core->booted_at = lmn_now();
    lmn_members_init(&core->members, settings, core->booted_at);
    lmn_latency_init(&core->latencies.submission);
    lmn_latency_init(&core->latencies.start);
    lmn_latency_init(&core->latencies.replication);
    for (int i = 0; i < core->partition_count; i++)
        init_partition(core, i);
    /* Never reallocated: machines hold pointers into this array. */
    core->cloud.machine_types.types = g_new0(struct lmn_machine_type, MAX_MACHINE_TYPES);
    return core;
}

static void free_blocks(GPtrArray *blocks)
{
    for (guint i = 0; i < blocks->len; i++) {
        struct lmn_machine_block *block = blocks->pdata[i];
        if (block)
            g_ptr_array_free(block->machines, TRUE);
        g_free(block);
    }
    g_ptr_array_free(blocks, TRUE);
}

static void clear_partition(const struct lmn_core *core, struct lmn_partition *partition)
{
    if (core->owner_ops)
        core->owner_ops->partition_freed(partition);
    lmn_queue_clear(&partition->scheduling.unassigned);
    g_ptr_array_free(partition->scheduling.unassigned.segments, TRUE);
    g_array_free(partition->scheduling.unschedulable, TRUE);
    g_hash_table_destroy(partition->ranges);
    g_hash_table_destroy(partition->machines);
    free_blocks(partition->blocks);
    g_ptr_array_free(partition->scheduling.woken_machines, TRUE);
    clear_partition_quota(&partition->quota);
    g_ptr_array_free(partition->machine_list, TRUE);
    g_array_free(partition->zone_cuts, TRUE);
    g_ptr_array_free(partition->replication.pending_machines, TRUE);
    g_ptr_array_free(partition->replication.pending_removals, TRUE);
    pthread_cond_destroy(&partition->replication.due);
}

void lmn_core_free(struct lmn_core *core)
{
    /* Partitions first: freeing a machine updates the task counts of jobs. */
    for (int i = 0; i < core->partition_count; i++)
        clear_partition(core, &core->partitions[i]);
    g_free(core->partitions);
    clear_watch_cache(&core->cache);
    g_hash_table_destroy(core->cloud.returned_machines);
    lmn_worker_hosts_clear(&core->worker_hosts);
    lmn_latency_clear(&core->latencies.submission);
    lmn_latency_clear(&core->latencies.start);
    lmn_latency_clear(&core->latencies.replication);
    g_rand_free(core->random);
    g_free(core->cloud.machine_types.types);
    clear_quota_ledger(&core->quota);
    destroy_synchronisation(core);
    g_free(core);
}

unsigned lmn_member_owned_partitions(const struct lmn_core *core, int member_index)
{
    unsigned owned = 0;

    for (int i = 0; i < core->partition_count; i++)
        owned += core->partitions[i].record.owner_revision &&
                 !strcmp(core->partitions[i].record.owner,
                         lmn_member_name(&core->members, member_index));
    return owned;
}

const struct lmn_machine_type *lmn_machine_type_by_name(const struct lmn_core *core,
                                                        const char *name)
{
    for (size_t i = 0; i < core->cloud.machine_types.count; i++)
        if (!strcmp(core->cloud.machine_types.types[i].name, name))
            return &core->cloud.machine_types.types[i];
    return NULL;
}

double lmn_watch_cache_age_s(const struct lmn_core *core, struct timespec now)
{
    return core->cache.is_synced ? lmn_time_diff_s(now, core->cache.fresh_at)
                                 : AGE_UNKNOWN_S;
}

bool lmn_watch_cache_is_too_stale(const struct lmn_core *core, struct timespec now)
{
    return lmn_watch_cache_age_s(core, now) >
           lmn_settings_max_cache_age_s(core->settings);
}

bool lmn_tombstone_receive(struct lmn_core *core, const char *job_id, struct timespec now)
{
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, job_id);

    /* A job that the watch cache does not show yet has no tasks started here. */
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return false;
    if (!job->tombstone_at.tv_sec)
        lmn_debug("job_tombstone_received job=%s", job_id);
    job->tombstone_at = now;
    return true;
}

bool lmn_job_may_run(const struct lmn_core *core, const struct lmn_job *job)
{
    return job && job->phase == LMN_JOB_ACTIVE &&
           !(job->tombstone_at.tv_sec &&
             lmn_time_before(core->cache.fresh_at, job->tombstone_at));
}
