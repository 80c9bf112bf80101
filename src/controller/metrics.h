/** @file
 * The controller's metrics. */
#ifndef LMN_CONTROLLER_METRICS_H
#define LMN_CONTROLLER_METRICS_H

#include "state/core_state.h"

/** Appends the metrics as OpenMetrics text. Takes the core's lock.
 * @param core the struct lmn_core, as a pointer of the type that lmn_metrics_respond
 * passes
 */
void lmn_controller_metrics(void *core, GString *out);

#endif
