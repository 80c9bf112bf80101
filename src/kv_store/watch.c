/* Watches: those who wait cost a record each, and no thread. */
#include "kv_store/kv_store_internal.h"
#include "util/clock.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <stdlib.h>
#include <string.h>

enum { MAX_WAIT_MS = 60000 };

/* A change, copied out of a view. */
struct event {
    char *key;
    GByteArray *bytes; /* as it goes into an answer */
    uint64_t rev;
};

static void free_event(gpointer p)
{
    struct event *e = p;
    g_free(e->key);
    g_byte_array_unref(e->bytes);
    g_free(e);
}

static bool collect(void *arg, const struct lmn_db_item *item)
{
    struct event *e = g_new0(struct event, 1);

    e->key = g_strdup(item->key);
    e->rev = item->revision;
    e->bytes = g_byte_array_new();
    lmn_cbor_put_map(e->bytes, item->value ? 3 : 2);
    lmn_cbor_put_text(e->bytes, item->value ? WIRE_PUT : WIRE_DELETE),
        lmn_cbor_put_text(e->bytes, item->key);
    if (item->value) {
        lmn_cbor_put_text(e->bytes, WIRE_VALUE);
        g_byte_array_append(e->bytes, item->value, (guint)item->len);
    }
    lmn_cbor_put_text(e->bytes, WIRE_VERSION),
        lmn_cbor_put_uint(e->bytes, item->revision);
    g_ptr_array_add(arg, e);
    return true;
}

/* The answer for a prefix: changes after the revision. NULL if there are none and some
 * are wanted. */
static GByteArray *answer(const GPtrArray *events, const char *prefix, uint64_t after,
                          uint64_t revision, bool even_if_none)
{
    GByteArray *buffer, *list = g_byte_array_new();
    size_t n = 0;

    for (guint i = 0; i < events->len; i++) {
        const struct event *e = events->pdata[i];
        if (e->rev <= after || !g_str_has_prefix(e->key, prefix))
            continue;
        g_byte_array_append(list, e->bytes->data, e->bytes->len);
        n++;
    }
    if (!n && !even_if_none) {
        g_byte_array_unref(list);
        return NULL;
    }
    buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, 2);
    lmn_cbor_put_text(buffer, WIRE_REVISION), lmn_cbor_put_uint(buffer, revision);
    lmn_cbor_put_text(buffer, WIRE_EVENTS), lmn_cbor_put_array(buffer, n);
    g_byte_array_append(buffer, list->data, list->len);
    g_byte_array_unref(list);
    return buffer;
}

/* Waits from another database, or so old that changes are missing, can only be told to
 * read anew. */
static bool too_old(const struct lmn_db_meta *meta, uint64_t after)
{
    return after < meta->compact_revision || after > meta->revision;
}

void lmn_kv_store_watch(struct lmn_kv_store *s, struct lmn_http_request *request)
{
    const char *prefix = lmn_http_request_query(request, WIRE_QUERY_PREFIX),
               *a = lmn_http_request_query(request, WIRE_QUERY_AFTER);
    const char *w = lmn_http_request_query(request, WIRE_QUERY_WAIT_MS);
    uint64_t after = a ? g_ascii_strtoull(a, NULL, 10) : 0;
    uint64_t wait_ms = w ? g_ascii_strtoull(w, NULL, 10) : 0;
    struct lmn_db_meta meta;

    if (wait_ms > MAX_WAIT_MS) {
        lmn_http_request_fail(request, 400, WIRE_QUERY_WAIT_MS ": at most 60000");
        return;
    }
    if (lmn_db_view(s->reader, &meta) != 0) {
        lmn_http_request_respond(request, 503, NULL, 1);
        return;
    }
    if (too_old(&meta, after)) {
        lmn_db_view_end(s->reader);
        lmn_http_request_respond(request, 410, NULL, 0);
        return;
    }
    GPtrArray *events = g_ptr_array_new_with_free_func(free_event);
    lmn_db_changes(s->reader, after, collect, events);
    lmn_db_view_end(s->reader);
    GByteArray *buffer =
        answer(events, prefix ? prefix : "", after, meta.revision, wait_ms == 0);
    g_ptr_array_free(events, TRUE);
    if (buffer) {
        lmn_http_request_respond(request, 200, buffer, 0);
        return;
    }
    struct lmn_deferred_response *response = g_new0(struct lmn_deferred_response, 1);
    response->call = request;
    response->prefix = g_strdup(prefix ? prefix : "");
    response->scanned = meta.revision;
    response->until = lmn_time_add(lmn_now(), (double)wait_ms / 1000);
    lmn_http_request_defer(request);
    pthread_mutex_lock(&s->watch_lock);
    g_queue_push_tail(&s->waiters, response);
    s->behind = s->behind || response->scanned < s->revision;
    pthread_cond_signal(&s->watch_more);
    pthread_mutex_unlock(&s->watch_lock);
}

