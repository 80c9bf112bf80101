/** @file
 * Affinity and anti-affinity between the tasks of a job; see affinity.h. */
#include "scheduler/affinity.h"

#include <string.h>

uint32_t lmn_zone_task_capacity(const struct lmn_job *job, const char *zone)
{
    /* A job that spreads over zones may have half of its tasks, rounded up, in one zone.
     */
    int max_in_zone = (int)((job->spec.tasks + 1) / 2);
    int in_zone = 0, elsewhere = 0;

    for (guint i = 0; job->zones && i < job->zones->len; i++) {
        const struct lmn_zone_tasks *zone_tasks =
            &g_array_index(job->zones, struct lmn_zone_tasks, i);
        if (!strcmp(zone_tasks->zone, zone))
            in_zone += zone_tasks->tasks;
        else
            elsewhere += zone_tasks->tasks;
    }
    if (job->spec.requires_one_zone && elsewhere > 0)
        return 0;
    if (!job->spec.spreads_over_zones)
        return job->spec.tasks;
    return in_zone < max_in_zone ? (uint32_t)(max_in_zone - in_zone) : 0;
}
