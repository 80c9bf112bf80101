/* The cloud's client: machine types, rentals, returns, the list. */
#include "partition/provisioner.h"
#include "util/token_bucket.h"
#include "util/clock.h"
#include "protocol/cbor.h"
#include "http/client.h"
#include "job/job_spec.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "scheduler/autoscaler.h"
#include "partition/partition.h"
#include "partition/maintenance.h"
#include "partition/worker.h"
#include "state/core.h"
#include "state/model.h"

#include <string.h>

struct cloud {
    struct lmn_core *c;
    struct lmn_http_client *http;
    GByteArray *buf;
    struct lmn_token_bucket budget;
    struct lmn_autoscaler fleet;
    bool had_role;
    struct timespec role_since, typed, listed, returned;
    struct lmn_provision_request pending; /* a rental whose outcome is not known */
    char request[160];                    /* its name; empty: none */
    uint64_t requests;
};

static bool pace(struct cloud *k)
{
    return lmn_token_bucket_take(&k->budget, 1, lmn_now()) <= 0;
}

static void read_type(struct lmn_machine_type *t, const struct lmn_cbor_document *d,
                      const struct lmn_cbor_value *n)
{
    const struct lmn_cbor_value *zones = lmn_cbor_get(d, n, WIRE_ZONES);

    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_CPUS), &t->cpus);
    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_GPUS), &t->gpus);
    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_MEMORY_GB), &t->mem);
    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_CACHE_GB), &t->cache_gb);
    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_PULL_GB_PER_S), &t->pull);
    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_PRICE), &t->rate);
    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_SPOT_PRICE), &t->spot_rate);
    lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_BOOT_S), &t->ready_s);
    t->nzones = 0;
    for (const struct lmn_cbor_value *z = lmn_cbor_first_child(d, zones);
         z && t->nzones < LMN_MAX_ZONES; z = lmn_cbor_next(d, z))
        if (lmn_cbor_get_text(z, t->zones[t->nzones], LMN_NAME_SIZE))
            t->nzones++;
}

static void get_types(struct cloud *k)
{
    struct lmn_core *c = k->c;
    struct lmn_cbor_document d;

    if (lmn_http_client_call(k->http, "GET", WIRE_PATH_MACHINE_TYPES, NULL, 3.0,
                             k->buf) != 200 ||
        lmn_cbor_parse(&d, k->buf->data, k->buf->len) != 0)
        return;
    pthread_mutex_lock(&c->lock);
    const struct lmn_cbor_value *list =
        lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_MACHINE_TYPES);
    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(&d, list); n;
         n = lmn_cbor_next(&d, n)) {
        char name[LMN_NAME_SIZE];
        size_t i = 0;
        if (!lmn_cbor_get_text(lmn_cbor_get(&d, n, WIRE_TYPE_NAME), name, sizeof name))
            continue;
        while (i < c->types.n && strcmp(c->types.v[i].name, name))
            i++;
        if (i == 256)
            break;
        if (i == c->types.n) {
            g_strlcpy(c->types.v[i].name, name, sizeof name);
            c->types.n++;
        }
        read_type(&c->types.v[i], &d, n);
    }
    if (!c->types_known)
        lmn_info("types-known count=%zu", c->types.n);
    c->types_known = c->types.n > 0;
    pthread_mutex_unlock(&c->lock);
    k->typed = lmn_now();
    lmn_cbor_free(&d);
}

/* Returns machines by name; true if they are gone. */
static bool give_back(struct cloud *k, GPtrArray *names)
{
    GByteArray *body = g_byte_array_new();

    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_MACHINES);
    lmn_cbor_put_array(body, names->len);
    for (guint i = 0; i < names->len; i++)
        lmn_cbor_put_text(body, names->pdata[i]);
    int status =
        lmn_http_client_call(k->http, "POST", WIRE_PATH_RETURN, body, 5.0, k->buf);
    g_byte_array_unref(body);
    lmn_info("machines-return count=%u first=%s status=%d", names->len,
             (const char *)names->pdata[0], status);
    return status == 200;
}

/* Of the calls of the one who rents, at most half go into returns, many machines each:
 * one for each machine as it is lost would leave none for renting others in its place. */
