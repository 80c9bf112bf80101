/* Questions that wait to be confirmed with the state service. All who ask about the same
 * job share one confirmation; whoever has waited for longer than he listens is answered
 * at once, without one. First come, first served, so that no job is passed over. Not
 * locked.
 */
#ifndef LMN_CONTROLLER_READ_BATCH_H
#define LMN_CONTROLLER_READ_BATCH_H

#include "job/job_spec.h"

#include <glib.h>
#include <time.h>

enum lmn_read_request_kind { LMN_READ_STATUS, LMN_READ_CANCEL };

struct lmn_http_request;

struct lmn_read_request {
    enum lmn_read_request_kind kind;
    struct lmn_http_request *request;
    char job_id[LMN_JOB_ID_SIZE];
    int absent_status; /* the answer if there is no such job */
    struct timespec received_at;
    struct lmn_read_request *next_same_job; /* who asks the same */
};

struct lmn_read_batch {
    GQueue order;     /* the first who asked about each job, and all cancellations */
    GHashTable *jobs; /* ref -> that first one */
    guint waiting;
};

/* How long a user listens for the answer to a question (the protocol's), less the way. */
#define LMN_QUERY_PATIENCE_S 1.8

void lmn_read_batch_init(struct lmn_read_batch *batch);
void lmn_read_batch_clear(struct lmn_read_batch *batch); /* frees what waits */
/* Takes the query over. */
void lmn_read_batch_add(struct lmn_read_batch *batch, struct lmn_read_request *read);
/* Takes the next questions off the queue: of `most` jobs at most, a list for each, and
 * one cancellation (NULL: none). What has waited for too long goes to *late, a list, in
 * either case. Returns how many jobs. */
guint lmn_read_batch_take(struct lmn_read_batch *batch, struct lmn_read_request **jobs,
                          guint most, struct lmn_read_request **cancel,
                          struct lmn_read_request **late, struct timespec now);

#endif
