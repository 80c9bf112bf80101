/* Commands and questions sent straight to workers. */
#include "partition/worker.h"
#include "util/log.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "partition/partition.h"
#include "partition/worker_internal.h"
#include "replication/start_gate.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

/* Inherited machines that are not accounted for, and those that have fallen silent since.
 */
static bool worth_asking(const struct lmn_core *core, const struct lmn_machine *machine,
                         struct timespec now)
{
    return !machine->lifecycle.is_terminated &&
           !lmn_time_before(now, machine->agent.next_probe_at) &&
           ((machine->lifecycle.is_inherited && !machine->lifecycle.is_accounted) ||
            lmn_machine_is_silent(core, machine, now));
}

/* A node that hears no workers has none, so none comes to it either: it asks one now and
 * then, whosever it is. */
static bool reach_next(struct lmn_core *core, char *name, char *addr, uint64_t *term,
                       struct timespec now)
{
    if (!core->members.is_isolated_from_workers ||
        lmn_time_before(now, core->maintenance.next_reach_probe_at))
        return false;
    core->maintenance.next_reach_probe_at = lmn_time_add(now, 2);
    const GPtrArray *list =
        core->partitions[g_rand_int_range(core->random, 0, core->partition_count)]
            .machine_list;
    if (!list->len)
        return false;
    const struct lmn_machine *machine =
        list->pdata[g_rand_int_range(core->random, 0, (gint32)list->len)];
    g_strlcpy(name, machine->name, LMN_NAME_SIZE);
    g_strlcpy(addr, machine->address, LMN_ADDRESS_SIZE);
    *term = 0;
    return *addr != 0;
}

/* Where a question unblocks most: processors that are free, as far as was told. */
static double room(const struct lmn_machine *machine)
{
    return machine->type ? machine->type->cpus - machine->used.cpus : 0;
}

/* For so long after a takeover a machine that was not asked yet is left to its own lane,
 * which may have a connection to it. Then lanes with nothing left help those that a dead
 * machine holds up: with 16 lanes and ten dead machines, a fifth of those alive were
 * asked a second late. */
static const double OWN_LANE_S = 0.5;

/* Whether to ask a rather than b, of the same lane or of any. */
static bool asked_before(const struct lmn_machine *a, const struct lmn_machine *b,
                         unsigned lane, unsigned lanes)
{
    bool own = g_str_hash(a->name) % lanes == lane;
    bool other_own = g_str_hash(b->name) % lanes == lane;

    /* Those that have not answered come last: each holds its lane up for a second. */
    if (a->agent.unanswered_probes != b->agent.unanswered_probes)
        return a->agent.unanswered_probes < b->agent.unanswered_probes;
    if (own != other_own)
        return own;
    /* Those with room first, since work can start there. */
    return room(a) > room(b);
}

bool lmn_worker_client_next_probe(struct lmn_core *core, unsigned lane, unsigned lanes,
                                  char *name, char *addr, uint64_t *term,
                                  struct timespec now)
{
    struct lmn_machine *best = NULL;
    GHashTableIter it;
    gpointer v;

    if (reach_next(core, name, addr, term, now))
        return true;
    for (int i = 0; i < core->partition_count; i++) {
        if (!core->partitions[i].ownership.is_owned ||
            !core->partitions[i].ownership.needs_probing)
            continue;
        g_hash_table_iter_init(&it, core->partitions[i].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *machine = v;
            bool any =
                machine->agent.unanswered_probes > 0 ||
                lmn_time_diff_s(now, core->partitions[i].ownership.since) > OWN_LANE_S;
            if (worth_asking(core, machine, now) &&
                (any || g_str_hash(machine->name) % lanes == lane) &&
                (!best || asked_before(machine, best, lane, lanes)))
                best = machine;
        }
    }
    if (!best)
        return false;
    best->agent.next_probe_at = lmn_time_add(
        now, 2.5 + 0.5 * MIN(best->agent.unanswered_probes, 6u)); /* two calls of 1 s */
    g_strlcpy(name, best->name, LMN_NAME_SIZE);
    g_strlcpy(addr, best->address, LMN_ADDRESS_SIZE);
    *term = best->partition->ownership.epoch;
    return true;
}

/* The session that we were told has ended: its worker's answer names the one that runs
 * now, and the question is asked again at once. */
static bool learn_session(struct lmn_machine *machine, const GByteArray *answer,
                          struct timespec now)
{
    struct lmn_cbor_document d;
    struct lmn_heartbeat r;

