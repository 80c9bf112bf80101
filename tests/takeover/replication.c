/* How an owner replicates to its standby, one step at a time. */
#include "takeover.h"

#include "replication/stream.h"
#include "twin.h"

/* More than an owner tries before it gives a standby up. */
enum { MANY_FAILURES = 10 };

static bool take_batch(int to, const struct lmn_replication_batch *batch,
                       enum lmn_replica_result *answer)
{
    if (to > B || explored.nodes[to].stalled)
        return false;
    struct lmn_replication_batch *received = replication_batch_copy(batch);
    *answer = lmn_replica_apply(explored.nodes[to].core, received, explored.now);
    lmn_replication_batch_free(received);
    return true;
}

static void send_batch(int n, struct lmn_replication_batch *batch, enum delivery how)
{
    struct lmn_partition *partition = node_partition(n);
    enum lmn_replica_result answer = LMN_REPLICA_APPLIED;

    bool taken = how != BATCH_LOST &&
                 take_batch(partition->replication.stream.standby_index, batch, &answer);
    if (how == BATCH_LOST)
        partition->replication.stream.send_failures = MANY_FAILURES;
    digest_batch(n, partition->replication.stream.standby_index, explored.now, batch,
                 taken && how == DELIVERED, answer);
    lmn_replication_batch_sent(explored.nodes[n].core, partition, batch,
                               taken && how == DELIVERED, answer, explored.now);
}

bool replicate(int n, enum delivery how)
{
    struct node *node = &explored.nodes[n];
    struct lmn_partition *partition = node_partition(n);
    struct lmn_replication_batch *batch = NULL;
    struct lmn_txn *record = NULL;
    double wait;

    if (!explored.with_standby || node->stalled || !partition->ownership.is_owned)
        return false;
    advance(0.004); /* starts are gathered for less */
    enum lmn_replication_phase before = partition->replication.stream.phase;
    enum lmn_replication_step step = lmn_replication_next_step(
        node->core, partition, explored.now, &batch, &record, &wait);
    if (step == LMN_REPLICATION_WRITE) {
        if (node->standby_record)
            lmn_txn_free(node->standby_record);
        node->standby_record = record;
        return true;
    }
    if (explored.without == GUARD_STRUCK_OFF &&
        partition->replication.stream.phase == LMN_STREAM_REMOVING)
        lmn_replication_reset(node->core, partition);
    if (step != LMN_REPLICATION_SEND)
        return partition->replication.stream.phase != before;
    send_batch(n, batch, how);
    return true;
}

bool write_standby_record(int n, bool applied)
{
    struct node *node = &explored.nodes[n];
    uint64_t revision;

    if (!node->standby_record)
        return false;
    if (applied)
        store_commit(node->standby_record, &revision);
    lmn_txn_free(node->standby_record);
    node->standby_record = NULL;
    return true;
}
