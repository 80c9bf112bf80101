/** @file
 * The demand that the autoscaler provisions machines for: resources that the tasks of all
 * active jobs could use at the same time, bounded by the teams' quota limits.
 *
 * Internal to scheduler/. Pure functions of the core's state. The caller holds the core's
 * lock. */
#ifndef LMN_SCHEDULER_AUTOSCALER_DEMAND_H
#define LMN_SCHEDULER_AUTOSCALER_DEMAND_H

#include "scheduler/autoscaler_capacity.h"
#include "state/core_state.h"

/** Resources that the tasks of one range could use. */
struct lmn_range_demand {
    const struct lmn_job_spec *spec;
    int team;          /**< index in the settings */
    bool is_spot_only; /**< the job waits for spot instances (lmn_is_spot_only) */
    struct lmn_amounts amounts;
    double gpus, memory_gb;
};

/** Sums of the demands of all ranges. */
struct lmn_demand_totals {
    struct lmn_amounts all;       /**< and the operator setting `spare_cpus` */
    struct lmn_amounts ordinary;  /**< of jobs that may not run on spot instances */
    struct lmn_amounts spot_only; /**< of jobs that wait for spot instances */
};

/** Number of the range's unfinished tasks that should run at the same time: all of a
 * service; of a batch job as many as finish the range within the operator's horizon. */
double lmn_range_desired_tasks(const struct lmn_core *core,
                               const struct lmn_range *range);

/** Lists the demand of each range of an active job, in all partitions.
 * @param may_wait_for_spot idle jobs may wait for spot instances, since some can be had
 * @return struct lmn_range_demand; the caller frees the array */
GArray *lmn_list_range_demands(const struct lmn_core *core, bool may_wait_for_spot);

/** Adds up the demands of ranges, struct lmn_range_demand. */
struct lmn_demand_totals lmn_sum_demand(const struct lmn_core *core,
                                        const GArray *demands);

#endif