    if (lmn_cbor_parse(&d, answer->data, answer->len) != 0)
        return false;
    bool newer = !lmn_heartbeat_parse(&r, &d) && !strcmp(r.name, machine->name) &&
                 r.agent_incarnation > machine->agent.incarnation;
    lmn_cbor_free(&d);
    if (!newer)
        return false;
    machine->agent.incarnation = r.agent_incarnation;
    machine->agent.unanswered_probes = 0; /* it has answered */
    machine->agent.next_probe_at = now;
    return true;
}

void lmn_worker_client_probe_done(struct lmn_core *core, const char *name, uint64_t epoch,
                                  int status, const GByteArray *answer,
                                  struct timespec now)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);
    struct lmn_cbor_document d;
    struct lmn_heartbeat r;

    if (!epoch) {
        if (status == 200)
            lmn_members_record_own_worker(&core->members, now);
        return;
    }
    if (!machine || !partition->ownership.is_owned ||
        partition->ownership.epoch != epoch || machine->lifecycle.is_terminated)
        return;
    machine->agent.unanswered_probes++;
    if (machine->lifecycle.is_accounted) { /* only whether it is there */
        if (status == 200 || status == 409)
            machine->agent.unanswered_probes = 0;
        return;
    }
    if (status == 409 && !machine->agent.has_reported) {
        if (machine->agent.incarnation && learn_session(machine, answer, now))
            return;
        machine->agent.incarnation =
            0; /* not the one that we were told: it is asked for */
    }
    /* Whatever it may hold waits for it: the second question follows at once. */
    if (machine->agent.unanswered_probes == 1 && status != 200)
        machine->agent.next_probe_at = lmn_time_add(now, 0.2);
    if (status != 200 || lmn_cbor_parse(&d, answer->data, answer->len) != 0)
        return;
    /* Written after the worker had taken our term: whatever a predecessor sends comes too
     * late. Its lease was renewed before now, if by anyone else. */
    if (!lmn_heartbeat_parse(&r, &d) && r.fencing_token == epoch &&
        !strcmp(r.name, machine->name) &&
        !(machine->agent.has_reported &&
          (r.agent_incarnation < machine->agent.incarnation ||
           (r.agent_incarnation == machine->agent.incarnation &&
            r.sequence <= machine->agent.sequence)))) {
        if (!machine->agent.has_reported ||
            r.agent_incarnation > machine->agent.incarnation)
            machine->agent.heartbeat_sequence = 0;
        machine->agent.has_reported = machine->lifecycle.is_accounted = true;
        machine->agent.incarnation = r.agent_incarnation;
        machine->agent.sequence = r.sequence;
        machine->agent.last_heartbeat_at = now;
        if (!machine->type)
            machine->type = lmn_machine_type_by_name(core, machine->type_name);
        lmn_debug("machine_accounted machine=%s epoch=%" G_GUINT64_FORMAT " by=probe",
                  machine->name, epoch);
        lmn_heartbeat_apply_tasks(core, machine, &d, r.tasks, now);
        /* What we were told may be there, and is not, will not be: a command that is
         * still on its way is of an older term. */
        for (guint i = machine->attempts->len; i-- > 0;)
            if (g_array_index(machine->attempts, struct lmn_attempt, i).from_replica)
                lmn_attempt_vanished(core, machine, i, now);
        lmn_machine_mark_unreplicated(machine);
        lmn_partition_check_ready(core, partition, now);
        /* Its lane looks there next, on the connection that it has. */
        if (partition->ownership.is_warm)
            lmn_machine_wake(machine);
    }
    lmn_cbor_free(&d);
}

/* Asks a machine of a partition just taken over what it holds: first for its session, if
 * that is not known (0), then, by a direct message without commands, for a report under
 * the new term. */
static int probe(struct lmn_http_client *client, uint64_t epoch, uint64_t session,
                 GByteArray *body, GByteArray *answer)
{
    struct lmn_cbor_document d;

    if (!session) {
        int status =
            lmn_http_client_call(client, "GET", WIRE_PATH_SHOW, NULL, 1.0, answer);
        if (!epoch)
            return status;
        if (status != 200 || lmn_cbor_parse(&d, answer->data, answer->len) != 0)
            return status == 200 ? LMN_HTTP_NO_RESPONSE : status;
        lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                          &session);
        lmn_cbor_free(&d);
    }
    g_byte_array_set_size(body, 0);
    lmn_cbor_put_map(body, 3);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, epoch);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, session);
    lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, 0);
    return lmn_http_client_call(client, "POST", WIRE_PATH_COMMANDS, body, 1.0, answer);
}

/* Tells tasks that have to make room to stop; if that gets lost, the next report's answer
 * says it again. */
