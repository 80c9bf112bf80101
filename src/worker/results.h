/** @file
 * The results of tasks that have completed on a real machine: lines "job/index" in the
 * file "results". A task with a result here is reported as done, and never run again. */
#ifndef LMN_WORKER_RESULTS_H
#define LMN_WORKER_RESULTS_H

#include "worker/worker_state.h"

/** Reads the results that earlier processes have recorded. Before the threads start.
 * @return 0, or -1 with errno */
int lmn_results_open(struct lmn_worker *worker);

/** Whether the task's result is kept here. The lock is held. */
bool lmn_results_contain(const struct lmn_worker *worker, const char *job_id,
                         uint32_t index);

/** Records the results of attempts that have ended, for ever (a thread). Tells the state
 * machine of their ends only after their results are on the disk.
 * @param worker struct lmn_worker */
void *lmn_result_thread(void *worker);

#endif
