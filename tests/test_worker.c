/* Tests of how an owner treats its machines: probes of silent machines, drains and
 * expired leases, heartbeats and their answers, and the end of cancelled jobs' tasks. */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "config/settings.h"
#include "protocol/wire.h"
#include "util/log.h"
#include "scheduler/queue.h"
#include "partition/range_writer.h"
#include "partition/owner.h"
#include "partition/range.h"
#include "partition/maintenance.h"
#include "partition/heartbeat.h"
#include "partition/worker_probe.h"
#include "partition/worker_push.h"
#include "state/fencing_token.h"
#include "state/task_ledger.h"
#include "state/core.h"
#include "state/core_state.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

/* Each test creates a new core and does not free it. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_team team[1];
static struct lmn_settings settings;
static struct lmn_core *core;
static struct timespec now;

static struct lmn_machine *add_machine(int number)
{
    char name[32];

    g_snprintf(name, sizeof name, "host-%06d", number);
    struct lmn_machine *machine = lmn_machine_new(&core->partitions[0], name);
    machine->record.revision = 1;
    machine->agent.has_reported = machine->lifecycle.is_accounted = true;
    machine->agent.last_heartbeat_at = now;
    return machine;
}

/* Owns the partition by a claim whose lowest fencing token is the given one. */
static void own_from_token(uint64_t first_token)
{
    core->partitions[0].ownership.epoch = lmn_next_epoch(first_token - 1);
    core->partitions[0].ownership.token_raises = LMN_TOKEN_RAISES;
}

static void create_core(int machines)
{
    memset(&settings, 0, sizeof settings);
    g_strlcpy(team[0].name, "t", LMN_NAME_SIZE);
    settings.teams = team;
    settings.team_count = 1;
    settings.partition_count = 1;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_txn_operations = 12;
    settings.heartbeat_s = 8;
    settings.lease_s = 44;
    settings.cancel_s = 64;
    now = (struct timespec){1000, 0};
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->partitions[0].ownership.is_owned = core->partitions[0].ownership.is_ready =
        core->partitions[0].ownership.inherited_may_start = true;
    own_from_token(1);
    core->partitions[0].ownership.since = now;
    core->cache.is_synced = true;
    for (int i = 0; i < machines; i++)
        add_machine(i);
}

/* Advances the clock. All machines but `silent` send heartbeats. All due probes are made
 * and get no answer; only `silent` may be probed. */
static void advance_time(double seconds, const struct lmn_machine *silent)
{
    GHashTableIter iterator;
    gpointer value;
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t epoch;

    for (double elapsed_s = 0; elapsed_s < seconds; elapsed_s += 0.25) {
        now = lmn_time_add(now, 0.25);
        core->cache.fresh_at = now;
        g_hash_table_iter_init(&iterator, core->partitions[0].machines);
        while (g_hash_table_iter_next(&iterator, NULL, &value))
            if (value != silent)
                ((struct lmn_machine *)value)->agent.last_heartbeat_at = now;
        while (lmn_worker_client_next_probe(core, 0, 1, name, address, &epoch, now)) {
            assert_string_equal(name, silent->name);
            lmn_worker_client_probe_done(core, name, epoch, LMN_HTTP_NO_RESPONSE, NULL,
                                         now);
        }
        lmn_maintenance_run(core, now);
    }
}

/* Guards against a failure in which machines were probed only during takeovers: the tasks
 * of a machine that vanished without notice waited until its lease expired. */
static void silent_machine_is_probed_and_drained(void **state)
{
    (void)state;
    create_core(9);
    struct lmn_machine *machine = add_machine(100);
    advance_time(11, machine);
    assert_int_equal(machine->agent.unanswered_probes,
                     0); /* its next heartbeat may still be in transit */
    advance_time(5, machine);
    assert_true(machine->agent.unanswered_probes >= 2);
    assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
}

/* A machine with a spot notice is drained when the notice period is over, so that its
 * tasks do not wait for the lease. */
static void machine_is_drained_when_its_spot_notice_ends(void **state)
{
    (void)state;
    create_core(9);
    struct lmn_machine *machine = add_machine(100);
    machine->lifecycle.has_spot_notice = true;
    machine->lifecycle.spot_notice_at = now;
    machine->lifecycle.spot_notice_s = 6;
    advance_time(5, machine);
    assert_false(machine->lifecycle.is_draining);
    advance_time(2, machine);
    assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
}

/* Guards against a task that runs twice. A controller was partitioned from the other
 * zones and the state service. By its own clock the leases of the machines there had
 * expired, so it started their tasks again, while a successor still renewed the leases. A
 * lease counts as expired only if the controller still owned the partition at the lease's
 * end. */