static void return_machines(struct cloud *k)
{
    struct lmn_core *c = k->c;
    if (k->had_role && lmn_time_diff_s(lmn_now(), k->returned) < 2 / k->budget.rate)
        return;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&c->lock);
    for (int i = 0; i < c->nparts && names->len < 100; i++) {
        if (!c->parts[i].mine)
            continue;
        g_hash_table_iter_init(&it, c->parts[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &v) && names->len < 100) {
            struct lmn_machine *m = v;
            if (m->retiring && !m->is_gone &&
                (m->force || (lmn_machine_is_empty(m) && !m->in_call)))
                g_ptr_array_add(names, g_strdup(m->name));
        }
    }
    pthread_mutex_unlock(&c->lock);
    bool go = names->len && pace(k);
    if (go)
        k->returned = lmn_now();
    if (go && give_back(k, names)) {
        pthread_mutex_lock(&c->lock);
        struct timespec now = lmn_now();
        for (guint i = 0; i < names->len; i++) {
            struct lmn_partition *p =
                &c->parts[lmn_partition_for_machine(names->pdata[i], c->nparts)];
            struct lmn_machine *m = g_hash_table_lookup(p->machines, names->pdata[i]);
            if (m && p->mine)
                lmn_machine_terminated(c, m, now);
            else
                g_hash_table_add(c->gone, g_strdup(names->pdata[i]));
        }
        pthread_mutex_unlock(&c->lock);
        for (guint i = 0; i < names->len; i++)
            g_hash_table_remove(k->fleet.machines, names->pdata[i]);
    }
    g_ptr_array_free(names, TRUE);
}

/* --- the fleet role: with partition 0 --- */

static struct lmn_cloud_machine *listed(struct cloud *k, const char *name)
{
    struct lmn_cloud_machine *m = g_hash_table_lookup(k->fleet.machines, name);
    if (!m) {
        m = g_new0(struct lmn_cloud_machine, 1);
        g_strlcpy(m->name, name, sizeof m->name);
        g_hash_table_insert(k->fleet.machines, m->name, m);
    }
    return m;
}

/* Reads the whole list. It lags, and may be older than the last: a machine leaves the
 * books only after it has been missing for longer than any lag, or when its return was
 * answered. */
static bool read_list(struct cloud *k)
{
    char after[LMN_NAME_SIZE] = "", path[256];
    bool more = true;

    while (more) {
        struct lmn_cbor_document d;
        while (!pace(k))
            lmn_sleep(0.2);
        if (*after)
            g_snprintf(path, sizeof path,
                       WIRE_PATH_MACHINES "?" WIRE_QUERY_AFTER "=%s&" WIRE_QUERY_LIMIT
                                          "=500",
                       after);
        else
            g_snprintf(path, sizeof path, WIRE_PATH_MACHINES "?" WIRE_QUERY_LIMIT "=500");
        if (lmn_http_client_call(k->http, "GET", path, NULL, 4.0, k->buf) != 200 ||
            lmn_cbor_parse(&d, k->buf->data, k->buf->len) != 0)
            return false;
        struct timespec now = lmn_now();
        const struct lmn_cbor_value *list =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_MACHINES);
        for (const struct lmn_cbor_value *n = lmn_cbor_first_child(&d, list); n;
             n = lmn_cbor_next(&d, n)) {
            double age = 0;
            if (!lmn_cbor_get_text(lmn_cbor_get(&d, n, WIRE_JOB_ID), after, sizeof after))
                continue;
            pthread_mutex_lock(&k->c->lock);
            bool gone = g_hash_table_contains(k->c->gone, after);
            pthread_mutex_unlock(&k->c->lock);
            if (gone)
                continue;
            struct lmn_cloud_machine *m = listed(k, after);
            lmn_cbor_get_text(lmn_cbor_get(&d, n, WIRE_MACHINE_TYPE), m->type,
                              sizeof m->type);
            lmn_cbor_get_text(lmn_cbor_get(&d, n, WIRE_ZONE), m->zone, sizeof m->zone);
            lmn_cbor_get_bool(lmn_cbor_get(&d, n, WIRE_SPOT), &m->spot);
            lmn_cbor_get_number(lmn_cbor_get(&d, n, WIRE_AGE_S), &age);
            const struct lmn_cbor_value *state = lmn_cbor_get(&d, n, WIRE_STATE);
            bool was = m->booting;
            m->booting = lmn_cbor_text_equals(state, WIRE_BOOTING);
            if (was && !m->booting && !lmn_cbor_text_equals(state, WIRE_BROKEN))
                lmn_autoscaler_record_boot(&k->fleet, m, age);
            m->broken = lmn_cbor_text_equals(state, WIRE_BROKEN);
            if (!m->listed)
                m->since = lmn_time_add(now, -age);
            m->listed = true;
            m->seen = now;
        }
        more = false;
        lmn_cbor_get_bool(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_HAS_MORE), &more);
        if (!list || !list->len)
            more = false;
        lmn_cbor_free(&d);
    }
    k->listed = lmn_now();
    return true;
}

