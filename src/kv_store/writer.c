/* The writer: all that waits shares one sync. And the leases' keeper. */
#include "kv_store/kv_store_internal.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { MAX_WAITING = 8192, MAX_BATCH = 1024 };

void lmn_kv_store_operation_free(struct lmn_kv_store_operation *op)
{
    if (op->bytes)
        g_ptr_array_free(op->bytes, TRUE);
    if (op->failed)
        g_ptr_array_free(op->failed, TRUE);
    g_free(op->txn.conditions);
    g_free(op->txn.changes);
    g_free(op);
}

bool lmn_kv_store_submit(struct lmn_kv_store *s, struct lmn_kv_store_operation *op)
{
    pthread_mutex_lock(&s->lock);
    bool full = s->ops.length >= MAX_WAITING;
    s->refused += full;
    if (!full) {
        if (op->call)
            lmn_http_request_defer(op->call);
        g_queue_push_tail(&s->ops, op);
        pthread_cond_signal(&s->more);
    }
    pthread_mutex_unlock(&s->lock);
    if (full) {
        if (op->call)
            lmn_http_request_respond(op->call, 503, NULL, 1);
        lmn_kv_store_operation_free(op);
    }
    return !full;
}

/* Applies one; false if the batch is broken. */
static bool apply(struct lmn_db_batch *batch, struct lmn_kv_store_operation *op)
{
    switch (op->kind) {
    case LMN_KV_STORE_TXN:
        op->failed = g_ptr_array_new_with_free_func(g_free);
        switch (lmn_db_apply(batch, &op->txn, &op->rev, op->failed)) {
        case LMN_DB_APPLIED:
            op->status = 200;
            return true;
        case LMN_DB_CONFLICT:
            op->status = 409;
            return true;
        case LMN_DB_NO_LEASE:
            op->status = 400;
            return true;
        default:
            return false;
        }
    case LMN_KV_STORE_GRANT:
        op->lease = lmn_db_grant(batch, op->ttl_ms);
        op->status = 200;
        return op->lease != 0;
    default:
        op->status = lmn_db_revoke(batch, op->lease) ? 200 : 404;
        return true;
    }
}

static GByteArray *txn_answer(const struct lmn_kv_store_operation *op)
{
    GByteArray *buffer = g_byte_array_new();

    if (op->status == 400) {
        lmn_cbor_put_map(buffer, 1);
        lmn_cbor_put_text(buffer, "error"), lmn_cbor_put_text(buffer, "no such lease");
        return buffer;
    }
    lmn_cbor_put_map(buffer, op->status == 409 ? 2 : 1);
    if (op->status == 409) {
        lmn_cbor_put_text(buffer, WIRE_CONFLICTS),
            lmn_cbor_put_array(buffer, op->failed->len);
        for (guint i = 0; i < op->failed->len; i++)
            lmn_cbor_put_text(buffer, op->failed->pdata[i]);
    }
    lmn_cbor_put_text(buffer, WIRE_REVISION), lmn_cbor_put_uint(buffer, op->rev);
    return buffer;
}

/* After the commit: what it means to the leases in memory. The lock is held. */
static void settle_lease(struct lmn_kv_store *s, const struct lmn_kv_store_operation *op,
                         struct timespec now)
{
    if (op->kind == LMN_KV_STORE_GRANT) {
        struct lmn_kv_store_lease *l = g_new0(struct lmn_kv_store_lease, 1);
        l->id = op->lease;
        l->ttl_ms = op->ttl_ms;
        l->until = lmn_time_add(now, op->ttl_ms / 1000.0);
        g_hash_table_insert(s->leases, &l->id, l);
    } else if (op->kind != LMN_KV_STORE_TXN) {
        g_hash_table_remove(s->leases, &op->lease);
    }
}

static void tell(struct lmn_kv_store_operation *op)
{
    GByteArray *buffer = NULL;

    if (!op->call)
        return;
    if (op->kind == LMN_KV_STORE_TXN) {
        buffer = txn_answer(op);
    } else {
        buffer = g_byte_array_new();
        lmn_cbor_put_map(buffer, op->kind == LMN_KV_STORE_GRANT);
        if (op->kind == LMN_KV_STORE_GRANT)
            lmn_cbor_put_text(buffer, WIRE_LEASE), lmn_cbor_put_uint(buffer, op->lease);
    }
    lmn_http_request_respond(op->call, op->status, buffer, 0);
}

