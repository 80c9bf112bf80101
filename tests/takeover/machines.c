/* Machines: what a worker reports, and how it carries commands out. */
#include "takeover.h"

#include "protocol/wire.h"

static void put_attempt(const struct attempt *a, GByteArray *body)
{
    lmn_cbor_put_map(body, a->running ? 3 : 4);
    lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, "run-000001/0");
    lmn_cbor_put_text(body, WIRE_ATTEMPT), lmn_cbor_put_uint(body, a->number);
    lmn_cbor_put_text(body, WIRE_STATE),
        lmn_cbor_put_text(body, a->running ? WIRE_RUNNING : WIRE_ENDED);
    if (!a->running)
        lmn_cbor_put_text(body, WIRE_EXIT_REASON),
            lmn_cbor_put_text(body, a->done ? WIRE_DONE : WIRE_STOPPED);
}

void machine_report(int k, GByteArray *body)
{
    struct machine *machine = &explored.machines[k];

    lmn_cbor_put_map(body, 9);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, machine->name);
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.1:9000");
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "t");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "z");
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, false);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(body, machine->session);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, ++machine->seq);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, machine->token);
    lmn_cbor_put_text(body, WIRE_TASKS),
        lmn_cbor_put_array(body, (size_t)machine->nattempts);
    for (int i = 0; i < machine->nattempts; i++)
        put_attempt(&machine->attempts[i], body);
}

static int find_attempt(const struct machine *machine, uint64_t number)
{
    for (int i = 0; i < machine->nattempts; i++)
        if (machine->attempts[i].number == number)
            return i;
    return -1;
}

static void carry_out(struct machine *machine, const struct lmn_cbor_document *document,
                      const struct lmn_cbor_value *child)
{
    uint64_t number = 0;

    lmn_cbor_get_uint(lmn_cbor_get(document, child, WIRE_ATTEMPT), &number);
    int at = find_attempt(machine, number);
    if (lmn_cbor_text_equals(lmn_cbor_get(document, child, WIRE_COMMAND), WIRE_START)) {
        if (at < 0 && machine->nattempts < TASKS)
            machine->attempts[machine->nattempts++] =
                (struct attempt){number, true, false};
    } else if (at >= 0 && lmn_cbor_text_equals(
                              lmn_cbor_get(document, child, WIRE_COMMAND), WIRE_KILL)) {
        machine->attempts[at].running = false;
    } else if (at >= 0 && !machine->attempts[at].running) {
        machine->attempts[at] = machine->attempts[--machine->nattempts];
    }
}

bool machine_accept(int k, const GByteArray *body, bool direct)
{
    struct machine *machine = &explored.machines[k];
    struct lmn_cbor_document d;
    uint64_t token = 0, session = 0;

    lmn_cbor_parse(&d, body->data, body->len);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN), &token);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                      &session);
    bool accepted = (token >= machine->token || explored.without == GUARD_TOKEN) &&
                    (!direct || session == machine->session);
    if (accepted) {
        const struct lmn_cbor_value *list =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS);
        machine->token = MAX(machine->token, token);
        for (const struct lmn_cbor_value *child = lmn_cbor_first_child(&d, list); child;
             child = lmn_cbor_next(&d, child))
            carry_out(machine, &d, child);
    }
    lmn_cbor_free(&d);
    digest_message(direct ? "command" : "answer", explored.now);
    digest_number((uint64_t)k);
    digest_array(body);
    digest_number(accepted);
    return accepted;
}

void machine_complete(int k)
{
    struct machine *machine = &explored.machines[k];

    for (int i = 0; i < machine->nattempts; i++)
        if (machine->attempts[i].running) {
            machine->attempts[i].running = false;
            machine->attempts[i].done = true;
        }
}

bool machine_runs(int k)
{
    const struct machine *machine = &explored.machines[k];

    for (int i = 0; i < machine->nattempts; i++)
        if (machine->attempts[i].running)
            return true;
    return false;
}
