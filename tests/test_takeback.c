/* An owner takes its own partition back: what it keeps when it loses it, when that may be
 * used, and who claims first. And what a machine's silence says after a spell in which
 * the node itself answered nobody. */
#include "util/log.h"
#include "protocol/wire.h"
#include "partition/owner.h"
#include "partition/partition.h"
#include "partition/partition_claim.h"
#include "partition/maintenance.h"
#include "partition/heartbeat.h"
#include "partition/worker_probe.h"
#include "partition/worker_push.h"
#include "replication/replica.h"
#include "state/core.h"
#include "state/watch_cache.h"
#include "state/task_ledger.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

enum { MACHINES = 4, TASKS = 6, ME = 1, HOLDER = 0 };

static struct lmn_settings cfg;
static struct lmn_team team;
static struct lmn_core *core;
static struct lmn_partition *part;
static struct timespec now;
static uint64_t rev;

/* This node is nb: partition 0 is usually na's. */
static int setup(void **state)
{
    (void)state;
    memset(&cfg, 0, sizeof cfg);
    g_strlcpy(cfg.node_name, "nb", LMN_NAME_SIZE);
    g_strlcpy(cfg.members[0].name, "na", LMN_NAME_SIZE);
    g_strlcpy(cfg.members[1].name, "nc", LMN_NAME_SIZE);
    cfg.member_count = 2;
    cfg.partition_count = 3;
    cfg.heartbeat_s = 1;
    cfg.lease_s = 8;
    cfg.cancel_s = 30;
    cfg.state_requests_per_s = cfg.state_writes_per_s = 1e6;
    cfg.max_value_kb = 16;
    cfg.max_txn_operations = 12;
    cfg.teams = &team;
    g_strlcpy(cfg.teams[0].name, "x", LMN_NAME_SIZE);
    cfg.teams[0].cpus_max = 100;
    cfg.team_count = 1;
    now = (struct timespec){1000, 0};
    rev = 0;
    core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "t", .cpus = 8, .zone_count = 1};
    core->cloud.machine_types_known = true;
    core->cache.is_synced = true;
    core->cache.fresh_at = now;
    core->lease.id = 1;
    part = &core->partitions[0];
    assert_int_equal(lmn_member_index(&core->members, "na"), HOLDER);
    assert_int_equal(lmn_member_index(&core->members, "nb"), ME);
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

/* NULL: the key goes. */
static void put(const char *key, GByteArray *v)
{
    struct lmn_cbor_document d = {0};

    if (v)
        assert_int_equal(lmn_cbor_parse(&d, v->data, v->len), 0);
    lmn_watch_cache_apply(core, key, &d, v ? lmn_cbor_root(&d) : NULL, ++rev, now);
    if (!v)
        return;
    lmn_cbor_free(&d);
    g_byte_array_unref(v);
}

static void claimed(const char *node, uint64_t lease, uint64_t epoch)
{
    GByteArray *b = g_byte_array_new(), *t = g_byte_array_new();

    lmn_cbor_put_map(b, 4);
    lmn_cbor_put_text(b, "node"), lmn_cbor_put_text(b, node);
    lmn_cbor_put_text(b, "lease"), lmn_cbor_put_uint(b, lease);
    lmn_cbor_put_text(b, "term"), lmn_cbor_put_uint(b, epoch);
    lmn_cbor_put_text(b, "stream"), lmn_cbor_put_uint(b, 0);
    put("o/0", b);
    lmn_cbor_put_uint(t, epoch);
    put("t/0", t);
    lmn_watch_cache_begin_ownerships(core, now);
}

static void member_is_up(int member_index)
{
    struct lmn_member_health well = {0, 0, 0};

    lmn_member_apply_record(&core->members, member_index, ++rev,
                            50 + (uint64_t)member_index, now);
    if (member_index != ME)
        lmn_member_record_probe_reply(&core->members, member_index, &well, now, now);
}

static struct lmn_machine *machine(int i)
{
    char name[16];

    g_snprintf(name, sizeof name, "host-%d", 3 * i);
    return g_hash_table_lookup(part->machines, name);
}

static const struct lmn_range *range(void)
{
    return g_hash_table_lookup(part->ranges, "r/0/run-000001/0");
}

