#include "simulation/controller_group.h"
#include "membership/membership.h"

#include <string.h>

static const double STEP_S = 0.01, TICK_S = 0.15, LOOK_S = 0.8, PAUSE_S = 0.06;
static const double REFUSED_FOR_S = 10;

/* A record of the state service, and its history of changes. */
struct record {
    uint64_t rev;
    int by;
    uint64_t inc;
    enum lmn_suspicion_cause why;
};

struct change {
    int of;
    bool doubt;
    struct record r;
    double at;
};

/* A write on its way. */
struct write {
    int of, by;
    bool doubt, verdict;
    uint64_t inc, doubt_rev;
    enum lmn_suspicion_cause why;
    double at;
};

struct node {
    struct lmn_settings cfg;
    struct lmn_members ms;
    double stalled, dead; /* until, and since (0: alive) */
    double next_tick, next_holder, last_tick;
    /* the mirror's look under way */
    double look_sent, look_back;
    guint seen;
    /* the question under way */
    bool asking;
    struct lmn_probe q;
    double sent, answer, give_up; /* answer 0: none will come */
    double answered_late;
    bool wrote_doubt[LMN_MAX_MEMBERS + 1], refuting, judging[LMN_MAX_MEMBERS + 1];
};

struct group {
    const struct lmn_controller_group_options *o;
    struct lmn_controller_group_result *r;
    GRand *rng;
    double now, refused;
    uint64_t rev;
    struct record member[LMN_MAX_MEMBERS + 1], doubt[LMN_MAX_MEMBERS + 1];
    GArray *log, *writes;
    struct node *nodes;
    bool suspected[LMN_MAX_MEMBERS + 1], judged[LMN_MAX_MEMBERS + 1];
};

static struct timespec stamp(double s)
{
    return lmn_time_add((struct timespec){1000, 0}, s);
}

static double uniform(struct group *g, double most)
{
    return most > 0 ? g_rand_double_range(g->rng, 0, most) : 0;
}

/* One way through the network: what is lost is sent again. */
static double way(struct group *g)
{
    double s = 0.0005 + uniform(g, 0.0005), again = 0.2;

    while (g->o->loss > 0 && g_rand_double(g->rng) < g->o->loss) {
        s += again;
        again *= 2;
    }
    return s;
}

static double of_state(struct group *g)
{
    return way(g) + g->o->state_s * g_rand_double_range(g->rng, 0.5, 2) + way(g);
}

static bool runs(const struct group *g, int i)
{
    return !g->nodes[i].dead && g->now >= g->nodes[i].stalled;
}

static void log_change(struct group *g, int of, bool doubt)
{
    struct change c = {of, doubt, doubt ? g->doubt[of] : g->member[of], g->now};

    g_array_append_val(g->log, c);
}

/* --- the state service --- */

static void apply(struct group *g, const struct write *w)
{
    if (w->verdict) {
        /* Conditional on the incarnation. */
        if (g->member[w->of].rev != w->inc)
            return;
        if (!g->nodes[w->of].dead)
            g->r->false_verdicts++;
        g->judged[w->of] = true;
        /* Whoever is judged and lives notices, and writes its record anew. */
        if (!g->nodes[w->of].dead) {
            g->member[w->of].rev = ++g->rev;
            log_change(g, w->of, false);
        }
    } else if (w->doubt) {
        if (g->doubt[w->of].rev != w->doubt_rev)
            return;
        g->doubt[w->of] = (struct record){++g->rev, w->by, w->inc, w->why};
        g->r->suspicions++;
        g->suspected[w->of] = true;
        log_change(g, w->of, true);
    } else {
        g->member[w->of].rev = ++g->rev;
        g->r->refutations++;
        log_change(g, w->of, false);
    }
}

static void service(struct group *g)
{
    for (guint i = 0; i < g->writes->len;) {
        struct write w = g_array_index(g->writes, struct write, i);
        if (w.at > g->now) {
            i++;
            continue;
        }
        g_array_remove_index(g->writes, i);
        apply(g, &w);
    }
}

static void send(struct group *g, struct write w)
{
    w.at = g->now + of_state(g);
    g_array_append_val(g->writes, w);
}

/* --- a node --- */

