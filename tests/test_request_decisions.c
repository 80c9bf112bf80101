/* Decisions on users' requests: each kind of request, for each kind of job, at a
 * controller that has just started, one whose watch cache is stalled, and one whose watch
 * cache is fresh. */
#include "controller/request_decisions.h"
#include "protocol/wire.h"
#include "state/core.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

enum cache_state { NOT_SYNCED, STALLED, FRESH, CACHE_STATES };
enum job_kind { UNKNOWN, ACTIVE, DONE, CANCELLED, JOB_KINDS };
enum request_kind {
    STATUS,
    CANCEL,
    VALID,
    MISSING_FIELD,
    INFEASIBLE,
    TOO_LARGE,
    REQUEST_KINDS
};

static const struct timespec now = {1000, 0};
static const char *const JOB_IDS[] = {"run-000000", "run-000001", "run-000002",
                                      "run-000003"};

static struct lmn_team team[1];

static struct lmn_settings make_settings(void)
{
    struct lmn_settings test_settings = {.partition_count = 1,
                                         .state_requests_per_s = 100,
                                         .state_writes_per_s = 100,
                                         .max_value_kb = 16,
                                         .max_txn_operations = 12,
                                         .teams = team,
                                         .team_count = 1};

    g_strlcpy(test_settings.node_name, "n0", LMN_NAME_SIZE);
    g_strlcpy(test_settings.teams[0].name, "t", LMN_NAME_SIZE);
    test_settings.teams[0].cpus_max = 8;
    return test_settings;
}

static void add_job(struct lmn_core *core, enum job_kind job_kind,
                    enum lmn_job_phase phase)
{
    struct lmn_job *job = g_new0(struct lmn_job, 1);

    g_strlcpy(job->spec.id, JOB_IDS[job_kind], LMN_JOB_ID_SIZE);
    job->spec.tasks = 3;
    job->phase = phase;
    job->revision = 10 + (uint64_t)job_kind;
    job->ranges = g_ptr_array_new();
    g_hash_table_insert(core->cache.jobs, job->spec.id, job);
}

static struct lmn_core *new_core(const struct lmn_settings *settings,
                                 enum cache_state cache_state)
{
    struct lmn_core *core = lmn_core_alloc(settings, lmn_kv_client_new(settings), 1);

    if (cache_state == NOT_SYNCED)
        return core;
    core->cache.is_synced = core->cloud.machine_types_known = true;
    core->cache.fresh_at =
        cache_state == STALLED ? lmn_time_add(now, -LMN_CACHE_STALLED_AGE_S - 1) : now;
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] = (struct lmn_machine_type){
        .name = "small", .cpus = 4, .memory_gb = 16, .zone_count = 1, .zones = {"a"}};
    add_job(core, ACTIVE, LMN_JOB_ACTIVE);
    add_job(core, DONE, LMN_JOB_DONE);
    add_job(core, CANCELLED, LMN_JOB_CANCELLED);
    return core;
}

static void free_core(struct lmn_core *core)
{
    struct lmn_kv_client *client = core->kv_client;

    lmn_core_free(core);
    lmn_kv_client_free(client);
}

static GByteArray *encode_submission(const char *job_id, enum request_kind request_kind)
{
    GByteArray *body = g_byte_array_new();
    struct lmn_job_spec spec = {.class_name =
                                    (char *)(request_kind == MISSING_FIELD ? "" : "c"),
                                .team = (char *)"t",
                                .image = (char *)"i",
                                .priority = LMN_PRIORITY_NORMAL,
                                .tasks = 3,
                                .cpus = request_kind == INFEASIBLE ? 5 : 1,
                                .memory_gb = 1,
                                .estimate_s = 2,
                                .deadline_s = -1};
    char long_type[64], *types[251] = {NULL};

    memset(long_type, 't', 63);
    long_type[63] = '\0';
    for (int i = 0; i < 250; i++)
        types[i] = long_type;
    if (request_kind == TOO_LARGE)
        spec.machine_types = types;
    g_strlcpy(spec.id, job_id, sizeof spec.id);
    lmn_cbor_put_map(body, lmn_job_spec_pair_count());
    lmn_job_spec_write(body, &spec);
    return body;
}

