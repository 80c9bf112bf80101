/* Messages between controllers, and those they push to workers. */
#include "state/core.h"
#include "simulation.h"

#include "protocol/wire.h"
#include "replication/start_gate.h"
#include "replication/stream.h"
#include "twin.h"

#include <stdlib.h>
#include <string.h>

static bool nodes_reach_each_other(int first_index, int second_index)
{
    const struct node *first = &simulation.nodes[first_index],
                      *second = &simulation.nodes[second_index];
    /* A controller that is isolated with its zone reaches no other controller. */
    return node_up(first) && node_up(second) && first->core && second->core &&
           simulation.now >= first->peers_unreachable_until &&
           simulation.now >= second->peers_unreachable_until &&
           simulation.now >= first->zone_isolated_until &&
           simulation.now >= second->zone_isolated_until;
}

bool node_reaches_node(const struct node *from, const struct node *to)
{
    return from == to || (nodes_reach_each_other((int)(from - simulation.nodes),
                                                 (int)(to - simulation.nodes)) &&
                          simulation.now >= to->frozen_until);
}

static void add_statement(const struct lmn_gossip_statement *statement)
{
    digest_number((uint64_t)statement->member);
    digest_number(statement->incarnation);
    digest_real(statement->last_contact_age_s);
    digest_real(statement->unanswered_age_s);
    digest_number(statement->redirected_workers);
}

static void digest_health(const char *kind, int from, int to,
                          const struct lmn_member_health *health)
{
    digest_message(kind, simulation.clock);
    digest_number((uint64_t)from);
    digest_number((uint64_t)to);
    digest_real(health->delay_s);
    digest_real(health->cache_age_s);
    digest_real(health->silent_machine_share);
}

static void send_gossip(struct node *from, struct node *to, int about)
{
    struct lmn_gossip_statement statements[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned count =
        lmn_member_select_gossip(&from->core->members, to->core->members.self, about,
                                 simulation.clock, statements);
    digest_message("statements", simulation.clock);
    digest_number((uint64_t)from->core->members.self);
    digest_number((uint64_t)to->core->members.self);
    for (unsigned i = 0; i < count; i++) {
        add_statement(&statements[i]);
        lmn_member_record_gossip(&to->core->members, from->core->members.self,
                                 &statements[i], simulation.clock);
    }
}

static void send_tombstones(struct node *from, struct node *to, int member_index)
{
    const char *job_ids[8];
    uint64_t position;
    unsigned count = lmn_tombstones_pending(&from->core->cache.tombstones, member_index,
                                            job_ids, 8, &position);

    if (!simulation.sends_tombstones)
        return;
    digest_message("tombstones", simulation.clock);
    digest_number((uint64_t)member_index);
    for (unsigned i = 0; i < count; i++)
        digest_text(job_ids[i]);
    for (unsigned i = 0; i < count; i++)
        simulation.received_tombstones +=
            lmn_tombstone_receive(to->core, job_ids[i], simulation.clock);
    /* Else the acknowledgement is lost, and they are sent again. */
    if (!simulation_fault_chance(0.05))
        lmn_tombstones_acknowledge(&from->core->cache.tombstones, member_index, position);
}

/* The index of a member is its position by name, which equals the number of the node. */
void node_send_probes(struct node *node, int self)
{
    struct lmn_members *members = &node->core->members;
    struct lmn_probe probe;
    double wait_s;

    lmn_members_tick(members, 0, simulation.clock);
    while (lmn_member_next_probe(members, simulation.random, simulation.clock, &probe,
                                 &wait_s)) {
        struct node *peer = &simulation.nodes[probe.member];
        struct lmn_member_health own_health = node_health(node);
        digest_health("question", self, probe.member, &own_health);
        digest_number((uint64_t)probe.about);
        digest_real(probe.timeout_s);
        if (!nodes_reach_each_other(self, probe.member) ||
            simulation.now < peer->frozen_until || simulation_fault_chance(0.05)) {
            lmn_member_record_probe_timeout(members, probe.member, simulation.clock,
                                            simulation.clock);
            continue;
        }
        struct lmn_member_health peer_health = node_health(peer);
        lmn_member_record_contact(&peer->core->members, self, &own_health,
                                  simulation.clock, simulation.clock);
        send_gossip(node, peer, probe.about);
        if (probe.about >= 0)
            lmn_member_request_probe(&peer->core->members, probe.about, simulation.clock);
        if (simulation_fault_chance(0.05)) { /* the reply is lost */
            lmn_member_record_probe_timeout(members, probe.member, simulation.clock,
                                            simulation.clock);
            continue;
        }
        digest_health("word", probe.member, self, &peer_health);
        lmn_member_record_probe_reply(members, probe.member, &peer_health,
                                      simulation.clock, simulation.clock);
        send_tombstones(node, peer, probe.member);
        send_gossip(peer, node, probe.about);
    }
}

/* A standby that is in sync, with nothing left to send, must hold exactly the attempts
 * that the owner has. */
static void check_replica(const struct node *node, const struct lmn_partition *partition)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    const struct lmn_core *core = simulation.nodes[stream->standby_index].core;
    const struct lmn_replica *replica =
        core ? core->partitions[partition->id].replication.replica : NULL;

    if (stream->phase != LMN_STREAM_IN_SYNC || stream->batch ||
        partition->replication.pending_machines->len ||
        partition->replication.pending_removals->len || !replica ||
        replica->stream != stream->id || replica->epoch != partition->ownership.epoch)
        return;
    simulation.compared_replicas++;
    for (guint k = 0; k < partition->machine_list->len; k++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[k];
        const struct lmn_machine_snapshot *snapshot =
            g_hash_table_lookup(replica->machines, machine->name);
        guint count = snapshot ? snapshot->attempts->len : 0;
        assert_int_equal(machine->attempts->len, count);
        for (guint i = 0; i < count; i++) {
            const struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            const struct lmn_attempt_snapshot *copied =
                &g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, i);
            assert_string_equal(attempt->job_id, copied->job_id);
            assert_int_equal(attempt->index, copied->index);
            assert_int_equal(attempt->number, copied->number);
        }
    }
    (void)node;
}

