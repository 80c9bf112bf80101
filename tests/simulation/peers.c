/* What controllers send each other, and straight to workers. */
#include "state/core.h"
#include "simulation.h"

#include "protocol/wire.h"
#include "replication/start_gate.h"
#include "replication/stream.h"
#include "twin.h"

#include <stdlib.h>
#include <string.h>

static bool talk(int a, int b)
{
    const struct node *x = &simulation.nodes[a], *y = &simulation.nodes[b];
    /* A zone by itself, with its controller, reaches nobody else. */
    return node_up(x) && node_up(y) && x->core && y->core &&
           simulation.now >= x->mute_until && simulation.now >= y->mute_until &&
           simulation.now >= x->zone_until && simulation.now >= y->zone_until;
}

bool node_talks(const struct node *from, const struct node *to)
{
    return from == to ||
           (talk((int)(from - simulation.nodes), (int)(to - simulation.nodes)) &&
            simulation.now >= to->still_until);
}

static void add_statement(const struct lmn_gossip_statement *statement)
{
    digest_number((uint64_t)statement->member);
    digest_number(statement->incarnation);
    digest_real(statement->last_contact_age_s);
    digest_real(statement->unanswered_age_s);
    digest_number(statement->redirected_workers);
}

static void digest_word(const char *kind, int from, int to,
                        const struct lmn_member_health *word)
{
    digest_message(kind, simulation.clock);
    digest_number((uint64_t)from);
    digest_number((uint64_t)to);
    digest_real(word->delay_s);
    digest_real(word->cache_age_s);
    digest_real(word->silent_machine_share);
}

static void tell(struct node *from, struct node *to, int about)
{
    struct lmn_gossip_statement s[LMN_MAX_GOSSIP_STATEMENTS];
    unsigned n = lmn_member_gossip(&from->core->members, to->core->members.self, about,
                                   simulation.clock, s);
    digest_message("statements", simulation.clock);
    digest_number((uint64_t)from->core->members.self);
    digest_number((uint64_t)to->core->members.self);
    for (unsigned i = 0; i < n; i++) {
        add_statement(&s[i]);
        lmn_member_record_gossip(&to->core->members, from->core->members.self, &s[i],
                                 simulation.clock);
    }
}

static void tell_tombstones(struct node *from, struct node *to, int member_index)
{
    const char *refs[8];
    uint64_t upto;
    unsigned n = lmn_tombstones_pending(&from->core->cache.tombstones, member_index, refs,
                                        8, &upto);

    if (!simulation.helped)
        return;
    digest_message("tombstones", simulation.clock);
    digest_number((uint64_t)member_index);
    for (unsigned i = 0; i < n; i++)
        digest_text(refs[i]);
    for (unsigned i = 0; i < n; i++)
        simulation.tombstones +=
            lmn_tombstone_receive(to->core, refs[i], simulation.clock);
    if (!simulation_trouble(0.05)) /* else the answer is lost, and they are told again */
        lmn_tombstones_acknowledge(&from->core->cache.tombstones, member_index, upto);
}

/* Ranks are places by name, as the nodes are numbered. */
void node_ask(struct node *node, int me)
{
    struct lmn_members *members = &node->core->members;
    struct lmn_probe q;
    double wait;

    lmn_members_tick(members, 0, simulation.clock);
    while (
        lmn_member_next_probe(members, simulation.random, simulation.clock, &q, &wait)) {
        struct node *o = &simulation.nodes[q.member];
        struct lmn_member_health mine = node_word(node);
        digest_word("question", me, q.member, &mine);
        digest_number((uint64_t)q.about);
        digest_real(q.timeout_s);
        if (!talk(me, q.member) || simulation.now < o->still_until ||
            simulation_trouble(0.05)) {
            lmn_member_record_probe_timeout(members, q.member, simulation.clock,
                                            simulation.clock);
            continue;
        }
        struct lmn_member_health its = node_word(o);
        lmn_member_record_contact(&o->core->members, me, &mine, simulation.clock,
                                  simulation.clock);
        tell(node, o, q.about);
        if (q.about >= 0)
            lmn_member_request_probe(&o->core->members, q.about, simulation.clock);
        if (simulation_trouble(0.05)) { /* the answer is lost */
            lmn_member_record_probe_timeout(members, q.member, simulation.clock,
                                            simulation.clock);
            continue;
        }
        digest_word("word", q.member, me, &its);
        lmn_member_record_probe_reply(members, q.member, &its, simulation.clock,
                                      simulation.clock);
        tell_tombstones(node, o, q.member);
        tell(o, node, q.about);
    }
}

