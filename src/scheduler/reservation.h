/* Room kept for large tasks that have waited: a machine that runs empty for one, and a
 * part of a team's limit that its smaller tasks leave alone. While small jobs keep
 * coming, each piece of room is theirs as it becomes free, and what needs a whole
 * machine, or most of a limit, never begins. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_SCHEDULER_RESERVATION_H
#define LMN_SCHEDULER_RESERVATION_H

#include "state/core_state.h"

/* Looks at the partition's aged jobs (scheduler/fair_share.h): keeps what they lack, and
 * gives up what is not needed any more. */
void lmn_update_reservations(struct lmn_core *core, struct lmn_partition *partition,
                             struct timespec now);
/* Another partition lacks that much of the team's limit for one task: it is kept free
 * here until it can be given. */
void lmn_reserve_quota(struct lmn_partition *partition, int team, double cpus,
                       double gpus, struct timespec now);

#endif
