/**
 * @file
 * The libmicrohttpd daemon of an HTTP server, and the callbacks that receive requests
 * and send responses. All callbacks run on the daemon's thread.
 */
#include "http/server_internal.h"
#include "config/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

enum {
    DEFAULT_CONNECTION_MEMORY = 32 * 1024, /**< bytes for each connection */
    DEFAULT_IDLE_S = 90,                   /**< seconds */
    THREAD_STACK_BYTES = 256 * 1024,
    STATUS_BAD_REQUEST = 400,
    STATUS_METHOD_NOT_ALLOWED = 405
};

static void add_retry_after(struct MHD_Response *response, int seconds)
{
    char text[16];

    g_snprintf(text, sizeof text, "%d", seconds);
    MHD_add_response_header(response, "Retry-After", text);
}

/** Passes the response of an answered request to libmicrohttpd. */
static enum MHD_Result send_response(struct lmn_http_request *request)
{
    const GByteArray *body = request->response;
    bool has_body = body && body->len;
    struct MHD_Response *response = MHD_create_response_from_buffer(
        has_body ? body->len : 0, has_body ? body->data : (void *)"",
        MHD_RESPMEM_MUST_COPY);

    if (has_body)
        MHD_add_response_header(response, "Content-Type", request->content_type);
    if (request->retry_after)
        add_retry_after(response, request->retry_after);
    if (lmn_http_closes_connection(request))
        MHD_add_response_header(response, "Connection", "close");
    enum MHD_Result result =
        MHD_queue_response(request->connection, (unsigned)request->status, response);
    MHD_destroy_response(response);
    return result;
}

/** Stores a part of the body. A body that is too long is read to its end but not stored:
 * a client that is still sending would not read a response. */
static void receive_body(struct lmn_http_request *request, const char *bytes, size_t len)
{
    if (request->body->len + len > request->server->options.max_body_bytes)
        request->is_body_too_large = true;
    else
        g_byte_array_append(request->body, (const guint8 *)bytes, (guint)len);
}

static void refuse_body(struct lmn_http_request *request)
{
    const struct lmn_http_server_options *options = &request->server->options;
    g_autofree char *text = g_strdup_printf("body: larger than the limit of %zu bytes",
                                            options->max_body_bytes);

    if (options->body_too_large)
        options->body_too_large(options->arg, request->path);
    lmn_http_request_fail(request, STATUS_BAD_REQUEST, text);
}

/** Passes a completely received request to the handler, or answers it with an error. */
static void dispatch(struct lmn_http_request *request)
{
    const struct lmn_http_server_options *options = &request->server->options;

    if (request->method == LMN_HTTP_OTHER)
        lmn_http_request_respond(request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
    else if (request->is_body_too_large)
        refuse_body(request);
    else
        options->route(options->arg, request);
}

/** Called by libmicrohttpd when the headers have been received, for each part of the
 * body, at the end of the body, and again after a suspended connection was resumed. */
static enum MHD_Result handle_request(void *arg, struct MHD_Connection *connection,
                                      const char *path, const char *method,
                                      const char *version, const char *body, size_t *len,
                                      void **context)
{
    struct lmn_http_request *request = *context;
    (void)version;

    if (!request) {
        *context = lmn_http_request_new(arg, connection, path, method);
        return MHD_YES;
    }
    if (*len) {
        receive_body(request, body, *len);
        *len = 0;
        return MHD_YES;
    }
    /* Read without the lock: only this thread changes the phase from
     * LMN_HTTP_RECEIVING. */
    if (request->phase == LMN_HTTP_RECEIVING)
        dispatch(request);
    return lmn_http_request_is_answered(request) ? send_response(request) : MHD_YES;
}

static void end_request(void *arg, struct MHD_Connection *connection, void **context,
                        enum MHD_RequestTerminationCode reason)
{
    (void)arg;
    (void)connection;
    (void)reason;

    if (!*context)
        return;
    lmn_http_request_end(*context);
    *context = NULL;
}

/** Reads "IPv4:port"; port 0 means any free one. @return 0, or -1 with errno. */
static int parse_listen_address(const char *listen, struct sockaddr_in *address)
{
    char host[LMN_ADDRESS_SIZE];
    int port = 0;

    if (g_str_has_suffix(listen, ":0") && strlen(listen) < sizeof host) {
        g_strlcpy(host, listen, sizeof host);
        *strrchr(host, ':') = '\0';
    } else if (lmn_address_split(listen, host, sizeof host, &port) != 0) {
        errno = EINVAL;
        return -1;
    }
    address->sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &address->sin_addr);
    return 0;
}

static struct MHD_Daemon *start_daemon(struct lmn_http_server *server, unsigned flags,
                                       const struct sockaddr_in *address)
{
    const struct lmn_http_server_options *options = &server->options;
    size_t memory = options->connection_memory_bytes ? options->connection_memory_bytes
                                                     : (size_t)DEFAULT_CONNECTION_MEMORY;
    unsigned idle_timeout_s =
        options->idle_timeout_s ? options->idle_timeout_s : (unsigned)DEFAULT_IDLE_S;

    /* One option on each line. */
    /* clang-format off */
    return MHD_start_daemon(
        flags, ntohs(address->sin_port),
        lmn_http_accept_connection, server,
        handle_request, server,
        MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)address,
        MHD_OPTION_NOTIFY_COMPLETED, end_request, server,
        MHD_OPTION_NOTIFY_CONNECTION, lmn_http_count_connection, server,
        MHD_OPTION_CONNECTION_LIMIT, options->connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
        MHD_OPTION_END);
    /* clang-format on */
}

struct lmn_http_server *
lmn_http_server_start(const struct lmn_http_server_options *options)
{
    struct lmn_http_server *server = g_new0(struct lmn_http_server, 1);
    struct sockaddr_in address = {.sin_family = AF_INET};
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;

    pthread_mutex_init(&server->lock, NULL);
    server->options = *options;
    if (!options->listen) {
        flags |= MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC;
    } else if (parse_listen_address(options->listen, &address) != 0) {
        g_free(server);
        return NULL;
    }
    server->daemon = start_daemon(server, flags, &address);
    if (!server->daemon)
        g_clear_pointer(&server, g_free);
    return server;
}

int lmn_http_server_adopt(struct lmn_http_server *server, int fd)
{
    struct sockaddr_in peer = {.sin_family = AF_INET};
    socklen_t len = sizeof peer;

    getpeername(fd, (struct sockaddr *)&peer, &len);
    enum MHD_Result result =
        MHD_add_connection(server->daemon, fd, (struct sockaddr *)&peer, len);
    return result == MHD_YES ? 0 : -1;
}

int lmn_http_server_port(const struct lmn_http_server *server)
{
    return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}
