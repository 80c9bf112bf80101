/** @file
 * The decisions of the ownership manager: to announce this controller, to claim and to
 * transfer partitions, and which members it suspects.
 *
 * Each function returns the transaction that is due, to be freed by the caller, or NULL,
 * and logs what it decides. The thread that keeps the lease and commits these
 * transactions is ownership_thread.h. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_PARTITION_OWNERSHIP_H
#define LMN_PARTITION_OWNERSHIP_H

#include "state/core_state.h"

/** Writes this controller's record anew, which gives it a new incarnation, if another
 * member suspects it wrongly. */
struct lmn_txn *lmn_ownership_refute(const struct lmn_core *core, uint64_t lease,
                                     struct timespec now);

/** Writes this controller's record whenever the watch cache does not show it as it should
 * be. Once is not enough: a record of an earlier process that is applied late, and is
 * removed with that one's lease, can take the present record's place, and no member would
 * count on this controller any more. */
struct lmn_txn *lmn_ownership_announce(struct lmn_core *core, uint64_t lease,
                                       struct timespec now);

/** Records the outcome of the transaction of lmn_ownership_announce. */
void lmn_ownership_announce_completed(struct lmn_core *core,
                                      enum lmn_txn_outcome outcome);

/** Whether the watch cache shows this controller's record as it should be. */
bool lmn_ownership_is_announced(const struct lmn_core *core, uint64_t lease);

/** Writes that this controller suspects the member. Each suspicion is written once, and
 * is removed with our lease, so that none outlives us. */
struct lmn_txn *lmn_ownership_suspect(struct lmn_core *core, int member_index,
                                      uint64_t lease, struct timespec now);

/** Claims the partition, if this controller should own it; or, if this process is a
 * restarted owner, transfers it to the standby that was in sync with it. */
struct lmn_txn *lmn_ownership_claim(struct lmn_core *core, int partition_id,
                                    uint64_t lease, struct timespec now);

/** Transfers a partition: to its preferred owner when that one has earned it; to other
 * members while this controller gets no heartbeats, or shuts down. From then on nothing
 * is started in the partition; lmn_ownership_transfer_completed records the outcome.
 * @param target set to the member that gets it; -1: no transfer is due */
struct lmn_txn *lmn_ownership_transfer(struct lmn_core *core, int partition_id,
                                       int *target, struct timespec now);

/** Records the outcome of the transaction of lmn_ownership_transfer. */
void lmn_ownership_transfer_completed(struct lmn_core *core, int partition_id,
                                      enum lmn_txn_outcome outcome, struct timespec now);

#endif
