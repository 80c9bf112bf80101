/* Machines: what a worker reports, and how it carries commands out. */
#include "takeover.h"

#include "protocol/wire.h"

static void put_attempt(const struct attempt *a, GByteArray *body)
{
    lmn_put_map(body, a->running ? 3 : 4);
    lmn_put_text(body, W_TASK), lmn_put_text(body, "run-000001/0");
    lmn_put_text(body, W_ATTEMPT), lmn_put_count(body, a->number);
    lmn_put_text(body, W_STATE), lmn_put_text(body, a->running ? W_RUNNING : W_ENDED);
    if (!a->running)
        lmn_put_text(body, W_WHY), lmn_put_text(body, a->done ? W_DONE : W_STOPPED);
}

void machine_report(int k, GByteArray *body)
{
    struct machine *m = &explored.machines[k];

    lmn_put_map(body, 9);
    lmn_put_text(body, W_MACHINE), lmn_put_text(body, m->name);
    lmn_put_text(body, W_ADDR), lmn_put_text(body, "10.0.0.1:9000");
    lmn_put_text(body, W_TYPE), lmn_put_text(body, "t");
    lmn_put_text(body, W_ZONE), lmn_put_text(body, "z");
    lmn_put_text(body, W_SPOT), lmn_put_truth(body, false);
    lmn_put_text(body, W_SESSION), lmn_put_count(body, m->session);
    lmn_put_text(body, W_SEQ), lmn_put_count(body, ++m->seq);
    lmn_put_text(body, W_TOKEN), lmn_put_count(body, m->token);
    lmn_put_text(body, W_TASKS), lmn_put_list(body, (size_t)m->nattempts);
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

static void carry_out(struct machine *m, const struct lmn_doc *d,
                      const struct lmn_node *c)
{
    uint64_t number = 0;

    lmn_count(lmn_get(d, c, W_ATTEMPT), &number);
    int at = find_attempt(m, number);
    if (lmn_is(lmn_get(d, c, W_OP), W_START)) {
        if (at < 0 && m->nattempts < TASKS)
            m->attempts[m->nattempts++] = (struct attempt){number, true, false};
    } else if (at >= 0 && lmn_is(lmn_get(d, c, W_OP), W_KILL)) {
        m->attempts[at].running = false;
    } else if (at >= 0 && !m->attempts[at].running) {
        m->attempts[at] = m->attempts[--m->nattempts];
    }
}

bool machine_accept(int k, const GByteArray *body, bool direct)
{
    struct machine *m = &explored.machines[k];
    struct lmn_doc d;
    uint64_t token = 0, session = 0;

    lmn_doc_parse(&d, body->data, body->len);
    lmn_count(lmn_get(&d, lmn_root(&d), W_TOKEN), &token);
    lmn_count(lmn_get(&d, lmn_root(&d), W_SESSION), &session);
    bool accepted = (token >= m->token || explored.without == GUARD_TOKEN) &&
                    (!direct || session == m->session);
    if (accepted) {
        const struct lmn_node *list = lmn_get(&d, lmn_root(&d), W_COMMANDS);
        m->token = MAX(m->token, token);
        for (const struct lmn_node *c = lmn_child(&d, list); c; c = lmn_next(&d, c))
            carry_out(m, &d, c);
    }
    lmn_doc_free(&d);
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
