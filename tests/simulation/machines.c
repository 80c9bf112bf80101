/* Simulated workers. */
#include "simulation.h"

#include "protocol/wire.h"
#include "state/fencing_token.h"

#include <stdlib.h>
#include <string.h>

void machine_set_name(struct machine *machine)
{
    g_snprintf(machine->name, sizeof machine->name, "host-%06d",
               (int)(machine - simulation.machines) + machine->generation *
                                                          simulation.layout.machines *
                                                          simulation.layout.nodes);
}

struct machine *simulation_find_machine(const char *name)
{
    struct machine *machine =
        &simulation.machines[atoi(name + 5) % simulation.layout.machines];
    return strcmp(machine->name, name) ? NULL : machine;
}

bool machine_reaches_node(int node, const struct machine *machine)
{
    bool isolated_with_node =
        simulation.now < machine->isolated_until && machine->isolated_with == node;
    if (simulation.now < simulation.nodes[node].workers_unreachable_until ||
        (simulation.now < simulation.nodes[node].zone_isolated_until &&
         !isolated_with_node))
        return false;
    return !machine->is_terminated && simulation.now >= machine->hang_until &&
           (simulation.now >= machine->isolated_until || machine->isolated_with == node);
}

bool node_reaches_machine(int node, const struct machine *machine)
{
    return machine_reaches_node(node, machine) &&
           simulation.now >= machine->inbound_lost_until &&
           simulation.now >= machine->commands_delayed_until;
}

/* Returns the offset of the fencing token in the body. */
static guint write_heartbeat(struct machine *machine, GByteArray *body)
{
    static const char *const states[] = {WIRE_FETCHING, WIRE_RUNNING, WIRE_ENDED};

    lmn_cbor_put_map(body, 10);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, machine->name);
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.1:9000");
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "t");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, machine->zone);
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, machine->spot);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(body, machine->incarnation);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, ++machine->sequence);
    lmn_cbor_put_text(body, WIRE_SPOT_NOTICE_S), lmn_cbor_put_null(body);
    lmn_cbor_put_text(body, WIRE_TASKS),
        lmn_cbor_put_array(body, (size_t)machine->task_count);
    for (int i = 0; i < machine->task_count; i++) {
        const struct task *task = &machine->tasks[i];
        char name[64];
        g_snprintf(name, sizeof name, "%s/%d", simulation.jobs[task->job].id,
                   task->index);
        lmn_cbor_put_map(body, task->state == ENDED ? 4 : 3);
        lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, name);
        lmn_cbor_put_text(body, WIRE_ATTEMPT), lmn_cbor_put_uint(body, task->attempt);
        lmn_cbor_put_text(body, WIRE_STATE), lmn_cbor_put_text(body, states[task->state]);
        if (task->state == ENDED)
            lmn_cbor_put_text(body, WIRE_EXIT_REASON),
                lmn_cbor_put_text(body, task->is_done ? WIRE_DONE : WIRE_STOPPED);
    }
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN);
    guint token_at = body->len;
    lmn_cbor_put_uint(body, machine->token);
    return token_at;
}

struct message *heartbeat_copy(const struct message *message)
{
    struct message *copy = g_new0(struct message, 1);

    *copy = *message;
    copy->is_copy = true;
    copy->body = g_byte_array_new();
    g_byte_array_append(copy->body, message->body->data, message->body->len);
    return copy;
}

static void keep_heartbeat(struct machine *machine, const struct message *message)
{
    struct message **place =
        &machine->old_heartbeats[machine->heartbeat_count++ % OLD_HEARTBEATS];

    if (*place) {
        g_byte_array_unref((*place)->body);
        g_free(*place);
    }
    *place = heartbeat_copy(message);
}

const struct message *machine_old_heartbeat(const struct machine *machine)
{
    unsigned count = MIN(machine->heartbeat_count, OLD_HEARTBEATS);

    return count ? machine->old_heartbeats[g_rand_int_range(simulation.random, 0,
                                                            (gint32)count)]
                 : NULL;
}

static void forget_cleared_attempts(struct machine *machine)
{
    if (machine->cleared_attempts)
        g_hash_table_remove_all(machine->cleared_attempts);
}

/* Notes that the worker has forgotten the attempt. Its number is unique among those of
 * the machine's partition. */
static void note_cleared_attempt(struct machine *machine, uint64_t attempt)
{
    if (!machine->cleared_attempts)
        machine->cleared_attempts =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_hash_table_add(machine->cleared_attempts, g_memdup2(&attempt, sizeof attempt));
}

