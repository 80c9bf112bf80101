/**
 * @file
 * HTTP/1.1 servers over libmicrohttpd. Each server has one thread that polls all its
 * connections and calls the handler. A request that has to wait for something is deferred
 * and answered later from any thread, so that thousands of waiting requests need no
 * thread each.
 *
 * Threads and locks: callbacks of the options run on the server's thread and must not
 * block. Each server has one lock, taken only inside these functions, and calls no
 * callback while it is held; callers may hold their own locks.
 *
 * Not here: authentication, TLS, routing by path (each service has its own), and the
 * meaning of connection kinds (admission/connection_budget.h).
 */
#ifndef LMN_HTTP_SERVER_H
#define LMN_HTTP_SERVER_H

#include "protocol/cbor.h"

struct sockaddr;

/** A running server. Lives until the process ends. */
struct lmn_http_server;

/** One request. Valid for its handler until the handler returns; if it was deferred,
 * until it is answered. */
struct lmn_http_request;

/** Method of a request. */
enum lmn_http_method {
    LMN_HTTP_GET,
    LMN_HTTP_POST,
    LMN_HTTP_PUT,
    LMN_HTTP_DELETE,
    LMN_HTTP_OTHER /**< anything else; answered with 405 before the handler sees it */
};

/** Answers a request that was received whole, or defers it. */
typedef void lmn_http_handler(void *arg, struct lmn_http_request *request);

/** Told of a request whose body is too long, before it is answered with 400. */
typedef void lmn_http_body_too_large(void *arg, const char *path);

/** Connections are counted by kind, a number from 0 to LMN_HTTP_CONNECTION_KINDS - 1
 * whose meaning the caller defines. */
enum { LMN_HTTP_CONNECTION_KINDS = 4 };

/** Whether a connection of this kind may stay open after its response. @param open number
 * of open connections of each kind. */
typedef bool lmn_http_keep_open(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                                unsigned kind);

/** @return the kind of a new connection by its peer's address. */
typedef unsigned lmn_http_connection_kind(void *arg, const struct sockaddr *peer);

/** Whether a new connection of this kind is accepted. @param open number of open
 * connections of each kind. */
typedef bool lmn_http_admit(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                            unsigned kind);

/** Options of a server. Copied at the start; the structure need not exist afterwards. */
struct lmn_http_server_options {
    /** "IPv4:port", port 0: any free one; NULL: connections come by
     * lmn_http_server_adopt() only. */
    const char *listen;
    /** Maximum number of open connections; further ones are refused. */
    unsigned connections;
    /** Maximum length of a body, bytes. A longer body is read to its end, not stored, and
     * answered with 400 and an error text. */
    size_t max_body_bytes;
    lmn_http_body_too_large *body_too_large; /**< NULL: not told */
    /** Bytes that libmicrohttpd allocates for each connection, which limits the length
     * of the headers; 0: 32 KiB. */
    size_t connection_memory_bytes;
    /** Seconds after which lmn_http_server_expire_deferred() answers a deferred request
     * with 503; 0: never. */
    double defer_timeout_s;
    /** Seconds without traffic after which a connection is closed; 0: 90. */
    unsigned idle_timeout_s;
    lmn_http_handler *route;                   /**< required */
    lmn_http_keep_open *keep_open;             /**< NULL: all connections stay open */
    lmn_http_connection_kind *connection_kind; /**< NULL: all are of kind 0 */
    /** If this or connection_kind is NULL, all connections are accepted. A connection
     * that is not accepted is closed at once. */
    lmn_http_admit *admit;
    void *arg; /**< passed to all callbacks; must outlive the server */
};

/** Starts a server. @return NULL if it can't listen (errno says why). */
struct lmn_http_server *
lmn_http_server_start(const struct lmn_http_server_options *options);

/** @return the port that the server listens on, also if `listen` had port 0. */
int lmn_http_server_port(const struct lmn_http_server *server);

/** Serves a connection that the caller has accepted, and takes ownership of `fd`.
 * @return 0, or -1 if the server refuses it. Any thread. */
int lmn_http_server_adopt(struct lmn_http_server *server, int fd);

/** Answers deferred requests older than `defer_timeout_s` with 503 and Retry-After. Must
 * be called regularly, on any thread. */
void lmn_http_server_expire_deferred(struct lmn_http_server *server);

/** Connections by kind. */
struct lmn_http_server_load {
    unsigned open[LMN_HTTP_CONNECTION_KINDS];    /**< now */
    uint64_t closed[LMN_HTTP_CONNECTION_KINDS];  /**< closed after a response because
                                                      keep_open returned false, since
                                                      the start */
    uint64_t refused[LMN_HTTP_CONNECTION_KINDS]; /**< not accepted since the start */
};

/** Reads the counters. Any thread; they are read one after another, so that their sum
 * may be off by connections that open or close meanwhile. */
void lmn_http_server_load(const struct lmn_http_server *server,
                          struct lmn_http_server_load *load);

/** @return the method. */
enum lmn_http_method lmn_http_request_method(const struct lmn_http_request *request);

/** @return the path without the query. Valid as long as the request. */
const char *lmn_http_request_path(const struct lmn_http_request *request);

/** @return the body, empty if there is none. Valid as long as the request. */
const GByteArray *lmn_http_request_body(const struct lmn_http_request *request);

/** @return the value of a query parameter; NULL if there is none. Valid until the request
 * is answered. Only on the server's thread. */
const char *lmn_http_request_query(const struct lmn_http_request *request,
                                   const char *name);

/** @return the local port of the connection, for servers with many addresses; -1 if it is
 * not known. */
int lmn_http_request_port(const struct lmn_http_request *request);

/** Changes the kind that the request's connection is counted under. Only on the
 * server's thread, before the request is answered or deferred. */
void lmn_http_request_set_kind(struct lmn_http_request *request, unsigned kind);

/**
 * Answers a request with CBOR. If it was answered already, or its connection has ended,
 * the response is dropped. A deferred request must not be used afterwards. Any thread.
 * @param body         the server takes ownership; NULL: none.
 * @param retry_after  seconds for the Retry-After header; 0: none.
 */
void lmn_http_request_respond(struct lmn_http_request *request, int status,
                              GByteArray *body, int retry_after);

/** Like lmn_http_request_respond(), with a body of another content type, such as
 * "text/plain". @param type a string constant, since it must outlive the request. */
void lmn_http_request_respond_as(struct lmn_http_request *request, int status,
                                 const char *type, GByteArray *body);

/** Like lmn_http_request_respond(), with the body {"error": what}. */
void lmn_http_request_fail(struct lmn_http_request *request, int status,
                           const char *what);

/** Defers the response. The request stays valid until it is answered, which must happen
 * exactly once, also after its connection has ended. May only be called by the handler.
 */
void lmn_http_request_defer(struct lmn_http_request *request);

#endif
