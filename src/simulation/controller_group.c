/** @file
 * Fault injection and the main loop of a simulated group of controllers
 * (simulation/controller_group.h). */
#include "simulation/controller_group.h"
#include "simulation/simulated_group.h"

#include <string.h>

/** Stands for "no period of refused connections so far": long before the simulation. */
static const double NEVER_S = -1e9;

static void inject_faults(struct lmn_simulated_group *group)
{
    const struct lmn_controller_group_options *options = group->options;

    for (int i = 0; i < options->members && options->stall_interval_s > 0; i++)
        if (lmn_simulated_is_running(group, i) &&
            g_rand_double(group->rng) < LMN_SIMULATION_STEP_S / options->stall_interval_s)
            group->controllers[i].stalled_until_s =
                group->now_s + lmn_simulated_random(group, options->max_stall_s);
    if (options->refusal_interval_s > 0 &&
        group->now_s > group->refusal_began_s + LMN_SIMULATION_REFUSAL_S &&
        g_rand_double(group->rng) < LMN_SIMULATION_STEP_S / options->refusal_interval_s)
        group->refusal_began_s = group->now_s;
    for (int i = 0; i < options->failing_members && group->now_s >= options->failed_at_s;
         i++)
        if (!group->controllers[i].failed_at_s)
            group->controllers[i].failed_at_s = group->now_s;
}

static void init_settings(struct lmn_settings *settings,
                          const struct lmn_controller_group_options *options,
                          int member_index)
{
    g_snprintf(settings->node_name, LMN_NAME_SIZE, "n%02d", member_index);
    settings->lease_s = options->lease_s;
    settings->heartbeat_s = options->heartbeat_s;
    for (int i = 0; i < options->members; i++)
        if (i != member_index)
            g_snprintf(settings->members[settings->member_count++].name, LMN_NAME_SIZE,
                       "n%02d", i);
}

static void init_controller(struct lmn_simulated_group *group, int member_index)
{
    struct lmn_simulated_controller *controller = &group->controllers[member_index];

    init_settings(&controller->settings, group->options, member_index);
    lmn_members_init(&controller->members, &controller->settings, lmn_simulated_time(0));
    controller->next_tick_s = lmn_simulated_random(group, LMN_SIMULATION_TICK_INTERVAL_S);
    controller->next_decision_s =
        lmn_simulated_random(group, LMN_SIMULATION_TICK_INTERVAL_S);
    lmn_simulated_renew_member_record(group, member_index);
}

static void init_group(struct lmn_simulated_group *group)
{
    group->rng = g_rand_new_with_seed(group->options->seed);
    group->history = g_array_new(FALSE, FALSE, sizeof(struct lmn_simulated_change));
    group->writes = g_array_new(FALSE, FALSE, sizeof(struct lmn_simulated_write));
    group->controllers = g_new0(struct lmn_simulated_controller, group->options->members);
    for (int i = 0; i < group->options->members; i++)
        init_controller(group, i);
}

static void clear_group(struct lmn_simulated_group *group)
{
    g_array_free(group->history, TRUE);
    g_array_free(group->writes, TRUE);
    g_free(group->controllers);
    g_rand_free(group->rng);
}

static void step_group(struct lmn_simulated_group *group)
{
    inject_faults(group);
    lmn_simulated_apply_writes(group);
    for (int i = 0; i < group->options->members; i++)
        if (lmn_simulated_is_running(group, i))
            lmn_simulated_controller_step(group, &group->controllers[i]);
}

/** Whether all of the first `count` flags are set; false if `count` is 0. */
static bool are_all_set(const bool *flags, int count)
{
    for (int i = 0; i < count; i++)
        if (!flags[i])
            return false;
    return count > 0;
}

void lmn_simulate_controller_group(const struct lmn_controller_group_options *options,
                                   struct lmn_controller_group_result *result)
{
    struct lmn_simulated_group group = {
        .options = options, .result = result, .refusal_began_s = NEVER_S};
    guint64 steps = (guint64)(options->seconds / LMN_SIMULATION_STEP_S);

    memset(result, 0, sizeof *result);
    result->suspected_s = result->declared_failed_s = -1;
    init_group(&group);
    for (guint64 step = 1; step <= steps; step++) {
        group.now_s = (double)step * LMN_SIMULATION_STEP_S;
        step_group(&group);
        double since_failure_s = group.now_s - options->failed_at_s;
        if (result->suspected_s < 0 && since_failure_s >= 0 &&
            are_all_set(group.was_suspected, options->failing_members))
            result->suspected_s = since_failure_s;
        if (are_all_set(group.was_declared_failed, options->failing_members)) {
            /* Negative if the members were declared failed before they failed. */
            result->declared_failed_s = since_failure_s;
            break;
        }
    }
    clear_group(&group);
}
