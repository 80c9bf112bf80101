/** @file
 * What users are told: decisions as pure functions of the shared state, a time and a
 * random source, without HTTP, threads or I/O. Functions that take the core are to be
 * called with its lock.
 *
 * Each reply is true at an instant between the arrival of its request and its sending, or
 * it is final. Final states are told from the watch cache, for they never change. All
 * else is confirmed first: a view of the watch cache is taken after the request has
 * arrived, a transaction of conditions alone asks the key-value store whether its
 * revision is still the latest, and what that does not confirm is read.
 * docs/design/failover.md has the argument for each path. */
#ifndef LMN_CONTROLLER_REQUEST_DECISIONS_H
#define LMN_CONTROLLER_REQUEST_DECISIONS_H

#include "controller/submission.h"
#include "state/core_state.h"

/** The next step for a request. */
enum lmn_request_step {
    LMN_STEP_REPLY,   /**< respond now */
    LMN_STEP_CONFIRM, /**< respond with the job's state once it is confirmed */
    LMN_STEP_CANCEL,  /**< read the job and write its cancellation */
    LMN_STEP_COMMIT,  /**< write the submission */
};

/** A reply to a user. */
struct lmn_job_reply {
    int status;        /**< of HTTP */
    int retry_after;   /**< seconds; 0: none */
    const char *error; /**< what is wrong with the request; NULL: nothing */
    bool includes_job; /**< the fields that follow are part of the reply */
    enum lmn_job_phase phase;
    uint32_t done, running; /**< tasks, as far as this controller knows */
};

/** What to do about a request. */
struct lmn_request_decision {
    enum lmn_request_step step;
    struct lmn_job_reply reply; /**< of LMN_STEP_REPLY */
    int absent_status;          /**< of other steps: the status if there is no such job */
};

/* --- first decisions, when a request has arrived --- */

/** Decides on a request for a job's state. */
struct lmn_request_decision lmn_decide_status(struct lmn_core *core, const char *job_id,
                                              struct timespec now);
/** Decides on a request to cancel a job. */
struct lmn_request_decision lmn_decide_cancel(struct lmn_core *core, const char *job_id);
/** Decides on a submission that has been parsed. */
struct lmn_request_decision lmn_decide_submission(struct lmn_core *core,
                                                  const struct lmn_submission *submission,
                                                  struct timespec now);
/** Decides on a submission whose transaction has that outcome. */
struct lmn_request_decision lmn_decide_commit_outcome(enum lmn_txn_outcome outcome);

/** The next step for a submission whose transaction has no outcome yet. */
enum lmn_pending_submission_step {
    LMN_PENDING_WAIT,
    LMN_PENDING_CONFIRM, /**< the watch cache shows the job: its state is to be confirmed
                          */
    LMN_PENDING_RESEND,  /**< send the transaction once more */
};

/** Seconds without an outcome after which a submission is checked. */
#define LMN_PENDING_CHECK_DELAY_S 0.05

/** Decides on a submission that has waited since then.
 * @param is_resent its transaction was sent twice already */
enum lmn_pending_submission_step
lmn_decide_pending_submission(const struct lmn_core *core, const char *job_id,
                              struct timespec submitted_at, bool is_resent,
                              struct timespec now);

/* --- confirmations --- */

/** What the watch cache shows of a job. */
struct lmn_job_view {
    char job_id[LMN_JOB_ID_SIZE];
    uint64_t revision; /**< of the job's record; 0: there is none */
    struct lmn_job_reply reply;
};

/** What a confirmation says of a view. */
enum lmn_confirmation_result {
    LMN_CONFIRMATION_LATEST,   /**< the view was the latest when the store evaluated it */
    LMN_CONFIRMATION_OUTDATED, /**< there is a later record: it has to be read */
    LMN_CONFIRMATION_UNKNOWN,  /**< nothing */
};

/** Takes a view of a job, which need not exist. */
void lmn_job_view_from_cache(const struct lmn_core *core, const char *job_id,
                             struct lmn_job_view *view);
/** The transaction that confirms the views: conditions alone. To be freed. */
struct lmn_txn *lmn_confirmation_txn(const struct lmn_job_view *views, guint count);
/** What that transaction's outcome says of one of the views.
 * @param failed_keys the keys whose condition did not hold */
enum lmn_confirmation_result lmn_job_view_confirmation(const struct lmn_job_view *view,
                                                       enum lmn_txn_outcome outcome,
                                                       const GPtrArray *failed_keys);
/** The reply of a view that was confirmed, or of a later one: the watch cache may have
 * moved on while the outcome was on its way. */
struct lmn_job_reply lmn_job_reply_confirmed(const struct lmn_core *core,
                                             const struct lmn_job_view *view,
                                             int absent_status);
/** The reply when nothing is known: the user is to try again. */
struct lmn_job_reply lmn_job_reply_unavailable(void);

/* --- reading, and cancelling --- */

/** A job's record as it was read from the key-value store. */
struct lmn_job_read_result {
    int status;        /**< 200: the record was read; 404: there is none; else: unknown */
    uint64_t revision; /**< this, and what follows: with 200 only */
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open_ranges;
    double accepted_at_s;
};

/** Reads the key-value store's response. To be cleared, whatever its status.
 * @param status of HTTP, or LMN_HTTP_NO_RESPONSE */
void lmn_job_read_result_parse(struct lmn_job_read_result *reading, int status,
                               const guint8 *body, size_t len);
/** Frees what the reading holds. */
void lmn_job_read_result_clear(struct lmn_job_read_result *reading);
/** The reply of a job's reading. */
struct lmn_job_reply
lmn_job_reply_from_read_result(const struct lmn_core *core, const char *job_id,
                               const struct lmn_job_read_result *reading,
                               int absent_status);

/** The transaction that cancels an active job, conditional on the revision that was read.
 * @return NULL if there is nothing to cancel: then *reply is final */
struct lmn_txn *lmn_cancellation_txn(const char *job_id,
                                     const struct lmn_job_read_result *reading,
                                     int absent_status, struct lmn_job_reply *reply);
/** Fills *reply by the outcome of the cancellation's transaction.
 * @return false if the job has changed: it has to be read again */
bool lmn_cancellation_is_final(enum lmn_txn_outcome outcome, struct lmn_job_reply *reply);

/** How often a cancellation is tried while others change the job. */
enum { LMN_MAX_CANCEL_ATTEMPTS = 5 };

/* --- on the wire --- */

/** Encodes a reply's body.
 * @return NULL if it has none */
GByteArray *lmn_job_reply_body(const struct lmn_job_reply *reply, const char *job_id);

#endif
