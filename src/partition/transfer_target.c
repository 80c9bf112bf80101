/* Which member takes over a partition. The functions depend only on the shared state and
 * the given time. The core's lock is held by the caller throughout. */
#include "partition/transfer_target.h"
#include "replication/replica_choice.h"

/* The members as candidates for taking over a partition, by member index. */
struct candidates {
    bool is_trusted[LMN_MAX_MEMBERS + 1];
    unsigned load[LMN_MAX_MEMBERS + 1]; /* machines and partitions owned */
};

enum { NO_MEMBER = -1 };

/* What a partition adds to its owner's load: the number of its machines, and 1 for the
 * partition itself. */
static unsigned partition_load(const struct lmn_partition *partition)
{
    return partition->machine_list->len + 1;
}

/* The index of the member that the owner's record names; NO_MEMBER: no owner. */
static int recorded_owner(const struct lmn_core *core,
                          const struct lmn_partition *partition)
{
    return partition->record.owner_revision
               ? lmn_member_index(&core->members, partition->record.owner)
               : NO_MEMBER;
}

bool lmn_partition_is_orphaned(const struct lmn_core *core,
                               const struct lmn_partition *partition, struct timespec now)
{
    int owner = recorded_owner(core, partition);

    return !partition->record.owner_revision ||
           (owner >= 0 && owner != core->members.self &&
            lmn_member_is_declared_failed(&core->members, owner, now));
}

static void gather_candidates(const struct lmn_core *core, struct timespec now,
                              struct candidates *candidates)
{
    const struct lmn_members *members = &core->members;

    for (int i = 0; i < members->count; i++) {
        candidates->is_trusted[i] = lmn_member_is_trusted(members, i, now);
        candidates->load[i] = 0;
    }
    for (int i = 0; i < core->partition_count; i++) {
        int owner = recorded_owner(core, &core->partitions[i]);
        if (owner >= 0)
            candidates->load[owner] += partition_load(&core->partitions[i]);
    }
}

/* The trusted member with the least load, other than `excluded`; among equals, the first
 * in the partition's order, which begins with its preferred owner. */
static int find_least_loaded(const struct lmn_core *core,
                             const struct lmn_partition *partition,
                             const struct candidates *candidates, int excluded)
{
    int count = core->members.count, best = NO_MEMBER;

    for (int i = 0; i < count; i++) {
        int member_index = (partition->id + i) % count;
        if (candidates->is_trusted[member_index] && member_index != excluded &&
            (best < 0 || candidates->load[member_index] < candidates->load[best]))
            best = member_index;
    }
    return best;
}

static int choose_target(const struct lmn_core *core,
                         const struct lmn_partition *partition,
                         const struct candidates *candidates, int excluded,
                         struct timespec now)
{
    int standby = lmn_standby_in_sync(core, partition, now);
    int preferred = partition->id % core->members.count;

    if (standby >= 0 && standby != excluded)
        return standby;
    if (preferred != excluded && candidates->is_trusted[preferred] &&
        !candidates->load[preferred])
        return preferred;
    return find_least_loaded(core, partition, candidates, excluded);
}

void lmn_orphan_claimants(const struct lmn_core *core, struct timespec now,
                          int *claimants)
{
    struct candidates candidates;

    gather_candidates(core, now, &candidates);
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        claimants[i] = NO_MEMBER;
        if (lmn_partition_is_orphaned(core, partition, now))
            claimants[i] = choose_target(core, partition, &candidates, NO_MEMBER, now);
        if (claimants[i] >= 0)
            candidates.load[claimants[i]] += partition_load(partition);
    }
}

int lmn_transfer_target(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now)
{
    struct candidates candidates;

    gather_candidates(core, now, &candidates);
    return choose_target(core, partition, &candidates, core->members.self, now);
}
