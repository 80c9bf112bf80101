/** @file
 * Encoding of jobs and ranges as records of the key-value store (state/record_keys.h).
 * Pure functions; the caller owns the buffers that they return. */
#ifndef LMN_RECORDS_H
#define LMN_RECORDS_H

#include "state/core_state.h"

/** Encodes a job's record.
 *
 * @param open_ranges    number of the job's ranges that are not closed yet (state/job.h)
 * @param accepted_at_s  time of day at which the job was accepted */
GByteArray *lmn_job_record_encode(const struct lmn_job_spec *spec,
                                  enum lmn_job_phase phase, uint32_t open_ranges,
                                  double accepted_at_s);

/** Decodes a job's record. The caller has to clear `spec`, even after a failure.
 *
 * @return 0, or -1 if the value is not a valid job record */
int lmn_job_record_decode(const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, struct lmn_job_spec *spec,
                          enum lmn_job_phase *phase, uint32_t *open_ranges,
                          double *accepted_at_s);

/** Encodes a range's record.
 *
 * @param done  bit set of the tasks that are done; one bit for each task of the range */
GByteArray *lmn_range_record_encode(const struct lmn_range *range, const uint8_t *done);

#endif
