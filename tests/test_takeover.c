/* An explorer of a takeover: the product's own mirror, membership, partitions, books and
 * answers to workers, for an owner that is judged while it may be alive, a claimant, two
 * machines and one task. Every order of starts, losses, late and doubled arrivals,
 * suspicions, refutations, claims, hand-overs, stand-stills, restarts and ends of leases
 * is played, up to a depth; a path is played anew from its beginning, and states that
 * were seen are not gone on from. With each guard taken away the same search must find a
 * state that breaks what it guards. With standbys, the owner's stream of what it starts
 * is part of it: batches and their acknowledgements are lost, the record is written late,
 * a standby is struck off while it claims. */
#include "base/clock.h"
#include "base/codec.h"
#include "base/log.h"
#include "base/wire.h"
#include "own/flush.h"
#include "own/holder.h"
#include "own/owner.h"
#include "own/partition.h"
#include "own/range.h"
#include "own/upkeep.h"
#include "own/worker.h"
#include "standby/stream.h"
#include "state/owner_state.h"
#include "state/core.h"
#include "state/mirror.h"
#include "state/records.h"
#include "twin.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0"; /* crashed nodes are left behind as they are */
}

enum { NODES = 2, MACHINES = 2, FLIGHT = 2, KEYS = 16 };
enum { A, B, C }; /* the owner, the claimant, and one that only speaks */

enum guard {
    G_NONE,
    G_ACCOUNT,     /* inherited tasks wait for the machines that may have them */
    G_TOKEN,       /* machines refuse commands of an older term */
    G_RECORD,      /* a machine is recorded before its first start */
    G_INCARNATION, /* a verdict is about an incarnation */
    G_ACKNOWLEDGE, /* a start waits until the standby has acknowledged it */
    G_STRIKE,      /* the standby is struck off before starts go on without it */
    G_NAMED,       /* a warm takeover is by who the record names */
    G_TERM,        /* nobody owned it between the copy's owner and us */
    G_HOLD,        /* what was told is held until its machine has spoken */
};

static struct {
    struct lmn_settings cfg;
    struct lmn_team team;
    struct lmn_core *core;
    uint64_t lease;
    guint seen;
    bool still;
    struct lmn_txn *txn; /* a claim or a hand-over on its way */
    bool handover;
    struct lmn_txn *record; /* of its standby, on its way */
    GByteArray *pending;    /* starts that wait for an acknowledgement */
    char pending_to[LMN_NAME];
} node[NODES];

static bool streams; /* standbys follow */
static bool fair;    /* what waits for an acknowledgement gets it */

static struct {
    char name[16];
    uint64_t token, seq, session;
    double lease_from;
    struct {
        uint64_t attempt;
        bool on, done;
    } task[3];
    int ntasks;
} machine[MACHINES];

static struct {
    char key[24];
    GByteArray *value;
    uint64_t rev, lease;
} store[KEYS];

static struct event {
    char key[24];
    GByteArray *value;
    uint64_t rev;
} events[256];

static struct {
    int machine;
    GByteArray *body;
} flight[FLIGHT];

static guint nevents;
static uint64_t rev, next_lease;
static bool alive[8]; /* leases */
static struct timespec clk;
static enum guard broken;
static const char *broke;
static bool judged_late; /* a verdict was applied to an incarnation that was refuted */
static unsigned jumps, crashes, suspicions, passes;

/* --- the state service --- */

static int at_key(const char *key)
{
    for (int i = 0; i < KEYS; i++) {
        if (!*store[i].key)
            g_strlcpy(store[i].key, key, sizeof store[i].key);
        if (!strcmp(store[i].key, key))
            return i;
    }
    abort();
}

static void put(void *arg, const char *key, const GByteArray *value, uint64_t lease)
{
    int i = at_key(key);
    (void)arg;

    /* The event holds it. */
    store[i].value = value ? g_byte_array_ref((GByteArray *)value) : NULL;
    store[i].rev = rev;
    store[i].lease = lease;
    assert_true(nevents < G_N_ELEMENTS(events));
    events[nevents] = (struct event){"", store[i].value, rev};
    g_strlcpy(events[nevents++].key, key, sizeof events[0].key);
}

static void check_condition(void *arg, const char *key, uint64_t version)
{
    int i = at_key(key);
    uint64_t have = store[i].value ? store[i].rev : 0;

    if (have == version)
        return;
    if (key[0] == 'n' && broken == G_INCARNATION)
        judged_late = true;
    else if (key[0] == 'b' && broken == G_NAMED)
        return;
    else
        *(bool *)arg = false;
}

static void check_lease(void *arg, const char *key, const GByteArray *value,
                        uint64_t lease)
{
    (void)key;
    (void)value;
    if (lease && !alive[lease])
        *(bool *)arg = false;
}

static enum lmn_outcome commit(const struct lmn_txn *t, uint64_t *at)
{
    bool ok = true;

    judged_late = false;
    lmn_txn_each(t, check_lease, &ok);
    if (!ok)
        return LMN_REFUSED;
    lmn_txn_each_condition(t, check_condition, &ok);
    if (!ok)
        return LMN_CONFLICT;
    if (judged_late)
        broke = "one that had refuted was judged";
    *at = ++rev;
    lmn_txn_each(t, put, NULL);
    return LMN_OK;
}

static void end_lease(uint64_t lease)
{
    alive[lease] = false;
    rev++;
    for (int i = 0; i < KEYS; i++)
        if (store[i].value && store[i].lease == lease)
            put(NULL, store[i].key, NULL, 0);
}

