/* The order of jobs: expectations, triage, guarantees. */
#include "queue/fixture.h"

#include "scheduler/job_order.h"
#include "partition/owner.h"
#include "state/watch_cache.h"
#include "state/records.h"

#include <math.h>
#include <string.h>

/* Whether the jobs of the mask are all in time, the earliest first. */
static unsigned in_time(const struct lmn_job *job, int n, unsigned mask, double cpus)
{
    double work = 0;
    unsigned count = 0;

    for (int i = 0; i < n; i++) { /* v is in the order of the latest start */
        if (!(mask >> i & 1))
            continue;
        work += job[i].remaining_cpu_s;
        if (1000 + work / cpus > job[i].latest_start_s)
            return 0;
        count++;
    }
    return count;
}

/* The order is total: what goes before, goes before whatever comes between. */
static void order_is_total(void **state)
{
    (void)state;
    fixture_begin(77);
    for (int a = 0; a < JOBS; a++) {
        jobs[a].is_under_fair_share = a % 3 == 1;
        jobs[a].has_missed_objective = a % 4 == 2;
        jobs[a].is_within_guarantee = a % 5 == 0;
    }
    for (int a = 0; a < JOBS; a++)
        for (int b = 0; b < JOBS; b++) {
            int ab = lmn_job_compare(&jobs[a], &jobs[b]),
                ba = lmn_job_compare(&jobs[b], &jobs[a]);
            assert_int_equal(ab<0, ba> 0);
            assert_int_equal(ab == 0, a == b);
            for (int c = 0; c < JOBS; c++)
                if (ab < 0 && lmn_job_compare(&jobs[b], &jobs[c]) < 0)
                    assert_true(lmn_job_compare(&jobs[a], &jobs[c]) < 0);
        }
}

/* What can be in time goes before what can't, whatever the urgency; and a job's next
 * expectation takes the place of one that is past. */
static void expectations(void **state)
{
    struct lmn_settings s = {.objective_count = 3};
    struct lmn_job j = {
        .spec = {.class_name = (char *)"c", .estimate_s = 10, .deadline_s = -1},
        .accepted_at_s = 100};
    (void)state;

    s.objectives[0] = (struct lmn_objective){LMN_OBJECTIVE_START, "c", 20, 1, 1};
    s.objectives[1] = (struct lmn_objective){LMN_OBJECTIVE_FINISH, "c", 60, 1, 1};
    s.objectives[2] = (struct lmn_objective){LMN_OBJECTIVE_START, "other", 1, 1, 1};
    lmn_job_update_latest_start(&s, &j, 110);
    assert_true(!j.has_missed_objective && j.latest_start_s == 120);
    lmn_job_update_latest_start(&s, &j, 121);
    assert_true(!j.has_missed_objective && j.latest_start_s == 155);
    lmn_job_update_latest_start(&s, &j, 156);
    assert_true(j.has_missed_objective);
    j.spec.class_name = (char *)"unheard-of";
    lmn_job_update_latest_start(&s, &j, 156);
    assert_true(!j.has_missed_objective && isinf(j.latest_start_s));
}

/* As many jobs as at all possible keep their place, and those are all in time. */
static void triage_is_best(void **state)
{
    (void)state;
    for (uint32_t seed = 0; seed < 300; seed++) {
        enum { N = 9 };
        GRand *r = g_rand_new_with_seed(seed);
        struct lmn_job v[N];
        GPtrArray *list = g_ptr_array_new();
        unsigned best = 0, kept = 0;
        memset(v, 0, sizeof v);
        for (int i = 0; i < N; i++) {
            g_snprintf(v[i].spec.id, sizeof v[i].spec.id, "run-%06d", i);
            v[i].spec.may_use_spot = true;
            v[i].remaining_cpu_s = g_rand_int_range(r, 1, 400);
            v[i].latest_start_s =
                (i ? v[i - 1].latest_start_s : 1000) + g_rand_int_range(r, 0, 20);
            g_ptr_array_add(list, &v[i]);
        }
        lmn_overload_triage(list, 1000, 10, 10);
        for (int i = 0; i < N; i++)
            kept |= (unsigned)!v[i].is_deferred << i;
        for (unsigned mask = 1; mask < 1u << N; mask++)
            best = MAX(best, in_time(v, N, mask, 10));
        assert_int_equal(kept ? in_time(v, N, kept, 10) : 0, best);
        g_ptr_array_free(list, TRUE);
        g_rand_free(r);
    }
}

