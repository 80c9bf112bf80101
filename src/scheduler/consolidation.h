/** @file
 * Consolidation: replicas of services are moved together, so that machines can be
 * returned.
 *
 * Pure functions of the shared state and the time, but for the marks that they set; the
 * caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_CONSOLIDATION_H
#define LMN_SCHEDULER_CONSOLIDATION_H

#include "state/core_state.h"

/** Empties one machine of the partition whose replicas all fit elsewhere, if nothing
 * waits and enough capacity is left: its replicas are stopped, and it is drained. */
void lmn_consolidate_replicas(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now);

#endif
