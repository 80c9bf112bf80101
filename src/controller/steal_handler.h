/** @file
 * Answers requests for queued tasks and for quota: the victim's side of work stealing and
 * of quota transfers. The thief is a partition with free capacity, or with too little of
 * a team's quota; the victim is a partition that this controller owns.
 *
 * The requests come from other controllers (rpc_server.h) or, if this controller owns
 * both partitions, from its own steal_client.h. scheduler/work_stealing.h and
 * partition/quota_transfer.h decide what is transferred; this module decodes and checks
 * the requests. Each function takes the core's lock. */
#ifndef LMN_CONTROLLER_STEAL_HANDLER_H
#define LMN_CONTROLLER_STEAL_HANDLER_H

#include "state/core_state.h"
#include "controller_rpc.h"

/** @return how many queued tasks of the victim the thief could start; 0 if the message
 * contains an invalid partition id */
u_int lmn_steal_load_handle(struct lmn_core *core,
                            const struct lmn_rpc_steal_request *message);
/** Begins to transfer tasks from the victim to the thief.
 * @return how many tasks; 0 if the message contains an invalid partition id */
u_int lmn_steal_transfer_handle(struct lmn_core *core,
                                const struct lmn_rpc_steal_request *message);
/** Begins to transfer quota from the victim to the thief, or reserves some for the thief.
 * @return 1 if quota is being transferred, else 0 */
u_int lmn_quota_rpc_handle(struct lmn_core *core,
                           const struct lmn_rpc_quota_request *message);

#endif
