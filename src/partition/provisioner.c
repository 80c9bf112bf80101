/* The provisioner's thread: returns and rentals of machines, and the machine list. Only
 * this thread uses struct provisioner. It takes the core's lock whenever it reads or
 * changes shared state, and never holds it during a request to the cloud. */
#include "partition/provisioner.h"

#include "partition/cloud_client.h"
#include "partition/machine_attempts.h"
#include "partition/machine_type_reader.h"
#include "partition/maintenance.h"
#include "partition/partition.h"
#include "scheduler/autoscaler.h"
#include "state/core.h"
#include "state/core_state.h"
#include "state/fencing_token.h"
#include "util/clock.h"
#include "util/log.h"
#include "util/thread.h"
#include "util/token_bucket.h"

/* Shares of the request rate that the cloud allows: for the leader, which is the owner of
 * partition 0 and rents machines, and for all other controllers together, which only
 * return machines, up to 100 with each request. One request rents at most 50 machines:
 * with a share of 0.6 of 4 requests/s, renting 5,600 machines took 47 s, and the tasks
 * that needed them started minutes later. */
static const double LEADER_REQUEST_SHARE = 0.8, OTHERS_REQUEST_SHARE = 0.15;

/* At most one in this many of the leader's requests returns machines. */
enum { REQUESTS_PER_RETURN = 2 };

/* Seconds between two rounds of the thread, and between its tries to take a request from
 * the budget for the machine list. */
static const double ROUND_INTERVAL_S = 0.25, LIST_RETRY_S = 0.2;

/* Seconds after which the machine types are read again, and the least seconds between two
 * reads of the machine list. */
static const double TYPES_INTERVAL_S = 120, MIN_LIST_INTERVAL_S = 3.0;

/* A machine counts as gone if no list has named it for the list's lag times this factor,
 * plus this margin in seconds. */
static const double MISSING_LAG_FACTOR = 2, MISSING_MARGIN_S = 4;

/* A machine that boots for longer than its type's boot time-out times this factor, plus
 * this margin in seconds, is returned; one of an unknown type, after a fixed time. */
static const double BOOT_TIMEOUT_FACTOR = 2, BOOT_MARGIN_S = 10,
                    UNKNOWN_TYPE_BOOT_S = 120;

enum { REQUEST_ID_SIZE = 160 }; /* bytes */

struct provisioner {
    struct lmn_core *core;
    struct lmn_cloud_client cloud;
    struct lmn_token_bucket budget; /* of requests to the cloud */
    struct lmn_autoscaler autoscaler;
    bool was_leader; /* whether this controller owned partition 0 in the last round */
    /* Each is 0 until it happens for the first time. */
    struct timespec leader_since, types_read_at, list_read_at, last_return_at;
    /* The rental request that is open: it was not sent yet, or its outcome is unknown. */
    struct lmn_provision_request request;
    char request_id[REQUEST_ID_SIZE]; /* of the open request; empty: no request is open */
    uint64_t request_count;           /* of rental requests so far */
};

/* Takes a request from the budget. Returns false if none is left now. */
static bool take_request(struct provisioner *provisioner)
{
    return lmn_token_bucket_take(&provisioner->budget, 1, lmn_now()) <= 0;
}

/* --- returns --- */

/* Records that a machine was returned. The lock is held by the caller. */
static void record_returned(struct lmn_core *core, const char *name,
                            bool skip_if_terminated, struct timespec now)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);

    if (machine && partition->ownership.is_owned &&
        !(skip_if_terminated && machine->lifecycle.is_terminated))
        lmn_machine_handle_termination(core, machine, now);
    else
        g_hash_table_add(core->cloud.returned_machines, g_strdup(name));
}

/* Records that the machines were returned, and removes them from the autoscaler's list.
 * Takes the lock. */
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

/* The names of drained machines, at most as many as one request can return; freed by the
 * caller. Takes the lock. */
