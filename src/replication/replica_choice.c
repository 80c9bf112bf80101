/* Who follows whom. */
#include "replication/stream.h"

#include <string.h>

static const char *zone_of(const struct lmn_core *c, int rank)
{
    const char *name = lmn_member_name(&c->members, rank);

    for (size_t i = 0; i < c->cfg->nmembers; i++)
        if (!strcmp(c->cfg->members[i].name, name))
            return c->cfg->members[i].zone;
    return c->cfg->zone;
}

/* Partitions that it owns or stands by for, this one aside. */
static unsigned carries(const struct lmn_core *c, int rank, const struct lmn_partition *p)
{
    const char *name = lmn_member_name(&c->members, rank);
    unsigned n = 0;

    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *o = &c->parts[i];
        if (o == p)
            continue;
        n += 2 * !strcmp(o->owner, name);
        n += o->standby_stream && !strcmp(o->standby, name);
    }
    return n;
}

/* The highest random weight: each partition has an order of members of its own, and one
 * that goes moves only what was its own. */
static guint weight(const struct lmn_core *c, int rank, const struct lmn_partition *p)
{
    char text[LMN_NAME_SIZE + 16];

    g_snprintf(text, sizeof text, "%s/%d", lmn_member_name(&c->members, rank), p->id);
    return g_str_hash(text) * 2654435761u; /* Knuth's multiplier: near names, far apart */
}

static bool able(const struct lmn_members *ms, int rank, struct timespec now)
{
    return lmn_member_is_trusted(ms, rank, now) &&
           ms->v[rank].word.behind_s < LMN_STANDBY_SETTLE_S;
}

int lmn_standby_choose(const struct lmn_core *c, const struct lmn_partition *p,
                       struct timespec now)
{
    const struct lmn_members *ms = &c->members;
    int best = -1, holder = p->id % ms->n;

    if (holder != ms->me && able(ms, holder, now))
        return holder;
    for (int k = 0; k < ms->n; k++) {
        if (k == ms->me || !able(ms, k, now))
            continue;
        if (best < 0) {
            best = k;
            continue;
        }
        int far = !!strcmp(zone_of(c, k), c->cfg->zone);
        int best_far = !!strcmp(zone_of(c, best), c->cfg->zone);
        unsigned load = carries(c, k, p), best_load = carries(c, best, p);
        if (far != best_far     ? far
            : load != best_load ? load < best_load
                                : weight(c, k, p) > weight(c, best, p))
            best = k;
    }
    return best;
}

int lmn_standby_named(const struct lmn_core *c, const struct lmn_partition *p,
                      struct timespec now)
{
    int rank = p->standby_stream && p->standby_term == p->term
                   ? lmn_member_index(&c->members, p->standby)
                   : -1;

    /* Another life of it has no copy. */
    if (rank < 0 || c->members.v[rank].lease != p->standby_lease ||
        !lmn_member_is_trusted(&c->members, rank, now))
        return -1;
    return rank;
}
