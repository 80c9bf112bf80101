/* A submission: what its body says, and the transaction that accepts it. No threads and
 * no I/O; lmn_submission_txn is to be called with the core's lock. */
#ifndef LMN_CONTROLLER_SUBMISSION_H
#define LMN_CONTROLLER_SUBMISSION_H

#include "state/core_state.h"

enum lmn_submission_fault {
    LMN_SUBMISSION_VALID,
    LMN_SUBMISSION_NO_ID,     /* unreadable, or without an id that could be known */
    LMN_SUBMISSION_MALFORMED, /* it names an id; a field is missing or invalid */
    LMN_SUBMISSION_TOO_LARGE, /* no value of the state service could hold it */
};

struct lmn_submission {
    struct lmn_job_spec spec; /* MALFORMED: of this the id alone can be relied on */
    enum lmn_submission_fault fault;
    const char *field_at_fault; /* the field at fault */
};

/* Reads a request's body. To be cleared, whatever its fault. */
void lmn_submission_parse(struct lmn_submission *submission,
                          const struct lmn_settings *settings, const guint8 *body,
                          size_t len);
void lmn_submission_clear(struct lmn_submission *submission);

/* The transaction that accepts the job, conditional on its id being unknown: the job's
 * record, and its tasks parted among the partitions. */
struct lmn_txn *lmn_submission_txn(struct lmn_core *core, const struct lmn_job_spec *spec,
                                   double accepted_at, lmn_txn_callback *done, void *arg);

#endif