/* In step with nothing untold, a standby knows to the letter what the owner does. */
static void compare(const struct node *node, const struct lmn_partition *partition)
{
    const struct lmn_replication_stream *stream = &partition->replication.stream;
    const struct lmn_core *core = simulation.nodes[stream->standby_index].core;
    const struct lmn_replica *copy =
        core ? core->partitions[partition->id].replication.replica : NULL;

    if (stream->phase != LMN_STREAM_IN_SYNC || stream->batch ||
        partition->replication.pending_machines->len ||
        partition->replication.pending_removals->len || !copy ||
        copy->stream != stream->id || copy->epoch != partition->ownership.epoch)
        return;
    simulation.compared++;
    for (guint k = 0; k < partition->machine_list->len; k++) {
        const struct lmn_machine *machine = partition->machine_list->pdata[k];
        const struct lmn_machine_snapshot *snapshot =
            g_hash_table_lookup(copy->machines, machine->name);
        guint known = snapshot ? snapshot->attempts->len : 0;
        assert_int_equal(machine->attempts->len, known);
        for (guint i = 0; i < known; i++) {
            const struct lmn_attempt *a =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            const struct lmn_attempt_snapshot *b =
                &g_array_index(snapshot->attempts, struct lmn_attempt_snapshot, i);
            assert_string_equal(a->job_id, b->job_id);
            assert_int_equal(a->index, b->index);
            assert_int_equal(a->number, b->number);
        }
    }
    (void)node;
}

void node_tell(struct node *node, int me, bool cut)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_partition *partition = &node->core->partitions[i];
        enum lmn_replication_step step = LMN_REPLICATION_SEND;
        for (int k = 0; k < 6 && step != LMN_REPLICATION_WAIT; k++) {
            enum lmn_replica_result answer = LMN_REPLICA_UNKNOWN_STREAM;
            struct lmn_replication_batch *batch = NULL;
            struct lmn_txn *txn = NULL;
            double wait;
            step = lmn_replication_next_step(node->core, partition, simulation.clock,
                                             &batch, &txn, &wait);
            if (step == LMN_REPLICATION_WRITE && !cut)
                node_send(node, txn);
            else if (step == LMN_REPLICATION_WRITE)
                lmn_txn_free(txn);
            if (step != LMN_REPLICATION_SEND)
                continue;
            struct node *o =
                &simulation.nodes[partition->replication.stream.standby_index];
            bool heard = talk(me, partition->replication.stream.standby_index) &&
                         simulation.now >= o->still_until && !simulation_trouble(0.02);
            if (heard) {
                struct lmn_replication_batch *same = batch_twin(batch);
                answer = lmn_replica_apply(o->core, same, simulation.clock);
                lmn_replication_batch_free(same);
                heard = !simulation_trouble(0.02);
            }
            digest_batch(me, partition->replication.stream.standby_index,
                         simulation.clock, batch, heard, answer);
            lmn_replication_batch_sent(node->core, partition, batch, heard, answer,
                                       simulation.clock);
        }
        if (partition->ownership.is_owned)
            compare(node, partition);
    }
}

/* The call gets no answer; but it is carried out so many seconds later. */
static void call_late(struct machine *machine, const GByteArray *body, double s)
{
    struct message *message = g_new0(struct message, 1);

    message->direct = true;
    message->machine = (int)(machine - simulation.machines);
    message->life = machine->life;
    message->body = g_byte_array_new();
    g_byte_array_append(message->body, body->data, body->len);
    message->at = simulation.now + s;
    g_ptr_array_add(simulation.messages, message);
}

/* Whether the call is held up on its way, for 2 to 16 s. */
static bool held_up(struct machine *machine, const GByteArray *body)
{
    if (simulation.now >= simulation.commands_until || simulation_chance(0.5))
        return false;
    simulation.late_commands++;
    call_late(machine, body, g_rand_double_range(simulation.random, 2, 16));
    return true;
}

/* How the waiting of controller/replication_thread.c ends, and that of the lanes of
 * partition/worker_client.c. */
void node_release(struct node *node)
{
    for (guint i = 0; i < node->waiting->len;) {
        struct waiter *x = node->waiting->pdata[i];
        struct lmn_partition *partition = &node->core->partitions[x->held.partition];
        struct machine *machine = &simulation.machines[x->machine];
        bool ours =
            partition->ownership.is_owned && partition->ownership.epoch == x->held.epoch;
        bool go = simulation.broken_guard == GUARD_REPLICATED ||
                  (ours && lmn_replication_covers(partition, x->held.log_position));
        if (ours && !go && simulation.now - x->since <= LMN_REPLICATION_DEFER_S) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(node->waiting, i);
        simulation.withheld += !go;
        bool there = x->life == machine->life && !machine->dead &&
                     simulation.now >= machine->hang_until;
        if (x->direct) {
            GByteArray *answer = g_byte_array_new();
            int status = LMN_HTTP_NOT_SENT;
            if (go)
                status = there && machine_told((int)(node - simulation.nodes), machine) &&
                                 !held_up(machine, x->body)
                             ? machine_direct(machine, x->body, answer)
                             : LMN_HTTP_NO_RESPONSE;
            lmn_worker_client_push_done(node->core, x->held.machine, status, answer,
                                        simulation.clock);
            g_byte_array_unref(answer);
        } else if (ours) {
            if (!go)
                lmn_heartbeat_withhold_starts(node->core, &x->held, x->body,
                                              simulation.clock);
            struct message answer = {
                .body = x->body, .session = x->session, .seq = x->seq};
            if (there && simulation.now >= machine->unheard_until)
                machine_answer(machine, &answer);
        }
        g_byte_array_unref(x->body);
        g_free(x);
    }
}