/* The partition is ours, cold, by the term; its machines are recorded. */
static void own_cold(uint64_t epoch)
{
    struct lmn_job_spec spec = {.id = "run-000001",
                                .class_name = (char *)"c",
                                .team = (char *)"x",
                                .image = (char *)"img",
                                .tasks = TASKS,
                                .cpus = 2,
                                .deadline_s = -1};
    struct lmn_range r = {.first = 0, .end = TASKS};
    uint8_t done = 0;
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_array(b, MACHINES);
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "host-%d", 3 * i);
        lmn_cbor_put_array(b, 5);
        lmn_cbor_put_text(b, name), lmn_cbor_put_text(b, "10.0.0.1:9000"),
            lmn_cbor_put_text(b, "t");
        lmn_cbor_put_text(b, "z"), lmn_cbor_put_bool(b, false);
    }
    put("m/0/0", b);
    put("j/run-000001", lmn_job_record(&spec, LMN_JOB_ACTIVE, 1, 1000));
    put("r/0/run-000001/0", lmn_range_record(&r, &done));
    claimed("nb", 1, epoch);
    assert_true(part->ownership.is_owned && !part->ownership.is_warm);
}

/* All machines have spoken: starts are known from now on. */
static void account(void)
{
    for (int i = 0; i < MACHINES; i++) {
        struct lmn_machine *m = machine(i);
        m->agent.has_reported = m->lifecycle.is_accounted = true;
        m->agent.last_heartbeat_at = now;
        m->agent.incarnation = 7;
        m->type = &core->cloud.machine_types.types[0];
    }
    lmn_partition_check_ready(core, part, now);
    assert_true(part->ownership.is_ready);
}

static struct lmn_attempt *start(struct lmn_machine *machine, uint32_t index,
                                 uint64_t number)
{
    struct lmn_attempt a = {.index = index, .number = number, .started_at = now};

    g_strlcpy(a.job_id, "run-000001", sizeof a.job_id);
    a.job = g_hash_table_lookup(core->cache.jobs, a.job_id);
    a.range = g_hash_table_lookup(part->ranges, "r/0/run-000001/0");
    a.range->task_states[index] = LMN_TASK_STARTED;
    a.range->started_count++;
    lmn_attempt_count(machine, &a);
    g_array_append_val(machine->attempts, a);
    return &g_array_index(machine->attempts, struct lmn_attempt,
                          machine->attempts->len - 1);
}

/* Attempts of each kind, then the end of the lease. */
static void lose_with_attempts(void)
{
    own_cold(4);
    account();
    start(machine(0), 0, 100)->state = LMN_ATTEMPT_RUNNING;
    start(machine(0), 1, 101)->push_in_flight = true;    /* a call that is under way */
    start(machine(1), 2, 102)->push_is_uncertain = true; /* one without an answer */
    start(machine(1), 3, 103)->log_position = 9;         /* an answer that is held back */
    struct lmn_attempt *attempt = start(machine(2), 4, 104); /* ended, not recorded yet */
    attempt->state = LMN_ATTEMPT_ENDED;
    attempt->is_done = true;
    machine(1)->push.is_in_flight = true;
    machine(3)->lifecycle.is_terminated = true;
    put("o/0", NULL);
    assert_false(part->ownership.is_owned);
}

static void its_own_state_is_a_whole_copy(void **state)
{
    (void)state;
    lose_with_attempts();
    assert_true(lmn_replica_own_is_latest(part));
    assert_int_equal(machine(0)->attempts->len, 0);
    core->lease.id = 2;
    claimed("nb", 2, 5);
    assert_true(part->ownership.is_owned && part->ownership.is_warm &&
                part->ownership.inherited_may_start && !part->ownership.is_ready);
    assert_int_equal(core->counters.warm_failovers, 1);
    assert_null(part->replication.replica);
    for (int i = 0; i < TASKS; i++)
        assert_int_equal(range()->task_states[i],
                         i < 5 ? LMN_TASK_STARTED : LMN_TASK_QUEUED);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(machine(i)->agent.incarnation, 7);
        assert_false(machine(i)->lifecycle.is_accounted);
        for (guint k = 0; k < machine(i)->attempts->len; k++)
            assert_true(
                g_array_index(machine(i)->attempts, struct lmn_attempt, k).from_replica);
    }
    assert_true(machine(3)->lifecycle.is_terminated);
    /* The team's limit counts each of them. */
    assert_true(part->quota.used_cpus[0] == 10);
}

