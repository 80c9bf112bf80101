/* Commands that a controller pushes to a worker without waiting for its heartbeat. The
 * caller holds the core's lock for all functions. */
#include "partition/worker_push.h"

#include "http/client.h"
#include "partition/heartbeat_message.h"
#include "partition/heartbeat_reply.h"
#include "partition/heartbeat_tasks.h"
#include "partition/machine_attempts.h"
#include "partition/partition.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"
#include "util/log.h"

/* Nothing is pushed to a machine whose last heartbeat is older than this fraction of a
 * lease. */
static const double MAX_HEARTBEAT_AGE_SHARE = 0.6;

/* Adds kills for preempted tasks. If the push is lost, the reply to the next heartbeat
 * repeats them. */
static void add_preemptions(struct lmn_core *core, struct lmn_machine *machine,
                            struct lmn_command_list *commands)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!attempt->must_stop || attempt->kill_sent ||
            attempt->state == LMN_ATTEMPT_ENDED || !attempt->range)
            continue;
        /* The reply to a heartbeat contains the kills that do not fit here. */
        if (!lmn_command_list_has_room(commands, LMN_MAX_KILL_COMMAND_BYTES))
            return;
        lmn_command_list_add(commands, LMN_COMMAND_KILL, attempt, attempt->grace_s);
        attempt->kill_sent = true;
        core->counters.kills++;
    }
}

/* Decides on the commands for the machine, and marks new starts as in flight. */
static void decide_commands(struct lmn_core *core, struct lmn_machine *machine,
                            struct lmn_command_list *commands, struct timespec now)
{
    add_preemptions(core, machine, commands);
    guint attempts_before = machine->attempts->len;
    /* While the watch cache is too stale, heartbeats get no replies: nothing is cleared
     * and no tasks are started. */
    if (!lmn_watch_cache_is_too_stale(core, now)) {
        lmn_heartbeat_push_clears(machine, commands);
        if (lmn_machine_can_raise_token(machine))
            lmn_heartbeat_start_tasks(core, machine, commands, now);
    }
    if (!commands->count)
        return;
    for (guint i = attempts_before; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        attempt->push_in_flight = true;
        attempt->push_token = lmn_machine_token(machine);
    }
    machine->push.is_in_flight = true;
    machine->lifecycle.idle_since = (struct timespec){0, 0};
}

static bool may_push_to(const struct lmn_core *core, const struct lmn_machine *machine,
                        struct timespec now)
{
    return machine->lifecycle.is_accounted && !machine->agent.lease_expired &&
           !machine->agent.ignored_commands &&
           lmn_time_diff_s(now, machine->agent.last_heartbeat_at) <=
               MAX_HEARTBEAT_AGE_SHARE * core->settings->lease_s;
}

static guint count_pushed_starts(const struct lmn_machine *machine)
{
    guint count = 0;

    for (guint i = 0; i < machine->attempts->len; i++)
        count += g_array_index(machine->attempts, struct lmn_attempt, i).push_in_flight;
    return count;
}

/* Prepares a push to the machine. Returns false if no push is allowed or there are no
 * commands. */
static bool prepare_push(struct lmn_core *core, struct lmn_machine *machine, char *name,
                         char *address, GByteArray *body, struct timespec now)
{
    if (!may_push_to(core, machine, now))
        return false;
    struct lmn_command_list commands = lmn_command_list_new();
    decide_commands(core, machine, &commands, now);
    bool has_commands = commands.count > 0;
    if (has_commands) {
        const struct lmn_command_push push = {lmn_machine_token(machine),
                                              machine->agent.incarnation, &commands};
        g_strlcpy(name, machine->name, LMN_NAME_SIZE);
        g_strlcpy(address, machine->address, LMN_ADDRESS_SIZE);
        lmn_command_push_encode(body, &push);
        lmn_debug("push_prepared machine=%s partition=%d token=%" G_GUINT64_FORMAT
                  " session=%" G_GUINT64_FORMAT " commands=%u starts=%u",
                  machine->name, machine->partition->id, push.fencing_token,
                  push.agent_incarnation, commands.count, count_pushed_starts(machine));
    }
    lmn_command_list_free(&commands);
    return has_commands;
}

bool lmn_worker_client_next_push(struct lmn_core *core, unsigned thread_index,
                                 unsigned thread_count, char *name, char *address,
                                 GByteArray *body, struct timespec now)
{
    for (int i = 0; i < core->partition_count; i++) {
        GPtrArray *woken = core->partitions[i].scheduling.woken_machines;
        if (!core->partitions[i].ownership.is_owned)
            continue;
        /* Scheduling on a machine may remove other machines from the list. */
        for (guint k = woken->len; k-- > 0;) {
            struct lmn_machine *machine = k < woken->len ? woken->pdata[k] : NULL;
            if (!machine || machine->push.is_in_flight ||
                g_str_hash(machine->name) % thread_count != thread_index)
                continue;
            lmn_machine_cancel_wake(machine);
            if (prepare_push(core, machine, name, address, body, now))
                return true;
        }
    }
    return false;
}

