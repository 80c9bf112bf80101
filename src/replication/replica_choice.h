/** @file
 * Chooses the standby of a partition. The functions depend only on the shared state and a
 * passed-in time; the caller holds the core's lock. */
#ifndef LMN_REPLICATION_REPLICA_CHOICE_H
#define LMN_REPLICATION_REPLICA_CHOICE_H

#include "state/core_state.h"

/** A controller whose delay is above this (seconds) neither starts a stream nor becomes a
 * standby, because the standby would soon be removed again for late acknowledgements.
 * Without this limit, at eight times the usual number of machines, snapshots were started
 * and aborted continually, and 10 % fewer tasks started. */
#define LMN_STANDBY_MAX_LOAD_DELAY_S 0.25

/** Chooses the trusted member that should become the standby of a partition that this
 * controller owns.
 *
 * The partition's preferred owner comes first, then members in another zone, then members
 * with the lowest load of owned partitions and standbys, then the first by a rendezvous
 * hash (Thaler and Ravishankar, 1998).
 *
 * @return a member index; -1: no member can be the standby */
int lmn_standby_choose(const struct lmn_core *core, const struct lmn_partition *partition,
                       struct timespec now);

/** Returns the trusted member that is in sync with the partition's last owner, as the
 * watch cache shows it, and can therefore take the partition over.
 *
 * @return a member index; -1: none */
int lmn_standby_in_sync(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now);

#endif
