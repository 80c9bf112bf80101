/** @file
 * The queue of users' requests that need the key-value store before they can be answered.
 *
 * All queued status requests for one job share one confirmation (request_decisions.h). A
 * request older than LMN_READ_REQUEST_TIMEOUT_S is separated from the others: its client
 * gives up about then, so a confirmation would come too late. Jobs leave the queue in the
 * order of their first request, so that a job with few requests does not starve. Has no
 * lock of its own; read_thread.c guards it. */
#ifndef LMN_CONTROLLER_READ_BATCH_H
#define LMN_CONTROLLER_READ_BATCH_H

#include "job/job_spec.h"

#include <glib.h>
#include <time.h>

/** What a queued request asks for. */
enum lmn_read_request_kind { LMN_READ_STATUS, LMN_READ_CANCEL };

struct lmn_http_request;

/** A queued request. */
struct lmn_read_request {
    enum lmn_read_request_kind kind;
    struct lmn_http_request *request; /**< deferred */
    char job_id[LMN_JOB_ID_SIZE];
    int absent_status; /**< HTTP status of the response if there is no such job */
    struct timespec received_at;
    struct lmn_read_request *next_same_job; /**< next status request for the job */
};

/** The queued requests. */
struct lmn_read_batch {
    GQueue order;     /**< each job's first status request, and each cancellation */
    GHashTable *jobs; /**< job id -> the job's first status request, heading its list */
    guint waiting; /**< number of queued requests, including those in the jobs' lists */
};

/** The protocol's timeout for a response, less the time of transmission. */
#define LMN_READ_REQUEST_TIMEOUT_S 1.8

/** Initializes an empty queue, to be freed with lmn_read_batch_clear. */
void lmn_read_batch_init(struct lmn_read_batch *batch);
/** Frees the queue's members and the requests that are still queued. */
void lmn_read_batch_clear(struct lmn_read_batch *batch);
/** Appends a request, which the queue takes over. */
void lmn_read_batch_add(struct lmn_read_batch *batch, struct lmn_read_request *read);
/** Removes the next requests from the queue; they belong to the caller.
 * @param jobs room for `max_jobs` lists; each receives the status requests for one job
 * @param cancel receives at most one cancellation; NULL: none
 * @param late receives a list of the status requests that have timed out; NULL: none
 * @return the number of lists in `jobs` */
guint lmn_read_batch_dequeue(struct lmn_read_batch *batch, struct lmn_read_request **jobs,
                             guint max_jobs, struct lmn_read_request **cancel,
                             struct lmn_read_request **late, struct timespec now);

#endif
