/** @file
 * The client of the key-value store (kv_client/kv_client.h): the queues of transactions,
 * guarded by the client's lock, and the writer threads that send them. */
#include "kv_client/kv_client.h"

#include "kv_client/txn_batch.h"
#include "kv_client/txn_codec.h"
#include "kv_client/txn_impl.h"
#include "kv_client/write_budget.h"
#include "protocol/wire.h"
#include "util/clock.h"
#include "util/in_flight.h"
#include "util/log.h"
#include "util/thread.h"

#include <math.h>
#include <pthread.h>

enum {
    /* Usually one batch is in flight at a time, so that transactions submitted meanwhile
     * share the next batch (util/in_flight.h). The other threads send batches while a
     * response is slow. */
    WRITER_THREADS = 4,
    HTTP_BAD_REQUEST = 400,
    HTTP_TOO_MANY_REQUESTS = 429,
};

static const double TXN_TIMEOUT_S = 2.0;
/** Timeout of a transaction without operations: it changes nothing, so the caller can
 * repeat it at any time. */
static const double CHECK_TIMEOUT_S = 0.6;
/** A transaction that the store answered with 429 is queued again until this long after
 * its submission. */
static const double RESUBMIT_WITHIN_S = 1.5;
/** Pause of all writer threads after a 429: the minimum plus a random part, so that the
 * controllers do not all send again at the same time.
 */
static const double THROTTLED_MIN_S = 0.1, THROTTLED_RANDOM_S = 0.2;
/** Added to each wait for the budget, so that the tokens are available when it ends. */
static const double WAIT_MARGIN_S = 1e-3;
/** The limit of requests: the fraction of this controller's share that is used (less than
 * all, since the store measures seconds by its own clock), and the bucket's size in
 * seconds of the rate and in requests. */
static const double REQUEST_RATE_MARGIN = 0.95, REQUEST_BURST_S = 0.5,
                    MIN_REQUEST_BURST = 2;

struct lmn_kv_client {
    const struct lmn_settings *settings;
    pthread_mutex_t lock;                /* guards everything below */
    pthread_cond_t submitted;            /* signaled when a transaction is queued */
    GQueue queues[LMN_WRITE_PRIORITIES]; /* struct lmn_txn */
    double queued_operations[LMN_WRITE_PRIORITIES];
    struct lmn_token_bucket requests;
    struct lmn_write_budget budget;
    struct lmn_latency batch_latency; /* seconds from sending a batch to its response */
    struct lmn_in_flight in_flight;   /* batches that are sent and not answered */
    struct timespec throttled_until;  /* after a 429: no batch is sent before this time */
};

/** The store's response to a batch or to a single transaction. */
struct response {
    int status; /* HTTP status, or a negative error code of http/client.h */
    enum lmn_txn_outcome outcome;
    uint64_t revision; /* the store's; set if the outcome is committed or conflict */
};

struct lmn_kv_client *lmn_kv_client_new(const struct lmn_settings *settings)
{
    struct lmn_kv_client *client = g_new0(struct lmn_kv_client, 1);
    /* settings->member_count does not include this controller. */
    double share = 1.0 / (double)(settings->member_count + 1);
    double requests_per_s = settings->state_requests_per_s * share;
    struct timespec now = lmn_now();

    client->settings = settings;
    pthread_mutex_init(&client->lock, NULL);
    lmn_cond_init(&client->submitted);
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        g_queue_init(&client->queues[i]);
    lmn_token_bucket_init(&client->requests, requests_per_s * REQUEST_RATE_MARGIN,
                          MAX(requests_per_s * REQUEST_BURST_S, MIN_REQUEST_BURST), now);
    lmn_write_budget_init(&client->budget, settings->state_writes_per_s * share, now);
    lmn_latency_init(&client->batch_latency);
    client->throttled_until = now;
    return client;
}

void lmn_kv_client_free(struct lmn_kv_client *client)
{
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        for (struct lmn_txn *txn; (txn = g_queue_pop_head(&client->queues[i]));)
            lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
    lmn_latency_clear(&client->batch_latency);
    pthread_cond_destroy(&client->submitted);
    pthread_mutex_destroy(&client->lock);
    g_free(client);
}

void lmn_kv_client_wait_for_token(struct lmn_kv_client *client)
{
    for (;;) {
        pthread_mutex_lock(&client->lock);
        double wait_s = lmn_token_bucket_take(&client->requests, 1, lmn_now());
        pthread_mutex_unlock(&client->lock);
        if (wait_s <= 0)
            return;
        lmn_sleep(wait_s);
    }
}

/** The number of queued operations of the priority `last` and all higher ones. The lock
 * is held. */
static double count_queued(const struct lmn_kv_client *client,
                           enum lmn_write_priority last)
{
    double queued = 0;

    for (int i = 0; i <= (int)last; i++)
        queued += client->queued_operations[i];
    return queued;
}

