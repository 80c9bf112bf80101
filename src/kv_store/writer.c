/** @file
 * The writer: the only thread that changes the database. All queued operations share one
 * LMDB transaction and one sync of the disk (group commit). Clients are answered only
 * after the commit, so every write that was answered as committed survives a crash. */
#include "kv_store/kv_store_internal.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <unistd.h>

/* Limits of the queue and of a batch, in operations. */
enum { MAX_QUEUED = 8192, MAX_BATCH = 1024 };
/* Delay before the next try after a batch could not be begun. */
static const double RETRY_DELAY_S = 0.1;

struct lmn_kv_store_operation *
lmn_kv_store_operation_new(enum lmn_kv_store_operation_kind kind,
                           struct lmn_http_request *request)
{
    struct lmn_kv_store_operation *operation = g_new0(struct lmn_kv_store_operation, 1);

    operation->kind = kind;
    operation->request = request;
    return operation;
}

void lmn_kv_store_operation_free(struct lmn_kv_store_operation *operation)
{
    if (operation->bytes)
        g_ptr_array_free(operation->bytes, TRUE);
    if (operation->failed)
        g_ptr_array_free(operation->failed, TRUE);
    g_free(operation->txn.conditions);
    g_free(operation->txn.changes);
    g_free(operation);
}

bool lmn_kv_store_submit(struct lmn_kv_store *store,
                         struct lmn_kv_store_operation *operation)
{
    pthread_mutex_lock(&store->lock);
    bool is_full = store->operations.length >= MAX_QUEUED;
    store->refused += is_full;
    if (!is_full) {
        /* Before the operation is queued: the writer may answer it immediately. */
        if (operation->request)
            lmn_http_request_defer(operation->request);
        g_queue_push_tail(&store->operations, operation);
        pthread_cond_signal(&store->operation_queued);
    }
    pthread_mutex_unlock(&store->lock);
    if (is_full) {
        if (operation->request)
            lmn_http_request_respond(operation->request, LMN_KV_STORE_UNAVAILABLE, NULL,
                                     1);
        lmn_kv_store_operation_free(operation);
    }
    return !is_full;
}

/* --- applying --- */

/* Applies a transaction. Returns false if LMDB reported an error. */
static bool apply_txn(struct lmn_db_batch *batch,
                      struct lmn_kv_store_operation *operation)
{
    operation->failed = g_ptr_array_new_with_free_func(g_free);
    switch (
        lmn_db_apply(batch, &operation->txn, &operation->revision, operation->failed)) {
    case LMN_DB_APPLIED:
        operation->status = LMN_KV_STORE_OK;
        return true;
    case LMN_DB_CONFLICT:
        operation->status = LMN_KV_STORE_CONFLICT;
        return true;
    case LMN_DB_NO_LEASE:
        operation->status = LMN_KV_STORE_INVALID;
        return true;
    default:
        return false;
    }
}

/* Applies one operation. Returns false if LMDB reported an error. */
static bool apply(struct lmn_db_batch *batch, struct lmn_kv_store_operation *operation)
{
    switch (operation->kind) {
    case LMN_KV_STORE_TXN:
        return apply_txn(batch, operation);
    case LMN_KV_STORE_GRANT:
        operation->lease = lmn_db_grant_lease(batch, operation->ttl_ms);
        operation->status = LMN_KV_STORE_OK;
        return operation->lease != 0;
    default:
        operation->status = lmn_db_revoke_lease(batch, operation->lease)
                                ? LMN_KV_STORE_OK
                                : LMN_KV_STORE_NOT_FOUND;
        return true;
    }
}

/* Outcomes of a batch's transactions, for the metrics. */
struct batch_counts {
    uint64_t applied, conflicts;
};

/* Applies the operations in order. Stops if LMDB reports an error: the commit then fails
 * and returns the error's text. */
static struct batch_counts apply_all(struct lmn_db_batch *batch, GQueue *operations)
{
    struct batch_counts counts = {0};

    for (GList *node = operations->head; node; node = node->next) {
        struct lmn_kv_store_operation *operation = node->data;
        if (!apply(batch, operation))
            break;
        if (operation->kind != LMN_KV_STORE_TXN)
            continue;
        counts.applied += operation->status == LMN_KV_STORE_OK;
        counts.conflicts += operation->status == LMN_KV_STORE_CONFLICT;
    }
    return counts;
}

/* --- responses --- */

static GByteArray *txn_response(const struct lmn_kv_store_operation *operation)
{
    GByteArray *body = g_byte_array_new();
    bool is_conflict = operation->status == LMN_KV_STORE_CONFLICT;

    if (operation->status == LMN_KV_STORE_INVALID) {
        lmn_cbor_put_map(body, 1);
        lmn_cbor_put_text(body, "error");
        lmn_cbor_put_text(body, "no such lease");
        return body;
    }
    lmn_cbor_put_map(body, is_conflict ? 2 : 1);
    if (is_conflict) {
        lmn_cbor_put_text(body, WIRE_CONFLICTS);
        lmn_cbor_put_array(body, operation->failed->len);
        for (guint i = 0; i < operation->failed->len; i++)
            lmn_cbor_put_text(body, operation->failed->pdata[i]);
    }
    lmn_cbor_put_text(body, WIRE_REVISION);
    lmn_cbor_put_uint(body, operation->revision);
    return body;
}

