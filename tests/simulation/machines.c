/* Stand-in workers. */
#include "simulation.h"

#include "protocol/wire.h"

#include <stdlib.h>
#include <string.h>

/* A place's machines have different names, of the same partition: none comes back. */
void machine_name(struct machine *machine)
{
    g_snprintf(machine->name, sizeof machine->name, "host-%06d",
               (int)(machine - simulation.machines) +
                   machine->life * simulation.layout.machines * simulation.layout.nodes);
}

/* NULL: it is gone, and another has its place. */
struct machine *machine_named(const char *name)
{
    struct machine *machine =
        &simulation.machines[atoi(name + 5) % simulation.layout.machines];
    return strcmp(machine->name, name) ? NULL : machine;
}

bool machine_reaches_node(int node, const struct machine *machine)
{
    bool island = simulation.now < machine->island_until && machine->island == node;
    if (simulation.now < simulation.nodes[node].deaf_until ||
        (simulation.now < simulation.nodes[node].zone_until && !island))
        return false;
    return !machine->dead && simulation.now >= machine->hang_until &&
           (simulation.now >= machine->island_until || machine->island == node);
}

/* Whether anything from that node gets to the machine. */
bool node_reaches_machine(int node, const struct machine *machine)
{
    return machine_reaches_node(node, machine) &&
           simulation.now >= machine->unheard_until &&
           simulation.now >= machine->closed_until;
}

/* Returns where the token stands. */
static guint put_report(struct machine *machine, GByteArray *b)
{
    static const char *const states[] = {WIRE_FETCHING, WIRE_RUNNING, WIRE_ENDED};

    lmn_cbor_put_map(b, 10);
    lmn_cbor_put_text(b, WIRE_MACHINE), lmn_cbor_put_text(b, machine->name);
    lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, "10.0.0.1:9000");
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, "t");
    lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, machine->zone);
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, machine->spot);
    lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, machine->session);
    lmn_cbor_put_text(b, WIRE_SEQUENCE), lmn_cbor_put_uint(b, ++machine->seq);
    lmn_cbor_put_text(b, WIRE_SPOT_NOTICE_S), lmn_cbor_put_null(b);
    lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_array(b, (size_t)machine->ntasks);
    for (int i = 0; i < machine->ntasks; i++) {
        const struct task *task = &machine->tasks[i];
        char name[64];
        g_snprintf(name, sizeof name, "%s/%d", simulation.jobs[task->job].id,
                   task->index);
        lmn_cbor_put_map(b, task->state == ENDED ? 4 : 3);
        lmn_cbor_put_text(b, WIRE_TASK), lmn_cbor_put_text(b, name);
        lmn_cbor_put_text(b, WIRE_ATTEMPT), lmn_cbor_put_uint(b, task->attempt);
        lmn_cbor_put_text(b, WIRE_STATE), lmn_cbor_put_text(b, states[task->state]);
        if (task->state == ENDED)
            lmn_cbor_put_text(b, WIRE_EXIT_REASON),
                lmn_cbor_put_text(b, task->done ? WIRE_DONE : WIRE_STOPPED);
    }
    lmn_cbor_put_text(b, WIRE_FENCING_TOKEN);
    guint token_at = b->len;
    lmn_cbor_put_uint(b, machine->token);
    return token_at;
}

struct message *heartbeat_copy(const struct message *message)
{
    struct message *y = g_new0(struct message, 1);

    *y = *message;
    y->copy = true;
    y->body = g_byte_array_new();
    g_byte_array_append(y->body, message->body->data, message->body->len);
    return y;
}

static void keep_report(struct machine *machine, const struct message *message)
{
    struct message **place = &machine->reports[machine->nreports++ % OLD_REPORTS];

    if (*place) {
        g_byte_array_unref((*place)->body);
        g_free(*place);
    }
    *place = heartbeat_copy(message);
}

const struct message *machine_old_heartbeat(const struct machine *machine)
{
    unsigned n = MIN(machine->nreports, OLD_REPORTS);

    return n ? machine->reports[g_rand_int_range(simulation.random, 0, (gint32)n)] : NULL;
}

void machine_replace(struct machine *machine)
{
    machine->dead = false;
    machine->life++;
    machine_name(machine);
    machine->session = 1;
    machine->seq = machine->token = 0;
    machine->ntasks = 0;
    machine->in_flight = false;
    machine->lease_from = machine->next_report = simulation.now;
    machine->up_at = 0;
}

static void obey(struct machine *machine, const struct lmn_cbor_document *document,
                 const struct lmn_cbor_value *orders)
{
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, orders); node;
         node = lmn_cbor_next(document, node)) {
        char name[64];
        uint64_t attempt = 0;
        assert_true(lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TASK), name,
                                      sizeof name));
        assert_true(
            lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_ATTEMPT), &attempt));
        char *slash = strrchr(name, '/');
        *slash = '\0';
        int job = simulation_job_index(name), index = atoi(slash + 1), at = -1;
        bool same_task = false;
        assert_true(job >= 0);
        for (int i = 0; i < machine->ntasks; i++) {
            const struct task *task = &machine->tasks[i];
            if (task->job == job && task->index == index) {
                if (task->attempt == attempt)
                    at = i;
                else if (task->state != ENDED)
                    same_task = true;
            }
        }
        if (lmn_cbor_text_equals(lmn_cbor_get(document, node, WIRE_COMMAND),
                                 WIRE_START)) {
            if (at >= 0 || machine->ntasks == 64)
                continue;
            struct task *task = &machine->tasks[machine->ntasks++];
            *task = (struct task){
                job,     index,
                attempt, FETCHING,
                false,   simulation.now + g_rand_double_range(simulation.random, 0, 0.5)};
            if (same_task)
                task->state = ENDED; /* busy */
        } else if (lmn_cbor_text_equals(lmn_cbor_get(document, node, WIRE_COMMAND),
                                        WIRE_KILL)) {
            bool ours = attempt >> 24 == machine->token;
            if (at >= 0 && machine->tasks[at].state != ENDED &&
                (ours || simulation.disabled_guard != GUARD_KILL_INHERITED))
                machine->tasks[at].state = ENDED;
        } else if (at >= 0 && machine->tasks[at].state == ENDED) {
            machine->tasks[at] = machine->tasks[--machine->ntasks];
        }
    }
}

