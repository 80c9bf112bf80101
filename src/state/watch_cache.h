/** @file
 * The watch cache: an in-memory copy of the key-value store's records, kept up to date by
 * the store's watch. No other module changes the fields of jobs, ranges, owners and
 * machines that come from records, so all readers see them as of one store revision.
 *
 * The watch cache makes no scheduling decisions. It notifies the owner's modules, which
 * belong to a higher layer, through struct lmn_owner_ops. The keys are listed in
 * state/record_keys.h. */
#ifndef LMN_STATE_WATCH_CACHE_H
#define LMN_STATE_WATCH_CACHE_H

#include "state/core_state.h"

/** Applies one change of a record. Changes that are not newer than the cached record are
 * ignored. The caller holds the core's lock.
 *
 * @param key       complete key; keys of unknown kinds are ignored
 * @param document  document that contains the value
 * @param value     NULL: the record was removed
 * @param revision  store revision created by the change */
void lmn_watch_cache_apply(struct lmn_core *core, const char *key,
                           const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *value, uint64_t revision,
                           struct timespec now);

/** After a complete listing: removes objects that the listing did not contain. The caller
 * holds the core's lock. */
void lmn_watch_cache_sweep(struct lmn_core *core, struct timespec now);

/** After changes were applied: begins the ownership of each partition whose owner record
 * contains this controller's lease. An ownership begins here only, never on the response
 * to the claiming write, so a lost response or a late commit makes no difference. The
 * caller holds the core's lock. */
void lmn_watch_cache_begin_ownerships(struct lmn_core *core, struct timespec now);

/** Body of the thread that lists the store and then follows its watch
 * (state/watch_thread.c). Takes the core's lock itself; never returns.
 *
 * @param core  a struct lmn_core */
void *lmn_watch_cache_thread(void *core);

#endif
