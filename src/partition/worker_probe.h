/** @file
 * Which machines are probed, and what their answers prove.
 *
 * A probe asks a worker whether it can be reached and, after a failover, under the new
 * epoch, which tasks it holds. The calls themselves are made by worker_client.h. The
 * core's lock is held by the caller throughout. */
#ifndef LMN_PARTITION_WORKER_PROBE_H
#define LMN_PARTITION_WORKER_PROBE_H

#include "state/core_state.h"

/** Chooses the machine that a thread of the worker client should probe next, and sets
 * when that machine may be probed again.
 * @param name set to the machine's name; LMN_NAME_SIZE bytes
 * @param address set to the worker's address; LMN_ADDRESS_SIZE bytes
 * @param epoch set to the epoch under which it is probed; 0: any machine, only to find
 * out whether workers can be reached at all
 * @return false: no probe is due */
bool lmn_worker_client_next_probe(struct lmn_core *core, unsigned thread_index,
                                  unsigned thread_count, char *name, char *address,
                                  uint64_t *epoch, struct timespec now);

/** Applies the outcome of a probe.
 * @param status HTTP status, or LMN_HTTP_NOT_SENT, LMN_HTTP_NO_RESPONSE
 * @param answer the response's body; read for a status of 200 or 409 only */
void lmn_worker_client_probe_done(struct lmn_core *core, const char *name, uint64_t epoch,
                                  int status, const GByteArray *answer,
                                  struct timespec now);

/** The agent incarnation to probe: the one that the predecessor's replica named, if no
 * heartbeat has named another since; 0: unknown. */
uint64_t lmn_worker_client_replicated_incarnation(const struct lmn_core *core,
                                                  const char *name);

#endif
