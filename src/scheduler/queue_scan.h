/** @file
 * Scans over queues: which queued tasks a machine could start now, and which of them it
 * should start first.
 *
 * A scan is for one machine at one time. Most queues contain tasks of the same few jobs,
 * so the results for a job are cached in the job until the scan ends. Internal to
 * scheduler/. The queues belong to the controller that owns the partition. The caller
 * holds the core's lock.
 *
 * The functions depend only on the core's state, the time and, for samples, the core's
 * random source. */
#ifndef LMN_SCHEDULER_QUEUE_SCAN_H
#define LMN_SCHEDULER_QUEUE_SCAN_H

#include "state/core_state.h"

/** Begins a scan: invalidates the results that earlier scans have cached in jobs. */
void lmn_queue_scan_begin(struct lmn_core *core);

/** Records that a task was started, which uses resources: jobs that could start before
 * are checked again. Jobs that could not start before still can't, and are not checked
 * again. */
void lmn_queue_scan_record_start(struct lmn_core *core);

/** Compares two jobs for a start on the machine: less than 0 if `left` should start
 * first. Like lmn_job_compare, but a job whose image the machine lacks counts as having a
 * later latest start. */
int lmn_queue_scan_compare(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct lmn_job *left, struct lmn_job *right,
                           struct timespec now);

/** Index of the queue's most urgent segment that the machine could start now; -1: none.
 * Queues are not kept sorted, since the order of jobs changes with time. */
int lmn_queue_scan_best_segment(const struct lmn_core *core,
                                const struct lmn_queue *queue,
                                const struct lmn_machine *machine, struct timespec now);

/** Number of tasks in the queue that belong to jobs that the machine could start now. */
uint32_t lmn_queue_scan_count_startable(const struct lmn_core *core,
                                        const struct lmn_queue *queue,
                                        const struct lmn_machine *machine,
                                        struct timespec now);

/** Draws a random sample of the queues of the partition's other machines (MATRIX,
 * sections 2.3.1 and 4.2.2), and adds the partition's unassigned queue.
 * @return pointers to struct lmn_queue; the caller frees the array, not the queues */
GPtrArray *lmn_queue_scan_sample(struct lmn_core *core,
                                 const struct lmn_machine *machine);

#endif
