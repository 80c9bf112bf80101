/* Real processes over loopback, against stand-ins for the state service, the cloud and
 * the workers: jobs are accepted and done, one is cancelled, controllers are killed on
 * the way and started again; no task is ever on two machines at once, and an accepted job
 * stays known. */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "http/client.h"
#include "job/job_spec.h"
#include "util/thread.h"
#include "protocol/wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum { NODES = 3, MAX_MACHINES = 64, MAX_HELD = 128 };
static const double PATIENCE_S = 120;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;

/* --- the state service --- */

struct item {
    GByteArray *value; /* NULL: removed */
    uint64_t rev, lease;
};
struct event {
    char *key;
    GByteArray *value;
    uint64_t rev;
};
struct lease {
    uint64_t id;
    double ttl;
    struct timespec until;
};
static GTree *store;
static GPtrArray *events;
static GArray *leases;
static uint64_t revision, last_lease;
static bool refusing; /* it answers 503, whatever it is asked */

static void put(const char *key, GByteArray *value, uint64_t lease)
{
    struct item *it = g_tree_lookup(store, key);
    struct event *e = g_new0(struct event, 1);

    if (!it) {
        it = g_new0(struct item, 1);
        g_tree_insert(store, g_strdup(key), it);
    }
    *it = (struct item){value, revision, lease};
    *e = (struct event){g_strdup(key), value, revision};
    g_ptr_array_add(events, e);
    pthread_cond_broadcast(&changed);
}

static gboolean drop_leased(gpointer key, gpointer v, gpointer id)
{
    struct item *it = v;
    if (it->value && it->lease == *(uint64_t *)id)
        put(key, NULL, 0);
    return FALSE;
}

static void expire(void)
{
    struct timespec now = lmn_now();
    for (guint i = leases->len; i-- > 0;) {
        struct lease l = g_array_index(leases, struct lease, i);
        if (!lmn_time_before(l.until, now))
            continue;
        g_array_remove_index(leases, i);
        revision++;
        g_tree_foreach(store, drop_leased, &l.id);
    }
}

static struct lease *find_lease(uint64_t id)
{
    for (guint i = 0; i < leases->len; i++)
        if (g_array_index(leases, struct lease, i).id == id)
            return &g_array_index(leases, struct lease, i);
    return NULL;
}

static GByteArray *copy(const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *node)
{
    GByteArray *b = g_byte_array_new();
    if (node)
        lmn_cbor_put_value(b, document, node);
    else
        lmn_cbor_put_null(b);
    return b;
}

static int state_txn(const struct lmn_cbor_document *document, GByteArray *out)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document), *node;
    GPtrArray *failed = g_ptr_array_new();
    char key[256];

    for (node = lmn_cbor_first_child(document,
                                     lmn_cbor_get(document, root, WIRE_CONDITIONS));
         node; node = lmn_cbor_next(document, node)) {
        uint64_t version = 0;
        lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_KEY), key, sizeof key);
        lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_VERSION), &version);
        struct item *it = g_tree_lookup(store, key);
        if ((it && it->value ? it->rev : 0) != version)
            g_ptr_array_add(failed, g_strdup(key));
    }
    const struct lmn_cbor_value *then =
        lmn_cbor_first_child(document, lmn_cbor_get(document, root, WIRE_OPERATIONS));
    for (node = then; node; node = lmn_cbor_next(document, node)) {
        uint64_t lease = 0;
        lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_LEASE), &lease);
        if (lease && !find_lease(lease))
            return 400;
    }
    if (!failed->len && then) {
        revision++;
        for (node = then; node; node = lmn_cbor_next(document, node)) {
            uint64_t lease = 0;
            lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_LEASE), &lease);
            if (lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_PUT), key,
                                  sizeof key))
                put(key, copy(document, lmn_cbor_get(document, node, WIRE_VALUE)), lease);
            else if (lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_DELETE), key,
                                       sizeof key))
                put(key, NULL, 0);
        }
    }
    lmn_cbor_put_map(out, failed->len ? 2 : 1);
    lmn_cbor_put_text(out, WIRE_REVISION), lmn_cbor_put_uint(out, revision);
    if (failed->len) {
        lmn_cbor_put_text(out, WIRE_CONFLICTS), lmn_cbor_put_array(out, failed->len);
        for (guint i = 0; i < failed->len; i++)
            lmn_cbor_put_text(out, failed->pdata[i]);
    }
    return failed->len ? 409 : 200;
}

static void put_item(GByteArray *out, const char *key, const struct item *it)
{
    lmn_cbor_put_map(out, 3);
    lmn_cbor_put_text(out, WIRE_KEY), lmn_cbor_put_text(out, key);
    lmn_cbor_put_text(out, WIRE_VALUE),
        g_byte_array_append(out, it->value->data, it->value->len);
    lmn_cbor_put_text(out, WIRE_VERSION), lmn_cbor_put_uint(out, it->rev);
}

