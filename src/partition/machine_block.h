/* The records of machines. The core's lock is held by the caller throughout. */
#ifndef LMN_PARTITION_MACHINE_BLOCK_H
#define LMN_PARTITION_MACHINE_BLOCK_H

#include "state/core_state.h"

/* A block's record as the mirror shows it; v NULL: removed. */
void lmn_machine_block_apply(struct lmn_core *core, struct lmn_partition *partition,
                             unsigned long id, const struct lmn_cbor_document *document,
                             const struct lmn_cbor_value *value, uint64_t revision,
                             struct timespec now);
void lmn_machine_block_sweep(struct lmn_core *core, struct lmn_partition *partition,
                             struct timespec now);
/* No write of ours is under way any more. */
void lmn_machine_blocks_reset(struct lmn_partition *partition);
/* Writes the blocks that machines have come to or gone from; lazy: there is budget to
 * spare. */
void lmn_machine_blocks_flush(struct lmn_core *core, struct lmn_partition *partition,
                              bool lazy, struct timespec now);

#endif
