/* What workers, users and keepers are told, and what workers say, keeps its bytes. */
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

/* Past cores are left behind as they are. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

/* Takes the bytes over. */
static void same(const char *name, GByteArray *b)
{
    golden_same(name, b->data, b->len);
    g_byte_array_unref(b);
}

/* --- workers --- */

static struct timespec now = {1000, 0};
static struct lmn_settings cfg;
static struct lmn_team team = {.name = "t"};

static void leased(void *arg, struct timespec until)
{
    (void)arg;
    (void)until;
}

/* A report with an attempt in each state and for each end, as the agent writes it. */
static void report_of_a_worker_keeps_its_bytes(void **state)
{
    static const enum lmn_task_run_state states[] = {LMN_RUN_DESCRIBING, LMN_RUN_FETCHING,
                                                     LMN_RUN_RUNNING, LMN_RUN_SAVING};
    static const enum lmn_attempt_state read_states[] = {
        LMN_ATTEMPT_FETCHING, LMN_ATTEMPT_FETCHING, LMN_ATTEMPT_RUNNING,
        LMN_ATTEMPT_SAVING};
    const struct lmn_agent_ops ops = {.extend_lease = leased};
    struct lmn_agent a = {0};
    struct lmn_heartbeat r;
    struct lmn_cbor_document d;
    (void)state;

    lmn_agent_init(&a, &ops, NULL, 5, now);
    g_strlcpy(a.name, "host-000001", sizeof a.name);
    g_strlcpy(a.address, "10.0.0.1:9000", sizeof a.address);
    g_strlcpy(a.zone, "a", sizeof a.zone);
    g_strlcpy(a.type.name, "x", sizeof a.type.name);
    a.incarnation = 5;
    a.is_spot = a.has_spot_notice = true;
    a.reclaimed_at = lmn_time_add(now, 30.5);
    a.fencing_token = 42;
    a.sequence = 16;
    for (uint32_t i = 0; i < 4 + LMN_EXIT_NO_SUCH_JOB + 1; i++) {
        struct lmn_task_run *run = g_new0(struct lmn_task_run, 1);
        g_strlcpy(run->job_id, "run-000412", sizeof run->job_id);
        run->index = i;
        run->attempt = 0x2a00000001ULL + i;
        run->state = i < 4 ? states[i] : LMN_RUN_ENDED;
        run->exit_reason = i < 4 ? LMN_EXIT_DONE : (enum lmn_exit_reason)(i - 4);
        run->is_saved = run->exit_reason == LMN_EXIT_STOPPED;
        g_ptr_array_add(a.runs, run);
    }
    GByteArray *b = g_byte_array_new();
    lmn_agent_write_heartbeat(&a, b, now);
    lmn_agent_clear(&a);
    same("worker_report", b);

    b = golden_read("worker_report");
    assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
    assert_null(lmn_heartbeat_parse(&r, &d));
    assert_string_equal(r.name, "host-000001");
    assert_string_equal(r.address, "10.0.0.1:9000");
    assert_string_equal(r.type, "x");
    assert_string_equal(r.zone, "a");
    assert_true(r.is_spot && r.has_spot_notice && r.notice_s == 30.5);
    assert_int_equal(r.agent_incarnation, 5);
    assert_int_equal(r.sequence, 17);
    assert_int_equal(r.fencing_token, 42);
    uint32_t i = 0;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&d, r.tasks); node;
         node = lmn_cbor_next(&d, node)) {
        struct lmn_attempt read;
        assert_true(lmn_heartbeat_parse_task(&read, &d, node));
        assert_string_equal(read.job_id, "run-000412");
        assert_int_equal(read.index, i);
        assert_true(read.number == 0x2a00000001ULL + i);
        assert_int_equal(read.state, i < 4 ? read_states[i] : LMN_ATTEMPT_ENDED);
        i++;
    }
    assert_int_equal(i, 4 + LMN_EXIT_NO_SUCH_JOB + 1);
    lmn_cbor_free(&d);
    g_byte_array_unref(b);
}

static void put(struct lmn_core *core, const char *key, GByteArray *value,
                uint64_t revision)
{
    struct lmn_cbor_document d;

    assert_int_equal(lmn_cbor_parse(&d, value->data, value->len), 0);
    lmn_watch_cache_apply(core, key, &d, lmn_cbor_root(&d), revision, now);
    lmn_cbor_free(&d);
    g_byte_array_unref(value);
}

