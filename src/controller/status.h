/** @file
 * The status report for operators (`lemonspar admin ADDRESS status`). */
#ifndef LMN_CONTROLLER_STATUS_H
#define LMN_CONTROLLER_STATUS_H

#include "state/core_state.h"

/** Describes this controller: partitions, machines, fair shares, counters and latencies.
 * Takes the core's lock.
 * @return lines of text, to be freed with g_free */
char *lmn_status_report(struct lmn_core *core);

#endif
