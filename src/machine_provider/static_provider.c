#include "machine_provider/static_provider.h"
#include "util/clock.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "kv_store/db.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A machine that dies so often in a row is called failed; it is still tried now and then.
 */
enum { FAILED_DEATHS = 8 };
static const double END_S = 10, SLOT_SEEN_S = 10;
/* A request is asked again within minutes, or never. */
static const double REQUEST_KEPT_S = 86400;

struct machine {
    char name[LMN_NAME_SIZE], zone[LMN_NAME_SIZE], slot[LMN_NAME_SIZE],
        addr[LMN_ADDRESS_SIZE];
    int type;
    bool spot, up, ending;
    double at; /* the time of day of its rental */
    struct lmn_backoff backoff;
};

/* What a slot last said. */
struct seen {
    struct timespec when;
    uint64_t seq, said; /* its number, which rises; how often it has said something */
    char holds[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
};

struct lmn_static_provider {
    const struct lmn_inventory *v;
    const struct lmn_local_agent_options *o;
    struct lmn_db *db;
    pthread_mutex_t order; /* of rentals and returns, which write; taken first */
    pthread_mutex_t lock;  /* of what follows; short */
    pthread_cond_t slot_said;
    GTree *machines;   /* name -> struct machine */
    GHashTable *slots; /* name -> struct seen */
    uint64_t number;   /* of the next machine */
    uint64_t starts, refused, rentals, returns;
};

static gint by_name(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

/* --- the database: machine/NAME, request/NAME, number --- */

static GByteArray *machine_record(const struct lmn_static_provider *s,
                                  const struct machine *machine)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 5);
    lmn_cbor_put_text(buffer, "type"),
        lmn_cbor_put_text(buffer, s->v->types[machine->type].name);
    lmn_cbor_put_text(buffer, "zone"), lmn_cbor_put_text(buffer, machine->zone);
    lmn_cbor_put_text(buffer, "spot"), lmn_cbor_put_bool(buffer, machine->spot);
    lmn_cbor_put_text(buffer, "slot"), lmn_cbor_put_text(buffer, machine->slot);
    lmn_cbor_put_text(buffer, "at"), lmn_cbor_put_number(buffer, machine->at);
    return buffer;
}

struct write {
    GArray *changes; /* struct lmn_db_change */
    GPtrArray *bytes;
};

static void write_begin(struct write *w)
{
    w->changes = g_array_new(FALSE, TRUE, sizeof(struct lmn_db_change));
    w->bytes = g_ptr_array_new_with_free_func(g_free);
}

/* value NULL: removed; taken over. */
static void write_add(struct write *w, const char *prefix, const char *name,
                      GByteArray *value)
{
    struct lmn_db_change c = {0};
    char *key = g_strconcat(prefix, name, NULL);

    g_ptr_array_add(w->bytes, key);
    c.key = key;
    if (value) {
        c.len = value->len;
        c.value = g_byte_array_free(value, FALSE);
        g_ptr_array_add(w->bytes, (gpointer)c.value);
    }
    g_array_append_val(w->changes, c);
}

static bool write_end(struct lmn_static_provider *s, struct write *w)
{
    const struct lmn_db_txn t = {NULL, (struct lmn_db_change *)(void *)w->changes->data,
                                 0, w->changes->len};
    char err[256];
    uint64_t revision;
    bool ok = false;
    struct lmn_db_batch *batch = lmn_db_begin(s->db, err, sizeof err);

    if (batch) {
        lmn_db_apply(batch, &t, &revision, NULL);
        int rc = lmn_db_commit(batch, err, sizeof err);
        if (rc == -2) {
            lmn_error("database_failed why=\"%s\"", err);
            _exit(1);
        }
        ok = rc == 0;
    }
    if (!ok)
        lmn_error("record_write_failed why=\"%s\"", err);
    g_array_free(w->changes, TRUE);
    g_ptr_array_free(w->bytes, TRUE);
    return ok;
}

