/* Scenarios of users' answers: jobs are asked about at all controllers within
 * milliseconds, submitted again and cancelled, and no answer is older than the record was
 * when its request was sent (simulation/users.c). */
#include "scenario.h"

#include <string.h>

static void draw_users(struct schedule *p, GRand *r)
{
    scenario_default_parameters(p, r);
    p->users = true;
}

static bool faults_begin(void)
{
    return scenario_time() < simulation.layout.steps * STEP_S;
}

static int any_node(void)
{
    return g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
}

/* --- close looks, while controllers see the record late --- */

static void looks_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    if (scenario_every(10))
        fault_begin(FAULT_REFUSED, any_node(), scenario_random(0.2, 8));
    if (scenario_every(10))
        fault_begin(FAULT_SLOW_STATE, any_node(), scenario_random(1, 15));
    if (scenario_every(20))
        fault_begin(FAULT_FREEZE, any_node(), scenario_random(0.2, 4));
    if (scenario_every(20))
        fault_begin(FAULT_CRASH, any_node(), scenario_random(0.1, 4));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* Confirmations take their time, while others answer at once and many ask. */
static void slow_confirmations_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    if (scenario_every(5))
        fault_begin(FAULT_SLOW_STATE, any_node(), scenario_random(2, 20));
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* Submissions whose transaction is not, or not yet, carried out. */
static void outcomes_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    simulation.late_until = simulation.now + faults_begin();
    if (scenario_every(4))
        simulation_cancel_jobs(0.1);
}

/* --- carried out at once, and only the answer lost --- */

static unsigned lost[TXN_KIND_COUNT];

static void lost_begin(void)
{
    for (int k = 0; k < TXN_KIND_COUNT; k++)
        lost[k] += simulation.lost[k];
}

/* One kind of transaction after another, or all; the writer often ends before it tries
 * again. */
static void lost_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    simulation.lost_until = simulation.now + faults_begin();
    if (scenario_every(5))
        simulation.lost_kind = g_rand_int_range(simulation.random, 0, TXN_KIND_COUNT + 1);
    if (scenario_every(15))
        simulation.lost_ends = !simulation.lost_ends;
    if (scenario_every(15))
        fault_begin(simulation_chance(0.5) ? FAULT_NODE_LOSES_PEERS : FAULT_REFUSED,
                    simulation_largest_owner(), scenario_random(0.5, 8));
    if (scenario_every(20))
        fault_begin(FAULT_FREEZE, simulation_largest_owner(), scenario_random(1, 6));
    if (scenario_every(8))
        simulation_cancel_jobs(0.1);
}

static void each_kind_was_lost(void)
{
    lost_begin(); /* the last day */
    for (int k = 0; k < TXN_KIND_COUNT; k++)
        print_message("%u answers to transactions lost: %s\n", lost[k],
                      simulation_txn_name((enum txn_kind)k));
    for (int k = 0; k < TXN_KIND_COUNT; k++)
        assert_true(lost[k] > 0);
}

/* --- the end of a job's last task, and nothing else --- */

static void last_task_step(void)
{
    simulation.repeated_reads_until = simulation.now + 1;
    simulation.odd_requests_until = simulation.now + faults_begin();
    simulation.cancel_at_end_until = simulation.now + faults_begin();
    for (int i = 0; i < JOBS; i++)
        if (!simulation.jobs[i].offered)
            simulation.jobs[i].spec.tasks = 1 + (uint32_t)i % 3;
}

/* --- odd requests, on nodes that have just begun, stand still or are refused --- */

static void odd_step(void)
{
    simulation.odd_requests_until = simulation.now + faults_begin();
    if (scenario_every(6))
        fault_begin(FAULT_CRASH, any_node(), scenario_random(0.1, 2));
    if (scenario_every(10))
        fault_begin(FAULT_REFUSED, any_node(), scenario_random(0.2, 10));
    if (scenario_every(10))
        fault_begin(FAULT_FREEZE, any_node(), scenario_random(0.2, 4));
    if (scenario_every(20))
        fault_begin(FAULT_SLOW_STATE, any_node(), scenario_random(1, 10));
    if (scenario_every(30))
        fault_begin(FAULT_OUTAGE, 0, scenario_random(0.5, 8));
    if (scenario_every(6))
        simulation_cancel_jobs(0.1);
}

static const struct scenario scenarios[] = {
    {"close looks", looks_step, draw_users, GUARD_CONFIRM, ANY_RULE, false, 6, NULL, NULL,
     NULL},
    {"slow confirmations", slow_confirmations_step, draw_users, GUARD_SHARED_CONFIRMATION,
     ANY_RULE, false, 6, NULL, NULL, NULL},
    {"unknown outcomes", outcomes_step, draw_users, GUARD_UNKNOWN_OUTCOME,
     RULE_JOB_FORGOTTEN, false, 6, NULL, NULL, NULL},
    {"lost answers", lost_step, draw_users, GUARD_LOST_RESPONSE, ANY_RULE, false, 12,
     lost_begin, each_kind_was_lost, NULL},
    {"end of the last task", last_task_step, draw_users, GUARD_FINAL, RULE_STATE_REVERTED,
     false, 6, NULL, NULL, NULL},
    {"odd requests", odd_step, draw_users, GUARD_DUPLICATE_REQUEST, RULE_JOB_FORGOTTEN,
     false, 6, NULL, NULL, NULL},
};

int main(int argc, char **argv)
{
    return scenario_main(scenarios, G_N_ELEMENTS(scenarios), argc, argv);
}
