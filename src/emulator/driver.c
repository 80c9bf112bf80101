#include "util/clock.h"
#include "config/config.h"
#include "http/client.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
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
enum { SENDERS = 192, ASKERS = 4, MAX_BODY = 64 * 1024, MAX_SPECS = 5000 };
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

static double seconds(const struct lmn_emulation *e)
{
    return lmn_time_diff_s(lmn_now(), e->begun);
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
        lmn_error("no-socket error=\"%s\"", strerror(errno));
        if (fd >= 0)
            close(fd);
        return -1;
    }
    *port = ntohs(a.sin_port);
    return fd;
}

static void come_up(struct lmn_emulation *e, struct lmn_emu_machine *m)
{
    struct unit *u = g_new0(struct unit, 1);
    char host[LMN_ADDRESS_SIZE];

    u->listener = listen_anywhere(e->o.worker.listen, &u->port);
    if (u->listener < 0) {
        g_free(u);
        return;
    }
    g_strlcpy(host, e->o.worker.listen, sizeof host);
    *strrchr(host, ':') = '\0';
    u->serial = ++e->serials;
    u->m = m;
    m->worker = u;
    g_snprintf(m->addr, sizeof m->addr, "%s:%d", host, u->port);
    g_strlcpy(u->w.agent.name, m->name, LMN_NAME_SIZE);
    g_strlcpy(u->w.agent.addr, m->addr, LMN_ADDRESS_SIZE);
    g_strlcpy(u->w.agent.zone, m->zone, LMN_NAME_SIZE);
    u->w.agent.type = e->o.inventory->types[m->type];
    u->w.agent.spot = m->spot;
    u->w.ledger = &e->ledger;
    lmn_emu_worker_init(&u->w, &e->cloud.knobs, g_rand_int(e->cloud.rng),
                        e->o.worker.lease_s, lmn_now());
    u->controller = (unsigned)u->serial % e->o.worker.ncontrollers;
    u->next = lmn_now();
    g_hash_table_insert(e->units, &u->serial, u);
    g_hash_table_insert(e->ports, &u->port, u);
    struct epoll_event ev = {.events = EPOLLIN, .data.fd = u->listener};
    epoll_ctl(e->epoll, EPOLL_CTL_ADD, u->listener, &ev);
}

static void free_unit(struct unit *u)
{
    if (u->http)
        lmn_http_client_free(u->http);
    g_free(u);
}

/* It lives no more. */
static void go_down(struct lmn_emulation *e, struct unit *u)
{
    struct lmn_http_request *call;

    u->m->worker = NULL;
    u->m = NULL;
    close(u->listener);
    g_hash_table_remove(e->ports, &u->port);
    g_hash_table_steal(e->units, &u->serial);
    while ((call = g_queue_pop_head(&u->held)))
        lmn_http_request_respond(call, 503, NULL, 0);
    if (u->busy)
        return; /* its sender frees it */
    lmn_emu_worker_clear(&u->w);
    free_unit(u);
}

static bool unheard(const struct unit *u, double now)
{
    return u->m->cut || u->m->hang_until > now;
}

static void answer(struct unit *u, struct lmn_http_request *call)
{
    const GByteArray *body = lmn_http_request_body(call);
    GByteArray *out = g_byte_array_new();
    int status = 404;

    if (lmn_http_request_method(call) == LMN_HTTP_POST &&
        !strcmp(lmn_http_request_path(call), WIRE_PATH_COMMANDS))
        status = lmn_agent_execute(&u->w.agent, body->data, body->len, out, lmn_now());
    else if (lmn_http_request_method(call) == LMN_HTTP_GET &&
             !strcmp(lmn_http_request_path(call), WIRE_PATH_SHOW))
        status = lmn_agent_show(&u->w.agent, out, lmn_now());
    lmn_http_request_respond(call, status, out, 0);
}

