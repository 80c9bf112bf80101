/* Members ask each other whether they are there, and tell what they know of third ones
 * (membership/probe_schedule.h): the thread that asks, and the answers. */
#ifndef LMN_CONTROLLER_PROBE_CLIENT_H
#define LMN_CONTROLLER_PROBE_CLIENT_H

#include "state/core_state.h"
#include "controller_rpc.h"

/* What a question or an answer carries, with room for its names. */
struct lmn_probe_reply_buffer {
    lmn_rpc_gossip said[LMN_MAX_GOSSIP_STATEMENTS];
};

/* Takes in a question that another member has sent, and fills the answer, which points
 * into the room. Takes the lock. */
void lmn_probe_handle(struct lmn_core *core, const lmn_rpc_probe *probe,
                      lmn_rpc_probe_reply *reply, struct lmn_probe_reply_buffer *room);
/* Takes in what another has confirmed to users as withdrawn; returns how many of them the
 * mirror does not show. Takes the lock. */
u_int lmn_tombstones_handle(struct lmn_core *core, const lmn_rpc_tombstones *tombstones);
/* Asks (a thread). */
void *lmn_probe_thread(void *core);

#endif
