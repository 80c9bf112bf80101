/* Scenarios of overlapping faults. Each scenario has a schedule and names a guard
 * (simulation/simulation.h): with the guard disabled, some of the scenario's runs break a
 * rule or do not recover. Times, durations and leases are drawn from the run's
 * seed. At the end of a run with all guards the service has recovered, and each job that
 * was not cancelled has finished. */
#include "scenario.h"

#include <string.h>

/* --- a cancellation that the partition's owner does not see --- */

/* The faults of one run of the scenarios in this section. The values named _at
 * are seconds from the start of the run. */
static struct {
    double starts_at, refused_s, outage_at, outage_s;
    /* Whether the affected controller also loses the other controllers, so that none of
     * them can send it tombstones. */
    bool loses_peers;
    int node; /* the affected controller */
} store_fault;

/* First only the owner of most machines loses the state service, while jobs are cancelled
 * through other controllers. Then all controllers lose the state service for longer than
 * cancel_s, while workers keep sending heartbeats to that owner. */
static void gap_step(void)
{
    if (scenario_at(store_fault.starts_at)) {
        store_fault.node = simulation_largest_owner();
        fault_begin(FAULT_REFUSED, store_fault.node, store_fault.refused_s);
        if (store_fault.loses_peers)
            fault_begin(FAULT_NODE_LOSES_PEERS, store_fault.node, store_fault.outage_s);
    }
    if (scenario_between(store_fault.starts_at + 0.2, store_fault.outage_at))
        simulation_cancel_jobs(0.1);
    if (scenario_at(store_fault.outage_at))
        fault_begin(FAULT_OUTAGE, 0, store_fault.outage_s);
}

static void gap_parameters(struct schedule *parameters, GRand *random)
{
    parameters->lease_s = g_rand_double_range(random, 5, 14);
    parameters->cancel_s = parameters->lease_s + g_rand_double_range(random, 4, 24);
    parameters->max_task_s = 3 * parameters->cancel_s;
    store_fault.starts_at = 40 + g_rand_double_range(random, 0, 5);
    store_fault.outage_at = store_fault.starts_at + g_rand_double_range(random, 0.4, 3);
    store_fault.refused_s = store_fault.outage_at - store_fault.starts_at + 1;
    store_fault.outage_s = parameters->cancel_s * g_rand_double_range(random, 1.1, 2);
    store_fault.loses_peers = g_rand_boolean(random);
}

/* A controller and its workers are isolated from the other controllers, and the
 * controller also loses the state service: it answers its workers until its watch cache
 * is too old. Shortly before their leases expire, the workers turn to the partition's
 * new owner, whose pushed commands are delayed. They receive the new owner's first
 * response and no later one. */
static void last_answer_step(void)
{
    static uint64_t last_token[MAX_MACHINES];

    if (scenario_at(store_fault.starts_at)) {
        store_fault.node = simulation_largest_owner();
        fault_begin(FAULT_ISOLATED, store_fault.node, store_fault.outage_s);
        fault_begin(FAULT_CLOUD, 0, store_fault.outage_s);
        for (int i = 0; i < simulation.layout.machines; i++)
            if (simulation.machines[i].node == store_fault.node) {
                simulation.machines[i].isolated_with = store_fault.node;
                simulation.machines[i].isolated_until =
                    simulation.now + store_fault.refused_s;
                simulation.machines[i].commands_delayed_until =
                    simulation.now + store_fault.outage_s;
            }
    }
    if (scenario_between(store_fault.starts_at + 0.2, store_fault.outage_at))
        simulation_cancel_jobs(0.1);
    for (int i = 0; i < simulation.layout.machines; i++) {
        struct machine *machine = &simulation.machines[i];
        if (scenario_between(store_fault.starts_at + 1,
                             store_fault.starts_at + store_fault.outage_s) &&
            machine->token > last_token[i] && last_token[i])
            machine->inbound_lost_until = simulation.now + store_fault.outage_s;
        last_token[i] = machine->token;
    }
}

static void last_answer_parameters(struct schedule *parameters, GRand *random)
{
    parameters->lease_s = g_rand_double_range(random, 9, 16);
    parameters->cancel_s = parameters->lease_s + g_rand_double_range(random, 4, 8);
    parameters->max_task_s = 3 * parameters->cancel_s;
    store_fault.starts_at = 40 + g_rand_double_range(random, 0, 5);
    store_fault.outage_at = store_fault.starts_at + 1;
    /* The machines reach other controllers again after the isolated owner has sent its
     * last response. */
    store_fault.refused_s = parameters->cancel_s - parameters->lease_s -
                            MAX(1, 0.05 * parameters->cancel_s) +
                            g_rand_double_range(random, 0, parameters->lease_s - 2);
    store_fault.outage_s = 3 * parameters->cancel_s;
}

