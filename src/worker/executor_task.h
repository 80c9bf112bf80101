/** @file
 * A task of the executor: the process that was started, and its output. Used only in the
 * executor's process, which has one thread; there are no locks. */
#ifndef LMN_WORKER_EXECUTOR_TASK_H
#define LMN_WORKER_EXECUTOR_TASK_H

#include "protocol/cbor.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>
#include <time.h>

/** The number of a task's output streams: standard output and standard error. */
enum { LMN_EXECUTOR_STREAMS = 2 };

/** A task whose process has been started. */
struct lmn_executor_task {
    uint64_t id;
    pid_t pid; /**< also the id of its session and of its process group */
    bool is_reaped;
    int status;              /**< valid with is_reaped, as waitpid() returns it */
    struct timespec kill_at; /**< the end of its grace period; zero if it is not saving */
    /** Of each stream, the pipe from the task and the file that keeps the output; -1 if
     * closed. */
    int pipes[LMN_EXECUTOR_STREAMS], logs[LMN_EXECUTOR_STREAMS];
    uint64_t
        log_room[LMN_EXECUTOR_STREAMS]; /**< bytes that may still be written to the log */
};

/** Starts the task that a message of lmn_executor_encode_start() describes.
 * @param document the message
 * @param mark a variable "NAME=value" that is added to the task's environment
 * @param error receives an errno value if the task could not be started
 * @return the task, which lmn_executor_task_free() frees; NULL if it could not be started
 */
struct lmn_executor_task *
lmn_executor_task_start(const struct lmn_cbor_document *document, uint64_t id,
                        const char *mark, int *error);

/** Copies the output in the stream's pipe to the log, up to the limit of the log, and
 * discards the rest; closes both at the end of the pipe. Does not block. */
void lmn_executor_task_read_output(struct lmn_executor_task *task, int stream);

/** Closes the task's pipes and logs, and frees it. Does not affect its process. */
void lmn_executor_task_free(struct lmn_executor_task *task);

#endif
