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
    partition->quota.cpus = g_new0(double, nteams);
    partition->quota.gpus = g_new0(double, nteams);
    partition->quota.used_cpus = g_new0(double, nteams);
    partition->quota.used_gpus = g_new0(double, nteams);
    partition->quota.reservations = g_new0(struct lmn_quota_reservation, nteams);
}

static void free_teams(struct lmn_partition *partition)
{
    g_free(partition->quota.cpus);
    g_free(partition->quota.gpus);
    g_free(partition->quota.used_cpus);
    g_free(partition->quota.used_gpus);
    g_free(partition->quota.reservations);
}

struct lmn_core *lmn_core_alloc(const struct lmn_settings *settings,
                                struct lmn_kv_client *state, uint32_t seed)
{
    struct lmn_core *core = g_new0(struct lmn_core, 1);

    pthread_mutex_init(&core->lock, NULL);
    lmn_cond_init(&core->ownership_changed);
    lmn_cond_init(&core->machines_woken);
    lmn_cond_init(&core->probe_due);
    lmn_cond_init(&core->replication_acknowledged);
    core->settings = settings;
    core->kv_client = state;
    lmn_connection_budget_init(settings, &core->connection_budget);
    lmn_worker_hosts_init(&core->worker_hosts, settings->client_listen);
    core->cache.operator_settings = lmn_operator_settings_default;
    core->random = g_rand_new_with_seed(seed);
    core->cache.jobs = g_hash_table_new(g_str_hash, g_str_equal);
    core->cloud.returned_machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&core->cache.final_jobs);
    core->cache.max_retained_jobs = LMN_RETAINED_JOBS;
    core->quota.revision = g_new0(uint64_t, settings->team_count);
    core->quota.has_record = g_new0(bool, settings->team_count);
    core->quota.demanded_cpus = g_new0(double, settings->team_count);
    core->quota.demanded_gpus = g_new0(double, settings->team_count);
    core->partition_count = settings->partition_count;
    core->partitions = g_new0(struct lmn_partition, core->partition_count);
    core->booted_at = lmn_now();
    lmn_members_init(&core->members, settings, core->booted_at);
    lmn_latency_init(&core->latencies.submission);
    lmn_latency_init(&core->latencies.start);
    lmn_latency_init(&core->latencies.replication);
    for (int i = 0; i < core->partition_count; i++) {
        struct lmn_partition *partition = &core->partitions[i];
        partition->id = i;
        partition->record.vacant_since = core->booted_at;
        partition->quota.transfer.team = -1;
        partition->ranges =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_range);
        partition->machines =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_machine);
        partition->machine_list = g_ptr_array_new();
        make_teams(partition, settings->team_count);
        partition->worker_hosts = &core->worker_hosts;
        partition->scheduling.woken_machines = g_ptr_array_new();
        partition->blocks = g_ptr_array_new();
        partition->zone_cuts = g_array_new(FALSE, TRUE, sizeof(struct lmn_zone_cut));
        partition->replication.pending_machines = g_ptr_array_new();
        partition->replication.pending_removals = g_ptr_array_new_with_free_func(g_free);
        g_queue_init(&partition->replication.stream.deferred_responses);
        lmn_cond_init(&partition->replication.due);
        lmn_queue_init(&partition->scheduling.unassigned);
    }
    /* Fixed room: machines point at their types. */
    core->cloud.machine_types.v = g_new0(struct lmn_machine_type, 256);
    return core;
}

