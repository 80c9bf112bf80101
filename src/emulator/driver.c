#include "util/clock.h"
#include "config/config.h"
#include "http/client.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
#include "job/message_limits.h"
#include "protocol/wire.h"
#include "image_store/image_store.h"
#include "image_store/work.h"
#include "emulator/emulator.h"
#include "emulator/worker.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* A report that is not answered holds its sender for 4 s. With 24 of them a controller
 * that could not hear 300 workers stopped the reports of all others, too, and no worker
 * came to anybody else. */
enum { SENDERS = 192, ASKERS = 4, MAX_SPECS = 5000 };
static const double PASS_S = 0.01, ANSWER_S = 4;

/* A machine that is up. */
struct unit {
    uint64_t serial;
    struct lmn_emu_worker w;
    struct lmn_emu_machine
        *m; /* NULL: it lives no more; a sender may still hold the unit */
    int port, listener;
    unsigned controller;
    bool busy; /* a report is under way, or waits for a sender */
    struct timespec next, last;
    struct lmn_http_client *http; /* its own connection, to http_to; NULL: none */
    unsigned http_to;
    GQueue held; /* calls that came while it hung, or was cut off */
};

struct lmn_emulation {
    struct lmn_emulation_options o;
    struct lmn_emu_cloud cloud;
    struct timespec begun;
    pthread_mutex_t lock; /* of everything below, the cloud and the units */
    pthread_cond_t due_more, asked_more;
    GHashTable *units; /* serial -> unit */
    GHashTable *ports; /* port -> unit */
    uint64_t serials;
    GQueue due;        /* units to report */
    GQueue asked;      /* struct question */
    GHashTable *specs; /* ref -> struct lmn_job_spec; NULL value: there is no such job */
    guint next_trouble;
    GArray *ends; /* struct lmn_emu_fault: what is to be set back */
    struct lmn_http_server *server;
    int epoll;
    uint64_t reports, failed_reports;
    struct lmn_emu_ledger ledger;
};

struct question {
    uint64_t serial, id;
    char ref[LMN_JOB_ID_SIZE];
};

static double seconds(const struct lmn_emulation *emulation)
{
    return lmn_time_diff_s(lmn_now(), emulation->begun);
}

/* --- machines that come and go --- */

static int listen_anywhere(const char *addr, int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t len = sizeof a;
    char host[LMN_ADDRESS_SIZE];
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    g_strlcpy(host, addr, sizeof host);
    *strrchr(host, ':') = '\0';
    inet_pton(AF_INET, host, &a.sin_addr);
    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof a) != 0 || listen(fd, 64) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &len) != 0) {
        lmn_error("socket_failed error=\"%s\"", strerror(errno));
        if (fd >= 0)
            close(fd);
        return -1;
    }
    *port = ntohs(a.sin_port);
    return fd;
}

static void come_up(struct lmn_emulation *emulation, struct lmn_emu_machine *machine)
{
    struct unit *unit = g_new0(struct unit, 1);
    char host[LMN_ADDRESS_SIZE];

    unit->listener = listen_anywhere(emulation->o.worker.listen, &unit->port);
    if (unit->listener < 0) {
        g_free(unit);
        return;
    }
    g_strlcpy(host, emulation->o.worker.listen, sizeof host);
    *strrchr(host, ':') = '\0';
    unit->serial = ++emulation->serials;
    unit->m = machine;
    machine->worker = unit;
    g_snprintf(machine->addr, sizeof machine->addr, "%s:%d", host, unit->port);
    g_strlcpy(unit->w.agent.name, machine->name, LMN_NAME_SIZE);
    g_strlcpy(unit->w.agent.address, machine->addr, LMN_ADDRESS_SIZE);
    g_strlcpy(unit->w.agent.zone, machine->zone, LMN_NAME_SIZE);
    unit->w.agent.type = emulation->o.inventory->types[machine->type];
    unit->w.agent.is_spot = machine->spot;
    unit->w.ledger = &emulation->ledger;
    lmn_emu_worker_init(&unit->w, &emulation->cloud.knobs,
                        g_rand_int(emulation->cloud.rng), emulation->o.worker.lease_s,
                        lmn_now());
    unit->controller = (unsigned)unit->serial % emulation->o.worker.controller_count;
    unit->next = lmn_now();
    g_hash_table_insert(emulation->units, &unit->serial, unit);
    g_hash_table_insert(emulation->ports, &unit->port, unit);
    struct epoll_event ev = {.events = EPOLLIN, .data.fd = unit->listener};
    epoll_ctl(emulation->epoll, EPOLL_CTL_ADD, unit->listener, &ev);
}

