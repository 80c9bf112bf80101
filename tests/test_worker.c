/* Which machines are asked, and when they are given up. */
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
#include "state/task_ledger.h"
#include "state/core.h"
#include "state/core_state.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

/* Past cores are left behind as they are. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_team team[1];
static struct lmn_settings cfg;
static struct lmn_core *core;
static struct timespec now;

static struct lmn_machine *add(int i)
{
    char name[32];

    g_snprintf(name, sizeof name, "host-%06d", i);
    struct lmn_machine *machine = lmn_machine_new(&core->partitions[0], name);
    machine->record.revision = 1;
    machine->agent.has_reported = machine->lifecycle.is_accounted = true;
    machine->agent.last_heartbeat_at = now;
    return machine;
}

static void make(int machines)
{
    memset(&cfg, 0, sizeof cfg);
    g_strlcpy(team[0].name, "t", LMN_NAME_SIZE);
    cfg.teams = team;
    cfg.team_count = 1;
    cfg.partition_count = 1;
    cfg.state_requests_per_s = cfg.state_writes_per_s = 1000;
    cfg.max_txn_operations = 12;
    cfg.heartbeat_s = 8;
    cfg.lease_s = 44;
    cfg.cancel_s = 64;
    now = (struct timespec){1000, 0};
    core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
    core->partitions[0].ownership.is_owned = core->partitions[0].ownership.is_ready =
        core->partitions[0].ownership.inherited_may_start = true;
    core->partitions[0].ownership.epoch = 1;
    core->partitions[0].ownership.since = now;
    core->cache.is_synced = true;
    for (int i = 0; i < machines; i++)
        add(i);
}

/* Lets seconds pass in which all but the silent report, and asks whoever is worth asking:
 * none of those answers. */
