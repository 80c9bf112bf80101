/** @file
 * Preemption: capacity for production tasks that wait, taken from tasks of lower
 * priority.
 *
 * Pure functions of the shared state and the time, but for the marks that they set; the
 * caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_PREEMPTION_H
#define LMN_SCHEDULER_PREEMPTION_H

#include "state/core_state.h"

/** Finds machines for production tasks that wait in the partition, preempts tasks of
 * lower priority where capacity is lacking, and wakes those machines. */
void lmn_preempt_for_production(struct lmn_core *core, struct lmn_partition *partition,
                                struct timespec now);

#endif
