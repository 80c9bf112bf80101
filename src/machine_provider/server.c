#include "util/token_bucket.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "machine_provider/cloud_api.h"

#include <stdlib.h>
#include <string.h>

enum { MAX_BODY = 64 * 1024, HANDS = 4 };

struct front {
    const struct lmn_machine_provider_ops *ops;
    void *arg;
    struct lmn_token_bucket budget; /* the server thread's */
    uint64_t requests, limited;
    pthread_mutex_t lock; /* of calls */
    pthread_cond_t more;
    GQueue calls; /* rentals and returns, which may wait for processes */
};

static void put_type(void *to, const struct lmn_machine_type *t)
{
    GByteArray *b = to;

    lmn_cbor_put_map(b, 10);
    lmn_cbor_put_text(b, WIRE_TYPE_NAME), lmn_cbor_put_text(b, t->name);
    lmn_cbor_put_text(b, WIRE_CPUS), lmn_cbor_put_number(b, t->cpus);
    lmn_cbor_put_text(b, WIRE_GPUS), lmn_cbor_put_number(b, t->gpus);
    lmn_cbor_put_text(b, WIRE_MEMORY_GB), lmn_cbor_put_number(b, t->mem);
    lmn_cbor_put_text(b, WIRE_CACHE_GB), lmn_cbor_put_number(b, t->cache_gb);
    lmn_cbor_put_text(b, WIRE_PULL_GB_PER_S), lmn_cbor_put_number(b, t->pull);
    lmn_cbor_put_text(b, WIRE_PRICE), lmn_cbor_put_number(b, t->rate);
    lmn_cbor_put_text(b, WIRE_SPOT_PRICE), lmn_cbor_put_number(b, t->spot_rate);
    lmn_cbor_put_text(b, WIRE_BOOT_S), lmn_cbor_put_number(b, t->ready_s);
    lmn_cbor_put_text(b, WIRE_ZONES), lmn_cbor_put_array(b, (size_t)t->nzones);
    for (int i = 0; i < t->nzones; i++)
        lmn_cbor_put_text(b, t->zones[i]);
}

struct counted {
    GByteArray *bytes;
    size_t n, most;
    bool more;
};

static void count_type(void *to, const struct lmn_machine_type *t)
{
    struct counted *c = to;
    put_type(c->bytes, t);
    c->n++;
}

static void types(struct front *f, struct lmn_http_request *call)
{
    struct counted c = {.bytes = g_byte_array_new()};
    GByteArray *b = g_byte_array_new();

    f->ops->types(f->arg, count_type, &c);
    lmn_cbor_put_map(b, 1);
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPES), lmn_cbor_put_array(b, c.n);
    g_byte_array_append(b, c.bytes->data, c.bytes->len);
    g_byte_array_unref(c.bytes);
    lmn_http_request_respond(call, 200, b, 0);
}

static bool put_machine(void *to, const struct lmn_rented_machine *m)
{
    struct counted *c = to;
    GByteArray *b = c->bytes;

    if (c->n == c->most) {
        c->more = true;
        return false;
    }
    c->n++;
    lmn_cbor_put_map(b, 7);
    lmn_cbor_put_text(b, WIRE_JOB_ID), lmn_cbor_put_text(b, m->name);
    lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, m->addr);
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, m->type);
    lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, m->zone);
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, m->spot);
    lmn_cbor_put_text(b, WIRE_STATE), lmn_cbor_put_text(b, m->state);
    lmn_cbor_put_text(b, WIRE_AGE_S), lmn_cbor_put_number(b, m->age_s);
    return true;
}

static void list(struct front *f, struct lmn_http_request *call)
{
    const char *after = lmn_http_request_query(call, WIRE_QUERY_AFTER),
               *limit = lmn_http_request_query(call, WIRE_QUERY_LIMIT);
    struct counted c = {.most = limit ? (size_t)strtoul(limit, NULL, 10)
                                      : LMN_MAX_LIST_COUNT};

    if (c.most < 1 || c.most > LMN_MAX_LIST_COUNT) {
        lmn_http_request_fail(call, 400, WIRE_QUERY_LIMIT ": from 1 to 500");
        return;
    }
    c.bytes = g_byte_array_new();
    f->ops->list(f->arg, after ? after : "", put_machine, &c);
    GByteArray *b = g_byte_array_new();
    lmn_cbor_put_map(b, 2);
    lmn_cbor_put_text(b, WIRE_HAS_MORE), lmn_cbor_put_bool(b, c.more);
    lmn_cbor_put_text(b, WIRE_MACHINES), lmn_cbor_put_array(b, c.n);
    g_byte_array_append(b, c.bytes->data, c.bytes->len);
    g_byte_array_unref(c.bytes);
    lmn_http_request_respond(call, 200, b, 0);
}

/* --- what may wait --- */

