/** @file
 * The RPC server on a controller's internal address: the administration client's calls,
 * and those of the other controllers (controller_rpc.x). */
#ifndef LMN_CONTROLLER_RPC_SERVER_H
#define LMN_CONTROLLER_RPC_SERVER_H

#include "state/core_state.h"

/** Listens on the settings' internal_address and starts the thread that serves it.
 *
 * To be called once in a process; the core must outlive it.
 * @return 0, or -1 if it cannot listen */
int lmn_rpc_server_start(struct lmn_core *core);

#endif
