/* Attempts on a machine. The caller holds the core's lock for all functions. */
#include "partition/machine_attempts.h"

#include "partition/range.h"
#include "state/fencing_token.h"
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

static void remember_removal(struct lmn_machine *machine, uint64_t number,
                             enum lmn_absence_reason reason)
{
    machine->removed_attempts[machine->removed_attempt_count++ % LMN_REMOVED_ATTEMPTS] =
        (struct lmn_removed_attempt){number, reason};
}

/* Why the attempt was removed, as shown in the log. */
static const char *removal_reason(const struct lmn_machine *machine, uint64_t number)
{
    static const char *const reasons[] = {
        [LMN_ABSENT_FROM_HEARTBEAT] = "a heartbeat did not name it",
        [LMN_ABSENT_FROM_PROBE_ANSWER] = "the answer to a probe did not name it",
        [LMN_ABSENT_AFTER_CLEAR] = "the answer to a push that cleared it did not name it",
        [LMN_ABSENT_NOT_SENT] = "the push with its start was not sent",
        [LMN_ABSENT_PUSH_REFUSED] = "the worker refused the push with its start",
        [LMN_ABSENT_WITHHELD] = "the standby did not acknowledge its start",
    };

    for (guint i = 0; i < LMN_REMOVED_ATTEMPTS; i++)
        if (machine->removed_attempts[i].number == number)
            return reasons[machine->removed_attempts[i].reason];
    return "unknown";
}

void lmn_attempt_record_reappeared(struct lmn_core *core,
                                   const struct lmn_machine *machine,
                                   const struct lmn_attempt *attempt)
{
    core->counters.reappeared_attempts++;
    lmn_error("attempt_reappeared task=%s/%u attempt=%" G_GUINT64_FORMAT
              " machine=%s token=%" G_GUINT64_FORMAT " session=%" G_GUINT64_FORMAT
              " gone-since=\"%s\"",
              attempt->job_id, attempt->index, attempt->number, machine->name,
              lmn_machine_token(machine), machine->agent.incarnation,
              removal_reason(machine, attempt->number));
}

void lmn_attempt_remove_absent(struct lmn_core *core, struct lmn_machine *machine,
                               guint position, enum lmn_absence_reason reason,
                               struct timespec now)
{
    struct lmn_attempt *attempt =
        &g_array_index(machine->attempts, struct lmn_attempt, position);
    struct lmn_attempt removed = *attempt;

    lmn_attempt_uncount(machine, attempt);
    lmn_machine_mark_unreplicated(machine);
    g_array_remove_index_fast(machine->attempts, position);
    remember_removal(machine, removed.number, reason);
    if (removed.state != LMN_ATTEMPT_ENDED) {
        lmn_debug("task_vanished task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s",
                  removed.job_id, removed.index, removed.number, machine->name);
        lmn_task_requeue(core, removed.range, removed.index, now);
    }
}
