#include "state/retention.h"
#include "util/log.h"
#include "state/task_ledger.h"

/* Whatever a withdrawn job's tasks do on machines that were not heard for so long, its
 * team's limit has to count them: a job that was final only just now stays, however many
 * there are. */
static const double OLD_S = 600;
/* So many go together: to see what machines refer to takes a look at all of them. */
enum { TOGETHER = 1000 };

void lmn_retention_add(struct lmn_core *core, struct lmn_job *job, struct timespec now)
{
    job->final_at = now;
    g_queue_push_tail(&core->cache.final_jobs, job);
}

/* The jobs that attempts and blamed machines point at. */
static GHashTable *referred(const struct lmn_core *core)
{
    GHashTable *set = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (int i = 0; i < core->partition_count; i++) {
        GHashTableIter it;
        gpointer v;
        g_hash_table_iter_init(&it, core->partitions[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_machine *machine = v;
            for (guint k = 0; k < machine->attempts->len; k++)
                g_hash_table_add(
                    set, g_array_index(machine->attempts, struct lmn_attempt, k).job);
            for (guint k = 0; k < machine->failures.jobs->len; k++)
                g_hash_table_add(
                    set,
                    g_array_index(machine->failures.jobs, struct lmn_failing_job, k).job);
        }
    }
    return set;
}

static void free_job(struct lmn_core *core, struct lmn_job *job)
{
    g_hash_table_remove(core->cache.jobs, job->spec.id);
    lmn_job_free(job);
}

guint lmn_retention_evict(struct lmn_core *core, struct timespec now)
{
    const struct lmn_job *oldest = g_queue_peek_head(&core->cache.final_jobs);
    guint gone = 0;

    if (core->cache.final_jobs.length < core->cache.max_retained_jobs + TOGETHER ||
        !oldest || lmn_time_diff_s(now, oldest->final_at) < OLD_S)
        return 0;
    GHashTable *set = referred(core);
    guint most = core->cache.final_jobs.length - core->cache.max_retained_jobs;
    for (guint i = 0; i < most; i++) {
        struct lmn_job *job = g_queue_peek_head(&core->cache.final_jobs);
        if (lmn_time_diff_s(now, job->final_at) < OLD_S)
            break;
        g_queue_pop_head(&core->cache.final_jobs);
        if (job->ranges->len || g_hash_table_contains(set, job)) {
            job->final_at = now; /* looked at again, with those that come now */
            g_queue_push_tail(&core->cache.final_jobs, job);
            continue;
        }
        free_job(core, job);
        gone++;
    }
    g_hash_table_destroy(set);
    if (gone)
        lmn_info("final_jobs_evicted jobs=%u kept=%u", gone,
                 core->cache.final_jobs.length);
    return gone;
}