static bool read_machine(void *arg, const struct lmn_db_item *item)
{
    struct lmn_static_provider *s = arg;
    struct machine *machine = g_new0(struct machine, 1);
    char type[LMN_NAME_SIZE] = "";
    struct lmn_cbor_document d;

    g_strlcpy(machine->name, item->key + strlen("machine/"), sizeof machine->name);
    if (lmn_cbor_parse(&d, item->value, item->len) == 0) {
        const struct lmn_cbor_value *root = lmn_cbor_root(&d);
        lmn_cbor_get_text(lmn_cbor_get(&d, root, "type"), type, sizeof type);
        lmn_cbor_get_text(lmn_cbor_get(&d, root, "zone"), machine->zone,
                          sizeof machine->zone);
        lmn_cbor_get_bool(lmn_cbor_get(&d, root, "spot"), &machine->spot);
        lmn_cbor_get_text(lmn_cbor_get(&d, root, "slot"), machine->slot,
                          sizeof machine->slot);
        lmn_cbor_get_number(lmn_cbor_get(&d, root, "at"), &machine->at);
        lmn_cbor_free(&d);
    }
    machine->type = lmn_inventory_type(s->v, type);
    if (machine->type < 0) {
        lmn_error("machine_type_unknown machine=%s type=%s", machine->name, type);
        g_free(machine);
        return true;
    }
    g_tree_insert(s->machines, machine->name, machine);
    return true;
}

/* The answer that a request got; false: it is new. */
static bool old_request(struct lmn_static_provider *s, const char *request,
                        GPtrArray *names)
{
    struct lmn_db_reader *reader = lmn_db_reader_new(s->db);
    char *escaped = g_uri_escape_string(request, NULL, FALSE);
    char *key = g_strconcat("request/", escaped, NULL), name[LMN_NAME_SIZE];
    struct lmn_db_meta meta;
    struct lmn_db_item i;
    struct lmn_cbor_document d;
    bool found = false;

    if (lmn_db_view_begin(reader, &meta) == 0) {
        found = lmn_db_get(reader, key, &i) && lmn_cbor_parse(&d, i.value, i.len) == 0;
        if (found) {
            for (const struct lmn_cbor_value *node =
                     lmn_cbor_first_child(&d, lmn_cbor_root(&d));
                 node; node = lmn_cbor_next(&d, node))
                if (lmn_cbor_get_text(node, name, sizeof name))
                    g_ptr_array_add(names, g_strdup(name));
            lmn_cbor_free(&d);
        }
        lmn_db_view_end(reader);
    }
    lmn_db_reader_free(reader);
    g_free(escaped);
    g_free(key);
    return found;
}

/* --- renting --- */

struct counting {
    int type;
    const char *zone;
    bool spot;
    unsigned n;
};

static gboolean count_one(gpointer key, gpointer v, gpointer arg)
{
    const struct machine *machine = v;
    struct counting *c = arg;
    (void)key;
    c->n += !*machine->slot && machine->type == c->type && machine->spot == c->spot &&
            !strcmp(machine->zone, c->zone);
    return FALSE;
}

static gboolean holds_slot(gpointer key, gpointer v, gpointer arg)
{
    const char **slot = arg;
    (void)key;
    if (strcmp(((struct machine *)v)->slot, slot[0]))
        return FALSE;
    slot[1] = slot[0];
    return TRUE;
}

static bool slot_free(struct lmn_static_provider *s, const struct lmn_slot *slot,
                      struct timespec now)
{
    const struct seen *seen = g_hash_table_lookup(s->slots, slot->name);
    const char *search[2] = {slot->name, NULL};

    if (!seen || *seen->holds || lmn_time_diff_s(now, seen->when) > SLOT_SEEN_S)
        return false;
    g_tree_foreach(s->machines, holds_slot, search);
    return !search[1];
}

