/** @file
 * Receives the executor's messages in a real machine's agent. */
#ifndef LMN_WORKER_EXECUTOR_EVENTS_H
#define LMN_WORKER_EXECUTOR_EVENTS_H

/** Thread function: handles the executor's messages; never returns. Exits the process if
 * the executor is gone. @param worker struct lmn_worker */
void *lmn_executor_event_thread(void *worker);

#endif
