/* The moves that a path is made of, and the rules that are checked after each. */
#include "takeover.h"

#include "membership/membership.h"

enum { MOST_JUMPS = 2 };

static bool mirror(int n)
{
    const struct node *node = &explored.nodes[n];

    if (node->stalled || node->seen == explored.nevents)
        return false;
    node_mirror(n);
    return true;
}

static bool deliver(int i)
{
    const struct command *c = &explored.commands[i];

    if (!c->body)
        return false;
    machine_accept(c->machine, c->body, true);
    return true;
}

static bool lose_command(void)
{
    if (!explored.commands[0].body)
        return false;
    g_byte_array_unref(explored.commands[0].body);
    explored.commands[0] = explored.commands[1];
    explored.commands[1].body = NULL;
    return true;
}

static bool suspicion_ages(void)
{
    const struct lmn_members *members = &explored.nodes[B].core->members;

    if (explored.jumps >= MOST_JUMPS || !lmn_member_is_suspected(members, A))
        return false;
    explored.jumps++;
    advance(members->timeouts.suspicion_s + 0.2);
    node_mirror(B);
    speak_against_a();
    return true;
}

static bool drop_claim(void)
{
    struct node *b = &explored.nodes[B];

    if (!b->ownership)
        return false;
    lmn_txn_free(b->ownership);
    b->ownership = NULL;
    return true;
}

static bool set_stalled(bool stalled)
{
    struct node *a = &explored.nodes[A];

    if (a->stalled == stalled || (stalled && explored.jumps > 0))
        return false;
    a->stalled = stalled;
    return true;
}

static bool expire_lease(int n)
{
    uint64_t lease = explored.nodes[n].lease;

    if (!explored.lease_alive[lease])
        return false;
    store_end_lease(lease);
    return true;
}

/* The process ends and is back at once, with a new lease. A's old one stands on until it
 * would have ended anyway; B's ends, so that its record names another incarnation. */
static bool restart(int n)
{
    if (explored.had.restarts == explored.allowed.restarts)
        return false;
    explored.had.restarts++;
    if (n == B)
        store_end_lease(explored.nodes[B].lease);
    node_discard(n);
    node_boot(n);
    node_join(n);
    return true;
}

static bool complete(int k)
{
    if (!machine_runs(k))
        return false;
    machine_complete(k);
    return true;
}

static bool wait_for_warm(void)
{
    if (!explored.with_standby || explored.waits++)
        return false;
    advance(0.6);
    return true;
}

static bool claim_again(void)
{
    return explored.both_restart && !explored.nodes[A].stalled &&
           !node_partition(A)->ownership.is_owned && claim(A);
}

static bool carry_out(enum move move)
{
    switch (move) {
    case MIRROR_A:
    case MIRROR_B:
        return mirror(move - MIRROR_A);
    case START_A:
    case START_B:
        return start_directly(move - START_A);
    case DELIVER:
    case DELIVER_2:
        return deliver(move - DELIVER);
    case LOSE_COMMAND:
        return lose_command();
    case REPORT_A_0:
    case REPORT_A_1:
        return report(A, move - REPORT_A_0);
    case REPORT_B_0:
    case REPORT_B_1:
        return node_partition(B)->ownership.is_owned && report(B, move - REPORT_B_0);
    case PROBE_B:
        return probe(B);
    case SUSPECT:
        return suspect();
    case SUSPICION_AGES:
        return suspicion_ages();
    case REFUTE:
        return refute();
    case CLAIM_B:
        return claim(B);
    case HAND_OVER:
        return hand_over();
    case APPLY_A:
    case APPLY_B:
        return apply_ownership(move - APPLY_A);
    case DROP_B:
        return drop_claim();
    case STALL:
    case WAKE:
        return set_stalled(move == STALL);
    case EXPIRE_LEASE_A:
        return expire_lease(A);
    case RESTART_A:
        return restart(A);
    case RESTART_B:
        return explored.both_restart && restart(B);
    case COMPLETE_0:
    case COMPLETE_1:
        return complete(move - COMPLETE_0);
    case FLUSH_A:
    case FLUSH_B:
        return flush(move - FLUSH_A, true);
    case FLUSH_UNANSWERED_A:
    case FLUSH_UNANSWERED_B:
        return flush(move - FLUSH_UNANSWERED_A, false);
    case REPLICATE_A:
    case REPLICATE_B:
        return replicate(move - REPLICATE_A, DELIVERED);
    case REPLICATE_UNACKNOWLEDGED:
        return replicate(A, ACKNOWLEDGEMENT_LOST);
    case REPLICATE_LOST:
        return replicate(A, BATCH_LOST);
    case RELEASE_A:
    case RELEASE_B:
        return release_pending(move - RELEASE_A);
    case RECORD_A:
    case DROP_RECORD_A:
        return write_standby_record(A, move == RECORD_A);
    case CLAIM_A:
        return claim_again();
    case WAIT:
        return wait_for_warm();
    case COPY_0:
    case COPY_1:
        return keep_copy(move - COPY_0);
    case DELIVER_COPY_A:
    case DELIVER_COPY_B:
        return deliver_copy(move - DELIVER_COPY_A);
    default:
        return false;
    }
}

bool play(enum move move)
{
    bool possible = carry_out(move);

    digest_message("move", explored.now);
    digest_number((uint64_t)move);
    digest_number(possible);
    return possible;
}

void check_rules(void)
{
    if (machine_runs(0) && machine_runs(1))
        explored.broken_rule = TASK_RUNS_TWICE;
    if (explored.without != GUARD_ACCOUNTING)
        return;
    const GPtrArray *machines = node_partition(B)->machine_list;
    for (guint k = 0; k < machines->len; k++)
        ((struct lmn_machine *)machines->pdata[k])->lifecycle.is_inherited = false;
}
