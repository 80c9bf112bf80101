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

enum { MAX_BODY = 64 * 1024, MAX_ITEMS = 1000, MAX_LIST = 512 * 1024 };

const struct lmn_kv_store_options lmn_kv_store_default_options = {
    .listen = "127.0.0.1:2379",
    .map_gb = 64,
    .value_kb = 16,
    .txn_ops = 48,
};

static bool key_ok(const char *key)
{
    size_t n = strlen(key);
    return n >= 1 && n <= LMN_DB_KEY && !strchr(key, ' ');
}

static bool take(struct lmn_token_bucket *bucket, double n)
{
    return bucket->rate <= 0 || lmn_token_bucket_take(bucket, n, lmn_now()) <= 0;
}

static bool limited(struct lmn_kv_store *s, struct lmn_http_request *request,
                    struct lmn_token_bucket *bucket, double n)
{
    if (take(bucket, n))
        return false;
    pthread_mutex_lock(&s->lock);
    s->limited++;
    pthread_mutex_unlock(&s->lock);
    lmn_http_request_respond(request, 429, NULL, 1);
    return true;
}

void lmn_kv_store_put_item(GByteArray *buffer, const struct lmn_db_item *item)
{
    lmn_cbor_put_map(buffer, item->lease ? 4 : 3);
    lmn_cbor_put_text(buffer, WIRE_KEY), lmn_cbor_put_text(buffer, item->key);
    lmn_cbor_put_text(buffer, WIRE_VALUE),
        g_byte_array_append(buffer, item->value, (guint)item->len);
    lmn_cbor_put_text(buffer, WIRE_VERSION), lmn_cbor_put_uint(buffer, item->revision);
    if (item->lease)
        lmn_cbor_put_text(buffer, WIRE_LEASE), lmn_cbor_put_uint(buffer, item->lease);
}

static void get(struct lmn_kv_store *s, struct lmn_http_request *request, const char *key)
{
    struct lmn_db_meta meta;
    struct lmn_db_item item;
    GByteArray *buffer = g_byte_array_new();
    int status = 200;

    if (!key_ok(key) || lmn_db_view(s->reader, &meta) != 0) {
        lmn_http_request_respond(request, key_ok(key) ? 503 : 400, buffer, 0);
        return;
    }
    if (lmn_db_get(s->reader, key, &item)) {
        lmn_kv_store_put_item(buffer, &item);
    } else {
        status = 404;
        lmn_cbor_put_map(buffer, 1);
        lmn_cbor_put_text(buffer, WIRE_REVISION),
            lmn_cbor_put_uint(buffer, meta.revision);
    }
    lmn_db_view_end(s->reader);
    lmn_http_request_respond(request, status, buffer, 0);
}

struct listing {
    GByteArray *items;
    size_t n, most;
    bool more;
};

static bool list_one(void *arg, const struct lmn_db_item *item)
{
    struct listing *l = arg;

    if (l->n == l->most || (l->n && l->items->len + item->len + LMN_DB_KEY > MAX_LIST)) {
        l->more = true;
        return false;
    }
    lmn_kv_store_put_item(l->items, item);
    l->n++;
    return true;
}

static void list(struct lmn_kv_store *s, struct lmn_http_request *request)
{
    const char *prefix = lmn_http_request_query(request, WIRE_QUERY_PREFIX),
               *after = lmn_http_request_query(request, WIRE_QUERY_AFTER);
    const char *limit = lmn_http_request_query(request, WIRE_QUERY_LIMIT);
    struct listing l = {.most = limit ? (size_t)g_ascii_strtoull(limit, NULL, 10)
                                      : MAX_ITEMS};
    struct lmn_db_meta meta;

    if (l.most < 1 || l.most > MAX_ITEMS) {
        lmn_http_request_fail(request, 400, WIRE_QUERY_LIMIT ": from 1 to 1000");
        return;
    }
    if (lmn_db_view(s->reader, &meta) != 0) {
        lmn_http_request_respond(request, 503, NULL, 1);
        return;
    }
    l.items = g_byte_array_new();
    lmn_db_list(s->reader, prefix ? prefix : "", after && *after ? after : NULL, list_one,
                &l);
    lmn_db_view_end(s->reader);
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, 3);
    lmn_cbor_put_text(buffer, WIRE_HAS_MORE), lmn_cbor_put_bool(buffer, l.more);
    lmn_cbor_put_text(buffer, WIRE_REVISION), lmn_cbor_put_uint(buffer, meta.revision);
    lmn_cbor_put_text(buffer, WIRE_ITEMS), lmn_cbor_put_array(buffer, l.n);
    g_byte_array_append(buffer, l.items->data, l.items->len);
    g_byte_array_unref(l.items);
    lmn_http_request_respond(request, 200, buffer, 0);
}

