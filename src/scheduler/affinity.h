/* Tasks of a job that look at each other's places. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_SCHEDULER_AFFINITY_H
#define LMN_SCHEDULER_AFFINITY_H

#include "state/core_state.h"

/* How many more of its tasks may be started in the zone. */
uint32_t lmn_zone_task_capacity(const struct lmn_job *job, const char *zone);

#endif
