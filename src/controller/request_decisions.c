/** @file
 * Decides how users' requests about jobs are answered. Keeps no state. */
#include "controller/request_decisions.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "scheduler/unschedulable.h"
#include "state/core.h"
#include "state/records.h"

#include <string.h>

enum {
    STATUS_OK = 200,
    STATUS_CREATED = 201,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_UNPROCESSABLE = 422,
    STATUS_TOO_MANY_REQUESTS = 429,
    STATUS_UNAVAILABLE = 503,
    JOB_KEY_SIZE = 64,
};

/** Retry-After of a reply when no state could be confirmed, and while this controller
 * starts. */
enum { RETRY_SOON_S = 1, RETRY_STARTING_S = 2 };
/** New jobs are refused while writes wait longer than this in the key-value client. */
static const double MAX_BACKLOG_S = 2.0;
/** Time without an outcome after which a transaction may have been lost before the store
 * received it, so that it is sent again. */
static const double RESEND_DELAY_S = 0.3;

/* --- replies --- */

static struct lmn_job_reply status_reply(int status, int retry_after)
{
    return (struct lmn_job_reply){.status = status, .retry_after = retry_after};
}

static struct lmn_job_reply error_reply(int status, const char *error)
{
    return (struct lmn_job_reply){.status = status, .error = error};
}

static struct lmn_job_reply state_reply(enum lmn_job_phase phase, uint32_t done,
                                        uint32_t running)
{
    return (struct lmn_job_reply){.status = STATUS_OK,
                                  .includes_job = true,
                                  .phase = phase,
                                  .done = done,
                                  .running = running};
}

struct lmn_job_reply lmn_job_reply_unavailable(void)
{
    return status_reply(STATUS_UNAVAILABLE, RETRY_SOON_S);
}

/** The reply if there is no such job, with the status that the request's decision sets
 * for this case. */
static struct lmn_job_reply absent_reply(int status)
{
    if (status == STATUS_UNAVAILABLE)
        return lmn_job_reply_unavailable();
    return status == STATUS_NOT_FOUND ? status_reply(STATUS_NOT_FOUND, 0)
                                      : error_reply(status, "refused");
}

static const char *state_name(const struct lmn_job_reply *reply)
{
    if (reply->phase == LMN_JOB_DONE)
        return WIRE_DONE;
    if (reply->phase == LMN_JOB_CANCELLED)
        return WIRE_CANCELLED;
    return reply->running || reply->done ? WIRE_RUNNING : WIRE_QUEUED;
}

GByteArray *lmn_job_reply_body(const struct lmn_job_reply *reply, const char *job_id)
{
    GByteArray *buffer;

    if (!reply->includes_job && !reply->error)
        return NULL;
    buffer = g_byte_array_new();
    if (reply->error) {
        lmn_cbor_put_map(buffer, 1);
        lmn_cbor_put_text(buffer, "error"), lmn_cbor_put_text(buffer, reply->error);
        return buffer;
    }
    bool is_waiting = reply->waiting_s > 0;
    lmn_cbor_put_map(buffer, reply->status == STATUS_CREATED ? 2 : 4 + is_waiting);
    lmn_cbor_put_text(buffer, WIRE_JOB_ID), lmn_cbor_put_text(buffer, job_id);
    lmn_cbor_put_text(buffer, WIRE_STATE), lmn_cbor_put_text(buffer, state_name(reply));
    if (reply->status == STATUS_CREATED)
        return buffer;
    lmn_cbor_put_text(buffer, WIRE_DONE), lmn_cbor_put_uint(buffer, reply->done);
    lmn_cbor_put_text(buffer, WIRE_RUNNING), lmn_cbor_put_uint(buffer, reply->running);
    if (is_waiting) {
        lmn_cbor_put_text(buffer, WIRE_WAITING_S);
        lmn_cbor_put_number(buffer, reply->waiting_s);
    }
    return buffer;
}

/* --- views of the watch cache --- */

/** Counts the job's tasks that are done and running, as far as this controller knows. For
 * display only. */
static void count_tasks(const struct lmn_job *job, uint32_t *done, uint32_t *running)
{
    uint32_t unfinished = 0;

    *running = 0;
    for (guint i = 0; i < job->ranges->len; i++) {
        const struct lmn_range *range = job->ranges->pdata[i];
        unfinished += range->end - range->first -
                      (range->task_states ? range->finished_count : range->done_count);
        *running += range->started_count;
    }
    *done = job->phase == LMN_JOB_DONE
                ? job->spec.tasks
                : job->spec.tasks - MIN(unfinished, job->spec.tasks);
    if (job->phase != LMN_JOB_ACTIVE)
        *running = 0;
}

