/** @file
 * Consolidation: moves replicas of services to fewer machines, so that the others can be
 * returned to the cloud.
 *
 * Depends only on the core's state and the time. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_CONSOLIDATION_H
#define LMN_SCHEDULER_CONSOLIDATION_H

#include "state/core_state.h"

/** Chooses a machine of the partition whose replicas all fit on other machines, marks its
 * replicas to be stopped, and drains it. Does nothing while tasks wait, or if too little
 * capacity would stay free. */
void lmn_consolidate_replicas(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now);

#endif
