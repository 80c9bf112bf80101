/** @file
 * Decides how users' requests about jobs are answered: functions of the shared state, the
 * time and a random source, without HTTP, threads or I/O. Functions that take the core
 * are called with its lock held.
 *
 * The state in each reply is either final, or was the job's state at some instant between
 * the arrival of the request and the sending of the reply. Final states never change, so
 * the watch cache alone is enough for them. Any other state is confirmed first: the watch
 * cache's view of the job is copied after the request has arrived; a transaction that has
 * conditions and no writes asks the key-value store whether the view's revision is still
 * the latest; if it is not, the job's record is read from the store.
 * docs/design/failover.md shows for each path why this holds. */
#ifndef LMN_CONTROLLER_REQUEST_DECISIONS_H
#define LMN_CONTROLLER_REQUEST_DECISIONS_H

#include "controller/submission.h"
#include "state/core_state.h"

/** The next step for a request. */
enum lmn_request_step {
    LMN_STEP_REPLY,   /**< respond now */
    LMN_STEP_CONFIRM, /**< respond with the job's state after confirming it */
    LMN_STEP_CANCEL,  /**< read the job and write its cancellation */
    LMN_STEP_COMMIT,  /**< write the submitted job */
};

/** A reply to a user. */
struct lmn_job_reply {
    int status;        /**< HTTP status */
    int retry_after;   /**< the Retry-After header, in seconds; 0: no header */
    const char *error; /**< the error text for a refused request; NULL: none */
    bool includes_job; /**< the reply contains the fields that follow */
    enum lmn_job_phase phase;
    uint32_t done, running; /**< numbers of tasks, as far as this controller knows */
    double waiting_s; /**< for how many seconds tasks have found no machine with free
                           capacity (scheduler/unschedulable.h); 0: not for long */
};

/** The decision on a request. */
struct lmn_request_decision {
    enum lmn_request_step step;
    struct lmn_job_reply reply; /**< with LMN_STEP_REPLY */
    int absent_status; /**< with other steps: HTTP status if there is no such job */
};

/* --- decisions on the arrival of a request --- */

/** Decides on a request for a job's state. */
struct lmn_request_decision lmn_decide_status(struct lmn_core *core, const char *job_id,
                                              struct timespec now);
/** Decides on a request to cancel a job. */
struct lmn_request_decision lmn_decide_cancel(struct lmn_core *core, const char *job_id);
/** Decides on a parsed submission. */
struct lmn_request_decision lmn_decide_submission(struct lmn_core *core,
                                                  const struct lmn_submission *submission,
                                                  struct timespec now);
/** Decides on a submission by the outcome of the transaction that writes its job. */
struct lmn_request_decision lmn_decide_commit_outcome(enum lmn_txn_outcome outcome);

/** The next step for a submission whose transaction has no outcome yet. */
enum lmn_pending_submission_step {
    LMN_PENDING_WAIT,
    LMN_PENDING_CONFIRM, /**< the watch cache shows the job: confirm its state */
    LMN_PENDING_RESEND,  /**< send the transaction a second time */
};

/** Time without an outcome after which a submission is checked. */
#define LMN_PENDING_CHECK_DELAY_S 0.05

/** Decides on a submission whose transaction has no outcome yet.
 * @param submitted_at when its transaction was first sent
 * @param is_resent whether its transaction has already been sent a second time */
enum lmn_pending_submission_step
lmn_decide_pending_submission(const struct lmn_core *core, const char *job_id,
                              struct timespec submitted_at, bool is_resent,
                              struct timespec now);

/* --- confirmations --- */

/** A copy of a job's state in the watch cache. */
struct lmn_job_view {
    char job_id[LMN_JOB_ID_SIZE];
    uint64_t revision; /**< of the job's record; 0: the cache has no such job */
    struct lmn_job_reply reply;
};

/** The result of a confirmation for one view. */
enum lmn_confirmation_result {
    LMN_CONFIRMATION_LATEST,   /**< the view was the latest when the store evaluated it */
    LMN_CONFIRMATION_OUTDATED, /**< the store has a later record, which must be read */
    LMN_CONFIRMATION_UNKNOWN,  /**< the view may or may not be the latest */
};

/** Copies a job's state from the watch cache. The job need not exist. */
void lmn_job_view_from_cache(const struct lmn_core *core, const char *job_id,
                             struct lmn_job_view *view);
/** Makes the transaction that confirms the views: conditions, no writes.
 * @return to be freed with lmn_txn_free */
struct lmn_txn *lmn_confirmation_txn(const struct lmn_job_view *views, guint count);
/** Derives the result for one view from the outcome of lmn_confirmation_txn.
 * @param failed_keys the keys whose condition did not hold */
enum lmn_confirmation_result lmn_job_view_confirmation(const struct lmn_job_view *view,
                                                       enum lmn_txn_outcome outcome,
                                                       const GPtrArray *failed_keys);
/** The reply with the state of a confirmed view, or with the watch cache's state if that
 * has a later revision by now. */
struct lmn_job_reply lmn_job_reply_confirmed(const struct lmn_core *core,
                                             const struct lmn_job_view *view,
                                             int absent_status);
/** The reply if the job's state cannot be determined now; it asks the user to retry. */
struct lmn_job_reply lmn_job_reply_unavailable(void);

/* --- reading and cancelling --- */

/** The result of reading a job's record from the key-value store. */
struct lmn_job_read_result {
    int status;        /**< 200: the record was read; 404: there is none; else: unknown */
    uint64_t revision; /**< this field and those that follow are set with 200 only */
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open_ranges;
    double accepted_at_s;
};

/** Parses the key-value store's response.
 * @param read_result to be freed with lmn_job_read_result_clear, whatever its status
 * @param status HTTP status, or LMN_HTTP_NO_RESPONSE */
void lmn_job_read_result_parse(struct lmn_job_read_result *read_result, int status,
                               const guint8 *body, size_t len);
/** Frees the result's members. */
void lmn_job_read_result_clear(struct lmn_job_read_result *read_result);
/** The reply with the state that was read, or with the watch cache's state if the job is
 * active and the cache has a later revision. */
struct lmn_job_reply
lmn_job_reply_from_read_result(const struct lmn_core *core, const char *job_id,
                               const struct lmn_job_read_result *read_result,
                               int absent_status);

/** Makes the transaction that cancels an active job, conditional on the revision that was
 * read.
 * @return to be freed with lmn_txn_free; NULL if the job is not active or could not be
 *     read, and *reply has been filled */
struct lmn_txn *lmn_cancellation_txn(const char *job_id,
                                     const struct lmn_job_read_result *read_result,
                                     int absent_status, struct lmn_job_reply *reply);
/** Fills *reply according to the outcome of lmn_cancellation_txn.
 * @return false if the job's record had changed: it has to be read again */
bool lmn_cancellation_is_final(enum lmn_txn_outcome outcome, struct lmn_job_reply *reply);

/** Attempts at a cancellation while the job's record keeps changing. */
enum { LMN_MAX_CANCEL_ATTEMPTS = 5 };

/* --- encoding --- */

/** Encodes a reply's body.
 * @return NULL if the reply has no body */
GByteArray *lmn_job_reply_body(const struct lmn_job_reply *reply, const char *job_id);

#endif
