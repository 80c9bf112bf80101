/** @file
 * The threads that confirm what users are told of jobs, and that cancel jobs: they send
 * the requests that wait in a batch (read_batch.h) to the key-value store. */
#ifndef LMN_CONTROLLER_READ_THREAD_H
#define LMN_CONTROLLER_READ_THREAD_H

#include "controller/read_batch.h"
#include "state/core_state.h"

/** Starts the threads. */
void lmn_read_threads_start(struct lmn_core *core);

/** Enqueues a user's request, which must be deferred already. A thread responds to it.
 * May be called before the threads are started: users are served from then on.
 * @param absent_status the status if there is no such job */
void lmn_read_enqueue(enum lmn_read_request_kind kind, struct lmn_http_request *request,
                      const char *job_id, int absent_status);

#endif
