#include "state/tombstone.h"

#include <glib.h>

void lmn_tombstone_add(struct lmn_tombstones *tombstones, const char *ref)
{
    g_strlcpy(tombstones->job_ids[tombstones->count++ % LMN_MAX_TOMBSTONES], ref,
              LMN_JOB_ID_SIZE);
}

unsigned lmn_tombstones_pending(const struct lmn_tombstones *tombstones, int member_index,
                                const char **refs, unsigned most, uint64_t *upto)
{
    uint64_t oldest = tombstones->count > LMN_MAX_TOMBSTONES
                          ? tombstones->count - LMN_MAX_TOMBSTONES
                          : 0;
    uint64_t from = MAX(tombstones->acknowledged[member_index], oldest);
    unsigned n = (unsigned)MIN(tombstones->count - from, most);

    for (unsigned i = 0; i < n; i++)
        refs[i] = tombstones->job_ids[(from + i) % LMN_MAX_TOMBSTONES];
    *upto = from + n;
    return n;
}

void lmn_tombstones_acknowledge(struct lmn_tombstones *tombstones, int member_index,
                                uint64_t upto)
{
    tombstones->acknowledged[member_index] =
        MAX(tombstones->acknowledged[member_index], upto);
}
