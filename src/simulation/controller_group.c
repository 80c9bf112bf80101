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

static struct timespec stamp(double seconds)
{
    return lmn_time_add((struct timespec){1000, 0}, seconds);
}

static double uniform(struct group *group, double most)
{
    return most > 0 ? g_rand_double_range(group->rng, 0, most) : 0;
}

/* One way through the network: what is lost is sent again. */
static double way(struct group *group)
{
    double seconds = 0.0005 + uniform(group, 0.0005), again = 0.2;

    while (group->o->loss > 0 && g_rand_double(group->rng) < group->o->loss) {
        seconds += again;
        again *= 2;
    }
    return seconds;
}

static double of_state(struct group *group)
{
    return way(group) + group->o->state_s * g_rand_double_range(group->rng, 0.5, 2) +
           way(group);
}

static bool runs(const struct group *group, int i)
{
    return !group->nodes[i].dead && group->now >= group->nodes[i].stalled;
}

static void log_change(struct group *group, int of, bool doubt)
{
    struct change c = {of, doubt, doubt ? group->doubt[of] : group->member[of],
                       group->now};

    g_array_append_val(group->log, c);
}

/* --- the state service --- */

static void apply(struct group *group, const struct write *w)
{
    if (w->verdict) {
        /* Conditional on the incarnation. */
        if (group->member[w->of].rev != w->inc)
            return;
        if (!group->nodes[w->of].dead)
            group->r->false_verdicts++;
        group->judged[w->of] = true;
        /* Whoever is judged and lives notices, and writes its record anew. */
        if (!group->nodes[w->of].dead) {
            group->member[w->of].rev = ++group->rev;
            log_change(group, w->of, false);
        }
    } else if (w->doubt) {
        if (group->doubt[w->of].rev != w->doubt_rev)
            return;
        group->doubt[w->of] = (struct record){++group->rev, w->by, w->inc, w->why};
        group->r->suspicions++;
        group->suspected[w->of] = true;
        log_change(group, w->of, true);
    } else {
        group->member[w->of].rev = ++group->rev;
        group->r->refutations++;
        log_change(group, w->of, false);
    }
}

static void service(struct group *group)
{
    for (guint i = 0; i < group->writes->len;) {
        struct write w = g_array_index(group->writes, struct write, i);
        if (w.at > group->now) {
            i++;
            continue;
        }
        g_array_remove_index(group->writes, i);
        apply(group, &w);
    }
}

static void send(struct group *group, struct write w)
{
    w.at = group->now + of_state(group);
    g_array_append_val(group->writes, w);
}

/* --- a node --- */

