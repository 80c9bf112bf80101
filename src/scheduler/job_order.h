/* The order of jobs. Pure functions of the books and the time of day (wall, in seconds).
 * The core's lock is held by the caller throughout. */
#ifndef LMN_SCHEDULER_JOB_ORDER_H
#define LMN_SCHEDULER_JOB_ORDER_H

#include "state/core_state.h"

int lmn_job_compare(const struct lmn_job *a, const struct lmn_job *b);
/* Works out latest and lost for the time of day now. */
void lmn_job_update_latest_start(const struct lmn_settings *settings, struct lmn_job *job,
                                 double wall);
void lmn_update_job_order(struct lmn_core *core, double wall);
/* Which of the jobs should yield, so that as many as possible are in time: v holds jobs
 * that are not lost, the capacities are in processors. */
void lmn_overload_triage(GPtrArray *v, double wall, double cpus, double ordinary_cpus);

#endif
