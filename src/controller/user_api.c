/** @file
 * Handlers of users' requests. Keeps no state: read_thread.c queues the requests that
 * need a confirmation or a cancellation, pending_submission.c keeps the submissions whose
 * transaction has been sent. */
#include "controller/user_api.h"
#include "controller/job_response.h"
#include "controller/pending_submission.h"
#include "controller/read_thread.h"
#include "controller/request_decisions.h"
#include "state/core.h"

/** While this controller's view is not known to be isolated, it serves users with a watch
 * cache up to this age, since non-final states are confirmed at the store in any case. */
static const double MAX_SERVING_AGE_S = 30;

/** Carries out a decision other than LMN_STEP_COMMIT for a deferred request. */
static void carry_out_deferred(struct lmn_http_request *request, const char *job_id,
                               const struct lmn_request_decision *decision)
{
    if (decision->step == LMN_STEP_REPLY)
        lmn_job_response_send(request, job_id, &decision->reply);
    else
        lmn_read_request_enqueue(decision->step == LMN_STEP_CANCEL ? LMN_READ_CANCEL
                                                                   : LMN_READ_STATUS,
                                 request, job_id, decision->absent_status);
}

/** Carries out a decision other than LMN_STEP_COMMIT for a request that is not deferred
 * yet, and defers it unless the reply is known. */
static void carry_out(struct lmn_http_request *request, const char *job_id,
                      const struct lmn_request_decision *decision)
{
    if (decision->step != LMN_STEP_REPLY)
        lmn_http_request_defer(request);
    carry_out_deferred(request, job_id, decision);
}

void lmn_user_api_status(struct lmn_core *core, struct lmn_http_request *request,
                         const char *job_id)
{
    pthread_mutex_lock(&core->lock);
    struct lmn_request_decision decision = lmn_decide_status(core, job_id, lmn_now());
    pthread_mutex_unlock(&core->lock);
    carry_out(request, job_id, &decision);
}

void lmn_user_api_cancel(struct lmn_core *core, struct lmn_http_request *request,
                         const char *job_id)
{
    pthread_mutex_lock(&core->lock);
    struct lmn_request_decision decision = lmn_decide_cancel(core, job_id);
    pthread_mutex_unlock(&core->lock);
    carry_out(request, job_id, &decision);
}

bool lmn_user_api_is_ready(struct lmn_core *core)
{
    pthread_mutex_lock(&core->lock);
    double cache_age_s = lmn_watch_cache_age_s(core, lmn_now());
    /* In an outage of the key-value store, every controller's watch cache is stalled, so
     * that no other controller would serve the users better. */
    bool is_current = cache_age_s < LMN_CACHE_STALLED_AGE_S ||
                      (!core->cache.is_isolated_view && cache_age_s < MAX_SERVING_AGE_S);
    bool is_ready = core->cache.is_synced && core->cloud.machine_types_known &&
                    !core->shutdown.is_requested && is_current;
    pthread_mutex_unlock(&core->lock);
    return is_ready;
}

void lmn_user_api_submit(struct lmn_core *core, struct lmn_http_request *request)
{
    const GByteArray *body = lmn_http_request_body(request);
    struct lmn_submission submission;

    lmn_submission_parse(&submission, core->settings, body->data, body->len);
    pthread_mutex_lock(&core->lock);
    struct lmn_request_decision decision =
        lmn_decide_submission(core, &submission, lmn_now());
    pthread_mutex_unlock(&core->lock);
    if (decision.step == LMN_STEP_COMMIT) {
        lmn_http_request_defer(request);
        lmn_pending_submission_submit(core, request, &submission.spec);
    } else {
        carry_out(request, submission.spec.id, &decision);
    }
    lmn_submission_clear(&submission);
}

void lmn_user_api_start(struct lmn_core *core)
{
    lmn_read_threads_start(core);
    lmn_pending_submission_start(core, carry_out_deferred);
}
