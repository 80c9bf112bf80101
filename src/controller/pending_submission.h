/** @file
 * Submissions whose transaction has been sent to the key-value store.
 *
 * The store answers most of them within 10 ms. If it does not answer within
 * LMN_PENDING_CHECK_DELAY_S, its response may be lost. If the watch cache then shows the
 * job, the job's state is confirmed as for a status request. If the cache does not show
 * it for a while longer, the same transaction is sent a second time. The transaction
 * requires that the job does not exist, so at most one of the two is committed. */
#ifndef LMN_CONTROLLER_PENDING_SUBMISSION_H
#define LMN_CONTROLLER_PENDING_SUBMISSION_H

#include "controller/request_decisions.h"

struct lmn_http_request;
struct lmn_pending_submission;

/** Responds to a deferred request as decided. Called without any lock held. */
typedef void lmn_submission_responder(struct lmn_http_request *request,
                                      const char *job_id,
                                      const struct lmn_request_decision *decision);

/** Starts the thread that checks submissions which the store has not answered. To be
 * called once. */
void lmn_pending_submission_start(struct lmn_core *core,
                                  lmn_submission_responder *respond);
/** Sends the transaction that accepts the job, and responds to the request once the
 * outcome is known. Takes the core's lock, which the caller must not hold.
 * @param request already deferred; taken over */
void lmn_pending_submission_submit(struct lmn_core *core,
                                   struct lmn_http_request *request,
                                   const struct lmn_job_spec *spec);

#endif
