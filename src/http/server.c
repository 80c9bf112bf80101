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

const char *lmn_http_request_path(const struct lmn_http_request *call)
{
    return call->path;
}

const GByteArray *lmn_http_request_body(const struct lmn_http_request *call)
{
    return call->body;
}

enum lmn_http_method lmn_http_request_method(const struct lmn_http_request *call)
{
    return call->method;
}

const char *lmn_http_request_query(const struct lmn_http_request *call, const char *name)
{
    return MHD_lookup_connection_value(call->conn, MHD_GET_ARGUMENT_KIND, name);
}

static struct peer *peer_of(struct MHD_Connection *conn)
{
    const union MHD_ConnectionInfo *i =
        MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return i ? i->socket_context : NULL;
}

void lmn_http_request_set_kind(struct lmn_http_request *call, unsigned kind)
{
    struct peer *p = peer_of(call->conn);

    if (!p || p->kind == kind || kind >= LMN_HTTP_CONNECTION_KINDS)
        return;
    g_atomic_int_add(&call->server->open[p->kind], -1);
    g_atomic_int_inc(&call->server->open[kind]);
    p->kind = kind;
}

static void counted(void *arg, struct MHD_Connection *conn, void **context,
                    enum MHD_ConnectionNotificationCode what)
{
    struct lmn_http_server *h = arg;

    if (what == MHD_CONNECTION_NOTIFY_STARTED) {
        const union MHD_ConnectionInfo *i =
            MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        struct peer *p = g_new0(struct peer, 1);
        if (h->kind_of && i && i->client_addr)
            p->kind = h->kind_of(h->arg, i->client_addr);
        g_atomic_int_inc(&h->open[p->kind]);
        *context = p;
    } else if (*context) {
        g_atomic_int_add(&h->open[((struct peer *)*context)->kind], -1);
        g_clear_pointer(context, g_free);
    }
}

void lmn_http_server_load(const struct lmn_http_server *h,
                          struct lmn_http_server_load *load)
{
    for (int k = 0; k < LMN_HTTP_CONNECTION_KINDS; k++) {
        load->open[k] = (unsigned)MAX(g_atomic_int_get(&h->open[k]), 0);
        load->closed[k] = __atomic_load_n(&h->closed[k], __ATOMIC_RELAXED);
        load->turned_away[k] = __atomic_load_n(&h->turned_away[k], __ATOMIC_RELAXED);
    }
}

static enum MHD_Result let_in(void *arg, const struct sockaddr *addr, socklen_t len)
{
    struct lmn_http_server *h = arg;
    struct lmn_http_server_load load;
    (void)len;

    if (!h->admits || !h->kind_of)
        return MHD_YES;
    unsigned kind = h->kind_of(h->arg, addr);
    lmn_http_server_load(h, &load);
    if (h->admits(h->arg, load.open, kind))
        return MHD_YES;
    __atomic_fetch_add(&h->turned_away[kind], 1, __ATOMIC_RELAXED);
    return MHD_NO;
}

/* Whether the call's connection is to end with its answer. */
static bool ends(struct lmn_http_request *call)
{
    struct lmn_http_server *h = call->server;
    struct peer *p = peer_of(call->conn);
    struct lmn_http_server_load load;

    if (!h->stands || !p)
        return false;
    lmn_http_server_load(h, &load);
    if (h->stands(h->arg, load.open, p->kind))
        return false;
    __atomic_fetch_add(&h->closed[p->kind], 1, __ATOMIC_RELAXED);
    return true;
}

