/** @file
 * The key-value store's server: starts it, routes requests, and answers reads from views
 * of the database. All requests are handled on the HTTP server's one thread. Writes are
 * queued (txn_request.c, lease.c) and answered by the writer. */
#include "kv_store/kv_store.h"
#include "util/clock.h"
#include "protocol/cbor.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "kv_store/kv_store_internal.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Limits of a page of a list, in items and bytes, and of open connections. */
enum { MAX_ITEMS = 1000, MAX_LIST_BYTES = 512 * 1024, MAX_CONNECTIONS = 16384 };

const struct lmn_kv_store_options lmn_kv_store_default_options = {
    .listen = "127.0.0.1:2379",
    .map_gb = 64,
    .max_value_kb = 16,
    .max_txn_operations = 48,
};

bool lmn_kv_store_key_is_valid(const char *key)
{
    size_t len = strlen(key);

    return len >= 1 && len <= LMN_DB_MAX_KEY_BYTES && !strchr(key, ' ');
}

bool lmn_kv_store_reject_if_rate_limited(struct lmn_kv_store *store,
                                         struct lmn_http_request *request,
                                         struct lmn_token_bucket *bucket, double amount)
{
    bool has_limit = bucket->rate > 0;

    if (!has_limit || lmn_token_bucket_take(bucket, amount, lmn_now()) <= 0)
        return false;
    pthread_mutex_lock(&store->lock);
    store->rate_limited++;
    pthread_mutex_unlock(&store->lock);
    lmn_http_request_respond(request, LMN_KV_STORE_RATE_LIMITED, NULL, 1);
    return true;
}

/* --- reads --- */

static void put_uint_field(GByteArray *buffer, const char *name, uint64_t value)
{
    lmn_cbor_put_text(buffer, name);
    lmn_cbor_put_uint(buffer, value);
}

static void put_item(GByteArray *buffer, const struct lmn_db_item *item)
{
    lmn_cbor_put_map(buffer, item->lease ? 4 : 3);
    lmn_cbor_put_text(buffer, WIRE_KEY);
    lmn_cbor_put_text(buffer, item->key);
    lmn_cbor_put_text(buffer, WIRE_VALUE);
    g_byte_array_append(buffer, item->value, (guint)item->len);
    put_uint_field(buffer, WIRE_VERSION, item->revision);
    if (item->lease)
        put_uint_field(buffer, WIRE_LEASE, item->lease);
}

static void handle_get(struct lmn_kv_store *store, struct lmn_http_request *request,
                       const char *key)
{
    struct lmn_db_meta meta;
    struct lmn_db_item item;
    GByteArray *body = g_byte_array_new();
    int status = LMN_KV_STORE_OK;

    if (!lmn_kv_store_key_is_valid(key)) {
        lmn_http_request_respond(request, LMN_KV_STORE_INVALID, body, 0);
        return;
    }
    if (lmn_db_view_begin(store->reader, &meta) != 0) {
        lmn_http_request_respond(request, LMN_KV_STORE_UNAVAILABLE, body, 0);
        return;
    }
    if (lmn_db_get(store->reader, key, &item)) {
        put_item(body, &item);
    } else {
        status = LMN_KV_STORE_NOT_FOUND;
        lmn_cbor_put_map(body, 1);
        put_uint_field(body, WIRE_REVISION, meta.revision);
    }
    lmn_db_view_end(store->reader);
    lmn_http_request_respond(request, status, body, 0);
}

/* A page of a list that is being collected. */
struct list_page {
    GByteArray *items;
    size_t count, max_count;
    bool has_more;
};

/* Adds an item unless the page is full. A page can always take one item, whatever its
 * size. */
static bool add_to_page(void *arg, const struct lmn_db_item *item)
{
    struct list_page *page = arg;
    bool too_long = page->items->len + item->len + LMN_DB_MAX_KEY_BYTES > MAX_LIST_BYTES;

    if (page->count == page->max_count || (page->count && too_long)) {
        page->has_more = true;
        return false;
    }
    put_item(page->items, item);
    page->count++;
    return true;
}

