/** @file
 * Confined demand; see autoscaler_constraints.h. The caller holds the core's lock. */
#include "scheduler/autoscaler_constraints.h"
#include "scheduler/resources.h"

#include <string.h>

enum {
    MAX_SETS = 64,  /**< demand confined to a further set of offers is not considered */
    MAX_TYPES = 256 /**< with more machine types no confined demand is considered */
};

/** What a job says of the offers that it allows. */
struct offer_key {
    uint8_t types[MAX_TYPES]; /**< for each machine type, whether it is allowed */
    const char *zone;         /**< the only zone; NULL: any */
    bool may_use_spot;
};

/** A set of offers to which some demand is confined. */
struct offer_set {
    struct offer_key key;
    guint8 *contains;              /**< for each offer, whether it is in the set */
    struct lmn_amounts demand;     /**< of jobs that may use these offers and no others */
    struct lmn_amounts least_task; /**< the least that one of their tasks takes */
};

/** What the capacity of a set of offers lacks for the demand confined to it. */
struct set_deficit {
    struct lmn_amounts missing;
    bool has_no_machine; /**< no machine of the set's offers runs or boots */
};

/** The sets of offers that the demand is confined to. */
struct offer_sets {
    const struct lmn_machine_types *types;
    GArray *offers;                /**< struct lmn_offer, all that the cloud has */
    struct lmn_amounts *capacity;  /**< for each offer, that of its machines */
    struct lmn_resources smallest; /**< of each resource the least that a type has */
    GArray *sets;                  /**< struct offer_set */
    GArray *set_of; /**< for each demand the index of its set; -1: not confined */
};

static void free_set(gpointer element)
{
    g_free(((struct offer_set *)element)->contains);
}

static struct lmn_resources smallest_resources(const struct lmn_machine_types *types)
{
    struct lmn_resources smallest = {INFINITY, INFINITY, INFINITY, INFINITY};

    for (size_t i = 0; i < types->count; i++) {
        const struct lmn_machine_type *type = &types->types[i];
        smallest.cpus = MIN(smallest.cpus, type->cpus);
        smallest.gpus = MIN(smallest.gpus, type->gpus);
        smallest.memory_gb = MIN(smallest.memory_gb, type->memory_gb);
    }
    return smallest;
}

/** Adds up the capacity of each offer's machines.
 * @return an element for each offer; the caller frees the array */
static struct lmn_amounts *sum_offer_capacity(const GArray *offers,
                                              const struct lmn_capacity *capacity)
{
    struct lmn_amounts *sums = g_new0(struct lmn_amounts, offers->len);

    for (guint i = 0; i < offers->len; i++) {
        const struct lmn_offer *offer = &g_array_index(offers, struct lmn_offer, i);
        for (guint k = 0; k < capacity->groups->len; k++) {
            const struct lmn_machine_group *group =
                &g_array_index(capacity->groups, struct lmn_machine_group, k);
            if (group->offer.type == offer->type &&
                group->offer.is_spot == offer->is_spot &&
                !strcmp(group->offer.zone, offer->zone))
                lmn_amounts_add(&sums[i], 1, &group->amounts);
        }
    }
    return sums;
}

/** Whether the job may run on every ordinary machine, which most jobs may. */
static bool allows_all(const struct offer_sets *sets, const struct lmn_job_spec *spec)
{
    return !spec->zone && !spec->machine_types && spec->cpus <= sets->smallest.cpus &&
           spec->gpus <= sets->smallest.gpus &&
           spec->memory_gb <= sets->smallest.memory_gb;
}

/** Describes which offers the job allows, as the key of their set. */
static struct offer_key describe_allowed(const struct lmn_machine_types *types,
                                         const struct lmn_job_spec *spec)
{
    struct offer_key key = {{0}, spec->zone, spec->may_use_spot};

    for (size_t i = 0; i < types->count; i++)
        key.types[i] = lmn_job_spec_allows(spec, &types->types[i],
                                           spec->zone ? spec->zone : "", false);
    return key;
}

static bool is_same_key(const struct offer_key *left, const struct offer_key *right)
{
    return !memcmp(left->types, right->types, sizeof left->types) &&
           left->may_use_spot == right->may_use_spot &&
           !g_strcmp0(left->zone, right->zone);
}

/** Returns the index of the job's set, which is added if it is new; -1 if there are too
 * many sets. */
static int get_set(struct offer_sets *sets, const struct lmn_job_spec *spec)
{
    const struct offer_key key = describe_allowed(sets->types, spec);

    for (guint i = 0; i < sets->sets->len; i++)
        if (is_same_key(&g_array_index(sets->sets, struct offer_set, i).key, &key))
            return (int)i;
    if (sets->sets->len >= MAX_SETS)
        return -1;
    struct offer_set set = {.key = key,
                            .contains = g_new0(guint8, sets->offers->len),
                            .least_task = lmn_task_amounts(spec)};
    for (guint i = 0; i < sets->offers->len; i++) {
        const struct lmn_offer *offer = &g_array_index(sets->offers, struct lmn_offer, i);
        set.contains[i] =
            lmn_job_spec_allows(spec, offer->type, offer->zone, offer->is_spot);
    }
    g_array_append_val(sets->sets, set);
    return (int)sets->sets->len - 1;
}

