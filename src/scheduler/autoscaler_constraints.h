/** @file
 * Demand that not every machine may serve: of jobs that are bound to a zone or to machine
 * types, or whose tasks are larger than some machines.
 *
 * The sums of all demand and of all capacity say nothing about such a job: machines that
 * it may not use can cover its demand in the sum. So for each set of offers to which some
 * jobs are confined, the demand confined to the set is compared with the capacity of the
 * set. By Hall's theorem this never finds a deficit where there is none.
 *
 * Internal to scheduler/. Pure functions of the core's state. The caller holds the core's
 * lock. */
#ifndef LMN_SCHEDULER_AUTOSCALER_CONSTRAINTS_H
#define LMN_SCHEDULER_AUTOSCALER_CONSTRAINTS_H

#include "scheduler/autoscaler_capacity.h"
#include "scheduler/autoscaler_demand.h"

/** Demand confined to a set of offers that has too little capacity for it. */
struct lmn_confined_deficit {
    GArray *demands; /**< the confined demand, struct lmn_range_demand */
    enum lmn_capacity_unit unit;
    double amount;       /**< what is missing of it */
    bool has_no_machine; /**< no machine of the set's offers runs or boots */
};

/** Finds the largest deficit of each unit in demand that is confined to some of the
 * offers and warrants a machine. Demand of jobs that may run on all ordinary machines is
 * not confined; that of jobs that wait for spot instances is left out.
 * @return struct lmn_confined_deficit, one for each unit with a deficit, processors
 * first; the caller frees the array, which frees the demands */
GArray *lmn_find_confined_deficits(const struct lmn_core *core, const GArray *demands,
                                   const struct lmn_capacity *capacity);

#endif
