/** @file
 * The HTTP routes of a real machine's agent (worker/worker_http.h). */
#include "worker/worker_http.h"
#include "http/metrics.h"
#include "http/server.h"
#include "job/message_limits.h"
#include "protocol/wire.h"

#include <string.h>

enum { MAX_CONNECTIONS = 256, STATUS_NOT_FOUND = 404 };

static void put_metrics(void *arg, GString *out)
{
    struct lmn_worker *worker = arg;

    pthread_mutex_lock(&worker->lock);
    const struct lmn_agent *agent = &worker->agent;
    lmn_metric_gauge(out, "lemonspar_worker_session", "Session",
                     (double)agent->incarnation);
    lmn_metric_gauge(out, "lemonspar_worker_attempts",
                     "Attempts listed on the machine, running or ended",
                     agent->runs->len);
    lmn_metric_counter(out, "lemonspar_worker_starts", "Start commands executed",
                       agent->starts);
    lmn_metric_counter(out, "lemonspar_worker_done", "Attempts reported as done",
                       agent->finished);
    lmn_metric_counter(out, "lemonspar_worker_refused", "Start commands refused",
                       agent->refused);
    lmn_metric_counter(out, "lemonspar_worker_dropped_starts",
                       "Start commands without effect, with too many attempts listed",
                       agent->dropped_starts);
    lmn_metric_counter(out, "lemonspar_worker_lapses", "Leases that expired",
                       agent->expired_leases);
    lmn_metric_counter(out, "lemonspar_worker_reports", "Heartbeats sent",
                       worker->heartbeats);
    lmn_metric_counter(out, "lemonspar_worker_turned_reports",
                       "Heartbeats redirected, refused or not answered",
                       worker->redirects);
    lmn_metric_counter(out, "lemonspar_worker_image_bytes", "Bytes of images fetched",
                       worker->fetched_bytes);
    lmn_metric_counter(out, "lemonspar_worker_lost_logs",
                       "Attempts whose output was lost", worker->lost_logs);
    pthread_mutex_unlock(&worker->lock);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_worker *worker = arg;
    const char *path = lmn_http_request_path(request);
    enum lmn_http_method method = lmn_http_request_method(request);
    int status = STATUS_NOT_FOUND;

    if (method == LMN_HTTP_GET && strcmp(path, "/metrics") == 0) {
        lmn_metrics_respond(request, put_metrics, worker);
        return;
    }
    const GByteArray *body = lmn_http_request_body(request);
    GByteArray *response = g_byte_array_new();
    lmn_worker_lock(worker);
    if (method == LMN_HTTP_POST && strcmp(path, WIRE_PATH_COMMANDS) == 0)
        status = lmn_agent_handle_commands(&worker->agent, body->data, body->len,
                                           response, lmn_worker_now());
    else if (method == LMN_HTTP_GET && strcmp(path, WIRE_PATH_SHOW) == 0)
        status = lmn_agent_show(&worker->agent, response, lmn_worker_now());
    lmn_worker_unlock_and_send(worker);
    lmn_http_request_respond(request, status, response, 0);
}

struct lmn_http_server *lmn_worker_serve(struct lmn_worker *worker)
{
    const struct lmn_http_server_options options = {
        .listen = worker->options->listen,
        .connections = MAX_CONNECTIONS,
        .max_body_bytes = LMN_MAX_MESSAGE_BYTES,
        .route = route,
        .arg = worker,
    };

    return lmn_http_server_start(&options);
}
