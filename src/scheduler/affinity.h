/** @file
 * Affinity and anti-affinity: jobs that ask for all of their tasks in one zone, or for
 * their tasks to be spread over zones.
 *
 * Pure function of the core's state. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_AFFINITY_H
#define LMN_SCHEDULER_AFFINITY_H

#include "state/core_state.h"

/** Number of further tasks of the job that its affinity or anti-affinity lets start in
 * the zone. It depends on the zones in which other tasks of the job run or may run
 * (lmn_job.zones). */
uint32_t lmn_zone_task_capacity(const struct lmn_job *job, const char *zone);

#endif
