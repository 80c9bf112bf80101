/* Submissions and cancellations, delivery of messages, and a whole run. */
#include "simulation.h"

#include "protocol/wire.h"
#include "partition/partition.h"
#include "replication/start_gate.h"
#include "replication/stream.h"
#include "state/fencing_token.h"
#include "state/records.h"

#include <stdlib.h>
#include <string.h>

const struct layout default_layout = {3, 7, 2, 9000, 0, 24, 20};
struct simulation simulation;
bool flapping_members, enable_standbys;
const struct schedule *schedule;

/* How many more steps a run with a schedule may take, so that a partition that has
 * just changed its owner becomes ready. */
enum { MAX_EXTRA_STEPS = 50 };

bool simulation_chance(double probability)
{
    return g_rand_double(simulation.random) < probability;
}

const char *simulation_team(int number)
{
    static const char *const teams[MAX_TEAMS] = {"x", "y", "z"};

    return teams[number];
}

bool simulation_fault_chance(double probability)
{
    return !simulation.faults_stopped && simulation_chance(probability);
}

/* The controller that the worker turns to after a response other than 200: the one
 * that the response names, else the next by number. */
static int redirect_node(const struct machine *machine, int status,
                         const GByteArray *response)
{
    struct lmn_cbor_document document;
    char name[LMN_NAME_SIZE] = "";

    if (status == 421 && lmn_cbor_parse(&document, response->data, response->len) == 0) {
        lmn_cbor_get_text(
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_REDIRECT_TO), name,
            sizeof name);
        lmn_cbor_free(&document);
    }
    return *name ? atoi(name + 1) : (machine->node + 1) % simulation.layout.nodes;
}

void simulation_deliver_heartbeat(struct message *heartbeat, int node, double arrives_at)
{
    heartbeat->node = node;
    heartbeat->arrives_at = arrives_at;
    g_ptr_array_add(simulation.messages, heartbeat);
}

static void deliver_copy(const struct message *message)
{
    double arrives_at = simulation.now + g_rand_double_range(simulation.random, 2, 24);
    bool elsewhere =
        simulation.now < simulation.copied_heartbeats_until && simulation_chance(0.3);

    simulation_deliver_heartbeat(
        heartbeat_copy(message),
        elsewhere ? g_rand_int_range(simulation.random, 0, simulation.layout.nodes)
                  : message->node,
        arrives_at);
}

/* The copy of a heartbeat that is delivered once the partition has a newer epoch, one
 * of its machines has accepted a command of that epoch, and delay_s have passed since. */
struct kept_heartbeat {
    struct message *heartbeat;
    int partition;
    uint64_t epoch;
    double delay_s;
    double deliver_at; /* 0: the next owner has sent no command yet */
};

static int partition_of(const struct message *message)
{
    return lmn_partition_for_machine(simulation.machines[message->machine].name,
                                     simulation.layout.nodes);
}

static void keep_for_next_owner(const struct message *message)
{
    struct kept_heartbeat *kept = g_new0(struct kept_heartbeat, 1);

    kept->heartbeat = heartbeat_copy(message);
    kept->partition = partition_of(message);
    kept->epoch = simulation_epoch(kept->partition);
    kept->delay_s =
        simulation_chance(0.5) ? 0 : g_rand_double_range(simulation.random, 0, 4);
    g_ptr_array_add(simulation.kept_heartbeats, kept);
}

static bool owner_has_acted(int partition, uint64_t epoch)
{
    for (int i = 0; i < simulation.layout.machines; i++) {
        const struct machine *machine = &simulation.machines[i];
        if (machine->token <= epoch && epoch - machine->token <= LMN_TOKEN_RAISES &&
            lmn_partition_for_machine(machine->name, simulation.layout.nodes) ==
                partition)
            return true;
    }
    return false;
}

static int owner_of(int partition)
{
    uint64_t epoch = simulation_epoch(partition);

    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        if (core && core->partitions[partition].ownership.is_owned &&
            core->partitions[partition].ownership.epoch == epoch)
            return i;
    }
    return -1;
}

