/** @file
 * Assignment of queued tasks to the queues of a partition's machines.
 *
 * An assignment is only a plan: another machine may steal the task from the queue, and
 * scheduler/queue.h decides whether and where it starts. The queues belong to the
 * controller that owns the partition. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_ASSIGNMENT_H
#define LMN_SCHEDULER_ASSIGNMENT_H

#include "state/core_state.h"

/** Assigns the queued tasks first..end-1 of the range to the queues of machines that can
 * run them, or to the partition's unassigned queue if no machine can. */
void lmn_assign_tasks(struct lmn_core *core, struct lmn_range *range, uint32_t first,
                      uint32_t end, struct timespec now);

/** Assigns all queued tasks of the range. None of them may be in a queue already. */
void lmn_assign_range(struct lmn_core *core, struct lmn_range *range,
                      struct timespec now);

/** Removes the range's tasks from all queues and assigns them anew. */
void lmn_reassign_range(struct lmn_core *core, struct lmn_range *range,
                        struct timespec now);

/** Assigns the job's queued tasks in this controller's partitions anew. Called when the
 * job is declared faulty, which moves its tasks from the machines' queues to the
 * unassigned queue, and when it no longer counts as faulty. */
void lmn_reassign_job(struct lmn_core *core, struct lmn_job *job, struct timespec now);

/** Empties the machine's queue, releases its preemption reservation, and assigns the
 * tasks anew to machines that can run them now. */
void lmn_reassign_machine_queue(struct lmn_core *core, struct lmn_machine *machine,
                                struct timespec now);

/** Drains the machine: it starts no more tasks, the tasks in its queue are assigned to
 * other machines, and the machine is returned to the cloud once it runs nothing. If it is
 * draining already, only `at_once` is updated.
 * @param at_once do not wait for the tasks that run on the machine
 * @param reason text for the log */
void lmn_machine_drain(struct lmn_core *core, struct lmn_machine *machine, bool at_once,
                       const char *reason, struct timespec now);

#endif