static void ask_jobs(struct lmn_emulation *e, struct unit *u)
{
    for (guint i = 0; i < u->w.asking->len; i++) {
        uint64_t id = g_array_index(u->w.asking, uint64_t, i);
        const struct lmn_task_run *r = lmn_agent_find_run(&u->w.agent, id);
        gpointer spec = NULL;
        if (!r)
            continue;
        if (g_hash_table_lookup_extended(e->specs, r->ref, NULL, &spec)) {
            lmn_emu_worker_described(&u->w, id, spec, lmn_now());
            continue;
        }
        struct question *q = g_new0(struct question, 1);
        q->serial = u->serial;
        q->id = id;
        g_strlcpy(q->ref, r->ref, sizeof q->ref);
        g_queue_push_tail(&e->asked, q);
        pthread_cond_signal(&e->asked_more);
    }
    g_array_set_size(u->w.asking, 0);
}

static void pass_unit(struct lmn_emulation *e, struct unit *u, double now)
{
    struct lmn_http_request *call;
    struct lmn_emu_machine *m = u->m;

    if (m->hang_until > now)
        return;
    /* What came while it hung is executed now, if token and session still match. */
    while (!unheard(u, now) && (call = g_queue_pop_head(&u->held)))
        answer(u, call);
    if (isfinite(m->taken) && !m->told) {
        m->told = true;
        lmn_agent_spot_notice(&u->w.agent, lmn_time_add(lmn_now(), m->taken - now));
    }
    lmn_emu_worker_pass(&u->w, lmn_now());
    ask_jobs(e, u);
    bool soon = u->w.agent.changed && lmn_time_diff_s(lmn_now(), u->last) > 0.5;
    if (!u->busy && !u->w.agent.ending && !m->cut &&
        (soon || !lmn_time_before(lmn_now(), u->next))) {
        u->busy = true;
        g_queue_push_tail(&e->due, u);
        pthread_cond_signal(&e->due_more);
    }
}

static void pass_troubles(struct lmn_emulation *e, double now)
{
    char err[128];

    while (e->next_trouble < e->o.script->len) {
        const struct lmn_emu_fault *t =
            &g_array_index(e->o.script, struct lmn_emu_fault, e->next_trouble);
        if (t->at > now)
            break;
        e->next_trouble++;
        lmn_info("trouble set=%s value=%g for=%g", t->name, t->value, t->lasts);
        lmn_emu_cloud_set(&e->cloud, t->name, t->value, now, err, sizeof err);
        if (t->lasts > 0) {
            struct lmn_emu_fault back = {.at = now + t->lasts};
            g_strlcpy(back.name, t->name, sizeof back.name);
            for (size_t i = 0; lmn_emulator_fault_name(i); i++)
                if (!strcmp(lmn_emulator_fault_name(i), t->name))
                    back.value = lmn_emulator_fault_value(&e->o.knobs, i);
            g_array_append_val(e->ends, back);
        }
    }
    for (guint i = e->ends->len; i-- > 0;) {
        struct lmn_emu_fault t = g_array_index(e->ends, struct lmn_emu_fault, i);
        if (t.at > now)
            continue;
        g_array_remove_index_fast(e->ends, i);
        lmn_emu_cloud_set(&e->cloud, t.name, t.value, now, err, sizeof err);
    }
}

static void *passer(void *arg)
{
    struct lmn_emulation *e = arg;

    for (;;) {
        pthread_mutex_lock(&e->lock);
        double now = seconds(e);
        pass_troubles(e, now);
        for (guint i = 0; i < e->cloud.machines->len; i++) {
            struct lmn_emu_machine *m = e->cloud.machines->pdata[i];
            bool lives = lmn_emu_machine_lives(m, now);
            if (lives && !m->worker)
                come_up(e, m);
            if (!lives && m->worker)
                go_down(e, m->worker);
            if (m->worker)
                pass_unit(e, m->worker, now);
        }
        lmn_emu_cloud_pass(&e->cloud, now);
        pthread_mutex_unlock(&e->lock);
        lmn_sleep(PASS_S);
    }
    return NULL;
}

/* --- reports --- */

