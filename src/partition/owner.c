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
    .range_born = range_born,
    .range_cut = lmn_range_truncate,
    .move_undo = lmn_range_cancel_move,
    .range_forget = lmn_range_forget,
    .partition_own = lmn_partition_own,
    .partition_lose = lmn_partition_lose,
    .block_apply = lmn_machine_block_apply,
    .block_sweep = lmn_machine_block_sweep,
    .quota_apply = lmn_quota_record_apply,
    .partition_free = lmn_standby_forget,
};

struct lmn_core *lmn_core_new(const struct lmn_settings *cfg, struct lmn_kv_client *state,
                              uint32_t seed)
{
    struct lmn_core *core = lmn_core_alloc(cfg, state, seed);

    core->owner_ops = &ops;
    return core;
}
