/** @file
 * Reports to operators on who owns which partition, and on a shutdown. Each function
 * takes the core's lock. */
#ifndef LMN_CONTROLLER_OWNERSHIP_REPORT_H
#define LMN_CONTROLLER_OWNERSHIP_REPORT_H

#include "state/core_state.h"

/** Describes each partition in a line: its owner, its default owner, its standby, and to
 * whom it is going to be transferred, when, and why not yet.
 * @return text, to be freed with g_free */
char *lmn_ownership_report(struct lmn_core *core);
/** Begins a graceful shutdown, or cancels one.
 * @param text how far the shutdown is; to be freed with g_free
 * @return 0, or 1 if it is too late to cancel it */
int lmn_shutdown_handle(struct lmn_core *core, bool shut_down, char **text);

#endif
