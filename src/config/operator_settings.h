/**
 * @file
 * Settings that operators change while the system runs: set through the administration
 * API and kept as one record in the key-value store, from where each controller's watch
 * cache reads them. The settings that a controller gets at its start are in
 * config/settings.h.
 *
 * Plain data; the owner of a copy locks it (in a controller: the lock of struct
 * lmn_core).
 */
#ifndef LMN_CONFIG_OPERATOR_SETTINGS_H
#define LMN_CONFIG_OPERATOR_SETTINGS_H

#include "protocol/cbor.h"

/** The settings. The name of each field is the name of the setting in the API and in the
 * record. All are doubles, so that one table describes them. */
struct lmn_operator_settings {
    double sample; /**< number of queues or partitions that a steal asks for work; 0:
                      twice the square root of the number of queues, and the square root
                      of the number of partitions */
    double share;  /**< share of the victim's queue that a steal takes, 0.01 to 1 */
    double poll_floor_s;  /**< first interval after a failed steal, seconds */
    double poll_cap_s;    /**< longest interval after failed steals, seconds */
    double idle_return_s; /**< idle time after which a machine is released, seconds */
    double spare_cpus;    /**< processors kept provisioned beyond the demand */
    double horizon_s;     /**< a backlog that takes less than this time, seconds, does not
                             cause machines to be provisioned */
    double spot;          /**< 1: provision spot instances for work that may use them */
    double standby;       /**< 1: each partition has a replica on another controller */
};

/** Defaults of the settings that operators have not set. */
extern const struct lmn_operator_settings lmn_operator_settings_default;

/** @return the name of the setting with this index; NULL past the last. */
const char *lmn_operator_settings_name(size_t index);

/** @return the value of the setting with this index, which must exist. */
double lmn_operator_settings_value(const struct lmn_operator_settings *settings,
                                   size_t index);

/**
 * Changes one setting.
 * @param err  on failure: receives "name: error", cut to `len` bytes.
 * @return 0, or -1 if there is no such setting or the value is out of its range.
 */
int lmn_operator_settings_set(struct lmn_operator_settings *settings, const char *name,
                              double value, char *err, size_t len);

/** @return all settings as a CBOR map, the form of the stored record; owned by the
 * caller. */
GByteArray *lmn_operator_settings_record(const struct lmn_operator_settings *settings);

/** Reads a record. A setting that is absent or out of range gets its default, so that a
 * record of another version can be read. @param record may be NULL: all defaults. */
void lmn_operator_settings_read(struct lmn_operator_settings *settings,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *record);

#endif
