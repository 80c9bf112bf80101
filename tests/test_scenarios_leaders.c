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
    if (!w.broken)
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
    for (int part = 0; part < w.layout.nodes; part++) {
        int owners = 0;
        for (int i = 0; i < w.layout.nodes; i++) {
            const struct lmn_core *core = w.nodes[i].core;
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
    if (!recovery.over || w.broken)
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
    if (!recovery.over || w.now < recovery.over) {
        recovery.starts = w.starts;
        return;
    }
    if (recovery.began < 0 && w.starts > recovery.starts)
        recovery.began = w.now - recovery.over;
    if (recovery.ready < 0 && all_partitions_ready())
        recovery.ready = w.now - recovery.over;
    if ((recovery.began >= 0 && recovery.ready >= 0) || w.now > recovery.over + 30)
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

static uint64_t terms[MOST_NODES];

static void old_reports_begin(void)
{
    memset(terms, 0, sizeof terms);
}

/* Whether a controller has begun as a partition's leader since the step before. */
static bool leader_began(void)
{
    bool began = false;

    for (int part = 0; part < w.layout.nodes; part++) {
        uint64_t epoch = world_term(part);
        began = began || epoch > terms[part];
        terms[part] = MAX(terms[part], epoch);
    }
    return began;
}

/* A leader ends, or loses its partition, with or without machines that can't be asked. */
static void change_leader(void)
{
    int who = world_leader();

    if (world_chance(0.4))
        trouble_begin(T_SHUT_DOOR, 0, scenario_drawn(0.5, w.lease_s));
    trouble_begin(world_chance(0.6) ? T_CRASH : T_REFUSED, who, scenario_drawn(0.1, 8));
}

/* An old report of each machine reaches every controller just as a new leader begins. */
static void old_reports_step(void)
{
    if (scenario_every(10))
        change_leader();
    if (scenario_every(20))
        trouble_begin(T_HANG, 0, scenario_drawn(1, 1.5 * w.lease_s));
    if (scenario_every(30))
        trouble_begin(T_MACHINE_DIES, 0, 0);
    if (scenario_every(8))
        world_cancel_some(0.1);
    if (leader_began() && scenario_time() > 30)
        trouble_begin(T_OLD_REPORTS, 0, 0);
}

static struct total kept_arrived;

/* Reports are held until the next leader has acted, and arrive there. */
static void held_reports_step(void)
{
    w.keep_until = w.now + (scenario_time() < w.layout.steps * STEP_S);
    if (scenario_every(8))
        change_leader();
    if (scenario_every(20))
        trouble_begin(T_DEAF_MACHINE, 0, scenario_drawn(1, w.lease_s));
    if (scenario_every(8))
        world_cancel_some(0.1);
    add_up(&kept_arrived, w.kept_arrived);
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

static void away_draw(struct plan *p, GRand *r)
{
    scenario_usual_draw(p, r);
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
            trouble_begin(T_SHUT_DOOR, 0, away.s[i] + 3);
        if (!scenario_at(away.at[i]))
            continue;
        world_cancel_some(0.1);
        int first = g_rand_int_range(w.r, 0, w.layout.nodes);
        for (int k = 0; k < w.layout.nodes; k++)
            trouble_begin(away.still[i] ? T_FREEZE : T_CRASH, k,
                          away.s[i] + (k == first ? 0 : scenario_drawn(0, 6)));
        recovery_from(w.now + away.s[i]);
    }
    recovery_step();
}

/* --- ten leaders in two minutes --- */

static struct {
    double outage_at, outage_s;
} changes;
static unsigned leaders_changed;

static void changes_draw(struct plan *p, GRand *r)
{
    scenario_usual_draw(p, r);
    changes.outage_at = g_rand_double_range(r, 45, 70);
    changes.outage_s = g_rand_double_range(r, 3, 20);
}

/* The leader ends every eight seconds, also while the state service is down for all. */
static void changes_step(void)
{
    static const enum trouble kinds[] = {T_CRASH, T_REFUSED, T_LEAVE, T_FREEZE,
                                         T_ISOLATED};

    if (scenario_at(changes.outage_at)) {
        trouble_begin(T_OUTAGE, 0, changes.outage_s);
        recovery_from(w.now + changes.outage_s);
    }
    for (int i = 0; i < 10; i++)
        if (scenario_at(30.05 + 8 * i)) {
            enum trouble k = kinds[g_rand_int_range(w.r, 0, G_N_ELEMENTS(kinds))];
            if (world_chance(0.5))
                trouble_begin(T_SHUT_DOOR, 0, scenario_drawn(1, w.lease_s));
            trouble_begin(k, world_leader(), scenario_drawn(0.2, 6));
            leaders_changed += !w.broken;
        }
    if (scenario_every(8))
        world_cancel_some(0.1);
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

static void alone_draw(struct plan *p, GRand *r)
{
    scenario_usual_draw(p, r);
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
            trouble_begin(world_chance(0.5) ? T_LEAVE : T_CRASH,
                          g_rand_int_range(w.r, 0, w.layout.nodes),
                          scenario_drawn(0.05, 1));
        if (!scenario_at(alone.at[i]))
            continue;
        int first = g_rand_int_range(w.r, 0, w.layout.nodes);
        for (int k = 0; k < w.layout.nodes; k++)
            trouble_begin(T_CRASH, k, k == first ? alone.first_s[i] : alone.rest_s[i]);
        recovery_from(w.now + alone.first_s[i]);
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
static void zone_draw(struct plan *p, GRand *r)
{
    scenario_usual_draw(p, r);
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
        zone.who = world_leader();
        trouble_begin(T_ZONE, zone.who, zone.workers_s);
        trouble_begin(T_REFUSED, zone.who, zone.state_s);
        w.nodes[zone.who].zone_until = w.now + zone.peers_s;
        trouble_begin(T_CLOUD, 0, zone.cloud_s);
        recovery_from(w.now + MAX(zone.state_s, MAX(zone.peers_s, zone.workers_s)));
    }
    if (scenario_between(zone.at, zone.at + zone.workers_s) && world_chance(0.05))
        world_cancel_some(0.1);
    recovery_step();
}

/* --- with the new kinds of faults in the draw --- */

static void late_messages(void)
{
    if (scenario_every(15))
        trouble_begin(T_REPORTS_FOR_NEXT, 0, scenario_drawn(2, 15));
    if (scenario_every(15))
        trouble_begin(T_OLD_REPORTS, 0, 0);
    if (scenario_every(20))
        trouble_begin(T_LATE_REPORTS, 0, scenario_drawn(2, 10));
    if (scenario_every(30))
        trouble_begin(T_NEW_MACHINES, 0, 0);
    if (scenario_every(30))
        trouble_begin(T_LATE_WRITES, 0, scenario_drawn(1, 5));
}

/* A leader ends while machines with long tasks can't be reached, or don't hear. */
static void unreached_step(void)
{
    late_messages();
    if (scenario_every(15)) {
        int who = world_leader();
        trouble_begin(world_chance(0.5) ? T_DEAF_MACHINE : T_HANG, who,
                      scenario_drawn(0.5, 1.5 * w.lease_s));
        trouble_begin(T_CRASH, who, scenario_drawn(0.2, 20));
    }
    if (scenario_every(30))
        trouble_begin(T_CLOUD, 0, scenario_drawn(5, 30));
    if (scenario_every(10))
        world_cancel_some(0.1);
}

/* A leader that has only its workers and users, while jobs are cancelled through the new
 * one. */
static void isolated_step(void)
{
    late_messages();
    if (scenario_every(25))
        trouble_begin(T_ISOLATED, world_leader(), scenario_drawn(1, 1.5 * w.cancel_s));
    if (scenario_every(4))
        world_cancel_some(0.1);
}

/* Jobs of two or three tasks that end far apart, across changes of the leader. */
static void small_jobs_step(void)
{
    late_messages();
    for (int i = 0; i < JOBS; i++)
        if (!w.jobs[i].submitted)
            w.jobs[i].spec.tasks = 2 + (uint32_t)i % 2;
    if (scenario_every(8))
        change_leader();
}

/* --- writes of a controller that has ended --- */

static struct total ended_writers;

/* Writes get no answer; their writer ends at once, is back within a second, and writes
 * anew; then the old ones are carried out. */
static void ended_writer_step(void)
{
    w.late_until = w.now + (scenario_time() < w.layout.steps * STEP_S);
    if (scenario_every(4))
        trouble_begin(T_CRASH, world_leader(), scenario_drawn(0.05, 1));
    if (scenario_every(15))
        trouble_begin(T_LEAVE, world_leader(), 0);
    if (scenario_every(6))
        world_cancel_some(0.1);
    add_up(&ended_writers, w.ended_writers);
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
    add_up(&old_terms, w.old_terms);
    add_up(&old_sessions, w.old_sessions);
}

/* With room on the machines and within the limit: what begins is sent there at once, and
 * does not wait for a report. */
static const struct layout roomy = {3, 18, 1, 1100, 1300, 108, 2};

static void old_commands_draw(struct plan *p, GRand *r)
{
    scenario_usual_draw(p, r);
    p->run_s = g_rand_double_range(r, 15, 25);
}

/* Calls to all machines are held up, and their leader ends; the next one acts, and then
 * the calls arrive. */
static void old_commands_step(void)
{
    if (scenario_every(6)) {
        leader_ends_at = w.now + scenario_drawn(0.5, 2);
        for (int i = 0; i < w.layout.machines; i++)
            w.machines[i].closed_until = leader_ends_at + scenario_drawn(3, 8);
    }
    if (leader_ends_at && w.now >= leader_ends_at) {
        leader_ends_at = 0;
        trouble_begin(world_chance(0.7) ? T_CRASH : T_ISOLATED, world_leader(),
                      scenario_drawn(3, 10));
    }
    if (scenario_every(8))
        world_cancel_some(0.1);
    count_refused_calls();
}

/* Machines hear nothing for longer than their lease, while their reports arrive; calls to
 * them arrive when the next session has begun. */
static void old_sessions_step(void)
{
    if (scenario_every(8))
        for (int i = 0; i < w.layout.machines; i++) {
            struct machine *machine = &w.machines[i];
            if (w.now < machine->closed_until || !world_chance(0.4))
                continue;
            machine->unheard_until = w.now + w.lease_s * scenario_drawn(1.02, 1.2);
            machine->closed_until = machine->unheard_until + scenario_drawn(0, 5);
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
        trouble_begin(T_NEW_MACHINES, 0, 0);
        trouble_begin(T_LATE_WRITES, 0, 4);
        trouble_begin(T_SLOW_STATE, world_leader(), 4);
        leader_ends_at = w.now + scenario_drawn(1, 4);
    }
    if (leader_ends_at && w.now >= leader_ends_at) {
        leader_ends_at = 0;
        trouble_begin(T_CRASH, world_leader(), scenario_drawn(0.1, 5));
    }
}

static const struct scenario scenarios[] = {
    {"old reports as a leader begins", old_reports_step, scenario_usual_draw, G_REPORTED,
     R_TWICE, false, 6, old_reports_begin, NULL, NULL},
    {"reports held for the next leader", held_reports_step, scenario_usual_draw,
     G_REPORTED, R_TWICE, false, 6, NULL, held_reports_report, NULL},
    {"all controllers away", away_step, away_draw, G_ACCOUNT, R_TWICE, false, 6,
     recovery_begin, recovery_report, NULL},
    {"ten leaders", changes_step, changes_draw, G_ACCOUNT, R_TWICE, false, 6,
     recovery_begin, changes_report, NULL},
    {"one returns", alone_step, alone_draw, G_ACCOUNT, R_TWICE, false, 6, recovery_begin,
     recovery_report, NULL},
    {"a zone by itself", zone_step, zone_draw, G_FENCE, R_CANCELLED, false, 8,
     recovery_begin, recovery_report, NULL},
    {"a zone by itself: both sides", zone_step, zone_draw, G_ACCOUNT, R_TWICE, false, 4,
     recovery_begin, recovery_report, NULL},
    {"unreached machines, late messages", unreached_step, scenario_usual_draw, G_ACCOUNT,
     R_TWICE, false, 6, NULL, NULL, NULL},
    {"isolated leader, late messages", isolated_step, scenario_usual_draw, G_TOLD,
     R_TWICE, true, 6, NULL, NULL, NULL},
    {"small jobs, late messages", small_jobs_step, scenario_usual_draw, G_DONE,
     R_NOT_DONE, false, 6, NULL, NULL, NULL},
    {"writes of an ended controller", ended_writer_step, scenario_usual_draw, G_LATE,
     ANY_RULE, false, 6, NULL, ended_writer_report, NULL},
    {"commands of an ended leader", old_commands_step, old_commands_draw, G_OLD_TERM,
     R_TWICE, false, 8, leader_ends_begin, old_commands_report, &roomy},
    {"commands for an earlier session", old_sessions_step, old_commands_draw, G_SESSION,
     R_TWICE, false, 6, NULL, old_commands_report, &roomy},
    {"new machines at once", new_machines_step, scenario_usual_draw, G_RECORDED, R_TWICE,
     false, 6, leader_ends_begin, NULL, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
