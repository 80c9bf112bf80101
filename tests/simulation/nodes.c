/* Simulated controllers: they call the product's code in the order in which its
 * threads do. */
#include "simulation.h"

#include "scheduler/job_order.h"
#include "scheduler/consolidation.h"
#include "scheduler/preemption.h"
#include "scheduler/quota.h"
#include "state/fencing_token.h"
#include "scheduler/reservation.h"
#include "scheduler/work_stealing.h"
#include "partition/range_writer.h"
#include "partition/quota_transfer.h"
#include "partition/ownership.h"
#include "partition/shutdown.h"
#include "partition/owner.h"
#include "partition/partition.h"
#include "partition/range.h"
#include "partition/maintenance.h"
#include "replication/replica.h"
#include "state/core.h"
#include "state/watch_cache.h"
#include "state/task_ledger.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

bool node_reaches_store(const struct node *node)
{
    return simulation.now >= node->store_unreachable_until;
}

bool node_up(const struct node *node)
{
    return simulation.now >= node->down_until;
}

static void start_node(struct node *node, int self)
{
    memset(&node->settings, 0, sizeof node->settings);
    g_snprintf(node->settings.node_name, sizeof node->settings.node_name, "n%02d", self);
    for (int k = 0; k < simulation.layout.nodes; k++)
        if (k != self)
            g_snprintf(node->settings.members[node->settings.member_count++].name,
                       LMN_NAME_SIZE, "n%02d", k);
    node->settings.partition_count = simulation.layout.nodes;
    node->settings.heartbeat_s = 1;
    node->settings.lease_s = simulation.disabled_guard == GUARD_LEASE
                                 ? 0.3 * simulation.lease_s
                                 : simulation.lease_s;
    node->settings.cancel_s = simulation.cancel_s;
    node->settings.state_requests_per_s = node->settings.state_writes_per_s = 1e6;
    if (schedule && schedule->max_transactions)
        node->settings.state_writes_per_s = schedule->max_transactions / STEP_S;
    node->settings.max_value_kb = 16;
    node->settings.max_txn_operations = 12;
    node->settings.teams = node->teams;
    node->settings.team_count = (size_t)simulation.team_count;
    for (int k = 0; k < simulation.team_count; k++) {
        g_strlcpy(node->settings.teams[k].name, simulation_team(k), LMN_NAME_SIZE);
        node->settings.teams[k].cpus_max = simulation.disabled_guard == GUARD_QUOTA
                                               ? 4 * simulation.layout.team_cpus_max
                                               : simulation.layout.team_cpus_max;
    }
    node->state = lmn_kv_client_new(&node->settings);
    node->core =
        lmn_core_new(&node->settings, node->state, g_rand_int(simulation.random));
    node->core->cloud.machine_types.count = 1;
    node->core->cloud.machine_types.types[0] = (struct lmn_machine_type){
        .name = "t", .cpus = 6, .memory_gb = 100, .zone_count = 2, .zones = {"a", "b"}};
    node->core->cloud.machine_types_known = true;
    node->core->cache.operator_settings.standby = simulation.has_standbys;
    /* Deferred responses and commands of an earlier process are lost with it. */
    node->deferred_starts = g_ptr_array_new();
    node->applied_events = 0;
    node->lease = 0;
    node->watch_response_at = 0;
    node->restarts++;
}

/* Whether the response to a watch request has arrived; if so, up to which event it
 * reports, and since when the watch cache counts as fresh. */
static bool watch_response_arrived(struct node *node, size_t *event_count,
                                   double *requested_at)
{
    *event_count = simulation.events->len;
    *requested_at = simulation.now;
    if (simulation.now >= node->store_slow_until && !node->watch_response_at)
        return true;
    if (!node->watch_response_at) {
        node->watch_request_at = simulation.now;
        node->watch_request_events = simulation.events->len;
        node->watch_response_at =
            simulation.now + g_rand_double_range(simulation.random, 0.3, 2.7);
    }
    if (simulation.now < node->watch_response_at)
        return false;
    *event_count = node->watch_request_events;
    *requested_at = simulation.disabled_guard == GUARD_VIEW_AGE ? simulation.now
                                                                : node->watch_request_at;
    node->watch_response_at = 0;
    return true;
}

/* Makes replicas of the controller's own earlier state look as if nobody had owned the
 * partitions since. */
