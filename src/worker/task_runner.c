/* A real machine's tasks: their descriptions, images, results and output. */
#include "worker/executor.h"
#include "worker/worker_internal.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/process.h"
#include "util/thread.h"
#include "image_store/image_store.h"
#include "image_store/image.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { MAX_WORKS = 1000, MAX_LOGS = 10000, LOG_TRIES = 20 };

/* --- what the state machine asks for: noted only --- */

static void send(struct lmn_worker *worker, GByteArray *msg, char *dir)
{
    struct lmn_executor_request *o = g_new(struct lmn_executor_request, 1);
    *o = (struct lmn_executor_request){msg, dir};
    g_queue_push_tail(&worker->outbox, o);
}

static void describe(void *arg, struct lmn_task_run *r)
{
    struct lmn_worker *worker = arg;
    struct lmn_fetch_request *q = g_new0(struct lmn_fetch_request, 1);

    q->id = r->id;
    g_strlcpy(q->job_id, r->job_id, sizeof q->job_id);
    g_queue_push_tail(&worker->pending, q);
}

static void fetch(void *arg, struct lmn_task_run *r)
{
    struct lmn_worker *worker = arg;
    struct lmn_fetch_request *q = g_new0(struct lmn_fetch_request, 1);
    const struct lmn_task_command *work =
        g_hash_table_lookup(worker->task_commands, r->job_id);

    q->is_image = true;
    q->name = r->image;
    q->gb = work ? work->spec.image_gb : 0;
    if (worker->cancelled_fetch == q->name)
        worker->cancelled_fetch = NULL;
    g_queue_push_tail(&worker->pending, q);
}

static void give_up(void *arg, const char *image)
{
    struct lmn_worker *worker = arg;

    worker->cancelled_fetch = g_intern_string(image);
}

static bool has_result(void *arg, const char *ref, uint32_t index)
{
    struct lmn_worker *worker = arg;
    char key[LMN_JOB_ID_SIZE + 16];

    g_snprintf(key, sizeof key, "%s/%u", ref, index);
    return g_hash_table_contains(worker->results, key);
}

static char *run_dir(const struct lmn_worker *worker, const struct lmn_task_run *r)
{
    return g_strdup_printf("%s/tasks/%s.%u.%" G_GUINT64_FORMAT,
                           worker->options->directory, r->job_id, r->index, r->attempt);
}

static char *image_dir(const struct lmn_worker *worker, const char *image)
{
    return g_strdup_printf("%s/images/%s", worker->options->directory, image);
}

static char **environment(const struct lmn_worker *worker,
                          const struct lmn_task_command *work,
                          const struct lmn_task_run *r)
{
    GPtrArray *a = g_ptr_array_new();

    for (char **e = work->env; *e; e++)
        g_ptr_array_add(a, g_strdup(*e));
    g_ptr_array_add(a, g_strdup_printf("LEMONSPAR_JOB=%s", r->job_id));
    g_ptr_array_add(a, g_strdup_printf("LEMONSPAR_TASK=%u", r->index));
    g_ptr_array_add(a, g_strdup_printf("LEMONSPAR_TASKS=%u", work->spec.tasks));
    g_ptr_array_add(a,
                    g_strdup_printf("LEMONSPAR_ATTEMPT=%" G_GUINT64_FORMAT, r->attempt));
    g_ptr_array_add(a, g_strdup_printf("LEMONSPAR_MACHINE=%s", worker->options->name));
    g_ptr_array_add(a, g_strdup_printf("LEMONSPAR_ZONE=%s", worker->options->zone));
    if (strcmp(r->image, LMN_NO_IMAGE)) {
        char *dir = image_dir(worker, r->image);
        g_ptr_array_add(a, g_strdup_printf("LEMONSPAR_IMAGE=%s", dir));
        g_free(dir);
    }
    if (r->can_save && *worker->options->checkpoints)
        g_ptr_array_add(a, g_strdup_printf("LEMONSPAR_CHECKPOINT=%s/%s/%u",
                                           worker->options->checkpoints, r->job_id,
                                           r->index));
    g_ptr_array_add(a, NULL);
    return (char **)g_ptr_array_free(a, FALSE);
}

