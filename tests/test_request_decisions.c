/* What users are told, decided by a node that has just started, one whose view is old,
 * and one that follows: each request against each of them. */
#include "controller/request_decisions.h"
#include "protocol/wire.h"
#include "state/core.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

enum view { JUST_STARTED, OLD_VIEW, FOLLOWING, VIEWS };
enum job { UNKNOWN, ACTIVE, DONE, CANCELLED, KINDS_OF_JOBS };
enum request { STATUS, CANCEL, SOUND, NO_FIELD, NO_ROOM, TOO_LARGE, REQUESTS };

static const struct timespec now = {1000, 0};
static const char *const refs[] = {"run-000000", "run-000001", "run-000002",
                                   "run-000003"};

static struct lmn_team team[1];

static struct lmn_settings settings(void)
{
    struct lmn_settings cfg = {.partition_count = 1,
                               .state_requests_per_s = 100,
                               .state_writes_per_s = 100,
                               .max_value_kb = 16,
                               .max_txn_operations = 12,
                               .teams = team,
                               .team_count = 1};

    g_strlcpy(cfg.node_name, "n0", LMN_NAME_SIZE);
    g_strlcpy(cfg.teams[0].name, "t", LMN_NAME_SIZE);
    cfg.teams[0].cpus_max = 8;
    return cfg;
}

static void know(struct lmn_core *core, enum job kind, enum lmn_job_phase phase)
{
    struct lmn_job *job = g_new0(struct lmn_job, 1);

    g_strlcpy(job->spec.id, refs[kind], LMN_JOB_ID_SIZE);
    job->spec.tasks = 3;
    job->phase = phase;
    job->revision = 10 + (uint64_t)kind;
    job->ranges = g_ptr_array_new();
    g_hash_table_insert(core->cache.jobs, job->spec.id, job);
}

static struct lmn_core *core_with(const struct lmn_settings *settings, enum view view)
{
    struct lmn_core *core = lmn_core_alloc(settings, lmn_kv_client_new(settings), 1);

    if (view == JUST_STARTED)
        return core;
    core->cache.is_synced = core->cloud.machine_types_known = true;
    core->cache.fresh_at =
        view == OLD_VIEW ? lmn_time_add(now, -LMN_CACHE_STALLED_S - 1) : now;
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] = (struct lmn_machine_type){
        .name = "small", .cpus = 4, .memory_gb = 16, .zone_count = 1, .zones = {"a"}};
    know(core, ACTIVE, LMN_JOB_ACTIVE);
    know(core, DONE, LMN_JOB_DONE);
    know(core, CANCELLED, LMN_JOB_CANCELLED);
    return core;
}

static void core_end(struct lmn_core *core)
{
    struct lmn_kv_client *client = core->kv_client;

    lmn_core_free(core);
    lmn_kv_client_free(client);
}

static GByteArray *submission(const char *ref, enum request what)
{
    GByteArray *b = g_byte_array_new();
    struct lmn_job_spec s = {.class_name = (char *)(what == NO_FIELD ? "" : "c"),
                             .team = (char *)"t",
                             .image = (char *)"i",
                             .priority = LMN_PRIORITY_NORMAL,
                             .tasks = 3,
                             .cpus = what == NO_ROOM ? 5 : 1,
                             .memory_gb = 1,
                             .estimate_s = 2,
                             .deadline_s = -1};
    char long_type[64], *types[251] = {NULL};

    memset(long_type, 't', 63);
    long_type[63] = '\0';
    for (int i = 0; i < 250; i++)
        types[i] = long_type;
    if (what == TOO_LARGE)
        s.machine_types = types;
    g_strlcpy(s.id, ref, sizeof s.id);
    lmn_cbor_put_map(b, lmn_job_spec_pair_count());
    lmn_job_spec_write(b, &s);
    return b;
}

static struct lmn_request_decision decide(struct lmn_core *core, enum request what,
                                          const char *ref)
{
    struct lmn_submission s;
    struct lmn_request_decision d;

    if (what == STATUS)
        return lmn_decide_status(core, ref, now);
    if (what == CANCEL)
        return lmn_decide_cancel(core, ref);
    GByteArray *b = submission(ref, what);
    lmn_submission_parse(&s, core->settings, b->data, b->len);
    d = lmn_decide_submission(core, &s, now);
    lmn_submission_clear(&s);
    g_byte_array_unref(b);
    return d;
}

