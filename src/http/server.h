/* HTTP servers by libmicrohttpd: one polling thread a server; a request that waits for
 * something is held, and answered later from any thread, so that thousands that wait cost
 * no thread each. */
#ifndef LMN_HTTP_SERVER_H
#define LMN_HTTP_SERVER_H

#include "protocol/cbor.h"

struct sockaddr;

struct lmn_http_server;
/* One request whose answer may come later, from another thread. */
struct lmn_http_request;

enum lmn_http_method {
    LMN_HTTP_GET,
    LMN_HTTP_POST,
    LMN_HTTP_PUT,
    LMN_HTTP_DELETE,
    LMN_HTTP_OTHER
};

/* Answers the call, or holds it. On the server's thread: it must not wait for anything.
 */
typedef void lmn_http_handler(void *arg, struct lmn_http_request *call);

/* Connections are counted by kind: numbers that the caller gives a meaning to. A new one
 * is of kind 0. */
enum { LMN_HTTP_CONNECTION_KINDS = 4 };

/* Whether a connection of the kind may stay open after its answer, with so many open of
 * each. On the server's thread. */
typedef bool lmn_http_keep_open(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                                unsigned kind);

/* The kind of a connection by its peer's address, and whether it is let in: both on the
 * server's thread, as it comes. */
typedef unsigned lmn_http_connection_kind(void *arg, const struct sockaddr *peer);
typedef bool lmn_http_admit(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                            unsigned kind);

struct lmn_http_server_options {
    const char
        *listen; /* "IPv4:port"; NULL: connections come by lmn_http_server_adopt alone */
    unsigned connections; /* at most so many; further ones are refused */
    size_t max_body;    /* bytes; a longer one is read, kept nowhere, and answered 400 */
    size_t call_memory; /* bytes that libmicrohttpd sets aside for a connection; 0: its
                           default */
    double patience_s;  /* what is held for longer is answered 503 by
                           lmn_http_server_expire_deferred; 0:  never */
    unsigned idle_s;    /* a connection without a word for this long is closed; 0: 90 s */
    lmn_http_handler *route;
    lmn_http_keep_open *stands;        /* NULL: all stay open */
    lmn_http_connection_kind *kind_of; /* NULL: all are of kind 0 */
    lmn_http_admit *admits; /* NULL: all are let in; who is not is closed at once */
    void *arg;
};

/* NULL if it can't listen (errno tells). Serves until the process ends. */
struct lmn_http_server *
lmn_http_server_start(const struct lmn_http_server_options *options);
/* The port that it listens on: for an address with port 0. */
int lmn_http_server_port(const struct lmn_http_server *server);
/* Serves a connection that the caller has accepted; takes fd over. -1 if it can't. */
int lmn_http_server_adopt(struct lmn_http_server *server, int fd);
/* Calls that have waited too long are answered 503 now. */
void lmn_http_server_expire_deferred(struct lmn_http_server *server);

/* Connections now, by kind, and how many answers closed theirs for want of sockets. From
 * any thread. */
struct lmn_http_server_load {
    unsigned open[LMN_HTTP_CONNECTION_KINDS];
    uint64_t closed[LMN_HTTP_CONNECTION_KINDS];
    uint64_t turned_away[LMN_HTTP_CONNECTION_KINDS]; /* not let in */
};
void lmn_http_server_load(const struct lmn_http_server *server,
                          struct lmn_http_server_load *load);

enum lmn_http_method lmn_http_request_method(const struct lmn_http_request *request);
const char *lmn_http_request_path(const struct lmn_http_request *request);
const GByteArray *lmn_http_request_body(const struct lmn_http_request *request);
/* A query's value; NULL if there is none. Valid until the call is answered; only on the
 * server's thread. */
const char *lmn_http_request_query(const struct lmn_http_request *request,
                                   const char *name);
/* Counts the call's connection among those of the kind from now on. Only on the server's
 * thread, before the call is answered or held. */
void lmn_http_request_set_kind(struct lmn_http_request *request, unsigned kind);
/* The connection's local port, for servers of many addresses. */
int lmn_http_request_port(const struct lmn_http_request *request);
/* Answers it with CBOR; whoever comes first counts. retry_after in seconds, 0: none.
 * Takes over the body (NULL: none). Gives up the caller's hold. */
void lmn_http_request_respond(struct lmn_http_request *request, int status,
                              GByteArray *body, int retry_after);
/* The same with a body of another type, as in "text/plain". */
void lmn_http_request_respond_as(struct lmn_http_request *request, int status,
                                 const char *type, GByteArray *body);
/* {"error": what} */
void lmn_http_request_fail(struct lmn_http_request *request, int status,
                           const char *what);
/* The answer will come from another thread, which now holds the call. */
void lmn_http_request_defer(struct lmn_http_request *request);

#endif