static GByteArray *report(const struct lmn_machine *machine, uint64_t session,
                          uint64_t token)
{
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_map(b, 9);
    lmn_cbor_put_text(b, WIRE_MACHINE), lmn_cbor_put_text(b, machine->name);
    lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, machine->address);
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, "t");
    lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, "z");
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, false);
    lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, session);
    lmn_cbor_put_text(b, WIRE_SEQUENCE), lmn_cbor_put_uint(b, 1);
    lmn_cbor_put_text(b, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(b, token);
    lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_array(b, 0);
    return b;
}

/* What was on its way when the partition was lost ends only now: it says nothing about
 * the attempts of the new term. */
static void what_ends_late_gives_no_attempt_up(void **state)
{
    struct lmn_deferred_starts held = {
        .partition = 0, .epoch = 4, .from_position = 8, .log_position = 9};
    (void)state;

    lose_with_attempts();
    core->lease.id = 2;
    claimed("nb", 2, 5);
    GByteArray *out = g_byte_array_new(), *answer = report(machine(1), 7, 4);
    g_strlcpy(held.machine, machine(1)->name, sizeof held.machine);
    lmn_heartbeat_withhold_starts(core, &held, out, now);
    lmn_worker_client_push_done(core, machine(0)->name, LMN_HTTP_NOT_SENT, NULL, now);
    lmn_worker_client_push_done(core, machine(1)->name, LMN_HTTP_NOT_SENT, NULL, now);
    lmn_worker_client_probe_done(core, machine(1)->name, 4, 200, answer, now);
    assert_int_equal(machine(0)->attempts->len, 2);
    assert_int_equal(machine(1)->attempts->len, 2);
    assert_false(machine(1)->lifecycle.is_accounted);
    g_byte_array_unref(out);
    g_byte_array_unref(answer);
}

/* Its worker's lease ran out meanwhile, and with it its session: the refusal names the
 * new one, which is asked at once. It proves nothing yet. */
static void a_session_that_ended_is_asked_again_at_once(void **state)
{
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    (void)state;

    lose_with_attempts();
    core->lease.id = 2;
    claimed("nb", 2, 5);
    struct lmn_machine *m = machine(1);
    GByteArray *refusal = report(m, 8, 4), *answer = report(m, 8, 5);
    lmn_worker_client_probe_done(core, m->name, 5, 409, refusal, now);
    assert_int_equal(m->agent.incarnation, 8);
    assert_int_equal(m->attempts->len, 2);
    assert_false(m->lifecycle.is_accounted);
    bool asked = false;
    while (lmn_worker_client_next_probe(core, 0, 1, name, addr, &epoch, now))
        asked = asked || !strcmp(name, m->name);
    assert_true(asked);
    /* Refused in that session too: not at once, but by asking for it. */
    lmn_worker_client_probe_done(core, m->name, 5, 409, refusal, now);
    assert_int_equal(m->agent.incarnation, 0);
    assert_true(lmn_time_before(now, m->agent.next_probe_at));
    lmn_worker_client_probe_done(core, m->name, 5, 200, answer, now);
    assert_true(m->lifecycle.is_accounted);
    assert_int_equal(m->attempts->len, 0);
    g_byte_array_unref(refusal);
    g_byte_array_unref(answer);
}

/* A lane that a dead machine holds up is helped by those that have nothing left. */
static void idle_lanes_help_those_held_up(void **state)
{
    enum { LANES = 2 };
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    unsigned own = 0;
    (void)state;

    own_cold(4);
    while (lmn_worker_client_next_probe(core, 0, LANES, name, addr, &epoch, now)) {
        assert_int_equal(g_str_hash(name) % LANES, 0);
        own++;
    }
    assert_true(own > 0 && own < MACHINES);
    now = lmn_time_add(now, 0.6);
    for (unsigned i = own; i < MACHINES; i++) {
        assert_true(
            lmn_worker_client_next_probe(core, 0, LANES, name, addr, &epoch, now));
        assert_int_equal(g_str_hash(name) % LANES, 1);
    }
    assert_false(lmn_worker_client_next_probe(core, 0, LANES, name, addr, &epoch, now));
}

