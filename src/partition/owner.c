/* Connects the watch cache to the modules that act on owned partitions: owner_ops names
 * the function to call for each kind of event (struct lmn_owner_ops). The core's lock is
 * held during each of these calls. */
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

/* Opens a new range, and assigns its tasks if they may start. If a previous owner may
 * have started tasks of the range, lmn_partition_check_ready assigns the range's tasks
 * later, once all machines of the partition are accounted for. */
static void open_created_range(struct lmn_core *core, struct lmn_range *range,
                               struct timespec now)
{
    lmn_range_open(core, range);
    if (!lmn_range_may_start(range))
        return;
    range->is_assigned = true;
    lmn_assign_tasks(core, range, range->first, range->end, now);
}

static const struct lmn_owner_ops owner_ops = {
    .range_created = open_created_range,
    .range_truncated = lmn_range_truncate,
    .move_cancelled = lmn_range_cancel_move,
    .range_removed = lmn_range_remove_references,
    .partition_acquired = lmn_partition_begin_ownership,
    .partition_lost = lmn_partition_end_ownership,
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