double lmn_kv_client_statistics(struct lmn_kv_client *client, struct lmn_latency *latency)
{
    pthread_mutex_lock(&client->lock);
    lmn_latency_copy(latency, &client->batch_latency);
    double queued = count_queued(client, LMN_WRITE_PRIORITIES - 1);
    pthread_mutex_unlock(&client->lock);
    return queued;
}

void lmn_kv_client_submit(struct lmn_kv_client *client, struct lmn_txn *txn)
{
    pthread_mutex_lock(&client->lock);
    txn->submitted_at = lmn_now();
    g_queue_push_tail(&client->queues[txn->priority], txn);
    client->queued_operations[txn->priority] += txn->operations->len;
    if (txn->priority == LMN_WRITE_DEFERRABLE)
        client->budget.deferrable.level -= txn->operations->len;
    pthread_cond_signal(&client->submitted);
    pthread_mutex_unlock(&client->lock);
}

double lmn_kv_client_backlog_s(struct lmn_kv_client *client,
                               enum lmn_write_priority priority)
{
    pthread_mutex_lock(&client->lock);
    lmn_write_budget_refill(&client->budget, lmn_now());
    double wait_s = lmn_write_budget_backlog_s(&client->budget, priority,
                                               count_queued(client, priority));
    pthread_mutex_unlock(&client->lock);
    return wait_s;
}

double lmn_kv_client_spare_writes(struct lmn_kv_client *client)
{
    pthread_mutex_lock(&client->lock);
    double spare =
        lmn_write_budget_spare(&client->budget, client->queued_operations, lmn_now());
    pthread_mutex_unlock(&client->lock);
    return spare;
}

/** Sends the transactions in one request and decodes the response. Blocks; no lock is
 * held. */
static struct response send_txns(struct lmn_http_client *http_client,
                                 struct lmn_txn *const *txns, guint count,
                                 double timeout_s, GPtrArray *conflicts)
{
    GByteArray *body = lmn_txn_encode(txns, count);
    GByteArray *answer = g_byte_array_new();
    struct response response = {.revision = 0};

    struct timespec sent_at = lmn_now();
    response.status =
        lmn_http_client_call(http_client, "POST", WIRE_PATH_TXN, body, timeout_s, answer);
    lmn_debug("kv_batch_sent transactions=%u status=%d took=%.3f", count, response.status,
              lmn_time_diff_s(lmn_now(), sent_at));
    response.outcome =
        lmn_txn_decode_response(response.status, answer, &response.revision, conflicts);
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return response;
}

enum lmn_txn_outcome lmn_kv_client_commit(struct lmn_kv_client *client,
                                          struct lmn_http_client *http_client,
                                          struct lmn_txn *txn, uint64_t *revision,
                                          GPtrArray *conflicts)
{
    double timeout_s = txn->operations->len ? TXN_TIMEOUT_S : CHECK_TIMEOUT_S;

    lmn_kv_client_wait_for_token(client);
    struct response response = send_txns(http_client, &txn, 1, timeout_s, conflicts);
    if (response.outcome == LMN_TXN_COMMITTED || response.outcome == LMN_TXN_CONFLICT)
        *revision = response.revision;
    return response.outcome;
}

/** Whether the transaction may be sent in the batch now. A transaction that exceeds the
 * limits of a batch by itself is sent alone, so that the store accepts or rejects it. */
static bool may_join(const struct lmn_kv_client *client,
                     const struct lmn_txn_batch *batch, const struct lmn_txn *txn)
{
    if (!lmn_write_budget_affords(&client->budget, txn->priority,
                                  batch->operations + txn->operations->len))
        return false;
    return batch->count == 0 || lmn_txn_batch_fits(batch, txn);
}

/** Moves the transactions that may be sent from the queues to the empty batch, highest
 * priority first and oldest first within a priority, and charges their operations to the
 * budget. The lock is held. */
static void fill_batch(struct lmn_kv_client *client, struct lmn_txn_batch *batch)
{
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++) {
        GList *next;
        for (GList *link = client->queues[i].head; link && batch->count < batch->max_txns;
             link = next) {
            struct lmn_txn *txn = link->data;
            next = link->next;
            if (!may_join(client, batch, txn))
                continue;
            lmn_txn_batch_add(batch, txn);
            client->queued_operations[i] -= txn->operations->len;
            g_queue_delete_link(&client->queues[i], link);
        }
    }
    client->budget.writes.level -= batch->operations;
}

static struct lmn_txn_batch empty_batch(const struct lmn_kv_client *client,
                                        guint max_txns)
{
    return (struct lmn_txn_batch){.max_txns = max_txns,
                                  .max_operations =
                                      (guint)client->settings->max_txn_operations};
}

struct lmn_txn *lmn_kv_client_dequeue(struct lmn_kv_client *client)
{
    struct lmn_txn_batch batch = empty_batch(client, 1);

    pthread_mutex_lock(&client->lock);
    lmn_write_budget_refill(&client->budget, lmn_now());
    fill_batch(client, &batch);
    pthread_mutex_unlock(&client->lock);
    return batch.count ? batch.txns[0] : NULL;
}

