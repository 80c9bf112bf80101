/** @file
 * Writes the operator settings (config/operator_settings.h) to the key-value store.
 *
 * The settings that are in force are not changed here: every controller takes them from
 * its watch cache, so that all of them follow the same record. */
#ifndef LMN_CONTROLLER_SETTINGS_WRITER_H
#define LMN_CONTROLLER_SETTINGS_WRITER_H

#include "state/core_state.h"

/** Sets one operator setting in the store's record and waits for the outcome.
 *
 * Blocks on the network; to be called without the core's lock.
 * @param error what is wrong, if it fails
 * @return 0, or -1 if the setting is invalid or the record was not written */
int lmn_operator_settings_write(struct lmn_core *core, const char *name, double value,
                                char *error, size_t error_size);

#endif
