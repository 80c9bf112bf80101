/* Controller processes over loopback, with stand-ins for the key-value store, the cloud
 * and the workers. While controllers are killed and restarted, accepted jobs stay known
 * and are completed or cancelled, and no task runs on two machines at the same time. */
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

enum { CONTROLLERS = 3, MAX_MACHINES = 64, MAX_ATTEMPTS = 128 };
static const double TIMEOUT_S = 120;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;

/* --- stand-in for the key-value store --- */

struct item {
    GByteArray *value; /* NULL: deleted */
    uint64_t revision, lease;
};
struct event {
    char *key;
    GByteArray *value;
    uint64_t revision;
};
struct lease {
    uint64_t id;
    double ttl_s;
    struct timespec expires_at;
};
static GTree *store;
static GPtrArray *events;
static GArray *leases;
static uint64_t revision, last_lease;
static bool is_store_unavailable; /* all requests are answered 503 */

static void put_key(const char *key, GByteArray *value, uint64_t lease)
{
    struct item *item = g_tree_lookup(store, key);
    struct event *event = g_new0(struct event, 1);

    if (!item) {
        item = g_new0(struct item, 1);
        g_tree_insert(store, g_strdup(key), item);
    }
    *item = (struct item){value, revision, lease};
    *event = (struct event){g_strdup(key), value, revision};
    g_ptr_array_add(events, event);
    pthread_cond_broadcast(&changed);
}

static gboolean delete_if_leased(gpointer key, gpointer value, gpointer lease_id)
{
    struct item *item = value;
    if (item->value && item->lease == *(uint64_t *)lease_id)
        put_key(key, NULL, 0);
    return FALSE;
}

static void expire_leases(void)
{
    struct timespec now = lmn_now();
    for (guint i = leases->len; i-- > 0;) {
        struct lease lease = g_array_index(leases, struct lease, i);
        if (!lmn_time_before(lease.expires_at, now))
            continue;
        g_array_remove_index(leases, i);
        revision++;
        g_tree_foreach(store, delete_if_leased, &lease.id);
    }
}

static struct lease *find_lease(uint64_t id)
{
    for (guint i = 0; i < leases->len; i++)
        if (g_array_index(leases, struct lease, i).id == id)
            return &g_array_index(leases, struct lease, i);
    return NULL;
}

static GByteArray *copy_value(const struct lmn_cbor_document *document,
                              const struct lmn_cbor_value *node)
{
    GByteArray *buffer = g_byte_array_new();
    if (node)
        lmn_cbor_put_value(buffer, document, node);
    else
        lmn_cbor_put_null(buffer);
    return buffer;
}

