/* How many attempts a machine gets: as many as its heartbeats, and the messages to it,
 * can name within 64 KiB of JSON. Plays one machine with the product's agent beside the
 * controller that owns it, with tasks that request little or nothing. */
#include "emulator/worker.h"
#include "job/message_limits.h"
#include "kv_client/kv_client.h"
#include "partition/heartbeat.h"
#include "partition/heartbeat_message.h"
#include "partition/maintenance.h"
#include "partition/owner.h"
#include "partition/range.h"
#include "partition/worker_push.h"
#include "http/client.h"
#include "scheduler/queue.h"
#include "scheduler/work_stealing.h"
#include "state/core.h"
#include "state/task_ledger.h"
#include "util/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

/* Tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { MAX_JOBS = 64, RUNS = 24, EPOCH = 7 };
static const double STEP_S = 0.5;
static const double LEASE_S = 44;
/* Time in which a machine works off its tasks, which take 0.2 to 4 s, in s. */
static const double RUN_S = 240;

static struct lmn_team team;
static struct lmn_settings settings;
static struct lmn_core *core;
static struct lmn_machine *machine;
static struct lmn_job jobs[MAX_JOBS];
static uint8_t recorded[MAX_JOBS][LMN_MAX_TASKS / 8];
static int job_count;
static struct lmn_emulator_faults no_faults;
static struct lmn_emu_worker worker;
static GRand *rng;
static struct timespec now;
static uint64_t epoch;

static const struct lmn_machine_type large = {
    .name = "large", .cpus = 64, .memory_gb = 256, .zones = {"a"}, .zone_count = 1};

/* Begins the life of a controller that owns the only partition. It knows no machine. */
static void start_controller(void)
{
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->cloud.machine_types.types[0] = large;
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types_known = true;
    core->cache.is_synced = true;
    core->cache.fresh_at = now;
    struct lmn_partition *partition = &core->partitions[0];
    partition->ownership.is_owned = partition->ownership.is_ready =
        partition->ownership.inherited_may_start = true;
    partition->ownership.epoch = ++epoch;
    partition->ownership.since = now;
    machine = NULL;
}

static void set_up(uint32_t seed)
{
    memset(&settings, 0, sizeof settings);
    memset(&team, 0, sizeof team);
    memset(jobs, 0, sizeof jobs);
    memset(recorded, 0, sizeof recorded);
    g_strlcpy(team.name, "t", sizeof team.name);
    settings.teams = &team;
    settings.team_count = 1;
    settings.partition_count = 1;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_txn_operations = 12;
    settings.heartbeat_s = 3;
    settings.lease_s = LEASE_S;
    settings.cancel_s = 64;
    settings.max_connections = 1000;
    job_count = 0;
    epoch = EPOCH;
    now = (struct timespec){1000, 0};
    lmn_test_clock = &now;
    rng = g_rand_new_with_seed(seed);
    no_faults = lmn_emulator_faults_default;
    no_faults.noise = 0;
    memset(&worker, 0, sizeof worker);
    g_strlcpy(worker.agent.name, "host-000001", LMN_NAME_SIZE);
    g_strlcpy(worker.agent.address, "10.0.0.1:9000", LMN_ADDRESS_SIZE);
    g_strlcpy(worker.agent.zone, "a", LMN_NAME_SIZE);
    worker.agent.type = large;
    lmn_emu_worker_init(&worker, &no_faults, seed, LEASE_S, now);
    start_controller();
}

/* Makes the controller know the job, as its watch cache shows it, and queues its tasks.
 */
static void open_job(int number)
{
    struct lmn_job *job = &jobs[number];
    struct lmn_range *range = g_new0(struct lmn_range, 1);

    *range = (struct lmn_range){.job = job,
                                .partition = &core->partitions[0],
                                .end = job->spec.tasks,
                                .move_to = -1,
                                .done = recorded[number]};
    for (uint32_t i = 0; i < range->end; i++)
        range->done_count += lmn_bitset_get(range->done, i);
    range->key = g_strdup_printf("r/0/%s/0", job->spec.id);
    job->ranges = g_ptr_array_new();
    g_ptr_array_add(job->ranges, range);
    g_hash_table_insert(core->partitions[0].ranges, range->key, range);
    g_hash_table_insert(core->cache.jobs, job->spec.id, job);
    lmn_range_open(core, range);
    range->is_assigned = true;
    lmn_assign_range(core, range, now);
}