static void accept_own_replicas(struct lmn_core *core)
{
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        if (partition->replication.replica &&
            partition->replication.replica->is_own_state)
            partition->replication.replica->epoch =
                partition->record.owner_revision
                    ? lmn_record_first_token(&partition->record) - 1
                    : partition->record.epoch;
    }
}

static void apply_watch_events(struct node *node)
{
    struct lmn_core *core = node->core;
    size_t event_count;
    double requested_at;

    if (!watch_response_arrived(node, &event_count, &requested_at))
        return;
    struct timespec fresh_at = lmn_time_add((struct timespec){0, 0}, requested_at);
    for (; node->applied_events < event_count; node->applied_events++) {
        const struct event *event = simulation.events->pdata[node->applied_events];
        struct lmn_cbor_document document = {0};
        if (event->value)
            assert_int_equal(
                lmn_cbor_parse(&document, event->value->data, event->value->len), 0);
        lmn_watch_cache_apply(core, event->key, &document,
                              event->value ? lmn_cbor_root(&document) : NULL,
                              event->revision, simulation.clock);
        if (event->value)
            lmn_cbor_free(&document);
    }
    core->cache.fresh_at = fresh_at;
    lmn_members_record_watch(&core->members, fresh_at);
    if (!core->cache.is_synced)
        core->cache.synced_at = simulation.clock;
    core->cache.is_synced = true;
    if (simulation.disabled_guard == GUARD_OWN_EPOCH)
        accept_own_replicas(core);
    lmn_watch_cache_begin_ownerships(core, simulation.clock);
}

struct lmn_member_health node_health(const struct node *node)
{
    struct lmn_member_health health = node->core->members.health;
    health.cache_age_s =
        node->core->cache.is_synced
            ? lmn_time_diff_s(simulation.clock, node->core->cache.fresh_at)
            : 1e6;
    return health;
}

enum lmn_txn_outcome node_send_txn(struct node *node, struct lmn_txn *txn)
{
    enum lmn_txn_outcome outcome = LMN_TXN_UNKNOWN;
    uint64_t revision;
    double random_value = g_rand_double(simulation.random);

    digest_transaction("sending", simulation.clock, txn);
    digest_number((uint64_t)simulation.current_node);
    if (simulation_response_is_lost(txn, random_value)) {
        outcome = simulation_commit_without_response(node, txn);
        lmn_txn_free(txn);
        return outcome;
    }
    if (random_value < (simulation.now < simulation.late_writes_until ? 0.6 : 0.95))
        outcome = simulation_commit(txn, &revision);
    if (random_value > 0.9)
        outcome = LMN_TXN_UNKNOWN;
    if (random_value > 0.97 ||
        (outcome == LMN_TXN_UNKNOWN && simulation.now < simulation.late_writes_until))
        simulation_add_late_txn(txn);
    lmn_txn_free(txn);
    return outcome;
}

static void renew_lease(struct node *node)
{
    if (node->lease && !simulation_lease_is_alive(node->lease)) {
        node->lease = node->core->lease.id = 0;
        for (int i = 0; i < simulation.layout.nodes; i++)
            if (node->core->partitions[i].ownership.is_owned)
                lmn_partition_end_ownership(node->core, &node->core->partitions[i],
                                            "lease ended");
    }
    if (!node->lease) {
        struct store_lease lease = {++simulation.last_lease, simulation.now + 3};
        g_array_append_val(simulation.leases, lease);
        node->lease = node->core->lease.id = lease.id;
    }
    for (guint i = 0; i < simulation.leases->len; i++)
        if (g_array_index(simulation.leases, struct store_lease, i).id == node->lease)
            g_array_index(simulation.leases, struct store_lease, i).expires_at =
                simulation.now + 3;
}

static void announce_member(struct node *node)
{
    struct lmn_txn *txn =
        lmn_ownership_announce(node->core, node->lease, simulation.clock);

    if (txn && simulation.disabled_guard == GUARD_ANNOUNCE &&
        node->announced_lease == node->lease) {
        lmn_txn_free(txn);
        return;
    }
    if (!txn)
        return;
    enum lmn_txn_outcome outcome = node_send_txn(node, txn);
    lmn_ownership_announce_completed(node->core, outcome);
    if (outcome == LMN_TXN_COMMITTED)
        node->announced_lease = node->lease;
}

