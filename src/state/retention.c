#include "state/retention.h"
#include "util/log.h"
#include "state/task_ledger.h"

/* Whatever a withdrawn job's tasks do on machines that were not heard for so long, its
 * team's limit has to count them: a job that was final only just now stays, however many
 * there are. */
static const double OLD_S = 600;
/* So many go together: to see what machines refer to takes a look at all of them. */
enum { TOGETHER = 1000 };

void lmn_retention_add(struct lmn_core *c, struct lmn_job *j, struct timespec now)
{
    j->final_at = now;
    g_queue_push_tail(&c->final_jobs, j);
}

/* The jobs that attempts and blamed machines point at. */
static GHashTable *referred(const struct lmn_core *c)
{
    GHashTable *set = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (int i = 0; i < c->nparts; i++) {
        GHashTableIter it;
        gpointer v;
        g_hash_table_iter_init(&it, c->parts[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_machine *m = v;
            for (guint k = 0; k < m->attempts->len; k++)
                g_hash_table_add(set,
                                 g_array_index(m->attempts, struct lmn_attempt, k).job);
            for (guint k = 0; k < m->accusers->len; k++)
                g_hash_table_add(
                    set, g_array_index(m->accusers, struct lmn_failing_job, k).job);
        }
    }
    return set;
}

static void free_job(struct lmn_core *c, struct lmn_job *j)
{
    g_hash_table_remove(c->jobs, j->spec.ref);
    lmn_job_free(j);
}

guint lmn_retention_evict(struct lmn_core *c, struct timespec now)
{
    const struct lmn_job *oldest = g_queue_peek_head(&c->final_jobs);
    guint gone = 0;

    if (c->final_jobs.length < c->retained_most + TOGETHER || !oldest ||
        lmn_time_diff_s(now, oldest->final_at) < OLD_S)
        return 0;
    GHashTable *set = referred(c);
    guint most = c->final_jobs.length - c->retained_most;
    for (guint i = 0; i < most; i++) {
        struct lmn_job *j = g_queue_peek_head(&c->final_jobs);
        if (lmn_time_diff_s(now, j->final_at) < OLD_S)
            break;
        g_queue_pop_head(&c->final_jobs);
        if (j->ranges->len || g_hash_table_contains(set, j)) {
            j->final_at = now; /* looked at again, with those that come now */
            g_queue_push_tail(&c->final_jobs, j);
            continue;
        }
        free_job(c, j);
        gone++;
    }
    g_hash_table_destroy(set);
    if (gone)
        lmn_info("final-jobs-evicted jobs=%u kept=%u", gone, c->final_jobs.length);
    return gone;
}
