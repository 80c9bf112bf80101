/**
 * @file
 * Connections of an HTTP server by kind: which are accepted, which stay open, and the
 * counters. The counters are atomic; connections are accepted and closed on the server's
 * thread.
 */
#include "http/server_internal.h"

#include <arpa/inet.h>
#include <errno.h>

/** State of a connection, from its start to its end. */
struct connection_context {
    unsigned kind;
};

static struct connection_context *context_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return info ? info->socket_context : NULL;
}

static unsigned kind_by_address(const struct lmn_http_server *server,
                                struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

    if (!server->options.connection_kind || !info || !info->client_addr)
        return 0;
    return server->options.connection_kind(server->options.arg, info->client_addr);
}

void lmn_http_count_connection(void *arg, struct MHD_Connection *connection,
                               void **context, enum MHD_ConnectionNotificationCode event)
{
    struct lmn_http_server *server = arg;

    if (event == MHD_CONNECTION_NOTIFY_STARTED) {
        struct connection_context *started = g_new0(struct connection_context, 1);
        started->kind = kind_by_address(server, connection);
        g_atomic_int_inc(&server->open[started->kind]);
        *context = started;
    } else if (*context) {
        const struct connection_context *ended = *context;
        g_atomic_int_add(&server->open[ended->kind], -1);
        g_clear_pointer(context, g_free);
    }
}

enum MHD_Result lmn_http_accept_connection(void *arg, const struct sockaddr *peer,
                                           socklen_t len)
{
    struct lmn_http_server *server = arg;
    const struct lmn_http_server_options *options = &server->options;
    struct lmn_http_server_load load;
    (void)len;

    if (!options->admit || !options->connection_kind)
        return MHD_YES;
    unsigned kind = options->connection_kind(options->arg, peer);
    lmn_http_server_load(server, &load);
    if (options->admit(options->arg, load.open, kind))
        return MHD_YES;
    __atomic_fetch_add(&server->refused[kind], 1, __ATOMIC_RELAXED);
    return MHD_NO;
}

bool lmn_http_closes_connection(struct lmn_http_request *request)
{
    struct lmn_http_server *server = request->server;
    const struct connection_context *context = context_of(request->connection);
    struct lmn_http_server_load load;

    if (!server->options.keep_open || !context)
        return false;
    lmn_http_server_load(server, &load);
    if (server->options.keep_open(server->options.arg, load.open, context->kind))
        return false;
    __atomic_fetch_add(&server->closed[context->kind], 1, __ATOMIC_RELAXED);
    return true;
}

void lmn_http_request_set_kind(struct lmn_http_request *request, unsigned kind)
{
    struct connection_context *context = context_of(request->connection);

    if (!context || context->kind == kind || kind >= LMN_HTTP_CONNECTION_KINDS)
        return;
    g_atomic_int_add(&request->server->open[context->kind], -1);
    g_atomic_int_inc(&request->server->open[kind]);
    context->kind = kind;
}

void lmn_http_server_load(const struct lmn_http_server *server,
                          struct lmn_http_server_load *load)
{
    for (int kind = 0; kind < LMN_HTTP_CONNECTION_KINDS; kind++) {
        /* lmn_http_request_set_kind() and the end of a connection change counts in
         * separate steps; a count read in between is never reported as negative. */
        load->open[kind] = (unsigned)MAX(g_atomic_int_get(&server->open[kind]), 0);
        load->closed[kind] = __atomic_load_n(&server->closed[kind], __ATOMIC_RELAXED);
        load->refused[kind] = __atomic_load_n(&server->refused[kind], __ATOMIC_RELAXED);
    }
}

int lmn_http_request_port(const struct lmn_http_request *request)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct sockaddr_in address = {0};
    socklen_t len = sizeof address;

    if (!info || getsockname(info->connect_fd, (struct sockaddr *)&address, &len) != 0)
        return -1;
    return ntohs(address.sin_port);
}
