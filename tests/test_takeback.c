/* A controller acquires a partition again that it owned last: which state it keeps when
 * it loses the partition, when that state may be used, and which member may claim first.
 * Also: machines do not count as silent for a time in which this controller itself
 * answered no heartbeats. */
#include "util/log.h"
#include "protocol/wire.h"
#include "partition/owner.h"
#include "partition/ownership.h"
#include "partition/partition.h"
#include "partition/partition_claim.h"
#include "partition/maintenance.h"
#include "partition/heartbeat.h"
#include "partition/worker_probe.h"
#include "partition/worker_push.h"
#include "replication/replica.h"
#include "state/core.h"
#include "state/fencing_token.h"
#include "state/watch_cache.h"
#include "state/task_ledger.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

/* SELF and PREFERRED_OWNER are member indices. */
enum { MACHINES = 4, TASKS = 6, SELF = 1, PREFERRED_OWNER = 0 };

enum { MACHINE_NAME_SIZE = 16 }; /* bytes */

static struct lmn_settings settings;
static struct lmn_team team;
static struct lmn_core *core;
static struct lmn_partition *partition_0;
static struct timespec now;
static uint64_t last_revision;

/* This controller is the member nb. The preferred owner of partition 0 is na. */
static int setup(void **state)
{
    (void)state;
    memset(&settings, 0, sizeof settings);
    g_strlcpy(settings.node_name, "nb", LMN_NAME_SIZE);
    g_strlcpy(settings.members[0].name, "na", LMN_NAME_SIZE);
    g_strlcpy(settings.members[1].name, "nc", LMN_NAME_SIZE);
    settings.member_count = 2;
    settings.partition_count = 3;
    settings.heartbeat_s = 1;
    settings.lease_s = 8;
    settings.cancel_s = 30;
    settings.state_requests_per_s = settings.state_writes_per_s = 1e6;
    settings.max_value_kb = 16;
    settings.max_txn_operations = 12;
    settings.teams = &team;
    g_strlcpy(settings.teams[0].name, "x", LMN_NAME_SIZE);
    settings.teams[0].cpus_max = 100;
    settings.team_count = 1;
    now = (struct timespec){1000, 0};
    last_revision = 0;
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "t", .cpus = 8, .zone_count = 1};
    core->cloud.machine_types_known = true;
    core->cache.is_synced = true;
    core->cache.fresh_at = now;
    core->lease.id = 1;
    partition_0 = &core->partitions[0];
    assert_int_equal(lmn_member_index(&core->members, "na"), PREFERRED_OWNER);
    assert_int_equal(lmn_member_index(&core->members, "nb"), SELF);
    return 0;
}

static int teardown(void **state)
{
    struct lmn_kv_client *client = core->kv_client;

    (void)state;
    lmn_core_free(core);
    lmn_kv_client_free(client);
    return 0;
}

/* Applies a change of a record that the watch cache shows, and frees the value; NULL: the
 * record was removed. */
static void apply_record(const char *key, GByteArray *value)
{
    struct lmn_cbor_document document = {0};

    if (value)
        assert_int_equal(lmn_cbor_parse(&document, value->data, value->len), 0);
    lmn_watch_cache_apply(core, key, &document, value ? lmn_cbor_root(&document) : NULL,
                          ++last_revision, now);
    if (!value)
        return;
    lmn_cbor_free(&document);
    g_byte_array_unref(value);
}

/* The watch cache shows that the member has claimed partition 0, and as many tokens. */
static void apply_claim_of_tokens(const char *member_name, uint64_t lease, uint64_t epoch,
                                  uint64_t token_raises)
{
    GByteArray *owner_record = g_byte_array_new(), *epoch_record = g_byte_array_new();

    lmn_cbor_put_map(owner_record, token_raises ? 5 : 4);
    lmn_cbor_put_text(owner_record, "node"), lmn_cbor_put_text(owner_record, member_name);
    lmn_cbor_put_text(owner_record, "lease"), lmn_cbor_put_uint(owner_record, lease);
    lmn_cbor_put_text(owner_record, "term"), lmn_cbor_put_uint(owner_record, epoch);
    lmn_cbor_put_text(owner_record, "stream"), lmn_cbor_put_uint(owner_record, 0);
    if (token_raises) {
        lmn_cbor_put_text(owner_record, "raises");
        lmn_cbor_put_uint(owner_record, token_raises);
    }
    apply_record("o/0", owner_record);
    lmn_cbor_put_uint(epoch_record, epoch);
    apply_record("t/0", epoch_record);
    lmn_watch_cache_begin_ownerships(core, now);
}

