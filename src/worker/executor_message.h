/** @file
 * The messages between a machine's agent and its executor (worker/executor.h): CBOR over
 * a socket pair, a message a packet. */
#ifndef LMN_WORKER_EXECUTOR_MESSAGE_H
#define LMN_WORKER_EXECUTOR_MESSAGE_H

#include "protocol/cbor.h"

#include <stdint.h>
#include <time.h>

/** @name Messages to the executor
 * Each function returns a message, which the caller frees.
 * @{ */

/** Starts a task.
 * @param argv,env NULL-terminated; env: "NAME=value", beside what the agent has
 * @param cwd the directory that the task starts in, and where its output goes
 * @param log_bytes to keep of each of its two streams */
GByteArray *lmn_executor_encode_start(uint64_t id, char *const argv[], char *const env[],
                                      const char *cwd, uint64_t log_bytes);
/** Tells a task to save its progress and exit; kills it after grace_s. */
GByteArray *lmn_executor_encode_save(uint64_t id, double grace_s);
/** Kills a task. */
GByteArray *lmn_executor_encode_kill(uint64_t id);
/** Kills everything. */
GByteArray *lmn_executor_encode_kill_all(void);
/** The lease holds until then, by CLOCK_BOOTTIME. */
GByteArray *lmn_executor_encode_lease(struct timespec until);

/** @}
 * @name Messages from the executor
 * @{ */

/** What the executor reports. */
enum lmn_executor_event {
    LMN_EXECUTOR_EXITED,        /**< id, status: none of the task's processes is left */
    LMN_EXECUTOR_START_FAILED,  /**< id, what */
    LMN_EXECUTOR_ALL_KILLED,    /**< after kill_all: nothing is left */
    LMN_EXECUTOR_LEASE_EXPIRED, /**< the lease has expired; nothing is left */
};

/** A message from the executor. */
struct lmn_executor_event_message {
    enum lmn_executor_event event;
    uint64_t id;    /**< of the task; 0: of none */
    int status;     /**< as waitpid() gives it */
    char what[128]; /**< why a task could not be started */
};

/** Encodes such a message; the caller frees it. */
GByteArray *lmn_executor_event_encode(enum lmn_executor_event event, uint64_t id,
                                      int status, const char *what);

/** Decodes such a message. @return 0, or -1 if it is none */
int lmn_executor_event_decode(const void *bytes, size_t len,
                              struct lmn_executor_event_message *message);

/** @} */

#endif
