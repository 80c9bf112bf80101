/** @file
 * Decisions on users' requests. Keeps no state. */
#include "controller/request_decisions.h"
#include "util/log.h"
#include "protocol/wire.h"
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

/** Seconds after which a user may retry: when nothing could be confirmed, and while this
 * controller starts. */
enum { RETRY_SOON_S = 1, RETRY_STARTING_S = 2 };
/** New jobs are refused while writes have to wait longer than this. */
static const double MAX_BACKLOG_S = 2.0;
/** A transaction without an outcome for so long may never be carried out. */
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

/** The reply if there is no such job. */
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
    lmn_cbor_put_map(buffer, reply->status == STATUS_CREATED ? 2 : 4);
    lmn_cbor_put_text(buffer, WIRE_JOB_ID), lmn_cbor_put_text(buffer, job_id);
    lmn_cbor_put_text(buffer, WIRE_STATE), lmn_cbor_put_text(buffer, state_name(reply));
    if (reply->status == STATUS_CREATED)
        return buffer;
    lmn_cbor_put_text(buffer, WIRE_DONE), lmn_cbor_put_uint(buffer, reply->done);
    lmn_cbor_put_text(buffer, WIRE_RUNNING), lmn_cbor_put_uint(buffer, reply->running);
    return buffer;
}

/* --- views of the watch cache --- */

/** Tasks done and running, as far as this controller knows; for display. */
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
}

/** Whether the view is of a job that has ended: that never changes. */
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
    /* A conflict that names no key says nothing about any. */
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

    /* A later revision in the watch cache is of a later instant than the confirmation. */
    lmn_job_view_from_cache(core, view->job_id, &latest);
    if (latest.revision > view->revision)
        return latest.reply;
    return view->revision ? view->reply : absent_reply(absent_status);
}

/* --- first decisions --- */

static struct lmn_request_decision reply_now(struct lmn_job_reply reply)
{
    return (struct lmn_request_decision){.step = LMN_STEP_REPLY, .reply = reply};
}

static struct lmn_request_decision next_step(enum lmn_request_step step,
                                             int absent_status)
{
    return (struct lmn_request_decision){.step = step, .absent_status = absent_status};
}

/** Whether nothing can be confirmed now. A request that was deferred all the same would
 * keep a connection until its user's timeout, and end as STATUS_UNAVAILABLE. */
static bool is_cache_stalled(const struct lmn_core *core, struct timespec now)
{
    return lmn_watch_cache_age_s(core, now) > LMN_CACHE_STALLED_S;
}

/** Whether the reply needs no confirmation: the id can be no job's, or its job has ended.
 */
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
            STATUS_UNAVAILABLE, lmn_retry_after(2 * core->load.delay_s, core->random)));
    if (is_cache_stalled(core, now))
        return reply_now(status_reply(STATUS_UNAVAILABLE,
                                      lmn_retry_after(RETRY_SOON_S, core->random)));
    return next_step(LMN_STEP_CONFIRM, STATUS_NOT_FOUND);
}

struct lmn_request_decision lmn_decide_cancel(struct lmn_core *core, const char *job_id)
{
    struct lmn_job_reply reply;

    if (is_final_reply_known(core, job_id, &reply))
        return reply_now(reply);
    return next_step(LMN_STEP_CANCEL, STATUS_NOT_FOUND);
}

/** Decides on a valid job that the watch cache does not show: admission control. */
static struct lmn_request_decision admit(struct lmn_core *core)
{
    double backlog_s = lmn_kv_client_backlog_s(core->kv_client, LMN_WRITE_USER);

    if (backlog_s > MAX_BACKLOG_S) {
        core->counters.refused_requests++;
        return reply_now(status_reply(STATUS_TOO_MANY_REQUESTS,
                                      lmn_retry_after(backlog_s, core->random)));
    }
    if (lmn_load_should_shed(&core->load, LMN_SHED_SUBMISSION, core->random))
        return reply_now(
            status_reply(STATUS_TOO_MANY_REQUESTS,
                         lmn_retry_after(2 * core->load.delay_s, core->random)));
    return next_step(LMN_STEP_COMMIT, STATUS_UNAVAILABLE);
}

struct lmn_request_decision lmn_decide_submission(struct lmn_core *core,
                                                  const struct lmn_submission *submission,
                                                  struct timespec now)
{
    const char *why;
    struct lmn_job_view view;

