#include "partition/transfer_target.h"
#include "replication/stream.h"

/* What a partition weighs: its machines, and itself. */
static unsigned weight(const struct lmn_partition *p)
{
    return p->list->len + 1;
}

bool lmn_partition_is_orphaned(const struct lmn_core *c, const struct lmn_partition *p,
                               struct timespec now)
{
    int owner = p->owner_rev ? lmn_member_index(&c->members, p->owner) : -1;

    return !p->owner_rev || (owner >= 0 && owner != c->members.me &&
                             lmn_member_is_declared_failed(&c->members, owner, now));
}

struct fleet {
    bool trusted[LMN_MAX_MEMBERS + 1];
    unsigned load[LMN_MAX_MEMBERS + 1];
};

static void weigh(const struct lmn_core *c, struct timespec now, struct fleet *f)
{
    const struct lmn_members *ms = &c->members;

    for (int k = 0; k < ms->n; k++) {
        f->trusted[k] = lmn_member_is_trusted(ms, k, now);
        f->load[k] = 0;
    }
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        int owner = p->owner_rev ? lmn_member_index(ms, p->owner) : -1;
        if (owner >= 0)
            f->load[owner] += weight(p);
    }
}

/* Of those with the same, the first in the partition's own order. */
static int least(const struct lmn_core *c, const struct lmn_partition *p,
                 const struct fleet *f, int but)
{
    int n = c->members.n, best = -1;

    for (int k = 0; k < n; k++) {
        int rank = (p->id + k) % n;
        if (f->trusted[rank] && rank != but &&
            (best < 0 || f->load[rank] < f->load[best]))
            best = rank;
    }
    return best;
}

static int choose(const struct lmn_core *c, const struct lmn_partition *p,
                  const struct fleet *f, int but, struct timespec now)
{
    int named = lmn_standby_named(c, p, now), holder = p->id % c->members.n;

    if (named >= 0 && named != but)
        return named;
    if (holder != but && f->trusted[holder] && !f->load[holder])
        return holder;
    return least(c, p, f, but);
}

void lmn_transfer_targets(const struct lmn_core *c, struct timespec now, int *successor)
{
    struct fleet f;

    weigh(c, now, &f);
    for (int i = 0; i < c->nparts; i++) {
        const struct lmn_partition *p = &c->parts[i];
        successor[i] =
            lmn_partition_is_orphaned(c, p, now) ? choose(c, p, &f, -1, now) : -1;
        if (successor[i] >= 0)
            f.load[successor[i]] += weight(p);
    }
}

int lmn_transfer_target(const struct lmn_core *c, const struct lmn_partition *p,
                        struct timespec now)
{
    struct fleet f;

    weigh(c, now, &f);
    return choose(c, p, &f, c->members.me, now);
}