static unsigned turn(const struct lmn_emulation *e, const GByteArray *in, unsigned now)
{
    char name[LMN_NAME_SIZE] = "";
    struct lmn_cbor_document d;

    if (in->len && lmn_cbor_parse(&d, in->data, in->len) == 0) {
        lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_REDIRECT_TO), name,
                          sizeof name);
        lmn_cbor_free(&d);
    }
    for (unsigned i = 0; i < e->o.worker.ncontrollers && *name; i++)
        if (i != now && !strcmp(e->o.worker.controllers[i].name, name))
            return i;
    return now;
}

/* The connection that the unit reports over: its own, or its sender's. */
static struct lmn_http_client *line(const struct lmn_emulation *e, struct unit *u,
                                    struct lmn_http_client **h, unsigned to)
{
    if (u->w.knobs->own_connections < 0.5)
        return h[to];
    if (u->http && u->http_to != to)
        g_clear_pointer(&u->http, lmn_http_client_free);
    if (!u->http)
        u->http = lmn_http_client_new(e->o.worker.controllers[to].addr);
    u->http_to = to;
    return u->http;
}

/* One report of the unit, and its answer. The lock is held, and let go while it is under
 * way. */
static void report(struct lmn_emulation *e, struct unit *u, struct lmn_http_client **h,
                   GByteArray *in)
{
    GByteArray *out = g_byte_array_new();
    uint64_t session = u->w.agent.session;
    struct timespec sent = lmn_now();
    unsigned to = u->controller;

    lmn_agent_write_heartbeat(&u->w.agent, out, sent);
    u->last = sent;
    e->reports++;
    struct lmn_http_client *http = line(e, u, h, to);
    pthread_mutex_unlock(&e->lock);
    int status =
        lmn_http_client_call(http, "POST", WIRE_PATH_HEARTBEAT, out, ANSWER_S, in);
    g_byte_array_unref(out);
    pthread_mutex_lock(&e->lock);
    u->busy = false;
    double wait = e->o.worker.report_s * (0.75 + 0.5 * g_random_double());
    if (status != 200) {
        unsigned next = status == 421 ? turn(e, in, to) : to;
        u->w.agent.changed = true;
        wait = next != to ? 0 : 1;
        u->controller = next != to ? next : (to + 1) % e->o.worker.ncontrollers;
        e->failed_reports++;
        if (!wait)
            u->last = lmn_time_add(lmn_now(), -1);
    } else if (u->m && !unheard(u, seconds(e))) {
        lmn_agent_heartbeat_answered(&u->w.agent, session, sent, in->data, in->len,
                                     lmn_now());
        lmn_emu_worker_pass(&u->w, lmn_now());
        ask_jobs(e, u);
    }
    u->next = lmn_time_add(lmn_now(), wait);
}