struct listing {
    GByteArray *items;
    size_t n;
};

static gboolean list_item(gpointer key, gpointer v, gpointer arg)
{
    struct listing *l = arg;
    if (((struct item *)v)->value) {
        put_item(l->items, key, v);
        l->n++;
    }
    return FALSE;
}

static const char *query(struct MHD_Connection *c, const char *name)
{
    const char *v = MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);
    return v ? v : "";
}

static int state_watch(struct MHD_Connection *c, GByteArray *out)
{
    uint64_t after = g_ascii_strtoull(query(c, WIRE_QUERY_AFTER), NULL, 10);
    struct timespec end =
        lmn_time_add(lmn_now(), atof(query(c, WIRE_QUERY_WAIT_MS)) / 1000);
    size_t n = 0;

    while (revision <= after && lmn_time_before(lmn_now(), end)) {
        lmn_cond_wait_for(&changed, &lock, 0.05);
        expire();
    }
    for (guint i = 0; i < events->len; i++)
        n += ((struct event *)events->pdata[i])->rev > after;
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_REVISION), lmn_cbor_put_uint(out, revision);
    lmn_cbor_put_text(out, WIRE_EVENTS), lmn_cbor_put_array(out, n);
    for (guint i = 0; i < events->len; i++) {
        const struct event *e = events->pdata[i];
        if (e->rev <= after)
            continue;
        lmn_cbor_put_map(out, e->value ? 3 : 2);
        lmn_cbor_put_text(out, e->value ? WIRE_PUT : WIRE_DELETE),
            lmn_cbor_put_text(out, e->key);
        lmn_cbor_put_text(out, WIRE_VERSION), lmn_cbor_put_uint(out, e->rev);
        if (e->value)
            lmn_cbor_put_text(out, WIRE_VALUE),
                g_byte_array_append(out, e->value->data, e->value->len);
    }
    return 200;
}

static int state_answer(struct MHD_Connection *c, const char *path, const char *method,
                        const struct lmn_cbor_document *document, GByteArray *out)
{
    bool post = !strcmp(method, "POST");
    expire();
    if (refusing)
        return 503;
    if (post && !strcmp(path, WIRE_PATH_TXN))
        return state_txn(document, out);
    if (!strcmp(path, WIRE_PATH_WATCH))
        return state_watch(c, out);
    if (post && !strcmp(path, WIRE_PATH_LEASES)) {
        uint64_t ttl = 1000;
        lmn_cbor_get_uint(lmn_cbor_get(document, lmn_cbor_root(document), WIRE_TTL_MS),
                          &ttl);
        struct lease l = {++last_lease, (double)ttl / 1000, {0, 0}};
        l.until = lmn_time_add(lmn_now(), l.ttl);
        g_array_append_val(leases, l);
        lmn_cbor_put_map(out, 1);
        lmn_cbor_put_text(out, WIRE_LEASE), lmn_cbor_put_uint(out, l.id);
        return 200;
    }
    if (post && g_str_has_prefix(path, WIRE_PATH_LEASES "/")) {
        struct lease *l =
            find_lease(g_ascii_strtoull(path + strlen(WIRE_PATH_LEASES "/"), NULL, 10));
        if (l)
            l->until = lmn_time_add(lmn_now(), l->ttl);
        return l ? 200 : 404;
    }
    if (!strcmp(path, WIRE_PATH_STORE)) {
        struct listing l = {g_byte_array_new(), 0};
        g_tree_foreach(store, list_item, &l);
        lmn_cbor_put_map(out, 3);
        lmn_cbor_put_text(out, WIRE_REVISION), lmn_cbor_put_uint(out, revision);
        lmn_cbor_put_text(out, WIRE_HAS_MORE), lmn_cbor_put_bool(out, false);
        lmn_cbor_put_text(out, WIRE_ITEMS), lmn_cbor_put_array(out, l.n);
        g_byte_array_append(out, l.items->data, l.items->len);
        return 200;
    }
    if (g_str_has_prefix(path, WIRE_PATH_STORE "/")) {
        struct item *it = g_tree_lookup(store, path + strlen(WIRE_PATH_STORE "/"));
        if (!it || !it->value)
            return 404;
        put_item(out, path + strlen(WIRE_PATH_STORE "/"), it);
        return 200;
    }
    return 400;
}

/* --- machines --- */

struct held {
    char task[64];
    uint64_t attempt;
    enum { RUNNING, ENDED, FREE } state;
    bool done;
    struct timespec until;
};

