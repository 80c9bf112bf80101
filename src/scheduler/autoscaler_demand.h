/** @file
 * The demand that the autoscaler provisions machines for: what the tasks of all open jobs
 * could use at a time, bounded by the teams' quota limits.
 *
 * Internal to scheduler/. Pure functions of the shared state; the caller holds the core's
 * lock throughout. */
#ifndef LMN_SCHEDULER_AUTOSCALER_DEMAND_H
#define LMN_SCHEDULER_AUTOSCALER_DEMAND_H

#include "state/core_state.h"

/** What the tasks of one range could use. */
struct lmn_range_demand {
    const struct lmn_job_spec *spec;
    int team;          /**< index in the settings */
    bool is_spot_only; /**< it is left to spot instances */
    double cpus, gpus, memory_gb;
};

/** Sums of all ranges' demands, in processors. */
struct lmn_demand_totals {
    double cpus;           /**< with the spare processors that the operator wants */
    double ordinary_cpus;  /**< of work that may not run on spot instances */
    double spot_only_cpus; /**< of work that is left to spot instances */
};

/** Lists what the tasks of each open range, in all partitions, could use.
 * @param may_wait_for_spot spot instances can be had: idle work is left to them
 * @return struct lmn_range_demand; the caller frees the array */
GArray *lmn_list_range_demands(const struct lmn_core *core, bool may_wait_for_spot);

/** Adds up demands of ranges. */
struct lmn_demand_totals lmn_sum_demand(const struct lmn_core *core,
                                        const GArray *demands);

#endif