static guint stop_some(struct lmn_core *core, struct lmn_machine *machine,
                       GByteArray *out)
{
    guint n = 0;

    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!attempt->must_stop || attempt->kill_sent ||
            attempt->state == LMN_ATTEMPT_ENDED || !attempt->range)
            continue;
        lmn_append_command(out, WIRE_KILL, attempt, attempt->grace_s);
        attempt->kill_sent = true;
        core->counters.kills++;
        n++;
    }
    return n;
}

bool lmn_worker_client_next_push(struct lmn_core *core, unsigned lane, unsigned lanes,
                                 char *name, char *addr, GByteArray *body,
                                 struct timespec now)
{
    for (int i = 0; i < core->partition_count; i++) {
        GPtrArray *poked = core->partitions[i].scheduling.woken_machines;
        if (!core->partitions[i].ownership.is_owned)
            continue;
        for (guint at = poked->len; at-- > 0;) {
            struct lmn_machine *machine = at < poked->len ? poked->pdata[at] : NULL;
            if (!machine || machine->push.is_in_flight ||
                g_str_hash(machine->name) % lanes != lane)
                continue;
            lmn_machine_cancel_wake(machine);
            if (!machine->lifecycle.is_accounted || machine->agent.lease_expired ||
                machine->agent.ignored_commands ||
                lmn_time_diff_s(now, machine->agent.last_heartbeat_at) >
                    0.6 * core->settings->lease_s)
                continue;
            GByteArray *commands = g_byte_array_new();
            guint n = stop_some(core, machine, commands);
            guint before = machine->attempts->len;
            /* Behind the fence no worker is answered, and nothing starts either. */
            if (!lmn_watch_cache_is_too_stale(core, now))
                n += lmn_schedule_machine(core, machine, commands, now);
            if (n) {
                for (guint k = before; k < machine->attempts->len; k++)
                    g_array_index(machine->attempts, struct lmn_attempt, k)
                        .push_in_flight = true;
                machine->push.is_in_flight = true;
                machine->lifecycle.idle_since = (struct timespec){0, 0};
                g_strlcpy(name, machine->name, LMN_NAME_SIZE);
                g_strlcpy(addr, machine->address, LMN_ADDRESS_SIZE);
                g_byte_array_set_size(body, 0);
                lmn_cbor_put_map(body, 3);
                lmn_cbor_put_text(body, WIRE_FENCING_TOKEN),
                    lmn_cbor_put_uint(body, core->partitions[i].ownership.epoch);
                lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION),
                    lmn_cbor_put_uint(body, machine->agent.incarnation);
                lmn_cbor_put_text(body, WIRE_COMMANDS), lmn_cbor_put_array(body, n);
                g_byte_array_append(body, commands->data, commands->len);
            }
            g_byte_array_unref(commands);
            if (n)
                return true;
        }
    }
    return false;
}

void lmn_worker_client_push_done(struct lmn_core *core, const char *name, int status,
                                 const GByteArray *answer, struct timespec now)
{
    struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);
    struct lmn_cbor_document d;
    struct lmn_heartbeat r;
    bool read = false, newer = false, lost = false;

    if (!machine || !machine->push.is_in_flight)
        return; /* the partition was lost meanwhile */
    machine->push.is_in_flight = false;
    if ((status == 200 || status == 409) &&
        lmn_cbor_parse(&d, answer->data, answer->len) == 0) {
        read = !lmn_heartbeat_parse(&r, &d) &&
               r.agent_incarnation == machine->agent.incarnation;
        newer = read && r.sequence > machine->agent.sequence;
        if (newer) {
            machine->agent.sequence = r.sequence;
            lmn_heartbeat_apply_tasks(core, machine, &d, r.tasks, now);
        }
        lmn_cbor_free(&d);
    }
    for (guint i = machine->attempts->len; i-- > 0;) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!attempt->push_in_flight)
            continue;
        attempt->push_in_flight = false;
        /* Only the call's own commands are judged by its answer: what a report's answer
         * started may be on its way still. */
        if (status == LMN_HTTP_NOT_SENT ||
            (status == 409 && newer && !attempt->in_last_heartbeat))
            lmn_attempt_vanished(core, machine, i, now);
        else if (!read || (status == 200 && newer && !attempt->in_last_heartbeat))
            attempt->push_is_uncertain = lost = true;
    }
    /* Its answer may be late; a report that lists what was ordered settles it. */
    if (lost && !read)
        lmn_machine_record_ignored_command(core, machine, now);
    /* What made room has ended: the task it was made for goes there at once. */
    if (machine->reservation.preemption_tasks && read) {
        lmn_machine_wake(machine);
        pthread_cond_broadcast(&core->machines_woken);
    }
}