/* The same for a claim by a version that reserves one token. */
static void apply_claim(const char *member_name, uint64_t lease, uint64_t epoch)
{
    apply_claim_of_tokens(member_name, lease, epoch, 0);
}

/* The watch cache shows the member's record, and the member answers this controller. */
static void bring_member_up(int member_index)
{
    const struct lmn_member_health healthy = {0, 0, 0};

    lmn_member_apply_record(&core->members, member_index, ++last_revision,
                            50 + (uint64_t)member_index, now);
    if (member_index != SELF)
        lmn_member_record_probe_reply(&core->members, member_index, &healthy, now, now);
}

/* The number in the name makes the machine belong to partition 0 of 3. */
static void format_machine_name(int machine_number, char name[MACHINE_NAME_SIZE])
{
    g_snprintf(name, MACHINE_NAME_SIZE, "host-%d", 3 * machine_number);
}

static struct lmn_machine *find_machine(int machine_number)
{
    char name[MACHINE_NAME_SIZE];

    format_machine_name(machine_number, name);
    return g_hash_table_lookup(partition_0->machines, name);
}

static const struct lmn_range *find_range(void)
{
    return g_hash_table_lookup(partition_0->ranges, "r/0/run-000001/0");
}

static void put_machine_records(void)
{
    GByteArray *block = g_byte_array_new();

    lmn_cbor_put_array(block, MACHINES);
    for (int i = 0; i < MACHINES; i++) {
        char name[MACHINE_NAME_SIZE];
        format_machine_name(i, name);
        lmn_cbor_put_array(block, 5);
        lmn_cbor_put_text(block, name);
        lmn_cbor_put_text(block, "10.0.0.1:9000");
        lmn_cbor_put_text(block, "t");
        lmn_cbor_put_text(block, "z");
        lmn_cbor_put_bool(block, false);
    }
    apply_record("m/0/0", block);
}

/* This controller acquires partition 0 in the epoch by a cold failover, with recorded
 * machines and an active job. */
static void acquire_cold(uint64_t epoch)
{
    struct lmn_job_spec spec = {.id = "run-000001",
                                .class_name = (char *)"c",
                                .team = (char *)"x",
                                .image = (char *)"img",
                                .tasks = TASKS,
                                .cpus = 2,
                                .deadline_s = -1};
    const struct lmn_range range = {.first = 0, .end = TASKS};
    uint8_t none_done = 0;

    put_machine_records();
    apply_record("j/run-000001", lmn_job_record_encode(&spec, LMN_JOB_ACTIVE, 1, 1000));
    apply_record("r/0/run-000001/0", lmn_range_record_encode(&range, &none_done));
    apply_claim("nb", 1, epoch);
    assert_true(partition_0->ownership.is_owned && !partition_0->ownership.is_warm);
}

/* Every machine has reported in the present epoch, so the partition becomes ready. */
static void account_for_machines(void)
{
    for (int i = 0; i < MACHINES; i++) {
        struct lmn_machine *machine = find_machine(i);
        machine->agent.has_reported = machine->lifecycle.is_accounted = true;
        machine->agent.last_heartbeat_at = now;
        machine->agent.incarnation = 7;
        machine->type = &core->cloud.machine_types.types[0];
    }
    lmn_partition_check_ready(core, partition_0, now);
    assert_true(partition_0->ownership.is_ready);
}

