/** @file
 * Tombstones: ids of jobs whose cancellation this controller has committed and confirmed
 * to the user. They are sent to the members whose watch cache may not show the
 * cancellation yet.
 *
 * Tombstones stop tasks earlier; correctness does not depend on them. The last
 * LMN_MAX_TOMBSTONES are kept until each member has acknowledged them. A member that
 * receives a tombstone stops the job's tasks even if its watch cache shows the job as
 * active, but writes no record because of it. The tombstone is ignored once that watch
 * cache shows the store as of the tombstone's arrival or later: a cancellation is
 * committed before its tombstone is sent, so the cache then shows the cancellation if
 * there was one. Hence a tombstone that is lost, late, duplicated or wrong can't revive,
 * finish or cancel a job.
 *
 * Under the core's lock. */
#ifndef LMN_TOMBSTONE_H
#define LMN_TOMBSTONE_H

#include "config/settings.h"
#include "job/job_spec.h"
#include "util/clock.h"

#include <stdint.h>

/** Number of tombstones kept. A member that is unreachable while more are added misses
 * the oldest; the tasks of those jobs then stop when that member's workers lose their
 * leases. */
enum { LMN_MAX_TOMBSTONES = 256 };

/** Ring buffer of the last tombstones. */
struct lmn_tombstones {
    /** Tombstone number n, counted from 0, is at n modulo LMN_MAX_TOMBSTONES. */
    char job_ids[LMN_MAX_TOMBSTONES][LMN_JOB_ID_SIZE];
    uint64_t count; /**< number of tombstones added so far */
    /** By member index: number of the first tombstone that the member has not
     * acknowledged. */
    uint64_t acknowledged[LMN_MAX_PARTITIONS];
};

/** Adds the tombstone of a job whose cancellation was committed. */
void lmn_tombstone_add(struct lmn_tombstones *tombstones, const char *job_id);

/** Finds the oldest tombstones that the member has not acknowledged.
 *
 * @param job_ids  array for `max` pointers, valid until the next lmn_tombstone_add
 * @param end      set to the value to pass to lmn_tombstones_acknowledge once the member
 *                 has acknowledged these tombstones
 * @return number of tombstones found, at most `max` */
unsigned lmn_tombstones_pending(const struct lmn_tombstones *tombstones, int member_index,
                                const char **job_ids, unsigned max, uint64_t *end);

/** Records that the member has acknowledged all tombstones with numbers below `end`. */
void lmn_tombstones_acknowledge(struct lmn_tombstones *tombstones, int member_index,
                                uint64_t end);

#endif
