/* What is shown of partitions and who holds them. No lock held. */
#ifndef LMN_CONTROLLER_OWNERSHIP_REPORT_H
#define LMN_CONTROLLER_OWNERSHIP_REPORT_H

#include "state/core_state.h"

/* A line for each partition: its owner, its usual holder, who is in step, and what is
 * going to move, when, and why not yet. To be freed with g_free. */
char *lmn_ownership_report(struct lmn_core *core);
/* Leaves, or takes part again; text tells how far that is (g_free). 0, or 1 if it is too
 * late to take part again. */
int lmn_shutdown_handle(struct lmn_core *core, bool leave, char **text);

#endif
