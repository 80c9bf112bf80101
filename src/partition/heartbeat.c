/* The request handler for workers' heartbeats. Its steps: admit the heartbeat, update the
 * machine, reconcile its tasks, schedule new ones, and write the reply.
 * lmn_heartbeat_handle acquires the core's lock; all steps run under it. */
#include "partition/heartbeat.h"

#include "partition/heartbeat_message.h"
#include "partition/heartbeat_reply.h"
#include "partition/machine_attempts.h"
#include "partition/partition.h"
#include "partition/partition_claim.h"
#include "replication/start_gate.h"
#include "scheduler/queue.h"
#include "state/core.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"
#include "util/log.h"

#include <string.h>

/* How long a worker waits for a reply; part of the protocol with workers. */
static const double REPLY_TIMEOUT_S = 4;

/* The largest fraction of a lease that a worker may spend on trying all other members. */
static const double MAX_REDIRECT_LEASE_SHARE = 0.8;

/* Malformed heartbeats are logged at most once per interval: a faulty worker repeats them
 * for as long as it runs. */
static const double MALFORMED_LOG_INTERVAL_S = 10;

/* A heartbeat while it is handled. */
struct heartbeat_request {
    struct lmn_core *core;
    const struct lmn_heartbeat *heartbeat;
    const struct lmn_cbor_document *document;
    struct timespec now;
    struct lmn_partition *partition;
    struct lmn_machine *machine; /* NULL until the ownership check has passed */
    /* A response to a push with a higher sequence number was handled before. The
     * heartbeat still renews the lease, but its task list is out of date. */
    bool is_outdated;
    int redirect_target; /* member index; set if the outcome is a redirect */
};

/* --- admission --- */

/* The index of the member that the ownership record names; -1 if the record names nobody
 * or a name that is not a member's. */
static int recorded_owner(const struct heartbeat_request *request)
{
    const struct lmn_partition_record *record = &request->partition->record;

    return *record->owner ? lmn_member_index(&request->core->members, record->owner) : -1;
}

static enum lmn_heartbeat_outcome redirect_to(struct heartbeat_request *request,
                                              int member_index)
{
    if (member_index < 0 || member_index == request->core->members.self)
        return LMN_HEARTBEAT_NO_OWNER;
    request->redirect_target = member_index;
    return LMN_HEARTBEAT_REDIRECTED;
}

/* Redirects a worker whose partition another controller owns. If that owner is suspected
 * of having failed, the worker is sent to the member that would take the partition over:
 * waiting for a failed owner's reply could use up half of the worker's lease. */
static enum lmn_heartbeat_outcome redirect_to_owner(struct heartbeat_request *request)
{
    struct lmn_core *core = request->core;
    int owner = recorded_owner(request);

    if (owner >= 0 && lmn_member_is_suspected(&core->members, owner))
        owner = lmn_partition_next_owner(core, request->partition, request->now);
    return redirect_to(request, owner);
}

/* Records evidence against the partition's owner: a worker that has had a reply from it
 * in the current epoch, and yet sends its heartbeat to this controller. */
static void record_redirected_worker(struct heartbeat_request *request)
{
    const struct lmn_heartbeat *heartbeat = request->heartbeat;
    struct lmn_members *members = &request->core->members;
    int owner = recorded_owner(request);

    if (owner >= 0 && owner != members->self && heartbeat->fencing_token &&
        lmn_record_issued_token(&request->partition->record, heartbeat->fencing_token))
        lmn_member_record_redirected_worker(members, owner, heartbeat->name,
                                            heartbeat->agent_incarnation,
                                            heartbeat->sequence, request->now);
}

/* Checks whether this controller may reply to any worker now. */
static enum lmn_heartbeat_outcome check_controller(struct heartbeat_request *request)
{
    struct lmn_core *core = request->core;

