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
#include "partition/machine_attempts.h"
#include "state/core.h"
#include "state/core_state.h"

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

static bool pace(struct cloud *cloud)
{
    return lmn_token_bucket_take(&cloud->budget, 1, lmn_now()) <= 0;
}

static void read_type(struct lmn_machine_type *type,
                      const struct lmn_cbor_document *document,
                      const struct lmn_cbor_value *node)
{
    const struct lmn_cbor_value *zones = lmn_cbor_get(document, node, WIRE_ZONES);

    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_CPUS), &type->cpus);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_GPUS), &type->gpus);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_MEMORY_GB), &type->memory_gb);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_CACHE_GB), &type->cache_gb);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_PULL_GB_PER_S),
                        &type->pull_gb_per_s);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_PRICE), &type->rate);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_SPOT_PRICE), &type->spot_rate);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_BOOT_S), &type->ready_s);
    type->zone_count = 0;
    for (const struct lmn_cbor_value *zone = lmn_cbor_first_child(document, zones);
         zone && type->zone_count < LMN_MAX_ZONES; zone = lmn_cbor_next(document, zone))
        if (lmn_cbor_get_text(zone, type->zones[type->zone_count], LMN_NAME_SIZE))
            type->zone_count++;
}

static void get_types(struct cloud *cloud)
{
    struct lmn_core *core = cloud->c;
    struct lmn_cbor_document d;

    if (lmn_http_client_call(cloud->http, "GET", WIRE_PATH_MACHINE_TYPES, NULL, 3.0,
                             cloud->buf) != 200 ||
        lmn_cbor_parse(&d, cloud->buf->data, cloud->buf->len) != 0)
        return;
    pthread_mutex_lock(&core->lock);
    const struct lmn_cbor_value *list =
        lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_MACHINE_TYPES);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, list); node;
         node = lmn_cbor_next(&d, node)) {
        char name[LMN_NAME_SIZE];
        size_t i = 0;
        if (!lmn_cbor_get_text(lmn_cbor_get(&d, node, WIRE_TYPE_NAME), name, sizeof name))
            continue;
        while (i < core->cloud.machine_types.n &&
               strcmp(core->cloud.machine_types.v[i].name, name))
            i++;
        if (i == 256)
            break;
        if (i == core->cloud.machine_types.n) {
            g_strlcpy(core->cloud.machine_types.v[i].name, name, sizeof name);
            core->cloud.machine_types.n++;
        }
        read_type(&core->cloud.machine_types.v[i], &d, node);
    }
    if (!core->cloud.machine_types_known)
        lmn_info("machine_types_received count=%zu", core->cloud.machine_types.n);
    core->cloud.machine_types_known = core->cloud.machine_types.n > 0;
    pthread_mutex_unlock(&core->lock);
    cloud->typed = lmn_now();
    lmn_cbor_free(&d);
}

/* Returns machines by name; true if they are gone. */
static bool give_back(struct cloud *cloud, GPtrArray *names)
{
    GByteArray *body = g_byte_array_new();

    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_MACHINES);
    lmn_cbor_put_array(body, names->len);
    for (guint i = 0; i < names->len; i++)
        lmn_cbor_put_text(body, names->pdata[i]);
    int status = lmn_http_client_call(cloud->http, "POST", WIRE_PATH_RETURN, body, 5.0,
                                      cloud->buf);
    g_byte_array_unref(body);
    lmn_info("machines_released count=%u first=%s status=%d", names->len,
             (const char *)names->pdata[0], status);
    return status == 200;
}

/* Of the calls of the one who rents, at most half go into returns, many machines each:
 * one for each machine as it is lost would leave none for renting others in its place. */