static int handle_txn(const struct lmn_cbor_document *document, GByteArray *out)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document), *condition, *operation;
    GPtrArray *failed = g_ptr_array_new();
    char key[256];

    for (condition = lmn_cbor_first_child(document,
                                          lmn_cbor_get(document, root, WIRE_CONDITIONS));
         condition; condition = lmn_cbor_next(document, condition)) {
        uint64_t version = 0;
        lmn_cbor_get_text(lmn_cbor_get(document, condition, WIRE_KEY), key, sizeof key);
        lmn_cbor_get_uint(lmn_cbor_get(document, condition, WIRE_VERSION), &version);
        struct item *item = g_tree_lookup(store, key);
        if ((item && item->value ? item->revision : 0) != version)
            g_ptr_array_add(failed, g_strdup(key));
    }
    const struct lmn_cbor_value *operations =
        lmn_cbor_first_child(document, lmn_cbor_get(document, root, WIRE_OPERATIONS));
    for (operation = operations; operation;
         operation = lmn_cbor_next(document, operation)) {
        uint64_t lease = 0;
        lmn_cbor_get_uint(lmn_cbor_get(document, operation, WIRE_LEASE), &lease);
        if (lease && !find_lease(lease))
            return 400;
    }
    if (!failed->len && operations) {
        revision++;
        for (operation = operations; operation;
             operation = lmn_cbor_next(document, operation)) {
            uint64_t lease = 0;
            lmn_cbor_get_uint(lmn_cbor_get(document, operation, WIRE_LEASE), &lease);
            if (lmn_cbor_get_text(lmn_cbor_get(document, operation, WIRE_PUT), key,
                                  sizeof key))
                put_key(
                    key,
                    copy_value(document, lmn_cbor_get(document, operation, WIRE_VALUE)),
                    lease);
            else if (lmn_cbor_get_text(lmn_cbor_get(document, operation, WIRE_DELETE),
                                       key, sizeof key))
                put_key(key, NULL, 0);
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

static void put_item(GByteArray *out, const char *key, const struct item *item)
{
    lmn_cbor_put_map(out, 3);
    lmn_cbor_put_text(out, WIRE_KEY), lmn_cbor_put_text(out, key);
    lmn_cbor_put_text(out, WIRE_VALUE),
        g_byte_array_append(out, item->value->data, item->value->len);
    lmn_cbor_put_text(out, WIRE_VERSION), lmn_cbor_put_uint(out, item->revision);
}

struct listing {
    GByteArray *items;
    size_t count;
};

static gboolean list_item(gpointer key, gpointer value, gpointer listing_arg)
{
    struct listing *listing = listing_arg;
    if (((struct item *)value)->value) {
        put_item(listing->items, key, value);
        listing->count++;
    }
    return FALSE;
}

static const char *query(struct MHD_Connection *connection, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : "";
}

static int handle_watch(struct MHD_Connection *connection, GByteArray *out)
{
    uint64_t after = g_ascii_strtoull(query(connection, WIRE_QUERY_AFTER), NULL, 10);
    struct timespec deadline =
        lmn_time_add(lmn_now(), atof(query(connection, WIRE_QUERY_WAIT_MS)) / 1000);
    size_t event_count = 0;

    while (revision <= after && lmn_time_before(lmn_now(), deadline)) {
        lmn_cond_wait_for(&changed, &lock, 0.05);
        expire_leases();
    }
    for (guint i = 0; i < events->len; i++)
        event_count += ((struct event *)events->pdata[i])->revision > after;
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_REVISION), lmn_cbor_put_uint(out, revision);
    lmn_cbor_put_text(out, WIRE_EVENTS), lmn_cbor_put_array(out, event_count);
    for (guint i = 0; i < events->len; i++) {
        const struct event *event = events->pdata[i];
        if (event->revision <= after)
            continue;
        lmn_cbor_put_map(out, event->value ? 3 : 2);
        lmn_cbor_put_text(out, event->value ? WIRE_PUT : WIRE_DELETE),
            lmn_cbor_put_text(out, event->key);
        lmn_cbor_put_text(out, WIRE_VERSION), lmn_cbor_put_uint(out, event->revision);
        if (event->value)
            lmn_cbor_put_text(out, WIRE_VALUE),
                g_byte_array_append(out, event->value->data, event->value->len);
    }
    return 200;
}

static int handle_store_request(struct MHD_Connection *connection, const char *path,
                                const char *method,
                                const struct lmn_cbor_document *document, GByteArray *out)
{
    bool is_post = !strcmp(method, "POST");
    expire_leases();
    if (is_store_unavailable)
        return 503;
    if (is_post && !strcmp(path, WIRE_PATH_TXN))
        return handle_txn(document, out);
    if (!strcmp(path, WIRE_PATH_WATCH))
        return handle_watch(connection, out);
    if (is_post && !strcmp(path, WIRE_PATH_LEASES)) {
        uint64_t ttl = 1000;
        lmn_cbor_get_uint(lmn_cbor_get(document, lmn_cbor_root(document), WIRE_TTL_MS),
                          &ttl);
        struct lease lease = {++last_lease, (double)ttl / 1000, {0, 0}};
        lease.expires_at = lmn_time_add(lmn_now(), lease.ttl_s);
        g_array_append_val(leases, lease);
        lmn_cbor_put_map(out, 1);
        lmn_cbor_put_text(out, WIRE_LEASE), lmn_cbor_put_uint(out, lease.id);
        return 200;
    }
    if (is_post && g_str_has_prefix(path, WIRE_PATH_LEASES "/")) {
        struct lease *lease =
            find_lease(g_ascii_strtoull(path + strlen(WIRE_PATH_LEASES "/"), NULL, 10));
        if (lease)
            lease->expires_at = lmn_time_add(lmn_now(), lease->ttl_s);
        return lease ? 200 : 404;
    }
    if (!strcmp(path, WIRE_PATH_STORE)) {
        struct listing listing = {g_byte_array_new(), 0};
        g_tree_foreach(store, list_item, &listing);
        lmn_cbor_put_map(out, 3);
        lmn_cbor_put_text(out, WIRE_REVISION), lmn_cbor_put_uint(out, revision);
        lmn_cbor_put_text(out, WIRE_HAS_MORE), lmn_cbor_put_bool(out, false);
        lmn_cbor_put_text(out, WIRE_ITEMS), lmn_cbor_put_array(out, listing.count);
        g_byte_array_append(out, listing.items->data, listing.items->len);
        return 200;
    }
    if (g_str_has_prefix(path, WIRE_PATH_STORE "/")) {
        struct item *item = g_tree_lookup(store, path + strlen(WIRE_PATH_STORE "/"));
        if (!item || !item->value)
            return 404;
        put_item(out, path + strlen(WIRE_PATH_STORE "/"), item);
        return 200;
    }
    return 400;
}

/* --- stand-ins for the workers --- */

struct attempt {
    char task[64];
    uint64_t number;
    enum { RUNNING, ENDED, FREE } state;
    bool is_done;
    struct timespec ends_at;
};

struct machine {
    char name[16], address[32];
    bool is_terminated;
    uint64_t incarnation, sequence, fencing_token;
    struct timespec answered_at; /* when the last answered heartbeat was sent */
    struct attempt attempts[MAX_ATTEMPTS];
};

static struct machine machines[MAX_MACHINES];
static int machine_count;
static unsigned duplicate_starts, start_count, provisioned_count;
static int ports[CONTROLLERS][2], state_port, cloud_port;

static void write_heartbeat(struct machine *machine, GByteArray *body)
{
    size_t attempt_count = 0;
    for (int i = 0; i < MAX_ATTEMPTS; i++)
        attempt_count += machine->attempts[i].state != FREE;
    lmn_cbor_put_map(body, 9);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, machine->name);
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, machine->address);
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "small");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "a");
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, false);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(body, machine->incarnation);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, ++machine->sequence);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN),
        lmn_cbor_put_uint(body, machine->fencing_token);
    lmn_cbor_put_text(body, WIRE_TASKS), lmn_cbor_put_array(body, attempt_count);
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
        const struct attempt *attempt = &machine->attempts[i];
        if (attempt->state == FREE)
            continue;
        lmn_cbor_put_map(body, 4);
        lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, attempt->task);
        lmn_cbor_put_text(body, WIRE_ATTEMPT), lmn_cbor_put_uint(body, attempt->number);
        lmn_cbor_put_text(body, WIRE_STATE),
            lmn_cbor_put_text(body,
                              attempt->state == RUNNING ? WIRE_RUNNING : WIRE_ENDED);
        lmn_cbor_put_text(body, WIRE_EXIT_REASON),
            lmn_cbor_put_text(body, attempt->is_done ? WIRE_DONE : WIRE_STOPPED);
    }
}

