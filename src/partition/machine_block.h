/** @file
 * The records of a partition's machines in the key-value store, many machines to a block.
 *
 * Before the first start on a machine its record must stand, so that a successor knows
 * that it has to probe the machine. A write for each machine would take all the writes
 * that the store grants when hundreds of machines come up together; so they share blocks,
 * and what comes or goes between two writes of a block shares the next one. The core's
 * lock is held by the caller throughout. */
#ifndef LMN_PARTITION_MACHINE_BLOCK_H
#define LMN_PARTITION_MACHINE_BLOCK_H

#include "state/core_state.h"

/** Applies a block's record as the watch cache shows it; value NULL: it was removed. */
void lmn_machine_block_apply(struct lmn_core *core, struct lmn_partition *partition,
                             unsigned long id, const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *value, uint64_t revision,
                             struct timespec now);

/** After a whole listing: removes the machines of blocks that it did not name. */
void lmn_machine_blocks_remove_unlisted(struct lmn_core *core,
                                        struct lmn_partition *partition,
                                        struct timespec now);

/** Forgets writes in flight: the partition was acquired, and none is ours any more. */
void lmn_machine_blocks_reset_writes(struct lmn_partition *partition);

/** Writes the blocks that machines have come to or gone from.
 * @param has_spare_writes removals alone are written only then: they are not urgent */
void lmn_machine_blocks_flush(struct lmn_core *core, struct lmn_partition *partition,
                              bool has_spare_writes, struct timespec now);

#endif