static void return_machines(struct cloud *cloud)
{
    struct lmn_core *core = cloud->c;
    if (cloud->had_role &&
        lmn_time_diff_s(lmn_now(), cloud->returned) < 2 / cloud->budget.rate)
        return;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&core->lock);
    for (int i = 0; i < core->partition_count && names->len < 100; i++) {
        if (!core->partitions[i].ownership.is_owned)
            continue;
        g_hash_table_iter_init(&it, core->partitions[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &v) && names->len < 100) {
            struct lmn_machine *machine = v;
            if (machine->lifecycle.is_draining && !machine->lifecycle.is_terminated &&
                (machine->lifecycle.drain_at_once ||
                 (lmn_machine_is_empty(machine) && !machine->push.is_in_flight)))
                g_ptr_array_add(names, g_strdup(machine->name));
        }
    }
    pthread_mutex_unlock(&core->lock);
    bool go = names->len && pace(cloud);
    if (go)
        cloud->returned = lmn_now();
    if (go && give_back(cloud, names)) {
        pthread_mutex_lock(&core->lock);
        struct timespec now = lmn_now();
        for (guint i = 0; i < names->len; i++) {
            struct lmn_partition *partition = &core->partitions[lmn_partition_for_machine(
                names->pdata[i], core->partition_count)];
            struct lmn_machine *machine =
                g_hash_table_lookup(partition->machines, names->pdata[i]);
            if (machine && partition->ownership.is_owned)
                lmn_machine_terminated(core, machine, now);
            else
                g_hash_table_add(core->cloud.returned_machines,
                                 g_strdup(names->pdata[i]));
        }
        pthread_mutex_unlock(&core->lock);
        for (guint i = 0; i < names->len; i++)
            g_hash_table_remove(cloud->fleet.machines, names->pdata[i]);
    }
    g_ptr_array_free(names, TRUE);
}

/* --- the fleet role: with partition 0 --- */

static struct lmn_cloud_machine *listed(struct cloud *cloud, const char *name)
{
    struct lmn_cloud_machine *machine = g_hash_table_lookup(cloud->fleet.machines, name);
    if (!machine) {
        machine = g_new0(struct lmn_cloud_machine, 1);
        g_strlcpy(machine->name, name, sizeof machine->name);
        g_hash_table_insert(cloud->fleet.machines, machine->name, machine);
    }
    return machine;
}

/* Reads the whole list. It lags, and may be older than the last: a machine leaves the
 * books only after it has been missing for longer than any lag, or when its return was
 * answered. */
static bool read_list(struct cloud *cloud)
{
    char after[LMN_NAME_SIZE] = "", path[256];
    bool more = true;

    while (more) {
        struct lmn_cbor_document d;
        while (!pace(cloud))
            lmn_sleep(0.2);
        if (*after)
            g_snprintf(path, sizeof path,
                       WIRE_PATH_MACHINES "?" WIRE_QUERY_AFTER "=%s&" WIRE_QUERY_LIMIT
                                          "=500",
                       after);
        else
            g_snprintf(path, sizeof path, WIRE_PATH_MACHINES "?" WIRE_QUERY_LIMIT "=500");
        if (lmn_http_client_call(cloud->http, "GET", path, NULL, 4.0, cloud->buf) !=
                200 ||
            lmn_cbor_parse(&d, cloud->buf->data, cloud->buf->len) != 0)
            return false;
        struct timespec now = lmn_now();
        const struct lmn_cbor_value *list =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_MACHINES);
        for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, list); node;
             node = lmn_cbor_next(&d, node)) {
            double age = 0;
            if (!lmn_cbor_get_text(lmn_cbor_get(&d, node, WIRE_JOB_ID), after,
                                   sizeof after))
                continue;
            pthread_mutex_lock(&cloud->c->lock);
            bool gone = g_hash_table_contains(cloud->c->cloud.returned_machines, after);
            pthread_mutex_unlock(&cloud->c->lock);
            if (gone)
                continue;
            struct lmn_cloud_machine *machine = listed(cloud, after);
            lmn_cbor_get_text(lmn_cbor_get(&d, node, WIRE_MACHINE_TYPE), machine->type,
                              sizeof machine->type);
            lmn_cbor_get_text(lmn_cbor_get(&d, node, WIRE_ZONE), machine->zone,
                              sizeof machine->zone);
            lmn_cbor_get_bool(lmn_cbor_get(&d, node, WIRE_SPOT), &machine->is_spot);
            lmn_cbor_get_number(lmn_cbor_get(&d, node, WIRE_AGE_S), &age);
            const struct lmn_cbor_value *state = lmn_cbor_get(&d, node, WIRE_STATE);
            bool was = machine->is_booting;
            machine->is_booting = lmn_cbor_text_equals(state, WIRE_BOOTING);
            if (was && !machine->is_booting && !lmn_cbor_text_equals(state, WIRE_BROKEN))
                lmn_autoscaler_record_boot(&cloud->fleet, machine, age);
            machine->is_broken = lmn_cbor_text_equals(state, WIRE_BROKEN);
            if (!machine->is_listed)
                machine->rented_at = lmn_time_add(now, -age);
            machine->is_listed = true;
            machine->last_listed_at = now;
        }
        more = false;
        lmn_cbor_get_bool(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_HAS_MORE), &more);
        if (!list || !list->len)
            more = false;
        lmn_cbor_free(&d);
    }
    cloud->listed = lmn_now();
    return true;
}