/* The state service responds late, then not at all. The age of the watch cache must count
 * from when the request was sent, not from when the late response arrived. */
static void slow_state_service_step(void)
{
    if (scenario_at(store_fault.starts_at))
        fault_begin(FAULT_SLOW_STATE, store_fault.node = simulation_largest_owner(),
                    store_fault.outage_s);
    if (scenario_between(store_fault.outage_at - 3, store_fault.outage_at))
        simulation_cancel_jobs(0.1);
    if (scenario_at(store_fault.outage_at)) {
        fault_begin(FAULT_OUTAGE, 0, store_fault.outage_s);
        fault_begin(FAULT_NODE_LOSES_PEERS, store_fault.node, store_fault.outage_s);
    }
}

static void slow_state_service_parameters(struct schedule *parameters, GRand *random)
{
    gap_parameters(parameters, random);
    parameters->cancel_s = parameters->lease_s + g_rand_double_range(random, 4, 8);
    store_fault.outage_at = store_fault.starts_at + g_rand_double_range(random, 5, 8);
    store_fault.outage_s = 3 * parameters->cancel_s;
}

/* The owner of most machines stays connected to its workers and users, but loses the
 * state service and the other controllers. Jobs are cancelled through those. */
static void isolated_leader_step(void)
{
    if (scenario_every(25))
        fault_begin(FAULT_ISOLATED, simulation_largest_owner(),
                    scenario_random(1, 1.5 * simulation.cancel_s));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* --- late messages and restarts --- */

/* Copies of heartbeats arrive late, at the controller that received the original or at
 * another one. Meanwhile agents lose their leases, and partitions pass to another owner
 * and back. */
static void old_reports_step(void)
{
    simulation.copied_heartbeats_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(12))
        fault_begin(FAULT_REFUSED, simulation_largest_owner(), scenario_random(0.2, 8));
    if (scenario_every(20))
        fault_begin(FAULT_HANG, 0, scenario_random(1, 1.5 * simulation.lease_s));
    if (scenario_every(20))
        fault_begin(FAULT_MACHINE_HEARS_NOTHING, 0,
                    scenario_random(1, 1.5 * simulation.lease_s));
}

/* The owner of most machines, or every controller, crashes while some machines hang, are
 * isolated, or receive nothing. */
static void unreached_machines_step(void)
{
    if (scenario_every(20)) {
        int leader = simulation_largest_owner();
        if (simulation_chance(0.3))
            fault_begin(FAULT_ZONE, leader, scenario_random(1, 2 * simulation.lease_s));
        fault_begin(simulation_chance(0.5) ? FAULT_MACHINE_HEARS_NOTHING : FAULT_HANG,
                    leader, scenario_random(0.5, 1.5 * simulation.lease_s));
        if (simulation_chance(0.2))
            fault_begin(FAULT_CRASH_ALL, 0, scenario_random(0.2, 5));
        else
            fault_begin(FAULT_CRASH, leader, scenario_random(0.2, 20));
    }
    if (scenario_every(30))
        fault_begin(FAULT_CLOUD, 0, scenario_random(5, 30));
    if (scenario_every(10))
        simulation_cancel_jobs(0.1);
}

/* Pushed commands are delayed, and arrive after the machine has hung and resumed.
 * Meanwhile epochs, incarnations and owners change. */
static void held_commands_step(void)
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

/* Some transactions get no response and are executed late, after newer transactions of
 * the same controller. */
static void late_writes_step(void)
{
    simulation.late_writes_until =
        simulation.now + (scenario_time() < simulation.layout.steps * STEP_S);
    if (scenario_every(15))
        fault_begin(simulation_chance(0.5) ? FAULT_CRASH : FAULT_FREEZE,
                    simulation_largest_owner(), scenario_random(0.2, 8));
    if (scenario_every(15))
        fault_begin(FAULT_LEAVE, simulation_largest_owner(), 0);
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
}

/* One, several or all controllers crash, repeatedly, and restart before another
 * controller has noticed the crash. Some also lose their peers or shut down. */
