/* The leases of all controllers expire together, and each is back at once: owners take
 * back their own partitions with the state that they still have, unless another has
 * owned them meanwhile (simulation/scenario.h). */
#include "scenario.h"

/* Takeovers with the owner's own state, over all runs. */
static unsigned own_state_takeovers;

static void count_own_state_takeovers(void)
{
    for (int i = 0;
         scenario_at(simulation.layout.steps * STEP_S) && i < simulation.layout.nodes;
         i++)
        own_state_takeovers +=
            simulation.nodes[i].core
                ? (unsigned)simulation.nodes[i].core->counters.own_state_failovers
                : 0;
}

/* The state service is down for all controllers, or all are frozen, for longer than a
 * lease; or they resume one after the other, so that some partitions had another owner
 * in between. */
static void all_leases_end_step(void)
{
    count_own_state_takeovers();
    if (!scenario_every(15))
        return;
    double duration_s = scenario_random(3.2, 1.2 * simulation.lease_s);
    bool together = simulation_chance(0.5);
    if (together && simulation_chance(0.5)) {
        fault_begin(FAULT_OUTAGE, 0, duration_s);
        return;
    }
    for (int i = 0; i < simulation.layout.nodes; i++)
        fault_begin(FAULT_FREEZE, i,
                    together ? duration_s : scenario_random(0, 2 * duration_s));
}

/* An owner is frozen for longer than its lease; the controllers that own its
 * partitions by then crash soon after it resumes. When it owns them again, its own
 * state is out of date. */
static void owner_in_between_step(void)
{
    static int leader;
    static double resumes_at; /* 0: no owner is frozen */

    if (scenario_at(0))
        resumes_at = 0;
    if (resumes_at && simulation.now >= resumes_at + 1) {
        resumes_at = 0;
        for (int i = 0; i < simulation.layout.nodes; i++)
            if (i != leader)
                fault_begin(FAULT_CRASH, i, scenario_random(5, 8));
    }
    if (resumes_at || !scenario_every(15))
        return;
    leader = simulation_largest_owner();
    resumes_at = simulation.now + scenario_random(5, 9);
    fault_begin(FAULT_FREEZE, leader, resumes_at - simulation.now);
}

/* Both of the above, while machines and messages fail too. */
static void with_others_step(void)
{
    static const enum fault others[] = {FAULT_HANG,
                                        FAULT_PUSH_BLOCKED,
                                        FAULT_LATE_WRITES,
                                        FAULT_CRASH,
                                        FAULT_LATE_HEARTBEATS,
                                        FAULT_MACHINE_DIES,
                                        FAULT_NODE_LOSES_WORKERS,
                                        FAULT_REFUSED,
                                        FAULT_CANCEL};

    all_leases_end_step();
    owner_in_between_step();
    if (scenario_every(6))
        fault_begin(others[g_rand_int_range(simulation.random, 0, G_N_ELEMENTS(others))],
                    g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                    scenario_random(0.5, simulation.lease_s));
}

static void some_partitions_were_taken_back(void)
{
    print_message("%u partitions were taken back with their owner's own state\n",
                  own_state_takeovers);
    assert_true(own_state_takeovers > 0);
    own_state_takeovers = 0;
}

static const struct scenario scenarios[] = {
    {"all leases end", all_leases_end_step, scenario_default_parameters, GUARD_OWN_EPOCH,
     RULE_RAN_TWICE, false, 60, NULL, some_partitions_were_taken_back, NULL},
    {"all leases end, with others", with_others_step, scenario_default_parameters,
     GUARD_OWN_EPOCH, RULE_RAN_TWICE, false, 20, NULL, some_partitions_were_taken_back,
     NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
