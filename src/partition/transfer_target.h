/** @file
 * Which member takes over a partition. The choice depends only on what the watch cache
 * shows of members and partitions, so that all members make the same choice without
 * exchanging messages. If their watch caches differ and two members claim a partition,
 * the conditions of the claims' transactions let only one succeed. The core's lock is
 * held by the caller throughout. */
#ifndef LMN_PARTITION_TRANSFER_TARGET_H
#define LMN_PARTITION_TRANSFER_TARGET_H

#include "state/core_state.h"

/** Whether the partition is orphaned: no member owns it, or its owner is another member
 * that may be declared failed. */
bool lmn_partition_is_orphaned(const struct lmn_core *core,
                               const struct lmn_partition *partition,
                               struct timespec now);

/** Chooses for each orphaned partition the member that should claim it: the member that
 * is in sync with the partition's last owner; otherwise its preferred owner, if that
 * member is trusted and owns no partition; otherwise the trusted member with the fewest
 * machines and partitions. Orphaned partitions that were given to a member earlier in the
 * same call count as its own, so that several orphaned partitions are spread over the
 * members.
 * @param claimants set to one member index for each partition; -1: the partition is not
 * orphaned, or no member can claim it; has room for all partitions */
void lmn_orphan_claimants(const struct lmn_core *core, struct timespec now,
                          int *claimants);

/** Chooses the member that a partition of this controller is transferred to, in the same
 * way, but never this controller itself.
 * @return member index; -1: none */
int lmn_transfer_target(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now);

#endif
