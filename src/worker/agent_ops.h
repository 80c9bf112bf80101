/** @file
 * The ops of a real machine's agent: they queue requests, for the executor and for the
 * threads that fetch (worker/worker_state.h). They run under the worker's lock. */
#ifndef LMN_WORKER_AGENT_OPS_H
#define LMN_WORKER_AGENT_OPS_H

#include "worker/agent.h"

/** Their `arg` is a struct lmn_worker. */
extern const struct lmn_agent_ops lmn_worker_agent_ops;

#endif
