/** @file
 * The messages by which a controller tells the others which tasks of its partitions are
 * unschedulable (scheduler/unschedulable.h). Keeps no state of its own.
 *
 * The probe thread sends them after a member has replied to a probe
 * (controller/probe_client.h), the RPC server receives them. */
#ifndef LMN_CONTROLLER_UNSCHEDULABLE_MESSAGE_H
#define LMN_CONTROLLER_UNSCHEDULABLE_MESSAGE_H

#include "state/core_state.h"
#include "controller_rpc.h"

/** Which lists a member has got, by partition. */
struct lmn_unschedulable_sent {
    bool has_entries[LMN_MAX_PARTITIONS]; /**< the last list sent was not empty */
};

/** Sends the lists of this controller's partitions to a member. An empty one is sent only
 * after one that was not empty. Takes the core's lock, but not during the calls.
 * @param client the connection to the member
 * @return false if the connection has failed */
bool lmn_unschedulable_send(struct lmn_core *core, CLIENT *client,
                            struct lmn_unschedulable_sent *sent);

/** Records a list that another controller has sent. Takes the core's lock.
 * @return the number of entries that this controller can use */
u_int lmn_unschedulable_message_handle(struct lmn_core *core,
                                       const lmn_rpc_unschedulable_list *message);

#endif