static void free_partition(const struct lmn_core *core, struct lmn_partition *partition)
{
    if (core->owner_ops)
        core->owner_ops->partition_freed(partition);
    lmn_queue_clear(&partition->scheduling.unassigned);
    g_ptr_array_free(partition->scheduling.unassigned.segments, TRUE);
    g_hash_table_destroy(partition->ranges);
    g_hash_table_destroy(partition->machines);
    for (guint i = 0; i < partition->blocks->len; i++) {
        struct lmn_machine_block *block = partition->blocks->pdata[i];
        if (block)
            g_ptr_array_free(block->machines, TRUE);
        g_free(block);
    }
    g_ptr_array_free(partition->blocks, TRUE);
    g_ptr_array_free(partition->scheduling.woken_machines, TRUE);
    free_teams(partition);
    g_ptr_array_free(partition->machine_list, TRUE);
    g_array_free(partition->zone_cuts, TRUE);
    g_ptr_array_free(partition->replication.pending_machines, TRUE);
    g_ptr_array_free(partition->replication.pending_removals, TRUE);
    pthread_cond_destroy(&partition->replication.due);
}

void lmn_core_free(struct lmn_core *core)
{
    GHashTableIter it;
    gpointer v;

    /* Machines uncount their tasks of jobs, so those go last. */
    for (int i = 0; i < core->partition_count; i++)
        free_partition(core, &core->partitions[i]);
    g_free(core->partitions);
    g_hash_table_iter_init(&it, core->cache.jobs);
    while (g_hash_table_iter_next(&it, NULL, &v))
        lmn_job_free(v);
    g_hash_table_destroy(core->cache.jobs);
    g_hash_table_destroy(core->cloud.returned_machines);
    g_queue_clear(&core->cache.final_jobs);
    lmn_worker_hosts_clear(&core->worker_hosts);
    lmn_latency_clear(&core->latencies.submission);
    lmn_latency_clear(&core->latencies.start);
    lmn_latency_clear(&core->latencies.replication);
    g_rand_free(core->random);
    g_free(core->cloud.machine_types.v);
    g_free(core->quota.revision);
    g_free(core->quota.has_record);
    g_free(core->quota.demanded_cpus);
    g_free(core->quota.demanded_gpus);
    pthread_cond_destroy(&core->ownership_changed);
    pthread_cond_destroy(&core->probe_due);
    pthread_cond_destroy(&core->machines_woken);
    pthread_cond_destroy(&core->replication_acknowledged);
    pthread_mutex_destroy(&core->lock);
    g_free(core);
}

unsigned lmn_member_owned_partitions(const struct lmn_core *core, int member_index)
{
    unsigned n = 0;

    for (int i = 0; i < core->partition_count; i++)
        n += core->partitions[i].record.owner_revision &&
             !strcmp(core->partitions[i].record.owner,
                     lmn_member_name(&core->members, member_index));
    return n;
}

const struct lmn_machine_type *lmn_machine_type_by_name(const struct lmn_core *core,
                                                        const char *name)
{
    for (size_t i = 0; i < core->cloud.machine_types.n; i++)
        if (!strcmp(core->cloud.machine_types.v[i].name, name))
            return &core->cloud.machine_types.v[i];
    return NULL;
}

double lmn_watch_cache_age_s(const struct lmn_core *core, struct timespec now)
{
    return core->cache.is_synced ? lmn_time_diff_s(now, core->cache.fresh_at) : 1e9;
}

bool lmn_watch_cache_is_too_stale(const struct lmn_core *core, struct timespec now)
{
    return lmn_watch_cache_age_s(core, now) >
           lmn_settings_max_cache_age_s(core->settings);
}

bool lmn_tombstone_receive(struct lmn_core *core, const char *ref, struct timespec now)
{
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, ref);

    /* Of a job that the mirror does not show yet, nothing was started here. */
    if (!job || job->phase != LMN_JOB_ACTIVE)
        return false;
    if (!job->tombstone_at.tv_sec)
        lmn_debug("job_tombstone_received job=%s", ref);
    job->tombstone_at = now;
    return true;
}

bool lmn_job_may_run(const struct lmn_core *core, const struct lmn_job *job)
{
    return job && job->phase == LMN_JOB_ACTIVE &&
           !(job->tombstone_at.tv_sec &&
             lmn_time_before(core->cache.fresh_at, job->tombstone_at));
}
