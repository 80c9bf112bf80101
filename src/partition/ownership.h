/** @file
 * The decisions of the ownership manager: when this controller writes its member record,
 * claims and transfers partitions, and suspects other members.
 *
 * Each deciding function returns a transaction for the caller to commit and free, or NULL
 * if nothing is due. Suspicions, transfers, and claims that declare the previous owner
 * failed are logged. The thread that renews the lease and commits the transactions is in
 * ownership_thread.h. The caller holds the core's lock during each call. */
#ifndef LMN_PARTITION_OWNERSHIP_H
#define LMN_PARTITION_OWNERSHIP_H

#include "state/core_state.h"

/** Returns a transaction that rewrites this controller's member record, if another member
 * wrongly suspects this controller. The record's revision is the controller's
 * incarnation, and a suspicion applies to one incarnation only: it does not apply to the
 * new one. */
struct lmn_txn *lmn_ownership_refute(const struct lmn_core *core, uint64_t lease,
                                     struct timespec now);

/** Returns a transaction that writes this controller's member record, if the watch cache
 * does not show the record with the current lease and shutdown state. Writing it once is
 * not enough: a delayed write by this controller's previous process can replace the
 * record, which is then removed when the lease of that process expires. Without a record,
 * no other member trusts this controller. */
struct lmn_txn *lmn_ownership_announce(struct lmn_core *core, uint64_t lease,
                                       struct timespec now);

/** Records the outcome of the transaction that lmn_ownership_announce returned. */
void lmn_ownership_announce_completed(struct lmn_core *core,
                                      enum lmn_txn_outcome outcome);

/** Whether the watch cache shows this controller's member record with the current lease
 * and shutdown state. */
bool lmn_ownership_is_announced(const struct lmn_core *core, uint64_t lease);

/** Returns a transaction that records this controller's suspicion of the member, if
 * lmn_member_should_suspect finds the evidence sufficient. Each incarnation of a member
 * is suspected once. The record is attached to this controller's lease, so that it is
 * removed if this controller fails. */
struct lmn_txn *lmn_ownership_suspect(struct lmn_core *core, int member_index,
                                      uint64_t lease, struct timespec now);

/** Returns a transaction that claims the partition, if this controller should own it. If
 * this controller's previous process owned the partition, the transaction instead
 * transfers it to the standby that was in sync with that process, unless this controller
 * still holds the latest state or has no contact with the standby. */
struct lmn_txn *lmn_ownership_claim(struct lmn_core *core, int partition_id,
                                    uint64_t lease, struct timespec now);

/** Returns a transaction that transfers an owned partition, if a transfer is due: to the
 * partition's preferred owner, once that member is trusted again and owns no partition;
 * to another member, while this controller shuts down or receives heartbeats from too few
 * of its machines (lmn_self_transfer_target). From this call on, no task is started in
 * the partition, until a rejection, a conflict or a later state of the watch cache shows
 * that the transfer was not applied.
 * @param target set to the index of the member that receives the partition; -1: no
 * transfer is due */
struct lmn_txn *lmn_ownership_transfer(struct lmn_core *core, int partition_id,
                                       int *target, struct timespec now);

/** Records the outcome of the transaction that lmn_ownership_transfer returned. */
void lmn_ownership_transfer_completed(struct lmn_core *core, int partition_id,
                                      enum lmn_txn_outcome outcome, struct timespec now);

#endif
