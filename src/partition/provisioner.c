/* The provisioner's thread: returns, the machine list, and rentals. The thread owns
 * struct provisioner. It takes the core's lock whenever it reads or changes shared state,
 * and holds it during no call. */
#include "partition/provisioner.h"

#include "partition/cloud_client.h"
#include "partition/machine_attempts.h"
#include "partition/machine_type_reader.h"
#include "partition/maintenance.h"
#include "partition/partition.h"
#include "scheduler/autoscaler.h"
#include "state/core.h"
#include "state/core_state.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "util/token_bucket.h"

/* Shares of the cloud's calls: the owner of partition 0 rents, all others together only
 * return, up to 100 machines a call. A call rents 50 machines at most: with a share of
 * 0.6 of 4 calls a second, 5,600 machines took 47 s, and what had waited for them waited
 * for minutes more. */
static const double LEADER_CALL_SHARE = 0.8, OTHERS_CALL_SHARE = 0.15;

/* Of the leader's calls, every second at most is a return. */
enum { CALLS_PER_RETURN = 2 };

/* The thread's interval, and that of its tries to take a call for the machine list. */
static const double ROUND_INTERVAL_S = 0.25, LIST_RETRY_S = 0.2;

/* Machine types are read again, and the list at least so seldom. */
static const double TYPES_INTERVAL_S = 120, MIN_LIST_INTERVAL_S = 3.0;

/* A machine is gone if the list has not named it for this factor of its lag, and a
 * margin. */
static const double MISSING_LAG_FACTOR = 2, MISSING_MARGIN_S = 4;

/* A machine that boots for longer than this factor of its expected time, and a margin, is
 * returned; of an unknown type, after a fixed time. */
static const double BOOT_TIMEOUT_FACTOR = 2, BOOT_MARGIN_S = 10,
                    UNKNOWN_TYPE_BOOT_S = 120;

enum { REQUEST_ID_SIZE = 160 };

struct provisioner {
    struct lmn_core *core;
    struct lmn_cloud_client cloud;
    struct lmn_token_bucket budget; /* of calls to the cloud */
    struct lmn_autoscaler autoscaler;
    bool was_leader; /* in the last round: the owner of partition 0 */
    /* All 0: never. */
    struct timespec leader_since, types_read_at, list_read_at, last_return_at;
    struct lmn_provision_request request; /* a rental whose outcome is not known */
    char request_id[REQUEST_ID_SIZE];     /* its id; empty: none */
    uint64_t request_count;
};

static bool take_call(struct provisioner *provisioner)
{
    return lmn_token_bucket_take(&provisioner->budget, 1, lmn_now()) <= 0;
}

/* --- returns --- */

/* Records that a machine was returned. The lock is held. */
static void record_returned(struct lmn_core *core, const char *name,
                            bool skip_if_terminated, struct timespec now)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);

    if (machine && partition->ownership.is_owned &&
        !(skip_if_terminated && machine->lifecycle.is_terminated))
        lmn_machine_terminated(core, machine, now);
    else
        g_hash_table_add(core->cloud.returned_machines, g_strdup(name));
}

/* Records that the machines were returned, and forgets them. Takes the lock. */
static void record_all_returned(struct provisioner *provisioner, const GPtrArray *names,
                                bool skip_if_terminated, struct timespec now)
{
    struct lmn_core *core = provisioner->core;

    pthread_mutex_lock(&core->lock);
    for (guint i = 0; i < names->len; i++)
        record_returned(core, names->pdata[i], skip_if_terminated, now);
    pthread_mutex_unlock(&core->lock);
    for (guint i = 0; i < names->len; i++)
        g_hash_table_remove(provisioner->autoscaler.machines, names->pdata[i]);
}

static bool may_be_returned(const struct lmn_machine *machine)
{
    const struct lmn_machine_lifecycle *lifecycle = &machine->lifecycle;

    return lifecycle->is_draining && !lifecycle->is_terminated &&
           (lifecycle->drain_at_once ||
            (lmn_machine_is_empty(machine) && !machine->push.is_in_flight));
}

/* The names of drained machines, as many as one call returns; freed by the caller. Takes
 * the lock. */
static GPtrArray *drained_machines(struct lmn_core *core)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter it;
    gpointer value;

    pthread_mutex_lock(&core->lock);
    for (int i = 0; i < core->partition_count && names->len < LMN_CLOUD_MAX_RETURNED;
         i++) {
        if (!core->partitions[i].ownership.is_owned)
            continue;
        g_hash_table_iter_init(&it, core->partitions[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &value) &&
               names->len < LMN_CLOUD_MAX_RETURNED) {
            const struct lmn_machine *machine = value;
            if (may_be_returned(machine))
                g_ptr_array_add(names, g_strdup(machine->name));
        }
    }
    pthread_mutex_unlock(&core->lock);
    return names;
}