static void leases_expire_only_while_ownership_is_known(void **state)
{
    (void)state;
    create_core(0);
    struct lmn_machine *machine = add_machine(1);
    core->cache.fresh_at = lmn_time_add(
        now, settings.lease_s - 1); /* the last answer of the state service */
    now = lmn_time_add(now, 2 * settings.lease_s);
    lmn_maintenance_run(core, now);
    assert_false(machine->agent.lease_expired);
    core->cache.fresh_at = now; /* the state service answers: still the owner */
    lmn_maintenance_run(core, now);
    assert_true(machine->agent.lease_expired);
}

/* Guards against a failure in which the machines of a partitioned zone were returned
 * after some seconds, which ended all replicas on them. If a whole zone is silent, its
 * machines are kept; a single silent machine is drained. */
static void machines_of_a_silent_zone_are_not_drained_at_once(void **state)
{
    struct lmn_machine *silent_machines[8];
    (void)state;
    create_core(20);
    struct lmn_machine *single = add_machine(100);
    g_strlcpy(single->zone, "a", sizeof single->zone);
    for (int i = 0; i < 8; i++) {
        silent_machines[i] = add_machine(200 + i);
        g_strlcpy(silent_machines[i]->zone, "b", sizeof silent_machines[i]->zone);
        silent_machines[i]->agent.unanswered_probes = 2;
    }
    for (int i = 0; i < 20; i++)
        g_strlcpy(((struct lmn_machine *)g_hash_table_lookup(
                       core->partitions[0].machines, g_strdup_printf("host-%06d", i)))
                      ->zone,
                  "a", LMN_NAME_SIZE);
    single->agent.unanswered_probes = 2;
    now = lmn_time_add(now, settings.lease_s - 5);
    core->cache.fresh_at = now;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, core->partitions[0].machines);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (value != single && strcmp(((struct lmn_machine *)value)->zone, "b"))
            ((struct lmn_machine *)value)->agent.last_heartbeat_at = now;
    lmn_maintenance_run(core, now);
    assert_true(single->lifecycle.is_draining);
    for (int i = 0; i < 8; i++)
        assert_false(silent_machines[i]->lifecycle.is_draining);
    /* The zone is connected again, and 6 of its 8 machines send heartbeats. The other 2
     * must not be drained at that moment, but only after another heartbeat interval. */
    for (int round = 0; round < 2; round++) {
        core->cache.fresh_at = now =
            lmn_time_add(now, round ? settings.heartbeat_s + 11 : 1);
        g_hash_table_iter_init(&iterator, core->partitions[0].machines);
        while (g_hash_table_iter_next(&iterator, NULL, &value))
            if (value != silent_machines[0] && value != silent_machines[1])
                ((struct lmn_machine *)value)->agent.last_heartbeat_at = now;
        lmn_maintenance_run(core, now);
        for (int i = 0; i < 2; i++)
            assert_int_equal(silent_machines[i]->lifecycle.is_draining, round);
    }
}

/* A takeover while zone "b" is partitioned. If the partition's preferred owner, here the
 * controller itself, is in that zone, it may still answer the workers there, and their
 * machines are kept. Otherwise no controller answers them, and queued work would wait for
 * them, so they are drained. */
static void
inherited_machines_are_drained_unless_preferred_owner_shares_their_silent_zone(
    void **state)
{
    static const char *const own_zones[] = {"a", "b"};
    (void)state;
    for (int round = 0; round < 2; round++) {
        create_core(20);
        g_strlcpy(settings.zone, own_zones[round], sizeof settings.zone);
        GHashTableIter iterator;
        gpointer value;
        g_hash_table_iter_init(&iterator, core->partitions[0].machines);
        while (g_hash_table_iter_next(&iterator, NULL, &value))
            g_strlcpy(((struct lmn_machine *)value)->zone, "a", LMN_NAME_SIZE);
        core->partitions[0].ownership.is_ready = false;
        struct lmn_machine *silent_machines[8];
        for (int i = 0; i < 8; i++) {
            silent_machines[i] = add_machine(200 + i);
            g_strlcpy(silent_machines[i]->zone, "b", sizeof silent_machines[i]->zone);
            silent_machines[i]->lifecycle.is_inherited = true;
            silent_machines[i]->agent.has_reported =
                silent_machines[i]->lifecycle.is_accounted = false;
            silent_machines[i]->agent.unanswered_probes = 2;
        }
        now = lmn_time_add(now, 6);
        core->cache.fresh_at = now;
        lmn_maintenance_run(core, now);
        for (int i = 0; i < 8; i++)
            assert_int_equal(silent_machines[i]->lifecycle.is_draining, round == 0);
    }
}

/* A machine that does not answer blocks a lane until the probe's timeout, so machines
 * without unanswered probes are probed first. */