static struct machine *new_machine(struct lmn_static_provider *s,
                                   const struct lmn_rental_request *q, int type,
                                   const char *slot)
{
    struct machine *machine = g_new0(struct machine, 1);

    g_snprintf(machine->name, sizeof machine->name, "host-%06" G_GUINT64_FORMAT,
               s->number++);
    g_strlcpy(machine->zone, q->zone, sizeof machine->zone);
    g_strlcpy(machine->slot, slot, sizeof machine->slot);
    machine->type = type;
    machine->spot = q->is_spot;
    machine->at = lmn_time_seconds(lmn_wall_clock_now());
    return machine;
}

/* What can be had of it, up to the count. */
static GPtrArray *choose(struct lmn_static_provider *s,
                         const struct lmn_rental_request *q, int type)
{
    struct counting c = {type, q->zone, q->is_spot, 0};
    GPtrArray *got = g_ptr_array_new();
    struct timespec now = lmn_now();
    unsigned all = 0;

    pthread_mutex_lock(&s->lock);
    for (unsigned i = 0; i < s->v->pool_count; i++) {
        const struct lmn_pool *pool = &s->v->pools[i];
        if (pool->type == type && pool->spot == q->is_spot &&
            !strcmp(pool->zone, q->zone))
            all += pool->count;
    }
    g_tree_foreach(s->machines, count_one, &c);
    while (got->len < q->count && c.n + got->len < all)
        g_ptr_array_add(got, new_machine(s, q, type, ""));
    for (unsigned i = 0; i < s->v->slot_count && got->len < q->count; i++) {
        const struct lmn_slot *slot = &s->v->slots[i];
        if (slot->type == type && slot->spot == q->is_spot &&
            !strcmp(slot->zone, q->zone) && slot_free(s, slot, now))
            g_ptr_array_add(got, new_machine(s, q, type, slot->name));
    }
    s->refused += !got->len;
    pthread_mutex_unlock(&s->lock);
    return got;
}

static bool record_rental(struct lmn_static_provider *s,
                          const struct lmn_rental_request *q, GPtrArray *got)
{
    struct write w;
    GByteArray *names = g_byte_array_new(), *number = g_byte_array_new();
    char *escaped = g_uri_escape_string(q->request, NULL, FALSE);

    write_begin(&w);
    lmn_cbor_put_array(names, 1 + got->len);
    lmn_cbor_put_number(names, lmn_time_seconds(lmn_wall_clock_now()));
    for (guint i = 0; i < got->len; i++) {
        const struct machine *machine = got->pdata[i];
        lmn_cbor_put_text(names, machine->name);
        write_add(&w, "machine/", machine->name, machine_record(s, machine));
    }
    write_add(&w, "request/", escaped, names);
    lmn_cbor_put_uint(number, s->number);
    write_add(&w, "number", "", number);
    g_free(escaped);
    return write_end(s, &w);
}

static void start(struct lmn_static_provider *s, struct machine *machine)
{
    char err[256];

    lmn_backoff_started(&machine->backoff, lmn_now());
    if (lmn_local_agent_start(s->o, machine->name, &s->v->types[machine->type],
                              machine->zone, machine->spot, err, sizeof err) != 0)
        lmn_error("start_failed machine=%s why=\"%s\"", machine->name, err);
    s->starts++;
}

