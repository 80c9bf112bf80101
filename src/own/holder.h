/* The thread that holds this node's lease, and with it claims partitions, gives them, and
 * says whom it suspects. */
#ifndef LMN_HOLDER_H
#define LMN_HOLDER_H

#include "state/model.h"

/* What may be given now, and to whom (a rank); -1: nothing. The lock is held.
 * A partition goes back to the member that holds it by default once that one has earned
 * it; all go to others while this node does not hear its workers. */
int lmn_holder_gives(const struct lmn_core *c, const struct lmn_partition *p,
                     struct timespec now);
void *lmn_holder_thread(void *core);

#endif