static void free_unit(struct unit *unit)
{
    if (unit->http)
        lmn_http_client_free(unit->http);
    g_free(unit);
}

/* It lives no more. */
static void go_down(struct lmn_emulation *emulation, struct unit *unit)
{
    struct lmn_http_request *request;

    unit->m->worker = NULL;
    unit->m = NULL;
    close(unit->listener);
    g_hash_table_remove(emulation->ports, &unit->port);
    g_hash_table_steal(emulation->units, &unit->serial);
    while ((request = g_queue_pop_head(&unit->held)))
        lmn_http_request_respond(request, 503, NULL, 0);
    if (unit->busy)
        return; /* its sender frees it */
    lmn_emu_worker_clear(&unit->w);
    free_unit(unit);
}

static bool unheard(const struct unit *unit, double now)
{
    return unit->m->cut || unit->m->hang_until > now;
}

static void answer(struct unit *unit, struct lmn_http_request *request)
{
    const GByteArray *body = lmn_http_request_body(request);
    GByteArray *out = g_byte_array_new();
    int status = 404;

    if (lmn_http_request_method(request) == LMN_HTTP_POST &&
        !strcmp(lmn_http_request_path(request), WIRE_PATH_COMMANDS))
        status = lmn_agent_handle_commands(&unit->w.agent, body->data, body->len, out,
                                           lmn_now());
    else if (lmn_http_request_method(request) == LMN_HTTP_GET &&
             !strcmp(lmn_http_request_path(request), WIRE_PATH_SHOW))
        status = lmn_agent_show(&unit->w.agent, out, lmn_now());
    lmn_http_request_respond(request, status, out, 0);
}

static void ask_jobs(struct lmn_emulation *emulation, struct unit *unit)
{
    for (guint i = 0; i < unit->w.asking->len; i++) {
        uint64_t id = g_array_index(unit->w.asking, uint64_t, i);
        const struct lmn_task_run *r = lmn_agent_find_run(&unit->w.agent, id);
        gpointer spec = NULL;
        if (!r)
            continue;
        if (g_hash_table_lookup_extended(emulation->specs, r->job_id, NULL, &spec)) {
            lmn_emu_worker_described(&unit->w, id, spec, lmn_now());
            continue;
        }
        struct question *q = g_new0(struct question, 1);
        q->serial = unit->serial;
        q->id = id;
        g_strlcpy(q->ref, r->job_id, sizeof q->ref);
        g_queue_push_tail(&emulation->asked, q);
        pthread_cond_signal(&emulation->asked_more);
    }
    g_array_set_size(unit->w.asking, 0);
}

static void pass_unit(struct lmn_emulation *emulation, struct unit *unit, double now)
{
    struct lmn_http_request *request;
    struct lmn_emu_machine *machine = unit->m;

    if (machine->hang_until > now)
        return;
    /* What came while it hung is executed now, if token and session still match. */
    while (!unheard(unit, now) && (request = g_queue_pop_head(&unit->held)))
        answer(unit, request);
    if (isfinite(machine->taken) && !machine->told) {
        machine->told = true;
        lmn_agent_spot_notice(&unit->w.agent,
                              lmn_time_add(lmn_now(), machine->taken - now));
    }
    lmn_emu_worker_pass(&unit->w, lmn_now());
    ask_jobs(emulation, unit);
    bool soon = unit->w.agent.has_unreported_change &&
                lmn_time_diff_s(lmn_now(), unit->last) > 0.5;
    if (!unit->busy && !unit->w.agent.is_ending && !machine->cut &&
        (soon || !lmn_time_before(lmn_now(), unit->next))) {
        unit->busy = true;
        g_queue_push_tail(&emulation->due, unit);
        pthread_cond_signal(&emulation->due_more);
    }
}

