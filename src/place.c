/* Where tasks of a job may stand next to each other. */
#include "core.h"

#include <string.h>

/* Kept, not counted anew for each candidate: looking at every machine each time would
 * grow with the square of their number. Such a job lies whole in one partition, so its
 * owner sees all. */
void lmn_zone_count(struct lmn_job *j, const char *zone, int n)
{
    struct lmn_zone_tasks *z;

    if (!j->spec.one_zone && !j->spec.spread)
        return;
    if (!j->zones)
        j->zones = g_array_new(FALSE, FALSE, sizeof(struct lmn_zone_tasks));
    for (guint i = 0; i < j->zones->len; i++) {
        z = &g_array_index(j->zones, struct lmn_zone_tasks, i);
        if (!strcmp(z->zone, zone)) {
            z->tasks += n;
            return;
        }
    }
    struct lmn_zone_tasks new = {g_intern_string(zone), n};
    g_array_append_val(j->zones, new);
}

uint32_t lmn_zone_room(const struct lmn_job *j, const char *zone)
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
