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

static const struct {
    const char *name;
    size_t at;
    double lo, hi;
} fields[] = {
    {"sample", offsetof(struct lmn_operator_settings, sample), 0, 10000},
    {"share", offsetof(struct lmn_operator_settings, share), 0.01, 1},
    {"poll_floor_s", offsetof(struct lmn_operator_settings, poll_floor_s), 0.0001, 60},
    {"poll_cap_s", offsetof(struct lmn_operator_settings, poll_cap_s), 0.001, 600},
    {"idle_return_s", offsetof(struct lmn_operator_settings, idle_return_s), 1, 86400},
    {"spare_cpus", offsetof(struct lmn_operator_settings, spare_cpus), 0, 1e6},
    {"horizon_s", offsetof(struct lmn_operator_settings, horizon_s), 1, 86400},
    {"spot", offsetof(struct lmn_operator_settings, spot), 0, 1},
    {"standby", offsetof(struct lmn_operator_settings, standby), 0, 1},
};

const char *lmn_operator_settings_name(size_t i)
{
    return i < G_N_ELEMENTS(fields) ? fields[i].name : NULL;
}

double lmn_operator_settings_value(const struct lmn_operator_settings *settings, size_t i)
{
    return *(const double *)((const char *)settings + fields[i].at);
}

int lmn_operator_settings_set(struct lmn_operator_settings *settings, const char *name,
                              double value, char *err, size_t len)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(fields[i].name, name))
            continue;
        if (!(value >= fields[i].lo && value <= fields[i].hi)) {
            snprintf(err, len, "%s: expected a number from %g to %g", name, fields[i].lo,
                     fields[i].hi);
            return -1;
        }
        *(double *)((char *)settings + fields[i].at) = value;
        return 0;
    }
    snprintf(err, len, "%s: no such setting", name);
    return -1;
}

GByteArray *lmn_operator_settings_record(const struct lmn_operator_settings *settings)
{
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, G_N_ELEMENTS(fields));
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        lmn_cbor_put_text(buffer, fields[i].name);
        lmn_cbor_put_number(buffer, lmn_operator_settings_value(settings, i));
    }
    return buffer;
}

void lmn_operator_settings_read(struct lmn_operator_settings *settings,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *value)
{
    char err[128];
    double v;

    *settings = lmn_operator_settings_default;
    for (size_t i = 0; value && i < G_N_ELEMENTS(fields); i++)
        if (lmn_cbor_get_number(lmn_cbor_get(document, value, fields[i].name), &v))
            lmn_operator_settings_set(settings, fields[i].name, v, err, sizeof err);
}
