/** @file
 * A replica of the owner's state of a partition that this controller does not own.
 *
 * A replica comes either from the batches that the owner has sent to this controller as
 * its standby, or from this process's own state at the time when it lost the partition.
 * replication/failover.h uses it to take the partition over. The caller holds the core's
 * lock during each call. */
#ifndef LMN_REPLICATION_REPLICA_H
#define LMN_REPLICATION_REPLICA_H

#include "replication/batch.h"

/** A replica. The partition owns and frees it (replication.replica). */
struct lmn_replica {
    uint64_t epoch;                /**< of the owner whose state this is */
    uint64_t stream;               /**< id of the stream; 0 if is_own_state */
    uint64_t last_batch_number;    /**< of the latest batch that was applied */
    GHashTable *machines;          /**< name -> struct lmn_machine_snapshot, owned */
    struct timespec last_batch_at; /**< when the latest batch came, steady clock */
    bool is_own_state;             /**< this process's own state at the end of `epoch` */
};

/** What the standby replies to a batch. */
enum lmn_replica_result {
    /** The batch was applied, by this call or an earlier one. */
    LMN_REPLICA_APPLIED,
    /** The batch belongs to a stream that this process does not follow, or is not the
     * stream's next batch: the owner has to start a new stream. */
    LMN_REPLICA_UNKNOWN_STREAM,
    /** The batch is of an earlier epoch than the partition's, or this controller owns the
     * partition or is shutting down. */
    LMN_REPLICA_REJECTED,
};

/** Applies a batch to the replica of its partition. The first batch of a stream replaces
 * the replica of an older stream. Snapshots may be moved out of the batch. */
enum lmn_replica_result lmn_replica_apply(struct lmn_core *core,
                                          struct lmn_replication_batch *batch,
                                          struct timespec now);

/** Frees a replica; NULL is allowed. */
void lmn_replica_free(struct lmn_replica *replica);

/** Keeps the state of a partition that this process owns and is about to lose as a
 * replica, if that state names every attempt that may be on a machine. The first batch
 * from another owner replaces this replica. */
void lmn_replica_keep_own(struct lmn_partition *partition);

/** Whether the replica is this process's own state and, as far as the watch cache shows,
 * no other member has owned the partition since. */
bool lmn_replica_own_is_latest(const struct lmn_partition *partition);

/** Frees a replica of this process's own state once another member has owned the
 * partition, which makes the replica outdated. */
void lmn_replica_drop_outdated(const struct lmn_core *core,
                               struct lmn_partition *partition);

#endif
