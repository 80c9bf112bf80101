/** @file
 * The records of a partition's machines in the key-value store. A record, called a block,
 * contains many machines.
 *
 * A machine must be recorded before the first task starts on it, so that a successor
 * knows that it has to probe the machine. One write per machine would use up the store's
 * write limit when hundreds of machines boot together. So the machines are grouped into
 * blocks, and all additions and removals since a block's last write are written at once.
 * The caller holds the core's lock. */
#ifndef LMN_PARTITION_MACHINE_BLOCK_H
#define LMN_PARTITION_MACHINE_BLOCK_H

#include "state/core_state.h"

/** Applies a block's record from the watch cache to the partition's machines.
 * @param value the record in `document`; NULL if the record was removed */
void lmn_machine_block_apply(struct lmn_core *core, struct lmn_partition *partition,
                             unsigned long id, const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *value, uint64_t revision,
                             struct timespec now);

/** Removes the machines of blocks that the last complete listing of the store did not
 * contain. */
void lmn_machine_blocks_remove_unlisted(struct lmn_core *core,
                                        struct lmn_partition *partition,
                                        struct timespec now);

/** Clears the state of writes in flight and of write intervals. Called when the partition
 * is acquired: any write in flight is from an earlier ownership. */
void lmn_machine_blocks_reset_writes(struct lmn_partition *partition);

/** Writes the blocks with machines to add or remove.
 * @param has_spare_writes whether to write blocks that have only removals, which are not
 * urgent */
void lmn_machine_blocks_flush(struct lmn_core *core, struct lmn_partition *partition,
                              bool has_spare_writes, struct timespec now);

#endif
