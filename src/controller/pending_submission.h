/** @file
 * Submissions that are being written.
 *
 * Most commits are acknowledged within 10 ms. If one is not, its response may be lost:
 * the watch cache then shows the job, whose state is confirmed as for a status request;
 * if it does not show it, the same transaction is sent once more. It is conditional on
 * the job's absence, so one of the two is carried out at most. */
#ifndef LMN_CONTROLLER_PENDING_SUBMISSION_H
#define LMN_CONTROLLER_PENDING_SUBMISSION_H

#include "controller/request_decisions.h"

struct lmn_http_request;
struct lmn_pending_submission;

/** Carries out a decision for a deferred request. Called without any lock. */
typedef void lmn_submission_responder(struct lmn_http_request *request,
                                      const char *job_id,
                                      const struct lmn_request_decision *decision);

/** Starts the thread that looks for late submissions. To be called once. */
void lmn_pending_submission_start(struct lmn_core *core,
                                  lmn_submission_responder *respond);
/** Takes over a deferred request, and sends the transaction that accepts its job. Without
 * the core's lock, which it takes. */
void lmn_pending_submission_submit(struct lmn_core *core,
                                   struct lmn_http_request *request,
                                   const struct lmn_job_spec *spec);

#endif
