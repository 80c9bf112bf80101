/** @file
 * Sends the reply to a user's request about a job (request_decisions.h) as HTTP. */
#ifndef LMN_CONTROLLER_JOB_RESPONSE_H
#define LMN_CONTROLLER_JOB_RESPONSE_H

#include "controller/request_decisions.h"
#include "http/server.h"

/** Without the core's lock: the connection may be written to at once. */
void lmn_job_response_send(struct lmn_http_request *request, const char *job_id,
                           const struct lmn_job_reply *reply);

#endif
