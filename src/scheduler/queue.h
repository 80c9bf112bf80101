/** @file
 * Scheduling inside a partition: which queued tasks a machine starts now.
 *
 * Users of one partition's scheduling include only this header; it includes those for
 * assignment to queues, stealing between queues, image caches and wait reasons. The
 * queues belong to the controller that owns the partition. The caller holds the core's
 * lock. */
#ifndef LMN_SCHEDULER_QUEUE_H
#define LMN_SCHEDULER_QUEUE_H

#include "scheduler/assignment.h"
#include "scheduler/image_cache.h"
#include "scheduler/local_stealing.h"
#include "scheduler/wait_reason.h"
#include "state/core_state.h"

/** Starts the tasks that fit on a machine that has just sent a heartbeat or has been
 * woken. If its own queue leaves capacity free, steals tasks from other queues of the
 * partition. Sets lmn_machine_stealing.is_idle_with_capacity.
 * @param commands start commands are appended to it (scheduler/task_start.h)
 * @return number of tasks started */
guint lmn_schedule_machine(struct lmn_core *core, struct lmn_machine *machine,
                           GByteArray *commands, struct timespec now);

#endif
