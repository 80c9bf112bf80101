/** @file
 * Confirms, reads and cancels jobs at the key-value store for users' requests.
 *
 * The queue of requests has its own lock, which is never held together with another. The
 * core's lock is taken to read the watch cache and to record cancellations, and is not
 * held during I/O. A request that a thread has dequeued belongs to that thread until it
 * is responded to or enqueued again. */
#include "controller/read_thread.h"
#include "controller/job_response.h"
#include "controller/request_decisions.h"
#include "protocol/wire.h"
#include "state/core.h"
#include "util/in_flight.h"
#include "util/log.h"
#include "util/thread.h"

/** Threads that send requests to the key-value store. While the store answers quickly,
 * only one thread has a request in flight, and the users' requests that arrive meanwhile
 * share the next one; the other threads are used when the store is slow. */
enum { READ_THREADS = 3 };

/** The number of jobs that one transaction confirms is limited to MAX_BATCH_JOBS, and to
 * JOBS_PER_TXN_OPERATION for each operation that the store allows in a transaction: a
 * condition costs the store less than an operation. */
enum { MAX_BATCH_JOBS = 100, JOBS_PER_TXN_OPERATION = 4 };

/** Timeout of a read from the store, a little less than the clients' own timeout. */
static const double READ_TIMEOUT_S = 1.5;
/** Added to each timed wait, so that rounding does not end it just before it is due. */
static const double WAIT_MARGIN_S = 1e-3;

/** The queue of users' requests. `lock` guards all fields. */
static struct {
    pthread_mutex_t lock;
    pthread_cond_t added;
    struct lmn_read_batch batch;
    struct lmn_in_flight in_flight; /**< requests to the store that are in flight */
} queue = {.lock = PTHREAD_MUTEX_INITIALIZER};

/** The state of a read thread. */
struct reader {
    struct lmn_core *core;
    struct lmn_http_client *client; /**< for the key-value store */
    GByteArray *buffer;             /**< body of the last response */
};

/** The requests that a thread has dequeued. */
struct read_work {
    struct lmn_read_request **jobs;  /**< for each job, the list of status requests */
    guint job_count;                 /**< of `jobs` */
    struct lmn_read_request *cancel; /**< a cancellation; NULL: none */
    struct lmn_read_request *late;   /**< list of requests that have timed out */
};

/* Runs before main, because the HTTP server accepts requests before the read threads are
 * started. */
__attribute__((constructor)) static void init_queue(void)
{
    lmn_cond_init(&queue.added);
    lmn_read_batch_init(&queue.batch);
}

void lmn_read_request_enqueue(enum lmn_read_request_kind kind,
                              struct lmn_http_request *request, const char *job_id,
                              int absent_status)
{
    struct lmn_read_request *read = g_new0(struct lmn_read_request, 1);

    read->kind = kind;
    read->request = request;
    read->absent_status = absent_status;
    read->received_at = lmn_now();
    g_strlcpy(read->job_id, job_id, sizeof read->job_id);
    pthread_mutex_lock(&queue.lock);
    lmn_read_batch_add(&queue.batch, read);
    pthread_cond_signal(&queue.added);
    pthread_mutex_unlock(&queue.lock);
}

/* --- responses --- */

/** Responds to all requests in the list that the job's state is unavailable. */
static void respond_unavailable(struct lmn_read_request *list)
{
    const struct lmn_job_reply reply = lmn_job_reply_unavailable();

    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        lmn_job_response_send(read->request, read->job_id, &reply);
        g_free(read);
    }
}

/** Enqueues all requests in the list again, after a confirmation without an outcome. */
static void enqueue_again(struct lmn_read_request *list)
{
    pthread_mutex_lock(&queue.lock);
    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        lmn_read_batch_add(&queue.batch, read);
    }
    pthread_mutex_unlock(&queue.lock);
}

