/** @file
 * Writes the ranges of owned partitions to the key-value store: which of their tasks are
 * done, the removal of finished ranges, and moves of tasks to other partitions.
 *
 * Each write is one transaction, conditional on this controller's ownership and on the
 * revisions of the records in the watch cache. The core's lock is held by the caller
 * throughout, except in the transactions' callbacks, which take it. */
#ifndef LMN_PARTITION_RANGE_WRITER_H
#define LMN_PARTITION_RANGE_WRITER_H

#include "state/core_state.h"

/** Submits all writes of owned partitions that are due: those of ranges, of machine
 * blocks and of quota transfers. */
void lmn_range_writer_flush(struct lmn_core *core, struct timespec now);

#endif
