/** @file
 * Affinity and anti-affinity: jobs that ask for all of their tasks in one zone, or for
 * their tasks to be spread over zones.
 *
 * A pure function of the owner's state; the caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_AFFINITY_H
#define LMN_SCHEDULER_AFFINITY_H

#include "state/core_state.h"

/** How many more of the job's tasks may be started in the zone, given where the others
 * are or may be. */
uint32_t lmn_zone_task_capacity(const struct lmn_job *job, const char *zone);

#endif
