/** @file
 * Handles the executor's messages (worker/executor_events.h). */
#include "worker/executor_events.h"
#include "util/log.h"
#include "worker/executor_message.h"
#include "worker/incarnation.h"
#include "worker/worker_state.h"

#include <errno.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Exit status (EX_TEMPFAIL) of a stopped task that has saved its progress. */
enum { EXIT_SAVED = 75 };
enum { MAX_MESSAGE_BYTES = 4096 };

static struct lmn_ended_attempt *
new_ended_attempt(const struct lmn_worker *worker, const struct lmn_task_run *run,
                  const struct lmn_executor_event_message *message)
{
    struct lmn_ended_attempt *attempt = g_new0(struct lmn_ended_attempt, 1);
    bool has_exited = message->event == LMN_EXECUTOR_EXITED && WIFEXITED(message->status);

    attempt->id = run->id;
    attempt->attempt = run->attempt;
    g_strlcpy(attempt->job_id, run->job_id, sizeof attempt->job_id);
    attempt->index = run->index;
    attempt->is_done = has_exited && WEXITSTATUS(message->status) == 0;
    attempt->is_saved = has_exited && WEXITSTATUS(message->status) == EXIT_SAVED;
    attempt->directory = lmn_worker_run_directory(worker, run);
    return attempt;
}

/* Handles the end of a task's processes, or the failure to start them. The results thread
 * reports the end to the state machine once the result is on disk. */
static void handle_task_end(struct lmn_worker *worker,
                            const struct lmn_executor_event_message *message)
{
    lmn_worker_lock(worker);
    const struct lmn_task_run *run = lmn_agent_find_run(&worker->agent, message->id);
    if (run) {
        lmn_debug(
            "task_exited task=%s/%u attempt=%" G_GUINT64_FORMAT " status=%d what=\"%s\"",
            run->job_id, run->index, run->attempt, message->status, message->reason);
        if (message->event == LMN_EXECUTOR_START_FAILED)
            lmn_info("task_start_failed task=%s/%u why=\"%s\"", run->job_id, run->index,
                     message->reason);
        g_queue_push_tail(&worker->ended, new_ended_attempt(worker, run, message));
        pthread_cond_signal(&worker->attempt_ended);
    }
    lmn_worker_unlock_and_send(worker);
}

/* No process of the incarnation is left, so the next one begins. Its number is allocated
 * before the lock is taken, since that waits for the disk. */
static void handle_all_killed(struct lmn_worker *worker)
{
    uint64_t incarnation = lmn_worker_next_incarnation(worker);

    lmn_worker_lock(worker);
    lmn_agent_incarnation_ended(&worker->agent, incarnation, lmn_worker_now());
    lmn_worker_unlock_and_send(worker);
}

static void handle_lease_expired(struct lmn_worker *worker)
{
    lmn_worker_lock(worker);
    lmn_agent_expire_lease(&worker->agent, "the executor found the lease expired");
    lmn_worker_unlock_and_send(worker);
}

static void handle_event(struct lmn_worker *worker,
                         const struct lmn_executor_event_message *message)
{
    switch (message->event) {
    case LMN_EXECUTOR_EXITED:
    case LMN_EXECUTOR_START_FAILED:
        handle_task_end(worker, message);
        break;
    case LMN_EXECUTOR_ALL_KILLED:
        handle_all_killed(worker);
        break;
    case LMN_EXECUTOR_LEASE_EXPIRED:
        handle_lease_expired(worker);
        break;
    }
}

void *lmn_executor_event_thread(void *arg)
{
    struct lmn_worker *worker = arg;
    char bytes[MAX_MESSAGE_BYTES];

    for (;;) {
        struct lmn_executor_event_message message;
        ssize_t len = recv(worker->executor_fd, bytes, sizeof bytes, 0);
        if (len < 0 && errno == EINTR)
            continue;
        if (len <= 0) {
            /* Without an executor, no task's end would be reported any more. The agent
             * that is started next kills the tasks that are left. */
            lmn_error("executor_exited");
            _exit(1);
        }
        if (lmn_executor_event_decode(bytes, (size_t)len, &message) == 0)
            handle_event(worker, &message);
    }
    return NULL;
}