static void rent(struct front *f, struct lmn_http_request *call,
                 const struct lmn_cbor_document *d)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(d);
    struct lmn_rental_request q = {0};
    uint64_t n = 0;

    if (!lmn_cbor_get_text(lmn_cbor_get(d, root, WIRE_REQUEST_ID), q.request,
                           sizeof q.request) ||
        !*q.request ||
        !lmn_cbor_get_text(lmn_cbor_get(d, root, WIRE_MACHINE_TYPE), q.type,
                           sizeof q.type) ||
        !lmn_cbor_get_text(lmn_cbor_get(d, root, WIRE_ZONE), q.zone, sizeof q.zone) ||
        !lmn_cbor_get_bool(lmn_cbor_get(d, root, WIRE_SPOT), &q.spot) ||
        !lmn_cbor_get_uint(lmn_cbor_get(d, root, WIRE_COUNT), &n) || n < 1 ||
        n > LMN_MAX_RENTAL_COUNT) {
        lmn_http_request_fail(call, 400, "malformed");
        return;
    }
    q.count = (unsigned)n;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    int status = f->ops->rent(f->arg, &q, names);
    if (status == 200) {
        GByteArray *b = g_byte_array_new();
        lmn_cbor_put_map(b, 1);
        lmn_cbor_put_text(b, WIRE_MACHINES), lmn_cbor_put_array(b, names->len);
        for (guint i = 0; i < names->len; i++)
            lmn_cbor_put_text(b, names->pdata[i]);
        lmn_http_request_respond(call, 200, b, 0);
    } else {
        lmn_http_request_fail(call, status, status == 503 ? "no capacity" : "malformed");
    }
    g_ptr_array_free(names, TRUE);
}

static void give_back(struct front *f, struct lmn_http_request *call,
                      const struct lmn_cbor_document *d)
{
    const struct lmn_cbor_value *l = lmn_cbor_get(d, lmn_cbor_root(d), WIRE_MACHINES);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    char name[LMN_NAME_SIZE];
    int status =
        l && l->type == LMN_CBOR_ARRAY && l->len <= LMN_MAX_RETURN_COUNT ? 200 : 400;

    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(d, l); n && status == 200;
         n = lmn_cbor_next(d, n)) {
        if (lmn_cbor_get_text(n, name, sizeof name))
            g_ptr_array_add(names, g_strdup(name));
        else
            status = 400;
    }
    if (status == 200)
        status = f->ops->give_back(f->arg, (char *const *)names->pdata, names->len);
    g_ptr_array_free(names, TRUE);
    if (status != 200) {
        lmn_http_request_fail(call, status, status == 503 ? "trouble" : "malformed");
        return;
    }
    GByteArray *b = g_byte_array_new();
    lmn_cbor_put_map(b, 0);
    lmn_http_request_respond(call, 200, b, 0);
}

static void *hand(void *arg)
{
    struct front *f = arg;

    for (;;) {
        struct lmn_cbor_document d;
        pthread_mutex_lock(&f->lock);
        while (!f->calls.head)
            pthread_cond_wait(&f->more, &f->lock);
        struct lmn_http_request *call = g_queue_pop_head(&f->calls);
        pthread_mutex_unlock(&f->lock);
        const GByteArray *body = lmn_http_request_body(call);
        if (lmn_cbor_parse(&d, body->data, body->len) != 0) {
            lmn_http_request_fail(call, 400, "malformed");
            continue;
        }
        if (!strcmp(lmn_http_request_path(call), WIRE_PATH_RETURN))
            give_back(f, call, &d);
        else
            rent(f, call, &d);
        lmn_cbor_free(&d);
    }
    return NULL;
}

static void metrics(void *arg, GString *out)
{
    struct front *f = arg;

    lmn_counter(out, "lemonspar_fleet_requests", "Requests", f->requests);
    lmn_counter(out, "lemonspar_fleet_limited", "Requests answered 429", f->limited);
    f->ops->metrics(f->arg, out);
}

static void route(void *arg, struct lmn_http_request *call)
{
    struct front *f = arg;
    const char *path = lmn_http_request_path(call);
    bool get = lmn_http_request_method(call) == LMN_HTTP_GET,
         post = lmn_http_request_method(call) == LMN_HTTP_POST;
    bool waits =
        post && (!strcmp(path, WIRE_PATH_MACHINES) || !strcmp(path, WIRE_PATH_RETURN));
    bool reads = get && (!strcmp(path, WIRE_PATH_MACHINE_TYPES) ||
                         !strcmp(path, WIRE_PATH_MACHINES));

    if (get && !strcmp(path, "/metrics")) {
        lmn_metrics_answer(call, metrics, f);
        return;
    }
    if (get && !strcmp(path, WIRE_PATH_READY)) {
        lmn_http_request_respond(call, 200, NULL, 0);
        return;
    }
    if (!waits && !reads) {
        if (!f->ops->other || !f->ops->other(f->arg, call))
            lmn_http_request_respond(call, 404, NULL, 0);
        return;
    }
    f->requests++;
    if (f->budget.rate > 0 && lmn_token_bucket_take(&f->budget, 1, lmn_now()) > 0) {
        f->limited++;
        lmn_http_request_respond(call, 429, NULL, 1);
    } else if (waits) {
        lmn_http_request_defer(call);
        pthread_mutex_lock(&f->lock);
        g_queue_push_tail(&f->calls, call);
        pthread_cond_signal(&f->more);
        pthread_mutex_unlock(&f->lock);
    } else if (!strcmp(path, WIRE_PATH_MACHINE_TYPES)) {
        types(f, call);
    } else {
        list(f, call);
    }
}

struct lmn_http_server *
lmn_machine_provider_serve(const char *listen, double rps,
                           const struct lmn_machine_provider_ops *ops, void *arg)
{
    struct front *f = g_new0(struct front, 1);
    const struct lmn_http_server_options o = {.listen = listen,
                                              .connections = 1024,
                                              .max_body = MAX_BODY,
                                              .route = route,
                                              .arg = f};

    f->ops = ops;
    f->arg = arg;
    lmn_token_bucket_init(&f->budget, rps, MAX(2 * rps, 1), lmn_now());
    pthread_mutex_init(&f->lock, NULL);
    lmn_cond_init(&f->more);
    for (int i = 0; i < HANDS; i++)
        lmn_thread(hand, f);
    return lmn_http_server_start(&o);
}
