/** @file
 * Applies job and range records to the watch cache. Called by state/watch_cache.c only,
 * with the core's lock held. */
#ifndef LMN_STATE_JOB_RECORDS_H
#define LMN_STATE_JOB_RECORDS_H

#include "state/core_state.h"
#include "state/record_change.h"

/** Applies a job's record; change->name is the job's id. */
void lmn_job_record_apply(struct lmn_core *core, const struct lmn_record_change *change);

/** Applies a range's record; change->name is JOB/FIRST. */
void lmn_range_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change);

/** Removes the partition's ranges that the last listing did not contain. */
void lmn_range_records_sweep(struct lmn_core *core, struct lmn_partition *partition);

#endif