static void run_commands(struct machine *machine,
                         const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *commands)
{
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, commands);
         node; node = lmn_cbor_next(document, node)) {
        const struct lmn_cbor_value *command = lmn_cbor_get(document, node, WIRE_COMMAND);
        struct attempt *known = NULL, *free_slot = NULL;
        char task[64] = "";
        uint64_t number = 0;
        lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TASK), task, sizeof task);
        lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_ATTEMPT), &number);
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            struct attempt *attempt = &machine->attempts[i];
            if (attempt->state == FREE)
                free_slot = attempt;
            else if (!strcmp(attempt->task, task) && attempt->number == number)
                known = attempt;
        }
        if (lmn_cbor_text_equals(command, WIRE_START) && !known && free_slot) {
            for (int k = 0; k < machine_count; k++)
                for (int i = 0; i < MAX_ATTEMPTS; i++)
                    duplicate_starts += !machines[k].is_terminated &&
                                        machines[k].attempts[i].state == RUNNING &&
                                        !strcmp(machines[k].attempts[i].task, task);
            memset(free_slot, 0, sizeof *free_slot);
            g_strlcpy(free_slot->task, task, sizeof free_slot->task);
            free_slot->number = number;
            /* Tasks of the service job run-000100 run until they are killed. */
            free_slot->ends_at =
                lmn_time_add(lmn_now(), g_str_has_prefix(task, "run-00010") ? 1e6 : 0.4);
            start_count++;
        } else if (lmn_cbor_text_equals(command, WIRE_KILL) && known &&
                   known->state == RUNNING) {
            known->state = ENDED;
        } else if (lmn_cbor_text_equals(command, WIRE_CLEAR) && known &&
                   known->state == ENDED) {
            known->state = FREE;
        }
    }
}

static void update_attempts(struct machine *machine)
{
    struct timespec now = lmn_now();
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
        struct attempt *attempt = &machine->attempts[i];
        if (attempt->state == RUNNING && lmn_time_before(attempt->ends_at, now)) {
            attempt->state = ENDED;
            attempt->is_done = true;
        }
        if (lmn_time_diff_s(now, machine->answered_at) > 6)
            attempt->state = FREE;
    }
    if (lmn_time_diff_s(now, machine->answered_at) > 6) {
        machine->incarnation++;
        machine->answered_at = now;
    }
}