/* Adds a job whose id is as long as ids may be. */
static struct lmn_job *add_job(uint32_t tasks, double cpus, double estimate_s)
{
    struct lmn_job *job = &jobs[job_count];

    g_snprintf(job->spec.id, sizeof job->spec.id, "run-%019d", job_count);
    job->spec.team = (char *)"t";
    job->spec.class_name = (char *)"c";
    job->spec.image = (char *)"i";
    job->image = g_intern_string("i");
    job->spec.kind = LMN_JOB_BATCH;
    job->spec.priority = LMN_PRIORITY_NORMAL;
    job->spec.tasks = tasks;
    job->spec.cpus = cpus;
    job->spec.estimate_s = estimate_s;
    job->spec.deadline_s = -1;
    open_job(job_count++);
    return job;
}

static void restart_controller(void)
{
    start_controller();
    for (int i = 0; i < job_count; i++)
        open_job(i);
}

/* Asserts that the message is within the limit, and the agent's list of attempts, too. */
static void check_size(const GByteArray *message)
{
    struct lmn_cbor_document document;

    assert_int_equal(lmn_cbor_parse(&document, message->data, message->len), 0);
    assert_in_range(lmn_cbor_json_size(&document, lmn_cbor_root(&document)), 1,
                    LMN_MAX_MESSAGE_BYTES);
    lmn_cbor_free(&document);
    assert_in_range(worker.agent.runs->len, 0, LMN_MAX_MACHINE_ATTEMPTS);
}

static void describe_runs(void)
{
    for (guint i = 0; i < worker.asking->len; i++) {
        uint64_t id = g_array_index(worker.asking, uint64_t, i);
        const struct lmn_task_run *run = lmn_agent_find_run(&worker.agent, id);
        for (int k = 0; run && k < job_count; k++)
            if (!strcmp(jobs[k].spec.id, run->job_id)) {
                lmn_emu_worker_described(&worker, id, &jobs[k].spec, now);
                break;
            }
    }
    g_array_set_size(worker.asking, 0);
}

/* The machine sends a heartbeat. The reply is lost by chance. */
static void exchange_heartbeat(double loss)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_autoptr(GByteArray) reply = g_byte_array_new();
    struct lmn_deferred_starts deferred;
    uint64_t incarnation = worker.agent.incarnation;

    lmn_agent_write_heartbeat(&worker.agent, body, now);
    check_size(body);
    assert_int_equal(
        lmn_heartbeat_handle(core, body->data, body->len, reply, &deferred, now), 200);
    check_size(reply);
    if (g_rand_double(rng) >= loss)
        assert_true(lmn_agent_heartbeat_answered(&worker.agent, incarnation, now,
                                                 reply->data, reply->len, now));
    machine = core->partitions[0].machine_list->pdata[0];
    machine->record.revision = 1;
}

/* The controller pushes what it has for the machine. The push's answer is lost by chance
 * if it has few starts: each of those must be named until the machine is returned. */
static void exchange_pushes(double loss)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];

    while (lmn_worker_client_next_push(core, 0, 1, name, address, body, now)) {
        g_autoptr(GByteArray) answer = g_byte_array_new();
        check_size(body);
        int status =
            lmn_agent_handle_commands(&worker.agent, body->data, body->len, answer, now);
        check_size(answer);
        bool is_lost = body->len < 1000 && g_rand_double(rng) < loss;
        lmn_worker_client_push_done(core, name, is_lost ? LMN_HTTP_NO_RESPONSE : status,
                                    is_lost ? NULL : answer, now);
    }
}

/* Records in the store which tasks are done. */
static void record_done_tasks(void)
{
    for (int i = 0; i < job_count; i++) {
        struct lmn_range *range = jobs[i].ranges->pdata[0];
        for (uint32_t k = 0; k < range->end; k++)
            if (range->task_states[k] == LMN_TASK_DONE &&
                !lmn_bitset_get(range->done, k)) {
                lmn_bitset_set(range->done, k);
                range->done_count++;
            }
    }
}

static void step(double loss)
{
    now = lmn_time_add(now, STEP_S);
    core->cache.fresh_at = now;
    lmn_emu_worker_pass(&worker, now);
    describe_runs();
    exchange_heartbeat(loss);
    describe_runs();
    exchange_pushes(loss);
    describe_runs();
    if (g_rand_double(rng) < 0.5)
        record_done_tasks();
    lmn_maintenance_run(core, now);
}