static void *sender(void *arg)
{
    struct lmn_emulation *e = arg;
    struct lmn_http_client *h[LMN_MAX_CONTROLLERS];
    GByteArray *in = g_byte_array_new();

    for (unsigned i = 0; i < e->o.worker.ncontrollers; i++)
        h[i] = lmn_http_client_new(e->o.worker.controllers[i].addr);
    pthread_mutex_lock(&e->lock);
    for (;;) {
        while (!e->due.head)
            pthread_cond_wait(&e->due_more, &e->lock);
        struct unit *u = g_queue_pop_head(&e->due);
        if (u->m && !u->w.agent.ending)
            report(e, u, h, in);
        else
            u->busy = false;
        if (!u->m) {
            lmn_emu_worker_clear(&u->w);
            free_unit(u);
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
    struct lmn_emulation *e = arg;
    struct lmn_http_client *h = lmn_http_client_new(e->o.worker.depot);

    for (;;) {
        struct lmn_image_store_error err = {0};
        struct lmn_task_command work;
        GByteArray *b = g_byte_array_new();
        char digest[LMN_DIGEST_SIZE];
        const char *what;
        pthread_mutex_lock(&e->lock);
        while (!e->asked.head)
            pthread_cond_wait(&e->asked_more, &e->lock);
        struct question *q = g_queue_pop_head(&e->asked);
        bool known = g_hash_table_contains(e->specs, q->ref);
        pthread_mutex_unlock(&e->lock);
        struct lmn_job_spec *spec = NULL;
        bool sure = known;
        if (!known &&
            lmn_image_store_lookup(h, LMN_IMAGE_STORE_KIND_JOB, q->ref, digest, &err) ==
                0 &&
            lmn_image_store_get(h, digest, b, &err) == 0 &&
            lmn_task_command_decode(&work, b->data, b->len, &what) == 0) {
            spec = g_new(struct lmn_job_spec, 1);
            *spec = work.spec;
            memset(&work.spec, 0, sizeof work.spec);
            lmn_task_command_clear(&work);
            sure = true;
        }
        sure = sure || err.status == 404;
        g_byte_array_unref(b);
        pthread_mutex_lock(&e->lock);
        if (!known && spec) {
            if (g_hash_table_size(e->specs) >= MAX_SPECS)
                g_hash_table_remove_all(e->specs);
            g_hash_table_replace(e->specs, g_strdup(q->ref), spec);
        }
        struct unit *u = g_hash_table_lookup(e->units, &q->serial);
        if (u && sure) {
            spec = g_hash_table_lookup(e->specs, q->ref);
            lmn_emu_worker_described(&u->w, q->id, spec, lmn_now());
        } else if (u) {
            g_queue_push_tail(&e->asked, q);
            q = NULL;
        }
        pthread_mutex_unlock(&e->lock);
        if (!q)
            lmn_sleep(0.2);
        g_free(q);
    }
    return NULL;
}

/* --- commands --- */

static void route(void *arg, struct lmn_http_request *call)
{
    struct lmn_emulation *e = arg;
    int port = lmn_http_request_port(call);

    pthread_mutex_lock(&e->lock);
    struct unit *u = g_hash_table_lookup(e->ports, &port);
    if (!u) {
        lmn_http_request_respond(call, 503, NULL, 0);
    } else if (unheard(u, seconds(e))) {
        lmn_http_request_defer(call);
        g_queue_push_tail(&u->held, call);
    } else {
        answer(u, call);
        lmn_emu_worker_pass(&u->w, lmn_now());
        ask_jobs(e, u);
    }
    pthread_mutex_unlock(&e->lock);
}

static void *acceptor(void *arg)
{
    struct lmn_emulation *e = arg;
    struct epoll_event ev[64];

    for (;;) {
        int n = epoll_wait(e->epoll, ev, 64, -1);
        for (int i = 0; i < n; i++) {
            int fd = accept4(ev[i].data.fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd >= 0)
                lmn_http_server_adopt(e->server, fd);
        }
    }
    return NULL;
}

/* --- the cloud's side --- */

static void types(void *arg, void (*each)(void *to, const struct lmn_machine_type *t),
                  void *to)
{
    struct lmn_emulation *e = arg;
    pthread_mutex_lock(&e->lock);
    lmn_emu_cloud_types(&e->cloud, each, to, seconds(e));
    pthread_mutex_unlock(&e->lock);
}

static int rent(void *arg, const struct lmn_rental_request *q, GPtrArray *names)
{
    struct lmn_emulation *e = arg;
    pthread_mutex_lock(&e->lock);
    int status = lmn_emu_cloud_rent(&e->cloud, q, names, seconds(e));
    pthread_mutex_unlock(&e->lock);
    return status;
}

static int give_back(void *arg, char *const *names, unsigned n)
{
    struct lmn_emulation *e = arg;
    int status = 200;

    pthread_mutex_lock(&e->lock);
    double now = seconds(e);
    if (e->cloud.knobs.outage >= 1)
        status = 503;
    for (unsigned i = 0; i < n && status == 200; i++) {
        struct lmn_emu_machine *m = lmn_emu_cloud_machine(&e->cloud, names[i]);
        lmn_emu_cloud_return(&e->cloud, names[i], now);
        /* By the answer, it and everything on it are gone. */
        if (m && m->worker)
            go_down(e, m->worker);
    }
    pthread_mutex_unlock(&e->lock);
    return status;
}

static void list(void *arg, const char *after,
                 bool (*each)(void *to, const struct lmn_rented_machine *m), void *to)
{
    struct lmn_emulation *e = arg;
    pthread_mutex_lock(&e->lock);
    lmn_emu_cloud_list(&e->cloud, after, each, to, seconds(e));
    pthread_mutex_unlock(&e->lock);
}

static void metrics(void *arg, GString *out)
{
    struct lmn_emulation *e = arg;
    uint64_t done = 0, failed = 0, lapses = 0;
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&e->lock);
    g_hash_table_iter_init(&it, e->units);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct unit *u = v;
        done += u->w.done;
        failed += u->w.failed;
        lapses += u->w.agent.lapses;
    }
    lmn_gauge(out, "lemonspar_emulated_up", "Emulated machines that are up",
              g_hash_table_size(e->units));
    lmn_counter(out, "lemonspar_emulated_rented", "Machines rented out", e->cloud.rented);
    lmn_counter(out, "lemonspar_emulated_refused", "Rentals refused", e->cloud.refused);
    lmn_counter(out, "lemonspar_emulated_returned", "Machines returned",
                e->cloud.returned);
    lmn_counter(out, "lemonspar_emulated_taken", "Spot machines taken", e->cloud.taken);
    lmn_counter(out, "lemonspar_emulated_died", "Machines that died", e->cloud.died);
    lmn_gauge(out, "lemonspar_emulated_spent", "Money spent on returned machines",
              e->cloud.spent);
    lmn_counter(out, "lemonspar_emulated_reports", "Reports sent", e->reports);
    lmn_counter(out, "lemonspar_emulated_turned_reports", "Reports that were turned away",
                e->failed_reports);
    lmn_gauge(out, "lemonspar_emulated_done", "Tasks done by machines that are up",
              (double)done);
    lmn_gauge(out, "lemonspar_emulated_failed", "Tasks failed on machines that are up",
              (double)failed);
    lmn_counter(out, "lemonspar_emulated_starts", "Tasks begun", e->ledger.starts);
    lmn_counter(out, "lemonspar_emulated_twice",
                "Tasks that began while they ran elsewhere (there should be none)",
                e->ledger.twice);
    lmn_counter(out, "lemonspar_emulated_lapsed_tasks",
                "Tasks that ended with their machine's lease", e->ledger.lapsed);
    lmn_gauge(out, "lemonspar_emulated_lapses", "Leases over on machines that are up",
              (double)lapses);
    pthread_mutex_unlock(&e->lock);
}

