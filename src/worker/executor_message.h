/** @file
 * The messages between a machine's agent and its executor (worker/executor.h): CBOR over
 * a socket pair, one message in each packet. */
#ifndef LMN_WORKER_EXECUTOR_MESSAGE_H
#define LMN_WORKER_EXECUTOR_MESSAGE_H

#include "protocol/cbor.h"

#include <stdint.h>
#include <time.h>

/** @name Messages to the executor
 * Each function returns a message, which the caller frees.
 * @{ */

/** Starts a task.
 * @param argv NULL-terminated
 * @param env NULL-terminated variables "NAME=value", added to the agent's environment
 * @param cwd the directory in which the task starts and in which its output is stored
 * @param log_bytes how much to keep of standard output, and of standard error */
GByteArray *lmn_executor_encode_start(uint64_t id, char *const argv[], char *const env[],
                                      const char *cwd, uint64_t log_bytes);
/** Tells a task to save its progress and exit, and kills it after grace_s seconds. */
GByteArray *lmn_executor_encode_save(uint64_t id, double grace_s);
/** Kills a task. */
GByteArray *lmn_executor_encode_kill(uint64_t id);
/** Kills all tasks. */
GByteArray *lmn_executor_encode_kill_all(void);
/** The lease is valid until this time of CLOCK_BOOTTIME. */
GByteArray *lmn_executor_encode_lease(struct timespec until);

/** @}
 * @name Messages from the executor
 * @{ */

/** The kind of a message from the executor. */
enum lmn_executor_event {
    LMN_EXECUTOR_EXITED, /**< no process of the task is left; has `id` and `status` */
    LMN_EXECUTOR_START_FAILED,  /**< has `id` and `reason` */
    LMN_EXECUTOR_ALL_KILLED,    /**< after kill_all: no process is left */
    LMN_EXECUTOR_LEASE_EXPIRED, /**< the lease has expired, and no process is left */
};

/** A message from the executor. */
struct lmn_executor_event_message {
    enum lmn_executor_event event;
    uint64_t id;      /**< of the task; 0 if the event concerns none */
    int status;       /**< as waitpid() returns it */
    char reason[128]; /**< why the task could not be started */
};

/** Encodes a message from the executor; the caller frees it. */
GByteArray *lmn_executor_event_encode(enum lmn_executor_event event, uint64_t id,
                                      int status, const char *reason);

/** Decodes a message from the executor. @return 0, or -1 if the message is malformed */
int lmn_executor_event_decode(const void *bytes, size_t len,
                              struct lmn_executor_event_message *message);

/** @} */

#endif