/* --- nodes --- */

static void follow(int n)
{
    struct lmn_core *c = node[n].core;

    for (; node[n].seen < nevents; node[n].seen++) {
        const struct event *e = &events[node[n].seen];
        struct lmn_doc d = {0};
        if (e->value)
            lmn_doc_parse(&d, e->value->data, e->value->len);
        lmn_mirror_apply(c, e->key, &d, e->value ? lmn_root(&d) : NULL, e->rev, clk);
        if (e->value)
            lmn_doc_free(&d);
    }
    struct lmn_partition *p = &c->parts[0];
    if (broken == G_NAMED && p->owner_stream) {
        p->standby_stream = p->owner_stream;
        p->standby_term = p->owner_term - 1;
        g_strlcpy(p->standby, c->cfg->node, LMN_NAME);
    }
    if (broken == G_TERM && p->copy && p->owner_stream)
        p->copy->term = p->standby_term = p->owner_term - 1;
    if (broken == G_HOLD && p->copy)
        g_hash_table_remove_all(p->copy->machines);
    c->fresh = clk;
    lmn_members_fresh(&c->members, clk);
    c->synced = true;
    lmn_mirror_settle(c, clk);
}

/* A lease, and the record that hangs on it. */
static void join(int n)
{
    char key[24];
    GByteArray *v = g_byte_array_new();

    node[n].lease = node[n].core->lease = ++next_lease;
    alive[next_lease] = true;
    lmn_put_count(v, next_lease);
    rev++;
    g_snprintf(key, sizeof key, "n/%s", node[n].cfg.node);
    put(NULL, key, v, next_lease);
}

static void boot(int n)
{
    static const char *const names[] = {"na", "nb", "nc"};
    struct lmn_settings *s = &node[n].cfg;

    memset(s, 0, sizeof *s);
    g_strlcpy(s->node, names[n], LMN_NAME);
    /* So that the two choose each other for a standby. */
    g_strlcpy(s->zone, n == A ? "y" : "z", LMN_NAME);
    for (int i = 0; i < 3; i++)
        if (i != n) {
            g_strlcpy(s->members[s->nmembers].zone, i == B ? "z" : "y", LMN_NAME);
            g_strlcpy(s->members[s->nmembers++].name, names[i], LMN_NAME);
        }
    s->partitions = 1;
    s->report_s = 1;
    s->lease_s = 8;
    s->cancel_s = 30;
    s->state_rps = s->state_write_rps = 1e6;
    s->value_kb = 16;
    s->txn_ops = 12;
    s->teams = &node[n].team;
    g_strlcpy(s->teams[0].name, "x", LMN_NAME);
    s->nteams = 1;
    struct lmn_state *state = lmn_state_new(s);
    node[n].core = lmn_core_new(s, state, 1);
    node[n].core->types.n = 1;
    node[n].core->types.v[0] = (struct lmn_type){.name = "t", .cpus = 1, .nzones = 1};
    node[n].core->types_known = true;
    node[n].core->booted = node[n].core->synced_at = lmn_after(clk, -100);
    node[n].core->members.synced = node[n].core->members.fresh = lmn_after(clk, -100);
    node[n].core->members.tick = clk;
    node[n].seen = 0;
    node[n].still = false;
}

static void bury(int n)
{
    if (!node[n].core)
        return;
    lmn_state_free(node[n].core->state);
    lmn_core_free(node[n].core);
    if (node[n].txn)
        lmn_txn_free(node[n].txn);
    node[n].txn = NULL;
    if (node[n].record)
        lmn_txn_free(node[n].record);
    node[n].record = NULL;
    if (node[n].pending)
        g_byte_array_unref(node[n].pending);
    node[n].pending = NULL;
}

static struct lmn_partition *part(int n)
{
    return &node[n].core->parts[0];
}

/* --- machines --- */

static void put_report(int k, GByteArray *b)
{
    lmn_put_map(b, 9);
    lmn_put_text(b, W_MACHINE), lmn_put_text(b, machine[k].name);
    lmn_put_text(b, W_ADDR), lmn_put_text(b, "10.0.0.1:9000");
    lmn_put_text(b, W_TYPE), lmn_put_text(b, "t");
    lmn_put_text(b, W_ZONE), lmn_put_text(b, "z");
    lmn_put_text(b, W_SPOT), lmn_put_truth(b, false);
    lmn_put_text(b, W_SESSION), lmn_put_count(b, machine[k].session);
    lmn_put_text(b, W_SEQ), lmn_put_count(b, ++machine[k].seq);
    lmn_put_text(b, W_TOKEN), lmn_put_count(b, machine[k].token);
    lmn_put_text(b, W_TASKS), lmn_put_list(b, (size_t)machine[k].ntasks);
    for (int i = 0; i < machine[k].ntasks; i++) {
        bool on = machine[k].task[i].on;
        lmn_put_map(b, on ? 3 : 4);
        lmn_put_text(b, W_TASK), lmn_put_text(b, "run-000001/0");
        lmn_put_text(b, W_ATTEMPT), lmn_put_count(b, machine[k].task[i].attempt);
        lmn_put_text(b, W_STATE), lmn_put_text(b, on ? W_RUNNING : W_ENDED);
        if (!on)
            lmn_put_text(b, W_WHY),
                lmn_put_text(b, machine[k].task[i].done ? W_DONE : W_STOPPED);
    }
}

