#include "util/token_bucket.h"
#include "util/log.h"
#include "http/metrics.h"
#include "util/thread.h"
#include "job/message_limits.h"
#include "protocol/wire.h"
#include "machine_provider/cloud_api.h"

#include <stdlib.h>
#include <string.h>

enum { HANDS = 4 };

struct front {
    const struct lmn_machine_provider_ops *ops;
    void *arg;
    struct lmn_token_bucket budget; /* the server thread's */
    uint64_t requests, limited;
    pthread_mutex_t lock; /* of calls */
    pthread_cond_t more;
    GQueue calls; /* rentals and returns, which may wait for processes */
};

static void put_type(void *to, const struct lmn_machine_type *type)
{
    GByteArray *buffer = to;

    lmn_cbor_put_map(buffer, 10);
    lmn_cbor_put_text(buffer, WIRE_TYPE_NAME), lmn_cbor_put_text(buffer, type->name);
    lmn_cbor_put_text(buffer, WIRE_CPUS), lmn_cbor_put_number(buffer, type->cpus);
    lmn_cbor_put_text(buffer, WIRE_GPUS), lmn_cbor_put_number(buffer, type->gpus);
    lmn_cbor_put_text(buffer, WIRE_MEMORY_GB),
        lmn_cbor_put_number(buffer, type->memory_gb);
    lmn_cbor_put_text(buffer, WIRE_CACHE_GB), lmn_cbor_put_number(buffer, type->cache_gb);
    lmn_cbor_put_text(buffer, WIRE_PULL_GB_PER_S),
        lmn_cbor_put_number(buffer, type->pull_gb_per_s);
    lmn_cbor_put_text(buffer, WIRE_PRICE),
        lmn_cbor_put_number(buffer, type->price_per_hour);
    lmn_cbor_put_text(buffer, WIRE_SPOT_PRICE),
        lmn_cbor_put_number(buffer, type->spot_price_per_hour);
    lmn_cbor_put_text(buffer, WIRE_BOOT_S), lmn_cbor_put_number(buffer, type->boot_s);
    lmn_cbor_put_text(buffer, WIRE_ZONES),
        lmn_cbor_put_array(buffer, (size_t)type->zone_count);
    for (int i = 0; i < type->zone_count; i++)
        lmn_cbor_put_text(buffer, type->zones[i]);
}

struct counted {
    GByteArray *bytes;
    size_t n, most;
    bool more;
};

static void count_type(void *to, const struct lmn_machine_type *type)
{
    struct counted *c = to;
    put_type(c->bytes, type);
    c->n++;
}

static void types(struct front *api, struct lmn_http_request *request)
{
    struct counted c = {.bytes = g_byte_array_new()};
    GByteArray *buffer = g_byte_array_new();

    api->ops->types(api->arg, count_type, &c);
    lmn_cbor_put_map(buffer, 1);
    lmn_cbor_put_text(buffer, WIRE_MACHINE_TYPES), lmn_cbor_put_array(buffer, c.n);
    g_byte_array_append(buffer, c.bytes->data, c.bytes->len);
    g_byte_array_unref(c.bytes);
    lmn_http_request_respond(request, 200, buffer, 0);
}

static bool put_machine(void *to, const struct lmn_rented_machine *m)
{
    struct counted *c = to;
    GByteArray *buffer = c->bytes;

    if (c->n == c->most) {
        c->more = true;
        return false;
    }
    c->n++;
    lmn_cbor_put_map(buffer, 7);
    lmn_cbor_put_text(buffer, WIRE_JOB_ID), lmn_cbor_put_text(buffer, m->name);
    lmn_cbor_put_text(buffer, WIRE_ADDRESS), lmn_cbor_put_text(buffer, m->address);
    lmn_cbor_put_text(buffer, WIRE_MACHINE_TYPE), lmn_cbor_put_text(buffer, m->type);
    lmn_cbor_put_text(buffer, WIRE_ZONE), lmn_cbor_put_text(buffer, m->zone);
    lmn_cbor_put_text(buffer, WIRE_SPOT), lmn_cbor_put_bool(buffer, m->is_spot);
    lmn_cbor_put_text(buffer, WIRE_STATE), lmn_cbor_put_text(buffer, m->state);
    lmn_cbor_put_text(buffer, WIRE_AGE_S), lmn_cbor_put_number(buffer, m->age_s);
    return true;
}

