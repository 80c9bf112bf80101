#include "http/server.h"
#include "util/clock.h"
#include "config/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

struct lmn_http_server {
    struct MHD_Daemon *daemon;
    lmn_http_handler *route;
    lmn_http_keep_open *stands;
    lmn_http_connection_kind *kind_of;
    lmn_http_admit *admits;
    void *arg;
    size_t max_body;
    double patience_s;
    /* By kind; read by any thread (atomic). */
    gint open[LMN_HTTP_CONNECTION_KINDS];
    guint64 closed[LMN_HTTP_CONNECTION_KINDS], turned_away[LMN_HTTP_CONNECTION_KINDS];
    pthread_mutex_t lock; /* of the calls' phases and of waiting */
    GQueue waiting;
};

/* What is kept with a connection, from its start to its end. */
struct peer {
    unsigned kind;
};

struct lmn_http_request {
    struct lmn_http_server *server;
    struct MHD_Connection *conn;
    char *path;
    GByteArray *body, *answer;
    const char *type;
    enum { CALL_READING, CALL_WAITING, CALL_ANSWERED } phase;
    enum lmn_http_method method;
    int status, retry_after, holds;
    bool too_big;
    struct timespec since;
    GList *link;
};

static const char CBOR[] = "application/cbor";

const char *lmn_http_request_path(const struct lmn_http_request *request)
{
    return request->path;
}

const GByteArray *lmn_http_request_body(const struct lmn_http_request *request)
{
    return request->body;
}

enum lmn_http_method lmn_http_request_method(const struct lmn_http_request *request)
{
    return request->method;
}

const char *lmn_http_request_query(const struct lmn_http_request *request,
                                   const char *name)
{
    return MHD_lookup_connection_value(request->conn, MHD_GET_ARGUMENT_KIND, name);
}

static struct peer *peer_of(struct MHD_Connection *conn)
{
    const union MHD_ConnectionInfo *i =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return i ? i->socket_context : NULL;
}

void lmn_http_request_set_kind(struct lmn_http_request *request, unsigned kind)
{
    struct peer *p = peer_of(request->conn);

    if (!p || p->kind == kind || kind >= LMN_HTTP_CONNECTION_KINDS)
        return;
    g_atomic_int_add(&request->server->open[p->kind], -1);
    g_atomic_int_inc(&request->server->open[kind]);
    p->kind = kind;
}

static void counted(void *arg, struct MHD_Connection *conn, void **context,
                    enum MHD_ConnectionNotificationCode what)
{
    struct lmn_http_server *server = arg;

    if (what == MHD_CONNECTION_NOTIFY_STARTED) {
        const union MHD_ConnectionInfo *i =
            MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        struct peer *p = g_new0(struct peer, 1);
        if (server->kind_of && i && i->client_addr)
            p->kind = server->kind_of(server->arg, i->client_addr);
        g_atomic_int_inc(&server->open[p->kind]);
        *context = p;
    } else if (*context) {
        g_atomic_int_add(&server->open[((struct peer *)*context)->kind], -1);
        g_clear_pointer(context, g_free);
    }
}

void lmn_http_server_load(const struct lmn_http_server *server,
                          struct lmn_http_server_load *load)
{
    for (int k = 0; k < LMN_HTTP_CONNECTION_KINDS; k++) {
        load->open[k] = (unsigned)MAX(g_atomic_int_get(&server->open[k]), 0);
        load->closed[k] = __atomic_load_n(&server->closed[k], __ATOMIC_RELAXED);
        load->turned_away[k] = __atomic_load_n(&server->turned_away[k], __ATOMIC_RELAXED);
    }
}

static enum MHD_Result let_in(void *arg, const struct sockaddr *addr, socklen_t len)
{
    struct lmn_http_server *server = arg;
    struct lmn_http_server_load load;
    (void)len;

    if (!server->admits || !server->kind_of)
        return MHD_YES;
    unsigned kind = server->kind_of(server->arg, addr);
    lmn_http_server_load(server, &load);
    if (server->admits(server->arg, load.open, kind))
        return MHD_YES;
    __atomic_fetch_add(&server->turned_away[kind], 1, __ATOMIC_RELAXED);
    return MHD_NO;
}