void lmn_job_view_from_cache(const struct lmn_core *core, const char *job_id,
                             struct lmn_job_view *view)
{
    const struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, job_id);
    uint32_t done, running;

    memset(view, 0, sizeof *view);
    g_strlcpy(view->job_id, job_id, sizeof view->job_id);
    if (!job)
        return;
    count_tasks(job, &done, &running);
    view->revision = job->revision;
    view->reply = state_reply(job->phase, done, running);
    if (job->phase == LMN_JOB_ACTIVE)
        view->reply.waiting_s = lmn_job_unschedulable_s(core, job, core->cache.fresh_at);
}

/** Whether the view shows a job that has ended; its state never changes again. */
static bool is_final(const struct lmn_job_view *view)
{
    return view->revision && view->reply.phase != LMN_JOB_ACTIVE;
}

static void job_key(char *key, size_t size, const char *job_id)
{
    g_snprintf(key, size, "j/%s", job_id);
}

struct lmn_txn *lmn_confirmation_txn(const struct lmn_job_view *views, guint count)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_USER, NULL, NULL);
    char key[JOB_KEY_SIZE];

    for (guint i = 0; i < count; i++) {
        job_key(key, sizeof key, views[i].job_id);
        lmn_txn_require_version(txn, key, views[i].revision);
    }
    return txn;
}

enum lmn_confirmation_result lmn_job_view_confirmation(const struct lmn_job_view *view,
                                                       enum lmn_txn_outcome outcome,
                                                       const GPtrArray *failed_keys)
{
    char key[JOB_KEY_SIZE];

    if (outcome == LMN_TXN_COMMITTED)
        return LMN_CONFIRMATION_LATEST;
    /* If the conflict names no key, any of the conditions may have failed. */
    if (outcome != LMN_TXN_CONFLICT || !failed_keys->len)
        return LMN_CONFIRMATION_UNKNOWN;
    job_key(key, sizeof key, view->job_id);
    for (guint i = 0; i < failed_keys->len; i++)
        if (!strcmp(failed_keys->pdata[i], key))
            return LMN_CONFIRMATION_OUTDATED;
    return LMN_CONFIRMATION_LATEST;
}

struct lmn_job_reply lmn_job_reply_confirmed(const struct lmn_core *core,
                                             const struct lmn_job_view *view,
                                             int absent_status)
{
    struct lmn_job_view latest;

    /* A later revision was committed after the store had evaluated the confirmation, so
     * that it too was the job's state while the request was pending. */
    lmn_job_view_from_cache(core, view->job_id, &latest);
    if (latest.revision > view->revision)
        return latest.reply;
    return view->revision ? view->reply : absent_reply(absent_status);
}

/* --- decisions on the arrival of a request --- */

static struct lmn_request_decision reply_now(struct lmn_job_reply reply)
{
    return (struct lmn_request_decision){.step = LMN_STEP_REPLY, .reply = reply};
}

static struct lmn_request_decision next_step(enum lmn_request_step step,
                                             int absent_status)
{
    return (struct lmn_request_decision){.step = step, .absent_status = absent_status};
}

/** Whether the watch cache is too old to be confirmed. A request that is deferred in
 * spite of that would occupy a connection until its client's timeout, and then be
 * answered STATUS_UNAVAILABLE. */
static bool is_cache_stalled(const struct lmn_core *core, struct timespec now)
{
    return lmn_watch_cache_age_s(core, now) > LMN_CACHE_STALLED_AGE_S;
}

/** Whether the reply needs no confirmation, because the id is invalid or its job has
 * ended.
 * @param reply filled if so */
static bool is_final_reply_known(struct lmn_core *core, const char *job_id,
                                 struct lmn_job_reply *reply)
{
    struct lmn_job_view view;

    if (!lmn_job_id_is_valid(job_id)) {
        *reply = status_reply(STATUS_NOT_FOUND, 0);
        return true;
    }
    core->counters.status_requests++;
    lmn_job_view_from_cache(core, job_id, &view);
    *reply = view.reply;
    return is_final(&view);
}

struct lmn_request_decision lmn_decide_status(struct lmn_core *core, const char *job_id,
                                              struct timespec now)
{
    struct lmn_job_reply reply;

