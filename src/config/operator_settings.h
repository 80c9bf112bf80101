/**
 * @file
 * Settings that operators change while the system runs: set through the administration
 * API and kept as one record in the key-value store, from where each controller's watch
 * cache reads them. The settings that a controller gets at its start are in
 * config/settings.h.
 *
 * Plain data; whoever holds a copy locks it (a controller: struct lmn_core with its
 * lock).
 */
#ifndef LMN_CONFIG_OPERATOR_SETTINGS_H
#define LMN_CONFIG_OPERATOR_SETTINGS_H

#include "protocol/cbor.h"

/** The settings; each field's name is the setting's name in the API and in the record.
 * All are doubles, so that one table describes them. */
struct lmn_operator_settings {
    double sample; /**< queues, or partitions, that a thief asks; 0: twice the square root
                      of the queues, the square root of the partitions */
    double share;  /**< share of the victim's queue that a steal takes, 0.01 to 1 */
    double poll_floor_s;  /**< first interval after a failed steal, seconds */
    double poll_cap_s;    /**< longest interval after failed steals, seconds */
    double idle_return_s; /**< a machine idle for so many seconds is released */
    double spare_cpus;    /**< processors kept beyond the demand */
    double horizon_s; /**< a backlog that takes less than so many seconds provisions no
                           machines */
    double spot;      /**< 1: provision spot instances for work that may use them */
    double standby;   /**< 1: each partition has a replica on another controller */
};

/** Taken for what operators have not set. */
extern const struct lmn_operator_settings lmn_operator_settings_default;

/** @return the name of the setting with this index; NULL past the last. */
const char *lmn_operator_settings_name(size_t index);

/** @return the value of the setting with this index, which must exist. */
double lmn_operator_settings_value(const struct lmn_operator_settings *settings,
                                   size_t index);

/**
 * Changes one setting.
 * @param err  on failure: "name: what", cut to `len` bytes.
 * @return 0, or -1 if there is no such setting or the value is out of its range.
 */
int lmn_operator_settings_set(struct lmn_operator_settings *settings, const char *name,
                              double value, char *err, size_t len);

/** @return all settings as a CBOR map, the form of the stored record; the caller's. */
GByteArray *lmn_operator_settings_record(const struct lmn_operator_settings *settings);

/** Reads a record. A setting that is absent or out of range gets its default, so that a
 * record of another version can be read. @param record may be NULL: all defaults. */
void lmn_operator_settings_read(struct lmn_operator_settings *settings,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *record);

#endif
