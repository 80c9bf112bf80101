/** @file
 * Handlers of users' requests: submissions, status requests and cancellations.
 *
 * Each handler responds to the request, or defers it so that another thread responds
 * later. request_decisions.h decides which response is sent. The handlers run on the HTTP
 * server's threads and take the core's lock, which the caller must not hold. */
#ifndef LMN_CONTROLLER_USER_API_H
#define LMN_CONTROLLER_USER_API_H

#include "http/server.h"
#include "state/core_state.h"

/** Accepts the job in the request's body, or refuses it. If a job with its id was
 * accepted before, responds with that job's state. */
void lmn_user_api_submit(struct lmn_core *core, struct lmn_http_request *request);
/** Responds with a job's state. */
void lmn_user_api_status(struct lmn_core *core, struct lmn_http_request *request,
                         const char *job_id);
/** Cancels a job, and responds with its state. */
void lmn_user_api_cancel(struct lmn_core *core, struct lmn_http_request *request,
                         const char *job_id);
/** Whether a load balancer should route users' requests to this controller. */
bool lmn_user_api_is_ready(struct lmn_core *core);
/** Starts the threads that respond to deferred requests. */
void lmn_user_api_start(struct lmn_core *core);

#endif
