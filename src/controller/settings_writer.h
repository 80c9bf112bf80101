/** @file
 * Writes the operator settings (config/operator_settings.h) to the key-value store.
 *
 * The settings in force are not changed here: every controller, including this one, reads
 * them from its watch cache, so that all controllers use the same record. */
#ifndef LMN_CONTROLLER_SETTINGS_WRITER_H
#define LMN_CONTROLLER_SETTINGS_WRITER_H

#include "state/core_state.h"

/** Sets one operator setting in the store's record and waits for the outcome.
 *
 * Blocks on the network; must be called without the core's lock, which it takes.
 * @param error receives the error text on failure
 * @return 0, or -1 if the setting is invalid or the record was not written */
int lmn_operator_settings_write(struct lmn_core *core, const char *name, double value,
                                char *error, size_t error_size);

#endif
