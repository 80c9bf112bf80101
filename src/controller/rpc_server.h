/** @file
 * The RPC server on a controller's internal address. It answers the calls of the
 * administration client and of the other controllers (controller_rpc.x). */
#ifndef LMN_CONTROLLER_RPC_SERVER_H
#define LMN_CONTROLLER_RPC_SERVER_H

#include "state/core_state.h"

/** Listens on internal_address of the settings and starts the server's thread. To be
 * called at most once in a process.
 * @param core must outlive the server
 * @return 0, or -1 if the server cannot listen */
int lmn_rpc_server_start(struct lmn_core *core);

#endif
