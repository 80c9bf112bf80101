/* Scenarios in which leaders change while messages are late: old reports, commands and
 * writes of leaders that have ended, controllers that are all away, zones that are cut
 * off. Each with the guard without which such days break a rule. */
#include "scenario.h"

#include <string.h>

/* --- counts --- */

/* A count of the day, summed up over the days with all guards in place. */
struct total {
    unsigned sum, seen; /* up to the step before */
};

static void add_up(struct total *t, unsigned count)
{
    if (count < t->seen) /* another day */
        t->seen = 0;
    if (!simulation.disabled_guard)
        t->sum += count - t->seen;
    t->seen = count;
}

/* --- how long it takes until work starts again --- */

static struct {
    double over; /* the fault that is looked at ended then; 0: none has */
    unsigned starts;
    double began, ready; /* since then; negative: not yet */
} recovery;
/* On days with all guards in place. */
static struct {
    unsigned times, began;
    double first_sum, first_most, ready_sum, ready_most;
} recovered;

/* Each partition has one owner that is ready. */
static bool all_partitions_ready(void)
{
    for (int part = 0; part < simulation.layout.nodes; part++) {
        int owners = 0;
        for (int i = 0; i < simulation.layout.nodes; i++) {
            const struct lmn_core *core = simulation.nodes[i].core;
            owners += core && core->partitions[part].ownership.is_owned &&
                      core->partitions[part].ownership.is_ready;
        }
        if (owners != 1)
            return false;
    }
    return true;
}

static void recovery_ended(void)
{
    if (!recovery.over || simulation.disabled_guard)
        return;
    recovered.times++;
    if (recovery.began >= 0) {
        recovered.began++;
        recovered.first_sum += recovery.began;
        recovered.first_most = MAX(recovered.first_most, recovery.began);
    }
    if (recovery.ready >= 0) {
        recovered.ready_sum += recovery.ready;
        recovered.ready_most = MAX(recovered.ready_most, recovery.ready);
    }
    recovery.over = 0;
}

/* A fault that began now ends then: from there on it is measured. */
static void recovery_from(double over)
{
    recovery_ended();
    recovery.over = over;
    recovery.began = recovery.ready = -1;
}

static void recovery_step(void)
{
    if (!recovery.over || simulation.now < recovery.over) {
        recovery.starts = simulation.starts;
        return;
    }
    if (recovery.began < 0 && simulation.starts > recovery.starts)
        recovery.began = simulation.now - recovery.over;
    if (recovery.ready < 0 && all_partitions_ready())
        recovery.ready = simulation.now - recovery.over;
    if ((recovery.began >= 0 && recovery.ready >= 0) ||
        simulation.now > recovery.over + 30)
        recovery_ended();
}

static void recovery_begin(void)
{
    recovery.over = 0;
}

static void recovery_report(void)
{
    print_message("  %u times, work began again %u times within 30 s: first start after "
                  "%.1f s (mean), %.1f s (most); all partitions ready after %.1f s, "
                  "%.1f s\n",
                  recovered.times, recovered.began,
                  recovered.first_sum / MAX(recovered.began, 1), recovered.first_most,
                  recovered.ready_sum / MAX(recovered.times, 1), recovered.ready_most);
    memset(&recovered, 0, sizeof recovered);
}

/* --- old reports as a new leader begins --- */

static uint64_t terms[MAX_NODES];

static void old_reports_begin(void)
{
    memset(terms, 0, sizeof terms);
}

/* Whether a controller has begun as a partition's leader since the step before. */
static bool leader_began(void)
{
    bool began = false;

    for (int part = 0; part < simulation.layout.nodes; part++) {
        uint64_t epoch = simulation_epoch(part);
        began = began || epoch > terms[part];
        terms[part] = MAX(terms[part], epoch);
    }
    return began;
}

