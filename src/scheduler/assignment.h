/** @file
 * Assignment of queued tasks to the queues of a partition's machines.
 *
 * A task that stands in a machine's queue is only planned for it: it may still be stolen
 * by another machine, and starts only if scheduler/queue.h decides so. Owner of the
 * state: the controller that owns the partition; the caller holds the core's lock
 * throughout. */
#ifndef LMN_SCHEDULER_ASSIGNMENT_H
#define LMN_SCHEDULER_ASSIGNMENT_H

#include "state/core_state.h"

/** Assigns the queued tasks first..end-1 of the range to queues of machines that can run
 * them, or to the partition's unassigned queue if there are none. */
void lmn_assign_tasks(struct lmn_core *core, struct lmn_range *range, uint32_t first,
                      uint32_t end, struct timespec now);

/** Assigns all queued tasks of the range, which must stand in no queue. */
void lmn_assign_range(struct lmn_core *core, struct lmn_range *range,
                      struct timespec now);

/** Takes the range's tasks out of all queues and assigns them again. */
void lmn_reassign_range(struct lmn_core *core, struct lmn_range *range,
                        struct timespec now);

/** Assigns the job's queued tasks in this controller's partitions again. Called when the
 * job is declared faulty, so that its tasks leave the machines' queues for the unassigned
 * one, and when it is cleared. */
void lmn_reassign_job(struct lmn_core *core, struct lmn_job *job, struct timespec now);

/** Takes the machine's queue from it and assigns the tasks again, to the machines that
 * can run them now. What is reserved there for preempting tasks is released. */
void lmn_reassign_machine_queue(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now);

/** Drains the machine: it starts nothing more, its queue is assigned to others, and it is
 * returned once it is empty. Draining it again only adds `at_once`.
 * @param at_once the tasks that run there can't be waited for
 * @param reason for the log */
void lmn_machine_drain(struct lmn_core *core, struct lmn_machine *machine, bool at_once,
                       const char *reason, struct timespec now);

#endif
