/** @file
 * The thread of the ownership manager: it acquires and renews this controller's lease in
 * the key-value store, and commits the transactions that ownership.h decides on. */
#ifndef LMN_PARTITION_OWNERSHIP_THREAD_H
#define LMN_PARTITION_OWNERSHIP_THREAD_H

/** Runs the ownership manager; never returns. Takes the core's lock for each decision and
 * makes its HTTP calls without it.
 * @param core the struct lmn_core */
void *lmn_ownership_thread(void *core);

#endif
