/** @file
 * Which partitions this controller should claim, and the transactions that change a
 * partition's owner. Epochs only rise: each of these transactions writes a higher one.
 * The core's lock is held by the caller throughout. */
#ifndef LMN_PARTITION_PARTITION_CLAIM_H
#define LMN_PARTITION_PARTITION_CLAIM_H

#include "state/core_state.h"

/** Who would own the partition if its owner were declared failed now: the standby, or the
 * first trusted member in the partition's order.
 * @return member index; -1: nobody */
int lmn_partition_next_owner(const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now);

/** Whether this controller should claim the partition now. */
bool lmn_partition_should_claim(const struct lmn_core *core,
                                const struct lmn_partition *partition,
                                struct timespec now);

/** The transaction that claims the partition: it writes the owner's key and a higher
 * epoch, both conditional on the present ones; and where that declares the owner failed,
 * conditional on the owner's incarnation. Freed by the caller. */
struct lmn_txn *lmn_partition_claim(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    uint64_t lease);

/** The same write by an owner that transfers the partition to another member: conditional
 * on that member's incarnation, and dependent on its lease. Freed by the caller. */
struct lmn_txn *lmn_partition_transfer(const struct lmn_core *core,
                                       const struct lmn_partition *partition, int target);

#endif
