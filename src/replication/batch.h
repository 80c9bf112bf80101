/** @file
 * A batch of changes that the owner of a partition sends to its standby: for each changed
 * machine, a snapshot of all attempts, and if changed all images, that may be on it.
 *
 * Batches and snapshots are plain data without a lock; one thread at a time uses them. */
#ifndef LMN_REPLICATION_BATCH_H
#define LMN_REPLICATION_BATCH_H

#include "state/core_state.h"

/** A task attempt that may be on a machine. */
struct lmn_attempt_snapshot {
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index;  /**< of the task in its job */
    uint64_t number; /**< of the attempt */
    bool has_ended,
        is_done; /**< ended; ended with its task done, by the worker's report */
};

/** A container image on a machine. */
struct lmn_image_snapshot {
    char name[LMN_NAME_SIZE * 2];
    double gb;       /**< size in GB */
    bool is_present; /**< false: it is being fetched */
};

/** The state of a machine. It replaces the machine's earlier snapshot. */
struct lmn_machine_snapshot {
    char name[LMN_NAME_SIZE];
    uint64_t agent_incarnation; /**< 0: unknown */
    bool is_terminated;         /**< the machine provider has confirmed the termination */
    bool is_forgotten; /**< no record names the machine any more; the standby drops its
                          snapshot */
    GArray *attempts;  /**< struct lmn_attempt_snapshot */
    GArray *images;    /**< struct lmn_image_snapshot; NULL: as in the earlier snapshot */
};

/** A batch of a stream (replication/stream.h). */
struct lmn_replication_batch {
    int partition;
    uint64_t epoch, stream;
    uint64_t number;       /**< of the batch in its stream, from 0 */
    uint64_t log_position; /**< applying the batch acknowledges all starts up to this
                              position */
    GPtrArray *machines;   /**< struct lmn_machine_snapshot, owned */
};

/** Maximum number of machines in a batch. */
enum { LMN_REPLICATION_BATCH_MACHINES = 32 };

/** Returns an empty snapshot; free it with lmn_machine_snapshot_free. */
struct lmn_machine_snapshot *lmn_machine_snapshot_new(const char *name);

/** Returns a snapshot of what may be on the machine according to its owner's state. The
 * caller holds the core's lock.
 *
 * @param with_images false: the images are marked as unchanged */
struct lmn_machine_snapshot *lmn_machine_snapshot_take(const struct lmn_machine *machine,
                                                       bool with_images);

/** Frees a struct lmn_machine_snapshot; NULL is allowed. A GDestroyNotify. */
void lmn_machine_snapshot_free(gpointer data);

/** Returns an empty batch; free it with lmn_replication_batch_free. */
struct lmn_replication_batch *lmn_replication_batch_new(void);

/** Frees a batch and its snapshots; NULL is allowed. */
void lmn_replication_batch_free(struct lmn_replication_batch *batch);

#endif
