/** @file
 * Which member is, or should become, the standby of a partition. Pure functions of the
 * shared state and a passed-in time; the caller holds the core's lock. */
#ifndef LMN_REPLICATION_REPLICA_CHOICE_H
#define LMN_REPLICATION_REPLICA_CHOICE_H

#include "state/core_state.h"

/** A controller that is further behind than this (seconds) neither starts a stream nor
 * becomes a standby: it would be removed again at once. With eight times the machines,
 * snapshots were begun and broken off all day, and a tenth fewer tasks started for it. */
#define LMN_STANDBY_MAX_LOAD_DELAY_S 0.25

/** Which trusted member should become this owner's standby.
 *
 * The preferred holder comes first, then members of another zone, then those that own and
 * stand by for the fewest partitions, then the first by a rendezvous hash (Thaler and
 * Ravishankar, 1998).
 *
 * @return a member index; -1: no member can */
int lmn_standby_choose(const struct lmn_core *core, const struct lmn_partition *partition,
                       struct timespec now);

/** Which member is in sync with the partition's last owner, as far as the watch cache
 * shows, and can be expected to take the partition over.
 *
 * @return a member index; -1: none */
int lmn_standby_in_sync(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now);

#endif
