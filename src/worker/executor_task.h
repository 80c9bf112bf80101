/** @file
 * A task of the executor: the process that was started, and its output. Used by the
 * executor's process only, which has one thread: no locks. */
#ifndef LMN_WORKER_EXECUTOR_TASK_H
#define LMN_WORKER_EXECUTOR_TASK_H

#include "protocol/cbor.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>
#include <time.h>

/** Standard output and standard error. */
enum { LMN_EXECUTOR_STREAMS = 2 };

/** A task. */
struct lmn_executor_task {
    uint64_t id;
    pid_t pid; /**< also the id of its session and of its process group */
    bool is_reaped;
    int status;              /**< once reaped, as waitpid() gives it */
    struct timespec kill_at; /**< the end of its grace period to save; 0: it has none */
    /** By stream: the pipe from the task and the file that it goes to; -1: closed. */
    int pipes[LMN_EXECUTOR_STREAMS], logs[LMN_EXECUTOR_STREAMS];
    uint64_t log_room[LMN_EXECUTOR_STREAMS]; /**< bytes that may still be kept */
};

/** Starts a task as the message "start" says.
 * @param document the message
 * @param mark is added to its environment, "NAME=value"
 * @param error if it could not be started, an errno value
 * @return the task, to be freed by lmn_executor_task_free(); NULL: could not be started
 */
struct lmn_executor_task *
lmn_executor_task_start(const struct lmn_cbor_document *document, uint64_t id,
                        const char *mark, int *error);

/** Moves what the task has written from the pipe to the log, up to the limit; closes both
 * at the pipe's end. Does not block. */
void lmn_executor_task_read_output(struct lmn_executor_task *task, int stream);

/** Closes the task's pipes and logs, and frees it. Its process is left alone. */
void lmn_executor_task_free(struct lmn_executor_task *task);

#endif
