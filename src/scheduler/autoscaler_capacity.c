/** @file
 * The autoscaler's capacity; see autoscaler_capacity.h. The caller holds the core's lock.
 */
#include "scheduler/autoscaler_capacity.h"
#include "scheduler/resources.h"
#include "state/core.h"

#include <string.h>

/** Late machines are replaced if at most one in this many machines of their type and zone
 * is late. */
enum { MACHINES_PER_LATE_MACHINE = 4 };
/** Deficit, in processors or tasks, below which nothing is provisioned where machines
 * run. */
static const double MIN_DEFICIT = 1;
/** Seconds after its boot in which a machine takes its first tasks, and in which the
 * lists of unschedulable tasks follow (scheduler/unschedulable.h). */
static const double ARRIVAL_S = 8;

struct lmn_amounts lmn_type_amounts(const struct lmn_machine_type *type)
{
    const struct lmn_resources resources = lmn_type_resources(type);

    return (struct lmn_amounts){
        {[LMN_UNIT_CPUS] = resources.cpus, [LMN_UNIT_TASKS] = resources.tasks}};
}

struct lmn_amounts lmn_task_amounts(const struct lmn_job_spec *spec)
{
    return (struct lmn_amounts){{[LMN_UNIT_CPUS] = spec->cpus, [LMN_UNIT_TASKS] = 1}};
}

void lmn_amounts_add(struct lmn_amounts *sum, double factor,
                     const struct lmn_amounts *amounts)
{
    for (int unit = 0; unit < LMN_UNIT_COUNT; unit++)
        sum->of[unit] += factor * amounts->of[unit];
}

/** Returns the offer's group; adds one if there is none. */
static struct lmn_machine_group *get_group(GArray *groups, const struct lmn_offer *offer)
{
    struct lmn_machine_group new_group = {.offer = *offer};

    for (guint i = 0; i < groups->len; i++) {
        struct lmn_machine_group *group =
            &g_array_index(groups, struct lmn_machine_group, i);
        if (group->offer.type == offer->type && group->offer.is_spot == offer->is_spot &&
            !strcmp(group->offer.zone, offer->zone))
            return group;
    }
    g_array_append_val(groups, new_group);
    return &g_array_index(groups, struct lmn_machine_group, groups->len - 1);
}

/** Whether the machine is still booting after its boot timeout. */
static bool is_late(const struct lmn_core *core, const struct lmn_autoscaler *autoscaler,
                    const struct lmn_cloud_machine *machine,
                    const struct lmn_machine_type *type, struct timespec now)
{
    return machine->is_booting &&
           lmn_time_diff_s(now, machine->provisioned_at) >
               lmn_autoscaler_boot_timeout_s(autoscaler, type, machine->zone,
                                             core->settings->list_lag_s);
}

static bool has_just_booted(const struct lmn_cloud_machine *machine, struct timespec now)
{
    return machine->booted_at.tv_sec &&
           lmn_time_diff_s(now, machine->booted_at) < ARRIVAL_S;
}

/** Adds the machine to its group. Broken machines and those of an unknown type are in
 * none. */
static void add_machine(const struct lmn_core *core,
                        const struct lmn_autoscaler *autoscaler, GArray *groups,
                        const struct lmn_cloud_machine *machine, struct timespec now)
{
    const struct lmn_machine_type *type = lmn_machine_type_by_name(core, machine->type);
    const struct lmn_offer offer = {type, machine->zone, machine->is_spot};

    if (!type || machine->is_broken)
        return;
    struct lmn_machine_group *group = get_group(groups, &offer);
    group->count++;
    bool late = is_late(core, autoscaler, machine, type, now);
    group->late_count += late;
    group->arriving_count +=
        (machine->is_booting && !late) || has_just_booted(machine, now);
}

/** Whether the late machines of the group are to be replaced. Only where few machines of
 * the type and zone are late: where many are, the cloud itself is slow, and replacements
 * would boot no sooner. */
static bool replaces_late(const GArray *groups, const struct lmn_machine_group *group)
{
    unsigned count = 0, late_count = 0;

    for (guint i = 0; i < groups->len; i++) {
        const struct lmn_machine_group *other =
            &g_array_index(groups, struct lmn_machine_group, i);
        if (other->offer.type != group->offer.type ||
            strcmp(other->offer.zone, group->offer.zone) != 0)
            continue;
        count += other->count;
        late_count += other->late_count;
    }
    return MACHINES_PER_LATE_MACHINE * late_count <= count;
}

struct lmn_capacity lmn_capacity_sum(const struct lmn_core *core,
                                     const struct lmn_autoscaler *autoscaler,
                                     struct timespec now)
{
    struct lmn_capacity capacity = {
        .groups = g_array_new(FALSE, FALSE, sizeof(struct lmn_machine_group))};
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, autoscaler->machines);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        add_machine(core, autoscaler, capacity.groups, value, now);
    for (guint i = 0; i < capacity.groups->len; i++) {
        struct lmn_machine_group *group =
            &g_array_index(capacity.groups, struct lmn_machine_group, i);
        unsigned replaced_count =
            replaces_late(capacity.groups, group) ? group->late_count : 0;
        const struct lmn_amounts machine = lmn_type_amounts(group->offer.type);
        lmn_amounts_add(&group->amounts, group->count - replaced_count, &machine);
        lmn_amounts_add(&capacity.all, 1, &group->amounts);
        lmn_amounts_add(&capacity.ordinary, group->offer.is_spot ? 0 : 1,
                        &group->amounts);
    }
    return capacity;
}

GArray *lmn_list_offers(const struct lmn_core *core)
{
    const struct lmn_machine_types *types = &core->cloud.machine_types;
    GArray *offers = g_array_new(FALSE, FALSE, sizeof(struct lmn_offer));

    for (size_t i = 0; i < types->count; i++)
        for (int zone = 0; zone < types->types[i].zone_count; zone++)
            for (int is_spot = 0; is_spot <= 1; is_spot++) {
                const struct lmn_offer offer = {&types->types[i],
                                                types->types[i].zones[zone], is_spot};
                g_array_append_val(offers, offer);
            }
    return offers;
}

bool lmn_deficit_warrants_machine(double amount, double least_task, bool is_first)
{
    if (!is_first)
        return amount >= MIN_DEFICIT;
    return amount > 0 && amount >= least_task - LMN_RESOURCE_EPSILON;
}

void lmn_capacity_clear(struct lmn_capacity *capacity)
{
    g_array_free(capacity->groups, TRUE);
}
