/* Decides on the commands in a heartbeat's reply for attempts on the machine. The caller
 * holds the core's lock for all functions. */
#include "partition/heartbeat_reply.h"

#include "partition/heartbeat_tasks.h"
#include "partition/machine_attempts.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"
#include "util/log.h"

/* The quarantine of a machine that ignores commands is 2 s at first, and doubles with
 * each further ignored command in a row, up to 16 s. */
enum { MAX_QUARANTINE_DOUBLINGS = 4 };

/* How much longer a kill's grace period is than the time that the job needs to save. */
static const double SAVE_MARGIN_S = 1;

/* A machine keeps evidence of faulty jobs up to this number of attempts. */
enum { MAX_ATTEMPTS_WITH_EVIDENCE = LMN_MAX_MACHINE_ATTEMPTS / 2 };

void lmn_machine_record_ignored_command(struct lmn_core *core,
                                        struct lmn_machine *machine, struct timespec now)
{
    machine->agent.ignored_commands++;
    unsigned doublings =
        MIN(machine->agent.ignored_commands, (unsigned)MAX_QUARANTINE_DOUBLINGS);
    machine->failures.quarantined_until = lmn_time_add(now, (double)(1u << doublings));
    if (machine->agent.ignored_commands > 1)
        return;
    lmn_info("machine_commands_ignored machine=%s partition=%d", machine->name,
             machine->partition->id);
    lmn_reassign_machine_queue(core, machine, now);
}

/* Whether the attempt is the machine's first failed attempt of a faulty job. The worker
 * is not told to forget that attempt, so it stays in the machine's heartbeats: after a
 * failover the next owner learns from them that the job is faulty, without a record in
 * the key-value store. Otherwise each failover would start all tasks of the faulty job at
 * once again. A machine with many attempts keeps none: evidence of many jobs would leave
 * no room for tasks. */
static bool is_kept_as_failure_evidence(const struct lmn_machine *machine,
                                        const struct lmn_attempt *attempt)
{
    if (machine->attempts->len > MAX_ATTEMPTS_WITH_EVIDENCE || !attempt->has_failed ||
        !attempt->job || attempt->job->phase != LMN_JOB_ACTIVE ||
        !lmn_job_is_faulty(&attempt->job->failures))
        return false;
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct lmn_attempt *other =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (other == attempt)
            return true;
        if (other->has_failed && other->job == attempt->job)
            return false;
    }
    return false;
}

/* Whether the commands fit into the message. Counts those that do not. */
static bool has_room(struct lmn_core *core, const struct lmn_command_list *commands,
                     size_t json_bytes)
{
    bool fits = lmn_command_list_has_room(commands, json_bytes);

    core->counters.deferred_commands += !fits;
    return fits;
}

/* Adds a kill, if it fits into the message. */
static void kill_without_grace(struct lmn_core *core, struct lmn_attempt *attempt,
                               struct lmn_command_list *commands)
{
    if (!has_room(core, commands, LMN_MAX_KILL_COMMAND_BYTES))
        return;
    lmn_command_list_add(commands, LMN_COMMAND_KILL, attempt, 0);
    core->counters.kills += !attempt->kill_sent;
    attempt->kill_sent = true;
}

void lmn_heartbeat_kill_cancelled_tasks(struct lmn_core *core,
                                        struct lmn_machine *machine,
                                        const struct lmn_cbor_document *document,
                                        const struct lmn_cbor_value *tasks,
                                        struct lmn_command_list *commands)
{
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, tasks); node;
         node = lmn_cbor_next(document, node)) {
        struct lmn_attempt reported;
        if (!lmn_heartbeat_parse_task(&reported, document, node) ||
            reported.state == LMN_ATTEMPT_ENDED)
            continue;
        reported.job = g_hash_table_lookup(core->cache.jobs, reported.job_id);
        if (reported.job && !lmn_job_may_run(core, reported.job))
            kill_without_grace(core, &reported, commands);
    }
    /* Attempts that the heartbeat does not name, but a previous owner's replica or a
     * later message does. */
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->state != LMN_ATTEMPT_ENDED && attempt->job &&
            !lmn_job_may_run(core, attempt->job))
            kill_without_grace(core, attempt, commands);
    }
}

/* Whether a pushed start of the attempt, which no message of the worker has named, may
 * still arrive at a worker that has seen the token: minutes late, if the push had no
 * answer. */
static bool may_still_arrive(const struct lmn_attempt *attempt, uint64_t token)
{
    return attempt->push_is_uncertain && !attempt->was_reported &&
           !lmn_attempt_is_fenced(attempt, token);
}

