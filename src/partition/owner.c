/* What the mirror's changes mean to an owner's books. */

#include "partition/owner.h"
#include "scheduler/queue.h"
#include "scheduler/work_stealing.h"
#include "partition/machine_block.h"
#include "partition/quota_transfer.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "replication/stream.h"
#include "state/task_ledger.h"
#include "state/core.h"

static void range_born(struct lmn_core *core, struct lmn_range *range,
                       struct timespec now)
{
    lmn_range_open(core, range);
    if (!lmn_range_may_start(range))
        return;
    range->is_assigned = true;
    lmn_assign_tasks(core, range, range->first, range->end, now);
}

static const struct lmn_owner_ops ops = {
    .range_created = range_born,
    .range_truncated = lmn_range_truncate,
    .move_cancelled = lmn_range_cancel_move,
    .range_removed = lmn_range_forget,
    .partition_acquired = lmn_partition_own,
    .partition_lost = lmn_partition_lose,
    .block_changed = lmn_machine_block_apply,
    .blocks_listed = lmn_machine_block_sweep,
    .quota_changed = lmn_quota_record_apply,
    .partition_freed = lmn_replication_clear,
};

struct lmn_core *lmn_core_new(const struct lmn_settings *settings,
                              struct lmn_kv_client *state, uint32_t seed)
{
    struct lmn_core *core = lmn_core_alloc(settings, state, seed);

    core->owner_ops = &ops;
    return core;
}