struct machine {
    char name[16], addr[32];
    bool gone;
    uint64_t session, seq, token;
    struct timespec answered;
    struct held held[MAX_HELD];
};

static struct machine machines[MAX_MACHINES];
static int nmachines;
static unsigned twice, started, rented;
static int ports[NODES][2], state_port, cloud_port;

static void report(struct machine *machine, GByteArray *b)
{
    size_t n = 0;
    for (int i = 0; i < MAX_HELD; i++)
        n += machine->held[i].state != FREE;
    lmn_cbor_put_map(b, 9);
    lmn_cbor_put_text(b, WIRE_MACHINE), lmn_cbor_put_text(b, machine->name);
    lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, machine->addr);
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, "small");
    lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, "a");
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, false);
    lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, machine->session);
    lmn_cbor_put_text(b, WIRE_SEQUENCE), lmn_cbor_put_uint(b, ++machine->seq);
    lmn_cbor_put_text(b, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(b, machine->token);
    lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_array(b, n);
    for (int i = 0; i < MAX_HELD; i++) {
        const struct held *h = &machine->held[i];
        if (h->state == FREE)
            continue;
        lmn_cbor_put_map(b, 4);
        lmn_cbor_put_text(b, WIRE_TASK), lmn_cbor_put_text(b, h->task);
        lmn_cbor_put_text(b, WIRE_ATTEMPT), lmn_cbor_put_uint(b, h->attempt);
        lmn_cbor_put_text(b, WIRE_STATE),
            lmn_cbor_put_text(b, h->state == RUNNING ? WIRE_RUNNING : WIRE_ENDED);
        lmn_cbor_put_text(b, WIRE_EXIT_REASON),
            lmn_cbor_put_text(b, h->done ? WIRE_DONE : WIRE_STOPPED);
    }
}

static void obey(struct machine *machine, const struct lmn_cbor_document *document,
                 const struct lmn_cbor_value *orders)
{
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, orders); node;
         node = lmn_cbor_next(document, node)) {
        const struct lmn_cbor_value *command = lmn_cbor_get(document, node, WIRE_COMMAND);
        struct held *same = NULL, *room = NULL;
        char task[64] = "";
        uint64_t attempt = 0;
        lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TASK), task, sizeof task);
        lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_ATTEMPT), &attempt);
        for (int i = 0; i < MAX_HELD; i++) {
            struct held *h = &machine->held[i];
            if (h->state == FREE)
                room = h;
            else if (!strcmp(h->task, task) && h->attempt == attempt)
                same = h;
        }
        if (lmn_cbor_text_equals(command, WIRE_START) && !same && room) {
            for (int k = 0; k < nmachines; k++)
                for (int i = 0; i < MAX_HELD; i++)
                    twice += !machines[k].gone && machines[k].held[i].state == RUNNING &&
                             !strcmp(machines[k].held[i].task, task);
            memset(room, 0, sizeof *room);
            g_strlcpy(room->task, task, sizeof room->task);
            room->attempt = attempt;
            /* The service's replicas run until they are killed. */
            room->until =
                lmn_time_add(lmn_now(), g_str_has_prefix(task, "run-00010") ? 1e6 : 0.4);
            started++;
        } else if (lmn_cbor_text_equals(command, WIRE_KILL) && same &&
                   same->state == RUNNING) {
            same->state = ENDED;
        } else if (lmn_cbor_text_equals(command, WIRE_CLEAR) && same &&
                   same->state == ENDED) {
            same->state = FREE;
        }
    }
}

static void pass(struct machine *machine)
{
    struct timespec now = lmn_now();
    for (int i = 0; i < MAX_HELD; i++) {
        struct held *h = &machine->held[i];
        if (h->state == RUNNING && lmn_time_before(h->until, now)) {
            h->state = ENDED;
            h->done = true;
        }
        if (lmn_time_diff_s(now, machine->answered) > 6)
            h->state = FREE;
    }
    if (lmn_time_diff_s(now, machine->answered) > 6) {
        machine->session++;
        machine->answered = now;
    }
}

static int worker_answer(struct machine *machine, const char *path,
                         const struct lmn_cbor_document *document, GByteArray *out)
{
    uint64_t token = 0, session = 0;
    int status = 200;

    pass(machine);
    if (!strcmp(path, WIRE_PATH_COMMANDS)) {
        lmn_cbor_get_uint(
            lmn_cbor_get(document, lmn_cbor_root(document), WIRE_FENCING_TOKEN), &token);
        lmn_cbor_get_uint(
            lmn_cbor_get(document, lmn_cbor_root(document), WIRE_AGENT_INCARNATION),
            &session);
        if (token < machine->token || session != machine->session) {
            status = 409;
        } else {
            machine->token = token;
            obey(machine, document,
                 lmn_cbor_get(document, lmn_cbor_root(document), WIRE_COMMANDS));
        }
    }
    report(machine, out);
    return status;
}