/* The step, and the status: of the reply, or if there is no such job. */
struct expected {
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
#define CANCELS                                                                          \
    {                                                                                    \
        LMN_STEP_CANCEL, 404                                                             \
    }

/* Of a job that the mirror does not show, by the node's view. */
static const struct expected unknown[VIEWS][REQUESTS] = {
    [JUST_STARTED] = {REPLY(503), CANCELS, REPLY(503), CONFIRM(400), REPLY(503),
                      CONFIRM(400)},
    [OLD_VIEW] = {REPLY(503), CANCELS, REPLY(503), CONFIRM(400), REPLY(503),
                  CONFIRM(400)},
    [FOLLOWING] = {CONFIRM(404),
                   CANCELS,
                   {LMN_STEP_COMMIT, 503},
                   CONFIRM(400),
                   CONFIRM(422),
                   CONFIRM(400)},
};
/* Of one that it shows as active. */
static const struct expected active[VIEWS][REQUESTS] = {
    [OLD_VIEW] = {REPLY(503), CANCELS, CONFIRM(503), CONFIRM(400), CONFIRM(503),
                  CONFIRM(503)},
    [FOLLOWING] = {CONFIRM(404), CANCELS, CONFIRM(503), CONFIRM(400), CONFIRM(503),
                   CONFIRM(503)},
};

static void each_request_at_each_node(void **state)
{
    struct lmn_settings cfg = settings();
    (void)state;

    for (enum view view = 0; view < VIEWS; view++)
        for (enum job kind = 0; kind < KINDS_OF_JOBS; kind++)
            for (enum request what = 0; what < REQUESTS; what++) {
                struct lmn_core *core = core_with(&cfg, view);
                struct lmn_request_decision d = decide(core, what, refs[kind]);
                bool shown = view != JUST_STARTED && kind != UNKNOWN;
                struct expected e = shown ? active[view][what] : unknown[view][what];
                if (shown && kind != ACTIVE)
                    e = (struct expected)REPLY(200);
                assert_int_equal(d.step, e.step);
                assert_int_equal(d.step == LMN_STEP_REPLY ? d.reply.status
                                                          : d.absent_status,
                                 e.status);
                assert_int_equal(d.reply.includes_job, e.status == 200);
                if (e.status == 200)
                    assert_int_equal(d.reply.phase,
                                     kind == DONE ? LMN_JOB_DONE : LMN_JOB_CANCELLED);
                core_end(core);
            }
}

static void what_names_no_job(void **state)
{
    struct lmn_settings cfg = settings();
    struct lmn_submission s;
    (void)state;

    for (enum view view = 0; view < VIEWS; view++) {
        struct lmn_core *core = core_with(&cfg, view);
        assert_int_equal(lmn_decide_status(core, "nonsense", now).reply.status, 404);
        assert_int_equal(lmn_decide_cancel(core, "run-").reply.status, 404);
        const char *const bodies[] = {"", "\xa0", "\x80", "\xff\xff", "\x01"};
        for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
            lmn_submission_parse(&s, &cfg, (const guint8 *)bodies[i], strlen(bodies[i]));
            struct lmn_request_decision d = lmn_decide_submission(core, &s, now);
            assert_int_equal(d.step, LMN_STEP_REPLY);
            assert_int_equal(d.reply.status, 400);
            lmn_submission_clear(&s);
        }
        core_end(core);
    }
}

