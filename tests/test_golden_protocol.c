/* Guards against changes in the encoding of messages to and from workers, to users and to
 * executors (program lmn-keeper): processes of different builds exchange them during an
 * upgrade. */
#include "golden.h"

#include "worker/agent.h"
#include "worker/executor.h"
#include "partition/owner.h"
#include "partition/heartbeat.h"
#include "partition/heartbeat_message.h"
#include "controller/request_decisions.h"
#include "state/watch_cache.h"
#include "state/records.h"
#include "kv_client/kv_client.h"

/* The tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

/* Compares the bytes with the golden file, and frees them. */
static void assert_golden_bytes(const char *name, GByteArray *bytes)
{
    golden_assert_equal(name, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

/* --- workers --- */

static struct timespec now = {1000, 0};
static struct lmn_settings settings;
static struct lmn_team team = {.name = "t"};

static void ignore_lease(void *arg, struct timespec until)
{
    (void)arg;
    (void)until;
}

/* The agent's heartbeat has one attempt in each state, and one ended for each reason. */
static void heartbeat_of_a_worker_keeps_its_bytes(void **state)
{
    static const enum lmn_task_run_state states[] = {LMN_RUN_DESCRIBING, LMN_RUN_FETCHING,
                                                     LMN_RUN_RUNNING, LMN_RUN_SAVING};
    static const enum lmn_attempt_state read_states[] = {
        LMN_ATTEMPT_FETCHING, LMN_ATTEMPT_FETCHING, LMN_ATTEMPT_RUNNING,
        LMN_ATTEMPT_SAVING};
    const struct lmn_agent_ops ops = {.extend_lease = ignore_lease};
    struct lmn_agent agent = {0};
    struct lmn_heartbeat heartbeat;
    struct lmn_cbor_document document;
    (void)state;

    lmn_agent_init(&agent, &ops, NULL, 5, now);
    g_strlcpy(agent.name, "host-000001", sizeof agent.name);
    g_strlcpy(agent.address, "10.0.0.1:9000", sizeof agent.address);
    g_strlcpy(agent.zone, "a", sizeof agent.zone);
    g_strlcpy(agent.type.name, "x", sizeof agent.type.name);
    agent.incarnation = 5;
    agent.is_spot = agent.has_spot_notice = true;
    agent.reclaimed_at = lmn_time_add(now, 30.5);
    agent.fencing_token = 42;
    agent.sequence = 16;
    for (uint32_t i = 0; i < 4 + LMN_EXIT_NO_SUCH_JOB + 1; i++) {
        struct lmn_task_run *run = g_new0(struct lmn_task_run, 1);
        g_strlcpy(run->job_id, "run-000412", sizeof run->job_id);
        run->index = i;
        run->attempt = 0x2a00000001ULL + i;
        run->state = i < 4 ? states[i] : LMN_RUN_ENDED;
        run->exit_reason = i < 4 ? LMN_EXIT_DONE : (enum lmn_exit_reason)(i - 4);
        run->is_saved = run->exit_reason == LMN_EXIT_STOPPED;
        g_ptr_array_add(agent.runs, run);
    }
    GByteArray *bytes = g_byte_array_new();
    lmn_agent_write_heartbeat(&agent, bytes, now);
    lmn_agent_clear(&agent);
    assert_golden_bytes("worker_report", bytes);

    bytes = golden_read("worker_report");
    assert_int_equal(lmn_cbor_parse(&document, bytes->data, bytes->len), 0);
    assert_null(lmn_heartbeat_parse(&heartbeat, &document));
    assert_string_equal(heartbeat.name, "host-000001");
    assert_string_equal(heartbeat.address, "10.0.0.1:9000");
    assert_string_equal(heartbeat.type, "x");
    assert_string_equal(heartbeat.zone, "a");
    assert_true(heartbeat.is_spot && heartbeat.has_spot_notice &&
                heartbeat.notice_s == 30.5);
    assert_int_equal(heartbeat.agent_incarnation, 5);
    assert_int_equal(heartbeat.sequence, 17);
    assert_int_equal(heartbeat.fencing_token, 42);
    uint32_t i = 0;
    for (const struct lmn_cbor_value *node =
             lmn_cbor_first_child(&document, heartbeat.tasks);
         node; node = lmn_cbor_next(&document, node)) {
        struct lmn_attempt read;
        assert_true(lmn_heartbeat_parse_task(&read, &document, node));
        assert_string_equal(read.job_id, "run-000412");
        assert_int_equal(read.index, i);
        assert_true(read.number == 0x2a00000001ULL + i);
        assert_int_equal(read.state, i < 4 ? read_states[i] : LMN_ATTEMPT_ENDED);
        i++;
    }
    assert_int_equal(i, 4 + LMN_EXIT_NO_SUCH_JOB + 1);
    lmn_cbor_free(&document);
    g_byte_array_unref(bytes);
}

static void apply_record(struct lmn_core *core, const char *key, GByteArray *value,
                         uint64_t revision)
{
    struct lmn_cbor_document document;

    assert_int_equal(lmn_cbor_parse(&document, value->data, value->len), 0);
    lmn_watch_cache_apply(core, key, &document, lmn_cbor_root(&document), revision, now);
    lmn_cbor_free(&document);
    g_byte_array_unref(value);
}

static struct lmn_core *new_owner_core(void)
{
    memset(&settings, 0, sizeof settings);
    settings.teams = &team;
    settings.team_count = 1;
    settings.partition_count = 1;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_txn_operations = 12;
    settings.max_value_kb = 16;
    settings.heartbeat_s = 8;
    settings.lease_s = 44;
    settings.cancel_s = 64;
    struct lmn_core *core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->partitions[0].ownership.is_owned = core->partitions[0].ownership.is_ready =
        core->partitions[0].ownership.inherited_may_start = true;
    core->partitions[0].ownership.epoch = 42;
    core->partitions[0].ownership.revision = 1;
    core->partitions[0].ownership.since = core->cache.fresh_at = now;
    core->cache.is_synced = true;
    core->members.last_tick_at = core->members.cache_fresh_at = core->members.synced_at =
        now;
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] = (struct lmn_machine_type){.name = "x",
                                                                   .cpus = 8,
                                                                   .gpus = 1,
                                                                   .memory_gb = 64,
                                                                   .zones = {"a"},
                                                                   .zone_count = 1};
    core->cloud.machine_types_known = true;
    return core;
}

/* A heartbeat as workers send it, with the field names of the protocol. */
static GByteArray *encode_heartbeat(uint64_t sequence, uint64_t fencing_token,
                                    const char *const *tasks, const char *const *states,
                                    size_t task_count)
{
    GByteArray *buffer = g_byte_array_new();

    lmn_cbor_put_map(buffer, 9);
    lmn_cbor_put_text(buffer, "Voiture"), lmn_cbor_put_text(buffer, "host-000001");
    lmn_cbor_put_text(buffer, "Endpoint"), lmn_cbor_put_text(buffer, "10.0.0.1:9000");
    lmn_cbor_put_text(buffer, "GabaritMachine"), lmn_cbor_put_text(buffer, "x");
    lmn_cbor_put_text(buffer, "Secteur"), lmn_cbor_put_text(buffer, "a");
    lmn_cbor_put_text(buffer, "TaxiLibre"), lmn_cbor_put_bool(buffer, false);
    lmn_cbor_put_text(buffer, "Service"), lmn_cbor_put_uint(buffer, 5);
    lmn_cbor_put_text(buffer, "Compteur"), lmn_cbor_put_uint(buffer, sequence);
    lmn_cbor_put_text(buffer, "Jeton"), lmn_cbor_put_uint(buffer, fencing_token);
    lmn_cbor_put_text(buffer, "Courses"), lmn_cbor_put_array(buffer, task_count);
    for (size_t i = 0; i < task_count; i++) {
        lmn_cbor_put_map(buffer, 3);
        lmn_cbor_put_text(buffer, "Course"), lmn_cbor_put_text(buffer, tasks[i]);
        lmn_cbor_put_text(buffer, "Essai"), lmn_cbor_put_uint(buffer, 100 + i);
        lmn_cbor_put_text(buffer, "Etat"), lmn_cbor_put_text(buffer, states[i]);
    }
    return buffer;
}

static void heartbeat_reply_keeps_bytes(struct lmn_core *core, GByteArray *body,
                                        const char *name)
{
    GByteArray *out = g_byte_array_new();
    struct lmn_deferred_starts deferred_starts;

    assert_int_equal(
        lmn_heartbeat_handle(core, body->data, body->len, out, &deferred_starts, now),
        200);
    g_byte_array_unref(body);
    assert_golden_bytes(name, out);
}

static void reply_to_a_heartbeat_keeps_its_bytes(void **state)
{
    static const char *const tasks[] = {"run-9/0", "run-9/1"};
    static const char *const states[] = {"running", "ended"};
    struct lmn_core *core = new_owner_core();
    struct lmn_job_spec spec = {.id = "run-000412",
                                .class_name = (char *)"etl",
                                .team = (char *)"t",
                                .image = (char *)"base:1",
                                .priority = LMN_PRIORITY_NORMAL,
                                .tasks = 1,
                                .cpus = 2,
                                .estimate_s = 60,
                                .deadline_s = -1};
    struct lmn_range range = {.first = 0, .end = 1};
    uint8_t none = 0;
    (void)state;

    /* The worker reports an earlier epoch; the reply contains no commands. */
    heartbeat_reply_keeps_bytes(core, encode_heartbeat(1, 41, NULL, NULL, 0),
                                "worker_answer_without_commands");
    heartbeat_reply_keeps_bytes(core, encode_heartbeat(2, 42, tasks, states, 2),
                                "worker_answer_kill_and_clear");
    apply_record(core, "j/run-000412",
                 lmn_job_record_encode(&spec, LMN_JOB_ACTIVE, 1, 1e9), 3);
    apply_record(core, "r/0/run-000412/0", lmn_range_record_encode(&range, &none), 3);
    struct lmn_machine *machine = core->partitions[0].machine_list->pdata[0];
    machine->record.revision = 1; /* a start needs a recorded machine */
    heartbeat_reply_keeps_bytes(core, encode_heartbeat(3, 42, NULL, NULL, 0),
                                "worker_answer_start");
    assert_int_equal(machine->attempts->len, 1);
}

static void reply_to_a_malformed_heartbeat_keeps_its_bytes(void **state)
{
    GByteArray *out = g_byte_array_new();
    struct lmn_deferred_starts deferred_starts;
    (void)state;

    assert_int_equal(
        lmn_heartbeat_handle(new_owner_core(), "\xa0", 1, out, &deferred_starts, now),
        400);
    assert_golden_bytes("worker_answer_malformed", out);
}

static void commands_to_workers_keep_their_bytes(void **state)
{
    struct lmn_attempt attempt = {
        .job_id = "run-000412", .index = 7, .number = 0x2a00000001ULL};
    GByteArray *buffer = g_byte_array_new();
    (void)state;

    lmn_command_encode(
        buffer, &(struct lmn_command){LMN_COMMAND_START, &attempt, LMN_COMMAND_NO_GRACE});
    assert_golden_bytes("command_start", buffer);
    buffer = g_byte_array_new();
    lmn_command_encode(buffer, &(struct lmn_command){LMN_COMMAND_KILL, &attempt, 12.5});
    assert_golden_bytes("command_kill_with_grace", buffer);
}

/* --- users --- */

static void reply_keeps_bytes(const char *name, struct lmn_job_reply reply)
{
    GByteArray *body = lmn_job_reply_body(&reply, "run-000412");

    assert_non_null(body);
    assert_golden_bytes(name, body);
}

static void replies_to_users_keep_their_bytes(void **state)
{
    struct lmn_job_reply reply = {
        .status = 200, .includes_job = true, .phase = LMN_JOB_ACTIVE};
    (void)state;

    reply_keeps_bytes("reply_queued", reply);
    reply.status = 201;
    reply_keeps_bytes("reply_submitted", reply);
    reply.status = 200;
    reply.done = 40;
    reply.running = 3;
    reply_keeps_bytes("reply_running", reply);
    reply.phase = LMN_JOB_DONE;
    reply.done = 100;
    reply.running = 0;
    reply_keeps_bytes("reply_done", reply);
    reply.phase = LMN_JOB_CANCELLED;
    reply_keeps_bytes("reply_withdrawn", reply);
    reply_keeps_bytes("reply_error",
                      (struct lmn_job_reply){.status = 400, .error = "not CBOR"});
}

/* --- the executor --- */

static void messages_to_the_executor_keep_their_bytes(void **state)
{
    static const char *const argv[] = {"/bin/sh", "-c", "true", NULL};
    static const char *const env[] = {"A=1", "B=", NULL};
    (void)state;

    assert_golden_bytes("keeper_start",
                        lmn_executor_encode_start(300, (char *const *)(guintptr)argv,
                                                  (char *const *)(guintptr)env,
                                                  "/srv/task", 1 << 20));
    assert_golden_bytes("keeper_save", lmn_executor_encode_save(300, 12.5));
    assert_golden_bytes("keeper_kill", lmn_executor_encode_kill(300));
    assert_golden_bytes("keeper_kill_all", lmn_executor_encode_kill_all());
    assert_golden_bytes("keeper_until",
                        lmn_executor_encode_lease((struct timespec){70000, 999}));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(heartbeat_of_a_worker_keeps_its_bytes),
        cmocka_unit_test(reply_to_a_heartbeat_keeps_its_bytes),
        cmocka_unit_test(reply_to_a_malformed_heartbeat_keeps_its_bytes),
        cmocka_unit_test(commands_to_workers_keep_their_bytes),
        cmocka_unit_test(replies_to_users_keep_their_bytes),
        cmocka_unit_test(messages_to_the_executor_keep_their_bytes),
    };
    return golden_exit_status(cmocka_run_group_tests(tests, NULL, NULL));
}
