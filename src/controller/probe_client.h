/** @file
 * Probes between members: the thread that sends them, and the answers to others' probes.
 *
 * Whom to probe when, and what follows from an answer or its absence, is decided in
 * membership/. With probes and answers goes gossip on third members, and a probe that was
 * answered is followed by the tombstones that the member may not know yet. */
#ifndef LMN_CONTROLLER_PROBE_CLIENT_H
#define LMN_CONTROLLER_PROBE_CLIENT_H

#include "state/core_state.h"
#include "controller_rpc.h"

/** Room for the gossip that a probe or its answer points to. */
struct lmn_probe_reply_buffer {
    lmn_rpc_gossip gossip[LMN_MAX_GOSSIP_STATEMENTS];
};

/** Takes in a probe of another member and fills the answer. Takes the core's lock.
 * @param buffer what the answer points into; has to outlive it */
void lmn_probe_handle(struct lmn_core *core, const lmn_rpc_probe *probe,
                      lmn_rpc_probe_reply *reply, struct lmn_probe_reply_buffer *buffer);
/** Takes in jobs that another controller has confirmed to users as cancelled. Takes the
 * core's lock.
 * @return how many of them the watch cache does not show as such */
u_int lmn_tombstones_handle(struct lmn_core *core, const lmn_rpc_tombstones *tombstones);
/** A thread: probes the other members.
 * @param core the struct lmn_core */
void *lmn_probe_thread(void *core);

#endif
