/* Connects the watch cache to the owner's modules: which of their functions each change
 * of a record calls (struct lmn_owner_ops). The core's lock is held in each of these
 * calls. */
#include "partition/owner.h"
#include "replication/stream.h"
#include "scheduler/queue.h"
#include "scheduler/work_stealing.h"
#include "partition/machine_block.h"
#include "partition/quota_transfer.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "state/task_ledger.h"
#include "state/core.h"

/* A range that a predecessor may have started tasks of has to wait until the machines
 * are accounted for; lmn_partition_check_ready assigns its tasks then. */
static void open_new_range(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now)
{
    lmn_range_open(core, range);
    if (!lmn_range_may_start(range))
        return;
    range->is_assigned = true;
    lmn_assign_tasks(core, range, range->first, range->end, now);
}

static const struct lmn_owner_ops owner_ops = {
    .range_created = open_new_range,
    .range_truncated = lmn_range_truncate,
    .move_cancelled = lmn_range_cancel_move,
    .range_removed = lmn_range_forget,
    .partition_acquired = lmn_partition_own,
    .partition_lost = lmn_partition_lose,
    .block_changed = lmn_machine_block_apply,
    .blocks_listed = lmn_machine_blocks_remove_unlisted,
    .quota_changed = lmn_quota_record_apply,
    .partition_freed = lmn_replication_clear,
};

struct lmn_core *lmn_core_new(const struct lmn_settings *settings,
                              struct lmn_kv_client *kv_client, uint32_t seed)
{
    struct lmn_core *core = lmn_core_alloc(settings, kv_client, seed);

    core->owner_ops = &owner_ops;
    return core;
}