static void machines_with_unanswered_probes_are_probed_last(void **state)
{
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    (void)state;
    create_core(0);
    core->partitions[0].ownership.is_ready = false;
    core->partitions[0].ownership.needs_probing = true;
    for (int i = 0; i < 20; i++) {
        struct lmn_machine *machine = add_machine(i);
        machine->lifecycle.is_inherited = true;
        machine->lifecycle.is_accounted = false;
        machine->agent.unanswered_probes = i % 2;
    }
    for (int i = 0; i < 20; i++) {
        assert_true(lmn_worker_client_next_probe(core, 0, 1, name, address, &epoch, now));
        struct lmn_machine *machine =
            g_hash_table_lookup(core->partitions[0].machines, name);
        assert_int_equal(machine->agent.unanswered_probes, i < 10 ? 0 : 1);
    }
    assert_false(lmn_worker_client_next_probe(core, 0, 1, name, address, &epoch, now));
}

/* Guards against slow takeovers after many machines were lost: a few lanes had to probe
 * most of the silent machines, at one second for each probe. Any lane may probe any
 * machine, and one unanswered probe is enough to drain a machine whose heartbeat is
 * overdue. */
static void any_lane_probes_silent_machines(void **state)
{
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    struct lmn_machine *lost[12];
    (void)state;
    create_core(40);
    core->partitions[0].ownership.is_ready = false;
    core->partitions[0].ownership.needs_probing = true;
    for (int i = 0; i < 12; i++) {
        lost[i] = add_machine(100 + i);
        lost[i]->lifecycle.is_inherited = true;
        lost[i]->agent.has_reported = lost[i]->lifecycle.is_accounted = false;
    }
    now = lmn_time_add(now, 3);
    for (unsigned lane = 0; lane < 12; lane++)
        assert_true(
            lmn_worker_client_next_probe(core, lane, 12, name, address, &epoch, now));
    assert_false(lmn_worker_client_next_probe(core, 0, 12, name, address, &epoch, now));
    for (int i = 0; i < 12; i++)
        lmn_worker_client_probe_done(core, lost[i]->name, 1, LMN_HTTP_NO_RESPONSE, NULL,
                                     now);
    core->cache.fresh_at = now = lmn_time_add(now, 2);
    lmn_maintenance_run(core, now);
    for (int i = 0; i < 12; i++)
        assert_false(lost[i]->lifecycle.is_draining);
    core->cache.fresh_at = now = lmn_time_add(now, 1.25 * settings.heartbeat_s);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, core->partitions[0].machines);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (!((struct lmn_machine *)value)->lifecycle.is_inherited)
            ((struct lmn_machine *)value)->agent.last_heartbeat_at = now;
    lmn_maintenance_run(core, now);
    for (int i = 0; i < 12; i++)
        assert_true(lost[i]->lifecycle.is_draining);
}

/* Guards against a failure in which machines were returned as idle while their partition
 * was not ready and its inherited work still waited, and were rented again once it was
 * ready. */
static void idle_time_counts_from_readiness(void **state)
{
    (void)state;
    create_core(6);
    struct lmn_machine *machine = add_machine(50);
    core->partitions[0].ownership.is_ready = false;
    machine->lifecycle.idle_since = now;
    struct lmn_machine *lost = add_machine(51);
    lost->lifecycle.is_inherited = true;
    lost->agent.has_reported = lost->lifecycle.is_accounted = false;
    for (int i = 0; i < 30; i++) {
        core->cache.fresh_at = machine->agent.last_heartbeat_at = now =
            lmn_time_add(now, 1);
        lmn_maintenance_run(core, now);
        assert_false(machine->lifecycle.is_draining);
        if (i == 20)
            lmn_machine_handle_termination(core, lost, now);
    }
    assert_true(core->partitions[0].ownership.is_ready);
    for (int i = 0; i < 10; i++) {
        core->cache.fresh_at = machine->agent.last_heartbeat_at = now =
            lmn_time_add(now, 1);
        lmn_maintenance_run(core, now);
    }
    assert_true(machine->lifecycle.is_draining);
}

/* --- heartbeats --- */

static struct lmn_job job;
static struct lmn_range range;

/* Queues a job of `count` tasks that need one CPU each. */
static void queue_tasks(uint32_t count)
{
    memset(&job, 0, sizeof job);
    memset(&range, 0, sizeof range);
    g_strlcpy(job.spec.id, "run-000001", LMN_JOB_ID_SIZE);
    job.spec.tasks = count;
    job.spec.cpus = 1;
    job.spec.image = (char *)"i";
    job.spec.deadline_s = -1;
    job.image = g_intern_string("i");
    job.class_name = g_intern_string("c");
    job.revision = 1;
    job.ranges = g_ptr_array_new();
    range.job = &job;
    range.partition = &core->partitions[0];
    range.end = count;
    range.key = g_strdup("r/0/run-000001/0");
    range.done = g_malloc0((count + 7) / 8);
    g_ptr_array_add(job.ranges, &range);
    g_hash_table_insert(core->partitions[0].ranges, range.key, &range);
    g_hash_table_insert(core->cache.jobs, job.spec.id, &job);
    lmn_range_open(core, &range);
    range.is_assigned = true;
    lmn_assign_range(core, &range, now);
}