static void pass(double seconds, const struct lmn_machine *silent)
{
    GHashTableIter it;
    gpointer v;
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t epoch;

    for (double t = 0; t < seconds; t += 0.25) {
        now = lmn_time_add(now, 0.25);
        core->cache.fresh_at = now;
        g_hash_table_iter_init(&it, core->partitions[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            if (v != silent)
                ((struct lmn_machine *)v)->agent.last_heartbeat_at = now;
        while (lmn_worker_client_next_probe(core, 0, 1, name, addr, &epoch, now)) {
            assert_string_equal(name, silent->name);
            lmn_worker_client_probe_done(core, name, epoch, LMN_HTTP_NO_RESPONSE, NULL,
                                         now);
        }
        lmn_maintenance_run(core, now);
    }
}

/* A machine that vanished without notice was once only asked during takeovers; its tasks
 * waited for the lease. */
static void silent_is_asked(void **state)
{
    (void)state;
    make(9);
    struct lmn_machine *machine = add(100);
    pass(11, machine);
    assert_int_equal(machine->agent.unanswered_probes,
                     0); /* its next report may still be on its way */
    pass(5, machine);
    assert_true(machine->agent.unanswered_probes >= 2);
    assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
}

/* Tasks on a machine that the cloud has announced to take are not waited for beyond that.
 */
static void taken_is_given_up(void **state)
{
    (void)state;
    make(9);
    struct lmn_machine *machine = add(100);
    machine->lifecycle.has_spot_notice = true;
    machine->lifecycle.spot_notice_at = now;
    machine->lifecycle.spot_notice_s = 6;
    pass(5, machine);
    assert_false(machine->lifecycle.is_draining);
    pass(2, machine);
    assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
}

/* A zone was cut off with its controller: that gave up the machines of the other zones
 * when their lease was over by its own reckoning, though a successor had kept them alive,
 * and started their tasks a second time. It may so only if it was the owner still when
 * the lease was over. */
static void lapses_need_ownership(void **state)
{
    (void)state;
    make(0);
    struct lmn_machine *machine = add(1);
    core->cache.fresh_at = lmn_time_add(
        now, cfg.lease_s - 1); /* the last that it heard of the state service */
    now = lmn_time_add(now, 2 * cfg.lease_s);
    lmn_maintenance_run(core, now);
    assert_false(machine->agent.lease_expired);
    core->cache.fresh_at = now; /* heard again, and still the owner */
    lmn_maintenance_run(core, now);
    assert_true(machine->agent.lease_expired);
}

/* With a zone that is cut off, its machines were once returned after some seconds, and
 * all replicas on them ended. They are waited for, while a single silent machine is not.
 */
static void cut_zones_are_waited_for(void **state)
{
    struct lmn_machine *far[8];
    (void)state;
    make(20);
    struct lmn_machine *one = add(100);
    g_strlcpy(one->zone, "a", sizeof one->zone);
    for (int i = 0; i < 8; i++) {
        far[i] = add(200 + i);
        g_strlcpy(far[i]->zone, "b", sizeof far[i]->zone);
        far[i]->agent.unanswered_probes = 2;
    }
    for (int i = 0; i < 20; i++)
        g_strlcpy(((struct lmn_machine *)g_hash_table_lookup(
                       core->partitions[0].machines, g_strdup_printf("host-%06d", i)))
                      ->zone,
                  "a", LMN_NAME_SIZE);
    one->agent.unanswered_probes = 2;
    now = lmn_time_add(now, cfg.lease_s - 5);
    core->cache.fresh_at = now;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, core->partitions[0].machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (v != one && strcmp(((struct lmn_machine *)v)->zone, "b"))
            ((struct lmn_machine *)v)->agent.last_heartbeat_at = now;
    lmn_maintenance_run(core, now);
    assert_true(one->lifecycle.is_draining);
    for (int i = 0; i < 8; i++)
        assert_false(far[i]->lifecycle.is_draining);
    /* The cut is over and most are heard again: the others once were returned at that
     * moment. */
    for (int k = 0; k < 2; k++) {
        core->cache.fresh_at = now = lmn_time_add(now, k ? cfg.heartbeat_s + 11 : 1);
        g_hash_table_iter_init(&it, core->partitions[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            if (v != far[0] && v != far[1])
                ((struct lmn_machine *)v)->agent.last_heartbeat_at = now;
        lmn_maintenance_run(core, now);
        for (int i = 0; i < 2; i++)
            assert_int_equal(far[i]->lifecycle.is_draining, k);
    }
}

/* After a takeover with a zone cut off: where the partition's usual holder stands in that
 * zone, it may still answer its workers; elsewhere nobody does, and all queued work would
 * wait for them. */
static void inherited_ones_are_waited_for_where_the_holder_is(void **state)
{
    static const char *const holder_in[] = {"a", "b"};
    (void)state;
    for (int k = 0; k < 2; k++) {
        make(20);
        g_strlcpy(cfg.zone, holder_in[k], sizeof cfg.zone);
        GHashTableIter it;
        gpointer v;
        g_hash_table_iter_init(&it, core->partitions[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            g_strlcpy(((struct lmn_machine *)v)->zone, "a", LMN_NAME_SIZE);
        core->partitions[0].ownership.is_ready = false;
        struct lmn_machine *far[8];
        for (int i = 0; i < 8; i++) {
            far[i] = add(200 + i);
            g_strlcpy(far[i]->zone, "b", sizeof far[i]->zone);
            far[i]->lifecycle.is_inherited = true;
            far[i]->agent.has_reported = far[i]->lifecycle.is_accounted = false;
            far[i]->agent.unanswered_probes = 2;
        }
        now = lmn_time_add(now, 6);
        core->cache.fresh_at = now;
        lmn_maintenance_run(core, now);
        for (int i = 0; i < 8; i++)
            assert_int_equal(far[i]->lifecycle.is_draining, k == 0);
    }
}

/* One that does not answer holds a lane up: the others are asked before it is asked
 * again. */
static void unanswered_come_last(void **state)
{
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    (void)state;
    make(0);
    core->partitions[0].ownership.is_ready = false;
    core->partitions[0].ownership.needs_probing = true;
    for (int i = 0; i < 20; i++) {
        struct lmn_machine *machine = add(i);
        machine->lifecycle.is_inherited = true;
        machine->lifecycle.is_accounted = false;
        machine->agent.unanswered_probes = i % 2;
    }
    for (int i = 0; i < 20; i++) {
        assert_true(lmn_worker_client_next_probe(core, 0, 1, name, addr, &epoch, now));
        struct lmn_machine *machine =
            g_hash_table_lookup(core->partitions[0].machines, name);
        assert_int_equal(machine->agent.unanswered_probes, i < 10 ? 0 : 1);
    }
    assert_false(lmn_worker_client_next_probe(core, 0, 1, name, addr, &epoch, now));
}

/* After a wave of losses a few lanes were left with most of the silent machines, a second
 * for each question: any lane asks them, and once is enough for one whose report is
 * overdue. */
static void any_lane_asks(void **state)
{
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    uint64_t epoch;
    struct lmn_machine *lost[12];
    (void)state;
    make(40);
    core->partitions[0].ownership.is_ready = false;
    core->partitions[0].ownership.needs_probing = true;
    for (int i = 0; i < 12; i++) {
        lost[i] = add(100 + i);
        lost[i]->lifecycle.is_inherited = true;
        lost[i]->agent.has_reported = lost[i]->lifecycle.is_accounted = false;
    }
    now = lmn_time_add(now, 3);
    for (unsigned lane = 0; lane < 12; lane++)
        assert_true(
            lmn_worker_client_next_probe(core, lane, 12, name, addr, &epoch, now));
    assert_false(lmn_worker_client_next_probe(core, 0, 12, name, addr, &epoch, now));
    for (int i = 0; i < 12; i++)
        lmn_worker_client_probe_done(core, lost[i]->name, 1, LMN_HTTP_NO_RESPONSE, NULL,
                                     now);
    core->cache.fresh_at = now = lmn_time_add(now, 2);
    lmn_maintenance_run(core, now);
    for (int i = 0; i < 12; i++)
        assert_false(lost[i]->lifecycle.is_draining);
    core->cache.fresh_at = now = lmn_time_add(now, 1.25 * cfg.heartbeat_s);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, core->partitions[0].machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (!((struct lmn_machine *)v)->lifecycle.is_inherited)
            ((struct lmn_machine *)v)->agent.last_heartbeat_at = now;
    lmn_maintenance_run(core, now);
    for (int i = 0; i < 12; i++)
        assert_true(lost[i]->lifecycle.is_draining);
}

/* Machines of a partition whose inherited work still waits were returned as idle, and
 * rented anew as soon as it was ready. */
static void idle_counts_from_readiness(void **state)
{
    (void)state;
    make(6);
    struct lmn_machine *machine = add(50);
    core->partitions[0].ownership.is_ready = false;
    machine->lifecycle.idle_since = now;
    struct lmn_machine *lost = add(51);
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

/* --- reports --- */

static struct lmn_job job;
static struct lmn_range range;

/* A job of so many tasks of a processor each, all of them queued. */
static void queue_tasks(uint32_t n)
{
    memset(&job, 0, sizeof job);
    memset(&range, 0, sizeof range);
    g_strlcpy(job.spec.id, "run-000001", LMN_JOB_ID_SIZE);
    job.spec.tasks = n;
    job.spec.cpus = 1;
    job.spec.image = (char *)"i";
    job.spec.deadline_s = -1;
    job.image = g_intern_string("i");
    job.class_name = g_intern_string("c");
    job.revision = 1;
    job.ranges = g_ptr_array_new();
    range.job = &job;
    range.partition = &core->partitions[0];
    range.end = n;
    range.key = g_strdup("r/0/run-000001/0");
    range.done = g_malloc0((n + 7) / 8);
    g_ptr_array_add(job.ranges, &range);
    g_hash_table_insert(core->partitions[0].ranges, range.key, &range);
    g_hash_table_insert(core->cache.jobs, job.spec.id, &job);
    lmn_range_open(core, &range);
    range.is_assigned = true;
    lmn_assign_range(core, &range, now);
}

static void with_type(void)
{
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x", .cpus = 8, .memory_gb = 64};
    core->members.cache_fresh_at = core->members.last_tick_at = core->cache.fresh_at =
        now;
}

/* A report that lists the tasks of the last answer if it was heard. Returns the status,
 * and in *orders how many orders the answer has. */
static GByteArray *answered; /* the last answer, and what it waits for */
static struct lmn_deferred_starts last_held;

static int report(const struct lmn_machine *machine, const char *name, uint64_t session,
                  uint64_t seq, uint64_t token, bool lists, uint64_t *orders)
{
    GByteArray *b = g_byte_array_new(), *out = g_byte_array_new();
    struct lmn_cbor_document d;
    guint n = lists ? machine->attempts->len : 0;

    lmn_cbor_put_map(b, 9);
    lmn_cbor_put_text(b, WIRE_MACHINE), lmn_cbor_put_text(b, name);
    lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, "10.0.0.9:1");
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, "x");
    lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, "a");
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, false);
    lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, session);
    lmn_cbor_put_text(b, WIRE_SEQUENCE), lmn_cbor_put_uint(b, seq);
    lmn_cbor_put_text(b, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(b, token);
    lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_array(b, n);
    for (guint i = 0; i < n; i++) {
        const struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, i);
        char task[64];
        g_snprintf(task, sizeof task, "%s/%u", attempt->job_id, attempt->index);
        lmn_cbor_put_map(b, 3);
        lmn_cbor_put_text(b, WIRE_TASK), lmn_cbor_put_text(b, task);
        lmn_cbor_put_text(b, WIRE_ATTEMPT), lmn_cbor_put_uint(b, attempt->number);
        lmn_cbor_put_text(b, WIRE_STATE), lmn_cbor_put_text(b, WIRE_FETCHING);
    }
    core->members.cache_fresh_at = core->members.last_tick_at = core->cache.fresh_at =
        now;
    int status = lmn_heartbeat_handle(core, b->data, b->len, out, &last_held, now);
    *orders = 0;
    if (status == 200 && lmn_cbor_parse(&d, out->data, out->len) == 0) {
        *orders = lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS)->len;
        lmn_cbor_free(&d);
    }
    g_byte_array_unref(b);
    if (answered)
        g_byte_array_unref(answered);
    answered = out;
    return status;
}

/* A machine that is heard and doesn't hear took whatever it had room for with each
 * report, and ran none of it. Now others have the work; it gets a task to try, more and
 * more seldom, and all it has room for once it is seen to have heard. */
static void unheeding_machines_get_a_try(void **state)
{
    uint64_t orders, seq = 0;
    unsigned tries = 0, given = 0;
    (void)state;

    make(0);
    with_type();
    struct lmn_machine *machine = add(1);
    machine->type = &core->cloud.machine_types.types[0];
    machine->agent.last_heartbeat_at = now;
    queue_tasks(20);
    assert_int_equal(report(machine, machine->name, 1, ++seq, 1, true, &orders), 200);
    assert_int_equal(orders, 8);
    for (int i = 0; i < 15; i++) { /* a minute */
        now = lmn_time_add(now, 4);
        assert_int_equal(report(machine, machine->name, 1, ++seq, 1, false, &orders),
                         200);
        assert_true(orders <= 1);
        assert_int_equal(machine->queue.task_count, 0);
        given += (unsigned)orders;
        tries++;
    }
    assert_in_range(given, 2, tries / 2);
    assert_int_equal(range.started_count, orders);
    now = lmn_time_add(now, 20);
    report(machine, machine->name, 1, ++seq, 1, false, &orders);
    assert_int_equal(orders, 1);
    now = lmn_time_add(now, 4);
    report(machine, machine->name, 1, ++seq, 1, true, &orders); /* it was heard */
    assert_int_equal(machine->agent.ignored_commands, 0);
    now = lmn_time_add(now, 20);
    machine->stealing.next_at = now;
    report(machine, machine->name, 1, ++seq, 1, true, &orders);
    assert_int_equal(range.started_count, 8);
}

/* After a takeover the partition's inherited work waited for as long as copies of old
 * reports, or reports of a machine that doesn't hear, came in: each put off its being
 * returned. */
static void old_reports_put_nothing_off(void **state)
{
    uint64_t orders, seq = 0;
    (void)state;

    for (int copies = 0; copies < 2; copies++) {
        make(9);
        with_type();
        struct lmn_partition *partition = &core->partitions[0];
        partition->ownership.epoch = 5;
        struct lmn_machine *machine = add(100);
        machine->agent.has_reported = machine->lifecycle.is_accounted = false;
        machine->lifecycle.is_inherited = true;
        machine->agent.unanswered_probes = 2;
        partition->ownership.is_ready = false;
        double waited = 0;
        for (; !machine->lifecycle.is_draining && waited < 60; waited += 2) {
            now = lmn_time_add(now, 2);
            for (guint i = 0; i < partition->machine_list->len; i++)
                if (partition->machine_list->pdata[i] != machine)
                    ((struct lmn_machine *)partition->machine_list->pdata[i])
                        ->agent.last_heartbeat_at = now;
            if (copies) /* one and the same, again and again, and older ones */
                report(machine, machine->name, 3, waited < 10 ? 40 : 7, 4, false,
                       &orders);
            else
                assert_int_equal(
                    report(machine, machine->name, 3, 40 + ++seq, 4, false, &orders),
                    200);
            assert_false(machine->lifecycle.is_accounted);
            core->cache.fresh_at = now;
            lmn_maintenance_run(core, now);
        }
        assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
        assert_in_range((int)waited, 1.25 * cfg.heartbeat_s + 4,
                        1.25 * cfg.heartbeat_s + 8);
    }
}

/* A copy of a report of a machine that was returned before this process began: it was
 * counted as a machine, in the records and in how jobs are cut, until the next takeover.
 */
static void ghosts_are_returned(void **state)
{
    uint64_t orders;
    (void)state;

    make(9);
    with_type();
    core->partitions[0].ownership.epoch = 5;
    assert_int_equal(report(NULL, "host-000900", 2, 70, 4, false, &orders), 200);
    struct lmn_machine *machine =
        g_hash_table_lookup(core->partitions[0].machines, "host-000900");
    assert_non_null(machine);
    assert_false(machine->lifecycle.is_accounted);
    assert_int_equal(orders, 0);
    pass(cfg.lease_s, machine);
    assert_false(machine->lifecycle.is_draining);
    pass(1.25 * cfg.heartbeat_s + 1, machine);
    assert_true(machine->lifecycle.is_draining && machine->lifecycle.drain_at_once);
    lmn_machine_handle_termination(core, machine, now);
    assert_int_equal(report(NULL, "host-000900", 2, 71, 4, false, &orders), 503);
}

/* Copies that come late neither say that workers reach a node that hears none, nor end or
 * start anything. */
static void late_copies_say_nothing(void **state)
{
    uint64_t orders;
    (void)state;

    make(9);
    with_type();
    struct lmn_machine *machine = add(100);
    machine->type = &core->cloud.machine_types.types[0];
    queue_tasks(4);
    report(machine, machine->name, 2, 10, 1, true, &orders);
    assert_int_equal(orders, 4);
    now = lmn_time_add(now, 2);
    report(machine, machine->name, 2, 12, 1, true, &orders);
    struct timespec last = machine->agent.last_heartbeat_at;
    now = lmn_time_add(now, 2);
    core->members.is_isolated_from_workers = true;
    for (uint64_t seq = 9; seq <= 12; seq++) {
        assert_int_equal(report(machine, machine->name, 2, seq, 1, false, &orders), 503);
        assert_int_equal(report(machine, machine->name, 1, 90 + seq, 1, false, &orders),
                         503);
    }
    report(NULL, "host-000901", 1, 5, 1, false,
           &orders); /* of one that nothing is known of */
    assert_true(core->members.is_isolated_from_workers);
    assert_int_equal(range.started_count, 4);
    assert_int_equal(lmn_time_diff_s(machine->agent.last_heartbeat_at, last), 0);
    machine->agent.sequence = 20; /* a call's answer: a report from before it may have
                    been on its way for minutes */
    assert_int_equal(report(machine, machine->name, 2, 13, 1, true, &orders), 200);
    assert_true(core->members.is_isolated_from_workers);
    assert_int_equal(report(machine, machine->name, 2, 21, 1, true, &orders), 200);
    assert_false(core->members.is_isolated_from_workers);
    assert_int_equal(range.started_count, 4);
}

/* Cut off from the state service and the other controllers, a node held its workers until
 * the fence: it sends each on once, and keeps alive who comes back. Not where the way
 * round takes longer than a lease. */
static void an_isolated_node_sends_its_workers_on(void **state)
{
    uint64_t orders, seq = 0;
    (void)state;

    for (int lease = 10; lease <= 40; lease += 30) {
        make(9);
        with_type();
        cfg.lease_s = lease;
        struct lmn_machine *machine = add(100);
        core->members.count = 3;
        core->members.names[1] = "poste-1";
        core->members.names[2] = "poste-2";
        for (int i = 1; i < 3; i++)
            core->members.views[i].is_present = true;
        assert_int_equal(report(machine, machine->name, 1, ++seq, 1, false, &orders),
                         200);
        core->cache.isolated_since = now;
        now = lmn_time_add(now, 1);
        int first = report(machine, machine->name, 1, ++seq, 1, false, &orders);
        assert_int_equal(first == 200, lease == 10);
        assert_int_equal(report(machine, machine->name, 1, ++seq, 1, false, &orders),
                         200);
        core->cache.isolated_since = (struct timespec){0, 0};
        assert_int_equal(report(machine, machine->name, 1, ++seq, 1, false, &orders),
                         200);
    }
}

/* --- cancellations --- */

/* How many commands of the kind the answer has. */
static unsigned commands(const GByteArray *out, const char *op)
{
    struct lmn_cbor_document d;
    unsigned n = 0;

    assert_int_equal(lmn_cbor_parse(&d, out->data, out->len), 0);
    const struct lmn_cbor_value *list =
        lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_COMMANDS);
    for (const struct lmn_cbor_value *x = lmn_cbor_first_child(&d, list); x;
         x = lmn_cbor_next(&d, x))
        n += lmn_cbor_text_equals(lmn_cbor_get(&d, x, WIRE_COMMAND), op);
    lmn_cbor_free(&d);
    return n;
}