static void *worker(void *arg)
{
    struct machine *machine = arg;
    struct lmn_http_client *h[NODES];
    GByteArray *in = g_byte_array_new();
    int node = (int)(machine - machines) % NODES;

    for (int i = 0; i < NODES; i++) {
        char addr[32];
        g_snprintf(addr, sizeof addr, "127.0.0.1:%d", ports[i][0]);
        h[i] = lmn_http_client_new(addr);
    }
    for (;;) {
        GByteArray *b = g_byte_array_new();
        struct lmn_cbor_document d;
        pthread_mutex_lock(&lock);
        pass(machine);
        uint64_t session = machine->session;
        report(machine, b);
        bool gone = machine->gone;
        pthread_mutex_unlock(&lock);
        if (gone)
            return NULL;
        struct timespec sent = lmn_now();
        int status = lmn_http_client_call(h[node], "POST", WIRE_PATH_HEARTBEAT, b, 4, in);
        g_byte_array_unref(b);
        if (status == 200 && lmn_cbor_parse(&d, in->data, in->len) == 0) {
            uint64_t token = 0;
            lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN),
                              &token);
            pthread_mutex_lock(&lock);
            if (!machine->gone && token >= machine->token &&
                session == machine->session) {
                machine->token = token;
                machine->answered = sent;
                obey(machine, &d, lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS));
            }
            pthread_mutex_unlock(&lock);
            lmn_cbor_free(&d);
            lmn_sleep(0.3);
        } else {
            char to[32] = "";
            if (status == 421 && lmn_cbor_parse(&d, in->data, in->len) == 0) {
                lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_REDIRECT_TO),
                                  to, sizeof to);
                lmn_cbor_free(&d);
            }
            node = *to ? atoi(to + 1) : (node + 1) % NODES;
            lmn_sleep(*to ? 0.1 : 0.5);
        }
    }
}

/* --- serving the stand-ins --- */

static int serve(int (*answer)(void *, struct MHD_Connection *, const char *,
                               const char *, const struct lmn_cbor_document *,
                               GByteArray *),
                 void *arg);

static int answer_worker(void *arg, struct MHD_Connection *c, const char *path,
                         const char *method, const struct lmn_cbor_document *document,
                         GByteArray *out)
{
    (void)c;
    (void)method;
    return worker_answer(arg, path, document, out);
}

static int answer_state(void *arg, struct MHD_Connection *c, const char *path,
                        const char *method, const struct lmn_cbor_document *document,
                        GByteArray *out)
{
    (void)arg;
    return state_answer(c, path, method, document, out);
}

