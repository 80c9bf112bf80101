/** @file
 * The thread of the ownership manager: it keeps this controller's lease in the key-value
 * store and commits what ownership.h decides. */
#ifndef LMN_PARTITION_OWNERSHIP_THREAD_H
#define LMN_PARTITION_OWNERSHIP_THREAD_H

/** Runs the ownership manager for ever. Takes the core's lock for each decision, and
 * makes its calls without it.
 * @param core struct lmn_core */
void *lmn_ownership_thread(void *core);

#endif
