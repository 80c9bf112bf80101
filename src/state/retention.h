/* Final jobs: kept for ever in the state service, but not in memory. Beyond so many,
 * those that have been final for long and that nothing here refers to are let go; whoever
 * asks for one is answered from the state service. The lock is held. */
#ifndef LMN_RETENTION_H
#define LMN_RETENTION_H

#include "state/core_state.h"

/* The job has just become final, as the mirror shows it. */
void lmn_retention_add(struct lmn_core *core, struct lmn_job *job, struct timespec now);
/* Lets go what can go, once enough has come together; how many went. */
guint lmn_retention_evict(struct lmn_core *core, struct timespec now);

#endif
