/* Meetings of troubles: each a schedule of a day, and the guard without which such days
 * break a rule (world/world.h). Times, lengths and leases are drawn for each seed. At the
 * end all is well again, and each job that was not cancelled has run. */
#include "scenario.h"

#include <string.h>

/* --- a cancellation that the owner can't see --- */

static struct {
    double at, refuse_s, outage_at, outage_s;
    bool alone; /* the other controllers don't reach it either: nobody can tell it */
    int who;
} gap;

/* The state service refuses the leader alone; others confirm cancellations; then it is
 * down for everybody, for longer than cancel_s, while workers go on reporting to the
 * leader. */
static void gap_step(void)
{
    if (scenario_at(gap.at)) {
        gap.who = world_leader();
        trouble_begin(T_REFUSED, gap.who, gap.refuse_s);
        if (gap.alone)
            trouble_begin(T_MUTE_NODE, gap.who, gap.outage_s);
    }
    if (scenario_between(gap.at + 0.2, gap.outage_at))
        world_cancel_some(0.1);
    if (scenario_at(gap.outage_at))
        trouble_begin(T_OUTAGE, 0, gap.outage_s);
}

static void gap_draw(struct plan *p, GRand *r)
{
    p->lease_s = g_rand_double_range(r, 5, 14);
    p->cancel_s = p->lease_s + g_rand_double_range(r, 4, 24);
    p->run_s = 3 * p->cancel_s;
    gap.at = 40 + g_rand_double_range(r, 0, 5);
    gap.outage_at = gap.at + g_rand_double_range(r, 0.4, 3);
    gap.refuse_s = gap.outage_at - gap.at + 1;
    gap.outage_s = p->cancel_s * g_rand_double_range(r, 1.1, 2);
    gap.alone = g_rand_boolean(r);
}

/* A zone by itself with its controller, whom the state service refuses: it answers its
 * workers until the fence. They come to the successor, which could not ask them, when
 * their leases are nearly over, hear its first answer and nothing more. */
static void last_answer_step(void)
{
    static uint64_t token[MOST_MACHINES];

    if (scenario_at(gap.at)) {
        gap.who = world_leader();
        trouble_begin(T_ISOLATED, gap.who, gap.outage_s);
        trouble_begin(T_CLOUD, 0, gap.outage_s);
        for (int i = 0; i < w.layout.machines; i++)
            if (w.machines[i].node == gap.who) {
                w.machines[i].island = gap.who;
                w.machines[i].island_until = w.now + gap.refuse_s;
                w.machines[i].closed_until = w.now + gap.outage_s;
            }
    }
    if (scenario_between(gap.at + 0.2, gap.outage_at))
        world_cancel_some(0.1);
    for (int i = 0; i < w.layout.machines; i++) {
        struct machine *machine = &w.machines[i];
        if (scenario_between(gap.at + 1, gap.at + gap.outage_s) &&
            machine->token > token[i] && token[i])
            machine->unheard_until = w.now + gap.outage_s;
        token[i] = machine->token;
    }
}

static void last_answer_draw(struct plan *p, GRand *r)
{
    p->lease_s = g_rand_double_range(r, 9, 16);
    p->cancel_s = p->lease_s + g_rand_double_range(r, 4, 8);
    p->run_s = 3 * p->cancel_s;
    gap.at = 40 + g_rand_double_range(r, 0, 5);
    gap.outage_at = gap.at + 1;
    /* The way to others opens when the leader has answered for the last time. */
    gap.refuse_s = p->cancel_s - p->lease_s - MAX(1, 0.05 * p->cancel_s) +
                   g_rand_double_range(r, 0, p->lease_s - 2);
    gap.outage_s = 3 * p->cancel_s;
}

/* The state service answers late, then not at all: a view is as old as its question. */
static void slow_step(void)
{
    if (scenario_at(gap.at))
        trouble_begin(T_SLOW_STATE, gap.who = world_leader(), gap.outage_s);
    if (scenario_between(gap.outage_at - 3, gap.outage_at))
        world_cancel_some(0.1);
    if (scenario_at(gap.outage_at)) {
        trouble_begin(T_OUTAGE, 0, gap.outage_s);
        trouble_begin(T_MUTE_NODE, gap.who, gap.outage_s);
    }
}

static void slow_draw(struct plan *p, GRand *r)
{
    gap_draw(p, r);
    p->cancel_s = p->lease_s + g_rand_double_range(r, 4, 8);
    gap.outage_at = gap.at + g_rand_double_range(r, 5, 8);
    gap.outage_s = 3 * p->cancel_s;
}

