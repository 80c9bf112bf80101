/** @file
 * Creates a controller's shared state and connects its watch cache to the modules that
 * act on owned partitions. */
#ifndef LMN_PARTITION_OWNER_H
#define LMN_PARTITION_OWNER_H

#include "state/core_state.h"

/** Creates the shared state of a controller.
 * @param settings must outlive the returned core
 * @param kv_client must outlive the returned core
 * @param seed the seed of the core's random generator
 * @return the core. A controller process never frees it; simulations and tests free it
 * with lmn_core_free */
struct lmn_core *lmn_core_new(const struct lmn_settings *settings,
                              struct lmn_kv_client *kv_client, uint32_t seed);

#endif
