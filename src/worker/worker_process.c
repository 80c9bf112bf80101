#include "worker/worker.h"
#include "worker/executor.h"
#include "worker/worker_internal.h"
#include "util/clock.h"
#include "config/config.h"
#include "http/server.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/process.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "image_store/image_store.h"

#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* A task that was told to stop and has saved its progress exits with this (EX_TEMPFAIL).
 */
enum { EXIT_SAVED = 75, MAX_BODY = 64 * 1024, MAX_MESSAGE = 4096 };
/* A worker waits for an answer to a report so long. */
static const double ANSWER_S = 4;

struct timespec lmn_worker_now(void)
{
    struct timespec t;
    clock_gettime(CLOCK_BOOTTIME, &t); /* a lease is over in sleep, too */
    return t;
}

void lmn_worker_lock(struct lmn_worker *worker)
{
    pthread_mutex_lock(&worker->lock);
}

/* What is known already is told at once; the rest goes to the threads that ask. The lock
 * is held. */
static void drain(struct lmn_worker *worker)
{
    struct lmn_fetch_request *q;

    while ((q = g_queue_pop_head(&worker->pending))) {
        struct timespec now = lmn_worker_now();
        const struct lmn_task_command *work =
            q->is_image ? NULL : g_hash_table_lookup(worker->task_commands, q->job_id);
        if (work) {
            lmn_agent_described(&worker->agent, q->id, &work->spec, now);
        } else if (q->is_image &&
                   (!strcmp(q->name, LMN_NO_IMAGE) ||
                    g_hash_table_contains(worker->cached_images, q->name))) {
            GList *l = g_queue_find(&worker->image_order, q->name);
            if (l) {
                g_queue_unlink(&worker->image_order, l);
                g_queue_push_tail_link(&worker->image_order, l);
            }
            lmn_agent_fetched(&worker->agent, q->name, true, now);
        } else {
            g_queue_push_tail(q->is_image ? &worker->images : &worker->descriptions, q);
            pthread_cond_signal(q->is_image ? &worker->image_queued
                                            : &worker->description_queued);
            continue;
        }
        g_free(q);
    }
    if (worker->agent.has_news)
        pthread_cond_signal(&worker->heartbeat_due);
}

static void flush(struct lmn_worker *worker)
{
    /* Steals the outbox in the order in which it sends: two threads must not pass each
     * other. */
    pthread_mutex_lock(&worker->sending);
    pthread_mutex_lock(&worker->lock);
    GQueue mine = worker->outbox;
    g_queue_init(&worker->outbox);
    pthread_mutex_unlock(&worker->lock);
    for (struct lmn_executor_request *o; (o = g_queue_pop_head(&mine));) {
        if (o->directory && g_mkdir_with_parents(o->directory, 0755) != 0)
            lmn_error("directory_create_failed path=%s error=\"%s\"", o->directory,
                      strerror(errno));
        if (o->message && send(worker->executor_fd, o->message->data, o->message->len,
                               MSG_NOSIGNAL) < 0)
            lmn_error("executor_message_invalid error=\"%s\"", strerror(errno));
        if (o->message)
            g_byte_array_unref(o->message);
        g_free(o->directory);
        g_free(o);
    }
    pthread_mutex_unlock(&worker->sending);
}

void lmn_worker_unlock(struct lmn_worker *worker)
{
    drain(worker);
    bool out = worker->outbox.head != NULL;
    pthread_mutex_unlock(&worker->lock);
    if (out)
        flush(worker);
}

/* --- sessions --- */

static char *session_file(const struct lmn_worker *worker)
{
    return g_build_filename(worker->options->directory, "session", NULL);
}

/* The next session's number, on the disk before it is told to anybody. */
static uint64_t next_session(struct lmn_worker *worker)
{
    char *path = session_file(worker), *text = NULL, line[32];
    uint64_t last = 0;

    if (g_file_get_contents(path, &text, NULL, NULL))
        last = g_ascii_strtoull(text, NULL, 10);
    last = MAX(last, worker->incarnation) + 1;
    int n = g_snprintf(line, sizeof line, "%" G_GUINT64_FORMAT "\n", last);
    if (lmn_file_put(path, line, (size_t)n) != 0) {
        /* A number that could be told twice must not be told at all. */
        lmn_error("agent_incarnation_write_failed path=%s error=\"%s\"", path,
                  strerror(errno));
        _exit(1);
    }
    g_free(text);
    g_free(path);
    worker->incarnation = last;
    return last;
}