static void obey(int k, const struct lmn_doc *d)
{
    const struct lmn_node *orders = lmn_get(d, lmn_root(d), W_COMMANDS);

    for (const struct lmn_node *n = lmn_child(d, orders); n; n = lmn_next(d, n)) {
        uint64_t attempt = 0;
        int at = -1;
        lmn_count(lmn_get(d, n, W_ATTEMPT), &attempt);
        for (int i = 0; i < machine[k].ntasks; i++)
            if (machine[k].task[i].attempt == attempt)
                at = i;
        if (lmn_is(lmn_get(d, n, W_OP), W_START)) {
            if (at >= 0 || machine[k].ntasks == 3)
                continue;
            at = machine[k].ntasks++;
            machine[k].task[at].attempt = attempt;
            machine[k].task[at].on = true;
            machine[k].task[at].done = false;
        } else if (at >= 0 && lmn_is(lmn_get(d, n, W_OP), W_KILL)) {
            machine[k].task[at].on = false;
        } else if (at >= 0 && !machine[k].task[at].on) {
            machine[k].task[at] = machine[k].task[--machine[k].ntasks];
        }
    }
}

/* Commands come with a token; those of an older one are refused. */
static bool take(int k, const GByteArray *body, bool direct)
{
    struct lmn_doc d;
    uint64_t token = 0, session = 0;

    lmn_doc_parse(&d, body->data, body->len);
    lmn_count(lmn_get(&d, lmn_root(&d), W_TOKEN), &token);
    lmn_count(lmn_get(&d, lmn_root(&d), W_SESSION), &session);
    bool ok = (token >= machine[k].token || broken == G_TOKEN) &&
              (!direct || session == machine[k].session);
    if (ok) {
        machine[k].token = MAX(machine[k].token, token);
        obey(k, &d);
    }
    lmn_doc_free(&d);
    return ok;
}

/* --- moves --- */

enum move {
    FOLLOW_A,
    FOLLOW_B,
    START_A,
    START_B,
    ARRIVE, /* of the first or second command in flight, and again */
    ARRIVE_2,
    LOSE,
    REPORT_A_0,
    REPORT_A_1,
    REPORT_B_0,
    REPORT_B_1,
    PROBE_B,
    SUSPECT,
    STAND, /* the suspicion stands for its time */
    REFUTE,
    CLAIM,
    GIVE,
    APPLY_A, /* what is on its way to the state service is applied, or is lost */
    APPLY_B,
    DROP_B,
    STILL, /* the owner stands still, and wakes */
    WAKE,
    LEASE_A, /* its lease ends */
    RESTART_A,
    END_0, /* the task completes there */
    END_1,
    FLUSH_A, /* what an owner has to write is written */
    FLUSH_B,
    TELL_A, /* what is due for its standby is done */
    TELL_B,
    TELL_UNHEARD, /* the owner's batch arrives, its acknowledgement is lost */
    TELL_LOST,    /* neither arrives, however often it is sent */
    GO_A,         /* starts that waited go out, or are taken back */
    GO_B,
    RECORD_A, /* a record on its way is applied, or lost */
    UNRECORD_A,
    RESTART_B, /* another life, with another lease, that has no copy */
    CLAIM_A,   /* another life of the owner claims what the last one held */
    PASS,      /* so much time that a warm takeover deals, whoever has spoken */
    MOVES
};

static bool launch(int n, const char *name, GByteArray *body)
{
    int i = 0;

    while (i < FLIGHT && flight[i].body)
        i++;
    if (i == FLIGHT)
        return false;
    lmn_direct_outcome(node[n].core, name, LMN_NO_ANSWER, NULL, clk);
    flight[i].body = body;
    flight[i].machine = name[strlen(name) - 1] - '0';
    return true;
}

/* What waited goes out, or is taken back. */
static bool go(int n)
{
    struct lmn_core *c = node[n].core;
    int id;

    if (!node[n].pending || node[n].still)
        return false;
    uint64_t mark = lmn_direct_mark(c, node[n].pending_to, &id);
    if ((part(n)->mine && lmn_stream_covers(part(n), mark)) || broken == G_ACKNOWLEDGE) {
        if (!launch(n, node[n].pending_to, node[n].pending))
            return false;
    } else {
        lmn_direct_outcome(c, node[n].pending_to, LMN_NOT_SENT, NULL, clk);
        g_byte_array_unref(node[n].pending);
    }
    node[n].pending = NULL;
    return true;
}

/* A command that is sent straight to a machine: it is in flight, and never answered. */
static bool start(int n)
{
    char name[LMN_NAME], addr[LMN_ADDR];
    int i = 0, id;

    while (i < FLIGHT && flight[i].body)
        i++;
    if (i == FLIGHT || node[n].still || node[n].pending)
        return false;
    GByteArray *body = g_byte_array_new();
    for (guint k = 0; k < part(n)->list->len; k++) {
        struct lmn_machine *m = part(n)->list->pdata[k];
        if (broken == G_RECORD && part(n)->mine && !m->rev)
            m->rev = 1;
        if (part(n)->mine && !m->in_call)
            lmn_poke(m);
    }
    if (!lmn_direct_next(node[n].core, 0, 1, name, addr, body, clk)) {
        g_byte_array_unref(body);
        return false;
    }
    if (lmn_direct_mark(node[n].core, name, &id)) {
        node[n].pending = body;
        g_strlcpy(node[n].pending_to, name, LMN_NAME);
        return true;
    }
    return launch(n, name, body);
}

