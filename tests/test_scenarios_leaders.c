/* Scenarios in which partitions change their owners while messages are late: old
 * heartbeats, commands and writes of owners that have ended, controllers that are all
 * down, isolated zones. Each names the guard without which some of its runs break a
 * rule. */
#include "scenario.h"

#include <string.h>

/* --- counts --- */

/* A count of the simulation, summed over the runs with all guards. */
struct total {
    unsigned sum;
    unsigned last; /* count of this run at the step before */
};

static void add_up(struct total *total, unsigned count)
{
    if (count < total->last) /* another run has begun */
        total->last = 0;
    if (!simulation.disabled_guard)
        total->sum += count - total->last;
    total->last = count;
}

/* --- how long it takes until tasks start again --- */

/* How long after the end of a fault the recovery is measured. */
static const double MAX_MEASURED_S = 30;

static struct {
    double fault_ends_at; /* of the fault that is measured; 0: none is */
    unsigned starts;
    double first_start_s, ready_s; /* after fault_ends_at; negative: not yet */
} recovery;
/* Over the runs with all guards. */
static struct {
    unsigned faults, restarted;
    double first_start_sum_s, first_start_max_s, ready_sum_s, ready_max_s;
} recoveries;

/* Whether each partition has exactly one owner that is ready. */
static bool all_partitions_ready(void)
{
    for (int partition = 0; partition < simulation.layout.nodes; partition++) {
        int owners = 0;
        for (int i = 0; i < simulation.layout.nodes; i++) {
            const struct lmn_core *core = simulation.nodes[i].core;
            owners += core && core->partitions[partition].ownership.is_owned &&
                      core->partitions[partition].ownership.is_ready;
        }
        if (owners != 1)
            return false;
    }
    return true;
}

static void record_recovery(void)
{
    if (!recovery.fault_ends_at || simulation.disabled_guard)
        return;
    recoveries.faults++;
    if (recovery.first_start_s >= 0) {
        recoveries.restarted++;
        recoveries.first_start_sum_s += recovery.first_start_s;
        recoveries.first_start_max_s =
            MAX(recoveries.first_start_max_s, recovery.first_start_s);
    }
    if (recovery.ready_s >= 0) {
        recoveries.ready_sum_s += recovery.ready_s;
        recoveries.ready_max_s = MAX(recoveries.ready_max_s, recovery.ready_s);
    }
    recovery.fault_ends_at = 0;
}

/* Measures the recovery from a fault that has just begun and ends at that time. */
static void measure_recovery(double fault_ends_at)
{
    record_recovery();
    recovery.fault_ends_at = fault_ends_at;
    recovery.first_start_s = recovery.ready_s = -1;
}

static void recovery_step(void)
{
    if (!recovery.fault_ends_at || simulation.now < recovery.fault_ends_at) {
        recovery.starts = simulation.starts;
        return;
    }
    if (recovery.first_start_s < 0 && simulation.starts > recovery.starts)
        recovery.first_start_s = simulation.now - recovery.fault_ends_at;
    if (recovery.ready_s < 0 && all_partitions_ready())
        recovery.ready_s = simulation.now - recovery.fault_ends_at;
    if ((recovery.first_start_s >= 0 && recovery.ready_s >= 0) ||
        simulation.now > recovery.fault_ends_at + MAX_MEASURED_S)
        record_recovery();
}

static void recovery_begin(void)
{
    recovery.fault_ends_at = 0;
}

static void recovery_report(void)
{
    print_message(
        "  %u faults, a task started within %.0f s of %u of them: first start after "
        "%.1f s (mean), %.1f s (longest); all partitions ready after %.1f s "
        "(mean), %.1f s (longest)\n",
        recoveries.faults, MAX_MEASURED_S, recoveries.restarted,
        recoveries.first_start_sum_s / MAX(recoveries.restarted, 1),
        recoveries.first_start_max_s, recoveries.ready_sum_s / MAX(recoveries.faults, 1),
        recoveries.ready_max_s);
    memset(&recoveries, 0, sizeof recoveries);
}

