/* Controllers: the product's own code, and what its threads would do. */
#include "simulation.h"

#include "scheduler/job_order.h"
#include "scheduler/consolidation.h"
#include "scheduler/preemption.h"
#include "scheduler/quota.h"
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
    return simulation.now >= node->cut_until;
}

bool node_up(const struct node *node)
{
    return simulation.now >= node->down_until;
}

static void node_boot(struct node *node, int i)
{
    memset(&node->settings, 0, sizeof node->settings);
    g_snprintf(node->settings.node_name, sizeof node->settings.node_name, "n%02d", i);
    for (int k = 0; k < simulation.layout.nodes; k++)
        if (k != i)
            g_snprintf(node->settings.members[node->settings.member_count++].name,
                       LMN_NAME_SIZE, "n%02d", k);
    node->settings.partition_count = simulation.layout.nodes;
    node->settings.heartbeat_s = 1;
    node->settings.lease_s = simulation.disabled_guard == GUARD_LEASE
                                 ? 0.3 * simulation.lease_s
                                 : simulation.lease_s;
    node->settings.cancel_s = simulation.cancel_s;
    node->settings.state_requests_per_s = node->settings.state_writes_per_s = 1e6;
    if (schedule && schedule->writes)
        node->settings.state_writes_per_s = schedule->writes / STEP_S;
    node->settings.max_value_kb = 16;
    node->settings.max_txn_operations = 12;
    node->settings.teams = node->teams;
    node->settings.team_count = (size_t)simulation.teams;
    for (int k = 0; k < simulation.teams; k++) {
        g_strlcpy(node->settings.teams[k].name, simulation_team(k), LMN_NAME_SIZE);
        node->settings.teams[k].cpus_max = simulation.disabled_guard == GUARD_QUOTA
                                               ? 4 * simulation.layout.limit
                                               : simulation.layout.limit;
    }
    node->state = lmn_kv_client_new(&node->settings);
    node->core =
        lmn_core_new(&node->settings, node->state, g_rand_int(simulation.random));
    node->core->cloud.machine_types.count = 1;
    node->core->cloud.machine_types.types[0] = (struct lmn_machine_type){
        .name = "t", .cpus = 6, .memory_gb = 100, .zone_count = 2, .zones = {"a", "b"}};
    node->core->cloud.machine_types_known = true;
    node->core->cache.operator_settings.standby = simulation.standbys;
    node->waiting = g_ptr_array_new(); /* what waited went with the process */
    node->seen = 0;
    node->lease = 0;
    node->answer = 0;
    node->restarts++;
}

/* Whether an answer is there: to which events, and as of when it was asked. */
static bool answered(struct node *node, size_t *upto, double *asked)
{
    *upto = simulation.log->len;
    *asked = simulation.now;
    if (simulation.now >= node->slow_until && !node->answer)
        return true;
    if (!node->answer) {
        node->asked = simulation.now;
        node->asked_len = simulation.log->len;
        node->answer = simulation.now + g_rand_double_range(simulation.random, 0.3, 2.7);
    }
    if (simulation.now < node->answer)
        return false;
    *upto = node->asked_len;
    *asked = simulation.disabled_guard == GUARD_VIEW_AGE ? simulation.now : node->asked;
    node->answer = 0;
    return true;
}

/* As if nobody had owned the partitions since. */
static void trust_own_copies(struct lmn_core *core)
{
    for (int i = 0; i < core->partition_count; i++) {
        const struct lmn_partition *partition = &core->partitions[i];
        if (partition->replication.replica &&
            partition->replication.replica->is_own_state)
            partition->replication.replica->epoch =
                partition->record.owner_revision ? partition->record.owner_epoch - 1
                                                 : partition->record.epoch;
    }
}

