/** @file
 * Autoscaler; see autoscaler.h. MATRIX has a fixed set of nodes, so nothing here comes
 * from it. */
#include "scheduler/autoscaler.h"
#include "scheduler/autoscaler_demand.h"
#include "admission/connection_budget.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

/** Boots usually take up to so many times what the type says, as the protocol tells. */
static const double USUAL_BOOT_FACTOR = 1.5;
/** Weight of the last boot in the moving average. */
static const double LAST_BOOT_WEIGHT = 0.2;
/** Late machines are replaced if they are at most one of so many of their kind. */
enum { MACHINES_PER_LATE_ONE = 4 };
/** Limits of the seconds between requests for a kind that was refused. */
static const double MIN_BACKOFF_S = 8, MAX_BACKOFF_S = 32;
/** Machines that are requested at a time at most. */
enum { MAX_REQUESTED_MACHINES = 50 };
/** A boot of so many seconds counts as much as the machine's price. */
static const double BOOT_COST_S = 120;
/** Deficit in processors below which nothing is provisioned. */
static const double MIN_DEFICIT_CPUS = 1;
/** Seconds by which a controller may be behind with its heartbeats and still provision
 * machines. */
static const double MAX_DELAY_S = 1;
/** Operators' setting above which spot instances are provisioned. */
static const double SPOT_ENABLED = 0.5;

void lmn_autoscaler_init(struct lmn_autoscaler *autoscaler)
{
    autoscaler->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    autoscaler->backoffs = g_array_new(FALSE, FALSE, sizeof(struct lmn_capacity_backoff));
    autoscaler->boot_times = g_array_new(FALSE, FALSE, sizeof(struct lmn_boot_time));
}

static struct lmn_boot_time *find_boot_time(const struct lmn_autoscaler *autoscaler,
                                            const char *type, const char *zone)
{
    for (guint i = 0; i < autoscaler->boot_times->len; i++) {
        struct lmn_boot_time *boot_time =
            &g_array_index(autoscaler->boot_times, struct lmn_boot_time, i);
        if (!strcmp(boot_time->type, type) && !strcmp(boot_time->zone, zone))
            return boot_time;
    }
    return NULL;
}

void lmn_autoscaler_record_boot(struct lmn_autoscaler *autoscaler,
                                const struct lmn_cloud_machine *machine, double age_s)
{
    struct lmn_boot_time *boot_time =
        find_boot_time(autoscaler, machine->type, machine->zone);
    struct lmn_boot_time new_boot_time = {.typical_s = age_s};

    if (boot_time) {
        boot_time->typical_s += (age_s - boot_time->typical_s) * LAST_BOOT_WEIGHT;
        return;
    }
    g_strlcpy(new_boot_time.type, machine->type, sizeof new_boot_time.type);
    g_strlcpy(new_boot_time.zone, machine->zone, sizeof new_boot_time.zone);
    g_array_append_val(autoscaler->boot_times, new_boot_time);
}

double lmn_autoscaler_boot_timeout_s(const struct lmn_autoscaler *autoscaler,
                                     const struct lmn_machine_type *type,
                                     const char *zone, double lag_s)
{
    const struct lmn_boot_time *boot_time = find_boot_time(autoscaler, type->name, zone);
    double typical_s = boot_time ? boot_time->typical_s : 0;

    return USUAL_BOOT_FACTOR * MAX(type->boot_s, typical_s) + 2 * lag_s;
}

/* --- capacity at hand --- */

/** Processors of the machines that are there or come, late ones left out. */
struct capacity {
    double machines; /**< all that the cloud lists, broken ones included */
    double cpus;
    double ordinary_cpus; /**< of it, on machines that are no spot instances */
};

/** Machines of one type and zone. */
struct machine_kind {
    const struct lmn_machine_type *type;
    const char *zone;
    unsigned count;
    unsigned late_count;
};