/* --- old heartbeats as a new owner begins --- */

static uint64_t epochs[MAX_NODES];

static void old_reports_begin(void)
{
    memset(epochs, 0, sizeof epochs);
}

/* Whether a controller has become the owner of a partition since the step before. */
static bool new_owner_began(void)
{
    bool began = false;

    for (int partition = 0; partition < simulation.layout.nodes; partition++) {
        uint64_t epoch = simulation_epoch(partition);
        began = began || epoch > epochs[partition];
        epochs[partition] = MAX(epochs[partition], epoch);
    }
    return began;
}

/* The owner of most machines crashes, or the state service rejects it until it has
 * lost its partitions; often while machines can't be reached by pushed commands. */
static void change_leader(void)
{
    int leader = simulation_largest_owner();

    if (simulation_chance(0.4))
        fault_begin(FAULT_PUSH_BLOCKED, 0, scenario_random(0.5, simulation.lease_s));
    fault_begin(simulation_chance(0.6) ? FAULT_CRASH : FAULT_REFUSED, leader,
                scenario_random(0.1, 8));
}

/* An old heartbeat of each machine reaches all controllers just as a new owner begins. */
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
    if (new_owner_began() && scenario_time() > 30)
        fault_begin(FAULT_OLD_HEARTBEATS, 0, 0);
}

static struct total delivered_kept_heartbeats;

/* Copies of heartbeats arrive at the partition's next owner after its first command. */
static void held_reports_step(void)
{
    simulation.keep_heartbeats_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(8))
        change_leader();
    if (scenario_every(20))
        fault_begin(FAULT_MACHINE_HEARS_NOTHING, 0,
                    scenario_random(1, simulation.lease_s));
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
    add_up(&delivered_kept_heartbeats, simulation.delivered_kept_heartbeats);
}

static void held_reports_report(void)
{
    print_message("  %u heartbeats arrived after the next owner's first command\n",
                  delivered_kept_heartbeats.sum);
    assert_true(delivered_kept_heartbeats.sum > 0);
}

/* --- all controllers are down or frozen --- */

static struct {
    double starts_at[2], duration_s[2];
    bool is_freeze[2]; /* they are frozen; else they are down */
} all_away;

static void away_parameters(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    for (int i = 0; i < 2; i++) {
        all_away.starts_at[i] = 32 + 42 * i + g_rand_double_range(random, 0, 5);
        all_away.duration_s[i] =
            parameters->lease_s * g_rand_double_range(random, 1.05, 2);
        all_away.is_freeze[i] = g_rand_boolean(random);
    }
}

/* All controllers are away for longer than the leases of workers and controllers, and
 * one is back before the others. Commands that were pushed before are delayed until
 * then. */
static void away_step(void)
{
    for (int i = 0; i < 2; i++) {
        if (scenario_at(all_away.starts_at[i] - 2))
            fault_begin(FAULT_PUSH_BLOCKED, 0, all_away.duration_s[i] + 3);
        if (!scenario_at(all_away.starts_at[i]))
            continue;
        simulation_cancel_jobs(0.1);
        int first = g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
        for (int k = 0; k < simulation.layout.nodes; k++)
            fault_begin(all_away.is_freeze[i] ? FAULT_FREEZE : FAULT_CRASH, k,
                        all_away.duration_s[i] +
                            (k == first ? 0 : scenario_random(0, 6)));
        measure_recovery(simulation.now + all_away.duration_s[i]);
    }
    recovery_step();
}

/* --- ten owners in two minutes --- */

static struct {
    double outage_at, outage_s;
} ten_leaders;
static unsigned leaders_changed;

static void ten_leaders_parameters(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    ten_leaders.outage_at = g_rand_double_range(random, 45, 70);
    ten_leaders.outage_s = g_rand_double_range(random, 3, 20);
}