static bool all_jobs_are_over(void)
{
    for (int i = 0; i < job_count; i++) {
        const struct lmn_range *range = jobs[i].ranges->pdata[0];
        if (jobs[i].phase == LMN_JOB_ACTIVE && range->done_count < range->end)
            return false;
    }
    return true;
}

/* Adds arrays of tasks that request little or nothing: one large one, or many. */
static void add_random_jobs(void)
{
    static const double sizes[] = {0, 0.001, 0.04, 0.1};
    bool is_one = g_rand_boolean(rng);
    int count = is_one ? 1 : g_rand_int_range(rng, 2, 30);

    for (int i = 0; i < count; i++)
        add_job((uint32_t)g_rand_int_range(rng, 1, is_one ? 3000 : 150),
                sizes[g_rand_int_range(rng, 0, G_N_ELEMENTS(sizes))],
                g_rand_double_range(rng, 0.2, 4));
}

static void cancel_some_jobs(void)
{
    for (int i = 0; i < job_count; i++)
        if (g_rand_double(rng) < 0.3)
            jobs[i].phase = LMN_JOB_CANCELLED;
}

/* Guards against a machine that can't send its heartbeats: it was given 1,500 small tasks
 * at once, lost its lease, and was given them again. */
static void small_tasks_all_get_done_within_the_limits_of_messages(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= RUNS; seed++) {
        set_up(seed);
        double loss = seed % 3 ? 0.15 : 0;
        int restart_at = seed % 2 ? g_rand_int_range(rng, 4, 60) : -1;
        int cancel_at = g_rand_int_range(rng, 4, 60);
        guint most_runs = 0;
        step(0);
        add_random_jobs();
        int steps = 0;
        for (; steps < RUN_S / STEP_S && !(steps > 60 && all_jobs_are_over()); steps++) {
            if (steps == restart_at)
                restart_controller();
            if (steps == cancel_at)
                cancel_some_jobs();
            step(loss);
            most_runs = MAX(most_runs, worker.agent.runs->len);
        }
        assert_true(all_jobs_are_over());
        assert_int_equal(worker.agent.incarnation, 1);
        assert_int_equal(worker.agent.refused + worker.agent.dropped_starts, 0);
        assert_true(most_runs > 0);
    }
}

/* Guards against a bound that is too small for the largest entries, or larger than they
 * need. */
static void largest_entries_are_those_that_the_limit_is_computed_from(void **state)
{
    struct lmn_attempt attempt = {.index = LMN_MAX_TASKS - 1, .number = G_MAXUINT64};
    struct lmn_command_list commands = lmn_command_list_new();
    (void)state;

    memset(attempt.job_id, '9', LMN_MAX_JOB_ID_LENGTH);
    memcpy(attempt.job_id, "run-", 4);
    assert_true(lmn_job_id_is_valid(attempt.job_id));
    for (guint i = 0; i < LMN_MAX_MACHINE_ATTEMPTS; i++) {
        assert_true(lmn_command_list_has_room(&commands, LMN_MAX_KILL_COMMAND_BYTES));
        lmn_command_list_add(&commands, LMN_COMMAND_KILL, &attempt, 1.0 / 3);
    }
    assert_false(lmn_command_list_has_room(&commands, LMN_MAX_KILL_COMMAND_BYTES));
    const struct lmn_heartbeat_reply reply = {G_MAXUINT64, &commands};
    g_autoptr(GByteArray) out = g_byte_array_new();
    lmn_heartbeat_reply_encode(out, &reply);
    struct lmn_cbor_document document;
    assert_int_equal(lmn_cbor_parse(&document, out->data, out->len), 0);
    size_t size = lmn_cbor_json_size(&document, lmn_cbor_root(&document));
    /* Compact JSON lacks a space after each of 8 colons and commas in an entry; 1/3 has
     * four digits less than the longest number. */
    assert_in_range(size, LMN_MAX_MACHINE_ATTEMPTS * (LMN_MAX_KILL_COMMAND_BYTES - 8 - 6),
                    LMN_MAX_MESSAGE_LIST_BYTES);
    lmn_cbor_free(&document);
    lmn_command_list_free(&commands);
}

/* As above, for heartbeats: every attempt was stopped, and the machine's names are as
 * long as names may be. */
