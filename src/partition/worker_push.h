/** @file
 * Commands that a controller pushes to a worker without waiting for its heartbeat:
 * chooses the machine and the commands, and applies the outcome of the push.
 *
 * worker_client.h sends the pushes. The caller holds the core's lock. */
#ifndef LMN_PARTITION_WORKER_PUSH_H
#define LMN_PARTITION_WORKER_PUSH_H

#include "state/core_state.h"

/** Chooses the next woken machine, among those that a thread of the worker client serves,
 * for which there are commands: starts, and kills of preempted tasks.
 * @param name set to the machine's name; LMN_NAME_SIZE bytes
 * @param address set to the worker's address; LMN_ADDRESS_SIZE bytes
 * @param body set to the encoded message
 * @return false if there is nothing to send */
bool lmn_worker_client_next_push(struct lmn_core *core, unsigned thread_index,
                                 unsigned thread_count, char *name, char *address,
                                 GByteArray *body, struct timespec now);

/** Applies the outcome of a push.
 * @param status HTTP status, or LMN_HTTP_NOT_SENT or LMN_HTTP_NO_RESPONSE
 * @param answer the response's body; used only if the status is 200 or 409 */
void lmn_worker_client_push_done(struct lmn_core *core, const char *name, int status,
                                 const GByteArray *answer, struct timespec now);

/** The position in the replication log that the standby has to acknowledge before the
 * starts in the machine's push may be sent; 0 if no acknowledgement is required.
 * @param partition_id set to the machine's partition */
uint64_t lmn_worker_client_push_log_position(const struct lmn_core *core,
                                             const char *name, int *partition_id);

#endif