/* It may lose the partition again before a machine has spoken: what it holds stays. */
static void twice_in_a_row(void **state)
{
    (void)state;
    lose_with_attempts();
    core->lease.id = 2;
    claimed("nb", 2, 5);
    put("o/0", NULL);
    core->lease.id = 3;
    claimed("nb", 3, 6);
    assert_true(part->ownership.is_warm);
    assert_int_equal(range()->started_count, 5);
}

static void not_after_another_owner(void **state)
{
    (void)state;
    lose_with_attempts();
    claimed("nc", 9, 5);
    assert_false(lmn_replica_own_is_latest(part));
    put("o/0", NULL);
    core->lease.id = 2;
    claimed("nb", 2, 6);
    assert_true(part->ownership.is_owned && !part->ownership.is_warm &&
                !part->ownership.inherited_may_start);
    assert_int_equal(range()->started_count, 0);
}

/* A claim of ours of an earlier lease, carried out when that was over, is a term too:
 * that nobody acted on it is not known to the check. */
static void nor_after_a_claim_that_came_late(void **state)
{
    (void)state;
    lose_with_attempts();
    core->lease.id = 3;
    claimed("nb", 2, 5);
    assert_false(part->ownership.is_owned);
    put("o/0", NULL);
    claimed("nb", 3, 6);
    assert_true(part->ownership.is_owned && !part->ownership.is_warm);
}

/* Cold, and not all machines have spoken: a predecessor's starts are not known. */
static void not_before_it_knew_all(void **state)
{
    (void)state;
    own_cold(4);
    put("o/0", NULL);
    assert_null(part->replication.replica);
    core->lease.id = 2;
    claimed("nb", 2, 5);
    assert_true(part->ownership.is_owned && !part->ownership.is_warm);
}

/* Controllers are small: what can be of no use any more is freed. */
static void an_outdated_copy_goes(void **state)
{
    (void)state;
    lose_with_attempts();
    lmn_replica_drop_outdated(core, part);
    assert_non_null(part->replication.replica);
    claimed("nc", 9, 5);
    lmn_replica_drop_outdated(core, part);
    assert_null(part->replication.replica);
}

/* The new owner tells us what it knows: that takes the place of our own. */
static void a_newer_owners_stream_takes_its_place(void **state)
{
    struct lmn_replication_batch *batch = lmn_replication_batch_new();
    (void)state;

    lose_with_attempts();
    claimed("nc", 9, 5);
    batch->epoch = 5;
    batch->stream = 5 << 20 | 1;
    assert_int_equal(lmn_replica_apply(core, batch, now), LMN_REPLICA_APPLIED);
    assert_false(part->replication.replica->is_own_state);
    lmn_replication_batch_free(batch);
}

/* --- who claims first --- */

static void at_once_by_the_last_owner(void **state)
{
    (void)state;
    lose_with_attempts();
    /* Neither its usual holder, nor for long with its lease. */
    core->lease.id = 2;
    core->lease.acquired_at = core->cache.synced_at = now;
    member_is_up(HOLDER);
    assert_true(lmn_partition_should_claim(core, part, now));
    core->shutdown.is_requested = true;
    assert_false(lmn_partition_should_claim(core, part, now));
}

/* This node's own partition, which nc holds until its key goes. */
static struct lmn_partition *held_by_nc(void)
{
    struct lmn_partition *partition = &core->partitions[ME];
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_map(b, 2);
    lmn_cbor_put_text(b, "node"), lmn_cbor_put_text(b, "nc");
    lmn_cbor_put_text(b, "lease"), lmn_cbor_put_uint(b, 9);
    put("o/1", b);
    return partition;
}

static void by_others_after_a_moment(void **state)
{
    struct lmn_partition *partition = held_by_nc();
    (void)state;

    member_is_up(lmn_member_index(&core->members, "nc"));
    put("o/1", NULL);
    assert_false(lmn_partition_should_claim(core, partition, now));
    assert_false(lmn_partition_should_claim(core, partition, lmn_time_add(now, 1.4)));
    assert_true(lmn_partition_should_claim(core, partition, lmn_time_add(now, 1.6)));
}