    if (submission->fault == LMN_SUBMISSION_NO_ID)
        return reply_now(error_reply(STATUS_BAD_REQUEST, submission->spec_error));
    core->counters.submissions++;
    lmn_job_view_from_cache(core, submission->spec.id, &view);
    if (is_final(&view))
        return reply_now(view.reply);
    /* An id that was accepted before is answered with its state, whatever is wrong with
     * what is sent now: so a refusal too has to be confirmed. */
    if (submission->fault == LMN_SUBMISSION_MALFORMED)
        return next_step(LMN_STEP_CONFIRM, STATUS_BAD_REQUEST);
    if (view.revision)
        return next_step(LMN_STEP_CONFIRM, STATUS_UNAVAILABLE);
    /* No value of the store can hold it: as STATUS_UNAVAILABLE, the user would retry it
     * for ever. */
    if (submission->fault == LMN_SUBMISSION_TOO_LARGE)
        return next_step(LMN_STEP_CONFIRM, STATUS_BAD_REQUEST);
    if (!core->cache.is_synced || !core->cloud.machine_types_known)
        return reply_now(status_reply(STATUS_UNAVAILABLE, RETRY_STARTING_S));
    if (is_cache_stalled(core, now))
        return reply_now(status_reply(STATUS_UNAVAILABLE,
                                      lmn_retry_after(RETRY_SOON_S, core->random)));
    if (!lmn_job_spec_is_feasible(&submission->spec, core->settings,
                                  &core->cloud.machine_types, &why)) {
        lmn_debug("job_infeasible job=%s why=\"%s\"", submission->spec.id, why);
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
        /* A duplicate, though the watch cache does not show it yet: it is read. */
        return next_step(LMN_STEP_CONFIRM, STATUS_UNAVAILABLE);
    default:
        /* If it was carried out after all, the user's retry finds the job. */
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
    /* Not told from the watch cache: the job may have been cancelled since, and another
     * controller may have told so. */
    if (g_hash_table_contains(core->cache.jobs, job_id))
        return LMN_PENDING_CONFIRM;
    return waited_s >= RESEND_DELAY_S && !is_resent ? LMN_PENDING_RESEND
                                                    : LMN_PENDING_WAIT;
}

/* --- reading, and cancelling --- */

void lmn_job_read_result_parse(struct lmn_job_read_result *reading, int status,
                               const guint8 *body, size_t len)
{
    struct lmn_cbor_document document;

    memset(reading, 0, sizeof *reading);
    reading->status = status;
    if (status != STATUS_OK)
        return;
    reading->status = LMN_HTTP_NO_RESPONSE;
    if (lmn_cbor_parse(&document, body, len) != 0)
        return;
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    if (lmn_cbor_get_uint(lmn_cbor_get(&document, root, WIRE_VERSION),
                          &reading->revision) &&
        lmn_job_read(&document, lmn_cbor_get(&document, root, WIRE_VALUE), &reading->spec,
                     &reading->phase, &reading->open_ranges,
                     &reading->accepted_at_s) == 0)
        reading->status = STATUS_OK;
    lmn_cbor_free(&document);
}

void lmn_job_read_result_clear(struct lmn_job_read_result *reading)
{
    lmn_job_spec_clear(&reading->spec);
}

/** The reply of a reading of a job that has ended. */
static struct lmn_job_reply final_reply(const struct lmn_job_read_result *reading)
{
    return state_reply(reading->phase,
                       reading->phase == LMN_JOB_DONE ? reading->spec.tasks : 0, 0);
}

struct lmn_job_reply
lmn_job_reply_from_read_result(const struct lmn_core *core, const char *job_id,
                               const struct lmn_job_read_result *reading,
                               int absent_status)
{
    struct lmn_job_view latest;

    if (reading->status == STATUS_NOT_FOUND)
        return absent_reply(absent_status);
    if (reading->status != STATUS_OK)
        return lmn_job_reply_unavailable();
    if (reading->phase != LMN_JOB_ACTIVE)
        return final_reply(reading);
    /* The watch cache's task counts will do for an active job; and it may show a later
     * record. */
    lmn_job_view_from_cache(core, job_id, &latest);
    if (latest.revision > reading->revision)
        return latest.reply;
    return state_reply(LMN_JOB_ACTIVE, latest.reply.done, latest.reply.running);
}

struct lmn_txn *lmn_cancellation_txn(const char *job_id,
                                     const struct lmn_job_read_result *reading,
                                     int absent_status, struct lmn_job_reply *reply)
{
    struct lmn_txn *txn;
    char key[JOB_KEY_SIZE];

    if (reading->status == STATUS_NOT_FOUND)
        *reply = absent_reply(absent_status);
    else if (reading->status != STATUS_OK)
        *reply = lmn_job_reply_unavailable();
    else if (reading->phase != LMN_JOB_ACTIVE)
        *reply = final_reply(reading);
    if (reading->status != STATUS_OK || reading->phase != LMN_JOB_ACTIVE)
        return NULL;
    txn = lmn_txn_new(LMN_WRITE_OWNER, NULL, NULL);
    job_key(key, sizeof key, job_id);
    lmn_txn_require_version(txn, key, reading->revision);
    lmn_txn_put(txn, key,
                lmn_job_record(&reading->spec, LMN_JOB_CANCELLED, reading->open_ranges,
                               reading->accepted_at_s),
                0);
    return txn;
}

bool lmn_cancellation_is_final(enum lmn_txn_outcome outcome, struct lmn_job_reply *reply)
{
    /* With an unknown outcome the user retries, and then the job is read. */
    *reply = outcome == LMN_TXN_COMMITTED ? state_reply(LMN_JOB_CANCELLED, 0, 0)
                                          : lmn_job_reply_unavailable();
    return outcome != LMN_TXN_CONFLICT;
}
