/** @file
 * The shared state (state/core_state.h): making and freeing it, and questions about it
 * that modules at all levels have. The core's lock is held by callers of all but
 * lmn_core_alloc and lmn_core_free. */
#ifndef LMN_CORE_H
#define LMN_CORE_H

#include "state/core_state.h"

/** Makes the state without an owner's operations (struct lmn_owner_ops): callers want
 * lmn_core_new (partition/owner.h). A controller process never frees it.
 *
 * @param settings   must outlive it
 * @param kv_client  stays the caller's
 * @param seed       of the random generator */
struct lmn_core *lmn_core_alloc(const struct lmn_settings *settings,
                                struct lmn_kv_client *kv_client, uint32_t seed);

/** Frees the state, which no thread may use any more. For simulated controllers, which
 * crash by the thousand. */
void lmn_core_free(struct lmn_core *core);

/** How many partitions the member owns, as the watch cache shows. */
unsigned lmn_member_owned_partitions(const struct lmn_core *core, int member_index);

/** The machine type of the name; NULL: the cloud has not named it yet. */
const struct lmn_machine_type *lmn_machine_type_by_name(const struct lmn_core *core,
                                                        const char *name);

/** Seconds by which the watch cache may be behind the store at most; beyond them a
 * controller touches no machine of the cloud's, since it may long have lost them to
 * another owner. */
#define LMN_MAX_CACHE_AGE_S 5.0

/** Age in seconds from which the watch cache counts as stalled: a watch request ends at
 * least every 0.8 s (state/watch_thread.c). */
#define LMN_CACHE_STALLED_AGE_S 3.0

/** Seconds by which the watch cache may be behind the store; very many if it has never
 * been whole. */
double lmn_watch_cache_age_s(const struct lmn_core *core, struct timespec now);

/** Whether the watch cache may have missed a cancellation for so long that its workers'
 * leases have to expire: the controller answers none of them, and starts nothing. */
bool lmn_watch_cache_is_too_stale(const struct lmn_core *core, struct timespec now);

/** Records that another controller says the job is cancelled (state/tombstone.h).
 *
 * @return false: the watch cache knows better; nothing was recorded */
bool lmn_tombstone_receive(struct lmn_core *core, const char *job_id,
                           struct timespec now);

/** Whether the job's tasks may run: it is active, and no tombstone says that the watch
 * cache's view of it is too old.
 *
 * @param job  NULL: it is not known, so nothing of it may run */
bool lmn_job_may_run(const struct lmn_core *core, const struct lmn_job *job);

#endif
