/** @file
 * The victim's side of work stealing and of quota transfers: requests of a partition
 * that is short of work, or of a team's quota, to a partition that this controller owns.
 *
 * The requests come from other controllers (rpc_server.h) or, for two partitions of one
 * controller, from this one (steal_client.h). What is transferred is decided in
 * scheduler/work_stealing.h and partition/quota_transfer.h; here requests are only
 * decoded and checked. Each function takes the core's lock. */
#ifndef LMN_CONTROLLER_STEAL_HANDLER_H
#define LMN_CONTROLLER_STEAL_HANDLER_H

#include "state/core_state.h"
#include "controller_rpc.h"

/** @return how many queued tasks of the victim the thief could start; 0 also if the
 * message names no valid partitions */
u_int lmn_steal_load_handle(struct lmn_core *core,
                            const struct lmn_rpc_steal_request *message);
/** Begins to transfer tasks from the victim to the thief.
 * @return how many tasks; 0 also if the message names no valid partitions */
u_int lmn_steal_transfer_handle(struct lmn_core *core,
                                const struct lmn_rpc_steal_request *message);
/** Begins to transfer quota from the victim to the thief, or keeps some free for it.
 * @return 1 if something is transferred, else 0 */
u_int lmn_quota_rpc_handle(struct lmn_core *core,
                           const struct lmn_rpc_quota_request *message);

#endif
