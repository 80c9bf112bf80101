/** @file
 * The HTTP interface of a controller: users, workers, load balancers and metrics. */
#ifndef LMN_CONTROLLER_HTTP_ROUTES_H
#define LMN_CONTROLLER_HTTP_ROUTES_H

#include "http/server.h"
#include "state/core_state.h"

/** Starts the HTTP server, with its own threads, on the address client_listen of the
 * settings.
 * @param core must outlive the server
 * @return NULL if the server cannot listen */
struct lmn_http_server *lmn_http_routes_start(struct lmn_core *core);

#endif
