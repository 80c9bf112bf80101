/** @file
 * The paths of a controller's HTTP interface, and which connections it keeps open.
 *
 * All functions run on the HTTP server's threads. They take no lock: the handlers that
 * they call do, and what is read here of the core is set once or read atomically. */
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

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_METHOD_NOT_ALLOWED = 405,
    STATUS_UNAVAILABLE = 503,
    MAX_BODY_BYTES = 64 * 1024,
    CONNECTION_MEMORY_BYTES = 6144,
    MIN_IDLE_S = 20,
    MAX_IDLE_S = 90,
};

/** A commit or read in flight that takes longer is answered 503: the user retries. */
static const double DEFERRED_TIMEOUT_S = 2.5;

/* --- connections --- */

/** A connection is a worker's if heartbeats come on it, else a user's. */
static void identify_connection(struct lmn_http_request *request, bool is_post,
                                const char *path)
{
    bool is_heartbeat = is_post && !strcmp(path, WIRE_PATH_HEARTBEAT);

    lmn_http_request_set_kind(request,
                              is_heartbeat ? LMN_CONNECTION_WORKER : LMN_CONNECTION_USER);
}

/** Whether a connection stays open after its response. */
static bool keeps_open(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                       unsigned kind)
{
    const struct lmn_core *core = arg;

    /* During a shutdown, clients are to connect to another controller. Read without the
     * lock, which a response need not wait for: at worst one connection more or fewer
     * stays open. */
    if (__atomic_load_n(&core->shutdown.is_requested, __ATOMIC_RELAXED))
        return false;
    return lmn_connection_budget_keeps_open(
        &core->connection_budget, open, (enum lmn_connection_kind)kind,
        __atomic_load_n(&core->cache.is_isolated_view, __ATOMIC_RELAXED));
}

/** What a new connection is, by its address alone. */
static unsigned kind_of(void *arg, const struct sockaddr *peer)
{
    struct lmn_core *core = arg;

    return lmn_worker_hosts_contain(&core->worker_hosts, peer)
               ? LMN_CONNECTION_WORKER
               : LMN_CONNECTION_UNIDENTIFIED;
}

/** Whether a new connection is accepted. */
static bool admits(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                   unsigned kind)
{
    const struct lmn_core *core = arg;

    return lmn_connection_budget_admits(&core->connection_budget, open,
                                        (enum lmn_connection_kind)kind);
}

/* --- routes --- */

static void handle_heartbeat(struct lmn_core *core, struct lmn_http_request *request)
{
    GByteArray *response = g_byte_array_new();
    const GByteArray *body = lmn_http_request_body(request);
    struct lmn_deferred_starts starts;
    int status =
        lmn_heartbeat_handle(core, body->data, body->len, response, &starts, lmn_now());

    if (starts.log_position)
        lmn_deferred_response_add(core, request, response, &starts);
    else
        lmn_http_request_respond(request, status, response, 0);
}

static void handle_ready(struct lmn_core *core, struct lmn_http_request *request)
{
    lmn_http_request_respond(
        request, lmn_user_api_is_ready(core) ? STATUS_OK : STATUS_UNAVAILABLE, NULL, 0);
}

/** @param rest the path after that of all jobs: an id, or an id and the cancellation's
 * suffix */
static void handle_job(struct lmn_core *core, struct lmn_http_request *request,
                       const char *rest)
{
    g_autofree char *job_id = g_strdup(rest);

    if (lmn_http_request_method(request) == LMN_HTTP_GET) {
        lmn_user_api_status(core, request, job_id);
        return;
    }
    size_t length = strlen(job_id), suffix_length = strlen(WIRE_PATH_CANCEL);
    if (length <= suffix_length || !g_str_has_suffix(job_id, WIRE_PATH_CANCEL)) {
        lmn_http_request_respond(request, STATUS_NOT_FOUND, NULL, 0);
        return;
    }
    job_id[length - suffix_length] = '\0';
    lmn_user_api_cancel(core, request, job_id);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_core *core = arg;
    const char *path = lmn_http_request_path(request);
    bool is_post = lmn_http_request_method(request) == LMN_HTTP_POST;

    identify_connection(request, is_post, path);
    if (!is_post && lmn_http_request_method(request) != LMN_HTTP_GET)
        lmn_http_request_respond(request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
    else if (is_post && !strcmp(path, WIRE_PATH_HEARTBEAT))
        handle_heartbeat(core, request);
    else if (!is_post && !strcmp(path, "/metrics"))
        lmn_metrics_answer(request, lmn_controller_metrics, core);
    else if (!is_post && !strcmp(path, WIRE_PATH_READY))
        handle_ready(core, request);
    else if (is_post && !strcmp(path, WIRE_PATH_JOBS))
        lmn_user_api_submit(core, request);
    else if (g_str_has_prefix(path, WIRE_PATH_JOBS "/"))
        handle_job(core, request, path + strlen(WIRE_PATH_JOBS "/"));
    else
        lmn_http_request_respond(request, STATUS_NOT_FOUND, NULL, 0);
}

struct lmn_http_server *lmn_http_routes_start(struct lmn_core *core)
{
    const struct lmn_http_server_options options = {
        .listen = core->settings->client_listen,
        .connections = core->connection_budget.max_accepted,
        .max_body = MAX_BODY_BYTES,
        .connection_memory = CONNECTION_MEMORY_BYTES,
        .defer_timeout_s = DEFERRED_TIMEOUT_S,
        /* A machine that was silent for a lease keeps no connection. */
        .idle_s = (unsigned)CLAMP(core->settings->lease_s, MIN_IDLE_S, MAX_IDLE_S),
        .route = route,
        .keep_open = keeps_open,
        .connection_kind = kind_of,
        .admit = admits,
        .arg = core,
    };

    return lmn_http_server_start(&options);
}