static void task_ended(struct lmn_worker *worker,
                       const struct lmn_executor_event_message *m)
{
    lmn_worker_lock(worker);
    const struct lmn_task_run *r = lmn_agent_find_run(&worker->agent, m->id);
    if (r) {
        struct lmn_ended_attempt *e = g_new0(struct lmn_ended_attempt, 1);
        bool exited = m->event == LMN_EXECUTOR_EXITED && WIFEXITED(m->status);
        e->id = r->id;
        e->attempt = r->attempt;
        g_strlcpy(e->job_id, r->job_id, sizeof e->job_id);
        e->index = r->index;
        e->is_done = exited && WEXITSTATUS(m->status) == 0;
        e->is_saved = exited && WEXITSTATUS(m->status) == EXIT_SAVED;
        e->directory =
            g_strdup_printf("%s/tasks/%s.%u.%" G_GUINT64_FORMAT,
                            worker->options->directory, r->job_id, r->index, r->attempt);
        lmn_debug("task_exited task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " status=%d what=\"%s\"",
                  r->job_id, r->index, r->attempt, m->status, m->what);
        if (m->event == LMN_EXECUTOR_START_FAILED)
            lmn_info("task_start_failed task=%s/%u why=\"%s\"", r->job_id, r->index,
                     m->what);
        g_queue_push_tail(&worker->ended, e);
        pthread_cond_signal(&worker->attempt_ended);
    }
    lmn_worker_unlock(worker);
}

static void *listen_to_keeper(void *arg)
{
    struct lmn_worker *worker = arg;
    char buf[MAX_MESSAGE];

    for (;;) {
        struct lmn_executor_event_message m;
        ssize_t n = recv(worker->executor_fd, buf, sizeof buf, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0) {
            /* Nobody answers for the tasks any more. The next life ends what is left. */
            lmn_error("executor_exited");
            _exit(1);
        }
        if (lmn_executor_event_decode(buf, (size_t)n, &m) != 0)
            continue;
        if (m.event == LMN_EXECUTOR_EXITED || m.event == LMN_EXECUTOR_START_FAILED) {
            task_ended(worker, &m);
            continue;
        }
        uint64_t session = m.event == LMN_EXECUTOR_EMPTY ? next_session(worker) : 0;
        lmn_worker_lock(worker);
        if (m.event == LMN_EXECUTOR_EMPTY)
            lmn_agent_incarnation_ended(&worker->agent, session, lmn_worker_now());
        else
            lmn_agent_expire_lease(&worker->agent, "the keeper found the lease over");
        lmn_worker_unlock(worker);
    }
    return NULL;
}

/* --- reports --- */

static unsigned controller_named(const struct lmn_worker *worker,
                                 const GByteArray *answer, unsigned now)
{
    char name[LMN_NAME_SIZE] = "";
    struct lmn_cbor_document d;

    if (answer->len && lmn_cbor_parse(&d, answer->data, answer->len) == 0) {
        lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_REDIRECT_TO), name,
                          sizeof name);
        lmn_cbor_free(&d);
    }
    for (unsigned i = 0; i < worker->options->controller_count && *name; i++)
        if (i != now && !strcmp(worker->options->controllers[i].name, name))
            return i;
    return now;
}

/* Waits until a report is due: the interval, give or take a quarter, or a change, at most
 * every half second. */
static void wait_for_report(struct lmn_worker *worker, struct timespec last)
{
    double interval = worker->options->heartbeat_s * (0.75 + 0.5 * g_random_double());

    pthread_mutex_lock(&worker->lock);
    for (;;) {
        double since = lmn_time_diff_s(lmn_now(), last);
        double wait =
            worker->agent.has_news ? MIN(0.5, interval) - since : interval - since;
        if (wait <= 0 && !worker->agent.is_ending)
            break;
        lmn_cond_wait_for(&worker->heartbeat_due, &worker->lock, MAX(wait, 0.01));
    }
    pthread_mutex_unlock(&worker->lock);
}

