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

void lmn_worker_lock(struct lmn_worker *w)
{
    pthread_mutex_lock(&w->lock);
}

/* What is known already is told at once; the rest goes to the threads that ask. The lock
 * is held. */
static void drain(struct lmn_worker *w)
{
    struct lmn_fetch_request *q;

    while ((q = g_queue_pop_head(&w->pending))) {
        struct timespec now = lmn_worker_now();
        const struct lmn_task_command *work =
            q->image ? NULL : g_hash_table_lookup(w->works, q->ref);
        if (work) {
            lmn_agent_described(&w->agent, q->id, &work->spec, now);
        } else if (q->image && (!strcmp(q->name, LMN_NO_IMAGE) ||
                                g_hash_table_contains(w->here, q->name))) {
            GList *l = g_queue_find(&w->image_order, q->name);
            if (l) {
                g_queue_unlink(&w->image_order, l);
                g_queue_push_tail_link(&w->image_order, l);
            }
            lmn_agent_fetched(&w->agent, q->name, true, now);
        } else {
            g_queue_push_tail(q->image ? &w->images : &w->wishes, q);
            pthread_cond_signal(q->image ? &w->images_more : &w->wishes_more);
            continue;
        }
        g_free(q);
    }
    if (w->agent.changed)
        pthread_cond_signal(&w->report_due);
}

static void flush(struct lmn_worker *w)
{
    /* Steals the outbox in the order in which it sends: two threads must not pass each
     * other. */
    pthread_mutex_lock(&w->sending);
    pthread_mutex_lock(&w->lock);
    GQueue mine = w->outbox;
    g_queue_init(&w->outbox);
    pthread_mutex_unlock(&w->lock);
    for (struct lmn_executor_request *o; (o = g_queue_pop_head(&mine));) {
        if (o->dir && g_mkdir_with_parents(o->dir, 0755) != 0)
            lmn_error("no-directory path=%s error=\"%s\"", o->dir, strerror(errno));
        if (o->msg && send(w->keeper, o->msg->data, o->msg->len, MSG_NOSIGNAL) < 0)
            lmn_error("keeper-unheard error=\"%s\"", strerror(errno));
        if (o->msg)
            g_byte_array_unref(o->msg);
        g_free(o->dir);
        g_free(o);
    }
    pthread_mutex_unlock(&w->sending);
}

void lmn_worker_unlock(struct lmn_worker *w)
{
    drain(w);
    bool out = w->outbox.head != NULL;
    pthread_mutex_unlock(&w->lock);
    if (out)
        flush(w);
}

/* --- sessions --- */

static char *session_file(const struct lmn_worker *w)
{
    return g_build_filename(w->o->dir, "session", NULL);
}

/* The next session's number, on the disk before it is told to anybody. */
static uint64_t next_session(struct lmn_worker *w)
{
    char *path = session_file(w), *text = NULL, line[32];
    uint64_t last = 0;

    if (g_file_get_contents(path, &text, NULL, NULL))
        last = g_ascii_strtoull(text, NULL, 10);
    last = MAX(last, w->session) + 1;
    int n = g_snprintf(line, sizeof line, "%" G_GUINT64_FORMAT "\n", last);
    if (lmn_file_put(path, line, (size_t)n) != 0) {
        /* A number that could be told twice must not be told at all. */
        lmn_error("session-unrecorded path=%s error=\"%s\"", path, strerror(errno));
        _exit(1);
    }
    g_free(text);
    g_free(path);
    w->session = last;
    return last;
}

static void task_ended(struct lmn_worker *w, const struct lmn_executor_event_message *m)
{
    lmn_worker_lock(w);
    const struct lmn_task_run *r = lmn_agent_find_run(&w->agent, m->id);
    if (r) {
        struct lmn_ended_attempt *e = g_new0(struct lmn_ended_attempt, 1);
        bool exited = m->event == LMN_EXECUTOR_EXITED && WIFEXITED(m->status);
        e->id = r->id;
        e->attempt = r->attempt;
        g_strlcpy(e->ref, r->ref, sizeof e->ref);
        e->index = r->index;
        e->done = exited && WEXITSTATUS(m->status) == 0;
        e->saved = exited && WEXITSTATUS(m->status) == EXIT_SAVED;
        e->dir = g_strdup_printf("%s/tasks/%s.%u.%" G_GUINT64_FORMAT, w->o->dir, r->ref,
                                 r->index, r->attempt);
        lmn_debug("task-exit task=%s/%u attempt=%" G_GUINT64_FORMAT
                  " status=%d what=\"%s\"",
                  r->ref, r->index, r->attempt, m->status, m->what);
        if (m->event == LMN_EXECUTOR_START_FAILED)
            lmn_info("task-unstarted task=%s/%u why=\"%s\"", r->ref, r->index, m->what);
        g_queue_push_tail(&w->ended, e);
        pthread_cond_signal(&w->ended_more);
    }
    lmn_worker_unlock(w);
}

