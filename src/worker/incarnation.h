/** @file
 * The numbers of a real machine's incarnations. The last one is stored in the file
 * "session" of the machine's directory. */
#ifndef LMN_WORKER_INCARNATION_H
#define LMN_WORKER_INCARNATION_H

#include "worker/worker_state.h"

/** Allocates the next incarnation's number, which is higher than all earlier ones and is
 * on disk when the function returns. Exits the process if it can't be written. Not
 * thread-safe: called before the threads start, then only by the thread of the executor's
 * events. */
uint64_t lmn_worker_next_incarnation(struct lmn_worker *worker);

#endif