void node_replicate(struct node *node, int self, bool store_unreachable)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_partition *partition = &node->core->partitions[i];
        enum lmn_replication_step step = LMN_REPLICATION_SEND;
        for (int k = 0; k < 6 && step != LMN_REPLICATION_WAIT; k++) {
            enum lmn_replica_result answer = LMN_REPLICA_UNKNOWN_STREAM;
            struct lmn_replication_batch *batch = NULL;
            struct lmn_txn *txn = NULL;
            double wait_s;
            step = lmn_replication_next_step(node->core, partition, simulation.clock,
                                             &batch, &txn, &wait_s);
            if (step == LMN_REPLICATION_WRITE && !store_unreachable)
                node_send_txn(node, txn);
            else if (step == LMN_REPLICATION_WRITE)
                lmn_txn_free(txn);
            if (step != LMN_REPLICATION_SEND)
                continue;
            struct node *standby =
                &simulation.nodes[partition->replication.stream.standby_index];
            bool acknowledged =
                nodes_reach_each_other(self,
                                       partition->replication.stream.standby_index) &&
                simulation.now >= standby->frozen_until && !simulation_fault_chance(0.02);
            if (acknowledged) {
                struct lmn_replication_batch *received = replication_batch_copy(batch);
                answer = lmn_replica_apply(standby->core, received, simulation.clock);
                lmn_replication_batch_free(received);
                acknowledged = !simulation_fault_chance(0.02);
            }
            digest_batch(self, partition->replication.stream.standby_index,
                         simulation.clock, batch, acknowledged, answer);
            lmn_replication_batch_sent(node->core, partition, batch, acknowledged, answer,
                                       simulation.clock);
        }
        if (partition->ownership.is_owned)
            check_replica(node, partition);
    }
}

