/** @file
 * Records the results of tasks (worker/results.h). */
#include "worker/results.h"
#include "util/log.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Maximum number of attempts whose output waits for its upload. The output of further
 * attempts is lost. */
enum { MAX_QUEUED_LOGS = 10000, RESULTS_MODE = 0644 };

bool lmn_results_contain(const struct lmn_worker *worker, const char *job_id,
                         uint32_t index)
{
    char task[LMN_TASK_NAME_SIZE];

    g_snprintf(task, sizeof task, "%s/%u", job_id, index);
    return g_hash_table_contains(worker->results, task);
}

/* Reads the complete lines of the file, and returns their length in bytes. A last line
 * without a newline is ignored: it was being written when the machine failed. */
static gsize read_lines(struct lmn_worker *worker, const char *text, gsize len)
{
    gsize offset = 0;

    for (const char *end;
         offset < len && (end = memchr(text + offset, '\n', len - offset));) {
        gsize line_len = (gsize)(end - text) - offset;
        g_hash_table_add(worker->results, g_strndup(text + offset, line_len));
        offset += line_len + 1;
    }
    return offset;
}

int lmn_results_open(struct lmn_worker *worker)
{
    g_autofree char *path = g_build_filename(worker->options->directory, "results", NULL);
    g_autofree char *text = NULL;
    gsize len = 0;

    worker->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    worker->results_fd =
        open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, RESULTS_MODE);
    if (worker->results_fd < 0)
        return -1;
    if (!g_file_get_contents(path, &text, &len, NULL))
        return 0;
    gsize complete_len = read_lines(worker, text, len);
    if (complete_len < len && ftruncate(worker->results_fd, (off_t)complete_len) != 0)
        lmn_error("task_results_truncate_failed path=%s error=\"%s\"", path,
                  strerror(errno));
    return 0;
}

/* Waits until attempts have ended, and removes all of them from the queue. */
static GQueue take_ended(struct lmn_worker *worker)
{
    lmn_worker_lock(worker);
    while (!worker->ended.head)
        pthread_cond_wait(&worker->attempt_ended, &worker->lock);
    GQueue ended = worker->ended;
    g_queue_init(&worker->ended);
    lmn_worker_unlock_and_send(worker);
    return ended;
}

/* Writes the results of the completed attempts, with a single sync. Returns false if they
 * may not be on disk. */
static bool write_results(struct lmn_worker *worker, const GQueue *ended)
{
    GString *lines = g_string_new(NULL);
    bool is_recorded = true;

    for (GList *node = ended->head; node; node = node->next) {
        const struct lmn_ended_attempt *attempt = node->data;
        if (attempt->is_done)
            g_string_append_printf(lines, "%s/%u\n", attempt->job_id, attempt->index);
    }
    if (lines->len)
        is_recorded =
            write(worker->results_fd, lines->str, lines->len) == (ssize_t)lines->len &&
            fdatasync(worker->results_fd) == 0;
    if (!is_recorded)
        lmn_error("task_result_lost error=\"%s\"", strerror(errno));
    g_string_free(lines, TRUE);
    return is_recorded;
}

/* Queues the upload of the attempt's output; takes ownership of the attempt. The lock is
 * held. */
static void queue_log(struct lmn_worker *worker, struct lmn_ended_attempt *attempt)
{
    if (worker->logs.length < MAX_QUEUED_LOGS) {
        g_queue_push_tail(&worker->logs, attempt);
        pthread_cond_signal(&worker->log_queued);
    } else {
        worker->lost_logs++;
        g_free(attempt->directory);
        g_free(attempt);
    }
}

/* Reports the attempts' ends to the state machine. If the results could not be written,
 * the completed attempts are reported as failed. */
static void report_ended(struct lmn_worker *worker, GQueue *ended, bool is_recorded)
{
    struct lmn_ended_attempt *attempt;

    lmn_worker_lock(worker);
    while ((attempt = g_queue_pop_head(ended))) {
        bool is_done = attempt->is_done && is_recorded;
        if (is_done)
            g_hash_table_add(worker->results,
                             g_strdup_printf("%s/%u", attempt->job_id, attempt->index));
        lmn_agent_exited(&worker->agent, attempt->id, is_done, attempt->is_saved,
                         lmn_worker_now());
        queue_log(worker, attempt);
    }
    lmn_worker_unlock_and_send(worker);
}

void *lmn_result_thread(void *arg)
{
    struct lmn_worker *worker = arg;

    for (;;) {
        GQueue ended = take_ended(worker);
        bool is_recorded = write_results(worker, &ended);
        report_ended(worker, &ended, is_recorded);
    }
    return NULL;
}
