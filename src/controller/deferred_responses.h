/** @file
 * Heartbeat responses that are deferred until the partition's standby has acknowledged
 * the task starts in them. A worker must not receive a start that the standby does not
 * know: after a failover, the new owner might start the same task on another machine.
 *
 * The responses are kept in the partition's replication stream, guarded by the core's
 * lock; the partition's replication thread settles and sends them
 * (replication_thread.h). */
#ifndef LMN_CONTROLLER_DEFERRED_RESPONSES_H
#define LMN_CONTROLLER_DEFERRED_RESPONSES_H

#include "http/server.h"
#include "partition/heartbeat.h"
#include "state/core_state.h"

/** Responds to a heartbeat as soon as the starts in the response are acknowledged, or
 * without the starts after LMN_REPLICATION_DEFER_S. Called on the HTTP server's threads;
 * takes the core's lock, which the caller must not hold.
 * @param body of the response; taken over */
void lmn_deferred_response_add(struct lmn_core *core, struct lmn_http_request *request,
                               GByteArray *body,
                               const struct lmn_deferred_starts *starts);
/** Moves to `settled` the responses that need not wait any longer: their starts are
 * acknowledged, or were withheld because of the timeout, or the partition is no longer
 * owned. Called with the core's lock held. */
void lmn_deferred_responses_settle(struct lmn_core *core, struct lmn_partition *partition,
                                   GQueue *settled, struct timespec now);
/** Sends the settled responses and empties the list. Called without the core's lock. */
void lmn_deferred_responses_send(GQueue *settled);

#endif