/** Adds the demand to the set that it is confined to, if any. */
static void add_demand(struct offer_sets *sets, const struct lmn_range_demand *demand)
{
    bool is_confined = !demand->is_spot_only && !allows_all(sets, demand->spec);
    int index = is_confined ? get_set(sets, demand->spec) : -1;

    g_array_append_val(sets->set_of, index);
    if (index < 0)
        return;
    struct offer_set *set = &g_array_index(sets->sets, struct offer_set, index);
    lmn_amounts_add(&set->demand, 1, &demand->amounts);
    set->least_task.of[LMN_UNIT_CPUS] =
        MIN(set->least_task.of[LMN_UNIT_CPUS], demand->spec->cpus);
}

static struct offer_sets group_demands(const struct lmn_core *core, const GArray *demands,
                                       const struct lmn_capacity *capacity)
{
    struct offer_sets sets = {
        .types = &core->cloud.machine_types,
        .offers = lmn_list_offers(core),
        .smallest = smallest_resources(&core->cloud.machine_types),
        .sets = g_array_new(FALSE, FALSE, sizeof(struct offer_set)),
        .set_of = g_array_sized_new(FALSE, FALSE, sizeof(int), demands->len)};

    g_array_set_clear_func(sets.sets, free_set);
    sets.capacity = sum_offer_capacity(sets.offers, capacity);
    for (guint i = 0; i < demands->len; i++)
        add_demand(&sets, &g_array_index(demands, struct lmn_range_demand, i));
    return sets;
}

static void clear_sets(struct offer_sets *sets)
{
    g_array_free(sets->offers, TRUE);
    g_array_free(sets->sets, TRUE);
    g_array_free(sets->set_of, TRUE);
    g_free(sets->capacity);
}

static bool is_subset(const struct offer_sets *sets, const struct offer_set *part,
                      const struct offer_set *whole)
{
    for (guint i = 0; i < sets->offers->len; i++)
        if (part->contains[i] && !whole->contains[i])
            return false;
    return true;
}

/** Compares the demand that is confined to the set or to a part of it with the set's
 * capacity. */
static struct set_deficit compare_set(const struct offer_sets *sets,
                                      const struct offer_set *set)
{
    struct set_deficit deficit = {.has_no_machine = true};

    for (guint i = 0; i < sets->sets->len; i++) {
        const struct offer_set *part = &g_array_index(sets->sets, struct offer_set, i);
        if (is_subset(sets, part, set))
            lmn_amounts_add(&deficit.missing, 1, &part->demand);
    }
    for (guint i = 0; i < sets->offers->len; i++) {
        if (!set->contains[i] || sets->capacity[i].of[LMN_UNIT_TASKS] <= 0)
            continue;
        lmn_amounts_add(&deficit.missing, -1, &sets->capacity[i]);
        deficit.has_no_machine = false;
    }
    return deficit;
}

/** @return struct set_deficit for each set; the caller frees the array */
static GArray *compare_sets(const struct offer_sets *sets)
{
    GArray *deficits = g_array_new(FALSE, FALSE, sizeof(struct set_deficit));

    for (guint i = 0; i < sets->sets->len; i++) {
        const struct set_deficit deficit =
            compare_set(sets, &g_array_index(sets->sets, struct offer_set, i));
        g_array_append_val(deficits, deficit);
    }
    return deficits;
}

/** Returns the index of the set with the largest deficit of the unit that warrants a
 * machine; -1 if there is none. */
static int find_largest(const struct offer_sets *sets, const GArray *deficits,
                        enum lmn_capacity_unit unit)
{
    double largest = 0;
    int index = -1;

    for (guint i = 0; i < deficits->len; i++) {
        const struct set_deficit *deficit =
            &g_array_index(deficits, struct set_deficit, i);
        const struct offer_set *set = &g_array_index(sets->sets, struct offer_set, i);
        double missing = deficit->missing.of[unit];
        if (missing <= largest ||
            !lmn_deficit_warrants_machine(missing, set->least_task.of[unit],
                                          deficit->has_no_machine))
            continue;
        largest = missing;
        index = (int)i;
    }
    return index;
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

static void clear_deficit(gpointer element)
{
    g_array_free(((struct lmn_confined_deficit *)element)->demands, TRUE);
}

GArray *lmn_find_confined_deficits(const struct lmn_core *core, const GArray *demands,
                                   const struct lmn_capacity *capacity)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct lmn_confined_deficit));

    g_array_set_clear_func(found, clear_deficit);
    if (core->cloud.machine_types.count > MAX_TYPES)
        return found;
    struct offer_sets sets = group_demands(core, demands, capacity);
    g_autoptr(GArray) deficits = compare_sets(&sets);
    for (int unit = 0; unit < LMN_UNIT_COUNT; unit++) {
        int largest = find_largest(&sets, deficits, unit);
        if (largest < 0)
            continue;
        const struct offer_set *set =
            &g_array_index(sets.sets, struct offer_set, largest);
        const struct set_deficit *deficit =
            &g_array_index(deficits, struct set_deficit, largest);
        const struct lmn_confined_deficit entry = {
            .demands = list_confined(&sets, set, demands),
            .unit = unit,
            .amount = deficit->missing.of[unit],
            .has_no_machine = deficit->has_no_machine};
        g_array_append_val(found, entry);
    }
    clear_sets(&sets);
    return found;
}