static void prune(struct cloud *cloud)
{
    struct lmn_core *core = cloud->c;
    double lag = core->settings->list_lag_s;
    GPtrArray *bad = g_ptr_array_new_with_free_func(g_free);
    struct timespec now = lmn_now();
    GHashTableIter it;
    gpointer v;

    pthread_mutex_lock(&core->lock);
    g_hash_table_iter_init(&it, cloud->fleet.machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_cloud_machine *machine = v;
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, machine->type);
        double missing = lmn_time_diff_s(now, machine->is_listed ? machine->last_listed_at
                                                                 : machine->rented_at);
        if (g_hash_table_contains(core->cloud.returned_machines, machine->name) ||
            (lmn_time_diff_s(cloud->listed, now) > -lag && missing > 2 * lag + 4)) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        /* Late ones are used when they do come; a few never do. */
        double patience = type ? 2 * lmn_autoscaler_boot_timeout_s(&cloud->fleet, type,
                                                                   machine->zone, lag) +
                                     10
                               : 120;
        if (machine->is_broken ||
            (machine->is_booting && lmn_time_diff_s(now, machine->rented_at) > patience))
            g_ptr_array_add(bad, g_strdup(machine->name));
    }
    pthread_mutex_unlock(&core->lock);
    if (bad->len > 100)
        g_ptr_array_set_size(bad, 100);
    if (bad->len && pace(cloud) && give_back(cloud, bad)) {
        pthread_mutex_lock(&core->lock);
        for (guint i = 0; i < bad->len; i++) {
            struct lmn_partition *partition = &core->partitions[lmn_partition_for_machine(
                bad->pdata[i], core->partition_count)];
            struct lmn_machine *machine =
                g_hash_table_lookup(partition->machines, bad->pdata[i]);
            if (machine && partition->ownership.is_owned &&
                !machine->lifecycle.is_terminated)
                lmn_machine_terminated(core, machine, now);
            else
                g_hash_table_add(core->cloud.returned_machines, g_strdup(bad->pdata[i]));
        }
        pthread_mutex_unlock(&core->lock);
        for (guint i = 0; i < bad->len; i++)
            g_hash_table_remove(cloud->fleet.machines, bad->pdata[i]);
    }
    g_ptr_array_free(bad, TRUE);
}

