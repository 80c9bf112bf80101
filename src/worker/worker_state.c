/** @file
 * The shared state of a real machine's agent (worker/worker_state.h): the lock, and the
 * requests that are answered or sent when it is released. */
#include "worker/worker_state.h"
#include "image_store/image_store.h"
#include "image_store/work.h"
#include "util/log.h"
#include "util/thread.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum { DIRECTORY_MODE = 0755 };

static void free_task_command(gpointer data)
{
    lmn_task_command_clear(data);
    g_free(data);
}

struct lmn_worker *lmn_worker_new(const struct lmn_worker_options *options)
{
    struct lmn_worker *worker = g_new0(struct lmn_worker, 1);
    pthread_cond_t *const conditions[] = {
        &worker->heartbeat_due, &worker->description_queued, &worker->image_queued,
        &worker->attempt_ended, &worker->log_queued};

    worker->options = options;
    pthread_mutex_init(&worker->lock, NULL);
    pthread_mutex_init(&worker->send_lock, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(conditions); i++)
        lmn_cond_init(conditions[i]);
    worker->task_commands =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_task_command);
    worker->cached_images = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return worker;
}

struct timespec lmn_worker_now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return now;
}

void lmn_worker_lock(struct lmn_worker *worker)
{
    pthread_mutex_lock(&worker->lock);
}

/* --- the state machine's requests --- */

static bool is_image_cached(const struct lmn_worker *worker, const char *name)
{
    return strcmp(name, LMN_EMPTY_IMAGE_NAME) == 0 ||
           g_hash_table_contains(worker->cached_images, name);
}

static void mark_image_used(struct lmn_worker *worker, const char *name)
{
    GList *node = g_queue_find(&worker->image_order, name);

    if (!node)
        return;
    g_queue_unlink(&worker->image_order, node);
    g_queue_push_tail_link(&worker->image_order, node);
}

/* Answers the request if the image or description is already on the machine; returns
 * whether it is. */
static bool answer_at_once(struct lmn_worker *worker,
                           const struct lmn_fetch_request *request)
{
    struct timespec now = lmn_worker_now();

    if (request->is_image) {
        if (!is_image_cached(worker, request->name))
            return false;
        mark_image_used(worker, request->name);
        lmn_agent_fetched(&worker->agent, request->name, true, now);
        return true;
    }
    const struct lmn_task_command *command =
        g_hash_table_lookup(worker->task_commands, request->job_id);
    if (!command)
        return false;
    lmn_agent_described(&worker->agent, request->id, &command->spec, now);
    return true;
}

static void queue_fetch(struct lmn_worker *worker, struct lmn_fetch_request *request)
{
    if (request->is_image) {
        g_queue_push_tail(&worker->images, request);
        pthread_cond_signal(&worker->image_queued);
    } else {
        g_queue_push_tail(&worker->descriptions, request);
        pthread_cond_signal(&worker->description_queued);
    }
}

/* Answers or queues all pending requests, including those that the answers cause. The
 * lock is held. */
static void process_pending(struct lmn_worker *worker)
{
    struct lmn_fetch_request *request;

    while ((request = g_queue_pop_head(&worker->pending))) {
        if (answer_at_once(worker, request))
            g_free(request);
        else
            queue_fetch(worker, request);
    }
    if (worker->agent.has_unreported_change)
        pthread_cond_signal(&worker->heartbeat_due);
}

/* --- requests to the executor --- */

void lmn_worker_queue_executor_request(struct lmn_worker *worker, GByteArray *message,
                                       char *directory)
{
    struct lmn_executor_request *request = g_new(struct lmn_executor_request, 1);

    *request = (struct lmn_executor_request){message, directory};
    g_queue_push_tail(&worker->outbox, request);
}

/* Creates the request's directory, sends its message, and frees the request. */
static void send_request(const struct lmn_worker *worker,
                         struct lmn_executor_request *request)
{
    GByteArray *message = request->message;

    if (request->directory &&
        g_mkdir_with_parents(request->directory, DIRECTORY_MODE) != 0)
        lmn_error("directory_create_failed path=%s error=\"%s\"", request->directory,
                  strerror(errno));
    if (message &&
        send(worker->executor_fd, message->data, message->len, MSG_NOSIGNAL) < 0)
        lmn_error("executor_message_invalid error=\"%s\"", strerror(errno));
    if (message)
        g_byte_array_unref(message);
    g_free(request->directory);
    g_free(request);
}

/* Sends the outbox. `send_lock` is held while the outbox is emptied and sent, so that two
 * threads can't reorder the requests. */
static void flush_outbox(struct lmn_worker *worker)
{
    struct lmn_executor_request *request;

    pthread_mutex_lock(&worker->send_lock);
    pthread_mutex_lock(&worker->lock);
    GQueue requests = worker->outbox;
    g_queue_init(&worker->outbox);
    pthread_mutex_unlock(&worker->lock);
    while ((request = g_queue_pop_head(&requests)))
        send_request(worker, request);
    pthread_mutex_unlock(&worker->send_lock);
}

void lmn_worker_unlock_and_send(struct lmn_worker *worker)
{
    process_pending(worker);
    bool has_requests = worker->outbox.head != NULL;
    pthread_mutex_unlock(&worker->lock);
    if (has_requests)
        flush_outbox(worker);
}

char *lmn_worker_run_directory(const struct lmn_worker *worker,
                               const struct lmn_task_run *run)
{
    return g_strdup_printf("%s/tasks/%s.%u.%" G_GUINT64_FORMAT,
                           worker->options->directory, run->job_id, run->index,
                           run->attempt);
}