static void handle_list(struct lmn_kv_store *store, struct lmn_http_request *request)
{
    const char *prefix = lmn_http_request_query(request, WIRE_QUERY_PREFIX);
    const char *after = lmn_http_request_query(request, WIRE_QUERY_AFTER);
    const char *limit = lmn_http_request_query(request, WIRE_QUERY_LIMIT);
    struct list_page page = {.max_count = MAX_ITEMS};
    struct lmn_db_meta meta;

    if (limit)
        page.max_count = (size_t)g_ascii_strtoull(limit, NULL, 10);
    if (page.max_count < 1 || page.max_count > MAX_ITEMS) {
        lmn_http_request_fail(request, LMN_KV_STORE_INVALID,
                              WIRE_QUERY_LIMIT ": from 1 to 1000");
        return;
    }
    if (lmn_db_view_begin(store->reader, &meta) != 0) {
        lmn_http_request_respond(request, LMN_KV_STORE_UNAVAILABLE, NULL, 1);
        return;
    }
    page.items = g_byte_array_new();
    lmn_db_list(store->reader, prefix ? prefix : "", after && *after ? after : NULL,
                add_to_page, &page);
    lmn_db_view_end(store->reader);
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 3);
    lmn_cbor_put_text(body, WIRE_HAS_MORE);
    lmn_cbor_put_bool(body, page.has_more);
    put_uint_field(body, WIRE_REVISION, meta.revision);
    lmn_cbor_put_text(body, WIRE_ITEMS);
    lmn_cbor_put_array(body, page.count);
    g_byte_array_append(body, page.items->data, page.items->len);
    g_byte_array_unref(page.items);
    lmn_http_request_respond(request, LMN_KV_STORE_OK, body, 0);
}

/* Not part of docs/state.md. Clients detect by a changed incarnation that the database
 * was restored from a backup. */
static void handle_incarnation(struct lmn_kv_store *store,
                               struct lmn_http_request *request)
{
    struct lmn_db_meta meta;
    GByteArray *body = g_byte_array_new();

    if (lmn_db_view_begin(store->reader, &meta) != 0) {
        lmn_http_request_respond(request, LMN_KV_STORE_UNAVAILABLE, body, 1);
        return;
    }
    lmn_db_view_end(store->reader);
    lmn_cbor_put_map(body, 1);
    put_uint_field(body, "Incarnation", meta.incarnation);
    lmn_http_request_respond(request, LMN_KV_STORE_OK, body, 0);
}

/* --- routes --- */

static void handle_post(struct lmn_kv_store *store, struct lmn_http_request *request,
                        const char *path)
{
    const GByteArray *body = lmn_http_request_body(request);
    struct lmn_cbor_document document;

    if (lmn_cbor_parse(&document, body->data, body->len) != 0) {
        lmn_http_request_fail(request, LMN_KV_STORE_INVALID, "not CBOR");
        return;
    }
    if (strcmp(path, WIRE_PATH_TXN) == 0)
        lmn_kv_store_handle_txn(store, request, &document);
    else
        lmn_kv_store_handle_grant(store, request, &document);
    lmn_cbor_free(&document);
}

/* Routes the requests that count towards the limit of requests per second. */
static void route_limited(struct lmn_kv_store *store, struct lmn_http_request *request,
                          enum lmn_http_method method, const char *path)
{
    bool is_get = method == LMN_HTTP_GET;

    if (is_get && strcmp(path, "/incarnation") == 0)
        handle_incarnation(store, request);
    else if (method == LMN_HTTP_POST &&
             (strcmp(path, WIRE_PATH_TXN) == 0 || strcmp(path, WIRE_PATH_LEASES) == 0))
        handle_post(store, request, path);
    else if (g_str_has_prefix(path, WIRE_PATH_LEASES "/"))
        lmn_kv_store_handle_lease(store, request, path + strlen(WIRE_PATH_LEASES "/"));
    else if (is_get && strcmp(path, WIRE_PATH_WATCH) == 0)
        lmn_kv_store_handle_watch(store, request);
    else if (is_get && strcmp(path, WIRE_PATH_STORE) == 0)
        handle_list(store, request);
    else if (is_get && g_str_has_prefix(path, WIRE_PATH_STORE "/"))
        handle_get(store, request, path + strlen(WIRE_PATH_STORE "/"));
    else
        lmn_http_request_respond(request, LMN_KV_STORE_NOT_FOUND, NULL, 0);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_kv_store *store = arg;
    const char *path = lmn_http_request_path(request);
    enum lmn_http_method method = lmn_http_request_method(request);