static void node_follow(struct node *node)
{
    struct lmn_core *core = node->core;
    size_t upto;
    double asked;

    if (!answered(node, &upto, &asked))
        return;
    struct timespec fresh = lmn_time_add((struct timespec){0, 0}, asked);
    for (; node->seen < upto; node->seen++) {
        const struct event *e = simulation.log->pdata[node->seen];
        struct lmn_cbor_document d = {0};
        if (e->value)
            assert_int_equal(lmn_cbor_parse(&d, e->value->data, e->value->len), 0);
        lmn_watch_cache_apply(core, e->key, &d, e->value ? lmn_cbor_root(&d) : NULL,
                              e->rev, simulation.clock);
        if (e->value)
            lmn_cbor_free(&d);
    }
    core->cache.fresh_at = fresh;
    lmn_members_record_watch(&core->members, fresh);
    if (!core->cache.is_synced)
        core->cache.synced_at = simulation.clock;
    core->cache.is_synced = true;
    if (simulation.disabled_guard == GUARD_OWN_EPOCH)
        trust_own_copies(core);
    lmn_watch_cache_begin_ownerships(core, simulation.clock);
}

struct lmn_member_health node_health(const struct node *node)
{
    struct lmn_member_health word = node->core->members.health;
    word.cache_age_s = node->core->cache.is_synced
                           ? lmn_time_diff_s(simulation.clock, node->core->cache.fresh_at)
                           : 1e6;
    return word;
}

/* A write of the thread that holds the lease; what becomes of it is not always known. */
enum lmn_txn_outcome node_send_txn(struct node *node, struct lmn_txn *txn)
{
    enum lmn_txn_outcome r = LMN_TXN_UNKNOWN;
    uint64_t revision;
    double luck = g_rand_double(simulation.random);

    digest_transaction("sending", simulation.clock, txn);
    digest_number((uint64_t)simulation.acting);
    if (simulation_response_is_lost(txn, luck)) {
        r = simulation_commit_without_response(node, txn);
        lmn_txn_free(txn);
        return r;
    }
    if (luck < (simulation.now < simulation.late_until ? 0.6 : 0.95))
        r = simulation_commit(txn, &revision);
    if (luck > 0.9)
        r = LMN_TXN_UNKNOWN;
    if (luck > 0.97 || (r == LMN_TXN_UNKNOWN && simulation.now < simulation.late_until))
        simulation_add_late_txn(txn);
    lmn_txn_free(txn);
    return r;
}

static void node_lease(struct node *node)
{
    if (node->lease && !simulation_lease_is_alive(node->lease)) {
        node->lease = node->core->lease.id = 0;
        for (int i = 0; i < simulation.layout.nodes; i++)
            if (node->core->partitions[i].ownership.is_owned)
                lmn_partition_lose(node->core, &node->core->partitions[i], "lease ended");
    }
    if (!node->lease) {
        struct holder h = {++simulation.next_lease, simulation.now + 3};
        g_array_append_val(simulation.leases, h);
        node->lease = node->core->lease.id = h.id;
    }
    for (guint i = 0; i < simulation.leases->len; i++)
        if (g_array_index(simulation.leases, struct holder, i).id == node->lease)
            g_array_index(simulation.leases, struct holder, i).until = simulation.now + 3;
}

static void node_announce(struct node *node)
{
    struct lmn_txn *txn =
        lmn_ownership_announce(node->core, node->lease, simulation.clock);

    if (txn && simulation.disabled_guard == GUARD_ANNOUNCE &&
        node->announced == node->lease) {
        lmn_txn_free(txn);
        return;
    }
    if (!txn)
        return;
    enum lmn_txn_outcome r = node_send_txn(node, txn);
    lmn_ownership_announced(node->core, r);
    if (r == LMN_TXN_COMMITTED)
        node->announced = node->lease;
}

