/* Suspicions, refutations, claims, transfers, and the owners' writes. */
#include "takeover.h"

#include "membership/membership.h"
#include "partition/range_writer.h"
#include "partition/ownership.h"

enum { MAX_SUSPICIONS = 2 };

void record_evidence_against_a(void)
{
    struct lmn_members *members = &model.nodes[NODE_B].core->members;
    struct lmn_gossip_statement statement = {NODE_A, members->views[NODE_A].incarnation,
                                             20, 10, 0};

    lmn_member_record_probe_timeout(members, NODE_A, lmn_time_add(model.now, -10),
                                    model.now);
    lmn_member_record_gossip(members, NODE_C, &statement, model.now);
}

/* Commits and frees the transaction. Returns false if it is NULL. */
static bool commit_and_free(struct lmn_txn *txn)
{
    uint64_t revision;

    if (!txn)
        return false;
    store_commit(txn, &revision);
    lmn_txn_free(txn);
    return true;
}

bool commit_suspicion(void)
{
    struct node *node_b = &model.nodes[NODE_B];

    if (model.suspicions == MAX_SUSPICIONS)
        return false;
    record_evidence_against_a();
    if (!commit_and_free(
            lmn_ownership_suspect(node_b->core, NODE_A, node_b->lease_id, model.now)))
        return false;
    model.suspicions++;
    return true;
}

bool commit_refutation(void)
{
    struct node *node_a = &model.nodes[NODE_A];

    return !node_a->is_paused && commit_and_free(lmn_ownership_refute(
                                     node_a->core, node_a->lease_id, model.now));
}

bool prepare_claim(int node_index)
{
    struct node *node = &model.nodes[node_index];
    struct lmn_partition *partition = node_partition(node_index);

    if (node->ownership_txn)
        return false;
    if (model.disabled_guard == GUARD_REPLICA_EPOCH && node_index == NODE_B &&
        partition->record.standby_stream)
        partition->record.standby_epoch = partition->record.epoch;
    node->ownership_txn = lmn_ownership_claim(node->core, 0, node->lease_id, model.now);
    node->is_transfer = false;
    return node->ownership_txn != NULL;
}

bool prepare_transfer(void)
{
    struct node *node_a = &model.nodes[NODE_A];
    struct lmn_members *members = &node_a->core->members;
    struct lmn_gossip_statement statement = {NODE_A, members->views[NODE_A].incarnation,
                                             0.1, 0, 40};
    int successor;

    if (node_a->is_paused || node_a->ownership_txn ||
        !node_partition(NODE_A)->ownership.is_owned)
        return false;
    /* A receives no heartbeats, and learns from B's gossip that A's machines send theirs
     * to B. */
    members->views[NODE_A].machine_count = MACHINES;
    members->health.silent_machine_share = 1;
    lmn_member_record_gossip(members, NODE_B, &statement, model.now);
    node_a->ownership_txn =
        lmn_ownership_transfer(node_a->core, 0, &successor, model.now);
    node_a->is_transfer = true;
    members->health.silent_machine_share = 0;
    members->is_isolated_from_workers = false;
    return node_a->ownership_txn != NULL;
}

/* A claimant learns of its commit from the watch cache. The answer to a transfer is lost,
 * so its outcome stays unknown to the node. */
bool commit_ownership_txn(int node_index)
{
    struct node *node = &model.nodes[node_index];

    if (!commit_and_free(node->ownership_txn))
        return false;
    node->ownership_txn = NULL;
    if (node->is_transfer)
        lmn_ownership_transfer_completed(node->core, 0, LMN_TXN_UNKNOWN, model.now);
    return true;
}

bool flush_records(int node_index, bool answered)
{
    struct lmn_core *core = model.nodes[node_index].core;
    struct lmn_txn *txn;
    bool has_written = false;

    if (model.nodes[node_index].is_paused ||
        !node_partition(node_index)->ownership.is_owned)
        return false;
    if (!answered &&
        model.injected_faults.lost_answers == model.allowed_faults.lost_answers)
        return false;
    lmn_range_writer_flush(core, model.now);
    while ((txn = lmn_kv_client_dequeue(core->kv_client))) {
        uint64_t revision = 0;
        enum lmn_txn_outcome outcome = store_commit(txn, &revision);
        if (!answered) {
            outcome = LMN_TXN_UNKNOWN;
            revision = 0;
        }
        lmn_txn_complete(txn, outcome, revision);
        has_written = true;
    }
    model.injected_faults.lost_answers += has_written && !answered;
    return has_written;
}