    /* Not rate limited: an overloaded store must still answer readiness checks, and its
     * metrics show why it answers 429. */
    if (method == LMN_HTTP_GET && strcmp(path, "/metrics") == 0)
        lmn_metrics_respond(request, lmn_kv_store_metrics, store);
    else if (method == LMN_HTTP_GET && strcmp(path, WIRE_PATH_READY) == 0)
        lmn_http_request_respond(request, LMN_KV_STORE_OK, NULL, 0);
    else if (!lmn_kv_store_reject_if_rate_limited(store, request, &store->requests, 1))
        route_limited(store, request, method, path);
}

/* --- start --- */

/* Ignores signals that would end the process instead of returning an error from write().
 */
static void ignore_signals(void)
{
    signal(SIGPIPE, SIG_IGN);
    /* Reaching the file size limit is handled like a full disk. */
    signal(SIGXFSZ, SIG_IGN);
}

static struct lmn_kv_store *store_new(const struct lmn_kv_store_options *options,
                                      struct lmn_db *db, struct timespec now)
{
    struct lmn_kv_store *store = g_new0(struct lmn_kv_store, 1);

    store->options = *options;
    store->db = db;
    store->reader = lmn_db_reader_new(db);
    pthread_mutex_init(&store->lock, NULL);
    pthread_mutex_init(&store->watch_lock, NULL);
    lmn_cond_init(&store->operation_queued);
    lmn_cond_init(&store->watch_changed);
    store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    lmn_latency_init(&store->commit_latency);
    lmn_token_bucket_init(&store->requests, options->requests_per_s,
                          MAX(options->requests_per_s, 1), now);
    lmn_token_bucket_init(&store->writes, options->writes_per_s,
                          MAX(options->writes_per_s, 1), now);
    return store;
}

static void load_lease(void *store, uint64_t id, uint32_t ttl_ms)
{
    lmn_kv_store_add_lease(store, id, ttl_ms, lmn_now());
}

/* Starts the HTTP server's thread. Returns false with errno set on an error. */
static bool serve(struct lmn_kv_store *store)
{
    const struct lmn_http_server_options options = {
        .listen = store->options.listen,
        .connections = MAX_CONNECTIONS,
        .max_body_bytes = LMN_KV_STORE_MAX_BODY_BYTES,
        .route = route,
        .arg = store,
    };

    store->server = lmn_http_server_start(&options);
    return store->server != NULL;
}

struct lmn_kv_store *lmn_kv_store_start(const struct lmn_kv_store_options *options,
                                        char *err, size_t len)
{
    const struct lmn_db_options db_options = {
        .dir = options->dir, .map_gb = options->map_gb, .create = true};
    struct lmn_db *db = lmn_db_open(&db_options, err, len);
    struct timespec now = lmn_now();
    struct lmn_db_meta meta;

    if (!db)
        return NULL;
    ignore_signals();
    struct lmn_kv_store *store = store_new(options, db, now);
    if (lmn_db_view_begin(store->reader, &meta) != 0) {
        snprintf(err, len, "%s: can't read the database", options->dir);
        return NULL;
    }
    lmn_db_list_leases(store->reader, load_lease, store);
    lmn_db_view_end(store->reader);
    store->revision = meta.revision;
    lmn_thread_start_detached(lmn_kv_store_writer_thread, store);
    lmn_thread_start_detached(lmn_kv_store_watch_thread, store);
    lmn_thread_start_detached(lmn_kv_store_lease_thread, store);
    if (!serve(store)) {
        snprintf(err, len, "%s: can't listen: %s", options->listen, strerror(errno));
        return NULL;
    }
    lmn_info("kv_store_started listen=%s data=%s revision=%" G_GUINT64_FORMAT
             " keys=%" G_GUINT64_FORMAT " leases=%u incarnation=%016" G_GINT64_MODIFIER
             "x",
             options->listen, options->dir, meta.revision, meta.count,
             g_hash_table_size(store->leases), meta.incarnation);
    return store;
}
