/** @file
 * The HTTP server of a real machine's agent: it accepts commands, and serves the
 * machine's state and metrics. */
#ifndef LMN_WORKER_WORKER_HTTP_H
#define LMN_WORKER_WORKER_HTTP_H

#include "worker/worker_state.h"

struct lmn_http_server;

/** Starts the HTTP server's thread. @return the server, or NULL with errno */
struct lmn_http_server *lmn_worker_serve(struct lmn_worker *worker);

#endif