static GPtrArray *collect_drained_machines(struct lmn_core *core)
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

/* Returns drained machines. At most half of the leader's requests are returns, of several
 * machines each: if many machines fail one after another, a request for each of them
 * would leave no requests for renting replacements. */
static void return_machines(struct provisioner *provisioner)
{
    if (provisioner->was_leader &&
        lmn_time_diff_s(lmn_now(), provisioner->last_return_at) <
            REQUESTS_PER_RETURN / provisioner->budget.rate)
        return;
    g_autoptr(GPtrArray) names = collect_drained_machines(provisioner->core);
    if (!names->len || !take_request(provisioner))
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

/* Whether the machine was returned already. Takes the lock. */
static bool was_returned(struct lmn_core *core, const char *name)
{
    pthread_mutex_lock(&core->lock);
    bool is_returned = g_hash_table_contains(core->cloud.returned_machines, name);
    pthread_mutex_unlock(&core->lock);
    return is_returned;
}

/* Applies an entry of the cloud's machine list to the autoscaler's list. */
static void apply_list_entry(struct provisioner *provisioner,
                             const struct lmn_cloud_list_entry *entry,
                             struct timespec now)
{
    /* The cloud's list lags: it may still name a machine that was returned already. */
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
    if (was_booting && !machine->is_booting && !entry->is_broken) {
        lmn_autoscaler_record_boot(&provisioner->autoscaler, machine, entry->age_s);
        machine->booted_at = now;
    }
    machine->is_broken = entry->is_broken;
    if (!machine->is_listed)
        machine->provisioned_at = lmn_time_add(now, -entry->age_s);
    machine->is_listed = true;
    machine->last_listed_at = now;
}

/* Reads a page of the list.
 * @param after name of the last machine of the page before; set to the last one of this
 * page
 * @return false: the page could not be read */
static bool read_list_page(struct provisioner *provisioner, char after[LMN_NAME_SIZE],
                           bool *has_more)
{
    struct lmn_cbor_document document;
    const struct lmn_cbor_value *machines;
    struct lmn_cloud_list_entry entry;

    while (!take_request(provisioner))
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

/* Reads the whole list. The list lags, and may be older than the one read before, so a
 * machine that it does not name is removed only after it has been missing for longer than
 * the lag can be, or once the cloud has confirmed its return (is_gone).
 * @return false: a page could not be read */
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

/* Whether the machine is gone: returned, or missing from the list for too long. The lock
 * is held by the caller. */
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

/* Whether the machine is broken, or has been booting for so long that it probably never
 * finishes. A machine that boots late but within the time-out is used. The lock is held
 * by the caller. */
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

/* Removes machines that are gone from the autoscaler's list, and returns those that have
 * failed to boot. */
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
    if (failed->len && take_request(provisioner) &&
        lmn_cloud_client_return(&provisioner->cloud, failed))
        record_all_returned(provisioner, failed, true, now);
}

/* --- rentals, by the owner of partition 0 --- */

/* Prepares the next rental request that the autoscaler decides on, unless a request is
 * open already. Takes the lock.
 * @return whether a request is open now */
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
    /* The key-value store never assigns a lease id twice, so neither this controller, not
     * even after a restart, nor another one can use this request id for another
     * request. */
    if (is_due)
        g_snprintf(provisioner->request_id, sizeof provisioner->request_id,
                   "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                   core->settings->node_name, lease, ++provisioner->request_count);
    return is_due;
}

/* Adds a rented machine to the autoscaler's list. It counts as booting until the cloud's
 * list names it. */
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

    if (!prepare_request(provisioner) || !take_request(provisioner))
        return;
    enum lmn_cloud_rental_outcome outcome = lmn_cloud_client_rent(
        &provisioner->cloud, provisioner->request_id, request, names, &status);
    struct timespec now = lmn_now();
    /* The request stays open and is sent again in the next round. The cloud carries it
     * out only once, because the id is the same. */
    if (outcome == LMN_CLOUD_UNAVAILABLE || outcome == LMN_CLOUD_UNKNOWN)
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

/* The shared state as read at the start of a round. */
struct round {
    struct timespec started_at;
    bool types_known;
    bool is_leader;      /* this controller owns partition 0 */
    bool is_first_epoch; /* no controller owned partition 0 before */
    bool is_view_stale;  /* this controller's partitions may have another owner by now */
};

/* Reads the shared state, except is_view_stale. Takes the lock. */
static struct round begin_round(struct lmn_core *core)
{
    struct round round = {.started_at = lmn_now()};

    pthread_mutex_lock(&core->lock);
    round.types_known = core->cloud.machine_types_known;
    round.is_leader = core->partitions[0].ownership.is_owned;
    round.is_first_epoch = lmn_ownership_issued_token(&core->partitions[0].ownership, 1);
    pthread_mutex_unlock(&core->lock);
    return round;
}

/* Whether the watch cache is too old to return or rent machines. Takes the lock. */
static bool is_view_stale(struct lmn_core *core, struct timespec now)
{
    pthread_mutex_lock(&core->lock);
    bool is_stale = lmn_watch_cache_age_s(core, now) > LMN_MAX_CACHE_AGE_S;
    pthread_mutex_unlock(&core->lock);
    return is_stale;
}

/* Empties the machine list when this controller has become the leader, and sets its share
 * of the requests to the cloud when it has become or ceased to be the leader. */
static void apply_leadership(struct provisioner *provisioner, const struct round *round)
{
    const struct lmn_settings *settings = provisioner->core->settings;
    double requests_per_s = settings->cloud_requests_per_s;

    if (round->is_leader && !provisioner->was_leader) {
        provisioner->leader_since = round->started_at;
        g_hash_table_remove_all(provisioner->autoscaler.machines);
        provisioner->list_read_at = (struct timespec){0, 0};
    }
    if (round->is_leader != provisioner->was_leader) {
        double share = round->is_leader
                           ? LEADER_REQUEST_SHARE
                           : OTHERS_REQUEST_SHARE / MAX(settings->member_count, 1);
        provisioner->budget.rate = requests_per_s * share;
        provisioner->budget.burst = round->is_leader ? MAX(requests_per_s, 1) : 1;
    }
    provisioner->was_leader = round->is_leader;
}

/* Reads the machine list and rents machines. The last rentals of a previous leader appear
 * in the list only after its lag, so a new leader waits that long before it rents;
 * earlier it would rent these machines a second time. It does not wait longer: a few
 * rentals that appear even later cost less than tasks that wait for machines. */
static void run_leader_round(struct provisioner *provisioner, const struct round *round)
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
        take_request(provisioner)) {
        if (lmn_machine_types_read(provisioner->core, &provisioner->cloud))
            provisioner->types_read_at = lmn_now();
    }
    round.is_view_stale = is_view_stale(provisioner->core, round.started_at);
    if (!round.is_view_stale)
        return_machines(provisioner);
    apply_leadership(provisioner, &round);
    if (round.is_leader && round.types_known && !round.is_view_stale)
        run_leader_round(provisioner, &round);
}

void *lmn_provisioner_thread(void *arg)
{
    struct lmn_core *core = arg;
    const struct lmn_settings *settings = core->settings;
    struct provisioner provisioner = {
        .core = core, .cloud = lmn_cloud_client_new(settings->cloud_address)};
    double share = OTHERS_REQUEST_SHARE / (double)MAX(settings->member_count, 1);

    lmn_autoscaler_init(&provisioner.autoscaler);
    lmn_token_bucket_init(&provisioner.budget, settings->cloud_requests_per_s * share,
                          MAX(settings->cloud_requests_per_s, 1), lmn_now());
    for (;;) {
        run_round(&provisioner);
        lmn_sleep(ROUND_INTERVAL_S);
    }
    return NULL;
}