static void *listen_to_keeper(void *arg)
{
    struct lmn_worker *w = arg;
    char buf[MAX_MESSAGE];

    for (;;) {
        struct lmn_executor_event_message m;
        ssize_t n = recv(w->keeper, buf, sizeof buf, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0) {
            /* Nobody answers for the tasks any more. The next life ends what is left. */
            lmn_error("keeper-gone");
            _exit(1);
        }
        if (lmn_executor_event_decode(buf, (size_t)n, &m) != 0)
            continue;
        if (m.event == LMN_EXECUTOR_EXITED || m.event == LMN_EXECUTOR_START_FAILED) {
            task_ended(w, &m);
            continue;
        }
        uint64_t session = m.event == LMN_EXECUTOR_EMPTY ? next_session(w) : 0;
        lmn_worker_lock(w);
        if (m.event == LMN_EXECUTOR_EMPTY)
            lmn_agent_incarnation_ended(&w->agent, session, lmn_worker_now());
        else
            lmn_agent_expire_lease(&w->agent, "the keeper found the lease over");
        lmn_worker_unlock(w);
    }
    return NULL;
}

/* --- reports --- */

static unsigned controller_named(const struct lmn_worker *w, const GByteArray *answer,
                                 unsigned now)
{
    char name[LMN_NAME_SIZE] = "";
    struct lmn_cbor_document d;

    if (answer->len && lmn_cbor_parse(&d, answer->data, answer->len) == 0) {
        lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_REDIRECT_TO), name,
                          sizeof name);
        lmn_cbor_free(&d);
    }
    for (unsigned i = 0; i < w->o->ncontrollers && *name; i++)
        if (i != now && !strcmp(w->o->controllers[i].name, name))
            return i;
    return now;
}

/* Waits until a report is due: the interval, give or take a quarter, or a change, at most
 * every half second. */
static void wait_for_report(struct lmn_worker *w, struct timespec last)
{
    double interval = w->o->report_s * (0.75 + 0.5 * g_random_double());

    pthread_mutex_lock(&w->lock);
    for (;;) {
        double since = lmn_time_diff_s(lmn_now(), last);
        double wait = w->agent.changed ? MIN(0.5, interval) - since : interval - since;
        if (wait <= 0 && !w->agent.ending)
            break;
        lmn_cond_wait_for(&w->report_due, &w->lock, MAX(wait, 0.01));
    }
    pthread_mutex_unlock(&w->lock);
}

static void *reporter(void *arg)
{
    struct lmn_worker *w = arg;
    struct lmn_http_client *h[LMN_MAX_CONTROLLERS] = {NULL};
    GByteArray *in = g_byte_array_new();
    unsigned to = g_str_hash(w->o->name) % w->o->ncontrollers;
    struct timespec last = {0, 0};

    for (unsigned i = 0; i < w->o->ncontrollers; i++)
        h[i] = lmn_http_client_new(w->o->controllers[i].addr);
    for (;;) {
        GByteArray *out = g_byte_array_new();
        wait_for_report(w, last);
        lmn_worker_lock(w);
        if (w->agent.ending) {
            lmn_worker_unlock(w);
            g_byte_array_unref(out);
            continue;
        }
        uint64_t session = w->agent.session;
        struct timespec sent = lmn_worker_now();
        lmn_agent_write_heartbeat(&w->agent, out, sent);
        w->reports++;
        lmn_worker_unlock(w);
        last = lmn_now();
        int status =
            lmn_http_client_call(h[to], "POST", WIRE_PATH_HEARTBEAT, out, ANSWER_S, in);
        g_byte_array_unref(out);
        if (status == 200) {
            lmn_worker_lock(w);
            lmn_agent_heartbeat_answered(&w->agent, session, sent, in->data, in->len,
                                         lmn_worker_now());
            lmn_worker_unlock(w);
            continue;
        }
        unsigned next = status == 421 ? controller_named(w, in, to) : to;
        lmn_debug("report-turned status=%d to=%s", status, w->o->controllers[next].name);
        pthread_mutex_lock(&w->lock);
        w->agent.changed = true; /* what was not heard is still news */
        w->redirects++;
        pthread_mutex_unlock(&w->lock);
        if (next != to) {
            last = lmn_time_add(lmn_now(), -1);
        } else {
            next = (to + 1) % w->o->ncontrollers;
            lmn_sleep(1);
        }
        to = next;
    }
    return NULL;
}

static void *ticker(void *arg)
{
    struct lmn_worker *w = arg;

    for (;;) {
        lmn_sleep(0.05);
        lmn_worker_lock(w);
        lmn_agent_tick(&w->agent, lmn_worker_now());
        lmn_worker_unlock(w);
    }
    return NULL;
}