static void jump(double s)
{
    clk = lmn_after(clk, s);
    for (int n = 0; n < NODES; n++)
        if (!node[n].still)
            lmn_members_tick(&node[n].core->members, 0, clk);
}

enum hearing { HEARD, UNHEARD, LOST };

static bool take_batch(int to, const struct lmn_batch *b, enum lmn_copy_answer *answer)
{
    if (to > B || node[to].still)
        return false;
    struct lmn_batch *same = batch_twin(b);
    *answer = lmn_copy_take(node[to].core, same, clk);
    lmn_batch_free(same);
    return true;
}

/* One step of telling the standby. */
static bool tell(int n, enum hearing how)
{
    struct lmn_partition *p = part(n);
    enum lmn_copy_answer answer = LMN_COPY_TAKEN;
    struct lmn_batch *b = NULL;
    struct lmn_txn *t = NULL;
    double wait;

    if (!streams || node[n].still || !p->mine)
        return false;
    jump(0.004); /* starts are gathered for less */
    enum lmn_stream_phase before = p->stream.phase;
    enum lmn_stream_step step = lmn_stream_next(node[n].core, p, clk, &b, &t, &wait);
    if (step == LMN_STREAM_WRITE) {
        if (node[n].record)
            lmn_txn_free(node[n].record);
        node[n].record = t;
        return true;
    }
    if (broken == G_STRIKE && p->stream.phase == LMN_STREAM_STRIKING)
        lmn_stream_reset(node[n].core, p);
    if (step != LMN_STREAM_SEND)
        return p->stream.phase != before;
    bool taken = how != LOST && take_batch(p->stream.to, b, &answer);
    if (how == LOST)
        p->stream.failures = 10; /* as after some tries */
    lmn_stream_sent(node[n].core, p, b, taken && how == HEARD, answer, clk);
    return true;
}

static bool write_record(int n, bool applied)
{
    uint64_t at;

    if (!node[n].record)
        return false;
    if (applied)
        commit(node[n].record, &at);
    lmn_txn_free(node[n].record);
    node[n].record = NULL;
    return true;
}

static bool report(int n, int k)
{
    GByteArray *b, *out;
    struct lmn_held held;

    if (node[n].still)
        return false;
    b = g_byte_array_new();
    out = g_byte_array_new();
    put_report(k, b);
    int status = lmn_worker_report(node[n].core, b->data, b->len, out, &held, clk);
    while (fair && status == 200 && held.mark && !lmn_stream_covers(part(n), held.mark) &&
           tell(n, HEARD))
        write_record(n, true);
    if (status == 200 && held.mark && !lmn_stream_covers(part(n), held.mark) &&
        broken != G_ACKNOWLEDGE)
        lmn_worker_withhold(node[n].core, &held, out, clk);
    if (status == 200 && take(k, out, false))
        machine[k].lease_from = lmn_seconds(clk);
    g_byte_array_unref(b);
    g_byte_array_unref(out);
    return true;
}

static bool probe(int n)
{
    char name[LMN_NAME], addr[LMN_ADDR];
    uint64_t term;

    if (!lmn_probe_next(node[n].core, 0, 1, name, addr, &term, clk) || !term)
        return false;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    int k = name[strlen(name) - 1] - '0';
    lmn_put_map(body, 3);
    lmn_put_text(body, W_TOKEN), lmn_put_count(body, term);
    lmn_put_text(body, W_SESSION), lmn_put_count(body, machine[k].session);
    lmn_put_text(body, W_COMMANDS), lmn_put_list(body, 0);
    bool ok = take(k, body, true);
    put_report(k, answer);
    lmn_probe_outcome(node[n].core, name, term, ok ? 200 : 409, answer, clk);
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return true;
}

static void speak_against_a(void)
{
    struct lmn_members *ms = &node[B].core->members;
    struct lmn_statement says = {A, ms->v[A].inc, 20, 10, 0};

    lmn_member_unanswered(ms, A, lmn_after(clk, -10), clk);
    lmn_member_told(ms, C, &says, clk);
}

static bool flush(int n)
{
    struct lmn_txn *t;
    bool any = false;

    if (node[n].still || !part(n)->mine)
        return false;
    lmn_ranges_flush(node[n].core, clk);
    while ((t = lmn_state_take(node[n].core->state))) {
        uint64_t at = 0;
        enum lmn_outcome r = commit(t, &at);
        lmn_txn_finish(t, r, at);
        any = true;
    }
    return any;
}

static bool apply(int n)
{
    uint64_t at;

    if (!node[n].txn)
        return false;
    enum lmn_outcome r = commit(node[n].txn, &at);
    lmn_txn_free(node[n].txn);
    node[n].txn = NULL;
    if (node[n].handover)
        lmn_holder_given(node[n].core, 0, LMN_UNKNOWN, clk);
    (void)r;
    return true;
}

static bool suspect(void)
{
    uint64_t at;

    if (suspicions == 2)
        return false;
    speak_against_a();
    struct lmn_txn *t = lmn_holder_suspicion(node[B].core, A, node[B].lease, clk);
    if (!t)
        return false;
    suspicions++;
    commit(t, &at);
    lmn_txn_free(t);
    return true;
}

static bool refute(void)
{
    uint64_t at;
    struct lmn_txn *t =
        node[A].still ? NULL : lmn_holder_refutation(node[A].core, node[A].lease, clk);

    if (!t)
        return false;
    commit(t, &at);
    lmn_txn_free(t);
    return true;
}