static int handle_worker_request(struct machine *machine, const char *path,
                                 const struct lmn_cbor_document *document,
                                 GByteArray *out)
{
    uint64_t fencing_token = 0, incarnation = 0;
    int status = 200;

    update_attempts(machine);
    if (!strcmp(path, WIRE_PATH_COMMANDS)) {
        lmn_cbor_get_uint(
            lmn_cbor_get(document, lmn_cbor_root(document), WIRE_FENCING_TOKEN),
            &fencing_token);
        lmn_cbor_get_uint(
            lmn_cbor_get(document, lmn_cbor_root(document), WIRE_AGENT_INCARNATION),
            &incarnation);
        if (fencing_token < machine->fencing_token ||
            incarnation != machine->incarnation) {
            status = 409;
        } else {
            machine->fencing_token = fencing_token;
            run_commands(machine, document,
                         lmn_cbor_get(document, lmn_cbor_root(document), WIRE_COMMANDS));
        }
    }
    write_heartbeat(machine, out);
    return status;
}

static void *worker_thread(void *arg)
{
    struct machine *machine = arg;
    struct lmn_http_client *clients[CONTROLLERS];
    GByteArray *response = g_byte_array_new();
    int controller = (int)(machine - machines) % CONTROLLERS;

    for (int i = 0; i < CONTROLLERS; i++) {
        char address[32];
        g_snprintf(address, sizeof address, "127.0.0.1:%d", ports[i][0]);
        clients[i] = lmn_http_client_new(address);
    }
    for (;;) {
        GByteArray *heartbeat = g_byte_array_new();
        struct lmn_cbor_document document;
        pthread_mutex_lock(&lock);
        update_attempts(machine);
        uint64_t incarnation = machine->incarnation;
        write_heartbeat(machine, heartbeat);
        bool is_terminated = machine->is_terminated;
        pthread_mutex_unlock(&lock);
        if (is_terminated)
            return NULL;
        struct timespec sent_at = lmn_now();
        int status = lmn_http_client_call(clients[controller], "POST",
                                          WIRE_PATH_HEARTBEAT, heartbeat, 4, response);
        g_byte_array_unref(heartbeat);
        if (status == 200 &&
            lmn_cbor_parse(&document, response->data, response->len) == 0) {
            uint64_t fencing_token = 0;
            lmn_cbor_get_uint(
                lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_FENCING_TOKEN),
                &fencing_token);
            pthread_mutex_lock(&lock);
            if (!machine->is_terminated && fencing_token >= machine->fencing_token &&
                incarnation == machine->incarnation) {
                machine->fencing_token = fencing_token;
                machine->answered_at = sent_at;
                run_commands(
                    machine, &document,
                    lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS));
            }
            pthread_mutex_unlock(&lock);
            lmn_cbor_free(&document);
            lmn_sleep(0.3);
        } else {
            char redirect_to[32] = "";
            if (status == 421 &&
                lmn_cbor_parse(&document, response->data, response->len) == 0) {
                lmn_cbor_get_text(
                    lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_REDIRECT_TO),
                    redirect_to, sizeof redirect_to);
                lmn_cbor_free(&document);
            }
            controller =
                *redirect_to ? atoi(redirect_to + 1) : (controller + 1) % CONTROLLERS;
            lmn_sleep(*redirect_to ? 0.1 : 0.5);
        }
    }
}

/* --- HTTP servers of the stand-ins --- */

static int start_stand_in(int (*answer)(void *, struct MHD_Connection *, const char *,
                                        const char *, const struct lmn_cbor_document *,
                                        GByteArray *),
                          void *arg);

static int answer_worker(void *arg, struct MHD_Connection *connection, const char *path,
                         const char *method, const struct lmn_cbor_document *document,
                         GByteArray *out)
{
    (void)connection;
    (void)method;
    return handle_worker_request(arg, path, document, out);
}

static int answer_state(void *arg, struct MHD_Connection *connection, const char *path,
                        const char *method, const struct lmn_cbor_document *document,
                        GByteArray *out)
{
    (void)arg;
    return handle_store_request(connection, path, method, document, out);
}