    if (is_final_reply_known(core, job_id, &reply))
        return reply_now(reply);
    if (lmn_load_should_shed(&core->load, LMN_SHED_POLL, core->random))
        return reply_now(status_reply(
            STATUS_UNAVAILABLE, lmn_retry_after_s(2 * core->load.delay_s, core->random)));
    if (is_cache_stalled(core, now))
        return reply_now(status_reply(STATUS_UNAVAILABLE,
                                      lmn_retry_after_s(RETRY_SOON_S, core->random)));
    return next_step(LMN_STEP_CONFIRM, STATUS_NOT_FOUND);
}

struct lmn_request_decision lmn_decide_cancel(struct lmn_core *core, const char *job_id)
{
    struct lmn_job_reply reply;

    if (is_final_reply_known(core, job_id, &reply))
        return reply_now(reply);
    return next_step(LMN_STEP_CANCEL, STATUS_NOT_FOUND);
}

/** Decides whether a valid new job is admitted now: not while writes are delayed or this
 * controller is overloaded. */
static struct lmn_request_decision admit(struct lmn_core *core)
{
    double backlog_s = lmn_kv_client_backlog_s(core->kv_client, LMN_WRITE_USER);

    if (backlog_s > MAX_BACKLOG_S) {
        core->counters.refused_requests++;
        return reply_now(status_reply(STATUS_TOO_MANY_REQUESTS,
                                      lmn_retry_after_s(backlog_s, core->random)));
    }
    if (lmn_load_should_shed(&core->load, LMN_SHED_SUBMISSION, core->random))
        return reply_now(
            status_reply(STATUS_TOO_MANY_REQUESTS,
                         lmn_retry_after_s(2 * core->load.delay_s, core->random)));
    return next_step(LMN_STEP_COMMIT, STATUS_UNAVAILABLE);
}

struct lmn_request_decision lmn_decide_submission(struct lmn_core *core,
                                                  const struct lmn_submission *submission,
                                                  struct timespec now)
{
    const char *reason;
    struct lmn_job_view view;

    if (submission->validity == LMN_SUBMISSION_NO_ID)
        return reply_now(error_reply(STATUS_BAD_REQUEST, submission->spec_error));
    core->counters.submissions++;
    lmn_job_view_from_cache(core, submission->spec.id, &view);
    if (is_final(&view))
        return reply_now(view.reply);
    /* If a job with this id was accepted before, the reply is its state, even if the
     * request is invalid now. So a refusal too requires confirmation that there is no
     * such job. */
    if (submission->validity == LMN_SUBMISSION_MALFORMED)
        return next_step(LMN_STEP_CONFIRM, STATUS_BAD_REQUEST);
    if (view.revision)
        return next_step(LMN_STEP_CONFIRM, STATUS_UNAVAILABLE);
    /* The job's record exceeds the store's size limit for values. With STATUS_UNAVAILABLE
     * the client would retry it for ever. */
    if (submission->validity == LMN_SUBMISSION_TOO_LARGE)
        return next_step(LMN_STEP_CONFIRM, STATUS_BAD_REQUEST);
    if (!core->cache.is_synced || !core->cloud.machine_types_known)
        return reply_now(status_reply(STATUS_UNAVAILABLE, RETRY_STARTING_S));
    if (is_cache_stalled(core, now))
        return reply_now(status_reply(STATUS_UNAVAILABLE,
                                      lmn_retry_after_s(RETRY_SOON_S, core->random)));
    if (!lmn_job_spec_is_feasible(&submission->spec, core->settings,
                                  &core->cloud.machine_types, &reason)) {
        lmn_debug("job_infeasible job=%s why=\"%s\"", submission->spec.id, reason);
        return next_step(LMN_STEP_CONFIRM, STATUS_UNPROCESSABLE);
    }
    return admit(core);
}

struct lmn_request_decision lmn_decide_commit_outcome(enum lmn_txn_outcome outcome)
{
    struct lmn_job_reply accepted = state_reply(LMN_JOB_ACTIVE, 0, 0);

    switch (outcome) {
    case LMN_TXN_COMMITTED:
        accepted.status = STATUS_CREATED;
        return reply_now(accepted);
    case LMN_TXN_CONFLICT:
        /* The job exists already, but the watch cache does not show it yet. The
         * confirmation fails for that reason, and the job's record is read. */
        return next_step(LMN_STEP_CONFIRM, STATUS_UNAVAILABLE);
    default:
        /* If the transaction is committed after all, the client's retry finds the job. */
        return reply_now(lmn_job_reply_unavailable());
    }
}

