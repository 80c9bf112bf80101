/** @file
 * The output of attempts that have ended: uploaded to the image store, then removed. */
#ifndef LMN_WORKER_TASK_LOGS_H
#define LMN_WORKER_TASK_LOGS_H

/** Uploads the output of attempts that are queued, for ever (a thread).
 * @param worker struct lmn_worker */
void *lmn_log_upload_thread(void *worker);

#endif
