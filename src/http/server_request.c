/**
 * @file
 * Requests of an HTTP server, from their first byte to their response. A request is freed
 * when its connection has released it and, if it was deferred, the code that defers it
 * has answered it; these two may happen in either order and on different threads.
 */
#include "http/server_internal.h"
#include "util/clock.h"

#include <string.h>

static const char CBOR_CONTENT_TYPE[] = "application/cbor";

enum {
    STATUS_UNAVAILABLE = 503,
    EXPIRED_RETRY_AFTER_S = 1 /**< Retry-After of a deferred request that has expired */
};

static enum lmn_http_method method_of(const char *word)
{
    /* Indexed by enum lmn_http_method. */
    static const char *const words[] = {"GET", "POST", "PUT", "DELETE"};

    for (guint i = 0; i < G_N_ELEMENTS(words); i++)
        if (!strcmp(word, words[i]))
            return (enum lmn_http_method)i;
    return LMN_HTTP_OTHER;
}

struct lmn_http_request *lmn_http_request_new(struct lmn_http_server *server,
                                              struct MHD_Connection *connection,
                                              const char *path, const char *method)
{
    struct lmn_http_request *request = g_new0(struct lmn_http_request, 1);

    request->server = server;
    request->connection = connection;
    request->path = g_strdup(path);
    request->body = g_byte_array_new();
    request->references = 1;
    request->received_at = lmn_now();
    request->method = method_of(method);
    return request;
}

/** Releases a reference. The caller holds the server's lock. */
static void release(struct lmn_http_request *request)
{
    if (--request->references > 0)
        return;
    g_free(request->path);
    g_byte_array_unref(request->body);
    if (request->response)
        g_byte_array_unref(request->response);
    g_free(request);
}

/** Removes a deferred request from the queue. The caller holds the server's lock. */
static void remove_deferred(struct lmn_http_request *request)
{
    g_queue_delete_link(&request->server->deferred, request->deferred_link);
    request->deferred_link = NULL;
}

/** Stores the response, and resumes the connection if it was suspended. The caller holds
 * the server's lock. */
static void set_response(struct lmn_http_request *request, int status,
                         const char *content_type, GByteArray *body, int retry_after)
{
    bool is_suspended = request->phase == LMN_HTTP_DEFERRED;

    request->phase = LMN_HTTP_ANSWERED;
    request->status = status;
    request->content_type = content_type;
    request->response = body;
    request->retry_after = retry_after;
    if (is_suspended) {
        remove_deferred(request);
        MHD_resume_connection(request->connection);
    }
}

static void respond(struct lmn_http_request *request, int status,
                    const char *content_type, GByteArray *body, int retry_after)
{
    struct lmn_http_server *server = request->server;

    pthread_mutex_lock(&server->lock);
    /* Only a request that was deferred has a reference for the code that answers. */
    bool has_reference = request->phase != LMN_HTTP_RECEIVING;
    if (request->phase == LMN_HTTP_ANSWERED) {
        if (body)
            g_byte_array_unref(body);
    } else {
        set_response(request, status, content_type, body, retry_after);
    }
    if (has_reference)
        release(request);
    pthread_mutex_unlock(&server->lock);
}

void lmn_http_request_respond(struct lmn_http_request *request, int status,
                              GByteArray *body, int retry_after)
{
    respond(request, status, CBOR_CONTENT_TYPE, body, retry_after);
}

void lmn_http_request_respond_as(struct lmn_http_request *request, int status,
                                 const char *type, GByteArray *body)
{
    respond(request, status, type, body, 0);
}

void lmn_http_request_fail(struct lmn_http_request *request, int status, const char *what)
{
    GByteArray *body = g_byte_array_new();

    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, "error");
    lmn_cbor_put_text(body, what);
    respond(request, status, CBOR_CONTENT_TYPE, body, 0);
}

void lmn_http_request_defer(struct lmn_http_request *request)
{
    struct lmn_http_server *server = request->server;

    pthread_mutex_lock(&server->lock);
    request->references++;
    request->phase = LMN_HTTP_DEFERRED;
    g_queue_push_tail(&server->deferred, request);
    request->deferred_link = server->deferred.tail;
    MHD_suspend_connection(request->connection);
    pthread_mutex_unlock(&server->lock);
}

void lmn_http_server_expire_deferred(struct lmn_http_server *server)
{
    struct timespec now = lmn_now();
    double timeout_s = server->options.defer_timeout_s;

    if (timeout_s <= 0)
        return;
    pthread_mutex_lock(&server->lock);
    while (server->deferred.head) {
        struct lmn_http_request *oldest = server->deferred.head->data;
        if (lmn_time_diff_s(now, oldest->received_at) < timeout_s)
            break;
        /* The code that deferred the request still has a reference, and releases it when
         * it answers. */
        set_response(oldest, STATUS_UNAVAILABLE, CBOR_CONTENT_TYPE, NULL,
                     EXPIRED_RETRY_AFTER_S);
    }
    pthread_mutex_unlock(&server->lock);
}

bool lmn_http_request_is_answered(struct lmn_http_request *request)
{
    pthread_mutex_lock(&request->server->lock);
    bool is_answered = request->phase == LMN_HTTP_ANSWERED;
    pthread_mutex_unlock(&request->server->lock);
    return is_answered;
}

void lmn_http_request_end(struct lmn_http_request *request)
{
    struct lmn_http_server *server = request->server;

    pthread_mutex_lock(&server->lock);
    if (request->phase == LMN_HTTP_DEFERRED)
        remove_deferred(request);
    /* A response that is given later finds this phase and is dropped. */
    request->phase = LMN_HTTP_ANSWERED;
    release(request);
    pthread_mutex_unlock(&server->lock);
}

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
    return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}