/* Adds an attempt of the task to the machine. */
static struct lmn_attempt *start_attempt(struct lmn_machine *machine, uint32_t task_index,
                                         uint64_t number)
{
    struct lmn_attempt attempt = {
        .index = task_index, .number = number, .started_at = now};

    g_strlcpy(attempt.job_id, "run-000001", sizeof attempt.job_id);
    attempt.job = g_hash_table_lookup(core->cache.jobs, attempt.job_id);
    attempt.range = g_hash_table_lookup(partition_0->ranges, "r/0/run-000001/0");
    attempt.range->task_states[task_index] = LMN_TASK_STARTED;
    attempt.range->started_count++;
    lmn_attempt_count(machine, &attempt);
    g_array_append_val(machine->attempts, attempt);
    return &g_array_index(machine->attempts, struct lmn_attempt,
                          machine->attempts->len - 1);
}

/* This controller acquires partition 0 in epoch 4, starts attempts that are in different
 * states, and loses the partition when its lease expires. */
static void lose_partition_with_attempts(void)
{
    acquire_cold(4);
    account_for_machines();
    start_attempt(find_machine(0), 0, 100)->state = LMN_ATTEMPT_RUNNING;
    /* The start command was pushed, and there is no response yet. */
    start_attempt(find_machine(0), 1, 101)->push_in_flight = true;
    /* The start command was pushed without a response. */
    start_attempt(find_machine(1), 2, 102)->push_is_uncertain = true;
    /* The start command is in a reply that waits for the standby's acknowledgement. */
    start_attempt(find_machine(1), 3, 103)->log_position = 9;
    /* The task is done, which is not recorded in the key-value store yet. */
    struct lmn_attempt *done_attempt = start_attempt(find_machine(2), 4, 104);
    done_attempt->state = LMN_ATTEMPT_ENDED;
    done_attempt->is_done = true;
    find_machine(1)->push.is_in_flight = true;
    find_machine(3)->lifecycle.is_terminated = true;
    apply_record("o/0", NULL);
    assert_false(partition_0->ownership.is_owned);
}

static void own_replica_names_every_attempt(void **state)
{
    (void)state;
    lose_partition_with_attempts();
    assert_true(lmn_replica_own_is_latest(partition_0));
    assert_int_equal(find_machine(0)->attempts->len, 0);
    core->lease.id = 2;
    apply_claim("nb", 2, 5);
    assert_true(partition_0->ownership.is_owned && partition_0->ownership.is_warm &&
                partition_0->ownership.inherited_may_start &&
                !partition_0->ownership.is_ready);
    assert_int_equal(core->counters.warm_failovers, 1);
    assert_null(partition_0->replication.replica);
    for (int i = 0; i < TASKS; i++)
        assert_int_equal(find_range()->task_states[i],
                         i < 5 ? LMN_TASK_STARTED : LMN_TASK_QUEUED);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(find_machine(i)->agent.incarnation, 7);
        assert_false(find_machine(i)->lifecycle.is_accounted);
        const GArray *attempts = find_machine(i)->attempts;
        for (guint k = 0; k < attempts->len; k++)
            assert_true(g_array_index(attempts, struct lmn_attempt, k).from_replica);
    }
    assert_true(find_machine(3)->lifecycle.is_terminated);
    /* 5 attempts of 2 CPUs each count against the team's quota limit. */
    assert_true(partition_0->quota.used_cpus[0] == 10);
}

