/* Replicas moved together. The core's lock is held by the caller throughout. */
#ifndef LMN_SCHEDULER_CONSOLIDATION_H
#define LMN_SCHEDULER_CONSOLIDATION_H

#include "state/core_state.h"

/* Empties a machine whose replicas have room elsewhere. */
void lmn_consolidate_replicas(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now);

#endif