    /* After a pause of this process another controller may own the partition. With a
     * reply the worker would stay here until its lease expires. */
    if (!lmn_self_may_reply(&core->members, request->now))
        return LMN_HEARTBEAT_STALLED;
    /* The watch cache may lack a cancellation. A cancelled task has to end within
     * cancel_s, so replies stop early enough for the last renewed lease to expire by
     * then. */
    if (lmn_watch_cache_is_too_stale(core, request->now))
        return LMN_HEARTBEAT_STALE_VIEW;
    return LMN_HEARTBEAT_ACCEPTED;
}

static enum lmn_heartbeat_outcome check_ownership(struct heartbeat_request *request)
{
    const struct lmn_heartbeat *heartbeat = request->heartbeat;

    if (!request->partition->ownership.is_owned) {
        record_redirected_worker(request);
        return redirect_to_owner(request);
    }
    /* A successor owns the partition, though the watch cache does not show it yet. */
    if (heartbeat->fencing_token > request->partition->ownership.epoch)
        return LMN_HEARTBEAT_NEWER_EPOCH;
    if (g_hash_table_contains(request->core->cloud.returned_machines, heartbeat->name))
        return LMN_HEARTBEAT_RETURNED;
    return LMN_HEARTBEAT_ACCEPTED;
}

static struct lmn_machine *find_or_add_machine(struct heartbeat_request *request)
{
    const struct lmn_heartbeat *heartbeat = request->heartbeat;
    struct lmn_partition *partition = request->partition;
    struct lmn_machine *machine =
        g_hash_table_lookup(partition->machines, heartbeat->name);

    if (machine)
        return machine;
    machine = lmn_machine_new(partition, heartbeat->name);
    machine->agent.first_seen_at = request->now;
    lmn_info("machine_discovered machine=%s partition=%d type=%s zone=%s spot=%d",
             heartbeat->name, partition->id, heartbeat->type, heartbeat->zone,
             heartbeat->is_spot);
    return machine;
}

/* Whether the last handled heartbeat was this one or a later one. */
static bool is_out_of_order(const struct lmn_agent_view *agent,
                            const struct lmn_heartbeat *heartbeat)
{
    if (!agent->has_reported)
        return false;
    return heartbeat->agent_incarnation < agent->incarnation ||
           (heartbeat->agent_incarnation == agent->incarnation &&
            heartbeat->sequence <= agent->heartbeat_sequence);
}

static enum lmn_heartbeat_outcome check_machine(struct heartbeat_request *request)
{
    const struct lmn_heartbeat *heartbeat = request->heartbeat;
    const struct lmn_agent_view *agent = &request->machine->agent;

    if (request->machine->lifecycle.is_terminated)
        return LMN_HEARTBEAT_TERMINATED;
    if (is_out_of_order(agent, heartbeat))
        return LMN_HEARTBEAT_OUT_OF_ORDER;
    if (agent->lease_expired && heartbeat->agent_incarnation == agent->incarnation)
        return LMN_HEARTBEAT_LEASE_EXPIRED;
    return LMN_HEARTBEAT_ACCEPTED;
}

/* Whether to redirect a worker of a partition that this controller owns. A controller
 * that reaches neither the key-value store nor the other controllers may have lost its
 * partitions without knowing it, and starts no tasks. It redirects each worker once. If
 * the worker finds no other owner and returns, its lease is renewed until the watch cache
 * is too stale (lmn_watch_cache_is_too_stale). */
static bool should_redirect_while_isolated(struct heartbeat_request *request)
{
    const struct lmn_core *core = request->core;
    struct lmn_agent_view *agent = &request->machine->agent;
    /* How long the worker takes to return if every other member lets it time out. Its
     * lease must not have expired by then. */
    double round_trip_s = (REPLY_TIMEOUT_S + 1) * (core->members.count - 1) +
                          2 * core->settings->heartbeat_s;

    if (!core->cache.isolated_since.tv_sec ||
        !lmn_time_before(agent->redirected_at, core->cache.isolated_since) ||
        round_trip_s > MAX_REDIRECT_LEASE_SHARE * core->settings->lease_s)
        return false;
    agent->redirected_at = request->now;
    return true;
}

