/** @file
 * The owner's writes of its ranges to the key-value store: sets of done tasks, closes of
 * finished ranges, and moves to other partitions.
 *
 * Each write is one transaction, conditional on this controller's ownership and on the
 * records as the watch cache shows them. The core's lock is held by the caller
 * throughout, except in the transactions' callbacks, which take it. */
#ifndef LMN_PARTITION_RANGE_WRITER_H
#define LMN_PARTITION_RANGE_WRITER_H

#include "state/core_state.h"

/** Submits the writes of owned partitions that are due: of ranges, machine blocks and
 * quota transfers. */
void lmn_range_writer_flush(struct lmn_core *core, struct timespec now);

#endif
