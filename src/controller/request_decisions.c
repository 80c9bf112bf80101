#include "controller/request_decisions.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "state/core.h"
#include "state/records.h"

#include <string.h>

/* --- replies --- */

static struct lmn_job_reply plain(int status, int retry_after)
{
    return (struct lmn_job_reply){.status = status, .retry_after = retry_after};
}

static struct lmn_job_reply fault(int status, const char *error)
{
    return (struct lmn_job_reply){.status = status, .error = error};
}

static struct lmn_job_reply job_state(enum lmn_job_phase phase, uint32_t done,
                                      uint32_t running)
{
    return (struct lmn_job_reply){.status = 200,
                                  .shows_job = true,
                                  .phase = phase,
                                  .done = done,
                                  .running = running};
}

struct lmn_job_reply lmn_job_reply_unavailable(void)
{
    return plain(503, 1);
}

/* There is no such job. */
static struct lmn_job_reply absent(int status)
{
    if (status == 503)
        return lmn_job_reply_unavailable();
    return status == 404 ? plain(404, 0) : fault(status, "refused");
}

static const char *state_word(const struct lmn_job_reply *reply)
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

    if (!reply->shows_job && !reply->error)
        return NULL;
    buffer = g_byte_array_new();
    if (reply->error) {
        lmn_cbor_put_map(buffer, 1);
        lmn_cbor_put_text(buffer, "error"), lmn_cbor_put_text(buffer, reply->error);
        return buffer;
    }
    lmn_cbor_put_map(buffer, reply->status == 201 ? 2 : 4);
    lmn_cbor_put_text(buffer, WIRE_JOB_ID), lmn_cbor_put_text(buffer, job_id);
    lmn_cbor_put_text(buffer, WIRE_STATE), lmn_cbor_put_text(buffer, state_word(reply));
    if (reply->status == 201)
        return buffer;
    lmn_cbor_put_text(buffer, WIRE_DONE), lmn_cbor_put_uint(buffer, reply->done);
    lmn_cbor_put_text(buffer, WIRE_RUNNING), lmn_cbor_put_uint(buffer, reply->running);
    return buffer;
}

/* --- the mirror's view --- */

/* Tasks done and running, as far as this node knows; for display. */
static void tally(const struct lmn_job *job, uint32_t *done, uint32_t *running)
{
    uint32_t left = 0;

    *running = 0;
    for (guint i = 0; i < job->ranges->len; i++) {
        const struct lmn_range *range = job->ranges->pdata[i];
        left += range->end - range->first -
                (range->task_states ? range->finished_count : range->done_count);
        *running += range->started_count;
    }
    *done = job->phase == LMN_JOB_DONE ? job->spec.tasks
                                       : job->spec.tasks - MIN(left, job->spec.tasks);
    if (job->phase != LMN_JOB_ACTIVE)
        *running = 0;
}

void lmn_job_view_take(const struct lmn_core *core, const char *job_id,
                       struct lmn_job_view *view)
{
    const struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, job_id);
    uint32_t done, running;

    memset(view, 0, sizeof *view);
    g_strlcpy(view->job_id, job_id, sizeof view->job_id);
    if (!job)
        return;
    tally(job, &done, &running);
    view->revision = job->revision;
    view->reply = job_state(job->phase, done, running);
}

static bool is_final(const struct lmn_job_view *view)
{
    return view->revision && view->reply.phase != LMN_JOB_ACTIVE;
}

static void job_key(char *key, size_t len, const char *job_id)
{
    g_snprintf(key, len, "j/%s", job_id);
}

struct lmn_txn *lmn_confirmation_txn(const struct lmn_job_view *view, guint n)
{
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_USER, NULL, NULL);
    char key[64];

    for (guint i = 0; i < n; i++) {
        job_key(key, sizeof key, view[i].job_id);
        lmn_txn_require_version(txn, key, view[i].revision);
    }
    return txn;
}

enum lmn_confirmation_result lmn_job_view_confirmed(const struct lmn_job_view *view,
                                                    enum lmn_txn_outcome outcome,
                                                    const GPtrArray *failed)
{
    char key[64];

    if (outcome == LMN_TXN_COMMITTED)
        return LMN_CONFIRMED_LATEST;
    /* A conflict that names no key says nothing about any. */
    if (outcome != LMN_TXN_CONFLICT || !failed->len)
        return LMN_CONFIRMED_NOTHING;
    job_key(key, sizeof key, view->job_id);
    for (guint i = 0; i < failed->len; i++)
        if (!strcmp(failed->pdata[i], key))
            return LMN_CONFIRMED_OUTDATED;
    return LMN_CONFIRMED_LATEST;
}