/* The sender gets no response, but the command is executed delay_s seconds later. */
static void execute_late(struct machine *machine, const GByteArray *body, double delay_s)
{
    struct message *message = g_new0(struct message, 1);

    message->is_command = true;
    message->machine = (int)(machine - simulation.machines);
    message->generation = machine->generation;
    message->body = g_byte_array_new();
    g_byte_array_append(message->body, body->data, body->len);
    message->arrives_at = simulation.now + delay_s;
    g_ptr_array_add(simulation.messages, message);
}

/* Delivers a command to the machine, which answers. While commands are copied, half of
 * them arrive again, up to three times, 2 s to two leases later. Returns the status. */
static int deliver_command(struct machine *machine, const GByteArray *body,
                           GByteArray *response)
{
    int status = machine_handle_command(machine, body, response);

    if (simulation.now < simulation.copied_commands_until && simulation_chance(0.5))
        for (int copies = g_rand_int_range(simulation.random, 1, 4); copies > 0;
             copies--) {
            simulation.copied_commands++;
            execute_late(
                machine, body,
                g_rand_double_range(simulation.random, 2, 2 * simulation.lease_s));
        }
    return status;
}

/* Whether the command is delayed, by 2 to 16 s. */
static bool is_delayed(struct machine *machine, const GByteArray *body)
{
    if (simulation.now >= simulation.late_commands_until || simulation_chance(0.5))
        return false;
    simulation.late_commands++;
    execute_late(machine, body, g_rand_double_range(simulation.random, 2, 16));
    return true;
}

/* Sends or drops what has waited for the standby, as controller/replication_thread.c
 * does for responses and the sending threads of partition/worker_client.c do for
 * commands. */
void node_send_deferred(struct node *node)
{
    for (guint i = 0; i < node->deferred_starts->len;) {
        struct deferred_start *deferred = node->deferred_starts->pdata[i];
        struct lmn_partition *partition =
            &node->core->partitions[deferred->starts.partition];
        struct machine *machine = &simulation.machines[deferred->machine];
        bool still_owned = partition->ownership.is_owned &&
                           partition->ownership.epoch == deferred->starts.epoch;
        bool may_send = simulation.disabled_guard == GUARD_REPLICATED ||
                        (still_owned && lmn_replication_allows_starts_up_to(
                                            partition, deferred->starts.log_position));
        if (still_owned && !may_send &&
            simulation.now - deferred->since <= LMN_REPLICATION_DEFER_S) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(node->deferred_starts, i);
        simulation.withheld_starts += !may_send;
        bool is_running = deferred->generation == machine->generation &&
                          !machine->is_terminated &&
                          simulation.now >= machine->hang_until;
        if (deferred->is_command) {
            GByteArray *response = g_byte_array_new();
            int status = LMN_HTTP_NOT_SENT;
            if (may_send)
                status = is_running &&
                                 node_reaches_machine((int)(node - simulation.nodes),
                                                      machine) &&
                                 !is_delayed(machine, deferred->body)
                             ? deliver_command(machine, deferred->body, response)
                             : LMN_HTTP_NO_RESPONSE;
            lmn_worker_client_push_done(node->core, deferred->starts.machine, status,
                                        response, simulation.clock);
            g_byte_array_unref(response);
        } else if (still_owned) {
            if (!may_send)
                lmn_heartbeat_withhold_starts(node->core, &deferred->starts,
                                              deferred->body, simulation.clock);
            struct message response = {.body = deferred->body,
                                       .incarnation = deferred->incarnation,
                                       .sequence = deferred->sequence};
            if (is_running && simulation.now >= machine->inbound_lost_until)
                machine_handle_response(machine, &response);
        }
        g_byte_array_unref(deferred->body);
        g_free(deferred);
    }
}