static void prune(struct cloud *k)
{
    struct lmn_core *c = k->c;
    double lag = c->cfg->list_lag_s;
    GPtrArray *bad = g_ptr_array_new_with_free_func(g_free);
    struct timespec now = lmn_now();
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&c->lock);
    g_hash_table_iter_init(&it, k->fleet.machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_cloud_machine *m = v;
        const struct lmn_machine_type *t = lmn_machine_type_by_name(c, m->type);
        double missing = lmn_time_diff_s(now, m->listed ? m->seen : m->since);
        if (g_hash_table_contains(c->gone, m->name) ||
            (lmn_time_diff_s(k->listed, now) > -lag && missing > 2 * lag + 4)) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        /* Late ones are used when they do come; a few never do. */
        double patience =
            t ? 2 * lmn_autoscaler_boot_timeout_s(&k->fleet, t, m->zone, lag) + 10 : 120;
        if (m->broken || (m->booting && lmn_time_diff_s(now, m->since) > patience))
            g_ptr_array_add(bad, g_strdup(m->name));
    }
    pthread_mutex_unlock(&c->lock);
    if (bad->len > 100)
        g_ptr_array_set_size(bad, 100);
    if (bad->len && pace(k) && give_back(k, bad)) {
        pthread_mutex_lock(&c->lock);
        for (guint i = 0; i < bad->len; i++) {
            struct lmn_partition *p =
                &c->parts[lmn_partition_for_machine(bad->pdata[i], c->nparts)];
            struct lmn_machine *m = g_hash_table_lookup(p->machines, bad->pdata[i]);
            if (m && p->mine && !m->is_gone)
                lmn_machine_terminated(c, m, now);
            else
                g_hash_table_add(c->gone, g_strdup(bad->pdata[i]));
        }
        pthread_mutex_unlock(&c->lock);
        for (guint i = 0; i < bad->len; i++)
            g_hash_table_remove(k->fleet.machines, bad->pdata[i]);
    }
    g_ptr_array_free(bad, TRUE);
}

