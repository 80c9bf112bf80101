/* Submissions that are being written. Most commits are answered within 10 ms. For one
 * that is not, the answer may be lost: the mirror then shows the job, whose state is
 * confirmed as for any question; if it does not show it, the same transaction is sent
 * once more. It is conditional on the job's absence, so one of the two is carried out at
 * most. */
#ifndef LMN_CONTROLLER_PENDING_SUBMISSION_H
#define LMN_CONTROLLER_PENDING_SUBMISSION_H

#include "controller/request_decisions.h"

struct lmn_http_request;
struct lmn_pending_submission;

/* Carries out a decision for a call that is held. */
typedef void lmn_submission_responder(struct lmn_http_request *call, const char *ref,
                                      const struct lmn_request_decision *d);

/* Starts the thread that looks after them. */
void lmn_pending_submission_start(struct lmn_core *core, lmn_submission_responder *reply);
/* Takes over the call, which is held, and sends the transaction that accepts the job. */
void lmn_pending_submission_submit(struct lmn_core *core,
                                   struct lmn_http_request *request,
                                   const struct lmn_job_spec *spec);

#endif
