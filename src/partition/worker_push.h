/** @file
 * Commands that a controller pushes to a worker without waiting for its heartbeat: which
 * machine gets them, and what the outcome of the call means.
 *
 * The calls themselves are made by worker_client.h. The core's lock is held by the caller
 * throughout. */
#ifndef LMN_PARTITION_WORKER_PUSH_H
#define LMN_PARTITION_WORKER_PUSH_H

#include "state/core_state.h"

/** Takes the next woken machine of a thread of the worker client that there are commands
 * for: starts, and stops of preempted tasks.
 * @param name set to the machine's name; LMN_NAME_SIZE bytes
 * @param address set to the worker's address; LMN_ADDRESS_SIZE bytes
 * @param body set to the message to post
 * @return false: there is nothing to send */
bool lmn_worker_client_next_push(struct lmn_core *core, unsigned thread_index,
                                 unsigned thread_count, char *name, char *address,
                                 GByteArray *body, struct timespec now);

/** Applies the outcome of a push.
 * @param status HTTP status, or LMN_HTTP_NOT_SENT, LMN_HTTP_NO_RESPONSE
 * @param answer the response's body; read for a status of 200 or 409 only */
void lmn_worker_client_push_done(struct lmn_core *core, const char *name, int status,
                                 const GByteArray *answer, struct timespec now);

/** The log position that the starts of the machine's push in flight wait for, until the
 * standby has acknowledged it; 0: none.
 * @param partition_id set to the machine's partition */
uint64_t lmn_worker_client_push_log_position(const struct lmn_core *core,
                                             const char *name, int *partition_id);

#endif