/** Responds to all requests in the list with the confirmed view of their job. */
static void respond_confirmed(struct lmn_core *core, const struct lmn_job_view *view,
                              struct lmn_read_request *list)
{
    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        pthread_mutex_lock(&core->lock);
        struct lmn_job_reply reply =
            lmn_job_reply_confirmed(core, view, read->absent_status);
        pthread_mutex_unlock(&core->lock);
        lmn_job_response_send(read->request, read->job_id, &reply);
        g_free(read);
    }
}

/* --- reading --- */

/** Reads a job's record from the key-value store.
 * @param read_result to be freed with lmn_job_read_result_clear */
static void read_job(struct reader *reader, const char *job_id,
                     struct lmn_job_read_result *read_result)
{
    char path[96];

    g_snprintf(path, sizeof path, WIRE_PATH_STORE "/j/%s", job_id);
    lmn_kv_client_wait_for_token(reader->core->kv_client);
    int status = lmn_http_client_call(reader->client, "GET", path, NULL, READ_TIMEOUT_S,
                                      reader->buffer);
    lmn_job_read_result_parse(read_result, status, reader->buffer->data,
                              reader->buffer->len);
}

/** Reads the job from the store, because the watch cache's view of it is outdated, and
 * responds to all requests in the list. */
static void read_and_respond(struct reader *reader, struct lmn_read_request *list)
{
    struct lmn_core *core = reader->core;
    struct lmn_job_read_result read_result;

    read_job(reader, list->job_id, &read_result);
    for (struct lmn_read_request *read = list, *next; read; read = next) {
        next = read->next_same_job;
        pthread_mutex_lock(&core->lock);
        struct lmn_job_reply reply = lmn_job_reply_from_read_result(
            core, read->job_id, &read_result, read->absent_status);
        pthread_mutex_unlock(&core->lock);
        lmn_job_response_send(read->request, read->job_id, &reply);
        g_free(read);
    }
    lmn_job_read_result_clear(&read_result);
}

/* --- confirming --- */

/** Responds to the requests in the list, or enqueues them again, depending on the outcome
 * of the confirmation.
 * @return false if the job has to be read first; nothing was done then */
static bool respond_by_outcome(struct lmn_core *core, const struct lmn_job_view *view,
                               enum lmn_txn_outcome outcome, const GPtrArray *failed_keys,
                               struct lmn_read_request *list)
{
    switch (lmn_job_view_confirmation(view, outcome, failed_keys)) {
    case LMN_CONFIRMATION_OUTDATED:
        return false;
    case LMN_CONFIRMATION_LATEST:
        respond_confirmed(core, view, list);
        return true;
    default:
        if (outcome == LMN_TXN_UNKNOWN)
            enqueue_again(list);
        else
            respond_unavailable(list);
        return true;
    }
}

/** Confirms the views of many jobs with one transaction, which has conditions and no
 * writes, and responds to the requests. */
static void confirm_jobs(struct reader *reader, struct lmn_read_request **jobs,
                         guint job_count)
{
    struct lmn_core *core = reader->core;
    g_autofree struct lmn_job_view *views = g_new0(struct lmn_job_view, job_count);
    g_autoptr(GPtrArray) failed_keys = g_ptr_array_new_with_free_func(g_free);
    uint64_t revision;

    pthread_mutex_lock(&core->lock);
    for (guint i = 0; i < job_count; i++)
        lmn_job_view_from_cache(core, jobs[i]->job_id, &views[i]);
    pthread_mutex_unlock(&core->lock);
    struct lmn_txn *txn = lmn_confirmation_txn(views, job_count);
    enum lmn_txn_outcome outcome = lmn_kv_client_commit(core->kv_client, reader->client,
                                                        txn, &revision, failed_keys);
    lmn_txn_free(txn);
    /* Confirmed jobs first, so that their responses do not wait for the reads. */
    for (guint i = 0; i < job_count; i++)
        if (respond_by_outcome(core, &views[i], outcome, failed_keys, jobs[i]))
            jobs[i] = NULL;
    for (guint i = 0; i < job_count; i++)
        if (jobs[i])
            read_and_respond(reader, jobs[i]);
}

