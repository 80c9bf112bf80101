/** @file
 * Autoscaler; see autoscaler.h. Unlike the rest of scheduler/ it does not follow MATRIX,
 * whose set of nodes is fixed. */
#include "scheduler/autoscaler.h"
#include "scheduler/autoscaler_capacity.h"
#include "scheduler/autoscaler_constraints.h"
#include "scheduler/autoscaler_demand.h"
#include "scheduler/autoscaler_unschedulable.h"
#include "admission/connection_budget.h"
#include "state/core.h"
#include "util/log.h"

#include <math.h>
#include <string.h>

/** Most machines in one request. */
enum { MAX_REQUESTED_MACHINES = 50 };
/** Boot time, in seconds, that doubles an offer's cost: (1 + boot_s / BOOT_COST_S). */
static const double BOOT_COST_S = 120;
/** Delay in handling heartbeats above which a controller provisions no machines. */
static const double MAX_DELAY_S = 1;
/** Value of the operator setting `spot` from which spot instances are provisioned. */
static const double SPOT_ENABLED = 0.5;

/** Whether spot instances are disabled, or a request for some was ever refused. */
static bool is_spot_scarce(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler)
{
    return core->cache.operator_settings.spot < SPOT_ENABLED ||
           lmn_autoscaler_was_refused_spot(autoscaler);
}

/* --- choice of machines --- */

/** Capacity that is missing. */
struct deficit {
    enum lmn_capacity_unit unit;
    double amount;
    double max_ordinary; /**< part of `amount` that ordinary machines may serve */
    bool may_use_spot;
    bool is_first; /**< there is no capacity for it yet: the number of machines is rounded
                        up */
};

/** Demand that machines of an offer could serve. */
struct offer_demand {
    struct lmn_amounts amounts;
    double memory_gb;
    struct lmn_amounts least_task; /**< the least that a task takes */
};

static struct offer_demand sum_offer_demand(const struct lmn_offer *offer,
                                            const GArray *demands)
{
    struct offer_demand sum = {
        .least_task.of = {[LMN_UNIT_CPUS] = INFINITY, [LMN_UNIT_TASKS] = 1}};

    for (guint i = 0; i < demands->len; i++) {
        const struct lmn_range_demand *demand =
            &g_array_index(demands, struct lmn_range_demand, i);
        if ((!offer->is_spot && demand->is_spot_only) ||
            !lmn_job_spec_allows(demand->spec, offer->type, offer->zone, offer->is_spot))
            continue;
        lmn_amounts_add(&sum.amounts, 1, &demand->amounts);
        sum.memory_gb += demand->memory_gb;
        sum.least_task.of[LMN_UNIT_CPUS] =
            MIN(sum.least_task.of[LMN_UNIT_CPUS], demand->spec->cpus);
    }
    return sum;
}

static double price_per_hour(const struct lmn_offer *offer)
{
    return offer->is_spot ? offer->type->spot_price_per_hour
                          : offer->type->price_per_hour;
}

/** Factor by which the boot time raises an offer's cost: it is paid for, and tasks wait
 * for it. */
static double boot_factor(const struct lmn_machine_type *type)
{
    return 1 + type->boot_s / BOOT_COST_S;
}

/** How much of the unit tasks in the mix of the demand use on a machine that they fill:
 * all of it, unless another resource is used up first. */
static double usable_amount(const struct lmn_machine_type *type,
                            const struct offer_demand *demand,
                            enum lmn_capacity_unit unit)
{
    const struct lmn_amounts machine = lmn_type_amounts(type);
    double demanded = demand->amounts.of[unit];
    double usable = machine.of[unit];

    for (int other = 0; other < LMN_UNIT_COUNT; other++)
        if (demand->amounts.of[other] > 0)
            usable =
                MIN(usable, machine.of[other] * demanded / demand->amounts.of[other]);
    if (demand->memory_gb > 0)
        usable = MIN(usable, type->memory_gb * demanded / demand->memory_gb);
    return usable;
}

/** Cost of the offer per usable processor or task, in its price per hour; INFINITY if it
 * serves none of the deficit.
 * @param[out] count number of machines that serve the deficit; unchanged if the cost is
 * INFINITY */
