/* Between processes: the administration API and what controllers ask of each other. */
#ifndef LMN_CONTROLLER_RPC_SERVER_H
#define LMN_CONTROLLER_RPC_SERVER_H

#include "state/core_state.h"

/* Serves internal_addr (a thread). -1 if it can't listen. */
int lmn_rpc_server_start(struct lmn_core *core);
/* Pulls work from other partitions for machines that have run dry (a thread). */
void *lmn_steal_thread(void *core);

#endif
