/* A controller's books over its mirror: what a process, or a test, starts with. */
#ifndef LMN_PARTITION_OWNER_H
#define LMN_PARTITION_OWNER_H

#include "state/core_state.h"

/* The shared state with an owner's books behind the mirror. cfg and state must outlive
 * it; it is never freed. seed: of its random source. */
struct lmn_core *lmn_core_new(const struct lmn_settings *settings,
                              struct lmn_kv_client *state, uint32_t seed);

#endif