static int rent(void *arg, const struct lmn_rental_request *q, GPtrArray *names)
{
    struct lmn_static_provider *s = arg;
    int type = lmn_inventory_type(s->v, q->type), status = 200;

    if (type < 0 || strlen(q->request) > 60)
        return 400;
    pthread_mutex_lock(&s->order);
    if (!old_request(s, q->request, names)) {
        GPtrArray *got = choose(s, q, type);
        status = got->len && record_rental(s, q, got) ? 200 : 503;
        for (guint i = 0; i < got->len; i++) {
            struct machine *machine = got->pdata[i];
            if (status != 200) {
                g_free(machine);
                continue;
            }
            g_ptr_array_add(names, g_strdup(machine->name));
            if (!*machine->slot)
                start(s, machine);
            lmn_info("machine_provisioned machine=%s type=%s zone=%s spot=%d slot=%s",
                     machine->name, q->type, q->zone, q->is_spot,
                     *machine->slot ? machine->slot : "-");
            pthread_mutex_lock(&s->lock);
            g_tree_insert(s->machines, machine->name, machine);
            s->rentals++;
            pthread_mutex_unlock(&s->lock);
        }
        g_ptr_array_free(got, TRUE);
    }
    pthread_mutex_unlock(&s->order);
    return status;
}

/* --- returning --- */

/* Only what the slot says from now on counts: what it said before may be older than the
 * answer that told it to be the machine. */
static bool slot_gone(struct lmn_static_provider *s, const char *slot,
                      const char *machine)
{
    struct timespec end = lmn_time_add(lmn_now(), END_S);
    bool gone = false;

    pthread_mutex_lock(&s->lock);
    const struct seen *before = g_hash_table_lookup(s->slots, slot);
    uint64_t said = before ? before->said : 0;
    for (;;) {
        const struct seen *seen = g_hash_table_lookup(s->slots, slot);
        gone = seen && seen->said > said && strcmp(seen->holds, machine);
        if (gone || lmn_time_before(end, lmn_now()))
            break;
        lmn_cond_wait_for(&s->slot_said, &s->lock, 0.5);
    }
    pthread_mutex_unlock(&s->lock);
    return gone;
}

/* The machine of the name, from now on ending; NULL: unknown. */
static struct machine *mark_ending(struct lmn_static_provider *s, const char *name)
{
    pthread_mutex_lock(&s->lock);
    struct machine *machine = g_tree_lookup(s->machines, name);
    if (machine)
        machine->ending = true;
    pthread_mutex_unlock(&s->lock);
    return machine;
}

static int give_back(void *arg, char *const *names, unsigned n)
{
    struct lmn_static_provider *s = arg;
    GPtrArray *gone = g_ptr_array_new();
    struct write w;
    int status = 200;

    pthread_mutex_lock(&s->order);
    write_begin(&w);
    for (unsigned i = 0; i < n; i++) {
        struct machine *machine = mark_ending(s, names[i]);
        if (!machine)
            continue;
        /* Only this thread frees it, which holds the order. */
        bool ok = *machine->slot ? slot_gone(s, machine->slot, machine->name)
                                 : lmn_local_agent_end(s->o, machine->name, END_S);
        lmn_info("machine_returned machine=%s gone=%d", machine->name, ok);
        if (!ok) {
            status = 503; /* it can't be told that it is gone */
            continue;
        }
        write_add(&w, "machine/", machine->name, NULL);
        g_ptr_array_add(gone, machine);
    }
    if (!write_end(s, &w))
        status = 503; /* its slot is taken until the next try; nothing runs there */
    for (guint i = 0; i < gone->len && status == 200; i++) {
        struct machine *machine = gone->pdata[i];
        pthread_mutex_lock(&s->lock);
        g_tree_remove(s->machines, machine->name);
        s->returns++;
        pthread_mutex_unlock(&s->lock);
        g_free(machine);
    }
    g_ptr_array_free(gone, TRUE);
    pthread_mutex_unlock(&s->order);
    return status;
}

/* --- looking --- */

static void types(void *arg, void (*each)(void *to, const struct lmn_machine_type *type),
                  void *to)
{
    const struct lmn_static_provider *s = arg;
    for (unsigned i = 0; i < s->v->type_count; i++)
        each(to, &s->v->types[i]);
}

struct look {
    struct lmn_static_provider *s;
    const char *after;
    bool (*each)(void *to, const struct lmn_rented_machine *m);
    void *to;
    double now;
};

