#include "state/tombstone.h"

#include <glib.h>

void lmn_tombstone_add(struct lmn_tombstones *t, const char *ref)
{
    g_strlcpy(t->ref[t->n++ % LMN_MAX_TOMBSTONES], ref, LMN_JOB_ID_SIZE);
}

unsigned lmn_tombstones_pending(const struct lmn_tombstones *t, int rank,
                                const char **refs, unsigned most, uint64_t *upto)
{
    uint64_t oldest = t->n > LMN_MAX_TOMBSTONES ? t->n - LMN_MAX_TOMBSTONES : 0;
    uint64_t from = MAX(t->taken[rank], oldest);
    unsigned n = (unsigned)MIN(t->n - from, most);

    for (unsigned i = 0; i < n; i++)
        refs[i] = t->ref[(from + i) % LMN_MAX_TOMBSTONES];
    *upto = from + n;
    return n;
}

void lmn_tombstones_acknowledge(struct lmn_tombstones *t, int rank, uint64_t upto)
{
    t->taken[rank] = MAX(t->taken[rank], upto);
}
