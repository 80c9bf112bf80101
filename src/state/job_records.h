/** @file
 * Applies records of jobs and of ranges of their tasks to the watch cache. Only
 * state/watch_cache.c calls these; the core's lock is held. */
#ifndef LMN_STATE_JOB_RECORDS_H
#define LMN_STATE_JOB_RECORDS_H

#include "state/core_state.h"
#include "state/record_change.h"

/** Applies a job's record; its id is the change's name. */
void lmn_job_record_apply(struct lmn_core *core, const struct lmn_record_change *change);

/** Applies a range's record, whose name is JOB/FIRST. */
void lmn_range_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change);

/** Drops the partition's ranges that the last listing did not name. */
void lmn_range_records_sweep(struct lmn_core *core, struct lmn_partition *partition);

#endif