/* Removes the attempts that the heartbeat does not name. Those starts that were sent in a
 * reply are not on the machine: the worker has either carried out the last reply or
 * stopped waiting for it before it wrote this heartbeat.
 * @param token highest one that the worker had seen
 * @return how many starts of the last reply had no effect */
static guint remove_unreported_attempts(struct lmn_core *core,
                                        struct lmn_machine *machine, uint64_t token,
                                        struct timespec now)
{
    guint ignored_starts = 0;

    for (guint i = machine->attempts->len; i-- > 0;) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->in_last_heartbeat || attempt->push_in_flight ||
            may_still_arrive(attempt, token))
            continue;
        ignored_starts += attempt->state == LMN_ATTEMPT_SENT && !attempt->was_reported &&
                          !attempt->from_replica;
        lmn_attempt_remove_absent(core, machine, i, LMN_ABSENT_FROM_HEARTBEAT, now);
    }
    return ignored_starts;
}

/* Whether nothing needs an attempt that has ended: its result is recorded in the
 * key-value store, and no call in flight contains its start. */
static bool is_settled(const struct lmn_machine *machine,
                       const struct lmn_attempt *attempt)
{
    bool is_live = attempt->job && attempt->job->phase == LMN_JOB_ACTIVE;
    bool is_recorded =
        !attempt->is_done || !is_live || !attempt->range ||
        lmn_bitset_get(attempt->range->done, attempt->index - attempt->range->first);

    return is_recorded && !attempt->push_in_flight &&
           !is_kept_as_failure_evidence(machine, attempt);
}

/* Whether the worker may forget the attempt, told so under the machine's present token. A
 * call that contains the attempt's start may arrive again at any time, and would begin an
 * attempt that the worker has forgotten. */
static bool may_clear(const struct lmn_machine *machine,
                      const struct lmn_attempt *attempt)
{
    return is_settled(machine, attempt) &&
           lmn_attempt_is_fenced(attempt, lmn_machine_token(machine));
}

/* Raises the token of the reply, so that attempts pushed under the present one may be
 * cleared. Not while a push is in flight, which the worker would refuse after the reply.
 */
static void raise_token(struct lmn_core *core, struct lmn_machine *machine)
{
    if (machine->push.is_in_flight || !lmn_machine_can_raise_token(machine))
        return;
    lmn_machine_raise_token(machine);
    core->counters.raised_tokens++;
}

/* Whether an attempt waits only for a higher token to be cleared. On a machine that has
 * no room for further attempts, one that has not ended counts as well: its clear could
 * then be pushed before the next heartbeat. */
static bool needs_higher_token(const struct lmn_machine *machine,
                               const struct lmn_attempt *attempt)
{
    bool is_full = machine->attempts->len >= LMN_MAX_MACHINE_ATTEMPTS;

    return !lmn_attempt_is_fenced(attempt, lmn_machine_token(machine)) &&
           (is_full ||
            (attempt->state == LMN_ATTEMPT_ENDED && is_settled(machine, attempt)));
}

static void raise_token_if_needed(struct lmn_core *core, struct lmn_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        if (needs_higher_token(
                machine, &g_array_index(machine->attempts, struct lmn_attempt, i))) {
            raise_token(core, machine);
            return;
        }
}

static bool may_push_clear(const struct lmn_machine *machine,
                           const struct lmn_attempt *attempt)
{
    return attempt->state == LMN_ATTEMPT_ENDED && !attempt->clear_pushed &&
           may_clear(machine, attempt);
}

bool lmn_machine_needs_pushed_clears(const struct lmn_machine *machine)
{
    if (machine->attempts->len < LMN_MAX_MACHINE_ATTEMPTS)
        return false;
    for (guint i = 0; i < machine->attempts->len; i++)
        if (may_push_clear(machine,
                           &g_array_index(machine->attempts, struct lmn_attempt, i)))
            return true;
    return false;
}

void lmn_heartbeat_push_clears(struct lmn_machine *machine,
                               struct lmn_command_list *commands)
{
    if (machine->attempts->len < LMN_MAX_MACHINE_ATTEMPTS)
        return;
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!may_push_clear(machine, attempt) ||
            !lmn_command_list_has_room(commands, LMN_MAX_PLAIN_COMMAND_BYTES))
            continue;
        lmn_command_list_add(commands, LMN_COMMAND_CLEAR, attempt, LMN_COMMAND_NO_GRACE);
        attempt->clear_pushed = true;
    }
}