static int answer_cloud(void *arg, struct MHD_Connection *connection, const char *path,
                        const char *method, const struct lmn_cbor_document *document,
                        GByteArray *out)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    (void)arg;
    (void)connection;
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
            for (int i = 0; i < machine_count; i++)
                if (lmn_cbor_text_equals(node, machines[i].name))
                    machines[i].is_terminated = true;
        lmn_cbor_put_map(out, 0);
        return 200;
    }
    if (!strcmp(method, "POST")) {
        uint64_t count = 0;
        lmn_cbor_get_uint(lmn_cbor_get(document, root, WIRE_COUNT), &count);
        count = MIN(count, (uint64_t)MIN(6 - (int)provisioned_count,
                                         MAX_MACHINES - machine_count));
        if (!count || provisioned_count >= 6) {
            lmn_cbor_put_map(out, 1);
            lmn_cbor_put_text(out, "error"), lmn_cbor_put_text(out, "no capacity");
            return 503;
        }
        lmn_cbor_put_map(out, 1);
        lmn_cbor_put_text(out, WIRE_MACHINES), lmn_cbor_put_array(out, count);
        for (uint64_t i = 0; i < count; i++) {
            struct machine *machine = &machines[machine_count];
            g_snprintf(machine->name, sizeof machine->name, "host-%06d", machine_count++);
            for (int k = 0; k < MAX_ATTEMPTS; k++)
                machine->attempts[k].state = FREE;
            machine->incarnation = 1;
            machine->answered_at = lmn_now();
            g_snprintf(machine->address, sizeof machine->address, "127.0.0.1:%d",
                       start_stand_in(answer_worker, machine));
            lmn_cbor_put_text(out, machine->name);
            lmn_thread_start_detached(worker_thread, machine);
            provisioned_count++;
        }
        return 200;
    }
    size_t listed_count = 0;
    for (int i = 0; i < machine_count; i++)
        listed_count += !machines[i].is_terminated;
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_HAS_MORE), lmn_cbor_put_bool(out, false);
    lmn_cbor_put_text(out, WIRE_MACHINES), lmn_cbor_put_array(out, listed_count);
    for (int i = 0; i < machine_count; i++) {
        if (machines[i].is_terminated)
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

static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection,
                                  const char *url, const char *method,
                                  const char *version, const char *data, size_t *size,
                                  void **state)
{
    struct stand_in *stand_in = arg;
    GByteArray *request_body = *state, *response_body;
    struct lmn_cbor_document document = {0};
    (void)version;

    if (!request_body) {
        *state = g_byte_array_new();
        return MHD_YES;
    }
    if (*size) {
        g_byte_array_append(request_body, (const guint8 *)data, (guint)*size);
        *size = 0;
        return MHD_YES;
    }
    response_body = g_byte_array_new();
    int status = 400;
    if (!request_body->len ||
        lmn_cbor_parse(&document, request_body->data, request_body->len) == 0) {
        pthread_mutex_lock(&lock);
        status = stand_in->answer(stand_in->arg, connection, url, method, &document,
                                  response_body);
        pthread_mutex_unlock(&lock);
        lmn_cbor_free(&document);
    }
    struct MHD_Response *response = MHD_create_response_from_buffer(
        response_body->len, response_body->len ? response_body->data : (void *)"",
        MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result = MHD_queue_response(connection, (unsigned)status, response);
    MHD_destroy_response(response);
    g_byte_array_unref(response_body);
    g_byte_array_unref(request_body);
    *state = NULL;
    return result;
}

static int start_stand_in(int (*answer)(void *, struct MHD_Connection *, const char *,
                                        const char *, const struct lmn_cbor_document *,
                                        GByteArray *),
                          void *arg)
{
    struct stand_in *stand_in = g_new0(struct stand_in, 1);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    stand_in->answer = answer;
    stand_in->arg = arg;
    struct MHD_Daemon *http_daemon =
        MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                         0, NULL, NULL, on_request, stand_in, MHD_OPTION_SOCK_ADDR,
                         (struct sockaddr *)&address, MHD_OPTION_END);
    assert_non_null(http_daemon);
    return MHD_get_daemon_info(http_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

/* --- controllers --- */

static pid_t pids[CONTROLLERS];
static char paths[CONTROLLERS][64];

static int free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    close(fd);
    return ntohs(address.sin_port);
}

static void start_controller(int controller)
{
    pids[controller] = fork();
    if (pids[controller] == 0) {
        execl(LMN_PROGRAM_PATH, "lemonspar", "--config", paths[controller], (char *)NULL);
        _exit(127);
    }
}

static void write_config(int controller)
{
    g_snprintf(paths[controller], sizeof paths[controller],
               "/tmp/lemonspar-test-%d-%d.toml", (int)getpid(), controller);
    FILE *file = fopen(paths[controller], "w");
    assert_non_null(file);
    fprintf(file, "host_name = 'n%d'\narea = 'a'\nclient_listen = '127.0.0.1:%d'\n",
            controller, ports[controller][0]);
    fprintf(file, "internal_addr = '127.0.0.1:%d'\n", ports[controller][1]);
    for (int other = 0; other < CONTROLLERS; other++)
        if (other != controller)
            fprintf(
                file,
                "[[members]]\nhost_name = 'n%d'\narea = 'a'\naddress = '127.0.0.1:%d'\n",
                other, ports[other][1]);
    fprintf(file, "[outside]\ncloud = '127.0.0.1:%d'\nstate = '127.0.0.1:%d'\n",
            cloud_port, state_port);
    fprintf(file,
            "[params]\ninitial_size = 3\n[[params.teams]]\nname = 't'\ncpus_max = 60.0\n"
            "[params.workers]\nreport_s = 0.4\nlease_s = 6.0\ncancel_s = 20.0\n"
            "[params.state]\nrps = 600.0\nwrite_rps = 300.0\ntxn_ops = 12\n"
            "[params.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n");
    fclose(file);
}

/* --- a user --- */

static int call_at(int controller, const char *method, const char *path,
                   const GByteArray *body, char *job_state)
{
    static struct lmn_http_client *clients[CONTROLLERS];
    GByteArray *response = g_byte_array_new();
    struct lmn_cbor_document document;

    if (!clients[controller]) {
        char address[32];
        g_snprintf(address, sizeof address, "127.0.0.1:%d", ports[controller][0]);
        clients[controller] = lmn_http_client_new(address);
    }
    int status =
        lmn_http_client_call(clients[controller], method, path, body, 5, response);
    *job_state = '\0';
    if (response->len && lmn_cbor_parse(&document, response->data, response->len) == 0) {
        lmn_cbor_get_text(lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_STATE),
                          job_state, 32);
        lmn_cbor_free(&document);
    }
    g_byte_array_unref(response);
    return status;
}