/* A machine with four tasks of a job, which it names. */
static struct lmn_machine *with_tasks(uint64_t *seq)
{
    uint64_t orders;

    make(3);
    with_type();
    struct lmn_machine *machine = add(100);
    machine->type = &core->cloud.machine_types.types[0];
    queue_tasks(4);
    assert_int_equal(report(machine, machine->name, 2, ++*seq, 1, true, &orders), 200);
    assert_int_equal(orders, 4);
    now = lmn_time_add(now, 4);
    assert_int_equal(report(machine, machine->name, 2, ++*seq, 1, true, &orders), 200);
    return machine;
}

/* An answer to a report from before the term, or to one that was overtaken, renewed the
 * lease of tasks whose job had been withdrawn long before, and did not end them. */
static void each_answer_ends_what_is_withdrawn(void **state)
{
    uint64_t orders, seq = 0;
    (void)state;

    for (int withdrawn = 0; withdrawn < 2; withdrawn++) {
        struct lmn_machine *machine = with_tasks(&seq),
                           *names = lmn_machine_new(&core->partitions[0], "x");
        g_array_append_vals(names->attempts, machine->attempts->data,
                            machine->attempts->len);
        if (withdrawn)
            job.phase = LMN_JOB_CANCELLED;
        machine->agent.sequence = seq + 9; /* a call's answer was newer */
        assert_int_equal(report(machine, machine->name, 2, ++seq, 1, true, &orders), 200);
        assert_int_equal(commands(answered, WIRE_KILL), withdrawn ? 4 + 4 : 0);
        assert_int_equal(orders, commands(answered, WIRE_KILL));
        /* Another has it from now on, and has heard nothing of the machine. */
        g_array_set_size(machine->attempts, 0);
        machine->agent.has_reported = machine->lifecycle.is_accounted = false;
        core->partitions[0].ownership.epoch = 2;
        assert_int_equal(report(names, machine->name, 2, ++seq, 1, true, &orders), 200);
        assert_int_equal(commands(answered, WIRE_KILL), withdrawn ? 4 : 0);
        assert_int_equal(orders, commands(answered, WIRE_KILL));
        assert_false(machine->lifecycle.is_accounted);
    }
}

