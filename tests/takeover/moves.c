/* The moves that form a path, and the invariants that are checked after each move. */
#include "takeover.h"

#include "membership/membership.h"

enum { MAX_CLOCK_JUMPS = 2 };

static bool sync_cache(int node_index)
{
    const struct node *node = &model.nodes[node_index];

    if (node->is_paused || node->applied_events == model.event_count)
        return false;
    node_sync_cache(node_index);
    return true;
}

static bool deliver_push(int push_index)
{
    const struct push *push = &model.pushes[push_index];

    if (!push->body)
        return false;
    machine_handle_commands(push->machine, push->body, true);
    return true;
}

static bool lose_push(void)
{
    if (!model.pushes[0].body)
        return false;
    g_byte_array_unref(model.pushes[0].body);
    model.pushes[0] = model.pushes[1];
    model.pushes[1].body = NULL;
    return true;
}

static bool let_suspicion_age(void)
{
    const struct lmn_members *members = &model.nodes[NODE_B].core->members;

    if (model.clock_jumps >= MAX_CLOCK_JUMPS || !lmn_member_is_suspected(members, NODE_A))
        return false;
    model.clock_jumps++;
    advance_time(members->timeouts.suspicion_s + 0.2);
    node_sync_cache(NODE_B);
    record_evidence_against_a();
    return true;
}

static bool drop_claim(void)
{
    struct node *node_b = &model.nodes[NODE_B];

    if (!node_b->ownership_txn)
        return false;
    lmn_txn_free(node_b->ownership_txn);
    node_b->ownership_txn = NULL;
    return true;
}

static bool set_paused(bool is_paused)
{
    struct node *node_a = &model.nodes[NODE_A];

    if (node_a->is_paused == is_paused || (is_paused && model.clock_jumps > 0))
        return false;
    node_a->is_paused = is_paused;
    return true;
}

static bool expire_lease(int node_index)
{
    uint64_t lease_id = model.nodes[node_index].lease_id;

    if (!model.lease_alive[lease_id])
        return false;
    store_end_lease(lease_id);
    return true;
}

/* The process restarts at once, with a new lease. A's previous lease remains valid until
 * a later move expires it. B's previous lease ends immediately, so that the record of
 * member B gets another incarnation. */
static bool restart(int node_index)
{
    if (model.injected_faults.restarts == model.allowed_faults.restarts)
        return false;
    model.injected_faults.restarts++;
    if (node_index == NODE_B)
        store_end_lease(model.nodes[NODE_B].lease_id);
    node_discard(node_index);
    node_boot(node_index);
    node_join(node_index);
    return true;
}

static bool complete_tasks(int machine_index)
{
    if (!machine_is_running_task(machine_index))
        return false;
    machine_complete_tasks(machine_index);
    return true;
}

static bool wait_for_warm_start(void)
{
    if (!model.with_standby || model.waits++)
        return false;
    advance_time(0.6);
    return true;
}

static bool claim_after_restart(void)
{
    return model.both_nodes_may_restart && !model.nodes[NODE_A].is_paused &&
           !node_partition(NODE_A)->ownership.is_owned && prepare_claim(NODE_A);
}

static bool perform(enum move move)
{
    switch (move) {
    case SYNC_CACHE_A:
    case SYNC_CACHE_B:
        return sync_cache(move - SYNC_CACHE_A);
    case PUSH_START_A:
    case PUSH_START_B:
        return push_start(move - PUSH_START_A);
    case DELIVER_PUSH_0:
    case DELIVER_PUSH_1:
        return deliver_push(move - DELIVER_PUSH_0);
    case LOSE_PUSH:
        return lose_push();
    case HEARTBEAT_A_0:
    case HEARTBEAT_A_1:
        return send_heartbeat(NODE_A, move - HEARTBEAT_A_0);
    case HEARTBEAT_B_0:
    case HEARTBEAT_B_1:
        return node_partition(NODE_B)->ownership.is_owned &&
               send_heartbeat(NODE_B, move - HEARTBEAT_B_0);
    case PROBE_B:
        return send_probe(NODE_B);
    case SUSPECT_A:
        return commit_suspicion();
    case AGE_SUSPICION:
        return let_suspicion_age();
    case REFUTE_A:
        return commit_refutation();
    case CLAIM_B:
        return prepare_claim(NODE_B);
    case TRANSFER_A:
        return prepare_transfer();
    case COMMIT_OWNER_A:
    case COMMIT_OWNER_B:
        return commit_ownership_txn(move - COMMIT_OWNER_A);
    case DROP_CLAIM_B:
        return drop_claim();
    case PAUSE_A:
    case RESUME_A:
        return set_paused(move == PAUSE_A);
    case EXPIRE_LEASE_A:
        return expire_lease(NODE_A);
    case RESTART_A:
        return restart(NODE_A);
    case RESTART_B:
        return model.both_nodes_may_restart && restart(NODE_B);
    case COMPLETE_0:
    case COMPLETE_1:
        return complete_tasks(move - COMPLETE_0);
    case FLUSH_A:
    case FLUSH_B:
        return flush_records(move - FLUSH_A, true);
    case FLUSH_ANSWER_LOST_A:
    case FLUSH_ANSWER_LOST_B:
        return flush_records(move - FLUSH_ANSWER_LOST_A, false);
    case REPLICATE_A:
    case REPLICATE_B:
        return replicate(move - REPLICATE_A, DELIVERED);
    case REPLICATE_UNACKNOWLEDGED:
        return replicate(NODE_A, ACKNOWLEDGEMENT_LOST);
    case REPLICATE_LOST:
        return replicate(NODE_A, BATCH_LOST);
    case RELEASE_PUSH_A:
    case RELEASE_PUSH_B:
        return release_deferred_push(move - RELEASE_PUSH_A);
    case COMMIT_STANDBY_A:
    case DROP_STANDBY_A:
        return finish_standby_txn(NODE_A, move == COMMIT_STANDBY_A);
    case CLAIM_A:
        return claim_after_restart();
    case WARM_DELAY:
        return wait_for_warm_start();
    case KEEP_HEARTBEAT_0:
    case KEEP_HEARTBEAT_1:
        return keep_heartbeat(move - KEEP_HEARTBEAT_0);
    case DELIVER_KEPT_A:
    case DELIVER_KEPT_B:
        return deliver_kept_heartbeat(move - DELIVER_KEPT_A);
    default:
        return false;
    }
}

bool play_move(enum move move)
{
    bool possible = perform(move);

    digest_message("move", model.now);
    digest_number((uint64_t)move);
    digest_number(possible);
    return possible;
}

void check_invariants(void)
{
    if (machine_is_running_task(0) && machine_is_running_task(1))
        model.violated_invariant = TASK_RUNS_TWICE;
    if (model.disabled_guard != GUARD_ACCOUNTING)
        return;
    const GPtrArray *machines = node_partition(NODE_B)->machine_list;
    for (guint machine_index = 0; machine_index < machines->len; machine_index++)
        ((struct lmn_machine *)machines->pdata[machine_index])->lifecycle.is_inherited =
            false;
}
