/** @file
 * Machines for unschedulable tasks; see autoscaler_unschedulable.h. The caller holds the
 * core's lock. */
#include "scheduler/autoscaler_unschedulable.h"
#include "scheduler/resources.h"
#include "scheduler/unschedulable.h"

#include <string.h>

/** The arriving machines of one offer, while tasks are placed on them. */
struct arriving_group {
    const struct lmn_offer *offer;
    double empty_count;             /**< machines without tasks */
    struct lmn_resources resources; /**< left on the machine that got tasks last */
};

/** @return struct arriving_group; the caller frees the array */
static GArray *list_arriving(const struct lmn_capacity *capacity)
{
    GArray *arriving = g_array_new(FALSE, FALSE, sizeof(struct arriving_group));

    for (guint i = 0; i < capacity->groups->len; i++) {
        const struct lmn_machine_group *group =
            &g_array_index(capacity->groups, struct lmn_machine_group, i);
        const struct arriving_group entry = {.offer = &group->offer,
                                             .empty_count = group->arriving_count};
        if (group->arriving_count)
            g_array_append_val(arriving, entry);
    }
    return arriving;
}

/** Whether the tasks may run on machines of the offer. */
static bool may_use(const struct lmn_unserved_tasks *unserved,
                    const struct lmn_offer *offer)
{
    const struct lmn_unschedulable_tasks *listed = unserved->listed;
    bool is_allowed_zone = !listed->zone_count;

    for (uint32_t i = 0; i < listed->zone_count && !is_allowed_zone; i++)
        is_allowed_zone = !strcmp(listed->zones[i], offer->zone);
    return is_allowed_zone && lmn_job_spec_allows(&unserved->job->spec, offer->type,
                                                  offer->zone, offer->is_spot);
}

/** Places as many of the tasks as fit on the group's machines: first on the one that got
 * tasks last, then on empty ones. */
static void place_on_group(struct arriving_group *group,
                           struct lmn_unserved_tasks *unserved)
{
    const struct lmn_job_spec *spec = &unserved->job->spec;
    const struct lmn_resources empty = lmn_type_resources(group->offer->type);
    double per_machine = lmn_resources_task_count(&empty, spec);
    double on_last =
        CLAMP(lmn_resources_task_count(&group->resources, spec), 0, unserved->tasks);

    lmn_resources_subtract_tasks(&group->resources, on_last, spec);
    unserved->tasks -= on_last;
    double machines = MIN(ceil(unserved->tasks / per_machine), group->empty_count);
    if (machines < 1)
        return;
    double tasks = MIN(machines * per_machine, unserved->tasks);
    group->empty_count -= machines;
    group->resources = empty;
    lmn_resources_subtract_tasks(&group->resources, tasks - (machines - 1) * per_machine,
                                 spec);
    unserved->tasks -= tasks;
}

/** Places the tasks on all arriving machines that they may use. */
static void place(GArray *arriving, struct lmn_unserved_tasks *unserved)
{
    for (guint i = 0; i < arriving->len && unserved->tasks > 0; i++) {
        struct arriving_group *group = &g_array_index(arriving, struct arriving_group, i);
        if (may_use(unserved, group->offer))
            place_on_group(group, unserved);
    }
}

GArray *lmn_list_unserved(const struct lmn_core *core,
                          const struct lmn_capacity *capacity, struct timespec now)
{
    GArray *unserved = g_array_new(FALSE, FALSE, sizeof(struct lmn_unserved_tasks));
    g_autoptr(GPtrArray) listed = lmn_list_unschedulable(core, now);
    g_autoptr(GArray) arriving = list_arriving(capacity);

    for (guint i = 0; i < listed->len; i++) {
        const struct lmn_unschedulable_tasks *tasks = listed->pdata[i];
        struct lmn_unserved_tasks entry = {
            g_hash_table_lookup(core->cache.jobs, tasks->job_id), tasks, tasks->tasks};
        if (!entry.job || entry.job->phase != LMN_JOB_ACTIVE)
            continue;
        place(arriving, &entry);
        if (entry.tasks > 0)
            g_array_append_val(unserved, entry);
    }
    return unserved;
}

double lmn_machines_for_unserved(const struct lmn_unserved_tasks *unserved,
                                 const struct lmn_offer *offer)
{
    const struct lmn_resources empty = lmn_type_resources(offer->type);
    double per_machine = lmn_resources_task_count(&empty, &unserved->job->spec);

    return may_use(unserved, offer) ? ceil(unserved->tasks / MAX(per_machine, 1)) : 0;
}
