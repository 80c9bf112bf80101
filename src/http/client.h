/* Blocking HTTP/1.1 calls over one kept connection; one client belongs to one thread. */
#ifndef LMN_HTTP_CLIENT_H
#define LMN_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>

struct lmn_http_client;

/* What became of a call that brought no answer. */
enum { LMN_HTTP_NOT_SENT = -1, LMN_HTTP_NO_RESPONSE = -2 };

struct lmn_http_client *lmn_http_client_new(const char *addr);
void lmn_http_client_free(struct lmn_http_client *client);
/* method: GET, POST, PUT or DELETE. Returns the status, or one of the above:
 * LMN_HTTP_NOT_SENT only when the request can't have been executed. A request with a body
 * is sent once at most. The answer's body replaces what is in out. */
int lmn_http_client_call(struct lmn_http_client *client, const char *method,
                         const char *path, const GByteArray *body, double timeout_s,
                         GByteArray *out);

/* Seconds that the last answer asked to wait (Retry-After); 0: none. */
double lmn_http_client_retry_after(struct lmn_http_client *client);

/* Whether a service says at the address that it is ready; waits for up to a second. */
bool lmn_http_is_ready(const char *addr);

#endif