static void write_as_older_version_by_chance(struct lmn_txn *txn)
{
    if (schedule && schedule->older_versions_claim && simulation_chance(0.5))
        simulation_write_as_older_version(txn);
}

static void manage_ownership(struct node *node)
{
    struct lmn_core *core = node->core;
    struct lmn_txn *txn;
    int successor;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        txn = i == core->members.self
                  ? lmn_ownership_refute(core, node->lease, simulation.clock)
                  : lmn_ownership_suspect(core, i, node->lease, simulation.clock);
        simulation.refutations += txn && i == core->members.self;
        if (txn)
            node_send_txn(node, txn);
    }
    for (int i = 0; i < simulation.layout.nodes; i++) {
        uint64_t failures_before = core->members.counters.failures_declared;
        if ((txn = lmn_ownership_claim(core, i, node->lease, simulation.clock))) {
            write_as_older_version_by_chance(txn);
            bool declared_failed =
                core->members.counters.failures_declared > failures_before;
            bool claimed = node_send_txn(node, txn) == LMN_TXN_COMMITTED;
            simulation.takeovers += claimed;
            simulation.failures_declared += claimed && declared_failed;
            node->declared_failed[i] = declared_failed;
        }
        if ((txn = lmn_ownership_transfer(core, i, &successor, simulation.clock))) {
            if (successor != core->members.self)
                write_as_older_version_by_chance(txn);
            enum lmn_txn_outcome outcome = node_send_txn(node, txn);
            lmn_ownership_transfer_completed(core, i, outcome, simulation.clock);
            simulation.partition_transfers += outcome == LMN_TXN_COMMITTED;
        }
    }
}

/* After a request to shut down, the controller transfers its partitions, ends its
 * lease and exits; returns true once it has exited. */
static bool shut_down(struct node *node)
{
    struct lmn_core *core = node->core;

    if (!core->shutdown.is_requested)
        return false;
    bool owns_nothing = lmn_shutdown_all_transferred(core);
    if (!owns_nothing && !lmn_shutdown_is_complete(core, simulation.clock))
        return false;
    for (guint i = 0; owns_nothing && i < simulation.leases->len; i++)
        if (g_array_index(simulation.leases, struct store_lease, i).id == node->lease)
            g_array_index(simulation.leases, struct store_lease, i).expires_at =
                simulation.now;
    simulation.shutdowns += owns_nothing;
    node_crash(node, g_rand_double_range(simulation.random, 0.2, 6));
    return true;
}

/* Records how many operations wait to be written. */
static void count_queued_operations(struct node *node)
{
    struct lmn_latency times;

    lmn_latency_init(&times);
    unsigned queued = (unsigned)lmn_kv_client_statistics(node->state, &times);
    lmn_latency_clear(&times);
    simulation.most_queued_operations = MAX(simulation.most_queued_operations, queued);
}

static void write_transactions(struct node *node)
{
    struct lmn_txn *txn;

    unsigned remaining =
        schedule && schedule->max_transactions ? schedule->max_transactions : ~0u;

    if (schedule && schedule->max_transactions)
        count_queued_operations(node);
    for (; remaining && (txn = lmn_kv_client_dequeue(node->state)); remaining--) {
        uint64_t revision = 0;
        simulation.transactions++;
        simulation.operations += lmn_txn_operation_count(txn);
        enum lmn_txn_outcome outcome =
            simulation_send_txn(node, txn, g_rand_double(simulation.random), &revision);
        lmn_txn_complete(txn, outcome, revision);
    }
}

static void ignore_fair_share(struct lmn_core *core)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->cache.jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct lmn_job *job = value;
        job->is_starving = job->is_under_fair_share = false;
    }
}