static bool give(void)
{
    struct lmn_members *ms = &node[A].core->members;
    struct lmn_statement says = {A, ms->v[A].inc, 0.1, 0, 40};
    int successor;

    if (node[A].still || node[A].txn || !part(A)->mine)
        return false;
    ms->v[A].machines = 2;
    ms->word.deaf = 1;
    lmn_member_told(ms, B, &says, clk);
    node[A].txn = lmn_holder_handover(node[A].core, 0, &successor, clk);
    node[A].handover = true;
    ms->word.deaf = 0;
    ms->shut = false;
    return node[A].txn != NULL;
}

static void complete(int k)
{
    for (int i = 0; i < machine[k].ntasks; i++)
        if (machine[k].task[i].on) {
            machine[k].task[i].on = false;
            machine[k].task[i].done = true;
        }
}

static bool runs(int k)
{
    for (int i = 0; i < machine[k].ntasks; i++)
        if (machine[k].task[i].on)
            return true;
    return false;
}

/* False: not possible now. */
static bool play(enum move m)
{
    switch (m) {
    case FOLLOW_A:
    case FOLLOW_B:
        if (node[m - FOLLOW_A].still || node[m - FOLLOW_A].seen == nevents)
            return false;
        follow(m - FOLLOW_A);
        return true;
    case START_A:
    case START_B:
        return start(m - START_A);
    case ARRIVE:
    case ARRIVE_2:
        if (!flight[m - ARRIVE].body)
            return false;
        take(flight[m - ARRIVE].machine, flight[m - ARRIVE].body, true);
        return true;
    case LOSE:
        if (!flight[0].body)
            return false;
        g_byte_array_unref(flight[0].body);
        flight[0] = flight[1];
        flight[1].body = NULL;
        return true;
    case REPORT_A_0:
    case REPORT_A_1:
        return report(A, m - REPORT_A_0);
    case REPORT_B_0:
    case REPORT_B_1:
        return part(B)->mine && report(B, m - REPORT_B_0);
    case PROBE_B:
        return probe(B);
    case SUSPECT:
        return suspect();
    case STAND:
        if (jumps >= 2 || !lmn_member_doubted(&node[B].core->members, A))
            return false;
        jumps++;
        jump(node[B].core->members.t.doubt_s + 0.2);
        follow(B);
        speak_against_a();
        return true;
    case REFUTE:
        return refute();
    case CLAIM:
        if (node[B].txn)
            return false;
        if (broken == G_TERM && part(B)->standby_stream)
            part(B)->standby_term = part(B)->term;
        node[B].txn = lmn_holder_claim(node[B].core, 0, node[B].lease, clk);
        return node[B].txn != NULL;
    case GIVE:
        return give();
    case APPLY_A:
    case APPLY_B:
        return apply(m - APPLY_A);
    case DROP_B:
        if (!node[B].txn)
            return false;
        lmn_txn_free(node[B].txn);
        node[B].txn = NULL;
        return true;
    case STILL:
        if (node[A].still || jumps > 0)
            return false;
        node[A].still = true;
        return true;
    case WAKE:
        if (!node[A].still)
            return false;
        node[A].still = false;
        return true;
    case LEASE_A:
        if (!alive[node[A].lease])
            return false;
        end_lease(node[A].lease);
        return true;
    case RESTART_A:
        if (crashes++)
            return false;
        bury(A);
        boot(A);
        join(A);
        return true;
    case END_0:
    case END_1:
        if (!runs(m - END_0))
            return false;
        complete(m - END_0);
        return true;
    case FLUSH_A:
    case FLUSH_B:
        return flush(m - FLUSH_A);
    case TELL_A:
    case TELL_B:
        return tell(m - TELL_A, HEARD);
    case TELL_UNHEARD:
        return tell(A, UNHEARD);
    case TELL_LOST:
        return tell(A, LOST);
    case GO_A:
    case GO_B:
        return go(m - GO_A);
    case RECORD_A:
    case UNRECORD_A:
        return write_record(A, m == RECORD_A);
    case RESTART_B:
        if (!streams || crashes++)
            return false;
        end_lease(node[B].lease);
        bury(B);
        boot(B);
        join(B);
        return true;
    case CLAIM_A:
        if (!streams || node[A].txn || node[A].still || part(A)->mine)
            return false;
        node[A].txn = lmn_holder_claim(node[A].core, 0, node[A].lease, clk);
        node[A].handover = false;
        return node[A].txn != NULL;
    case PASS:
        if (!streams || passes++)
            return false;
        jump(0.6);
        return true;
    default:
        return false;
    }
}

static void check(void)
{
    if (runs(0) && runs(1))
        broke = "the task runs on both machines";
    if (broken == G_ACCOUNT)
        for (guint k = 0; k < part(B)->list->len; k++)
            ((struct lmn_machine *)part(B)->list->pdata[k])->inherited = false;
}

/* --- the world --- */

static void forget(void)
{
    for (int n = 0; n < NODES; n++)
        bury(n);
    for (guint i = 0; i < nevents; i++)
        if (events[i].value)
            g_byte_array_unref(events[i].value);
    for (int i = 0; i < FLIGHT; i++)
        if (flight[i].body)
            g_byte_array_unref(flight[i].body);
    memset(node, 0, sizeof node);
    memset(machine, 0, sizeof machine);
    memset(store, 0, sizeof store);
    memset(flight, 0, sizeof flight);
    memset(alive, 0, sizeof alive);
    nevents = 0;
    rev = next_lease = 0;
    jumps = crashes = suspicions = passes = 0;
    broke = NULL;
}