/* The owner of most machines ends every 8 s, also while the state service is down for
 * all. */
static void ten_leaders_step(void)
{
    static const enum fault kinds[] = {FAULT_CRASH, FAULT_REFUSED, FAULT_LEAVE,
                                       FAULT_FREEZE, FAULT_ISOLATED};

    if (scenario_at(ten_leaders.outage_at)) {
        fault_begin(FAULT_OUTAGE, 0, ten_leaders.outage_s);
        measure_recovery(simulation.now + ten_leaders.outage_s);
    }
    for (int i = 0; i < 10; i++)
        if (scenario_at(30.05 + 8 * i)) {
            enum fault kind =
                kinds[g_rand_int_range(simulation.random, 0, G_N_ELEMENTS(kinds))];
            if (simulation_chance(0.5))
                fault_begin(FAULT_PUSH_BLOCKED, 0,
                            scenario_random(1, simulation.lease_s));
            fault_begin(kind, simulation_largest_owner(), scenario_random(0.2, 6));
            leaders_changed += !simulation.disabled_guard;
        }
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
    recovery_step();
}

static void ten_leaders_report(void)
{
    print_message("  %u owners were ended\n", leaders_changed);
    recovery_report();
}

/* --- all controllers crash, and one restarts early --- */

static struct {
    double starts_at[2], first_s[2], others_s[2];
} one_returns;

static void one_returns_parameters(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    for (int i = 0; i < 2; i++) {
        one_returns.starts_at[i] = 40 + 35 * i + g_rand_double_range(random, 0, 5);
        one_returns.first_s[i] = g_rand_double_range(random, 0.05, 1);
        one_returns.others_s[i] = g_rand_double_range(random, 2, 20);
    }
}

/* Partitions change their owners back and forth; then all controllers crash. One is
 * back within a second, before any lease has expired, the others much later. */
static void one_returns_step(void)
{
    for (int i = 0; i < 2; i++) {
        if (scenario_between(one_returns.starts_at[i] - 12, one_returns.starts_at[i]) &&
            scenario_every(2))
            fault_begin(simulation_chance(0.5) ? FAULT_LEAVE : FAULT_CRASH,
                        g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                        scenario_random(0.05, 1));
        if (!scenario_at(one_returns.starts_at[i]))
            continue;
        int first = g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
        for (int k = 0; k < simulation.layout.nodes; k++)
            fault_begin(FAULT_CRASH, k,
                        k == first ? one_returns.first_s[i] : one_returns.others_s[i]);
        measure_recovery(simulation.now + one_returns.first_s[i]);
    }
    recovery_step();
}

/* --- a zone is isolated for longer than a lease --- */

static struct {
    double starts_at, store_s, peers_s, workers_s, cloud_s;
    int node;
} zone;

/* The connections to the state service, to the other controllers and to their workers
 * return one after the other, or in the same step. */
static void zone_parameters(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    zone.starts_at = g_rand_double_range(random, 35, 40);
    double *durations[] = {&zone.store_s, &zone.peers_s, &zone.workers_s};
    double least_s = parameters->lease_s * g_rand_double_range(random, 1.05, 3);
    for (size_t i = 0; i < G_N_ELEMENTS(durations); i++)
        *durations[i] = least_s + STEP_S * g_rand_int_range(random, 0, 12);
    zone.cloud_s = least_s + parameters->cancel_s;
}

/* A controller is isolated together with its workers; jobs are cancelled through other
 * controllers meanwhile, and its machines can't be returned. */
static void zone_step(void)
{
    if (scenario_at(zone.starts_at)) {
        zone.node = simulation_largest_owner();
        fault_begin(FAULT_ZONE, zone.node, zone.workers_s);
        fault_begin(FAULT_REFUSED, zone.node, zone.store_s);
        simulation.nodes[zone.node].zone_isolated_until = simulation.now + zone.peers_s;
        fault_begin(FAULT_CLOUD, 0, zone.cloud_s);
        measure_recovery(simulation.now +
                         MAX(zone.store_s, MAX(zone.peers_s, zone.workers_s)));
    }
    if (scenario_between(zone.starts_at, zone.starts_at + zone.workers_s) &&
        simulation_chance(0.05))
        simulation_cancel_jobs(0.1);
    recovery_step();
}

