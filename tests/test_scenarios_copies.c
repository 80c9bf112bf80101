/* Commands that were carried out and answered arrive at the workers again, once or
 * several times, 2 s to two leases later, all the time: while tasks are preempted and
 * cancelled, and while machines change their owners (simulation/scenario.h). */
#include "scenario.h"

/* Of the runs with all guards. */
static unsigned copied_commands, refused_commands, steps_without_raises;

static void count_copies(void)
{
    if (simulation.disabled_guard || !scenario_at(simulation.layout.steps * STEP_S))
        return;
    copied_commands += simulation.copied_commands;
    refused_commands += simulation.old_token_commands;
}

/* Commands are copied during the whole run; some jobs are cancelled. */
static void copy_commands(void)
{
    if (!simulation.copied_commands_until)
        fault_begin(FAULT_COPIED_COMMANDS, 0, simulation.layout.steps * STEP_S);
    if (scenario_every(10))
        simulation_cancel_jobs(0.1);
    count_copies();
}

/* The owner of most machines ends, and is back within a second or with another life. */
static void owner_returns_step(void)
{
    copy_commands();
    if (scenario_every(12))
        fault_begin(FAULT_CRASH, simulation_largest_owner(),
                    simulation_chance(0.5) ? scenario_random(0.1, 0.9)
                                           : scenario_random(4, 9));
}

/* Partitions are transferred, taken back, and lost with the leases of their owners. */
static void owners_change_step(void)
{
    copy_commands();
    if (scenario_every(15))
        fault_begin(FAULT_LEAVE, simulation_largest_owner(), 0);
    if (scenario_every(20))
        fault_begin(FAULT_FREEZE, simulation_largest_owner(),
                    scenario_random(2, 1.2 * simulation.lease_s));
    if (scenario_every(25))
        fault_begin(FAULT_REFUSED, simulation_largest_owner(),
                    scenario_random(2, simulation.lease_s));
}

/* Ten leaders in two minutes, also while the state service is away; some commands arrive
 * late and unanswered, some machines hear nothing or hang. */
static void with_others_step(void)
{
    static const enum fault others[] = {
        FAULT_HANG,          FAULT_PUSH_BLOCKED,
        FAULT_LATE_COMMANDS, FAULT_MACHINE_HEARS_NOTHING,
        FAULT_LATE_WRITES,   FAULT_LATE_HEARTBEATS,
        FAULT_MACHINE_DIES,  FAULT_MACHINE_REACHES_NOBODY};

    copy_commands();
    if (scenario_every(12))
        fault_begin(FAULT_CRASH, simulation_largest_owner(), scenario_random(0.2, 6));
    if (scenario_every(30))
        fault_begin(FAULT_OUTAGE, 0, scenario_random(2, simulation.lease_s));
    if (scenario_every(6))
        fault_begin(others[g_rand_int_range(simulation.random, 0, G_N_ELEMENTS(others))],
                    0, scenario_random(0.5, 1.5 * simulation.lease_s));
}

/* The same, while half of the claims and transfers are an older version's, which reserve
 * one token. */
static void older_versions_step(void)
{
    owners_change_step();
    for (int i = 0; i < simulation.layout.nodes && !simulation.disabled_guard; i++)
        for (int k = 0; simulation.nodes[i].core && k < simulation.layout.nodes; k++) {
            const struct lmn_partition_ownership *ownership =
                &simulation.nodes[i].core->partitions[k].ownership;
            steps_without_raises += ownership->is_owned && !ownership->token_raises;
        }
}

static void older_versions_parameters(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    parameters->older_versions_claim = true;
}

static void copies_arrived_and_were_refused(void)
{
    print_message("%u commands were copied, %u were refused for their token\n",
                  copied_commands, refused_commands);
    assert_true(copied_commands > 0 && refused_commands > 0);
    copied_commands = refused_commands = 0;
}

static void partitions_had_one_token(void)
{
    copies_arrived_and_were_refused();
    assert_true(steps_without_raises > 0);
}

static const struct scenario scenarios[] = {
    {"copied commands", copy_commands, scenario_default_parameters, GUARD_RAISED_TOKEN,
     ANY_RULE, false, 12, NULL, copies_arrived_and_were_refused, NULL},
    {"copied commands, the owner returns", owner_returns_step,
     scenario_default_parameters, GUARD_RAISED_TOKEN, ANY_RULE, false, 12, NULL,
     copies_arrived_and_were_refused, NULL},
    {"copied commands, owners change", owners_change_step, scenario_default_parameters,
     GUARD_RAISED_TOKEN, ANY_RULE, false, 12, NULL, copies_arrived_and_were_refused,
     NULL},
    {"copied commands, older versions claim", older_versions_step,
     older_versions_parameters, GUARD_RAISED_TOKEN, ANY_RULE, false, 16, NULL,
     partitions_had_one_token, NULL},
    {"copied commands, with others", with_others_step, scenario_default_parameters,
     GUARD_RAISED_TOKEN, ANY_RULE, false, 16, NULL, copies_arrived_and_were_refused,
     NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
