/** @file
 * Responses to heartbeats that wait until the partition's standby has acknowledged the
 * starts they carry: a worker must not be told to start a task that a failover would not
 * know of.
 *
 * They are kept in the partition's replication stream, under the core's lock; the
 * partition's replication thread settles and sends them (replication_thread.h). */
#ifndef LMN_CONTROLLER_DEFERRED_RESPONSES_H
#define LMN_CONTROLLER_DEFERRED_RESPONSES_H

#include "http/server.h"
#include "partition/heartbeat.h"
#include "state/core_state.h"

/** Responds to a heartbeat as soon as its starts are acknowledged; without them if that
 * takes too long. On the HTTP server's thread, without the core's lock.
 * @param body the response's, which is taken over */
void lmn_deferred_response_add(struct lmn_core *core, struct lmn_http_request *request,
                               GByteArray *body,
                               const struct lmn_deferred_starts *starts);
/** Moves the responses that wait no longer to `settled`: their starts are acknowledged,
 * or were taken back, or the partition is no longer owned. The core's lock is held. */
void lmn_deferred_responses_settle(struct lmn_core *core, struct lmn_partition *partition,
                                   GQueue *settled, struct timespec now);
/** Sends settled responses, and empties the list. Without the core's lock. */
void lmn_deferred_responses_send(GQueue *settled);

#endif
