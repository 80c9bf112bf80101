/**
 * @file
 * Declarations shared by the sources of the HTTP server: the daemon and its callbacks
 * (server_daemon.c), requests and their responses (server_request.c), the counting of
 * connections (server_connections.c). Not for other modules.
 */
#ifndef LMN_HTTP_SERVER_INTERNAL_H
#define LMN_HTTP_SERVER_INTERNAL_H

#include "http/server.h"

#include <microhttpd.h>
#include <pthread.h>
#include <time.h>

/** A running server. */
struct lmn_http_server {
    struct MHD_Daemon *daemon;
    struct lmn_http_server_options
        options; /**< constant; `listen` is invalid after the start */

    /* Connections by kind: atomic, written by the server's thread, read by any. */
    gint open[LMN_HTTP_CONNECTION_KINDS];
    guint64 closed[LMN_HTTP_CONNECTION_KINDS];
    guint64 refused[LMN_HTTP_CONNECTION_KINDS];

    pthread_mutex_t
        lock;        /**< protects `deferred`, and the fields of requests marked below */
    GQueue deferred; /**< requests that wait for a response, the oldest first */
};

/** State of a request. */
enum lmn_http_request_phase {
    LMN_HTTP_RECEIVING, /**< not answered; its handler may be running */
    LMN_HTTP_DEFERRED,  /**< its connection is suspended until there is a response */
    LMN_HTTP_ANSWERED   /**< there is a response, or the connection has ended; final */
};

/** One request, from its first bytes until its response is sent. */
struct lmn_http_request {
    struct lmn_http_server *server;
    struct MHD_Connection *connection;
    char *path;
    GByteArray *body;
    enum lmn_http_method method;
    bool is_body_too_large;
    struct timespec received_at;

    /* Protected by the server's lock. The response is written once, with the phase, and
     * then only read by the server's thread. */
    enum lmn_http_request_phase phase;
    int references; /**< 1 for the connection, and 1 for the code that answers if deferred
                     */
    GList *deferred_link; /**< link in the server's queue; NULL unless deferred */
    int status;
    int retry_after; /**< seconds; 0: none */
    const char *content_type;
    GByteArray *response; /**< owned; NULL: empty */
};

/** Creates a request with one reference, held by the connection. */
struct lmn_http_request *lmn_http_request_new(struct lmn_http_server *server,
                                              struct MHD_Connection *connection,
                                              const char *path, const char *method);

/** Releases the connection's reference after the connection or the exchange of request
 * and response has ended. */
void lmn_http_request_end(struct lmn_http_request *request);

/** Whether the request is in phase LMN_HTTP_ANSWERED. */
bool lmn_http_request_is_answered(struct lmn_http_request *request);

/** libmicrohttpd's callback for a new connection, before it is accepted. */
enum MHD_Result lmn_http_accept_connection(void *arg, const struct sockaddr *peer,
                                           socklen_t len);

/** libmicrohttpd's callback for the start and the end of a connection. */
void lmn_http_count_connection(void *arg, struct MHD_Connection *connection,
                               void **context, enum MHD_ConnectionNotificationCode event);

/** Whether the request's connection must be closed after the response; counts the
 * connection as closed if so. */
bool lmn_http_closes_connection(struct lmn_http_request *request);

#endif
