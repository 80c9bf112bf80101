/** @file
 * The task ledger: an owner's queues, machines, attempts, and the counts derived from
 * them. These functions keep them consistent with each other; decisions are made in
 * partition/ and scheduler/. The caller holds the core's lock. */
#ifndef LMN_STATE_TASK_LEDGER_H
#define LMN_STATE_TASK_LEDGER_H

#include "state/core_state.h"

/** Initialises an empty queue. */
void lmn_queue_init(struct lmn_queue *queue);

/** Removes all tasks from the queue; its array of segments remains allocated. */
void lmn_queue_clear(struct lmn_queue *queue);

/** Adds the range's tasks first..end-1: extends the segment that ends at `first`, or
 * appends a new one. */
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

/** Bytes that a machine takes in its block's record, as the store counts them (as JSON).
 */
size_t lmn_machine_record_size(const struct lmn_machine *machine);

/** Removes the machine from its block, if it is in one. */
void lmn_machine_leave_block(struct lmn_machine *machine);

/** Adds `change` to the number of the job's tasks in the zone, if the job has zone
 * affinity or anti-affinity. */
void lmn_job_add_zone_tasks(struct lmn_job *job, const char *zone, int change);

/** Adds the machine to the woken machines, which get work before their next heartbeat. */
void lmn_machine_wake(struct lmn_machine *machine);

/** Removes the machine from the woken machines. */
void lmn_machine_cancel_wake(struct lmn_machine *machine);

/** Marks the machine as changed, so that its state is sent to the standby. */
void lmn_machine_mark_unreplicated(struct lmn_machine *machine);

/** Appends a start on the machine to the replication log. If the replication stream is
 * catching up or later, the caller must not send the start to the agent before the
 * standby has acknowledged it.
 *
 * @return log position whose acknowledgement the start has to wait for; 0: none */
uint64_t lmn_machine_log_start(struct lmn_machine *machine, struct timespec now);

/** Sets the address from the machine's heartbeats, and updates the count of its host. */
void lmn_machine_set_address(struct lmn_machine *machine, const char *address);

/** Allocates a machine and adds it to the partition, which owns it. */
struct lmn_machine *lmn_machine_new(struct lmn_partition *partition, const char *name);

/** Frees a machine; called when it is removed from the partition's table. */
void lmn_machine_free(struct lmn_machine *machine);

/** Adds the attempt's resources to the machine's used capacity and the team's used quota,
 * unless they were added already or the attempt's job is unknown. */
void lmn_attempt_count(struct lmn_machine *machine, struct lmn_attempt *attempt);

/** Subtracts the attempt's resources, if lmn_attempt_count added them. */
void lmn_attempt_uncount(struct lmn_machine *machine, struct lmn_attempt *attempt);

/** Finds the job's range in the partition that contains the task; NULL: none.
 *
 * @param job  may be NULL */
struct lmn_range *lmn_partition_find_range(const struct lmn_partition *partition,
                                           struct lmn_job *job, uint32_t index);

/** Frees a range; called when it is removed from the partition's table. */
void lmn_range_free(struct lmn_range *range);

/** Frees a job; the caller ensures that nothing refers to it. */
void lmn_job_free(struct lmn_job *job);

/** Whether the range's queued tasks may start. Tasks of a range from before this
 * ownership may start only once every machine that may already run them is accounted for;
 * otherwise they could run twice. */
bool lmn_range_may_start(const struct lmn_range *range);

/** Whether the machine's heartbeat is overdue. Always false for machines that need no
 * probe: not accounted for, expired, draining or terminated. */
bool lmn_machine_is_silent(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct timespec now);

#endif
