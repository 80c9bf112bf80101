/* Answers to reports: the commands in them, who gets one, and who is sent elsewhere. */
#include "partition/worker.h"
#include "util/log.h"
#include "protocol/wire.h"
#include "scheduler/queue.h"
#include "partition/partition.h"
#include "partition/worker_internal.h"
#include "replication/start_gate.h"
#include "state/task_ledger.h"
#include "state/core.h"

#include <string.h>

/* A worker's patience with an answer (the protocol's). */
static const double WORKER_WAITS_S = 4;

void lmn_append_command(GByteArray *out, const char *command,
                        const struct lmn_attempt *attempt, double grace)
{
    char task[LMN_JOB_ID_SIZE + 16];

    g_snprintf(task, sizeof task, "%s/%u", attempt->job_id, attempt->index);
    lmn_cbor_put_map(out, grace >= 0 ? 4 : 3);
    lmn_cbor_put_text(out, WIRE_COMMAND), lmn_cbor_put_text(out, command);
    lmn_cbor_put_text(out, WIRE_TASK), lmn_cbor_put_text(out, task);
    lmn_cbor_put_text(out, WIRE_ATTEMPT), lmn_cbor_put_uint(out, attempt->number);
    if (grace >= 0)
        lmn_cbor_put_text(out, WIRE_GRACE_S), lmn_cbor_put_number(out, grace);
}

/* A failure of an accused job stays in the machine's reports, one on each machine: the
 * history outlives its owner at no change of the state service. Else every takeover
 * started the job's tasks all at once again. */
static bool is_history(const struct lmn_machine *machine, const struct lmn_attempt *a)
{
    if (!a->has_failed || !a->job || a->job->phase != LMN_JOB_ACTIVE ||
        !lmn_job_is_faulty(&a->job->failures))
        return false;
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct lmn_attempt *b =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (b == a)
            return true;
        if (b->has_failed && b->job == a->job)
            return false;
    }
    return false;
}

/* Our last answer, or command, had no effect, though the machine is heard: its way to us
 * may be open, and ours to it not. Being heard is not being in command. Once such
 * machines took whatever they had room for, again with each report, and ran none of it.
 * Now one task is tried, more and more seldom, until one order is seen to have had an
 * effect; its queue is others'. */
void lmn_machine_record_ignored_command(struct lmn_core *core,
                                        struct lmn_machine *machine, struct timespec now)
{
    machine->agent.ignored_commands++;
    machine->failures.quarantined_until =
        lmn_time_add(now, (double)(1u << MIN(machine->agent.ignored_commands, 4u)));
    if (machine->agent.ignored_commands > 1)
        return;
    lmn_info("machine_commands_ignored machine=%s partition=%d", machine->name,
             machine->partition->id);
    lmn_reassign_machine_queue(core, machine, now);
}

static guint kill_now(struct lmn_core *core, struct lmn_attempt *attempt, GByteArray *out)
{
    lmn_append_command(out, WIRE_KILL, attempt, 0);
    core->counters.kills += !attempt->kill_sent;
    attempt->kill_sent = true;
    return 1;
}

/* The kills of an answer that can't settle what is on the machine: its report is from
 * before our term, or was overtaken. Such an answer renews the lease all the same.
 * Without them a task of a job that had been withdrawn long before the takeover got
 * another lease, and was there after cancel_s if the machine heard nothing more. */
static guint kill_unwanted(struct lmn_core *core, struct lmn_machine *machine,
                           const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *tasks, GByteArray *out)
{
    guint n = 0;

    for (const struct lmn_cbor_value *task = lmn_cbor_first_child(document, tasks); task;
         task = lmn_cbor_next(document, task)) {
        struct lmn_attempt a;
        if (!lmn_heartbeat_parse_task(&a, document, task) ||
            a.state == LMN_ATTEMPT_ENDED ||
            !(a.job = g_hash_table_lookup(core->cache.jobs, a.job_id)) ||
            lmn_job_may_run(core, a.job))
            continue;
        n += kill_now(core, &a, out);
    }
    /* What is known to be there, or may be: what a predecessor's copy or a newer message
     * names. */
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->state != LMN_ATTEMPT_ENDED && attempt->job &&
            !lmn_job_may_run(core, attempt->job))
            n += kill_now(core, attempt, out);
    }
    return n;
}

