/* An owner's ranges: what becomes of their tasks. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_PARTITION_RANGE_H
#define LMN_PARTITION_RANGE_H

#include "state/core_state.h"

/* Takes a range into the owner's books. */
void lmn_range_open(struct lmn_core *core, struct lmn_range *range);
/* Nothing refers to the range any more. */
void lmn_range_forget(struct lmn_core *core, struct lmn_range *range);
void lmn_task_requeue(struct lmn_core *core, struct lmn_range *range, uint32_t index,
                      struct timespec now);
void lmn_task_finished(struct lmn_range *range, uint32_t index, struct timespec now);
/* The machine holds no task any more: everything it carried is queued again. */
void lmn_machine_requeue_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const char *why, struct timespec now);

#endif
