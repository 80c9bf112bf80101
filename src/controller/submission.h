/** @file
 * Parses the body of a submission, and makes the transaction that accepts its job. No
 * threads and no I/O. */
#ifndef LMN_CONTROLLER_SUBMISSION_H
#define LMN_CONTROLLER_SUBMISSION_H

#include "state/core_state.h"

/** Whether a submission is valid, and if not, why. */
enum lmn_submission_validity {
    LMN_SUBMISSION_VALID,
    LMN_SUBMISSION_NO_ID,     /**< not CBOR, or without a valid job id */
    LMN_SUBMISSION_MALFORMED, /**< has a valid id; another field is missing or invalid */
    LMN_SUBMISSION_TOO_LARGE, /**< the job's record exceeds the store's value size */
};

/** A parsed submission. */
struct lmn_submission {
    struct lmn_job_spec spec; /**< if malformed, only the id is valid */
    enum lmn_submission_validity validity;
    const char *spec_error; /**< name of the invalid field, or "not CBOR"; static text */
};

/** Parses a request's body.
 * @param submission to be freed with lmn_submission_clear, whatever its validity */
void lmn_submission_parse(struct lmn_submission *submission,
                          const struct lmn_settings *settings, const guint8 *body,
                          size_t len);
/** Frees the submission's members. */
void lmn_submission_clear(struct lmn_submission *submission);

/** Makes the transaction that accepts a job: it requires that no job with this id exists,
 * and writes the job's record and the records of the ranges into which its tasks are
 * divided among the partitions. Called with the core's lock held.
 * @param accepted_at wall clock time in seconds
 * @param done called with `arg` when the outcome is known */
struct lmn_txn *lmn_submission_txn(struct lmn_core *core, const struct lmn_job_spec *spec,
                                   double accepted_at, lmn_txn_callback *done, void *arg);

#endif
