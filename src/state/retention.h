/** @file
 * Retention of final (done or cancelled) jobs in memory. The key-value store keeps them
 * without limit. A controller keeps max_retained_jobs of struct lmn_watch_cache; above
 * that number it evicts jobs that have been final for at least 600 s and that no range,
 * attempt or failure in memory refers to. Requests about an evicted job are answered from
 * the store. The caller holds the core's lock. */
#ifndef LMN_RETENTION_H
#define LMN_RETENTION_H

#include "state/core_state.h"

/** Adds a job that has just become final, as the watch cache shows it. */
void lmn_retention_add(struct lmn_core *core, struct lmn_job *job, struct timespec now);

/** Evicts final jobs, if at least a batch of them exceeds the number to retain.
 *
 * @return the number of evicted jobs */
guint lmn_retention_evict(struct lmn_core *core, struct timespec now);

#endif
