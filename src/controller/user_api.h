/** @file
 * The users' requests: submissions, status requests and cancellations.
 *
 * Each function responds to the request, or defers it so that another thread responds
 * later. What is responded is decided in request_decisions.h. To be called on an HTTP
 * server's thread, without the core's lock, which they take. */
#ifndef LMN_CONTROLLER_USER_API_H
#define LMN_CONTROLLER_USER_API_H

#include "http/server.h"
#include "state/core_state.h"

/** Accepts the job in the request's body, or refuses it. A duplicate of a submission that
 * was accepted is answered with its job's state. */
void lmn_user_api_submit(struct lmn_core *core, struct lmn_http_request *request);
/** Responds with a job's state. */
void lmn_user_api_status(struct lmn_core *core, struct lmn_http_request *request,
                         const char *job_id);
/** Cancels a job, and responds with its state. */
void lmn_user_api_cancel(struct lmn_core *core, struct lmn_http_request *request,
                         const char *job_id);
/** Whether a load balancer should send users here. */
bool lmn_user_api_is_ready(struct lmn_core *core);
/** Starts the threads that respond to deferred requests. */
void lmn_user_api_start(struct lmn_core *core);

#endif