/* A leader ends, or loses its partition, with or without machines that can't be asked. */
static void change_leader(void)
{
    int who = simulation_largest_owner();

    if (simulation_chance(0.4))
        fault_begin(FAULT_PUSH_BLOCKED, 0, scenario_random(0.5, simulation.lease_s));
    fault_begin(simulation_chance(0.6) ? FAULT_CRASH : FAULT_REFUSED, who,
                scenario_random(0.1, 8));
}

/* An old report of each machine reaches every controller just as a new leader begins. */
static void old_reports_step(void)
{
    if (scenario_every(10))
        change_leader();
    if (scenario_every(20))
        fault_begin(FAULT_HANG, 0, scenario_random(1, 1.5 * simulation.lease_s));
    if (scenario_every(30))
        fault_begin(FAULT_MACHINE_DIES, 0, 0);
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
    if (leader_began() && scenario_time() > 30)
        fault_begin(FAULT_OLD_HEARTBEATS, 0, 0);
}

static struct total kept_arrived;

/* Reports are held until the next leader has acted, and arrive there. */
static void held_reports_step(void)
{
    simulation.keep_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(8))
        change_leader();
    if (scenario_every(20))
        fault_begin(FAULT_MACHINE_HEARS_NOTHING, 0,
                    scenario_random(1, simulation.lease_s));
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
    add_up(&kept_arrived, simulation.kept_arrived);
}

static void held_reports_report(void)
{
    print_message("  %u reports arrived after the next leader had acted\n",
                  kept_arrived.sum);
    assert_true(kept_arrived.sum > 0);
}

/* --- all controllers are away --- */

static struct {
    double at[2], s[2];
    bool still[2]; /* they stand still; else they are down */
} away;

static void away_draw(struct schedule *p, GRand *r)
{
    scenario_default_parameters(p, r);
    for (int i = 0; i < 2; i++) {
        away.at[i] = 32 + 42 * i + g_rand_double_range(r, 0, 5);
        away.s[i] = p->lease_s * g_rand_double_range(r, 1.05, 2);
        away.still[i] = g_rand_boolean(r);
    }
}

/* For longer than the leases of workers and controllers; one of them is back first. Calls
 * that were sent before are held up until then. */
static void away_step(void)
{
    for (int i = 0; i < 2; i++) {
        if (scenario_at(away.at[i] - 2))
            fault_begin(FAULT_PUSH_BLOCKED, 0, away.s[i] + 3);
        if (!scenario_at(away.at[i]))
            continue;
        simulation_cancel_jobs(0.1);
        int first = g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
        for (int k = 0; k < simulation.layout.nodes; k++)
            fault_begin(away.still[i] ? FAULT_FREEZE : FAULT_CRASH, k,
                        away.s[i] + (k == first ? 0 : scenario_random(0, 6)));
        recovery_from(simulation.now + away.s[i]);
    }
    recovery_step();
}

/* --- ten leaders in two minutes --- */

static struct {
    double outage_at, outage_s;
} changes;
static unsigned leaders_changed;

static void changes_draw(struct schedule *p, GRand *r)
{
    scenario_default_parameters(p, r);
    changes.outage_at = g_rand_double_range(r, 45, 70);
    changes.outage_s = g_rand_double_range(r, 3, 20);
}

/* The leader ends every eight seconds, also while the state service is down for all. */
static void changes_step(void)
{
    static const enum fault kinds[] = {FAULT_CRASH, FAULT_REFUSED, FAULT_LEAVE,
                                       FAULT_FREEZE, FAULT_ISOLATED};

    if (scenario_at(changes.outage_at)) {
        fault_begin(FAULT_OUTAGE, 0, changes.outage_s);
        recovery_from(simulation.now + changes.outage_s);
    }
    for (int i = 0; i < 10; i++)
        if (scenario_at(30.05 + 8 * i)) {
            enum fault k =
                kinds[g_rand_int_range(simulation.random, 0, G_N_ELEMENTS(kinds))];
            if (simulation_chance(0.5))
                fault_begin(FAULT_PUSH_BLOCKED, 0,
                            scenario_random(1, simulation.lease_s));
            fault_begin(k, simulation_largest_owner(), scenario_random(0.2, 6));
            leaders_changed += !simulation.disabled_guard;
        }
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
    recovery_step();
}

