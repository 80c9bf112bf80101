/** @file
 * The autoscaler's demand; see autoscaler_demand.h. The caller holds the core's lock. */
#include "scheduler/autoscaler_demand.h"
#include "scheduler/fair_share.h"

/** Factor, 1 at most, that reduces the team's demand to its quota limits. */
static double limit_factor(const struct lmn_team *team, double cpus, double gpus)
{
    double factor = 1;

    if (team->cpus_max > 0 && cpus > team->cpus_max)
        factor = team->cpus_max / cpus;
    if (team->gpus_max > 0 && gpus > team->gpus_max)
        factor = MIN(factor, team->gpus_max / gpus);
    return factor;
}

/** Scales the demands down to the teams' quota limits. A team's tasks never use more than
 * its limit. Without this bound, with limits far below the demand, thousands of machines
 * would be provisioned, have nothing that may start, be returned as idle and be
 * provisioned again. The demands of all ranges of a team are multiplied by the same
 * factor, because the autoscaler does not know which of them start first. */
static void apply_quota_limits(const struct lmn_core *core, GArray *demands)
{
    double *cpus = g_new0(double, core->settings->team_count);
    double *gpus = g_new0(double, core->settings->team_count);

    for (guint i = 0; i < demands->len; i++) {
        const struct lmn_range_demand *demand =
            &g_array_index(demands, struct lmn_range_demand, i);
        cpus[demand->team] += demand->amounts.of[LMN_UNIT_CPUS];
        gpus[demand->team] += demand->gpus;
    }
    for (guint i = 0; i < demands->len; i++) {
        struct lmn_range_demand *demand =
            &g_array_index(demands, struct lmn_range_demand, i);
        /* Tasks that request nothing of what is limited all start. */
        if (demand->spec->cpus <= 0 && demand->spec->gpus <= 0)
            continue;
        double factor = limit_factor(&core->settings->teams[demand->team],
                                     cpus[demand->team], gpus[demand->team]);
        for (int unit = 0; unit < LMN_UNIT_COUNT; unit++)
            demand->amounts.of[unit] *= factor;
        demand->memory_gb *= factor;
    }
    g_free(cpus);
    g_free(gpus);
}

/** Whether no ordinary machine of any type should be provisioned for the job
 * (lmn_is_spot_only). */
static bool is_spot_only(const struct lmn_core *core, const struct lmn_job_spec *spec)
{
    const struct lmn_machine_types *types = &core->cloud.machine_types;

    for (size_t i = 0; i < types->count; i++)
        if (!lmn_is_spot_only(core->settings, spec, &types->types[i]))
            return false;
    return types->count > 0;
}

double lmn_range_desired_tasks(const struct lmn_core *core, const struct lmn_range *range)
{
    const struct lmn_job_spec *spec = &range->job->spec;
    double horizon_s = core->cache.operator_settings.horizon_s;
    double tasks = range->end - range->first -
                   (range->task_states ? range->finished_count : range->done_count);

    if (spec->kind == LMN_JOB_BATCH) {
        double within_horizon = tasks * MAX(spec->estimate_s, 1) / horizon_s;
        within_horizon = MAX(within_horizon, 1);
        tasks = MIN(tasks, within_horizon);
    }
    /* A faulty job is retried with one task at a time. */
    if (lmn_job_is_faulty(&range->job->failures))
        tasks = MIN(tasks, 1);
    return tasks;
}

GArray *lmn_list_range_demands(const struct lmn_core *core, bool may_wait_for_spot)
{
    GArray *demands = g_array_new(FALSE, FALSE, sizeof(struct lmn_range_demand));
    GHashTableIter iter;
    gpointer value;

    for (int i = 0; i < core->partition_count; i++) {
        g_hash_table_iter_init(&iter, core->partitions[i].ranges);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const struct lmn_range *range = value;
            const struct lmn_job_spec *spec = &range->job->spec;
            double tasks = lmn_range_desired_tasks(core, range);
            if (range->job->phase != LMN_JOB_ACTIVE || tasks <= 0 || range->job->team < 0)
                continue;
            struct lmn_range_demand demand = {.spec = spec,
                                              .team = range->job->team,
                                              .is_spot_only = may_wait_for_spot &&
                                                              is_spot_only(core, spec),
                                              .gpus = tasks * spec->gpus,
                                              .memory_gb = tasks * spec->memory_gb};
            const struct lmn_amounts task = lmn_task_amounts(spec);
            lmn_amounts_add(&demand.amounts, tasks, &task);
            g_array_append_val(demands, demand);
        }
    }
    apply_quota_limits(core, demands);
    return demands;
}

struct lmn_demand_totals lmn_sum_demand(const struct lmn_core *core,
                                        const GArray *demands)
{
    struct lmn_demand_totals sum = {.all.of[LMN_UNIT_CPUS] =
                                        core->cache.operator_settings.spare_cpus};

    for (guint i = 0; i < demands->len; i++) {
        const struct lmn_range_demand *demand =
            &g_array_index(demands, struct lmn_range_demand, i);
        lmn_amounts_add(&sum.all, 1, &demand->amounts);
        if (demand->is_spot_only)
            lmn_amounts_add(&sum.spot_only, 1, &demand->amounts);
        if (!demand->spec->may_use_spot)
            lmn_amounts_add(&sum.ordinary, 1, &demand->amounts);
    }
    return sum;
}