static guint settle_tasks(struct lmn_core *core, struct lmn_machine *machine,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *tasks, GByteArray *out,
                          struct timespec now)
{
    guint commands = 0, lost = 0;

    lmn_heartbeat_apply_tasks(core, machine, document, tasks, now);
    /* What a newer report does not name is not there: the worker had dealt with our last
     * answer, or had given it up, before it wrote this one. Commands sent straight to it
     * are another matter: they travel by themselves, and may arrive minutes late. */
    for (guint i = machine->attempts->len; i-- > 0;) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (!attempt->in_last_heartbeat && !attempt->push_in_flight &&
            !(attempt->push_is_uncertain && !attempt->was_reported)) {
            lost += attempt->state == LMN_ATTEMPT_SENT && !attempt->was_reported &&
                    !attempt->from_replica;
            lmn_attempt_vanished(core, machine, i, now);
        }
    }
    if (lost)
        lmn_machine_record_ignored_command(core, machine, now);
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        bool live = attempt->job && attempt->job->phase == LMN_JOB_ACTIVE;
        bool wanted = attempt->job && lmn_job_may_run(core, attempt->job);
        if (attempt->push_in_flight && wanted)
            continue;
        if ((attempt->push_is_uncertain || attempt->push_in_flight) &&
            !attempt->was_reported) {
            /* The same start by the way that can't be late: then it is surely there, and
             * its late twin changes nothing. */
            lmn_append_command(out, WIRE_START, attempt, -1);
            commands++;
        }
        if (attempt->state == LMN_ATTEMPT_ENDED) {
            /* A result may be forgotten only once it is recorded; and an attempt whose
             * start may still arrive must stay known, or that would start it anew. */
            bool recorded = !attempt->is_done || !live || !attempt->range ||
                            lmn_bitset_get(attempt->range->done,
                                           attempt->index - attempt->range->first);
            if (recorded && !attempt->push_is_uncertain && !attempt->push_in_flight &&
                !is_history(machine, attempt)) {
                lmn_append_command(out, WIRE_CLEAR, attempt, -1);
                commands++;
            }
        } else if (!wanted || !attempt->range) {
            commands += kill_now(core, attempt, out);
        } else if (attempt->must_stop && attempt->state != LMN_ATTEMPT_SAVING) {
            lmn_append_command(out, WIRE_KILL, attempt, attempt->grace_s);
            commands++;
        } else if (machine->lifecycle.has_spot_notice &&
                   attempt->state == LMN_ATTEMPT_RUNNING &&
                   attempt->job->spec.checkpoint_s > 0 && !attempt->kill_sent) {
            double left = machine->lifecycle.spot_notice_s -
                          lmn_time_diff_s(now, machine->lifecycle.spot_notice_at);
            if (left < attempt->job->spec.save_s + 2 * core->settings->heartbeat_s + 1) {
                lmn_append_command(out, WIRE_KILL, attempt,
                                   attempt->job->spec.save_s + 1);
                commands++;
                attempt->kill_sent = true;
            }
        }
    }
    return commands;
}

static int redirect_to(const struct lmn_core *core, int member_index, GByteArray *out)
{
    if (member_index < 0 || member_index == core->members.self)
        return 503;
    lmn_cbor_put_map(out, 1);
    lmn_cbor_put_text(out, WIRE_REDIRECT_TO);
    lmn_cbor_put_text(out, lmn_member_name(&core->members, member_index));
    return 421;
}

/* Where a worker of another's partition should go. Not to one that is suspected: it may
 * wait there for an answer until its lease is half over; but to who would take over. */
