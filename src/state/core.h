/** @file
 * Allocates and frees a controller's shared state (state/core_state.h), and answers
 * queries on it that modules of every layer need. The caller holds the core's lock,
 * except for lmn_core_alloc and lmn_core_free. */
#ifndef LMN_CORE_H
#define LMN_CORE_H

#include "state/core_state.h"

/** Allocates the state with `owner_ops` unset. Only lmn_core_new (partition/owner.h),
 * which sets `owner_ops`, should call this. A controller process never frees the state.
 *
 * @param settings   must outlive the state
 * @param kv_client  not owned
 * @param seed       seed of the state's random generator */
struct lmn_core *lmn_core_alloc(const struct lmn_settings *settings,
                                struct lmn_kv_client *kv_client, uint32_t seed);

/** Frees the state; no thread may still use it. Only simulations call this: they crash
 * and restart thousands of controllers in one process. */
void lmn_core_free(struct lmn_core *core);

/** Number of partitions that the member owns according to the watch cache. */
unsigned lmn_member_owned_partitions(const struct lmn_core *core, int member_index);

/** Finds a machine type by name. NULL: the cloud has not listed such a type yet. */
const struct lmn_machine_type *lmn_machine_type_by_name(const struct lmn_core *core,
                                                        const char *name);

/** Maximum age of the watch cache, in seconds, at which a controller still drains, rents
 * or returns cloud machines. If the cache is older, another controller may already own
 * them. */
#define LMN_MAX_CACHE_AGE_S 5.0

/** Age of the watch cache, in seconds, from which it counts as stalled. In normal
 * operation a watch request ends at least every 0.8 s (state/watch_thread.c). */
#define LMN_CACHE_STALLED_AGE_S 3.0

/** Upper bound, in seconds, of the time by which the watch cache lags behind the store;
 * 1e9 if no complete listing has been applied yet. */
double lmn_watch_cache_age_s(const struct lmn_core *core, struct timespec now);

/** Whether the watch cache is older than lmn_settings_max_cache_age_s. It may then have
 * missed a job's cancellation, so the controller answers no heartbeats, which lets its
 * workers' leases expire, and starts no tasks. */
bool lmn_watch_cache_is_too_stale(const struct lmn_core *core, struct timespec now);

/** Records a tombstone (state/tombstone.h): another controller has cancelled the job.
 *
 * @return false, with nothing recorded, if the watch cache does not show the job as
 * active */
bool lmn_tombstone_receive(struct lmn_core *core, const char *job_id,
                           struct timespec now);

/** Whether the job's tasks may run: the job is active, and no tombstone was received for
 * it that is later than the state that the watch cache shows.
 *
 * @param job  NULL: the job is unknown, and false is returned */
bool lmn_job_may_run(const struct lmn_core *core, const struct lmn_job *job);

#endif