/* Decides on the heartbeat's outcome, and finds or adds its machine. */
static enum lmn_heartbeat_outcome admit(struct heartbeat_request *request)
{
    struct lmn_core *core = request->core;
    enum lmn_heartbeat_outcome outcome = check_controller(request);

    if (outcome == LMN_HEARTBEAT_ACCEPTED)
        outcome = check_ownership(request);
    if (outcome != LMN_HEARTBEAT_ACCEPTED)
        return outcome;
    request->machine = find_or_add_machine(request);
    outcome = check_machine(request);
    if (outcome != LMN_HEARTBEAT_ACCEPTED)
        return outcome;
    const struct lmn_agent_view *agent = &request->machine->agent;
    request->is_outdated = agent->has_reported &&
                           request->heartbeat->agent_incarnation == agent->incarnation &&
                           request->heartbeat->sequence <= agent->sequence;
    /* Evidence that workers can reach this controller now. A machine's first heartbeat
     * may be a delayed duplicate, and an outdated one may have been in transit for
     * minutes: neither is evidence. */
    if (agent->has_reported && !request->is_outdated)
        lmn_members_record_own_worker(&core->members, request->now);
    if (should_redirect_while_isolated(request))
        return redirect_to(
            request, lmn_partition_next_owner(core, request->partition, request->now));
    return LMN_HEARTBEAT_ACCEPTED;
}

/* --- the machine --- */

/* Copies the machine's description from the heartbeat. Once a block of machine records
 * contains the machine, the record's description is used instead. */
static void update_description(struct heartbeat_request *request)
{
    const struct lmn_heartbeat *heartbeat = request->heartbeat;
    struct lmn_machine *machine = request->machine;

    if (!machine->record.block) {
        lmn_machine_set_address(machine, heartbeat->address);
        g_strlcpy(machine->type_name, heartbeat->type, sizeof machine->type_name);
        g_strlcpy(machine->zone, heartbeat->zone, sizeof machine->zone);
        machine->is_spot = heartbeat->is_spot;
    }
    if (!machine->type)
        machine->type = lmn_machine_type_by_name(request->core, machine->type_name);
}

/* Clears what was pushed before an agent restart: the new incarnation refuses commands
 * that were sent to the previous one, so none of them can take effect any more. */
static void clear_pushes_to_previous_incarnation(struct lmn_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        attempt->push_in_flight = attempt->push_is_uncertain = false;
        attempt->push_token = 0;
    }
}

static void update_agent_view(struct heartbeat_request *request)
{
    const struct lmn_heartbeat *heartbeat = request->heartbeat;
    struct lmn_machine *machine = request->machine;
    struct lmn_agent_view *agent = &machine->agent;

    if (agent->has_reported && heartbeat->agent_incarnation != agent->incarnation)
        clear_pushes_to_previous_incarnation(machine);
    if (agent->incarnation != heartbeat->agent_incarnation)
        lmn_machine_mark_unreplicated(machine);
    agent->has_reported = true;
    agent->incarnation = heartbeat->agent_incarnation;
    agent->heartbeat_sequence = heartbeat->sequence;
    if (!request->is_outdated)
        agent->sequence = heartbeat->sequence;
    agent->last_heartbeat_at = request->now;
    /* A heartbeat with an older epoch may be a delayed duplicate, or come from a worker
     * that receives nothing from this controller: it does not show that the worker would
     * answer a probe. */
    if (lmn_ownership_issued_token(&request->partition->ownership,
                                   heartbeat->fencing_token))
        agent->unanswered_probes = 0;
    lmn_machine_token_reported(machine, heartbeat->fencing_token);
    agent->lease_expired = false;
}

static void update_spot_notice(struct heartbeat_request *request)
{
    const struct lmn_heartbeat *heartbeat = request->heartbeat;
    struct lmn_machine *machine = request->machine;

    if (!heartbeat->has_spot_notice || machine->lifecycle.has_spot_notice)
        return;
    machine->lifecycle.has_spot_notice = true;
    machine->lifecycle.spot_notice_at = request->now;
    machine->lifecycle.spot_notice_s = heartbeat->notice_s;
    lmn_info("machine_spot_notice machine=%s seconds=%.1f", machine->name,
             heartbeat->notice_s);
    lmn_reassign_machine_queue(request->core, machine, request->now);
}