static gboolean look_at(gpointer key, gpointer v, gpointer arg)
{
    const struct machine *machine = v;
    struct look *l = arg;
    struct lmn_rented_machine x = {.is_spot = machine->spot,
                                   .age_s = MAX(l->now - machine->at, 0)};

    if (strcmp(key, l->after) <= 0)
        return FALSE;
    g_strlcpy(x.name, machine->name, sizeof x.name);
    g_strlcpy(x.address, machine->addr, sizeof x.address);
    g_strlcpy(x.type, l->s->v->types[machine->type].name, sizeof x.type);
    g_strlcpy(x.zone, machine->zone, sizeof x.zone);
    x.state = machine->up                                ? WIRE_RUNNING
              : machine->backoff.deaths >= FAILED_DEATHS ? WIRE_BROKEN
                                                         : WIRE_BOOTING;
    return !l->each(l->to, &x);
}

static void list(void *arg, const char *after,
                 bool (*each)(void *to, const struct lmn_rented_machine *m), void *to)
{
    struct lmn_static_provider *s = arg;
    struct look l = {s, after, each, to, lmn_time_seconds(lmn_wall_clock_now())};

    pthread_mutex_lock(&s->lock);
    g_tree_foreach(s->machines, look_at, &l);
    pthread_mutex_unlock(&s->lock);
}

static void metrics(void *arg, GString *out)
{
    struct lmn_static_provider *s = arg;

    pthread_mutex_lock(&s->lock);
    lmn_metric_gauge(out, "lemonspar_fleet_machines", "Machines rented",
                     g_tree_nnodes(s->machines));
    lmn_metric_counter(out, "lemonspar_fleet_rented", "Machines rented out", s->rentals);
    lmn_metric_counter(out, "lemonspar_fleet_returned", "Machines returned", s->returns);
    lmn_metric_counter(out, "lemonspar_fleet_starts", "Starts of agents", s->starts);
    lmn_metric_counter(out, "lemonspar_fleet_refused",
                       "Rentals refused for want of machines", s->refused);
    pthread_mutex_unlock(&s->lock);
}

/* --- slots: POST /slots {"Slot", "Seq", "Machine" (what it holds, or null), "Endpoint"}
 * answers
 * {"Machine"}: what it should hold, and as what --- */

static gboolean find_slot(gpointer key, gpointer v, gpointer arg)
{
    struct machine *machine = v, **found = ((gpointer *)arg)[0];
    (void)key;
    if (machine->ending || strcmp(machine->slot, ((gpointer *)arg)[1]))
        return FALSE;
    *found = machine;
    return TRUE;
}