static void pass_troubles(struct lmn_emulation *emulation, double now)
{
    char err[128];

    while (emulation->next_trouble < emulation->o.script->len) {
        const struct lmn_emu_fault *t = &g_array_index(
            emulation->o.script, struct lmn_emu_fault, emulation->next_trouble);
        if (t->at > now)
            break;
        emulation->next_trouble++;
        lmn_info("fault_injected set=%s value=%g for=%g", t->name, t->value, t->lasts);
        lmn_emu_cloud_set(&emulation->cloud, t->name, t->value, now, err, sizeof err);
        if (t->lasts > 0) {
            struct lmn_emu_fault back = {.at = now + t->lasts};
            g_strlcpy(back.name, t->name, sizeof back.name);
            for (size_t i = 0; lmn_emulator_fault_name(i); i++)
                if (!strcmp(lmn_emulator_fault_name(i), t->name))
                    back.value = lmn_emulator_fault_value(&emulation->o.knobs, i);
            g_array_append_val(emulation->ends, back);
        }
    }
    for (guint i = emulation->ends->len; i-- > 0;) {
        struct lmn_emu_fault t = g_array_index(emulation->ends, struct lmn_emu_fault, i);
        if (t.at > now)
            continue;
        g_array_remove_index_fast(emulation->ends, i);
        lmn_emu_cloud_set(&emulation->cloud, t.name, t.value, now, err, sizeof err);
    }
}

static void *passer(void *arg)
{
    struct lmn_emulation *emulation = arg;

    for (;;) {
        pthread_mutex_lock(&emulation->lock);
        double now = seconds(emulation);
        pass_troubles(emulation, now);
        for (guint i = 0; i < emulation->cloud.machines->len; i++) {
            struct lmn_emu_machine *machine = emulation->cloud.machines->pdata[i];
            bool lives = lmn_emu_machine_lives(machine, now);
            if (lives && !machine->worker)
                come_up(emulation, machine);
            if (!lives && machine->worker)
                go_down(emulation, machine->worker);
            if (machine->worker)
                pass_unit(emulation, machine->worker, now);
        }
        lmn_emu_cloud_pass(&emulation->cloud, now);
        pthread_mutex_unlock(&emulation->lock);
        lmn_sleep(PASS_S);
    }
    return NULL;
}

/* --- reports --- */

static unsigned turn(const struct lmn_emulation *emulation, const GByteArray *in,
                     unsigned now)
{
    char name[LMN_NAME_SIZE] = "";
    struct lmn_cbor_document d;

    if (in->len && lmn_cbor_parse(&d, in->data, in->len) == 0) {
        lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_REDIRECT_TO), name,
                          sizeof name);
        lmn_cbor_free(&d);
    }
    for (unsigned i = 0; i < emulation->o.worker.controller_count && *name; i++)
        if (i != now && !strcmp(emulation->o.worker.controllers[i].name, name))
            return i;
    return now;
}

/* The connection that the unit reports over: its own, or its sender's. */
static struct lmn_http_client *line(const struct lmn_emulation *emulation,
                                    struct unit *unit, struct lmn_http_client **h,
                                    unsigned to)
{
    if (unit->w.knobs->own_connections < 0.5)
        return h[to];
    if (unit->http && unit->http_to != to)
        g_clear_pointer(&unit->http, lmn_http_client_free);
    if (!unit->http)
        unit->http = lmn_http_client_new(emulation->o.worker.controllers[to].addr);
    unit->http_to = to;
    return unit->http;
}

/* One report of the unit, and its answer. The lock is held, and let go while it is under
 * way. */
static void report(struct lmn_emulation *emulation, struct unit *unit,
                   struct lmn_http_client **h, GByteArray *in)
{
    GByteArray *out = g_byte_array_new();
    uint64_t session = unit->w.agent.incarnation;
    struct timespec sent = lmn_now();
    unsigned to = unit->controller;

