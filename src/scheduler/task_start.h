/** @file
 * Starts one task: records a new attempt in the core's state and encodes the command for
 * the worker.
 *
 * scheduler/queue.h decides whether and where a task starts. Internal to scheduler/. The
 * caller holds the core's lock. */
#ifndef LMN_SCHEDULER_TASK_START_H
#define LMN_SCHEDULER_TASK_START_H

#include "state/core_state.h"

/** Starts the segment's first task on the machine: records the attempt, removes the task
 * from the segment, and appends the start command. The task's state in its range must be
 * LMN_TASK_QUEUED.
 * @param commands the machine's commands, each a CBOR map. If there is a standby, they
 * may be sent only after it has acknowledged the attempt's log position. */
void lmn_start_task(struct lmn_core *core, struct lmn_machine *machine,
                    struct lmn_queue_segment *segment, GByteArray *commands,
                    struct timespec now);

#endif
