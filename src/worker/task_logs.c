/** @file
 * Uploads the output of attempts (worker/task_logs.h). */
#include "worker/task_logs.h"
#include "http/client.h"
#include "util/log.h"
#include "util/process.h"
#include "util/thread.h"
#include "worker/worker_state.h"

enum { MAX_TRIES = 20, MAX_BACKOFF_DOUBLINGS = 6, PATH_SIZE = 160, STATUS_OK = 200 };
static const double UPLOAD_TIMEOUT_S = 30;
static const double MIN_BACKOFF_S = 0.1, MAX_BACKOFF_S = 5;

/* Uploads the output of one stream. Nothing is uploaded, and true returned, if the file
 * is empty or can't be read. */
static bool upload_stream(struct lmn_http_client *client,
                          const struct lmn_ended_attempt *attempt, const char *stream)
{
    g_autofree char *file = g_build_filename(attempt->directory, stream, NULL);
    g_autofree char *text = NULL;
    char path[PATH_SIZE];
    gsize len = 0;

    if (!g_file_get_contents(file, &text, &len, NULL) || !len)
        return true;
    g_autoptr(GByteArray) body =
        g_byte_array_new_take((guint8 *)g_steal_pointer(&text), len);
    g_autoptr(GByteArray) response = g_byte_array_new();
    g_snprintf(path, sizeof path, "/logs/%s/%u.%" G_GUINT64_FORMAT ".%s", attempt->job_id,
               attempt->index, attempt->attempt, stream);
    return lmn_http_client_call(client, "PUT", path, body, UPLOAD_TIMEOUT_S, response) ==
           STATUS_OK;
}

static bool upload(struct lmn_http_client *client,
                   const struct lmn_ended_attempt *attempt)
{
    return upload_stream(client, attempt, "stdout") &&
           upload_stream(client, attempt, "stderr");
}

static struct lmn_ended_attempt *take_attempt(struct lmn_worker *worker)
{
    pthread_mutex_lock(&worker->lock);
    while (!worker->logs.head)
        pthread_cond_wait(&worker->log_queued, &worker->lock);
    struct lmn_ended_attempt *attempt = g_queue_pop_head(&worker->logs);
    pthread_mutex_unlock(&worker->lock);
    return attempt;
}

/* Queues the attempt again after a delay that doubles with each try. */
static void retry_later(struct lmn_worker *worker, struct lmn_ended_attempt *attempt)
{
    int doublings = MIN(attempt->tries, MAX_BACKOFF_DOUBLINGS);

    lmn_sleep(MIN(MIN_BACKOFF_S * (1 << doublings), MAX_BACKOFF_S));
    pthread_mutex_lock(&worker->lock);
    g_queue_push_tail(&worker->logs, attempt);
    pthread_mutex_unlock(&worker->lock);
}

/* Counts the output as uploaded or lost, removes it, and frees the attempt. */
static void finish_attempt(struct lmn_worker *worker, struct lmn_ended_attempt *attempt,
                           bool is_uploaded)
{
    if (!is_uploaded)
        lmn_error("task_logs_lost task=%s/%u attempt=%" G_GUINT64_FORMAT, attempt->job_id,
                  attempt->index, attempt->attempt);
    pthread_mutex_lock(&worker->lock);
    worker->uploads += is_uploaded;
    worker->lost_logs += !is_uploaded;
    pthread_mutex_unlock(&worker->lock);
    lmn_tree_remove(attempt->directory);
    g_free(attempt->directory);
    g_free(attempt);
}

void *lmn_log_upload_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    struct lmn_http_client *client = lmn_http_client_new(worker->options->image_store);

    for (;;) {
        struct lmn_ended_attempt *attempt = take_attempt(worker);
        bool is_uploaded = upload(client, attempt);
        if (!is_uploaded && ++attempt->tries < MAX_TRIES)
            retry_later(worker, attempt);
        else
            finish_attempt(worker, attempt, is_uploaded);
    }
    return NULL;
}