static int answer_cloud(void *arg, struct MHD_Connection *c, const char *path,
                        const char *method, const struct lmn_cbor_document *document,
                        GByteArray *out)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    (void)arg;
    (void)c;
    if (!strcmp(path, WIRE_PATH_MACHINE_TYPES)) {
        lmn_cbor_put_map(out, 1);
        lmn_cbor_put_text(out, WIRE_MACHINE_TYPES), lmn_cbor_put_array(out, 1);
        lmn_cbor_put_map(out, 10);
        lmn_cbor_put_text(out, WIRE_TYPE_NAME), lmn_cbor_put_text(out, "small");
        lmn_cbor_put_text(out, WIRE_CPUS), lmn_cbor_put_number(out, 4);
        lmn_cbor_put_text(out, WIRE_GPUS), lmn_cbor_put_number(out, 0);
        lmn_cbor_put_text(out, WIRE_MEMORY_GB), lmn_cbor_put_number(out, 16);
        lmn_cbor_put_text(out, WIRE_CACHE_GB), lmn_cbor_put_number(out, 10);
        lmn_cbor_put_text(out, WIRE_PULL_GB_PER_S), lmn_cbor_put_number(out, 1);
        lmn_cbor_put_text(out, WIRE_PRICE), lmn_cbor_put_number(out, 1);
        lmn_cbor_put_text(out, WIRE_SPOT_PRICE), lmn_cbor_put_number(out, 0.5);
        lmn_cbor_put_text(out, WIRE_BOOT_S), lmn_cbor_put_number(out, 1);
        lmn_cbor_put_text(out, WIRE_ZONES), lmn_cbor_put_array(out, 1),
            lmn_cbor_put_text(out, "a");
        return 200;
    }
    if (!strcmp(path, WIRE_PATH_RETURN)) {
        const struct lmn_cbor_value *list = lmn_cbor_get(document, root, WIRE_MACHINES);
        for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list);
             node; node = lmn_cbor_next(document, node))
            for (int i = 0; i < nmachines; i++)
                if (lmn_cbor_text_equals(node, machines[i].name))
                    machines[i].gone = true;
        lmn_cbor_put_map(out, 0);
        return 200;
    }
    if (!strcmp(method, "POST")) {
        uint64_t count = 0;
        lmn_cbor_get_uint(lmn_cbor_get(document, root, WIRE_COUNT), &count);
        count = MIN(count, (uint64_t)MIN(6 - (int)rented, MAX_MACHINES - nmachines));
        if (!count || rented >= 6) {
            lmn_cbor_put_map(out, 1);
            lmn_cbor_put_text(out, "error"), lmn_cbor_put_text(out, "no capacity");
            return 503;
        }
        lmn_cbor_put_map(out, 1);
        lmn_cbor_put_text(out, WIRE_MACHINES), lmn_cbor_put_array(out, count);
        for (uint64_t i = 0; i < count; i++) {
            struct machine *machine = &machines[nmachines];
            g_snprintf(machine->name, sizeof machine->name, "host-%06d", nmachines++);
            for (int k = 0; k < MAX_HELD; k++)
                machine->held[k].state = FREE;
            machine->session = 1;
            machine->answered = lmn_now();
            g_snprintf(machine->addr, sizeof machine->addr, "127.0.0.1:%d",
                       serve(answer_worker, machine));
            lmn_cbor_put_text(out, machine->name);
            lmn_thread(worker, machine);
            rented++;
        }
        return 200;
    }
    size_t n = 0;
    for (int i = 0; i < nmachines; i++)
        n += !machines[i].gone;
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_HAS_MORE), lmn_cbor_put_bool(out, false);
    lmn_cbor_put_text(out, WIRE_MACHINES), lmn_cbor_put_array(out, n);
    for (int i = 0; i < nmachines; i++) {
        if (machines[i].gone)
            continue;
        lmn_cbor_put_map(out, 6);
        lmn_cbor_put_text(out, WIRE_JOB_ID), lmn_cbor_put_text(out, machines[i].name);
        lmn_cbor_put_text(out, WIRE_MACHINE_TYPE), lmn_cbor_put_text(out, "small");
        lmn_cbor_put_text(out, WIRE_ZONE), lmn_cbor_put_text(out, "a");
        lmn_cbor_put_text(out, WIRE_SPOT), lmn_cbor_put_bool(out, false);
        lmn_cbor_put_text(out, WIRE_STATE), lmn_cbor_put_text(out, WIRE_RUNNING);
        lmn_cbor_put_text(out, WIRE_AGE_S), lmn_cbor_put_number(out, 10);
    }
    return 200;
}

struct stand_in {
    int (*answer)(void *, struct MHD_Connection *, const char *, const char *,
                  const struct lmn_cbor_document *, GByteArray *);
    void *arg;
};

static enum MHD_Result on_request(void *arg, struct MHD_Connection *c, const char *url,
                                  const char *method, const char *version,
                                  const char *data, size_t *size, void **state)
{
    struct stand_in *s = arg;
    GByteArray *in = *state, *out;
    struct lmn_cbor_document d = {0};
    (void)version;

    if (!in) {
        *state = g_byte_array_new();
        return MHD_YES;
    }
    if (*size) {
        g_byte_array_append(in, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    out = g_byte_array_new();
    int status = 400;
    if (!in->len || lmn_cbor_parse(&d, in->data, in->len) == 0) {
        pthread_mutex_lock(&lock);
        status = s->answer(s->arg, c, url, method, &d, out);
        pthread_mutex_unlock(&lock);
        lmn_cbor_free(&d);
    }
    struct MHD_Response *r = MHD_create_response_from_buffer(
        out->len, out->len ? out->data : (void *)"", MHD_RESPMEM_MUST_COPY);
    enum MHD_Result ok = MHD_queue_response(c, (unsigned)status, r);
    MHD_destroy_response(r);
    g_byte_array_unref(out);
    g_byte_array_unref(in);
    *state = NULL;
    return ok;
}

static int serve(int (*answer)(void *, struct MHD_Connection *, const char *,
                               const char *, const struct lmn_cbor_document *,
                               GByteArray *),
                 void *arg)
{
    struct stand_in *s = g_new0(struct stand_in, 1);
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    s->answer = answer;
    s->arg = arg;
    struct MHD_Daemon *d = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
        on_request, s, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&a, MHD_OPTION_END);
    assert_non_null(d);
    return MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port;
}

/* --- controllers --- */

static pid_t pids[NODES];
static char paths[NODES][64];

static int free_port(void)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof a;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof a), 0);
    getsockname(fd, (struct sockaddr *)&a, &len);
    close(fd);
    return ntohs(a.sin_port);
}