static void set_up_machine_type(void)
{
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x", .cpus = 8, .memory_gb = 64};
    core->members.cache_fresh_at = core->members.last_tick_at = core->cache.fresh_at =
        now;
}

static GByteArray *last_answer;
/* The starts of the last answer that wait for the standby's acknowledgement. */
static struct lmn_deferred_starts last_deferred_starts;

/* Handles a heartbeat of the machine. With lists_tasks it lists all attempts on the
 * machine, as if the last answer had been received. Returns the HTTP status;
 * command_count receives the number of commands in the answer. */
static int send_heartbeat(const struct lmn_machine *machine, const char *name,
                          uint64_t incarnation, uint64_t sequence, uint64_t token,
                          bool lists_tasks, uint64_t *command_count)
{
    GByteArray *body = g_byte_array_new(), *out = g_byte_array_new();
    struct lmn_cbor_document document;
    guint count = lists_tasks ? machine->attempts->len : 0;

    lmn_cbor_put_map(body, 9);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, name);
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.9:1");
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "x");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "a");
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, false);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, incarnation);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, sequence);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, token);
    lmn_cbor_put_text(body, WIRE_TASKS), lmn_cbor_put_array(body, count);
    for (guint i = 0; i < count; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        char task[64];
        g_snprintf(task, sizeof task, "%s/%u", attempt->job_id, attempt->index);
        lmn_cbor_put_map(body, 3);
        lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, task);
        lmn_cbor_put_text(body, WIRE_ATTEMPT), lmn_cbor_put_uint(body, attempt->number);
        lmn_cbor_put_text(body, WIRE_STATE), lmn_cbor_put_text(body, WIRE_FETCHING);
    }
    core->members.cache_fresh_at = core->members.last_tick_at = core->cache.fresh_at =
        now;
    int status = lmn_heartbeat_handle(core, body->data, body->len, out,
                                      &last_deferred_starts, now);
    *command_count = 0;
    if (status == 200 && lmn_cbor_parse(&document, out->data, out->len) == 0) {
        *command_count =
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS)->len;
        lmn_cbor_free(&document);
    }
    g_byte_array_unref(body);
    if (last_answer)
        g_byte_array_unref(last_answer);
    last_answer = out;
    return status;
}

/* Guards against a machine whose heartbeats arrive but which receives no answer: with
 * each heartbeat it was assigned as many tasks as fit on it, and ran none. It gets a
 * single trial task at increasing intervals, and as many as fit once it has listed one.
 */
static void machine_that_ignores_commands_gets_single_trial_tasks(void **state)
{
    uint64_t command_count, sequence = 0;
    unsigned heartbeats = 0, trials = 0;
    (void)state;

    create_core(0);
    set_up_machine_type();
    struct lmn_machine *machine = add_machine(1);
    machine->type = &core->cloud.machine_types.types[0];
    machine->agent.last_heartbeat_at = now;
    queue_tasks(20);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 1, ++sequence, 1, true, &command_count),
        200);
    assert_int_equal(command_count, 8);
    for (int i = 0; i < 15; i++) { /* one minute */
        now = lmn_time_add(now, 4);
        assert_int_equal(send_heartbeat(machine, machine->name, 1, ++sequence, 1, false,
                                        &command_count),
                         200);
        assert_true(command_count <= 1);
        assert_int_equal(machine->queue.task_count, 0);
        trials += (unsigned)command_count;
        heartbeats++;
    }
    assert_in_range(trials, 2, heartbeats / 2);
    assert_int_equal(range.started_count, command_count);
    now = lmn_time_add(now, 20);
    send_heartbeat(machine, machine->name, 1, ++sequence, 1, false, &command_count);
    assert_int_equal(command_count, 1);
    now = lmn_time_add(now, 4);
    send_heartbeat(machine, machine->name, 1, ++sequence, 1, true,
                   &command_count); /* the answer was received */
    assert_int_equal(machine->agent.ignored_commands, 0);
    now = lmn_time_add(now, 20);
    machine->stealing.next_at = now;
    send_heartbeat(machine, machine->name, 1, ++sequence, 1, true, &command_count);
    assert_int_equal(range.started_count, 8);
}

/* Guards against a takeover that waits too long: copies of old heartbeats, or heartbeats
 * of a machine that receives no answers, each delayed the drain of an inherited machine,
 * and the partition's inherited work waited meanwhile. */