static void start(void *arg, struct lmn_task_run *r)
{
    struct lmn_worker *worker = arg;
    const struct lmn_task_command *work =
        g_hash_table_lookup(worker->task_commands, r->job_id);
    char *dir = run_dir(worker, r);

    /* The description was there to know the image by; if it was dropped since, it comes
     * again. */
    if (!work) {
        r->state = LMN_RUN_DESCRIBING;
        describe(arg, r);
        g_free(dir);
        return;
    }
    char **env = environment(worker, work, r);
    if (r->can_save && *worker->options->checkpoints)
        send(worker, NULL,
             g_strdup_printf("%s/%s/%u", worker->options->checkpoints, r->job_id,
                             r->index));
    send(worker,
         lmn_executor_encode_start(r->id, work->argv, env, dir,
                                   (uint64_t)(worker->options->log_kb * 1024)),
         dir);
    g_strfreev(env);
    lmn_debug("task_started task=%s/%u attempt=%" G_GUINT64_FORMAT, r->job_id, r->index,
              r->attempt);
}

static void save(void *arg, struct lmn_task_run *r, double grace_s)
{
    send(arg, lmn_executor_encode_save(r->id, grace_s), NULL);
}

static void kill_run(void *arg, struct lmn_task_run *r)
{
    send(arg, lmn_executor_encode_kill(r->id), NULL);
}

static void kill_all(void *arg)
{
    send(arg, lmn_executor_encode_kill_all(), NULL);
}

static void leased(void *arg, struct timespec until)
{
    send(arg, lmn_executor_encode_lease(until), NULL);
}

const struct lmn_agent_ops lmn_worker_agent_ops = {
    .describe = describe,
    .fetch = fetch,
    .cancel_fetch = give_up,
    .has_result = has_result,
    .start = start,
    .save = save,
    .kill = kill_run,
    .kill_all = kill_all,
    .extend_lease = leased,
};

/* --- descriptions --- */

static void free_unused(struct lmn_worker *worker)
{
    GHashTableIter it;
    gpointer ref;

    if (g_hash_table_size(worker->task_commands) < MAX_WORKS)
        return;
    g_hash_table_iter_init(&it, worker->task_commands);
    while (g_hash_table_iter_next(&it, &ref, NULL)) {
        bool used = false;
        for (guint i = 0; i < worker->agent.runs->len && !used; i++)
            used = !strcmp(((struct lmn_task_run *)worker->agent.runs->pdata[i])->job_id,
                           ref);
        if (!used)
            g_hash_table_iter_remove(&it);
    }
}

/* 1: there, 0: there is no such job, -1: the depot has to be asked again. */
static int get_work(struct lmn_http_client *client, const char *ref,
                    struct lmn_task_command *work)
{
    GByteArray *buffer = g_byte_array_new();
    char digest[LMN_DIGEST_SIZE];
    struct lmn_image_store_error e = {0};
    const char *what = "";
    int rc = lmn_image_store_lookup(client, LMN_IMAGE_STORE_KIND_JOB, ref, digest, &e);

    if (rc == 0)
        rc = lmn_image_store_get(client, digest, buffer, &e);
    if (rc != 0) {
        rc = e.status == 404 ? 0 : -1;
        lmn_info("job_description_missing job=%s why=\"%s\"", ref, e.what);
    } else if (lmn_task_command_decode(work, buffer->data, buffer->len, &what) != 0 ||
               strcmp(work->spec.id, ref) || !lmn_image_name_is_valid(work->spec.image)) {
        lmn_error("job_description_unreadable job=%s field=%s", ref, what);
        rc = 0;
    } else {
        rc = 1;
    }
    g_byte_array_unref(buffer);
    return rc;
}

