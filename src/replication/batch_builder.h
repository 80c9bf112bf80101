/** @file
 * Builds a stream's next batch from the machines that have changed. The caller holds the
 * core's lock. */
#ifndef LMN_REPLICATION_BATCH_BUILDER_H
#define LMN_REPLICATION_BATCH_BUILDER_H

#include "replication/batch.h"

/** Moves pending removals and machines of the partition into a new batch of its stream,
 * up to LMN_REPLICATION_BATCH_MACHINES.
 *
 * @return the caller's to free */
struct lmn_replication_batch *lmn_replication_batch_build(struct lmn_partition *partition,
                                                          struct timespec now);

#endif