static void check_started_attempt(const struct machine *machine, uint64_t attempt)
{
    if (!machine->cleared_attempts ||
        !g_hash_table_contains(machine->cleared_attempts, &attempt))
        return;
    simulation.restarted_attempts++;
    simulation_fail_service("%s: attempt %" G_GUINT64_FORMAT
                            " was cleared, and is started again",
                            machine->name, attempt);
}

void machine_replace(struct machine *machine)
{
    machine->is_terminated = false;
    machine->generation++;
    machine_set_name(machine);
    machine->incarnation = 1;
    machine->sequence = machine->token = 0;
    machine->task_count = 0;
    forget_cleared_attempts(machine);
    machine->heartbeat_in_flight = false;
    machine->lease_start = machine->next_heartbeat_at = simulation.now;
    machine->replaced_at = 0;
}

static void execute_commands(struct machine *machine,
                             const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *commands)
{
    for (const struct lmn_cbor_value *command = lmn_cbor_first_child(document, commands);
         command; command = lmn_cbor_next(document, command)) {
        char name[64];
        uint64_t attempt = 0;
        assert_true(lmn_cbor_get_text(lmn_cbor_get(document, command, WIRE_TASK), name,
                                      sizeof name));
        assert_true(
            lmn_cbor_get_uint(lmn_cbor_get(document, command, WIRE_ATTEMPT), &attempt));
        char *slash = strrchr(name, '/');
        *slash = '\0';
        int job = simulation_job_index(name), task_index = atoi(slash + 1), found = -1;
        bool is_other_attempt_running = false;
        assert_true(job >= 0);
        for (int i = 0; i < machine->task_count; i++) {
            const struct task *task = &machine->tasks[i];
            if (task->job == job && task->index == task_index) {
                if (task->attempt == attempt)
                    found = i;
                else if (task->state != ENDED)
                    is_other_attempt_running = true;
            }
        }
        if (lmn_cbor_text_equals(lmn_cbor_get(document, command, WIRE_COMMAND),
                                 WIRE_START)) {
            if (found >= 0 || machine->task_count == MAX_TASKS_PER_MACHINE)
                continue;
            check_started_attempt(machine, attempt);
            struct task *task = &machine->tasks[machine->task_count++];
            *task = (struct task){
                job,     task_index,
                attempt, FETCHING,
                false,   simulation.now + g_rand_double_range(simulation.random, 0, 0.5)};
            /* The worker does not run two attempts of a task and reports this one as
             * ended. */
            if (is_other_attempt_running)
                task->state = ENDED;
        } else if (lmn_cbor_text_equals(lmn_cbor_get(document, command, WIRE_COMMAND),
                                        WIRE_KILL)) {
            bool own_attempt =
                machine->token - (attempt >> LMN_ATTEMPT_COUNT_BITS) <= LMN_TOKEN_RAISES;
            if (found >= 0 && machine->tasks[found].state != ENDED &&
                (own_attempt || simulation.disabled_guard != GUARD_KILL_INHERITED))
                machine->tasks[found].state = ENDED;
        } else if (found >= 0 && machine->tasks[found].state == ENDED) {
            machine->tasks[found] = machine->tasks[--machine->task_count];
            note_cleared_attempt(machine, attempt);
        }
    }
}

void machine_handle_response(struct machine *machine, const struct message *message)
{
    struct lmn_cbor_document document;
    uint64_t token = 0;

    digest_message("answer", simulation.clock);
    digest_text(machine->name);
    digest_number(message->incarnation);
    digest_number(message->sequence);
    digest_array(message->body);
    /* A response counts only while the worker waits for exactly that heartbeat. */
    if (!machine->heartbeat_in_flight ||
        machine->in_flight_sequence != message->sequence ||
        message->incarnation != machine->incarnation)
        return;
    machine->heartbeat_in_flight = false;
    machine->next_heartbeat_at =
        simulation.now + g_rand_double_range(simulation.random, 0.75, 1.25);
    if (lmn_cbor_parse(&document, message->body->data, message->body->len) != 0)
        return;
    lmn_cbor_get_uint(
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_FENCING_TOKEN), &token);
    if (token >= machine->token && token) {
        bool kills =
            simulation.disabled_guard != GUARD_KILL_CANCELLED || token == machine->token;
        if (token > machine->token)
            machine->next_heartbeat_at = simulation.now + 0.5;
        machine->token = token;
        /* The lease counts from when the heartbeat was sent. */
        machine->lease_start = machine->response_deadline - HEARTBEAT_TIMEOUT_S;
        if (kills)
            execute_commands(
                machine, &document,
                lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS));
    }
    lmn_cbor_free(&document);
}

