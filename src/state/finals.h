/* Final jobs: kept for ever in the state service, but not in memory. Beyond so many,
 * those that have been final for long and that nothing here refers to are let go; whoever
 * asks for one is answered from the state service. The lock is held. */
#ifndef LMN_FINALS_H
#define LMN_FINALS_H

#include "state/model.h"

/* The job has just become final, as the mirror shows it. */
void lmn_finals_note(struct lmn_core *c, struct lmn_job *j, struct timespec now);
/* Lets go what can go, once enough has come together; how many went. */
guint lmn_finals_evict(struct lmn_core *c, struct timespec now);

#endif