void *lmn_describe_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    struct lmn_http_client *client = lmn_http_client_new(worker->options->image_store);

    for (;;) {
        lmn_worker_lock(worker);
        while (!worker->descriptions.head)
            pthread_cond_wait(&worker->description_queued, &worker->lock);
        struct lmn_fetch_request *q = g_queue_pop_head(&worker->descriptions);
        bool wanted = lmn_agent_find_run(&worker->agent, q->id) != NULL;
        bool known = g_hash_table_contains(worker->task_commands, q->job_id);
        if (known && wanted)
            g_queue_push_tail(&worker->pending, q);
        lmn_worker_unlock(worker);
        if (!wanted)
            g_free(q);
        if (!wanted || known)
            continue;
        struct lmn_task_command *work = g_new0(struct lmn_task_command, 1);
        int rc = get_work(client, q->job_id, work);
        if (rc < 0)
            lmn_sleep(0.3);
        lmn_worker_lock(worker);
        if (rc > 0) {
            free_unused(worker);
            g_hash_table_replace(worker->task_commands, work->spec.id, work);
            g_queue_push_tail(&worker->pending, q);
        } else if (rc == 0) {
            lmn_agent_described(&worker->agent, q->id, NULL, lmn_worker_now());
        } else {
            g_queue_push_tail(&worker->descriptions, q);
        }
        lmn_worker_unlock(worker);
        if (rc <= 0)
            g_free(work);
        if (rc == 0)
            g_free(q);
    }
    return NULL;
}

/* --- images --- */

void lmn_images_open(struct lmn_worker *worker)
{
    char *root = g_strdup_printf("%s/images", worker->options->directory);
    GDir *d;
    const char *name;

    g_mkdir_with_parents(root, 0755);
    d = g_dir_open(root, 0, NULL);
    while (d && (name = g_dir_read_name(d))) {
        char *path = g_build_filename(root, name, NULL);
        char *note = g_strdup_printf("%s/sizes/%s", worker->options->directory, name),
             *text = NULL;
        /* Only what was fetched to its end has its size beside it. */
        if (g_file_get_contents(note, &text, NULL, NULL)) {
            guint64 *bytes = g_new(guint64, 1);
            *bytes = g_ascii_strtoull(text, NULL, 10);
            g_hash_table_replace(worker->cached_images, (gpointer)g_intern_string(name),
                                 bytes);
            g_queue_push_tail(&worker->image_order, (gpointer)g_intern_string(name));
        } else {
            lmn_tree_remove(path);
        }
        g_free(text);
        g_free(note);
        g_free(path);
    }
    if (d)
        g_dir_close(d);
    g_free(root);
}

static bool in_use(const struct lmn_worker *worker, const char *image)
{
    for (guint i = 0; i < worker->agent.runs->len; i++) {
        const struct lmn_task_run *r = worker->agent.runs->pdata[i];
        if (r->state != LMN_RUN_ENDED && r->image && !strcmp(r->image, image))
            return true;
    }
    return false;
}

/* Takes the least recently used images that no task needs out of the books until so much
 * more fits; their directories go to drop. The lock is held. */
static void make_room(struct lmn_worker *worker, double bytes, GPtrArray *drop)
{
    double all = bytes, most = worker->options->type.cache_gb * 1e9;
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, worker->cached_images);
    while (g_hash_table_iter_next(&it, NULL, &v))
        all += (double)*(guint64 *)v;
    for (GList *l = worker->image_order.head, *next; l && all > most; l = next) {
        const char *name = l->data;
        next = l->next;
        if (in_use(worker, name))
            continue;
        all -= (double)*(guint64 *)g_hash_table_lookup(worker->cached_images, name);
        g_hash_table_remove(worker->cached_images, name);
        g_queue_delete_link(&worker->image_order, l);
        g_ptr_array_add(drop, (gpointer)name);
    }
}

static void drop_images(struct lmn_worker *worker, GPtrArray *drop)
{
    for (guint i = 0; i < drop->len; i++) {
        char *dir = image_dir(worker, drop->pdata[i]);
        char *note = g_strdup_printf("%s/sizes/%s", worker->options->directory,
                                     (char *)drop->pdata[i]);
        unlink(note); /* first: what has no size is fetched anew */
        lmn_tree_remove(dir);
        lmn_info("image_evicted image=%s", (char *)drop->pdata[i]);
        g_free(dir);
        g_free(note);
    }
    g_ptr_array_set_size(drop, 0);
}

