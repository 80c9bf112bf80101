/* What this node thinks of each member, for operators. */
#ifndef LMN_CONTROLLER_MEMBERS_REPORT_H
#define LMN_CONTROLLER_MEMBERS_REPORT_H

#include "state/core_state.h"

/* A line a member, or one JSON object; to be freed. Takes the lock. */
char *lmn_members_report(struct lmn_core *core, bool json);
/* The same as metrics. The lock is held. */
void lmn_members_metrics(const struct lmn_core *core, GString *out);

#endif
