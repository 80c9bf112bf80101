/** @file
 * The process of a real machine's agent (worker/worker.h). It starts the agent's parts in
 * an order that keeps two incarnations from running tasks at the same time. */
#include "worker/worker.h"
#include "http/server.h"
#include "util/log.h"
#include "util/process.h"
#include "util/thread.h"
#include "worker/agent_ops.h"
#include "worker/descriptions.h"
#include "worker/executor.h"
#include "worker/executor_events.h"
#include "worker/heartbeats.h"
#include "worker/images.h"
#include "worker/incarnation.h"
#include "worker/results.h"
#include "worker/task_logs.h"
#include "worker/worker_http.h"
#include "worker/worker_state.h"

#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <string.h>

enum { DIRECTORY_MODE = 0755 };
/* Interval at which the lease is checked for its expiry. */
static const double LEASE_CHECK_INTERVAL_S = 0.05;

/* Locks the machine's directory until the process ends. */
static bool lock_directory(const struct lmn_worker_options *options, char *err,
                           size_t len)
{
    g_autofree char *path = g_build_filename(options->directory, "agent.lock", NULL);
    pid_t holder = 0;

    if (g_mkdir_with_parents(options->directory, DIRECTORY_MODE) == 0 &&
        lmn_lock_file(path, &holder) >= 0)
        return true;
    if (holder)
        g_snprintf(err, len,
                   "%s: already locked by process %ld, another agent of this machine",
                   options->directory, (long)holder);
    else
        g_snprintf(err, len, "%s: can't create or lock the directory: %s",
                   options->directory, strerror(errno));
    return false;
}

/* Starts the executor, which first kills all processes of an earlier incarnation. Only
 * when none of them is left may the next incarnation begin. */
static struct lmn_worker *start_executor(const struct lmn_worker_options *options,
                                         char *err, size_t len)
{
    g_autofree char *tasks = g_build_filename(options->directory, "tasks", NULL);
    g_autofree char *mark = lmn_executor_environment_mark(options->directory);
    int executor_fd = lmn_executor_start(options->directory, mark, err, len);

    if (executor_fd < 0)
        return NULL;
    lmn_tree_remove(tasks);
    struct lmn_worker *worker = lmn_worker_new(options);
    worker->executor_fd = executor_fd;
    worker->environment_mark = g_steal_pointer(&mark);
    return worker;
}

static void init_agent(struct lmn_worker *worker)
{
    const struct lmn_worker_options *options = worker->options;
    struct lmn_agent *agent = &worker->agent;

    g_strlcpy(agent->name, options->name, sizeof agent->name);
    g_strlcpy(agent->zone, options->zone, sizeof agent->zone);
    agent->type = options->type;
    agent->is_spot = options->is_spot;
    agent->lease_s = options->lease_s;
    lmn_agent_init(agent, &lmn_worker_agent_ops, worker,
                   lmn_worker_next_incarnation(worker), lmn_worker_now());
}

/* Sets the agent's address, whose port is known once the server has started, and writes
 * it to the file "address", from which the machine provider reads it. */
static void publish_address(struct lmn_worker *worker,
                            const struct lmn_http_server *server)
{
    const struct lmn_worker_options *options = worker->options;
    g_autofree char *path = g_build_filename(options->directory, "address", NULL);
    char host[LMN_ADDRESS_SIZE], line[LMN_ADDRESS_SIZE + 1];

    g_strlcpy(host, options->listen, sizeof host);
    *strrchr(host, ':') = '\0';
    lmn_worker_lock(worker);
    g_snprintf(worker->agent.address, sizeof worker->agent.address, "%s:%d", host,
               lmn_http_server_port(server));
    lmn_info(
        "worker_started machine=%s type=%s zone=%s address=%s session=%" G_GUINT64_FORMAT
        " results=%u",
        options->name, options->type.name, options->zone, worker->agent.address,
        worker->incarnation, g_hash_table_size(worker->results));
    int line_len = g_snprintf(line, sizeof line, "%s\n", worker->agent.address);
    lmn_worker_unlock_and_send(worker);
    lmn_file_replace_durably(path, line, (size_t)line_len);
}

/* Thread function: ends the incarnation when its lease has expired; never returns. */
static void *lease_thread(void *arg)
{
    struct lmn_worker *worker = arg;

    for (;;) {
        lmn_sleep(LEASE_CHECK_INTERVAL_S);
        lmn_worker_lock(worker);
        lmn_agent_check_lease(&worker->agent, lmn_worker_now());
        lmn_worker_unlock_and_send(worker);
    }
    return NULL;
}

static void start_threads(struct lmn_worker *worker)
{
    lmn_thread_start_detached(lmn_executor_event_thread, worker);
    lmn_thread_start_detached(lmn_description_thread, worker);
    lmn_thread_start_detached(lmn_image_thread, worker);
    lmn_thread_start_detached(lmn_result_thread, worker);
    lmn_thread_start_detached(lmn_log_upload_thread, worker);
    lmn_thread_start_detached(lease_thread, worker);
}

int lmn_worker_run(const struct lmn_worker_options *options, char *err, size_t len)
{
    signal(SIGPIPE, SIG_IGN);
    if (!lock_directory(options, err, len))
        return -1;
    struct lmn_worker *worker = start_executor(options, err, len);
    if (!worker)
        return -1;
    lmn_images_load_cached(worker);
    if (lmn_results_open(worker) != 0) {
        g_snprintf(err, len, "%s: can't open the file \"results\": %s",
                   options->directory, strerror(errno));
        return -1;
    }
    curl_global_init(CURL_GLOBAL_NOTHING);
    init_agent(worker);
    struct lmn_http_server *server = lmn_worker_serve(worker);
    if (!server) {
        g_snprintf(err, len, "%s: can't listen: %s", options->listen, strerror(errno));
        return -1;
    }
    publish_address(worker, server);
    start_threads(worker);
    lmn_heartbeat_thread(worker);
    return 0;
}