/* The standby acknowledged no start of the answer: what went out in its place had no
 * kills either, and renewed the lease. */
static void a_withheld_answer_keeps_its_kills(void **state)
{
    uint64_t orders, seq = 0;
    (void)state;

    struct lmn_machine *machine = with_tasks(&seq);
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
    assert_int_equal(report(machine, machine->name, 2, ++seq, 1, true, &orders), 200);
    assert_true(last_held.log_position > 0);
    assert_int_equal(commands(answered, WIRE_KILL), 4);
    assert_int_equal(commands(answered, WIRE_START), 4);
    lmn_heartbeat_withhold_starts(core, &last_held, answered, now);
    assert_int_equal(commands(answered, WIRE_KILL), 4);
    assert_int_equal(commands(answered, WIRE_START), 0);
    assert_int_equal(range.started_count, 0);
}

/* Who answers no worker any more starts nothing by the other way either. */
static void nothing_starts_behind_the_fence(void **state)
{
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    GByteArray *body = g_byte_array_new();
    (void)state;

    for (int stale = 0; stale < 2; stale++) {
        make(0);
        with_type();
        struct lmn_machine *machine = add(1);
        machine->type = &core->cloud.machine_types.types[0];
        queue_tasks(4);
        now = lmn_time_add(now,
                           lmn_settings_max_cache_age_s(&cfg) + (stale ? 0.01 : -0.01));
        machine->agent.last_heartbeat_at = now;
        lmn_machine_wake(machine);
        assert_int_equal(lmn_worker_client_next_push(core, 0, 1, name, addr, body, now),
                         !stale);
        assert_int_equal(machine->attempts->len, stale ? 0 : 4);
    }
    g_byte_array_unref(body);
}