/* Returns drained machines. Of the leader's calls at most half are returns, of many
 * machines each: a call for each machine as it is lost would leave none for renting
 * others in its place. */
static void return_machines(struct provisioner *provisioner)
{
    if (provisioner->was_leader &&
        lmn_time_diff_s(lmn_now(), provisioner->last_return_at) <
            CALLS_PER_RETURN / provisioner->budget.rate)
        return;
    g_autoptr(GPtrArray) names = drained_machines(provisioner->core);
    if (!names->len || !take_call(provisioner))
        return;
    provisioner->last_return_at = lmn_now();
    if (lmn_cloud_client_return(&provisioner->cloud, names))
        record_all_returned(provisioner, names, false, lmn_now());
}

/* --- the machine list, kept by the owner of partition 0 --- */

static struct lmn_cloud_machine *find_or_add_machine(struct provisioner *provisioner,
                                                     const char *name)
{
    GHashTable *machines = provisioner->autoscaler.machines;
    struct lmn_cloud_machine *machine = g_hash_table_lookup(machines, name);

    if (machine)
        return machine;
    machine = g_new0(struct lmn_cloud_machine, 1);
    g_strlcpy(machine->name, name, sizeof machine->name);
    g_hash_table_insert(machines, machine->name, machine);
    return machine;
}

/* Takes the lock. */
static bool was_returned(struct lmn_core *core, const char *name)
{
    pthread_mutex_lock(&core->lock);
    bool is_returned = g_hash_table_contains(core->cloud.returned_machines, name);
    pthread_mutex_unlock(&core->lock);
    return is_returned;
}

static void apply_list_entry(struct provisioner *provisioner,
                             const struct lmn_cloud_list_entry *entry,
                             struct timespec now)
{
    /* The list lags: it may name a machine that was returned already. */
    if (was_returned(provisioner->core, entry->name))
        return;
    struct lmn_cloud_machine *machine = find_or_add_machine(provisioner, entry->name);
    if (entry->has_type)
        g_strlcpy(machine->type, entry->type, sizeof machine->type);
    if (entry->has_zone)
        g_strlcpy(machine->zone, entry->zone, sizeof machine->zone);
    if (entry->has_spot)
        machine->is_spot = entry->is_spot;
    bool was_booting = machine->is_booting;
    machine->is_booting = entry->is_booting;
    if (was_booting && !machine->is_booting && !entry->is_broken)
        lmn_autoscaler_record_boot(&provisioner->autoscaler, machine, entry->age_s);
    machine->is_broken = entry->is_broken;
    if (!machine->is_listed)
        machine->provisioned_at = lmn_time_add(now, -entry->age_s);
    machine->is_listed = true;
    machine->last_listed_at = now;
}

/* Reads a page of the list.
 * @param after name of the last machine that was read; replaced by this page's last
 * Returns false if the page can't be read. */
static bool read_list_page(struct provisioner *provisioner, char after[LMN_NAME_SIZE],
                           bool *has_more)
{
    struct lmn_cbor_document document;
    const struct lmn_cbor_value *machines;
    struct lmn_cloud_list_entry entry;

    while (!take_call(provisioner))
        lmn_sleep(LIST_RETRY_S);
    if (!lmn_cloud_client_get_list(&provisioner->cloud, after, &document, &machines,
                                   has_more))
        return false;
    struct timespec now = lmn_now();
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&document, machines);
         node; node = lmn_cbor_next(&document, node)) {
        if (!lmn_cloud_parse_list_entry(&entry, &document, node))
            continue;
        g_strlcpy(after, entry.name, LMN_NAME_SIZE);
        apply_list_entry(provisioner, &entry, now);
    }
    lmn_cbor_free(&document);
    return true;
}

/* Reads the whole list. It lags, and may be older than the last one: a machine is
 * forgotten only after it has been missing for longer than any lag, or when its return
 * was answered. */
static bool read_list(struct provisioner *provisioner)
{
    char after[LMN_NAME_SIZE] = "";
    bool has_more = true;

    while (has_more)
        if (!read_list_page(provisioner, after, &has_more))
            return false;
    provisioner->list_read_at = lmn_now();
    return true;
}

