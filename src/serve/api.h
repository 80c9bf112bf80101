/* Users' requests: each function answers the call, or holds it and answers later. None is
 * to be called with the core's lock. */
#ifndef LMN_API_H
#define LMN_API_H

#include "base/httpd.h"
#include "state/model.h"

void lmn_api_submit(struct lmn_core *c, struct lmn_call *call);
void lmn_api_poll(struct lmn_core *c, struct lmn_call *call, const char *ref);
void lmn_api_cancel(struct lmn_core *c, struct lmn_call *call, const char *ref);
bool lmn_api_ready(struct lmn_core *c);
/* Reads through to the state service, for ever (a thread). */
void *lmn_api_thread(void *core);

#endif
