/** @file
 * Failover from a replica, before a partition's new owner makes its first decision: the
 * owner checks whether its replica is complete, and fills the task ledger from the
 * replica. Without a complete replica (a cold failover) it rebuilds the ledger from its
 * machines' heartbeats, and waits until every machine is accounted for
 * (partition/partition.h). The caller holds the core's lock. */
#ifndef LMN_REPLICATION_FAILOVER_H
#define LMN_REPLICATION_FAILOVER_H

#include "replication/replica.h"

/** Checks the replica of a partition that, as the watch cache has just shown, this
 * controller owns now.
 *
 * @return NULL if the replica names every task that may be on a machine; otherwise the
 * check that failed, as a static string for the log: the partition has to be recovered
 * from its machines */
const char *lmn_failover_cold_reason(const struct lmn_core *core,
                                     const struct lmn_partition *partition);

/** Fills the task ledger from the replica. The partition's machines must have been reset,
 * and its ranges opened (lmn_range_open). Where a range's record and the replica differ,
 * the record counts.
 *
 * @return how many attempts were restored; their workers have yet to report them */
guint lmn_failover_restore(struct lmn_core *core, struct lmn_partition *partition,
                           struct timespec now);

#endif
