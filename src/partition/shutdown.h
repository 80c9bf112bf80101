/** @file
 * The graceful shutdown of a controller. The controller announces the shutdown in its
 * member record, transfers its partitions to members that are in sync, releases its
 * lease, redirects workers and users to other controllers, and exits.
 *
 * These functions depend only on the shared state and the given time. The core's lock is
 * held by the caller throughout; only core->shutdown.is_requested is also read without
 * it, atomically. */
#ifndef LMN_PARTITION_SHUTDOWN_H
#define LMN_PARTITION_SHUTDOWN_H

#include "state/core_state.h"

/** Begins the shutdown. Does nothing if it has begun already. */
void lmn_shutdown_begin(struct lmn_core *core, struct timespec now);

/** Cancels the shutdown: the controller may own partitions again.
 * @return false: the lease is released already, so the shutdown goes on */
bool lmn_shutdown_cancel(struct lmn_core *core);

/** The member that the partition should be transferred to now. If no other member is in
 * sync, the shutdown waits up to 2 s for one, and then chooses one that is not.
 * @return member index; -1: none yet */
int lmn_shutdown_transfer_target(const struct lmn_core *core,
                                 const struct lmn_partition *partition,
                                 struct timespec now);

/** Whether the shutdown has begun and this controller owns no partition any more, so that
 * the lease may be released. */
bool lmn_shutdown_all_transferred(const struct lmn_core *core);

/** Whether the process may exit: the lease is released and the load balancer in front of
 * the users' API has had 6 s since the start of the shutdown, or 10 s have passed since
 * then. */
bool lmn_shutdown_is_complete(const struct lmn_core *core, struct timespec now);

/** The most seconds until the process may exit. */
double lmn_shutdown_remaining_s(const struct lmn_core *core, struct timespec now);

/** Appends one line of text for operators that describes the progress of the shutdown. */
void lmn_shutdown_describe(const struct lmn_core *core, GString *text,
                           struct timespec now);

#endif