/* --- cancelling --- */

/** Records a committed cancellation as a tombstone, by which the other controllers learn
 * of it even before their watch caches show it (state/tombstone.h). */
static void record_cancellation(struct lmn_core *core, const char *job_id)
{
    lmn_debug("job_cancelled job=%s", job_id);
    pthread_mutex_lock(&core->lock);
    if (core->members.count > 1)
        lmn_tombstone_add(&core->cache.tombstones, job_id);
    pthread_mutex_unlock(&core->lock);
}

/** Makes one attempt to read the job and write its cancellation.
 * @return true if *reply is to be sent; false if the job's record changed meanwhile */
static bool try_to_cancel(struct reader *reader, const struct lmn_read_request *read,
                          struct lmn_job_reply *reply)
{
    struct lmn_core *core = reader->core;
    struct lmn_job_read_result read_result;
    uint64_t revision;

    read_job(reader, read->job_id, &read_result);
    struct lmn_txn *txn =
        lmn_cancellation_txn(read->job_id, &read_result, read->absent_status, reply);
    lmn_job_read_result_clear(&read_result);
    if (!txn)
        return true;
    enum lmn_txn_outcome outcome =
        lmn_kv_client_commit(core->kv_client, reader->client, txn, &revision, NULL);
    lmn_txn_free(txn);
    bool is_final = lmn_cancellation_is_final(outcome, reply);
    if (outcome == LMN_TXN_COMMITTED)
        record_cancellation(core, read->job_id);
    return is_final;
}

static void cancel_job(struct reader *reader, struct lmn_read_request *read)
{
    struct lmn_job_reply reply = lmn_job_reply_unavailable();

    for (int attempt = 0; attempt < LMN_MAX_CANCEL_ATTEMPTS; attempt++)
        if (try_to_cancel(reader, read, &reply))
            break;
    lmn_job_response_send(read->request, read->job_id, &reply);
    g_free(read);
}

/* --- the threads --- */

/** Waits until requests are queued and another request to the store may be in flight, and
 * dequeues the next requests.
 * @param max_jobs the size of work->jobs */
static void dequeue_work(struct read_work *work, guint max_jobs)
{
    pthread_mutex_lock(&queue.lock);
    for (;;) {
        double wait_s = lmn_in_flight_wait(&queue.in_flight, lmn_now());
        if (!queue.batch.order.length)
            pthread_cond_wait(&queue.added, &queue.lock);
        else if (wait_s > 0)
            lmn_cond_wait_for(&queue.added, &queue.lock, wait_s + WAIT_MARGIN_S);
        else
            break;
    }
    work->job_count = lmn_read_batch_dequeue(&queue.batch, work->jobs, max_jobs,
                                             &work->cancel, &work->late, lmn_now());
    lmn_in_flight_begin(&queue.in_flight, lmn_now());
    pthread_mutex_unlock(&queue.lock);
}

static void *read_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct reader reader = {core, lmn_http_client_new(core->settings->state_address),
                            g_byte_array_new()};
    guint max_jobs = (guint)MIN(
        JOBS_PER_TXN_OPERATION * core->settings->max_txn_operations, MAX_BATCH_JOBS);
    struct read_work work = {.jobs = g_new0(struct lmn_read_request *, max_jobs)};

    for (;;) {
        dequeue_work(&work, max_jobs);
        respond_unavailable(work.late);
        if (work.job_count)
            confirm_jobs(&reader, work.jobs, work.job_count);
        if (work.cancel)
            cancel_job(&reader, work.cancel);
        pthread_mutex_lock(&queue.lock);
        lmn_in_flight_end(&queue.in_flight);
        pthread_mutex_unlock(&queue.lock);
    }
    return NULL;
}

void lmn_read_threads_start(struct lmn_core *core)
{
    for (int i = 0; i < READ_THREADS; i++)
        lmn_thread_start_detached(read_thread, core);
}
