/* Attempts on a machine. The caller holds the core's lock for all functions. */
#include "partition/machine_attempts.h"

#include "partition/range.h"
#include "state/task_ledger.h"
#include "util/log.h"

/* Whether the attempt still needs its machine: it has not ended, or its result is not
 * recorded yet. */
static bool is_needed(const struct lmn_attempt *attempt)
{
    bool is_live =
        attempt->job && attempt->job->phase == LMN_JOB_ACTIVE && attempt->range;

    return attempt->state != LMN_ATTEMPT_ENDED ||
           (attempt->is_done && is_live &&
            !lmn_bitset_get(attempt->range->done,
                            attempt->index - attempt->range->first));
}

bool lmn_machine_is_empty(const struct lmn_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        if (is_needed(&g_array_index(machine->attempts, struct lmn_attempt, i)))
            return false;
    return true;
}

void lmn_attempt_remove_absent(struct lmn_core *core, struct lmn_machine *machine,
                               guint position, struct timespec now)
{
    struct lmn_attempt *attempt =
        &g_array_index(machine->attempts, struct lmn_attempt, position);
    struct lmn_attempt removed = *attempt;

    lmn_attempt_uncount(machine, attempt);
    lmn_machine_mark_unreplicated(machine);
    g_array_remove_index_fast(machine->attempts, position);
    if (removed.state != LMN_ATTEMPT_ENDED) {
        lmn_debug("task_vanished task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  removed.job_id, removed.index, removed.number, machine->name);
        lmn_task_requeue(core, removed.range, removed.index, now);
    }
}
