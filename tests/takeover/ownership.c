/* Suspicion, refutation, claims, hand-overs, and what an owner writes. */
#include "takeover.h"

#include "membership/membership.h"
#include "partition/range_writer.h"
#include "partition/ownership.h"

enum { MOST_SUSPICIONS = 2 };

void speak_against_a(void)
{
    struct lmn_members *members = &explored.nodes[B].core->members;
    struct lmn_gossip_statement says = {A, members->views[A].incarnation, 20, 10, 0};

    lmn_member_record_probe_timeout(members, A, lmn_time_add(explored.now, -10),
                                    explored.now);
    lmn_member_record_gossip(members, C, &says, explored.now);
}

/* Carries the transaction out and frees it; false if there is none. */
static bool commit_and_free(struct lmn_txn *txn)
{
    uint64_t revision;

    if (!txn)
        return false;
    store_commit(txn, &revision);
    lmn_txn_free(txn);
    return true;
}

bool suspect(void)
{
    struct node *b = &explored.nodes[B];

    if (explored.suspicions == MOST_SUSPICIONS)
        return false;
    speak_against_a();
    if (!commit_and_free(lmn_ownership_suspect(b->core, A, b->lease, explored.now)))
        return false;
    explored.suspicions++;
    return true;
}

bool refute(void)
{
    struct node *a = &explored.nodes[A];

    return !a->stalled &&
           commit_and_free(lmn_ownership_refute(a->core, a->lease, explored.now));
}

bool claim(int n)
{
    struct node *node = &explored.nodes[n];
    struct lmn_partition *partition = node_partition(n);

    if (node->ownership)
        return false;
    if (explored.without == GUARD_TERM && n == B && partition->record.standby_stream)
        partition->record.standby_epoch = partition->record.epoch;
    node->ownership = lmn_ownership_claim(node->core, 0, node->lease, explored.now);
    node->handover = false;
    return node->ownership != NULL;
}

bool hand_over(void)
{
    struct node *a = &explored.nodes[A];
    struct lmn_members *members = &a->core->members;
    struct lmn_gossip_statement says = {A, members->views[A].incarnation, 0.1, 0, 40};
    int successor;

    if (a->stalled || a->ownership || !node_partition(A)->ownership.is_owned)
        return false;
    /* It hears none of its machines, and B says that they come there. */
    members->views[A].machine_count = MACHINES;
    members->health.silent_machine_share = 1;
    lmn_member_record_gossip(members, B, &says, explored.now);
    a->ownership = lmn_ownership_transfer(a->core, 0, &successor, explored.now);
    a->handover = true;
    members->health.silent_machine_share = 0;
    members->is_isolated_from_workers = false;
    return a->ownership != NULL;
}

/* Who claims learns from the mirror; who hands over learns nothing: the answer is lost.
 */
bool apply_ownership(int n)
{
    struct node *node = &explored.nodes[n];

    if (!commit_and_free(node->ownership))
        return false;
    node->ownership = NULL;
    if (node->handover)
        lmn_ownership_transfer_completed(node->core, 0, LMN_TXN_UNKNOWN, explored.now);
    return true;
}

bool flush(int n, bool answered)
{
    struct lmn_core *core = explored.nodes[n].core;
    struct lmn_txn *txn;
    bool any = false;

    if (explored.nodes[n].stalled || !node_partition(n)->ownership.is_owned)
        return false;
    if (!answered && explored.had.unanswered == explored.allowed.unanswered)
        return false;
    lmn_range_writer_flush(core, explored.now);
    while ((txn = lmn_kv_client_dequeue(core->kv_client))) {
        uint64_t revision = 0;
        enum lmn_txn_outcome outcome = store_commit(txn, &revision);
        if (!answered) {
            outcome = LMN_TXN_UNKNOWN;
            revision = 0;
        }
        lmn_txn_complete(txn, outcome, revision);
        any = true;
    }
    explored.had.unanswered += any && !answered;
    return any;
}
