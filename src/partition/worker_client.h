/** @file
 * The HTTP client to workers: threads that push commands to them (worker_push.h) and
 * probe them (worker_probe.h).
 *
 * Each thread has connections of its own, and serves the machines whose names hash to its
 * index. It takes the core's lock to decide and to record, and makes its calls without
 * it. */
#ifndef LMN_PARTITION_WORKER_CLIENT_H
#define LMN_PARTITION_WORKER_CLIENT_H

#include "state/core_state.h"

/** One thread of the worker client; must outlive it. */
struct lmn_worker_client {
    struct lmn_core *core;
    unsigned index, count; /**< this thread's, of so many threads */
};

/** Runs one thread of the worker client for ever.
 * @param worker_client struct lmn_worker_client */
void *lmn_worker_client_thread(void *worker_client);

#endif
