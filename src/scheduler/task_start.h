/** @file
 * The start of one task: the new attempt in the owner's state, and the command to the
 * worker.
 *
 * Whether and where a task starts is decided elsewhere (scheduler/queue.h). Internal to
 * scheduler/; the caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_TASK_START_H
#define LMN_SCHEDULER_TASK_START_H

#include "state/core_state.h"

/** Starts the first task of the segment, which must be queued in its range, on the
 * machine: records the attempt, removes the task from the segment, and appends the start
 * command.
 * @param commands the machine's commands, each a CBOR map; may be sent only once the
 * standby has acknowledged the attempt's log position, if there is a standby */
void lmn_start_task(struct lmn_core *core, struct lmn_machine *machine,
                    struct lmn_queue_segment *segment, GByteArray *commands,
                    struct timespec now);

#endif