static void deliver_kept(void)
{
    for (guint i = simulation.kept_heartbeats->len; i-- > 0;) {
        struct kept_heartbeat *kept = simulation.kept_heartbeats->pdata[i];
        uint64_t epoch = simulation_epoch(kept->partition);
        if (!kept->deliver_at && epoch > kept->epoch &&
            owner_has_acted(kept->partition, epoch))
            kept->deliver_at = simulation.now + kept->delay_s;
        int owner = kept->deliver_at && simulation.now >= kept->deliver_at
                        ? owner_of(kept->partition)
                        : -1;
        if (owner < 0)
            continue;
        simulation_deliver_heartbeat(kept->heartbeat, owner, simulation.now);
        simulation.delivered_kept_heartbeats++;
        g_free(kept);
        g_ptr_array_remove_index_fast(simulation.kept_heartbeats, i);
    }
}

/* Handles the heartbeat at the controller. With the guard disabled, a heartbeat from
 * an older epoch passes for one of the owner's epoch. */
static int handle_heartbeat(struct node *node, struct message *message,
                            GByteArray *response, struct lmn_deferred_starts *deferred)
{
    const struct lmn_partition *partition =
        &node->core->partitions[partition_of(message)];

    if (simulation.disabled_guard == GUARD_HEARTBEAT_EPOCH &&
        partition->ownership.is_owned) {
        g_byte_array_set_size(message->body, message->token_offset);
        lmn_cbor_put_uint(message->body,
                          partition->ownership.epoch - partition->ownership.token_raises);
    }
    int status = lmn_heartbeat_handle(node->core, message->body->data, message->body->len,
                                      response, deferred, simulation.clock);
    digest_message("report", simulation.clock);
    digest_number((uint64_t)message->node);
    digest_array(message->body);
    digest_number((uint64_t)status);
    digest_array(response);
    digest_number(status == 200 ? deferred->log_position : 0);
    return status;
}

static void deliver_messages(void)
{
    for (guint i = 0; i < simulation.messages->len;) {
        struct message *message = simulation.messages->pdata[i];
        struct machine *machine = &simulation.machines[message->machine];
        /* A delayed command arrives once the machine can receive it again. */
        if (message->arrives_at > simulation.now ||
            (message->is_command && (simulation.now < machine->hang_until ||
                                     simulation.now < machine->inbound_lost_until ||
                                     simulation.now < machine->commands_delayed_until))) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(simulation.messages, i);
        if (message->is_command) {
            if (!machine->is_terminated && message->generation == machine->generation)
                machine_handle_command(machine, message->body, NULL);
        } else if (message->generation == machine->generation || message->is_copy) {
            struct node *node = &simulation.nodes[message->node];
            GByteArray *response = g_byte_array_new();
            if (node_up(node) && node->core && simulation.now < node->frozen_until) {
                /* It waits at the frozen controller, but its sender may have given up
                 * on it by then. */
                g_byte_array_unref(response);
                message->arrives_at = node->frozen_until + 0.02;
                g_ptr_array_add(simulation.messages, message);
                continue;
            }
            if (message->is_copy) {
                struct lmn_deferred_starts deferred;
                if (node_up(node) && node->core)
                    handle_heartbeat(node, message, response, &deferred);
                simulation.copied_heartbeats++;
            } else if (node_up(node) && node->core &&
                       machine_reaches_node(message->node, machine)) {
                struct lmn_deferred_starts deferred;
                if (simulation_fault_chance(0.03) ||
                    (simulation.now < simulation.copied_heartbeats_until &&
                     simulation_chance(0.5)))
                    /* A copy arrives up to 24 s later, well over a lease. */
                    deliver_copy(message);
                if (simulation.now < simulation.keep_heartbeats_until &&
                    simulation_chance(0.3))
                    keep_for_next_owner(message);
                int status = handle_heartbeat(node, message, response, &deferred);
                if (status == 200 && deferred.log_position &&
                    !lmn_replication_allows_starts_up_to(
                        &node->core->partitions[deferred.partition],
                        deferred.log_position)) {
                    node_defer_starts(node, &deferred, message, machine, response);
                } else if (simulation.now < machine->inbound_lost_until) {
                    ; /* the response is lost */
                } else if (status == 200 && !machine->is_terminated &&
                           simulation.now >= machine->hang_until &&
                           !simulation_fault_chance(0.05)) {
                    struct message reply = {.body = response,
                                            .incarnation = message->incarnation,
                                            .sequence = message->sequence};
                    machine_handle_response(machine, &reply);
                } else if (status != 200 && machine->heartbeat_in_flight &&
                           machine->in_flight_sequence == message->sequence) {
                    machine->heartbeat_in_flight = false;
                    machine->node = redirect_node(machine, status, response);
                    machine->next_heartbeat_at =
                        simulation.now + (status == 421 ? 0.1 : 0.3);
                }
            }
            g_byte_array_unref(response);
        }
        g_byte_array_unref(message->body);
        g_free(message);
    }
}