/* A owns the partition and two machines, one of which is not recorded yet if `late`; a
 * job of one task has come. */
static void begin(void)
{
    struct lmn_spec spec = {.class_name = (char *)"c",
                            .team = (char *)"x",
                            .image = (char *)"img",
                            .urgency = LMN_NORMAL,
                            .tasks = 1,
                            .cpus = 1,
                            .estimate_s = 5,
                            .deadline_s = -1};
    struct lmn_range r = {.lo = 0, .hi = 1};
    uint8_t none = 0;
    uint64_t at;

    forget();
    clk = lmn_after((struct timespec){0, 0}, 1000);
    lmn_test_clock = &clk;
    g_strlcpy(spec.ref, "run-000001", sizeof spec.ref);
    for (int n = 0; n < NODES; n++) {
        boot(n);
        join(n);
    }
    rev++;
    GByteArray *c = g_byte_array_new();
    lmn_put_count(c, 7);
    alive[7] = true;
    put(NULL, "n/nc", c, 7);
    follow(A);
    follow(B);
    struct lmn_txn *t = lmn_holder_claim(node[A].core, 0, node[A].lease, clk);
    assert_int_equal(commit(t, &at), LMN_OK);
    lmn_txn_free(t);
    follow(A);
    assert_true(part(A)->mine);
    for (int k = 0; k < MACHINES; k++) {
        g_snprintf(machine[k].name, sizeof machine[k].name, "host-%d", k);
        machine[k].session = 1;
    }
    report(A, 0);
    report(A, 0);
    flush(A);
    follow(A);
    report(A, 0);
    if (broken != G_RECORD) {
        report(A, 1);
        report(A, 1);
        clk = lmn_after(clk, 1);
        flush(A);
        follow(A);
        report(A, 1);
    }
    rev++;
    put(NULL, "j/run-000001", lmn_job_record(&spec, LMN_ACTIVE, 1, 1000), 0);
    put(NULL, "r/0/run-000001/0", lmn_range_record(&r, &none), 0);
    follow(A);
    follow(B);
    for (int n = 0; n < NODES; n++) {
        struct lmn_word well = {0, 0.5, 0};
        lmn_members_tick(&node[n].core->members, 0, clk);
        for (int i = 0; i < 3; i++)
            if (i != n)
                lmn_member_answered(&node[n].core->members, i, &well, lmn_after(clk, -20),
                                    lmn_after(clk, -20));
    }
}

/* What is equal in this is equal for all that can follow, but for what is told in
 * revisions and times. */
static char *summary(void)
{
    GString *s = g_string_new(NULL);

    for (int n = 0; n < NODES; n++) {
        const struct lmn_core *c = node[n].core;
        const struct lmn_partition *p = part(n);
        const struct lmn_members *ms = &c->members;
        const struct lmn_stream *f = &p->stream;
        g_string_append_printf(s, "{%d%d%d%d%d%d%d%d%d %d}", f->phase, f->to,
                               f->batch != NULL, f->number > 0,
                               f->acked<f->mark, f->failures> 0, p->untold->len,
                               node[n].record != NULL, node[n].pending != NULL,
                               p->standby_stream ? (int)p->standby_term : 0);
        if (p->copy) {
            g_string_append_printf(s, "[%d%d", (int)p->copy->term,
                                   p->copy->stream == p->standby_stream);
            for (int k = 0; k < MACHINES; k++) {
                const struct lmn_told *u =
                    g_hash_table_lookup(p->copy->machines, machine[k].name);
                g_string_append_printf(s, ",%d", u ? (int)u->attempts->len : 9);
            }
        }
        g_string_append_printf(s, "|%d%d%d%d %d %d %d%d%d %d%d %d", node[n].still,
                               node[n].txn != NULL, p->mine, p->ready + 2 * p->open,
                               (int)p->my_term, (int)(nevents - node[n].seen),
                               lmn_member_doubted(ms, A), ms->v[A].unanswered.tv_sec != 0,
                               lmn_member_judged(ms, A, clk), p->releasing,
                               lmn_self_awake(ms, clk), (int)p->owner_term);
        GHashTableIter it;
        gpointer v;
        g_hash_table_iter_init(&it, p->ranges);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_range *r = v;
            g_string_append_printf(s, " r%d%d%d", r->st ? r->st[0] : 9, r->ndone,
                                   r->writing);
        }
        for (guint k = 0; k < p->list->len; k++) {
            const struct lmn_machine *m = p->list->pdata[k];
            g_string_append_printf(s, " %s%d%d%d%d", m->name + 5, m->accounted,
                                   m->inherited, m->rev != 0, m->heard);
            for (guint i = 0; i < m->attempts->len; i++) {
                const struct lmn_attempt *a =
                    &g_array_index(m->attempts, struct lmn_attempt, i);
                g_string_append_printf(s, "a%d.%d.%d%d%d", (int)(a->number >> 24),
                                       a->state, a->unsure, a->done, a->range != NULL);
            }
        }
    }
    for (int k = 0; k < MACHINES; k++) {
        g_string_append_printf(s, "|%d", (int)machine[k].token);
        for (int i = 0; i < machine[k].ntasks; i++)
            g_string_append_printf(s, " %d%d%d", (int)(machine[k].task[i].attempt >> 24),
                                   machine[k].task[i].on, machine[k].task[i].done);
    }
    for (int i = 0; i < FLIGHT; i++)
        if (flight[i].body) {
            struct lmn_doc d;
            uint64_t token = 0;
            lmn_doc_parse(&d, flight[i].body->data, flight[i].body->len);
            lmn_count(lmn_get(&d, lmn_root(&d), W_TOKEN), &token);
            lmn_doc_free(&d);
            g_string_append_printf(s, "|f%d.%d", flight[i].machine, (int)token);
        }
    for (int i = 0; i < KEYS && *store[i].key; i++)
        g_string_append_printf(s, "%d", store[i].value != NULL);
    g_string_append_printf(s, " %d%d%d%d%d", alive[1], (int)jumps, (int)crashes,
                           (int)suspicions, (int)passes);
    return g_string_free(s, FALSE);
}

