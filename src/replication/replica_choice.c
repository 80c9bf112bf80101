/* Who follows whom. */
#include "replication/stream.h"

#include <string.h>

static const char *zone_of(const struct lmn_core *core, int member_index)
{
    const char *name = lmn_member_name(&core->members, member_index);

    for (size_t i = 0; i < core->settings->member_count; i++)
        if (!strcmp(core->settings->members[i].name, name))
            return core->settings->members[i].zone;
    return core->settings->zone;
}

/* Partitions that it owns or stands by for, this one aside. */
static unsigned carries(const struct lmn_core *core, int member_index,
                        const struct lmn_partition *p)
{
    const char *name = lmn_member_name(&core->members, member_index);
    unsigned n = 0;

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *o = &core->partitions[i];
        if (o == p)
            continue;
        n += 2 * !strcmp(o->record.owner, name);
        n += o->record.standby_stream && !strcmp(o->record.standby, name);
    }
    return n;
}

/* The highest random weight: each partition has an order of members of its own, and one
 * that goes moves only what was its own. */
static guint weight(const struct lmn_core *core, int member_index,
                    const struct lmn_partition *partition)
{
    char text[LMN_NAME_SIZE + 16];

    g_snprintf(text, sizeof text, "%s/%d", lmn_member_name(&core->members, member_index),
               partition->id);
    return g_str_hash(text) * 2654435761u; /* Knuth's multiplier: near names, far apart */
}

static bool able(const struct lmn_members *members, int member_index, struct timespec now)
{
    return lmn_member_is_trusted(members, member_index, now) &&
           members->views[member_index].health.delay_s < LMN_STANDBY_SETTLE_S;
}

int lmn_standby_choose(const struct lmn_core *core, const struct lmn_partition *partition,
                       struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int best = -1, holder = partition->id % members->count;

    if (holder != members->self && able(members, holder, now))
        return holder;
    for (int k = 0; k < members->count; k++) {
        if (k == members->self || !able(members, k, now))
            continue;
        if (best < 0) {
            best = k;
            continue;
        }
        int far = !!strcmp(zone_of(core, k), core->settings->zone);
        int best_far = !!strcmp(zone_of(core, best), core->settings->zone);
        unsigned load = carries(core, k, partition),
                 best_load = carries(core, best, partition);
        if (far != best_far ? far
            : load != best_load
                ? load < best_load
                : weight(core, k, partition) > weight(core, best, partition))
            best = k;
    }
    return best;
}

int lmn_standby_named(const struct lmn_core *core, const struct lmn_partition *partition,
                      struct timespec now)
{
    int member_index = partition->record.standby_stream &&
                               partition->record.standby_epoch == partition->record.epoch
                           ? lmn_member_index(&core->members, partition->record.standby)
                           : -1;

    /* Another life of it has no copy. */
    if (member_index < 0 ||
        core->members.views[member_index].lease != partition->record.standby_lease ||
        !lmn_member_is_trusted(&core->members, member_index, now))
        return -1;
    return member_index;
}