/* What is known from the response to a push. */
struct push_answer {
    bool is_valid;   /* it is from the agent incarnation to which the push was sent */
    bool is_applied; /* and it was the latest message, so its task list was applied */
};

static struct push_answer apply_answer(struct lmn_core *core, struct lmn_machine *machine,
                                       int status, const GByteArray *answer,
                                       struct timespec now)
{
    struct push_answer result = {false, false};
    struct lmn_cbor_document document;
    struct lmn_heartbeat heartbeat;

    if ((status != 200 && status != 409) ||
        lmn_cbor_parse(&document, answer->data, answer->len) != 0)
        return result;
    result.is_valid = !lmn_heartbeat_parse(&heartbeat, &document) &&
                      heartbeat.agent_incarnation == machine->agent.incarnation;
    result.is_applied = result.is_valid && heartbeat.sequence > machine->agent.sequence;
    if (result.is_applied) {
        machine->agent.sequence = heartbeat.sequence;
        lmn_heartbeat_apply_tasks(core, machine, &document, heartbeat.tasks, now);
    }
    lmn_cbor_free(&document);
    return result;
}

/* Records the outcome of each start in the push. The response proves nothing about starts
 * in a heartbeat's reply, which may still be in transit: what was pushed and sent in a
 * reply is kept until the next heartbeat tells.
 * Returns whether the outcome of at least one start is unknown. */
static bool record_start_outcomes(struct lmn_core *core, struct lmn_machine *machine,
                                  int status, struct push_answer answer,
                                  struct timespec now)
{
    bool any_uncertain = false;

    for (guint i = machine->attempts->len; i-- > 0;) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!attempt->push_in_flight)
            continue;
        attempt->push_in_flight = false;
        bool is_absent = answer.is_applied && !attempt->in_last_heartbeat;
        if (attempt->start_repeated && (status == LMN_HTTP_NOT_SENT || status == 409))
            continue;
        if (status == LMN_HTTP_NOT_SENT)
            lmn_attempt_remove_absent(core, machine, i, LMN_ABSENT_NOT_SENT, now);
        else if (status == 409 && is_absent)
            lmn_attempt_remove_absent(core, machine, i, LMN_ABSENT_PUSH_REFUSED, now);
        else if (!answer.is_valid || (status == 200 && is_absent))
            attempt->push_is_uncertain = any_uncertain = true;
    }
    return any_uncertain;
}

/* Removes the attempts that a push has cleared, as its response shows, and wakes the
 * machine, which may start others now. The response was written after the clears, and the
 * push had a higher token than any call with these attempts' starts. */
static void remove_cleared_attempts(struct lmn_core *core, struct lmn_machine *machine,
                                    struct timespec now)
{
    guint before = machine->attempts->len;

    for (guint i = machine->attempts->len; i-- > 0;) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->clear_pushed && !attempt->in_last_heartbeat)
            lmn_attempt_remove_absent(core, machine, i, LMN_ABSENT_AFTER_CLEAR, now);
    }
    if (machine->attempts->len == before)
        return;
    lmn_machine_wake(machine);
    pthread_cond_broadcast(&core->machines_woken);
}

void lmn_worker_client_push_done(struct lmn_core *core, const char *name, int status,
                                 const GByteArray *answer, struct timespec now)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);

    /* If no push is in flight any more, the partition was lost during the call. */
    if (!machine || !machine->push.is_in_flight)
        return;
    machine->push.is_in_flight = false;
    struct push_answer result = apply_answer(core, machine, status, answer, now);
    bool any_uncertain = record_start_outcomes(core, machine, status, result, now);
    if (result.is_applied)
        remove_cleared_attempts(core, machine, now);
    /* The push may have arrived all the same: a heartbeat that names the starts then
     * resets the counter. */
    if (any_uncertain && !result.is_valid)
        lmn_machine_record_ignored_command(core, machine, now);
    /* Preempted tasks may have ended: wakes the machine, so that the task which they were
     * preempted for starts at once. */
    if (machine->reservation.preemption_tasks && result.is_valid) {
        lmn_machine_wake(machine);
        pthread_cond_broadcast(&core->machines_woken);
    }
}

uint64_t lmn_worker_client_push_log_position(const struct lmn_core *core,
                                             const char *name, int *partition_id)
{
    *partition_id = lmn_partition_for_machine(name, core->partition_count);
    const struct lmn_machine *machine =
        g_hash_table_lookup(core->partitions[*partition_id].machines, name);
    uint64_t log_position = 0;

    for (guint i = 0; machine && i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->push_in_flight)
            log_position = MAX(log_position, attempt->log_position);
    }
    return log_position;
}
