/** @file
 * What the watch cache asks of the owner's modules when a record changes. They stand
 * above it, so it calls them through this table, which partition/owner.c fills in. */
#ifndef LMN_STATE_OWNER_OPS_H
#define LMN_STATE_OWNER_OPS_H

#include "protocol/cbor.h"

#include <stdint.h>
#include <time.h>

struct lmn_core;
struct lmn_partition;
struct lmn_range;

/** Set once, before any change is applied. The core's lock is held in every call. */
struct lmn_owner_ops {
    /** A range of an owned partition has appeared; its tasks may have to be assigned. */
    void (*range_created)(struct lmn_core *core, struct lmn_range *range,
                          struct timespec now);
    /** The range ends at `end` now: a move of its tail was applied. */
    void (*range_truncated)(struct lmn_core *core, struct lmn_range *range, uint32_t end);
    /** The move in flight can't be applied any more. */
    void (*move_cancelled)(struct lmn_core *core, struct lmn_range *range,
                           struct timespec now);
    /** The range is about to be freed. */
    void (*range_removed)(struct lmn_core *core, struct lmn_range *range);
    /** The owner's key names this controller's lease. */
    void (*partition_acquired)(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now);
    /** The owner's key does not name this controller any more. */
    void (*partition_lost)(struct lmn_core *core, struct lmn_partition *partition,
                           const char *why);
    /** The record of a block of machines has changed; value NULL: it was removed. */
    void (*block_changed)(struct lmn_core *core, struct lmn_partition *partition,
                          unsigned long id, const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, uint64_t revision,
                          struct timespec now);
    /** A whole listing is over: blocks that it did not name are gone. */
    void (*blocks_listed)(struct lmn_core *core, struct lmn_partition *partition,
                          struct timespec now);
    /** The record of a team's quota shares has changed; value NULL: it was removed. */
    void (*quota_changed)(struct lmn_core *core, const char *key,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *value, uint64_t revision);
    /** The core is freed: frees what the partition holds for replication. */
    void (*partition_freed)(struct lmn_partition *partition);
};

#endif
