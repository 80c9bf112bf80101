/** @file
 * The task ledger: what an owner knows of its tasks. Here are its parts - queues,
 * machines, attempts, and counts of them - and how they are kept consistent; what is
 * decided from them is partition/'s and scheduler/'s. The core's lock is held throughout.
 */
#ifndef LMN_STATE_TASK_LEDGER_H
#define LMN_STATE_TASK_LEDGER_H

#include "state/core_state.h"

/** Sets up an empty queue. */
void lmn_queue_init(struct lmn_queue *queue);

/** Empties the queue; its array of segments stays. */
void lmn_queue_clear(struct lmn_queue *queue);

/** Appends the range's tasks first..end-1, to the segment that ends there if there is
 * one.
 */
void lmn_queue_add(struct lmn_queue *queue, struct lmn_range *range, uint32_t first,
                   uint32_t end);

/** Removes the segment at the index. */
void lmn_queue_remove_segment(struct lmn_queue *queue, guint segment_index);

/** Removes all tasks of the range. */
void lmn_queue_remove_range(struct lmn_queue *queue, const struct lmn_range *range);

/** Removes one task of the range, if the queue holds it. */
void lmn_queue_remove_task(struct lmn_queue *queue, const struct lmn_range *range,
                           uint32_t index);

/** Removes the range's tasks from `first` on. */
void lmn_queue_remove_tail(struct lmn_queue *queue, const struct lmn_range *range,
                           uint32_t first);

/** Bytes that a machine takes of its block's record, as the store counts them (as JSON).
 */
size_t lmn_machine_record_size(const struct lmn_machine *machine);

/** Takes the machine out of the block that records it, if there is one. */
void lmn_machine_leave_block(struct lmn_machine *machine);

/** Changes how many of the job's tasks are in the zone, if the job has affinity or
 * anti-affinity. */
void lmn_job_add_zone_tasks(struct lmn_job *job, const char *zone, int change);

/** Notes that the machine is to be given work at once. */
void lmn_machine_wake(struct lmn_machine *machine);

/** Notes that the machine need not be given work at once any more. */
void lmn_machine_cancel_wake(struct lmn_machine *machine);

/** Notes that what may be on the machine has changed, so the standby has to learn of it.
 */
void lmn_machine_mark_unreplicated(struct lmn_machine *machine);

/** Notes that a start on the machine was decided. It is sent to the agent when the
 * standby has acknowledged it, if there is one that starts wait for.
 *
 * @return the log position to wait for; 0: none */
uint64_t lmn_machine_log_start(struct lmn_machine *machine, struct timespec now);

/** Sets the address that the machine's heartbeats come from, and counts its host. */
void lmn_machine_set_address(struct lmn_machine *machine, const char *address);

/** Makes a machine and adds it to the partition, which owns it. */
struct lmn_machine *lmn_machine_new(struct lmn_partition *partition, const char *name);

/** Frees a machine; called when it is removed from the partition's table. */
void lmn_machine_free(struct lmn_machine *machine);

/** Counts the attempt against the machine's capacity and the team's quota, unless it is
 * counted already or its job is unknown. */
void lmn_attempt_count(struct lmn_machine *machine, struct lmn_attempt *attempt);

/** Undoes lmn_attempt_count, if the attempt is counted. */
void lmn_attempt_uncount(struct lmn_machine *machine, struct lmn_attempt *attempt);

/** The job's range in the partition that holds the task; NULL: none.
 *
 * @param job  may be NULL */
struct lmn_range *lmn_partition_find_range(const struct lmn_partition *partition,
                                           struct lmn_job *job, uint32_t index);

/** Frees a range; called when it is removed from the partition's table. */
void lmn_range_free(struct lmn_range *range);

/** Frees a job, to which nothing may refer any more. */
void lmn_job_free(struct lmn_job *job);

/** Whether the range's queued tasks may start. Those of an inherited range may only when
 * every machine that may hold them is accounted for; a range that is younger than our
 * ownership never had tasks of an earlier owner. */
bool lmn_range_may_start(const struct lmn_range *range);

/** Whether the machine's heartbeat is overdue, and the machine is worth probing. */
bool lmn_machine_is_silent(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct timespec now);

#endif
