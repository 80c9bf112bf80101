/** @file
 * Applies records of running controllers, and of suspicions that a controller has failed,
 * to the membership. Called by state/watch_cache.c only, with the core's lock held. */
#ifndef LMN_STATE_MEMBER_RECORDS_H
#define LMN_STATE_MEMBER_RECORDS_H

#include "state/core_state.h"
#include "state/record_change.h"

/** Applies a member's own record; change->name is the member's name. */
void lmn_member_record_apply(struct lmn_core *core,
                             const struct lmn_record_change *change);

/** Applies a suspicion record; change->name is the suspected member's name. */
void lmn_suspicion_record_apply(struct lmn_core *core,
                                const struct lmn_record_change *change);

/** After a listing: removes members and suspicions that the listing did not contain. */
void lmn_member_records_sweep(struct lmn_core *core, struct timespec now);

#endif