static void old_heartbeats_do_not_delay_the_drain(void **state)
{
    uint64_t command_count, sequence = 0;
    (void)state;

    for (int copies = 0; copies < 2; copies++) {
        create_core(9);
        set_up_machine_type();
        struct lmn_partition *partition = &core->partitions[0];
        own_from_token(5);
        struct lmn_machine *machine = add_machine(100);
        machine->agent.has_reported = machine->lifecycle.is_accounted = false;
        machine->lifecycle.is_inherited = true;
        machine->agent.unanswered_probes = 2;
        partition->ownership.is_ready = false;
        double waited_s = 0;
        for (; !machine->lifecycle.is_draining && waited_s < 60; waited_s += 2) {
            now = lmn_time_add(now, 2);
            for (guint i = 0; i < partition->machine_list->len; i++)
                if (partition->machine_list->pdata[i] != machine)
                    ((struct lmn_machine *)partition->machine_list->pdata[i])
                        ->agent.last_heartbeat_at = now;
            if (copies) /* the same heartbeat repeatedly, then an older one */
                send_heartbeat(machine, machine->name, 3, waited_s < 10 ? 40 : 7, 4,
                               false, &command_count);
            else
                assert_int_equal(send_heartbeat(machine, machine->name, 3,
                                                40 + ++sequence, 4, false,
                                                &command_count),
                                 200);
            assert_false(machine->lifecycle.is_accounted);
            core->cache.fresh_at = now;
            lmn_maintenance_run(core, now);
        }
        assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
        assert_in_range((int)waited_s, 1.25 * settings.heartbeat_s + 4,
                        1.25 * settings.heartbeat_s + 8);
    }
}

/* Guards against a late copy of a heartbeat of a machine that was returned before this
 * process started: the machine was counted, in the records and in the division of jobs
 * into ranges, until the next takeover. */
static void returned_machine_seen_in_a_late_heartbeat_is_drained(void **state)
{
    uint64_t command_count;
    (void)state;

    create_core(9);
    set_up_machine_type();
    own_from_token(5);
    assert_int_equal(send_heartbeat(NULL, "host-000900", 2, 70, 4, false, &command_count),
                     200);
    struct lmn_machine *machine =
        g_hash_table_lookup(core->partitions[0].machines, "host-000900");
    assert_non_null(machine);
    assert_false(machine->lifecycle.is_accounted);
    assert_int_equal(command_count, 0);
    advance_time(settings.lease_s, machine);
    assert_false(machine->lifecycle.is_draining);
    advance_time(1.25 * settings.heartbeat_s + 1, machine);
    assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
    lmn_machine_handle_termination(core, machine, now);
    assert_int_equal(send_heartbeat(NULL, "host-000900", 2, 71, 4, false, &command_count),
                     503);
}

/* A late copy of a heartbeat must not count as evidence that workers reach this
 * controller, and must not end or start tasks. */
static void late_heartbeats_have_no_effect(void **state)
{
    uint64_t command_count;
    (void)state;

    create_core(9);
    set_up_machine_type();
    struct lmn_machine *machine = add_machine(100);
    machine->type = &core->cloud.machine_types.types[0];
    queue_tasks(4);
    send_heartbeat(machine, machine->name, 2, 10, 1, true, &command_count);
    assert_int_equal(command_count, 4);
    now = lmn_time_add(now, 2);
    send_heartbeat(machine, machine->name, 2, 12, 1, true, &command_count);
    struct timespec last = machine->agent.last_heartbeat_at;
    now = lmn_time_add(now, 2);
    core->members.is_isolated_from_workers = true;
    for (uint64_t sequence = 9; sequence <= 12; sequence++) {
        assert_int_equal(
            send_heartbeat(machine, machine->name, 2, sequence, 1, false, &command_count),
            503);
        assert_int_equal(send_heartbeat(machine, machine->name, 1, 90 + sequence, 1,
                                        false, &command_count),
                         503);
    }
    send_heartbeat(NULL, "host-000901", 1, 5, 1, false,
                   &command_count); /* a machine that is not known */
    assert_true(core->members.is_isolated_from_workers);
    assert_int_equal(range.started_count, 4);
    assert_int_equal(lmn_time_diff_s(machine->agent.last_heartbeat_at, last), 0);
    machine->agent.sequence = 20; /* from the answer to a push: an older heartbeat may
                    have been in transit for minutes */
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, 13, 1, true, &command_count), 200);
    assert_true(core->members.is_isolated_from_workers);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, 21, 1, true, &command_count), 200);
    assert_false(core->members.is_isolated_from_workers);
    assert_int_equal(range.started_count, 4);
}

/* Guards against a failure in which a controller without connection to the state service
 * and the other controllers kept its workers until it stopped answering them. It
 * redirects each worker once, and answers a worker that returns. It does not redirect if
 * trying all controllers would take longer than a lease. */