/* A job is guaranteed if it fits into its team's guarantee with what was unfinished
 * before it. */
static void guarantee_is_kept(void **state)
{
    static struct lmn_settings s;
    static struct lmn_team team;
    (void)state;
    s = (struct lmn_settings){.partition_count = 1,
                              .state_requests_per_s = 10,
                              .state_writes_per_s = 10,
                              .max_txn_operations = 12,
                              .teams = &team,
                              .team_count = 1};
    g_strlcpy(s.teams[0].name, "t", LMN_NAME_SIZE);
    s.teams[0].cpus = 10;
    struct lmn_core *core = lmn_core_new(&s, lmn_kv_client_new(&s), 1);
    struct lmn_job_spec spec = {.class_name = (char *)"c",
                                .team = (char *)"t",
                                .image = (char *)"i",
                                .tasks = 3,
                                .cpus = 2,
                                .deadline_s = -1};
    uint64_t revision = 1;
    bool expected[] = {true, false, true};

    for (int i = 0; i < 3; i++) {
        char key[64];
        struct lmn_cbor_document d;
        for (int final = 0; final < (i == 1 ? 2 : 1); final++) {
            g_snprintf(spec.id, sizeof spec.id, "run-%06d", i);
            g_snprintf(key, sizeof key, "j/%s", spec.id);
            GByteArray *b =
                lmn_job_record(&spec, final ? LMN_JOB_DONE : LMN_JOB_ACTIVE, 1, i);
            assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
            lmn_watch_cache_apply(core, key, &d, lmn_cbor_root(&d), ++revision, now);
            lmn_cbor_free(&d);
            g_byte_array_free(b, TRUE);
        }
        struct lmn_job *j = g_hash_table_lookup(core->cache.jobs, spec.id);
        assert_int_equal(j->is_within_guarantee, expected[i]);
        spec.tasks = i ? 2 : 3;
    }
    /* A guaranteed job goes before one that is more urgent. */
    struct lmn_job *a = g_hash_table_lookup(core->cache.jobs, "run-000002");
    struct lmn_job b = *a;
    b.is_within_guarantee = false;
    b.spec.priority = LMN_PRIORITY_PRODUCTION;
    assert_true(lmn_job_compare(a, &b) < 0);
}

/* A service is never too late: counted as lost once its start was late, it waited behind
 * all batches that could still be in time. */
static void services_are_never_lost(void **state)
{
    struct lmn_settings s = {.objective_count = 2};
    struct lmn_job service = {.accepted_at_s = 100}, batch = {.accepted_at_s = 500};
    (void)state;

    s.objectives[0] = (struct lmn_objective){
        .kind = LMN_OBJECTIVE_START, .class_name = "s", .within_s = 5};
    s.objectives[1] = (struct lmn_objective){
        .kind = LMN_OBJECTIVE_FINISH, .class_name = "b", .within_s = 180};
    service.spec = (struct lmn_job_spec){.kind = LMN_JOB_SERVICE,
                                         .class_name = (char *)"s",
                                         .priority = LMN_PRIORITY_PRODUCTION,
                                         .deadline_s = -1};
    batch.spec = (struct lmn_job_spec){.kind = LMN_JOB_BATCH,
                                       .class_name = (char *)"b",
                                       .priority = LMN_PRIORITY_NORMAL,
                                       .deadline_s = -1};
    for (double wall = 500; wall < 5000; wall += 50) {
        lmn_job_update_latest_start(&s, &service, wall);
        lmn_job_update_latest_start(&s, &batch, wall);
        assert_false(service.has_missed_objective);
        assert_true(lmn_job_compare(&service, &batch) < 0);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(order_is_total),          cmocka_unit_test(expectations),
        cmocka_unit_test(triage_is_best),          cmocka_unit_test(guarantee_is_kept),
        cmocka_unit_test(services_are_never_lost),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
