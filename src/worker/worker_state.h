/** @file
 * The state that the threads of a real machine's agent share.
 *
 * `lock` guards the state machine and all queues and tables. The state machine's ops run
 * under it and only queue requests (worker/agent_ops.h). A thread that has called the
 * state machine releases the lock by lmn_worker_unlock_and_send(). That function answers
 * the requests that need no fetch, releases the lock, and sends the queued requests to
 * the executor.
 *
 * `send_lock` is acquired before `lock`, by lmn_worker_unlock_and_send() only. No thread
 * does I/O while holding `lock`. */
#ifndef LMN_WORKER_WORKER_STATE_H
#define LMN_WORKER_WORKER_STATE_H

#include "worker/agent.h"
#include "worker/worker.h"

#include <glib.h>
#include <pthread.h>

/** A request to the executor. The directory is created before the message is sent. */
struct lmn_executor_request {
    GByteArray *message; /**< to send; may be NULL */
    char *directory;     /**< to create first; may be NULL */
};

/** A request of the state machine for a job's description or for an image. */
struct lmn_fetch_request {
    bool is_image;
    uint64_t id; /**< of the run that needs the description */
    char job_id[LMN_JOB_ID_SIZE];
    const char *name; /**< of the image, interned */
    double gb;        /**< expected size of the image; 0 if unknown */
};

/** An attempt that has ended: its processes are gone, or could not be started. */
struct lmn_ended_attempt {
    uint64_t id; /**< of the run */
    uint64_t attempt;
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index; /**< of the task within its job */
    bool is_done, is_saved;
    char *directory; /**< contains the output */
    int tries;       /**< failed uploads of the output */
};

/** The state of a real machine's agent. */
struct lmn_worker {
    const struct lmn_worker_options *options;
    char *environment_mark; /**< in the environment of all tasks (worker/executor.h) */
    int executor_fd;        /**< the socket to the executor */
    uint64_t incarnation;   /**< the last number allocated (worker/incarnation.h) */

    pthread_mutex_t lock;
    pthread_mutex_t send_lock; /**< held while requests are sent to the executor, to keep
                                  their order */
    pthread_cond_t heartbeat_due, description_queued, image_queued, attempt_ended,
        log_queued;
    struct lmn_agent agent;
    GQueue outbox;       /**< struct lmn_executor_request */
    GQueue pending;      /**< struct lmn_fetch_request, to be answered or queued below */
    GQueue descriptions; /**< struct lmn_fetch_request: descriptions to fetch */
    GQueue images;       /**< struct lmn_fetch_request: images to fetch */
    GQueue ended;        /**< struct lmn_ended_attempt whose result is to be recorded */
    GQueue logs;         /**< struct lmn_ended_attempt whose output is to be uploaded */

    GHashTable *task_commands; /**< job id -> struct lmn_task_command */
    /** The image whose fetch is cancelled because no run waits for it any more; interned.
     */
    const char *cancelled_fetch;
    GHashTable *cached_images; /**< interned name -> size in bytes (guint64 *) */
    GQueue image_order;        /**< interned names, the least recently used first */
    GHashTable *results;       /**< "job/index" of all tasks that have completed here */
    int results_fd;            /**< used only by the results thread once it runs */
    uint64_t heartbeats, redirects, uploads, fetched_bytes, lost_logs;
};

/** Creates the state of a worker. The agent, results and cached images are not
 * initialized. */
struct lmn_worker *lmn_worker_new(const struct lmn_worker_options *options);

/** Returns the time of CLOCK_BOOTTIME, which all leases use. It keeps running while the
 * machine is suspended, so that leases expire then, too. */
struct timespec lmn_worker_now(void);

/** Acquires the lock. */
void lmn_worker_lock(struct lmn_worker *worker);

/** Answers the state machine's requests that need no fetch, queues the others for the
 * threads that fetch, releases the lock, and sends the queued requests to the executor.
 */
void lmn_worker_unlock_and_send(struct lmn_worker *worker);

/** Queues a request for the executor. The lock is held.
 * @param message,directory either may be NULL; the queue takes ownership of both */
void lmn_worker_queue_executor_request(struct lmn_worker *worker, GByteArray *message,
                                       char *directory);

/** Returns the path of the directory in which a run is started. The caller frees it. */
char *lmn_worker_run_directory(const struct lmn_worker *worker,
                               const struct lmn_task_run *run);

#endif