void machine_handle_response(struct machine *machine, const struct message *message)
{
    struct lmn_cbor_document d;
    uint64_t token = 0;

    digest_message("answer", simulation.clock);
    digest_text(machine->name);
    digest_number(message->session);
    digest_number(message->seq);
    digest_array(message->body);
    /* An answer counts only while its report waits for it. */
    if (!machine->in_flight || machine->flight_seq != message->seq ||
        message->session != machine->session)
        return;
    machine->in_flight = false;
    machine->next_report =
        simulation.now + g_rand_double_range(simulation.random, 0.75, 1.25);
    if (lmn_cbor_parse(&d, message->body->data, message->body->len) != 0)
        return;
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN), &token);
    if (token >= machine->token && token) {
        bool kills =
            simulation.disabled_guard != GUARD_KILL_CANCELLED || token == machine->token;
        if (token > machine->token)
            machine->next_report = simulation.now + 0.5;
        machine->token = token;
        machine->lease_from = machine->answer_by - 4; /* when the report was sent */
        if (kills)
            obey(machine, &d, lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS));
    }
    lmn_cbor_free(&d);
}

/* Whether a direct command is of the newest term, and for this session. */
static bool command_counts(const struct machine *machine, uint64_t token,
                           uint64_t session)
{
    bool old_term = token < machine->token, old_session = session != machine->session;

    simulation.old_terms += old_term;
    simulation.old_sessions += !old_term && old_session;
    if (simulation.disabled_guard == GUARD_FENCING_TOKEN)
        return true;
    return (!old_term || simulation.disabled_guard == GUARD_OLD_EPOCH) &&
           (!old_session || simulation.disabled_guard == GUARD_INCARNATION);
}

int machine_handle_command(struct machine *machine, const GByteArray *body,
                           GByteArray *report)
{
    struct lmn_cbor_document d;
    uint64_t token = 0, session = 0;
    int status = 409;

    assert_int_equal(lmn_cbor_parse(&d, body->data, body->len), 0);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN), &token);
    lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                      &session);
    if (command_counts(machine, token, session)) {
        machine->token = MAX(machine->token, token);
        obey(machine, &d, lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS));
        status = 200;
    }
    lmn_cbor_free(&d);
    if (report)
        put_report(machine, report);
    digest_message("command", simulation.clock);
    digest_text(machine->name);
    digest_array(body);
    digest_number((uint64_t)status);
    digest_array(report);
    return status;
}

void machine_step(struct machine *machine)
{
    if (machine->dead || simulation.now < machine->hang_until)
        return;
    if (simulation.now - machine->lease_from > simulation.lease_s) {
        machine->session++;
        machine->ntasks = 0;
        machine->lease_from = simulation.now;
        machine->in_flight = false;
    }
    for (int i = 0; i < machine->ntasks; i++) {
        struct task *task = &machine->tasks[i];
        if (task->state == ENDED || simulation.now < task->until)
            continue;
        if (task->state == FETCHING) {
            task->state = RUNNING;
            /* A replica runs until its job is withdrawn. */
            task->until =
                simulation.now +
                (simulation.jobs[task->job].spec.kind == LMN_JOB_SERVICE
                     ? 1e9
                     : g_rand_double_range(simulation.random, 1, simulation.run_s));
            simulation_check_start(machine, task);
        } else {
            task->state = ENDED;
            task->done = true;
            simulation.jobs[task->job].done[task->index] = true;
            machine->next_report = MIN(machine->next_report, simulation.now + 0.3);
        }
    }
    if (machine->in_flight && simulation.now > machine->answer_by) {
        machine->in_flight = false;
        machine->node = (machine->node + 1) % simulation.layout.nodes;
        machine->next_report = simulation.now + 1;
    }
    if (!machine->in_flight && simulation.now >= machine->next_report &&
        simulation.now < machine->mute_until) {
        machine->node = (machine->node + 1) % simulation.layout.nodes;
        machine->next_report = simulation.now + 1;
    }
    if (!machine->in_flight && simulation.now >= machine->next_report) {
        struct message *message = g_new0(struct message, 1);
        message->body = g_byte_array_new();
        message->token_at = put_report(machine, message->body);
        message->machine = (int)(machine - simulation.machines);
        message->life = machine->life;
        message->node = machine->node;
        message->seq = machine->seq;
        message->session = machine->session;
        keep_report(machine, message);
        message->at =
            simulation.now + (simulation_fault_chance(0.03)
                                  ? g_rand_double_range(simulation.random, 1, 30)
                                  : 0.02);
        if (schedule && schedule->link_s > 0)
            message->at = simulation.now +
                          g_rand_double_range(simulation.random, 0.02, schedule->link_s);
        machine->in_flight = true;
        machine->flight_seq = machine->seq;
        machine->answer_by = simulation.now + 4;
        g_ptr_array_add(simulation.messages, message);
    }
}
