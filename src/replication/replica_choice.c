/** @file
 * Chooses the standby of a partition (replication/replica_choice.h). */
#include "replication/replica_choice.h"

#include <string.h>

static const char *zone_of(const struct lmn_core *core, int member_index)
{
    const char *name = lmn_member_name(&core->members, member_index);

    for (size_t i = 0; i < core->settings->member_count; i++)
        if (!strcmp(core->settings->members[i].name, name))
            return core->settings->members[i].zone;
    return core->settings->zone;
}

static bool is_in_other_zone(const struct lmn_core *core, int member_index)
{
    return strcmp(zone_of(core, member_index), core->settings->zone) != 0;
}

/** Returns the member's load from partitions other than the given one: OWNED_WEIGHT for
 * each that it owns, STANDBY_WEIGHT for each whose standby it is. */
static unsigned partition_load(const struct lmn_core *core, int member_index,
                               const struct lmn_partition *excluded)
{
    enum { OWNED_WEIGHT = 2, STANDBY_WEIGHT = 1 };
    const char *name = lmn_member_name(&core->members, member_index);
    unsigned load = 0;

    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *other = &core->partitions[i];
        if (other == excluded)
            continue;
        if (!strcmp(other->record.owner, name))
            load += OWNED_WEIGHT;
        if (other->record.standby_stream && !strcmp(other->record.standby, name))
            load += STANDBY_WEIGHT;
    }
    return load;
}

/** Returns the member's weight in the partition's rendezvous hash. Each partition orders
 * the members differently, so that only the partitions of a failed member move. */
static guint rendezvous_weight(const struct lmn_core *core, int member_index,
                               const struct lmn_partition *partition)
{
    /* Knuth's multiplicative hash: similar names have similar string hashes, which the
     * multiplication spreads over all weights. */
    static const guint multiplier = 2654435761u;
    char text[LMN_NAME_SIZE + 16];

    g_snprintf(text, sizeof text, "%s/%d", lmn_member_name(&core->members, member_index),
               partition->id);
    return g_str_hash(text) * multiplier;
}

static bool can_stand_by(const struct lmn_members *members, int member_index,
                         struct timespec now)
{
    return member_index != members->self &&
           lmn_member_is_trusted(members, member_index, now) &&
           members->views[member_index].health.delay_s < LMN_STANDBY_MAX_LOAD_DELAY_S;
}

static bool is_better_standby(const struct lmn_core *core,
                              const struct lmn_partition *partition, int candidate,
                              int best)
{
    bool is_candidate_far = is_in_other_zone(core, candidate);
    unsigned candidate_load = partition_load(core, candidate, partition);
    unsigned best_load = partition_load(core, best, partition);

    /* Prefer another zone, so that the outage of one zone does not stop both the owner
     * and the standby. */
    if (is_candidate_far != is_in_other_zone(core, best))
        return is_candidate_far;
    if (candidate_load != best_load)
        return candidate_load < best_load;
    return rendezvous_weight(core, candidate, partition) >
           rendezvous_weight(core, best, partition);
}

int lmn_standby_choose(const struct lmn_core *core, const struct lmn_partition *partition,
                       struct timespec now)
{
    const struct lmn_members *members = &core->members;
    int preferred_index = partition->id % members->count;
    int best = -1;

    /* The preferred owner gets the partition back later; as its standby it can then take
     * the partition over without a recovery. */
    if (can_stand_by(members, preferred_index, now))
        return preferred_index;
    for (int i = 0; i < members->count; i++) {
        if (!can_stand_by(members, i, now))
            continue;
        if (best < 0 || is_better_standby(core, partition, i, best))
            best = i;
    }
    return best;
}

int lmn_standby_in_sync(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now)
{
    const struct lmn_partition_record *record = &partition->record;

    /* A record of an earlier epoch belongs to a former owner's stream. */
    if (!record->standby_stream || record->standby_epoch != record->epoch)
        return -1;
    int member_index = lmn_member_index(&core->members, record->standby);
    /* A member with another lease has restarted since, and has lost its replica. */
    if (member_index < 0 ||
        core->members.views[member_index].lease != record->standby_lease ||
        !lmn_member_is_trusted(&core->members, member_index, now))
        return -1;
    return member_index;
}
