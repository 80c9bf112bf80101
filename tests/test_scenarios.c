/* Meetings of troubles: each a schedule of a day, and the guard without which such days
 * break a rule (simulation/simulation.h). Times, lengths and leases are drawn for each
 * seed. At the end all is well again, and each job that was not cancelled has run. */
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
        gap.who = simulation_largest_owner();
        fault_begin(FAULT_REFUSED, gap.who, gap.refuse_s);
        if (gap.alone)
            fault_begin(FAULT_NODE_LOSES_PEERS, gap.who, gap.outage_s);
    }
    if (scenario_between(gap.at + 0.2, gap.outage_at))
        simulation_cancel_jobs(0.1);
    if (scenario_at(gap.outage_at))
        fault_begin(FAULT_OUTAGE, 0, gap.outage_s);
}

static void gap_draw(struct schedule *p, GRand *r)
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
    static uint64_t token[MAX_MACHINES];

    if (scenario_at(gap.at)) {
        gap.who = simulation_largest_owner();
        fault_begin(FAULT_ISOLATED, gap.who, gap.outage_s);
        fault_begin(FAULT_CLOUD, 0, gap.outage_s);
        for (int i = 0; i < simulation.layout.machines; i++)
            if (simulation.machines[i].node == gap.who) {
                simulation.machines[i].island = gap.who;
                simulation.machines[i].island_until = simulation.now + gap.refuse_s;
                simulation.machines[i].closed_until = simulation.now + gap.outage_s;
            }
    }
    if (scenario_between(gap.at + 0.2, gap.outage_at))
        simulation_cancel_jobs(0.1);
    for (int i = 0; i < simulation.layout.machines; i++) {
        struct machine *machine = &simulation.machines[i];
        if (scenario_between(gap.at + 1, gap.at + gap.outage_s) &&
            machine->token > token[i] && token[i])
            machine->unheard_until = simulation.now + gap.outage_s;
        token[i] = machine->token;
    }
}

static void last_answer_draw(struct schedule *p, GRand *r)
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
        fault_begin(FAULT_SLOW_STATE, gap.who = simulation_largest_owner(), gap.outage_s);
    if (scenario_between(gap.outage_at - 3, gap.outage_at))
        simulation_cancel_jobs(0.1);
    if (scenario_at(gap.outage_at)) {
        fault_begin(FAULT_OUTAGE, 0, gap.outage_s);
        fault_begin(FAULT_NODE_LOSES_PEERS, gap.who, gap.outage_s);
    }
}

static void slow_draw(struct schedule *p, GRand *r)
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
        fault_begin(FAULT_ISOLATED, simulation_largest_owner(),
                    scenario_random(1, 1.5 * simulation.cancel_s));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* --- the others --- */

/* Copies of reports come late, to whoever answered then, or to another, across sessions
 * that end and leaders that hand over and back. */
static void old_reports_step(void)
{
    simulation.copies_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(12))
        fault_begin(FAULT_REFUSED, simulation_largest_owner(), scenario_random(0.2, 8));
    if (scenario_every(20))
        fault_begin(FAULT_HANG, 0, scenario_random(1, 1.5 * simulation.lease_s));
    if (scenario_every(20))
        fault_begin(FAULT_MACHINE_HEARS_NOTHING, 0,
                    scenario_random(1, 1.5 * simulation.lease_s));
}

/* A leader ends while machines with long tasks can't be reached, or don't hear. */
static void unreached_step(void)
{
    if (scenario_every(20)) {
        int who = simulation_largest_owner();
        if (simulation_chance(0.3))
            fault_begin(FAULT_ZONE, who, scenario_random(1, 2 * simulation.lease_s));
        fault_begin(simulation_chance(0.5) ? FAULT_MACHINE_HEARS_NOTHING : FAULT_HANG,
                    who, scenario_random(0.5, 1.5 * simulation.lease_s));
        if (simulation_chance(0.2))
            fault_begin(FAULT_CRASH_ALL, 0, scenario_random(0.2, 5));
        else
            fault_begin(FAULT_CRASH, who, scenario_random(0.2, 20));
    }
    if (scenario_every(30))
        fault_begin(FAULT_CLOUD, 0, scenario_random(5, 30));
    if (scenario_every(10))
        simulation_cancel_jobs(0.1);
}

/* Commands sent straight to a machine are held up, and come while it goes on; terms,
 * sessions and owners change meanwhile. */
static void held_step(void)
{
    if (scenario_every(5))
        fault_begin(FAULT_PUSH_BLOCKED, 0, scenario_random(0.3, simulation.lease_s));
    if (scenario_every(15))
        fault_begin(FAULT_HANG, 0, scenario_random(0.5, 1.5 * simulation.lease_s));
    if (scenario_every(20))
        fault_begin(simulation_chance(0.5) ? FAULT_CRASH : FAULT_REFUSED,
                    simulation_largest_owner(), scenario_random(0.2, 8));
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
}

/* Transactions get no answer and are carried out after newer ones of their controller. */
static void late_writes_step(void)
{
    simulation.late_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(15))
        fault_begin(simulation_chance(0.5) ? FAULT_CRASH : FAULT_FREEZE,
                    simulation_largest_owner(), scenario_random(0.2, 8));
    if (scenario_every(15))
        fault_begin(FAULT_LEAVE, simulation_largest_owner(), 0);
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
}