static void follow(struct group *g, struct node *n)
{
    if (g->now < n->look_back)
        return;
    if (n->look_back > 0) {
        for (; n->seen < g->log->len; n->seen++) {
            const struct change *c = &g_array_index(g->log, struct change, n->seen);
            if (c->at > n->look_back)
                break;
            if (c->doubt)
                lmn_member_apply_suspicion(&n->ms, c->of, c->r.rev, c->r.inc,
                                           g->nodes[c->r.by].cfg.node, c->r.why,
                                           stamp(g->now));
            else
                lmn_member_apply_record(&n->ms, c->of, c->r.rev, 1, stamp(g->now));
            if (c->of == n->ms.me && !c->doubt)
                n->refuting = false;
            if (c->doubt)
                n->wrote_doubt[c->of] = false;
            else
                n->judging[c->of] = n->wrote_doubt[c->of] = false;
        }
        lmn_members_record_watch(&n->ms, stamp(n->look_sent));
    }
    /* The next look: as long as nothing changes, or until something does. */
    double wait = LOOK_S;
    for (int i = 0; i < n->ms.n; i++)
        if (lmn_member_is_suspected(&n->ms, i))
            wait = MIN(wait, 0.2);
    n->look_sent = g->now + PAUSE_S;
    n->look_back = n->look_sent + (n->seen < g->log->len ? 0 : wait) + of_state(g);
}

/* Changes cut a wait short. */
static void awake_look(struct group *g, struct node *n)
{
    if (n->seen < g->log->len && n->look_sent <= g->now) {
        double c = g_array_index(g->log, struct change, n->seen).at;
        double soon = MAX(c, n->look_sent) + of_state(g);
        if (c + 0.5 > g->now)
            n->look_back = MIN(n->look_back, MAX(soon, g->now));
    }
}

static bool refused(const struct group *g)
{
    return g->o->refused_s > 0 && g->now < g->refused + REFUSED_FOR_S &&
           g->now >= g->refused;
}

