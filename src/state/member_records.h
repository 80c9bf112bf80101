/** @file
 * Applies records of controllers that are up, and of suspicions that one has failed, to
 * the membership. Only state/watch_cache.c calls these; the core's lock is held. */
#ifndef LMN_STATE_MEMBER_RECORDS_H
#define LMN_STATE_MEMBER_RECORDS_H

#include "state/core_state.h"
#include "state/record_change.h"

/** Applies the record of a member that is up; its name is the change's name. */
void lmn_member_record_apply(struct lmn_core *core,
                             const struct lmn_record_change *change);

/** Applies the record of a suspicion of a member; its name is the change's name. */
void lmn_suspicion_record_apply(struct lmn_core *core,
                                const struct lmn_record_change *change);

/** After a listing: members and suspicions that it did not name are gone. */
void lmn_member_records_sweep(struct lmn_core *core, struct timespec now);

#endif
