/* The task states of the ranges in owned partitions. The core's lock is held by the
 * caller throughout. */
#include "partition/range.h"

#include "scheduler/queue.h"
#include "state/task_ledger.h"
#include "util/log.h"

void lmn_range_open(struct lmn_core *core, struct lmn_range *range)
{
    uint32_t task_count = range->end - range->first;
    (void)core;

    g_free(range->task_states);
    range->task_states = g_malloc0(task_count);
    range->started_count = 0;
    range->finished_count = range->done_count;
    range->is_writing = false;
    range->written_revision = 0;
    range->move_to = -1;
    range->move_is_uncertain = false;
    range->is_assigned = false;
    for (uint32_t i = 0; i < task_count; i++)
        if (lmn_bitset_get(range->done, i))
            range->task_states[i] = LMN_TASK_DONE;
}

/* Removes the range's references from the machine's queue and attempts. */
static void detach_range(struct lmn_machine *machine, const struct lmn_range *range)
{
    lmn_queue_remove_range(&machine->queue, range);
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->range == range)
            attempt->range = NULL;
    }
}

void lmn_range_remove_references(struct lmn_core *core, struct lmn_range *range)
{
    struct lmn_partition *partition = range->partition;
    GHashTableIter it;
    gpointer machine;
    (void)core;

    lmn_queue_remove_range(&partition->scheduling.unassigned, range);
    g_hash_table_iter_init(&it, partition->machines);
    while (g_hash_table_iter_next(&it, NULL, &machine))
        detach_range(machine, range);
    g_ptr_array_remove_fast(range->job->ranges, range);
}

void lmn_task_requeue(struct lmn_core *core, struct lmn_range *range, uint32_t index,
                      struct timespec now)
{
    if (!range || !range->task_states ||
        range->task_states[index - range->first] != LMN_TASK_STARTED)
        return;
    range->task_states[index - range->first] = LMN_TASK_QUEUED;
    range->started_count--;
    if (range->is_assigned && range->job->phase == LMN_JOB_ACTIVE)
        lmn_assign_tasks(core, range, index, index + 1, now);
}

void lmn_task_finished(struct lmn_range *range, uint32_t index, struct timespec now)
{
    uint8_t *task_state = &range->task_states[index - range->first];

    if (*task_state == LMN_TASK_DONE)
        return;
    if (*task_state == LMN_TASK_STARTED)
        range->started_count--;
    *task_state = LMN_TASK_DONE;
    if (range->finished_count++ == range->done_count)
        range->dirty_since = now;
}

void lmn_machine_requeue_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const char *why, struct timespec now)
{
    GArray *former_attempts = machine->attempts;

    lmn_reassign_machine_queue(core, machine, now);
    machine->attempts = g_array_new(FALSE, FALSE, sizeof(struct lmn_attempt));
    for (guint i = 0; i < former_attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(former_attempts, struct lmn_attempt, i);
        lmn_attempt_uncount(machine, attempt);
        if (attempt->state != LMN_ATTEMPT_ENDED) {
            lmn_debug("task_lost task=%s/%u attempt=%" G_GUINT64_FORMAT
                      " machine=%s why=\"%s\"",
                      attempt->job_id, attempt->index, attempt->number, machine->name,
                      why);
            lmn_task_requeue(core, attempt->range, attempt->index, now);
        }
    }
    g_array_free(former_attempts, TRUE);
    lmn_machine_mark_unreplicated(machine);
}