/* --- what it serves --- */

static void metrics(void *arg, GString *out)
{
    struct lmn_worker *w = arg;

    pthread_mutex_lock(&w->lock);
    const struct lmn_agent *a = &w->agent;
    lmn_gauge(out, "lemonspar_worker_session", "Session", (double)a->session);
    lmn_gauge(out, "lemonspar_worker_attempts", "Attempts on the machine", a->runs->len);
    lmn_counter(out, "lemonspar_worker_starts", "Start commands", a->starts);
    lmn_counter(out, "lemonspar_worker_done", "Tasks that completed", a->finished);
    lmn_counter(out, "lemonspar_worker_refused", "Starts refused", a->refused);
    lmn_counter(out, "lemonspar_worker_lapses", "Leases that ran out", a->lapses);
    lmn_counter(out, "lemonspar_worker_reports", "Reports sent", w->reports);
    lmn_counter(out, "lemonspar_worker_turned_reports", "Reports that were turned away",
                w->redirects);
    lmn_counter(out, "lemonspar_worker_image_bytes", "Bytes of images fetched",
                w->fetched_bytes);
    lmn_counter(out, "lemonspar_worker_lost_logs", "Attempts whose output was lost",
                w->lost_logs);
    pthread_mutex_unlock(&w->lock);
}

static void route(void *arg, struct lmn_http_request *call)
{
    struct lmn_worker *w = arg;
    const char *path = lmn_http_request_path(call);
    const GByteArray *body = lmn_http_request_body(call);
    GByteArray *out = g_byte_array_new();
    int status = 404;

    if (lmn_http_request_method(call) == LMN_HTTP_GET && !strcmp(path, "/metrics")) {
        g_byte_array_unref(out);
        lmn_metrics_answer(call, metrics, w);
        return;
    }
    lmn_worker_lock(w);
    if (lmn_http_request_method(call) == LMN_HTTP_POST &&
        !strcmp(path, WIRE_PATH_COMMANDS))
        status =
            lmn_agent_execute(&w->agent, body->data, body->len, out, lmn_worker_now());
    else if (lmn_http_request_method(call) == LMN_HTTP_GET &&
             !strcmp(path, WIRE_PATH_SHOW))
        status = lmn_agent_show(&w->agent, out, lmn_worker_now());
    lmn_worker_unlock(w);
    lmn_http_request_respond(call, status, out, 0);
}

static void free_work(gpointer p)
{
    lmn_task_command_clear(p);
    g_free(p);
}

static void init(struct lmn_worker *w)
{
    pthread_cond_t *const conds[] = {&w->report_due, &w->wishes_more, &w->images_more,
                                     &w->ended_more, &w->logs_more};

    pthread_mutex_init(&w->lock, NULL);
    pthread_mutex_init(&w->sending, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(conds); i++)
        lmn_cond_init(conds[i]);
    w->works = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_work);
    w->here = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

int lmn_worker_run(const struct lmn_worker_options *o, char *err, size_t len)
{
    struct lmn_worker *w = g_new0(struct lmn_worker, 1);
    char *lock = g_build_filename(o->dir, "agent.lock", NULL), host[LMN_ADDRESS_SIZE];
    char *tasks = g_build_filename(o->dir, "tasks", NULL);
    pid_t other = 0;

    w->o = o;
    signal(SIGPIPE, SIG_IGN);
    if (g_mkdir_with_parents(o->dir, 0755) != 0 || lmn_lock_file(lock, &other) < 0) {
        if (other)
            g_snprintf(err, len, "%s: process %ld is this machine's agent", o->dir,
                       (long)other);
        else
            g_snprintf(err, len, "%s: %s", o->dir, strerror(errno));
        return -1;
    }
    w->mark = lmn_executor_mark(o->dir);
    w->keeper = lmn_executor_start(o->dir, w->mark, err, len);
    if (w->keeper < 0)
        return -1;
    /* Nothing of an earlier session runs any more: only now is there a next one. */
    lmn_tree_remove(tasks);
    init(w);
    lmn_images_open(w);
    if (lmn_results_open(w) != 0) {
        g_snprintf(err, len, "%s: results: %s", o->dir, strerror(errno));
        return -1;
    }
    curl_global_init(CURL_GLOBAL_NOTHING);
    const struct lmn_http_server_options h = {.listen = o->listen,
                                              .connections = 256,
                                              .max_body = MAX_BODY,
                                              .route = route,
                                              .arg = w};
    g_strlcpy(w->agent.name, o->name, sizeof w->agent.name);
    g_strlcpy(w->agent.zone, o->zone, sizeof w->agent.zone);
    w->agent.type = o->type;
    w->agent.spot = o->spot;
    w->agent.lease_s = o->lease_s;
    lmn_agent_init(&w->agent, &lmn_worker_agent_ops, w, next_session(w),
                   lmn_worker_now());
    struct lmn_http_server *server = lmn_http_server_start(&h);
    if (!server) {
        g_snprintf(err, len, "%s: can't listen: %s", o->listen, strerror(errno));
        return -1;
    }
    g_strlcpy(host, o->listen, sizeof host);
    *strrchr(host, ':') = '\0';
    pthread_mutex_lock(&w->lock);
    g_snprintf(w->agent.addr, sizeof w->agent.addr, "%s:%d", host,
               lmn_http_server_port(server));
    lmn_info(
        "worker-start machine=%s type=%s zone=%s address=%s session=%" G_GUINT64_FORMAT
        " results=%u",
        o->name, o->type.name, o->zone, w->agent.addr, w->session,
        g_hash_table_size(w->results));
    char *address = g_build_filename(o->dir, "address", NULL), said[LMN_ADDRESS_SIZE + 1];
    int n = g_snprintf(said, sizeof said, "%s\n", w->agent.addr);
    lmn_worker_unlock(w);
    /* For the fleet's list. */
    lmn_file_put(address, said, (size_t)n);
    g_free(address);
    lmn_thread(listen_to_keeper, w);
    lmn_thread(lmn_describe_thread, w);
    lmn_thread(lmn_image_thread, w);
    lmn_thread(lmn_ended_thread, w);
    lmn_thread(lmn_logs_thread, w);
    lmn_thread(ticker, w);
    reporter(w);
    return 0;
}