static void follow(struct group *group, struct node *n)
{
    if (group->now < n->look_back)
        return;
    if (n->look_back > 0) {
        for (; n->seen < group->log->len; n->seen++) {
            const struct change *c = &g_array_index(group->log, struct change, n->seen);
            if (c->at > n->look_back)
                break;
            if (c->doubt)
                lmn_member_apply_suspicion(&n->ms, c->of, c->r.rev, c->r.inc,
                                           group->nodes[c->r.by].cfg.node_name, c->r.why,
                                           stamp(group->now));
            else
                lmn_member_apply_record(&n->ms, c->of, c->r.rev, 1, stamp(group->now));
            if (c->of == n->ms.self && !c->doubt)
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
    for (int i = 0; i < n->ms.count; i++)
        if (lmn_member_is_suspected(&n->ms, i))
            wait = MIN(wait, 0.2);
    n->look_sent = group->now + PAUSE_S;
    n->look_back =
        n->look_sent + (n->seen < group->log->len ? 0 : wait) + of_state(group);
}

/* Changes cut a wait short. */
static void awake_look(struct group *group, struct node *n)
{
    if (n->seen < group->log->len && n->look_sent <= group->now) {
        double c = g_array_index(group->log, struct change, n->seen).at;
        double soon = MAX(c, n->look_sent) + of_state(group);
        if (c + 0.5 > group->now)
            n->look_back = MIN(n->look_back, MAX(soon, group->now));
    }
}

static bool refused(const struct group *group)
{
    return group->o->refused_s > 0 && group->now < group->refused + REFUSED_FOR_S &&
           group->now >= group->refused;
}

static void tell(struct group *group, struct node *from, struct node *to, int about)
{
    struct lmn_gossip_statement s[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned n = lmn_member_gossip(&from->ms, to->ms.self, about, stamp(group->now), s);

    for (unsigned i = 0; i < n; i++)
        lmn_member_record_gossip(&to->ms, from->ms.self, &s[i], stamp(group->now));
}

static void ask(struct group *group, struct node *n)
{
    double wait;

    if (n->asking) {
        struct node *o = &group->nodes[n->q.member];
        if (n->answer > 0 && group->now >= n->answer && n->answer <= n->give_up) {
            struct lmn_member_health w = o->ms.health;
            n->asking = false;
            lmn_member_record_probe_reply(&n->ms, n->q.member, &w, stamp(n->sent),
                                          stamp(group->now));
            tell(group, o, n, n->q.about);
        } else if (group->now >= n->give_up) {
            n->asking = false;
            lmn_member_record_probe_timeout(&n->ms, n->q.member, stamp(n->sent),
                                            stamp(group->now));
        }
        return;
    }
    if (!lmn_member_next_probe(&n->ms, group->rng, stamp(group->now), &n->q, &wait))
        return;
    group->r->questions++;
    struct node *o = &group->nodes[n->q.member];
    n->asking = true;
    n->sent = group->now;
    n->give_up = group->now + n->q.timeout_s;
    n->answer = 0;
    if (refused(group) || o->dead) {
        n->give_up = group->now + STEP_S;
        return;
    }
    double there =
        MAX(group->now + way(group), o->stalled) + uniform(group, group->o->late_s);
    n->answer = there + way(group);
    if (there <= n->give_up) {
        struct lmn_member_health w = n->ms.health;
        lmn_member_record_contact(&o->ms, n->ms.self, &w, stamp(group->now),
                                  stamp(group->now));
        tell(group, n, o, n->q.about);
        if (n->q.about >= 0)
            lmn_member_request_probe(&o->ms, n->q.about, stamp(group->now));
    }
}

/* How a rule that knows no suspicion judges. */
static bool plainly(const struct group *group, const struct node *n, int i)
{
    const struct lmn_member_view *member = &n->ms.views[i];

    if (!member->ever_contacted || !member->unanswered_since.tv_sec)
        return false;
    double seconds = lmn_time_diff_s(stamp(group->now), member->unanswered_since);
    return group->o->rule == LMN_GROUP_RULE_FIXED_TIMEOUT
               ? seconds >= group->o->threshold
               : lmn_phi_accrual_phi(&member->reply_times, seconds) >=
                     group->o->threshold;
}

static void hold(struct group *group, struct node *n)
{
    struct timespec now = stamp(group->now);
    struct lmn_failure_evidence e;

    if (!n->refuting && lmn_self_should_refute(&n->ms, now)) {
        n->refuting = true;
        send(group, (struct write){.of = n->ms.self, .by = n->ms.self});
    }
    for (int i = 0; i < n->ms.count; i++) {
        uint64_t inc = n->ms.views[i].incarnation;
        if (i == n->ms.self || n->judging[i])
            continue;
        if (group->o->rule == LMN_GROUP_RULE_PRODUCT) {
            if (!n->wrote_doubt[i] && lmn_member_should_suspect(&n->ms, i, now, &e)) {
                n->wrote_doubt[i] = true;
                send(group, (struct write){.of = i,
                                           .by = n->ms.self,
                                           .doubt = true,
                                           .inc = inc,
                                           .doubt_rev = n->ms.views[i].suspicion_revision,
                                           .why = e.cause});
            }
            if (!lmn_member_is_declared_failed(&n->ms, i, now))
                continue;
        } else if (!plainly(group, n, i)) {
            continue;
        }
        n->judging[i] = true;
        send(group,
             (struct write){.of = i, .by = n->ms.self, .verdict = true, .inc = inc});
    }
}

static void step(struct group *group, int i)
{
    struct node *n = &group->nodes[i];

    awake_look(group, n);
    follow(group, n);
    if (group->now >= n->next_tick) {
        double late = MAX(group->now - n->last_tick - TICK_S, 0);
        lmn_members_tick(&n->ms, late, stamp(group->now));
        n->ms.health.delay_s = MAX(late, n->ms.health.delay_s * 0.9);
        n->last_tick = group->now;
        n->next_tick = group->now + TICK_S + uniform(group, group->o->late_s);
    }
    ask(group, n);
    if (group->now >= n->next_holder) {
        hold(group, n);
        n->next_holder = group->now + n->ms.timeouts.probe_interval_s / 4 +
                         uniform(group, group->o->late_s);
    }
}

static void troubles(struct group *group)
{
    const struct lmn_controller_group_options *o = group->o;

    for (int i = 0; i < o->members && o->stalls_s > 0; i++)
        if (runs(group, i) && g_rand_double(group->rng) < STEP_S / o->stalls_s)
            group->nodes[i].stalled = group->now + uniform(group, o->stall_s);
    if (o->refused_s > 0 && group->now > group->refused + REFUSED_FOR_S &&
        g_rand_double(group->rng) < STEP_S / o->refused_s)
        group->refused = group->now;
    for (int i = 0; i < o->dead && group->now >= o->dead_at; i++)
        if (!group->nodes[i].dead)
            group->nodes[i].dead = group->now;
}

static void set_up(struct group *group, int i)
{
    struct node *n = &group->nodes[i];

    g_snprintf(n->cfg.node_name, LMN_NAME_SIZE, "n%02d", i);
    n->cfg.lease_s = group->o->lease_s;
    n->cfg.heartbeat_s = group->o->report_s;
    for (int k = 0; k < group->o->members; k++)
        if (k != i)
            g_snprintf(n->cfg.members[n->cfg.member_count++].name, LMN_NAME_SIZE, "n%02d",
                       k);
    lmn_members_init(&n->ms, &n->cfg, stamp(0));
    n->next_tick = uniform(group, TICK_S);
    n->next_holder = uniform(group, TICK_S);
    group->member[i].rev = ++group->rev;
    log_change(group, i, false);
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
