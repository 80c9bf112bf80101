/** @file
 * Autoscaler; see autoscaler.h. Unlike the rest of scheduler/ it does not follow MATRIX,
 * whose set of nodes is fixed. */
#include "scheduler/autoscaler.h"
#include "scheduler/autoscaler_capacity.h"
#include "scheduler/autoscaler_constraints.h"
#include "scheduler/autoscaler_demand.h"
#include "admission/connection_budget.h"
#include "state/core.h"

#include <math.h>
#include <string.h>

/** By the cloud's protocol, a boot usually takes at most this factor times the machine
 * type's `boot_s`. */
static const double USUAL_BOOT_FACTOR = 1.5;
/** Weight of the latest boot in the moving average of boot times. */
static const double LAST_BOOT_WEIGHT = 0.2;
/** Bounds of the wait before machines that the cloud refused are requested again. */
static const double MIN_BACKOFF_S = 8, MAX_BACKOFF_S = 32;
/** Most machines in one request. */
enum { MAX_REQUESTED_MACHINES = 50 };
/** Boot time, in seconds, that doubles an offer's cost: (1 + boot_s / BOOT_COST_S). */
static const double BOOT_COST_S = 120;
/** Delay in handling heartbeats above which a controller provisions no machines. */
static const double MAX_DELAY_S = 1;
/** Value of the operator setting `spot` from which spot instances are provisioned. */
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

/* --- backoff after refusals --- */

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

/** Whether spot instances are disabled, or a request for some was ever refused. */
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

/* --- choice of machines --- */

/** Capacity that is missing. */
struct deficit {
    double cpus;
    double max_ordinary_cpus; /**< part of `cpus` that ordinary machines may serve */
    bool may_use_spot;
    bool is_first; /**< there is no capacity for it yet: the number of machines is rounded
                        up */
};

/** Demand that machines of an offer could serve. */
struct offer_demand {
    double cpus, memory_gb;
    double least_task_cpus; /**< processors of the smallest task */
};

static struct offer_demand sum_offer_demand(const struct lmn_offer *offer,
                                            const GArray *demands)
{
    struct offer_demand sum = {.least_task_cpus = INFINITY};

    for (guint i = 0; i < demands->len; i++) {
        const struct lmn_range_demand *demand =
            &g_array_index(demands, struct lmn_range_demand, i);
        if ((!offer->is_spot && demand->is_spot_only) ||
            !lmn_job_spec_allows(demand->spec, offer->type, offer->zone, offer->is_spot))
            continue;
        sum.cpus += demand->cpus;
        sum.memory_gb += demand->memory_gb;
        sum.least_task_cpus = MIN(sum.least_task_cpus, demand->spec->cpus);
    }
    return sum;
}

/** Cost of the offer per usable processor, in its price per hour; INFINITY if it serves
 * none of the deficit. Boot time raises the cost: it is paid for, and tasks wait for it.
 * @param[out] count number of machines that serve the deficit; unchanged if the cost is
 * INFINITY */
static double offer_cost(const struct lmn_offer *offer, const GArray *demands,
                         const struct deficit *deficit, unsigned *count)
{
    const struct lmn_machine_type *type = offer->type;
    const struct offer_demand demand = sum_offer_demand(offer, demands);

    double served_cpus = MIN(deficit->cpus, demand.cpus);
    if (!offer->is_spot)
        served_cpus = MIN(served_cpus, deficit->max_ordinary_cpus);
    if (!lmn_deficit_warrants_machine(served_cpus, demand.least_task_cpus,
                                      deficit->is_first))
        return INFINITY;
    double usable_cpus =
        MIN(type->cpus, demand.memory_gb > 0
                            ? type->memory_gb * demand.cpus / demand.memory_gb
                            : type->cpus);
    double machines = served_cpus / usable_cpus;
    double rounded = deficit->is_first ? ceil(machines) : floor(machines + 0.5);
    *count = (unsigned)CLAMP(rounded, 0, MAX_REQUESTED_MACHINES);
    double rate = offer->is_spot ? type->spot_price_per_hour : type->price_per_hour;
    return rate / usable_cpus * (1 + type->boot_s / BOOT_COST_S);
}

/** Whether a refusal by the cloud still forbids requests for the offer. */
static bool is_backing_off(const struct lmn_autoscaler *autoscaler,
                           const struct lmn_offer *offer, struct timespec now)
{
    const struct lmn_capacity_backoff *backoff =
        find_backoff(autoscaler, offer->type->name, offer->zone, offer->is_spot);

    return backoff && backoff->wait_s > 0 && lmn_time_before(now, backoff->until);
}

