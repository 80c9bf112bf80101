/* What owners and machines exchange: reports, direct starts, probes, late copies. */
#include "takeover.h"

#include "protocol/wire.h"
#include "state/task_ledger.h"
#include "partition/heartbeat.h"
#include "partition/worker_probe.h"
#include "partition/worker_push.h"
#include "replication/start_gate.h"
#include "replication/stream.h"

#include <string.h>

static int machine_index(const char *name)
{
    return name[strlen(name) - 1] - '0';
}

static struct command *free_command(void)
{
    for (int i = 0; i < COMMANDS; i++)
        if (!explored.commands[i].body)
            return &explored.commands[i];
    return NULL;
}

/* Sends a command that is never answered. */
static bool send_directly(int n, const char *name, GByteArray *body)
{
    struct command *c = free_command();

    if (!c)
        return false;
    lmn_worker_client_push_done(explored.nodes[n].core, name, LMN_HTTP_NO_RESPONSE, NULL,
                                explored.now);
    *c = (struct command){machine_index(name), body};
    return true;
}

bool release_pending(int n)
{
    struct node *node = &explored.nodes[n];
    int id;

    if (!node->pending || node->stalled)
        return false;
    uint64_t mark =
        lmn_worker_client_push_log_position(node->core, node->pending_to, &id);
    bool covered = node_partition(n)->ownership.is_owned &&
                   lmn_replication_covers(node_partition(n), mark);
    if (covered || explored.without == GUARD_ACKNOWLEDGED) {
        if (!send_directly(n, node->pending_to, node->pending))
            return false;
    } else {
        lmn_worker_client_push_done(node->core, node->pending_to, LMN_HTTP_NOT_SENT, NULL,
                                    explored.now);
        g_byte_array_unref(node->pending);
    }
    node->pending = NULL;
    return true;
}

bool start_directly(int n)
{
    struct node *node = &explored.nodes[n];
    struct lmn_partition *partition = node_partition(n);
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    int id;

    if (!free_command() || node->stalled || node->pending)
        return false;
    for (guint k = 0; k < partition->machine_list->len; k++) {
        struct lmn_machine *machine = partition->machine_list->pdata[k];
        if (explored.without == GUARD_RECORD && partition->ownership.is_owned &&
            !machine->record.revision)
            machine->record.revision = 1;
        if (partition->ownership.is_owned && !machine->push.is_in_flight)
            lmn_machine_wake(machine);
    }
    GByteArray *body = g_byte_array_new();
    if (!lmn_worker_client_next_push(node->core, 0, 1, name, addr, body, explored.now)) {
        g_byte_array_unref(body);
        return false;
    }
    digest_message("direct", explored.now);
    digest_number((uint64_t)n);
    digest_text(name);
    digest_text(addr);
    digest_array(body);
    if (!lmn_worker_client_push_log_position(node->core, name, &id))
        return send_directly(n, name, body);
    node->pending = body;
    g_strlcpy(node->pending_to, name, LMN_NAME_SIZE);
    return true;
}

static void keep_last(int k, GByteArray *body)
{
    struct machine *machine = &explored.machines[k];

    if (machine->last_report)
        g_byte_array_unref(machine->last_report);
    machine->last_report = g_byte_array_ref(body);
}

/* Hands a report to the owner; returns its status, and the answer. */
static int answer_report(int n, const GByteArray *body, GByteArray *answer)
{
    struct lmn_core *core = explored.nodes[n].core;
    struct lmn_partition *partition = node_partition(n);
    struct lmn_deferred_starts held;
    int status =
        lmn_heartbeat_handle(core, body->data, body->len, answer, &held, explored.now);
    digest_message("report", explored.now);
    digest_number((uint64_t)n);
    digest_array(body);
    digest_number((uint64_t)status);
    digest_array(answer);
    digest_number(status == 200 ? held.log_position : 0);

    if (status != 200 || !held.log_position)
        return status;
    while (explored.fair && !lmn_replication_covers(partition, held.log_position) &&
           replicate(n, DELIVERED))
        write_standby_record(n, true);
    if (!lmn_replication_covers(partition, held.log_position) &&
        explored.without != GUARD_ACKNOWLEDGED)
        lmn_heartbeat_withhold_starts(core, &held, answer, explored.now);
    return status;
}

bool report(int n, int k)
{
    if (explored.nodes[n].stalled)
        return false;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    machine_report(k, body);
    keep_last(k, body);
    if (answer_report(n, body, answer) == 200)
        machine_accept(k, answer, false);
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return true;
}

bool keep_copy(int k)
{
    struct machine *machine = &explored.machines[k];

    if (explored.had.copies == explored.allowed.copies || explored.late_report ||
        !machine->last_report)
        return false;
    explored.had.copies++;
    explored.late_report = g_byte_array_ref(machine->last_report);
    explored.late_machine = k;
    return true;
}

bool deliver_copy(int n)
{
    if (!explored.late_report || explored.nodes[n].stalled)
        return false;
    if (explored.without == GUARD_REPORT_ORDER) {
        const char *name = explored.machines[explored.late_machine].name;
        struct lmn_machine *machine =
            g_hash_table_lookup(node_partition(n)->machines, name);
        if (machine)
            machine->agent.sequence = machine->agent.heartbeat_sequence = 0;
    }
    GByteArray *answer = g_byte_array_new();
    answer_report(n, explored.late_report, answer);
    g_byte_array_unref(answer);
    return true;
}

bool probe(int n)
{
    struct lmn_core *core = explored.nodes[n].core;
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t epoch;

    if (!lmn_worker_client_next_probe(core, 0, 1, name, addr, &epoch, explored.now) ||
        !epoch)
        return false;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    int k = machine_index(name);
    lmn_cbor_put_map(body, 3);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, epoch);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(body, explored.machines[k].session);
    lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, 0);
    bool accepted = machine_accept(k, body, true);
    machine_report(k, answer);
    lmn_worker_client_probe_done(core, name, epoch, accepted ? 200 : 409, answer,
                                 explored.now);
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return true;
}