/** The kind of machines of that type and zone, which is added if it is missing. */
static struct machine_kind *get_kind(GArray *kinds, const struct lmn_machine_type *type,
                                     const char *zone)
{
    struct machine_kind new_kind = {type, zone, 0, 0};

    for (guint i = 0; i < kinds->len; i++) {
        struct machine_kind *kind = &g_array_index(kinds, struct machine_kind, i);
        if (kind->type == type && !strcmp(kind->zone, zone))
            return kind;
    }
    g_array_append_val(kinds, new_kind);
    return &g_array_index(kinds, struct machine_kind, kinds->len - 1);
}

/** Whether the machine should have booted by now. */
static bool is_late(const struct lmn_core *core, const struct lmn_autoscaler *autoscaler,
                    const struct lmn_cloud_machine *machine,
                    const struct lmn_machine_type *type, struct timespec now)
{
    return machine->is_booting &&
           lmn_time_diff_s(now, machine->provisioned_at) >
               lmn_autoscaler_boot_timeout_s(autoscaler, type, machine->zone,
                                             core->settings->list_lag_s);
}

/** Counts the machines of each kind, and the late ones of them. */
static GArray *count_kinds(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler, struct timespec now)
{
    GArray *kinds = g_array_new(FALSE, FALSE, sizeof(struct machine_kind));
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, autoscaler->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_cloud_machine *machine = value;
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, machine->type);
        if (!type || machine->is_broken)
            continue;
        struct machine_kind *kind = get_kind(kinds, type, machine->zone);
        kind->count++;
        kind->late_count += is_late(core, autoscaler, machine, type, now);
    }
    return kinds;
}

/** Subtracts the processors of late machines, so that they are provisioned once more,
 * where only a few of a kind are late. Where many are late it is the cloud that is slow,
 * and others would come no sooner. */
static void subtract_late(const struct lmn_core *core,
                          const struct lmn_autoscaler *autoscaler,
                          struct capacity *capacity, struct timespec now)
{
    GArray *kinds = count_kinds(core, autoscaler, now);
    double late_cpus = 0, late_ordinary_cpus = 0;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, autoscaler->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_cloud_machine *machine = value;
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, machine->type);
        if (!type || machine->is_broken)
            continue;
        const struct machine_kind *kind = get_kind(kinds, type, machine->zone);
        if (is_late(core, autoscaler, machine, type, now) &&
            MACHINES_PER_LATE_ONE * kind->late_count <= kind->count) {
            late_cpus += type->cpus;
            late_ordinary_cpus += machine->is_spot ? 0 : type->cpus;
        }
    }
    g_array_free(kinds, TRUE);
    capacity->cpus -= late_cpus;
    capacity->ordinary_cpus -= late_ordinary_cpus;
}

static struct capacity sum_capacity(const struct lmn_core *core,
                                    const struct lmn_autoscaler *autoscaler,
                                    struct timespec now)
{
    struct capacity capacity = {0, 0, 0};
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, autoscaler->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_cloud_machine *machine = value;
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, machine->type);
        capacity.machines++;
        if (machine->is_broken || !type)
            continue;
        capacity.cpus += type->cpus;
        if (!machine->is_spot)
            capacity.ordinary_cpus += type->cpus;
    }
    subtract_late(core, autoscaler, &capacity, now);
    return capacity;
}

/* --- refusals --- */

static struct lmn_capacity_backoff *find_backoff(const struct lmn_autoscaler *autoscaler,
                                                 const char *type, const char *zone,
                                                 bool is_spot)
{
    for (guint i = 0; i < autoscaler->backoffs->len; i++) {
        struct lmn_capacity_backoff *backoff =
            &g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff, i);
        if (backoff->is_spot == is_spot && !strcmp(backoff->type, type) &&
            !strcmp(backoff->zone, zone))
            return backoff;
    }
    return NULL;
}