    lmn_agent_write_heartbeat(&unit->w.agent, out, sent);
    unit->last = sent;
    emulation->reports++;
    struct lmn_http_client *http = line(emulation, unit, h, to);
    pthread_mutex_unlock(&emulation->lock);
    int status =
        lmn_http_client_call(http, "POST", WIRE_PATH_HEARTBEAT, out, ANSWER_S, in);
    g_byte_array_unref(out);
    pthread_mutex_lock(&emulation->lock);
    unit->busy = false;
    double wait = emulation->o.worker.heartbeat_s * (0.75 + 0.5 * g_random_double());
    if (status != 200) {
        unsigned next = status == 421 ? turn(emulation, in, to) : to;
        unit->w.agent.has_unreported_change = true;
        wait = next != to ? 0 : 1;
        unit->controller =
            next != to ? next : (to + 1) % emulation->o.worker.controller_count;
        emulation->failed_reports++;
        if (!wait)
            unit->last = lmn_time_add(lmn_now(), -1);
    } else if (unit->m && !unheard(unit, seconds(emulation))) {
        lmn_agent_heartbeat_answered(&unit->w.agent, session, sent, in->data, in->len,
                                     lmn_now());
        lmn_emu_worker_pass(&unit->w, lmn_now());
        ask_jobs(emulation, unit);
    }
    unit->next = lmn_time_add(lmn_now(), wait);
}

static void *sender(void *arg)
{
    struct lmn_emulation *emulation = arg;
    struct lmn_http_client *h[LMN_MAX_CONTROLLERS];
    GByteArray *in = g_byte_array_new();

    for (unsigned i = 0; i < emulation->o.worker.controller_count; i++)
        h[i] = lmn_http_client_new(emulation->o.worker.controllers[i].addr);
    pthread_mutex_lock(&emulation->lock);
    for (;;) {
        while (!emulation->due.head)
            pthread_cond_wait(&emulation->due_more, &emulation->lock);
        struct unit *unit = g_queue_pop_head(&emulation->due);
        if (unit->m && !unit->w.agent.is_ending)
            report(emulation, unit, h, in);
        else
            unit->busy = false;
        if (!unit->m) {
            lmn_emu_worker_clear(&unit->w);
            free_unit(unit);
        }
    }
    return NULL;
}

static void forget_spec(gpointer p)
{
    if (p)
        lmn_job_spec_clear(p);
    g_free(p);
}

static void *asker(void *arg)
{
    struct lmn_emulation *emulation = arg;
    struct lmn_http_client *client = lmn_http_client_new(emulation->o.worker.image_store);

    for (;;) {
        struct lmn_image_store_error err = {0};
        struct lmn_task_command work;
        GByteArray *buffer = g_byte_array_new();
        char digest[LMN_DIGEST_SIZE];
        const char *what;
        pthread_mutex_lock(&emulation->lock);
        while (!emulation->asked.head)
            pthread_cond_wait(&emulation->asked_more, &emulation->lock);
        struct question *q = g_queue_pop_head(&emulation->asked);
        bool known = g_hash_table_contains(emulation->specs, q->ref);
        pthread_mutex_unlock(&emulation->lock);
        struct lmn_job_spec *spec = NULL;
        bool sure = known;
        if (!known &&
            lmn_image_store_lookup(client, LMN_IMAGE_STORE_KIND_JOB, q->ref, digest,
                                   &err) == 0 &&
            lmn_image_store_get(client, digest, buffer, &err) == 0 &&
            lmn_task_command_decode(&work, buffer->data, buffer->len, &what) == 0) {
            spec = g_new(struct lmn_job_spec, 1);
            *spec = work.spec;
            memset(&work.spec, 0, sizeof work.spec);
            lmn_task_command_clear(&work);
            sure = true;
        }
        sure = sure || err.status == 404;
        g_byte_array_unref(buffer);
        pthread_mutex_lock(&emulation->lock);
        if (!known && spec) {
            if (g_hash_table_size(emulation->specs) >= MAX_SPECS)
                g_hash_table_remove_all(emulation->specs);
            g_hash_table_replace(emulation->specs, g_strdup(q->ref), spec);
        }
        struct unit *unit = g_hash_table_lookup(emulation->units, &q->serial);
        if (unit && sure) {
            spec = g_hash_table_lookup(emulation->specs, q->ref);
            lmn_emu_worker_described(&unit->w, q->id, spec, lmn_now());
        } else if (unit) {
            g_queue_push_tail(&emulation->asked, q);
            q = NULL;
        }
        pthread_mutex_unlock(&emulation->lock);
        if (!q)
            lmn_sleep(0.2);
        g_free(q);
    }
    return NULL;
}

/* --- commands --- */

