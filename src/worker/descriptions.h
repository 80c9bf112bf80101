/** @file
 * The descriptions of jobs: what their tasks run, fetched from the image store. */
#ifndef LMN_WORKER_DESCRIPTIONS_H
#define LMN_WORKER_DESCRIPTIONS_H

/** Fetches descriptions that are queued, for ever (a thread).
 * @param worker struct lmn_worker */
void *lmn_description_thread(void *worker);

#endif
