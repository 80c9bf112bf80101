/** @file
 * The HTTP interface of a controller: users, workers, load balancers and metrics. */
#ifndef LMN_CONTROLLER_HTTP_ROUTES_H
#define LMN_CONTROLLER_HTTP_ROUTES_H

#include "http/server.h"
#include "state/core_state.h"

/** Listens on the settings' client_listen, with threads of the server's own.
 * @param core must outlive the server
 * @return NULL if it cannot listen */
struct lmn_http_server *lmn_http_routes_start(struct lmn_core *core);

#endif
