/* An owner's books: which task of a range is queued, started or done, and what its
 * machines hold. */
#include "partition/range.h"
#include "util/log.h"
#include "scheduler/queue.h"
#include "state/task_ledger.h"

#include <math.h>
#include <string.h>

void lmn_range_open(struct lmn_core *core, struct lmn_range *range)
{
    uint32_t n = range->hi - range->lo;
    (void)core;

    g_free(range->st);
    range->st = g_malloc0(n);
    range->nstarted = 0;
    range->nfinished = range->ndone;
    range->writing = false;
    range->written = 0;
    range->move_to = -1;
    range->move_unsure = false;
    range->dealt = false;
    for (uint32_t i = 0; i < n; i++)
        if (lmn_bitset_get(range->done, i))
            range->st[i] = LMN_TASK_DONE;
}

void lmn_range_forget(struct lmn_core *core, struct lmn_range *range)
{
    struct lmn_partition *partition = range->part;
    GHashTableIter it;
    gpointer v;
    (void)core;

    lmn_queue_remove_range(&partition->unplaced, range);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_machine *machine = v;
        lmn_queue_remove_range(&machine->queue, range);
        for (guint i = 0; i < machine->attempts->len; i++) {
            struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            if (attempt->range == range)
                attempt->range = NULL;
        }
    }
    g_ptr_array_remove_fast(range->job->ranges, range);
}

void lmn_task_requeue(struct lmn_core *core, struct lmn_range *range, uint32_t index,
                      struct timespec now)
{
    if (!range || !range->st || range->st[index - range->lo] != LMN_TASK_STARTED)
        return;
    range->st[index - range->lo] = LMN_TASK_QUEUED;
    range->nstarted--;
    if (range->dealt && range->job->phase == LMN_JOB_ACTIVE)
        lmn_assign_tasks(core, range, index, index + 1, now);
}

void lmn_task_finished(struct lmn_range *range, uint32_t index, struct timespec now)
{
    uint8_t *st = &range->st[index - range->lo];

    if (*st == LMN_TASK_DONE)
        return;
    if (*st == LMN_TASK_STARTED)
        range->nstarted--;
    *st = LMN_TASK_DONE;
    if (range->nfinished++ == range->ndone)
        range->dirty = now;
}

void lmn_machine_requeue_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const char *why, struct timespec now)
{
    GArray *old = machine->attempts;

    lmn_reassign_machine_queue(core, machine, now);
    machine->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt));
    for (guint i = 0; i < old->len; i++) {
        struct lmn_attempt *attempt = &g_array_index(old, struct lmn_attempt, i);
        lmn_attempt_uncount(machine, attempt);
        if (attempt->state != LMN_ATTEMPT_ENDED) {
            lmn_debug("task-lost task=%s/%u attempt=%" G_GUINT64_FORMAT
                      " machine=%s why=\"%s\"",
                      attempt->ref, attempt->index, attempt->number, machine->name, why);
            lmn_task_requeue(core, attempt->range, attempt->index, now);
        }
    }
    g_array_free(old, TRUE);
    lmn_machine_mark_unreplicated(machine);
}