static void start_node(int i)
{
    pids[i] = fork();
    if (pids[i] == 0) {
        execl(LMN_PROGRAM_PATH, "lemonspar", "--config", paths[i], (char *)NULL);
        _exit(127);
    }
}

static void configure(int i)
{
    g_snprintf(paths[i], sizeof paths[i], "/tmp/lemonspar-test-%d-%d.toml", (int)getpid(),
               i);
    FILE *f = fopen(paths[i], "w");
    assert_non_null(f);
    fprintf(f, "host_name = 'n%d'\narea = 'a'\nclient_listen = '127.0.0.1:%d'\n", i,
            ports[i][0]);
    fprintf(f, "internal_addr = '127.0.0.1:%d'\n", ports[i][1]);
    for (int k = 0; k < NODES; k++)
        if (k != i)
            fprintf(
                f,
                "[[members]]\nhost_name = 'n%d'\narea = 'a'\naddress = '127.0.0.1:%d'\n",
                k, ports[k][1]);
    fprintf(f, "[outside]\ncloud = '127.0.0.1:%d'\nstate = '127.0.0.1:%d'\n", cloud_port,
            state_port);
    fprintf(f,
            "[params]\ninitial_size = 3\n[[params.teams]]\nname = 't'\ncpus_max = 60.0\n"
            "[params.workers]\nreport_s = 0.4\nlease_s = 6.0\ncancel_s = 20.0\n"
            "[params.state]\nrps = 600.0\nwrite_rps = 300.0\ntxn_ops = 12\n"
            "[params.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n");
    fclose(f);
}

/* --- a user --- */

static int call_at(int i, const char *method, const char *path, const GByteArray *body,
                   char *word)
{
    static struct lmn_http_client *h[NODES];
    GByteArray *out = g_byte_array_new();
    struct lmn_cbor_document d;

    if (!h[i]) {
        char addr[32];
        g_snprintf(addr, sizeof addr, "127.0.0.1:%d", ports[i][0]);
        h[i] = lmn_http_client_new(addr);
    }
    int status = lmn_http_client_call(h[i], method, path, body, 5, out);
    *word = '\0';
    if (out->len && lmn_cbor_parse(&d, out->data, out->len) == 0) {
        lmn_cbor_get_text(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_STATE), word, 32);
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(out);
    return status;
}

static int call(const char *method, const char *path, const GByteArray *body, char *word)
{
    static int turn;

    return call_at(turn++ % NODES, method, path, body, word);
}

/* Asks until one of two statuses, as users do. */
static int insist(const char *method, const char *path, const GByteArray *body, int a,
                  int b, char *word)
{
    struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
    int status = 0;
    while (lmn_time_before(lmn_now(), end)) {
        status = call(method, path, body, word);
        if (status == a || status == b)
            return status;
        lmn_sleep(0.3);
    }
    fail_msg("%s %s: still %d", method, path, status);
    return status;
}

static GByteArray *job(const char *ref, uint32_t tasks, enum lmn_job_kind kind)
{
    struct lmn_job_spec s = {.class_name = (char *)"c",
                             .team = (char *)"t",
                             .image = (char *)"i",
                             .kind = kind,
                             .priority = LMN_PRIORITY_NORMAL,
                             .tasks = tasks,
                             .cpus = 1,
                             .memory_gb = 1,
                             .estimate_s = kind == LMN_JOB_BATCH ? 2 : 0,
                             .deadline_s = -1};
    GByteArray *b = g_byte_array_new();
    g_strlcpy(s.id, ref, sizeof s.id);
    lmn_cbor_put_map(b, lmn_job_spec_pair_count());
    lmn_job_spec_write(b, &s);
    return b;
}