static bool slots(void *arg, struct lmn_http_request *request)
{
    struct lmn_static_provider *s = arg;
    const GByteArray *body = lmn_http_request_body(request);
    char name[LMN_NAME_SIZE] = "";
    struct machine *machine = NULL;
    struct lmn_cbor_document d;

    if (lmn_http_request_method(request) != LMN_HTTP_POST ||
        strcmp(lmn_http_request_path(request), "/slots"))
        return false;
    if (lmn_cbor_parse(&d, body->data, body->len) != 0) {
        lmn_http_request_fail(request, 400, "not CBOR");
        return true;
    }
    const struct lmn_cbor_value *root = lmn_cbor_root(&d);
    lmn_cbor_get_text(lmn_cbor_get(&d, root, "Slot"), name, sizeof name);
    const struct lmn_slot *slot = lmn_inventory_slot(s->v, name);
    if (!slot) {
        lmn_http_request_fail(request, 404, "the inventory names no such machine");
        lmn_cbor_free(&d);
        return true;
    }
    pthread_mutex_lock(&s->lock);
    struct seen *seen = g_hash_table_lookup(s->slots, name);
    if (!seen) {
        seen = g_new0(struct seen, 1);
        g_hash_table_insert(s->slots, g_strdup(name), seen);
    }
    uint64_t seq = 0;
    lmn_cbor_get_uint(lmn_cbor_get(&d, root, "Seq"), &seq);
    if (seq <= seen->seq) {
        /* It was given up long ago, and comes late: what it says is not so any more. */
        pthread_mutex_unlock(&s->lock);
        lmn_cbor_free(&d);
        lmn_http_request_fail(request, 409, "out of order");
        return true;
    }
    seen->seq = seq;
    seen->said++;
    seen->when = lmn_now();
    *seen->holds = *seen->addr = '\0';
    lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_MACHINE), seen->holds,
                      sizeof seen->holds);
    lmn_cbor_get_text(lmn_cbor_get(&d, root, WIRE_ADDRESS), seen->addr,
                      sizeof seen->addr);
    g_tree_foreach(s->machines, find_slot, (gpointer[]){&machine, name});
    if (machine) {
        machine->up = !strcmp(seen->holds, machine->name) && *seen->addr;
        g_strlcpy(machine->addr, seen->addr, sizeof machine->addr);
    }
    char wanted[LMN_NAME_SIZE] = "";
    if (machine)
        g_strlcpy(wanted, machine->name, sizeof wanted);
    pthread_cond_broadcast(&s->slot_said);
    pthread_mutex_unlock(&s->lock);
    lmn_cbor_free(&d);
    const struct lmn_machine_type *type = &s->v->types[slot->type];
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, 9);
    lmn_cbor_put_text(buffer, WIRE_MACHINE);
    if (*wanted)
        lmn_cbor_put_text(buffer, wanted);
    else
        lmn_cbor_put_null(buffer);
    lmn_cbor_put_text(buffer, WIRE_ZONE), lmn_cbor_put_text(buffer, slot->zone);
    lmn_cbor_put_text(buffer, WIRE_SPOT), lmn_cbor_put_bool(buffer, slot->spot);
    lmn_cbor_put_text(buffer, WIRE_MACHINE_TYPE), lmn_cbor_put_text(buffer, type->name);
    lmn_cbor_put_text(buffer, WIRE_CPUS), lmn_cbor_put_number(buffer, type->cpus);
    lmn_cbor_put_text(buffer, WIRE_GPUS), lmn_cbor_put_number(buffer, type->gpus);
    lmn_cbor_put_text(buffer, WIRE_MEMORY_GB),
        lmn_cbor_put_number(buffer, type->memory_gb);
    lmn_cbor_put_text(buffer, WIRE_CACHE_GB), lmn_cbor_put_number(buffer, type->cache_gb);
    lmn_cbor_put_text(buffer, WIRE_PULL_GB_PER_S),
        lmn_cbor_put_number(buffer, type->pull_gb_per_s);
    lmn_http_request_respond(request, 200, buffer, 0);
    return true;
}

const struct lmn_machine_provider_ops lmn_static_provider_ops = {
    .types = types,
    .rent = rent,
    .give_back = give_back,
    .list = list,
    .metrics = metrics,
    .other = slots,
};

/* --- watching --- */

static gboolean take_local(gpointer key, gpointer v, gpointer arg)
{
    const struct machine *machine = v;
    (void)key;
    if (!*machine->slot && !machine->ending)
        g_ptr_array_add(arg, g_strdup(machine->name));
    return FALSE;
}