static int call_next(const char *method, const char *path, const GByteArray *body,
                     char *job_state)
{
    static int turn;

    return call_at(turn++ % CONTROLLERS, method, path, body, job_state);
}

/* Retries until the status is one of two, with another controller each time. */
static int call_until(const char *method, const char *path, const GByteArray *body,
                      int status_1, int status_2, char *job_state)
{
    struct timespec deadline = lmn_time_add(lmn_now(), TIMEOUT_S);
    int status = 0;
    while (lmn_time_before(lmn_now(), deadline)) {
        status = call_next(method, path, body, job_state);
        if (status == status_1 || status == status_2)
            return status;
        lmn_sleep(0.3);
    }
    fail_msg("%s %s: last status %d, expected %d or %d within %.0f s", method, path,
             status, status_1, status_2, TIMEOUT_S);
    return status;
}

static GByteArray *encode_job(const char *job_id, uint32_t tasks, enum lmn_job_kind kind)
{
    struct lmn_job_spec spec = {.class_name = (char *)"c",
                                .team = (char *)"t",
                                .image = (char *)"i",
                                .kind = kind,
                                .priority = LMN_PRIORITY_NORMAL,
                                .tasks = tasks,
                                .cpus = 1,
                                .memory_gb = 1,
                                .estimate_s = kind == LMN_JOB_BATCH ? 2 : 0,
                                .deadline_s = -1};
    GByteArray *body = g_byte_array_new();
    g_strlcpy(spec.id, job_id, sizeof spec.id);
    lmn_cbor_put_map(body, lmn_job_spec_pair_count());
    lmn_job_spec_write(body, &spec);
    return body;
}

static void jobs_survive_controller_failures(void **state)
{
    char job_state[32], path[64];
    GByteArray *body;
    (void)state;

    for (int k = 0; k < 6; k++) {
        g_snprintf(path, sizeof path, "run-%06d", k);
        body = encode_job(path, 20, LMN_JOB_BATCH);
        call_until("POST", WIRE_PATH_JOBS, body, 201, 200, job_state);
        g_byte_array_unref(body);
    }
    body = encode_job("run-000100", 3, LMN_JOB_SERVICE);
    call_until("POST", WIRE_PATH_JOBS, body, 201, 200, job_state);
    g_byte_array_unref(body);

    /* While the jobs run, each controller in turn is killed and restarted. */
    for (int i = 0; i < CONTROLLERS; i++) {
        lmn_sleep(1.5);
        int status;
        assert_int_equal(waitpid(pids[i], &status, WNOHANG),
                         0); /* did not exit by itself */
        kill(pids[i], SIGKILL);
        waitpid(pids[i], &status, 0);
        lmn_sleep(1.0);
        start_controller(i);
    }
    call_until("POST", WIRE_PATH_JOBS "/run-000100" WIRE_PATH_CANCEL, NULL, 200, 200,
               job_state);
    assert_string_equal(job_state, WIRE_CANCELLED);
    for (int k = 0; k < 6; k++) {
        struct timespec deadline = lmn_time_add(lmn_now(), TIMEOUT_S);
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/run-%06d", k);
        do {
            int status = call_next("GET", path, NULL, job_state);
            assert_int_not_equal(status, 404);
            lmn_sleep(0.2);
        } while (strcmp(job_state, WIRE_DONE) && lmn_time_before(lmn_now(), deadline));
        assert_string_equal(job_state, WIRE_DONE);
    }
    /* Every controller replies the final states, also when asked repeatedly. */
    for (int i = 0; i < 2 * CONTROLLERS; i++) {
        call_until("GET", WIRE_PATH_JOBS "/run-000100", NULL, 200, 404, job_state);
        assert_string_equal(job_state, WIRE_CANCELLED);
        body = encode_job("run-000000", 20, LMN_JOB_BATCH);
        assert_int_equal(call_until("POST", WIRE_PATH_JOBS, body, 200, 422, job_state),
                         200);
        assert_string_equal(job_state, WIRE_DONE);
        g_byte_array_unref(body);
    }
    pthread_mutex_lock(&lock);
    assert_true(start_count >= 6 * 20);
    assert_int_equal(duplicate_starts, 0);
    pthread_mutex_unlock(&lock);
}