static void list(struct front *api, struct lmn_http_request *request)
{
    const char *after = lmn_http_request_query(request, WIRE_QUERY_AFTER),
               *limit = lmn_http_request_query(request, WIRE_QUERY_LIMIT);
    struct counted c = {.most = limit ? (size_t)strtoul(limit, NULL, 10)
                                      : LMN_MAX_LIST_COUNT};

    if (c.most < 1 || c.most > LMN_MAX_LIST_COUNT) {
        lmn_http_request_fail(request, 400, WIRE_QUERY_LIMIT ": from 1 to 500");
        return;
    }
    c.bytes = g_byte_array_new();
    api->ops->list(api->arg, after ? after : "", put_machine, &c);
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, 2);
    lmn_cbor_put_text(buffer, WIRE_HAS_MORE), lmn_cbor_put_bool(buffer, c.more);
    lmn_cbor_put_text(buffer, WIRE_MACHINES), lmn_cbor_put_array(buffer, c.n);
    g_byte_array_append(buffer, c.bytes->data, c.bytes->len);
    g_byte_array_unref(c.bytes);
    lmn_http_request_respond(request, 200, buffer, 0);
}

/* --- what may wait --- */

static void rent(struct front *api, struct lmn_http_request *request,
                 const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    struct lmn_rental_request q = {0};
    uint64_t n = 0;

    if (!lmn_cbor_get_text(lmn_cbor_get(document, root, WIRE_REQUEST_ID), q.request,
                           sizeof q.request) ||
        !*q.request ||
        !lmn_cbor_get_text(lmn_cbor_get(document, root, WIRE_MACHINE_TYPE), q.type,
                           sizeof q.type) ||
        !lmn_cbor_get_text(lmn_cbor_get(document, root, WIRE_ZONE), q.zone,
                           sizeof q.zone) ||
        !lmn_cbor_get_bool(lmn_cbor_get(document, root, WIRE_SPOT), &q.is_spot) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, root, WIRE_COUNT), &n) || n < 1 ||
        n > LMN_MAX_RENTAL_COUNT) {
        lmn_http_request_fail(request, 400, "malformed");
        return;
    }
    q.count = (unsigned)n;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    int status = api->ops->rent(api->arg, &q, names);
    if (status == 200) {
        GByteArray *buffer = g_byte_array_new();
        lmn_cbor_put_map(buffer, 1);
        lmn_cbor_put_text(buffer, WIRE_MACHINES), lmn_cbor_put_array(buffer, names->len);
        for (guint i = 0; i < names->len; i++)
            lmn_cbor_put_text(buffer, names->pdata[i]);
        lmn_http_request_respond(request, 200, buffer, 0);
    } else {
        lmn_http_request_fail(request, status,
                              status == 503 ? "no capacity" : "malformed");
    }
    g_ptr_array_free(names, TRUE);
}

static void give_back(struct front *api, struct lmn_http_request *request,
                      const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *list =
        lmn_cbor_get(document, lmn_cbor_root(document), WIRE_MACHINES);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    char name[LMN_NAME_SIZE];
    int status = list && list->type == LMN_CBOR_ARRAY && list->len <= LMN_MAX_RETURN_COUNT
                     ? 200
                     : 400;

    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list);
         node && status == 200; node = lmn_cbor_next(document, node)) {
        if (lmn_cbor_get_text(node, name, sizeof name))
            g_ptr_array_add(names, g_strdup(name));
        else
            status = 400;
    }
    if (status == 200)
        status = api->ops->give_back(api->arg, (char *const *)names->pdata, names->len);
    g_ptr_array_free(names, TRUE);
    if (status != 200) {
        lmn_http_request_fail(request, status, status == 503 ? "trouble" : "malformed");
        return;
    }
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, 0);
    lmn_http_request_respond(request, 200, buffer, 0);
}

