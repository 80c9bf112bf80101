/* Replication from an owner to its standby, one step at a time. */
#include "takeover.h"

#include "replication/stream.h"
#include "twin.h"

/* Enough failed sends for an owner to remove its standby. */
enum { FAILURES_UNTIL_REMOVAL = 10 };

static bool apply_batch(int standby_index, const struct lmn_replication_batch *batch,
                        enum lmn_replica_result *answer)
{
    if (standby_index > NODE_B || model.nodes[standby_index].is_paused)
        return false;
    struct lmn_replication_batch *received = replication_batch_copy(batch);
    *answer = lmn_replica_apply(model.nodes[standby_index].core, received, model.now);
    lmn_replication_batch_free(received);
    return true;
}

static void send_batch(int node_index, struct lmn_replication_batch *batch,
                       enum delivery delivery)
{
    struct lmn_partition *partition = node_partition(node_index);
    enum lmn_replica_result answer = LMN_REPLICA_APPLIED;

    bool is_applied =
        delivery != BATCH_LOST &&
        apply_batch(partition->replication.stream.standby_index, batch, &answer);
    if (delivery == BATCH_LOST)
        partition->replication.stream.send_failures = FAILURES_UNTIL_REMOVAL;
    digest_batch(node_index, partition->replication.stream.standby_index, model.now,
                 batch, is_applied && delivery == DELIVERED, answer);
    lmn_replication_batch_sent(model.nodes[node_index].core, partition, batch,
                               is_applied && delivery == DELIVERED, answer, model.now);
}

bool replicate(int node_index, enum delivery delivery)
{
    struct node *node = &model.nodes[node_index];
    struct lmn_partition *partition = node_partition(node_index);
    struct lmn_replication_batch *batch = NULL;
    struct lmn_txn *record = NULL;
    double wait_s;

    if (!model.with_standby || node->is_paused || !partition->ownership.is_owned)
        return false;
    advance_time(0.004); /* longer than the owner collects starts for a batch */
    enum lmn_replication_phase before = partition->replication.stream.phase;
    enum lmn_replication_step step = lmn_replication_next_step(
        node->core, partition, model.now, &batch, &record, &wait_s);
    if (step == LMN_REPLICATION_WRITE) {
        if (node->standby_txn)
            lmn_txn_free(node->standby_txn);
        node->standby_txn = record;
        return true;
    }
    if (model.disabled_guard == GUARD_STANDBY_REMOVAL &&
        partition->replication.stream.phase == LMN_STREAM_REMOVING)
        lmn_replication_reset(node->core, partition);
    if (step != LMN_REPLICATION_SEND)
        return partition->replication.stream.phase != before;
    send_batch(node_index, batch, delivery);
    return true;
}

bool finish_standby_txn(int node_index, bool applied)
{
    struct node *node = &model.nodes[node_index];
    uint64_t revision;

    if (!node->standby_txn)
        return false;
    if (applied)
        store_commit(node->standby_txn, &revision);
    lmn_txn_free(node->standby_txn);
    node->standby_txn = NULL;
    return true;
}
