/** @file
 * Fetches images, and evicts the least recently used ones (worker/images.h). */
#include "worker/images.h"
#include "http/client.h"
#include "image_store/image.h"
#include "image_store/image_store.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/process.h"
#include "util/thread.h"

#include <string.h>
#include <unistd.h>

enum { DIRECTORY_MODE = 0755 };
static const double BYTES_PER_GB = 1e9;

char *lmn_image_directory(const struct lmn_worker *worker, const char *image)
{
    return g_strdup_printf("%s/images/%s", worker->options->directory, image);
}

static char *size_file(const struct lmn_worker *worker, const char *image)
{
    return g_strdup_printf("%s/sizes/%s", worker->options->directory, image);
}

/* Registers a cached image as the most recently used one. The lock is held, or the
 * threads have not been started yet. */
static void add_cached_image(struct lmn_worker *worker, const char *interned_name,
                             guint64 bytes)
{
    guint64 *size = g_new(guint64, 1);

    *size = bytes;
    g_hash_table_replace(worker->cached_images, (gpointer)interned_name, size);
    g_queue_push_tail(&worker->image_order, (gpointer)interned_name);
}

void lmn_images_load_cached(struct lmn_worker *worker)
{
    g_autofree char *root = g_strdup_printf("%s/images", worker->options->directory);
    const char *name;

    g_mkdir_with_parents(root, DIRECTORY_MODE);
    g_autoptr(GDir) directory = g_dir_open(root, 0, NULL);
    while (directory && (name = g_dir_read_name(directory))) {
        g_autofree char *path = g_build_filename(root, name, NULL);
        g_autofree char *size_path = size_file(worker, name);
        g_autofree char *text = NULL;
        if (g_file_get_contents(size_path, &text, NULL, NULL))
            add_cached_image(worker, g_intern_string(name),
                             g_ascii_strtoull(text, NULL, 10));
        else
            lmn_tree_remove(path);
    }
}

/* --- eviction --- */

/* Whether a run needs the image. The lock is held. */
static bool is_in_use(const struct lmn_worker *worker, const char *image)
{
    for (guint i = 0; i < worker->agent.runs->len; i++) {
        const struct lmn_task_run *run = worker->agent.runs->pdata[i];
        if (run->state != LMN_RUN_ENDED && run->image && strcmp(run->image, image) == 0)
            return true;
    }
    return false;
}

static double total_image_bytes(const struct lmn_worker *worker)
{
    double total = 0;
    GHashTableIter iterator;
    gpointer size;

    g_hash_table_iter_init(&iterator, worker->cached_images);
    while (g_hash_table_iter_next(&iterator, NULL, &size))
        total += (double)*(guint64 *)size;
    return total;
}

/* Unregisters the least recently used images that no run needs, until `needed_bytes` more
 * bytes fit into the cache. Their names are added to `evicted`. The lock is held; the
 * caller removes the files after releasing it. */
static void choose_evictions(struct lmn_worker *worker, double needed_bytes,
                             GPtrArray *evicted)
{
    double total = needed_bytes + total_image_bytes(worker);
    double max_bytes = worker->options->type.cache_gb * BYTES_PER_GB;

    for (GList *node = worker->image_order.head, *next; node && total > max_bytes;
         node = next) {
        const char *name = node->data;
        next = node->next;
        if (is_in_use(worker, name))
            continue;
        total -= (double)*(guint64 *)g_hash_table_lookup(worker->cached_images, name);
        g_hash_table_remove(worker->cached_images, name);
        g_queue_delete_link(&worker->image_order, node);
        g_ptr_array_add(evicted, (gpointer)name);
    }
}

/* Removes the files of the evicted images, and empties the list. */
static void remove_evicted(struct lmn_worker *worker, GPtrArray *evicted)
{
    for (guint i = 0; i < evicted->len; i++) {
        const char *name = evicted->pdata[i];
        g_autofree char *directory = lmn_image_directory(worker, name);
        g_autofree char *size_path = size_file(worker, name);
        unlink(size_path); /* first: after a crash, an image without a size is removed */
        lmn_tree_remove(directory);
        lmn_info("image_evicted image=%s", name);
    }
    g_ptr_array_set_size(evicted, 0);
}