/** Seconds until the next batch may be sent; 0 or less: now; INFINITY: no transaction is
 * queued. The lock is held. */
static double next_batch_wait_s(struct lmn_kv_client *client, struct timespec now)
{
    double wait_s = INFINITY;

    lmn_write_budget_refill(&client->budget, now);
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++) {
        const struct lmn_txn *txn = g_queue_peek_head(&client->queues[i]);
        if (txn)
            wait_s = MIN(wait_s, lmn_write_budget_wait_s(&client->budget, i,
                                                         txn->operations->len));
    }
    wait_s = MAX(wait_s, lmn_in_flight_wait(&client->in_flight, now));
    return MAX(wait_s, lmn_time_diff_s(client->throttled_until, now));
}

/** Waits until a batch may be sent, and takes its transactions off the queues. They are
 * chosen after the wait for the budget, so that transactions of a higher priority that
 * are submitted during the wait are sent first. */
static struct lmn_txn_batch take_batch(struct lmn_kv_client *client)
{
    struct lmn_txn_batch batch = empty_batch(client, LMN_MAX_BATCH_TXNS);

    pthread_mutex_lock(&client->lock);
    for (;;) {
        double wait_s = next_batch_wait_s(client, lmn_now());
        if (wait_s <= 0)
            break;
        if (isinf(wait_s))
            pthread_cond_wait(&client->submitted, &client->lock);
        else
            lmn_cond_wait_for(&client->submitted, &client->lock, wait_s + WAIT_MARGIN_S);
    }
    fill_batch(client, &batch);
    lmn_in_flight_begin(&client->in_flight, lmn_now());
    pthread_mutex_unlock(&client->lock);
    return batch;
}

/** Records that a batch was answered or timed out, and pauses all writer threads if the
 * store answered 429. */
static void record_answer(struct lmn_kv_client *client, struct timespec sent_at,
                          int status)
{
    pthread_mutex_lock(&client->lock);
    lmn_in_flight_end(&client->in_flight);
    lmn_latency_add(&client->batch_latency, lmn_time_diff_s(lmn_now(), sent_at));
    if (status == HTTP_TOO_MANY_REQUESTS)
        client->throttled_until = lmn_time_add(
            lmn_now(), THROTTLED_MIN_S + g_random_double() * THROTTLED_RANDOM_S);
    pthread_mutex_unlock(&client->lock);
}

/** Sends a transaction alone after the store rejected its batch with 400. The response to
 * the batch does not say which transaction is invalid, for example because it names a
 * lease that has ended. */
static void send_alone(struct lmn_kv_client *client, struct lmn_http_client *http_client,
                       struct lmn_txn *txn)
{
    uint64_t revision = 0;
    enum lmn_txn_outcome outcome =
        lmn_kv_client_commit(client, http_client, txn, &revision, NULL);

    lmn_txn_complete(txn, outcome, revision);
}

/** Completes a transaction after the response to its batch, or queues or sends it again.
 */
static void handle_answered(struct lmn_kv_client *client,
                            struct lmn_http_client *http_client, struct lmn_txn *txn,
                            bool was_alone, const struct response *response,
                            const GPtrArray *conflicts)
{
    if (response->outcome == LMN_TXN_CONFLICT && !was_alone &&
        !lmn_txn_has_condition_on(txn, conflicts)) {
        /* Only conditions of other transactions in the batch did not hold. */
        lmn_kv_client_submit(client, txn);
    } else if (response->outcome == LMN_TXN_REJECTED &&
               response->status == HTTP_BAD_REQUEST && !was_alone) {
        send_alone(client, http_client, txn);
    } else if (response->status == HTTP_TOO_MANY_REQUESTS &&
               lmn_time_diff_s(lmn_now(), txn->submitted_at) < RESUBMIT_WITHIN_S) {
        lmn_kv_client_submit(client, txn);
    } else {
        lmn_txn_complete(txn, response->outcome, response->revision);
    }
}

/** Main function of a writer thread; never returns. */
static void *run_writer(void *arg)
{
    struct lmn_kv_client *client = arg;
    struct lmn_http_client *http_client =
        lmn_http_client_new(client->settings->state_address);

    for (;;) {
        struct lmn_txn_batch batch = take_batch(client);
        g_autoptr(GPtrArray) conflicts = g_ptr_array_new_with_free_func(g_free);
        lmn_kv_client_wait_for_token(client);
        struct timespec sent_at = lmn_now();
        struct response response =
            send_txns(http_client, batch.txns, batch.count, TXN_TIMEOUT_S, conflicts);
        record_answer(client, sent_at, response.status);
        for (guint i = 0; i < batch.count; i++)
            handle_answered(client, http_client, batch.txns[i], batch.count == 1,
                            &response, conflicts);
    }
    return NULL;
}

void lmn_kv_client_start(struct lmn_kv_client *client)
{
    for (int i = 0; i < WRITER_THREADS; i++)
        lmn_thread_start_detached(run_writer, client);
}