static void node_hold(struct node *node)
{
    struct lmn_core *core = node->core;
    struct lmn_txn *txn;
    int successor;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        txn = i == core->members.self
                  ? lmn_ownership_refutation(core, node->lease, simulation.clock)
                  : lmn_ownership_suspicion(core, i, node->lease, simulation.clock);
        simulation.refutations += txn && i == core->members.self;
        if (txn)
            node_send_txn(node, txn);
    }
    for (int i = 0; i < simulation.layout.nodes; i++) {
        uint64_t before = core->members.counters.failures_declared;
        if ((txn = lmn_ownership_claim(core, i, node->lease, simulation.clock))) {
            bool verdict = core->members.counters.failures_declared > before;
            bool took = node_send_txn(node, txn) == LMN_TXN_COMMITTED;
            simulation.takeovers += took;
            simulation.failures_declared += took && verdict;
            node->judged[i] = verdict;
        }
        if ((txn = lmn_ownership_transfer(core, i, &successor, simulation.clock))) {
            enum lmn_txn_outcome r = node_send_txn(node, txn);
            lmn_ownership_transferred(core, i, r, simulation.clock);
            simulation.transfers += r == LMN_TXN_COMMITTED;
        }
    }
}

/* Asked to end, it says so, gives everything away, lets its lease go and ends; true then.
 */
static bool node_leave(struct node *node)
{
    struct lmn_core *core = node->core;

    if (!core->shutdown.is_requested)
        return false;
    bool bare = lmn_shutdown_owns_nothing(core);
    if (!bare && !lmn_shutdown_is_complete(core, simulation.clock))
        return false;
    for (guint i = 0; bare && i < simulation.leases->len; i++)
        if (g_array_index(simulation.leases, struct holder, i).id == node->lease)
            g_array_index(simulation.leases, struct holder, i).until = simulation.now;
    simulation.leaves += bare;
    node_crash(node, g_rand_double_range(simulation.random, 0.2, 6));
    return true;
}

/* How many changes wait to be written. */
static void note_queue(struct node *node)
{
    struct lmn_latency times;

    lmn_latency_init(&times);
    unsigned queued = (unsigned)lmn_kv_client_statistics(node->state, &times);
    lmn_latency_clear(&times);
    simulation.most_queued = MAX(simulation.most_queued, queued);
}

static void node_write(struct node *node)
{
    struct lmn_txn *txn;

    unsigned most = schedule && schedule->writes ? schedule->writes : ~0u;

    if (schedule && schedule->writes)
        note_queue(node);
    for (; most && (txn = lmn_kv_client_dequeue(node->state)); most--) {
        uint64_t revision = 0;
        simulation.transactions++;
        simulation.changes += lmn_txn_operation_count(txn);
        enum lmn_txn_outcome r =
            simulation_send_txn(node, txn, g_rand_double(simulation.random), &revision);
        lmn_txn_complete(txn, r, revision);
    }
}

static void drop_floors(struct lmn_core *core)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, core->cache.jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct lmn_job *job = v;
        job->is_starving = job->is_under_fair_share = false;
    }
}