static void disable_guards(struct node *node)
{
    GHashTableIter iterator;
    gpointer value;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_partition *partition = &node->core->partitions[i];
        if (!partition->ownership.is_owned)
            continue;
        g_hash_table_iter_init(&iterator, partition->machines);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            struct lmn_machine *machine = value;
            if (simulation.disabled_guard == GUARD_ACCOUNTED ||
                (simulation.disabled_guard == GUARD_DECLARED_FAILED &&
                 node->declared_failed[i]))
                machine->lifecycle.is_inherited = false;
            if (simulation.disabled_guard == GUARD_HEARTBEAT_ORDER)
                machine->agent.incarnation = machine->agent.sequence =
                    machine->agent.heartbeat_sequence = 0;
            if (simulation.disabled_guard == GUARD_PLACEMENT)
                machine->is_spot = false;
            if (simulation.disabled_guard == GUARD_ANTI_AFFINITY)
                for (GList *link = g_hash_table_get_values(node->core->cache.jobs); link;
                     link = link->next)
                    ((struct lmn_job *)link->data)->spec.spreads_over_zones =
                        ((struct lmn_job *)link->data)->spec.requires_one_zone = false;
            for (guint k = 0; k < machine->attempts->len; k++) {
                struct lmn_attempt *attempt =
                    &g_array_index(machine->attempts, struct lmn_attempt, k);
                if (simulation.disabled_guard == GUARD_QUOTA_UNTIL_GONE && attempt->job &&
                    !lmn_job_may_run(node->core, attempt->job))
                    lmn_attempt_uncount(machine, attempt);
                if (simulation.disabled_guard == GUARD_UNCERTAIN_PUSH)
                    attempt->push_is_uncertain = attempt->push_in_flight = false;
                if (simulation.disabled_guard == GUARD_RAISED_TOKEN)
                    attempt->push_token = 0;
                if (simulation.disabled_guard == GUARD_DONE &&
                    attempt->state == LMN_ATTEMPT_RUNNING && attempt->range &&
                    attempt->range->task_states)
                    lmn_task_finished(attempt->range, attempt->index, simulation.clock);
            }
        }
        if (simulation.disabled_guard == GUARD_ONE_WRITE_PER_RANGE) {
            g_hash_table_iter_init(&iterator, partition->ranges);
            while (g_hash_table_iter_next(&iterator, NULL, &value))
                ((struct lmn_range *)value)->is_writing = false;
            g_hash_table_iter_init(&iterator, node->core->cache.jobs);
            while (g_hash_table_iter_next(&iterator, NULL, &value))
                ((struct lmn_job *)value)->closing_revision = 0;
        }
        lmn_partition_check_ready(node->core, partition, simulation.clock);
    }
    if (simulation.disabled_guard == GUARD_STALE_VIEW)
        node->core->cache.fresh_at = simulation.clock;
}

/* With the guard disabled, machines without a record are treated as recorded, except
 * where their records are written. */
static void pretend_recorded(struct node *node, bool pretend)
{
    static const uint64_t pretended = G_MAXUINT64;

    for (int i = 0; i < simulation.layout.nodes &&
                    simulation.disabled_guard == GUARD_MACHINE_RECORDED;
         i++) {
        const GPtrArray *machines = node->core->partitions[i].machine_list;
        for (guint k = 0; k < machines->len; k++) {
            struct lmn_machine *machine = machines->pdata[k];
            if (pretend && !machine->record.revision &&
                node->core->partitions[i].ownership.is_owned)
                machine->record.revision = pretended;
            else if (!pretend && machine->record.revision == pretended)
                machine->record.revision = 0;
        }
    }
}

static uint32_t steal_from(int victim, const struct lmn_steal_request *request)
{
    uint32_t stolen = 0;

    for (int k = 0; k < simulation.layout.nodes && !stolen; k++) {
        struct node *owner = &simulation.nodes[k];
        if (node_up(owner) && owner->core &&
            owner->core->partitions[victim].ownership.is_owned &&
            lmn_victim_load(owner->core, &owner->core->partitions[victim], request))
            stolen = lmn_victim_begin_move(owner->core, &owner->core->partitions[victim],
                                           request, simulation.clock);
    }
    digest_message("theft", simulation.clock);
    digest_number((uint64_t)request->partition);
    digest_number((uint64_t)victim);
    digest_number(stolen);
    return stolen;
}

/* Steals tasks between partitions, whoever owns them. */
static void steal_tasks(struct node *node)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_steal_request request;
        uint32_t stolen = 0;
        lmn_steal_request_init(&request, &node->settings);
        if (!lmn_steal_request_fill(node->core, &node->core->partitions[i], &request,
                                    simulation.clock)) {
            lmn_steal_request_clear(&request);
            continue;
        }
        /* A random sample of the other partitions; a single one while faults may still
         * begin. */
        int sample =
            simulation.faults_stopped ? (int)ceil(2 * sqrt(simulation.layout.nodes)) : 1;
        while (sample-- > 0 && !stolen)
            stolen = steal_from(
                g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                &request);
        lmn_steal_record_result(node->core, &node->core->partitions[i], stolen,
                                simulation.clock);
        lmn_steal_request_clear(&request);
        simulation.steals += stolen;
    }
}

