/** @file
 * A batch of changes that an owner sends to its standby: for each machine, everything
 * that may be on it. Plain data without a lock; a batch belongs to whoever holds it. */
#ifndef LMN_REPLICATION_BATCH_H
#define LMN_REPLICATION_BATCH_H

#include "state/core_state.h"

/** An attempt that may be on a machine. */
struct lmn_attempt_snapshot {
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index;          /**< of the task in its job */
    uint64_t number;         /**< of the attempt */
    bool has_ended, is_done; /**< as the worker has reported */
};

/** An image on a machine. */
struct lmn_image_snapshot {
    char name[LMN_NAME_SIZE * 2];
    double gb;
    bool is_present; /**< false: it is being fetched */
};

/** The whole state of a machine. It replaces the machine's earlier snapshot. */
struct lmn_machine_snapshot {
    char name[LMN_NAME_SIZE];
    uint64_t agent_incarnation; /**< 0: not known */
    bool is_terminated;         /**< the machine provider has confirmed it */
    bool is_forgotten;          /**< no record names the machine any more */
    GArray *attempts;           /**< struct lmn_attempt_snapshot */
    GArray *images;             /**< struct lmn_image_snapshot; NULL: unchanged */
};

/** A batch of a stream (replication/stream.h). */
struct lmn_replication_batch {
    int partition;
    uint64_t epoch, stream;
    uint64_t number;       /**< 0: the first of its stream */
    uint64_t log_position; /**< once applied, all starts up to here are acknowledged */
    GPtrArray *machines;   /**< struct lmn_machine_snapshot, owned */
};

/** Most machines of a batch. */
enum { LMN_REPLICATION_BATCH_MACHINES = 32 };

/** An empty snapshot; free it with lmn_machine_snapshot_free. */
struct lmn_machine_snapshot *lmn_machine_snapshot_new(const char *name);

/** A snapshot of what may be on the machine by its owner's state. The core's lock is
 * held.
 *
 * @param with_images false: the images are marked as unchanged */
struct lmn_machine_snapshot *lmn_machine_snapshot_take(const struct lmn_machine *machine,
                                                       bool with_images);

/** Frees a struct lmn_machine_snapshot; NULL is allowed. A GDestroyNotify. */
void lmn_machine_snapshot_free(gpointer data);

/** An empty batch; free it with lmn_replication_batch_free. */
struct lmn_replication_batch *lmn_replication_batch_new(void);

/** Frees a batch and its snapshots; NULL is allowed. */
void lmn_replication_batch_free(struct lmn_replication_batch *batch);

#endif
