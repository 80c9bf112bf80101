/** @file
 * Requests about jobs that wait to be confirmed at the key-value store.
 *
 * All who ask about the same job share one confirmation; whoever has waited until after
 * his client's timeout gets a response at once, without one. First come, first served, so
 * that no job is passed over. A plain data structure without a lock: its user has one
 * (read_thread.c). */
#ifndef LMN_CONTROLLER_READ_BATCH_H
#define LMN_CONTROLLER_READ_BATCH_H

#include "job/job_spec.h"

#include <glib.h>
#include <time.h>

/** What a waiting request asks for. */
enum lmn_read_request_kind { LMN_READ_STATUS, LMN_READ_CANCEL };

struct lmn_http_request;

/** A request that waits. */
struct lmn_read_request {
    enum lmn_read_request_kind kind;
    struct lmn_http_request *request; /**< deferred */
    char job_id[LMN_JOB_ID_SIZE];
    int absent_status; /**< the response's status if there is no such job */
    struct timespec received_at;
    struct lmn_read_request *next_same_job; /**< another about the same job; or NULL */
};

/** The requests that wait. */
struct lmn_read_batch {
    GQueue order;     /**< the first request about each job, and all cancellations */
    GHashTable *jobs; /**< id -> the first status request about that job */
    guint waiting;    /**< how many requests, those that share a confirmation included */
};

/** How long a user waits for a response (the protocol's timeout), less the way there. */
#define LMN_READ_REQUEST_TIMEOUT_S 1.8

/** Makes an empty batch; to be cleared. */
void lmn_read_batch_init(struct lmn_read_batch *batch);
/** Frees the batch's parts, and the requests that wait in it. */
void lmn_read_batch_clear(struct lmn_read_batch *batch);
/** Takes over the request. */
void lmn_read_batch_add(struct lmn_read_batch *batch, struct lmn_read_request *read);
/** Takes the next requests off the batch.
 * @param jobs room for `max_jobs` lists: for each job, the requests about it
 * @param cancel one cancellation; NULL: none
 * @param late a list of the requests that have waited too long
 * @return how many jobs */
guint lmn_read_batch_dequeue(struct lmn_read_batch *batch, struct lmn_read_request **jobs,
                             guint max_jobs, struct lmn_read_request **cancel,
                             struct lmn_read_request **late, struct timespec now);

#endif
