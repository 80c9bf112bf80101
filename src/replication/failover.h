/* What a new owner checks before its first decision, and what it then knows. The core's
 * lock is held. */
#ifndef LMN_REPLICATION_FAILOVER_H
#define LMN_REPLICATION_FAILOVER_H

#include "replication/replica.h"

/* The checks, for a partition that the mirror has just shown to be ours: NULL if the copy
 * holds every task that may be on a machine; else which of them failed, and the partition
 * has to be taken over cold. */
const char *lmn_failover_cold_reason(const struct lmn_core *core,
                                     const struct lmn_partition *partition);

/* Fills the books from the copy: p's machines are reset, its ranges open. What the record
 * says wins over what was told. Returns how many attempts have to be asked about. */
guint lmn_failover_restore(struct lmn_core *core, struct lmn_partition *partition,
                           struct timespec now);

#endif