/* Fair steps alone: everybody follows, asks, reports, writes. */
static const char *ends(void)
{
    node[A].still = false;
    for (int n = 0; n < NODES; n++) {
        if (node[n].txn)
            apply(n);
        write_record(n, true);
        go(n);
    }
    for (int round = 0; round < 60; round++) {
        jump(0.5);
        for (int n = 0; n < NODES; n++) {
            uint64_t at;
            struct lmn_txn *t;
            int successor;
            follow(n);
            if ((t = lmn_holder_handover(node[n].core, 0, &successor, clk))) {
                commit(t, &at);
                lmn_txn_free(t);
            }
            if (!alive[node[n].lease]) {
                for (int i = 0; i < 1; i++)
                    if (part(n)->mine)
                        lmn_partition_lose(node[n].core, part(n), "lease ended");
                join(n);
                follow(n);
            }
            if ((t = lmn_holder_refutation(node[n].core, node[n].lease, clk)) ||
                (t = lmn_holder_claim(node[n].core, 0, node[n].lease, clk))) {
                commit(t, &at);
                lmn_txn_free(t);
            }
            follow(n);
            probe(n);
            for (int k = 0; k < MACHINES; k++)
                report(n, k);
            flush(n);
            lmn_upkeep(node[n].core, clk);
            while (tell(n, HEARD) && !node[n].record)
                ;
            write_record(n, true);
        }
        for (int k = 0; k < MACHINES && round % 4 == 3; k++)
            complete(k);
        check();
        if (broke)
            return broke;
        int i = at_key("j/run-000001");
        struct lmn_doc d;
        struct lmn_spec spec;
        enum lmn_phase phase;
        uint32_t open;
        double when;
        lmn_doc_parse(&d, store[i].value->data, store[i].value->len);
        lmn_job_read(&d, lmn_root(&d), &spec, &phase, &open, &when);
        lmn_spec_clear(&spec);
        lmn_doc_free(&d);
        if (phase == LMN_FINISHED)
            return NULL;
    }
    return "the job is never done";
}

static const char *at_end_it_is_done(void)
{
    fair = true;
    const char *why = ends();
    fair = false;
    return why;
}

static void replay(const guint8 *path, guint len)
{
    begin();
    for (guint i = 0; i < len; i++) {
        play((enum move)path[i]);
        check();
    }
}

/* Breadth first, from the end of a path on; returns the states seen, fewer if something
 * was found broken. */
static guint explore(enum guard without, const enum move *prefix, guint len, guint most,
                     const char **found)
{
    GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GPtrArray *work = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    GByteArray *first = g_byte_array_new();
    guint at = 0;

    broken = without;
    *found = NULL;
    begin();
    for (guint i = 0; i < len; i++) {
        guint8 move = (guint8)prefix[i];
        if (!play(prefix[i]))
            fail_msg("move %u of the beginning, %d, is not possible", i, move);
        check();
        g_byte_array_append(first, &move, 1);
    }
    g_ptr_array_add(work, first);
    while (at < work->len && work->len < most && !*found) {
        const GByteArray *path = work->pdata[at++];
        for (int m = 0; m < MOVES && !*found; m++) {
            replay(path->data, path->len);
            if (!play((enum move)m))
                continue;
            check();
            *found = broke;
            if (!g_hash_table_add(seen, summary()))
                continue;
            GByteArray *next = g_byte_array_new();
            guint8 move = (guint8)m;
            g_byte_array_append(next, path->data, path->len);
            g_byte_array_append(next, &move, 1);
            g_ptr_array_add(work, next);
            /* From each there is a way to the end. */
            if (without == G_NONE && work->len % 16 == 0 && !*found)
                *found = at_end_it_is_done();
        }
    }
    guint n = g_hash_table_size(seen);
    if (*found) {
        const GByteArray *path = work->pdata[at - 1];
        print_message("after %u states, %u moves: %s\n", n, path->len + 1, *found);
    }
    g_hash_table_destroy(seen);
    g_ptr_array_free(work, TRUE);
    return n;
}

/* A start is in flight, the owner suspected, the claim on its way; then applied, and seen
 * by the claimant alone. */
static const enum move claiming[] = {START_A, SUSPECT, FOLLOW_B, STAND,
                                     CLAIM,   APPLY_B, FOLLOW_B};
static const enum move giving[] = {START_A, GIVE, APPLY_A, FOLLOW_B};
static const enum move frozen[] = {START_A, STILL, SUSPECT, FOLLOW_B, STAND, CLAIM};

/* The copy is made, the record written and seen by both. */
#define IN_STEP TELL_A, TELL_A, TELL_A, RECORD_A, FOLLOW_A, FOLLOW_B, TELL_A
#define DOUBT SUSPECT, FOLLOW_B, STAND
static const enum move in_step[] = {IN_STEP};
static const enum move told_claim[] = {IN_STEP, START_A, TELL_A,  GO_A,
                                       DOUBT,   CLAIM,   APPLY_B, FOLLOW_B};
