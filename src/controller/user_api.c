/* Users' requests over HTTP: what is answered is decided in replies.c; here calls are
 * held, confirmations shared, and the state service asked. */
#include "controller/user_api.h"
#include "util/in_flight.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "controller/read_batch.h"
#include "controller/pending_submission.h"
#include "controller/request_decisions.h"
#include "state/core.h"

#include <string.h>

static pthread_mutex_t queries_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t queries_more;
static struct lmn_read_batch queries;
static struct lmn_in_flight flight; /* of confirmations and cancellations */
/* Threads that ask the state service; one alone queries at a time unless it is slow. */
enum { QUERY_THREADS = 3 };

static void answer(struct lmn_http_request *request, const char *ref,
                   const struct lmn_job_reply *reply)
{
    lmn_http_request_respond(request, reply->status, lmn_job_reply_body(reply, ref),
                             reply->retry_after);
}

/* The call is held already. */
static void enqueue(enum lmn_read_request_kind kind, struct lmn_http_request *request,
                    const char *ref, int absent_status)
{
    struct lmn_read_request *read = g_new0(struct lmn_read_request, 1);

    read->kind = kind;
    read->request = request;
    read->absent_status = absent_status;
    read->received_at = lmn_now();
    g_strlcpy(read->job_id, ref, sizeof read->job_id);
    pthread_mutex_lock(&queries_lock);
    lmn_read_batch_add(&queries, read);
    pthread_cond_signal(&queries_more);
    pthread_mutex_unlock(&queries_lock);
}

/* All steps but the commit of a submission, for a call that is held. */
static void carry_out_held(struct lmn_http_request *request, const char *ref,
                           const struct lmn_request_decision *decision)
{
    if (decision->step == LMN_STEP_REPLY)
        answer(request, ref, &decision->reply);
    else
        enqueue(decision->step == LMN_STEP_CANCEL ? LMN_READ_CANCEL : LMN_READ_STATUS,
                request, ref, decision->absent_status);
}

static void carry_out(const struct lmn_request_decision *decision,
                      struct lmn_http_request *request, const char *ref)
{
    if (decision->step != LMN_STEP_REPLY)
        lmn_http_request_defer(request);
    carry_out_held(request, ref, decision);
}

void lmn_user_api_status(struct lmn_core *core, struct lmn_http_request *request,
                         const char *ref)
{
    pthread_mutex_lock(&core->lock);
    struct lmn_request_decision d = lmn_decide_status(core, ref, lmn_now());
    pthread_mutex_unlock(&core->lock);
    carry_out(&d, request, ref);
}

void lmn_user_api_cancel(struct lmn_core *core, struct lmn_http_request *request,
                         const char *ref)
{
    pthread_mutex_lock(&core->lock);
    struct lmn_request_decision d = lmn_decide_cancel(core, ref);
    pthread_mutex_unlock(&core->lock);
    carry_out(&d, request, ref);
}

bool lmn_user_api_is_ready(struct lmn_core *core)
{
    pthread_mutex_lock(&core->lock);
    double stale = lmn_watch_cache_age_s(core, lmn_now());
    bool ready =
        core->cache.is_synced && core->cloud.machine_types_known &&
        !core->shutdown.is_requested &&
        (stale < LMN_CACHE_STALLED_S || (!core->cache.is_isolated_view && stale < 30));
    pthread_mutex_unlock(&core->lock);
    return ready;
}

void lmn_user_api_submit(struct lmn_core *core, struct lmn_http_request *request)
{
    const GByteArray *body = lmn_http_request_body(request);
    struct lmn_submission s;

    lmn_submission_parse(&s, core->settings, body->data, body->len);
    pthread_mutex_lock(&core->lock);
    struct lmn_request_decision d = lmn_decide_submission(core, &s, lmn_now());
    pthread_mutex_unlock(&core->lock);
    if (d.step == LMN_STEP_COMMIT) {
        lmn_http_request_defer(request);
        lmn_pending_submission_submit(core, request, &s.spec);
    } else {
        carry_out(&d, request, s.spec.id);
    }
    lmn_submission_clear(&s);
}

/* --- the threads that ask the state service --- */

/* Reads one job; to be cleared. */
static void read_job(struct lmn_core *core, struct lmn_http_client *client,
                     GByteArray *buf, const char *ref, struct lmn_job_reading *reading)
{
    char path[96];

    g_snprintf(path, sizeof path, WIRE_PATH_STORE "/j/%s", ref);
    lmn_kv_client_wait_for_token(core->kv_client);
    int status = lmn_http_client_call(client, "GET", path, NULL, 1.5, buf);
    lmn_job_reading_parse(reading, status, buf->data, buf->len);
}

/* Answers all in the list, for which nobody knows anything. */
static void answer_unavailable(struct lmn_read_request *list)
{
    const struct lmn_job_reply r = lmn_job_reply_unavailable();

    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        answer(read->request, read->job_id, &r);
        g_free(read);
    }
}

/* The confirmation's answer was lost: those who still listen are asked for again. */
static void query_again(struct lmn_read_request *list)
{
    pthread_mutex_lock(&queries_lock);
    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        lmn_read_batch_add(&queries, read);
    }
    pthread_mutex_unlock(&queries_lock);
}

/* Answers all who asked about the same job by its confirmed view. */
static void answer_confirmed(struct lmn_core *core, const struct lmn_job_view *view,
                             struct lmn_read_request *list)
{
    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        pthread_mutex_lock(&core->lock);
        struct lmn_job_reply r = lmn_job_reply_confirmed(core, view, read->absent_status);
        pthread_mutex_unlock(&core->lock);
        answer(read->request, read->job_id, &r);
        g_free(read);
    }
}

