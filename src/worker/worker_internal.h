/* What the files of a real machine's agent share. Locking: w->lock guards the state
 * machine and all queues; ops run under it and only queue. lmn_worker_unlock ends a use
 * of it: what can be told at once is, then the lock is released, and what goes to the
 * keeper is sent in order. */
#ifndef LMN_WORKER_WORKER_INTERNAL_H
#define LMN_WORKER_WORKER_INTERNAL_H

#include "worker/agent.h"
#include "worker/worker.h"
#include "http/client.h"
#include "image_store/work.h"

#include <pthread.h>

/* A message to the keeper; dir: to be made before. */
struct lmn_executor_request {
    GByteArray *message;
    char *directory;
};

/* Something to be asked of the depot, or told to the state machine. */
struct lmn_fetch_request {
    bool is_image;
    uint64_t id; /* of the run whose job is to be described */
    char job_id[LMN_JOB_ID_SIZE];
    const char *name; /* of the image, interned */
    double gb;
};

/* An attempt that has ended. */
struct lmn_ended_attempt {
    uint64_t id, attempt;
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index;
    bool is_done, is_saved;
    char *directory;
    int tries;
};

struct lmn_worker {
    const struct lmn_worker_options *options;
    char address[LMN_ADDRESS_SIZE], *mark;
    int executor_fd;
    pthread_mutex_t lock, sending;
    pthread_cond_t heartbeat_due, description_queued, image_queued, attempt_ended,
        log_queued;
    struct lmn_agent agent;
    uint64_t incarnation;
    GQueue outbox;       /* struct lmn_executor_request */
    GQueue pending;      /* struct lmn_fetch_request, not yet looked at */
    GQueue descriptions; /* descriptions to fetch */
    GQueue images;       /* images to fetch */
    const char
        *cancelled_fetch; /* the image being fetched that nobody waits for any more */
    GHashTable *task_commands; /* ref -> struct lmn_task_command */
    GHashTable
        *cached_images;  /* images that are there: interned name -> bytes (guint64 *) */
    GQueue image_order;  /* interned names, the least recently used first */
    GHashTable *results; /* "ref/index": done */
    int results_fd;
    GQueue ended; /* to be recorded */
    GQueue logs;  /* to be uploaded */
    uint64_t heartbeats, redirects, uploads, fetched_bytes, lost_logs;
};

void lmn_worker_lock(struct lmn_worker *worker);
void lmn_worker_unlock(struct lmn_worker *worker);
struct timespec lmn_worker_now(void);

extern const struct lmn_agent_ops lmn_worker_agent_ops;
/* Reads the results of earlier lives; -1 with errno. */
int lmn_results_open(struct lmn_worker *worker);
/* What is in the image directory from earlier lives. */
void lmn_images_open(struct lmn_worker *worker);
/* Threads, each for ever; worker: struct lmn_worker. */
void *lmn_describe_thread(void *worker);
void *lmn_image_thread(void *worker);
void *lmn_ended_thread(void *worker);
void *lmn_logs_thread(void *worker);

#endif
