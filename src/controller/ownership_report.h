/** @file
 * Reports for operators on the ownership of partitions and on a shutdown. Each function
 * takes the core's lock. */
#ifndef LMN_CONTROLLER_OWNERSHIP_REPORT_H
#define LMN_CONTROLLER_OWNERSHIP_REPORT_H

#include "state/core_state.h"

/** Describes each partition in a line: its owner, its preferred owner, its standby, and
 * if it is to be transferred, the new owner, the time until then, and the reason for the
 * wait.
 * @return text, to be freed with g_free */
char *lmn_ownership_report(struct lmn_core *core);
/** Begins a graceful shutdown, or cancels one.
 * @param shut_down false: cancel
 * @param text receives the progress of the shutdown; to be freed with g_free
 * @return 0, or 1 if it is too late to cancel the shutdown */
int lmn_shutdown_handle(struct lmn_core *core, bool shut_down, char **text);

#endif