/* A crash costs nothing more: its questions are unanswered, or it was never heard. */
static void at_once_if_the_last_owner_is_silent(void **state)
{
    struct lmn_partition *partition = held_by_nc();
    int nc = lmn_member_index(&core->members, "nc");
    (void)state;

    put("o/1", NULL);
    assert_true(lmn_partition_should_claim(core, partition, now));
    member_is_up(nc);
    assert_false(lmn_partition_should_claim(core, partition, now));
    struct timespec later = lmn_time_add(now, 0.5);
    lmn_member_record_probe_timeout(&core->members, nc, later, lmn_time_add(later, 0.4));
    assert_true(lmn_partition_should_claim(core, partition, lmn_time_add(later, 0.4)));
}

/* --- silence of our own making --- */

/* Machines report, if at all, for as long as this node answers them. */
static void pass(double seconds, bool outage, bool reports)
{
    for (double t = 0; t < seconds; t += 0.25) {
        now = lmn_time_add(now, 0.25);
        lmn_members_tick(&core->members, 0, now);
        if (!outage) {
            core->cache.fresh_at = now;
            lmn_members_record_watch(&core->members, now);
        }
        for (int i = 0;
             reports && i < MACHINES && !lmn_watch_cache_is_too_stale(core, now); i++)
            machine(i)->agent.last_heartbeat_at = now;
        lmn_maintenance_run(core, now);
    }
}

/* The state service is down for longer than the fence: every report was refused. */
static void refused_machines_are_not_silent(void **state)
{
    (void)state;
    own_cold(4);
    account();
    pass(2 * cfg.cancel_s, true, true);
    pass(1, false, false);
    assert_true(core->members.health.silent_machine_share < 0.1);
    assert_int_equal(part->zone_cuts->len, 0);
    for (int i = 0; i < MACHINES; i++) {
        assert_true(
            machine(i)->agent.lease_expired); /* its lease has run out all the same */
        assert_false(machine(i)->lifecycle.is_draining);
    }
    /* They had the time to come back, and did not. */
    pass(10, false, false);
    assert_true(core->members.health.silent_machine_share > 0.9);
    assert_int_equal(part->zone_cuts->len, 1);
}

/* The process stood still: it comes to, and has heard nothing. */
static void nor_after_a_stand_still(void **state)
{
    (void)state;
    own_cold(4);
    account();
    pass(4, false, true);
    now = lmn_time_add(now, 6);
    pass(1, true, false);
    pass(0.5, false, false);
    assert_true(core->members.health.silent_machine_share < 0.1);
    assert_int_equal(part->zone_cuts->len, 0);
    /* They are asked all the same: at once, as no answer may ever come. */
    assert_true(part->ownership.needs_probing);
}

/* A machine that leaves a direct question unanswered is silent at once. */
static void but_unanswered_questions_count(void **state)
{
    (void)state;
    own_cold(4);
    account();
    pass(4, false, true);
    now = lmn_time_add(now, 4);
    pass(0.5, true, false);
    for (int i = 0; i < MACHINES; i++)
        machine(i)->agent.unanswered_probes = 1;
    pass(0.25, false, false);
    assert_int_equal(part->zone_cuts->len, 1);
}

int main(void)
{
    lmn_log_level = LMN_LOG_ERROR;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(its_own_state_is_a_whole_copy, setup, teardown),
        cmocka_unit_test_setup_teardown(what_ends_late_gives_no_attempt_up, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(a_session_that_ended_is_asked_again_at_once,
                                        setup, teardown),
        cmocka_unit_test_setup_teardown(idle_lanes_help_those_held_up, setup, teardown),
        cmocka_unit_test_setup_teardown(twice_in_a_row, setup, teardown),
        cmocka_unit_test_setup_teardown(not_after_another_owner, setup, teardown),
        cmocka_unit_test_setup_teardown(nor_after_a_claim_that_came_late, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(not_before_it_knew_all, setup, teardown),
        cmocka_unit_test_setup_teardown(an_outdated_copy_goes, setup, teardown),
        cmocka_unit_test_setup_teardown(a_newer_owners_stream_takes_its_place, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(at_once_by_the_last_owner, setup, teardown),
        cmocka_unit_test_setup_teardown(by_others_after_a_moment, setup, teardown),
        cmocka_unit_test_setup_teardown(at_once_if_the_last_owner_is_silent, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(refused_machines_are_not_silent, setup, teardown),
        cmocka_unit_test_setup_teardown(nor_after_a_stand_still, setup, teardown),
        cmocka_unit_test_setup_teardown(but_unanswered_questions_count, setup, teardown),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