static void route(void *arg, struct lmn_http_request *request)
{
    struct lmn_emulation *emulation = arg;
    int port = lmn_http_request_port(request);

    pthread_mutex_lock(&emulation->lock);
    struct unit *unit = g_hash_table_lookup(emulation->ports, &port);
    if (!unit) {
        lmn_http_request_respond(request, 503, NULL, 0);
    } else if (unheard(unit, seconds(emulation))) {
        lmn_http_request_defer(request);
        g_queue_push_tail(&unit->held, request);
    } else {
        answer(unit, request);
        lmn_emu_worker_pass(&unit->w, lmn_now());
        ask_jobs(emulation, unit);
    }
    pthread_mutex_unlock(&emulation->lock);
}

static void *acceptor(void *arg)
{
    struct lmn_emulation *emulation = arg;
    struct epoll_event ev[64];

    for (;;) {
        int n = epoll_wait(emulation->epoll, ev, 64, -1);
        for (int i = 0; i < n; i++) {
            int fd = accept4(ev[i].data.fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd >= 0)
                lmn_http_server_adopt(emulation->server, fd);
        }
    }
    return NULL;
}

/* --- the cloud's side --- */

static void types(void *arg, void (*each)(void *to, const struct lmn_machine_type *type),
                  void *to)
{
    struct lmn_emulation *emulation = arg;
    pthread_mutex_lock(&emulation->lock);
    lmn_emu_cloud_types(&emulation->cloud, each, to, seconds(emulation));
    pthread_mutex_unlock(&emulation->lock);
}

static int rent(void *arg, const struct lmn_rental_request *q, GPtrArray *names)
{
    struct lmn_emulation *emulation = arg;
    pthread_mutex_lock(&emulation->lock);
    int status = lmn_emu_cloud_rent(&emulation->cloud, q, names, seconds(emulation));
    pthread_mutex_unlock(&emulation->lock);
    return status;
}

static int give_back(void *arg, char *const *names, unsigned n)
{
    struct lmn_emulation *emulation = arg;
    int status = 200;

    pthread_mutex_lock(&emulation->lock);
    double now = seconds(emulation);
    if (emulation->cloud.knobs.outage >= 1)
        status = 503;
    for (unsigned i = 0; i < n && status == 200; i++) {
        struct lmn_emu_machine *machine =
            lmn_emu_cloud_machine(&emulation->cloud, names[i]);
        lmn_emu_cloud_return(&emulation->cloud, names[i], now);
        /* By the answer, it and everything on it are gone. */
        if (machine && machine->worker)
            go_down(emulation, machine->worker);
    }
    pthread_mutex_unlock(&emulation->lock);
    return status;
}

static void list(void *arg, const char *after,
                 bool (*each)(void *to, const struct lmn_rented_machine *m), void *to)
{
    struct lmn_emulation *emulation = arg;
    pthread_mutex_lock(&emulation->lock);
    lmn_emu_cloud_list(&emulation->cloud, after, each, to, seconds(emulation));
    pthread_mutex_unlock(&emulation->lock);
}