/* The mirror is behind: the job itself is read. */
static void answer_read(struct lmn_core *core, struct lmn_http_client *client,
                        GByteArray *buf, struct lmn_read_request *list)
{
    struct lmn_job_reading reading;

    read_job(core, client, buf, list->job_id, &reading);
    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        pthread_mutex_lock(&core->lock);
        struct lmn_job_reply r =
            lmn_job_reply_from_reading(core, read->job_id, &reading, read->absent_status);
        pthread_mutex_unlock(&core->lock);
        answer(read->request, read->job_id, &r);
        g_free(read);
    }
    lmn_job_reading_clear(&reading);
}

/* A cancellation has been committed. */
static void tell_others(struct lmn_core *core, const char *ref)
{
    lmn_debug("job_cancelled job=%s", ref);
    pthread_mutex_lock(&core->lock);
    if (core->members.count > 1)
        lmn_tombstone_add(&core->cache.tombstones, ref);
    pthread_mutex_unlock(&core->lock);
}

static void cancel_one(struct lmn_core *core, struct lmn_http_client *client,
                       GByteArray *buf, const struct lmn_read_request *read)
{
    struct lmn_job_reply reply = lmn_job_reply_unavailable();
    bool over = false;

    for (int tries = 0; tries < LMN_CANCEL_TRIES && !over; tries++) {
        struct lmn_job_reading reading;
        uint64_t revision;

        read_job(core, client, buf, read->job_id, &reading);
        struct lmn_txn *txn =
            lmn_cancellation_txn(read->job_id, &reading, read->absent_status, &reply);
        lmn_job_reading_clear(&reading);
        if (!txn)
            break;
        enum lmn_txn_outcome outcome =
            lmn_kv_client_commit(core->kv_client, client, txn, &revision, NULL);
        lmn_txn_free(txn);
        over = lmn_cancellation_is_settled(outcome, &reply);
        if (outcome == LMN_TXN_COMMITTED)
            tell_others(core, read->job_id);
    }
    answer(read->request, read->job_id, &reply);
}

/* Many jobs, one request: a transaction of conditions alone says which of the mirror's
 * versions are the latest. */
static void confirm_batch(struct lmn_core *core, struct lmn_http_client *client,
                          GByteArray *buf, struct lmn_read_request **v, guint n)
{
    struct lmn_job_view *views = g_new0(struct lmn_job_view, n);
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    uint64_t revision;

    pthread_mutex_lock(&core->lock);
    for (guint i = 0; i < n; i++)
        lmn_job_view_take(core, v[i]->job_id, &views[i]);
    pthread_mutex_unlock(&core->lock);
    struct lmn_txn *txn = lmn_confirmation_txn(views, n);
    enum lmn_txn_outcome outcome =
        lmn_kv_client_commit(core->kv_client, client, txn, &revision, failed);
    lmn_txn_free(txn);
    /* First what is known: a reading takes its time, and an answer grows old. */
    for (guint i = 0; i < n; i++) {
        enum lmn_confirmation_result known =
            lmn_job_view_confirmed(&views[i], outcome, failed);
        if (known == LMN_CONFIRMED_OUTDATED)
            continue;
        if (known == LMN_CONFIRMED_LATEST)
            answer_confirmed(core, &views[i], v[i]);
        else if (outcome == LMN_TXN_UNKNOWN)
            query_again(v[i]);
        else
            answer_unavailable(v[i]);
        v[i] = NULL;
    }
    for (guint i = 0; i < n; i++)
        if (v[i])
            answer_read(core, client, buf, v[i]);
    g_free(views);
    g_ptr_array_free(failed, TRUE);
}

/* Waits for questions and takes the next; returns how many jobs they are about. */
static guint next_queries(struct lmn_read_request **v, guint most,
                          struct lmn_read_request **cancel,
                          struct lmn_read_request **late)
{
    pthread_mutex_lock(&queries_lock);
    for (;;) {
        double wait = lmn_in_flight_wait(&flight, lmn_now());
        if (!queries.order.length)
            pthread_cond_wait(&queries_more, &queries_lock);
        else if (wait > 0)
            lmn_cond_wait_for(&queries_more, &queries_lock, wait + 1e-3);
        else
            break;
    }
    guint n = lmn_read_batch_take(&queries, v, most, cancel, late, lmn_now());
    lmn_in_flight_begin(&flight, lmn_now());
    pthread_mutex_unlock(&queries_lock);
    return n;
}

static void *query_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct lmn_http_client *client = lmn_http_client_new(core->settings->state_address);
    GByteArray *buf = g_byte_array_new();
    guint max = (guint)MIN(4 * core->settings->max_txn_operations, 100);
    struct lmn_read_request **v = g_new0(struct lmn_read_request *, max), *cancel, *late;

    for (;;) {
        guint n = next_queries(v, max, &cancel, &late);
        answer_unavailable(late);
        if (n)
            confirm_batch(core, client, buf, v, n);
        if (cancel) {
            cancel_one(core, client, buf, cancel);
            g_free(cancel);
        }
        pthread_mutex_lock(&queries_lock);
        lmn_in_flight_end(&flight);
        pthread_mutex_unlock(&queries_lock);
    }
    return NULL;
}

void lmn_user_api_start(struct lmn_core *core)
{
    for (int i = 0; i < QUERY_THREADS; i++)
        lmn_thread(query_thread, core);
    lmn_pending_submission_start(core, carry_out_held);
}

__attribute__((constructor)) static void init(void)
{
    lmn_cond_init(&queries_more);
    lmn_read_batch_init(&queries);
}