/* The batch was not applied: its calls are told so, and its leases live on. */
static void give_up(struct lmn_kv_store *s, GQueue *ops, const char *why)
{
    struct lmn_kv_store_operation *op;

    lmn_error("kv_commit_failed operations=%u why=\"%s\"", ops->length, why);
    pthread_mutex_lock(&s->lock);
    s->failures++;
    for (GList *l = ops->head; l; l = l->next) {
        op = l->data;
        struct lmn_kv_store_lease *x =
            op->kind == LMN_KV_STORE_EXPIRE || op->kind == LMN_KV_STORE_REVOKE
                ? g_hash_table_lookup(s->leases, &op->lease)
                : NULL;
        if (x)
            x->ending = false; /* the keeper, or its holder, tries again */
    }
    pthread_mutex_unlock(&s->lock);
    while ((op = g_queue_pop_head(ops))) {
        if (op->call)
            lmn_http_request_respond(op->call, 503, NULL, 1);
        lmn_kv_store_operation_free(op);
    }
}

static void commit(struct lmn_kv_store *s, GQueue *ops)
{
    char err[256] = "";
    struct lmn_db_batch *batch = lmn_db_begin(s->db, err, sizeof err);
    struct timespec begun = lmn_now();
    struct lmn_kv_store_operation *op;
    uint64_t applied = 0, conflicts = 0;

    if (!batch) {
        give_up(s, ops, err);
        lmn_sleep(0.1);
        return;
    }
    for (GList *l = ops->head; l; l = l->next) {
        op = l->data;
        if (!apply(batch, op))
            break; /* the commit will say what is wrong */
        applied += op->kind == LMN_KV_STORE_TXN && op->status == 200;
        conflicts += op->kind == LMN_KV_STORE_TXN && op->status == 409;
    }
    uint64_t revision = lmn_db_batch_revision(batch);
    int rc = lmn_db_commit(batch, err, sizeof err);
    if (rc == -2) {
        /* Callers must not be told anything: no answer means that it may have been
         * executed. */
        lmn_error("database_failed why=\"%s\"", err);
        _exit(1);
    }
    if (rc != 0) {
        give_up(s, ops, err);
        return;
    }
    struct timespec now = lmn_now();
    pthread_mutex_lock(&s->lock);
    for (GList *l = ops->head; l; l = l->next)
        settle_lease(s, l->data, now);
    s->applied += applied;
    s->conflicts += conflicts;
    s->syncs++;
    s->largest = MAX(s->largest, ops->length);
    lmn_latency_add(&s->committing, lmn_time_diff_s(now, begun));
    pthread_mutex_unlock(&s->lock);
    lmn_debug("kv_commit operations=%u revision=%" G_GUINT64_FORMAT " took=%.4f",
              ops->length, revision, lmn_time_diff_s(now, begun));
    while ((op = g_queue_pop_head(ops))) {
        tell(op);
        lmn_kv_store_operation_free(op);
    }
    pthread_mutex_lock(&s->watch_lock);
    s->revision = MAX(s->revision, revision);
    pthread_cond_signal(&s->watch_more);
    pthread_mutex_unlock(&s->watch_lock);
}

void *lmn_kv_store_writer_thread(void *arg)
{
    struct lmn_kv_store *s = arg;
    guint most = s->o.one_by_one ? 1 : MAX_BATCH;

    for (;;) {
        GQueue mine = G_QUEUE_INIT;
        pthread_mutex_lock(&s->lock);
        while (!s->ops.head)
            pthread_cond_wait(&s->more, &s->lock);
        while (s->ops.head && mine.length < most)
            g_queue_push_tail(&mine, g_queue_pop_head(&s->ops));
        pthread_mutex_unlock(&s->lock);
        commit(s, &mine);
    }
    return NULL;
}

/* A lease may end up to 100 ms late, never early. */
static const double KEEPER_S = 0.05;
/* If the keeper itself stood still for so long, the process did: nobody could renew, and
 * every lease has its full time again, as after an outage. */
static const double STALL_S = 1.0;

static void expire(struct lmn_kv_store *s, struct timespec now, bool stalled)
{
    GQueue over = G_QUEUE_INIT;
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&s->lock);
    g_hash_table_iter_init(&it, s->leases);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_kv_store_lease *l = v;
        if (stalled && !l->ending)
            l->until = lmn_time_add(now, l->ttl_ms / 1000.0);
        if (l->ending || lmn_time_before(now, l->until))
            continue;
        struct lmn_kv_store_operation *op = g_new0(struct lmn_kv_store_operation, 1);
        op->kind = LMN_KV_STORE_EXPIRE;
        op->lease = l->id;
        l->ending = true;
        g_queue_push_tail(&over, op);
    }
    while (over.head) {
        g_queue_push_tail(&s->ops, g_queue_pop_head(&over));
        pthread_cond_signal(&s->more);
    }
    pthread_mutex_unlock(&s->lock);
}

void *lmn_kv_store_lease_thread(void *arg)
{
    struct timespec last = lmn_now();

    for (;;) {
        lmn_sleep(KEEPER_S);
        struct timespec now = lmn_now();
        bool stalled = lmn_time_diff_s(now, last) > STALL_S;
        if (stalled)
            lmn_info("kv_store_stalled seconds=%.1f leases=renewed",
                     lmn_time_diff_s(now, last));
        last = now;
        expire(arg, now, stalled);
    }
    return NULL;
}