/** Fills in a request for the cheapest offer that serves the deficit.
 * @return the offer's cost; INFINITY if there is no offer: the request is unchanged */
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
                const struct lmn_offer offer = {&types->types[i],
                                                types->types[i].zones[zone], spot};
                unsigned count = 0;
                if (is_backing_off(autoscaler, &offer, now))
                    continue;
                double cost = offer_cost(&offer, demands, deficit, &count);
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

/** Fills in a request for demand that only some of the offers may serve. It is served
 * before all other demand, which the other offers can serve, too.
 * @return whether there is such a demand and an offer for it */
static bool choose_confined_request(const struct lmn_core *core,
                                    const struct lmn_autoscaler *autoscaler,
                                    const GArray *demands,
                                    const struct lmn_capacity *capacity,
                                    struct lmn_provision_request *request,
                                    struct timespec now)
{
    struct lmn_confined_deficit confined;

    if (!lmn_find_confined_deficit(core, demands, capacity, &confined))
        return false;
    const struct deficit deficit = {confined.cpus, confined.cpus, true,
                                    confined.has_no_machine};
    double cost =
        choose_offer(core, autoscaler, confined.demands, &deficit, request, now);
    lmn_confined_deficit_clear(&confined);
    return cost < INFINITY && request->count > 0;
}

/** Fills in a request either for ordinary machines, for jobs that may not use spot
 * instances, or for the cheapest machines, for all other jobs. The larger of the two
 * deficits is tried first, because the rate of calls to the cloud is limited; if no offer
 * serves it, the other is tried. Returns whether an offer was found. */
static bool choose_request(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler, const GArray *demands,
                           const struct lmn_capacity *capacity,
                           struct lmn_provision_request *request, struct timespec now)
{
    const struct lmn_demand_totals demand = lmn_sum_demand(core, demands);
    double ordinary_cpus = demand.ordinary_cpus - capacity->ordinary_cpus;
    double all_cpus = demand.cpus - capacity->cpus;
    /* Capacity of spot instances beyond the demand of jobs that wait for spot instances.
     */
    double spot_left_cpus =
        MAX(capacity->cpus - capacity->ordinary_cpus - demand.spot_only_cpus, 0);
    double any_cpus = all_cpus - MAX(ordinary_cpus, 0);
    bool any_first = any_cpus > ordinary_cpus;
    double least_cost = INFINITY;

    for (int attempt = 0; attempt < 2 && least_cost == INFINITY; attempt++) {
        bool is_any = attempt == 0 ? any_first : !any_first;
        struct deficit deficit = {ordinary_cpus, ordinary_cpus, is_any,
                                  capacity->ordinary_cpus <= 0};
        if (is_any) {
            deficit.is_first = capacity->cpus <= 0;
            /* The second attempt includes the deficit in ordinary machines, for which the
             * first has found no offer. */
            deficit.cpus = attempt == 0 ? any_cpus : all_cpus;
            deficit.max_ordinary_cpus = demand.cpus - demand.spot_only_cpus -
                                        capacity->ordinary_cpus - spot_left_cpus;
        }
        if (deficit.cpus > 0)
            least_cost = choose_offer(core, autoscaler, demands, &deficit, request, now);
    }
    return least_cost < INFINITY;
}

/** Whether more machines may be provisioned now. A machine runs nothing if no controller
 * has a connection left for it. While this controller is late in handling heartbeats,
 * more machines would delay it further. */
static bool may_provision(const struct lmn_core *core, double acceptable_machines)
{
    return acceptable_machines >= 1 && core->load.delay_s <= MAX_DELAY_S;
}

bool lmn_autoscaler_decide(struct lmn_core *core, struct lmn_autoscaler *autoscaler,
                           struct lmn_provision_request *request, struct timespec now)
{
    double acceptable_machines =
        lmn_connection_budget_max_machines(&core->connection_budget, core->settings) -
        g_hash_table_size(autoscaler->machines);

    if (!may_provision(core, acceptable_machines))
        return false;
    struct lmn_capacity capacity = lmn_capacity_sum(core, autoscaler, now);
    /* If there is no spot instance and none can be had, idle jobs may use ordinary
     * machines. */
    bool may_wait_for_spot =
        !is_spot_scarce(core, autoscaler) || capacity.cpus > capacity.ordinary_cpus;
    GArray *demands = lmn_list_range_demands(core, may_wait_for_spot);
    bool has_offer =
        choose_confined_request(core, autoscaler, demands, &capacity, request, now) ||
        choose_request(core, autoscaler, demands, &capacity, request, now);
    g_array_free(demands, TRUE);
    lmn_capacity_clear(&capacity);
    if (has_offer)
        request->count = (unsigned)MIN(request->count, acceptable_machines);
    return has_offer && request->count > 0;
}