/* A call was under way when its job was withdrawn: its starts were left alone until its
 * outcome was known, and the answer renewed the lease. */
static void starts_under_way_are_ended(void **state)
{
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE];
    GByteArray *body = g_byte_array_new();
    uint64_t orders, seq = 0;
    (void)state;

    make(0);
    with_type();
    struct lmn_machine *machine = add(1);
    machine->type = &core->cloud.machine_types.types[0];
    queue_tasks(4);
    assert_int_equal(report(machine, machine->name, 2, ++seq, 1, true, &orders), 200);
    lmn_machine_requeue_tasks(core, machine, "to begin with", now);
    lmn_machine_wake(machine);
    assert_true(lmn_worker_client_next_push(core, 0, 1, name, addr, body, now));
    assert_int_equal(machine->attempts->len, 4);
    now = lmn_time_add(now, 1);
    assert_int_equal(report(machine, machine->name, 2, ++seq, 1, false, &orders), 200);
    assert_int_equal(orders, 0);
    job.phase = LMN_JOB_CANCELLED;
    assert_int_equal(report(machine, machine->name, 2, ++seq, 1, false, &orders), 200);
    assert_int_equal(commands(answered, WIRE_START), 4);
    assert_int_equal(commands(answered, WIRE_KILL), 4);
    g_byte_array_unref(body);
}

