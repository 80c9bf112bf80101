/** @file
 * Confined demand; see autoscaler_constraints.h. The caller holds the core's lock. */
#include "scheduler/autoscaler_constraints.h"
#include "scheduler/resources.h"

#include <string.h>

/** Sets of offers that are told apart; demand confined to a further set is not
 * considered.
 */
enum { MAX_SETS = 64 };

/** A set of offers to which some demand is confined. */
struct offer_set {
    guint8 *contains;       /**< for each offer, whether it is in the set */
    double cpus;            /**< demand of jobs that may use these offers and no others */
    double least_task_cpus; /**< processors of the smallest of their tasks */
};

/** The sets of offers that the demand is confined to. */
struct offer_sets {
    GArray *offers;     /**< struct lmn_offer, all that the cloud has */
    GArray *sets;       /**< struct offer_set */
    GArray *set_of;     /**< for each demand the index of its set; -1: not confined */
    guint8 *is_allowed; /**< scratch: for each offer, whether a job allows it */
};

static void free_set(gpointer element)
{
    g_free(((struct offer_set *)element)->contains);
}

/** Sets `is_allowed` to the offers that the job allows.
 * @return whether it is confined: an ordinary machine of some offer may not run it */
static bool list_allowed(struct offer_sets *sets, const struct lmn_job_spec *spec)
{
    bool is_confined = false;

    for (guint i = 0; i < sets->offers->len; i++) {
        const struct lmn_offer *offer = &g_array_index(sets->offers, struct lmn_offer, i);
        sets->is_allowed[i] =
            lmn_job_spec_allows(spec, offer->type, offer->zone, offer->is_spot);
        is_confined = is_confined || (!offer->is_spot && !sets->is_allowed[i]);
    }
    return is_confined;
}

/** Returns the index of the set of the offers in `is_allowed`, which is added if it is
 * new; -1 if there are too many sets. */
static int get_set(struct offer_sets *sets)
{
    guint offer_count = sets->offers->len;

    for (guint i = 0; i < sets->sets->len; i++)
        if (!memcmp(g_array_index(sets->sets, struct offer_set, i).contains,
                    sets->is_allowed, offer_count))
            return (int)i;
    if (sets->sets->len >= MAX_SETS)
        return -1;
    struct offer_set set = {.contains = g_memdup2(sets->is_allowed, offer_count),
                            .least_task_cpus = INFINITY};
    g_array_append_val(sets->sets, set);
    return (int)sets->sets->len - 1;
}

/** Adds the demand to the set that it is confined to, if any. */
static void add_demand(struct offer_sets *sets, const struct lmn_range_demand *demand)
{
    int index =
        !demand->is_spot_only && list_allowed(sets, demand->spec) ? get_set(sets) : -1;

    g_array_append_val(sets->set_of, index);
    if (index < 0)
        return;
    struct offer_set *set = &g_array_index(sets->sets, struct offer_set, index);
    set->cpus += demand->cpus;
    set->least_task_cpus = MIN(set->least_task_cpus, demand->spec->cpus);
}

static struct offer_sets group_demands(const struct lmn_core *core, const GArray *demands)
{
    struct offer_sets sets = {
        .offers = lmn_list_offers(core),
        .sets = g_array_new(FALSE, FALSE, sizeof(struct offer_set)),
        .set_of = g_array_sized_new(FALSE, FALSE, sizeof(int), demands->len)};

    g_array_set_clear_func(sets.sets, free_set);
    sets.is_allowed = g_new0(guint8, sets.offers->len);
    for (guint i = 0; i < demands->len; i++)
        add_demand(&sets, &g_array_index(demands, struct lmn_range_demand, i));
    return sets;
}

static void clear_sets(struct offer_sets *sets)
{
    g_array_free(sets->offers, TRUE);
    g_array_free(sets->sets, TRUE);
    g_array_free(sets->set_of, TRUE);
    g_free(sets->is_allowed);
}

static bool is_subset(const struct offer_sets *sets, const struct offer_set *part,
                      const struct offer_set *whole)
{
    for (guint i = 0; i < sets->offers->len; i++)
        if (part->contains[i] && !whole->contains[i])
            return false;
    return true;
}

static bool contains_offer(const struct offer_sets *sets, const struct offer_set *set,
                           const struct lmn_offer *offer)
{
    for (guint i = 0; i < sets->offers->len; i++) {
        const struct lmn_offer *other = &g_array_index(sets->offers, struct lmn_offer, i);
        if (set->contains[i] && other->type == offer->type &&
            other->is_spot == offer->is_spot && !strcmp(other->zone, offer->zone))
            return true;
    }
    return false;
}

/** Compares the demand that is confined to the set or to a part of it with the set's
 * capacity. `demands` of the result is not set. */
static struct lmn_confined_deficit compare_set(const struct offer_sets *sets,
                                               const struct offer_set *set,
                                               const struct lmn_capacity *capacity)
{
    struct lmn_confined_deficit deficit = {.has_no_machine = true};

    for (guint i = 0; i < sets->sets->len; i++) {
        const struct offer_set *part = &g_array_index(sets->sets, struct offer_set, i);
        deficit.cpus += is_subset(sets, part, set) ? part->cpus : 0;
    }
    for (guint i = 0; i < capacity->groups->len; i++) {
        const struct lmn_machine_group *group =
            &g_array_index(capacity->groups, struct lmn_machine_group, i);
        if (!contains_offer(sets, set, &group->offer) || group->cpus <= 0)
            continue;
        deficit.cpus -= group->cpus;
        deficit.has_no_machine = false;
    }
    return deficit;
}

/** Copies the demand that is confined to the set or to a part of it.
 * @return struct lmn_range_demand; the caller frees the array */
static GArray *list_confined(const struct offer_sets *sets, const struct offer_set *set,
                             const GArray *demands)
{
    GArray *confined = g_array_new(FALSE, FALSE, sizeof(struct lmn_range_demand));

    for (guint i = 0; i < demands->len; i++) {
        int index = g_array_index(sets->set_of, int, i);
        if (index >= 0 &&
            is_subset(sets, &g_array_index(sets->sets, struct offer_set, index), set))
            g_array_append_val(confined,
                               g_array_index(demands, struct lmn_range_demand, i));
    }
    return confined;
}

bool lmn_find_confined_deficit(const struct lmn_core *core, const GArray *demands,
                               const struct lmn_capacity *capacity,
                               struct lmn_confined_deficit *deficit)
{
    struct offer_sets sets = group_demands(core, demands);
    const struct offer_set *largest = NULL;

    for (guint i = 0; i < sets.sets->len; i++) {
        const struct offer_set *set = &g_array_index(sets.sets, struct offer_set, i);
        struct lmn_confined_deficit candidate = compare_set(&sets, set, capacity);
        if (!lmn_deficit_warrants_machine(candidate.cpus, set->least_task_cpus,
                                          candidate.has_no_machine) ||
            (largest && candidate.cpus <= deficit->cpus))
            continue;
        *deficit = candidate;
        largest = set;
    }
    if (largest)
        deficit->demands = list_confined(&sets, largest, demands);
    clear_sets(&sets);
    return largest != NULL;
}

void lmn_confined_deficit_clear(struct lmn_confined_deficit *deficit)
{
    g_array_free(deficit->demands, TRUE);
}
