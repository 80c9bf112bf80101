/** @file
 * Machines for unschedulable tasks (scheduler/unschedulable.h): those that wait although
 * the capacity covers the demand.
 *
 * Internal to scheduler/. Pure functions of the core's state and the time. The caller
 * holds the core's lock. */
#ifndef LMN_SCHEDULER_AUTOSCALER_UNSCHEDULABLE_H
#define LMN_SCHEDULER_AUTOSCALER_UNSCHEDULABLE_H

#include "scheduler/autoscaler_capacity.h"

/** The unschedulable tasks of one job in one partition for which no machine arrives. */
struct lmn_unserved_tasks {
    const struct lmn_job *job;
    const struct lmn_unschedulable_tasks *listed;
    double tasks; /**< number of tasks that no arriving machine can take */
};

/** Lists the unschedulable tasks that the arriving machines can't take, when these take
 * as many as they can. A machine that is up is left out: if it had free capacity for the
 * tasks, they would not be listed.
 * @return struct lmn_unserved_tasks, the longest wait first; the caller frees the array
 */
GArray *lmn_list_unserved(const struct lmn_core *core,
                          const struct lmn_capacity *capacity, struct timespec now);

/** Number of machines of the offer that the tasks need; 0: they may not run on them. */
double lmn_machines_for_unserved(const struct lmn_unserved_tasks *unserved,
                                 const struct lmn_offer *offer);

#endif