static void fullest_heartbeat_is_within_the_limit(void **state)
{
    (void)state;
    set_up(1);
    memset(worker.agent.name, 'n', LMN_NAME_SIZE - 1);
    memset(worker.agent.address, '9', LMN_ADDRESS_SIZE - 1);
    memset(worker.agent.zone, 'z', LMN_NAME_SIZE - 1);
    memset(worker.agent.type.name, 't', LMN_NAME_SIZE - 1);
    worker.agent.sequence = worker.agent.incarnation = worker.agent.fencing_token =
        G_MAXUINT64 - 1;
    lmn_agent_spot_notice(&worker.agent, lmn_time_add(now, 1.0 / 3));
    for (int i = 0; i < LMN_MAX_MACHINE_ATTEMPTS; i++) {
        struct lmn_task_run *run = g_new0(struct lmn_task_run, 1);
        memset(run->job_id, '9', LMN_MAX_JOB_ID_LENGTH);
        run->index = LMN_MAX_TASKS - 1;
        run->attempt = G_MAXUINT64;
        run->state = LMN_RUN_ENDED;
        run->exit_reason = LMN_EXIT_STOPPED;
        g_ptr_array_add(worker.agent.runs, run);
    }
    g_autoptr(GByteArray) body = g_byte_array_new();
    lmn_agent_write_heartbeat(&worker.agent, body, now);
    check_size(body);
    struct lmn_cbor_document document;
    assert_int_equal(lmn_cbor_parse(&document, body->data, body->len), 0);
    const struct lmn_cbor_value *root = lmn_cbor_root(&document);
    assert_in_range(
        lmn_cbor_json_size(&document, root) -
            lmn_cbor_json_size(&document, lmn_cbor_get(&document, root, WIRE_TASKS)),
        1, LMN_MESSAGE_ENVELOPE_BYTES);
    lmn_cbor_free(&document);
}

/* A controller of an older version has started more tasks than fit. */
static void heartbeat_of_old_attempts(GByteArray *body, int attempts, uint64_t token,
                                      uint64_t sequence)
{
    lmn_cbor_put_map(body, 9);
    lmn_cbor_put_text(body, WIRE_MACHINE), lmn_cbor_put_text(body, "host-000001");
    lmn_cbor_put_text(body, WIRE_ADDRESS), lmn_cbor_put_text(body, "10.0.0.1:9000");
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE), lmn_cbor_put_text(body, "large");
    lmn_cbor_put_text(body, WIRE_ZONE), lmn_cbor_put_text(body, "a");
    lmn_cbor_put_text(body, WIRE_SPOT), lmn_cbor_put_bool(body, false);
    lmn_cbor_put_text(body, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(body, 1);
    lmn_cbor_put_text(body, WIRE_SEQUENCE), lmn_cbor_put_uint(body, sequence);
    lmn_cbor_put_text(body, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(body, token);
    lmn_cbor_put_text(body, WIRE_TASKS), lmn_cbor_put_array(body, (size_t)attempts);
    for (int i = 0; i < attempts; i++) {
        g_autofree char *task = g_strdup_printf("%s/%d", jobs[0].spec.id, i);
        lmn_cbor_put_map(body, 3);
        lmn_cbor_put_text(body, WIRE_TASK), lmn_cbor_put_text(body, task);
        lmn_cbor_put_text(body, WIRE_ATTEMPT),
            lmn_cbor_put_uint(body, ((uint64_t)EPOCH << 24) + (uint64_t)i);
        lmn_cbor_put_text(body, WIRE_STATE), lmn_cbor_put_text(body, WIRE_RUNNING);
    }
}

/* Guards against a reply of more than 64 KiB, which would end none of the cancelled tasks
 * on a machine with more attempts than this version starts, and against further starts
 * there. */
static void
machine_with_too_many_attempts_is_emptied_by_replies_within_the_limit(void **state)
{
    enum { ATTEMPTS = LMN_MAX_MACHINE_ATTEMPTS + 133 };
    uint64_t sequence = 1;
    (void)state;

    set_up(1);
    add_job(1000, 0, 60);
    for (int remaining = ATTEMPTS, round = 0; remaining > 0; round++) {
        g_autoptr(GByteArray) body = g_byte_array_new();
        g_autoptr(GByteArray) reply = g_byte_array_new();
        struct lmn_deferred_starts deferred;
        struct lmn_cbor_document document;
        assert_true(round < 4);
        heartbeat_of_old_attempts(body, remaining, epoch, sequence++);
        lmn_heartbeat_handle(core, body->data, body->len, reply, &deferred, now);
        check_size(reply);
        machine = core->partitions[0].machine_list->pdata[0];
        machine->record.revision = 1;
        assert_int_equal(lmn_cbor_parse(&document, reply->data, reply->len), 0);
        uint32_t commands =
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS)->len;
        lmn_cbor_free(&document);
        /* The first reply is sent before the job is cancelled: nothing may start. */
        assert_true(round > 0 ? commands > 0 : commands == 0);
        assert_true(round != 1 || core->counters.deferred_commands > 0);
        jobs[0].phase = LMN_JOB_CANCELLED;
        remaining -= (int)commands;
    }
}