static void update_machine(struct heartbeat_request *request)
{
    update_description(request);
    update_agent_view(request);
    update_spot_notice(request);
}

/* --- the reply --- */

/* Whether the heartbeat proves which tasks are on the machine. The worker must have
 * written it after it had seen this owner's epoch: if it was written earlier, commands of
 * a previous owner may have been carried out since. */
static bool is_conclusive(const struct heartbeat_request *request)
{
    return lmn_ownership_issued_token(&request->partition->ownership,
                                      request->heartbeat->fencing_token) &&
           !request->is_outdated;
}

/* Marks the machine as accounted for: this owner knows which tasks it holds. */
static void mark_accounted(struct heartbeat_request *request)
{
    struct lmn_machine *machine = request->machine;

    if (machine->lifecycle.is_accounted)
        return;
    machine->lifecycle.is_accounted = true;
    lmn_debug("machine_accounted machine=%s epoch=%" G_GUINT64_FORMAT, machine->name,
              request->partition->ownership.epoch);
}

static void update_idle_since(struct lmn_machine *machine, struct timespec now)
{
    if (!lmn_machine_is_empty(machine))
        machine->lifecycle.idle_since = (struct timespec){0, 0};
    else if (!machine->lifecycle.idle_since.tv_sec)
        machine->lifecycle.idle_since = now;
}

/* Reconciles the tasks on the machine with the heartbeat, and starts new ones on it. */
static void reconcile_and_schedule(struct heartbeat_request *request,
                                   struct lmn_command_list *commands,
                                   struct lmn_deferred_starts *deferred)
{
    struct lmn_core *core = request->core;
    struct lmn_machine *machine = request->machine;

    mark_accounted(request);
    lmn_heartbeat_reconcile_tasks(core, machine, request->document, request->heartbeat,
                                  commands, request->now);
    deferred->commands_before_starts = commands->count;
    deferred->bytes_before_starts = commands->encoded->len;
    lmn_partition_check_ready(core, request->partition, request->now);
    /* An overloaded controller reconciles existing tasks, but starts no new ones. */
    if (!lmn_load_should_shed(&core->load, LMN_SHED_START, core->random))
        lmn_heartbeat_start_tasks(core, machine, commands, request->now);
    lmn_machine_cancel_wake(machine);
    update_idle_since(machine, request->now);
}

/* Fills in `deferred` if the reply has to wait for the standby's acknowledgement: it
 * contains starts, which were logged after start_position, and the partition sends starts
 * only once they are acknowledged. */
static void defer_starts(const struct heartbeat_request *request, uint64_t start_position,
                         struct lmn_deferred_starts *deferred)
{
    const struct lmn_partition *partition = request->partition;
    uint64_t end_position = partition->replication.stream.log_position;

    if (!lmn_replication_gates_starts(partition) || end_position <= start_position)
        return;
    deferred->partition = partition->id;
    deferred->epoch = partition->ownership.epoch;
    deferred->from_position = start_position;
    deferred->log_position = end_position;
    g_strlcpy(deferred->machine, request->machine->name, sizeof deferred->machine);
}

/* Decides on the commands for an accepted heartbeat, and writes the reply. */
static void write_reply(struct heartbeat_request *request, GByteArray *out,
                        struct lmn_deferred_starts *deferred)
{
    struct lmn_command_list commands = lmn_command_list_new();
    uint64_t start_position = request->partition->replication.stream.log_position;

    if (is_conclusive(request))
        reconcile_and_schedule(request, &commands, deferred);
    else
        lmn_heartbeat_kill_cancelled_tasks(request->core, request->machine,
                                           request->document, request->heartbeat->tasks,
                                           &commands);
    const struct lmn_heartbeat_reply reply = {lmn_machine_token(request->machine),
                                              &commands};
    deferred->fencing_token = reply.fencing_token;
    deferred->commands_offset = lmn_heartbeat_reply_encode(out, &reply);
    lmn_command_list_free(&commands);
    defer_starts(request, start_position, deferred);
}