/* --- earlier scenarios, with late messages --- */

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

/* An owner crashes while machines with long tasks can't be reached, or receive
 * nothing. */
static void unreached_machines_step(void)
{
    late_messages();
    if (scenario_every(15)) {
        int leader = simulation_largest_owner();
        fault_begin(simulation_chance(0.5) ? FAULT_MACHINE_HEARS_NOTHING : FAULT_HANG,
                    leader, scenario_random(0.5, 1.5 * simulation.lease_s));
        fault_begin(FAULT_CRASH, leader, scenario_random(0.2, 20));
    }
    if (scenario_every(30))
        fault_begin(FAULT_CLOUD, 0, scenario_random(5, 30));
    if (scenario_every(10))
        simulation_cancel_jobs(0.1);
}

/* The owner of most machines keeps its workers and users but loses the state service
 * and the other controllers; jobs are cancelled through its successor. */
static void isolated_leader_step(void)
{
    late_messages();
    if (scenario_every(25))
        fault_begin(FAULT_ISOLATED, simulation_largest_owner(),
                    scenario_random(1, 1.5 * simulation.cancel_s));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* Jobs have two or three tasks that end far apart, before and after a change of the
 * owner. */
static void small_jobs_step(void)
{
    late_messages();
    for (int i = 0; i < JOBS; i++)
        if (!simulation.jobs[i].submitted)
            simulation.jobs[i].spec.tasks = 2 + (uint32_t)i % 2;
    if (scenario_every(8))
        change_leader();
}

/* --- writes of a controller that has crashed --- */

static struct total ended_sender_writes;

/* Writes get no response; their sender crashes at once, is back within a second and
 * writes again; after that the old writes are executed. */
static void ended_writer_step(void)
{
    simulation.late_writes_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(4))
        fault_begin(FAULT_CRASH, simulation_largest_owner(), scenario_random(0.05, 1));
    if (scenario_every(15))
        fault_begin(FAULT_LEAVE, simulation_largest_owner(), 0);
    if (scenario_every(6))
        simulation_cancel_jobs(0.1);
    add_up(&ended_sender_writes, simulation.ended_sender_writes);
}

static void ended_writer_report(void)
{
    print_message("  %u writes were executed after their sender had restarted\n",
                  ended_sender_writes.sum);
    assert_true(ended_sender_writes.sum > 0);
}

/* --- an owner that ends shortly after another fault --- */

static double leader_ends_at;

static void leader_ends_begin(void)
{
    leader_ends_at = 0;
}

/* --- commands of an earlier owner, or for an earlier incarnation --- */

static struct total old_token_commands, old_incarnation_commands;
static void count_rejected_commands(void)
{
    add_up(&old_token_commands, simulation.old_token_commands);
    add_up(&old_incarnation_commands, simulation.old_incarnation_commands);
}

/* Machines and quota have spare capacity, so that tasks are pushed to a machine at
 * once and don't wait for its heartbeat. */
static const struct layout spare_capacity = {3, 18, 1, 1100, 1300, 108, 2};

static void old_commands_parameters(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    parameters->max_task_s = g_rand_double_range(random, 15, 25);
}

/* Commands to all machines are delayed, and their owner ends; they arrive after the
 * next owner has sent its own. */
