/** @file
 * Tombstones: jobs whose cancellation this controller has committed, and told their users
 * of, for the members whose watch cache may not show it yet.
 *
 * They are a help, never a condition. The ids of the last few are kept until each member
 * has acknowledged them; a member that receives one stops the job's tasks although its
 * own watch cache shows the job as active, but writes nothing because of it. A tombstone
 * counts only until that watch cache is proven to be of a later time: since the
 * cancellation was committed before it was sent, the cache shows it then, or it never
 * was. So nothing can be revived, finished or cancelled by a tombstone that is lost,
 * late, duplicated or wrong.
 *
 * Under the core's lock. */
#ifndef LMN_TOMBSTONE_H
#define LMN_TOMBSTONE_H

#include "config/settings.h"
#include "job/job_spec.h"
#include "util/clock.h"

#include <stdint.h>

/** Tombstones that are kept. A member that is unreachable while more are added misses the
 * oldest; there, the leases of its workers stop the tasks. */
enum { LMN_MAX_TOMBSTONES = 256 };

/** A ring of the last tombstones. */
struct lmn_tombstones {
    /** The n-th ever added stands at n modulo LMN_MAX_TOMBSTONES. */
    char job_ids[LMN_MAX_TOMBSTONES][LMN_JOB_ID_SIZE];
    uint64_t count; /**< ever added */
    /** By member index: the member has acknowledged all before this one. */
    uint64_t acknowledged[LMN_MAX_PARTITIONS];
};

/** Adds a job whose cancellation was committed. */
void lmn_tombstone_add(struct lmn_tombstones *tombstones, const char *job_id);

/** Finds the oldest that the member has not acknowledged.
 *
 * @param job_ids  array of `max` pointers; they are valid until the next addition
 * @param upto     set to what to pass to lmn_tombstones_acknowledge once the member has
 *                 acknowledged these
 * @return how many there are, at most `max` */
unsigned lmn_tombstones_pending(const struct lmn_tombstones *tombstones, int member_index,
                                const char **job_ids, unsigned max, uint64_t *upto);

/** Records that the member has acknowledged all before `upto`. */
void lmn_tombstones_acknowledge(struct lmn_tombstones *tombstones, int member_index,
                                uint64_t upto);

#endif
