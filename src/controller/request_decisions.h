/* What users are told: decisions as pure functions of the shared state, a time and a
 * random source, without HTTP, threads or I/O. Functions that take the core are to be
 * called with its lock.
 *
 * Each reply is true at an instant between the arrival of its request and its sending, or
 * it is final. Final states are told from the mirror. All else is confirmed first: a view
 * of the mirror is taken after the request has arrived, a transaction of conditions alone
 * asks the state service whether its revision is still the latest, and what that does not
 * confirm is read. docs/design/failover.md has the argument for each path. */
#ifndef LMN_CONTROLLER_REQUEST_DECISIONS_H
#define LMN_CONTROLLER_REQUEST_DECISIONS_H

#include "controller/submission.h"
#include "state/core_state.h"

/* What is to be done about a request. */
enum lmn_request_step {
    LMN_STEP_REPLY,   /* it is answered now */
    LMN_STEP_CONFIRM, /* the job's state is told once it is confirmed */
    LMN_STEP_CANCEL,  /* the job is read, and its cancellation written */
    LMN_STEP_COMMIT,  /* the submission is written */
};

struct lmn_job_reply {
    int status;
    int retry_after;   /* seconds; 0: none */
    const char *error; /* what is wrong with the request; NULL: nothing to say */
    bool shows_job;    /* the state that follows is told */
    enum lmn_job_phase phase;
    uint32_t done, running; /* tasks, as far as this node knows */
};

struct lmn_request_decision {
    enum lmn_request_step step;
    struct lmn_job_reply reply; /* of LMN_STEP_REPLY */
    int absent_status;          /* of the others: the status if there is no such job */
};

/* --- first decisions, when a request has arrived --- */

struct lmn_request_decision lmn_decide_status(struct lmn_core *core, const char *job_id,
                                              struct timespec now);
struct lmn_request_decision lmn_decide_cancel(struct lmn_core *core, const char *job_id);
struct lmn_request_decision lmn_decide_submission(struct lmn_core *core,
                                                  const struct lmn_submission *submission,
                                                  struct timespec now);
/* Once the outcome of a submission's transaction is known. */
struct lmn_request_decision lmn_decide_submitted(enum lmn_txn_outcome outcome);

/* What is due for a submission whose transaction has no answer yet. */
enum lmn_pending_submission_step {
    LMN_PENDING_WAIT,
    LMN_PENDING_CONFIRM, /* the mirror shows the job: its state is to be confirmed */
    LMN_PENDING_RESEND,  /* the transaction is sent once more */
};

/* Seconds without an answer after which a submission is looked at. */
#define LMN_PENDING_CHECK_DELAY_S 0.05

/* resent: it was sent twice already. */
enum lmn_pending_submission_step
lmn_decide_pending_submission(const struct lmn_core *core, const char *job_id,
                              struct timespec since, bool resent, struct timespec now);

/* --- confirmations --- */

/* What the mirror shows of a job. */
struct lmn_job_view {
    char job_id[LMN_JOB_ID_SIZE];
    uint64_t revision; /* of the job's record; 0: there is none */
    struct lmn_job_reply reply;
};

enum lmn_confirmation_result {
    LMN_CONFIRMED_LATEST,   /* the view was the latest when the state service looked */
    LMN_CONFIRMED_OUTDATED, /* there is a later one: it has to be read */
    LMN_CONFIRMED_NOTHING,  /* nobody knows */
};

void lmn_job_view_take(const struct lmn_core *core, const char *job_id,
                       struct lmn_job_view *view);
/* The transaction that confirms the views: conditions alone. */
struct lmn_txn *lmn_confirmation_txn(const struct lmn_job_view *view, guint n);
/* What its outcome says of one of them; failed: the keys whose condition did not hold. */
enum lmn_confirmation_result lmn_job_view_confirmed(const struct lmn_job_view *view,
                                                    enum lmn_txn_outcome outcome,
                                                    const GPtrArray *failed);
/* The reply of a view that was confirmed, or of what became of it since: the mirror may
 * have moved on while the answer was on its way. */
struct lmn_job_reply lmn_job_reply_confirmed(const struct lmn_core *core,
                                             const struct lmn_job_view *view,
                                             int absent_status);
struct lmn_job_reply lmn_job_reply_unavailable(void);

/* --- reading, and cancelling --- */

/* A job's record as read from the state service. */
struct lmn_job_reading {
    int status;        /* 200: the record was read; 404: there is none; else: unknown */
    uint64_t revision; /* all of this with 200 only */
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open_ranges;
    double accepted_at_s;
};

/* Of an answer of the state service; to be cleared. */
void lmn_job_reading_parse(struct lmn_job_reading *reading, int status,
                           const guint8 *body, size_t len);
void lmn_job_reading_clear(struct lmn_job_reading *reading);
struct lmn_job_reply lmn_job_reply_from_reading(const struct lmn_core *core,
                                                const char *job_id,
                                                const struct lmn_job_reading *reading,
                                                int absent_status);

/* The transaction that cancels an active job, conditional on the revision that was read;
 * NULL: there is nothing to cancel, and *reply is the answer. */
struct lmn_txn *lmn_cancellation_txn(const char *job_id,
                                     const struct lmn_job_reading *reading,
                                     int absent_status, struct lmn_job_reply *reply);
/* Whether *reply is the answer now; else the job has changed, and is read again. */
bool lmn_cancellation_is_settled(enum lmn_txn_outcome outcome,
                                 struct lmn_job_reply *reply);

/* A cancellation is tried so often while others change the job. */
enum { LMN_CANCEL_TRIES = 5 };

/* --- on the wire --- */

/* The reply's body; NULL: none. */
GByteArray *lmn_job_reply_body(const struct lmn_job_reply *reply, const char *job_id);

#endif