static void metrics(void *arg, GString *out)
{
    struct lmn_emulation *emulation = arg;
    uint64_t done = 0, failed = 0, lapses = 0;
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&emulation->lock);
    g_hash_table_iter_init(&it, emulation->units);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct unit *unit = v;
        done += unit->w.done;
        failed += unit->w.failed;
        lapses += unit->w.agent.expired_leases;
    }
    lmn_metric_gauge(out, "lemonspar_emulated_up", "Emulated machines that are up",
                     g_hash_table_size(emulation->units));
    lmn_metric_counter(out, "lemonspar_emulated_rented", "Machines rented out",
                       emulation->cloud.rented);
    lmn_metric_counter(out, "lemonspar_emulated_refused", "Rentals refused",
                       emulation->cloud.refused);
    lmn_metric_counter(out, "lemonspar_emulated_returned", "Machines returned",
                       emulation->cloud.returned);
    lmn_metric_counter(out, "lemonspar_emulated_taken", "Spot machines taken",
                       emulation->cloud.taken);
    lmn_metric_counter(out, "lemonspar_emulated_died", "Machines that died",
                       emulation->cloud.died);
    lmn_metric_gauge(out, "lemonspar_emulated_spent", "Money spent on returned machines",
                     emulation->cloud.spent);
    lmn_metric_counter(out, "lemonspar_emulated_reports", "Reports sent",
                       emulation->reports);
    lmn_metric_counter(out, "lemonspar_emulated_turned_reports",
                       "Reports that were turned away", emulation->failed_reports);
    lmn_metric_gauge(out, "lemonspar_emulated_done", "Tasks done by machines that are up",
                     (double)done);
    lmn_metric_gauge(out, "lemonspar_emulated_failed",
                     "Tasks failed on machines that are up", (double)failed);
    lmn_metric_counter(out, "lemonspar_emulated_starts", "Tasks begun",
                       emulation->ledger.starts);
    lmn_metric_counter(out, "lemonspar_emulated_twice",
                       "Tasks that began while they ran elsewhere (there should be none)",
                       emulation->ledger.twice);
    lmn_metric_counter(out, "lemonspar_emulated_lapsed_tasks",
                       "Tasks that ended with their machine's lease",
                       emulation->ledger.lapsed);
    lmn_metric_gauge(out, "lemonspar_emulated_lapses",
                     "Leases over on machines that are up", (double)lapses);
    pthread_mutex_unlock(&emulation->lock);
}

static void show_knobs(struct lmn_emulation *emulation, struct lmn_http_request *request)
{
    GByteArray *buffer = g_byte_array_new();
    size_t n = 0;

    while (lmn_emulator_fault_name(n))
        n++;
    lmn_cbor_put_map(buffer, n);
    pthread_mutex_lock(&emulation->lock);
    for (size_t i = 0; i < n; i++)
        lmn_cbor_put_text(buffer, lmn_emulator_fault_name(i)),
            lmn_cbor_put_number(buffer,
                                lmn_emulator_fault_value(&emulation->cloud.knobs, i));
    pthread_mutex_unlock(&emulation->lock);
    lmn_http_request_respond(request, 200, buffer, 0);
}

static bool troubles(void *arg, struct lmn_http_request *request)
{
    struct lmn_emulation *emulation = arg;
    const GByteArray *body = lmn_http_request_body(request);
    struct lmn_emu_fault t = {0};
    char err[128] = "a map with Set and Value is expected";
    struct lmn_cbor_document d;

    if (strcmp(lmn_http_request_path(request), "/troubles"))
        return false;
    if (lmn_http_request_method(request) == LMN_HTTP_GET) {
        show_knobs(emulation, request);
        return true;
    }
    bool ok = lmn_cbor_parse(&d, body->data, body->len) == 0;
    if (ok) {
        const struct lmn_cbor_value *root = lmn_cbor_root(&d);
        ok = lmn_cbor_get_text(lmn_cbor_get(&d, root, "Set"), t.name, sizeof t.name) &&
             lmn_cbor_get_number(lmn_cbor_get(&d, root, "Value"), &t.value);
        lmn_cbor_get_number(lmn_cbor_get(&d, root, "For"), &t.lasts);
        lmn_cbor_free(&d);
    }
    pthread_mutex_lock(&emulation->lock);
    double now = seconds(emulation), old = 0;
    for (size_t i = 0; lmn_emulator_fault_name(i); i++)
        if (!strcmp(lmn_emulator_fault_name(i), t.name))
            old = lmn_emulator_fault_value(&emulation->cloud.knobs, i);
    ok = ok &&
         lmn_emu_cloud_set(&emulation->cloud, t.name, t.value, now, err, sizeof err) == 0;
    if (ok && t.lasts > 0 && !lmn_emulator_fault_is_event(t.name)) {
        struct lmn_emu_fault back = t;
        back.at = now + t.lasts;
        back.value = old;
        g_array_append_val(emulation->ends, back);
    }
    pthread_mutex_unlock(&emulation->lock);
    if (ok)
        lmn_http_request_respond(request, 200, NULL, 0);
    else
        lmn_http_request_fail(request, 400, err);
    return true;
}

const struct lmn_machine_provider_ops lmn_emulation_ops = {
    .types = types,
    .rent = rent,
    .give_back = give_back,
    .list = list,
    .metrics = metrics,
    .other = troubles,
};