/* --- fetching --- */

/* The argument of is_still_needed(). */
struct fetch {
    struct lmn_worker *worker;
    const char *image; /* interned */
};

/* Whether a run still waits for the image. */
static bool is_still_needed(void *arg)
{
    const struct fetch *fetch = arg;

    pthread_mutex_lock(&fetch->worker->lock);
    bool is_needed = fetch->worker->cancelled_fetch != fetch->image;
    pthread_mutex_unlock(&fetch->worker->lock);
    return is_needed;
}

/* Writes the image's size, which marks the image as complete. Returns 0 or -1. */
static int write_size(const struct lmn_worker *worker, const char *name, uint64_t bytes)
{
    g_autofree char *path = size_file(worker, name);
    char text[32];
    int len = g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT "\n", bytes);

    return lmn_file_replace_durably(path, text, (size_t)len);
}

static bool fetch_image(struct lmn_worker *worker, struct lmn_http_client *client,
                        const char *name, uint64_t *bytes)
{
    g_autofree char *directory = lmn_image_directory(worker, name);
    g_autofree char *sizes = g_strdup_printf("%s/sizes", worker->options->directory);
    double bytes_per_s = worker->options->type.pull_gb_per_s * BYTES_PER_GB;
    struct fetch fetch = {worker, name};
    struct lmn_image_store_error error = {0};
    struct timespec begun_at = lmn_now();

    g_mkdir_with_parents(sizes, DIRECTORY_MODE);
    lmn_tree_remove(directory); /* an earlier fetch may have left files */
    int result = lmn_image_get(client, name, directory, bytes_per_s, is_still_needed,
                               &fetch, bytes, &error);
    if (result == 0)
        result = write_size(worker, name, *bytes);
    if (result != 0) {
        lmn_error("image_fetch_failed image=%s why=\"%s\"", name, error.what);
        return false;
    }
    lmn_info("image_fetched image=%s bytes=%" G_GUINT64_FORMAT " took=%.2f", name, *bytes,
             lmn_time_diff_s(lmn_now(), begun_at));
    return true;
}

/* Waits for a request and removes it from the queue. If the image has to be fetched,
 * chooses the images to evict for it. */
static struct lmn_fetch_request *take_request(struct lmn_worker *worker, bool *is_cached,
                                              bool *is_needed, GPtrArray *evicted)
{
    lmn_worker_lock(worker);
    while (!worker->images.head)
        pthread_cond_wait(&worker->image_queued, &worker->lock);
    struct lmn_fetch_request *request = g_queue_pop_head(&worker->images);
    *is_cached = g_hash_table_contains(worker->cached_images, request->name);
    *is_needed = is_in_use(worker, request->name);
    if (!*is_cached && *is_needed)
        choose_evictions(worker, request->gb * BYTES_PER_GB, evicted);
    lmn_worker_unlock_and_send(worker);
    return request;
}

void *lmn_image_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    struct lmn_http_client *client = lmn_http_client_new(worker->options->image_store);
    GPtrArray *evicted = g_ptr_array_new();

    for (;;) {
        bool is_cached, is_needed;
        uint64_t bytes = 0;
        struct lmn_fetch_request *request =
            take_request(worker, &is_cached, &is_needed, evicted);
        remove_evicted(worker, evicted);
        bool is_available =
            is_cached ||
            (is_needed && fetch_image(worker, client, request->name, &bytes));
        lmn_worker_lock(worker);
        if (is_available && !is_cached) {
            add_cached_image(worker, request->name, bytes);
            worker->fetched_bytes += bytes;
        }
        if (worker->cancelled_fetch == request->name)
            worker->cancelled_fetch = NULL;
        lmn_agent_fetched(&worker->agent, request->name, is_available, lmn_worker_now());
        lmn_worker_unlock_and_send(worker);
        g_free(request);
    }
    return NULL;
}
