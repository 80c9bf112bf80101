/** @file
 * Probes between members: the thread that sends them, and the replies to other members'
 * probes.
 *
 * The modules in membership/ decide when to probe which member, and what follows from a
 * reply or a timeout. Probes and replies carry gossip about further members. After a
 * reply, the member is sent the tombstones that it has not acknowledged yet, and the
 * lists of unschedulable tasks (controller/unschedulable_message.h). */
#ifndef LMN_CONTROLLER_PROBE_CLIENT_H
#define LMN_CONTROLLER_PROBE_CLIENT_H

#include "state/core_state.h"
#include "controller_rpc.h"

/** Memory for the gossip to which a probe or its reply points. */
struct lmn_probe_reply_buffer {
    lmn_rpc_gossip gossip[LMN_MAX_GOSSIP_STATEMENTS];
};

/** Records a probe from another member and fills the reply. Takes the core's lock.
 * @param buffer the reply points into it; must outlive the reply */
void lmn_probe_handle(struct lmn_core *core, const lmn_rpc_probe *probe,
                      lmn_rpc_probe_reply *reply, struct lmn_probe_reply_buffer *buffer);
/** Records tombstones of jobs that another controller has confirmed to users as
 * cancelled. Takes the core's lock.
 * @return how many of these jobs the watch cache does not show as cancelled yet */
u_int lmn_tombstones_handle(struct lmn_core *core, const lmn_rpc_tombstones *tombstones);
/** Thread function: probes the other members.
 * @param core the struct lmn_core */
void *lmn_probe_thread(void *core);

#endif