static bool request_quota(struct node *owner, int donor, int partition,
                          const struct lmn_quota_request *request)
{
    bool granted = lmn_quota_request_handle(owner->core, &owner->core->partitions[donor],
                                            partition, request, simulation.clock);

    digest_message("limit", simulation.clock);
    digest_number((uint64_t)donor);
    digest_number((uint64_t)partition);
    digest_number((uint64_t)request->team);
    digest_real(request->cpus);
    digest_real(request->gpus);
    digest_real(request->least_cpus);
    digest_real(request->least_gpus);
    digest_number(granted);
    return granted;
}

/* A partition that lacks quota of a team requests it from the others, as
 * controller/rpc_server.c does. */
static void request_missing_quota(struct node *node, int partition_index)
{
    struct lmn_partition *partition = &node->core->partitions[partition_index];
    bool is_short = false, granted = false;

    for (int team = 0;
         team < simulation.team_count &&
         !lmn_time_before(simulation.clock, partition->quota.next_request_at);
         team++) {
        struct lmn_quota_request request;
        if (!lmn_quota_shortfall(node->core, partition, team, &request))
            continue;
        is_short = true;
        int first = g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
        for (int i = 0; i < simulation.layout.nodes * simulation.layout.nodes; i++) {
            struct node *owner = &simulation.nodes[i % simulation.layout.nodes];
            int donor = (first + i / simulation.layout.nodes) % simulation.layout.nodes;
            if (donor != partition_index && node_reaches_node(node, owner) &&
                owner->core->partitions[donor].ownership.is_owned)
                granted |= request_quota(owner, donor, partition_index, &request);
        }
    }
    if (!is_short)
        return;
    partition->quota.request_interval_s =
        granted ? 0.5 : CLAMP(partition->quota.request_interval_s * 2, 0.5, 8);
    partition->quota.next_request_at =
        lmn_time_add(simulation.clock, partition->quota.request_interval_s);
}

/* With one team, parts of its quota are also transferred at random, so that transfers
 * meet all kinds of faults; with several teams, only as owners request it. */
static void move_quota(struct node *node)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        if (schedule || simulation.faults_stopped)
            request_missing_quota(node, i);
        if (simulation.team_count == 1 && (schedule || !simulation.faults_stopped) &&
            simulation_chance(0.02))
            lmn_quota_transfer_begin(
                node->core, &node->core->partitions[i], 0,
                g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                g_rand_double_range(simulation.random, 0,
                                    simulation.layout.team_cpus_max),
                0);
    }
}

/* Simulates the cloud provider: terminates the machines that owners want to return.
 * Others replace them later. */
static void terminate_machines(struct node *node)
{
    if (simulation.now < simulation.cloud_down_until)
        return;
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_partition *partition = &node->core->partitions[i];
        if (!partition->ownership.is_owned)
            continue;
        GList *machines = g_hash_table_get_values(partition->machines);
        for (GList *link = machines; link; link = link->next) {
            struct lmn_machine *machine = link->data;
            if (!machine->lifecycle.is_draining || machine->lifecycle.is_terminated ||
                !(machine->lifecycle.drain_at_once || lmn_machine_is_empty(machine)))
                continue;
            struct machine *simulated = simulation_find_machine(machine->name);
            if (simulated) {
                simulated->is_terminated = true;
                simulated->task_count = 0;
            }
            digest_message("removal", simulation.clock);
            digest_text(machine->name);
            lmn_machine_handle_termination(node->core, machine, simulation.clock);
        }
        g_list_free(machines);
    }
}

void node_crash(struct node *node, double down_s)
{
    simulation.preempted += (unsigned)node->core->counters.preempted;
    simulation.warm_takeovers += (unsigned)node->core->counters.warm_failovers;
    node->core = NULL; /* not freed: nothing of it is used again */
    node->down_until = simulation.now + down_s;
}

