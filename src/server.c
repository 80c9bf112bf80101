/* HTTP by libmicrohttpd: one polling thread; a request that waits for the state service is
 * suspended and resumed when its answer is there. */
#include "server.h"
#include "log.h"
#include "wire.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

enum { MAX_BODY = 64 * 1024 };
/* A commit or reading under way that takes longer is answered 503: the user asks again. */
static const double PATIENCE_S = 2.5;

struct lmn_call {
    struct MHD_Connection *conn;
    char *path;
    GByteArray *body, *answer;
    enum { CALL_READING, CALL_WAITING, CALL_ANSWERED } phase;
    int status, retry_after, holds;
    bool post, too_big, too_late_body;
    struct timespec since;
    GList *link;
};

static pthread_mutex_t calls_lock = PTHREAD_MUTEX_INITIALIZER;
static GQueue waiting = G_QUEUE_INIT;
static struct lmn_core *core;

const char *lmn_call_path(const struct lmn_call *call)
{
    return call->path;
}

const GByteArray *lmn_call_body(const struct lmn_call *call)
{
    return call->body;
}

static void drop(struct lmn_call *call)
{
    if (--call->holds > 0)
        return;
    g_free(call->path);
    g_byte_array_unref(call->body);
    if (call->answer)
        g_byte_array_unref(call->answer);
    g_free(call);
}

/* calls_lock is held. */
static void set_answer(struct lmn_call *call, int status, GByteArray *body, int retry_after)
{
    bool resume = call->phase == CALL_WAITING;

    call->phase = CALL_ANSWERED;
    call->status = status;
    call->answer = body;
    call->retry_after = retry_after;
    if (resume) {
        g_queue_delete_link(&waiting, call->link);
        call->link = NULL;
        MHD_resume_connection(call->conn);
    }
}

void lmn_call_answer(struct lmn_call *call, int status, GByteArray *body, int retry_after)
{
    pthread_mutex_lock(&calls_lock);
    bool was_held = call->phase != CALL_READING;
    if (call->phase == CALL_ANSWERED) {
        if (body)
            g_byte_array_unref(body);
    } else {
        set_answer(call, status, body, retry_after);
    }
    if (was_held)
        drop(call);
    pthread_mutex_unlock(&calls_lock);
}

void lmn_call_hold(struct lmn_call *call)
{
    pthread_mutex_lock(&calls_lock);
    call->holds++;
    call->phase = CALL_WAITING;
    g_queue_push_tail(&waiting, call);
    call->link = waiting.tail;
    MHD_suspend_connection(call->conn);
    pthread_mutex_unlock(&calls_lock);
}

void lmn_server_sweep(void)
{
    struct timespec now = lmn_now();

    pthread_mutex_lock(&calls_lock);
    while (waiting.head) {
        struct lmn_call *call = waiting.head->data;
        if (lmn_since(now, call->since) < PATIENCE_S)
            break;
        set_answer(call, 503, NULL, 1);
    }
    pthread_mutex_unlock(&calls_lock);
}

static enum MHD_Result reply(struct lmn_call *call)
{
    GByteArray *a = call->answer;
    struct MHD_Response *r = MHD_create_response_from_buffer(
        a ? a->len : 0, a && a->len ? a->data : (void *)"", MHD_RESPMEM_MUST_COPY);
    enum MHD_Result ok;

    if (a && a->len)
        MHD_add_response_header(r, "Content-Type", "application/cbor");
    if (call->retry_after) {
        char t[16];
        g_snprintf(t, sizeof t, "%d", call->retry_after);
        MHD_add_response_header(r, "Retry-After", t);
    }
    ok = MHD_queue_response(call->conn, (unsigned)call->status, r);
    MHD_destroy_response(r);
    return ok;
}

static void route(struct lmn_call *call)
{
    size_t jobs = strlen(P_JOBS);
    const char *path = call->path;

    if (call->post && !strcmp(path, P_REPORT)) {
        GByteArray *out = g_byte_array_new();
        int status =
            lmn_worker_report(core, call->body->data, call->body->len, out, lmn_now());
        lmn_call_answer(call, status, out, 0);
        return;
    }
    if (!call->post && !strcmp(path, P_READY)) {
        lmn_call_answer(call, lmn_api_ready(core) ? 200 : 503, NULL, 0);
        return;
    }
    if (call->post && !strcmp(path, P_JOBS)) {
        lmn_api_submit(core, call);
        return;
    }
    if (!strncmp(path, P_JOBS "/", jobs + 1)) {
        char *ref = g_strdup(path + jobs + 1);
        size_t len = strlen(ref), end = strlen(P_CANCEL);
        if (!call->post)
            lmn_api_poll(core, call, ref);
        else if (len > end && !strcmp(ref + len - end, P_CANCEL)) {
            ref[len - end] = '\0';
            lmn_api_cancel(core, call, ref);
        } else
            lmn_call_answer(call, 404, NULL, 0);
        g_free(ref);
        return;
    }
    lmn_call_answer(call, 404, NULL, 0);
}

static enum MHD_Result handler(void *arg, struct MHD_Connection *conn, const char *url,
                               const char *method, const char *version, const char *data,
                               size_t *size, void **state)
{
    struct lmn_call *call = *state;
    (void)arg;
    (void)version;

    if (!call) {
        call = g_new0(struct lmn_call, 1);
        call->conn = conn;
        call->path = g_strdup(url);
        call->body = g_byte_array_new();
        call->holds = 1;
        call->since = lmn_now();
        call->post = !strcmp(method, "POST");
        if (!call->post && strcmp(method, "GET"))
            call->too_big = true;
        *state = call;
        return MHD_YES;
    }
    if (*size) {
        if (call->body->len + *size > MAX_BODY)
            call->too_big = true; /* read to its end, kept nowhere */
        else
            g_byte_array_append(call->body, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    if (call->phase == CALL_READING) {
        if (call->too_big)
            lmn_call_answer(call, call->post ? 400 : 405, NULL, 0);
        else
            route(call);
    }
    pthread_mutex_lock(&calls_lock);
    bool ready = call->phase == CALL_ANSWERED;
    pthread_mutex_unlock(&calls_lock);
    return ready ? reply(call) : MHD_YES;
}

static void completed(void *arg, struct MHD_Connection *conn, void **state,
                      enum MHD_RequestTerminationCode why)
{
    struct lmn_call *call = *state;
    (void)arg;
    (void)conn;
    (void)why;

    if (!call)
        return;
    pthread_mutex_lock(&calls_lock);
    if (call->phase == CALL_WAITING) {
        g_queue_delete_link(&waiting, call->link);
        call->link = NULL;
    }
    call->phase = CALL_ANSWERED;
    drop(call);
    pthread_mutex_unlock(&calls_lock);
    *state = NULL;
}

int lmn_server_start(struct lmn_core *c)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDR];
    int port;

    core = c;
    if (lmn_addr_split(c->cfg->listen, host, sizeof host, &port) != 0)
        return -1;
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    /* Some sockets stay for the node's own calls. */
    unsigned limit = (unsigned)MAX(c->cfg->max_connections - 32 -
                                       (int)lmn_direct_connections(c->cfg), 16);
    struct MHD_Daemon *d = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, (uint16_t)port, NULL, NULL,
        handler, NULL, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&a, MHD_OPTION_NOTIFY_COMPLETED,
        completed, NULL, MHD_OPTION_CONNECTION_LIMIT, limit, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)6144, MHD_OPTION_CONNECTION_TIMEOUT, 90u, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)(256 * 1024), MHD_OPTION_END);
    return d ? 0 : -1;
}
