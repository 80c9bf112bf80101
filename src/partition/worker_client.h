/** @file
 * The HTTP client for workers: threads that push commands to workers (worker_push.h) and
 * probe them (worker_probe.h).
 *
 * Each thread has its own connections, and serves the machines whose names hash to the
 * thread's index. It holds the core's lock while it chooses a request and while it
 * records the outcome, but not during the request. */
#ifndef LMN_PARTITION_WORKER_CLIENT_H
#define LMN_PARTITION_WORKER_CLIENT_H

#include "state/core_state.h"

/** One thread of the worker client; must outlive it. */
struct lmn_worker_client {
    struct lmn_core *core;
    unsigned thread_index, thread_count; /**< this thread's index, from 0 on */
};

/** Runs a thread of the worker client; never returns.
 * @param worker_client struct lmn_worker_client */
void *lmn_worker_client_thread(void *worker_client);

#endif
