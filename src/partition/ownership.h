/** @file
 * The decisions of the ownership manager: when this controller writes its member record,
 * claims and transfers partitions, and suspects other members.
 *
 * Each deciding function logs its decision and returns the transaction to commit, which
 * the caller frees, or NULL if nothing is due. The thread that keeps the lease and
 * commits these transactions is in ownership_thread.h. The core's lock is held by the
 * caller throughout. */
#ifndef LMN_PARTITION_OWNERSHIP_H
#define LMN_PARTITION_OWNERSHIP_H

#include "state/core_state.h"

/** Rewrites this controller's member record if another member wrongly suspects this
 * controller: the new revision is a new incarnation, to which the suspicion does not
 * apply. */
struct lmn_txn *lmn_ownership_refute(const struct lmn_core *core, uint64_t lease,
                                     struct timespec now);

/** Writes this controller's member record whenever the watch cache does not show the
 * record of the present lease. Writing it once is not enough: a delayed write of this
 * controller's previous process can replace the record, and is removed when that
 * process's lease expires. Without a record, no other member trusts this controller. */
struct lmn_txn *lmn_ownership_announce(struct lmn_core *core, uint64_t lease,
                                       struct timespec now);

/** Records the outcome of the transaction that lmn_ownership_announce returned. */
void lmn_ownership_announce_completed(struct lmn_core *core,
                                      enum lmn_txn_outcome outcome);

/** Whether the watch cache shows this controller's member record with the present lease
 * and shutdown state. */
bool lmn_ownership_is_announced(const struct lmn_core *core, uint64_t lease);

/** Writes that this controller suspects the member, if it should. Each suspicion is
 * written once. It is attached to this controller's lease, so that it is removed when
 * this controller fails. */
struct lmn_txn *lmn_ownership_suspect(struct lmn_core *core, int member_index,
                                      uint64_t lease, struct timespec now);

/** Claims the partition, if this controller should own it. If this controller owned it
 * before its process restarted, the partition is transferred instead to the standby that
 * was in sync with the former process. */
struct lmn_txn *lmn_ownership_claim(struct lmn_core *core, int partition_id,
                                    uint64_t lease, struct timespec now);

/** Transfers an owned partition, if that is due: to its preferred owner once that member
 * is trusted again and owns no partition; to other members while this controller receives
 * no heartbeats, or shuts down. No task is started in the partition from then on, unless
 * it turns out that the transfer was not applied (lmn_ownership_transfer_completed).
 * @param target set to the index of the member that gets the partition; -1: no transfer
 * is due */
struct lmn_txn *lmn_ownership_transfer(struct lmn_core *core, int partition_id,
                                       int *target, struct timespec now);

/** Records the outcome of the transaction that lmn_ownership_transfer returned. */
void lmn_ownership_transfer_completed(struct lmn_core *core, int partition_id,
                                      enum lmn_txn_outcome outcome, struct timespec now);

#endif
