/* The shared state: made, and asked. */
#ifndef LMN_CORE_H
#define LMN_CORE_H

#include "state/core_state.h"

/* Without an owner's books: lmn_core_new (partition/owner.h) is what is wanted. A
 * controller never frees it. */
struct lmn_core *lmn_core_alloc(const struct lmn_settings *settings,
                                struct lmn_kv_client *state, uint32_t seed);
/* For simulated controllers, which crash by the thousand: no thread may use it any more.
 * Its state service's client is the caller's. */
void lmn_core_free(struct lmn_core *core);

/* NULL: the cloud has not named it yet. */
/* How many partitions the member owns, as the mirror shows. */
unsigned lmn_member_owned_partitions(const struct lmn_core *core, int member_index);
const struct lmn_machine_type *lmn_machine_type_by_name(const struct lmn_core *core,
                                                        const char *name);

/* Seconds by which the mirror may be behind; beyond LMN_MAX_CACHE_AGE_S a node touches no
 * machine of the cloud's: it may long have lost them to a successor. */
#define LMN_MAX_CACHE_AGE_S 5.0
/* The mirror stands still: it is asked for at least every 0.8 s. */
#define LMN_CACHE_STALLED_S 3.0
double lmn_watch_cache_age_s(const struct lmn_core *core, struct timespec now);
/* It may have missed a cancellation for so long that its workers' leases have to run out:
 * it answers none of them, and starts nothing. */
bool lmn_watch_cache_is_too_stale(const struct lmn_core *core, struct timespec now);

/* Another controller says that the job is withdrawn; false: the mirror knows better. */
bool lmn_tombstone_receive(struct lmn_core *core, const char *ref, struct timespec now);
/* Whether the job's tasks may run: it is active, and no tombstone says that this view of
 * it is too old. NULL: it is not known, and nothing of it may. */
bool lmn_job_may_run(const struct lmn_core *core, const struct lmn_job *job);

#endif