static struct lmn_request_decision
decide(struct lmn_core *core, enum request_kind request_kind, const char *job_id)
{
    struct lmn_submission submission;
    struct lmn_request_decision decision;

    if (request_kind == STATUS)
        return lmn_decide_status(core, job_id, now);
    if (request_kind == CANCEL)
        return lmn_decide_cancel(core, job_id);
    GByteArray *body = encode_submission(job_id, request_kind);
    lmn_submission_parse(&submission, core->settings, body->data, body->len);
    decision = lmn_decide_submission(core, &submission, now);
    lmn_submission_clear(&submission);
    g_byte_array_unref(body);
    return decision;
}

/* The expected step, and with LMN_STEP_REPLY the status of the reply, with other steps
 * absent_status. */
struct expected_decision {
    enum lmn_request_step step;
    int status;
};
#define REPLY(status)                                                                    \
    {                                                                                    \
        LMN_STEP_REPLY, status                                                           \
    }
#define CONFIRM(absent)                                                                  \
    {                                                                                    \
        LMN_STEP_CONFIRM, absent                                                         \
    }
#define CANCEL_JOB                                                                       \
    {                                                                                    \
        LMN_STEP_CANCEL, 404                                                             \
    }

/* For a job that the watch cache does not show. The columns are as in enum request_kind.
 */
static const struct expected_decision UNKNOWN_JOB_DECISIONS[CACHE_STATES][REQUEST_KINDS] =
    {
        [NOT_SYNCED] = {REPLY(503), CANCEL_JOB, REPLY(503), CONFIRM(400), REPLY(503),
                        CONFIRM(400)},
        [STALLED] = {REPLY(503), CANCEL_JOB, REPLY(503), CONFIRM(400), REPLY(503),
                     CONFIRM(400)},
        [FRESH] = {CONFIRM(404),
                   CANCEL_JOB,
                   {LMN_STEP_COMMIT, 503},
                   CONFIRM(400),
                   CONFIRM(422),
                   CONFIRM(400)},
};
/* For a job that the watch cache shows as active. */
static const struct expected_decision ACTIVE_JOB_DECISIONS[CACHE_STATES][REQUEST_KINDS] =
    {
        [STALLED] = {REPLY(503), CANCEL_JOB, CONFIRM(503), CONFIRM(400), CONFIRM(503),
                     CONFIRM(503)},
        [FRESH] = {CONFIRM(404), CANCEL_JOB, CONFIRM(503), CONFIRM(400), CONFIRM(503),
                   CONFIRM(503)},
};

static void decision_depends_on_request_job_and_cache(void **state)
{
    struct lmn_settings test_settings = make_settings();
    (void)state;

    for (enum cache_state cache_state = 0; cache_state < CACHE_STATES; cache_state++)
        for (enum job_kind job_kind = 0; job_kind < JOB_KINDS; job_kind++)
            for (enum request_kind request_kind = 0; request_kind < REQUEST_KINDS;
                 request_kind++) {
                struct lmn_core *core = new_core(&test_settings, cache_state);
                struct lmn_request_decision decision =
                    decide(core, request_kind, JOB_IDS[job_kind]);
                bool is_cached = cache_state != NOT_SYNCED && job_kind != UNKNOWN;
                struct expected_decision expected =
                    is_cached ? ACTIVE_JOB_DECISIONS[cache_state][request_kind]
                              : UNKNOWN_JOB_DECISIONS[cache_state][request_kind];
                if (is_cached && job_kind != ACTIVE)
                    expected = (struct expected_decision)REPLY(200);
                assert_int_equal(decision.step, expected.step);
                assert_int_equal(decision.step == LMN_STEP_REPLY ? decision.reply.status
                                                                 : decision.absent_status,
                                 expected.status);
                assert_int_equal(decision.reply.includes_job, expected.status == 200);
                if (expected.status == 200)
                    assert_int_equal(decision.reply.phase,
                                     job_kind == DONE ? LMN_JOB_DONE : LMN_JOB_CANCELLED);
                free_core(core);
            }
}

