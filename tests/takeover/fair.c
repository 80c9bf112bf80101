/* A schedule that is fair: in each round all nodes sync their caches, probe, receive
 * heartbeats and write, and machines complete their tasks. The job must finish. */
#include "takeover.h"

#include "partition/ownership.h"
#include "partition/partition.h"
#include "partition/maintenance.h"
#include "state/records.h"

enum { MAX_ROUNDS = 60, ROUNDS_PER_TASK = 4 };

/* Commits or delivers the node's transactions and pushes in flight. */
static void complete_messages(int node_index)
{
    if (model.nodes[node_index].ownership_txn)
        commit_ownership_txn(node_index);
    finish_standby_txn(node_index, true);
    release_deferred_push(node_index);
}

static void commit_and_free(struct lmn_txn *txn)
{
    uint64_t revision;

    if (!txn)
        return;
    store_commit(txn, &revision);
    lmn_txn_free(txn);
}

/* A node whose lease has ended loses its partition and joins with a new lease. */
static void renew_lease(int node_index)
{
    struct node *node = &model.nodes[node_index];

    if (model.lease_alive[node->lease_id])
        return;
    if (node_partition(node_index)->ownership.is_owned)
        lmn_partition_end_ownership(node->core, node_partition(node_index),
                                    "lease ended");
    node_join(node_index);
    node_sync_cache(node_index);
}

static void run_node_step(int node_index)
{
    struct node *node = &model.nodes[node_index];
    struct lmn_core *core = node->core;
    int successor;

    node_sync_cache(node_index);
    commit_and_free(lmn_ownership_transfer(core, 0, &successor, model.now));
    renew_lease(node_index);
    struct lmn_txn *txn = lmn_ownership_refute(core, node->lease_id, model.now);
    commit_and_free(txn ? txn : lmn_ownership_claim(core, 0, node->lease_id, model.now));
    node_sync_cache(node_index);
    send_probe(node_index);
    for (int k = 0; k < MACHINES; k++)
        send_heartbeat(node_index, k);
    flush_records(node_index, true);
    lmn_maintenance_run(core, model.now);
    while (replicate(node_index, DELIVERED) && !node->standby_txn)
        ;
    finish_standby_txn(node_index, true);
}

static bool job_is_finished(void)
{
    const struct store_entry *entry = &model.store[store_index("j/run-000001")];
    struct lmn_cbor_document document;
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open_tasks;
    double finished_at;

    lmn_cbor_parse(&document, entry->value->data, entry->value->len);
    lmn_job_record_decode(&document, lmn_cbor_root(&document), &spec, &phase, &open_tasks,
                          &finished_at);
    lmn_job_spec_clear(&spec);
    lmn_cbor_free(&document);
    return phase == LMN_JOB_DONE;
}

static const char *play_rounds(void)
{
    model.nodes[NODE_A].is_paused = false;
    for (int node_index = 0; node_index < NODES; node_index++)
        complete_messages(node_index);
    for (int round = 1; round <= MAX_ROUNDS; round++) {
        advance_time(0.5);
        for (int node_index = 0; node_index < NODES; node_index++)
            run_node_step(node_index);
        for (int k = 0; k < MACHINES && round % ROUNDS_PER_TASK == 0; k++)
            machine_complete_tasks(k);
        check_invariants();
        if (model.violated_invariant)
            return model.violated_invariant;
        if (job_is_finished())
            return NULL;
    }
    /* The text is part of the search's digest, so it must not change. */
    return "the job is never done";
}

const char *finish_under_fair_schedule(void)
{
    model.is_fair_schedule = true;
    const char *violation = play_rounds();
    model.is_fair_schedule = false;
    return violation;
}