static uint32_t range_end(const struct job *job, int only_partition, int partition)
{
    if (only_partition >= 0)
        return partition >= only_partition ? job->spec.tasks : 0;
    return job->spec.tasks * (uint32_t)(partition + 1) / simulation.layout.nodes;
}

static void submit(struct job *job)
{
    GByteArray *record;
    char key[64];
    uint32_t first = 0, open = 0;

    if (simulation.has_users) {
        users_submit(job);
        return;
    }
    simulation.revision++;
    /* A job with constraints on the zones of its tasks is kept in one partition, as
     * one owner has to see all of its tasks. */
    int only_partition = job->spec.spreads_over_zones || job->spec.requires_one_zone
                             ? (int)(job->spec.tasks % simulation.layout.nodes)
                             : -1;
    for (int i = 0; i < simulation.layout.nodes; i++)
        open += range_end(job, only_partition, i) > range_end(job, only_partition, i - 1);
    record = lmn_job_record_encode(&job->spec, LMN_JOB_ACTIVE, open, simulation.now);
    g_snprintf(key, sizeof key, "j/%s", job->id);
    simulation_store_put(key, record, 0);
    g_byte_array_unref(record);
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_range range = {.first = first,
                                  .end = range_end(job, only_partition, i)};
        uint8_t no_states[8] = {0};
        if (range.end == range.first)
            continue;
        record = lmn_range_record_encode(&range, no_states);
        g_snprintf(key, sizeof key, "r/%d/%s/%u", i, job->id, first);
        simulation_store_put(key, record, 0);
        g_byte_array_unref(record);
        first = range.end;
    }
    job->submitted = true;
    job->accepted_at = simulation.now;
}

/* The first controller that reaches the state service, starting at a number that
 * depends on the job: without random numbers, so that cancellations don't change the
 * history otherwise. */
static struct node *confirming_node(const struct job *job)
{
    for (int k = 0; k < simulation.layout.nodes; k++) {
        struct node *node =
            &simulation.nodes[((job - simulation.jobs) + k) % simulation.layout.nodes];
        if (node_up(node) && node->core && node_reaches_store(node))
            return node;
    }
    return NULL;
}

static bool cancel_through(struct job *job, struct node *node)
{
    char key[64];
    struct lmn_job_spec spec;
    uint32_t open;
    double accepted_at;

    g_snprintf(key, sizeof key, "j/%s", job->id);
    enum lmn_job_phase phase = simulation_read_job(job, &spec, &open, &accepted_at);
    if (phase == LMN_JOB_ACTIVE || simulation.disabled_guard == GUARD_FINAL) {
        GByteArray *record =
            lmn_job_record_encode(&spec, LMN_JOB_CANCELLED, open, accepted_at);
        simulation.revision++;
        simulation_store_put(key, record, 0);
        g_byte_array_unref(record);
        job->cancelled_at = simulation.now;
        simulation.cancelled_jobs++;
        lmn_tombstone_add(&node->core->cache.tombstones, job->id);
    }
    lmn_job_spec_clear(&spec);
    return job->cancelled_at == simulation.now;
}