static void rent(struct cloud *k)
{
    struct lmn_core *c = k->c;
    struct lmn_provision_request *r = &k->pending;
    struct lmn_cbor_document d;
    unsigned got = 0;

    if (!*k->request) {
        pthread_mutex_lock(&c->lock);
        bool go = c->lease && lmn_autoscaler_decide(c, &k->fleet, r, lmn_now());
        uint64_t lease = c->lease;
        pthread_mutex_unlock(&c->lock);
        if (!go)
            return;
        /* The lease's number is the state service's and never comes again: neither this
         * node nor another can use the name for something else. */
        g_snprintf(k->request, sizeof k->request,
                   "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, c->cfg->node, lease,
                   ++k->requests);
    }
    if (!pace(k))
        return;
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 5);
    lmn_cbor_put_text(body, WIRE_REQUEST_ID), lmn_cbor_put_text(body, k->request);
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, r->type);
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, r->zone);
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, r->spot);
    lmn_cbor_put_text(body, WIRE_COUNT), lmn_cbor_put_uint(body, r->count);
    int status =
        lmn_http_client_call(k->http, "POST", WIRE_PATH_MACHINES, body, 4.0, k->buf);
    g_byte_array_unref(body);
    struct timespec now = lmn_now();
    if (status == 200 && lmn_cbor_parse(&d, k->buf->data, k->buf->len) == 0) {
        const struct lmn_cbor_value *list =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_MACHINES);
        char name[LMN_NAME_SIZE];
        for (const struct lmn_cbor_value *n = lmn_cbor_first_child(&d, list); n;
             n = lmn_cbor_next(&d, n)) {
            if (!lmn_cbor_get_text(n, name, sizeof name))
                continue;
            struct lmn_cloud_machine *m = listed(k, name);
            g_strlcpy(m->type, r->type, sizeof m->type);
            g_strlcpy(m->zone, r->zone, sizeof m->zone);
            m->spot = r->spot;
            m->booting = true;
            m->since = m->seen = now;
            got++;
        }
        lmn_cbor_free(&d);
    } else if (status == 503 || status == 400) {
        bool scarce = false;
        if (lmn_cbor_parse(&d, k->buf->data, k->buf->len) == 0) {
            scarce = lmn_cbor_text_equals(lmn_cbor_get(&d, lmn_cbor_root(&d), "error"),
                                          "no capacity");
            lmn_cbor_free(&d);
        }
        if (!scarce && status == 503)
            return; /* an outage: the same request again */
    } else {
        return; /* unknown: the same name again rents nothing twice */
    }
    lmn_info("machines-rent request=%s type=%s zone=%s spot=%d asked=%u got=%u status=%d",
             k->request, r->type, r->zone, r->spot, r->count, got, status);
    lmn_autoscaler_record_result(&k->fleet, r, got, now);
    k->request[0] = '\0';
}

/* Of the cloud's calls, what the one who rents may use, and all others together, who
 * return up to 100 machines a call. A call rents 50 at most: with 0.6 of 4 calls a
 * second, 5,600 machines took 47 s, and what had waited for them waited for minutes more.
 */
static const double ROLE_SHARE = 0.8, OTHERS_SHARE = 0.15;

void *lmn_provisioner_thread(void *arg)
{
    struct cloud k = {.c = arg};
    struct lmn_core *c = arg;
    double share = OTHERS_SHARE / (double)MAX(c->cfg->nmembers, 1);

    k.http = lmn_http_client_new(c->cfg->cloud);
    k.buf = g_byte_array_new();
    lmn_autoscaler_init(&k.fleet);
    lmn_token_bucket_init(&k.budget, c->cfg->cloud_rps * share, MAX(c->cfg->cloud_rps, 1),
                          lmn_now());
    for (;;) {
        struct timespec now = lmn_now();
        pthread_mutex_lock(&c->lock);
        bool known = c->types_known;
        bool role = c->parts[0].mine, first_term = c->parts[0].my_term <= 1;
        pthread_mutex_unlock(&c->lock);
        if ((!known || lmn_time_diff_s(now, k.typed) > 120) && pace(&k))
            get_types(&k);
        pthread_mutex_lock(&c->lock);
        bool blind = lmn_watch_cache_age_s(c, now) > LMN_MAX_CACHE_AGE_S;
        pthread_mutex_unlock(&c->lock);
        if (!blind)
            return_machines(&k);
        if (role && !k.had_role) {
            k.role_since = now;
            g_hash_table_remove_all(k.fleet.machines);
            k.listed = (struct timespec){0, 0};
        }
        if (role != k.had_role) {
            /* The holder of the role lists and rents; the others only return. */
            double rps = c->cfg->cloud_rps *
                         (role ? ROLE_SHARE : OTHERS_SHARE / MAX(c->cfg->nmembers, 1));
            k.budget.rate = rps;
            k.budget.burst = role ? MAX(c->cfg->cloud_rps, 1) : 1;
        }
        k.had_role = role;
        if (role && known && !blind) {
            if (lmn_time_diff_s(now, k.listed) > MAX(c->cfg->list_lag_s, 3.0) &&
                read_list(&k))
                prune(&k);
            /* A predecessor's last rentals show in the list only after its lag; that some
             * show later costs less than machines that are missed meanwhile. */
            if (k.listed.tv_sec &&
                (first_term || lmn_time_diff_s(now, k.role_since) > c->cfg->list_lag_s))
                rent(&k);
        }
        lmn_sleep(0.25);
    }
    return NULL;
}