static bool took(unsigned most, unsigned want, uint64_t *upto)
{
    const char *refs[LMN_MAX_TOMBSTONES];
    return lmn_tombstones_pending(&core->cache.tombstones, 1, refs, most, upto) == want;
}

/* What another controller has confirmed ends although the mirror doesn't show it, and is
 * neither written nor forgotten; once the mirror is proven to be of a later time, it
 * alone counts. */
static void tombstones_help_and_decide_nothing(void **state)
{
    uint64_t orders, seq = 0, upto;
    (void)state;

    struct lmn_machine *machine = with_tasks(&seq);
    assert_false(lmn_tombstone_receive(core, "run-999999", now));
    now = lmn_time_add(now, 1);
    assert_true(lmn_tombstone_receive(core, "run-000001", now));
    struct timespec heard = now;
    for (int late = 0; late < 2; late++) {
        /* The mirror stands still; a late twin of the tombstone changes nothing. */
        core->cache.fresh_at = lmn_time_add(heard, -1);
        assert_false(lmn_job_may_run(core, &job));
        assert_int_equal(job.phase, LMN_JOB_ACTIVE);
        lmn_range_writer_flush(core, now);
        assert_null(lmn_kv_client_dequeue(core->kv_client));
        assert_true(lmn_tombstone_receive(core, "run-000001", heard));
    }
    /* report() has the mirror proven as of now: a tombstone of later than that. */
    assert_true(lmn_tombstone_receive(core, "run-000001", lmn_time_add(now, 30)));
    now = lmn_time_add(now, 4);
    assert_int_equal(report(machine, machine->name, 2, ++seq, 1, true, &orders), 200);
    assert_int_equal(commands(answered, WIRE_KILL), 4);
    assert_int_equal(orders, 4);
    now = lmn_time_add(now, 4); /* they are gone: queued again, and not started */
    assert_int_equal(report(machine, machine->name, 2, ++seq, 1, false, &orders), 200);
    assert_int_equal(orders, 0);
    assert_int_equal(range.started_count, 0);
    now = lmn_time_add(now, 30); /* it was wrong */
    assert_int_equal(report(machine, machine->name, 2, ++seq, 1, false, &orders), 200);
    assert_true(orders > 0);
    job.phase = LMN_JOB_CANCELLED;
    assert_false(lmn_tombstone_receive(core, "run-000001", now));

    /* Told until taken, the oldest first, in bounded room. */
    for (int i = 0; i < 10; i++)
        lmn_tombstone_add(&core->cache.tombstones, "run-000001");
    assert_true(took(4, 4, &upto) && took(4, 4, &upto));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1, upto);
    assert_true(took(100, 6, &upto));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1, upto);
    assert_true(took(100, 0, &upto));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1,
                               3); /* the answer to an older call */
    assert_true(took(100, 0, &upto));
    for (int i = 0; i < 3 * LMN_MAX_TOMBSTONES; i++)
        lmn_tombstone_add(&core->cache.tombstones, "run-000002");
    assert_true(took(LMN_MAX_TOMBSTONES, LMN_MAX_TOMBSTONES, &upto));
    lmn_tombstones_acknowledge(&core->cache.tombstones, 1, upto);
    assert_true(took(LMN_MAX_TOMBSTONES, 0, &upto));
}