static void changes_report(void)
{
    print_message("  %u leaders were ended\n", leaders_changed);
    recovery_report();
}

/* --- all end, and one returns --- */

static struct {
    double at[2], first_s[2], rest_s[2];
} alone;

static void alone_draw(struct schedule *p, GRand *r)
{
    scenario_default_parameters(p, r);
    for (int i = 0; i < 2; i++) {
        alone.at[i] = 40 + 35 * i + g_rand_double_range(r, 0, 5);
        alone.first_s[i] = g_rand_double_range(r, 0.05, 1);
        alone.rest_s[i] = g_rand_double_range(r, 2, 20);
    }
}

/* Controllers hand over and back; all end, and one is back within a second, before any
 * lease is over, the others much later. */
static void alone_step(void)
{
    for (int i = 0; i < 2; i++) {
        if (scenario_between(alone.at[i] - 12, alone.at[i]) && scenario_every(2))
            fault_begin(simulation_chance(0.5) ? FAULT_LEAVE : FAULT_CRASH,
                        g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                        scenario_random(0.05, 1));
        if (!scenario_at(alone.at[i]))
            continue;
        int first = g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
        for (int k = 0; k < simulation.layout.nodes; k++)
            fault_begin(FAULT_CRASH, k, k == first ? alone.first_s[i] : alone.rest_s[i]);
        recovery_from(simulation.now + alone.first_s[i]);
    }
    recovery_step();
}

/* --- a zone by itself for longer than a lease --- */

static struct {
    double at, state_s, peers_s, workers_s, cloud_s;
    int who;
} zone;

/* The ways back to the state service, to the other controllers and to their workers open
 * one after the other, or in the same step. */
static void zone_draw(struct schedule *p, GRand *r)
{
    scenario_default_parameters(p, r);
    zone.at = g_rand_double_range(r, 35, 40);
    double *ways[] = {&zone.state_s, &zone.peers_s, &zone.workers_s};
    double first = p->lease_s * g_rand_double_range(r, 1.05, 3);
    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++)
        *ways[i] = first + STEP_S * g_rand_int_range(r, 0, 12);
    zone.cloud_s = first + p->cancel_s;
}

/* A controller with its workers, cut from all else; jobs are cancelled through others
 * meanwhile, and their machines can't be returned. */
static void zone_step(void)
{
    if (scenario_at(zone.at)) {
        zone.who = simulation_largest_owner();
        fault_begin(FAULT_ZONE, zone.who, zone.workers_s);
        fault_begin(FAULT_REFUSED, zone.who, zone.state_s);
        simulation.nodes[zone.who].zone_until = simulation.now + zone.peers_s;
        fault_begin(FAULT_CLOUD, 0, zone.cloud_s);
        recovery_from(simulation.now +
                      MAX(zone.state_s, MAX(zone.peers_s, zone.workers_s)));
    }
    if (scenario_between(zone.at, zone.at + zone.workers_s) && simulation_chance(0.05))
        simulation_cancel_jobs(0.1);
    recovery_step();
}

/* --- with the new kinds of faults in the draw --- */

static void late_messages(void)
{
    if (scenario_every(15))
        fault_begin(FAULT_HEARTBEATS_FOR_NEXT_OWNER, 0, scenario_random(2, 15));
    if (scenario_every(15))
        fault_begin(FAULT_OLD_HEARTBEATS, 0, 0);
    if (scenario_every(20))
        fault_begin(FAULT_LATE_HEARTBEATS, 0, scenario_random(2, 10));
    if (scenario_every(30))
        fault_begin(FAULT_NEW_MACHINES, 0, 0);
    if (scenario_every(30))
        fault_begin(FAULT_LATE_WRITES, 0, scenario_random(1, 5));
}