void lmn_autoscaler_record_result(struct lmn_autoscaler *autoscaler,
                                  const struct lmn_provision_request *request,
                                  unsigned granted, struct timespec now)
{
    struct lmn_capacity_backoff *backoff =
        find_backoff(autoscaler, request->type, request->zone, request->is_spot);

    if (granted >= request->count) {
        if (backoff)
            backoff->wait_s = 0;
        return;
    }
    if (!backoff) {
        struct lmn_capacity_backoff new_backoff = {.is_spot = request->is_spot};
        g_strlcpy(new_backoff.type, request->type, sizeof new_backoff.type);
        g_strlcpy(new_backoff.zone, request->zone, sizeof new_backoff.zone);
        g_array_append_val(autoscaler->backoffs, new_backoff);
        backoff = &g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff,
                                 autoscaler->backoffs->len - 1);
    }
    backoff->wait_s = granted ? MIN_BACKOFF_S
                              : CLAMP(backoff->wait_s * 2, MIN_BACKOFF_S, MAX_BACKOFF_S);
    backoff->until = lmn_time_add(now, backoff->wait_s);
}

/** Whether spot instances are switched off, or have ever been refused. */
static bool is_spot_scarce(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler)
{
    if (core->cache.operator_settings.spot < SPOT_ENABLED)
        return true;
    for (guint i = 0; i < autoscaler->backoffs->len; i++)
        if (g_array_index(autoscaler->backoffs, struct lmn_capacity_backoff, i).is_spot)
            return true;
    return false;
}

/* --- choice --- */

/** What machines are wanted for. */
struct deficit {
    double cpus;
    double max_ordinary_cpus; /**< of it, what ordinary machines may serve */
    bool may_use_spot;
    bool is_first; /**< there are no machines yet: round up */
};

/** A kind of machines that the cloud offers. */
struct offer {
    const struct lmn_machine_type *type;
    const char *zone;
    bool is_spot;
};

/** The offer's cost for a processor that can be used; INFINITY if it is no use. Time lost
 * to booting is paid for, and waited for.
 * @param[out] count how many machines of it serve the deficit; set if it is of use */
static double rate_offer(const struct offer *offer, const GArray *demands,
                         const struct deficit *deficit, unsigned *count)
{
    const struct lmn_machine_type *type = offer->type;
    double cpus = 0, memory_gb = 0;

    for (guint i = 0; i < demands->len; i++) {
        const struct lmn_range_demand *demand =
            &g_array_index(demands, struct lmn_range_demand, i);
        if ((offer->is_spot || !demand->is_spot_only) &&
            lmn_job_spec_allows(demand->spec, type, offer->zone, offer->is_spot)) {
            cpus += demand->cpus;
            memory_gb += demand->memory_gb;
        }
    }
    double served_cpus = MIN(deficit->cpus, cpus);
    if (!offer->is_spot)
        served_cpus = MIN(served_cpus, deficit->max_ordinary_cpus);
    if (served_cpus < MIN_DEFICIT_CPUS)
        return INFINITY;
    double usable_cpus =
        MIN(type->cpus, memory_gb > 0 ? type->memory_gb * cpus / memory_gb : type->cpus);
    double machines = served_cpus / usable_cpus;
    double rounded = deficit->is_first ? ceil(machines) : floor(machines + 0.5);
    *count = (unsigned)CLAMP(rounded, 0, MAX_REQUESTED_MACHINES);
    double rate = offer->is_spot ? type->spot_price_per_hour : type->price_per_hour;
    return rate / usable_cpus * (1 + type->boot_s / BOOT_COST_S);
}

/** Whether the cloud has refused the offer lately. */
static bool is_backing_off(const struct lmn_autoscaler *autoscaler,
                           const struct offer *offer, struct timespec now)
{
    const struct lmn_capacity_backoff *backoff =
        find_backoff(autoscaler, offer->type->name, offer->zone, offer->is_spot);

    return backoff && backoff->wait_s > 0 && lmn_time_before(now, backoff->until);
}

/** Chooses the cheapest kind of machines that serves the deficit.
 * @return its cost; INFINITY: there is none, and the request is unchanged */
