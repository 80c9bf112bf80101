/** @file
 * What a new owner of a partition does before its first decision: it checks whether its
 * replica is complete, and fills the task ledger from it. Without a complete replica it
 * recovers instead, and waits until every machine is accounted for
 * (partition/partition.h). The caller holds the core's lock. */
#ifndef LMN_REPLICATION_FAILOVER_H
#define LMN_REPLICATION_FAILOVER_H

#include "replication/replica.h"

/** Checks the replica of a partition that the watch cache has just shown to be ours.
 *
 * @return NULL if the replica names every task that may be on a machine; else which check
 * failed, as a static text that operators read in the log: the partition has to be
 * recovered from its machines */
const char *lmn_failover_cold_reason(const struct lmn_core *core,
                                     const struct lmn_partition *partition);

/** Fills the task ledger from the replica. The partition's machines must be reset, and
 * its ranges open. Where a range's record and the replica differ, the record counts.
 *
 * @return how many attempts were restored, each of which a worker has yet to report */
guint lmn_failover_restore(struct lmn_core *core, struct lmn_partition *partition,
                           struct timespec now);

#endif