/* Controllers are back before anybody noticed, one, several or all, again and again. */
static void lives_step(void)
{
    simulation.late_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(6))
        fault_begin(FAULT_CRASH,
                    g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                    scenario_random(0.05, 1));
    if (scenario_every(20))
        fault_begin(FAULT_CRASH_ALL, 0, scenario_random(0.05, 1));
    if (scenario_every(10))
        fault_begin(FAULT_NODE_LOSES_PEERS,
                    g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                    scenario_random(0.3, 4));
    if (scenario_every(20))
        fault_begin(FAULT_LEAVE,
                    g_rand_int_range(simulation.random, 0, simulation.layout.nodes), 0);
}

/* Jobs of two or three tasks that end far apart. */
static void apart_step(void)
{
    for (int i = 0; i < JOBS; i++)
        if (!simulation.jobs[i].submitted)
            simulation.jobs[i].spec.tasks = 2 + (uint32_t)i % 2;
    if (scenario_every(8))
        fault_begin(simulation_chance(0.6) ? FAULT_CRASH : FAULT_REFUSED,
                    simulation_largest_owner(), scenario_random(0.1, 6));
    if (scenario_every(20))
        fault_begin(FAULT_MACHINE_DIES, 0, 0);
    if (scenario_every(30))
        fault_begin(FAULT_LATE_WRITES, 0, 5);
}

/* --- each with each --- */

static unsigned met[FAULT_COUNT][FAULT_COUNT];
static double until[FAULT_COUNT], when[3];

static void begin(enum fault k)
{
    double s = simulation_chance(0.3)   ? scenario_random(0.1, 1)
               : simulation_chance(0.6) ? scenario_random(1, 10)
                                        : scenario_random(5, 1.3 * simulation.cancel_s);

    for (int o = 0; o < FAULT_COUNT; o++)
        if (until[o] > simulation.now) {
            met[k][o]++;
            met[o][k] += o != (int)k;
        }
    until[k] = simulation.now + MAX(s, 1);
    fault_begin(k,
                simulation_chance(0.6)
                    ? simulation_largest_owner()
                    : g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                s);
}

/* The two that have met most seldom, and often a third, within a second. */
static void pairs_step(void)
{
    static enum fault next[3];

    for (int i = 0; i < 3; i++)
        if (when[i] && simulation.now >= when[i]) {
            when[i] = 0;
            begin(next[i]);
        }
    if (!scenario_every(12))
        return;
    unsigned least = ~0u;
    for (int a = 0; a < FAULT_COUNT; a++)
        for (int b = 0; b <= a; b++) {
            unsigned n =
                2 * met[a][b] + (unsigned)g_rand_int_range(simulation.random, 0, 2);
            if (n < least) {
                least = n;
                next[0] = (enum fault)a;
                next[1] = (enum fault)b;
            }
        }
    next[2] = (enum fault)g_rand_int_range(simulation.random, 0, FAULT_COUNT);
    when[0] = simulation.now;
    when[1] = simulation.now + scenario_random(0, 0.9);
    when[2] = simulation_chance(0.5) ? simulation.now + scenario_random(0, 0.9) : 0;
}

static void pairs_draw(struct schedule *p, GRand *r)
{
    scenario_default_parameters(p, r);
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

    for (int a = 0; a < FAULT_COUNT; a++)
        for (int b = 0; b <= a; b++) {
            pairs++;
            times += met[a][b];
            if (!met[a][b]) {
                missed++;
                print_message("%s and %s have not met\n", fault_name((enum fault)a),
                              fault_name((enum fault)b));
            }
        }
    print_message("%u of %u pairs of troubles have met, %u times\n", pairs - missed,
                  pairs, times);
    assert_int_equal(missed, 0);
}

static const struct scenario scenarios[] = {
    {"gap", gap_step, gap_draw, GUARD_STALE_VIEW, RULE_RAN_CANCELLED, false, 8, NULL,
     NULL, NULL},
    {"last answer", last_answer_step, last_answer_draw, GUARD_KILL_CANCELLED,
     RULE_RAN_CANCELLED, false, 8, NULL, NULL, NULL},
    {"slow state service", slow_step, slow_draw, GUARD_VIEW_AGE, RULE_RAN_CANCELLED,
     false, 8, NULL, NULL, NULL},
    {"isolated leader", isolated_step, scenario_default_parameters, GUARD_REPLICATED,
     RULE_RAN_TWICE, true, 8, NULL, NULL, NULL},
    {"old reports", old_reports_step, scenario_default_parameters, GUARD_HEARTBEAT_ORDER,
     RULE_RAN_TWICE, false, 8, NULL, NULL, NULL},
    {"unreached machines", unreached_step, scenario_default_parameters, GUARD_ACCOUNTED,
     RULE_RAN_TWICE, false, 8, NULL, NULL, NULL},
    {"held commands", held_step, scenario_default_parameters, GUARD_UNCERTAIN_PUSH,
     RULE_RAN_TWICE, false, 8, NULL, NULL, NULL},
    {"late writes", late_writes_step, scenario_default_parameters, GUARD_LATE_WRITE,
     ANY_RULE, false, 8, NULL, NULL, NULL},
    {"lives", lives_step, scenario_default_parameters, GUARD_ANNOUNCE, NOT_RECOVERED,
     false, 8, NULL, NULL, NULL},
    {"small jobs", apart_step, scenario_default_parameters, GUARD_DONE,
     RULE_DONE_TOO_EARLY, false, 8, NULL, NULL, NULL},
    {"pairs", pairs_step, pairs_draw, GUARD_ACCOUNTED, RULE_RAN_TWICE, false, 64,
     pairs_begin, all_have_met, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