static void isolated_controller_redirects_each_worker_once(void **state)
{
    uint64_t command_count, sequence = 0;
    (void)state;

    for (int lease_s = 10; lease_s <= 40; lease_s += 30) {
        create_core(9);
        set_up_machine_type();
        settings.lease_s = lease_s;
        struct lmn_machine *machine = add_machine(100);
        core->members.count = 3;
        core->members.names[1] = "poste-1";
        core->members.names[2] = "poste-2";
        for (int i = 1; i < 3; i++)
            core->members.views[i].is_present = true;
        assert_int_equal(send_heartbeat(machine, machine->name, 1, ++sequence, 1, false,
                                        &command_count),
                         200);
        core->cache.isolated_since = now;
        now = lmn_time_add(now, 1);
        int first = send_heartbeat(machine, machine->name, 1, ++sequence, 1, false,
                                   &command_count);
        assert_int_equal(first == 200, lease_s == 10);
        assert_int_equal(send_heartbeat(machine, machine->name, 1, ++sequence, 1, false,
                                        &command_count),
                         200);
        core->cache.isolated_since = (struct timespec){0, 0};
        assert_int_equal(send_heartbeat(machine, machine->name, 1, ++sequence, 1, false,
                                        &command_count),
                         200);
    }
}

/* --- cancellations --- */

/* Counts the answer's commands of the kind. */
static unsigned count_commands(const GByteArray *answer, const char *kind)
{
    struct lmn_cbor_document document;
    unsigned count = 0;

    assert_int_equal(lmn_cbor_parse(&document, answer->data, answer->len), 0);
    const struct lmn_cbor_value *list =
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS);
    for (const struct lmn_cbor_value *command = lmn_cbor_first_child(&document, list);
         command; command = lmn_cbor_next(&document, command))
        count +=
            lmn_cbor_text_equals(lmn_cbor_get(&document, command, WIRE_COMMAND), kind);
    lmn_cbor_free(&document);
    return count;
}

/* Creates a machine with four tasks of a job, which its last heartbeat lists. */
static struct lmn_machine *create_machine_with_tasks(uint64_t *sequence)
{
    uint64_t command_count;

    create_core(3);
    set_up_machine_type();
    struct lmn_machine *machine = add_machine(100);
    machine->type = &core->cloud.machine_types.types[0];
    queue_tasks(4);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++*sequence, 1, true, &command_count),
        200);
    assert_int_equal(command_count, 4);
    now = lmn_time_add(now, 4);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++*sequence, 1, true, &command_count),
        200);
    return machine;
}

/* Guards against tasks that run long after their job was cancelled: the answer to a
 * heartbeat from before the owner's term, or to one that a newer message had overtaken,
 * renewed the lease without killing them. */
static void each_answer_kills_tasks_of_cancelled_jobs(void **state)
{
    uint64_t command_count, sequence = 0;
    (void)state;

    for (int withdrawn = 0; withdrawn < 2; withdrawn++) {
        struct lmn_machine *machine = create_machine_with_tasks(&sequence),
                           *listed = lmn_machine_new(&core->partitions[0], "x");
        g_array_append_vals(listed->attempts, machine->attempts->data,
                            machine->attempts->len);
        if (withdrawn)
            job.phase = LMN_JOB_CANCELLED;
        machine->agent.sequence = sequence + 9; /* the answer to a push was newer */
        assert_int_equal(send_heartbeat(machine, machine->name, 2, ++sequence, 1, true,
                                        &command_count),
                         200);
        assert_int_equal(count_commands(last_answer, WIRE_KILL), withdrawn ? 4 + 4 : 0);
        assert_int_equal(command_count, count_commands(last_answer, WIRE_KILL));
        /* A new owner takes over, which has received nothing from the machine. */
        g_array_set_size(machine->attempts, 0);
        machine->agent.has_reported = machine->lifecycle.is_accounted = false;
        own_from_token(core->partitions[0].ownership.epoch + 1);
        assert_int_equal(
            send_heartbeat(listed, machine->name, 2, ++sequence, 1, true, &command_count),
            200);
        assert_int_equal(count_commands(last_answer, WIRE_KILL), withdrawn ? 4 : 0);
        assert_int_equal(command_count, count_commands(last_answer, WIRE_KILL));
        assert_false(machine->lifecycle.is_accounted);
    }
}

/* Guards against an answer whose starts were withheld, because the standby had not
 * acknowledged them, and which then lacked its kills, too, but renewed the lease. */
static void withholding_starts_keeps_the_kills(void **state)
{
    uint64_t command_count, sequence = 0;
    (void)state;

    struct lmn_machine *machine = create_machine_with_tasks(&sequence);
    struct lmn_job other = job;
    for (guint i = 0; i < machine->attempts->len; i++)
        g_array_index(machine->attempts, struct lmn_attempt, i).job = &other;
    other.phase = LMN_JOB_CANCELLED;
    for (int i = 0; i < 4; i++)
        range.task_states[i] = LMN_TASK_QUEUED;
    range.started_count = 0;
    lmn_assign_range(core, &range, now);
    core->partitions[0].replication.stream.phase = LMN_STREAM_IN_SYNC;
    core->partitions[0].replication.stream.acknowledged_position =
        core->partitions[0].replication.stream.log_position;
    now = lmn_time_add(now, 4);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++sequence, 1, true, &command_count),
        200);
    assert_true(last_deferred_starts.log_position > 0);
    assert_int_equal(count_commands(last_answer, WIRE_KILL), 4);
    assert_int_equal(count_commands(last_answer, WIRE_START), 4);
    lmn_heartbeat_withhold_starts(core, &last_deferred_starts, last_answer, now);
    assert_int_equal(count_commands(last_answer, WIRE_KILL), 4);
    assert_int_equal(count_commands(last_answer, WIRE_START), 0);
    assert_int_equal(range.started_count, 0);
}