/* Whether the call's connection is to end with its answer. */
static bool ends(struct lmn_http_request *request)
{
    struct lmn_http_server *server = request->server;
    struct peer *p = peer_of(request->conn);
    struct lmn_http_server_load load;

    if (!server->stands || !p)
        return false;
    lmn_http_server_load(server, &load);
    if (server->stands(server->arg, load.open, p->kind))
        return false;
    __atomic_fetch_add(&server->closed[p->kind], 1, __ATOMIC_RELAXED);
    return true;
}

int lmn_http_request_port(const struct lmn_http_request *request)
{
    const union MHD_ConnectionInfo *i =
        MHD_get_connection_info(request->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct sockaddr_in a = {0};
    socklen_t len = sizeof a;

    if (!i || getsockname(i->connect_fd, (struct sockaddr *)&a, &len) != 0)
        return -1;
    return ntohs(a.sin_port);
}

static void drop(struct lmn_http_request *request)
{
    if (--request->holds > 0)
        return;
    g_free(request->path);
    g_byte_array_unref(request->body);
    if (request->answer)
        g_byte_array_unref(request->answer);
    g_free(request);
}

/* The server's lock is held. */
static void set_answer(struct lmn_http_request *request, int status, const char *type,
                       GByteArray *body, int retry_after)
{
    bool resume = request->phase == CALL_WAITING;

    request->phase = CALL_ANSWERED;
    request->status = status;
    request->type = type;
    request->answer = body;
    request->retry_after = retry_after;
    if (resume) {
        g_queue_delete_link(&request->server->waiting, request->link);
        request->link = NULL;
        MHD_resume_connection(request->conn);
    }
}

static void answer(struct lmn_http_request *request, int status, const char *type,
                   GByteArray *body, int retry_after)
{
    struct lmn_http_server *server = request->server;

    pthread_mutex_lock(&server->lock);
    bool was_held = request->phase != CALL_READING;
    if (request->phase == CALL_ANSWERED) {
        if (body)
            g_byte_array_unref(body);
    } else {
        set_answer(request, status, type, body, retry_after);
    }
    if (was_held)
        drop(request);
    pthread_mutex_unlock(&server->lock);
}

void lmn_http_request_respond(struct lmn_http_request *request, int status,
                              GByteArray *body, int retry_after)
{
    answer(request, status, CBOR, body, retry_after);
}

void lmn_http_request_respond_as(struct lmn_http_request *request, int status,
                                 const char *type, GByteArray *body)
{
    answer(request, status, type, body, 0);
}

void lmn_http_request_fail(struct lmn_http_request *request, int status, const char *what)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 1);
    lmn_cbor_put_text(buffer, "error"), lmn_cbor_put_text(buffer, what);
    answer(request, status, CBOR, buffer, 0);
}

void lmn_http_request_defer(struct lmn_http_request *request)
{
    struct lmn_http_server *server = request->server;

    pthread_mutex_lock(&server->lock);
    request->holds++;
    request->phase = CALL_WAITING;
    g_queue_push_tail(&server->waiting, request);
    request->link = server->waiting.tail;
    MHD_suspend_connection(request->conn);
    pthread_mutex_unlock(&server->lock);
}

void lmn_http_server_expire_deferred(struct lmn_http_server *server)
{
    struct timespec now = lmn_now();

    if (server->patience_s <= 0)
        return;
    pthread_mutex_lock(&server->lock);
    while (server->waiting.head) {
        struct lmn_http_request *request = server->waiting.head->data;
        if (lmn_time_diff_s(now, request->since) < server->patience_s)
            break;
        set_answer(request, 503, CBOR, NULL, 1);
    }
    pthread_mutex_unlock(&server->lock);
}

static enum MHD_Result reply(struct lmn_http_request *request)
{
    GByteArray *a = request->answer;
    struct MHD_Response *r = MHD_create_response_from_buffer(
        a ? a->len : 0, a && a->len ? a->data : (void *)"", MHD_RESPMEM_MUST_COPY);
    enum MHD_Result ok;

    if (a && a->len)
        MHD_add_response_header(r, "Content-Type", request->type);
    if (request->retry_after) {
        char t[16];
        g_snprintf(t, sizeof t, "%d", request->retry_after);
        MHD_add_response_header(r, "Retry-After", t);
    }
    if (ends(request))
        MHD_add_response_header(r, "Connection", "close");
    ok = MHD_queue_response(request->conn, (unsigned)request->status, r);
    MHD_destroy_response(r);
    return ok;
}

