/* Operators' own settings: set through the administration API, kept in the state service.
 */
#ifndef LMN_CONFIG_OPERATOR_SETTINGS_H
#define LMN_CONFIG_OPERATOR_SETTINGS_H

#include "protocol/cbor.h"

struct lmn_operator_settings {
    double sample;       /* queues asked in a steal; 0: the square root of their number */
    double share;        /* part of the busiest queue that a steal takes */
    double poll_floor_s; /* first interval after a failed steal */
    double poll_cap_s;   /* longest interval */
    double idle_return_s; /* a machine idle for this long is returned */
    double spare_cpus;    /* processors kept beyond the demand */
    double horizon_s;     /* backlog that may be worked off in this time rents nothing */
    double spot;          /* 1: rent spot machines for work that may use them */
    double standby;       /* 1: each partition has a standby that follows its owner */
};

extern const struct lmn_operator_settings lmn_operator_settings_default;
/* Names one setting; NULL past the last. */
const char *lmn_operator_settings_name(size_t i);
/* 0, or -1 with what is wrong in err. */
int lmn_operator_settings_set(struct lmn_operator_settings *settings, const char *name,
                              double value, char *err, size_t len);
double lmn_operator_settings_value(const struct lmn_operator_settings *settings,
                                   size_t i);
GByteArray *lmn_operator_settings_record(const struct lmn_operator_settings *settings);
void lmn_operator_settings_read(struct lmn_operator_settings *settings,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *value);

#endif