void simulation_cancel(struct job *job)
{
    struct node *node = confirming_node(job);

    if (simulation.has_users)
        users_cancel(job);
    else if (node)
        cancel_through(job, node);
}

bool simulation_cancel_through(struct job *job, int node)
{
    struct node *target = &simulation.nodes[node];

    if (!job->submitted || job->recorded_done || job->cancelled_at >= 0 ||
        !node_up(target) || !target->core || simulation.now < target->frozen_until ||
        !node_reaches_store(target))
        return false;
    return cancel_through(job, target);
}

static void clear_simulation(void)
{
    if (simulation.random)
        g_rand_free(simulation.random);
    memset(&simulation, 0, sizeof simulation);
}

bool simulation_is_recovered(void)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        const struct lmn_core *core = simulation.nodes[i].core;
        int owners = 0;
        if (!core)
            return false;
        for (int k = 0; k < simulation.layout.nodes; k++) {
            if (!simulation.nodes[k].core)
                return false;
            const struct lmn_partition *partition =
                &simulation.nodes[k].core->partitions[i];
            owners += partition->ownership.is_owned && partition->ownership.is_ready;
            if (!lmn_member_is_trusted(&core->members, k, simulation.clock))
                return false;
        }
        if (owners != 1)
            return false;
    }
    return true;
}