/* A leader ends while machines with long tasks can't be reached, or don't hear. */
static void unreached_step(void)
{
    late_messages();
    if (scenario_every(15)) {
        int who = simulation_largest_owner();
        fault_begin(simulation_chance(0.5) ? FAULT_MACHINE_HEARS_NOTHING : FAULT_HANG,
                    who, scenario_random(0.5, 1.5 * simulation.lease_s));
        fault_begin(FAULT_CRASH, who, scenario_random(0.2, 20));
    }
    if (scenario_every(30))
        fault_begin(FAULT_CLOUD, 0, scenario_random(5, 30));
    if (scenario_every(10))
        simulation_cancel_jobs(0.1);
}

/* A leader that has only its workers and users, while jobs are cancelled through the new
 * one. */
static void isolated_step(void)
{
    late_messages();
    if (scenario_every(25))
        fault_begin(FAULT_ISOLATED, simulation_largest_owner(),
                    scenario_random(1, 1.5 * simulation.cancel_s));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* Jobs of two or three tasks that end far apart, across changes of the leader. */
static void small_jobs_step(void)
{
    late_messages();
    for (int i = 0; i < JOBS; i++)
        if (!simulation.jobs[i].submitted)
            simulation.jobs[i].spec.tasks = 2 + (uint32_t)i % 2;
    if (scenario_every(8))
        change_leader();
}

/* --- writes of a controller that has ended --- */

static struct total ended_writers;

/* Writes get no answer; their writer ends at once, is back within a second, and writes
 * anew; then the old ones are carried out. */
static void ended_writer_step(void)
{
    simulation.late_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(4))
        fault_begin(FAULT_CRASH, simulation_largest_owner(), scenario_random(0.05, 1));
    if (scenario_every(15))
        fault_begin(FAULT_LEAVE, simulation_largest_owner(), 0);
    if (scenario_every(6))
        simulation_cancel_jobs(0.1);
    add_up(&ended_writers, simulation.ended_writers);
}

static void ended_writer_report(void)
{
    print_message("  %u writes arrived in a later life of their writer\n",
                  ended_writers.sum);
    assert_true(ended_writers.sum > 0);
}

/* --- a leader that ends shortly after --- */

static double leader_ends_at;

static void leader_ends_begin(void)
{
    leader_ends_at = 0;
}

/* --- commands of an earlier leader, or for an earlier session --- */

static struct total old_terms, old_sessions;
static void count_refused_calls(void)
{
    add_up(&old_terms, simulation.old_terms);
    add_up(&old_sessions, simulation.old_sessions);
}

/* With room on the machines and within the limit: what begins is sent there at once, and
 * does not wait for a report. */
static const struct layout roomy = {3, 18, 1, 1100, 1300, 108, 2};

static void old_commands_draw(struct schedule *p, GRand *r)
{
    scenario_default_parameters(p, r);
    p->run_s = g_rand_double_range(r, 15, 25);
}

/* Calls to all machines are held up, and their leader ends; the next one acts, and then
 * the calls arrive. */
static void old_commands_step(void)
{
    if (scenario_every(6)) {
        leader_ends_at = simulation.now + scenario_random(0.5, 2);
        for (int i = 0; i < simulation.layout.machines; i++)
            simulation.machines[i].closed_until = leader_ends_at + scenario_random(3, 8);
    }
    if (leader_ends_at && simulation.now >= leader_ends_at) {
        leader_ends_at = 0;
        fault_begin(simulation_chance(0.7) ? FAULT_CRASH : FAULT_ISOLATED,
                    simulation_largest_owner(), scenario_random(3, 10));
    }
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
    count_refused_calls();
}

/* Machines hear nothing for longer than their lease, while their reports arrive; calls to
 * them arrive when the next session has begun. */
static void old_sessions_step(void)
{
    if (scenario_every(8))
        for (int i = 0; i < simulation.layout.machines; i++) {
            struct machine *machine = &simulation.machines[i];
            if (simulation.now < machine->closed_until || !simulation_chance(0.4))
                continue;
            machine->unheard_until =
                simulation.now + simulation.lease_s * scenario_random(1.02, 1.2);
            machine->closed_until = machine->unheard_until + scenario_random(0, 5);
        }
    count_refused_calls();
}

