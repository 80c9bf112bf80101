/* The paths of a controller. */
#include "controller/http_routes.h"
#include "http/metrics.h"
#include "protocol/wire.h"
#include "admission/worker_hosts.h"
#include "admission/connection_budget.h"
#include "partition/heartbeat.h"
#include "controller/user_api.h"
#include "controller/deferred_responses.h"
#include "controller/metrics.h"

#include <string.h>

enum { MAX_BODY = 64 * 1024 };
/* A commit or reading under way that takes longer is answered 503: the user asks again.
 */
static const double PATIENCE_S = 2.5;

static void route_job(struct lmn_core *core, struct lmn_http_request *request,
                      const char *rest)
{
    char *job_id = g_strdup(rest);
    size_t len = strlen(job_id), end = strlen(WIRE_PATH_CANCEL);

    if (lmn_http_request_method(request) == LMN_HTTP_GET) {
        lmn_user_api_status(core, request, job_id);
    } else if (len > end && !strcmp(job_id + len - end, WIRE_PATH_CANCEL)) {
        job_id[len - end] = '\0';
        lmn_user_api_cancel(core, request, job_id);
    } else {
        lmn_http_request_respond(request, 404, NULL, 0);
    }
    g_free(job_id);
}

/* What the connection asks for tells whose it is. */
static void tell_kind(struct lmn_http_request *request, bool post, const char *path)
{
    bool report = post && !strcmp(path, WIRE_PATH_HEARTBEAT);

    lmn_http_request_set_kind(request,
                              report ? LMN_CONNECTION_WORKER : LMN_CONNECTION_USER);
}

static bool stands(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                   unsigned kind)
{
    const struct lmn_core *core = arg;

    /* Who comes again is to come to another. Read without the lock, which an answer need
     * not wait for: one more connection stands, or one fewer. */
    if (__atomic_load_n(&core->shutdown.is_requested, __ATOMIC_RELAXED))
        return false;
    return lmn_connection_budget_keeps_open(
        &core->connection_budget, open, (enum lmn_connection_kind)kind,
        __atomic_load_n(&core->cache.is_isolated_view, __ATOMIC_RELAXED));
}

static unsigned kind_of(void *arg, const struct sockaddr *peer)
{
    struct lmn_core *core = arg;

    return lmn_worker_hosts_contain(&core->worker_hosts, peer)
               ? LMN_CONNECTION_WORKER
               : LMN_CONNECTION_UNIDENTIFIED;
}

static bool admits(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                   unsigned kind)
{
    const struct lmn_core *core = arg;

    return lmn_connection_budget_admits(&core->connection_budget, open,
                                        (enum lmn_connection_kind)kind);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_core *core = arg;
    const char *path = lmn_http_request_path(request);
    bool post = lmn_http_request_method(request) == LMN_HTTP_POST;

    tell_kind(request, post, path);
    if (!post && lmn_http_request_method(request) != LMN_HTTP_GET) {
        lmn_http_request_respond(request, 405, NULL, 0);
    } else if (post && !strcmp(path, WIRE_PATH_HEARTBEAT)) {
        GByteArray *out = g_byte_array_new();
        const GByteArray *body = lmn_http_request_body(request);
        struct lmn_deferred_starts held;
        int status =
            lmn_heartbeat_handle(core, body->data, body->len, out, &held, lmn_now());
        if (held.log_position)
            lmn_deferred_response_add(core, request, out, &held);
        else
            lmn_http_request_respond(request, status, out, 0);
    } else if (!post && !strcmp(path, "/metrics")) {
        lmn_metrics_answer(request, lmn_controller_metrics, core);
    } else if (!post && !strcmp(path, WIRE_PATH_READY)) {
        lmn_http_request_respond(request, lmn_user_api_is_ready(core) ? 200 : 503, NULL,
                                 0);
    } else if (post && !strcmp(path, WIRE_PATH_JOBS)) {
        lmn_user_api_submit(core, request);
    } else if (g_str_has_prefix(path, WIRE_PATH_JOBS "/")) {
        route_job(core, request, path + strlen(WIRE_PATH_JOBS "/"));
    } else {
        lmn_http_request_respond(request, 404, NULL, 0);
    }
}

struct lmn_http_server *lmn_http_routes_start(struct lmn_core *core)
{
    const struct lmn_http_server_options o = {
        .listen = core->settings->client_listen,
        .connections = core->connection_budget.max_accepted,
        .max_body = MAX_BODY,
        .connection_memory = 6144,
        .defer_timeout_s = PATIENCE_S,
        /* A machine that was silent for a lease holds no socket any more. */
        .idle_s = (unsigned)CLAMP(core->settings->lease_s, 20, 90),
        .route = route,
        .keep_open = stands,
        .connection_kind = kind_of,
        .admit = admits,
        .arg = core,
    };

    return lmn_http_server_start(&o);
}
