/** @file
 * Ranges of a job's tasks, and queues of tasks that wait to start.
 *
 * A range is the unit of ownership: each lies in one partition, and only the partition's
 * owner writes its record. Owner: the watch cache allocates ranges and sets the fields
 * that come from records; partition/ and scheduler/ set the owner's fields while this
 * controller owns the partition. All under the core's lock. */
#ifndef LMN_STATE_RANGE_H
#define LMN_STATE_RANGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_job;
struct lmn_partition;

/** State of a task in an owned range. */
enum lmn_task_state {
    LMN_TASK_QUEUED,  /**< waiting, on no machine */
    LMN_TASK_STARTED, /**< on a machine, or its start may be in flight */
    LMN_TASK_DONE,
    LMN_TASK_MOVING, /**< part of a move whose outcome is not known yet */
};

/** Tasks first..end-1 of a job, in one partition. */
struct lmn_range {
    struct lmn_job *job;
    struct lmn_partition *partition;
    uint32_t first, end;
    char *key;                 /**< of its record */
    uint8_t *done;             /**< bit set of the tasks that are recorded as done */
    uint32_t done_count;       /**< bits set in done */
    uint64_t revision;         /**< store revision of its record's last write */
    uint64_t created_revision; /**< store revision of its record's first write */
    uint32_t generation;       /**< number of the listing that last contained it */

    /* set by the owner: */
    uint8_t *task_states; /**< an enum lmn_task_state for each task; NULL: not owned */
    bool is_assigned;     /**< its queued tasks are in queues */
    uint32_t started_count, finished_count;
    bool is_writing;
    uint64_t written_revision; /**< of the owner's last write, until the cache shows it */
    struct timespec dirty_since, retry_at;
    struct timespec last_start_at; /**< of one of its tasks; 0: none was started */
    /** Since when its queued tasks have waited for a machine without a start
     * (scheduler/unschedulable.h); 0: none waits, or none could start now. */
    struct timespec waiting_since;
    /* the move in flight, of tasks move_at..end-1 to partition move_to */
    uint32_t move_at;
    int move_to; /**< partition; -1: no move */
    bool
        move_is_uncertain; /**< the write's outcome is unknown until the cache shows it */
    uint64_t move_revision;
};

/** Consecutive queued tasks first..end-1 of a range. */
struct lmn_queue_segment {
    struct lmn_range *range;
    struct lmn_job *job; /**< range->job, cached for scans over queues */
    uint32_t first, end;
};

/** Queue of a machine, or of a partition's tasks that are in no machine's queue. */
struct lmn_queue {
    GPtrArray *segments; /**< struct lmn_queue_segment */
    uint32_t task_count;
};

#endif