/* A worker's report that lists no tasks; freed by the caller. */
static GByteArray *encode_report(const struct lmn_machine *machine, uint64_t incarnation,
                                 uint64_t fencing_token)
{
    GByteArray *report = g_byte_array_new();

    lmn_cbor_put_map(report, 9);
    lmn_cbor_put_text(report, WIRE_MACHINE), lmn_cbor_put_text(report, machine->name);
    lmn_cbor_put_text(report, WIRE_ADDRESS), lmn_cbor_put_text(report, machine->address);
    lmn_cbor_put_text(report, WIRE_MACHINE_TYPE), lmn_cbor_put_text(report, "t");
    lmn_cbor_put_text(report, WIRE_ZONE), lmn_cbor_put_text(report, "z");
    lmn_cbor_put_text(report, WIRE_SPOT), lmn_cbor_put_bool(report, false);
    lmn_cbor_put_text(report, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(report, incarnation);
    lmn_cbor_put_text(report, WIRE_SEQUENCE), lmn_cbor_put_uint(report, 1);
    lmn_cbor_put_text(report, WIRE_FENCING_TOKEN),
        lmn_cbor_put_uint(report, fencing_token);
    lmn_cbor_put_text(report, WIRE_TASKS), lmn_cbor_put_array(report, 0);
    return report;
}

/* The outcomes of replies, pushes and probes of the earlier epoch that arrive in the new
 * epoch must not remove attempts of the new epoch. */
static void late_outcomes_remove_no_attempts(void **state)
{
    struct lmn_deferred_starts deferred_starts = {
        .partition = 0, .epoch = 4, .from_position = 8, .log_position = 9};
    (void)state;

    lose_partition_with_attempts();
    core->lease.id = 2;
    apply_claim("nb", 2, 5);
    GByteArray *reply = g_byte_array_new();
    GByteArray *answer = encode_report(find_machine(1), 7, 4);
    g_strlcpy(deferred_starts.machine, find_machine(1)->name,
              sizeof deferred_starts.machine);
    lmn_heartbeat_withhold_starts(core, &deferred_starts, reply, now);
    lmn_worker_client_push_done(core, find_machine(0)->name, LMN_HTTP_NOT_SENT, NULL,
                                now);
    lmn_worker_client_push_done(core, find_machine(1)->name, LMN_HTTP_NOT_SENT, NULL,
                                now);
    lmn_worker_client_probe_done(core, find_machine(1)->name, 4, 200, answer, now);
    assert_int_equal(find_machine(0)->attempts->len, 2);
    assert_int_equal(find_machine(1)->attempts->len, 2);
    assert_false(find_machine(1)->lifecycle.is_accounted);
    g_byte_array_unref(reply);
    g_byte_array_unref(answer);
}

/* The worker's lease expired, so it has a new incarnation and refuses the probe with
 * status 409. The refusal names the new incarnation, which is probed at once; the refusal
 * alone does not show which tasks are on the machine. */
static void new_worker_incarnation_is_probed_at_once(void **state)
{
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    (void)state;

    lose_partition_with_attempts();
    core->lease.id = 2;
    apply_claim("nb", 2, 5);
    struct lmn_machine *machine = find_machine(1);
    GByteArray *refusal = encode_report(machine, 8, 4);
    GByteArray *answer = encode_report(machine, 8, 5);
    lmn_worker_client_probe_done(core, machine->name, 5, 409, refusal, now);
    assert_int_equal(machine->agent.incarnation, 8);
    assert_int_equal(machine->attempts->len, 2);
    assert_false(machine->lifecycle.is_accounted);
    bool is_probed = false;
    while (lmn_worker_client_next_probe(core, 0, 1, name, address, &epoch, now))
        is_probed = is_probed || !strcmp(name, machine->name);
    assert_true(is_probed);
    /* The probe of that incarnation is refused as well: the next probe is not sent at
     * once, and accepts any incarnation. */
    lmn_worker_client_probe_done(core, machine->name, 5, 409, refusal, now);
    assert_int_equal(machine->agent.incarnation, 0);
    assert_true(lmn_time_before(now, machine->agent.next_probe_at));
    lmn_worker_client_probe_done(core, machine->name, 5, 200, answer, now);
    assert_true(machine->lifecycle.is_accounted);
    assert_int_equal(machine->attempts->len, 0);
    g_byte_array_unref(refusal);
    g_byte_array_unref(answer);
}

/* A thread of the worker client that waits for a dead machine's response holds up the
 * probes of its other machines: threads that have none left send those. */
static void idle_threads_probe_machines_of_blocked_ones(void **state)
{
    enum { THREADS = 2 };
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    unsigned own_probes = 0;
    (void)state;

    acquire_cold(4);
    while (lmn_worker_client_next_probe(core, 0, THREADS, name, address, &epoch, now)) {
        assert_int_equal(g_str_hash(name) % THREADS, 0);
        own_probes++;
    }
    assert_true(own_probes > 0 && own_probes < MACHINES);
    now = lmn_time_add(now, 0.6);
    for (unsigned i = own_probes; i < MACHINES; i++) {
        assert_true(
            lmn_worker_client_next_probe(core, 0, THREADS, name, address, &epoch, now));
        assert_int_equal(g_str_hash(name) % THREADS, 1);
    }
    assert_false(
        lmn_worker_client_next_probe(core, 0, THREADS, name, address, &epoch, now));
}

/* The partition is lost again before any machine has reported: the attempts are kept. */
static void own_replica_survives_second_loss(void **state)
{
    (void)state;
    lose_partition_with_attempts();
    core->lease.id = 2;
    apply_claim("nb", 2, 5);
    apply_record("o/0", NULL);
    core->lease.id = 3;
    apply_claim("nb", 3, 6);
    assert_true(partition_0->ownership.is_warm);
    assert_int_equal(find_range()->started_count, 5);
}

static void own_replica_is_not_used_after_another_owner(void **state)
{
    (void)state;
    lose_partition_with_attempts();
    apply_claim("nc", 9, 5);
    assert_false(lmn_replica_own_is_latest(partition_0));
    apply_record("o/0", NULL);
    core->lease.id = 2;
    apply_claim("nb", 2, 6);
    assert_true(partition_0->ownership.is_owned && !partition_0->ownership.is_warm &&
                !partition_0->ownership.inherited_may_start);
    assert_int_equal(find_range()->started_count, 0);
}

/* A delayed claim of this controller under its earlier lease begins an epoch, too. The
 * check can't know that no controller started tasks in that epoch. */
static void own_replica_is_not_used_after_delayed_claim(void **state)
{
    (void)state;
    lose_partition_with_attempts();
    core->lease.id = 3;
    apply_claim("nb", 2, 5);
    assert_false(partition_0->ownership.is_owned);
    apply_record("o/0", NULL);
    apply_claim("nb", 3, 6);
    assert_true(partition_0->ownership.is_owned && !partition_0->ownership.is_warm);
}

/* After a cold failover, until all machines have reported, the tasks that a previous
 * owner started are not known, so the state is not kept as a replica. */
static void own_replica_is_not_kept_before_partition_is_ready(void **state)
{
    (void)state;
    acquire_cold(4);
    apply_record("o/0", NULL);
    assert_null(partition_0->replication.replica);
    core->lease.id = 2;
    apply_claim("nb", 2, 5);
    assert_true(partition_0->ownership.is_owned && !partition_0->ownership.is_warm);
}

/* Controllers have little memory: a replica that can't be used any more is freed. */
static void outdated_replica_is_freed(void **state)
{
    (void)state;
    lose_partition_with_attempts();
    lmn_replica_drop_outdated(core, partition_0);
    assert_non_null(partition_0->replication.replica);
    apply_claim("nc", 9, 5);
    lmn_replica_drop_outdated(core, partition_0);
    assert_null(partition_0->replication.replica);
}

/* The state that the new owner replicates to this controller replaces its own replica. */
static void stream_of_new_owner_replaces_own_replica(void **state)
{
    struct lmn_replication_batch *batch = lmn_replication_batch_new();
    (void)state;

    lose_partition_with_attempts();
    apply_claim("nc", 9, 5);
    batch->epoch = 5;
    batch->stream = 5 << 20 | 1;
    assert_int_equal(lmn_replica_apply(core, batch, now), LMN_REPLICA_APPLIED);
    assert_false(partition_0->replication.replica->is_own_state);
    lmn_replication_batch_free(batch);
}

/* --- which member may claim first --- */

static void last_owner_may_claim_at_once(void **state)
{
    (void)state;
    lose_partition_with_attempts();
    /* This controller is not the preferred owner, and has just acquired its lease. */
    core->lease.id = 2;
    core->lease.acquired_at = core->cache.synced_at = now;
    bring_member_up(PREFERRED_OWNER);
    assert_true(lmn_partition_should_claim(core, partition_0, now));
    core->shutdown.is_requested = true;
    assert_false(lmn_partition_should_claim(core, partition_0, now));
}

/* Makes nc the owner of the partition whose preferred owner is this controller. */
static struct lmn_partition *make_partition_owned_by_nc(void)
{
    struct lmn_partition *partition = &core->partitions[SELF];
    GByteArray *owner_record = g_byte_array_new();

    lmn_cbor_put_map(owner_record, 2);
    lmn_cbor_put_text(owner_record, "node"), lmn_cbor_put_text(owner_record, "nc");
    lmn_cbor_put_text(owner_record, "lease"), lmn_cbor_put_uint(owner_record, 9);
    apply_record("o/1", owner_record);
    return partition;
}

/* The last owner nc has 1.5 s to claim its partition again before other members may. */
static void others_may_claim_after_a_wait(void **state)
{
    struct lmn_partition *partition = make_partition_owned_by_nc();
    (void)state;

    bring_member_up(lmn_member_index(&core->members, "nc"));
    apply_record("o/1", NULL);
    assert_false(lmn_partition_should_claim(core, partition, now));
    assert_false(lmn_partition_should_claim(core, partition, lmn_time_add(now, 1.4)));
    assert_true(lmn_partition_should_claim(core, partition, lmn_time_add(now, 1.6)));
}

/* Other members do not wait for a last owner that has never answered a probe, or does not
 * answer one: it has probably crashed. */
static void others_may_claim_at_once_if_last_owner_is_silent(void **state)
{
    struct lmn_partition *partition = make_partition_owned_by_nc();
    int nc = lmn_member_index(&core->members, "nc");
    (void)state;

    apply_record("o/1", NULL);
    assert_true(lmn_partition_should_claim(core, partition, now));
    bring_member_up(nc);
    assert_false(lmn_partition_should_claim(core, partition, now));
    struct timespec later = lmn_time_add(now, 0.5);
    lmn_member_record_probe_timeout(&core->members, nc, later, lmn_time_add(later, 0.4));
    assert_true(lmn_partition_should_claim(core, partition, lmn_time_add(later, 0.4)));
}

/* --- machines that are silent because this controller did not answer them --- */

/* Simulates an interval, with maintenance rounds every 0.25 s.
 * @param is_store_down the watch cache is not brought up to date
 * @param reports the machines send heartbeats whenever this controller answers them */
static void run_for(double duration_s, bool is_store_down, bool reports)
{
    for (double elapsed_s = 0; elapsed_s < duration_s; elapsed_s += 0.25) {
        now = lmn_time_add(now, 0.25);
        lmn_members_tick(&core->members, 0, now);
        if (!is_store_down) {
            core->cache.fresh_at = now;
            lmn_members_record_watch(&core->members, now);
        }
        for (int i = 0;
             reports && i < MACHINES && !lmn_watch_cache_is_too_stale(core, now); i++)
            find_machine(i)->agent.last_heartbeat_at = now;
        lmn_maintenance_run(core, now);
    }
}

/* The key-value store is down for longer than cancel_s, so this controller refuses every
 * heartbeat. That must not count as silence of the machines. */
static void refused_machines_are_not_silent(void **state)
{
    (void)state;
    acquire_cold(4);
    account_for_machines();
    run_for(2 * settings.cancel_s, true, true);
    run_for(1, false, false);
    assert_true(core->members.health.silent_machine_share < 0.1);
    assert_int_equal(partition_0->zone_cuts->len, 0);
    for (int i = 0; i < MACHINES; i++) {
        /* The worker's lease has expired all the same. */
        assert_true(find_machine(i)->agent.lease_expired);
        assert_false(find_machine(i)->lifecycle.is_draining);
    }
    /* The machines have had the time to send a heartbeat again, and have not. */
    run_for(10, false, false);
    assert_true(core->members.health.silent_machine_share > 0.9);
    assert_int_equal(partition_0->zone_cuts->len, 1);
}

/* This controller's process was suspended for 6 s and has received no heartbeats. */
static void machines_are_not_silent_after_process_stall(void **state)
{
    (void)state;
    acquire_cold(4);
    account_for_machines();
    run_for(4, false, true);
    now = lmn_time_add(now, 6);
    run_for(1, true, false);
    run_for(0.5, false, false);
    assert_true(core->members.health.silent_machine_share < 0.1);
    assert_int_equal(partition_0->zone_cuts->len, 0);
    /* The machines are probed at once all the same: they may have failed meanwhile. */
    assert_true(partition_0->ownership.needs_probing);
}

/* After a stall, a machine that does not answer a probe counts as silent at once. */
static void machines_that_answer_no_probe_are_silent_after_stall(void **state)
{
    (void)state;
    acquire_cold(4);
    account_for_machines();
    run_for(4, false, true);
    now = lmn_time_add(now, 4);
    run_for(0.5, true, false);
    for (int i = 0; i < MACHINES; i++)
        find_machine(i)->agent.unanswered_probes = 1;
    run_for(0.25, false, false);
    assert_int_equal(partition_0->zone_cuts->len, 1);
}

/* Guards against an owner that can never push starts, after an older version transferred
 * the partition to it. */
static void tokens_are_claimed_after_a_transfer_by_an_older_version(void **state)
{
    const double wait_s = 15;
    int target;
    (void)state;

    acquire_cold(5);
    bring_member_up(SELF);
    account_for_machines();
    start_attempt(find_machine(0), 1, 101);
    now = lmn_time_add(now, wait_s - 1);
    core->cache.fresh_at = now;
    assert_null(lmn_ownership_transfer(core, 0, &target, now));
    now = lmn_time_add(now, 1);
    core->cache.fresh_at = now;
    struct lmn_txn *txn = lmn_ownership_transfer(core, 0, &target, now);
    assert_non_null(txn);
    lmn_txn_free(txn);
    assert_int_equal(target, SELF);
    apply_claim_of_tokens("nb", 1, lmn_next_epoch(5), LMN_TOKEN_RAISES);
    assert_true(partition_0->ownership.is_owned && partition_0->ownership.is_warm);
    assert_int_equal(partition_0->ownership.token_raises, LMN_TOKEN_RAISES);
    assert_int_equal(find_machine(0)->attempts->len, 1);
    assert_int_equal(lmn_machine_token(find_machine(0)), 6);
    account_for_machines();
    now = lmn_time_add(now, wait_s);
    core->cache.fresh_at = now;
    assert_null(lmn_ownership_transfer(core, 0, &target, now));
}

int main(void)
{
    lmn_log_level = LMN_LOG_ERROR;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(own_replica_names_every_attempt, setup, teardown),
        cmocka_unit_test_setup_teardown(
            tokens_are_claimed_after_a_transfer_by_an_older_version, setup, teardown),
        cmocka_unit_test_setup_teardown(late_outcomes_remove_no_attempts, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(new_worker_incarnation_is_probed_at_once, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(idle_threads_probe_machines_of_blocked_ones,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(own_replica_survives_second_loss, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(own_replica_is_not_used_after_another_owner,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(own_replica_is_not_used_after_delayed_claim,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(own_replica_is_not_kept_before_partition_is_ready,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(outdated_replica_is_freed, setup, teardown),
        cmocka_unit_test_setup_teardown(stream_of_new_owner_replaces_own_replica, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(last_owner_may_claim_at_once, setup, teardown),
        cmocka_unit_test_setup_teardown(others_may_claim_after_a_wait, setup, teardown),
        cmocka_unit_test_setup_teardown(others_may_claim_at_once_if_last_owner_is_silent,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(refused_machines_are_not_silent, setup, teardown),
        cmocka_unit_test_setup_teardown(machines_are_not_silent_after_process_stall,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(
            machines_that_answer_no_probe_are_silent_after_stall, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
