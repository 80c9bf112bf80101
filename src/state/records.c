/** @file
 * Encoding of job and range records: see state/records.h. Running clusters have stored
 * the field names: they must not change. */
#include "state/records.h"

enum { INITIAL_JOB_RECORD_BYTES = 512 };

GByteArray *lmn_job_record_encode(const struct lmn_job_spec *spec,
                                  enum lmn_job_phase phase, uint32_t open_ranges,
                                  double accepted_at_s)
{
    GByteArray *buffer = g_byte_array_sized_new(INITIAL_JOB_RECORD_BYTES);

    lmn_cbor_put_map(buffer, lmn_job_spec_pair_count() + 3);
    lmn_job_spec_write(buffer, spec);
    lmn_cbor_put_text(buffer, "phase");
    lmn_cbor_put_uint(buffer, phase);
    lmn_cbor_put_text(buffer, "open");
    lmn_cbor_put_uint(buffer, open_ranges);
    lmn_cbor_put_text(buffer, "at");
    lmn_cbor_put_number(buffer, accepted_at_s);
    return buffer;
}

int lmn_job_record_decode(const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, struct lmn_job_spec *spec,
                          enum lmn_job_phase *phase, uint32_t *open_ranges,
                          double *accepted_at_s)
{
    const char *reason;
    uint64_t phase_number, open_count;

    if (lmn_job_spec_parse(spec, document, value, &reason) != 0)
        return -1;
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, value, "phase"), &phase_number) ||
        phase_number > LMN_JOB_CANCELLED ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, value, "open"), &open_count) ||
        !lmn_cbor_get_number(lmn_cbor_get(document, value, "at"), accepted_at_s))
        return -1;
    *phase = (enum lmn_job_phase)phase_number;
    *open_ranges = (uint32_t)open_count;
    return 0;
}

GByteArray *lmn_range_record_encode(const struct lmn_range *range, const uint8_t *done)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 2);
    lmn_cbor_put_text(buffer, "hi");
    lmn_cbor_put_uint(buffer, range->end);
    lmn_cbor_put_text(buffer, "done");
    lmn_bitset_write(buffer, done, range->end - range->first);
    return buffer;
}
