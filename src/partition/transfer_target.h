/** @file
 * Which member takes over a partition: a pure function of what the watch cache shows of
 * members and partitions, so that all members agree without talking to each other. Where
 * they do not, the conditions of the claim's transaction decide. The core's lock is held
 * by the caller throughout. */
#ifndef LMN_PARTITION_TRANSFER_TARGET_H
#define LMN_PARTITION_TRANSFER_TARGET_H

#include "state/core_state.h"

/** Whether nobody owns the partition, or its owner is another member that is declared
 * failed. */
bool lmn_partition_is_orphaned(const struct lmn_core *core,
                               const struct lmn_partition *partition,
                               struct timespec now);

/** For each orphaned partition, who should claim it: the member that is in sync with its
 * last owner; or its preferred owner, if that one owns nothing; or the member with the
 * fewest machines, those of the orphans before it included, so that several at a time are
 * spread.
 * @param targets set to member indices, -1 for partitions that are not orphaned; room for
 * all partitions */
void lmn_orphan_claimants(const struct lmn_core *core, struct timespec now, int *targets);

/** Who should get a partition that its owner, this controller, transfers.
 * @return member index; -1: nobody */
int lmn_transfer_target(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now);

#endif