static void invalid_submissions_are_refused(void **state)
{
    char job_state[32];
    GByteArray *body = g_byte_array_new();
    (void)state;

    g_byte_array_append(body, (const guint8 *)"\xa0", 1);
    assert_int_equal(call_until("POST", WIRE_PATH_JOBS, body, 400, 422, job_state), 400);
    g_byte_array_set_size(body, 70000);
    memset(body->data, 0, body->len);
    assert_int_equal(call_until("POST", WIRE_PATH_JOBS, body, 400, 201, job_state), 400);
    g_byte_array_unref(body);
    /* A job whose record exceeds the key-value store's value size. */
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
    body = g_byte_array_new();
    lmn_cbor_put_map(body, lmn_job_spec_pair_count());
    lmn_job_spec_write(body, &large);
    assert_int_equal(call_until("POST", WIRE_PATH_JOBS, body, 400, 422, job_state), 400);
    g_byte_array_unref(body);
    for (int i = 0; i < 250; i++)
        g_free(types[i]);
    /* A service whose 61 replicas exceed the team's limit of 60 CPUs. */
    body = encode_job("run-000200", 61, LMN_JOB_SERVICE);
    assert_int_equal(call_until("POST", WIRE_PATH_JOBS, body, 422, 201, job_state), 422);
    g_byte_array_unref(body);
    call_until("GET", WIRE_PATH_JOBS "/run-000200", NULL, 404, 404, job_state);
    call_until("GET", WIRE_PATH_JOBS "/nonsense", NULL, 404, 404, job_state);
}

/* --- each kind of request, at each controller --- */

enum request_kind {
    STATUS,
    CANCEL,
    SUBMIT,
    SUBMIT_MISSING_FIELD,
    SUBMIT_INFEASIBLE,
    REQUEST_KINDS
};

static GByteArray *submission_body(enum request_kind kind, const char *job_id)
{
    GByteArray *body =
        encode_job(job_id, kind == SUBMIT_INFEASIBLE ? 61 : 1, LMN_JOB_SERVICE);

    if (kind == SUBMIT_MISSING_FIELD) {
        g_byte_array_set_size(body, 0);
        lmn_cbor_put_map(body, 1);
        lmn_cbor_put_text(body, WIRE_JOB_ID), lmn_cbor_put_text(body, job_id);
    }
    return body;
}

static int send_request(int controller, enum request_kind kind, const char *job_id,
                        char *job_state)
{
    char path[96];

    if (kind <= CANCEL) {
        g_snprintf(path, sizeof path, WIRE_PATH_JOBS "/%s%s", job_id,
                   kind == CANCEL ? WIRE_PATH_CANCEL : "");
        return call_at(controller, kind == CANCEL ? "POST" : "GET", path, NULL,
                       job_state);
    }
    GByteArray *body = submission_body(kind, job_id);
    int status = call_at(controller, "POST", WIRE_PATH_JOBS, body, job_state);
    g_byte_array_unref(body);
    return status;
}

/* Sends each kind of request for the job, and retries while the status is 503 unless that
 * is expected. expected_state is the job state in replies with status 200; NULL: any. */
static void expect_statuses(int controller, const char *job_id,
                            const int expected_status[REQUEST_KINDS],
                            const char *expected_state)
{
    char job_state[32];

    for (enum request_kind kind = 0; kind < REQUEST_KINDS; kind++) {
        struct timespec deadline = lmn_time_add(lmn_now(), TIMEOUT_S);
        int actual_status = send_request(controller, kind, job_id, job_state);
        while (actual_status == 503 && expected_status[kind] != 503 &&
               lmn_time_before(lmn_now(), deadline)) {
            lmn_sleep(0.2);
            actual_status = send_request(controller, kind, job_id, job_state);
        }
        if (actual_status != expected_status[kind])
            fail_msg("controller n%d, job %s, request kind %d: status %d, expected %d",
                     controller, job_id, kind, actual_status, expected_status[kind]);
        if (actual_status == 200 && expected_state)
            assert_string_equal(job_state, expected_state);
    }
}

