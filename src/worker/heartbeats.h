/** @file
 * Sends a real machine's heartbeats to the controllers. */
#ifndef LMN_WORKER_HEARTBEATS_H
#define LMN_WORKER_HEARTBEATS_H

/** Thread function: sends heartbeats; never returns. @param worker struct lmn_worker */
void *lmn_heartbeat_thread(void *worker);

#endif
