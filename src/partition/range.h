/** @file
 * The ranges of an owner: what becomes of the states of their tasks. The core's lock is
 * held by the caller throughout. */
#ifndef LMN_PARTITION_RANGE_H
#define LMN_PARTITION_RANGE_H

#include "state/core_state.h"

/** Begins to keep the states of the range's tasks: done ones are done, all others count
 * as queued until a machine reports them. */
void lmn_range_open(struct lmn_core *core, struct lmn_range *range);

/** Removes all references to a range that is about to be freed. */
void lmn_range_remove_references(struct lmn_core *core, struct lmn_range *range);

/** Queues a started task again, and assigns it to a machine; does nothing if the task is
 * not started.
 * @param range may be NULL, or not owned any more: nothing happens */
void lmn_task_requeue(struct lmn_core *core, struct lmn_range *range, uint32_t index,
                      struct timespec now);

/** A task of an owned range is done: its record is due to be written. */
void lmn_task_finished(struct lmn_range *range, uint32_t index, struct timespec now);

/** The machine holds no task any more: everything it ran or had queued is queued again.
 * @param why for the log */
void lmn_machine_requeue_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const char *why, struct timespec now);

#endif
