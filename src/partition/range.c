/* An owner's books: which task of a range is queued, started or done, and what its
 * machines hold. */
#include "partition/range.h"
#include "util/log.h"
#include "scheduler/queue.h"
#include "state/task_ledger.h"

#include <math.h>
#include <string.h>

void lmn_range_open(struct lmn_core *c, struct lmn_range *r)
{
    uint32_t n = r->hi - r->lo;
    (void)c;

    g_free(r->st);
    r->st = g_malloc0(n);
    r->nstarted = 0;
    r->nfinished = r->ndone;
    r->writing = false;
    r->written = 0;
    r->move_to = -1;
    r->move_unsure = false;
    r->dealt = false;
    for (uint32_t i = 0; i < n; i++)
        if (lmn_bitset_get(r->done, i))
            r->st[i] = LMN_TASK_DONE;
}

void lmn_range_forget(struct lmn_core *c, struct lmn_range *r)
{
    struct lmn_partition *p = r->part;
    GHashTableIter it;
    gpointer v;
    (void)c;

    lmn_queue_remove_range(&p->unplaced, r);
    g_hash_table_iter_init(&it, p->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *m = v;
        lmn_queue_remove_range(&m->queue, r);
        for (guint i = 0; i < m->attempts->len; i++) {
            struct lmn_attempt *a = &g_array_index(m->attempts, struct lmn_attempt, i);
            if (a->range == r)
                a->range = NULL;
        }
    }
    g_ptr_array_remove_fast(r->job->ranges, r);
}

void lmn_task_requeue(struct lmn_core *c, struct lmn_range *r, uint32_t index,
                      struct timespec now)
{
    if (!r || !r->st || r->st[index - r->lo] != LMN_TASK_STARTED)
        return;
    r->st[index - r->lo] = LMN_TASK_QUEUED;
    r->nstarted--;
    if (r->dealt && r->job->phase == LMN_JOB_ACTIVE)
        lmn_assign_tasks(c, r, index, index + 1, now);
}

void lmn_task_finished(struct lmn_range *r, uint32_t index, struct timespec now)
{
    uint8_t *st = &r->st[index - r->lo];

    if (*st == LMN_TASK_DONE)
        return;
    if (*st == LMN_TASK_STARTED)
        r->nstarted--;
    *st = LMN_TASK_DONE;
    if (r->nfinished++ == r->ndone)
        r->dirty = now;
}

void lmn_machine_requeue_tasks(struct lmn_core *c, struct lmn_machine *m, const char *why,
                               struct timespec now)
{
    GArray *old = m->attempts;

    lmn_reassign_machine_queue(c, m, now);
    m->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt));
    for (guint i = 0; i < old->len; i++) {
        struct lmn_attempt *a = &g_array_index(old, struct lmn_attempt, i);
        lmn_attempt_uncount(m, a);
        if (a->state != LMN_ATTEMPT_ENDED) {
            lmn_debug("task-lost task=%s/%u attempt=%" G_GUINT64_FORMAT
                      " machine=%s why=\"%s\"",
                      a->ref, a->index, a->number, m->name, why);
            lmn_task_requeue(c, a->range, a->index, now);
        }
    }
    g_array_free(old, TRUE);
    lmn_machine_mark_unreplicated(m);
}