/* A controller whose cache is too old to answer heartbeats must not push commands either.
 */
static void nothing_is_pushed_with_an_outdated_cache(void **state)
{
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    GByteArray *body = g_byte_array_new();
    (void)state;

    for (int stale = 0; stale < 2; stale++) {
        create_core(0);
        set_up_machine_type();
        struct lmn_machine *machine = add_machine(1);
        machine->type = &core->cloud.machine_types.types[0];
        queue_tasks(4);
        now = lmn_time_add(now, lmn_settings_max_cache_age_s(&settings) +
                                    (stale ? 0.01 : -0.01));
        machine->agent.last_heartbeat_at = now;
        lmn_machine_wake(machine);
        assert_int_equal(
            lmn_worker_client_next_push(core, 0, 1, name, address, body, now), !stale);
        assert_int_equal(machine->attempts->len, stale ? 0 : 4);
    }
    g_byte_array_unref(body);
}

/* Guards against a failure when a job is cancelled during a push: the tasks that the push
 * starts were not killed until its outcome was known, while the answer renewed the lease.
 */
static void unconfirmed_starts_of_a_cancelled_job_are_killed(void **state)
{
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
    GByteArray *body = g_byte_array_new();
    uint64_t command_count, sequence = 0;
    (void)state;

    create_core(0);
    set_up_machine_type();
    struct lmn_machine *machine = add_machine(1);
    machine->type = &core->cloud.machine_types.types[0];
    queue_tasks(4);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++sequence, 1, true, &command_count),
        200);
    lmn_machine_requeue_tasks(core, machine, "requeued by the test", now);
    lmn_machine_wake(machine);
    assert_true(lmn_worker_client_next_push(core, 0, 1, name, address, body, now));
    assert_int_equal(machine->attempts->len, 4);
    now = lmn_time_add(now, 1);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++sequence, 1, false, &command_count),
        200);
    assert_int_equal(command_count, 0);
    job.phase = LMN_JOB_CANCELLED;
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++sequence, 1, false, &command_count),
        200);
    assert_int_equal(count_commands(last_answer, WIRE_START), 4);
    assert_int_equal(count_commands(last_answer, WIRE_KILL), 4);
    g_byte_array_unref(body);
}

static bool has_pending_tombstones(unsigned limit, unsigned expected, uint64_t *last)
{
    const char *job_ids[LMN_MAX_TOMBSTONES];
    return lmn_tombstones_pending(&core->cache.tombstones, 1, job_ids, limit, last) ==
           expected;
}

/* A job that another controller has cancelled is ended even while this controller's cache
 * does not show it, without a write or a change of its phase. Once the cache is proven to
 * be newer than the tombstone, only the cache counts. */
static void tombstones_stop_jobs_until_the_cache_is_newer(void **state)
{
    uint64_t command_count, sequence = 0, last;
    (void)state;

    struct lmn_machine *machine = create_machine_with_tasks(&sequence);
    assert_false(lmn_tombstone_receive(core, "run-999999", now));
    now = lmn_time_add(now, 1);
    assert_true(lmn_tombstone_receive(core, "run-000001", now));
    struct timespec received_at = now;
    for (int late = 0; late < 2; late++) {
        /* The cache is not updated; a second copy of the tombstone has no effect. */
        core->cache.fresh_at = lmn_time_add(received_at, -1);
        assert_false(lmn_job_may_run(core, &job));
        assert_int_equal(job.phase, LMN_JOB_ACTIVE);
        lmn_range_writer_flush(core, now);
        assert_null(lmn_kv_client_dequeue(core->kv_client));
        assert_true(lmn_tombstone_receive(core, "run-000001", received_at));
    }
    /* send_heartbeat() sets the cache's time to now, so this tombstone's time is later.
     */
    assert_true(lmn_tombstone_receive(core, "run-000001", lmn_time_add(now, 30)));
    now = lmn_time_add(now, 4);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++sequence, 1, true, &command_count),
        200);
    assert_int_equal(count_commands(last_answer, WIRE_KILL), 4);
    assert_int_equal(command_count, 4);
    now = lmn_time_add(now, 4); /* the tasks are gone: queued again, and not started */
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++sequence, 1, false, &command_count),
        200);
    assert_int_equal(command_count, 0);
    assert_int_equal(range.started_count, 0);
    now =
        lmn_time_add(now, 30); /* the cache, now newer, does not show the cancellation */
    assert_int_equal(
        send_heartbeat(machine, machine->name, 2, ++sequence, 1, false, &command_count),
        200);
    assert_true(command_count > 0);
    job.phase = LMN_JOB_CANCELLED;
    assert_false(lmn_tombstone_receive(core, "run-000001", now));

    /* Tombstones are sent until acknowledged, the oldest first, in a buffer of limited
     * size. */
    for (int i = 0; i < 10; i++)
        lmn_tombstone_add(&core->cache.tombstones, "run-000001");
    assert_true(has_pending_tombstones(4, 4, &last) &&
                has_pending_tombstones(4, 4, &last));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1, last);
    assert_true(has_pending_tombstones(100, 6, &last));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1, last);
    assert_true(has_pending_tombstones(100, 0, &last));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1,
                               3); /* the answer to an older request */
    assert_true(has_pending_tombstones(100, 0, &last));
    for (int i = 0; i < 3 * LMN_MAX_TOMBSTONES; i++)
        lmn_tombstone_add(&core->cache.tombstones, "run-000002");
    assert_true(has_pending_tombstones(LMN_MAX_TOMBSTONES, LMN_MAX_TOMBSTONES, &last));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1, last);
    assert_true(has_pending_tombstones(LMN_MAX_TOMBSTONES, 0, &last));
}

