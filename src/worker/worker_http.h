/** @file
 * What a real machine's agent serves by HTTP: commands, its state, metrics. */
#ifndef LMN_WORKER_WORKER_HTTP_H
#define LMN_WORKER_WORKER_HTTP_H

#include "worker/worker_state.h"

struct lmn_http_server;

/** Starts the HTTP server's thread. @return NULL with errno */
struct lmn_http_server *lmn_worker_serve(struct lmn_worker *worker);

#endif
