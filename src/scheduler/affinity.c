/* Where tasks of a job may stand next to each other. */
#include "scheduler/affinity.h"

#include <string.h>

uint32_t lmn_zone_task_capacity(const struct lmn_job *job, const char *zone)
{
    int here = 0, elsewhere = 0, most = (int)((job->spec.tasks + 1) / 2);

    for (guint i = 0; job->zones && i < job->zones->len; i++) {
        const struct lmn_zone_tasks *zone_tasks =
            &g_array_index(job->zones, struct lmn_zone_tasks, i);
        if (!strcmp(zone_tasks->zone, zone))
            here += zone_tasks->tasks;
        else
            elsewhere += zone_tasks->tasks;
    }
    if (job->spec.requires_one_zone && elsewhere > 0)
        return 0;
    if (!job->spec.spreads_over_zones)
        return job->spec.tasks;
    return here < most ? (uint32_t)(most - here) : 0;
}
