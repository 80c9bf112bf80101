/* What is shown of standbys: in the status, the members' list and the metrics. The core's
 * lock is held. */
#ifndef LMN_CONTROLLER_REPLICATION_REPORT_H
#define LMN_CONTROLLER_REPLICATION_REPORT_H

#include "state/core_state.h"

#include <jansson.h>

/* A line on who follows us in the partition, or on what we have of it. */
void lmn_replication_describe(GString *text, const struct lmn_core *core,
                              const struct lmn_partition *partition, struct timespec now);
/* The partitions for which the member is in step, as far as the mirror shows. */
json_t *lmn_replication_standby_partitions(const struct lmn_core *core, int member_index);
void lmn_replication_metrics(const struct lmn_core *core, GString *out,
                             struct timespec now);

#endif
