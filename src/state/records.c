/* Records as the state service keeps them. */
#include "state/records.h"

#include <string.h>

GByteArray *lmn_job_record(const struct lmn_job_spec *spec, enum lmn_job_phase phase,
                           uint32_t open, double at)
{
    GByteArray *buffer = g_byte_array_sized_new(512);
    lmn_cbor_put_map(buffer, lmn_job_spec_pair_count() + 3);
    lmn_job_spec_write(buffer, spec);
    lmn_cbor_put_text(buffer, "phase"), lmn_cbor_put_uint(buffer, phase);
    lmn_cbor_put_text(buffer, "open"), lmn_cbor_put_uint(buffer, open);
    lmn_cbor_put_text(buffer, "at"), lmn_cbor_put_number(buffer, at);
    return buffer;
}

int lmn_job_read(const struct lmn_cbor_document *document,
                 const struct lmn_cbor_value *value, struct lmn_job_spec *spec,
                 enum lmn_job_phase *phase, uint32_t *open, double *at)
{
    const char *what;
    uint64_t ph, op;

    if (lmn_job_spec_parse(spec, document, value, &what) != 0)
        return -1;
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, value, "phase"), &ph) ||
        ph > LMN_JOB_CANCELLED ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, value, "open"), &op) ||
        !lmn_cbor_get_number(lmn_cbor_get(document, value, "at"), at))
        return -1;
    *phase = (enum lmn_job_phase)ph;
    *open = (uint32_t)op;
    return 0;
}

GByteArray *lmn_range_record(const struct lmn_range *range, const uint8_t *done)
{
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, 2);
    lmn_cbor_put_text(buffer, "hi"), lmn_cbor_put_uint(buffer, range->end);
    lmn_cbor_put_text(buffer, "done"),
        lmn_bitset_write(buffer, done, range->end - range->first);
    return buffer;
}