/* Guards against two failures: an entry that could not be parsed was skipped, so that its
 * task counted as gone; and "x/", or an index out of range, was parsed as another task of
 * job x. */
static void malformed_heartbeats_have_no_effect(void **state)
{
    static const char *const malformed_names[] = {
        "run-000001",    "run-000001/",   "run-000001/4294967296", "/1",
        "run-000001/-1", "run-000001/1x", "run-000001/1 "};
    uint64_t command_count, sequence = 0;
    (void)state;

    struct lmn_machine *machine = create_machine_with_tasks(&sequence);
    struct lmn_machine before = *machine;
    for (size_t i = 0; i < G_N_ELEMENTS(malformed_names); i++) {
        GByteArray *body = g_byte_array_new(), *out = g_byte_array_new();
        struct lmn_deferred_starts deferred_starts;
        lmn_cbor_put_map(body, 8);
        lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, machine->name);
        lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.9:1");
        lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "x");
        lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "a");
        lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, 2);
        lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, sequence + 1);
        lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, 1);
        lmn_cbor_put_text(body, WIRE_TASKS), lmn_cbor_put_array(body, 1);
        lmn_cbor_put_map(body, 2);
        lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, malformed_names[i]);
        lmn_cbor_put_text(body, WIRE_ATTEMPT), lmn_cbor_put_uint(body, 1);
        assert_int_equal(
            lmn_heartbeat_handle(core, body->data, body->len, out, &deferred_starts, now),
            400);
        assert_non_null(memmem(out->data, out->len, WIRE_TASKS, strlen(WIRE_TASKS)));
        g_byte_array_unref(body);
        g_byte_array_unref(out);
    }
    assert_int_equal(
        send_heartbeat(machine, "host\n1", 2, sequence + 1, 1, true, &command_count),
        400);
    assert_int_equal(
        send_heartbeat(machine, machine->name, 0, sequence + 1, 1, true, &command_count),
        400);
    assert_int_equal(core->counters.malformed_heartbeats,
                     G_N_ELEMENTS(malformed_names) + 2);
    assert_memory_equal(&before, machine, sizeof before);
    assert_int_equal(range.started_count, 4);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(silent_machine_is_probed_and_drained),
        cmocka_unit_test(machine_is_drained_when_its_spot_notice_ends),
        cmocka_unit_test(machines_with_unanswered_probes_are_probed_last),
        cmocka_unit_test(leases_expire_only_while_ownership_is_known),
        cmocka_unit_test(any_lane_probes_silent_machines),
        cmocka_unit_test(machine_that_ignores_commands_gets_single_trial_tasks),
        cmocka_unit_test(old_heartbeats_do_not_delay_the_drain),
        cmocka_unit_test(returned_machine_seen_in_a_late_heartbeat_is_drained),
        cmocka_unit_test(late_heartbeats_have_no_effect),
        cmocka_unit_test(isolated_controller_redirects_each_worker_once),
        cmocka_unit_test(each_answer_kills_tasks_of_cancelled_jobs),
        cmocka_unit_test(withholding_starts_keeps_the_kills),
        cmocka_unit_test(nothing_is_pushed_with_an_outdated_cache),
        cmocka_unit_test(unconfirmed_starts_of_a_cancelled_job_are_killed),
        cmocka_unit_test(tombstones_stop_jobs_until_the_cache_is_newer),
        cmocka_unit_test(malformed_heartbeats_have_no_effect),
        cmocka_unit_test(idle_time_counts_from_readiness),
        cmocka_unit_test(machines_of_a_silent_zone_are_not_drained_at_once),
        cmocka_unit_test(
            inherited_machines_are_drained_unless_preferred_owner_shares_their_silent_zone),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
