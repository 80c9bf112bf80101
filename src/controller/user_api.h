/* Users' requests: each function answers the call, or holds it and answers later. None is
 * to be called with the core's lock. */
#ifndef LMN_CONTROLLER_USER_API_H
#define LMN_CONTROLLER_USER_API_H

#include "http/server.h"
#include "state/core_state.h"

void lmn_user_api_submit(struct lmn_core *core, struct lmn_http_request *request);
void lmn_user_api_status(struct lmn_core *core, struct lmn_http_request *request,
                         const char *ref);
void lmn_user_api_cancel(struct lmn_core *core, struct lmn_http_request *request,
                         const char *ref);
bool lmn_user_api_is_ready(struct lmn_core *core);
/* Starts the threads that ask the state service, and that look after submissions. */
void lmn_user_api_start(struct lmn_core *core);

#endif
