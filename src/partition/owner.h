/** @file
 * Creates a controller's shared state and connects its watch cache to the modules that
 * act on owned partitions. */
#ifndef LMN_PARTITION_OWNER_H
#define LMN_PARTITION_OWNER_H

#include "state/core_state.h"

/** Creates the shared state of a controller.
 * @param settings must outlive it
 * @param kv_client must outlive it
 * @param seed of its random generator
 * @return never freed by a controller process; simulations and tests use lmn_core_free */
struct lmn_core *lmn_core_new(const struct lmn_settings *settings,
                              struct lmn_kv_client *kv_client, uint32_t seed);

#endif
