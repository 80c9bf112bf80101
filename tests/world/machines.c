/* Stand-in workers. */
#include "world.h"

#include "protocol/wire.h"

#include <stdlib.h>
#include <string.h>

/* A place's machines have different names, of the same partition: none comes back. */
void machine_name(struct machine *m)
{
    g_snprintf(m->name, sizeof m->name, "host-%06d",
               (int)(m - w.machines) + m->life * w.layout.machines * w.layout.nodes);
}

/* NULL: it is gone, and another has its place. */
struct machine *machine_named(const char *name)
{
    struct machine *m = &w.machines[atoi(name + 5) % w.layout.machines];
    return strcmp(m->name, name) ? NULL : m;
}

bool machine_reached(int node, const struct machine *m)
{
    bool island = w.now < m->island_until && m->island == node;
    if (w.now < w.nodes[node].deaf_until || (w.now < w.nodes[node].zone_until && !island))
        return false;
    return !m->dead && w.now >= m->hang_until &&
           (w.now >= m->island_until || m->island == node);
}

/* Whether anything from that node gets to the machine. */
bool machine_told(int node, const struct machine *m)
{
    return machine_reached(node, m) && w.now >= m->unheard_until &&
           w.now >= m->closed_until;
}

/* Returns where the token stands. */
static guint put_report(struct machine *m, GByteArray *b)
{
    static const char *const states[] = {WIRE_FETCHING, WIRE_RUNNING, WIRE_ENDED};

    lmn_cbor_put_map(b, 10);
    lmn_cbor_put_text(b, WIRE_MACHINE), lmn_cbor_put_text(b, m->name);
    lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, "10.0.0.1:9000");
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, "t");
    lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, m->zone);
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, m->spot);
    lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, m->session);
    lmn_cbor_put_text(b, WIRE_SEQUENCE), lmn_cbor_put_uint(b, ++m->seq);
    lmn_cbor_put_text(b, WIRE_SPOT_NOTICE_S), lmn_cbor_put_null(b);
    lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_array(b, (size_t)m->ntasks);
    for (int i = 0; i < m->ntasks; i++) {
        const struct task *t = &m->tasks[i];
        char name[64];
        g_snprintf(name, sizeof name, "%s/%d", w.jobs[t->job].ref, t->index);
        lmn_cbor_put_map(b, t->state == ENDED ? 4 : 3);
        lmn_cbor_put_text(b, WIRE_TASK), lmn_cbor_put_text(b, name);
        lmn_cbor_put_text(b, WIRE_ATTEMPT), lmn_cbor_put_uint(b, t->attempt);
        lmn_cbor_put_text(b, WIRE_STATE), lmn_cbor_put_text(b, states[t->state]);
        if (t->state == ENDED)
            lmn_cbor_put_text(b, WIRE_EXIT_REASON),
                lmn_cbor_put_text(b, t->done ? WIRE_DONE : WIRE_STOPPED);
    }
    lmn_cbor_put_text(b, WIRE_FENCING_TOKEN);
    guint token_at = b->len;
    lmn_cbor_put_uint(b, m->token);
    return token_at;
}

struct message *machine_report_copy(const struct message *x)
{
    struct message *y = g_new0(struct message, 1);

    *y = *x;
    y->copy = true;
    y->body = g_byte_array_new();
    g_byte_array_append(y->body, x->body->data, x->body->len);
    return y;
}

static void keep_report(struct machine *m, const struct message *x)
{
    struct message **place = &m->reports[m->nreports++ % OLD_REPORTS];

    if (*place) {
        g_byte_array_unref((*place)->body);
        g_free(*place);
    }
    *place = machine_report_copy(x);
}

const struct message *machine_old_report(const struct machine *m)
{
    unsigned n = MIN(m->nreports, OLD_REPORTS);

    return n ? m->reports[g_rand_int_range(w.r, 0, (gint32)n)] : NULL;
}

void machine_replace(struct machine *m)
{
    m->dead = false;
    m->life++;
    machine_name(m);
    m->session = 1;
    m->seq = m->token = 0;
    m->ntasks = 0;
    m->in_flight = false;
    m->lease_from = m->next_report = w.now;
    m->up_at = 0;
}

static void obey(struct machine *m, const struct lmn_cbor_document *d,
                 const struct lmn_cbor_value *orders)
{
    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(d, orders); n;
         n = lmn_cbor_next(d, n)) {
        char name[64];
        uint64_t attempt = 0;
        assert_true(lmn_cbor_get_text(lmn_cbor_get(d, n, WIRE_TASK), name, sizeof name));
        assert_true(lmn_cbor_get_uint(lmn_cbor_get(d, n, WIRE_ATTEMPT), &attempt));
        char *slash = strrchr(name, '/');
        *slash = '\0';
        int job = world_job(name), index = atoi(slash + 1), at = -1;
        bool same_task = false;
        assert_true(job >= 0);
        for (int i = 0; i < m->ntasks; i++) {
            const struct task *t = &m->tasks[i];
            if (t->job == job && t->index == index) {
                if (t->attempt == attempt)
                    at = i;
                else if (t->state != ENDED)
                    same_task = true;
            }
        }
        if (lmn_cbor_text_equals(lmn_cbor_get(d, n, WIRE_COMMAND), WIRE_START)) {
            if (at >= 0 || m->ntasks == 64)
                continue;
            struct task *t = &m->tasks[m->ntasks++];
            *t = (struct task){job,      index, attempt,
                               FETCHING, false, w.now + g_rand_double_range(w.r, 0, 0.5)};
            if (same_task)
                t->state = ENDED; /* busy */
        } else if (lmn_cbor_text_equals(lmn_cbor_get(d, n, WIRE_COMMAND), WIRE_KILL)) {
            bool ours = attempt >> 24 == m->token;
            if (at >= 0 && m->tasks[at].state != ENDED &&
                (ours || w.broken != G_INHERITED))
                m->tasks[at].state = ENDED;
        } else if (at >= 0 && m->tasks[at].state == ENDED) {
            m->tasks[at] = m->tasks[--m->ntasks];
        }
    }
}

