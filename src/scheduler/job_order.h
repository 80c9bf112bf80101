/** @file
 * The order in which jobs are scheduled: their urgency, their latest start times, and
 * overload triage, which defers some jobs when not all can meet their objectives.
 *
 * Depends only on the core's state and the time of day, which is passed in seconds. The
 * caller holds the core's lock. */
#ifndef LMN_SCHEDULER_JOB_ORDER_H
#define LMN_SCHEDULER_JOB_ORDER_H

#include "state/core_state.h"

/** Compares two jobs by urgency: less than 0 if `left` is scheduled first. Total order:
 * only a job compared with itself gives 0. */
int lmn_job_compare(const struct lmn_job *left, const struct lmn_job *right);

/** Updates lmn_job.latest_start_s and lmn_job.has_missed_objective for the time of day.
 */
void lmn_job_update_latest_start(const struct lmn_settings *settings, struct lmn_job *job,
                                 double wall_clock_s);

/** Updates the values that lmn_job_compare uses, for all jobs of this controller's
 * partitions. Latest starts are updated by every call; fair shares, starvation and
 * overload triage at most once per TRIAGE_INTERVAL_S (job_order.c). */
void lmn_update_job_order(struct lmn_core *core, double wall_clock_s);

/** Sets lmn_job.is_deferred so that as many jobs as possible meet their objectives.
 * @param jobs struct lmn_job, with remaining_cpu_s set and without missed objectives; the
 * array is sorted by latest start
 * @param cpus processors of all machines
 * @param ordinary_cpus processors of the machines that are not spot instances */
void lmn_overload_triage(GPtrArray *jobs, double wall_clock_s, double cpus,
                         double ordinary_cpus);

#endif