/* A leader that has only its workers and users, while jobs are cancelled through others.
 */
static void isolated_step(void)
{
    if (scenario_every(25))
        trouble_begin(T_ISOLATED, world_leader(), scenario_drawn(1, 1.5 * w.cancel_s));
    if (scenario_every(4))
        world_cancel_some(0.1);
}

/* --- the others --- */

/* Copies of reports come late, to whoever answered then, or to another, across sessions
 * that end and leaders that hand over and back. */
static void old_reports_step(void)
{
    w.copies_until = w.now + (scenario_time() < w.layout.steps * STEP_S);
    if (scenario_every(12))
        trouble_begin(T_REFUSED, world_leader(), scenario_drawn(0.2, 8));
    if (scenario_every(20))
        trouble_begin(T_HANG, 0, scenario_drawn(1, 1.5 * w.lease_s));
    if (scenario_every(20))
        trouble_begin(T_DEAF_MACHINE, 0, scenario_drawn(1, 1.5 * w.lease_s));
}

/* A leader ends while machines with long tasks can't be reached, or don't hear. */
static void unreached_step(void)
{
    if (scenario_every(20)) {
        int who = world_leader();
        if (world_chance(0.3))
            trouble_begin(T_ZONE, who, scenario_drawn(1, 2 * w.lease_s));
        trouble_begin(world_chance(0.5) ? T_DEAF_MACHINE : T_HANG, who,
                      scenario_drawn(0.5, 1.5 * w.lease_s));
        if (world_chance(0.2))
            trouble_begin(T_CRASH_ALL, 0, scenario_drawn(0.2, 5));
        else
            trouble_begin(T_CRASH, who, scenario_drawn(0.2, 20));
    }
    if (scenario_every(30))
        trouble_begin(T_CLOUD, 0, scenario_drawn(5, 30));
    if (scenario_every(10))
        world_cancel_some(0.1);
}

/* Commands sent straight to a machine are held up, and come while it goes on; terms,
 * sessions and owners change meanwhile. */
static void held_step(void)
{
    if (scenario_every(5))
        trouble_begin(T_SHUT_DOOR, 0, scenario_drawn(0.3, w.lease_s));
    if (scenario_every(15))
        trouble_begin(T_HANG, 0, scenario_drawn(0.5, 1.5 * w.lease_s));
    if (scenario_every(20))
        trouble_begin(world_chance(0.5) ? T_CRASH : T_REFUSED, world_leader(),
                      scenario_drawn(0.2, 8));
    if (scenario_every(8))
        world_cancel_some(0.1);
}

/* Transactions get no answer and are carried out after newer ones of their controller. */
static void late_writes_step(void)
{
    w.late_until = w.now + (scenario_time() < w.layout.steps * STEP_S);
    if (scenario_every(15))
        trouble_begin(world_chance(0.5) ? T_CRASH : T_FREEZE, world_leader(),
                      scenario_drawn(0.2, 8));
    if (scenario_every(15))
        trouble_begin(T_LEAVE, world_leader(), 0);
    if (scenario_every(8))
        world_cancel_some(0.1);
}

/* Controllers are back before anybody noticed, one, several or all, again and again. */
static void lives_step(void)
{
    w.late_until = w.now + (scenario_time() < w.layout.steps * STEP_S);
    if (scenario_every(6))
        trouble_begin(T_CRASH, g_rand_int_range(w.r, 0, w.layout.nodes),
                      scenario_drawn(0.05, 1));
    if (scenario_every(20))
        trouble_begin(T_CRASH_ALL, 0, scenario_drawn(0.05, 1));
    if (scenario_every(10))
        trouble_begin(T_MUTE_NODE, g_rand_int_range(w.r, 0, w.layout.nodes),
                      scenario_drawn(0.3, 4));
    if (scenario_every(20))
        trouble_begin(T_LEAVE, g_rand_int_range(w.r, 0, w.layout.nodes), 0);
}

/* Jobs of two or three tasks that end far apart. */
static void apart_step(void)
{
    for (int i = 0; i < JOBS; i++)
        if (!w.jobs[i].submitted)
            w.jobs[i].spec.tasks = 2 + (uint32_t)i % 2;
    if (scenario_every(8))
        trouble_begin(world_chance(0.6) ? T_CRASH : T_REFUSED, world_leader(),
                      scenario_drawn(0.1, 6));
    if (scenario_every(20))
        trouble_begin(T_MACHINE_DIES, 0, 0);
    if (scenario_every(30))
        trouble_begin(T_LATE_WRITES, 0, 5);
}