void machine_answer(struct machine *m, const struct message *x)
{
    struct lmn_cbor_document d;
    uint64_t token = 0;

    digest_message("answer", w.clock);
    digest_text(m->name);
    digest_number(x->session);
    digest_number(x->seq);
    digest_array(x->body);
    /* An answer counts only while its report waits for it. */
    if (!m->in_flight || m->flight_seq != x->seq || x->session != m->session)
        return;
    m->in_flight = false;
    m->next_report = w.now + g_rand_double_range(w.r, 0.75, 1.25);
    if (lmn_cbor_parse(&d, x->body->data, x->body->len) != 0)
        return;
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN), &token);
    if (token >= m->token && token) {
        bool kills = w.broken != G_KILLS || token == m->token;
        if (token > m->token)
            m->next_report = w.now + 0.5;
        m->token = token;
        m->lease_from = m->answer_by - 4; /* when the report was sent */
        if (kills)
            obey(m, &d, lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS));
    }
    lmn_cbor_free(&d);
}

/* Whether a direct command is of the newest term, and for this session. */
static bool command_counts(const struct machine *m, uint64_t token, uint64_t session)
{
    bool old_term = token < m->token, old_session = session != m->session;

    w.old_terms += old_term;
    w.old_sessions += !old_term && old_session;
    if (w.broken == G_TOKEN)
        return true;
    return (!old_term || w.broken == G_OLD_TERM) &&
           (!old_session || w.broken == G_SESSION);
}

int machine_direct(struct machine *m, const GByteArray *body, GByteArray *report)
{
    struct lmn_cbor_document d;
    uint64_t token = 0, session = 0;
    int status = 409;

    assert_int_equal(lmn_cbor_parse(&d, body->data, body->len), 0);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN), &token);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                      &session);
    if (command_counts(m, token, session)) {
        m->token = MAX(m->token, token);
        obey(m, &d, lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS));
        status = 200;
    }
    lmn_cbor_free(&d);
    if (report)
        put_report(m, report);
    digest_message("command", w.clock);
    digest_text(m->name);
    digest_array(body);
    digest_number((uint64_t)status);
    digest_array(report);
    return status;
}

void machine_step(struct machine *m)
{
    if (m->dead || w.now < m->hang_until)
        return;
    if (w.now - m->lease_from > w.lease_s) {
        m->session++;
        m->ntasks = 0;
        m->lease_from = w.now;
        m->in_flight = false;
    }
    for (int i = 0; i < m->ntasks; i++) {
        struct task *t = &m->tasks[i];
        if (t->state == ENDED || w.now < t->until)
            continue;
        if (t->state == FETCHING) {
            t->state = RUNNING;
            /* A replica runs until its job is withdrawn. */
            t->until = w.now + (w.jobs[t->job].spec.kind == LMN_JOB_SERVICE
                                    ? 1e9
                                    : g_rand_double_range(w.r, 1, w.run_s));
            world_started(m, t);
        } else {
            t->state = ENDED;
            t->done = true;
            w.jobs[t->job].done[t->index] = true;
            m->next_report = MIN(m->next_report, w.now + 0.3);
        }
    }
    if (m->in_flight && w.now > m->answer_by) {
        m->in_flight = false;
        m->node = (m->node + 1) % w.layout.nodes;
        m->next_report = w.now + 1;
    }
    if (!m->in_flight && w.now >= m->next_report && w.now < m->mute_until) {
        m->node = (m->node + 1) % w.layout.nodes;
        m->next_report = w.now + 1;
    }
    if (!m->in_flight && w.now >= m->next_report) {
        struct message *x = g_new0(struct message, 1);
        x->body = g_byte_array_new();
        x->token_at = put_report(m, x->body);
        x->machine = (int)(m - w.machines);
        x->life = m->life;
        x->node = m->node;
        x->seq = m->seq;
        x->session = m->session;
        keep_report(m, x);
        x->at = w.now + (world_trouble(0.03) ? g_rand_double_range(w.r, 1, 30) : 0.02);
        if (plan && plan->link_s > 0)
            x->at = w.now + g_rand_double_range(w.r, 0.02, plan->link_s);
        m->in_flight = true;
        m->flight_seq = m->seq;
        m->answer_by = w.now + 4;
        g_ptr_array_add(w.mail, x);
    }
}
