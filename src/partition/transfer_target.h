/* Who inherits: a function of what the mirror shows of members and partitions, so that
 * all agree without talk; the claim's conditions decide where they do not. The lock is
 * held.
 */
#ifndef LMN_PARTITION_TRANSFER_TARGET_H
#define LMN_PARTITION_TRANSFER_TARGET_H

#include "state/core_state.h"

/* Nobody owns it, or who does is judged. */
bool lmn_partition_is_orphaned(const struct lmn_core *core,
                               const struct lmn_partition *partition,
                               struct timespec now);
/* For each orphaned partition the rank of who should claim it, else -1: who is in step
 * with its last owner; or its usual holder, if that one holds nothing; or whoever has the
 * fewest machines, those of the orphans before it included, so that several at a time are
 * spread. successor: room for all partitions. */
void lmn_transfer_targets(const struct lmn_core *core, struct timespec now,
                          int *successor);
/* Who should have a partition that its owner, this node, gives away; -1: nobody. */
int lmn_transfer_target(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now);

#endif
