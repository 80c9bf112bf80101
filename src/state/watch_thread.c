/** @file
 * The thread that keeps the watch cache up to date. It lists all records of the key-value
 * store, then follows the store's watch. When the store has compacted changes that the
 * thread has not read yet, the thread lists all records again.
 *
 * The core's lock is taken only to apply responses, never during a request. */
#include "http/client.h"
#include "protocol/wire.h"
#include "state/record_keys.h"
#include "state/retention.h"
#include "state/watch_cache.h"
#include "util/log.h"
#include "util/thread.h"

#include <string.h>

enum {
    LIST_PAGE_RECORDS = 500,
    MAX_KEY_LENGTH = 256,
    WATCH_WAIT_MS = 800, /* maximum wait of the store for a change */
    /* The maximum wait while a member is suspected: the member must see the suspicion in
     * time to refute it, and declaring a member failed needs an up-to-date cache. */
    WATCH_WAIT_SUSPICION_MS = 200,
    HTTP_OK = 200,
    HTTP_GONE = 410, /* the store has compacted the requested changes */
};

static const double LIST_TIMEOUT_S = 3.0;
/** Seconds that a watch response may take beyond the store's maximum wait. */
static const double WATCH_TIMEOUT_MARGIN_S = 2.0;
/** Minimum seconds between two watch requests. Changes arrive in bursts; without a pause
 * each would cost a request. */
static const double MIN_REQUEST_INTERVAL_S = 0.06;
/** Pause after a failed request, in seconds; the random part spreads the controllers'
 * retries. */
static const double RETRY_MIN_S = 0.15, RETRY_RANDOM_S = 0.15;

/** How a listing ended. */
enum listing_outcome {
    LISTING_COMPLETE,
    LISTING_FAILED,
    LISTING_TOO_MANY_JOBS, /**< must be repeated with only the needed final jobs */
};

/** The thread's own state. */
struct watch {
    struct lmn_core *core;
    struct lmn_http_client *client;
    GByteArray *response; /* buffer for the last response's body */
    uint64_t revision;    /* all changes up to this one are applied */
    bool is_listed;       /* a complete listing was applied */
    bool is_first_wait;   /* no watch request since the listing */
};

/** Requests one page of a listing.
 *
 * @param prefix    key prefix of the records to list
 * @param after     last key of the previous page; empty: first page
 * @param document  set on success; the caller frees it. Valid until the next request
 * @return false if the request failed */
static bool list_page(struct watch *watch, const char *prefix, const char *after,
                      struct lmn_cbor_document *document)
{
    char path[512];

    lmn_kv_client_wait_for_token(watch->core->kv_client);
    g_snprintf(path, sizeof path,
               WIRE_PATH_STORE "?" WIRE_QUERY_PREFIX "=%s%s%s&" WIRE_QUERY_LIMIT "=%d",
               prefix, *after ? "&" WIRE_QUERY_AFTER "=" : "", after, LIST_PAGE_RECORDS);
    int status = lmn_http_client_call(watch->client, "GET", path, NULL, LIST_TIMEOUT_S,
                                      watch->response);
    if (status == HTTP_OK &&
        lmn_cbor_parse(document, watch->response->data, watch->response->len) == 0)
        return true;
    lmn_debug("watch_list_failed status=%d", status);
    return false;
}

/** Whether the listing has pages after this one. */
static bool has_more_pages(const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    const struct lmn_cbor_value *items = lmn_cbor_get(document, root, WIRE_ITEMS);
    bool has_more = false;

    lmn_cbor_get_bool(lmn_cbor_get(document, root, WIRE_HAS_MORE), &has_more);
    return has_more && items && items->len;
}

/** Adds the job's id from a range's key of the form PREFIX/PARTITION/JOB/FIRST. */
static void add_job_of_range(GHashTable *job_ids, const char *range_key)
{
    g_auto(GStrv) parts = g_strsplit(range_key, "/", 4);

    if (g_strv_length(parts) == 4)
        g_hash_table_add(job_ids, g_strdup(parts[2]));
}

/** Lists the ids of jobs that have ranges. Other final jobs need not be cached.
 *
 * @return a set that the caller frees; NULL: the listing failed */
static GHashTable *list_needed_jobs(struct watch *watch)
{
    GHashTable *job_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char key[MAX_KEY_LENGTH] = "";

    for (bool has_more = true; has_more;) {
        struct lmn_cbor_document page;
        if (!list_page(watch, LMN_KEY_RANGE, key, &page)) {
            g_hash_table_destroy(job_ids);
            return NULL;
        }
        const struct lmn_cbor_value *items =
            lmn_cbor_get(&page, lmn_cbor_root(&page), WIRE_ITEMS);
        for (const struct lmn_cbor_value *item = lmn_cbor_first_child(&page, items); item;
             item = lmn_cbor_next(&page, item))
            if (lmn_cbor_get_text(lmn_cbor_get(&page, item, WIRE_KEY), key, sizeof key))
                add_job_of_range(job_ids, key);
        has_more = has_more_pages(&page);
        lmn_cbor_free(&page);
    }
    return job_ids;
}