enum lmn_pending_submission_step
lmn_decide_pending_submission(const struct lmn_core *core, const char *job_id,
                              struct timespec submitted_at, bool is_resent,
                              struct timespec now)
{
    double waited_s = lmn_time_diff_s(now, submitted_at);

    if (waited_s < LMN_PENDING_CHECK_DELAY_S)
        return LMN_PENDING_WAIT;
    /* The watch cache's state may not be replied unconfirmed: the job may have been
     * cancelled since, and another controller may have replied that to the user. */
    if (g_hash_table_contains(core->cache.jobs, job_id))
        return LMN_PENDING_CONFIRM;
    return waited_s >= RESEND_DELAY_S && !is_resent ? LMN_PENDING_RESEND
                                                    : LMN_PENDING_WAIT;
}

/* --- reading and cancelling --- */

void lmn_job_read_result_parse(struct lmn_job_read_result *read_result, int status,
                               const guint8 *body, size_t len)
{
    struct lmn_cbor_document document;

    memset(read_result, 0, sizeof *read_result);
    read_result->status = status;
    if (status != STATUS_OK)
        return;
    read_result->status = LMN_HTTP_NO_RESPONSE;
    if (lmn_cbor_parse(&document, body, len) != 0)
        return;
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    if (lmn_cbor_get_uint(lmn_cbor_get(&document, root, WIRE_VERSION),
                          &read_result->revision) &&
        lmn_job_record_decode(&document, lmn_cbor_get(&document, root, WIRE_VALUE),
                              &read_result->spec, &read_result->phase,
                              &read_result->open_ranges,
                              &read_result->accepted_at_s) == 0)
        read_result->status = STATUS_OK;
    lmn_cbor_free(&document);
}

void lmn_job_read_result_clear(struct lmn_job_read_result *read_result)
{
    lmn_job_spec_clear(&read_result->spec);
}

/** The reply for a job that was read and has ended. */
static struct lmn_job_reply final_reply(const struct lmn_job_read_result *read_result)
{
    return state_reply(read_result->phase,
                       read_result->phase == LMN_JOB_DONE ? read_result->spec.tasks : 0,
                       0);
}

struct lmn_job_reply
lmn_job_reply_from_read_result(const struct lmn_core *core, const char *job_id,
                               const struct lmn_job_read_result *read_result,
                               int absent_status)
{
    struct lmn_job_view latest;

    if (read_result->status == STATUS_NOT_FOUND)
        return absent_reply(absent_status);
    if (read_result->status != STATUS_OK)
        return lmn_job_reply_unavailable();
    if (read_result->phase != LMN_JOB_ACTIVE)
        return final_reply(read_result);
    /* The task counts of an active job come from the watch cache, whose record may also
     * be later than the one that was read. */
    lmn_job_view_from_cache(core, job_id, &latest);
    if (latest.revision > read_result->revision)
        return latest.reply;
    struct lmn_job_reply reply =
        state_reply(LMN_JOB_ACTIVE, latest.reply.done, latest.reply.running);
    reply.waiting_s = latest.reply.waiting_s;
    return reply;
}

struct lmn_txn *lmn_cancellation_txn(const char *job_id,
                                     const struct lmn_job_read_result *read_result,
                                     int absent_status, struct lmn_job_reply *reply)
{
    struct lmn_txn *txn;
    char key[JOB_KEY_SIZE];

    if (read_result->status == STATUS_NOT_FOUND)
        *reply = absent_reply(absent_status);
    else if (read_result->status != STATUS_OK)
        *reply = lmn_job_reply_unavailable();
    else if (read_result->phase != LMN_JOB_ACTIVE)
        *reply = final_reply(read_result);
    if (read_result->status != STATUS_OK || read_result->phase != LMN_JOB_ACTIVE)
        return NULL;
    txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    job_key(key, sizeof key, job_id);
    lmn_txn_require_version(txn, key, read_result->revision);
    lmn_txn_put(txn, key,
                lmn_job_record_encode(&read_result->spec, LMN_JOB_CANCELLED,
                                      read_result->open_ranges,
                                      read_result->accepted_at_s),
                0);
    return txn;
}

bool lmn_cancellation_is_final(enum lmn_txn_outcome outcome, struct lmn_job_reply *reply)
{
    /* After an unknown outcome the client retries, and the retry reads the job again. */
    *reply = outcome == LMN_TXN_COMMITTED ? state_reply(LMN_JOB_CANCELLED, 0, 0)
                                          : lmn_job_reply_unavailable();
    return outcome != LMN_TXN_CONFLICT;
}
