/* The mirror of the state service's records: the only thing that alters jobs, ranges,
 * owners and machine records. It stands below the decisions and tells an owner's books
 * through struct lmn_owner_ops what has changed. The lock is held unless it says
 * otherwise. */
#ifndef LMN_STATE_WATCH_CACHE_H
#define LMN_STATE_WATCH_CACHE_H

#include "state/core_state.h"

/* One change of the state service; value NULL: removed. The lock is held. */
void lmn_watch_cache_apply(struct lmn_core *core, const char *key,
                           const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *value, uint64_t revision,
                           struct timespec now);
/* After a full reading: what it did not name is gone. */
void lmn_watch_cache_sweep(struct lmn_core *core, struct timespec now);
/* After changes were applied: takes over what the mirror shows as this node's. */
void lmn_watch_cache_begin_ownerships(struct lmn_core *core, struct timespec now);
/* Follows the state service for ever (a thread). */
void *lmn_watch_cache_thread(void *core);

#endif