/* Once an entry that could not be read was passed over, and its task counted as gone; and
 * "x/" or a number beyond all bounds was read as some other task of x. */
static void malformed_reports_change_nothing(void **state)
{
    static const char *const bad[] = {
        "run-000001",    "run-000001/",   "run-000001/4294967296", "/1",
        "run-000001/-1", "run-000001/1x", "run-000001/1 "};
    uint64_t orders, seq = 0;
    (void)state;

    struct lmn_machine *machine = with_tasks(&seq);
    struct lmn_machine old = *machine;
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        GByteArray *b = g_byte_array_new(), *out = g_byte_array_new();
        struct lmn_deferred_starts held;
        lmn_cbor_put_map(b, 8);
        lmn_cbor_put_text(b, WIRE_MACHINE), lmn_cbor_put_text(b, machine->name);
        lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, "10.0.0.9:1");
        lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, "x");
        lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, "a");
        lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, 2);
        lmn_cbor_put_text(b, WIRE_SEQUENCE), lmn_cbor_put_uint(b, seq + 1);
        lmn_cbor_put_text(b, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(b, 1);
        lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_array(b, 1);
        lmn_cbor_put_map(b, 2);
        lmn_cbor_put_text(b, WIRE_TASK), lmn_cbor_put_text(b, bad[i]);
        lmn_cbor_put_text(b, WIRE_ATTEMPT), lmn_cbor_put_uint(b, 1);
        assert_int_equal(lmn_heartbeat_handle(core, b->data, b->len, out, &held, now),
                         400);
        assert_non_null(memmem(out->data, out->len, WIRE_TASKS, strlen(WIRE_TASKS)));
        g_byte_array_unref(b);
        g_byte_array_unref(out);
    }
    assert_int_equal(report(machine, "host\n1", 2, seq + 1, 1, true, &orders), 400);
    assert_int_equal(report(machine, machine->name, 0, seq + 1, 1, true, &orders), 400);
    assert_int_equal(core->counters.malformed_heartbeats, G_N_ELEMENTS(bad) + 2);
    assert_memory_equal(&old, machine, sizeof old);
    assert_int_equal(range.started_count, 4);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(silent_is_asked),
        cmocka_unit_test(taken_is_given_up),
        cmocka_unit_test(unanswered_come_last),
        cmocka_unit_test(lapses_need_ownership),
        cmocka_unit_test(any_lane_asks),
        cmocka_unit_test(unheeding_machines_get_a_try),
        cmocka_unit_test(old_reports_put_nothing_off),
        cmocka_unit_test(ghosts_are_returned),
        cmocka_unit_test(late_copies_say_nothing),
        cmocka_unit_test(an_isolated_node_sends_its_workers_on),
        cmocka_unit_test(each_answer_ends_what_is_withdrawn),
        cmocka_unit_test(a_withheld_answer_keeps_its_kills),
        cmocka_unit_test(nothing_starts_behind_the_fence),
        cmocka_unit_test(starts_under_way_are_ended),
        cmocka_unit_test(tombstones_help_and_decide_nothing),
        cmocka_unit_test(malformed_reports_change_nothing),
        cmocka_unit_test(idle_counts_from_readiness),
        cmocka_unit_test(cut_zones_are_waited_for),
        cmocka_unit_test(inherited_ones_are_waited_for_where_the_holder_is),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
