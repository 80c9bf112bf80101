/** @file
 * The state that the threads of a real machine's agent share.
 *
 * `lock` guards the state machine and all queues and tables. The state machine's ops run
 * under it and only queue (worker/agent_ops.h). Whoever has used the state machine
 * releases the lock by lmn_worker_unlock_and_send(): what can be answered at once is
 * answered, then the lock is released, and what was queued for the executor is sent.
 *
 * `sending` is taken before `lock`, by lmn_worker_unlock_and_send() only. Nobody does I/O
 * while holding `lock`. */
#ifndef LMN_WORKER_WORKER_STATE_H
#define LMN_WORKER_WORKER_STATE_H

#include "worker/agent.h"
#include "worker/worker.h"

#include <glib.h>
#include <pthread.h>

/** What is to be done for the executor, in its order: a directory is made, then a message
 * is sent. */
struct lmn_executor_request {
    GByteArray *message; /**< NULL: none */
    char *directory;     /**< NULL: none */
};

/** A request of the state machine's: for a job's description, or for an image. */
struct lmn_fetch_request {
    bool is_image;
    uint64_t id; /**< of the run whose job is to be described */
    char job_id[LMN_JOB_ID_SIZE];
    const char *name; /**< of the image, interned */
    double gb;        /**< that the image is expected to have */
};

/** An attempt whose processes are gone. */
struct lmn_ended_attempt {
    uint64_t id, attempt;
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index;
    bool is_done, is_saved;
    char *directory; /**< with its output */
    int tries;       /**< to upload its output */
};

/** A real machine's agent. */
struct lmn_worker {
    const struct lmn_worker_options *options;
    char *mark;           /**< in the environment of all tasks (worker/executor.h) */
    int executor_fd;      /**< the socket to the executor */
    uint64_t incarnation; /**< the last one drawn (worker/incarnation.h) */

    pthread_mutex_t lock;
    pthread_mutex_t
        sending; /**< held while requests go to the executor, in their order */
    pthread_cond_t heartbeat_due, description_queued, image_queued, attempt_ended,
        log_queued;
    struct lmn_agent agent;
    GQueue outbox;       /**< struct lmn_executor_request */
    GQueue pending;      /**< struct lmn_fetch_request that nobody has looked at yet */
    GQueue descriptions; /**< struct lmn_fetch_request: descriptions to fetch */
    GQueue images;       /**< struct lmn_fetch_request: images to fetch */
    GQueue ended;        /**< struct lmn_ended_attempt whose result is to be recorded */
    GQueue logs;         /**< struct lmn_ended_attempt whose output is to be uploaded */

    GHashTable *task_commands; /**< job id -> struct lmn_task_command */
    /** The image that is being fetched and that no run waits for any more; interned. */
    const char *cancelled_fetch;
    GHashTable *cached_images; /**< interned name -> size in bytes (guint64 *) */
    GQueue image_order;        /**< interned names, the least recently used first */
    GHashTable *results;       /**< "job/index" of all tasks that have completed here */
    int results_fd;            /**< the results thread's */
    uint64_t heartbeats, redirects, uploads, fetched_bytes, lost_logs;
};

/** Makes the state of a worker, without agent, results and cached images. */
struct lmn_worker *lmn_worker_new(const struct lmn_worker_options *options);

/** The clock of leases and incarnations: CLOCK_BOOTTIME. A lease expires in sleep, too.
 */
struct timespec lmn_worker_now(void);

/** Takes the lock. */
void lmn_worker_lock(struct lmn_worker *worker);

/** Answers the state machine's requests that can be answered at once, queues the others
 * for their threads, releases the lock, and sends what was queued for the executor. */
void lmn_worker_unlock_and_send(struct lmn_worker *worker);

/** Queues a request for the executor. The lock is held.
 * @param message,directory either may be NULL; owned by the queue then */
void lmn_worker_queue_executor_request(struct lmn_worker *worker, GByteArray *message,
                                       char *directory);

/** The directory that a run is started in. The caller frees it. */
char *lmn_worker_run_directory(const struct lmn_worker *worker,
                               const struct lmn_task_run *run);

#endif
