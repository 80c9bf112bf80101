/** @file
 * The descriptions of jobs (what the tasks run), fetched from the image store. */
#ifndef LMN_WORKER_DESCRIPTIONS_H
#define LMN_WORKER_DESCRIPTIONS_H

/** Thread function: fetches queued descriptions; never returns.
 * @param worker struct lmn_worker */
void *lmn_description_thread(void *worker);

#endif
