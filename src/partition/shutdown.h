/* A controller that is to end: it says so, gives its partitions to who is in step, lets
 * its lease go, sends workers and users on, and ends. Functions of the shared state and a
 * passed-in time; the core's lock is held. */
#ifndef LMN_PARTITION_SHUTDOWN_H
#define LMN_PARTITION_SHUTDOWN_H

#include "state/core_state.h"

/* Idempotent. */
void lmn_shutdown_begin(struct lmn_core *core, struct timespec now);
/* The node takes part again: false if it is too late for that. */
bool lmn_shutdown_cancel(struct lmn_core *core);
/* To whom it should give the partition now: a rank; -1: nobody yet. Without anybody in
 * step one is waited for, for 2 s. */
int lmn_shutdown_transfer_target(const struct lmn_core *core,
                                 const struct lmn_partition *partition,
                                 struct timespec now);
/* It has given everything away: its lease may go. */
bool lmn_shutdown_owns_nothing(const struct lmn_core *core);
/* The process may end: all is given and the users' balancer has had its time, or that has
 * taken too long. */
bool lmn_shutdown_is_complete(const struct lmn_core *core, struct timespec now);
/* Seconds until the process ends at the latest. */
double lmn_shutdown_remaining_s(const struct lmn_core *core, struct timespec now);
/* What it does and how far it is: a line. */
void lmn_shutdown_describe(const struct lmn_core *core, GString *text,
                           struct timespec now);

#endif