/* Whether the attempt has to save its checkpoint now, because the cloud is about to
 * reclaim the spot machine and too little time would be left two heartbeats later. */
static bool must_save_before_spot_end(const struct lmn_core *core,
                                      const struct lmn_machine *machine,
                                      const struct lmn_attempt *attempt,
                                      struct timespec now)
{
    if (!machine->lifecycle.has_spot_notice || attempt->state != LMN_ATTEMPT_RUNNING ||
        attempt->job->spec.checkpoint_s <= 0 || attempt->kill_sent)
        return false;
    double remaining_s = machine->lifecycle.spot_notice_s -
                         lmn_time_diff_s(now, machine->lifecycle.spot_notice_at);
    return remaining_s < attempt->job->spec.save_s + 2 * core->settings->heartbeat_s + 1;
}

/* Adds the commands for the attempt, or none if they do not all fit into the message: a
 * repeated start without its kill would run a task of a cancelled job. */
static void reconcile_attempt(struct lmn_core *core, struct lmn_machine *machine,
                              struct lmn_attempt *attempt,
                              struct lmn_command_list *commands, struct timespec now)
{
    bool may_run = lmn_job_may_run(core, attempt->job);

    if (attempt->push_in_flight && may_run)
        return;
    /* Repeats a pushed start of unknown outcome in this reply, which cannot arrive late.
     * After that the attempt is on the machine, and the pushed start has no effect when
     * it arrives. */
    bool repeats_start =
        (attempt->push_is_uncertain || attempt->push_in_flight) && !attempt->was_reported;
    if (!has_room(core, commands,
                  (repeats_start ? LMN_MAX_PLAIN_COMMAND_BYTES : 0) +
                      LMN_MAX_KILL_COMMAND_BYTES))
        return;
    if (repeats_start) {
        lmn_command_list_add(commands, LMN_COMMAND_START, attempt, LMN_COMMAND_NO_GRACE);
        attempt->start_repeated = true;
    }
    if (attempt->state == LMN_ATTEMPT_ENDED) {
        if (may_clear(machine, attempt))
            lmn_command_list_add(commands, LMN_COMMAND_CLEAR, attempt,
                                 LMN_COMMAND_NO_GRACE);
    } else if (!may_run || !attempt->range) {
        kill_without_grace(core, attempt, commands);
    } else if (attempt->must_stop && attempt->state != LMN_ATTEMPT_SAVING) {
        lmn_command_list_add(commands, LMN_COMMAND_KILL, attempt, attempt->grace_s);
    } else if (must_save_before_spot_end(core, machine, attempt, now)) {
        lmn_command_list_add(commands, LMN_COMMAND_KILL, attempt,
                             attempt->job->spec.save_s + SAVE_MARGIN_S);
        attempt->kill_sent = true;
    }
}

/* Adds the commands for all attempts that have ended, or for all that have not. */
static void reconcile_attempts(struct lmn_core *core, struct lmn_machine *machine,
                               bool have_ended, struct lmn_command_list *commands,
                               struct timespec now)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if ((attempt->state == LMN_ATTEMPT_ENDED) == have_ended)
            reconcile_attempt(core, machine, attempt, commands, now);
    }
}

void lmn_heartbeat_reconcile_tasks(struct lmn_core *core, struct lmn_machine *machine,
                                   const struct lmn_cbor_document *document,
                                   const struct lmn_heartbeat *heartbeat,
                                   struct lmn_command_list *commands, struct timespec now)
{
    lmn_heartbeat_apply_tasks(core, machine, document, heartbeat->tasks, now);
    if (remove_unreported_attempts(core, machine, heartbeat->fencing_token, now))
        lmn_machine_record_ignored_command(core, machine, now);
    raise_token_if_needed(core, machine);
    /* Kills come first: should the message become full, clears can wait. */
    reconcile_attempts(core, machine, false, commands, now);
    reconcile_attempts(core, machine, true, commands, now);
}

void lmn_heartbeat_start_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               struct lmn_command_list *commands, struct timespec now)
{
    guint attempts = machine->attempts->len;
    size_t most_starts =
        attempts < LMN_MAX_MACHINE_ATTEMPTS ? LMN_MAX_MACHINE_ATTEMPTS - attempts : 0;

    if (!has_room(core, commands, most_starts * LMN_MAX_PLAIN_COMMAND_BYTES))
        return;
    lmn_command_list_count_starts(
        commands, lmn_schedule_machine(core, machine, commands->encoded, now));
}
