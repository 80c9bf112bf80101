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
    struct machine *m = &explored.machines[k];

    lmn_cbor_put_map(body, 9);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, m->name);
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.1:9000");
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "t");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "z");
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, false);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, m->session);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, ++m->seq);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, m->token);
    lmn_cbor_put_text(body, WIRE_TASKS), lmn_cbor_put_array(body, (size_t)m->nattempts);
    for (int i = 0; i < m->nattempts; i++)
        put_attempt(&m->attempts[i], body);
}

static int find_attempt(const struct machine *m, uint64_t number)
{
    for (int i = 0; i < m->nattempts; i++)
        if (m->attempts[i].number == number)
            return i;
    return -1;
}

static void carry_out(struct machine *m, const struct lmn_cbor_document *d,
                      const struct lmn_cbor_value *c)
{
    uint64_t number = 0;

    lmn_cbor_get_uint(lmn_cbor_get(d, c, WIRE_ATTEMPT), &number);
    int at = find_attempt(m, number);
    if (lmn_cbor_text_equals(lmn_cbor_get(d, c, WIRE_COMMAND), WIRE_START)) {
        if (at < 0 && m->nattempts < TASKS)
            m->attempts[m->nattempts++] = (struct attempt){number, true, false};
    } else if (at >= 0 &&
               lmn_cbor_text_equals(lmn_cbor_get(d, c, WIRE_COMMAND), WIRE_KILL)) {
        m->attempts[at].running = false;
    } else if (at >= 0 && !m->attempts[at].running) {
        m->attempts[at] = m->attempts[--m->nattempts];
    }
}

bool machine_accept(int k, const GByteArray *body, bool direct)
{
    struct machine *m = &explored.machines[k];
    struct lmn_cbor_document d;
    uint64_t token = 0, session = 0;

    lmn_cbor_parse(&d, body->data, body->len);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN), &token);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                      &session);
    bool accepted = (token >= m->token || explored.without == GUARD_TOKEN) &&
                    (!direct || session == m->session);
    if (accepted) {
        const struct lmn_cbor_value *list =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS);
        m->token = MAX(m->token, token);
        for (const struct lmn_cbor_value *c = lmn_cbor_first_child(&d, list); c;
             c = lmn_cbor_next(&d, c))
            carry_out(m, &d, c);
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
    struct machine *m = &explored.machines[k];

    for (int i = 0; i < m->nattempts; i++)
        if (m->attempts[i].running) {
            m->attempts[i].running = false;
            m->attempts[i].done = true;
        }
}

bool machine_runs(int k)
{
    const struct machine *m = &explored.machines[k];

    for (int i = 0; i < m->nattempts; i++)
        if (m->attempts[i].running)
            return true;
    return false;
}