static struct lmn_core *owner(void)
{
    memset(&cfg, 0, sizeof cfg);
    cfg.teams = &team;
    cfg.team_count = 1;
    cfg.partition_count = 1;
    cfg.state_requests_per_s = cfg.state_writes_per_s = 1000;
    cfg.max_txn_operations = 12;
    cfg.max_value_kb = 16;
    cfg.heartbeat_s = 8;
    cfg.lease_s = 44;
    cfg.cancel_s = 64;
    struct lmn_core *core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
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

/* As workers send them, under the names of the protocol. */
static GByteArray *report(uint64_t seq, uint64_t token, const char *const *tasks,
                          const char *const *states, size_t n)
{
    GByteArray *b = g_byte_array_new();

    lmn_cbor_put_map(b, 9);
    lmn_cbor_put_text(b, "Voiture"), lmn_cbor_put_text(b, "host-000001");
    lmn_cbor_put_text(b, "Endpoint"), lmn_cbor_put_text(b, "10.0.0.1:9000");
    lmn_cbor_put_text(b, "GabaritMachine"), lmn_cbor_put_text(b, "x");
    lmn_cbor_put_text(b, "Secteur"), lmn_cbor_put_text(b, "a");
    lmn_cbor_put_text(b, "TaxiLibre"), lmn_cbor_put_bool(b, false);
    lmn_cbor_put_text(b, "Service"), lmn_cbor_put_uint(b, 5);
    lmn_cbor_put_text(b, "Compteur"), lmn_cbor_put_uint(b, seq);
    lmn_cbor_put_text(b, "Jeton"), lmn_cbor_put_uint(b, token);
    lmn_cbor_put_text(b, "Courses"), lmn_cbor_put_array(b, n);
    for (size_t i = 0; i < n; i++) {
        lmn_cbor_put_map(b, 3);
        lmn_cbor_put_text(b, "Course"), lmn_cbor_put_text(b, tasks[i]);
        lmn_cbor_put_text(b, "Essai"), lmn_cbor_put_uint(b, 100 + i);
        lmn_cbor_put_text(b, "Etat"), lmn_cbor_put_text(b, states[i]);
    }
    return b;
}

static void answers(struct lmn_core *core, GByteArray *body, const char *name)
{
    GByteArray *out = g_byte_array_new();
    struct lmn_deferred_starts held;

    assert_int_equal(lmn_heartbeat_handle(core, body->data, body->len, out, &held, now),
                     200);
    g_byte_array_unref(body);
    same(name, out);
}

static void answer_to_a_report_keeps_its_bytes(void **state)
{
    static const char *const tasks[] = {"run-9/0", "run-9/1"};
    static const char *const states[] = {"running", "ended"};
    struct lmn_core *core = owner();
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

    /* It has not seen the term yet; then nothing has to be done. */
    answers(core, report(1, 41, NULL, NULL, 0), "worker_answer_without_commands");
    answers(core, report(2, 42, tasks, states, 2), "worker_answer_kill_and_clear");
    put(core, "j/run-000412", lmn_job_record(&spec, LMN_JOB_ACTIVE, 1, 1e9), 3);
    put(core, "r/0/run-000412/0", lmn_range_record(&range, &none), 3);
    struct lmn_machine *machine = core->partitions[0].machine_list->pdata[0];
    machine->record.revision = 1; /* recorded */
    answers(core, report(3, 42, NULL, NULL, 0), "worker_answer_start");
    assert_int_equal(machine->attempts->len, 1);
}

static void answer_to_a_malformed_report_keeps_its_bytes(void **state)
{
    GByteArray *out = g_byte_array_new();
    struct lmn_deferred_starts held;
    (void)state;

    assert_int_equal(lmn_heartbeat_handle(owner(), "\xa0", 1, out, &held, now), 400);
    same("worker_answer_malformed", out);
}

static void commands_to_workers_keep_their_bytes(void **state)
{
    struct lmn_attempt a = {
        .job_id = "run-000412", .index = 7, .number = 0x2a00000001ULL};
    GByteArray *b = g_byte_array_new();
    (void)state;

    lmn_command_encode(
        b, &(struct lmn_command){LMN_COMMAND_START, &a, LMN_COMMAND_NO_GRACE});
    same("command_start", b);
    b = g_byte_array_new();
    lmn_command_encode(b, &(struct lmn_command){LMN_COMMAND_KILL, &a, 12.5});
    same("command_kill_with_grace", b);
}

/* --- users --- */

static void reply_keeps(const char *name, struct lmn_job_reply r)
{
    GByteArray *b = lmn_job_reply_body(&r, "run-000412");

    assert_non_null(b);
    same(name, b);
}

static void replies_to_users_keep_their_bytes(void **state)
{
    struct lmn_job_reply r = {
        .status = 200, .includes_job = true, .phase = LMN_JOB_ACTIVE};
    (void)state;

    reply_keeps("reply_queued", r);
    r.status = 201;
    reply_keeps("reply_submitted", r);
    r.status = 200;
    r.done = 40;
    r.running = 3;
    reply_keeps("reply_running", r);
    r.phase = LMN_JOB_DONE;
    r.done = 100;
    r.running = 0;
    reply_keeps("reply_done", r);
    r.phase = LMN_JOB_CANCELLED;
    reply_keeps("reply_withdrawn", r);
    reply_keeps("reply_error",
                (struct lmn_job_reply){.status = 400, .error = "not CBOR"});
}

/* --- the keeper --- */

static void messages_to_the_keeper_keep_their_bytes(void **state)
{
    static const char *const argv[] = {"/bin/sh", "-c", "true", NULL};
    static const char *const env[] = {"A=1", "B=", NULL};
    (void)state;

    same("keeper_start",
         lmn_executor_encode_start(300, (char *const *)(guintptr)argv,
                                   (char *const *)(guintptr)env, "/srv/task", 1 << 20));
    same("keeper_save", lmn_executor_encode_save(300, 12.5));
    same("keeper_kill", lmn_executor_encode_kill(300));
    same("keeper_kill_all", lmn_executor_encode_kill_all());
    same("keeper_until", lmn_executor_encode_lease((struct timespec){70000, 999}));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(report_of_a_worker_keeps_its_bytes),
        cmocka_unit_test(answer_to_a_report_keeps_its_bytes),
        cmocka_unit_test(answer_to_a_malformed_report_keeps_its_bytes),
        cmocka_unit_test(commands_to_workers_keep_their_bytes),
        cmocka_unit_test(replies_to_users_keep_their_bytes),
        cmocka_unit_test(messages_to_the_keeper_keep_their_bytes),
    };
    return golden_end(cmocka_run_group_tests(tests, NULL, NULL));
}