/* Whether the machine is gone: returned, or missing from the list. The lock is held. */
static bool is_gone(const struct provisioner *provisioner,
                    const struct lmn_cloud_machine *machine, struct timespec now)
{
    const struct lmn_core *core = provisioner->core;
    double lag_s = core->settings->list_lag_s;
    double missing_s = lmn_time_diff_s(now, machine->is_listed ? machine->last_listed_at
                                                               : machine->provisioned_at);

    return g_hash_table_contains(core->cloud.returned_machines, machine->name) ||
           (lmn_time_diff_s(provisioner->list_read_at, now) > -lag_s &&
            missing_s > MISSING_LAG_FACTOR * lag_s + MISSING_MARGIN_S);
}

/* Whether the machine will not come up. Late machines are used when they do come; a few
 * never do. The lock is held. */
static bool has_failed_to_boot(const struct provisioner *provisioner,
                               const struct lmn_cloud_machine *machine,
                               struct timespec now)
{
    const struct lmn_core *core = provisioner->core;
    const struct lmn_machine_type *type = lmn_machine_type_by_name(core, machine->type);
    double timeout_s = UNKNOWN_TYPE_BOOT_S;

    if (type)
        timeout_s = BOOT_TIMEOUT_FACTOR * lmn_autoscaler_boot_timeout_s(
                                              &provisioner->autoscaler, type,
                                              machine->zone, core->settings->list_lag_s) +
                    BOOT_MARGIN_S;
    return machine->is_broken ||
           (machine->is_booting &&
            lmn_time_diff_s(now, machine->provisioned_at) > timeout_s);
}

/* Forgets machines that are gone, and returns those that will not come up. */
static void prune_machines(struct provisioner *provisioner)
{
    struct lmn_core *core = provisioner->core;
    g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
    struct timespec now = lmn_now();
    GHashTableIter it;
    gpointer value;

    pthread_mutex_lock(&core->lock);
    g_hash_table_iter_init(&it, provisioner->autoscaler.machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_cloud_machine *machine = value;
        if (is_gone(provisioner, machine, now))
            g_hash_table_iter_remove(&it);
        else if (has_failed_to_boot(provisioner, machine, now))
            g_ptr_array_add(failed, g_strdup(machine->name));
    }
    pthread_mutex_unlock(&core->lock);
    if (failed->len > LMN_CLOUD_MAX_RETURNED)
        g_ptr_array_set_size(failed, LMN_CLOUD_MAX_RETURNED);
    if (failed->len && take_call(provisioner) &&
        lmn_cloud_client_return(&provisioner->cloud, failed))
        record_all_returned(provisioner, failed, true, now);
}

/* --- rentals, by the owner of partition 0 --- */

/* Decides on the next request, unless one is open whose outcome is not known. Takes the
 * lock.
 * Returns whether there is a request. */