static void *reporter(void *arg)
{
    struct lmn_worker *worker = arg;
    struct lmn_http_client *h[LMN_MAX_CONTROLLERS] = {NULL};
    GByteArray *in = g_byte_array_new();
    unsigned to = g_str_hash(worker->options->name) % worker->options->controller_count;
    struct timespec last = {0, 0};

    for (unsigned i = 0; i < worker->options->controller_count; i++)
        h[i] = lmn_http_client_new(worker->options->controllers[i].addr);
    for (;;) {
        GByteArray *out = g_byte_array_new();
        wait_for_report(worker, last);
        lmn_worker_lock(worker);
        if (worker->agent.is_ending) {
            lmn_worker_unlock(worker);
            g_byte_array_unref(out);
            continue;
        }
        uint64_t session = worker->agent.incarnation;
        struct timespec sent = lmn_worker_now();
        lmn_agent_write_heartbeat(&worker->agent, out, sent);
        worker->heartbeats++;
        lmn_worker_unlock(worker);
        last = lmn_now();
        int status =
            lmn_http_client_call(h[to], "POST", WIRE_PATH_HEARTBEAT, out, ANSWER_S, in);
        g_byte_array_unref(out);
        if (status == 200) {
            lmn_worker_lock(worker);
            lmn_agent_heartbeat_answered(&worker->agent, session, sent, in->data, in->len,
                                         lmn_worker_now());
            lmn_worker_unlock(worker);
            continue;
        }
        unsigned next = status == 421 ? controller_named(worker, in, to) : to;
        lmn_debug("heartbeat_redirected status=%d to=%s", status,
                  worker->options->controllers[next].name);
        pthread_mutex_lock(&worker->lock);
        worker->agent.has_news = true; /* what was not heard is still news */
        worker->redirects++;
        pthread_mutex_unlock(&worker->lock);
        if (next != to) {
            last = lmn_time_add(lmn_now(), -1);
        } else {
            next = (to + 1) % worker->options->controller_count;
            lmn_sleep(1);
        }
        to = next;
    }
    return NULL;
}

static void *ticker(void *arg)
{
    struct lmn_worker *worker = arg;

    for (;;) {
        lmn_sleep(0.05);
        lmn_worker_lock(worker);
        lmn_agent_tick(&worker->agent, lmn_worker_now());
        lmn_worker_unlock(worker);
    }
    return NULL;
}

/* --- what it serves --- */

static void metrics(void *arg, GString *out)
{
    struct lmn_worker *worker = arg;

    pthread_mutex_lock(&worker->lock);
    const struct lmn_agent *agent = &worker->agent;
    lmn_gauge(out, "lemonspar_worker_session", "Session", (double)agent->incarnation);
    lmn_gauge(out, "lemonspar_worker_attempts", "Attempts on the machine",
              agent->runs->len);
    lmn_counter(out, "lemonspar_worker_starts", "Start commands", agent->starts);
    lmn_counter(out, "lemonspar_worker_done", "Tasks that completed", agent->finished);
    lmn_counter(out, "lemonspar_worker_refused", "Starts refused", agent->refused);
    lmn_counter(out, "lemonspar_worker_lapses", "Leases that ran out",
                agent->expired_leases);
    lmn_counter(out, "lemonspar_worker_reports", "Reports sent", worker->heartbeats);
    lmn_counter(out, "lemonspar_worker_turned_reports", "Reports that were turned away",
                worker->redirects);
    lmn_counter(out, "lemonspar_worker_image_bytes", "Bytes of images fetched",
                worker->fetched_bytes);
    lmn_counter(out, "lemonspar_worker_lost_logs", "Attempts whose output was lost",
                worker->lost_logs);
    pthread_mutex_unlock(&worker->lock);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_worker *worker = arg;
    const char *path = lmn_http_request_path(request);
    const GByteArray *body = lmn_http_request_body(request);
    GByteArray *out = g_byte_array_new();
    int status = 404;

    if (lmn_http_request_method(request) == LMN_HTTP_GET && !strcmp(path, "/metrics")) {
        g_byte_array_unref(out);
        lmn_metrics_answer(request, metrics, worker);
        return;
    }
    lmn_worker_lock(worker);
    if (lmn_http_request_method(request) == LMN_HTTP_POST &&
        !strcmp(path, WIRE_PATH_COMMANDS))
        status = lmn_agent_execute(&worker->agent, body->data, body->len, out,
                                   lmn_worker_now());
    else if (lmn_http_request_method(request) == LMN_HTTP_GET &&
             !strcmp(path, WIRE_PATH_SHOW))
        status = lmn_agent_show(&worker->agent, out, lmn_worker_now());
    lmn_worker_unlock(worker);
    lmn_http_request_respond(request, status, out, 0);
}

