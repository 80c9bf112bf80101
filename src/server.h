/* The users' and workers' HTTP interface. */
#ifndef LMN_SERVER_H
#define LMN_SERVER_H

#include "core.h"

/* One request whose answer may come later, from another thread. */
struct lmn_call;

const char *lmn_call_path(const struct lmn_call *call);
const GByteArray *lmn_call_body(const struct lmn_call *call);
/* Answers it; whoever comes first counts. retry_after 0: none. Takes over the body. Gives up
 * the caller's hold. */
void lmn_call_answer(struct lmn_call *call, int status, GByteArray *body, int retry_after);
/* The answer will come from another thread, which now holds the call. */
void lmn_call_hold(struct lmn_call *call);

int lmn_server_start(struct lmn_core *c);
/* Calls that have waited too long are answered 503 now. */
void lmn_server_sweep(void);

/* --- api.c --- */
/* Deals with a users' request: answers it, or holds it and answers later. */
void lmn_api_submit(struct lmn_core *c, struct lmn_call *call);
void lmn_api_poll(struct lmn_core *c, struct lmn_call *call, const char *ref);
void lmn_api_cancel(struct lmn_core *c, struct lmn_call *call, const char *ref);
bool lmn_api_ready(struct lmn_core *c);
void *lmn_api_thread(void *core);

#endif