static void jobs_survive_their_controllers(void **state)
{
    char word[32], path[64];
    GByteArray *b;
    (void)state;

    for (int k = 0; k < 6; k++) {
        g_snprintf(path, sizeof path, "run-%06d", k);
        b = job(path, 20, LMN_JOB_BATCH);
        insist("POST", WIRE_PATH_JOBS, b, 201, 200, word);
        g_byte_array_unref(b);
    }
    b = job("run-000100", 3, LMN_JOB_SERVICE);
    insist("POST", WIRE_PATH_JOBS, b, 201, 200, word);
    g_byte_array_unref(b);

    /* One controller after the other is killed in the midst of it, and starts again. */
    for (int i = 0; i < NODES; i++) {
        lmn_sleep(1.5);
        int status;
        assert_int_equal(waitpid(pids[i], &status, WNOHANG),
                         0); /* none ended by itself */
        kill(pids[i], SIGKILL);
        waitpid(pids[i], &status, 0);
        lmn_sleep(1.0);
        start_node(i);
    }
    insist("POST", WIRE_PATH_JOBS "/run-000100" WIRE_PATH_CANCEL, NULL, 200, 200, word);
    assert_string_equal(word, WIRE_CANCELLED);
    for (int k = 0; k < 6; k++) {
        struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/run-%06d", k);
        do {
            int status = call("GET", path, NULL, word);
            assert_int_not_equal(status, 404);
            lmn_sleep(0.2);
        } while (strcmp(word, WIRE_DONE) && lmn_time_before(lmn_now(), end));
        assert_string_equal(word, WIRE_DONE);
    }
    /* Every controller gives the final answers, again and again. */
    for (int i = 0; i < 2 * NODES; i++) {
        insist("GET", WIRE_PATH_JOBS "/run-000100", NULL, 200, 404, word);
        assert_string_equal(word, WIRE_CANCELLED);
        b = job("run-000000", 20, LMN_JOB_BATCH);
        assert_int_equal(insist("POST", WIRE_PATH_JOBS, b, 200, 422, word), 200);
        assert_string_equal(word, WIRE_DONE);
        g_byte_array_unref(b);
    }
    pthread_mutex_lock(&lock);
    assert_true(started >= 6 * 20);
    assert_int_equal(twice, 0);
    pthread_mutex_unlock(&lock);
}

static void what_cannot_be_taken(void **state)
{
    char word[32];
    GByteArray *b = g_byte_array_new();
    (void)state;

    g_byte_array_append(b, (const guint8 *)"\xa0", 1);
    assert_int_equal(insist("POST", WIRE_PATH_JOBS, b, 400, 422, word), 400);
    g_byte_array_set_size(b, 70000);
    memset(b->data, 0, b->len);
    assert_int_equal(insist("POST", WIRE_PATH_JOBS, b, 400, 201, word), 400);
    g_byte_array_unref(b);
    /* A description that no value of the state service can hold. */
    char *types[251] = {NULL};
    for (int i = 0; i < 250; i++)
        types[i] = g_strnfill(63, 't');
    struct lmn_job_spec large = {.class_name = (char *)"c",
                                 .team = (char *)"t",
                                 .image = (char *)"i",
                                 .machine_types = types,
                                 .priority = LMN_PRIORITY_NORMAL,
                                 .tasks = 1,
                                 .cpus = 1,
                                 .deadline_s = -1,
                                 .id = "run-000201"};
    b = g_byte_array_new();
    lmn_cbor_put_map(b, lmn_job_spec_pair_count());
    lmn_job_spec_write(b, &large);
    assert_int_equal(insist("POST", WIRE_PATH_JOBS, b, 400, 422, word), 400);
    g_byte_array_unref(b);
    for (int i = 0; i < 250; i++)
        g_free(types[i]);
    b = job("run-000200", 61,
            LMN_JOB_SERVICE); /* all replicas: more than the team's limit */
    assert_int_equal(insist("POST", WIRE_PATH_JOBS, b, 422, 201, word), 422);
    g_byte_array_unref(b);
    insist("GET", WIRE_PATH_JOBS "/run-000200", NULL, 404, 404, word);
    insist("GET", WIRE_PATH_JOBS "/nonsense", NULL, 404, 404, word);
}

/* --- odd requests, at each controller --- */

enum odd { ASK, CANCEL, REPEAT, NO_FIELD, NO_ROOM, ODD };

static GByteArray *odd_body(enum odd what, const char *ref)
{
    GByteArray *b = job(ref, what == NO_ROOM ? 61 : 1, LMN_JOB_SERVICE);

    if (what == NO_FIELD) {
        g_byte_array_set_size(b, 0);
        lmn_cbor_put_map(b, 1);
        lmn_cbor_put_text(b, WIRE_JOB_ID), lmn_cbor_put_text(b, ref);
    }
    return b;
}

static int odd_call(int node, enum odd what, const char *ref, char *word)
{
    char path[96];

    if (what <= CANCEL) {
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s%s", ref,
                   what == CANCEL ? WIRE_PATH_CANCEL : "");
        return call_at(node, what == CANCEL ? "POST" : "GET", path, NULL, word);
    }
    GByteArray *b = odd_body(what, ref);
    int status = call_at(node, "POST", WIRE_PATH_JOBS, b, word);
    g_byte_array_unref(b);
    return status;
}

