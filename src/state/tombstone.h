/* Tombstones: jobs whose withdrawal this node has committed and told their users, for the
 * members that may not see it yet.
 *
 * A help, never a condition. The refs of the last few are kept until each member has
 * taken them; whoever takes one stops the job's tasks although its own mirror shows the
 * job as active, and writes nothing on its strength. It counts only until the mirror is
 * proven to be of a later time: it was committed before it was told, so the mirror shows
 * it then, or it never was. So nothing can be revived, finished or cancelled by one that
 * is lost, late, doubled or wrong. */
#ifndef LMN_TOMBSTONE_H
#define LMN_TOMBSTONE_H

#include "util/clock.h"
#include "job/job_spec.h"
#include "config/settings.h"

#include <stdint.h>

/* A member that can't be reached for longer misses the oldest; the leases see to those.
 */
enum { LMN_MAX_TOMBSTONES = 256 };

struct lmn_tombstones {
    char job_ids[LMN_MAX_TOMBSTONES]
                [LMN_JOB_ID_SIZE]; /* the n-th stands at n modulo their number */
    uint64_t count;
    uint64_t acknowledged[LMN_MAX_PARTITIONS]; /* by rank: all before this one */
};

void lmn_tombstone_add(struct lmn_tombstones *tombstones, const char *ref);
/* The oldest that the member has not taken, at most `most` of them; returns how many, and
 * in *upto what to say to lmn_tombstones_acknowledge once it has. */
unsigned lmn_tombstones_pending(const struct lmn_tombstones *tombstones, int member_index,
                                const char **refs, unsigned most, uint64_t *upto);
void lmn_tombstones_acknowledge(struct lmn_tombstones *tombstones, int member_index,
                                uint64_t upto);
#endif
