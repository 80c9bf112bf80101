#include "replication/replica.h"

#include <string.h>

void lmn_replica_free(struct lmn_replica *copy)
{
    if (!copy)
        return;
    g_hash_table_destroy(copy->machines);
    g_free(copy);
}

static struct lmn_replica *new_copy(uint64_t epoch, uint64_t stream)
{
    struct lmn_replica *copy = g_new0(struct lmn_replica, 1);

    copy->epoch = epoch;
    copy->stream = stream;
    copy->machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lmn_machine_snapshot_free);
    return copy;
}

static void take_machine(struct lmn_replica *copy, struct lmn_machine_snapshot *snapshot)
{
    struct lmn_machine_snapshot *was =
        g_hash_table_lookup(copy->machines, snapshot->name);

    if (snapshot->is_forgotten) {
        g_hash_table_remove(copy->machines, snapshot->name);
        lmn_machine_snapshot_free(snapshot);
        return;
    }
    if (!snapshot->images && was) {
        snapshot->images = was->images;
        was->images = NULL;
    }
    g_hash_table_replace(copy->machines, snapshot->name, snapshot);
}

enum lmn_replica_result lmn_replica_apply(struct lmn_core *core,
                                          struct lmn_replication_batch *batch,
                                          struct timespec now)
{
    if (batch->partition < 0 || batch->partition >= core->partition_count)
        return LMN_REPLICA_REJECTED;
    struct lmn_partition *partition = &core->partitions[batch->partition];
    struct lmn_replica *copy = partition->replication.replica;
    /* Whoever owned it before the term that the mirror shows has been replaced. One that
     * is about to end follows nobody. */
    if (partition->ownership.is_owned || batch->epoch < partition->record.epoch ||
        core->shutdown.is_requested)
        return LMN_REPLICA_REJECTED;
    if (copy && batch->epoch == copy->epoch && batch->stream == copy->stream &&
        batch->number <= copy->number) {
        copy->last_batch_at = now;
        return LMN_REPLICA_APPLIED; /* a repeat, or a late twin */
    }
    if (batch->number == 0) {
        /* A late twin of an older stream must not take the place of a newer one. */
        if (copy && (batch->epoch < copy->epoch ||
                     (batch->epoch == copy->epoch && batch->stream < copy->stream)))
            return LMN_REPLICA_UNKNOWN_STREAM;
        lmn_replica_free(copy);
        copy = partition->replication.replica = new_copy(batch->epoch, batch->stream);
    } else if (!copy || batch->epoch != copy->epoch || batch->stream != copy->stream ||
               batch->number != copy->number + 1) {
        return LMN_REPLICA_UNKNOWN_STREAM;
    }
    copy->number = batch->number;
    copy->last_batch_at = now;
    for (guint i = 0; i < batch->machines->len; i++) {
        take_machine(copy, batch->machines->pdata[i]);
        batch->machines->pdata[i] = NULL;
    }
    return LMN_REPLICA_APPLIED;
}

void lmn_replica_keep_own(struct lmn_partition *partition)
{
    /* Before every machine was accounted for, a cold owner does not know what its
     * predecessors started. */
    if (!partition->ownership.is_ready && !partition->ownership.is_warm)
        return;
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = new_copy(partition->ownership.epoch, 0);
    partition->replication.replica->own = true;
    for (guint i = 0; i < partition->machine_list->len; i++) {
        struct lmn_machine_snapshot *snapshot =
            lmn_machine_snapshot_take(partition->machine_list->pdata[i], true);
        g_hash_table_replace(partition->replication.replica->machines, snapshot->name,
                             snapshot);
    }
}

bool lmn_replica_own_is_latest(const struct lmn_partition *partition)
{
    return partition->replication.replica && partition->replication.replica->own &&
           partition->replication.replica->epoch == partition->record.epoch;
}

void lmn_replica_drop_outdated(const struct lmn_core *core,
                               struct lmn_partition *partition)
{
    if (partition->ownership.is_owned || !partition->replication.replica ||
        !partition->replication.replica->own ||
        partition->record.epoch <= partition->replication.replica->epoch)
        return;
    /* Of the next term only our own claim may be on its way. */
    if (partition->record.epoch == partition->replication.replica->epoch + 1 &&
        (!*partition->record.owner ||
         !strcmp(partition->record.owner, core->settings->node_name)))
        return;
    lmn_replica_free(partition->replication.replica);
    partition->replication.replica = NULL;
}
