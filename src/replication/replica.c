/** @file
 * Replicas of partitions that this controller does not own (replication/replica.h). */
#include "replication/replica.h"
#include "state/fencing_token.h"

#include <string.h>

void lmn_replica_free(struct lmn_replica *replica)
{
    if (!replica)
        return;
    g_hash_table_destroy(replica->machines);
    g_free(replica);
}

static struct lmn_replica *replica_new(uint64_t epoch, uint64_t stream)
{
    struct lmn_replica *replica = g_new0(struct lmn_replica, 1);

    replica->epoch = epoch;
    replica->stream = stream;
    replica->machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lmn_machine_snapshot_free);
    return replica;
}

/** Replaces the machine's snapshot by the given one, and takes ownership of it. */
static void apply_snapshot(struct lmn_replica *replica,
                           struct lmn_machine_snapshot *snapshot)
{
    struct lmn_machine_snapshot *previous =
        g_hash_table_lookup(replica->machines, snapshot->name);

    if (snapshot->is_forgotten) {
        g_hash_table_remove(replica->machines, snapshot->name);
        lmn_machine_snapshot_free(snapshot);
        return;
    }
    /* Images are sent only when they have changed. */
    if (!snapshot->images && previous) {
        snapshot->images = previous->images;
        previous->images = NULL;
    }
    g_hash_table_replace(replica->machines, snapshot->name, snapshot);
}

/** How a batch relates to the replica. */
enum batch_order {
    BATCH_REPEATED,     /**< it was applied before */
    BATCH_FIRST,        /**< it is the first of a newer stream */
    BATCH_NEXT,         /**< it follows the latest batch that was applied */
    BATCH_OUT_OF_ORDER, /**< a batch before it is missing, or its stream is not followed
                         */
};

static enum batch_order classify_batch(const struct lmn_replica *replica,
                                       const struct lmn_replication_batch *batch)
{
    bool is_same_stream =
        replica && batch->epoch == replica->epoch && batch->stream == replica->stream;

    if (is_same_stream && batch->number <= replica->last_batch_number)
        return BATCH_REPEATED;
    if (batch->number == 0) {
        /* A delayed first batch of an older stream must not replace a newer replica. */
        bool is_older_stream =
            replica &&
            (batch->epoch < replica->epoch ||
             (batch->epoch == replica->epoch && batch->stream < replica->stream));
        return is_older_stream ? BATCH_OUT_OF_ORDER : BATCH_FIRST;
    }
    if (is_same_stream && batch->number == replica->last_batch_number + 1)
        return BATCH_NEXT;
    return BATCH_OUT_OF_ORDER;
}

static bool is_batch_rejected(const struct lmn_core *core,
                              const struct lmn_partition *partition,
                              const struct lmn_replication_batch *batch)
{
    /* An owner whose epoch is below the one in the watch cache has been replaced. A
     * controller that is shutting down cannot take the partition over. */
    return partition->ownership.is_owned || batch->epoch < partition->record.epoch ||
           core->shutdown.is_requested;
}

enum lmn_replica_result lmn_replica_apply(struct lmn_core *core,
                                          struct lmn_replication_batch *batch,
                                          struct timespec now)
{
    if (batch->partition < 0 || batch->partition >= core->partition_count)
        return LMN_REPLICA_REJECTED;
    struct lmn_partition *partition = &core->partitions[batch->partition];
    struct lmn_replica *replica = partition->replication.replica;

    if (is_batch_rejected(core, partition, batch))
        return LMN_REPLICA_REJECTED;
    switch (classify_batch(replica, batch)) {
    case BATCH_REPEATED:
        replica->last_batch_at = now;
        return LMN_REPLICA_APPLIED;
    case BATCH_OUT_OF_ORDER:
        return LMN_REPLICA_UNKNOWN_STREAM;
    case BATCH_FIRST:
        lmn_replica_free(replica);
        replica = replica_new(batch->epoch, batch->stream);
        partition->replication.replica = replica;
        break;
    case BATCH_NEXT:
        break;
    }
    replica->last_batch_number = batch->number;
    replica->last_batch_at = now;
    for (guint i = 0; i < batch->machines->len; i++) {
        apply_snapshot(replica, batch->machines->pdata[i]);
        batch->machines->pdata[i] = NULL;
    }
    return LMN_REPLICA_APPLIED;
}

void lmn_replica_keep_own(struct lmn_partition *partition)
{
    /* Until every machine is accounted for, an owner that recovered without a replica
     * does not know all attempts that its predecessors started. */
    if (!partition->ownership.is_ready && !partition->ownership.is_warm)
        return;
    struct lmn_replica *replica = replica_new(partition->ownership.epoch, 0);

    replica->is_own_state = true;
    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine_snapshot *snapshot =
            lmn_machine_snapshot_take(partition->machine_list->pdata[i], true);
        g_hash_table_replace(replica->machines, snapshot->name, snapshot);
    }
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = replica;
}

bool lmn_replica_own_is_latest(const struct lmn_partition *partition)
{
    const struct lmn_replica *replica = partition->replication.replica;

    return replica && replica->is_own_state && replica->epoch == partition->record.epoch;
}

void lmn_replica_drop_outdated(const struct lmn_core *core,
                               struct lmn_partition *partition)
{
    const struct lmn_partition_record *record = &partition->record;
    const struct lmn_replica *replica = partition->replication.replica;

    if (partition->ownership.is_owned || !replica || !replica->is_own_state ||
        record->epoch <= replica->epoch)
        return;
    /* This process's own claim may have raised the epoch; the watch cache shows the new
     * epoch before the new owner. */
    if (record->epoch <= lmn_next_epoch(replica->epoch) &&
        (!*record->owner || !strcmp(record->owner, core->settings->node_name)))
        return;
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = NULL;
}
