/* Where tasks of a job may stand next to each other. */
#include "scheduler/affinity.h"

#include <string.h>

uint32_t lmn_zone_task_capacity(const struct lmn_job *j, const char *zone)
{
    int here = 0, elsewhere = 0, most = (int)((j->spec.tasks + 1) / 2);

    for (guint i = 0; j->zones && i < j->zones->len; i++) {
        const struct lmn_zone_tasks *z =
            &g_array_index(j->zones, struct lmn_zone_tasks, i);
        if (!strcmp(z->zone, zone))
            here += z->tasks;
        else
            elsewhere += z->tasks;
    }
    if (j->spec.one_zone && elsewhere > 0)
        return 0;
    if (!j->spec.spread)
        return j->spec.tasks;
    return here < most ? (uint32_t)(most - here) : 0;
}