static double offer_cost(const struct lmn_offer *offer, const GArray *demands,
                         const struct deficit *deficit, unsigned *count)
{
    const struct lmn_machine_type *type = offer->type;
    const struct offer_demand demand = sum_offer_demand(offer, demands);

    double served = MIN(deficit->amount, demand.amounts.of[deficit->unit]);
    if (!offer->is_spot)
        served = MIN(served, deficit->max_ordinary);
    if (!lmn_deficit_warrants_machine(served, demand.least_task.of[deficit->unit],
                                      deficit->is_first))
        return INFINITY;
    double usable = usable_amount(type, &demand, deficit->unit);
    double machines = served / usable;
    /* Tasks beyond the number that machines can name start nowhere, and ordinary work
     * would wait with them. */
    bool rounds_up = deficit->is_first || deficit->unit == LMN_UNIT_TASKS;
    double rounded = rounds_up ? ceil(machines) : floor(machines + 0.5);
    *count = (unsigned)CLAMP(rounded, 0, MAX_REQUESTED_MACHINES);
    return price_per_hour(offer) / usable * boot_factor(type);
}

static bool is_backing_off(const struct lmn_autoscaler *autoscaler,
                           const struct lmn_offer *offer, struct timespec now)
{
    return lmn_autoscaler_is_backing_off(autoscaler, offer->type->name, offer->zone,
                                         offer->is_spot, now);
}

static void fill_request(struct lmn_provision_request *request,
                         const struct lmn_offer *offer, unsigned count)
{
    g_strlcpy(request->type, offer->type->name, sizeof request->type);
    g_strlcpy(request->zone, offer->zone, sizeof request->zone);
    request->is_spot = offer->is_spot;
    request->count = count;
}

/** Fills in a request for the cheapest offer that serves the deficit.
 * @return the offer's cost; INFINITY if there is no offer: the request is unchanged */
static double choose_offer(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler, const GArray *demands,
                           const struct deficit *deficit,
                           struct lmn_provision_request *request, struct timespec now)
{
    g_autoptr(GArray) offers = lmn_list_offers(core);
    bool may_use_spot =
        deficit->may_use_spot && core->cache.operator_settings.spot >= SPOT_ENABLED;
    double least_cost = INFINITY;

    for (guint i = 0; i < offers->len; i++) {
        const struct lmn_offer *offer = &g_array_index(offers, struct lmn_offer, i);
        unsigned count = 0;
        if ((offer->is_spot && !may_use_spot) || is_backing_off(autoscaler, offer, now))
            continue;
        double cost = offer_cost(offer, demands, deficit, &count);
        if (cost >= least_cost)
            continue;
        least_cost = cost;
        fill_request(request, offer, count);
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
    g_autoptr(GArray) deficits = lmn_find_confined_deficits(core, demands, capacity);

    for (guint i = 0; i < deficits->len; i++) {
        const struct lmn_confined_deficit *confined =
            &g_array_index(deficits, struct lmn_confined_deficit, i);
        const struct deficit deficit = {confined->unit, confined->amount,
                                        confined->amount, true, confined->has_no_machine};
        double cost =
            choose_offer(core, autoscaler, confined->demands, &deficit, request, now);
        if (cost < INFINITY && request->count > 0)
            return true;
    }
    return false;
}

/** Fills in a request either for ordinary machines, for jobs that may not use spot
 * instances, or for the cheapest machines, for all other jobs. The larger of the two
 * deficits is tried first, because the rate of calls to the cloud is limited; if no offer
 * serves it, the other is tried. Returns whether an offer was found. */
static bool choose_request(const struct lmn_core *core,
                           const struct lmn_autoscaler *autoscaler, const GArray *demands,
                           const struct lmn_demand_totals *demand,
                           const struct lmn_capacity *capacity,
                           enum lmn_capacity_unit unit,
                           struct lmn_provision_request *request, struct timespec now)
{
    double ordinary_capacity = capacity->ordinary.of[unit];
    double ordinary = demand->ordinary.of[unit] - ordinary_capacity;
    double all = demand->all.of[unit] - capacity->all.of[unit];
    double spot_only = demand->spot_only.of[unit];
    /* Capacity of spot instances beyond the demand of jobs that wait for spot instances.
     */
    double spot_left = MAX(capacity->all.of[unit] - ordinary_capacity - spot_only, 0);
    double any = all - MAX(ordinary, 0);
    bool any_first = any > ordinary;
    double least_cost = INFINITY;