static void old_commands_report(void)
{
    print_message("  %u calls refused for their token, %u for their session alone\n",
                  old_terms.sum, old_sessions.sum);
    assert_true(old_terms.sum + old_sessions.sum > 0);
    old_terms.sum = old_sessions.sum = 0;
}

/* --- machines that are up at once --- */

/* New machines are up within two seconds and get work while writes lag, and the leader
 * ends. They report before anybody has listed them. */
static void new_machines_step(void)
{
    if (scenario_every(5)) {
        fault_begin(FAULT_NEW_MACHINES, 0, 0);
        fault_begin(FAULT_LATE_WRITES, 0, 4);
        fault_begin(FAULT_SLOW_STATE, simulation_largest_owner(), 4);
        leader_ends_at = simulation.now + scenario_random(1, 4);
    }
    if (leader_ends_at && simulation.now >= leader_ends_at) {
        leader_ends_at = 0;
        fault_begin(FAULT_CRASH, simulation_largest_owner(), scenario_random(0.1, 5));
    }
}

static const struct scenario scenarios[] = {
    {"old reports as a leader begins", old_reports_step, scenario_default_parameters,
     GUARD_HEARTBEAT_EPOCH, RULE_RAN_TWICE, false, 6, old_reports_begin, NULL, NULL},
    {"reports held for the next leader", held_reports_step, scenario_default_parameters,
     GUARD_HEARTBEAT_EPOCH, RULE_RAN_TWICE, false, 6, NULL, held_reports_report, NULL},
    {"all controllers away", away_step, away_draw, GUARD_ACCOUNTED, RULE_RAN_TWICE, false,
     6, recovery_begin, recovery_report, NULL},
    {"ten leaders", changes_step, changes_draw, GUARD_ACCOUNTED, RULE_RAN_TWICE, false, 6,
     recovery_begin, changes_report, NULL},
    {"one returns", alone_step, alone_draw, GUARD_ACCOUNTED, RULE_RAN_TWICE, false, 6,
     recovery_begin, recovery_report, NULL},
    {"a zone by itself", zone_step, zone_draw, GUARD_STALE_VIEW, RULE_RAN_CANCELLED,
     false, 8, recovery_begin, recovery_report, NULL},
    {"a zone by itself: both sides", zone_step, zone_draw, GUARD_ACCOUNTED,
     RULE_RAN_TWICE, false, 4, recovery_begin, recovery_report, NULL},
    {"unreached machines, late messages", unreached_step, scenario_default_parameters,
     GUARD_ACCOUNTED, RULE_RAN_TWICE, false, 6, NULL, NULL, NULL},
    {"isolated leader, late messages", isolated_step, scenario_default_parameters,
     GUARD_REPLICATED, RULE_RAN_TWICE, true, 6, NULL, NULL, NULL},
    {"small jobs, late messages", small_jobs_step, scenario_default_parameters,
     GUARD_DONE, RULE_DONE_TOO_EARLY, false, 6, NULL, NULL, NULL},
    {"writes of an ended controller", ended_writer_step, scenario_default_parameters,
     GUARD_LATE_WRITE, ANY_RULE, false, 6, NULL, ended_writer_report, NULL},
    {"commands of an ended leader", old_commands_step, old_commands_draw, GUARD_OLD_EPOCH,
     RULE_RAN_TWICE, false, 8, leader_ends_begin, old_commands_report, &roomy},
    {"commands for an earlier session", old_sessions_step, old_commands_draw,
     GUARD_INCARNATION, RULE_RAN_TWICE, false, 6, NULL, old_commands_report, &roomy},
    {"new machines at once", new_machines_step, scenario_default_parameters,
     GUARD_MACHINE_RECORDED, RULE_RAN_TWICE, false, 6, leader_ends_begin, NULL, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
