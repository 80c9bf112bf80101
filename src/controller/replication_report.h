/** @file
 * What operators are shown of replication: in the status, the members' list and the
 * metrics. The core's lock is held. */
#ifndef LMN_CONTROLLER_REPLICATION_REPORT_H
#define LMN_CONTROLLER_REPLICATION_REPORT_H

#include "state/core_state.h"

#include <jansson.h>

/** Appends a line on the partition's standby, if it is owned, or on the replica of it. */
void lmn_replication_describe(GString *text, const struct lmn_core *core,
                              const struct lmn_partition *partition, struct timespec now);
/** The partitions for which the member is the standby in sync, as far as the watch cache
 * shows.
 * @return an array of ids, the caller's */
json_t *lmn_replication_standby_partitions(const struct lmn_core *core, int member_index);
/** Appends the metrics of replication. */
void lmn_replication_metrics(const struct lmn_core *core, GString *out,
                             struct timespec now);

#endif