void node_step(struct node *node, int self)
{
    simulation.current_node = self;
    if (!node_up(node))
        return;
    if (node->crashes_next_step) {
        node->crashes_next_step = false;
        if (node->core)
            node_crash(node, g_rand_double_range(simulation.random, 0.2, 5));
        return;
    }
    if (!node->core)
        start_node(node, self);
    if (simulation.now < node->frozen_until)
        return;
    pretend_recorded(node, false);
    if (simulation_fault_chance(simulation.members_flap ? 0.004 : 0.001))
        node->frozen_until =
            simulation.now + g_rand_double_range(simulation.random, 0.5, 12);
    if (simulation_fault_chance(simulation.members_flap ? 0.004 : 0.0007))
        node->workers_unreachable_until =
            simulation.now + g_rand_double_range(simulation.random, 5, 40);
    if (simulation_fault_chance(simulation.members_flap ? 0.004 : 0.0007))
        node->peers_unreachable_until =
            simulation.now + g_rand_double_range(simulation.random, 2, 20);
    /* A crash: the memory is lost, the lease stays until it expires. */
    if (simulation_fault_chance(0.0012)) {
        node_crash(node, g_rand_double_range(simulation.random, 1, 6));
        return;
    }
    /* A controller with a stale cache does no harm once its successor has returned the
     * machines. So that the guard is needed, the store is unreachable often and for
     * long, and machines can't be returned meanwhile. */
    bool disables_stale_view = simulation.disabled_guard == GUARD_STALE_VIEW;
    if (simulation_fault_chance(disables_stale_view ? 0.004 : 0.001)) {
        node->store_unreachable_until =
            simulation.now +
            g_rand_double_range(simulation.random, disables_stale_view ? 20 : 1, 40);
        if (disables_stale_view)
            simulation.cloud_down_until = node->store_unreachable_until;
        /* Often its workers are isolated with it, as when a zone loses its network. */
        for (int k = 0; k < simulation.layout.machines; k++)
            if (simulation.machines[k].node == self && simulation_chance(0.7)) {
                simulation.machines[k].isolated_with = self;
                simulation.machines[k].isolated_until = node->store_unreachable_until;
            }
        /* Then machines of other zones may be silent to this controller although they
         * run. */
        if (simulation_chance(0.5))
            node->zone_isolated_until = node->store_unreachable_until;
    }
    bool store_unreachable = !node_reaches_store(node);
    if (!store_unreachable) {
        renew_lease(node);
        if (simulation_chance(0.7))
            apply_watch_events(node);
    }
    node_send_probes(node, self);
    if (!store_unreachable)
        announce_member(node);
    if (!store_unreachable && node->core->cache.is_synced)
        manage_ownership(node);
    if (simulation.has_standbys && simulation_fault_chance(0.0015))
        lmn_shutdown_begin(node->core, simulation.clock);
    if (!store_unreachable && shut_down(node))
        return;
    if (simulation.disabled_guard)
        disable_guards(node);
    pretend_recorded(node, true);
    double wall_clock_s = simulation.now;
    lmn_update_job_order(node->core, wall_clock_s);
    if (simulation.disabled_guard == GUARD_FAIR_SHARE)
        ignore_fair_share(node->core);
    for (int k = 0;
         k < node->core->partition_count &&
         node->core->scheduling.last_triage_s == node->core->scheduling.wall_clock_s;
         k++)
        lmn_update_reservations(node->core, &node->core->partitions[k], simulation.clock);
    lmn_maintenance_run(node->core, simulation.clock);
    for (int k = 0;
         k < simulation.layout.nodes && simulation.disabled_guard == GUARD_UNACCOUNTED;
         k++) {
        node->core->partitions[k].ownership.unaccounted_cpus =
            node->core->partitions[k].ownership.unaccounted_gpus = 0;
        node->core->partitions[k].ownership.has_unaccounted_unknown = false;
    }
    for (int k = 0; k < simulation.layout.nodes; k++) {
        lmn_preempt_for_production(node->core, &node->core->partitions[k],
                                   simulation.clock);
        lmn_consolidate_replicas(node->core, &node->core->partitions[k],
                                 simulation.clock);
    }
    pretend_recorded(node, false);
    lmn_range_writer_flush(node->core, simulation.clock);
    pretend_recorded(node, true);
    if (!store_unreachable)
        write_transactions(node);
    else
        for (struct lmn_txn *txn; (txn = lmn_kv_client_dequeue(node->state));) {
            digest_transaction("refusal", simulation.clock, txn);
            lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
        }
    node_replicate(node, self, store_unreachable);
    node_send_deferred(node);
    node_call_workers(node);
    steal_tasks(node);
    move_quota(node);
    terminate_machines(node);
}