/** Applies a page of a listing. The caller holds the core's lock.
 *
 * @param last_key  buffer of MAX_KEY_LENGTH bytes; set to the page's last key, if any */
static void apply_page(struct lmn_core *core, const struct lmn_cbor_document *page,
                       char *last_key)
{
    struct timespec now = lmn_now();
    const struct lmn_cbor_value *items =
        lmn_cbor_get(page, lmn_cbor_root(page), WIRE_ITEMS);

    for (const struct lmn_cbor_value *item = lmn_cbor_first_child(page, items); item;
         item = lmn_cbor_next(page, item)) {
        uint64_t revision = 0;
        if (!lmn_cbor_get_text(lmn_cbor_get(page, item, WIRE_KEY), last_key,
                               MAX_KEY_LENGTH) ||
            !lmn_cbor_get_uint(lmn_cbor_get(page, item, WIRE_VERSION), &revision))
            continue;
        lmn_watch_cache_apply(core, last_key, page, lmn_cbor_get(page, item, WIRE_VALUE),
                              revision, now);
    }
}

/** Lists and applies all records. Sets watch->revision to the first page's revision:
 * later pages may contain later changes, which the watch then reports again. */
static enum listing_outcome list_records(struct watch *watch)
{
    struct lmn_core *core = watch->core;
    char last_key[MAX_KEY_LENGTH] = "";
    bool is_first = true;

    for (bool has_more = true; has_more;) {
        struct lmn_cbor_document page;
        uint64_t revision = 0;
        if (!list_page(watch, "", last_key, &page))
            return LISTING_FAILED;
        lmn_cbor_get_uint(lmn_cbor_get(&page, lmn_cbor_root(&page), WIRE_REVISION),
                          &revision);
        if (is_first)
            watch->revision = revision;
        is_first = false;
        pthread_mutex_lock(&core->lock);
        apply_page(core, &page, last_key);
        bool has_too_many_jobs = core->cache.too_many_final_jobs;
        pthread_mutex_unlock(&core->lock);
        has_more = has_more_pages(&page);
        lmn_cbor_free(&page);
        if (has_too_many_jobs)
            return LISTING_TOO_MANY_JOBS;
    }
    return LISTING_COMPLETE;
}

/** Lists all records, skipping final jobs without ranges. Used when there are more final
 * jobs than are kept in memory. */
static enum listing_outcome list_needed_records(struct watch *watch)
{
    struct lmn_core *core = watch->core;
    GHashTable *needed_job_ids = list_needed_jobs(watch);

    pthread_mutex_lock(&core->lock);
    core->cache.needed_job_ids = needed_job_ids;
    core->cache.too_many_final_jobs = false;
    pthread_mutex_unlock(&core->lock);
    return needed_job_ids ? list_records(watch) : LISTING_FAILED;
}

/** Lists and applies all records, and removes cached objects that the listing lacks.
 *
 * @return false if the listing failed or must be repeated */
static bool list_all(struct watch *watch)
{
    struct lmn_core *core = watch->core;

    pthread_mutex_lock(&core->lock);
    core->cache.generation++;
    core->cache.is_listing = true;
    core->cache.too_many_final_jobs = core->cache.must_relist = false;
    pthread_mutex_unlock(&core->lock);
    enum listing_outcome outcome = list_records(watch);
    if (outcome == LISTING_TOO_MANY_JOBS)
        outcome = list_needed_records(watch);
    pthread_mutex_lock(&core->lock);
    bool is_whole = outcome == LISTING_COMPLETE && !core->cache.must_relist;
    if (is_whole)
        lmn_watch_cache_sweep(core, lmn_now());
    g_clear_pointer(&core->cache.needed_job_ids, g_hash_table_destroy);
    core->cache.is_listing = false;
    pthread_mutex_unlock(&core->lock);
    return is_whole;
}

static void apply_events(struct lmn_core *core, const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *events, struct timespec now)
{
    char key[MAX_KEY_LENGTH];

    for (const struct lmn_cbor_value *event = lmn_cbor_first_child(document, events);
         event; event = lmn_cbor_next(document, event)) {
        uint64_t revision = 0;
        lmn_cbor_get_uint(lmn_cbor_get(document, event, WIRE_VERSION), &revision);
        if (lmn_cbor_get_text(lmn_cbor_get(document, event, WIRE_PUT), key, sizeof key))
            lmn_watch_cache_apply(core, key, document,
                                  lmn_cbor_get(document, event, WIRE_VALUE), revision,
                                  now);
        else if (lmn_cbor_get_text(lmn_cbor_get(document, event, WIRE_DELETE), key,
                                   sizeof key))
            lmn_watch_cache_apply(core, key, document, NULL, revision, now);
    }
}

