/* Scenarios of answers to users: jobs are queried at all controllers within
 * milliseconds, submitted again and cancelled. No answer may be older than the record
 * was when the request was sent (simulation/users.c). */
#include "scenario.h"

#include <string.h>

static void parameters_with_users(struct schedule *parameters, GRand *random)
{
    scenario_default_parameters(parameters, random);
    parameters->has_users = true;
}

static bool faults_still_begin(void)
{
    return scenario_time() < simulation.layout.steps * STEP_S;
}

static int random_node(void)
{
    return g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
}

/* --- repeated queries while controllers see records late --- */

static void close_looks_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    if (scenario_every(10))
        fault_begin(FAULT_REFUSED, random_node(), scenario_random(0.2, 8));
    if (scenario_every(10))
        fault_begin(FAULT_SLOW_STATE, random_node(), scenario_random(1, 15));
    if (scenario_every(20))
        fault_begin(FAULT_FREEZE, random_node(), scenario_random(0.2, 4));
    if (scenario_every(20))
        fault_begin(FAULT_CRASH, random_node(), scenario_random(0.1, 4));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* Confirmations take long on one controller, while the others answer at once and many
 * users ask. */
static void slow_confirmations_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    if (scenario_every(5))
        fault_begin(FAULT_SLOW_STATE, random_node(), scenario_random(2, 20));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* Transactions of submissions are executed late or never. */
static void unknown_outcomes_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    simulation.late_writes_until = simulation.now + faults_still_begin();
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* --- transactions that are committed while the response is lost --- */

static unsigned lost_responses[TXN_KIND_COUNT];

static void count_lost_responses(void)
{
    for (int k = 0; k < TXN_KIND_COUNT; k++)
        lost_responses[k] += simulation.lost_responses[k];
}

/* Responses of one kind of transaction after another are lost, or of all; often the
 * sender crashes before it can retry. */
static void lost_answers_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    simulation.lost_responses_until = simulation.now + faults_still_begin();
    if (scenario_every(5))
        simulation.lost_response_kind =
            g_rand_int_range(simulation.random, 0, TXN_KIND_COUNT + 1);
    if (scenario_every(15))
        simulation.crash_on_lost_response = !simulation.crash_on_lost_response;
    if (scenario_every(15))
        fault_begin(simulation_chance(0.5) ? FAULT_NODE_LOSES_PEERS : FAULT_REFUSED,
                    simulation_largest_owner(), scenario_random(0.5, 8));
    if (scenario_every(20))
        fault_begin(FAULT_FREEZE, simulation_largest_owner(), scenario_random(1, 6));
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
}

static void each_kind_lost_a_response(void)
{
    count_lost_responses(); /* adds those of the last run */
    for (int k = 0; k < TXN_KIND_COUNT; k++)
        print_message("%u responses to transactions lost: %s\n", lost_responses[k],
                      simulation_txn_name((enum txn_kind)k));
    for (int k = 0; k < TXN_KIND_COUNT; k++)
        assert_true(lost_responses[k] > 0);
}

/* --- the end of a job's last task, without faults --- */

static void last_task_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    simulation.odd_requests_until = simulation.now + faults_still_begin();
    simulation.cancel_at_end_until = simulation.now + faults_still_begin();
    for (int i = 0; i < JOBS; i++)
        if (!simulation.jobs[i].submission_begun)
            simulation.jobs[i].spec.tasks = 1 + (uint32_t)i % 3;
}

/* --- invalid and repeated requests, to controllers that have just started, are frozen
 * or rejected --- */

static void odd_requests_step(void)
{
    simulation.odd_requests_until = simulation.now + faults_still_begin();
    if (scenario_every(6))
        fault_begin(FAULT_CRASH, random_node(), scenario_random(0.1, 2));
    if (scenario_every(10))
        fault_begin(FAULT_REFUSED, random_node(), scenario_random(0.2, 10));
    if (scenario_every(10))
        fault_begin(FAULT_FREEZE, random_node(), scenario_random(0.2, 4));
    if (scenario_every(20))
        fault_begin(FAULT_SLOW_STATE, random_node(), scenario_random(1, 10));
    if (scenario_every(30))
        fault_begin(FAULT_OUTAGE, 0, scenario_random(0.5, 8));
    if (scenario_every(6))
        simulation_cancel_jobs(0.1);
}

static const struct scenario scenarios[] = {
    {"close looks", close_looks_step, parameters_with_users, GUARD_CONFIRM, ANY_RULE,
     false, 6, NULL, NULL, NULL},
    {"slow confirmations", slow_confirmations_step, parameters_with_users,
     GUARD_SHARED_CONFIRMATION, ANY_RULE, false, 6, NULL, NULL, NULL},
    {"unknown outcomes", unknown_outcomes_step, parameters_with_users,
     GUARD_UNKNOWN_OUTCOME, RULE_JOB_FORGOTTEN, false, 6, NULL, NULL, NULL},
    {"lost answers", lost_answers_step, parameters_with_users, GUARD_LOST_RESPONSE,
     ANY_RULE, false, 12, count_lost_responses, each_kind_lost_a_response, NULL},
    {"end of the last task", last_task_step, parameters_with_users, GUARD_FINAL,
     RULE_STATE_REVERTED, false, 6, NULL, NULL, NULL},
    {"odd requests", odd_requests_step, parameters_with_users, GUARD_DUPLICATE_REQUEST,
     RULE_JOB_FORGOTTEN, false, 6, NULL, NULL, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