/* --- transactions --- */

static const char *keep(struct lmn_kv_store_operation *op,
                        const struct lmn_cbor_value *node)
{
    char key[LMN_DB_KEY + 2];

    if (!lmn_cbor_get_text(node, key, sizeof key) || !key_ok(key))
        return NULL;
    char *copy = g_strdup(key);
    g_ptr_array_add(op->bytes, copy);
    return copy;
}

static const char *read_cond(struct lmn_kv_store_operation *op,
                             const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *node)
{
    struct lmn_db_cond *c = &op->txn.conditions[op->txn.condition_count++];

    c->key = keep(op, lmn_cbor_get(document, node, WIRE_KEY));
    if (!c->key)
        return WIRE_CONDITIONS ": a key of 1 to 200 bytes without spaces is missing";
    return lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_VERSION), &c->revision)
               ? NULL
               : WIRE_CONDITIONS ": a version is missing";
}

static const char *read_change(const struct lmn_kv_store *s,
                               struct lmn_kv_store_operation *op,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *node)
{
    struct lmn_db_change *c = &op->txn.changes[op->txn.change_count++];
    const struct lmn_cbor_value *put = lmn_cbor_get(document, node, WIRE_PUT), *value;

    c->key = keep(op, put ? put : lmn_cbor_get(document, node, WIRE_DELETE));
    if (!c->key)
        return WIRE_OPERATIONS ": a key of 1 to 200 bytes without spaces is missing";
    if (!put)
        return NULL;
    value = lmn_cbor_get(document, node, WIRE_VALUE);
    lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_LEASE), &c->lease);
    if (s->o.value_kb > 0 && value &&
        (double)lmn_cbor_json_size(document, value) > s->o.value_kb * 1024)
        return WIRE_OPERATIONS ": a value is too large";
    GByteArray *buffer = g_byte_array_new();
    if (value)
        lmn_cbor_put_value(buffer, document, value);
    else
        lmn_cbor_put_null(buffer);
    c->len = buffer->len;
    c->value = g_byte_array_free(buffer, FALSE);
    g_ptr_array_add(op->bytes, (gpointer)c->value);
    return NULL;
}

/* What is wrong with it; NULL: nothing. */
static const char *read_txn(const struct lmn_kv_store *s,
                            struct lmn_kv_store_operation *op,
                            const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document),
                                *conds = lmn_cbor_get(document, root, WIRE_CONDITIONS);
    const struct lmn_cbor_value *changes = lmn_cbor_get(document, root, WIRE_OPERATIONS);
    const char *bad = NULL;

    if (root->type != LMN_CBOR_MAP || (conds && conds->type != LMN_CBOR_ARRAY) ||
        (changes && changes->type != LMN_CBOR_ARRAY))
        return "a map with lists " WIRE_CONDITIONS " and " WIRE_OPERATIONS " is expected";
    if (lmn_cbor_json_size(document, root) > MAX_BODY)
        return "more than 64 KiB";
    if (s->o.txn_ops > 0 && ((changes && changes->len > (uint32_t)s->o.txn_ops) ||
                             (conds && conds->len > 4 * (uint32_t)s->o.txn_ops)))
        return "too many changes or conditions";
    op->txn.conditions = g_new0(struct lmn_db_cond, conds ? conds->len : 0);
    op->txn.changes = g_new0(struct lmn_db_change, changes ? changes->len : 0);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, conds);
         node && !bad; node = lmn_cbor_next(document, node))
        bad = read_cond(op, document, node);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, changes);
         node && !bad; node = lmn_cbor_next(document, node))
        bad = read_change(s, op, document, node);
    return bad;
}

static void transact(struct lmn_kv_store *s, struct lmn_http_request *request,
                     const struct lmn_cbor_document *document)
{
    struct lmn_kv_store_operation *op = g_new0(struct lmn_kv_store_operation, 1);

    op->kind = LMN_KV_STORE_TXN;
    op->call = request;
    op->bytes = g_ptr_array_new_with_free_func(g_free);
    const char *bad = read_txn(s, op, document);
    if (bad)
        lmn_http_request_fail(request, 400, bad);
    if (bad || limited(s, request, &s->writes, (double)op->txn.change_count))
        lmn_kv_store_operation_free(op);
    else
        lmn_kv_store_submit(s, op);
}

/* --- leases --- */

static void grant(struct lmn_kv_store *s, struct lmn_http_request *request,
                  const struct lmn_cbor_document *document)
{
    uint64_t ttl = 0;

    if (!lmn_cbor_get_uint(lmn_cbor_get(document, lmn_cbor_root(document), WIRE_TTL_MS),
                           &ttl) ||
        ttl < 100 || ttl > 600000) {
        lmn_http_request_fail(request, 400, WIRE_TTL_MS ": from 100 to 600000");
        return;
    }
    struct lmn_kv_store_operation *op = g_new0(struct lmn_kv_store_operation, 1);
    op->kind = LMN_KV_STORE_GRANT;
    op->call = request;
    op->ttl_ms = (uint32_t)ttl;
    lmn_kv_store_submit(s, op);
}

