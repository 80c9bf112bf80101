/** @file
 * Callbacks from the watch cache to the modules that act as a partition's owner. Those
 * modules belong to a higher layer, so the watch cache calls them through this table,
 * which partition/owner.c fills in. */
#ifndef LMN_STATE_OWNER_OPS_H
#define LMN_STATE_OWNER_OPS_H

#include "protocol/cbor.h"

#include <stdint.h>
#include <time.h>

struct lmn_core;
struct lmn_partition;
struct lmn_range;

/** Callbacks on record changes. Set once, before the first change is applied. Each is
 * called with the core's lock held. */
struct lmn_owner_ops {
    /** A range was added to an owned partition; its tasks may need to be queued. */
    void (*range_created)(struct lmn_core *core, struct lmn_range *range,
                          struct timespec now);
    /** A move of the range's last tasks was committed; the range now ends at `end`. */
    void (*range_truncated)(struct lmn_core *core, struct lmn_range *range, uint32_t end);
    /** The move in flight can no longer be committed. */
    void (*move_cancelled)(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now);
    /** The range is about to be freed. */
    void (*range_removed)(struct lmn_core *core, struct lmn_range *range);
    /** The owner's record now contains this controller's lease. */
    void (*partition_acquired)(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now);
    /** The owner's record was removed or replaced.
     *
     * @param why  reason for the log */
    void (*partition_lost)(struct lmn_core *core, struct lmn_partition *partition,
                           const char *why);
    /** The record of a machine block has changed; value NULL: it was removed. */
    void (*block_changed)(struct lmn_core *core, struct lmn_partition *partition,
                          unsigned long id, const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, uint64_t revision,
                          struct timespec now);
    /** A listing is complete: blocks that are missing from it were removed. */
    void (*blocks_listed)(struct lmn_core *core, struct lmn_partition *partition,
                          struct timespec now);
    /** The record of a team's quota shares has changed; value NULL: it was removed. */
    void (*quota_changed)(struct lmn_core *core, const char *key,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, uint64_t revision);
    /** The core is being freed: releases the partition's replication state. */
    void (*partition_freed)(struct lmn_partition *partition);
};

#endif
