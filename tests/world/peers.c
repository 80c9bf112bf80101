/* What controllers send each other, and straight to workers. */
#include "state/core.h"
#include "world.h"

#include "protocol/wire.h"
#include "replication/stream.h"
#include "twin.h"

#include <stdlib.h>
#include <string.h>

static bool talk(int a, int b)
{
    const struct node *x = &w.nodes[a], *y = &w.nodes[b];
    /* A zone by itself, with its controller, reaches nobody else. */
    return node_up(x) && node_up(y) && x->core && y->core && w.now >= x->mute_until &&
           w.now >= y->mute_until && w.now >= x->zone_until && w.now >= y->zone_until;
}

bool node_talks(const struct node *from, const struct node *to)
{
    return from == to ||
           (talk((int)(from - w.nodes), (int)(to - w.nodes)) && w.now >= to->still_until);
}

static void add_statement(const struct lmn_gossip_statement *s)
{
    digest_number((uint64_t)s->of);
    digest_number(s->inc);
    digest_real(s->heard_s);
    digest_real(s->unanswered_s);
    digest_number(s->visitors);
}

static void digest_word(const char *kind, int from, int to,
                        const struct lmn_member_health *word)
{
    digest_message(kind, w.clock);
    digest_number((uint64_t)from);
    digest_number((uint64_t)to);
    digest_real(word->behind_s);
    digest_real(word->stale_s);
    digest_real(word->deaf);
}

