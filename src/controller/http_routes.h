/* The users' and workers' HTTP interface of a controller. */
#ifndef LMN_CONTROLLER_HTTP_ROUTES_H
#define LMN_CONTROLLER_HTTP_ROUTES_H

#include "http/server.h"
#include "state/core_state.h"

/* Listens on the settings' client_listen; NULL if it can't. The core is never freed. */
struct lmn_http_server *lmn_http_routes_start(struct lmn_core *core);

#endif
