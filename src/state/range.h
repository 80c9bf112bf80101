/** @file
 * Ranges of a job's tasks, and queues of those that wait.
 *
 * A range is the unit of ownership: each lies in one partition, and only the partition's
 * owner writes it. Owner: the watch cache makes ranges and sets what their records say;
 * partition/ and scheduler/ set the owner's fields while the partition is owned here. All
 * under the core's lock. */
#ifndef LMN_STATE_RANGE_H
#define LMN_STATE_RANGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_job;
struct lmn_partition;

/** Where a task of an owned range stands. */
enum lmn_task_state {
    LMN_TASK_QUEUED,  /**< on no machine */
    LMN_TASK_STARTED, /**< on a machine, or possibly on its way to one */
    LMN_TASK_DONE,
    LMN_TASK_MOVING, /**< neither queued nor started until a move's outcome is known */
};

/** Tasks first..end-1 of a job, in one partition. */
struct lmn_range {
    struct lmn_job *job;
    struct lmn_partition *partition;
    uint32_t first, end;
    char *key;                 /**< of its record */
    uint8_t *done;             /**< bit set of the tasks that are recorded as done */
    uint32_t done_count;       /**< bits set in done */
    uint64_t revision;         /**< of its record's last write */
    uint64_t created_revision; /**< of its record's first write */
    uint32_t generation;       /**< of the listing that last named it */

    /* the owner's: */
    uint8_t *task_states; /**< an enum lmn_task_state for each task; NULL: not owned */
    bool is_assigned;     /**< its queued tasks stand in queues */
    uint32_t started_count, finished_count;
    bool is_writing;
    uint64_t written_revision; /**< of our last write, until the watch cache shows it */
    struct timespec dirty_since, retry_at;
    /* a move of the tasks from move_at on to another partition, while it is in flight */
    uint32_t move_at;
    int move_to;            /**< partition; -1: no move */
    bool move_is_uncertain; /**< a write's outcome is unknown: only the cache can tell */
    uint64_t move_revision;
};

/** Consecutive queued tasks first..end-1 of a range. */
struct lmn_queue_segment {
    struct lmn_range *range;
    struct lmn_job
        *job; /**< the range's, since scans over queues need nothing else of it */
    uint32_t first, end;
};

/** Queued tasks of a machine, or those of a partition that no machine's queue holds. */
struct lmn_queue {
    GPtrArray *segments; /**< struct lmn_queue_segment */
    uint32_t task_count;
};

#endif
