/** @file
 * Preemption: stops tasks of lower priority to free capacity for waiting production
 * tasks.
 *
 * Depends only on the core's state and the time. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_PREEMPTION_H
#define LMN_SCHEDULER_PREEMPTION_H

#include "state/core_state.h"

/** Chooses machines for waiting production tasks of the partition, marks tasks of lower
 * priority to be stopped where a machine lacks capacity, and wakes the machines. */
void lmn_preempt_for_production(struct lmn_core *core, struct lmn_partition *partition,
                                struct timespec now);

#endif
