/** @file
 * Which starts wait until the standby has acknowledged them, and for how long.
 *
 * Each start gets a position in the partition's replication log. The functions read the
 * stream (replication/stream.h); the caller holds the core's lock. */
#ifndef LMN_REPLICATION_START_GATE_H
#define LMN_REPLICATION_START_GATE_H

#include "state/core_state.h"

/** For how many seconds a response is deferred at most until its starts are acknowledged;
 * then it goes out without them. */
extern const double LMN_REPLICATION_DEFER_S;
/** Whether starts wait for their acknowledgement. */
bool lmn_replication_gates_starts(const struct lmn_partition *partition);

/** Whether the starts up to a log position may go out: they are acknowledged, or nothing
 * has to be. */
bool lmn_replication_covers(const struct lmn_partition *partition, uint64_t log_position);

/** Whether starts have waited for an acknowledgement for so long that no further one may
 * be decided on. */
bool lmn_replication_is_stuck(const struct lmn_partition *partition, struct timespec now);

/** How far the standby is behind.
 *
 * @param machines machines with changes that were not sent
 * @param starts starts that were not acknowledged; 0 if starts do not wait
 * @param waiting_s for how long the oldest of them has waited */
void lmn_replication_lag(const struct lmn_partition *partition, struct timespec now,
                         guint *machines, uint64_t *starts, double *waiting_s);

#endif
