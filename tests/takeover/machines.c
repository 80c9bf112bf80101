/* Machines: how a worker writes heartbeats and executes commands. */
#include "takeover.h"

#include "protocol/wire.h"

static void put_attempt(const struct attempt *attempt, GByteArray *body)
{
    lmn_cbor_put_map(body, attempt->running ? 3 : 4);
    lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, "run-000001/0");
    lmn_cbor_put_text(body, WIRE_ATTEMPT), lmn_cbor_put_uint(body, attempt->number);
    lmn_cbor_put_text(body, WIRE_STATE),
        lmn_cbor_put_text(body, attempt->running ? WIRE_RUNNING : WIRE_ENDED);
    if (!attempt->running)
        lmn_cbor_put_text(body, WIRE_EXIT_REASON),
            lmn_cbor_put_text(body, attempt->done ? WIRE_DONE : WIRE_STOPPED);
}

void machine_write_heartbeat(int machine_index, GByteArray *body)
{
    struct machine *machine = &model.machines[machine_index];

    lmn_cbor_put_map(body, 9);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, machine->name);
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.1:9000");
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "t");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "z");
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, false);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(body, machine->incarnation);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, ++machine->sequence);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN),
        lmn_cbor_put_uint(body, machine->fencing_token);
    lmn_cbor_put_text(body, WIRE_TASKS),
        lmn_cbor_put_array(body, (size_t)machine->attempt_count);
    for (int i = 0; i < machine->attempt_count; i++)
        put_attempt(&machine->attempts[i], body);
}

static int find_attempt(const struct machine *machine, uint64_t number)
{
    for (int i = 0; i < machine->attempt_count; i++)
        if (machine->attempts[i].number == number)
            return i;
    return -1;
}

static void execute_command(struct machine *machine,
                            const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *child)
{
    uint64_t number = 0;

    lmn_cbor_get_uint(lmn_cbor_get(document, child, WIRE_ATTEMPT), &number);
    int index = find_attempt(machine, number);
    if (lmn_cbor_text_equals(lmn_cbor_get(document, child, WIRE_COMMAND), WIRE_START)) {
        if (index < 0 && machine->attempt_count < MAX_ATTEMPTS)
            machine->attempts[machine->attempt_count++] =
                (struct attempt){number, true, false};
    } else if (index >= 0 &&
               lmn_cbor_text_equals(lmn_cbor_get(document, child, WIRE_COMMAND),
                                    WIRE_KILL)) {
        machine->attempts[index].running = false;
    } else if (index >= 0 && !machine->attempts[index].running) {
        machine->attempts[index] = machine->attempts[--machine->attempt_count];
    }
}

bool machine_handle_commands(int machine_index, const GByteArray *body, bool is_push)
{
    struct machine *machine = &model.machines[machine_index];
    struct lmn_cbor_document document;
    uint64_t fencing_token = 0, incarnation = 0;

    lmn_cbor_parse(&document, body->data, body->len);
    lmn_cbor_get_uint(
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_FENCING_TOKEN),
        &fencing_token);
    lmn_cbor_get_uint(
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_AGENT_INCARNATION),
        &incarnation);
    bool accepted = (fencing_token >= machine->fencing_token ||
                     model.disabled_guard == GUARD_FENCING_TOKEN) &&
                    (!is_push || incarnation == machine->incarnation);
    if (accepted) {
        const struct lmn_cbor_value *list =
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS);
        machine->fencing_token = MAX(machine->fencing_token, fencing_token);
        for (const struct lmn_cbor_value *child = lmn_cbor_first_child(&document, list);
             child; child = lmn_cbor_next(&document, child))
            execute_command(machine, &document, child);
    }
    lmn_cbor_free(&document);
    digest_message(is_push ? "command" : "answer", model.now);
    digest_number((uint64_t)machine_index);
    digest_array(body);
    digest_number(accepted);
    return accepted;
}

void machine_complete_tasks(int machine_index)
{
    struct machine *machine = &model.machines[machine_index];

    for (int i = 0; i < machine->attempt_count; i++)
        if (machine->attempts[i].running) {
            machine->attempts[i].running = false;
            machine->attempts[i].done = true;
        }
}

bool machine_is_running_task(int machine_index)
{
    const struct machine *machine = &model.machines[machine_index];

    for (int i = 0; i < machine->attempt_count; i++)
        if (machine->attempts[i].running)
            return true;
    return false;
}