/* Number of commands in the reply to a heartbeat, in which the worker gets none of them.
 */
static uint32_t count_commands_in_reply(void)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_autoptr(GByteArray) reply = g_byte_array_new();
    struct lmn_deferred_starts deferred;
    struct lmn_cbor_document document;

    lmn_agent_write_heartbeat(&worker.agent, body, now);
    lmn_heartbeat_handle(core, body->data, body->len, reply, &deferred, now);
    check_size(reply);
    assert_int_equal(lmn_cbor_parse(&document, reply->data, reply->len), 0);
    uint32_t commands =
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_COMMANDS)->len;
    lmn_cbor_free(&document);
    return commands;
}

/* Guards against a cancelled task that runs on for a heartbeat, as the last kill of a
 * full machine had no room left. */
static void all_tasks_of_a_full_machine_are_killed_by_one_reply(void **state)
{
    (void)state;
    set_up(1);
    step(0);
    struct lmn_job *job = add_job(LMN_MAX_MACHINE_ATTEMPTS, 0.01, 600);
    step(0);
    step(0);
    assert_int_equal(worker.agent.runs->len, LMN_MAX_MACHINE_ATTEMPTS);
    job->phase = LMN_JOB_CANCELLED;
    assert_int_equal(count_commands_in_reply(), LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(core->counters.deferred_commands, 0);
}

/* Guards against results that count for nothing because they have ended: the worker names
 * them until it is told to clear them. */
static void ended_attempts_count_until_they_are_cleared(void **state)
{
    (void)state;
    set_up(1);
    step(0);
    add_job(3000, 0, 1);
    /* The store takes no writes, so no result may be cleared. */
    for (int i = 0; i < 40; i++) {
        now = lmn_time_add(now, STEP_S);
        core->cache.fresh_at = now;
        lmn_emu_worker_pass(&worker, now);
        exchange_heartbeat(0);
        describe_runs();
    }
    assert_int_equal(worker.agent.finished, LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(machine->attempts->len, LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(lmn_machine_wait_reason(machine, now), LMN_WAIT_TASK_LIMIT);
    record_done_tasks();
    for (int i = 0; i < 4; i++)
        step(0);
    assert_true(worker.agent.starts > LMN_MAX_MACHINE_ATTEMPTS);
}

/* Guards against a machine that waits for its next heartbeat with as many attempts as
 * that can name, though all results are recorded: 1,000 tasks of a second took twice as
 * long. */
static void recorded_results_make_room_before_the_next_heartbeat(void **state)
{
    (void)state;
    for (int is_lost = 0; is_lost <= 1; is_lost++) {
        set_up(1);
        step(0);
        add_job(3000, 0, 1);
        for (int i = 0; i < 40 && worker.agent.finished < LMN_MAX_MACHINE_ATTEMPTS; i++) {
            now = lmn_time_add(now, STEP_S);
            core->cache.fresh_at = now;
            lmn_emu_worker_pass(&worker, now);
            exchange_heartbeat(0);
            describe_runs();
        }
        record_done_tasks();
        lmn_maintenance_run(core, now);
        g_autoptr(GByteArray) body = g_byte_array_new();
        char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE];
        /* As in a heartbeat's reply, nothing is cleared behind the fence. */
        core->cache.fresh_at = lmn_time_add(now, -settings.cancel_s);
        assert_false(lmn_worker_client_next_push(core, 0, 1, name, address, body, now));
        core->cache.fresh_at = now;
        lmn_maintenance_run(core, now);
        if (is_lost) {
            assert_true(
                lmn_worker_client_next_push(core, 0, 1, name, address, body, now));
            lmn_worker_client_push_done(core, name, LMN_HTTP_NO_RESPONSE, NULL, now);
            /* Each clear is pushed once; heartbeats do the rest. */
            lmn_maintenance_run(core, now);
            assert_false(
                lmn_worker_client_next_push(core, 0, 1, name, address, body, now));
            exchange_heartbeat(0);
            exchange_heartbeat(0);
        } else {
            exchange_pushes(0);
        }
        assert_int_equal(worker.agent.starts, 2 * LMN_MAX_MACHINE_ATTEMPTS);
        assert_int_equal(worker.agent.refused + worker.agent.dropped_starts, 0);
    }
}

/* Guards against work that is stolen for a machine that can't start it. */
static void machine_without_room_for_attempts_does_not_steal(void **state)
{
    struct lmn_steal_request request;
    (void)state;

    set_up(1);
    step(0);
    step(0);
    lmn_steal_request_init(&request, &settings);
    assert_true(lmn_steal_request_fill(core, &core->partitions[0], &request, now));
    add_job(LMN_MAX_MACHINE_ATTEMPTS, 0.01, 60);
    step(0);
    assert_int_equal(machine->queue.task_count, 0);
    machine->stealing.is_idle_with_capacity = true;
    assert_false(lmn_steal_request_fill(core, &core->partitions[0], &request, now));
}

/* Guards against a machine that is left with nothing but results of pushes without an
 * answer, which must be named for as long as the agent's incarnation lasts. */
static void machine_is_drained_when_its_attempts_cannot_be_cleared(void **state)
{
    (void)state;
    set_up(1);
    step(0);
    add_job(LMN_MAX_MACHINE_ATTEMPTS * 2 / 3, 0, 1);
    for (int i = 0; i < 4; i++)
        step(0);
    assert_true(machine->attempts->len > LMN_MAX_MACHINE_ATTEMPTS / 2);
    for (guint i = 0; i < machine->attempts->len; i++)
        g_array_index(machine->attempts, struct lmn_attempt, i).push_is_uncertain = true;
    for (int i = 0; i < 10; i++) {
        step(0);
        record_done_tasks();
    }
    assert_true(machine->lifecycle.is_draining);
    assert_int_equal(core->counters.limited_machines, 1);
}

/* Guards against an agent that names more than a heartbeat can hold, after commands of a
 * controller that does not count. */
static void agent_drops_starts_that_a_heartbeat_could_not_name(void **state)
{
    struct lmn_command_list commands = lmn_command_list_new();
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_autoptr(GByteArray) answer = g_byte_array_new();
    (void)state;

    set_up(1);
    for (uint32_t i = 0; i < 2 * LMN_MAX_MACHINE_ATTEMPTS; i++) {
        struct lmn_attempt attempt = {.job_id = "run-1", .index = i, .number = 1};
        lmn_command_list_add(&commands, LMN_COMMAND_START, &attempt,
                             LMN_COMMAND_NO_GRACE);
    }
    const struct lmn_command_push push = {1, 1, &commands};
    lmn_command_push_encode(body, &push);
    assert_int_equal(
        lmn_agent_handle_commands(&worker.agent, body->data, body->len, answer, now),
        200);
    check_size(answer);
    assert_int_equal(worker.agent.starts, LMN_MAX_MACHINE_ATTEMPTS);
    assert_int_equal(worker.agent.dropped_starts, LMN_MAX_MACHINE_ATTEMPTS);
    lmn_command_list_free(&commands);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(small_tasks_all_get_done_within_the_limits_of_messages),
        cmocka_unit_test(largest_entries_are_those_that_the_limit_is_computed_from),
        cmocka_unit_test(fullest_heartbeat_is_within_the_limit),
        cmocka_unit_test(
            machine_with_too_many_attempts_is_emptied_by_replies_within_the_limit),
        cmocka_unit_test(all_tasks_of_a_full_machine_are_killed_by_one_reply),
        cmocka_unit_test(ended_attempts_count_until_they_are_cleared),
        cmocka_unit_test(recorded_results_make_room_before_the_next_heartbeat),
        cmocka_unit_test(machine_without_room_for_attempts_does_not_steal),
        cmocka_unit_test(machine_is_drained_when_its_attempts_cannot_be_cleared),
        cmocka_unit_test(agent_drops_starts_that_a_heartbeat_could_not_name),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