    for (int attempt = 0; attempt < 2 && least_cost == INFINITY; attempt++) {
        bool is_any = attempt == 0 ? any_first : !any_first;
        struct deficit deficit = {unit, ordinary, ordinary, is_any,
                                  ordinary_capacity <= 0};
        if (is_any) {
            deficit.is_first = capacity->all.of[unit] <= 0;
            /* The second attempt includes the deficit in ordinary machines, for which the
             * first has found no offer. */
            deficit.amount = attempt == 0 ? any : all;
            deficit.max_ordinary =
                demand->all.of[unit] - spot_only - ordinary_capacity - spot_left;
        }
        if (deficit.amount > 0)
            least_cost = choose_offer(core, autoscaler, demands, &deficit, request, now);
    }
    return least_cost < INFINITY && request->count > 0;
}

/** Fills in a request for what the sums of demand and capacity show to be missing:
 * processors, else tasks. */
static bool choose_summed_request(const struct lmn_core *core,
                                  const struct lmn_autoscaler *autoscaler,
                                  const GArray *demands,
                                  const struct lmn_capacity *capacity,
                                  struct lmn_provision_request *request,
                                  struct timespec now)
{
    const struct lmn_demand_totals demand = lmn_sum_demand(core, demands);

    for (int unit = 0; unit < LMN_UNIT_COUNT; unit++)
        if (choose_request(core, autoscaler, demands, &demand, capacity, unit, request,
                           now))
            return true;
    return false;
}

/** Price of the machines that the tasks need if they are of the offer, raised by the boot
 * time as in offer_cost; INFINITY if the offer may not be used now. */
static double unserved_cost(const struct lmn_core *core,
                            const struct lmn_autoscaler *autoscaler,
                            const struct lmn_unserved_tasks *unserved,
                            const struct lmn_offer *offer, struct timespec now)
{
    double machines = lmn_machines_for_unserved(unserved, offer);

    if (!machines || is_backing_off(autoscaler, offer, now) ||
        (offer->is_spot && core->cache.operator_settings.spot < SPOT_ENABLED))
        return INFINITY;
    return machines * price_per_hour(offer) * boot_factor(offer->type);
}

/** Fills in a request for the cheapest machines for the tasks.
 * @return whether there is an offer */
static bool choose_unserved_offer(const struct lmn_core *core,
                                  const struct lmn_autoscaler *autoscaler,
                                  const struct lmn_unserved_tasks *unserved,
                                  struct lmn_provision_request *request,
                                  struct timespec now)
{
    g_autoptr(GArray) offers = lmn_list_offers(core);
    double least_cost = INFINITY;

    for (guint i = 0; i < offers->len; i++) {
        const struct lmn_offer *offer = &g_array_index(offers, struct lmn_offer, i);
        double cost = unserved_cost(core, autoscaler, unserved, offer, now);
        if (cost >= least_cost)
            continue;
        least_cost = cost;
        fill_request(request, offer,
                     (unsigned)MIN(lmn_machines_for_unserved(unserved, offer),
                                   MAX_REQUESTED_MACHINES));
    }
    return least_cost < INFINITY;
}

/** Fills in a request for tasks that wait although the capacity covers the demand: each
 * machine has too little free for one of them, or may not run them. */
static bool choose_unserved_request(const struct lmn_core *core,
                                    const struct lmn_autoscaler *autoscaler,
                                    const struct lmn_capacity *capacity,
                                    struct lmn_provision_request *request,
                                    struct timespec now)
{
    g_autoptr(GArray) unserved = lmn_list_unserved(core, capacity, now);

    for (guint i = 0; i < unserved->len; i++) {
        const struct lmn_unserved_tasks *tasks =
            &g_array_index(unserved, struct lmn_unserved_tasks, i);
        if (!choose_unserved_offer(core, autoscaler, tasks, request, now))
            continue;
        lmn_info("unschedulable_tasks_found job=%s tasks=%.0f waited=%.0f "
                 "type=%s zone=%s",
                 tasks->listed->job_id, tasks->tasks, tasks->listed->waited_s,
                 request->type, request->zone);
        return true;
    }
    return false;
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
        !is_spot_scarce(core, autoscaler) ||
        capacity.all.of[LMN_UNIT_TASKS] > capacity.ordinary.of[LMN_UNIT_TASKS];
    GArray *demands = lmn_list_range_demands(core, may_wait_for_spot);
    bool has_offer =
        choose_confined_request(core, autoscaler, demands, &capacity, request, now) ||
        choose_summed_request(core, autoscaler, demands, &capacity, request, now) ||
        choose_unserved_request(core, autoscaler, &capacity, request, now);
    g_array_free(demands, TRUE);
    lmn_capacity_clear(&capacity);
    if (has_offer)
        request->count = (unsigned)MIN(request->count, acceptable_machines);
    return has_offer && request->count > 0;
}