static const enum move untold_claim[] = {IN_STEP, START_A, TELL_UNHEARD, DOUBT, CLAIM};
static const enum move struck_claim[] = {IN_STEP,   DOUBT,  CLAIM,    START_A,
                                         TELL_LOST, TELL_A, RECORD_A, FOLLOW_A};
static const enum move told_handover[] = {IN_STEP, START_A, TELL_A,  GO_A,
                                          GIVE,    APPLY_A, FOLLOW_B};

static void goes_on(const enum move *prefix, guint len)
{
    const char *found;
    guint n = explore(G_NONE, prefix, len, 3000, &found);

    if (found)
        fail_msg("%s", found);
    assert_true(n > 2500);
}

static void keeps_the_rules(void **state)
{
    (void)state;
    goes_on(NULL, 0);
    goes_on(claiming, 5);
    goes_on(claiming, G_N_ELEMENTS(claiming));
    goes_on(giving, G_N_ELEMENTS(giving));
    goes_on(frozen, G_N_ELEMENTS(frozen));
}

static void keeps_the_rules_with_a_standby(void **state)
{
    (void)state;
    streams = true;
    goes_on(in_step, G_N_ELEMENTS(in_step));
    goes_on(told_claim, G_N_ELEMENTS(told_claim));
    goes_on(untold_claim, G_N_ELEMENTS(untold_claim));
    goes_on(struck_claim, G_N_ELEMENTS(struck_claim));
    goes_on(told_handover, G_N_ELEMENTS(told_handover));
    streams = false;
}

static void breaks(enum guard g, const enum move *prefix, guint len, const char *what)
{
    const char *found;

    explore(g, prefix, len, 3000, &found);
    assert_non_null(found);
    assert_string_equal(found, what);
}

static void accounting_is_needed(void **state)
{
    (void)state;
    breaks(G_ACCOUNT, claiming, G_N_ELEMENTS(claiming), "the task runs on both machines");
    breaks(G_ACCOUNT, giving, G_N_ELEMENTS(giving), "the task runs on both machines");
}

static void tokens_are_needed(void **state)
{
    (void)state;
    breaks(G_TOKEN, claiming, G_N_ELEMENTS(claiming), "the task runs on both machines");
}

static void records_are_needed(void **state)
{
    static const enum move begun[] = {REPORT_A_1, REPORT_A_1, START_A, SUSPECT, FOLLOW_B,
                                      STAND,      CLAIM,      APPLY_B, FOLLOW_B};
    (void)state;
    breaks(G_RECORD, begun, G_N_ELEMENTS(begun), "the task runs on both machines");
}

static void incarnations_are_needed(void **state)
{
    (void)state;
    breaks(G_INCARNATION, claiming, 5, "one that had refuted was judged");
}

static void breaks_with_a_standby(enum guard g, const enum move *prefix, guint len)
{
    streams = true;
    breaks(g, prefix, len, "the task runs on both machines");
    streams = false;
}

static void each_check_of_a_warm_takeover_is_needed(void **state)
{
    static const enum move begun[] = {IN_STEP, START_A, GO_A,     DOUBT,
                                      CLAIM,   APPLY_B, FOLLOW_B, PASS};
    static const enum move claimed[] = {IN_STEP, START_A,  TELL_LOST, TELL_A,
                                        TELL_A,  GO_A,     DOUBT,     CLAIM,
                                        APPLY_B, FOLLOW_B, PASS};
    static const enum move named[] = {IN_STEP, DOUBT,    CLAIM,    START_A, TELL_LOST,
                                      TELL_A,  RECORD_A, FOLLOW_A, TELL_A,  GO_A,
                                      APPLY_B, FOLLOW_B, PASS};
    static const enum move held[] = {IN_STEP, START_A, TELL_A,   GO_A, DOUBT,
                                     CLAIM,   APPLY_B, FOLLOW_B, PASS};
    /* The owner starts again, claims what was its own, and has nobody in step yet. */
    static const enum move again[] = {IN_STEP,    RESTART_A,  FOLLOW_A,   CLAIM_A,
                                      APPLY_A,    FOLLOW_A,   REPORT_A_0, REPORT_A_0,
                                      REPORT_A_1, REPORT_A_1, FOLLOW_B,   DOUBT,
                                      CLAIM,      APPLY_B,    FOLLOW_B,   PASS};
    (void)state;
    breaks_with_a_standby(G_TERM, again, G_N_ELEMENTS(again));
    breaks_with_a_standby(G_ACKNOWLEDGE, begun, G_N_ELEMENTS(begun));
    breaks_with_a_standby(G_STRIKE, claimed, G_N_ELEMENTS(claimed));
    breaks_with_a_standby(G_NAMED, named, G_N_ELEMENTS(named));
    breaks_with_a_standby(G_HOLD, held, G_N_ELEMENTS(held));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keeps_the_rules),
        cmocka_unit_test(accounting_is_needed),
        cmocka_unit_test(tokens_are_needed),
        cmocka_unit_test(records_are_needed),
        cmocka_unit_test(incarnations_are_needed),
        cmocka_unit_test(keeps_the_rules_with_a_standby),
        cmocka_unit_test(each_check_of_a_warm_takeover_is_needed),
    };
    lmn_log_level = LMN_LOG_ERROR;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
