/** @file
 * Submissions whose transaction has been sent and whose outcome is not known yet.
 *
 * `pending.lock` guards the list of submissions and its entries. Lock order: it is taken
 * before the core's lock, never after it. Outcomes arrive on the writer threads of the
 * key-value client; the one thread of this file checks the submissions that are
 * overdue. */
#include "controller/pending_submission.h"
#include "util/log.h"
#include "util/thread.h"

#include <math.h>

/** A submission whose transaction has been sent. */
struct lmn_pending_submission {
    struct lmn_core *core;
    struct lmn_http_request *request; /**< deferred; NULL: already responded to */
    char job_id[LMN_JOB_ID_SIZE];
    struct timespec submitted_at;
    struct lmn_txn *duplicate; /**< copy of the transaction to resend; NULL: resent */
    unsigned in_flight;        /**< transactions sent whose outcome is not known yet */
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t added;
    GQueue submissions; /**< struct lmn_pending_submission, oldest first */
    lmn_submission_responder *respond;
} pending = {.lock = PTHREAD_MUTEX_INITIALIZER, .submissions = G_QUEUE_INIT};

/** Shortest interval at which the watch cache is searched for the jobs of overdue
 * submissions. */
static const double CHECK_INTERVAL_S = 0.02;

/** Called with pending.lock held.
 * @return the request, which the caller must respond to; NULL if it was responded to */
static struct lmn_http_request *take_request(struct lmn_pending_submission *submission)
{
    struct lmn_http_request *request = submission->request;

    submission->request = NULL;
    return request;
}

/** Frees the submission unless a transaction of it is still in flight. Called with
 * pending.lock held. */
static void free_if_finished(struct lmn_pending_submission *submission)
{
    if (submission->in_flight)
        return;
    g_queue_remove(&pending.submissions, submission);
    if (submission->duplicate)
        lmn_txn_free(submission->duplicate);
    g_free(submission);
}

static void record_latency(struct lmn_core *core, double latency_s)
{
    pthread_mutex_lock(&core->lock);
    lmn_latency_add(&core->latencies.submission, latency_s);
    pthread_mutex_unlock(&core->lock);
}

/** Called once for each transaction, on a writer thread, without any lock held. */
static void on_outcome(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                       uint64_t revision)
{
    struct lmn_pending_submission *submission = arg;
    struct lmn_request_decision decision = lmn_decide_commit_outcome(outcome);
    bool is_known = outcome == LMN_TXN_COMMITTED || outcome == LMN_TXN_CONFLICT;
    double latency_s = lmn_time_diff_s(lmn_now(), submission->submitted_at);
    char job_id[LMN_JOB_ID_SIZE];
    (void)txn;
    (void)revision;

    lmn_debug("job_submitted job=%s outcome=%d took=%.3f", submission->job_id, outcome,
              latency_s);
    if (outcome == LMN_TXN_COMMITTED)
        record_latency(submission->core, latency_s);
    pthread_mutex_lock(&pending.lock);
    g_strlcpy(job_id, submission->job_id, sizeof job_id);
    submission->in_flight--;
    /* After an unknown outcome, respond only if no other transaction is in flight: the
     * outcome of that one may become known. */
    struct lmn_http_request *request =
        is_known || !submission->in_flight ? take_request(submission) : NULL;
    free_if_finished(submission);
    pthread_mutex_unlock(&pending.lock);
    if (request)
        pending.respond(request, job_id, &decision);
}

void lmn_pending_submission_submit(struct lmn_core *core,
                                   struct lmn_http_request *request,
                                   const struct lmn_job_spec *spec)
{
    struct lmn_pending_submission *submission = g_new0(struct lmn_pending_submission, 1);

    submission->core = core;
    submission->request = request;
    submission->submitted_at = lmn_now();
    submission->in_flight = 1;
    g_strlcpy(submission->job_id, spec->id, sizeof submission->job_id);
    pthread_mutex_lock(&core->lock);
    struct lmn_txn *txn = lmn_submission_txn(
        core, spec, lmn_time_seconds(lmn_wall_clock_now()), on_outcome, submission);
    pthread_mutex_unlock(&core->lock);
    submission->duplicate = lmn_txn_copy(txn);
    pthread_mutex_lock(&pending.lock);
    g_queue_push_tail(&pending.submissions, submission);
    pthread_cond_signal(&pending.added);
    pthread_mutex_unlock(&pending.lock);
    /* Last, because on_outcome may free the submission from here on. */
    lmn_kv_client_submit(core->kv_client, txn);
}

