/** @file
 * The tasks that have completed on a real machine: lines "job/index" in the file
 * "results" of the machine's directory. A recorded task is reported as done and never
 * runs on this machine again. */
#ifndef LMN_WORKER_RESULTS_H
#define LMN_WORKER_RESULTS_H

#include "worker/worker_state.h"

/** Reads the results that earlier processes have recorded. Must be called before the
 * threads start.
 * @return 0, or -1 with errno */
int lmn_results_open(struct lmn_worker *worker);

/** Whether the task's result is recorded on this machine. The lock is held. */
bool lmn_results_contain(const struct lmn_worker *worker, const char *job_id,
                         uint32_t index);

/** Thread function: records the results of attempts that have ended; never returns. It
 * reports an end to the state machine only after the result is on disk.
 * @param worker struct lmn_worker */
void *lmn_result_thread(void *worker);

#endif
