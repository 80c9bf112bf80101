/* How jobs and ranges are written in the state service. Pure; what they return is the
 * caller's. */
#ifndef LMN_RECORDS_H
#define LMN_RECORDS_H

#include "state/core_state.h"

GByteArray *lmn_job_record(const struct lmn_job_spec *spec, enum lmn_job_phase phase,
                           uint32_t open, double at);
/* Reads a job's record; -1 if it is none. The spec is the caller's to clear. */
int lmn_job_read(const struct lmn_cbor_document *document,
                 const struct lmn_cbor_value *value, struct lmn_job_spec *spec,
                 enum lmn_job_phase *phase, uint32_t *open, double *at);
GByteArray *lmn_range_record(const struct lmn_range *range, const uint8_t *done);

#endif
