/** @file
 * Holds task starts back until the standby has acknowledged them.
 *
 * Each start gets a position in the partition's replication log. The functions only read
 * the partition's stream (replication/stream.h); the caller holds the core's lock. */
#ifndef LMN_REPLICATION_START_GATE_H
#define LMN_REPLICATION_START_GATE_H

#include "state/core_state.h"

/** Maximum number of seconds that a response to a worker is deferred until its starts are
 * acknowledged; after that it is sent without them. */
extern const double LMN_REPLICATION_DEFER_S;
/** Whether starts in this partition have to wait for an acknowledgement. */
bool lmn_replication_gates_starts(const struct lmn_partition *partition);

/** Whether the starts up to a log position may be sent: they are acknowledged, or starts
 * do not have to wait. */
bool lmn_replication_allows_starts_up_to(const struct lmn_partition *partition,
                                         uint64_t log_position);

/** Whether starts have waited for an acknowledgement for longer than
 * LMN_REPLICATION_DEFER_S, so that no further start may be decided. */
bool lmn_replication_is_stuck(const struct lmn_partition *partition, struct timespec now);

/** Reports how far the standby is behind.
 *
 * @param machines set to the number of machines with changes that were not sent
 * @param starts set to the number of log positions that are not acknowledged; 0 if starts
 * do not wait
 * @param waiting_s set to how long starts have waited for the next acknowledgement; 0 if
 * none waits */
void lmn_replication_lag(const struct lmn_partition *partition, struct timespec now,
                         guint *machines, uint64_t *starts, double *waiting_s);

#endif
