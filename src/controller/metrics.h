/* A controller's metrics. */
#ifndef LMN_CONTROLLER_METRICS_H
#define LMN_CONTROLLER_METRICS_H

#include "state/core_state.h"

/* Appends them as OpenMetrics text. core: struct lmn_core; takes its lock. */
void lmn_controller_metrics(void *core, GString *out);

#endif
