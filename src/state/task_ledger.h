/* What an owner's books are made of: queues, machines, attempts and their counts. The
 * core's lock is held by the caller throughout. */
#ifndef LMN_STATE_TASK_LEDGER_H
#define LMN_STATE_TASK_LEDGER_H

#include "state/core_state.h"

/* What a machine takes of its block's record, in bytes: the service counts them as JSON.
 */
size_t lmn_machine_record_size(const struct lmn_machine *machine);

void lmn_queue_init(struct lmn_queue *queue);
void lmn_queue_clear(struct lmn_queue *queue);
void lmn_queue_add(struct lmn_queue *queue, struct lmn_range *range, uint32_t lo,
                   uint32_t hi);
/* Drops the stretch at the index. */
void lmn_queue_remove_segment(struct lmn_queue *queue, guint at);
void lmn_queue_remove_range(struct lmn_queue *queue, const struct lmn_range *range);
void lmn_queue_remove_task(struct lmn_queue *queue, const struct lmn_range *range,
                           uint32_t index);
/* Takes one task, or the range's tasks from lo on, out of the queue. */
void lmn_queue_remove_tail(struct lmn_queue *queue, const struct lmn_range *range,
                           uint32_t lo);
void lmn_machine_leave_block(struct lmn_machine *machine);
void lmn_job_add_zone_tasks(struct lmn_job *job, const char *zone, int n);
/* The machine is to be given work at once, or need not be any more. */
void lmn_machine_wake(struct lmn_machine *machine);
void lmn_machine_cancel_wake(struct lmn_machine *machine);
/* What may be on the machine has changed: its standby is to be told. */
void lmn_machine_mark_unreplicated(struct lmn_machine *machine);
/* A start was decided on for it: it goes out once the standby has acknowledged it, if
 * there is one. Returns the mark to wait for, 0: none. */
uint64_t lmn_machine_log_start(struct lmn_machine *machine, struct timespec now);
/* The machine reports from there. */
void lmn_machine_set_address(struct lmn_machine *machine, const char *addr);
struct lmn_machine *lmn_machine_new(struct lmn_partition *partition, const char *name);
void lmn_machine_free(struct lmn_machine *machine);
void lmn_attempt_count(struct lmn_machine *machine, struct lmn_attempt *attempt);
void lmn_attempt_uncount(struct lmn_machine *machine, struct lmn_attempt *attempt);
/* The job's range in the partition that holds the task; NULL: none. j may be NULL. */
struct lmn_range *lmn_partition_find_range(const struct lmn_partition *partition,
                                           struct lmn_job *job, uint32_t index);
void lmn_range_free(struct lmn_range *range);
/* Nothing may refer to it any more. */
void lmn_job_free(struct lmn_job *job);
/* Whether its queued tasks may start: an inherited range's only once every machine that
 * may hold them is accounted for; one that is younger than our ownership was never a
 * predecessor's. */
bool lmn_range_may_start(const struct lmn_range *range);
/* It should have reported by now, and is worth asking. */
bool lmn_machine_is_silent(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct timespec now);

#endif
