/** @file
 * Watches: requests that wait for changes of keys with a prefix. A waiting watch takes a
 * queue entry and an open connection but no thread of its own: one thread answers all.
 *
 * The HTTP thread first checks a request against a view and queues it only if the view
 * has no matching change. The watch thread takes all watches off the queue (under
 * watch_lock), answers those that it can from one view, and queues the others again. */
#include "kv_store/kv_store_internal.h"
#include "util/clock.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <string.h>

enum { MAX_WAIT_MS = 60000 };
/* The longest sleep of the watch thread. */
static const double MAX_SLEEP_S = 5;

/* --- events: changes, copied out of a view --- */

struct event {
    char *key;
    GByteArray *bytes; /* the change encoded for a response */
    uint64_t revision;
};

static void event_free(gpointer data)
{
    struct event *event = data;

    g_free(event->key);
    g_byte_array_unref(event->bytes);
    g_free(event);
}

/* Adds a change to `events`, a GPtrArray of struct event. */
static bool collect_event(void *events, const struct lmn_db_item *item)
{
    struct event *event = g_new0(struct event, 1);

    event->key = g_strdup(item->key);
    event->revision = item->revision;
    event->bytes = g_byte_array_new();
    lmn_cbor_put_map(event->bytes, item->value ? 3 : 2);
    lmn_cbor_put_text(event->bytes, item->value ? WIRE_PUT : WIRE_DELETE);
    lmn_cbor_put_text(event->bytes, item->key);
    if (item->value) {
        lmn_cbor_put_text(event->bytes, WIRE_VALUE);
        g_byte_array_append(event->bytes, item->value, (guint)item->len);
    }
    lmn_cbor_put_text(event->bytes, WIRE_VERSION);
    lmn_cbor_put_uint(event->bytes, item->revision);
    g_ptr_array_add(events, event);
    return true;
}

/* The response to a watch of the prefix: the matching events after revision `after`, read
 * from a view at `revision`. NULL if there are none, unless even_if_empty. */
static GByteArray *build_response(const GPtrArray *events, const char *prefix,
                                  uint64_t after, uint64_t revision, bool even_if_empty)
{
    g_autoptr(GByteArray) list = g_byte_array_new();
    size_t count = 0;

    for (guint i = 0; i < events->len; i++) {
        const struct event *event = events->pdata[i];
        if (event->revision <= after || !g_str_has_prefix(event->key, prefix))
            continue;
        g_byte_array_append(list, event->bytes->data, event->bytes->len);
        count++;
    }
    if (!count && !even_if_empty)
        return NULL;
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 2);
    lmn_cbor_put_text(body, WIRE_REVISION);
    lmn_cbor_put_uint(body, revision);
    lmn_cbor_put_text(body, WIRE_EVENTS);
    lmn_cbor_put_array(body, count);
    g_byte_array_append(body, list->data, list->len);
    return body;
}

/* Whether a watch can't be answered from the log: changes after its revision were removed
 * from the log, or its revision is newer than the database's, as after a change to
 * another database. The client must list all keys again. */
static bool is_compacted(const struct lmn_db_meta *meta, uint64_t after)
{
    return after < meta->compact_revision || after > meta->revision;
}

/* --- requests, on the HTTP thread --- */

/* Queues a watch for the watch thread. If a commit was made after the view against which
 * the request was checked, the watch thread must check the watch at once: it was already
 * woken for that commit. */
static void enqueue_watch(struct lmn_kv_store *store, struct lmn_http_request *request,
                          const char *prefix, uint64_t scanned_revision, uint64_t wait_ms)
{
    struct lmn_kv_store_watch *watch = g_new0(struct lmn_kv_store_watch, 1);

    watch->request = request;
    watch->prefix = g_strdup(prefix);
    watch->scanned_revision = scanned_revision;
    watch->deadline = lmn_time_add(lmn_now(), (double)wait_ms / 1000);
    lmn_http_request_defer(request);
    pthread_mutex_lock(&store->watch_lock);
    g_queue_push_tail(&store->watches, watch);
    store->has_stale_watch =
        store->has_stale_watch || watch->scanned_revision < store->revision;
    pthread_cond_signal(&store->watch_changed);
    pthread_mutex_unlock(&store->watch_lock);
}

void lmn_kv_store_handle_watch(struct lmn_kv_store *store,
                               struct lmn_http_request *request)
{
    const char *prefix = lmn_http_request_query(request, WIRE_QUERY_PREFIX);
    const char *after_text = lmn_http_request_query(request, WIRE_QUERY_AFTER);
    const char *wait_text = lmn_http_request_query(request, WIRE_QUERY_WAIT_MS);
    uint64_t after = after_text ? g_ascii_strtoull(after_text, NULL, 10) : 0;
    uint64_t wait_ms = wait_text ? g_ascii_strtoull(wait_text, NULL, 10) : 0;
    struct lmn_db_meta meta;

    if (!prefix)
        prefix = "";
    if (wait_ms > MAX_WAIT_MS) {
        lmn_http_request_fail(request, LMN_KV_STORE_INVALID,
                              WIRE_QUERY_WAIT_MS ": at most 60000");
        return;
    }
    if (lmn_db_view_begin(store->reader, &meta) != 0) {
        lmn_http_request_respond(request, LMN_KV_STORE_UNAVAILABLE, NULL, 1);
        return;
    }
    if (is_compacted(&meta, after)) {
        lmn_db_view_end(store->reader);
        lmn_http_request_respond(request, LMN_KV_STORE_COMPACTED, NULL, 0);
        return;
    }
    g_autoptr(GPtrArray) events = g_ptr_array_new_with_free_func(event_free);
    lmn_db_list_changes(store->reader, after, collect_event, events);
    lmn_db_view_end(store->reader);
    GByteArray *body = build_response(events, prefix, after, meta.revision, wait_ms == 0);
    if (body)
        lmn_http_request_respond(request, LMN_KV_STORE_OK, body, 0);
    else
        enqueue_watch(store, request, prefix, meta.revision, wait_ms);
}

