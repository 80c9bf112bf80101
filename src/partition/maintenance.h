/* What an owner does from time to time. The core's lock is held by the caller throughout.
 */
#ifndef LMN_PARTITION_MAINTENANCE_H
#define LMN_PARTITION_MAINTENANCE_H

#include "state/core_state.h"

/* Lapses, retirements, returns of idle machines; the lock is held. */
void lmn_maintenance_run(struct lmn_core *core, struct timespec now);
/* The cloud has said that it is gone. */
void lmn_machine_terminated(struct lmn_core *core, struct lmn_machine *machine,
                            struct timespec now);

#endif