static void rent(struct cloud *cloud)
{
    struct lmn_core *core = cloud->c;
    struct lmn_provision_request *request = &cloud->pending;
    struct lmn_cbor_document d;
    unsigned got = 0;

    if (!*cloud->request) {
        pthread_mutex_lock(&core->lock);
        bool go = core->lease.id &&
                  lmn_autoscaler_decide(core, &cloud->fleet, request, lmn_now());
        uint64_t lease = core->lease.id;
        pthread_mutex_unlock(&core->lock);
        if (!go)
            return;
        /* The lease's number is the state service's and never comes again: neither this
         * node nor another can use the name for something else. */
        g_snprintf(cloud->request, sizeof cloud->request,
                   "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                   core->settings->node_name, lease, ++cloud->requests);
    }
    if (!pace(cloud))
        return;
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 5);
    lmn_cbor_put_text(body, WIRE_REQUEST_ID), lmn_cbor_put_text(body, cloud->request);
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, request->type);
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, request->zone);
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, request->is_spot);
    lmn_cbor_put_text(body, WIRE_COUNT), lmn_cbor_put_uint(body, request->count);
    int status = lmn_http_client_call(cloud->http, "POST", WIRE_PATH_MACHINES, body, 4.0,
                                      cloud->buf);
    g_byte_array_unref(body);
    struct timespec now = lmn_now();
    if (status == 200 && lmn_cbor_parse(&d, cloud->buf->data, cloud->buf->len) == 0) {
        const struct lmn_cbor_value *list =
            lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_MACHINES);
        char name[LMN_NAME_SIZE];
        for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, list); node;
             node = lmn_cbor_next(&d, node)) {
            if (!lmn_cbor_get_text(node, name, sizeof name))
                continue;
            struct lmn_cloud_machine *machine = listed(cloud, name);
            g_strlcpy(machine->type, request->type, sizeof machine->type);
            g_strlcpy(machine->zone, request->zone, sizeof machine->zone);
            machine->is_spot = request->is_spot;
            machine->is_booting = true;
            machine->rented_at = machine->last_listed_at = now;
            got++;
        }
        lmn_cbor_free(&d);
    } else if (status == 503 || status == 400) {
        bool scarce = false;
        if (lmn_cbor_parse(&d, cloud->buf->data, cloud->buf->len) == 0) {
            scarce = lmn_cbor_text_equals(lmn_cbor_get(&d, lmn_cbor_root(&d), "error"),
                                          "no capacity");
            lmn_cbor_free(&d);
        }
        if (!scarce && status == 503)
            return; /* an outage: the same request again */
    } else {
        return; /* unknown: the same name again rents nothing twice */
    }
    lmn_info(
        "machines_requested request=%s type=%s zone=%s spot=%d asked=%u got=%u status=%d",
        cloud->request, request->type, request->zone, request->is_spot, request->count,
        got, status);
    lmn_autoscaler_record_result(&cloud->fleet, request, got, now);
    cloud->request[0] = '\0';
}

/* Of the cloud's calls, what the one who rents may use, and all others together, who
 * return up to 100 machines a call. A call rents 50 at most: with 0.6 of 4 calls a
 * second, 5,600 machines took 47 s, and what had waited for them waited for minutes more.
 */
static const double ROLE_SHARE = 0.8, OTHERS_SHARE = 0.15;

void *lmn_provisioner_thread(void *arg)
{
    struct cloud k = {.c = arg};
    struct lmn_core *core = arg;
    double share = OTHERS_SHARE / (double)MAX(core->settings->member_count, 1);

    k.http = lmn_http_client_new(core->settings->cloud_address);
    k.buf = g_byte_array_new();
    lmn_autoscaler_init(&k.fleet);
    lmn_token_bucket_init(&k.budget, core->settings->cloud_requests_per_s * share,
                          MAX(core->settings->cloud_requests_per_s, 1), lmn_now());
    for (;;) {
        struct timespec now = lmn_now();
        pthread_mutex_lock(&core->lock);
        bool known = core->cloud.machine_types_known;
        bool role = core->partitions[0].ownership.is_owned,
             first_term = core->partitions[0].ownership.epoch <= 1;
        pthread_mutex_unlock(&core->lock);
        if ((!known || lmn_time_diff_s(now, k.typed) > 120) && pace(&k))
            get_types(&k);
        pthread_mutex_lock(&core->lock);
        bool blind = lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S;
        pthread_mutex_unlock(&core->lock);
        if (!blind)
            return_machines(&k);
        if (role && !k.had_role) {
            k.role_since = now;
            g_hash_table_remove_all(k.fleet.machines);
            k.listed = (struct timespec){0, 0};
        }
        if (role != k.had_role) {
            /* The holder of the role lists and rents; the others only return. */
            double rps =
                core->settings->cloud_requests_per_s *
                (role ? ROLE_SHARE : OTHERS_SHARE / MAX(core->settings->member_count, 1));
            k.budget.rate = rps;
            k.budget.burst = role ? MAX(core->settings->cloud_requests_per_s, 1) : 1;
        }
        k.had_role = role;
        if (role && known && !blind) {
            if (lmn_time_diff_s(now, k.listed) > MAX(core->settings->list_lag_s, 3.0) &&
                read_list(&k))
                prune(&k);
            /* A predecessor's last rentals show in the list only after its lag; that some
             * show later costs less than machines that are missed meanwhile. */
            if (k.listed.tv_sec && (first_term || lmn_time_diff_s(now, k.role_since) >
                                                      core->settings->list_lag_s))
                rent(&k);
        }
        lmn_sleep(0.25);
    }
    return NULL;
}
