/** @file
 * Fetches the descriptions of jobs (worker/descriptions.h). They are kept in memory, in
 * `task_commands`; once there are MAX_DESCRIPTIONS, those that no run needs are dropped.
 */
#include "worker/descriptions.h"
#include "http/client.h"
#include "image_store/image.h"
#include "image_store/image_store.h"
#include "image_store/work.h"
#include "util/log.h"
#include "util/thread.h"
#include "worker/worker_state.h"

#include <string.h>

enum { MAX_DESCRIPTIONS = 1000 };
static const double RETRY_DELAY_S = 0.3;

enum fetch_result {
    FETCH_DONE,
    FETCH_NO_SUCH_JOB,
    FETCH_RETRY, /* the image store did not answer, or answered with an error */
};

static bool is_job_on_machine(const struct lmn_worker *worker, const char *job_id)
{
    for (guint i = 0; i < worker->agent.runs->len; i++) {
        const struct lmn_task_run *run = worker->agent.runs->pdata[i];
        if (strcmp(run->job_id, job_id) == 0)
            return true;
    }
    return false;
}

/* Drops the descriptions that no run needs, if there are MAX_DESCRIPTIONS or more. The
 * lock is held. */
static void drop_unused(struct lmn_worker *worker)
{
    GHashTableIter iterator;
    gpointer job_id;

    if (g_hash_table_size(worker->task_commands) < MAX_DESCRIPTIONS)
        return;
    g_hash_table_iter_init(&iterator, worker->task_commands);
    while (g_hash_table_iter_next(&iterator, &job_id, NULL))
        if (!is_job_on_machine(worker, job_id))
            g_hash_table_iter_remove(&iterator);
}

static enum fetch_result fetch_description(struct lmn_http_client *client,
                                           const char *job_id,
                                           struct lmn_task_command *command)
{
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    char digest[LMN_DIGEST_SIZE];
    struct lmn_image_store_error error = {0};
    const char *wrong_field = "";
    int status =
        lmn_image_store_lookup(client, LMN_IMAGE_STORE_KIND_JOB, job_id, digest, &error);

    if (status == 0)
        status = lmn_image_store_get(client, digest, bytes, &error);
    if (status != 0) {
        lmn_info("job_description_missing job=%s why=\"%s\"", job_id, error.what);
        return error.status == 404 ? FETCH_NO_SUCH_JOB : FETCH_RETRY;
    }
    /* The image's name becomes a path, so it is checked like the rest of the description.
     */
    if (lmn_task_command_decode(command, bytes->data, bytes->len, &wrong_field) != 0 ||
        strcmp(command->spec.id, job_id) != 0 ||
        !lmn_image_name_is_valid(command->spec.image)) {
        lmn_error("job_description_unreadable job=%s field=%s", job_id, wrong_field);
        return FETCH_NO_SUCH_JOB;
    }
    return FETCH_DONE;
}

/* Waits for a request and removes it from the queue. Returns NULL if there is nothing to
 * fetch: the run has been cleared, or the description was fetched for another run in the
 * meantime; then the request is queued again, to be answered from memory. */
static struct lmn_fetch_request *take_request(struct lmn_worker *worker)
{
    lmn_worker_lock(worker);
    while (!worker->descriptions.head)
        pthread_cond_wait(&worker->description_queued, &worker->lock);
    struct lmn_fetch_request *request = g_queue_pop_head(&worker->descriptions);
    if (!lmn_agent_find_run(&worker->agent, request->id)) {
        g_free(request);
        request = NULL;
    } else if (g_hash_table_contains(worker->task_commands, request->job_id)) {
        g_queue_push_tail(&worker->pending, request);
        request = NULL;
    }
    lmn_worker_unlock_and_send(worker);
    return request;
}

/* Handles the outcome of a fetch. Takes ownership of request and command. */
static void finish_request(struct lmn_worker *worker, struct lmn_fetch_request *request,
                           struct lmn_task_command *command, enum fetch_result result)
{
    lmn_worker_lock(worker);
    switch (result) {
    case FETCH_DONE:
        drop_unused(worker);
        g_hash_table_replace(worker->task_commands, command->spec.id, command);
        g_queue_push_tail(&worker->pending, request);
        break;
    case FETCH_NO_SUCH_JOB:
        lmn_agent_described(&worker->agent, request->id, NULL, lmn_worker_now());
        g_free(command);
        g_free(request);
        break;
    case FETCH_RETRY:
        g_queue_push_tail(&worker->descriptions, request);
        g_free(command);
        break;
    }
    lmn_worker_unlock_and_send(worker);
}

void *lmn_description_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    struct lmn_http_client *client = lmn_http_client_new(worker->options->image_store);

    for (;;) {
        struct lmn_fetch_request *request = take_request(worker);
        if (!request)
            continue;
        struct lmn_task_command *command = g_new0(struct lmn_task_command, 1);
        enum fetch_result result = fetch_description(client, request->job_id, command);
        if (result == FETCH_RETRY)
            lmn_sleep(RETRY_DELAY_S);
        finish_request(worker, request, command, result);
    }
    return NULL;
}