/* Whether a pushed command has the newest fencing token and is meant for this
 * incarnation of the agent. */
static bool command_is_accepted(const struct machine *machine, uint64_t token,
                                uint64_t incarnation)
{
    bool old_token = token < machine->token,
         old_incarnation = incarnation != machine->incarnation;

    simulation.old_token_commands += old_token;
    simulation.old_incarnation_commands += !old_token && old_incarnation;
    if (simulation.disabled_guard == GUARD_FENCING_TOKEN)
        return true;
    return (!old_token || simulation.disabled_guard == GUARD_OLD_EPOCH) &&
           (!old_incarnation || simulation.disabled_guard == GUARD_INCARNATION);
}

int machine_handle_command(struct machine *machine, const GByteArray *body,
                           GByteArray *heartbeat)
{
    struct lmn_cbor_document document;
    uint64_t token = 0, incarnation = 0;
    int status = 409;

    assert_int_equal(lmn_cbor_parse(&document, body->data, body->len), 0);
    lmn_cbor_get_uint(
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_FENCING_TOKEN), &token);
    lmn_cbor_get_uint(
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_AGENT_INCARNATION),
        &incarnation);
    if (command_is_accepted(machine, token, incarnation)) {
        machine->token = MAX(machine->token, token);
        execute_commands(
            machine, &document,
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS));
        status = 200;
    }
    lmn_cbor_free(&document);
    if (heartbeat)
        write_heartbeat(machine, heartbeat);
    digest_message("command", simulation.clock);
    digest_text(machine->name);
    digest_array(body);
    digest_number((uint64_t)status);
    digest_array(heartbeat);
    return status;
}

void machine_step(struct machine *machine)
{
    if (machine->is_terminated || simulation.now < machine->hang_until)
        return;
    if (simulation.now - machine->lease_start > simulation.lease_s) {
        machine->incarnation++;
        machine->task_count = 0;
        forget_cleared_attempts(machine);
        machine->lease_start = simulation.now;
        machine->heartbeat_in_flight = false;
    }
    for (int i = 0; i < machine->task_count; i++) {
        struct task *task = &machine->tasks[i];
        if (task->state == ENDED || simulation.now < task->next_state_at)
            continue;
        if (task->state == FETCHING) {
            task->state = RUNNING;
            /* A replica of a service runs until its job is cancelled. */
            task->next_state_at =
                simulation.now +
                (simulation.jobs[task->job].spec.kind == LMN_JOB_SERVICE
                     ? 1e9
                     : g_rand_double_range(simulation.random, 1, simulation.max_task_s));
            simulation_check_start(machine, task);
        } else {
            task->state = ENDED;
            task->is_done = true;
            simulation.jobs[task->job].done[task->index] = true;
            machine->next_heartbeat_at =
                MIN(machine->next_heartbeat_at, simulation.now + 0.3);
        }
    }
    if (machine->heartbeat_in_flight && simulation.now > machine->response_deadline) {
        machine->heartbeat_in_flight = false;
        machine->node = (machine->node + 1) % simulation.layout.nodes;
        machine->next_heartbeat_at = simulation.now + 1;
    }
    if (!machine->heartbeat_in_flight && simulation.now >= machine->next_heartbeat_at &&
        simulation.now < machine->outbound_lost_until) {
        machine->node = (machine->node + 1) % simulation.layout.nodes;
        machine->next_heartbeat_at = simulation.now + 1;
    }
    if (!machine->heartbeat_in_flight && simulation.now >= machine->next_heartbeat_at) {
        struct message *message = g_new0(struct message, 1);
        message->body = g_byte_array_new();
        message->token_offset = write_heartbeat(machine, message->body);
        message->machine = (int)(machine - simulation.machines);
        message->generation = machine->generation;
        message->node = machine->node;
        message->sequence = machine->sequence;
        message->incarnation = machine->incarnation;
        keep_heartbeat(machine, message);
        message->arrives_at =
            simulation.now + (simulation_fault_chance(0.03)
                                  ? g_rand_double_range(simulation.random, 1, 30)
                                  : 0.02);
        if (schedule && schedule->max_heartbeat_delay_s > 0)
            message->arrives_at =
                simulation.now + g_rand_double_range(simulation.random, 0.02,
                                                     schedule->max_heartbeat_delay_s);
        machine->heartbeat_in_flight = true;
        machine->in_flight_sequence = machine->sequence;
        machine->response_deadline = simulation.now + HEARTBEAT_TIMEOUT_S;
        g_ptr_array_add(simulation.messages, message);
    }
}
