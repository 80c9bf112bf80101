/** @file
 * The ops of a real machine's agent. They run under the worker's lock, so they do no I/O:
 * they queue requests for the executor and for the threads that fetch descriptions and
 * images (worker/worker_state.h). */
#ifndef LMN_WORKER_AGENT_OPS_H
#define LMN_WORKER_AGENT_OPS_H

#include "worker/agent.h"

/** The ops; their `arg` is a struct lmn_worker. */
extern const struct lmn_agent_ops lmn_worker_agent_ops;

#endif
