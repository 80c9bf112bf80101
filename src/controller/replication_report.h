/** @file
 * Replication in the reports for operators: the status report, the members' report and
 * the metrics. Functions are called with the core's lock held. */
#ifndef LMN_CONTROLLER_REPLICATION_REPORT_H
#define LMN_CONTROLLER_REPLICATION_REPORT_H

#include "state/core_state.h"

#include <jansson.h>

/** Appends a line that describes the partition's replication stream if this controller
 * owns it, or else this controller's replica of the partition if there is one. */
void lmn_replication_report_partition(GString *text, const struct lmn_core *core,
                                      const struct lmn_partition *partition,
                                      struct timespec now);
/** Lists the partitions whose records name the member as the standby in sync, according
 * to the watch cache.
 * @return an array of partition ids, owned by the caller */
json_t *lmn_replication_standby_partitions(const struct lmn_core *core, int member_index);
/** Appends the metrics of replication. */
void lmn_replication_metrics(const struct lmn_core *core, GString *out,
                             struct timespec now);

#endif
