/** @file
 * Scans over queues: which of the queued tasks a machine could start now, and which of
 * them it should start first.
 *
 * A scan is for one machine at one time. The same few jobs stand in most queues, so what
 * is found out about a job is kept in the job for the length of the scan. Internal to
 * scheduler/. Owner of the state: the controller that owns the partition; the caller
 * holds the core's lock throughout.
 *
 * The functions depend only on the shared state, the time, and for samples on the core's
 * random source. */
#ifndef LMN_SCHEDULER_QUEUE_SCAN_H
#define LMN_SCHEDULER_QUEUE_SCAN_H

#include "state/core_state.h"

/** Begins a scan: what earlier ones found out about jobs is not used any more. */
void lmn_queue_scan_begin(struct lmn_core *core);

/** Records that a start has taken resources: jobs that could start before it are checked
 * again; those that could not are not, since starts only take resources away. */
void lmn_queue_scan_record_start(struct lmn_core *core);

/** Compares two jobs as the machine should choose between them: less than 0 if `a` goes
 * first. As lmn_job_compare, but a task whose image the machine lacks counts as later. */
int lmn_queue_scan_compare(const struct lmn_core *core, const struct lmn_machine *machine,
                           struct lmn_job *a, struct lmn_job *b, struct timespec now);

/** Index of the most urgent segment of the queue that the machine could start now; -1:
 * none. It is searched for each time, since the order of jobs changes with time. */
int lmn_queue_scan_best_segment(const struct lmn_core *core,
                                const struct lmn_queue *queue,
                                const struct lmn_machine *machine, struct timespec now);

/** Number of queued tasks whose jobs the machine could start now. */
uint32_t lmn_queue_scan_count_startable(const struct lmn_core *core,
                                        const struct lmn_queue *queue,
                                        const struct lmn_machine *machine,
                                        struct timespec now);

/** Draws a random sample of the queues of the partition's other machines, and adds the
 * partition's unassigned queue, which is always looked at (MATRIX, sections 2.3.1 and
 * 4.2.2).
 * @return struct lmn_queue pointers; the caller frees the array, not the queues */
GPtrArray *lmn_queue_scan_sample(struct lmn_core *core,
                                 const struct lmn_machine *machine);

#endif