static void lease_call(struct lmn_kv_store *s, struct lmn_http_request *request,
                       const char *rest)
{
    char *end;
    uint64_t id = g_ascii_strtoull(rest, &end, 10);
    bool renew = lmn_http_request_method(request) == LMN_HTTP_POST &&
                 !strcmp(end, WIRE_PATH_RENEW);
    bool there = false;

    if (!renew && !(lmn_http_request_method(request) == LMN_HTTP_DELETE && !*end)) {
        lmn_http_request_respond(request, 404, NULL, 0);
        return;
    }
    pthread_mutex_lock(&s->lock);
    struct lmn_kv_store_lease *l = g_hash_table_lookup(s->leases, &id);
    if (l && !l->ending) {
        there = true;
        if (renew)
            l->until = lmn_time_add(lmn_now(), l->ttl_ms / 1000.0);
        else
            l->ending = true;
    }
    pthread_mutex_unlock(&s->lock);
    if (!there || renew) {
        GByteArray *buffer = g_byte_array_new();
        lmn_cbor_put_map(buffer, 0);
        lmn_http_request_respond(request, there ? 200 : 404, buffer, 0);
        return;
    }
    struct lmn_kv_store_operation *op = g_new0(struct lmn_kv_store_operation, 1);
    op->kind = LMN_KV_STORE_REVOKE;
    op->call = request;
    op->lease = id;
    if (!lmn_kv_store_submit(s, op)) {
        pthread_mutex_lock(&s->lock);
        l = g_hash_table_lookup(s->leases, &id);
        if (l)
            l->ending = false;
        pthread_mutex_unlock(&s->lock);
    }
}

static void post(struct lmn_kv_store *s, struct lmn_http_request *request,
                 const char *path)
{
    const GByteArray *body = lmn_http_request_body(request);
    struct lmn_cbor_document d;

    if (lmn_cbor_parse(&d, body->data, body->len) != 0) {
        lmn_http_request_fail(request, 400, "not CBOR");
        return;
    }
    if (!strcmp(path, WIRE_PATH_TXN))
        transact(s, request, &d);
    else
        grant(s, request, &d);
    lmn_cbor_free(&d);
}

/* Beyond the protocol: by it others see that this state was restored from a backup. */
static void incarnation(struct lmn_kv_store *s, struct lmn_http_request *request)
{
    struct lmn_db_meta meta;
    GByteArray *buffer = g_byte_array_new();

    if (lmn_db_view(s->reader, &meta) != 0) {
        lmn_http_request_respond(request, 503, buffer, 1);
        return;
    }
    lmn_db_view_end(s->reader);
    lmn_cbor_put_map(buffer, 1);
    lmn_cbor_put_text(buffer, "Incarnation"), lmn_cbor_put_uint(buffer, meta.incarnation);
    lmn_http_request_respond(request, 200, buffer, 0);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_kv_store *s = arg;
    const char *path = lmn_http_request_path(request);
    enum lmn_http_method method = lmn_http_request_method(request);

    if (method == LMN_HTTP_GET && !strcmp(path, "/metrics")) {
        lmn_metrics_answer(request, (void (*)(void *, GString *))lmn_kv_store_metrics, s);
        return;
    }
    if (method == LMN_HTTP_GET && !strcmp(path, WIRE_PATH_READY)) {
        lmn_http_request_respond(request, 200, NULL, 0);
        return;
    }
    if (limited(s, request, &s->requests, 1))
        return;
    if (method == LMN_HTTP_GET && !strcmp(path, "/incarnation")) {
        incarnation(s, request);
        return;
    }
    if (method == LMN_HTTP_POST &&
        (!strcmp(path, WIRE_PATH_TXN) || !strcmp(path, WIRE_PATH_LEASES)))
        post(s, request, path);
    else if (g_str_has_prefix(path, WIRE_PATH_LEASES "/"))
        lease_call(s, request, path + strlen(WIRE_PATH_LEASES "/"));
    else if (method == LMN_HTTP_GET && !strcmp(path, WIRE_PATH_WATCH))
        lmn_kv_store_watch(s, request);
    else if (method == LMN_HTTP_GET && !strcmp(path, WIRE_PATH_STORE))
        list(s, request);
    else if (method == LMN_HTTP_GET && g_str_has_prefix(path, WIRE_PATH_STORE "/"))
        get(s, request, path + strlen(WIRE_PATH_STORE "/"));
    else
        lmn_http_request_respond(request, 404, NULL, 0);
}