static void restarts_step(void)
{
    simulation.late_writes_until =
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

/* Each job has only two or three tasks, whose ends can be far apart. */
static void small_jobs_step(void)
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

/* --- each pair of fault kinds in force at the same time --- */

static unsigned fault_pairs[FAULT_COUNT][FAULT_COUNT];
static double fault_ends_at[FAULT_COUNT], pending_at[3];

static void begin_fault(enum fault kind)
{
    double duration_s = simulation_chance(0.3) ? scenario_random(0.1, 1)
                        : simulation_chance(0.6)
                            ? scenario_random(1, 10)
                            : scenario_random(5, 1.3 * simulation.cancel_s);

    for (int other = 0; other < FAULT_COUNT; other++)
        if (fault_ends_at[other] > simulation.now) {
            fault_pairs[kind][other]++;
            fault_pairs[other][kind] += other != (int)kind;
        }
    fault_ends_at[kind] = simulation.now + MAX(duration_s, 1);
    fault_begin(kind,
                simulation_chance(0.6)
                    ? simulation_largest_owner()
                    : g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                duration_s);
}

/* Chooses the pair of fault kinds that have been in force together least often, and
 * begins both within one second; in half of the cases also a third, random one. */
static void pairs_step(void)
{
    static enum fault pending[3];

    for (int i = 0; i < 3; i++)
        if (pending_at[i] && simulation.now >= pending_at[i]) {
            pending_at[i] = 0;
            begin_fault(pending[i]);
        }
    if (!scenario_every(12))
        return;
    unsigned fewest = ~0u;
    for (int first = 0; first < FAULT_COUNT; first++)
        for (int second = 0; second <= first; second++) {
            unsigned times = 2 * fault_pairs[first][second] +
                             (unsigned)g_rand_int_range(simulation.random, 0, 2);
            if (times < fewest) {
                fewest = times;
                pending[0] = (enum fault)first;
                pending[1] = (enum fault)second;
            }
        }
    pending[2] = (enum fault)g_rand_int_range(simulation.random, 0, FAULT_COUNT);
    pending_at[0] = simulation.now;
    pending_at[1] = simulation.now + scenario_random(0, 0.9);
    pending_at[2] = simulation_chance(0.5) ? simulation.now + scenario_random(0, 0.9) : 0;
}

static void pairs_parameters(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    parameters->has_users = true;
}

static void pairs_begin(void)
{
    memset(fault_ends_at, 0, sizeof fault_ends_at);
    memset(pending_at, 0, sizeof pending_at);
}

static void every_pair_was_concurrent(void)
{
    unsigned pairs = 0, times = 0, missed = 0;

    for (int first = 0; first < FAULT_COUNT; first++)
        for (int second = 0; second <= first; second++) {
            pairs++;
            times += fault_pairs[first][second];
            if (!fault_pairs[first][second]) {
                missed++;
                print_message("faults %s and %s were never in force together\n",
                              fault_name((enum fault)first),
                              fault_name((enum fault)second));
            }
        }
    print_message("%u of %u pairs of faults were in force together, %u times\n",
                  pairs - missed, pairs, times);
    assert_int_equal(missed, 0);
}

static const struct scenario scenarios[] = {
    {"gap", gap_step, gap_parameters, GUARD_STALE_VIEW, RULE_RAN_CANCELLED, false, 8,
     NULL, NULL, NULL},
    {"last answer", last_answer_step, last_answer_parameters, GUARD_KILL_CANCELLED,
     RULE_RAN_CANCELLED, false, 8, NULL, NULL, NULL},
    {"slow state service", slow_state_service_step, slow_state_service_parameters,
     GUARD_VIEW_AGE, RULE_RAN_CANCELLED, false, 8, NULL, NULL, NULL},
    {"isolated leader", isolated_leader_step, scenario_default_parameters,
     GUARD_REPLICATED, RULE_RAN_TWICE, true, 8, NULL, NULL, NULL},
    {"old reports", old_reports_step, scenario_default_parameters, GUARD_HEARTBEAT_ORDER,
     RULE_RAN_TWICE, false, 8, NULL, NULL, NULL},
    {"unreached machines", unreached_machines_step, scenario_default_parameters,
     GUARD_ACCOUNTED, RULE_RAN_TWICE, false, 8, NULL, NULL, NULL},
    {"held commands", held_commands_step, scenario_default_parameters,
     GUARD_UNCERTAIN_PUSH, RULE_RAN_TWICE, false, 8, NULL, NULL, NULL},
    {"late writes", late_writes_step, scenario_default_parameters, GUARD_LATE_WRITE,
     ANY_RULE, false, 8, NULL, NULL, NULL},
    {"lives", restarts_step, scenario_default_parameters, GUARD_ANNOUNCE, NOT_RECOVERED,
     false, 8, NULL, NULL, NULL},
    {"small jobs", small_jobs_step, scenario_default_parameters, GUARD_DONE,
     RULE_DONE_TOO_EARLY, false, 8, NULL, NULL, NULL},
    {"pairs", pairs_step, pairs_parameters, GUARD_ACCOUNTED, RULE_RAN_TWICE, false, 64,
     pairs_begin, every_pair_was_concurrent, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
