/* Messages between owners and machines: heartbeats, pushed starts, probes and heartbeats
 * that are duplicated and delivered late. */
#include "takeover.h"

#include "protocol/wire.h"
#include "state/task_ledger.h"
#include "partition/heartbeat.h"
#include "partition/worker_probe.h"
#include "partition/worker_push.h"
#include "replication/start_gate.h"
#include "replication/stream.h"

#include <string.h>

static int parse_machine_index(const char *name)
{
    return name[strlen(name) - 1] - '0';
}

static struct push *find_free_push(void)
{
    for (int i = 0; i < MAX_PUSHES; i++)
        if (!model.pushes[i].body)
            return &model.pushes[i];
    return NULL;
}

/* Puts a push in flight. It may reach the machine later, but its sender never receives a
 * response. */
static bool send_push(int node_index, const char *name, GByteArray *body)
{
    struct push *push = find_free_push();

    if (!push)
        return false;
    lmn_worker_client_push_done(model.nodes[node_index].core, name, LMN_HTTP_NO_RESPONSE,
                                NULL, model.now);
    *push = (struct push){parse_machine_index(name), body};
    return true;
}

bool release_deferred_push(int node_index)
{
    struct node *node = &model.nodes[node_index];
    int partition_id;

    if (!node->deferred_push || node->is_paused)
        return false;
    uint64_t log_position = lmn_worker_client_push_log_position(
        node->core, node->deferred_push_machine, &partition_id);
    bool is_acknowledged =
        node_partition(node_index)->ownership.is_owned &&
        lmn_replication_allows_starts_up_to(node_partition(node_index), log_position);
    if (is_acknowledged || model.disabled_guard == GUARD_ACKNOWLEDGEMENT) {
        if (!send_push(node_index, node->deferred_push_machine, node->deferred_push))
            return false;
    } else {
        lmn_worker_client_push_done(node->core, node->deferred_push_machine,
                                    LMN_HTTP_NOT_SENT, NULL, model.now);
        g_byte_array_unref(node->deferred_push);
    }
    node->deferred_push = NULL;
    return true;
}

bool push_start(int node_index)
{
    struct node *node = &model.nodes[node_index];
    struct lmn_partition *partition = node_partition(node_index);
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    int partition_id;

    if (!find_free_push() || node->is_paused || node->deferred_push)
        return false;
    for (guint machine_index = 0; machine_index < partition->machine_list->len;
         machine_index++) {
        struct lmn_machine *machine = partition->machine_list->pdata[machine_index];
        if (model.disabled_guard == GUARD_MACHINE_RECORD &&
            partition->ownership.is_owned && !machine->record.revision)
            machine->record.revision = 1;
        if (partition->ownership.is_owned && !machine->push.is_in_flight)
            lmn_machine_wake(machine);
    }
    GByteArray *body = g_byte_array_new();
    if (!lmn_worker_client_next_push(node->core, 0, 1, name, address, body, model.now)) {
        g_byte_array_unref(body);
        return false;
    }
    digest_message("direct", model.now);
    digest_number((uint64_t)node_index);
    digest_text(name);
    digest_text(address);
    digest_array(body);
    if (!lmn_worker_client_push_log_position(node->core, name, &partition_id))
        return send_push(node_index, name, body);
    node->deferred_push = body;
    g_strlcpy(node->deferred_push_machine, name, LMN_NAME_SIZE);
    return true;
}

static void remember_heartbeat(int machine_index, GByteArray *body)
{
    struct machine *machine = &model.machines[machine_index];

    if (machine->last_heartbeat)
        g_byte_array_unref(machine->last_heartbeat);
    machine->last_heartbeat = g_byte_array_ref(body);
}

/* Passes a heartbeat to the node. Sets `answer` to the reply, and returns its HTTP
 * status. */
static int handle_heartbeat(int node_index, const GByteArray *body, GByteArray *answer)
{
    struct lmn_core *core = model.nodes[node_index].core;
    struct lmn_partition *partition = node_partition(node_index);
    struct lmn_deferred_starts deferred;
    int status =
        lmn_heartbeat_handle(core, body->data, body->len, answer, &deferred, model.now);
    digest_message("report", model.now);
    digest_number((uint64_t)node_index);
    digest_array(body);
    digest_number((uint64_t)status);
    digest_array(answer);
    digest_number(status == 200 ? deferred.log_position : 0);

    if (status != 200 || !deferred.log_position)
        return status;
    while (model.is_fair_schedule &&
           !lmn_replication_allows_starts_up_to(partition, deferred.log_position) &&
           replicate(node_index, DELIVERED))
        finish_standby_txn(node_index, true);
    if (!lmn_replication_allows_starts_up_to(partition, deferred.log_position) &&
        model.disabled_guard != GUARD_ACKNOWLEDGEMENT)
        lmn_heartbeat_withhold_starts(core, &deferred, answer, model.now);
    return status;
}

bool send_heartbeat(int node_index, int machine_index)
{
    if (model.nodes[node_index].is_paused)
        return false;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    machine_write_heartbeat(machine_index, body);
    remember_heartbeat(machine_index, body);
    if (handle_heartbeat(node_index, body, answer) == 200)
        machine_handle_commands(machine_index, answer, false);
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return true;
}

bool keep_heartbeat(int machine_index)
{
    struct machine *machine = &model.machines[machine_index];

    if (model.injected_faults.late_heartbeats == model.allowed_faults.late_heartbeats ||
        model.kept_heartbeat || !machine->last_heartbeat)
        return false;
    model.injected_faults.late_heartbeats++;
    model.kept_heartbeat = g_byte_array_ref(machine->last_heartbeat);
    model.kept_heartbeat_machine = machine_index;
    return true;
}

bool deliver_kept_heartbeat(int node_index)
{
    if (!model.kept_heartbeat || model.nodes[node_index].is_paused)
        return false;
    if (model.disabled_guard == GUARD_HEARTBEAT_ORDER) {
        const char *name = model.machines[model.kept_heartbeat_machine].name;
        struct lmn_machine *machine =
            g_hash_table_lookup(node_partition(node_index)->machines, name);
        if (machine)
            machine->agent.sequence = machine->agent.heartbeat_sequence = 0;
    }
    GByteArray *answer = g_byte_array_new();
    handle_heartbeat(node_index, model.kept_heartbeat, answer);
    g_byte_array_unref(answer);
    return true;
}

bool send_probe(int node_index)
{
    struct lmn_core *core = model.nodes[node_index].core;
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t epoch;

    if (!lmn_worker_client_next_probe(core, 0, 1, name, address, &epoch, model.now) ||
        !epoch)
        return false;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    int machine_index = parse_machine_index(name);
    lmn_cbor_put_map(body, 3);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, epoch);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(body, model.machines[machine_index].incarnation);
    lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, 0);
    bool accepted = machine_handle_commands(machine_index, body, true);
    machine_write_heartbeat(machine_index, answer);
    lmn_worker_client_probe_done(core, name, epoch, accepted ? 200 : 409, answer,
                                 model.now);
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
    return true;
}