static void free_work(gpointer p)
{
    lmn_task_command_clear(p);
    g_free(p);
}

static void init(struct lmn_worker *worker)
{
    pthread_cond_t *const conds[] = {&worker->heartbeat_due, &worker->description_queued,
                                     &worker->image_queued, &worker->attempt_ended,
                                     &worker->log_queued};

    pthread_mutex_init(&worker->lock, NULL);
    pthread_mutex_init(&worker->sending, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(conds); i++)
        lmn_cond_init(conds[i]);
    worker->task_commands =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_work);
    worker->cached_images = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

int lmn_worker_run(const struct lmn_worker_options *options, char *err, size_t len)
{
    struct lmn_worker *worker = g_new0(struct lmn_worker, 1);
    char *lock = g_build_filename(options->directory, "agent.lock", NULL),
         host[LMN_ADDRESS_SIZE];
    char *tasks = g_build_filename(options->directory, "tasks", NULL);
    pid_t other = 0;

    worker->options = options;
    signal(SIGPIPE, SIG_IGN);
    if (g_mkdir_with_parents(options->directory, 0755) != 0 ||
        lmn_lock_file(lock, &other) < 0) {
        if (other)
            g_snprintf(err, len, "%s: process %ld is this machine's agent",
                       options->directory, (long)other);
        else
            g_snprintf(err, len, "%s: %s", options->directory, strerror(errno));
        return -1;
    }
    worker->mark = lmn_executor_mark(options->directory);
    worker->executor_fd = lmn_executor_start(options->directory, worker->mark, err, len);
    if (worker->executor_fd < 0)
        return -1;
    /* Nothing of an earlier session runs any more: only now is there a next one. */
    lmn_tree_remove(tasks);
    init(worker);
    lmn_images_open(worker);
    if (lmn_results_open(worker) != 0) {
        g_snprintf(err, len, "%s: results: %s", options->directory, strerror(errno));
        return -1;
    }
    curl_global_init(CURL_GLOBAL_NOTHING);
    const struct lmn_http_server_options h = {.listen = options->listen,
                                              .connections = 256,
                                              .max_body = MAX_BODY,
                                              .route = route,
                                              .arg = worker};
    g_strlcpy(worker->agent.name, options->name, sizeof worker->agent.name);
    g_strlcpy(worker->agent.zone, options->zone, sizeof worker->agent.zone);
    worker->agent.type = options->type;
    worker->agent.is_spot = options->is_spot;
    worker->agent.lease_s = options->lease_s;
    lmn_agent_init(&worker->agent, &lmn_worker_agent_ops, worker, next_session(worker),
                   lmn_worker_now());
    struct lmn_http_server *server = lmn_http_server_start(&h);
    if (!server) {
        g_snprintf(err, len, "%s: can't listen: %s", options->listen, strerror(errno));
        return -1;
    }
    g_strlcpy(host, options->listen, sizeof host);
    *strrchr(host, ':') = '\0';
    pthread_mutex_lock(&worker->lock);
    g_snprintf(worker->agent.address, sizeof worker->agent.address, "%s:%d", host,
               lmn_http_server_port(server));
    lmn_info(
        "worker_started machine=%s type=%s zone=%s address=%s session=%" G_GUINT64_FORMAT
        " results=%u",
        options->name, options->type.name, options->zone, worker->agent.address,
        worker->incarnation, g_hash_table_size(worker->results));
    char *address = g_build_filename(options->directory, "address", NULL),
         said[LMN_ADDRESS_SIZE + 1];
    int n = g_snprintf(said, sizeof said, "%s\n", worker->agent.address);
    lmn_worker_unlock(worker);
    /* For the fleet's list. */
    lmn_file_put(address, said, (size_t)n);
    g_free(address);
    lmn_thread(listen_to_keeper, worker);
    lmn_thread(lmn_describe_thread, worker);
    lmn_thread(lmn_image_thread, worker);
    lmn_thread(lmn_ended_thread, worker);
    lmn_thread(lmn_logs_thread, worker);
    lmn_thread(ticker, worker);
    reporter(worker);
    return 0;
}