static void watch_one(struct lmn_static_provider *s, const char *name)
{
    char addr[LMN_ADDRESS_SIZE];
    bool up = lmn_local_agent_is_up(s->o, name, addr), due = false;

    /* A machine that is being returned must not be started again: who returns holds the
     * order. */
    pthread_mutex_lock(&s->order);
    pthread_mutex_lock(&s->lock);
    struct machine *machine = g_tree_lookup(s->machines, name);
    if (machine && !machine->ending) {
        if (machine->up && !up)
            lmn_info("agent_exited machine=%s deaths=%u", name,
                     machine->backoff.deaths + 1);
        machine->up = up;
        g_strlcpy(machine->addr, addr, sizeof machine->addr);
        /* Just started, it needs a moment to take its lock. */
        bool young = machine->backoff.started_at.tv_sec &&
                     lmn_time_diff_s(lmn_now(), machine->backoff.started_at) < 2;
        due = !up && !young && lmn_backoff_due(&machine->backoff, lmn_now());
    }
    pthread_mutex_unlock(&s->lock);
    if (due)
        start(s, machine);
    pthread_mutex_unlock(&s->order);
}

void *lmn_static_provider_thread(void *arg)
{
    struct lmn_static_provider *s = arg;

    for (;;) {
        GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
        pthread_mutex_lock(&s->lock);
        g_tree_foreach(s->machines, take_local, names);
        pthread_mutex_unlock(&s->lock);
        for (guint i = 0; i < names->len; i++)
            watch_one(s, names->pdata[i]);
        g_ptr_array_free(names, TRUE);
        lmn_sleep(0.25);
    }
    return NULL;
}

static bool old_enough(void *arg, const struct lmn_db_item *item)
{
    GPtrArray *keys = arg;
    struct lmn_cbor_document d;
    double at = 0;

    if (lmn_cbor_parse(&d, item->value, item->len) != 0)
        return true;
    lmn_cbor_get_number(lmn_cbor_first_child(&d, lmn_cbor_root(&d)), &at);
    lmn_cbor_free(&d);
    if (lmn_time_seconds(lmn_wall_clock_now()) - at > REQUEST_KEPT_S)
        g_ptr_array_add(keys, g_strdup(item->key));
    return true;
}

/* Requests that nobody will ask again. */
static void forget_requests(struct lmn_static_provider *s, struct lmn_db_reader *reader)
{
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    struct write w;

    lmn_db_list(reader, "request/", NULL, old_enough, keys);
    write_begin(&w);
    for (guint i = 0; i < keys->len; i++)
        write_add(&w, keys->pdata[i], "", NULL);
    write_end(s, &w);
    g_ptr_array_free(keys, TRUE);
}

struct lmn_static_provider *
lmn_static_provider_new(const struct lmn_inventory *inventory,
                        const struct lmn_local_agent_options *o, const char *dir,
                        char *err, size_t len)
{
    const struct lmn_db_options d = {.dir = dir, .map_gb = 4, .create = true};
    struct lmn_db *db = lmn_db_open(&d, err, len);
    struct lmn_db_meta meta;
    struct lmn_db_item i;
    struct lmn_cbor_document doc;

    if (!db)
        return NULL;
    struct lmn_static_provider *s = g_new0(struct lmn_static_provider, 1);
    s->v = inventory;
    s->o = o;
    s->db = db;
    pthread_mutex_init(&s->order, NULL);
    pthread_mutex_init(&s->lock, NULL);
    lmn_cond_init(&s->slot_said);
    s->machines = g_tree_new_full(by_name, NULL, NULL, NULL);
    s->slots = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct lmn_db_reader *reader = lmn_db_reader_new(db);
    if (lmn_db_view_begin(reader, &meta) == 0) {
        lmn_db_list(reader, "machine/", NULL, read_machine, s);
        if (lmn_db_get(reader, "number", &i) &&
            lmn_cbor_parse(&doc, i.value, i.len) == 0) {
            lmn_cbor_get_uint(lmn_cbor_root(&doc), &s->number);
            lmn_cbor_free(&doc);
        }
        forget_requests(s, reader);
        lmn_db_view_end(reader);
    }
    lmn_db_reader_free(reader);
    lmn_info("machine_provider_started types=%u pools=%u slots=%u rented=%d",
             inventory->type_count, inventory->pool_count, inventory->slot_count,
             g_tree_nnodes(s->machines));
    return s;
}