static int redirect(const struct lmn_core *core, const struct lmn_partition *partition,
                    GByteArray *out, struct timespec now)
{
    int owner = *partition->record.owner
                    ? lmn_member_index(&core->members, partition->record.owner)
                    : -1;

    if (owner >= 0 && lmn_member_is_suspected(&core->members, owner))
        owner = lmn_partition_next_owner(core, partition, now);
    return redirect_to(core, owner, out);
}

/* Cut off from the state service and the other controllers, this node may have lost its
 * partitions, and starts nothing: its workers are sent on, once each. One that finds
 * nobody else, and comes back, is kept alive as long as the fence allows. */
static bool sent_on(const struct lmn_core *core, struct lmn_machine *machine,
                    struct timespec now)
{
    /* If all others hang, it is back after so long, and must not have lost its lease. */
    double round = (WORKER_WAITS_S + 1) * (core->members.count - 1) +
                   2 * core->settings->heartbeat_s;

    if (!core->cache.isolated_since.tv_sec ||
        !lmn_time_before(machine->agent.redirected_at, core->cache.isolated_since) ||
        round > 0.8 * core->settings->lease_s)
        return false;
    machine->agent.redirected_at = now;
    return true;
}

/* It has spoken with its owner before, and has come here all the same: to the owner's
 * neighbours it is a witness. */
static void note_visitor(struct lmn_core *core, const struct lmn_partition *partition,
                         const struct lmn_heartbeat *heartbeat, struct timespec now)
{
    int owner = *partition->record.owner
                    ? lmn_member_index(&core->members, partition->record.owner)
                    : -1;

    if (owner >= 0 && owner != core->members.self && heartbeat->fencing_token &&
        heartbeat->fencing_token == partition->record.owner_epoch)
        lmn_member_record_redirected_worker(&core->members, owner, heartbeat->name,
                                            heartbeat->agent_incarnation,
                                            heartbeat->sequence, now);
}

static int handle(struct lmn_core *core, const struct lmn_heartbeat *heartbeat,
                  const struct lmn_cbor_document *document, GByteArray *out,
                  struct lmn_deferred_starts *deferred, struct timespec now)
{
    struct lmn_partition *partition = &core->partitions[lmn_partition_for_machine(
        heartbeat->name, core->partition_count)];

