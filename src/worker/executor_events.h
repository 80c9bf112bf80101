/** @file
 * What the executor reports to a real machine's agent. */
#ifndef LMN_WORKER_EXECUTOR_EVENTS_H
#define LMN_WORKER_EXECUTOR_EVENTS_H

/** Handles the executor's messages, for ever (a thread). Ends the process if the executor
 * is gone. @param worker struct lmn_worker */
void *lmn_executor_event_thread(void *worker);

#endif