static void request_without_valid_job_id_is_refused_at_once(void **state)
{
    struct lmn_settings test_settings = make_settings();
    struct lmn_submission submission;
    (void)state;

    for (enum cache_state cache_state = 0; cache_state < CACHE_STATES; cache_state++) {
        struct lmn_core *core = new_core(&test_settings, cache_state);
        assert_int_equal(lmn_decide_status(core, "nonsense", now).reply.status, 404);
        assert_int_equal(lmn_decide_cancel(core, "run-").reply.status, 404);
        const char *const bodies[] = {"", "\xa0", "\x80", "\xff\xff", "\x01"};
        for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
            lmn_submission_parse(&submission, &test_settings, (const guint8 *)bodies[i],
                                 strlen(bodies[i]));
            struct lmn_request_decision decision =
                lmn_decide_submission(core, &submission, now);
            assert_int_equal(decision.step, LMN_STEP_REPLY);
            assert_int_equal(decision.reply.status, 400);
            lmn_submission_clear(&submission);
        }
        free_core(core);
    }
}

static void reply_needs_a_confirmed_view(void **state)
{
    struct lmn_settings test_settings = make_settings();
    struct lmn_core *core = new_core(&test_settings, FRESH);
    GPtrArray *failed_keys = g_ptr_array_new();
    struct lmn_job_view view, absent;
    (void)state;

    lmn_job_view_from_cache(core, JOB_IDS[ACTIVE], &view);
    lmn_job_view_from_cache(core, JOB_IDS[UNKNOWN], &absent);
    assert_int_equal(lmn_job_view_confirmation(&view, LMN_TXN_COMMITTED, failed_keys),
                     LMN_CONFIRMATION_LATEST);
    assert_int_equal(lmn_job_view_confirmation(&view, LMN_TXN_UNKNOWN, failed_keys),
                     LMN_CONFIRMATION_UNKNOWN);
    assert_int_equal(lmn_job_view_confirmation(&view, LMN_TXN_REJECTED, failed_keys),
                     LMN_CONFIRMATION_UNKNOWN);
    /* A conflict that names no key proves nothing about any view. */
    assert_int_equal(lmn_job_view_confirmation(&view, LMN_TXN_CONFLICT, failed_keys),
                     LMN_CONFIRMATION_UNKNOWN);
    g_ptr_array_add(failed_keys, (char *)"j/run-000001");
    assert_int_equal(lmn_job_view_confirmation(&view, LMN_TXN_CONFLICT, failed_keys),
                     LMN_CONFIRMATION_OUTDATED);
    assert_int_equal(lmn_job_view_confirmation(&absent, LMN_TXN_CONFLICT, failed_keys),
                     LMN_CONFIRMATION_LATEST);

    for (int status = 400; status < 504; status++) {
        struct lmn_job_reply reply = lmn_job_reply_confirmed(core, &absent, status);
        assert_int_equal(reply.status, status);
        assert_false(reply.includes_job);
    }
    /* If the watch cache has a later revision by now, its state is replied. */
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, JOB_IDS[ACTIVE]);
    assert_int_equal(lmn_job_reply_confirmed(core, &view, 404).phase, LMN_JOB_ACTIVE);
    job->phase = LMN_JOB_DONE;
    job->revision++;
    assert_int_equal(lmn_job_reply_confirmed(core, &view, 404).phase, LMN_JOB_DONE);
    struct lmn_job_read_result read_result = {.status = 200,
                                              .revision = view.revision,
                                              .phase = LMN_JOB_ACTIVE,
                                              .spec.tasks = 3};
    assert_int_equal(
        lmn_job_reply_from_read_result(core, JOB_IDS[ACTIVE], &read_result, 404).phase,
        LMN_JOB_DONE);
    read_result.revision = job->revision + 1;
    assert_int_equal(
        lmn_job_reply_from_read_result(core, JOB_IDS[ACTIVE], &read_result, 404).phase,
        LMN_JOB_ACTIVE);
    add_job(core, UNKNOWN, LMN_JOB_ACTIVE);
    assert_int_equal(lmn_job_reply_confirmed(core, &absent, 422).status, 200);
    g_ptr_array_free(failed_keys, TRUE);
    free_core(core);
}