/** Checks a submission without an outcome, and resends its transaction if that is due.
 * Called with pending.lock held.
 * @return the request if its job's state has to be confirmed; else NULL */
static struct lmn_http_request *
check_submission(struct lmn_core *core, struct lmn_pending_submission *submission,
                 struct timespec now)
{
    struct lmn_txn *duplicate = submission->duplicate;

    pthread_mutex_lock(&core->lock);
    enum lmn_pending_submission_step step = lmn_decide_pending_submission(
        core, submission->job_id, submission->submitted_at, !duplicate, now);
    pthread_mutex_unlock(&core->lock);
    switch (step) {
    case LMN_PENDING_CONFIRM:
        return take_request(submission);
    case LMN_PENDING_RESEND:
        submission->duplicate = NULL;
        submission->in_flight++;
        lmn_debug("job_submission_duplicate job=%s", submission->job_id);
        lmn_kv_client_submit(core->kv_client, duplicate);
        return NULL;
    default:
        return NULL;
    }
}

/** Seconds until the oldest submission without a response has to be checked; INFINITY if
 * there is none. Called with pending.lock held. */
static double seconds_until_check(struct timespec now)
{
    for (GList *link = pending.submissions.head; link; link = link->next) {
        const struct lmn_pending_submission *submission = link->data;
        if (submission->request)
            return MAX(LMN_PENDING_CHECK_DELAY_S -
                           lmn_time_diff_s(now, submission->submitted_at),
                       CHECK_INTERVAL_S);
    }
    return INFINITY;
}

/** Waits until a submission may have to be checked. Called with pending.lock held, which
 * is released during the wait. */
static void wait_until_check(void)
{
    double wait_s = seconds_until_check(lmn_now());

    if (isinf(wait_s))
        pthread_cond_wait(&pending.added, &pending.lock);
    else
        lmn_cond_wait_for(&pending.added, &pending.lock, wait_s);
}

/** A request to answer with its job's confirmed state. */
struct unconfirmed_request {
    struct lmn_http_request *request;
    char job_id[LMN_JOB_ID_SIZE];
};

/** Waits until a submission may have to be checked, and checks all of them. */
static void check_submissions(struct lmn_core *core)
{
    g_autoptr(GArray) unconfirmed =
        g_array_new(FALSE, FALSE, sizeof(struct unconfirmed_request));
    const struct lmn_request_decision confirm = {.step = LMN_STEP_CONFIRM,
                                                 .absent_status = 503};

    pthread_mutex_lock(&pending.lock);
    wait_until_check();
    for (GList *link = pending.submissions.head; link; link = link->next) {
        struct lmn_pending_submission *submission = link->data;
        struct unconfirmed_request entry = {
            .request = submission->request ? check_submission(core, submission, lmn_now())
                                           : NULL};
        g_strlcpy(entry.job_id, submission->job_id, sizeof entry.job_id);
        if (entry.request)
            g_array_append_val(unconfirmed, entry);
    }
    pthread_mutex_unlock(&pending.lock);
    for (guint i = 0; i < unconfirmed->len; i++) {
        const struct unconfirmed_request *entry =
            &g_array_index(unconfirmed, struct unconfirmed_request, i);
        pending.respond(entry->request, entry->job_id, &confirm);
    }
}

static void *pending_submission_thread(void *arg)
{
    for (;;)
        check_submissions(arg);
    return NULL;
}

void lmn_pending_submission_start(struct lmn_core *core,
                                  lmn_submission_responder *respond)
{
    lmn_cond_init(&pending.added);
    pending.respond = respond;
    lmn_thread_start_detached(pending_submission_thread, core);
}