static bool prepare_request(struct provisioner *provisioner)
{
    struct lmn_core *core = provisioner->core;

    if (*provisioner->request_id)
        return true;
    pthread_mutex_lock(&core->lock);
    uint64_t lease = core->lease.id;
    bool is_due = lease && lmn_autoscaler_decide(core, &provisioner->autoscaler,
                                                 &provisioner->request, lmn_now());
    pthread_mutex_unlock(&core->lock);
    /* The lease's number is the key-value store's and never comes again: neither this
     * controller nor another can use the id for another request. */
    if (is_due)
        g_snprintf(provisioner->request_id, sizeof provisioner->request_id,
                   "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                   core->settings->node_name, lease, ++provisioner->request_count);
    return is_due;
}

/* A rented machine counts as booting until the list names it. */
static void record_rented(struct provisioner *provisioner, const char *name,
                          struct timespec now)
{
    const struct lmn_provision_request *request = &provisioner->request;
    struct lmn_cloud_machine *machine = find_or_add_machine(provisioner, name);

    g_strlcpy(machine->type, request->type, sizeof machine->type);
    g_strlcpy(machine->zone, request->zone, sizeof machine->zone);
    machine->is_spot = request->is_spot;
    machine->is_booting = true;
    machine->provisioned_at = machine->last_listed_at = now;
}

static void rent_machines(struct provisioner *provisioner)
{
    const struct lmn_provision_request *request = &provisioner->request;
    g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
    int status;

    if (!prepare_request(provisioner) || !take_call(provisioner))
        return;
    enum lmn_cloud_rental_outcome outcome = lmn_cloud_client_rent(
        &provisioner->cloud, provisioner->request_id, request, names, &status);
    struct timespec now = lmn_now();
    /* The same request is sent again in the next round: its id keeps it from renting
     * twice. */
    if (outcome == LMN_CLOUD_OUTAGE || outcome == LMN_CLOUD_UNKNOWN)
        return;
    for (guint i = 0; i < names->len; i++)
        record_rented(provisioner, names->pdata[i], now);
    lmn_info(
        "machines_requested request=%s type=%s zone=%s spot=%d asked=%u got=%u status=%d",
        provisioner->request_id, request->type, request->zone, request->is_spot,
        request->count, names->len, status);
    lmn_autoscaler_record_result(&provisioner->autoscaler, request, names->len, now);
    provisioner->request_id[0] = '\0';
}

/* --- the thread --- */

/* What a round sees of the shared state. */
struct round {
    struct timespec started_at;
    bool types_known;
    bool is_leader;      /* this controller owns partition 0 */
    bool is_first_epoch; /* nobody owned partition 0 before */
    bool is_view_stale;  /* its partitions may have another owner */
};

/* Takes the lock. */
static struct round begin_round(struct lmn_core *core)
{
    struct round round = {.started_at = lmn_now()};

    pthread_mutex_lock(&core->lock);
    round.types_known = core->cloud.machine_types_known;
    round.is_leader = core->partitions[0].ownership.is_owned;
    round.is_first_epoch = core->partitions[0].ownership.epoch <= 1;
    pthread_mutex_unlock(&core->lock);
    return round;
}

/* Takes the lock. */
static bool is_view_stale(struct lmn_core *core, struct timespec now)
{
    pthread_mutex_lock(&core->lock);
    bool is_stale = lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S;
    pthread_mutex_unlock(&core->lock);
    return is_stale;
}

/* Begins anew with an empty list when this controller has become the leader, and sets its
 * share of the cloud's calls. */
static void apply_leadership(struct provisioner *provisioner, const struct round *round)
{
    const struct lmn_settings *settings = provisioner->core->settings;
    double calls_per_s = settings->cloud_requests_per_s;

    if (round->is_leader && !provisioner->was_leader) {
        provisioner->leader_since = round->started_at;
        g_hash_table_remove_all(provisioner->autoscaler.machines);
        provisioner->list_read_at = (struct timespec){0, 0};
    }
    if (round->is_leader != provisioner->was_leader) {
        double share = round->is_leader
                           ? LEADER_CALL_SHARE
                           : OTHERS_CALL_SHARE / MAX(settings->member_count, 1);
        provisioner->budget.rate = calls_per_s * share;
        provisioner->budget.burst = round->is_leader ? MAX(calls_per_s, 1) : 1;
    }
    provisioner->was_leader = round->is_leader;
}

/* Keeps the machine list, and rents. A predecessor's last rentals show in the list only
 * after its lag, so a new leader waits that long before it rents; that some show later
 * costs less than machines that are missed meanwhile. */
static void lead(struct provisioner *provisioner, const struct round *round)
{
    double lag_s = provisioner->core->settings->list_lag_s;

    if (lmn_time_diff_s(round->started_at, provisioner->list_read_at) >
            MAX(lag_s, MIN_LIST_INTERVAL_S) &&
        read_list(provisioner))
        prune_machines(provisioner);
    if (provisioner->list_read_at.tv_sec &&
        (round->is_first_epoch ||
         lmn_time_diff_s(round->started_at, provisioner->leader_since) > lag_s))
        rent_machines(provisioner);
}

static void run_round(struct provisioner *provisioner)
{
    struct round round = begin_round(provisioner->core);

    if ((!round.types_known ||
         lmn_time_diff_s(round.started_at, provisioner->types_read_at) >
             TYPES_INTERVAL_S) &&
        take_call(provisioner)) {
        if (lmn_machine_types_read(provisioner->core, &provisioner->cloud))
            provisioner->types_read_at = lmn_now();
    }
    round.is_view_stale = is_view_stale(provisioner->core, round.started_at);
    if (!round.is_view_stale)
        return_machines(provisioner);
    apply_leadership(provisioner, &round);
    if (round.is_leader && round.types_known && !round.is_view_stale)
        lead(provisioner, &round);
}

void *lmn_provisioner_thread(void *arg)
{
    struct lmn_core *core = arg;
    const struct lmn_settings *settings = core->settings;
    struct provisioner provisioner = {
        .core = core, .cloud = lmn_cloud_client_new(settings->cloud_address)};
    double share = OTHERS_CALL_SHARE / (double)MAX(settings->member_count, 1);

    lmn_autoscaler_init(&provisioner.autoscaler);
    lmn_token_bucket_init(&provisioner.budget, settings->cloud_requests_per_s * share,
                          MAX(settings->cloud_requests_per_s, 1), lmn_now());
    for (;;) {
        run_round(&provisioner);
        lmn_sleep(ROUND_INTERVAL_S);
    }
    return NULL;
}