static enum lmn_http_method method_of(const char *word)
{
    static const char *const words[] = {"GET", "POST", "PUT", "DELETE"};

    for (guint i = 0; i < G_N_ELEMENTS(words); i++)
        if (!strcmp(word, words[i]))
            return (enum lmn_http_method)i;
    return LMN_HTTP_OTHER;
}

static enum MHD_Result handler(void *arg, struct MHD_Connection *conn, const char *url,
                               const char *method, const char *version, const char *data,
                               size_t *size, void **state)
{
    struct lmn_http_request *request = *state;
    struct lmn_http_server *server = arg;
    (void)version;

    if (!request) {
        request = g_new0(struct lmn_http_request, 1);
        request->server = server;
        request->conn = conn;
        request->path = g_strdup(url);
        request->body = g_byte_array_new();
        request->holds = 1;
        request->since = lmn_now();
        request->method = method_of(method);
        *state = request;
        return MHD_YES;
    }
    if (*size) {
        if (request->body->len + *size > server->max_body)
            request->too_big = true; /* read to its end, kept nowhere */
        else
            g_byte_array_append(request->body, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    if (request->phase == CALL_READING) {
        if (request->method == LMN_HTTP_OTHER)
            lmn_http_request_respond(request, 405, NULL, 0);
        else if (request->too_big)
            lmn_http_request_respond(request, 400, NULL, 0);
        else
            server->route(server->arg, request);
    }
    pthread_mutex_lock(&server->lock);
    bool ready = request->phase == CALL_ANSWERED;
    pthread_mutex_unlock(&server->lock);
    return ready ? reply(request) : MHD_YES;
}

static void completed(void *arg, struct MHD_Connection *conn, void **state,
                      enum MHD_RequestTerminationCode why)
{
    struct lmn_http_request *request = *state;
    struct lmn_http_server *server = arg;
    (void)conn;
    (void)why;

    if (!request)
        return;
    pthread_mutex_lock(&server->lock);
    if (request->phase == CALL_WAITING) {
        g_queue_delete_link(&server->waiting, request->link);
        request->link = NULL;
    }
    request->phase = CALL_ANSWERED;
    drop(request);
    pthread_mutex_unlock(&server->lock);
    *state = NULL;
}

struct lmn_http_server *
lmn_http_server_start(const struct lmn_http_server_options *options)
{
    struct lmn_http_server *server = g_new0(struct lmn_http_server, 1);
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDRESS_SIZE];
    int port = 0;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;

    pthread_mutex_init(&server->lock, NULL);
    server->route = options->route;
    server->stands = options->stands;
    server->kind_of = options->kind_of;
    server->admits = options->admits;
    server->arg = options->arg;
    server->max_body = options->max_body;
    server->patience_s = options->patience_s;
    if (!options->listen) {
        flags |= MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC;
    } else {
        /* Port 0: one that is free. */
        if (g_str_has_suffix(options->listen, ":0") &&
            strlen(options->listen) < sizeof host) {
            g_strlcpy(host, options->listen, sizeof host);
            *strrchr(host, ':') = '\0';
        } else if (lmn_address_split(options->listen, host, sizeof host, &port) != 0) {
            errno = EINVAL;
            g_free(server);
            return NULL;
        }
        a.sin_port = htons((uint16_t)port);
        inet_pton(AF_INET, host, &a.sin_addr);
    }
    server->daemon = MHD_start_daemon(
        flags, (uint16_t)port, let_in, server, handler, server, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&a, MHD_OPTION_NOTIFY_COMPLETED, completed, server,
        MHD_OPTION_NOTIFY_CONNECTION, counted, server, MHD_OPTION_CONNECTION_LIMIT,
        options->connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options->call_memory ? options->call_memory : (size_t)32768,
        MHD_OPTION_CONNECTION_TIMEOUT, options->idle_s ? options->idle_s : 90u,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_THREAD_STACK_SIZE,
        (size_t)(256 * 1024), MHD_OPTION_END);
    if (!server->daemon)
        g_clear_pointer(&server, g_free);
    return server;
}

int lmn_http_server_adopt(struct lmn_http_server *server, int fd)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t len = sizeof a;

    getpeername(fd, (struct sockaddr *)&a, &len);
    return MHD_add_connection(server->daemon, fd, (struct sockaddr *)&a, len) == MHD_YES
               ? 0
               : -1;
}

int lmn_http_server_port(const struct lmn_http_server *server)
{
    return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}
