/** @file
 * Retention of final jobs. The key-value store keeps them for ever, a controller's memory
 * does not: beyond a number (lmn_watch_cache's max_retained_jobs) those that have been
 * final for long, and that nothing in memory refers to, are evicted. Requests about an
 * evicted job are answered from the store. The core's lock is held throughout. */
#ifndef LMN_RETENTION_H
#define LMN_RETENTION_H

#include "state/core_state.h"

/** Adds a job that has just become final, as the watch cache shows it. */
void lmn_retention_add(struct lmn_core *core, struct lmn_job *job, struct timespec now);

/** Evicts the jobs that can go, if enough have come together.
 *
 * @return how many were evicted */
guint lmn_retention_evict(struct lmn_core *core, struct timespec now);

#endif
