#include "partition/transfer_target.h"
#include "replication/replica_choice.h"

/* What a partition weighs: its machines, and itself. */
static unsigned weight(const struct lmn_partition *partition)
{
    return partition->machine_list->len + 1;
}

bool lmn_partition_is_orphaned(const struct lmn_core *core,
                               const struct lmn_partition *partition, struct timespec now)
{
    int owner = partition->record.owner_revision
                    ? lmn_member_index(&core->members, partition->record.owner)
                    : -1;

    return !partition->record.owner_revision ||
           (owner >= 0 && owner != core->members.self &&
            lmn_member_is_declared_failed(&core->members, owner, now));
}

struct fleet {
    bool trusted[LMN_MAX_MEMBERS + 1];
    unsigned load[LMN_MAX_MEMBERS + 1];
};

static void weigh(const struct lmn_core *core, struct timespec now, struct fleet *f)
{
    const struct lmn_members *members = &core->members;

    for (int k = 0; k < members->count; k++) {
        f->trusted[k] = lmn_member_is_trusted(members, k, now);
        f->load[k] = 0;
    }
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        int owner = partition->record.owner_revision
                        ? lmn_member_index(members, partition->record.owner)
                        : -1;
        if (owner >= 0)
            f->load[owner] += weight(partition);
    }
}

/* Of those with the same, the first in the partition's own order. */
static int least(const struct lmn_core *core, const struct lmn_partition *partition,
                 const struct fleet *f, int but)
{
    int n = core->members.count, best = -1;

    for (int k = 0; k < n; k++) {
        int member_index = (partition->id + k) % n;
        if (f->trusted[member_index] && member_index != but &&
            (best < 0 || f->load[member_index] < f->load[best]))
            best = member_index;
    }
    return best;
}

static int choose(const struct lmn_core *core, const struct lmn_partition *partition,
                  const struct fleet *f, int but, struct timespec now)
{
    int named = lmn_standby_in_sync(core, partition, now),
        holder = partition->id % core->members.count;

    if (named >= 0 && named != but)
        return named;
    if (holder != but && f->trusted[holder] && !f->load[holder])
        return holder;
    return least(core, partition, f, but);
}

void lmn_transfer_targets(const struct lmn_core *core, struct timespec now,
                          int *successor)
{
    struct fleet f;

    weigh(core, now, &f);
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        successor[i] = lmn_partition_is_orphaned(core, partition, now)
                           ? choose(core, partition, &f, -1, now)
                           : -1;
        if (successor[i] >= 0)
            f.load[successor[i]] += weight(partition);
    }
}

int lmn_transfer_target(const struct lmn_core *core,
                        const struct lmn_partition *partition, struct timespec now)
{
    struct fleet f;

    weigh(core, now, &f);
    return choose(core, partition, &f, core->members.self, now);
}
