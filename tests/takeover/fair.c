/* Fair steps alone: everybody mirrors, asks, reports and writes, machines complete what
 * they run, and the job is finished in the end. */
#include "takeover.h"

#include "partition/ownership.h"
#include "partition/partition.h"
#include "partition/maintenance.h"
#include "state/records.h"

enum { MOST_ROUNDS = 60, ROUNDS_A_TASK = 4 };

/* What is on its way arrives. */
static void settle_messages(int n)
{
    if (explored.nodes[n].ownership)
        apply_ownership(n);
    write_standby_record(n, true);
    release_pending(n);
}

static void commit_if_any(struct lmn_txn *txn)
{
    uint64_t revision;

    if (!txn)
        return;
    store_commit(txn, &revision);
    lmn_txn_free(txn);
}

/* A node whose lease ended loses its partition, and joins with a new one. */
static void renew_lease(int n)
{
    struct node *node = &explored.nodes[n];

    if (explored.lease_alive[node->lease])
        return;
    if (node_partition(n)->ownership.is_owned)
        lmn_partition_end_ownership(node->core, node_partition(n), "lease ended");
    node_join(n);
    node_mirror(n);
}

static void step_of_node(int n)
{
    struct node *node = &explored.nodes[n];
    struct lmn_core *core = node->core;
    int successor;

    node_mirror(n);
    commit_if_any(lmn_ownership_transfer(core, 0, &successor, explored.now));
    renew_lease(n);
    struct lmn_txn *txn = lmn_ownership_refute(core, node->lease, explored.now);
    commit_if_any(txn ? txn : lmn_ownership_claim(core, 0, node->lease, explored.now));
    node_mirror(n);
    probe(n);
    for (int k = 0; k < MACHINES; k++)
        report(n, k);
    flush(n, true);
    lmn_maintenance_run(core, explored.now);
    while (replicate(n, DELIVERED) && !node->standby_record)
        ;
    write_standby_record(n, true);
}

static bool job_is_finished(void)
{
    const struct entry *e = &explored.store[store_index("j/run-000001")];
    struct lmn_cbor_document d;
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open;
    double when;

    lmn_cbor_parse(&d, e->value->data, e->value->len);
    lmn_job_read(&d, lmn_cbor_root(&d), &spec, &phase, &open, &when);
    lmn_job_spec_clear(&spec);
    lmn_cbor_free(&d);
    return phase == LMN_JOB_DONE;
}

static const char *play_rounds(void)
{
    explored.nodes[A].stalled = false;
    for (int n = 0; n < NODES; n++)
        settle_messages(n);
    for (int round = 1; round <= MOST_ROUNDS; round++) {
        advance(0.5);
        for (int n = 0; n < NODES; n++)
            step_of_node(n);
        for (int k = 0; k < MACHINES && round % ROUNDS_A_TASK == 0; k++)
            machine_complete(k);
        check_rules();
        if (explored.broken_rule)
            return explored.broken_rule;
        if (job_is_finished())
            return NULL;
    }
    return "the job is never done";
}

const char *finish_fairly(void)
{
    explored.fair = true;
    const char *broken = play_rounds();
    explored.fair = false;
    return broken;
}
