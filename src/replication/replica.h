/** @file
 * A replica of the owner state of a partition that this controller does not own.
 *
 * It has one of two origins: batches that the owner sent to this controller as its
 * standby, or this process's own state from when it was the last owner itself. Who uses
 * it to take the partition over is replication/failover.h. The caller holds the core's
 * lock throughout. */
#ifndef LMN_REPLICATION_REPLICA_H
#define LMN_REPLICATION_REPLICA_H

#include "replication/batch.h"

/** A replica. It is owned by the partition (replication.replica). */
struct lmn_replica {
    uint64_t epoch;                /**< the owner's */
    uint64_t stream;               /**< id of the stream; 0 if is_own_state */
    uint64_t last_batch_number;    /**< of the batch that was applied last */
    GHashTable *machines;          /**< name -> struct lmn_machine_snapshot, owned */
    struct timespec last_batch_at; /**< when a batch came last, steady clock */
    bool is_own_state; /**< this process's own state at the end of that epoch */
};

/** What the standby replies to a batch. */
enum lmn_replica_result {
    /** The batch is part of the replica, by this call or an earlier one. */
    LMN_REPLICA_APPLIED,
    /** The batch is of a stream that this process does not follow, or is not its next
     * one: the owner has to begin anew. */
    LMN_REPLICA_UNKNOWN_STREAM,
    /** The batch is of an epoch that is over, this controller owns the partition, or it
     * is shutting down. */
    LMN_REPLICA_REJECTED,
};

/** Applies a batch to the replica of its partition. A batch that begins a stream replaces
 * the replica of an older stream. Snapshots may be moved out of the batch. */
enum lmn_replica_result lmn_replica_apply(struct lmn_core *core,
                                          struct lmn_replication_batch *batch,
                                          struct timespec now);

/** Frees a replica; NULL is allowed. */
void lmn_replica_free(struct lmn_replica *replica);

/** Keeps the state of a partition that this process owns and is about to lose, if that
 * state names every attempt that may be on a machine. The first batch of another owner
 * replaces it. */
void lmn_replica_keep_own(struct lmn_partition *partition);

/** Whether the replica is this process's own state, and nobody has owned the partition
 * since, as far as the watch cache shows. */
bool lmn_replica_own_is_latest(const struct lmn_partition *partition);

/** Frees this process's own state once another member has owned the partition: it can no
 * longer be used. */
void lmn_replica_drop_outdated(const struct lmn_core *core,
                               struct lmn_partition *partition);

#endif
