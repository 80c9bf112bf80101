/** @file
 * Scheduling inside a partition: which queued tasks a machine starts now.
 *
 * This header is the entry to the scheduling of one partition and names the headers that
 * its users need with it: assignment to queues, stealing between them, the machines'
 * images, and the reasons why tasks wait. Owner of the state: the controller that owns
 * the partition; the caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_QUEUE_H
#define LMN_SCHEDULER_QUEUE_H

#include "scheduler/assignment.h"
#include "scheduler/image_cache.h"
#include "scheduler/local_stealing.h"
#include "scheduler/wait_reason.h"
#include "state/core_state.h"

/** Starts what fits on a machine that has just sent a heartbeat or has been woken. If its
 * own queue leaves capacity free, tasks are stolen for it from other machines of the
 * partition. Sets lmn_machine_stealing.is_idle_with_capacity.
 * @param commands start commands are appended to it (scheduler/task_start.h)
 * @return how many tasks were started */
guint lmn_schedule_machine(struct lmn_core *core, struct lmn_machine *machine,
                           GByteArray *commands, struct timespec now);

#endif