/* --- the watch thread --- */

static void finish_watch(struct lmn_kv_store_watch *watch,
                         enum lmn_kv_store_status status, GByteArray *body)
{
    lmn_http_request_respond(watch->request, (int)status, body, 0);
    g_free(watch->prefix);
    g_free(watch);
}

/* What all watches that are served together share. */
struct watch_round {
    struct timespec now;
    struct lmn_db_meta meta;
    GPtrArray *events;     /* since the watch that is furthest behind */
    GHashTable *responses; /* "revision prefix" -> GByteArray: many wait for the same, so
                              what goes to them is made once */
};

/* The response to a watch, a reference for the caller; NULL: it waits on. One that is due
 * is answered even if there is nothing, and so is not shared. */
static GByteArray *response_for(const struct watch_round *round,
                                const struct lmn_kv_store_watch *watch, bool is_due)
{
    if (is_due)
        return build_response(round->events, watch->prefix, watch->scanned_revision,
                              round->meta.revision, true);
    g_autofree char *key = g_strdup_printf("%" G_GUINT64_FORMAT " %s",
                                           watch->scanned_revision, watch->prefix);
    GByteArray *body = g_hash_table_lookup(round->responses, key);
    if (body)
        return g_byte_array_ref(body);
    body = build_response(round->events, watch->prefix, watch->scanned_revision,
                          round->meta.revision, false);
    if (body)
        g_hash_table_insert(round->responses, g_steal_pointer(&key),
                            g_byte_array_ref(body));
    return body;
}

/* Answers and frees a watch. Returns false if there is nothing to answer yet. */
static bool serve_watch(const struct watch_round *round, struct lmn_kv_store_watch *watch)
{
    bool is_due = !lmn_time_before(round->now, watch->deadline);

    if (is_compacted(&round->meta, watch->scanned_revision)) {
        finish_watch(watch, LMN_KV_STORE_COMPACTED, NULL);
        return true;
    }
    GByteArray *body = response_for(round, watch, is_due);
    if (!body) {
        watch->scanned_revision = round->meta.revision;
        return false;
    }
    finish_watch(watch, LMN_KV_STORE_OK, body);
    return true;
}

/* Answers the watches that are due or have matching changes, and removes them from the
 * queue. */
static void serve_watches(struct lmn_db_reader *reader, GQueue *watches)
{
    struct watch_round round = {.now = lmn_now()};
    uint64_t oldest = UINT64_MAX;

    if (lmn_db_view_begin(reader, &round.meta) != 0)
        return;
    for (GList *node = watches->head; node; node = node->next)
        oldest = MIN(oldest, ((struct lmn_kv_store_watch *)node->data)->scanned_revision);
    round.events = g_ptr_array_new_with_free_func(event_free);
    if (oldest < round.meta.revision && oldest >= round.meta.compact_revision)
        lmn_db_list_changes(reader, oldest, collect_event, round.events);
    lmn_db_view_end(reader);
    round.responses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_byte_array_unref);
    for (GList *node = watches->head, *next; node; node = next) {
        next = node->next;
        if (serve_watch(&round, node->data))
            g_queue_delete_link(watches, node);
    }
    g_hash_table_destroy(round.responses);
    g_ptr_array_free(round.events, TRUE);
}

/* Seconds until the earliest deadline of a watch, at most MAX_SLEEP_S. The watch_lock is
 * held. */
static double time_to_deadline(const struct lmn_kv_store *store)
{
    struct timespec now = lmn_now();
    double wait_s = MAX_SLEEP_S;

    for (GList *node = store->watches.head; node; node = node->next) {
        const struct lmn_kv_store_watch *watch = node->data;
        wait_s = MIN(wait_s, lmn_time_diff_s(watch->deadline, now));
    }
    return wait_s;
}

/* Waits until a watch is due, or a commit may have changes for a watch. The watch_lock is
 * held. */
static void wait_for_work(struct lmn_kv_store *store, uint64_t served_revision)
{
    for (;;) {
        double wait_s = time_to_deadline(store);
        bool has_changes = store->has_stale_watch || store->revision > served_revision;
        if (wait_s <= 0 || (store->watches.head && has_changes))
            return;
        lmn_cond_wait_for(&store->watch_changed, &store->watch_lock, wait_s);
    }
}

void *lmn_kv_store_watch_thread(void *arg)
{
    struct lmn_kv_store *store = arg;
    struct lmn_db_reader *reader = lmn_db_reader_new(store->db);
    uint64_t served_revision = 0;

    for (;;) {
        pthread_mutex_lock(&store->watch_lock);
        wait_for_work(store, served_revision);
        GQueue watches = store->watches;
        g_queue_init(&store->watches);
        served_revision = store->revision;
        store->has_stale_watch = false;
        pthread_mutex_unlock(&store->watch_lock);
        serve_watches(reader, &watches);
        pthread_mutex_lock(&store->watch_lock);
        while (watches.head)
            g_queue_push_tail(&store->watches, g_queue_pop_head(&watches));
        pthread_mutex_unlock(&store->watch_lock);
    }
    return NULL;
}