static void old_commands_step(void)
{
    if (scenario_every(6)) {
        leader_ends_at = simulation.now + scenario_random(0.5, 2);
        for (int i = 0; i < simulation.layout.machines; i++)
            simulation.machines[i].commands_delayed_until =
                leader_ends_at + scenario_random(3, 8);
    }
    if (leader_ends_at && simulation.now >= leader_ends_at) {
        leader_ends_at = 0;
        fault_begin(simulation_chance(0.7) ? FAULT_CRASH : FAULT_ISOLATED,
                    simulation_largest_owner(), scenario_random(3, 10));
    }
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
    count_rejected_commands();
}

/* Machines receive nothing for longer than their lease, while their heartbeats arrive;
 * commands arrive when the next incarnation has begun. */
static void old_sessions_step(void)
{
    if (scenario_every(8))
        for (int i = 0; i < simulation.layout.machines; i++) {
            struct machine *machine = &simulation.machines[i];
            if (simulation.now < machine->commands_delayed_until ||
                !simulation_chance(0.4))
                continue;
            machine->inbound_lost_until =
                simulation.now + simulation.lease_s * scenario_random(1.02, 1.2);
            machine->commands_delayed_until =
                machine->inbound_lost_until + scenario_random(0, 5);
        }
    count_rejected_commands();
}

static void old_commands_report(void)
{
    print_message(
        "  %u commands rejected for their token, %u for the incarnation alone\n",
        old_token_commands.sum, old_incarnation_commands.sum);
    assert_true(old_token_commands.sum + old_incarnation_commands.sum > 0);
    old_token_commands.sum = old_incarnation_commands.sum = 0;
}

/* --- new machines that get tasks at once --- */

/* New machines are up within 2 s and get tasks while writes are late, and the owner
 * crashes. Their heartbeats arrive before any controller has recorded the machine. */
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
    {"all controllers away", away_step, away_parameters, GUARD_ACCOUNTED, RULE_RAN_TWICE,
     false, 6, recovery_begin, recovery_report, NULL},
    {"ten leaders", ten_leaders_step, ten_leaders_parameters, GUARD_ACCOUNTED,
     RULE_RAN_TWICE, false, 6, recovery_begin, ten_leaders_report, NULL},
    {"one returns", one_returns_step, one_returns_parameters, GUARD_ACCOUNTED,
     RULE_RAN_TWICE, false, 6, recovery_begin, recovery_report, NULL},
    {"a zone by itself", zone_step, zone_parameters, GUARD_STALE_VIEW, RULE_RAN_CANCELLED,
     false, 8, recovery_begin, recovery_report, NULL},
    {"a zone by itself: both sides", zone_step, zone_parameters, GUARD_ACCOUNTED,
     RULE_RAN_TWICE, false, 4, recovery_begin, recovery_report, NULL},
    {"unreached machines, late messages", unreached_machines_step,
     scenario_default_parameters, GUARD_ACCOUNTED, RULE_RAN_TWICE, false, 6, NULL, NULL,
     NULL},
    {"isolated leader, late messages", isolated_leader_step, scenario_default_parameters,
     GUARD_REPLICATED, RULE_RAN_TWICE, true, 6, NULL, NULL, NULL},
    {"small jobs, late messages", small_jobs_step, scenario_default_parameters,
     GUARD_DONE, RULE_DONE_TOO_EARLY, false, 6, NULL, NULL, NULL},
    {"writes of an ended controller", ended_writer_step, scenario_default_parameters,
     GUARD_LATE_WRITE, ANY_RULE, false, 6, NULL, ended_writer_report, NULL},
    {"commands of an ended leader", old_commands_step, old_commands_parameters,
     GUARD_OLD_EPOCH, RULE_RAN_TWICE, false, 8, leader_ends_begin, old_commands_report,
     &spare_capacity},
    {"commands for an earlier session", old_sessions_step, old_commands_parameters,
     GUARD_INCARNATION, RULE_RAN_TWICE, false, 6, NULL, old_commands_report,
     &spare_capacity},
    {"new machines at once", new_machines_step, scenario_default_parameters,
     GUARD_MACHINE_RECORDED, RULE_RAN_TWICE, false, 6, leader_ends_begin, NULL, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