/* Each request about the job gets this status; word: the state then told. */
static void expect(int node, const char *ref, const int status[ODD], const char *word)
{
    char told[32];

    for (enum odd what = 0; what < ODD; what++) {
        struct timespec end = lmn_time_add(lmn_now(), PATIENCE_S);
        int got = odd_call(node, what, ref, told);
        while (got == 503 && status[what] != 503 && lmn_time_before(lmn_now(), end)) {
            lmn_sleep(0.2);
            got = odd_call(node, what, ref, told);
        }
        if (got != status[what])
            fail_msg("n%d, %s, request %d: %d, not %d", node, ref, what, got,
                     status[what]);
        if (got == 200 && word)
            assert_string_equal(told, word);
    }
}

static void refuse(bool on)
{
    pthread_mutex_lock(&lock);
    refusing = on;
    pthread_mutex_unlock(&lock);
}

static void expect_unnamed(int node)
{
    char word[32];
    GByteArray *b = g_byte_array_new();

    assert_int_equal(odd_call(node, ASK, "nonsense", word), 404);
    assert_int_equal(odd_call(node, CANCEL, "nonsense", word), 404);
    assert_int_equal(odd_call(node, NO_FIELD, "nonsense", word), 400);
    g_byte_array_append(b, (const guint8 *)"\xff", 1);
    assert_int_equal(call_at(node, "POST", WIRE_PATH_JOBS, b, word), 400);
    g_byte_array_unref(b);
}

static void odd_requests_get_the_protocols_answer(void **state)
{
    static const int known[ODD] = {200, 200, 200, 200, 200};
    static const int cant_tell[ODD] = {503, 503, 503, 503, 503};
    char word[32];
    GByteArray *b = job("run-000101", 1, LMN_JOB_SERVICE);
    (void)state;

    insist("POST", WIRE_PATH_JOBS, b, 201, 200, word);
    g_byte_array_unref(b);
    for (int i = 0; i < NODES; i++) {
        expect(i, "run-000000", known, WIRE_DONE);
        expect(i, "run-000100", known, WIRE_CANCELLED);
        for (enum odd what = ASK; what < ODD; what++)
            if (what != CANCEL)
                assert_int_equal(odd_call(i, what, "run-000101", word), 200);
        assert_int_equal(odd_call(i, NO_FIELD, "run-000900", word), 400);
        assert_int_equal(odd_call(i, NO_ROOM, "run-000900", word), 422);
        assert_int_equal(odd_call(i, CANCEL, "run-000900", word), 404);
        assert_int_equal(odd_call(i, ASK, "run-000900", word), 404);
        expect_unnamed(i);
    }
    /* An outage: ends stay known, and nothing is told that can't be confirmed; a
     * controller that begins in it knows nothing. */
    refuse(true);
    int status;
    kill(pids[0], SIGKILL);
    waitpid(pids[0], &status, 0);
    start_node(0);
    while (call_at(0, "GET", WIRE_PATH_READY, NULL, word) != 503)
        lmn_sleep(0.05);
    for (int i = 0; i < NODES; i++) {
        expect(i, "run-000000", i ? known : cant_tell, WIRE_DONE);
        expect(i, "run-000101", cant_tell, NULL);
        expect(i, "run-000900", cant_tell, NULL);
        expect_unnamed(i);
    }
    lmn_sleep(4); /* now their views are old as well */
    for (int i = 0; i < NODES; i++) {
        expect(i, "run-000000", i ? known : cant_tell, WIRE_DONE);
        expect(i, "run-000101", cant_tell, NULL);
        expect(i, "run-000900", cant_tell, NULL);
    }
    refuse(false);
    for (int i = 0; i < NODES; i++) {
        expect(i, "run-000000", known, WIRE_DONE);
        expect(i, "run-000101", known, i ? WIRE_CANCELLED : NULL);
    }
}

static int setup(void **state)
{
    (void)state;
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_NOTHING);
    lmn_cond_init(&changed);
    store = g_tree_new((GCompareFunc)strcmp);
    events = g_ptr_array_new();
    leases = g_array_new(FALSE, FALSE, sizeof(struct lease));
    state_port = serve(answer_state, NULL);
    cloud_port = serve(answer_cloud, NULL);
    for (int i = 0; i < NODES; i++) {
        ports[i][0] = free_port();
        ports[i][1] = free_port();
    }
    for (int i = 0; i < NODES; i++) {
        configure(i);
        start_node(i);
    }
    return 0;
}

static int teardown(void **state)
{
    (void)state;
    for (int i = 0; i < NODES; i++) {
        kill(pids[i], SIGKILL);
        waitpid(pids[i], NULL, 0);
        unlink(paths[i]);
    }
    return 0;
}

/* The stand-ins end with the process. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(what_cannot_be_taken),
        cmocka_unit_test(jobs_survive_their_controllers),
        cmocka_unit_test(odd_requests_get_the_protocols_answer),
    };
    return cmocka_run_group_tests(tests, setup, teardown);
}