void simulation_run(const struct layout *layout, uint32_t seed, enum guard disabled)
{
    clear_simulation();
    simulation.layout = *layout;
    simulation.random = g_rand_new_with_seed(seed);
    simulation.disabled_guard = disabled;
    simulation.members_flap = flapping_members;
    simulation.has_standbys = enable_standbys;
    simulation.cancel_s = schedule ? schedule->cancel_s : seed % 2 ? 16 : 40;
    simulation.lease_s = schedule ? schedule->lease_s : 8;
    simulation.max_task_s = schedule ? schedule->max_task_s : 12;
    simulation.least_cancel_margin_s = simulation.cancel_s;
    simulation.sends_tombstones = seed % 2 && disabled != GUARD_STALE_VIEW;
    simulation.has_users = schedule && schedule->has_users;
    simulation.lost_response_kind = TXN_KIND_COUNT;
    users_begin(seed);
    simulation.late_transactions = g_ptr_array_new();
    simulation.store = g_hash_table_new(g_str_hash, g_str_equal);
    simulation.events = g_ptr_array_new();
    simulation.leases = g_array_new(FALSE, FALSE, sizeof(struct store_lease));
    simulation.messages = g_ptr_array_new();
    simulation.kept_heartbeats = g_ptr_array_new();
    simulation.now = RUN_START_S;
    simulation.clock = lmn_time_add((struct timespec){0, 0}, simulation.now);
    lmn_test_clock = &simulation.clock;
    for (int i = 0; i < simulation.layout.machines; i++) {
        struct machine *machine = &simulation.machines[i];
        machine_set_name(machine);
        g_snprintf(machine->zone, sizeof machine->zone, "%c",
                   'a' + i % simulation.layout.zones);
        machine->spot = i >= 4;
        machine->incarnation = 1;
        machine->lease_start = machine->next_heartbeat_at = simulation.now;
        machine->node = i % simulation.layout.nodes;
    }
    simulation.job_count = schedule && schedule->jobs ? schedule->jobs : JOBS;
    simulation.team_count = schedule && schedule->teams ? schedule->teams : 1;
    for (int i = 0; i < simulation.job_count; i++) {
        struct job *job = &simulation.jobs[i];
        g_snprintf(job->id, sizeof job->id, "run-%06d", i);
        g_strlcpy(job->spec.id, job->id, sizeof job->spec.id);
        job->spec.class_name = (char *)"c";
        job->spec.team = (char *)simulation_team(i % simulation.team_count);
        job->spec.image = (char *)"img";
        job->spec.zone = i % 5 == 4 ? (char *)"a" : NULL;
        job->spec.priority = i % 2 ? LMN_PRIORITY_HIGH : LMN_PRIORITY_NORMAL;
        job->spec.tasks = 1 + (uint32_t)g_rand_int_range(simulation.random, 0, TASKS);
        job->spec.cpus = 1 + i % 3;
        job->spec.memory_gb = 1;
        job->spec.may_use_spot = i % 2;
        job->spec.estimate_s = 3;
        job->spec.deadline_s = -1;
        if (i % 4 == 3) {
            /* A service with few replicas, some of them spread over the zones. */
            job->spec.kind = LMN_JOB_SERVICE;
            job->spec.tasks = 1 + (uint32_t)g_rand_int_range(simulation.random, 0, 4);
            job->spec.spreads_over_zones = i % 8 == 3;
            job->spec.estimate_s = 0;
            job->spec.priority = LMN_PRIORITY_PRODUCTION;
        }
        job->cancelled_at = job->accepted_at = job->first_start_at = -1;
        if (schedule && schedule->describe_job)
            schedule->describe_job(job, i);
    }
    int steps = simulation.layout.steps + simulation.layout.recovery_steps;
    /* A run with a schedule does not end while a partition is being returned to its
     * preferred owner. */
    for (int step = 0; step < steps || (schedule && !simulation_is_recovered() &&
                                        step < steps + MAX_EXTRA_STEPS);
         step++) {
        simulation.faults_stopped = schedule || step >= simulation.layout.steps;
        simulation.now += STEP_S;
        simulation.clock = lmn_time_add((struct timespec){0, 0}, simulation.now);
        simulation_expire_leases();
        if (schedule)
            schedule->step();
        if (simulation_fault_chance(0.0006))
            simulation.cloud_down_until =
                simulation.now + g_rand_double_range(simulation.random, 5, 60);
        for (int i = 0; i < simulation.job_count; i++) {
            struct job *job = &simulation.jobs[i];
            if (!job->submitted && !job->submission_begun &&
                simulation.now > RUN_START_S + i * simulation.layout.job_interval_s)
                submit(job);
            else if (!schedule && job->submitted && job->cancelled_at < 0 &&
                     (simulation.disabled_guard == GUARD_FINAL || !job->recorded_done) &&
                     i % 2 && simulation_chance(0.004))
                simulation_cancel(job);
        }
        for (int i = 0; i < simulation.layout.machines; i++) {
            struct machine *machine = &simulation.machines[i];
            if (simulation_fault_chance(0.0004))
                machine->hang_until =
                    simulation.now + g_rand_double_range(simulation.random, 1, 25);
            if (simulation_fault_chance(0.0003))
                machine->inbound_lost_until =
                    simulation.now + g_rand_double_range(simulation.random, 1, 40);
            if (machine->is_terminated &&
                (machine->replaced_at ? simulation.now >= machine->replaced_at
                                      : simulation_chance(0.004)))
                machine_replace(machine);
            machine_step(machine);
        }
        deliver_kept();
        deliver_messages();
        if (simulation.has_users)
            users_step();
        for (int i = 0; i < simulation.layout.nodes; i++) {
            node_step(&simulation.nodes[i], i);
            if (simulation.has_users)
                /* Users send requests between the writes of other controllers and the
                 * moment this one has seen them. */
                users_step();
        }
        /* Final states that were returned to users must be returned by all controllers
         * from now on. */
        if (simulation.has_users && step + 20 >= steps)
            users_query_all();
        /* Without faults in the product, reconciliation finds no tasks that were left
         * out. It once did: a range that was written between the claim of a partition
         * and the controller's noticing was never scheduled. Nor does a worker name an
         * attempt that its owner has removed. */
        for (int i = 0;
             i < simulation.layout.nodes && simulation.disabled_guard == GUARD_NONE; i++)
            assert_true(!simulation.nodes[i].core ||
                        (simulation.nodes[i].core->counters.reconciled_tasks == 0 &&
                         simulation.nodes[i].core->counters.reappeared_attempts == 0));
        simulation_check_rules();
        simulation_check_service();
    }
}