/* --- settings --- */

void lmn_worker_controllers(struct lmn_config *config, struct lmn_worker_options *options)
{
    guint n = lmn_config_count(config, "controllers");
    char path[64];

    if (n < 1 || n > LMN_MAX_CONTROLLERS)
        lmn_config_fail(config, "controllers",
                        "expected 1 to %d tables with name and address",
                        LMN_MAX_CONTROLLERS);
    for (guint i = 0; i < n && i < LMN_MAX_CONTROLLERS; i++) {
        g_snprintf(path, sizeof path, "controllers[%u].name", i);
        g_strlcpy(options->controllers[i].name, lmn_config_name(config, path, NULL),
                  LMN_NAME_SIZE);
        g_snprintf(path, sizeof path, "controllers[%u].address", i);
        g_strlcpy(options->controllers[i].addr, lmn_config_address(config, path, NULL),
                  LMN_ADDRESS_SIZE);
        options->controller_count++;
    }
}

int lmn_worker_load(const char *path, struct lmn_worker_options *options, char *err,
                    size_t len)
{
    struct lmn_config *config = lmn_config_load(path, err, len);

    memset(options, 0, sizeof *options);
    if (!config)
        return -1;
    g_strlcpy(options->name, lmn_config_name(config, "name", NULL), sizeof options->name);
    g_strlcpy(options->zone, lmn_config_name(config, "zone", NULL), sizeof options->zone);
    g_strlcpy(options->listen, lmn_config_text(config, "listen", "127.0.0.1:0"),
              sizeof options->listen);
    if (!strchr(options->listen, ':'))
        lmn_config_fail(config, "listen",
                        "expected an IPv4 address and a port (0: one that is free)");
    g_strlcpy(options->image_store, lmn_config_address(config, "depot", NULL),
              sizeof options->image_store);
    g_strlcpy(options->directory, lmn_config_text(config, "data", NULL),
              sizeof options->directory);
    if (lmn_config_has(config, "checkpoints"))
        g_strlcpy(options->checkpoints, lmn_config_text(config, "checkpoints", NULL),
                  sizeof options->checkpoints);
    options->is_spot = lmn_config_bool(config, "spot", false);
    options->heartbeat_s = lmn_config_number(config, "report_s", 1.5, 0.05, 600);
    options->lease_s = lmn_config_number(config, "lease_s", 10, 0.1, 3600);
    options->log_kb = lmn_config_number(config, "log_kb", 256, 1, 7 * 1024);
    g_strlcpy(options->type.name, lmn_config_name(config, "type.name", NULL),
              sizeof options->type.name);
    options->type.cpus = lmn_config_number(config, "type.cpus", 1, 0, 1e6);
    options->type.gpus = lmn_config_number(config, "type.gpus", 0, 0, 1e6);
    options->type.memory_gb = lmn_config_number(config, "type.mem_gb", 1, 0, 1e9);
    options->type.cache_gb = lmn_config_number(config, "type.cache_gb", 10, 0, 1e9);
    options->type.pull_gb_per_s =
        lmn_config_number(config, "type.pull_gb_per_s", 1, 0, 1e6);
    lmn_worker_controllers(config, options);
    if (options->lease_s <= options->heartbeat_s)
        lmn_config_fail(config, "lease_s", "must be longer than report_s");
    int rc = lmn_config_finish(config, err, len);
    lmn_config_free(config);
    return rc;
}
