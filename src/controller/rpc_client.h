/** @file
 * Connections to the internal addresses of controllers. Independent of the core, because
 * the administration client uses it too. */
#ifndef LMN_CONTROLLER_RPC_CLIENT_H
#define LMN_CONTROLLER_RPC_CLIENT_H

#include "config/settings.h"

#include <rpc/rpc.h>

/** Connects to an internal address with a timeout of 0.6 s.
 * @return to be freed with clnt_destroy; NULL if the connection failed */
CLIENT *lmn_rpc_connect(const char *address);
/** Connects to an internal address.
 * @return to be freed with clnt_destroy; NULL if the connection failed */
CLIENT *lmn_rpc_connect_within(const char *address, double timeout_s);
/** Connects to the member of that name.
 * @return to be freed with clnt_destroy; NULL if the connection failed, or the settings
 *     contain no such member */
CLIENT *lmn_rpc_connect_to_member(const struct lmn_settings *settings, const char *name,
                                  double timeout_s);

#endif
