/* Records as the state service keeps them. */
#include "state/records.h"

#include <string.h>

GByteArray *lmn_job_record(const struct lmn_job_spec *s, enum lmn_job_phase phase,
                           uint32_t open, double at)
{
    GByteArray *b = g_byte_array_sized_new(512);
    lmn_cbor_put_map(b, lmn_job_spec_pair_count() + 3);
    lmn_job_spec_write(b, s);
    lmn_cbor_put_text(b, "phase"), lmn_cbor_put_uint(b, phase);
    lmn_cbor_put_text(b, "open"), lmn_cbor_put_uint(b, open);
    lmn_cbor_put_text(b, "at"), lmn_cbor_put_number(b, at);
    return b;
}

int lmn_job_read(const struct lmn_cbor_document *doc, const struct lmn_cbor_value *value,
                 struct lmn_job_spec *s, enum lmn_job_phase *phase, uint32_t *open,
                 double *at)
{
    const char *what;
    uint64_t ph, op;

    if (lmn_job_spec_parse(s, doc, value, &what) != 0)
        return -1;
    if (!lmn_cbor_get_uint(lmn_cbor_get(doc, value, "phase"), &ph) ||
        ph > LMN_JOB_CANCELLED ||
        !lmn_cbor_get_uint(lmn_cbor_get(doc, value, "open"), &op) ||
        !lmn_cbor_get_number(lmn_cbor_get(doc, value, "at"), at))
        return -1;
    *phase = (enum lmn_job_phase)ph;
    *open = (uint32_t)op;
    return 0;
}

GByteArray *lmn_range_record(const struct lmn_range *r, const uint8_t *done)
{
    GByteArray *b = g_byte_array_new();
    lmn_cbor_put_map(b, 2);
    lmn_cbor_put_text(b, "hi"), lmn_cbor_put_uint(b, r->hi);
    lmn_cbor_put_text(b, "done"), lmn_bitset_write(b, done, r->hi - r->lo);
    return b;
}