struct lmn_job_reply lmn_job_reply_confirmed(const struct lmn_core *core,
                                             const struct lmn_job_view *view,
                                             int absent_status)
{
    struct lmn_job_view latest;

    /* A later revision in the mirror is of a later instant than the confirmation. */
    lmn_job_view_take(core, view->job_id, &latest);
    if (latest.revision > view->revision)
        return latest.reply;
    return view->revision ? view->reply : absent(absent_status);
}

/* --- first decisions --- */

static struct lmn_request_decision reply_now(struct lmn_job_reply r)
{
    return (struct lmn_request_decision){.step = LMN_STEP_REPLY, .reply = r};
}

static struct lmn_request_decision next_step(enum lmn_request_step step,
                                             int absent_status)
{
    return (struct lmn_request_decision){.step = step, .absent_status = absent_status};
}

/* Nothing can be confirmed now: held back, a question took a socket and its user's
 * patience, and ended as 503 all the same. */
static bool is_blind(const struct lmn_core *core, struct timespec now)
{
    return lmn_watch_cache_age_s(core, now) > LMN_CACHE_STALLED_S;
}

/* Whether nothing has to be asked: the id can't be one, or its job has ended. */
static bool is_known_now(struct lmn_core *core, const char *job_id,
                         struct lmn_job_reply *reply)
{
    struct lmn_job_view v;

    if (!lmn_job_id_is_valid(job_id)) {
        *reply = plain(404, 0);
        return true;
    }
    core->counters.status_requests++;
    lmn_job_view_take(core, job_id, &v);
    *reply = v.reply;
    return is_final(&v);
}

struct lmn_request_decision lmn_decide_status(struct lmn_core *core, const char *job_id,
                                              struct timespec now)
{
    struct lmn_job_reply reply;

    if (is_known_now(core, job_id, &reply))
        return reply_now(reply);
    if (lmn_load_should_shed(&core->load, LMN_SHED_POLL, core->random))
        return reply_now(
            plain(503, lmn_retry_after(2 * core->load.delay_s, core->random)));
    if (is_blind(core, now))
        return reply_now(plain(503, lmn_retry_after(1, core->random)));
    return next_step(LMN_STEP_CONFIRM, 404);
}

struct lmn_request_decision lmn_decide_cancel(struct lmn_core *core, const char *job_id)
{
    struct lmn_job_reply reply;

    if (is_known_now(core, job_id, &reply))
        return reply_now(reply);
    return next_step(LMN_STEP_CANCEL, 404);
}

/* A job that nobody is known to have submitted, and nothing is wrong with. */
static struct lmn_request_decision decide_new(struct lmn_core *core)
{
    double wait = lmn_kv_client_backlog_s(core->kv_client, LMN_WRITE_USER);

    if (wait > 2.0) {
        core->counters.refused_requests++;
        return reply_now(plain(429, lmn_retry_after(wait, core->random)));
    }
    if (lmn_load_should_shed(&core->load, LMN_SHED_SUBMISSION, core->random))
        return reply_now(
            plain(429, lmn_retry_after(2 * core->load.delay_s, core->random)));
    return next_step(LMN_STEP_COMMIT, 503);
}

struct lmn_request_decision lmn_decide_submission(struct lmn_core *core,
                                                  const struct lmn_submission *submission,
                                                  struct timespec now)
{
    const char *why;
    struct lmn_job_view v;

    if (submission->fault == LMN_SUBMISSION_NO_ID)
        return reply_now(fault(400, submission->field_at_fault));
    core->counters.submissions++;
    lmn_job_view_take(core, submission->spec.id, &v);
    if (is_final(&v))
        return reply_now(v.reply);
    /* An id that was accepted before is answered with its state, whatever is wrong with
     * what is sent now: so a refusal too has to be confirmed. */
    if (submission->fault == LMN_SUBMISSION_MALFORMED)
        return next_step(LMN_STEP_CONFIRM, 400);
    if (v.revision)
        return next_step(LMN_STEP_CONFIRM, 503);
    /* No value can hold it: that would be 503 at each try, for ever. */
    if (submission->fault == LMN_SUBMISSION_TOO_LARGE)
        return next_step(LMN_STEP_CONFIRM, 400);
    if (!core->cache.is_synced || !core->cloud.machine_types_known)
        return reply_now(plain(503, 2));
    if (is_blind(core, now))
        return reply_now(plain(503, lmn_retry_after(1, core->random)));
    if (!lmn_job_spec_is_feasible(&submission->spec, core->settings,
                                  &core->cloud.machine_types, &why)) {
        lmn_debug("job_infeasible job=%s why=\"%s\"", submission->spec.id, why);
        return next_step(LMN_STEP_CONFIRM, 422);
    }
    return decide_new(core);
}