void node_defer_starts(struct node *node, const struct lmn_deferred_starts *starts,
                       const struct message *message, struct machine *machine,
                       GByteArray *body)
{
    struct deferred_start *deferred = g_new0(struct deferred_start, 1);

    *deferred = (struct deferred_start){.starts = *starts,
                                        .is_command = !message,
                                        .machine = (int)(machine - simulation.machines),
                                        .generation = machine->generation,
                                        .body = g_byte_array_ref(body),
                                        .incarnation = message ? message->incarnation : 0,
                                        .sequence = message ? message->sequence : 0,
                                        .since = simulation.now};
    g_ptr_array_add(node->deferred_starts, deferred);
}

void node_call_workers(struct node *node)
{
    GByteArray *body = g_byte_array_new(), *response = g_byte_array_new();
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    int self = (int)(node - simulation.nodes);

    while (lmn_worker_client_next_probe(node->core, 0, 1, name, address, &epoch,
                                        simulation.clock)) {
        digest_message("probe", simulation.clock);
        digest_number((uint64_t)self);
        digest_text(name);
        digest_text(address);
        digest_number(epoch);
        struct machine *machine = simulation_find_machine(name);
        if (!machine || !node_reaches_machine(self, machine) || simulation_chance(0.3)) {
            lmn_worker_client_probe_done(node->core, name, epoch, LMN_HTTP_NO_RESPONSE,
                                         response, simulation.clock);
            continue;
        }
        g_byte_array_set_size(body, 0);
        g_byte_array_set_size(response, 0);
        if (!epoch) { /* epoch 0 only asks whether the machine can be reached */
            lmn_worker_client_probe_done(node->core, name, epoch, 200, response,
                                         simulation.clock);
            continue;
        }
        lmn_cbor_put_map(body, 3);
        lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, epoch);
        lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
            lmn_cbor_put_uint(body, machine->incarnation);
        lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, 0);
        int status = is_delayed(machine, body) ? LMN_HTTP_NO_RESPONSE
                                               : deliver_command(machine, body, response);
        lmn_worker_client_probe_done(node->core, name, epoch, status, response,
                                     simulation.clock);
    }
    while (lmn_worker_client_next_push(node->core, 0, 1, name, address, body,
                                       simulation.clock)) {
        digest_message("direct", simulation.clock);
        digest_number((uint64_t)self);
        digest_text(name);
        digest_text(address);
        digest_array(body);
        struct machine *machine = simulation_find_machine(name);
        double random_value = g_rand_double(simulation.random);
        struct lmn_deferred_starts deferred = {0};
        deferred.log_position =
            lmn_worker_client_push_log_position(node->core, name, &deferred.partition);
        if (machine && deferred.log_position &&
            !lmn_replication_allows_starts_up_to(
                &node->core->partitions[deferred.partition], deferred.log_position)) {
            GByteArray *held_body = g_byte_array_new();
            g_byte_array_append(held_body, body->data, body->len);
            deferred.epoch = node->core->partitions[deferred.partition].ownership.epoch;
            g_strlcpy(deferred.machine, name, LMN_NAME_SIZE);
            node_defer_starts(node, &deferred, NULL, machine, held_body);
            g_byte_array_unref(held_body);
            continue;
        }
        g_byte_array_set_size(response, 0);
        if (!machine || !node_reaches_machine(self, machine) || random_value < 0.25) {
            /* The sender gets no response: the command is lost, or executed up to 30 s
             * later. */
            if (machine && !machine->is_terminated && simulation_chance(0.8))
                execute_late(machine, body,
                             g_rand_double_range(simulation.random, 0.1,
                                                 simulation_chance(0.5) ? 3 : 30));
            lmn_worker_client_push_done(node->core, name, LMN_HTTP_NO_RESPONSE, response,
                                        simulation.clock);
        } else if (is_delayed(machine, body)) {
            lmn_worker_client_push_done(node->core, name, LMN_HTTP_NO_RESPONSE, response,
                                        simulation.clock);
        } else {
            int status = deliver_command(machine, body, response);
            lmn_worker_client_push_done(node->core, name, status, response,
                                        simulation.clock);
        }
    }
    g_byte_array_unref(body);
    g_byte_array_unref(response);
}