static void tell(struct node *from, struct node *to, int about)
{
    struct lmn_gossip_statement s[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned n =
        lmn_member_gossip(&from->core->members, to->core->members.me, about, w.clock, s);
    digest_message("statements", w.clock);
    digest_number((uint64_t)from->core->members.me);
    digest_number((uint64_t)to->core->members.me);
    for (unsigned i = 0; i < n; i++) {
        add_statement(&s[i]);
        lmn_member_record_gossip(&to->core->members, from->core->members.me, &s[i],
                                 w.clock);
    }
}

static void tell_tombstones(struct node *from, struct node *to, int rank)
{
    const char *refs[8];
    uint64_t upto;
    unsigned n = lmn_tombstones_pending(&from->core->tombstones, rank, refs, 8, &upto);

    if (!w.helped)
        return;
    digest_message("tombstones", w.clock);
    digest_number((uint64_t)rank);
    for (unsigned i = 0; i < n; i++)
        digest_text(refs[i]);
    for (unsigned i = 0; i < n; i++)
        w.tombstones += lmn_tombstone_receive(to->core, refs[i], w.clock);
    if (!world_trouble(0.05)) /* else the answer is lost, and they are told again */
        lmn_tombstones_acknowledge(&from->core->tombstones, rank, upto);
}

/* Ranks are places by name, as the nodes are numbered. */
void node_ask(struct node *n, int me)
{
    struct lmn_members *ms = &n->core->members;
    struct lmn_probe q;
    double wait;

    lmn_members_tick(ms, 0, w.clock);
    while (lmn_member_next_probe(ms, w.r, w.clock, &q, &wait)) {
        struct node *o = &w.nodes[q.rank];
        struct lmn_member_health mine = node_word(n);
        digest_word("question", me, q.rank, &mine);
        digest_number((uint64_t)q.about);
        digest_real(q.patience_s);
        if (!talk(me, q.rank) || w.now < o->still_until || world_trouble(0.05)) {
            lmn_member_record_probe_timeout(ms, q.rank, w.clock, w.clock);
            continue;
        }
        struct lmn_member_health its = node_word(o);
        lmn_member_record_contact(&o->core->members, me, &mine, w.clock, w.clock);
        tell(n, o, q.about);
        if (q.about >= 0)
            lmn_member_request_probe(&o->core->members, q.about, w.clock);
        if (world_trouble(0.05)) { /* the answer is lost */
            lmn_member_record_probe_timeout(ms, q.rank, w.clock, w.clock);
            continue;
        }
        digest_word("word", q.rank, me, &its);
        lmn_member_record_probe_reply(ms, q.rank, &its, w.clock, w.clock);
        tell_tombstones(n, o, q.rank);
        tell(o, n, q.about);
    }
}

/* In step with nothing untold, a standby knows to the letter what the owner does. */
static void compare(const struct node *n, const struct lmn_partition *p)
{
    const struct lmn_replication_stream *s = &p->stream;
    const struct lmn_core *c = w.nodes[s->to].core;
    const struct lmn_replica *copy = c ? c->parts[p->id].copy : NULL;

    if (s->phase != LMN_STREAM_IN_SYNC || s->batch || p->untold->len ||
        p->forgotten->len || !copy || copy->stream != s->id || copy->term != p->my_term)
        return;
    w.compared++;
    for (guint k = 0; k < p->list->len; k++) {
        const struct lmn_machine *m = p->list->pdata[k];
        const struct lmn_machine_snapshot *t =
            g_hash_table_lookup(copy->machines, m->name);
        guint known = t ? t->attempts->len : 0;
        assert_int_equal(m->attempts->len, known);
        for (guint i = 0; i < known; i++) {
            const struct lmn_attempt *a =
                &g_array_index(m->attempts, struct lmn_attempt, i);
            const struct lmn_attempt_snapshot *b =
                &g_array_index(t->attempts, struct lmn_attempt_snapshot, i);
            assert_string_equal(a->ref, b->ref);
            assert_int_equal(a->index, b->index);
            assert_int_equal(a->number, b->number);
        }
    }
    (void)n;
}

void node_tell(struct node *n, int me, bool cut)
{
    for (int i = 0; i < w.layout.nodes; i++) {
        struct lmn_partition *p = &n->core->parts[i];
        enum lmn_replication_step step = LMN_REPLICATION_SEND;
        for (int k = 0; k < 6 && step != LMN_REPLICATION_WAIT; k++) {
            enum lmn_replica_result answer = LMN_REPLICA_UNKNOWN_STREAM;
            struct lmn_replication_batch *b = NULL;
            struct lmn_txn *t = NULL;
            double wait;
            step = lmn_replication_next_step(n->core, p, w.clock, &b, &t, &wait);
            if (step == LMN_REPLICATION_WRITE && !cut)
                node_send(n, t);
            else if (step == LMN_REPLICATION_WRITE)
                lmn_txn_free(t);
            if (step != LMN_REPLICATION_SEND)
                continue;
            struct node *o = &w.nodes[p->stream.to];
            bool heard =
                talk(me, p->stream.to) && w.now >= o->still_until && !world_trouble(0.02);
            if (heard) {
                struct lmn_replication_batch *same = batch_twin(b);
                answer = lmn_replica_apply(o->core, same, w.clock);
                lmn_replication_batch_free(same);
                heard = !world_trouble(0.02);
            }
            digest_batch(me, p->stream.to, w.clock, b, heard, answer);
            lmn_replication_batch_sent(n->core, p, b, heard, answer, w.clock);
        }
        if (p->mine)
            compare(n, p);
    }
}

/* The call gets no answer; but it is carried out so many seconds later. */
static void call_late(struct machine *m, const GByteArray *body, double s)
{
    struct message *x = g_new0(struct message, 1);

    x->direct = true;
    x->machine = (int)(m - w.machines);
    x->life = m->life;
    x->body = g_byte_array_new();
    g_byte_array_append(x->body, body->data, body->len);
    x->at = w.now + s;
    g_ptr_array_add(w.mail, x);
}

/* Whether the call is held up on its way, for 2 to 16 s. */
static bool held_up(struct machine *m, const GByteArray *body)
{
    if (w.now >= w.commands_until || world_chance(0.5))
        return false;
    w.late_commands++;
    call_late(m, body, g_rand_double_range(w.r, 2, 16));
    return true;
}

/* How the waiting of controller/replication_thread.c ends, and that of the lanes of
 * partition/worker_client.c. */
void node_release(struct node *n)
{
    for (guint i = 0; i < n->waiting->len;) {
        struct waiter *x = n->waiting->pdata[i];
        struct lmn_partition *p = &n->core->parts[x->held.part];
        struct machine *m = &w.machines[x->machine];
        bool ours = p->mine && p->my_term == x->held.term;
        bool go = w.broken == G_TOLD || (ours && lmn_replication_covers(p, x->held.mark));
        if (ours && !go && w.now - x->since <= LMN_REPLICATION_DEFER_S) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(n->waiting, i);
        w.withheld += !go;
        bool there = x->life == m->life && !m->dead && w.now >= m->hang_until;
        if (x->direct) {
            GByteArray *answer = g_byte_array_new();
            int status = LMN_HTTP_NOT_SENT;
            if (go)
                status =
                    there && machine_told((int)(n - w.nodes), m) && !held_up(m, x->body)
                        ? machine_direct(m, x->body, answer)
                        : LMN_HTTP_NO_RESPONSE;
            lmn_worker_client_push_done(n->core, x->held.machine, status, answer,
                                        w.clock);
            g_byte_array_unref(answer);
        } else if (ours) {
            if (!go)
                lmn_heartbeat_withhold_starts(n->core, &x->held, x->body, w.clock);
            struct message answer = {
                .body = x->body, .session = x->session, .seq = x->seq};
            if (there && w.now >= m->unheard_until)
                machine_answer(m, &answer);
        }
        g_byte_array_unref(x->body);
        g_free(x);
    }
}

void node_hold_back(struct node *n, const struct lmn_deferred_starts *held,
                    const struct message *x, struct machine *m, GByteArray *body)
{
    struct waiter *y = g_new0(struct waiter, 1);

    *y = (struct waiter){.held = *held,
                         .direct = !x,
                         .machine = (int)(m - w.machines),
                         .life = m->life,
                         .body = g_byte_array_ref(body),
                         .session = x ? x->session : 0,
                         .seq = x ? x->seq : 0,
                         .since = w.now};
    g_ptr_array_add(n->waiting, y);
}

void node_direct(struct node *n)
{
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t term;
    int me = (int)(n - w.nodes);

    while (lmn_worker_client_next_probe(n->core, 0, 1, name, addr, &term, w.clock)) {
        digest_message("probe", w.clock);
        digest_number((uint64_t)me);
        digest_text(name);
        digest_text(addr);
        digest_number(term);
        struct machine *m = machine_named(name);
        if (!m || !machine_told(me, m) || world_chance(0.3)) {
            lmn_worker_client_probe_done(n->core, name, term, LMN_HTTP_NO_RESPONSE,
                                         answer, w.clock);
            continue;
        }
        g_byte_array_set_size(body, 0);
        g_byte_array_set_size(answer, 0);
        if (!term) { /* only whether it can be reached */
            lmn_worker_client_probe_done(n->core, name, term, 200, answer, w.clock);
            continue;
        }
        lmn_cbor_put_map(body, 3);
        lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, term);
        lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
            lmn_cbor_put_uint(body, m->session);
        lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, 0);
        int status =
            held_up(m, body) ? LMN_HTTP_NO_RESPONSE : machine_direct(m, body, answer);
        lmn_worker_client_probe_done(n->core, name, term, status, answer, w.clock);
    }
    while (lmn_worker_client_next_push(n->core, 0, 1, name, addr, body, w.clock)) {
        digest_message("direct", w.clock);
        digest_number((uint64_t)me);
        digest_text(name);
        digest_text(addr);
        digest_array(body);
        struct machine *m = machine_named(name);
        double luck = g_rand_double(w.r);
        struct lmn_deferred_starts held = {0};
        held.mark = lmn_worker_client_log_position(n->core, name, &held.part);
        if (m && held.mark &&
            !lmn_replication_covers(&n->core->parts[held.part], held.mark)) {
            GByteArray *own = g_byte_array_new();
            g_byte_array_append(own, body->data, body->len);
            held.term = n->core->parts[held.part].my_term;
            g_strlcpy(held.machine, name, LMN_NAME_SIZE);
            node_hold_back(n, &held, NULL, m, own);
            g_byte_array_unref(own);
            continue;
        }
        g_byte_array_set_size(answer, 0);
        if (!m || !machine_told(me, m) || luck < 0.25) {
            /* No answer: lost for good, or delivered up to half a minute later. */
            if (m && !m->dead && world_chance(0.8))
                call_late(m, body,
                          g_rand_double_range(w.r, 0.1, world_chance(0.5) ? 3 : 30));
            lmn_worker_client_push_done(n->core, name, LMN_HTTP_NO_RESPONSE, answer,
                                        w.clock);
        } else if (held_up(m, body)) {
            lmn_worker_client_push_done(n->core, name, LMN_HTTP_NO_RESPONSE, answer,
                                        w.clock);
        } else {
            int status = machine_direct(m, body, answer);
            lmn_worker_client_push_done(n->core, name, status, answer, w.clock);
        }
    }
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
}