uint64_t lmn_worker_client_log_position(const struct lmn_core *core, const char *name,
                                        int *part)
{
    *part = lmn_partition_for_machine(name, core->partition_count);
    const struct lmn_machine *machine =
        g_hash_table_lookup(core->partitions[*part].machines, name);
    uint64_t mark = 0;

    for (guint i = 0; machine && i < machine->attempts->len; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->push_in_flight)
            mark = MAX(mark, attempt->log_position);
    }
    return mark;
}

/* Whether the starts may go out: waits until the standby has acknowledged them. */
static bool told(struct lmn_core *core, int part, uint64_t epoch, uint64_t mark)
{
    struct lmn_partition *partition = &core->partitions[part];
    struct timespec until = lmn_time_add(lmn_now(), LMN_REPLICATION_DEFER_S);
    double left;

    while (partition->ownership.is_owned && partition->ownership.epoch == epoch &&
           !lmn_replication_covers(partition, mark) &&
           (left = lmn_time_diff_s(until, lmn_now())) > 0)
        lmn_cond_wait_for(&core->replication_acknowledged, &core->lock, left);
    bool ok = partition->ownership.is_owned && partition->ownership.epoch == epoch &&
              lmn_replication_covers(partition, mark);
    if (!ok)
        core->counters.withheld_starts++;
    return ok;
}

/* The session that we were told, if nobody has said another since. */
static uint64_t told_session(const struct lmn_core *core, const char *name)
{
    const struct lmn_partition *partition =
        &core->partitions[lmn_partition_for_machine(name, core->partition_count)];
    const struct lmn_machine *machine = g_hash_table_lookup(partition->machines, name);

    return machine && !machine->agent.has_reported ? machine->agent.incarnation : 0;
}

static void drop_any(GHashTable *clients)
{
    GHashTableIter it;
    gpointer h;

    g_hash_table_iter_init(&it, clients);
    if (g_hash_table_iter_next(&it, NULL, &h)) {
        g_hash_table_iter_remove(&it);
        lmn_http_client_free(h);
    }
}

void *lmn_worker_client_thread(void *arg)
{
    struct lmn_worker_client *lane = arg;
    struct lmn_core *core = lane->core;
    GByteArray *body = g_byte_array_new(), *answer = g_byte_array_new();
    GHashTable *clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];

    for (;;) {
        uint64_t epoch = 0, session = 0, mark = 0;
        int part = 0;
        bool probing;
        pthread_mutex_lock(&core->lock);
        for (;;) {
            struct timespec now = lmn_now();
            probing = false;
            if (lmn_worker_client_next_push(core, lane->index, lane->count, name, addr,
                                            body, now))
                break;
            probing = lmn_worker_client_next_probe(core, lane->index, lane->count, name,
                                                   addr, &epoch, now);
            if (probing)
                break;
            lmn_cond_wait_for(&core->machines_woken, &core->lock, 0.5);
        }
        if (probing)
            session = epoch ? told_session(core, name) : 0;
        else
            mark = lmn_worker_client_log_position(core, name, &part);
        if (mark && !told(core, part, core->partitions[part].ownership.epoch, mark)) {
            lmn_worker_client_push_done(core, name, LMN_HTTP_NOT_SENT, NULL, lmn_now());
            pthread_mutex_unlock(&core->lock);
            continue;
        }
        pthread_mutex_unlock(&core->lock);
        struct lmn_http_client *client = g_hash_table_lookup(clients, addr);
        if (!client) {
            /* Connections are kept, but the sockets are the workers' and users' first. */
            if (g_hash_table_size(clients) >=
                core->connection_budget.worker_connections / lane->count)
                drop_any(clients);
            client = lmn_http_client_new(addr);
            g_hash_table_insert(clients, g_strdup(addr), client);
        }
        int status = probing ? probe(client, epoch, session, body, answer)
                             : lmn_http_client_call(client, "POST", WIRE_PATH_COMMANDS,
                                                    body, 1.5, answer);
        lmn_debug("worker_push machine=%s probe=%d status=%d", name, probing, status);
        pthread_mutex_lock(&core->lock);
        if (probing)
            lmn_worker_client_probe_done(core, name, epoch, status, answer, lmn_now());
        else
            lmn_worker_client_push_done(core, name, status, answer, lmn_now());
        pthread_mutex_unlock(&core->lock);
        if (status < 0) {
            g_hash_table_remove(clients, addr);
            lmn_http_client_free(client);
        }
    }
    return NULL;
}