static void set_store_unavailable(bool is_unavailable)
{
    pthread_mutex_lock(&lock);
    is_store_unavailable = is_unavailable;
    pthread_mutex_unlock(&lock);
}

static void expect_invalid_requests_refused(int controller)
{
    char job_state[32];
    GByteArray *body = g_byte_array_new();

    assert_int_equal(send_request(controller, STATUS, "nonsense", job_state), 404);
    assert_int_equal(send_request(controller, CANCEL, "nonsense", job_state), 404);
    assert_int_equal(
        send_request(controller, SUBMIT_MISSING_FIELD, "nonsense", job_state), 400);
    g_byte_array_append(body, (const guint8 *)"\xff", 1);
    assert_int_equal(call_at(controller, "POST", WIRE_PATH_JOBS, body, job_state), 400);
    g_byte_array_unref(body);
}

static void each_request_kind_gets_its_status(void **state)
{
    static const int ALL_OK[REQUEST_KINDS] = {200, 200, 200, 200, 200};
    static const int ALL_UNAVAILABLE[REQUEST_KINDS] = {503, 503, 503, 503, 503};
    char job_state[32];
    GByteArray *body = encode_job("run-000101", 1, LMN_JOB_SERVICE);
    (void)state;

    call_until("POST", WIRE_PATH_JOBS, body, 201, 200, job_state);
    g_byte_array_unref(body);
    for (int i = 0; i < CONTROLLERS; i++) {
        expect_statuses(i, "run-000000", ALL_OK, WIRE_DONE);
        expect_statuses(i, "run-000100", ALL_OK, WIRE_CANCELLED);
        for (enum request_kind kind = STATUS; kind < REQUEST_KINDS; kind++)
            if (kind != CANCEL)
                assert_int_equal(send_request(i, kind, "run-000101", job_state), 200);
        assert_int_equal(send_request(i, SUBMIT_MISSING_FIELD, "run-000900", job_state),
                         400);
        assert_int_equal(send_request(i, SUBMIT_INFEASIBLE, "run-000900", job_state),
                         422);
        assert_int_equal(send_request(i, CANCEL, "run-000900", job_state), 404);
        assert_int_equal(send_request(i, STATUS, "run-000900", job_state), 404);
        expect_invalid_requests_refused(i);
    }
    /* While the store is unavailable, controllers reply only final states, since no other
     * state can be confirmed. Controller 0, restarted now, knows no final states. */
    set_store_unavailable(true);
    int status;
    kill(pids[0], SIGKILL);
    waitpid(pids[0], &status, 0);
    start_controller(0);
    while (call_at(0, "GET", WIRE_PATH_READY, NULL, job_state) != 503)
        lmn_sleep(0.05);
    for (int i = 0; i < CONTROLLERS; i++) {
        expect_statuses(i, "run-000000", i ? ALL_OK : ALL_UNAVAILABLE, WIRE_DONE);
        expect_statuses(i, "run-000101", ALL_UNAVAILABLE, NULL);
        expect_statuses(i, "run-000900", ALL_UNAVAILABLE, NULL);
        expect_invalid_requests_refused(i);
    }
    lmn_sleep(4); /* until the watch caches are stalled */
    for (int i = 0; i < CONTROLLERS; i++) {
        expect_statuses(i, "run-000000", i ? ALL_OK : ALL_UNAVAILABLE, WIRE_DONE);
        expect_statuses(i, "run-000101", ALL_UNAVAILABLE, NULL);
        expect_statuses(i, "run-000900", ALL_UNAVAILABLE, NULL);
    }
    set_store_unavailable(false);
    for (int i = 0; i < CONTROLLERS; i++) {
        expect_statuses(i, "run-000000", ALL_OK, WIRE_DONE);
        expect_statuses(i, "run-000101", ALL_OK, i ? WIRE_CANCELLED : NULL);
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
    state_port = start_stand_in(answer_state, NULL);
    cloud_port = start_stand_in(answer_cloud, NULL);
    for (int i = 0; i < CONTROLLERS; i++) {
        ports[i][0] = free_port();
        ports[i][1] = free_port();
    }
    for (int i = 0; i < CONTROLLERS; i++) {
        write_config(i);
        start_controller(i);
    }
    return 0;
}

static int teardown(void **state)
{
    (void)state;
    for (int i = 0; i < CONTROLLERS; i++) {
        kill(pids[i], SIGKILL);
        waitpid(pids[i], NULL, 0);
        unlink(paths[i]);
    }
    return 0;
}

/* The stand-ins are not freed before the process exits. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(invalid_submissions_are_refused),
        cmocka_unit_test(jobs_survive_controller_failures),
        cmocka_unit_test(each_request_kind_gets_its_status),
    };
    return cmocka_run_group_tests(tests, setup, teardown);
}
