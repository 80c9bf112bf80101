/**
 * @file
 * Table of all operator settings: names, offsets in the structure and ranges.
 */
#include "config/operator_settings.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

const struct lmn_operator_settings lmn_operator_settings_default = {
    .sample = 0,
    .share = 0.5,
    .poll_floor_s = 0.001,
    .poll_cap_s = 1.0,
    .idle_return_s = 15,
    .spare_cpus = 0,
    .horizon_s = 30,
    .spot = 1,
    .standby = 1,
};

#define OFFSET(member) offsetof(struct lmn_operator_settings, member)

/** The order is the order in the stored record. */
static const struct {
    const char *name;
    size_t offset; /**< of the double in the structure */
    double min, max;
} fields[] = {
    {"sample", OFFSET(sample), 0, 10000},
    {"share", OFFSET(share), 0.01, 1},
    {"poll_floor_s", OFFSET(poll_floor_s), 0.0001, 60},
    {"poll_cap_s", OFFSET(poll_cap_s), 0.001, 600},
    {"idle_return_s", OFFSET(idle_return_s), 1, 86400},
    {"spare_cpus", OFFSET(spare_cpus), 0, 1e6},
    {"horizon_s", OFFSET(horizon_s), 1, 86400},
    {"spot", OFFSET(spot), 0, 1},
    {"standby", OFFSET(standby), 0, 1},
};

#undef OFFSET

const char *lmn_operator_settings_name(size_t index)
{
    return index < G_N_ELEMENTS(fields) ? fields[index].name : NULL;
}

double lmn_operator_settings_value(const struct lmn_operator_settings *settings,
                                   size_t index)
{
    return *(const double *)((const char *)settings + fields[index].offset);
}

int lmn_operator_settings_set(struct lmn_operator_settings *settings, const char *name,
                              double value, char *err, size_t len)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(fields[i].name, name))
            continue;
        /* Written so that a NaN is refused too. */
        if (!(value >= fields[i].min && value <= fields[i].max)) {
            snprintf(err, len, "%s: expected a number from %g to %g, got %g", name,
                     fields[i].min, fields[i].max, value);
            return -1;
        }
        *(double *)((char *)settings + fields[i].offset) = value;
        return 0;
    }
    snprintf(err, len, "%s: no operator setting has this name", name);
    return -1;
}

GByteArray *lmn_operator_settings_record(const struct lmn_operator_settings *settings)
{
    GByteArray *record = g_byte_array_new();

    lmn_cbor_put_map(record, G_N_ELEMENTS(fields));
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        lmn_cbor_put_text(record, fields[i].name);
        lmn_cbor_put_number(record, lmn_operator_settings_value(settings, i));
    }
    return record;
}

void lmn_operator_settings_read(struct lmn_operator_settings *settings,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *record)
{
    char ignored[128];
    double value;

    *settings = lmn_operator_settings_default;
    for (size_t i = 0; record && i < G_N_ELEMENTS(fields); i++)
        if (lmn_cbor_get_number(lmn_cbor_get(document, record, fields[i].name), &value))
            lmn_operator_settings_set(settings, fields[i].name, value, ignored,
                                      sizeof ignored);
}