static GByteArray *lease_response(const struct lmn_kv_store_operation *operation)
{
    GByteArray *body = g_byte_array_new();

    if (operation->kind == LMN_KV_STORE_GRANT) {
        lmn_cbor_put_map(body, 1);
        lmn_cbor_put_text(body, WIRE_LEASE);
        lmn_cbor_put_uint(body, operation->lease);
    } else {
        lmn_cbor_put_map(body, 0);
    }
    return body;
}

/* Answers the operation's request, if it has one. */
static void respond(struct lmn_kv_store_operation *operation)
{
    if (!operation->request)
        return;
    GByteArray *body = operation->kind == LMN_KV_STORE_TXN ? txn_response(operation)
                                                           : lease_response(operation);
    lmn_http_request_respond(operation->request, operation->status, body, 0);
}

/* --- the commit --- */

/* Adds or removes the operation's lease in memory after its commit. The lock is held. */
static void update_leases(struct lmn_kv_store *store,
                          const struct lmn_kv_store_operation *operation,
                          struct timespec now)
{
    if (operation->kind == LMN_KV_STORE_GRANT)
        lmn_kv_store_add_lease(store, operation->lease, operation->ttl_ms, now);
    else if (operation->kind != LMN_KV_STORE_TXN)
        g_hash_table_remove(store->leases, &operation->lease);
}

/* Clears is_ending of a lease whose end was not committed: the lease thread or the client
 * will try again. The lock is held. */
static void unmark_lease(struct lmn_kv_store *store,
                         const struct lmn_kv_store_operation *operation)
{
    if (operation->kind != LMN_KV_STORE_EXPIRE && operation->kind != LMN_KV_STORE_REVOKE)
        return;
    struct lmn_kv_store_lease *lease =
        g_hash_table_lookup(store->leases, &operation->lease);
    if (lease)
        lease->is_ending = false;
}

/* Handles a batch of which nothing was applied: answers its requests with 503 and frees
 * the operations. */
static void fail_batch(struct lmn_kv_store *store, GQueue *operations, const char *why)
{
    struct lmn_kv_store_operation *operation;

    lmn_error("kv_commit_failed operations=%u why=\"%s\"", operations->length, why);
    pthread_mutex_lock(&store->lock);
    store->failures++;
    for (GList *node = operations->head; node; node = node->next)
        unmark_lease(store, node->data);
    pthread_mutex_unlock(&store->lock);
    while ((operation = g_queue_pop_head(operations))) {
        if (operation->request)
            lmn_http_request_respond(operation->request, LMN_KV_STORE_UNAVAILABLE, NULL,
                                     1);
        lmn_kv_store_operation_free(operation);
    }
}

/* Handles a batch that was committed: updates leases and counters, answers the requests,
 * and wakes the watch thread for the new revision. Frees the operations. */
static void finish_batch(struct lmn_kv_store *store, GQueue *operations,
                         struct batch_counts counts, uint64_t revision,
                         struct timespec begun_at)
{
    struct timespec now = lmn_now();
    double took_s = lmn_time_diff_s(now, begun_at);
    struct lmn_kv_store_operation *operation;

    pthread_mutex_lock(&store->lock);
    for (GList *node = operations->head; node; node = node->next)
        update_leases(store, node->data, now);
    store->applied += counts.applied;
    store->conflicts += counts.conflicts;
    store->syncs++;
    store->largest_batch = MAX(store->largest_batch, operations->length);
    lmn_latency_add(&store->commit_latency, took_s);
    pthread_mutex_unlock(&store->lock);
    lmn_debug("kv_commit operations=%u revision=%" G_GUINT64_FORMAT " took=%.4f",
              operations->length, revision, took_s);
    while ((operation = g_queue_pop_head(operations))) {
        respond(operation);
        lmn_kv_store_operation_free(operation);
    }
    pthread_mutex_lock(&store->watch_lock);
    store->revision = MAX(store->revision, revision);
    pthread_cond_signal(&store->watch_changed);
    pthread_mutex_unlock(&store->watch_lock);
}

/* Applies and commits the operations and answers their requests. Ends the process if it
 * is unknown whether the commit was made. */
static void commit(struct lmn_kv_store *store, GQueue *operations)
{
    char err[256] = "";
    struct lmn_db_batch *batch = lmn_db_begin(store->db, err, sizeof err);
    struct timespec begun_at = lmn_now();

    if (!batch) {
        fail_batch(store, operations, err);
        lmn_sleep(RETRY_DELAY_S);
        return;
    }
    struct batch_counts counts = apply_all(batch, operations);
    uint64_t revision = lmn_db_batch_revision(batch);
    int result = lmn_db_commit(batch, err, sizeof err);
    if (result == LMN_DB_COMMIT_UNKNOWN) {
        /* No client may be answered: a client treats a missing response as "may have been
         * executed", which is all that is known here. */
        lmn_error("database_failed why=\"%s\"", err);
        _exit(1);
    }
    if (result != LMN_DB_COMMITTED)
        fail_batch(store, operations, err);
    else
        finish_batch(store, operations, counts, revision, begun_at);
}

void *lmn_kv_store_writer_thread(void *arg)
{
    struct lmn_kv_store *store = arg;
    guint max_batch = store->options.one_txn_per_sync ? 1 : MAX_BATCH;

    for (;;) {
        GQueue operations = G_QUEUE_INIT;
        pthread_mutex_lock(&store->lock);
        while (!store->operations.head)
            pthread_cond_wait(&store->operation_queued, &store->lock);
        while (store->operations.head && operations.length < max_batch)
            g_queue_push_tail(&operations, g_queue_pop_head(&store->operations));
        pthread_mutex_unlock(&store->lock);
        commit(store, &operations);
    }
    return NULL;
}