static void show_knobs(struct lmn_emulation *e, struct lmn_http_request *call)
{
    GByteArray *b = g_byte_array_new();
    size_t n = 0;

    while (lmn_emulator_fault_name(n))
        n++;
    lmn_cbor_put_map(b, n);
    pthread_mutex_lock(&e->lock);
    for (size_t i = 0; i < n; i++)
        lmn_cbor_put_text(b, lmn_emulator_fault_name(i)),
            lmn_cbor_put_number(b, lmn_emulator_fault_value(&e->cloud.knobs, i));
    pthread_mutex_unlock(&e->lock);
    lmn_http_request_respond(call, 200, b, 0);
}

static bool troubles(void *arg, struct lmn_http_request *call)
{
    struct lmn_emulation *e = arg;
    const GByteArray *body = lmn_http_request_body(call);
    struct lmn_emu_fault t = {0};
    char err[128] = "a map with Set and Value is expected";
    struct lmn_cbor_document d;

    if (strcmp(lmn_http_request_path(call), "/troubles"))
        return false;
    if (lmn_http_request_method(call) == LMN_HTTP_GET) {
        show_knobs(e, call);
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
    pthread_mutex_lock(&e->lock);
    double now = seconds(e), old = 0;
    for (size_t i = 0; lmn_emulator_fault_name(i); i++)
        if (!strcmp(lmn_emulator_fault_name(i), t.name))
            old = lmn_emulator_fault_value(&e->cloud.knobs, i);
    ok = ok && lmn_emu_cloud_set(&e->cloud, t.name, t.value, now, err, sizeof err) == 0;
    if (ok && t.lasts > 0 && !lmn_emulator_fault_is_event(t.name)) {
        struct lmn_emu_fault back = t;
        back.at = now + t.lasts;
        back.value = old;
        g_array_append_val(e->ends, back);
    }
    pthread_mutex_unlock(&e->lock);
    if (ok)
        lmn_http_request_respond(call, 200, NULL, 0);
    else
        lmn_http_request_fail(call, 400, err);
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

void lmn_emulation_read(struct lmn_config *c, struct lmn_emulation_options *o)
{
    char path[96], err[128];

    o->knobs = lmn_emulator_faults_default;
    o->script = g_array_new(FALSE, TRUE, sizeof(struct lmn_emu_fault));
    o->seed = (uint32_t)lmn_config_number(c, "emulate.seed", 1, 0, 4294967295.0);
    for (size_t i = 0; lmn_emulator_fault_name(i); i++) {
        g_snprintf(path, sizeof path, "emulate.%s", lmn_emulator_fault_name(i));
        if (!lmn_config_has(c, path))
            continue;
        double v = lmn_config_number(c, path, 0, -1e9, 1e9);
        if (lmn_emulator_fault_set(&o->knobs, lmn_emulator_fault_name(i), v, err,
                                   sizeof err) != 0)
            lmn_config_fail(c, path, "%s", err);
    }
    guint n = lmn_config_count(c, "troubles");
    for (guint i = 0; i < n; i++) {
        struct lmn_emu_fault t = {0};
        struct lmn_emulator_faults try = o->knobs;
        g_snprintf(path, sizeof path, "troubles[%u].at", i);
        t.at = lmn_config_number(c, path, 0, 0, 1e9);
        g_snprintf(path, sizeof path, "troubles[%u].value", i);
        t.value = lmn_config_number(c, path, 1, 0, 1e9);
        g_snprintf(path, sizeof path, "troubles[%u].for", i);
        t.lasts = lmn_config_number(c, path, 0, 0, 1e9);
        g_snprintf(path, sizeof path, "troubles[%u].set", i);
        g_strlcpy(t.name, lmn_config_name(c, path, NULL), sizeof t.name);
        if (lmn_emulator_fault_set(&try, t.name, t.value, err, sizeof err) != 0)
            lmn_config_fail(c, path, "%s", err);
        g_array_append_val(o->script, t);
    }
    g_array_sort(o->script, by_time);
}

struct lmn_emulation *lmn_emulation_start(const struct lmn_emulation_options *o,
                                          char *err, size_t len)
{
    struct lmn_emulation *e = g_new0(struct lmn_emulation, 1);
    const struct lmn_http_server_options h = {
        .connections = 32768, .max_body = MAX_BODY, .route = route, .arg = e};

    e->o = *o;
    e->begun = lmn_now();
    curl_global_init(CURL_GLOBAL_NOTHING);
    lmn_emu_cloud_init(&e->cloud, o->inventory, o->seed);
    e->cloud.knobs = o->knobs;
    /* A name is never used twice, also not by the next process: ten a second are. */
    e->cloud.number =
        100000000 + (uint64_t)(lmn_time_seconds(lmn_wall_clock_now()) * 10) % 900000000;
    pthread_mutex_init(&e->lock, NULL);
    lmn_cond_init(&e->due_more);
    lmn_cond_init(&e->asked_more);
    lmn_emu_ledger_init(&e->ledger);
    e->units = g_hash_table_new(g_int64_hash, g_int64_equal);
    e->ports = g_hash_table_new(g_int_hash, g_int_equal);
    e->specs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, forget_spec);
    e->ends = g_array_new(FALSE, TRUE, sizeof(struct lmn_emu_fault));
    e->epoll = epoll_create1(EPOLL_CLOEXEC);
    e->server = lmn_http_server_start(&h);
    if (e->epoll < 0 || !e->server) {
        g_snprintf(err, len, "the emulated machines can't be served: %s",
                   strerror(errno));
        return NULL;
    }
    lmn_thread(passer, e);
    lmn_thread(acceptor, e);
    for (int i = 0; i < SENDERS; i++)
        lmn_thread(sender, e);
    for (int i = 0; i < ASKERS; i++)
        lmn_thread(asker, e);
    lmn_info("emulation-start seed=%u troubles=%u", o->seed, o->script->len);
    return e;
}
