/* Which member takes over a partition. Pure functions of the shared state; the core's
 * lock is held by the caller throughout. */
#include "partition/transfer_target.h"
#include "replication/replica_choice.h"

/* What is known of the members that could take a partition over; by member index. */
struct candidates {
    bool is_trusted[LMN_MAX_MEMBERS + 1];
    unsigned load[LMN_MAX_MEMBERS + 1];
};

enum { NO_MEMBER = -1 };

/* What a partition adds to its owner's load: its machines, and itself. */
static unsigned partition_load(const struct lmn_partition *partition)
{
    return partition->machine_list->len + 1;
}

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

/* The trusted member with the least load; of several, the first in the partition's own
 * order. */
static int least_loaded(const struct lmn_core *core,
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
    return least_loaded(core, partition, candidates, excluded);
}

void lmn_orphan_claimants(const struct lmn_core *core, struct timespec now, int *targets)
{
    struct candidates candidates;

    gather_candidates(core, now, &candidates);
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        targets[i] = NO_MEMBER;
        if (lmn_partition_is_orphaned(core, partition, now))
            targets[i] = choose_target(core, partition, &candidates, NO_MEMBER, now);
        if (targets[i] >= 0)
            candidates.load[targets[i]] += partition_load(partition);
    }
}

int lmn_transfer_target(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now)
{
    struct candidates candidates;

    gather_candidates(core, now, &candidates);
    return choose_target(core, partition, &candidates, core->members.self, now);
}
