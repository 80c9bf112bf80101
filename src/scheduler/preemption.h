/* Room for production. The core's lock is held by the caller throughout. */
#ifndef LMN_SCHEDULER_PREEMPTION_H
#define LMN_SCHEDULER_PREEMPTION_H

#include "state/core_state.h"

/* Finds room for tasks of production that wait, and makes it where there is none. */
void lmn_preempt_for_production(struct lmn_core *core, struct lmn_partition *partition,
                                struct timespec now);

#endif
