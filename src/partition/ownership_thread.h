/** @file
 * The thread of the ownership manager: it acquires and renews this controller's lease in
 * the key-value store, and commits the transactions that the functions in ownership.h
 * return. */
#ifndef LMN_PARTITION_OWNERSHIP_THREAD_H
#define LMN_PARTITION_OWNERSHIP_THREAD_H

/** Runs the ownership manager; never returns. Holds the core's lock during each decision,
 * and never during an HTTP call.
 * @param core a struct lmn_core */
void *lmn_ownership_thread(void *core);

#endif