    core->counters.heartbeats++;
    /* Whoever has stood still may have been replaced meanwhile: an answer would hold the
     * worker here while its lease runs out. */
    if (!lmn_self_may_reply(&core->members, now))
        return 503;
    /* A node that may have missed a cancellation must let its workers' leases run out in
     * time: the last answer, a lease, and all of it within cancel_s. */
    if (lmn_watch_cache_is_too_stale(core, now))
        return 503;
    if (!partition->ownership.is_owned) {
        note_visitor(core, partition, heartbeat, now);
        return redirect(core, partition, out, now);
    }
    if (heartbeat->fencing_token > partition->ownership.epoch ||
        g_hash_table_contains(core->cloud.returned_machines, heartbeat->name))
        return 503; /* a successor is at work that the mirror doesn't show yet */
    struct lmn_machine *machine =
        g_hash_table_lookup(partition->machines, heartbeat->name);
    if (!machine) {
        machine = lmn_machine_new(partition, heartbeat->name);
        machine->agent.first_seen_at = now;
        lmn_info("machine_discovered machine=%s partition=%d type=%s zone=%s spot=%d",
                 heartbeat->name, partition->id, heartbeat->type, heartbeat->zone,
                 heartbeat->is_spot);
    }
    if (machine->lifecycle.is_terminated)
        return 503;
    if (machine->agent.has_reported &&
        (heartbeat->agent_incarnation < machine->agent.incarnation ||
         (heartbeat->agent_incarnation == machine->agent.incarnation &&
          heartbeat->sequence <= machine->agent.heartbeat_sequence)))
        return 503; /* it was overtaken on its way */
    if (machine->agent.lease_expired &&
        heartbeat->agent_incarnation == machine->agent.incarnation)
        return 503; /* its tasks are given up: the session has to end */
    /* Overtaken by the answer to a direct command: it renews the lease, and says nothing
     * new. */
    bool overtaken = machine->agent.has_reported &&
                     heartbeat->agent_incarnation == machine->agent.incarnation &&
                     heartbeat->sequence <= machine->agent.sequence;
    /* A copy that comes late is no sign that workers reach this node, nor is what was
     * overtaken: it may have been for minutes. One that nothing is known of may be one.
     */
    if (machine->agent.has_reported && !overtaken)
        lmn_members_record_own_worker(&core->members, now);
    if (sent_on(core, machine, now))
        return redirect_to(core, lmn_partition_next_owner(core, partition, now), out);
    if (!machine->record.block) {
        lmn_machine_set_address(machine, heartbeat->address);
        g_strlcpy(machine->type_name, heartbeat->type, sizeof machine->type_name);
        g_strlcpy(machine->zone, heartbeat->zone, sizeof machine->zone);
        machine->is_spot = heartbeat->is_spot;
    }
    if (!machine->type)
        machine->type = lmn_machine_type_by_name(core, machine->type_name);
    if (machine->agent.has_reported &&
        heartbeat->agent_incarnation != machine->agent.incarnation)
        /* Commands to the old session are refused from now on. */
        for (guint i = 0; i < machine->attempts->len; i++) {
            struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            attempt->push_in_flight = attempt->push_is_uncertain = false;
        }
    if (machine->agent.incarnation != heartbeat->agent_incarnation)
        lmn_machine_mark_unreplicated(machine);
    machine->agent.has_reported = true;
    machine->agent.incarnation = heartbeat->agent_incarnation;
    machine->agent.heartbeat_sequence = heartbeat->sequence;
    machine->agent.sequence = overtaken ? machine->agent.sequence : heartbeat->sequence;
    machine->agent.last_heartbeat_at = now;
    /* Of an older term it may be a copy, or of one that does not hear us. */
    if (heartbeat->fencing_token == partition->ownership.epoch)
        machine->agent.unanswered_probes = 0;
    machine->agent.lease_expired = false;
    if (heartbeat->has_spot_notice && !machine->lifecycle.has_spot_notice) {
        machine->lifecycle.has_spot_notice = true;
        machine->lifecycle.spot_notice_at = now;
        machine->lifecycle.spot_notice_s = heartbeat->notice_s;
        lmn_info("machine_spot_notice machine=%s seconds=%.1f", machine->name,
                 heartbeat->notice_s);
        lmn_reassign_machine_queue(core, machine, now);
    }

    GByteArray *commands = g_byte_array_new();
    guint n = 0;
    /* Only a report that was written after the worker had seen our term tells what is
     * there for good: an older one may have been overtaken by a predecessor's commands.
     */
    uint64_t mark = partition->replication.stream.log_position;
    if (heartbeat->fencing_token == partition->ownership.epoch && !overtaken) {
        if (!machine->lifecycle.is_accounted) {
            machine->lifecycle.is_accounted = true;
            lmn_debug("machine_accounted machine=%s epoch=%" G_GUINT64_FORMAT,
                      machine->name, partition->ownership.epoch);
        }
        n += settle_tasks(core, machine, document, heartbeat->tasks, commands, now);
        deferred->settled_commands = n;
        deferred->settled_bytes = commands->len;
        lmn_partition_check_ready(core, partition, now);
        /* Far behind, the node settles what was, and starts nothing. */
        if (!lmn_load_should_shed(&core->load, LMN_SHED_START, core->random))
            n += lmn_schedule_machine(core, machine, commands, now);
        lmn_machine_cancel_wake(machine);
        if (!lmn_machine_is_empty(machine))
            machine->lifecycle.idle_since = (struct timespec){0, 0};
        else if (!machine->lifecycle.idle_since.tv_sec)
            machine->lifecycle.idle_since = now;
    } else {
        n += kill_unwanted(core, machine, document, heartbeat->tasks, commands);
    }
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_FENCING_TOKEN),
        lmn_cbor_put_uint(out, partition->ownership.epoch);
    lmn_cbor_put_text(out, WIRE_COMMANDS), lmn_cbor_put_array(out, n);
    deferred->commands_offset = out->len;
    g_byte_array_append(out, commands->data, commands->len);
    g_byte_array_unref(commands);
    if (lmn_replication_gates_starts(partition) &&
        partition->replication.stream.log_position > mark) {
        deferred->partition = partition->id;
        deferred->epoch = partition->ownership.epoch;
        deferred->from_position = mark;
        deferred->log_position = partition->replication.stream.log_position;
        g_strlcpy(deferred->machine, machine->name, sizeof deferred->machine);
    }
    return 200;
}

