/* Connections to controllers' internal addresses. */
#ifndef LMN_CONTROLLER_RPC_CLIENT_H
#define LMN_CONTROLLER_RPC_CLIENT_H

#include <rpc/rpc.h>

/* NULL if there is none within 0.6 s. The caller ends it by clnt_destroy. */
CLIENT *lmn_rpc_connect(const char *addr);
CLIENT *lmn_rpc_connect_within(const char *addr, double seconds);

#endif