/** Maximum wait of the store for a change in the next watch request, in milliseconds. */
static int watch_wait_ms(const struct watch *watch)
{
    struct lmn_core *core = watch->core;
    int wait_ms = watch->is_first_wait ? 0 : WATCH_WAIT_MS;

    pthread_mutex_lock(&core->lock);
    for (int i = 0; i < core->members.count; i++)
        if (lmn_member_is_suspected(&core->members, i))
            wait_ms = MIN(wait_ms, WATCH_WAIT_SUSPICION_MS);
    pthread_mutex_unlock(&core->lock);
    return wait_ms;
}

/** Applies a watch response, then begins ownerships and evicts final jobs. The caller
 * holds the core's lock.
 *
 * @param sent_at  when the request was sent. The response may have been delayed on the
 *                 network, so the cache is only known to be as recent as this time. */
static void apply_response(struct watch *watch, const struct lmn_cbor_document *response,
                           struct timespec sent_at)
{
    struct lmn_core *core = watch->core;
    const struct lmn_cbor_value *root = lmn_cbor_root(response);
    uint64_t revision = watch->revision;
    struct timespec now = lmn_now();

    lmn_cbor_get_uint(lmn_cbor_get(response, root, WIRE_REVISION), &revision);
    apply_events(core, response, lmn_cbor_get(response, root, WIRE_EVENTS), now);
    watch->revision = MAX(watch->revision, revision);
    core->cache.fresh_at = sent_at;
    lmn_members_record_watch(&core->members, sent_at);
    if (!core->cache.is_synced) {
        core->cache.is_synced = true;
        core->cache.synced_at = now;
        pthread_cond_broadcast(&core->ownership_changed);
    }
    lmn_watch_cache_begin_ownerships(core, now);
    lmn_retention_evict(core, now);
}

/** Sends one watch request and applies the changes in its response.
 *
 * @return the HTTP status; a negative LMN_HTTP_ code if there was no valid response */
static int wait_for_changes(struct watch *watch)
{
    char path[256];
    struct lmn_cbor_document response;
    int wait_ms = watch_wait_ms(watch);

    lmn_kv_client_wait_for_token(watch->core->kv_client);
    struct timespec sent_at = lmn_now();
    g_snprintf(path, sizeof path,
               WIRE_PATH_WATCH "?" WIRE_QUERY_PREFIX "=&" WIRE_QUERY_AFTER
                               "=%" G_GUINT64_FORMAT "&" WIRE_QUERY_WAIT_MS "=%d",
               watch->revision, wait_ms);
    int status =
        lmn_http_client_call(watch->client, "GET", path, NULL,
                             wait_ms / 1000.0 + WATCH_TIMEOUT_MARGIN_S, watch->response);
    if (status != HTTP_OK)
        return status;
    if (lmn_cbor_parse(&response, watch->response->data, watch->response->len) != 0)
        return LMN_HTTP_NO_RESPONSE;
    pthread_mutex_lock(&watch->core->lock);
    apply_response(watch, &response, sent_at);
    pthread_mutex_unlock(&watch->core->lock);
    lmn_cbor_free(&response);
    return HTTP_OK;
}

/** Lists all records if they are not listed yet, then sends one watch request.
 *
 * @return as wait_for_changes */
static int list_and_watch(struct watch *watch)
{
    if (!watch->is_listed) {
        watch->is_listed = list_all(watch);
        watch->is_first_wait = true;
    }
    if (!watch->is_listed)
        return LMN_HTTP_NO_RESPONSE;
    int status = wait_for_changes(watch);
    watch->is_first_wait = false;
    return status;
}

void *lmn_watch_cache_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct watch watch = {.core = core,
                          .client = lmn_http_client_new(core->settings->state_address),
                          .response = g_byte_array_new()};
    bool is_unavailable = false;

    for (;;) {
        struct timespec began_at = lmn_now();
        int status = list_and_watch(&watch);
        if (status == HTTP_GONE) {
            lmn_info("watch_compacted revision=%" G_GUINT64_FORMAT, watch.revision);
            watch.is_listed = false;
            continue;
        }
        if ((status != HTTP_OK) != is_unavailable) {
            is_unavailable = status != HTTP_OK;
            lmn_info("kv_store_%s status=%d",
                     is_unavailable ? "unavailable" : "available", status);
        }
        if (status != HTTP_OK) {
            lmn_sleep(RETRY_MIN_S + g_random_double() * RETRY_RANDOM_S);
            continue;
        }
        double elapsed_s = lmn_time_diff_s(lmn_now(), began_at);
        if (elapsed_s < MIN_REQUEST_INTERVAL_S)
            lmn_sleep(MIN_REQUEST_INTERVAL_S - elapsed_s);
    }
    return NULL;
}
