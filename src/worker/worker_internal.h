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
    GByteArray *msg;
    char *dir;
};

/* Something to be asked of the depot, or told to the state machine. */
struct lmn_fetch_request {
    bool image;
    uint64_t id; /* of the run whose job is to be described */
    char ref[LMN_JOB_ID_SIZE];
    const char *name; /* of the image, interned */
    double gb;
};

/* An attempt that has ended. */
struct lmn_ended_attempt {
    uint64_t id, attempt;
    char ref[LMN_JOB_ID_SIZE];
    uint32_t index;
    bool done, saved;
    char *dir;
    int tries;
};

struct lmn_worker {
    const struct lmn_worker_options *o;
    char addr[LMN_ADDRESS_SIZE], *mark;
    int keeper;
    pthread_mutex_t lock, sending;
    pthread_cond_t report_due, wishes_more, images_more, ended_more, logs_more;
    struct lmn_agent agent;
    uint64_t incarnation;
    GQueue outbox;        /* struct lmn_executor_request */
    GQueue pending;       /* struct lmn_fetch_request, not yet looked at */
    GQueue wishes;        /* descriptions to fetch */
    GQueue images;        /* images to fetch */
    const char *given_up; /* the image being fetched that nobody waits for any more */
    GHashTable *works;    /* ref -> struct lmn_task_command */
    GHashTable *here;     /* images that are there: interned name -> bytes (guint64 *) */
    GQueue image_order;   /* interned names, the least recently used first */
    GHashTable *results;  /* "ref/index": done */
    int results_fd;
    GQueue ended; /* to be recorded */
    GQueue logs;  /* to be uploaded */
    uint64_t reports, redirects, uploads, fetched_bytes, lost_logs;
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