static gint by_time(gconstpointer a, gconstpointer b)
{
    const struct lmn_emu_fault *x = a, *y = b;
    return x->at < y->at ? -1 : x->at > y->at;
}

void lmn_emulation_read(struct lmn_config *config, struct lmn_emulation_options *options)
{
    char path[96], err[128];

    options->knobs = lmn_emulator_faults_default;
    options->script = g_array_new(FALSE, TRUE, sizeof(struct lmn_emu_fault));
    options->seed =
        (uint32_t)lmn_config_number(config, "emulate.seed", 1, 0, 4294967295.0);
    for (size_t i = 0; lmn_emulator_fault_name(i); i++) {
        g_snprintf(path, sizeof path, "emulate.%s", lmn_emulator_fault_name(i));
        if (!lmn_config_has(config, path))
            continue;
        double v = lmn_config_number(config, path, 0, -1e9, 1e9);
        if (lmn_emulator_fault_set(&options->knobs, lmn_emulator_fault_name(i), v, err,
                                   sizeof err) != 0)
            lmn_config_fail(config, path, "%s", err);
    }
    guint n = lmn_config_count(config, "troubles");
    for (guint i = 0; i < n; i++) {
        struct lmn_emu_fault t = {0};
        struct lmn_emulator_faults try = options->knobs;
        g_snprintf(path, sizeof path, "troubles[%u].at", i);
        t.at = lmn_config_number(config, path, 0, 0, 1e9);
        g_snprintf(path, sizeof path, "troubles[%u].value", i);
        t.value = lmn_config_number(config, path, 1, 0, 1e9);
        g_snprintf(path, sizeof path, "troubles[%u].for", i);
        t.lasts = lmn_config_number(config, path, 0, 0, 1e9);
        g_snprintf(path, sizeof path, "troubles[%u].set", i);
        g_strlcpy(t.name, lmn_config_name(config, path, NULL), sizeof t.name);
        if (lmn_emulator_fault_set(&try, t.name, t.value, err, sizeof err) != 0)
            lmn_config_fail(config, path, "%s", err);
        g_array_append_val(options->script, t);
    }
    g_array_sort(options->script, by_time);
}

struct lmn_emulation *lmn_emulation_start(const struct lmn_emulation_options *options,
                                          char *err, size_t len)
{
    struct lmn_emulation *emulation = g_new0(struct lmn_emulation, 1);
    const struct lmn_http_server_options h = {.connections = 32768,
                                              .max_body_bytes = LMN_MAX_MESSAGE_BYTES,
                                              .route = route,
                                              .arg = emulation};

    emulation->o = *options;
    emulation->begun = lmn_now();
    curl_global_init(CURL_GLOBAL_NOTHING);
    lmn_emu_cloud_init(&emulation->cloud, options->inventory, options->seed);
    emulation->cloud.knobs = options->knobs;
    /* A name is never used twice, also not by the next process: ten a second are. */
    emulation->cloud.number =
        100000000 + (uint64_t)(lmn_time_seconds(lmn_wall_clock_now()) * 10) % 900000000;
    pthread_mutex_init(&emulation->lock, NULL);
    lmn_cond_init(&emulation->due_more);
    lmn_cond_init(&emulation->asked_more);
    lmn_emu_ledger_init(&emulation->ledger);
    emulation->units = g_hash_table_new(g_int64_hash, g_int64_equal);
    emulation->ports = g_hash_table_new(g_int_hash, g_int_equal);
    emulation->specs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, forget_spec);
    emulation->ends = g_array_new(FALSE, TRUE, sizeof(struct lmn_emu_fault));
    emulation->epoll = epoll_create1(EPOLL_CLOEXEC);
    emulation->server = lmn_http_server_start(&h);
    if (emulation->epoll < 0 || !emulation->server) {
        g_snprintf(err, len, "the emulated machines can't be served: %s",
                   strerror(errno));
        return NULL;
    }
    lmn_thread_start_detached(passer, emulation);
    lmn_thread_start_detached(acceptor, emulation);
    for (int i = 0; i < SENDERS; i++)
        lmn_thread_start_detached(sender, emulation);
    for (int i = 0; i < ASKERS; i++)
        lmn_thread_start_detached(asker, emulation);
    lmn_info("emulation_started seed=%u troubles=%u", options->seed,
             options->script->len);
    return emulation;
}
