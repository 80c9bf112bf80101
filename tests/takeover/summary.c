/* Summaries of states, by which the explorer knows those that it has seen. */
#include "takeover.h"

#include "protocol/wire.h"
#include "membership/membership.h"
#include "replication/stream.h"
#include "state/task_ledger.h"

/* A term fills the upper bits of an attempt's number. */
enum { TERM_SHIFT = 24 };

static int term_of(uint64_t attempt)
{
    return (int)(attempt >> TERM_SHIFT);
}

static void add_replication(GString *s, int n)
{
    const struct node *node = &explored.nodes[n];
    const struct lmn_partition *partition = node_partition(n);
    const struct lmn_replication_stream *stream = &partition->replication.stream;

    g_string_append_printf(
        s, "{%d%d%d%d%d%d%d%d%d %d}", stream->phase, stream->standby_index,
        stream->batch != NULL, stream->next_batch_number > 0,
        stream->acknowledged_position<stream->log_position, stream->send_failures> 0,
        partition->replication.pending_machines->len, node->standby_record != NULL,
        node->pending != NULL,
        partition->record.standby_stream ? (int)partition->record.standby_epoch : 0);
    if (!partition->replication.replica)
        return;
    g_string_append_printf(s, "[%d%d", (int)partition->replication.replica->epoch,
                           partition->replication.replica->stream ==
                               partition->record.standby_stream);
    for (int k = 0; k < MACHINES; k++) {
        const struct lmn_machine_snapshot *snapshot = g_hash_table_lookup(
            partition->replication.replica->machines, explored.machines[k].name);
        g_string_append_printf(s, ",%d", snapshot ? (int)snapshot->attempts->len : 9);
    }
}

static void add_ownership(GString *s, int n)
{
    const struct node *node = &explored.nodes[n];
    const struct lmn_partition *partition = node_partition(n);
    const struct lmn_members *members = &node->core->members;

    g_string_append_printf(
        s, "|%d%d%d%d %d %d %d%d%d %d%d %d", node->stalled, node->ownership != NULL,
        partition->ownership.is_owned,
        partition->ownership.is_ready + 2 * partition->ownership.inherited_may_start,
        (int)partition->ownership.epoch, (int)(explored.nevents - node->seen),
        lmn_member_is_suspected(members, A),
        members->views[A].unanswered_since.tv_sec != 0,
        lmn_member_is_declared_failed(members, A, explored.now),
        partition->ownership.is_transferring, lmn_self_may_reply(members, explored.now),
        (int)partition->record.owner_epoch);
}

static void add_tasks(GString *s, int n)
{
    const struct lmn_partition *partition = node_partition(n);
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, partition->ranges);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_range *range = v;
        g_string_append_printf(s, " r%d%d%d",
                               range->task_states ? range->task_states[0] : 9,
                               range->done_count, range->is_writing);
    }
    for (guint k = 0; k < partition->machine_list->len; k++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[k];
        g_string_append_printf(
            s, " %s%d%d%d%d", machine->name + 5, machine->lifecycle.is_accounted,
            machine->lifecycle.is_inherited, machine->record.revision != 0,
            machine->agent.has_reported);
        for (guint i = 0; i < machine->attempts->len; i++) {
            const struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            g_string_append_printf(s, "a%d.%d.%d%d%d", term_of(attempt->number),
                                   attempt->state, attempt->push_is_uncertain,
                                   attempt->is_done, attempt->range != NULL);
        }
    }
}

static void add_machines(GString *s)
{
    for (int k = 0; k < MACHINES; k++) {
        const struct machine *machine = &explored.machines[k];
        g_string_append_printf(s, "|%d", (int)machine->token);
        for (int i = 0; i < machine->nattempts; i++)
            g_string_append_printf(s, " %d%d%d", term_of(machine->attempts[i].number),
                                   machine->attempts[i].running,
                                   machine->attempts[i].done);
    }
}

static int token_of(const GByteArray *body)
{
    struct lmn_cbor_document d;
    uint64_t token = 0;

    lmn_cbor_parse(&d, body->data, body->len);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN), &token);
    lmn_cbor_free(&d);
    return (int)token;
}

static void add_messages(GString *s)
{
    for (int i = 0; i < COMMANDS; i++) {
        const struct command *c = &explored.commands[i];
        if (c->body)
            g_string_append_printf(s, "|f%d.%d", c->machine, token_of(c->body));
    }
}

/* What a report says is fixed by its bytes, but for its number, which only tells how old
 * it is: whether newer ones were sent since. */
static void add_copy(GString *s)
{
    if (!explored.late_report)
        return;
    const GByteArray *body = explored.late_report;
    const struct machine *machine = &explored.machines[explored.late_machine];
    char *digest = g_compute_checksum_for_data(G_CHECKSUM_MD5, body->data, body->len);
    g_string_append_printf(s, "|c%d%d%s", explored.late_machine,
                           machine->last_report == body, digest);
    g_free(digest);
}

static void add_budgets(GString *s)
{
    for (int i = 0; i < KEYS && *explored.store[i].key; i++)
        g_string_append_printf(s, "%d", explored.store[i].value != NULL);
    g_string_append_printf(s, " %d%d%d%d%d", explored.lease_alive[1], (int)explored.jumps,
                           (int)explored.had.restarts, (int)explored.suspicions,
                           (int)explored.waits);
    if (explored.had.copies || explored.had.unanswered)
        g_string_append_printf(s, "!%u%u", explored.had.copies, explored.had.unanswered);
}

char *summary(void)
{
    GString *s = g_string_new(NULL);

    for (int n = 0; n < NODES; n++) {
        add_replication(s, n);
        add_ownership(s, n);
        add_tasks(s, n);
    }
    add_machines(s);
    add_messages(s);
    add_budgets(s);
    add_copy(s);
    return g_string_free(s, FALSE);
}
