/* Summaries of states, by which the search recognizes states that it has found before. */
#include "takeover.h"

#include "protocol/wire.h"
#include "membership/membership.h"
#include "replication/stream.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"

static int epoch_of(uint64_t attempt)
{
    return (int)(attempt >> LMN_ATTEMPT_COUNT_BITS);
}

static void add_replication(GString *text, int node_index)
{
    const struct node *node = &model.nodes[node_index];
    const struct lmn_partition *partition = node_partition(node_index);
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    g_string_append_printf(
        text, "{%d%d%d%d%d%d%d%d%d %d}", stream->phase, stream->standby_index,
        stream->batch != NULL, stream->next_batch_number > 0,
        stream->acknowledged_position<stream->log_position, stream->send_failures> 0,
        partition->replication.pending_machines->len, node->standby_txn != NULL,
        node->deferred_push != NULL,
        partition->record.standby_stream ? (int)partition->record.standby_epoch : 0);
    if (!partition->replication.replica)
        return;
    g_string_append_printf(text, "[%d%d", (int)partition->replication.replica->epoch,
                           partition->replication.replica->stream ==
                               partition->record.standby_stream);
    for (int k = 0; k < MACHINES; k++) {
        const struct lmn_machine_snapshot *snapshot = g_hash_table_lookup(
            partition->replication.replica->machines, model.machines[k].name);
        g_string_append_printf(text, ",%d", snapshot ? (int)snapshot->attempts->len : 9);
    }
}

static void add_ownership(GString *text, int node_index)
{
    const struct node *node = &model.nodes[node_index];
    const struct lmn_partition *partition = node_partition(node_index);
    const struct lmn_members *members = &node->core->members;

    g_string_append_printf(
        text, "|%d%d%d%d %d %d %d%d%d %d%d %d", node->is_paused,
        node->ownership_txn != NULL, partition->ownership.is_owned,
        partition->ownership.is_ready + 2 * partition->ownership.inherited_may_start,
        (int)partition->ownership.epoch, (int)(model.event_count - node->applied_events),
        lmn_member_is_suspected(members, NODE_A),
        members->views[NODE_A].unanswered_since.tv_sec != 0,
        lmn_member_is_declared_failed(members, NODE_A, model.now),
        partition->ownership.is_transferring, lmn_self_may_reply(members, model.now),
        (int)partition->record.owner_epoch);
}

static void add_tasks(GString *text, int node_index)
{
    const struct lmn_partition *partition = node_partition(node_index);
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct lmn_range *range = value;
        g_string_append_printf(text, " r%d%d%d",
                               range->task_states ? range->task_states[0] : 9,
                               range->done_count, range->is_writing);
    }
    for (guint k = 0; k < partition->machine_list->len; k++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[k];
        g_string_append_printf(
            text, " %s%d%d%d%d.%d", machine->name + 5, machine->lifecycle.is_accounted,
            machine->lifecycle.is_inherited, machine->record.revision != 0,
            machine->agent.has_reported,
            partition->ownership.is_owned ? (int)lmn_machine_token(machine) : 0);
        for (guint i = 0; i < machine->attempts->len; i++) {
            const struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            g_string_append_printf(text, "a%d.%d.%d%d%d.%d", epoch_of(attempt->number),
                                   attempt->state, attempt->push_is_uncertain,
                                   attempt->is_done, attempt->range != NULL,
                                   (int)attempt->push_token);
        }
    }
}

static void add_machines(GString *text)
{
    for (int k = 0; k < MACHINES; k++) {
        const struct machine *machine = &model.machines[k];
        g_string_append_printf(text, "|%d", (int)machine->fencing_token);
        for (int i = 0; i < machine->attempt_count; i++)
            g_string_append_printf(text, " %d%d%d", epoch_of(machine->attempts[i].number),
                                   machine->attempts[i].running,
                                   machine->attempts[i].done);
    }
}

static int read_fencing_token(const GByteArray *body)
{
    struct lmn_cbor_document document;
    uint64_t fencing_token = 0;

    lmn_cbor_parse(&document, body->data, body->len);
    lmn_cbor_get_uint(
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_FENCING_TOKEN),
        &fencing_token);
    lmn_cbor_free(&document);
    return (int)fencing_token;
}

static void add_pushes(GString *text)
{
    for (int i = 0; i < MAX_PUSHES; i++) {
        const struct push *push = &model.pushes[i];
        if (push->body)
            g_string_append_printf(text, "|f%d.%d", push->machine,
                                   read_fencing_token(push->body));
    }
}

/* Adds the kept heartbeat by the checksum of its bytes, and whether the machine has sent
 * a newer one since. */
static void add_kept_heartbeat(GString *text)
{
    if (!model.kept_heartbeat)
        return;
    const GByteArray *body = model.kept_heartbeat;
    const struct machine *machine = &model.machines[model.kept_heartbeat_machine];
    char *digest = g_compute_checksum_for_data(G_CHECKSUM_MD5, body->data, body->len);
    g_string_append_printf(text, "|c%d%d%s", model.kept_heartbeat_machine,
                           machine->last_heartbeat == body, digest);
    g_free(digest);
}

static void add_move_limits(GString *text)
{
    for (int i = 0; i < MAX_KEYS && *model.store[i].key; i++)
        g_string_append_printf(text, "%d", model.store[i].value != NULL);
    g_string_append_printf(text, " %d%d%d%d%d", model.lease_alive[1],
                           (int)model.clock_jumps, (int)model.injected_faults.restarts,
                           (int)model.suspicions, (int)model.waits);
    if (model.injected_faults.late_heartbeats || model.injected_faults.lost_answers)
        g_string_append_printf(text, "!%u%u", model.injected_faults.late_heartbeats,
                               model.injected_faults.lost_answers);
}

char *state_summary(void)
{
    GString *text = g_string_new(NULL);

    for (int node_index = 0; node_index < NODES; node_index++) {
        add_replication(text, node_index);
        add_ownership(text, node_index);
        add_tasks(text, node_index);
    }
    add_machines(text);
    add_pushes(text);
    add_move_limits(text);
    add_kept_heartbeat(text);
    return g_string_free(text, FALSE);
}