static void break_guards(struct node *node)
{
    GHashTableIter it;
    gpointer v;

    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_partition *partition = &node->core->partitions[i];
        if (!partition->ownership.is_owned)
            continue;
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *machine = v;
            if (simulation.disabled_guard == GUARD_ACCOUNTED ||
                (simulation.disabled_guard == GUARD_DECLARED_FAILED && node->judged[i]))
                machine->lifecycle.is_inherited = false;
            if (simulation.disabled_guard == GUARD_HEARTBEAT_ORDER)
                machine->agent.incarnation = machine->agent.sequence =
                    machine->agent.heartbeat_sequence = 0;
            if (simulation.disabled_guard == GUARD_PLACEMENT)
                machine->is_spot = false;
            if (simulation.disabled_guard == GUARD_ANTI_AFFINITY)
                for (GList *l = g_hash_table_get_values(node->core->cache.jobs); l;
                     l = l->next)
                    ((struct lmn_job *)l->data)->spec.spreads_over_zones =
                        ((struct lmn_job *)l->data)->spec.requires_one_zone = false;
            for (guint k = 0; k < machine->attempts->len; k++) {
                struct lmn_attempt *attempt =
                    &g_array_index(machine->attempts, struct lmn_attempt, k);
                if (simulation.disabled_guard == GUARD_QUOTA_UNTIL_GONE && attempt->job &&
                    !lmn_job_may_run(node->core, attempt->job))
                    lmn_attempt_uncount(machine, attempt);
                if (simulation.disabled_guard == GUARD_UNCERTAIN_PUSH)
                    attempt->push_is_uncertain = attempt->push_in_flight = false;
                if (simulation.disabled_guard == GUARD_DONE &&
                    attempt->state == LMN_ATTEMPT_RUNNING && attempt->range &&
                    attempt->range->task_states)
                    lmn_task_finished(attempt->range, attempt->index, simulation.clock);
            }
        }
        if (simulation.disabled_guard == GUARD_ONE_WRITE_PER_RANGE) {
            g_hash_table_iter_init(&it, partition->ranges);
            while (g_hash_table_iter_next(&it, NULL, &v))
                ((struct lmn_range *)v)->is_writing = false;
            g_hash_table_iter_init(&it, node->core->cache.jobs);
            while (g_hash_table_iter_next(&it, NULL, &v))
                ((struct lmn_job *)v)->closing_revision = 0;
        }
        lmn_partition_check_ready(node->core, partition, simulation.clock);
    }
    if (simulation.disabled_guard == GUARD_STALE_VIEW)
        node->core->cache.fresh_at = simulation.clock;
}

/* A machine that no record names yet passes for recorded, but not where its record is
 * written. */
static void pass_for_recorded(struct node *node, bool pass)
{
    static const uint64_t pretended = G_MAXUINT64;

    for (int i = 0; i < simulation.layout.nodes &&
                    simulation.disabled_guard == GUARD_MACHINE_RECORDED;
         i++) {
        const GPtrArray *list = node->core->partitions[i].machine_list;
        for (guint k = 0; k < list->len; k++) {
            struct lmn_machine *machine = list->pdata[k];
            if (pass && !machine->record.revision &&
                node->core->partitions[i].ownership.is_owned)
                machine->record.revision = pretended;
            else if (!pass && machine->record.revision == pretended)
                machine->record.revision = 0;
        }
    }
}

static uint32_t steal_from(int victim, const struct lmn_steal_request *request)
{
    uint32_t got = 0;

    for (int k = 0; k < simulation.layout.nodes && !got; k++) {
        struct node *o = &simulation.nodes[k];
        if (node_up(o) && o->core && o->core->partitions[victim].ownership.is_owned &&
            lmn_victim_load(o->core, &o->core->partitions[victim], request))
            got = lmn_victim_transfer(o->core, &o->core->partitions[victim], request,
                                      simulation.clock);
    }
    digest_message("theft", simulation.clock);
    digest_number((uint64_t)request->partition);
    digest_number((uint64_t)victim);
    digest_number(got);
    return got;
}

/* Steals between partitions, wherever their owners are. */
static void node_steal(struct node *node)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_steal_request t;
        uint32_t got = 0;
        lmn_steal_request_init(&t, &node->settings);
        if (!lmn_steal_request_fill(node->core, &node->core->partitions[i], &t,
                                    simulation.clock)) {
            lmn_steal_request_clear(&t);
            continue;
        }
        /* A sample of the others; while faults go on, one. */
        int sample = simulation.calm ? (int)ceil(2 * sqrt(simulation.layout.nodes)) : 1;
        while (sample-- > 0 && !got)
            got = steal_from(
                g_rand_int_range(simulation.random, 0, simulation.layout.nodes), &t);
        lmn_steal_record_result(node->core, &node->core->partitions[i], got,
                                simulation.clock);
        lmn_steal_request_clear(&t);
        simulation.steals += got;
    }
}

