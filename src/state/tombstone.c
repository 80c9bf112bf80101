/** @file
 * Ring buffer of tombstones: see state/tombstone.h. */
#include "state/tombstone.h"

#include <glib.h>

void lmn_tombstone_add(struct lmn_tombstones *tombstones, const char *job_id)
{
    g_strlcpy(tombstones->job_ids[tombstones->count++ % LMN_MAX_TOMBSTONES], job_id,
              LMN_JOB_ID_SIZE);
}

unsigned lmn_tombstones_pending(const struct lmn_tombstones *tombstones, int member_index,
                                const char **job_ids, unsigned max, uint64_t *end)
{
    uint64_t oldest = tombstones->count > LMN_MAX_TOMBSTONES
                          ? tombstones->count - LMN_MAX_TOMBSTONES
                          : 0;
    uint64_t first = MAX(tombstones->acknowledged[member_index], oldest);
    unsigned count = (unsigned)MIN(tombstones->count - first, max);

    for (unsigned i = 0; i < count; i++)
        job_ids[i] = tombstones->job_ids[(first + i) % LMN_MAX_TOMBSTONES];
    *end = first + count;
    return count;
}

void lmn_tombstones_acknowledge(struct lmn_tombstones *tombstones, int member_index,
                                uint64_t end)
{
    tombstones->acknowledged[member_index] =
        MAX(tombstones->acknowledged[member_index], end);
}
