/** @file
 * Routes a controller's HTTP requests, and decides which connections are accepted and
 * kept open.
 *
 * All functions but lmn_http_routes_start run on the HTTP server's threads. They take no
 * lock, though the handlers that they call do; the fields of the core that they read are
 * set once at the start or are read atomically. */
#include "controller/http_routes.h"
#include "http/metrics.h"
#include "job/message_limits.h"
#include "protocol/wire.h"
#include "admission/worker_hosts.h"
#include "admission/connection_budget.h"
#include "partition/heartbeat.h"
#include "controller/user_api.h"
#include "controller/deferred_responses.h"
#include "controller/metrics.h"
#include "util/log.h"

#include <string.h>

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_METHOD_NOT_ALLOWED = 405,
    STATUS_UNAVAILABLE = 503,
    CONNECTION_MEMORY_BYTES = 6144,
    MIN_IDLE_S = 20,
    MAX_IDLE_S = 90,
};

/** Requests with too large a body are logged at most once per interval, because workers
 * repeat them. */
static const double OVERSIZED_LOG_INTERVAL_S = 10;

/** A deferred request is answered 503 after this time, and the client retries. */
static const double DEFERRED_TIMEOUT_S = 2.5;

/* --- connections --- */

/** Classifies the connection by its request: heartbeats come from workers, all other
 * requests from users. */
static void identify_connection(struct lmn_http_request *request, bool is_post,
                                const char *path)
{
    bool is_heartbeat = is_post && !strcmp(path, WIRE_PATH_HEARTBEAT);

    lmn_http_request_set_kind(request,
                              is_heartbeat ? LMN_CONNECTION_WORKER : LMN_CONNECTION_USER);
}

/** Whether a connection stays open after a response. */
static bool keeps_connection_open(void *arg,
                                  const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                                  unsigned kind)
{
    const struct lmn_core *core = arg;

    /* During a shutdown, clients should connect to another controller. Read without the
     * core's lock, so that responses do not wait for it: if the value is outdated, a
     * connection is closed one response too early or too late. */
    if (__atomic_load_n(&core->shutdown.is_requested, __ATOMIC_RELAXED))
        return false;
    return lmn_connection_budget_keeps_open(
        &core->connection_budget, open, (enum lmn_connection_kind)kind,
        __atomic_load_n(&core->cache.is_isolated_view, __ATOMIC_RELAXED));
}

/** Classifies a new connection by the peer's address. */
static unsigned classify_connection(void *arg, const struct sockaddr *peer)
{
    struct lmn_core *core = arg;

    return lmn_worker_hosts_contain(&core->worker_hosts, peer)
               ? LMN_CONNECTION_WORKER
               : LMN_CONNECTION_UNIDENTIFIED;
}

/** Whether a new connection is accepted. */
static bool admits_connection(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                              unsigned kind)
{
    const struct lmn_core *core = arg;

    return lmn_connection_budget_admits(&core->connection_budget, open,
                                        (enum lmn_connection_kind)kind);
}

/** Counts a request whose body exceeds the limit, and logs it from time to time. */
static void record_oversized_request(void *arg, const char *path)
{
    struct lmn_core *core = arg;
    struct timespec now = lmn_now();

    pthread_mutex_lock(&core->lock);
    struct timespec *logged_at = &core->maintenance.last_oversized_logged_at;
    uint64_t count = ++core->counters.oversized_requests;
    bool is_due = !logged_at->tv_sec ||
                  lmn_time_diff_s(now, *logged_at) >= OVERSIZED_LOG_INTERVAL_S;
    if (is_due)
        *logged_at = now;
    pthread_mutex_unlock(&core->lock);
    if (is_due)
        lmn_error("request_too_large path=%.64s limit=%d so-far=%" G_GUINT64_FORMAT, path,
                  LMN_MAX_MESSAGE_BYTES, count);
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

/** Handles a request about one job.
 * @param job_path the path after WIRE_PATH_JOBS "/": the job's id, followed by
 *     WIRE_PATH_CANCEL in a cancellation */
static void handle_job(struct lmn_core *core, struct lmn_http_request *request,
                       const char *job_path)
{
    g_autofree char *job_id = g_strdup(job_path);

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
        lmn_metrics_respond(request, lmn_controller_metrics, core);
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
        .max_body_bytes = LMN_MAX_MESSAGE_BYTES,
        .body_too_large = record_oversized_request,
        .connection_memory_bytes = CONNECTION_MEMORY_BYTES,
        .defer_timeout_s = DEFERRED_TIMEOUT_S,
        /* The connection of a worker that sends no heartbeat for the duration of a lease
         * is closed. */
        .idle_timeout_s =
            (unsigned)CLAMP(core->settings->lease_s, MIN_IDLE_S, MAX_IDLE_S),
        .route = route,
        .keep_open = keeps_connection_open,
        .connection_kind = classify_connection,
        .admit = admits_connection,
        .arg = core,
    };

    return lmn_http_server_start(&options);
}
