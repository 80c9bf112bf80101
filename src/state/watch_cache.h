/** @file
 * The watch cache: a copy in memory of the key-value store's records, kept up to date by
 * the store's watch. It alone changes jobs, ranges, owners and machine records, so that
 * everything else in the controller sees them as of one revision.
 *
 * It decides nothing. The owner's modules, which stand above it, learn of changes that
 * concern them through struct lmn_owner_ops. The keys are those of state/record_keys.h.
 */
#ifndef LMN_STATE_WATCH_CACHE_H
#define LMN_STATE_WATCH_CACHE_H

#include "state/core_state.h"

/** Applies one change of a record; one that is not newer than what is known changes
 * nothing. The core's lock is held.
 *
 * @param key       whole key; one of no known kind is ignored
 * @param document  holds the value
 * @param value     NULL: the record was removed
 * @param revision  of the store, made by the change */
void lmn_watch_cache_apply(struct lmn_core *core, const char *key,
                           const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *value, uint64_t revision,
                           struct timespec now);

/** After every record was listed: drops what the listing did not name. The core's lock is
 * held. */
void lmn_watch_cache_sweep(struct lmn_core *core, struct timespec now);

/** After changes were applied: begins the ownership of each partition whose record names
 * this controller. An ownership begins here only, never with the answer to the write that
 * claims it, so an answer that was lost, or a transaction that was applied late, makes no
 * difference. The core's lock is held. */
void lmn_watch_cache_begin_ownerships(struct lmn_core *core, struct timespec now);

/** Body of the thread that lists the store and then follows its watch
 * (state/watch_thread.c). Takes the core's lock itself; never returns.
 *
 * @param core  a struct lmn_core */
void *lmn_watch_cache_thread(void *core);

#endif
