/** @file
 * Uploads the output of attempts that have ended to the image store, and removes it from
 * the machine. */
#ifndef LMN_WORKER_TASK_LOGS_H
#define LMN_WORKER_TASK_LOGS_H

/** Thread function: uploads the output of queued attempts; never returns.
 * @param worker struct lmn_worker */
void *lmn_log_upload_thread(void *worker);

#endif