struct lmn_request_decision lmn_decide_submitted(enum lmn_txn_outcome outcome)
{
    struct lmn_job_reply accepted = job_state(LMN_JOB_ACTIVE, 0, 0);

    switch (outcome) {
    case LMN_TXN_COMMITTED:
        accepted.status = 201;
        return reply_now(accepted);
    case LMN_TXN_CONFLICT:
        /* Known already, though not yet to the mirror: it is read. */
        return next_step(LMN_STEP_CONFIRM, 503);
    default:
        /* If it was executed after all, the user's retry finds the job. */
        return reply_now(lmn_job_reply_unavailable());
    }
}

/* A transaction without an answer for so long may never be carried out. */
static const double RESEND_S = 0.3;

enum lmn_pending_submission_step
lmn_decide_pending_submission(const struct lmn_core *core, const char *job_id,
                              struct timespec since, bool resent, struct timespec now)
{
    double waited = lmn_time_diff_s(now, since);

    if (waited < LMN_PENDING_CHECK_DELAY_S)
        return LMN_PENDING_WAIT;
    /* Not answered from the mirror: the job may have been cancelled since, and another
     * node may have said so. */
    if (g_hash_table_contains(core->cache.jobs, job_id))
        return LMN_PENDING_CONFIRM;
    return waited >= RESEND_S && !resent ? LMN_PENDING_RESEND : LMN_PENDING_WAIT;
}

/* --- reading, and cancelling --- */

void lmn_job_reading_parse(struct lmn_job_reading *reading, int status,
                           const guint8 *body, size_t len)
{
    struct lmn_cbor_document d;

    memset(reading, 0, sizeof *reading);
    reading->status = status;
    if (status != 200)
        return;
    reading->status = LMN_HTTP_NO_RESPONSE;
    if (lmn_cbor_parse(&d, body, len) != 0)
        return;
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    if (lmn_cbor_get_uint(lmn_cbor_get(&d, root, WIRE_VERSION), &reading->revision) &&
        lmn_job_read(&d, lmn_cbor_get(&d, root, WIRE_VALUE), &reading->spec,
                     &reading->phase, &reading->open_ranges,
                     &reading->accepted_at_s) == 0)
        reading->status = 200;
    lmn_cbor_free(&d);
}

void lmn_job_reading_clear(struct lmn_job_reading *reading)
{
    lmn_job_spec_clear(&reading->spec);
}

/* Of a job's record that has ended. */
static struct lmn_job_reply ended(const struct lmn_job_reading *reading)
{
    return job_state(reading->phase,
                     reading->phase == LMN_JOB_DONE ? reading->spec.tasks : 0, 0);
}

struct lmn_job_reply lmn_job_reply_from_reading(const struct lmn_core *core,
                                                const char *job_id,
                                                const struct lmn_job_reading *reading,
                                                int absent_status)
{
    struct lmn_job_view latest;

    if (reading->status == 404)
        return absent(absent_status);
    if (reading->status != 200)
        return lmn_job_reply_unavailable();
    if (reading->phase != LMN_JOB_ACTIVE)
        return ended(reading);
    /* The mirror's counts will do for an active job; and it may have moved on. */
    lmn_job_view_take(core, job_id, &latest);
    if (latest.revision > reading->revision)
        return latest.reply;
    return job_state(LMN_JOB_ACTIVE, latest.reply.done, latest.reply.running);
}

struct lmn_txn *lmn_cancellation_txn(const char *job_id,
                                     const struct lmn_job_reading *reading,
                                     int absent_status, struct lmn_job_reply *reply)
{
    struct lmn_txn *txn;
    char key[64];

    if (reading->status == 404)
        *reply = absent(absent_status);
    else if (reading->status != 200)
        *reply = lmn_job_reply_unavailable();
    else if (reading->phase != LMN_JOB_ACTIVE)
        *reply = ended(reading);
    if (reading->status != 200 || reading->phase != LMN_JOB_ACTIVE)
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

bool lmn_cancellation_is_settled(enum lmn_txn_outcome outcome,
                                 struct lmn_job_reply *reply)
{
    /* With an unknown outcome the user asks again, and then it is read. */
    *reply = outcome == LMN_TXN_COMMITTED ? job_state(LMN_JOB_CANCELLED, 0, 0)
                                          : lmn_job_reply_unavailable();
    return outcome != LMN_TXN_CONFLICT;
}