static void confirmations(void **state)
{
    struct lmn_settings cfg = settings();
    struct lmn_core *core = core_with(&cfg, FOLLOWING);
    GPtrArray *failed = g_ptr_array_new();
    struct lmn_job_view v, absent;
    (void)state;

    lmn_job_view_from_cache(core, refs[ACTIVE], &v);
    lmn_job_view_from_cache(core, refs[UNKNOWN], &absent);
    assert_int_equal(lmn_job_view_confirmation(&v, LMN_TXN_COMMITTED, failed),
                     LMN_CONFIRMATION_LATEST);
    assert_int_equal(lmn_job_view_confirmation(&v, LMN_TXN_UNKNOWN, failed),
                     LMN_CONFIRMATION_UNKNOWN);
    assert_int_equal(lmn_job_view_confirmation(&v, LMN_TXN_REJECTED, failed),
                     LMN_CONFIRMATION_UNKNOWN);
    /* A conflict that names nothing says nothing. */
    assert_int_equal(lmn_job_view_confirmation(&v, LMN_TXN_CONFLICT, failed),
                     LMN_CONFIRMATION_UNKNOWN);
    g_ptr_array_add(failed, (char *)"j/run-000001");
    assert_int_equal(lmn_job_view_confirmation(&v, LMN_TXN_CONFLICT, failed),
                     LMN_CONFIRMATION_OUTDATED);
    assert_int_equal(lmn_job_view_confirmation(&absent, LMN_TXN_CONFLICT, failed),
                     LMN_CONFIRMATION_LATEST);

    for (int status = 400; status < 504; status++) {
        struct lmn_job_reply r = lmn_job_reply_confirmed(core, &absent, status);
        assert_int_equal(r.status, status);
        assert_false(r.includes_job);
    }
    /* What the mirror has learnt since is told, by its revision. */
    struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, refs[ACTIVE]);
    assert_int_equal(lmn_job_reply_confirmed(core, &v, 404).phase, LMN_JOB_ACTIVE);
    job->phase = LMN_JOB_DONE;
    job->revision++;
    assert_int_equal(lmn_job_reply_confirmed(core, &v, 404).phase, LMN_JOB_DONE);
    struct lmn_job_read_result reading = {
        .status = 200, .revision = v.revision, .phase = LMN_JOB_ACTIVE, .spec.tasks = 3};
    assert_int_equal(
        lmn_job_reply_from_read_result(core, refs[ACTIVE], &reading, 404).phase,
        LMN_JOB_DONE);
    reading.revision = job->revision + 1;
    assert_int_equal(
        lmn_job_reply_from_read_result(core, refs[ACTIVE], &reading, 404).phase,
        LMN_JOB_ACTIVE);
    know(core, UNKNOWN, LMN_JOB_ACTIVE);
    assert_int_equal(lmn_job_reply_confirmed(core, &absent, 422).status, 200);
    g_ptr_array_free(failed, TRUE);
    core_end(core);
}

static void cancellations(void **state)
{
    struct lmn_job_reply r;
    struct lmn_job_read_result reading = {.status = 200, .phase = LMN_JOB_DONE};
    (void)state;

    assert_null(lmn_cancellation_txn("run-000001", &reading, 404, &r));
    assert_int_equal(r.phase, LMN_JOB_DONE);
    reading.status = 404;
    assert_null(lmn_cancellation_txn("run-000001", &reading, 404, &r));
    assert_int_equal(r.status, 404);
    reading.status = LMN_HTTP_NO_RESPONSE;
    assert_null(lmn_cancellation_txn("run-000001", &reading, 404, &r));
    assert_int_equal(r.status, 503);
    assert_true(lmn_cancellation_is_final(LMN_TXN_COMMITTED, &r));
    assert_int_equal(r.phase, LMN_JOB_CANCELLED);
    assert_true(lmn_cancellation_is_final(LMN_TXN_UNKNOWN, &r));
    assert_int_equal(r.status, 503);
    assert_false(lmn_cancellation_is_final(LMN_TXN_CONFLICT, &r)); /* it is read again */
    assert_int_equal(r.status, 503); /* or that was the last try */
    /* Only what is known to be committed is told as accepted. */
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_COMMITTED).reply.status, 201);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_UNKNOWN).reply.status, 503);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_REJECTED).reply.status, 503);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_CONFLICT).step, LMN_STEP_CONFIRM);
    assert_int_equal(lmn_decide_commit_outcome(LMN_TXN_CONFLICT).absent_status, 503);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_request_at_each_node),
        cmocka_unit_test(what_names_no_job),
        cmocka_unit_test(confirmations),
        cmocka_unit_test(cancellations),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