void lmn_kv_store_metrics(struct lmn_kv_store *s, GString *out)
{
    struct lmn_db_meta meta = {0};
    struct lmn_db_reader *reader = lmn_db_reader_new(s->db);

    if (lmn_db_view(reader, &meta) == 0)
        lmn_db_view_end(reader);
    lmn_db_reader_free(reader);
    lmn_gauge(out, "lemonspar_state_revision", "Revision of the last commit",
              (double)meta.revision);
    lmn_gauge(out, "lemonspar_state_keys", "Keys in the database", (double)meta.count);
    pthread_mutex_lock(&s->watch_lock);
    guint waiting = s->waiters.length;
    pthread_mutex_unlock(&s->watch_lock);
    lmn_gauge(out, "lemonspar_state_watches", "Open watches", waiting);
    pthread_mutex_lock(&s->lock);
    lmn_gauge(out, "lemonspar_state_leases", "Leases", g_hash_table_size(s->leases));
    lmn_gauge(out, "lemonspar_state_waiting", "Operations that wait for the writer",
              s->ops.length);
    lmn_counter(out, "lemonspar_state_applied", "Transactions applied", s->applied);
    lmn_counter(out, "lemonspar_state_conflicts", "Transactions whose conditions failed",
                s->conflicts);
    lmn_counter(out, "lemonspar_state_syncs", "Commits, each with one sync", s->syncs);
    lmn_counter(out, "lemonspar_state_limited", "Requests answered 429", s->limited);
    lmn_counter(out, "lemonspar_state_refused",
                "Requests answered 503 since too many wait", s->refused);
    lmn_counter(out, "lemonspar_state_failures", "Commits that failed", s->failures);
    lmn_gauge(out, "lemonspar_state_largest_batch", "Most operations that shared a sync",
              s->largest);
    lmn_quantiles(out, "lemonspar_state_commit_seconds", "Time of a commit",
                  &s->committing);
    pthread_mutex_unlock(&s->lock);
}

static void take_lease(void *arg, uint64_t id, uint32_t ttl_ms)
{
    struct lmn_kv_store *s = arg;
    struct lmn_kv_store_lease *l = g_new0(struct lmn_kv_store_lease, 1);

    l->id = id;
    l->ttl_ms = ttl_ms;
    l->until = lmn_time_add(lmn_now(), ttl_ms / 1000.0);
    g_hash_table_insert(s->leases, &l->id, l);
}

struct lmn_kv_store *lmn_kv_store_start(const struct lmn_kv_store_options *o, char *err,
                                        size_t len)
{
    const struct lmn_db_options d = {.dir = o->dir, .map_gb = o->map_gb, .create = true};
    struct lmn_db *db = lmn_db_open(&d, err, len);
    struct timespec now = lmn_now();
    struct lmn_db_meta meta;

    if (!db)
        return NULL;
    struct lmn_kv_store *s = g_new0(struct lmn_kv_store, 1);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN); /* a file at its limit is an error like a full disk */
    s->o = *o;
    s->db = db;
    s->reader = lmn_db_reader_new(db);
    pthread_mutex_init(&s->lock, NULL);
    pthread_mutex_init(&s->watch_lock, NULL);
    lmn_cond_init(&s->more);
    lmn_cond_init(&s->watch_more);
    s->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    lmn_latency_init(&s->committing);
    lmn_token_bucket_init(&s->requests, o->rps, MAX(o->rps, 1), now);
    lmn_token_bucket_init(&s->writes, o->write_rps, MAX(o->write_rps, 1), now);
    if (lmn_db_view(s->reader, &meta) != 0) {
        snprintf(err, len, "%s: can't be read", o->dir);
        return NULL;
    }
    lmn_db_leases(s->reader, take_lease, s);
    lmn_db_view_end(s->reader);
    s->revision = meta.revision;
    const struct lmn_http_server_options h = {.listen = s->o.listen,
                                              .connections = 16384,
                                              .max_body = MAX_BODY,
                                              .route = route,
                                              .arg = s};
    lmn_thread(lmn_kv_store_writer_thread, s);
    lmn_thread(lmn_kv_store_watch_thread, s);
    lmn_thread(lmn_kv_store_lease_thread, s);
    s->server = lmn_http_server_start(&h);
    if (!s->server) {
        snprintf(err, len, "%s: can't listen: %s", o->listen, strerror(errno));
        return NULL;
    }
    lmn_info("kv_store_started listen=%s data=%s revision=%" G_GUINT64_FORMAT
             " keys=%" G_GUINT64_FORMAT " leases=%u incarnation=%016" G_GINT64_MODIFIER
             "x",
             o->listen, o->dir, meta.revision, meta.count, g_hash_table_size(s->leases),
             meta.incarnation);
    return s;
}
