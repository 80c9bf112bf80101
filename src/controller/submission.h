/** @file
 * A submission: what its body says, and the transaction that accepts its job. No threads
 * and no I/O. */
#ifndef LMN_CONTROLLER_SUBMISSION_H
#define LMN_CONTROLLER_SUBMISSION_H

#include "state/core_state.h"

/** What is wrong with a submission. */
enum lmn_submission_validity {
    LMN_SUBMISSION_VALID,
    LMN_SUBMISSION_NO_ID,     /**< unreadable, or without an id that a job could have */
    LMN_SUBMISSION_MALFORMED, /**< it has an id; a field is missing or invalid */
    LMN_SUBMISSION_TOO_LARGE, /**< no value of the key-value store could hold the job */
};

/** A submission that has been parsed. */
struct lmn_submission {
    struct lmn_job_spec spec; /**< if malformed, of this only the id is to be relied on */
    enum lmn_submission_validity fault;
    const char *spec_error; /**< static text */
};

/** Parses a request's body. To be cleared, whatever its fault. */
void lmn_submission_parse(struct lmn_submission *submission,
                          const struct lmn_settings *settings, const guint8 *body,
                          size_t len);
/** Frees what the submission holds. */
void lmn_submission_clear(struct lmn_submission *submission);

/** The transaction that accepts a job, conditional on its id being unknown: the job's
 * record, and its tasks divided among the partitions as ranges. The core's lock is held.
 * @param accepted_at wall clock time in seconds
 * @param done is called with `arg` when the outcome is known */
struct lmn_txn *lmn_submission_txn(struct lmn_core *core, const struct lmn_job_spec *spec,
                                   double accepted_at, lmn_txn_callback *done, void *arg);

#endif
