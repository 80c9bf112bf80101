/** @file
 * The task states of the ranges in owned partitions, and how they change. The core's lock
 * is held by the caller throughout. */
#ifndef LMN_PARTITION_RANGE_H
#define LMN_PARTITION_RANGE_H

#include "state/core_state.h"

/** Begins to keep the states of the range's tasks. Tasks that are recorded as done are
 * done; all others count as queued until a machine reports them. */
void lmn_range_open(struct lmn_core *core, struct lmn_range *range);

/** Removes all references to the range from queues, attempts and its job, before the
 * range is freed. */
void lmn_range_remove_references(struct lmn_core *core, struct lmn_range *range);

/** Queues a started task again and assigns it to a machine. Does nothing if the task is
 * not started.
 * @param range nothing is done if it is NULL or not owned any more
 * @param index of the task in its job */
void lmn_task_requeue(struct lmn_core *core, struct lmn_range *range, uint32_t index,
                      struct timespec now);

/** Records that a task of an owned range is done. The range's record is then due to be
 * written.
 * @param index of the task in its job */
void lmn_task_finished(struct lmn_range *range, uint32_t index, struct timespec now);

/** Queues all tasks again that the machine was running or had in its queue, because it
 * runs none of them any more.
 * @param why the reason, for the log */
void lmn_machine_requeue_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const char *why, struct timespec now);

#endif
