/** @file
 * The order of jobs: which goes first, by when its next task has to start, and which are
 * put off when not all can meet their objectives.
 *
 * Pure functions of the shared state and the time of day, which is passed in seconds. The
 * caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_JOB_ORDER_H
#define LMN_SCHEDULER_JOB_ORDER_H

#include "state/core_state.h"

/** Compares two jobs by urgency, as qsort does: less than 0 if `a` goes first. No two
 * different jobs are equal. */
int lmn_job_compare(const struct lmn_job *a, const struct lmn_job *b);

/** Works out the job's latest start and whether its objectives are missed, for that time
 * of day. */
void lmn_job_update_latest_start(const struct lmn_settings *settings, struct lmn_job *job,
                                 double wall_clock_s);

/** Updates what the order depends on for all jobs of this controller's partitions; fair
 * shares, starvation and overload triage only from time to time. */
void lmn_update_job_order(struct lmn_core *core, double wall_clock_s);

/** Defers jobs (lmn_job.is_deferred) so that as many as possible meet their objectives.
 * @param jobs struct lmn_job with remaining_cpu_s set and no objective missed; is sorted
 * @param cpus processors of all machines
 * @param ordinary_cpus processors of those that are no spot instances */
void lmn_overload_triage(GPtrArray *jobs, double wall_clock_s, double cpus,
                         double ordinary_cpus);

#endif
