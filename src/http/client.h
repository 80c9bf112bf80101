/**
 * @file
 * Blocking HTTP/1.1 calls over libcurl. A client keeps one connection to one address and
 * belongs to one thread; nothing is locked. The client never retries: only the
 * caller knows whether a request may be executed twice.
 */
#ifndef LMN_HTTP_CLIENT_H
#define LMN_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>

/** A client and its connection. */
struct lmn_http_client;

/** What lmn_http_client_call() returns instead of a status if there was no response. */
enum {
    LMN_HTTP_NOT_SENT = -1,   /**< not connected: the request can't have been executed */
    LMN_HTTP_NO_RESPONSE = -2 /**< the request may or may not have been executed */
};

/** Creates a client, which connects on its first call. @param address "IPv4:port". */
struct lmn_http_client *lmn_http_client_new(const char *address);

/** Closes the connection and frees the client. */
void lmn_http_client_free(struct lmn_http_client *client);

/**
 * Sends a request and waits for the response. A request with a body is sent at most once.
 * @param method     "GET", "POST", "PUT" or "DELETE".
 * @param path       path and query.
 * @param body       CBOR of a POST or PUT; NULL: empty. Remains owned by the caller.
 * @param timeout_s  seconds for the whole call; connecting takes at most 1.5 s.
 * @param out        its content is replaced by the body of the response.
 * @return the HTTP status, LMN_HTTP_NOT_SENT or LMN_HTTP_NO_RESPONSE. A response of more
 * than 8 MiB counts as none.
 */
int lmn_http_client_call(struct lmn_http_client *client, const char *method,
                         const char *path, const GByteArray *body, double timeout_s,
                         GByteArray *out);

/** @return seconds in the Retry-After header of the last response; 0: none. */
double lmn_http_client_retry_after(struct lmn_http_client *client);

/** Whether the readiness probe of the service at the address is answered with 200 within
 * one second. */
bool lmn_http_is_ready(const char *address);

#endif