void node_hold_back(struct node *node, const struct lmn_deferred_starts *deferred,
                    const struct message *message, struct machine *machine,
                    GByteArray *body)
{
    struct waiter *y = g_new0(struct waiter, 1);

    *y = (struct waiter){.held = *deferred,
                         .direct = !message,
                         .machine = (int)(machine - simulation.machines),
                         .life = machine->life,
                         .body = g_byte_array_ref(body),
                         .session = message ? message->session : 0,
                         .seq = message ? message->seq : 0,
                         .since = simulation.now};
    g_ptr_array_add(node->waiting, y);
}

void node_direct(struct node *node)
{
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    int me = (int)(node - simulation.nodes);

    while (lmn_worker_client_next_probe(node->core, 0, 1, name, addr, &epoch,
                                        simulation.clock)) {
        digest_message("probe", simulation.clock);
        digest_number((uint64_t)me);
        digest_text(name);
        digest_text(addr);
        digest_number(epoch);
        struct machine *machine = machine_named(name);
        if (!machine || !machine_told(me, machine) || simulation_chance(0.3)) {
            lmn_worker_client_probe_done(node->core, name, epoch, LMN_HTTP_NO_RESPONSE,
                                         answer, simulation.clock);
            continue;
        }
        g_byte_array_set_size(body, 0);
        g_byte_array_set_size(answer, 0);
        if (!epoch) { /* only whether it can be reached */
            lmn_worker_client_probe_done(node->core, name, epoch, 200, answer,
                                         simulation.clock);
            continue;
        }
        lmn_cbor_put_map(body, 3);
        lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, epoch);
        lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
            lmn_cbor_put_uint(body, machine->session);
        lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, 0);
        int status = held_up(machine, body) ? LMN_HTTP_NO_RESPONSE
                                            : machine_direct(machine, body, answer);
        lmn_worker_client_probe_done(node->core, name, epoch, status, answer,
                                     simulation.clock);
    }
    while (lmn_worker_client_next_push(node->core, 0, 1, name, addr, body,
                                       simulation.clock)) {
        digest_message("direct", simulation.clock);
        digest_number((uint64_t)me);
        digest_text(name);
        digest_text(addr);
        digest_array(body);
        struct machine *machine = machine_named(name);
        double luck = g_rand_double(simulation.random);
        struct lmn_deferred_starts held = {0};
        held.log_position =
            lmn_worker_client_push_log_position(node->core, name, &held.partition);
        if (machine && held.log_position &&
            !lmn_replication_covers(&node->core->partitions[held.partition],
                                    held.log_position)) {
            GByteArray *own = g_byte_array_new();
            g_byte_array_append(own, body->data, body->len);
            held.epoch = node->core->partitions[held.partition].ownership.epoch;
            g_strlcpy(held.machine, name, LMN_NAME_SIZE);
            node_hold_back(node, &held, NULL, machine, own);
            g_byte_array_unref(own);
            continue;
        }
        g_byte_array_set_size(answer, 0);
        if (!machine || !machine_told(me, machine) || luck < 0.25) {
            /* No answer: lost for good, or delivered up to half a minute later. */
            if (machine && !machine->dead && simulation_chance(0.8))
                call_late(machine, body,
                          g_rand_double_range(simulation.random, 0.1,
                                              simulation_chance(0.5) ? 3 : 30));
            lmn_worker_client_push_done(node->core, name, LMN_HTTP_NO_RESPONSE, answer,
                                        simulation.clock);
        } else if (held_up(machine, body)) {
            lmn_worker_client_push_done(node->core, name, LMN_HTTP_NO_RESPONSE, answer,
                                        simulation.clock);
        } else {
            int status = machine_direct(machine, body, answer);
            lmn_worker_client_push_done(node->core, name, status, answer,
                                        simulation.clock);
        }
    }
    g_byte_array_unref(body);
    g_byte_array_unref(answer);
}
