/** @file
 * Connections to the internal addresses of controllers. Used by the administration client
 * too: it has no core. */
#ifndef LMN_CONTROLLER_RPC_CLIENT_H
#define LMN_CONTROLLER_RPC_CLIENT_H

#include "config/settings.h"

#include <rpc/rpc.h>

/** Connects within 0.6 s.
 * @return a connection that the caller ends with clnt_destroy; NULL: there is none */
CLIENT *lmn_rpc_connect(const char *address);
/** The same within that many seconds. */
CLIENT *lmn_rpc_connect_within(const char *address, double seconds);
/** The same to another member, by its name.
 * @return NULL also if the settings name no such member */
CLIENT *lmn_rpc_connect_to_member(const struct lmn_settings *settings, const char *name,
                                  double seconds);

#endif