struct going {
    struct lmn_worker *w;
    const char *image;
};

static bool go_on(void *arg)
{
    struct going *g = arg;

    pthread_mutex_lock(&g->w->lock);
    bool on = g->w->cancelled_fetch != g->image;
    pthread_mutex_unlock(&g->w->lock);
    return on;
}

static bool get_image(struct lmn_worker *worker, struct lmn_http_client *client,
                      const char *name, uint64_t *bytes)
{
    char *dir = image_dir(worker, name),
         *sizes = g_strdup_printf("%s/sizes", worker->options->directory);
    char *note = g_build_filename(sizes, name, NULL), text[32];
    struct going going = {worker, name};
    struct lmn_image_store_error e = {0};
    struct timespec begun = lmn_now();

    g_mkdir_with_parents(sizes, 0755);
    lmn_tree_remove(dir);
    int rc = lmn_image_get(client, name, dir, worker->options->type.pull_gb_per_s * 1e9,
                           go_on, &going, bytes, &e);
    if (rc == 0) {
        int n = g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT "\n", *bytes);
        rc = lmn_file_put(note, text, (size_t)n);
    }
    if (rc == 0)
        lmn_info("image_fetched image=%s bytes=%" G_GUINT64_FORMAT " took=%.2f", name,
                 *bytes, lmn_time_diff_s(lmn_now(), begun));
    else
        lmn_error("image_fetch_failed image=%s why=\"%s\"", name, e.what);
    g_free(dir);
    g_free(sizes);
    g_free(note);
    return rc == 0;
}

void *lmn_image_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    struct lmn_http_client *client = lmn_http_client_new(worker->options->image_store);
    GPtrArray *drop = g_ptr_array_new();

    for (;;) {
        uint64_t bytes = 0;
        lmn_worker_lock(worker);
        while (!worker->images.head)
            pthread_cond_wait(&worker->image_queued, &worker->lock);
        struct lmn_fetch_request *q = g_queue_pop_head(&worker->images);
        bool there = g_hash_table_contains(worker->cached_images, q->name);
        bool wanted = in_use(worker, q->name);
        if (!there && wanted)
            make_room(worker, q->gb * 1e9, drop);
        lmn_worker_unlock(worker);
        drop_images(worker, drop);
        bool ok = there || (wanted && get_image(worker, client, q->name, &bytes));
        lmn_worker_lock(worker);
        if (ok && !there) {
            guint64 *n = g_new(guint64, 1);
            *n = bytes;
            g_hash_table_replace(worker->cached_images, (gpointer)q->name, n);
            g_queue_push_tail(&worker->image_order, (gpointer)q->name);
            worker->fetched_bytes += bytes;
        }
        if (worker->cancelled_fetch == q->name)
            worker->cancelled_fetch = NULL;
        lmn_agent_fetched(&worker->agent, q->name, ok, lmn_worker_now());
        lmn_worker_unlock(worker);
        g_free(q);
    }
    return NULL;
}

/* --- results --- */

int lmn_results_open(struct lmn_worker *worker)
{
    char *path = g_build_filename(worker->options->directory, "results", NULL),
         *text = NULL;
    gsize n = 0, at = 0;

    worker->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    worker->results_fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (worker->results_fd >= 0 && g_file_get_contents(path, &text, &n, NULL)) {
        /* A line without its end was being written when the machine died: it says
         * nothing. */
        for (char *end; at < n && (end = memchr(text + at, '\n', n - at));
             at = (gsize)(end - text) + 1)
            g_hash_table_add(worker->results,
                             g_strndup(text + at, (gsize)(end - text) - at));
        if (at < n && ftruncate(worker->results_fd, (off_t)at) != 0)
            lmn_error("task_results_truncate_failed path=%s error=\"%s\"", path,
                      strerror(errno));
        g_free(text);
    }
    g_free(path);
    return worker->results_fd < 0 ? -1 : 0;
}