int lmn_http_request_port(const struct lmn_http_request *call)
{
    const union MHD_ConnectionInfo *i =
        MHD_get_connection_info(call->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct sockaddr_in a = {0};
    socklen_t len = sizeof a;

    if (!i || getsockname(i->connect_fd, (struct sockaddr *)&a, &len) != 0)
        return -1;
    return ntohs(a.sin_port);
}

static void drop(struct lmn_http_request *call)
{
    if (--call->holds > 0)
        return;
    g_free(call->path);
    g_byte_array_unref(call->body);
    if (call->answer)
        g_byte_array_unref(call->answer);
    g_free(call);
}

/* The server's lock is held. */
static void set_answer(struct lmn_http_request *call, int status, const char *type,
                       GByteArray *body, int retry_after)
{
    bool resume = call->phase == CALL_WAITING;

    call->phase = CALL_ANSWERED;
    call->status = status;
    call->type = type;
    call->answer = body;
    call->retry_after = retry_after;
    if (resume) {
        g_queue_delete_link(&call->server->waiting, call->link);
        call->link = NULL;
        MHD_resume_connection(call->conn);
    }
}

static void answer(struct lmn_http_request *call, int status, const char *type,
                   GByteArray *body, int retry_after)
{
    struct lmn_http_server *h = call->server;

    pthread_mutex_lock(&h->lock);
    bool was_held = call->phase != CALL_READING;
    if (call->phase == CALL_ANSWERED) {
        if (body)
            g_byte_array_unref(body);
    } else {
        set_answer(call, status, type, body, retry_after);
    }
    if (was_held)
        drop(call);
    pthread_mutex_unlock(&h->lock);
}

void lmn_http_request_respond(struct lmn_http_request *call, int status, GByteArray *body,
                              int retry_after)
{
    answer(call, status, CBOR, body, retry_after);
}

void lmn_http_request_respond_as(struct lmn_http_request *call, int status,
                                 const char *type, GByteArray *body)
{
    answer(call, status, type, body, 0);
}

void lmn_http_request_fail(struct lmn_http_request *call, int status, const char *what)
{
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_map(b, 1);
    lmn_cbor_put_text(b, "error"), lmn_cbor_put_text(b, what);
    answer(call, status, CBOR, b, 0);
}

void lmn_http_request_defer(struct lmn_http_request *call)
{
    struct lmn_http_server *h = call->server;

    pthread_mutex_lock(&h->lock);
    call->holds++;
    call->phase = CALL_WAITING;
    g_queue_push_tail(&h->waiting, call);
    call->link = h->waiting.tail;
    MHD_suspend_connection(call->conn);
    pthread_mutex_unlock(&h->lock);
}

void lmn_http_server_expire_deferred(struct lmn_http_server *h)
{
    struct timespec now = lmn_now();

    if (h->patience_s <= 0)
        return;
    pthread_mutex_lock(&h->lock);
    while (h->waiting.head) {
        struct lmn_http_request *call = h->waiting.head->data;
        if (lmn_time_diff_s(now, call->since) < h->patience_s)
            break;
        set_answer(call, 503, CBOR, NULL, 1);
    }
    pthread_mutex_unlock(&h->lock);
}

static enum MHD_Result reply(struct lmn_http_request *call)
{
    GByteArray *a = call->answer;
    struct MHD_Response *r = MHD_create_response_from_buffer(
        a ? a->len : 0, a && a->len ? a->data : (void *)"", MHD_RESPMEM_MUST_COPY);
    enum MHD_Result ok;

    if (a && a->len)
        MHD_add_response_header(r, "Content-Type", call->type);
    if (call->retry_after) {
        char t[16];
        g_snprintf(t, sizeof t, "%d", call->retry_after);
        MHD_add_response_header(r, "Retry-After", t);
    }
    if (ends(call))
        MHD_add_response_header(r, "Connection", "close");
    ok = MHD_queue_response(call->conn, (unsigned)call->status, r);
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
    struct lmn_http_request *call = *state;
    struct lmn_http_server *h = arg;
    (void)version;

    if (!call) {
        call = g_new0(struct lmn_http_request, 1);
        call->server = h;
        call->conn = conn;
        call->path = g_strdup(url);
        call->body = g_byte_array_new();
        call->holds = 1;
        call->since = lmn_now();
        call->method = method_of(method);
        *state = call;
        return MHD_YES;
    }
    if (*size) {
        if (call->body->len + *size > h->max_body)
            call->too_big = true; /* read to its end, kept nowhere */
        else
            g_byte_array_append(call->body, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    if (call->phase == CALL_READING) {
        if (call->method == LMN_HTTP_OTHER)
            lmn_http_request_respond(call, 405, NULL, 0);
        else if (call->too_big)
            lmn_http_request_respond(call, 400, NULL, 0);
        else
            h->route(h->arg, call);
    }
    pthread_mutex_lock(&h->lock);
    bool ready = call->phase == CALL_ANSWERED;
    pthread_mutex_unlock(&h->lock);
    return ready ? reply(call) : MHD_YES;
}

static void completed(void *arg, struct MHD_Connection *conn, void **state,
                      enum MHD_RequestTerminationCode why)
{
    struct lmn_http_request *call = *state;
    struct lmn_http_server *h = arg;
    (void)conn;
    (void)why;

    if (!call)
        return;
    pthread_mutex_lock(&h->lock);
    if (call->phase == CALL_WAITING) {
        g_queue_delete_link(&h->waiting, call->link);
        call->link = NULL;
    }
    call->phase = CALL_ANSWERED;
    drop(call);
    pthread_mutex_unlock(&h->lock);
    *state = NULL;
}

struct lmn_http_server *lmn_http_server_start(const struct lmn_http_server_options *o)
{
    struct lmn_http_server *h = g_new0(struct lmn_http_server, 1);
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDRESS_SIZE];
    int port = 0;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;

    pthread_mutex_init(&h->lock, NULL);
    h->route = o->route;
    h->stands = o->stands;
    h->kind_of = o->kind_of;
    h->admits = o->admits;
    h->arg = o->arg;
    h->max_body = o->max_body;
    h->patience_s = o->patience_s;
    if (!o->listen) {
        flags |= MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC;
    } else {
        /* Port 0: one that is free. */
        if (g_str_has_suffix(o->listen, ":0") && strlen(o->listen) < sizeof host) {
            g_strlcpy(host, o->listen, sizeof host);
            *strrchr(host, ':') = '\0';
        } else if (lmn_address_split(o->listen, host, sizeof host, &port) != 0) {
            errno = EINVAL;
            g_free(h);
            return NULL;
        }
        a.sin_port = htons((uint16_t)port);
        inet_pton(AF_INET, host, &a.sin_addr);
    }
    h->daemon = MHD_start_daemon(
        flags, (uint16_t)port, let_in, h, handler, h, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&a, MHD_OPTION_NOTIFY_COMPLETED, completed, h,
        MHD_OPTION_NOTIFY_CONNECTION, counted, h, MHD_OPTION_CONNECTION_LIMIT,
        o->connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        o->call_memory ? o->call_memory : (size_t)32768, MHD_OPTION_CONNECTION_TIMEOUT,
        o->idle_s ? o->idle_s : 90u, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)(256 * 1024), MHD_OPTION_END);
    if (!h->daemon)
        g_clear_pointer(&h, g_free);
    return h;
}

int lmn_http_server_adopt(struct lmn_http_server *h, int fd)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t len = sizeof a;

    getpeername(fd, (struct sockaddr *)&a, &len);
    return MHD_add_connection(h->daemon, fd, (struct sockaddr *)&a, len) == MHD_YES ? 0
                                                                                    : -1;
}

int lmn_http_server_port(const struct lmn_http_server *h)
{
    return MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}