/* --- settings --- */

void lmn_worker_controllers(struct lmn_config *c, struct lmn_worker_options *o)
{
    guint n = lmn_config_count(c, "controllers");
    char path[64];

    if (n < 1 || n > LMN_MAX_CONTROLLERS)
        lmn_config_fail(c, "controllers", "expected 1 to %d tables with name and address",
                        LMN_MAX_CONTROLLERS);
    for (guint i = 0; i < n && i < LMN_MAX_CONTROLLERS; i++) {
        g_snprintf(path, sizeof path, "controllers[%u].name", i);
        g_strlcpy(o->controllers[i].name, lmn_config_name(c, path, NULL), LMN_NAME_SIZE);
        g_snprintf(path, sizeof path, "controllers[%u].address", i);
        g_strlcpy(o->controllers[i].addr, lmn_config_address(c, path, NULL),
                  LMN_ADDRESS_SIZE);
        o->ncontrollers++;
    }
}

int lmn_worker_load(const char *path, struct lmn_worker_options *o, char *err, size_t len)
{
    struct lmn_config *c = lmn_config_load(path, err, len);

    memset(o, 0, sizeof *o);
    if (!c)
        return -1;
    g_strlcpy(o->name, lmn_config_name(c, "name", NULL), sizeof o->name);
    g_strlcpy(o->zone, lmn_config_name(c, "zone", NULL), sizeof o->zone);
    g_strlcpy(o->listen, lmn_config_text(c, "listen", "127.0.0.1:0"), sizeof o->listen);
    if (!strchr(o->listen, ':'))
        lmn_config_fail(c, "listen",
                        "expected an IPv4 address and a port (0: one that is free)");
    g_strlcpy(o->depot, lmn_config_address(c, "depot", NULL), sizeof o->depot);
    g_strlcpy(o->dir, lmn_config_text(c, "data", NULL), sizeof o->dir);
    if (lmn_config_has(c, "checkpoints"))
        g_strlcpy(o->checkpoints, lmn_config_text(c, "checkpoints", NULL),
                  sizeof o->checkpoints);
    o->spot = lmn_config_bool(c, "spot", false);
    o->report_s = lmn_config_number(c, "report_s", 1.5, 0.05, 600);
    o->lease_s = lmn_config_number(c, "lease_s", 10, 0.1, 3600);
    o->log_kb = lmn_config_number(c, "log_kb", 256, 1, 7 * 1024);
    g_strlcpy(o->type.name, lmn_config_name(c, "type.name", NULL), sizeof o->type.name);
    o->type.cpus = lmn_config_number(c, "type.cpus", 1, 0, 1e6);
    o->type.gpus = lmn_config_number(c, "type.gpus", 0, 0, 1e6);
    o->type.mem = lmn_config_number(c, "type.mem_gb", 1, 0, 1e9);
    o->type.cache_gb = lmn_config_number(c, "type.cache_gb", 10, 0, 1e9);
    o->type.pull = lmn_config_number(c, "type.pull_gb_per_s", 1, 0, 1e6);
    lmn_worker_controllers(c, o);
    if (o->lease_s <= o->report_s)
        lmn_config_fail(c, "lease_s", "must be longer than report_s");
    int rc = lmn_config_finish(c, err, len);
    lmn_config_free(c);
    return rc;
}
