/* All controllers' leases end together, and each is back at once: owners take their own
 * partitions back, unless another has owned them meanwhile (simulation/scenario.h). */
#include "scenario.h"

static unsigned own; /* takeovers with the owner's own state, on all days */

static void note_own(void)
{
    for (int i = 0;
         scenario_at(simulation.layout.steps * STEP_S) && i < simulation.layout.nodes;
         i++)
        own += simulation.nodes[i].core
                   ? (unsigned)simulation.nodes[i].core->counters.own_state_failovers
                   : 0;
}

/* The state service is down for all, or all stand still, for longer than a lease; or they
 * are back one after the other, so that some partitions had another owner in between. */
static void all_leases_end_step(void)
{
    note_own();
    if (!scenario_every(15))
        return;
    double s = scenario_random(3.2, 1.2 * simulation.lease_s);
    bool together = simulation_chance(0.5);
    if (together && simulation_chance(0.5)) {
        fault_begin(FAULT_OUTAGE, 0, s);
        return;
    }
    for (int i = 0; i < simulation.layout.nodes; i++)
        fault_begin(FAULT_FREEZE, i, together ? s : scenario_random(0, 2 * s));
}

/* A leader stands still for longer than its lease; whoever has its partition by then ends
 * soon after it goes on. What the leader knew is not the last word when it is the owner
 * again. */
static void owner_in_between_step(void)
{
    static int leader;
    static double back; /* when the leader goes on, 0: it does not stand still */

    if (scenario_at(0))
        back = 0;
    if (back && simulation.now >= back + 1) {
        back = 0;
        for (int i = 0; i < simulation.layout.nodes; i++)
            if (i != leader)
                fault_begin(FAULT_CRASH, i, scenario_random(5, 8));
    }
    if (back || !scenario_every(15))
        return;
    leader = simulation_largest_owner();
    back = simulation.now + scenario_random(5, 9);
    fault_begin(FAULT_FREEZE, leader, back - simulation.now);
}

/* The same while machines and messages fail too. */
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

static void some_were_taken_back(void)
{
    print_message("%u partitions were taken back warm\n", own);
    assert_true(own > 0);
    own = 0;
}

static const struct scenario scenarios[] = {
    {"all leases end", all_leases_end_step, scenario_default_parameters, GUARD_OWN_EPOCH,
     RULE_RAN_TWICE, false, 20, NULL, some_were_taken_back, NULL},
    {"all leases end, with others", with_others_step, scenario_default_parameters,
     GUARD_OWN_EPOCH, RULE_RAN_TWICE, false, 20, NULL, some_were_taken_back, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
