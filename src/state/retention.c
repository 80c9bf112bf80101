/** @file
 * Retention of final jobs: see state/retention.h. Owns final_jobs of struct
 * lmn_watch_cache.
 */
#include "state/retention.h"

#include "state/task_ledger.h"
#include "util/log.h"

/** Minimum time in seconds for which a final job stays in memory, however many there are.
 * A cancelled job's tasks may still run on unreachable machines for this long; they have
 * to count against the team's quota limit, which needs the job. */
static const double MIN_RETENTION_S = 600;
/** Minimum number of excess jobs before any are evicted: each eviction scans all machines
 * for the jobs that they refer to. */
enum { EVICTION_BATCH = 1000 };

void lmn_retention_add(struct lmn_core *core, struct lmn_job *job, struct timespec now)
{
    job->final_at = now;
    g_queue_push_tail(&core->cache.final_jobs, job);
}

static void add_jobs_of_machine(GHashTable *jobs, const struct lmn_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        g_hash_table_add(jobs,
                         g_array_index(machine->attempts, struct lmn_attempt, i).job);
    for (guint i = 0; i < machine->failures.jobs->len; i++)
        g_hash_table_add(
            jobs, g_array_index(machine->failures.jobs, struct lmn_failing_job, i).job);
}

/** Set of the jobs that machines' attempts and failures refer to; the caller frees it. */
static GHashTable *jobs_of_machines(const struct lmn_core *core)
{
    GHashTable *jobs = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (int i = 0; i < core->partition_count; i++) {
        GHashTableIter it;
        gpointer machine;
        g_hash_table_iter_init(&it, core->partitions[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &machine))
            add_jobs_of_machine(jobs, machine);
    }
    return jobs;
}

static void evict_job(struct lmn_core *core, struct lmn_job *job)
{
    g_hash_table_remove(core->cache.jobs, job->spec.id);
    lmn_job_free(job);
}

/** Whether the job became final too recently to be evicted. */
static bool is_recent(const struct lmn_job *job, struct timespec now)
{
    return lmn_time_diff_s(now, job->final_at) < MIN_RETENTION_S;
}

guint lmn_retention_evict(struct lmn_core *core, struct timespec now)
{
    GQueue *final_jobs = &core->cache.final_jobs;
    const struct lmn_job *oldest = g_queue_peek_head(final_jobs);
    guint evicted = 0;

    if (final_jobs->length < core->cache.max_retained_jobs + EVICTION_BATCH || !oldest ||
        is_recent(oldest, now))
        return 0;
    GHashTable *referenced = jobs_of_machines(core);
    guint excess = final_jobs->length - core->cache.max_retained_jobs;
    for (guint i = 0; i < excess; i++) {
        struct lmn_job *job = g_queue_peek_head(final_jobs);
        if (is_recent(job, now))
            break;
        g_queue_pop_head(final_jobs);
        if (job->ranges->len || g_hash_table_contains(referenced, job)) {
            /* Reconsidered together with the jobs that become final now. */
            lmn_retention_add(core, job, now);
            continue;
        }
        evict_job(core, job);
        evicted++;
    }
    g_hash_table_destroy(referenced);
    if (evicted)
        lmn_info("final_jobs_evicted jobs=%u kept=%u", evicted, final_jobs->length);
    return evicted;
}