static double choose_offer(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler, const GArray *demands,
                           const struct deficit *deficit,
                           struct lmn_provision_request *request, struct timespec now)
{
    const struct lmn_machine_types *types = &core->cloud.machine_types;
    bool may_use_spot =
        deficit->may_use_spot && core->cache.operator_settings.spot >= SPOT_ENABLED;
    double least_cost = INFINITY;

    for (size_t i = 0; i < types->count; i++)
        for (int zone = 0; zone < types->types[i].zone_count; zone++)
            for (int spot = 0; spot <= may_use_spot; spot++) {
                const struct offer offer = {&types->types[i], types->types[i].zones[zone],
                                            spot};
                unsigned count = 0;
                if (is_backing_off(autoscaler, &offer, now))
                    continue;
                double cost = rate_offer(&offer, demands, deficit, &count);
                if (cost >= least_cost)
                    continue;
                least_cost = cost;
                g_strlcpy(request->type, offer.type->name, sizeof request->type);
                g_strlcpy(request->zone, offer.zone, sizeof request->zone);
                request->is_spot = offer.is_spot;
                request->count = count;
            }
    return least_cost;
}

/** Chooses ordinary machines for the work that must have them, and whatever is cheapest
 * for the rest: the larger deficit first, since calls to the cloud are few; where the one
 * can't be had, the other. Returns whether there is an offer. */
static bool choose_request(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler, const GArray *demands,
                           const struct capacity *capacity,
                           struct lmn_provision_request *request, struct timespec now)
{
    const struct lmn_demand_totals demand = lmn_sum_demand(core, demands);
    double ordinary_cpus = demand.ordinary_cpus - capacity->ordinary_cpus;
    double all_cpus = demand.cpus - capacity->cpus;
    /* What spot instances leave free once the work that may use nothing else has its
     * part. */
    double spot_left_cpus =
        MAX(capacity->cpus - capacity->ordinary_cpus - demand.spot_only_cpus, 0);
    double any_cpus = all_cpus - MAX(ordinary_cpus, 0);
    bool any_first = any_cpus > ordinary_cpus;
    double least_cost = INFINITY;

    for (int turn = 0; turn < 2 && least_cost == INFINITY; turn++) {
        bool is_any = turn == 0 ? any_first : !any_first;
        struct deficit deficit = {ordinary_cpus, ordinary_cpus, is_any,
                                  capacity->cpus <= 0};
        if (is_any) {
            /* What only ordinary machines can run is left to the other turn, unless that
             * has found no offer. */
            deficit.cpus = turn == 0 ? any_cpus : all_cpus;
            deficit.max_ordinary_cpus = demand.cpus - demand.spot_only_cpus -
                                        capacity->ordinary_cpus - spot_left_cpus;
        }
        if (deficit.cpus >= MIN_DEFICIT_CPUS)
            least_cost = choose_offer(core, autoscaler, demands, &deficit, request, now);
    }
    return least_cost < INFINITY;
}

bool lmn_autoscaler_decide(struct lmn_core *core, struct lmn_autoscaler *autoscaler,
                           struct lmn_provision_request *request, struct timespec now)
{
    const struct capacity capacity = sum_capacity(core, autoscaler, now);
    double acceptable_machines =
        lmn_connection_budget_max_machines(&core->connection_budget, core->settings) -
        capacity.machines;

    /* A machine that no controller can accept a connection from runs nothing; and while a
     * controller is behind, the machines that it has wait for it long enough. */
    if (acceptable_machines < 1 || core->load.delay_s > MAX_DELAY_S)
        return false;
    /* Where no spot instance can be had at all, idle work takes what there is. */
    bool may_wait_for_spot =
        !is_spot_scarce(core, autoscaler) || capacity.cpus > capacity.ordinary_cpus;
    GArray *demands = lmn_list_range_demands(core, may_wait_for_spot);
    bool has_offer = choose_request(core, autoscaler, demands, &capacity, request, now);
    g_array_free(demands, TRUE);
    if (has_offer)
        request->count = (unsigned)MIN(request->count, acceptable_machines);
    return has_offer && request->count > 0;
}
