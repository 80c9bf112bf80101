/** @file
 * Applies a partition's owner, epoch and standby records to the watch cache. Called by
 * state/watch_cache.c only, with the core's lock held. */
#ifndef LMN_STATE_OWNERSHIP_RECORDS_H
#define LMN_STATE_OWNERSHIP_RECORDS_H

#include "state/core_state.h"
#include "state/record_change.h"

/** Applies the partition's owner record. */
void lmn_owner_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change);

/** Applies the partition's epoch record; epochs never decrease. */
void lmn_epoch_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change);

/** Applies the partition's standby record. */
void lmn_standby_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                              const struct lmn_record_change *change);

/** After a listing: removes the partition's owner if the listing did not contain its
 * owner record. */
void lmn_owner_record_sweep(struct lmn_core *core, struct lmn_partition *partition,
                            struct timespec now);

#endif
