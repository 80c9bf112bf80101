/** @file
 * Which partitions this controller should claim, and the transactions that change a
 * partition's owner. Each of these transactions writes an epoch higher than the present
 * one, so that a partition's epochs only increase. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_PARTITION_PARTITION_CLAIM_H
#define LMN_PARTITION_PARTITION_CLAIM_H

#include "state/core_state.h"

/** The member that would own the partition if its owner were declared failed now: the
 * standby that is in sync, or else the first trusted member in the partition's order,
 * which begins with its preferred owner.
 * @return member index; -1: none */
int lmn_partition_next_owner(const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now);

/** Whether this controller should claim the partition now. */
bool lmn_partition_should_claim(const struct lmn_core *core,
                                const struct lmn_partition *partition,
                                struct timespec now);

/** The transaction by which this controller claims the partition. It writes the owner's
 * record and a higher epoch, conditional on the revisions of both in the watch cache. If
 * another member owns the partition, which the claim declares failed, it is also
 * conditional on that member's incarnation. Freed by the caller. */
struct lmn_txn *lmn_partition_claim(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    uint64_t lease);

/** The transaction by which this controller transfers the partition to another member. It
 * writes the owner's record and a higher epoch as lmn_partition_claim does, but is
 * conditional on the target's incarnation, and the record is attached to the target's
 * lease. Freed by the caller.
 * @param target member index */
struct lmn_txn *lmn_partition_transfer(const struct lmn_core *core,
                                       const struct lmn_partition *partition, int target);

#endif
