/** @file
 * Chooses the machines to probe, and applies their answers.
 *
 * A probe tests whether a worker can be reached. After a failover it also requests, under
 * the new epoch, the tasks that the worker holds. worker_client.h sends the probes. The
 * caller holds the core's lock. */
#ifndef LMN_PARTITION_WORKER_PROBE_H
#define LMN_PARTITION_WORKER_PROBE_H

#include "state/core_state.h"

/** Chooses the machine that a thread of the worker client should probe next, and
 * schedules the machine's following probe.
 * @param name set to the machine's name; LMN_NAME_SIZE bytes
 * @param address set to the worker's address; LMN_ADDRESS_SIZE bytes
 * @param token set to the fencing token of the probe; 0 for a probe of any machine that
 * only tests whether this controller can reach workers
 * @return false if no probe is due */
bool lmn_worker_client_next_probe(struct lmn_core *core, unsigned thread_index,
                                  unsigned thread_count, char *name, char *address,
                                  uint64_t *token, struct timespec now);

/** Applies the outcome of a probe.
 * @param token the probe's fencing token
 * @param status HTTP status, or LMN_HTTP_NOT_SENT or LMN_HTTP_NO_RESPONSE
 * @param answer the response's body; used only if the status is 200 or 409 */
void lmn_worker_client_probe_done(struct lmn_core *core, const char *name, uint64_t token,
                                  int status, const GByteArray *answer,
                                  struct timespec now);

/** The agent incarnation to probe: the one in the previous owner's replica, or 0 if that
 * is unknown or the agent has reported since. */
uint64_t lmn_worker_client_replicated_incarnation(const struct lmn_core *core,
                                                  const char *name);

#endif