static enum lmn_heartbeat_outcome handle_well_formed(struct heartbeat_request *request,
                                                     GByteArray *out,
                                                     struct lmn_deferred_starts *deferred)
{
    struct lmn_core *core = request->core;

    core->counters.heartbeats++;
    enum lmn_heartbeat_outcome outcome = admit(request);
    if (outcome == LMN_HEARTBEAT_ACCEPTED) {
        update_machine(request);
        write_reply(request, out, deferred);
    } else if (outcome == LMN_HEARTBEAT_REDIRECTED) {
        lmn_heartbeat_redirect_encode(
            out, lmn_member_name(&core->members, request->redirect_target));
    }
    return outcome;
}

/* Counts a malformed heartbeat, which changes no other state, and logs it from time to
 * time. */
static void record_malformed(struct lmn_core *core, const char *name, const char *error,
                             struct timespec now)
{
    struct lmn_maintenance *maintenance = &core->maintenance;

    core->counters.malformed_heartbeats++;
    if (maintenance->last_malformed_logged_at.tv_sec &&
        lmn_time_diff_s(now, maintenance->last_malformed_logged_at) <
            MALFORMED_LOG_INTERVAL_S)
        return;
    maintenance->last_malformed_logged_at = now;
    lmn_error("heartbeat_malformed machine=%.32s what=\"%s\" so-far=%" G_GUINT64_FORMAT,
              name, error, core->counters.malformed_heartbeats);
}

int lmn_heartbeat_handle(struct lmn_core *core, const void *body, size_t len,
                         GByteArray *out, struct lmn_deferred_starts *deferred,
                         struct timespec now)
{
    struct lmn_cbor_document document;
    struct lmn_heartbeat heartbeat = {0};
    const char *error =
        "body: cannot be decoded as CBOR, or exceeds the decoder's limits";
    enum lmn_heartbeat_outcome outcome = LMN_HEARTBEAT_MALFORMED;

    memset(deferred, 0, sizeof *deferred);
    bool is_parsed = lmn_cbor_parse(&document, body, len) == 0;
    if (is_parsed)
        error = lmn_heartbeat_parse(&heartbeat, &document);
    int partition_id = lmn_partition_for_machine(heartbeat.name, core->partition_count);
    struct heartbeat_request request = {.core = core,
                                        .heartbeat = &heartbeat,
                                        .document = &document,
                                        .now = now,
                                        .partition = &core->partitions[partition_id]};
    pthread_mutex_lock(&core->lock);
    if (error)
        record_malformed(core, heartbeat.name, error, now);
    else
        outcome = handle_well_formed(&request, out, deferred);
    pthread_mutex_unlock(&core->lock);
    if (error)
        lmn_heartbeat_error_encode(out, error);
    lmn_debug("heartbeat_handled machine=%.32s partition=%d outcome=%s", heartbeat.name,
              partition_id, lmn_heartbeat_outcome_name(outcome));
    if (is_parsed)
        lmn_cbor_free(&document);
    return lmn_heartbeat_outcome_status(outcome);
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
            lmn_attempt_remove_absent(core, machine, i, LMN_ABSENT_WITHHELD, now);
        }
    }
    /* Kill and clear commands are still sent: the reply renews the lease, and without the
     * kills that includes tasks that have to end. */
    struct lmn_command_list commands = lmn_command_list_new();
    commands.count = deferred->commands_before_starts;
    g_byte_array_append(commands.encoded, out->data + deferred->commands_offset,
                        deferred->bytes_before_starts);
    g_byte_array_set_size(out, 0);
    const struct lmn_heartbeat_reply reply = {deferred->fencing_token, &commands};
    lmn_heartbeat_reply_encode(out, &reply);
    lmn_command_list_free(&commands);
}