/* --- each with each --- */

static unsigned met[TROUBLES][TROUBLES];
static double until[TROUBLES], when[3];

static void begin(enum trouble k)
{
    double s = world_chance(0.3)   ? scenario_drawn(0.1, 1)
               : world_chance(0.6) ? scenario_drawn(1, 10)
                                   : scenario_drawn(5, 1.3 * w.cancel_s);

    for (int o = 0; o < TROUBLES; o++)
        if (until[o] > w.now) {
            met[k][o]++;
            met[o][k] += o != (int)k;
        }
    until[k] = w.now + MAX(s, 1);
    trouble_begin(
        k, world_chance(0.6) ? world_leader() : g_rand_int_range(w.r, 0, w.layout.nodes),
        s);
}

/* The two that have met most seldom, and often a third, within a second. */
static void pairs_step(void)
{
    static enum trouble next[3];

    for (int i = 0; i < 3; i++)
        if (when[i] && w.now >= when[i]) {
            when[i] = 0;
            begin(next[i]);
        }
    if (!scenario_every(12))
        return;
    unsigned least = ~0u;
    for (int a = 0; a < TROUBLES; a++)
        for (int b = 0; b <= a; b++) {
            unsigned n = 2 * met[a][b] + (unsigned)g_rand_int_range(w.r, 0, 2);
            if (n < least) {
                least = n;
                next[0] = (enum trouble)a;
                next[1] = (enum trouble)b;
            }
        }
    next[2] = (enum trouble)g_rand_int_range(w.r, 0, TROUBLES);
    when[0] = w.now;
    when[1] = w.now + scenario_drawn(0, 0.9);
    when[2] = world_chance(0.5) ? w.now + scenario_drawn(0, 0.9) : 0;
}

static void pairs_draw(struct plan *p, GRand *r)
{
    scenario_usual_draw(p, r);
    p->users = true;
}

static void pairs_begin(void)
{
    memset(until, 0, sizeof until);
    memset(when, 0, sizeof when);
}

static void all_have_met(void)
{
    unsigned pairs = 0, times = 0, missed = 0;

    for (int a = 0; a < TROUBLES; a++)
        for (int b = 0; b <= a; b++) {
            pairs++;
            times += met[a][b];
            if (!met[a][b]) {
                missed++;
                print_message("%s and %s have not met\n", trouble_name((enum trouble)a),
                              trouble_name((enum trouble)b));
            }
        }
    print_message("%u of %u pairs of troubles have met, %u times\n", pairs - missed,
                  pairs, times);
    assert_int_equal(missed, 0);
}

static const struct scenario scenarios[] = {
    {"gap", gap_step, gap_draw, G_FENCE, R_CANCELLED, false, 8, NULL, NULL, NULL},
    {"last answer", last_answer_step, last_answer_draw, G_KILLS, R_CANCELLED, false, 8,
     NULL, NULL, NULL},
    {"slow state service", slow_step, slow_draw, G_SENT, R_CANCELLED, false, 8, NULL,
     NULL, NULL},
    {"isolated leader", isolated_step, scenario_usual_draw, G_TOLD, R_TWICE, true, 8,
     NULL, NULL, NULL},
    {"old reports", old_reports_step, scenario_usual_draw, G_ORDER, R_TWICE, false, 8,
     NULL, NULL, NULL},
    {"unreached machines", unreached_step, scenario_usual_draw, G_ACCOUNT, R_TWICE, false,
     8, NULL, NULL, NULL},
    {"held commands", held_step, scenario_usual_draw, G_UNSURE, R_TWICE, false, 8, NULL,
     NULL, NULL},
    {"late writes", late_writes_step, scenario_usual_draw, G_LATE, ANY_RULE, false, 8,
     NULL, NULL, NULL},
    {"lives", lives_step, scenario_usual_draw, G_ANNOUNCE, NOT_RECOVERED, false, 8, NULL,
     NULL, NULL},
    {"small jobs", apart_step, scenario_usual_draw, G_DONE, R_NOT_DONE, false, 8, NULL,
     NULL, NULL},
    {"pairs", pairs_step, pairs_draw, G_ACCOUNT, R_TWICE, false, 64, pairs_begin,
     all_have_met, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