static void *hand(void *arg)
{
    struct front *api = arg;

    for (;;) {
        struct lmn_cbor_document d;
        pthread_mutex_lock(&api->lock);
        while (!api->calls.head)
            pthread_cond_wait(&api->more, &api->lock);
        struct lmn_http_request *request = g_queue_pop_head(&api->calls);
        pthread_mutex_unlock(&api->lock);
        const GByteArray *body = lmn_http_request_body(request);
        if (lmn_cbor_parse(&d, body->data, body->len) != 0) {
            lmn_http_request_fail(request, 400, "malformed");
            continue;
        }
        if (!strcmp(lmn_http_request_path(request), WIRE_PATH_RETURN))
            give_back(api, request, &d);
        else
            rent(api, request, &d);
        lmn_cbor_free(&d);
    }
    return NULL;
}

static void metrics(void *arg, GString *out)
{
    struct front *api = arg;

    lmn_metric_counter(out, "lemonspar_fleet_requests", "Requests", api->requests);
    lmn_metric_counter(out, "lemonspar_fleet_limited", "Requests answered 429",
                       api->limited);
    api->ops->metrics(api->arg, out);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct front *api = arg;
    const char *path = lmn_http_request_path(request);
    bool get = lmn_http_request_method(request) == LMN_HTTP_GET,
         post = lmn_http_request_method(request) == LMN_HTTP_POST;
    bool waits =
        post && (!strcmp(path, WIRE_PATH_MACHINES) || !strcmp(path, WIRE_PATH_RETURN));
    bool reads = get && (!strcmp(path, WIRE_PATH_MACHINE_TYPES) ||
                         !strcmp(path, WIRE_PATH_MACHINES));

    if (get && !strcmp(path, "/metrics")) {
        lmn_metrics_respond(request, metrics, api);
        return;
    }
    if (get && !strcmp(path, WIRE_PATH_READY)) {
        lmn_http_request_respond(request, 200, NULL, 0);
        return;
    }
    if (!waits && !reads) {
        if (!api->ops->other || !api->ops->other(api->arg, request))
            lmn_http_request_respond(request, 404, NULL, 0);
        return;
    }
    api->requests++;
    if (api->budget.rate > 0 && lmn_token_bucket_take(&api->budget, 1, lmn_now()) > 0) {
        api->limited++;
        lmn_http_request_respond(request, 429, NULL, 1);
    } else if (waits) {
        lmn_http_request_defer(request);
        pthread_mutex_lock(&api->lock);
        g_queue_push_tail(&api->calls, request);
        pthread_cond_signal(&api->more);
        pthread_mutex_unlock(&api->lock);
    } else if (!strcmp(path, WIRE_PATH_MACHINE_TYPES)) {
        types(api, request);
    } else {
        list(api, request);
    }
}

struct lmn_http_server *
lmn_machine_provider_serve(const char *listen, double rps,
                           const struct lmn_machine_provider_ops *ops, void *arg)
{
    struct front *api = g_new0(struct front, 1);
    const struct lmn_http_server_options o = {.listen = listen,
                                              .connections = 1024,
                                              .max_body_bytes = LMN_MAX_MESSAGE_BYTES,
                                              .route = route,
                                              .arg = api};

    api->ops = ops;
    api->arg = arg;
    lmn_token_bucket_init(&api->budget, rps, MAX(2 * rps, 1), lmn_now());
    pthread_mutex_init(&api->lock, NULL);
    lmn_cond_init(&api->more);
    for (int i = 0; i < HANDS; i++)
        lmn_thread_start_detached(hand, api);
    return lmn_http_server_start(&o);
}