static void finish(struct lmn_deferred_response *response, int status, GByteArray *buffer)
{
    lmn_http_request_respond(response->call, status, buffer, 0);
    g_free(response->prefix);
    g_free(response);
}

/* Answers whom it can; the others stay in the queue. Many wait for the same: what goes to
 * them is made once. */
static void serve(struct lmn_kv_store *s, struct lmn_db_reader *reader, GQueue *waiters)
{
    struct timespec now = lmn_now();
    struct lmn_db_meta meta;
    uint64_t least = UINT64_MAX;

    if (lmn_db_view(reader, &meta) != 0)
        return;
    for (GList *l = waiters->head; l; l = l->next)
        least = MIN(least, ((struct lmn_deferred_response *)l->data)->scanned);
    GPtrArray *events = g_ptr_array_new_with_free_func(free_event);
    if (least < meta.revision && least >= meta.compact_revision)
        lmn_db_changes(reader, least, collect, events);
    lmn_db_view_end(reader);
    GHashTable *made = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)g_byte_array_unref);
    for (GList *l = waiters->head, *next; l; l = next) {
        struct lmn_deferred_response *response = l->data;
        bool over = !lmn_time_before(now, response->until);
        next = l->next;
        if (too_old(&meta, response->scanned)) {
            finish(response, 410, NULL);
            g_queue_delete_link(waiters, l);
            continue;
        }
        char *key = g_strdup_printf("%" G_GUINT64_FORMAT " %s", response->scanned,
                                    response->prefix);
        GByteArray *buffer = over ? NULL : g_hash_table_lookup(made, key);
        if (buffer)
            g_byte_array_ref(buffer);
        else
            buffer =
                answer(events, response->prefix, response->scanned, meta.revision, over);
        if (buffer && !over)
            g_hash_table_insert(made, key, g_byte_array_ref(buffer));
        else
            g_free(key);
        if (buffer) {
            finish(response, 200, buffer);
            g_queue_delete_link(waiters, l);
        } else {
            response->scanned = meta.revision;
        }
    }
    g_hash_table_destroy(made);
    g_ptr_array_free(events, TRUE);
    (void)s;
}

void *lmn_kv_store_watch_thread(void *arg)
{
    struct lmn_kv_store *s = arg;
    struct lmn_db_reader *reader = lmn_db_reader_new(s->db);
    uint64_t served = 0;

    for (;;) {
        double wait = 5;
        pthread_mutex_lock(&s->watch_lock);
        for (;;) {
            struct timespec now = lmn_now();
            wait = 5;
            for (GList *l = s->waiters.head; l; l = l->next)
                wait =
                    MIN(wait, lmn_time_diff_s(
                                  ((struct lmn_deferred_response *)l->data)->until, now));
            if (wait <= 0 || (s->waiters.head && (s->behind || s->revision > served)))
                break;
            lmn_cond_wait_for(&s->watch_more, &s->watch_lock, wait);
        }
        GQueue mine = s->waiters;
        g_queue_init(&s->waiters);
        served = s->revision;
        s->behind = false;
        pthread_mutex_unlock(&s->watch_lock);
        serve(s, reader, &mine);
        pthread_mutex_lock(&s->watch_lock);
        while (mine.head) {
            struct lmn_deferred_response *response = g_queue_pop_head(&mine);
            g_queue_push_tail(&s->waiters, response);
        }
        pthread_mutex_unlock(&s->watch_lock);
    }
    return NULL;
}
