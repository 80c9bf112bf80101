/** @file
 * Sends replies about jobs as HTTP responses. Keeps no state. */
#include "controller/job_response.h"

void lmn_job_response_send(struct lmn_http_request *request, const char *job_id,
                           const struct lmn_job_reply *reply)
{
    lmn_http_request_respond(request, reply->status, lmn_job_reply_body(reply, job_id),
                             reply->retry_after);
}
