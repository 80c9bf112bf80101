/** @file
 * Sends replies to users' requests about jobs (request_decisions.h) as HTTP responses. */
#ifndef LMN_CONTROLLER_JOB_RESPONSE_H
#define LMN_CONTROLLER_JOB_RESPONSE_H

#include "controller/request_decisions.h"
#include "http/server.h"

/** Sends a reply. Must be called without the core's lock, because it may write to the
 * connection at once. */
void lmn_job_response_send(struct lmn_http_request *request, const char *job_id,
                           const struct lmn_job_reply *reply);

#endif