static bool ask_for_limit(struct node *o, int victim, int part,
                          const struct lmn_quota_request *want)
{
    bool given = lmn_quota_request_handle(o->core, &o->core->partitions[victim], part,
                                          want, simulation.clock);

    digest_message("limit", simulation.clock);
    digest_number((uint64_t)victim);
    digest_number((uint64_t)part);
    digest_number((uint64_t)want->team);
    digest_real(want->cpus);
    digest_real(want->gpus);
    digest_real(want->least_cpus);
    digest_real(want->least_gpus);
    digest_number(given);
    return given;
}

/* A partition that is short of a team's limit asks the others, as controller/rpc_server.c
 * does. */
static void seek_limits(struct node *node, int part)
{
    struct lmn_partition *partition = &node->core->partitions[part];
    bool any = false, got = false;

    for (int team = 0;
         team < simulation.teams &&
         !lmn_time_before(simulation.clock, partition->quota.next_request_at);
         team++) {
        struct lmn_quota_request want;
        if (!lmn_quota_shortfall(node->core, partition, team, &want))
            continue;
        any = true;
        int first = g_rand_int_range(simulation.random, 0, simulation.layout.nodes);
        for (int i = 0; i < simulation.layout.nodes * simulation.layout.nodes; i++) {
            struct node *o = &simulation.nodes[i % simulation.layout.nodes];
            int victim = (first + i / simulation.layout.nodes) % simulation.layout.nodes;
            if (victim != part && node_reaches_node(node, o) &&
                o->core->partitions[victim].ownership.is_owned)
                got |= ask_for_limit(o, victim, part, &want);
        }
    }
    if (!any)
        return;
    partition->quota.request_interval_s =
        got ? 0.5 : CLAMP(partition->quota.request_interval_s * 2, 0.5, 8);
    partition->quota.next_request_at =
        lmn_time_add(simulation.clock, partition->quota.request_interval_s);
}

/* Parts of the team's limit go to and fro, whatever is under way; on days of several
 * teams, only as owners want them to. */
static void node_quota(struct node *node)
{
    for (int i = 0; i < simulation.layout.nodes; i++) {
        if (schedule || simulation.calm)
            seek_limits(node, i);
        if (simulation.teams == 1 && (schedule || !simulation.calm) &&
            simulation_chance(0.02))
            lmn_quota_transfer_begin(
                node->core, &node->core->partitions[i], 0,
                g_rand_int_range(simulation.random, 0, simulation.layout.nodes),
                g_rand_double_range(simulation.random, 0, simulation.layout.limit), 0);
    }
}

/* The cloud: machines that owners want to be rid of are gone, and come back as new ones.
 */
static void node_cloud(struct node *node)
{
    if (simulation.now < simulation.cloud_down_until)
        return;
    for (int i = 0; i < simulation.layout.nodes; i++) {
        struct lmn_partition *partition = &node->core->partitions[i];
        if (!partition->ownership.is_owned)
            continue;
        GList *all = g_hash_table_get_values(partition->machines);
        for (GList *l = all; l; l = l->next) {
            struct lmn_machine *machine = l->data;
            if (!machine->lifecycle.is_draining || machine->lifecycle.is_terminated ||
                !(machine->lifecycle.drain_at_once || lmn_machine_is_empty(machine)))
                continue;
            struct machine *x = machine_named(machine->name);
            if (x) {
                x->dead = true;
                x->ntasks = 0;
            }
            digest_message("removal", simulation.clock);
            digest_text(machine->name);
            lmn_machine_terminated(node->core, machine, simulation.clock);
        }
        g_list_free(all);
    }
}

