/** @file
 * Builds the next batch of a replication stream from the machines that have changed since
 * they were last sent. The caller holds the core's lock. */
#ifndef LMN_REPLICATION_BATCH_BUILDER_H
#define LMN_REPLICATION_BATCH_BUILDER_H

#include "replication/batch.h"

/** Moves pending removals, then pending machines, of the partition into a new batch of
 * its stream, up to LMN_REPLICATION_BATCH_MACHINES in all.
 *
 * @return the batch, which the caller frees */
struct lmn_replication_batch *lmn_replication_batch_build(struct lmn_partition *partition,
                                                          struct timespec now);

#endif
