/** @file
 * Leases: granted, renewed and revoked by clients, and expired by the lease thread.
 *
 * The writer creates and ends leases in the database. Their deadlines are kept in memory
 * only, in `leases`, under the store's lock. A lease whose end is queued for the writer
 * is marked is_ending before the store's lock is released and can't be renewed from then
 * on: otherwise a client could be told that its lease was renewed although it is about to
 * end. */
#include "kv_store/kv_store_internal.h"
#include "protocol/wire.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"

#include <string.h>

enum { MIN_TTL_MS = 100, MAX_TTL_MS = 600000 };

void lmn_kv_store_add_lease(struct lmn_kv_store *store, uint64_t id, uint32_t ttl_ms,
                            struct timespec now)
{
    struct lmn_kv_store_lease *lease = g_new0(struct lmn_kv_store_lease, 1);

    lease->id = id;
    lease->ttl_ms = ttl_ms;
    lease->expires_at = lmn_time_add(now, ttl_ms / 1000.0);
    g_hash_table_insert(store->leases, &lease->id, lease);
}

/* --- client requests, on the HTTP thread --- */

void lmn_kv_store_handle_grant(struct lmn_kv_store *store,
                               struct lmn_http_request *request,
                               const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    uint64_t ttl_ms = 0;

    if (!lmn_cbor_get_uint(lmn_cbor_get(document, root, WIRE_TTL_MS), &ttl_ms) ||
        ttl_ms < MIN_TTL_MS || ttl_ms > MAX_TTL_MS) {
        lmn_http_request_fail(request, LMN_KV_STORE_INVALID,
                              WIRE_TTL_MS ": from 100 to 600000");
        return;
    }
    struct lmn_kv_store_operation *operation =
        lmn_kv_store_operation_new(LMN_KV_STORE_GRANT, request);
    operation->ttl_ms = (uint32_t)ttl_ms;
    lmn_kv_store_submit(store, operation);
}

/* Renews the lease, or marks it as ending. Returns false if the lease does not exist or
 * is ending already. */
static bool renew_or_mark_ending(struct lmn_kv_store *store, uint64_t id, bool is_renewal)
{
    pthread_mutex_lock(&store->lock);
    struct lmn_kv_store_lease *lease = g_hash_table_lookup(store->leases, &id);
    bool is_alive = lease && !lease->is_ending;
    if (is_alive && is_renewal)
        lease->expires_at = lmn_time_add(lmn_now(), lease->ttl_ms / 1000.0);
    else if (is_alive)
        lease->is_ending = true;
    pthread_mutex_unlock(&store->lock);
    return is_alive;
}

static void submit_revocation(struct lmn_kv_store *store,
                              struct lmn_http_request *request, uint64_t id)
{
    struct lmn_kv_store_operation *operation =
        lmn_kv_store_operation_new(LMN_KV_STORE_REVOKE, request);

    operation->lease = id;
    if (lmn_kv_store_submit(store, operation))
        return;
    /* The end was not queued: let clients renew the lease again. */
    pthread_mutex_lock(&store->lock);
    struct lmn_kv_store_lease *lease = g_hash_table_lookup(store->leases, &id);
    if (lease)
        lease->is_ending = false;
    pthread_mutex_unlock(&store->lock);
}

void lmn_kv_store_handle_lease(struct lmn_kv_store *store,
                               struct lmn_http_request *request, const char *path)
{
    char *rest;
    uint64_t id = g_ascii_strtoull(path, &rest, 10);
    enum lmn_http_method method = lmn_http_request_method(request);
    bool is_renewal = method == LMN_HTTP_POST && strcmp(rest, WIRE_PATH_RENEW) == 0;
    bool is_revocation = method == LMN_HTTP_DELETE && !*rest;

    if (!is_renewal && !is_revocation) {
        lmn_http_request_respond(request, LMN_KV_STORE_NOT_FOUND, NULL, 0);
        return;
    }
    bool is_alive = renew_or_mark_ending(store, id, is_renewal);
    if (is_alive && is_revocation) {
        submit_revocation(store, request, id);
        return;
    }
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 0);
    lmn_http_request_respond(request, is_alive ? LMN_KV_STORE_OK : LMN_KV_STORE_NOT_FOUND,
                             body, 0);
}

/* --- expiry, on the lease thread --- */

/* Interval between checks for expired leases. A lease may end up to 100 ms late, never
 * early. */
static const double EXPIRY_INTERVAL_S = 0.05;
/* If the lease thread was not run for this long, the whole process is taken to have been
 * stopped: no client could renew its lease, so every lease gets its full time to live
 * again, as after a restart. */
static const double STALL_S = 1.0;

/* Queues the end of all expired leases, or gives all leases their full time to live again
 * if the process was stalled. The queue's limit in lmn_kv_store_submit() does not apply:
 * an overloaded store must still end the leases of failed clients. */
static void expire_leases(struct lmn_kv_store *store, struct timespec now, bool stalled)
{
    GHashTableIter iterator;
    gpointer value;

    pthread_mutex_lock(&store->lock);
    g_hash_table_iter_init(&iterator, store->leases);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct lmn_kv_store_lease *lease = value;
        if (stalled && !lease->is_ending)
            lease->expires_at = lmn_time_add(now, lease->ttl_ms / 1000.0);
        if (lease->is_ending || lmn_time_before(now, lease->expires_at))
            continue;
        struct lmn_kv_store_operation *operation =
            lmn_kv_store_operation_new(LMN_KV_STORE_EXPIRE, NULL);
        operation->lease = lease->id;
        lease->is_ending = true;
        g_queue_push_tail(&store->operations, operation);
        pthread_cond_signal(&store->operation_queued);
    }
    pthread_mutex_unlock(&store->lock);
}

void *lmn_kv_store_lease_thread(void *store)
{
    struct timespec last = lmn_now();

    for (;;) {
        lmn_sleep(EXPIRY_INTERVAL_S);
        struct timespec now = lmn_now();
        bool stalled = lmn_time_diff_s(now, last) > STALL_S;
        if (stalled)
            lmn_info("kv_store_stalled seconds=%.1f leases=renewed",
                     lmn_time_diff_s(now, last));
        last = now;
        expire_leases(store, now, stalled);
    }
    return NULL;
}
