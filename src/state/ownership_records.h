/** @file
 * Applies a partition's records of its owner, its epoch and its standby to the watch
 * cache. Only state/watch_cache.c calls these; the core's lock is held. */
#ifndef LMN_STATE_OWNERSHIP_RECORDS_H
#define LMN_STATE_OWNERSHIP_RECORDS_H

#include "state/core_state.h"
#include "state/record_change.h"

/** Applies the record of who owns the partition. */
void lmn_owner_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change);

/** Applies the record of the partition's epoch, which only rises. */
void lmn_epoch_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                            const struct lmn_record_change *change);

/** Applies the record of the partition's standby. */
void lmn_standby_record_apply(struct lmn_core *core, struct lmn_partition *partition,
                              const struct lmn_record_change *change);

/** After a listing: if it named no owner of the partition, the owner's record was
 * removed.
 */
void lmn_owner_record_sweep(struct lmn_core *core, struct lmn_partition *partition,
                            struct timespec now);

#endif