/* A report that makes no sense changes nothing. Whoever sends it may do so for long: it
 * is said now and then. */
static void complain(struct lmn_core *core, const char *name, const char *what,
                     struct timespec now)
{
    core->counters.malformed_heartbeats++;
    if (core->maintenance.last_malformed_logged_at.tv_sec &&
        lmn_time_diff_s(now, core->maintenance.last_malformed_logged_at) < 10)
        return;
    core->maintenance.last_malformed_logged_at = now;
    lmn_error("heartbeat_malformed machine=%.32s what=\"%s\" so-far=%" G_GUINT64_FORMAT,
              name, what, core->counters.malformed_heartbeats);
}

int lmn_heartbeat_handle(struct lmn_core *core, const void *body, size_t len,
                         GByteArray *out, struct lmn_deferred_starts *deferred,
                         struct timespec now)
{
    struct lmn_cbor_document d;
    struct lmn_heartbeat r = {0};
    const char *what = "not CBOR, or too much of it";
    int status = 400;

    memset(deferred, 0, sizeof *deferred);
    bool parsed = lmn_cbor_parse(&d, body, len) == 0;
    if (parsed)
        what = lmn_heartbeat_parse(&r, &d);
    pthread_mutex_lock(&core->lock);
    if (what)
        complain(core, r.name, what, now);
    else
        status = handle(core, &r, &d, out, deferred, now);
    pthread_mutex_unlock(&core->lock);
    if (what) {
        lmn_cbor_put_map(out, 1);
        lmn_cbor_put_text(out, "error"), lmn_cbor_put_text(out, what);
    }
    if (parsed)
        lmn_cbor_free(&d);
    return status;
}

void lmn_heartbeat_withhold_starts(struct lmn_core *core,
                                   const struct lmn_deferred_starts *deferred,
                                   GByteArray *out, struct timespec now)
{
    struct lmn_partition *partition = &core->partitions[deferred->partition];
    struct lmn_machine *machine =
        g_hash_table_lookup(partition->machines, deferred->machine);

    for (guint i = machine ? machine->attempts->len : 0; i-- > 0;) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        if (attempt->log_position > deferred->from_position &&
            attempt->log_position <= deferred->log_position) {
            core->counters.withheld_starts++;
            lmn_attempt_vanished(core, machine, i, now);
        }
    }
    /* Kills and clears stay: an answer without them renewed the lease of tasks that had
     * to end. */
    GByteArray *settled = g_byte_array_sized_new(deferred->settled_bytes);
    g_byte_array_append(settled, out->data + deferred->commands_offset,
                        deferred->settled_bytes);
    g_byte_array_set_size(out, 0);
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(out, deferred->epoch);
    lmn_cbor_put_text(out, WIRE_COMMANDS),
        lmn_cbor_put_array(out, deferred->settled_commands);
    g_byte_array_append(out, settled->data, settled->len);
    g_byte_array_unref(settled);
}
