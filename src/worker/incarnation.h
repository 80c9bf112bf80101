/** @file
 * The numbers of a real machine's incarnations, kept in the file "session". */
#ifndef LMN_WORKER_INCARNATION_H
#define LMN_WORKER_INCARNATION_H

#include "worker/worker_state.h"

/** Draws the next incarnation's number: above all earlier ones, and on the disk before
 * anybody learns of it. Ends the process if it can't be written. Used before the threads
 * start, and by the thread of the executor's events. */
uint64_t lmn_worker_next_incarnation(struct lmn_worker *worker);

#endif