void node_crash(struct node *node, double down_s)
{
    simulation.preempted += (unsigned)node->core->counters.preempted;
    simulation.warm += (unsigned)node->core->counters.warm_failovers;
    node->core = NULL; /* left behind: nothing of it is ever used again */
    node->down_until = simulation.now + down_s;
}

void node_step(struct node *node, int i)
{
    simulation.acting = i;
    if (!node_up(node))
        return;
    if (node->ends) {
        node->ends = false;
        if (node->core)
            node_crash(node, g_rand_double_range(simulation.random, 0.2, 5));
        return;
    }
    if (!node->core)
        node_boot(node, i);
    if (simulation.now < node->still_until)
        return;
    pass_for_recorded(node, false);
    if (simulation_fault_chance(simulation.flapping ? 0.004 : 0.001))
        node->still_until =
            simulation.now + g_rand_double_range(simulation.random, 0.5, 12);
    if (simulation_fault_chance(simulation.flapping ? 0.004 : 0.0007))
        node->deaf_until = simulation.now + g_rand_double_range(simulation.random, 5, 40);
    if (simulation_fault_chance(simulation.flapping ? 0.004 : 0.0007))
        node->mute_until = simulation.now + g_rand_double_range(simulation.random, 2, 20);
    if (simulation_fault_chance(
            0.0012)) { /* a crash: memory is gone, its lease runs on */
        node_crash(node, g_rand_double_range(simulation.random, 1, 6));
        return;
    }
    /* A successor's return of a machine ends what the fence guards against: it is tried
     * on days of many long cuts in which the cloud can't be reached either. */
    bool fence = simulation.disabled_guard == GUARD_STALE_VIEW;
    if (simulation_fault_chance(fence ? 0.004 : 0.001)) {
        node->cut_until =
            simulation.now + g_rand_double_range(simulation.random, fence ? 20 : 1, 40);
        if (fence)
            simulation.cloud_down_until = node->cut_until;
        /* Often with its workers: a zone by itself. */
        for (int k = 0; k < simulation.layout.machines; k++)
            if (simulation.machines[k].node == i && simulation_chance(0.7)) {
                simulation.machines[k].island = i;
                simulation.machines[k].island_until = node->cut_until;
            }
        /* Then the machines of other zones may be silent to it, and alive elsewhere. */
        if (simulation_chance(0.5))
            node->zone_until = node->cut_until;
    }
    bool cut = !node_reaches_store(node);
    if (!cut) {
        node_lease(node);
        if (simulation_chance(0.7))
            node_follow(node);
    }
    node_send_probes(node, i);
    if (!cut)
        node_announce(node);
    if (!cut && node->core->cache.is_synced)
        node_hold(node);
    if (simulation.standbys && simulation_fault_chance(0.0015))
        lmn_shutdown_begin(node->core, simulation.clock);
    if (!cut && node_leave(node))
        return;
    if (simulation.disabled_guard)
        break_guards(node);
    pass_for_recorded(node, true);
    double wall = simulation.now;
    lmn_update_job_order(node->core, wall);
    if (simulation.disabled_guard == GUARD_FAIR_SHARE)
        drop_floors(node->core);
    for (int i = 0;
         i < node->core->partition_count &&
         node->core->scheduling.last_triage_s == node->core->scheduling.wall_clock_s;
         i++)
        lmn_update_reservations(node->core, &node->core->partitions[i], simulation.clock);
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
    pass_for_recorded(node, false);
    lmn_range_writer_flush(node->core, simulation.clock);
    pass_for_recorded(node, true);
    if (!cut)
        node_write(node);
    else
        for (struct lmn_txn *txn; (txn = lmn_kv_client_dequeue(node->state));) {
            digest_transaction("refusal", simulation.clock, txn);
            lmn_txn_complete(txn, LMN_TXN_REJECTED, 0);
        }
    node_replicate(node, i, cut);
    node_send_deferred(node);
    node_call_workers(node);
    node_steal(node);
    node_quota(node);
    node_cloud(node);
}
