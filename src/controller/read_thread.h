/** @file
 * The threads that confirm or read jobs' states at the key-value store, and cancel jobs,
 * for the users' requests that are queued (read_batch.h). */
#ifndef LMN_CONTROLLER_READ_THREAD_H
#define LMN_CONTROLLER_READ_THREAD_H

#include "controller/read_batch.h"
#include "state/core_state.h"

/** Starts the threads. */
void lmn_read_threads_start(struct lmn_core *core);

/** Enqueues a user's request, which must be deferred already; a read thread responds to
 * it. May be called before the threads are started, as the HTTP server starts first.
 * @param absent_status HTTP status of the response if there is no such job */
void lmn_read_request_enqueue(enum lmn_read_request_kind kind,
                              struct lmn_http_request *request, const char *job_id,
                              int absent_status);

#endif