/* Records all that have ended and waits, by one sync; only then are they told as done. */
void *lmn_ended_thread(void *arg)
{
    struct lmn_worker *worker = arg;

    for (;;) {
        GString *lines = g_string_new(NULL);
        lmn_worker_lock(worker);
        while (!worker->ended.head)
            pthread_cond_wait(&worker->attempt_ended, &worker->lock);
        GQueue mine = worker->ended;
        g_queue_init(&worker->ended);
        lmn_worker_unlock(worker);
        for (GList *l = mine.head; l; l = l->next) {
            const struct lmn_ended_attempt *e = l->data;
            if (e->is_done)
                g_string_append_printf(lines, "%s/%u\n", e->job_id, e->index);
        }
        bool kept = !lines->len || (write(worker->results_fd, lines->str, lines->len) ==
                                        (ssize_t)lines->len &&
                                    fdatasync(worker->results_fd) == 0);
        if (!kept)
            lmn_error("task_result_lost error=\"%s\"", strerror(errno));
        lmn_worker_lock(worker);
        for (struct lmn_ended_attempt *e; (e = g_queue_pop_head(&mine));) {
            if (e->is_done && kept)
                g_hash_table_add(worker->results,
                                 g_strdup_printf("%s/%u", e->job_id, e->index));
            lmn_agent_exited(&worker->agent, e->id, e->is_done && kept, e->is_saved,
                             lmn_worker_now());
            if (worker->logs.length < MAX_LOGS) {
                g_queue_push_tail(&worker->logs, e);
                pthread_cond_signal(&worker->log_queued);
            } else {
                worker->lost_logs++;
                g_free(e->directory);
                g_free(e);
            }
        }
        lmn_worker_unlock(worker);
        g_string_free(lines, TRUE);
    }
    return NULL;
}

/* --- output --- */

static bool upload(struct lmn_http_client *client, const struct lmn_ended_attempt *e,
                   const char *stream)
{
    char *path = g_build_filename(e->directory, stream, NULL), *text = NULL, to[160];
    GByteArray *out = g_byte_array_new();
    gsize n = 0;
    bool ok = true;

    if (g_file_get_contents(path, &text, &n, NULL) && n) {
        GByteArray *buffer = g_byte_array_new_take((guint8 *)text, n);
        g_snprintf(to, sizeof to, "/logs/%s/%u.%" G_GUINT64_FORMAT ".%s", e->job_id,
                   e->index, e->attempt, stream);
        ok = lmn_http_client_call(client, "PUT", to, buffer, 30, out) == 200;
        g_byte_array_unref(buffer);
    } else {
        g_free(text);
    }
    g_byte_array_unref(out);
    g_free(path);
    return ok;
}

void *lmn_logs_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    struct lmn_http_client *client = lmn_http_client_new(worker->options->image_store);

    for (;;) {
        pthread_mutex_lock(&worker->lock);
        while (!worker->logs.head)
            pthread_cond_wait(&worker->log_queued, &worker->lock);
        struct lmn_ended_attempt *e = g_queue_pop_head(&worker->logs);
        pthread_mutex_unlock(&worker->lock);
        bool ok = upload(client, e, "stdout") && upload(client, e, "stderr");
        if (!ok && ++e->tries < LOG_TRIES) {
            lmn_sleep(MIN(0.1 * (1 << MIN(e->tries, 6)), 5));
            pthread_mutex_lock(&worker->lock);
            g_queue_push_tail(&worker->logs, e);
            pthread_mutex_unlock(&worker->lock);
            continue;
        }
        if (!ok)
            lmn_error("task_logs_lost task=%s/%u attempt=%" G_GUINT64_FORMAT, e->job_id,
                      e->index, e->attempt);
        pthread_mutex_lock(&worker->lock);
        worker->uploads += ok;
        worker->lost_logs += !ok;
        pthread_mutex_unlock(&worker->lock);
        lmn_tree_remove(e->directory);
        g_free(e->directory);
        g_free(e);
    }
    return NULL;
}