static void tell(struct group *g, struct node *from, struct node *to, int about)
{
    struct lmn_gossip_statement s[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned n = lmn_member_gossip(&from->ms, to->ms.me, about, stamp(g->now), s);

    for (unsigned i = 0; i < n; i++)
        lmn_member_record_gossip(&to->ms, from->ms.me, &s[i], stamp(g->now));
}

static void ask(struct group *g, struct node *n)
{
    double wait;

    if (n->asking) {
        struct node *o = &g->nodes[n->q.rank];
        if (n->answer > 0 && g->now >= n->answer && n->answer <= n->give_up) {
            struct lmn_member_health w = o->ms.word;
            n->asking = false;
            lmn_member_record_probe_reply(&n->ms, n->q.rank, &w, stamp(n->sent),
                                          stamp(g->now));
            tell(g, o, n, n->q.about);
        } else if (g->now >= n->give_up) {
            n->asking = false;
            lmn_member_record_probe_timeout(&n->ms, n->q.rank, stamp(n->sent),
                                            stamp(g->now));
        }
        return;
    }
    if (!lmn_member_next_probe(&n->ms, g->rng, stamp(g->now), &n->q, &wait))
        return;
    g->r->questions++;
    struct node *o = &g->nodes[n->q.rank];
    n->asking = true;
    n->sent = g->now;
    n->give_up = g->now + n->q.patience_s;
    n->answer = 0;
    if (refused(g) || o->dead) {
        n->give_up = g->now + STEP_S;
        return;
    }
    double there = MAX(g->now + way(g), o->stalled) + uniform(g, g->o->late_s);
    n->answer = there + way(g);
    if (there <= n->give_up) {
        struct lmn_member_health w = n->ms.word;
        lmn_member_record_contact(&o->ms, n->ms.me, &w, stamp(g->now), stamp(g->now));
        tell(g, n, o, n->q.about);
        if (n->q.about >= 0)
            lmn_member_request_probe(&o->ms, n->q.about, stamp(g->now));
    }
}

/* How a rule that knows no suspicion judges. */
static bool plainly(const struct group *g, const struct node *n, int i)
{
    const struct lmn_member_view *m = &n->ms.v[i];

    if (!m->ever || !m->unanswered.tv_sec)
        return false;
    double s = lmn_time_diff_s(stamp(g->now), m->unanswered);
    return g->o->rule == LMN_GROUP_RULE_FIXED_TIMEOUT
               ? s >= g->o->threshold
               : lmn_phi_accrual_phi(&m->answers, s) >= g->o->threshold;
}

static void hold(struct group *g, struct node *n)
{
    struct timespec now = stamp(g->now);
    struct lmn_failure_evidence e;

    if (!n->refuting && lmn_self_should_refute(&n->ms, now)) {
        n->refuting = true;
        send(g, (struct write){.of = n->ms.me, .by = n->ms.me});
    }
    for (int i = 0; i < n->ms.n; i++) {
        uint64_t inc = n->ms.v[i].inc;
        if (i == n->ms.me || n->judging[i])
            continue;
        if (g->o->rule == LMN_GROUP_RULE_PRODUCT) {
            if (!n->wrote_doubt[i] && lmn_member_should_suspect(&n->ms, i, now, &e)) {
                n->wrote_doubt[i] = true;
                send(g, (struct write){.of = i,
                                       .by = n->ms.me,
                                       .doubt = true,
                                       .inc = inc,
                                       .doubt_rev = n->ms.v[i].doubt_rev,
                                       .why = e.cause});
            }
            if (!lmn_member_is_declared_failed(&n->ms, i, now))
                continue;
        } else if (!plainly(g, n, i)) {
            continue;
        }
        n->judging[i] = true;
        send(g, (struct write){.of = i, .by = n->ms.me, .verdict = true, .inc = inc});
    }
}

static void step(struct group *g, int i)
{
    struct node *n = &g->nodes[i];

    awake_look(g, n);
    follow(g, n);
    if (g->now >= n->next_tick) {
        double late = MAX(g->now - n->last_tick - TICK_S, 0);
        lmn_members_tick(&n->ms, late, stamp(g->now));
        n->ms.word.behind_s = MAX(late, n->ms.word.behind_s * 0.9);
        n->last_tick = g->now;
        n->next_tick = g->now + TICK_S + uniform(g, g->o->late_s);
    }
    ask(g, n);
    if (g->now >= n->next_holder) {
        hold(g, n);
        n->next_holder = g->now + n->ms.t.every_s / 4 + uniform(g, g->o->late_s);
    }
}

static void troubles(struct group *g)
{
    const struct lmn_controller_group_options *o = g->o;

    for (int i = 0; i < o->members && o->stalls_s > 0; i++)
        if (runs(g, i) && g_rand_double(g->rng) < STEP_S / o->stalls_s)
            g->nodes[i].stalled = g->now + uniform(g, o->stall_s);
    if (o->refused_s > 0 && g->now > g->refused + REFUSED_FOR_S &&
        g_rand_double(g->rng) < STEP_S / o->refused_s)
        g->refused = g->now;
    for (int i = 0; i < o->dead && g->now >= o->dead_at; i++)
        if (!g->nodes[i].dead)
            g->nodes[i].dead = g->now;
}

static void set_up(struct group *g, int i)
{
    struct node *n = &g->nodes[i];

    g_snprintf(n->cfg.node, LMN_NAME_SIZE, "n%02d", i);
    n->cfg.lease_s = g->o->lease_s;
    n->cfg.report_s = g->o->report_s;
    for (int k = 0; k < g->o->members; k++)
        if (k != i)
            g_snprintf(n->cfg.members[n->cfg.nmembers++].name, LMN_NAME_SIZE, "n%02d", k);
    lmn_members_init(&n->ms, &n->cfg, stamp(0));
    n->next_tick = uniform(g, TICK_S);
    n->next_holder = uniform(g, TICK_S);
    g->member[i].rev = ++g->rev;
    log_change(g, i, false);
}

static bool all(const bool *v, int n)
{
    for (int i = 0; i < n; i++)
        if (!v[i])
            return false;
    return n > 0;
}

void lmn_simulate_controller_group(const struct lmn_controller_group_options *o,
                                   struct lmn_controller_group_result *r)
{
    struct group g = {.o = o, .r = r, .refused = -1e9};

    memset(r, 0, sizeof *r);
    r->suspected_s = r->judged_s = -1;
    g.rng = g_rand_new_with_seed(o->seed);
    g.log = g_array_new(FALSE, FALSE, sizeof(struct change));
    g.writes = g_array_new(FALSE, FALSE, sizeof(struct write));
    g.nodes = g_new0(struct node, o->members);
    for (int i = 0; i < o->members; i++)
        set_up(&g, i);
    for (guint64 k = 1; k <= (guint64)(o->seconds / STEP_S); k++) {
        g.now = (double)k * STEP_S;
        troubles(&g);
        service(&g);
        for (int i = 0; i < o->members; i++)
            if (runs(&g, i))
                step(&g, i);
        if (r->suspected_s < 0 && all(g.suspected, o->dead) && g.now >= o->dead_at)
            r->suspected_s = g.now - o->dead_at;
        if (all(g.judged, o->dead)) {
            r->judged_s = g.now - o->dead_at;
            break;
        }
    }
    g_array_free(g.log, TRUE);
    g_array_free(g.writes, TRUE);
    g_free(g.nodes);
    g_rand_free(g.rng);
}