/* A user is told that a job waits for a machine, and for how long, while it is listed as
 * unschedulable; other replies have the same fields as before. */
static void reply_says_how_long_a_job_waits_for_a_machine(void **state)
{
    struct lmn_settings test_settings = make_settings();
    struct lmn_core *core = new_core(&test_settings, FRESH);
    struct lmn_partition_scheduling *scheduling = &core->partitions[0].scheduling;
    struct lmn_unschedulable_tasks tasks = {.tasks = 2, .waited_s = 42};
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, JOB_IDS[ACTIVE]);
    struct lmn_job_view view;
    (void)state;

    for (int is_listed = 0; is_listed <= 1; is_listed++) {
        struct lmn_cbor_document document;
        double waiting_s = 0;
        g_strlcpy(tasks.job_id, JOB_IDS[is_listed ? ACTIVE : UNKNOWN],
                  sizeof tasks.job_id);
        g_array_set_size(scheduling->unschedulable, 0);
        g_array_append_val(scheduling->unschedulable, tasks);
        scheduling->unschedulable_at = core->cache.fresh_at;
        lmn_job_view_from_cache(core, JOB_IDS[ACTIVE], &view);
        struct lmn_job_reply reply = lmn_job_reply_confirmed(core, &view, 404);
        assert_true(reply.waiting_s == (is_listed ? 42 : 0));
        GByteArray *body = lmn_job_reply_body(&reply, JOB_IDS[ACTIVE]);
        assert_int_equal(lmn_cbor_parse(&document, body->data, body->len), 0);
        lmn_cbor_get_number(
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_WAITING_S),
            &waiting_s);
        assert_true(waiting_s == (is_listed ? 42 : 0));
        lmn_cbor_free(&document);
        g_byte_array_unref(body);
    }
    job->phase = LMN_JOB_DONE;
    lmn_job_view_from_cache(core, JOB_IDS[ACTIVE], &view);
    assert_true(view.reply.waiting_s == 0);
    free_core(core);
}

static void reply_follows_transaction_outcome(void **state)
{
    struct lmn_job_reply reply;
    struct lmn_job_read_result read_result = {.status = 200, .phase = LMN_JOB_DONE};
    (void)state;

    assert_null(lmn_cancellation_txn("run-000001", &read_result, 404, &reply));
    assert_int_equal(reply.phase, LMN_JOB_DONE);
    read_result.status = 404;
    assert_null(lmn_cancellation_txn("run-000001", &read_result, 404, &reply));
    assert_int_equal(reply.status, 404);
    read_result.status = LMN_HTTP_NO_RESPONSE;
    assert_null(lmn_cancellation_txn("run-000001", &read_result, 404, &reply));
    assert_int_equal(reply.status, 503);
    assert_true(lmn_cancellation_is_final(LMN_TXN_COMMITTED, &reply));
    assert_int_equal(reply.phase, LMN_JOB_CANCELLED);
    assert_true(lmn_cancellation_is_final(LMN_TXN_UNKNOWN, &reply));
    assert_int_equal(reply.status, 503);
    assert_false(
        lmn_cancellation_is_final(LMN_TXN_CONFLICT, &reply)); /* the job is read again */
    assert_int_equal(reply.status, 503); /* the reply after the last attempt */
    /* A submission is only replied as accepted if its transaction is known to be
     * committed. */
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_COMMITTED).reply.status, 201);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_UNKNOWN).reply.status, 503);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_REJECTED).reply.status, 503);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_CONFLICT).step, LMN_STEP_CONFIRM);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_CONFLICT).absent_status, 503);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(decision_depends_on_request_job_and_cache),
        cmocka_unit_test(request_without_valid_job_id_is_refused_at_once),
        cmocka_unit_test(reply_needs_a_confirmed_view),
        cmocka_unit_test(reply_says_how_long_a_job_waits_for_a_machine),
        cmocka_unit_test(reply_follows_transaction_outcome),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
