/** @file
 * Makes a controller's shared state: the watch cache with the owner's modules behind it.
 * A process, or a test, starts with this. */
#ifndef LMN_PARTITION_OWNER_H
#define LMN_PARTITION_OWNER_H

#include "state/core_state.h"

/** The shared state of a controller.
 * @param settings must outlive it
 * @param kv_client must outlive it
 * @param seed of its random source
 * @return is never freed */
struct lmn_core *lmn_core_new(const struct lmn_settings *settings,
                              struct lmn_kv_client *kv_client, uint32_t seed);

#endif
