/** @file
 * The graceful shutdown of a controller: it announces the shutdown, transfers its
 * partitions to members that are in sync, releases its lease, redirects workers and
 * users, and ends.
 *
 * Functions of the shared state and a time. The core's lock is held by the caller
 * throughout; only core->shutdown.is_requested is also read without it, atomically. */
#ifndef LMN_PARTITION_SHUTDOWN_H
#define LMN_PARTITION_SHUTDOWN_H

#include "state/core_state.h"

/** Begins the shutdown; does nothing if it has begun. */
void lmn_shutdown_begin(struct lmn_core *core, struct timespec now);

/** Cancels the shutdown: the controller takes part again.
 * @return false: it is too late for that, the lease is released */
bool lmn_shutdown_cancel(struct lmn_core *core);

/** To whom the partition should be transferred now. If no member is in sync, one is
 * waited for, for a short time.
 * @return member index; -1: nobody yet */
int lmn_shutdown_transfer_target(const struct lmn_core *core,
                                 const struct lmn_partition *partition,
                                 struct timespec now);

/** Whether every partition has been transferred: the lease may be released. */
bool lmn_shutdown_all_transferred(const struct lmn_core *core);

/** Whether the process may end: everything is transferred and the users' load balancer
 * has had its time, or that has taken too long. */
bool lmn_shutdown_is_complete(const struct lmn_core *core, struct timespec now);

/** Seconds until the process ends at the latest. */
double lmn_shutdown_remaining_s(const struct lmn_core *core, struct timespec now);

/** Appends one line that says how far the shutdown is. */
void lmn_shutdown_describe(const struct lmn_core *core, GString *text,
                           struct timespec now);

#endif
