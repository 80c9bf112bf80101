/* The order of jobs: objectives, overload triage, guaranteed quota, services. */
#include "queue/fixture.h"

#include "scheduler/job_order.h"
#include "partition/owner.h"
#include "state/watch_cache.h"
#include "state/records.h"

#include <math.h>
#include <string.h>

/* Number of jobs in the mask if all of them, run in the order of their latest starts, are
 * in time; else 0. `sorted_jobs` is in that order. */
static unsigned count_if_all_in_time(const struct lmn_job *sorted_jobs, int job_count,
                                     unsigned mask, double cpus)
{
    double work_cpu_s = 0;
    unsigned count = 0;

    for (int i = 0; i < job_count; i++) {
        if (!(mask >> i & 1))
            continue;
        work_cpu_s += sorted_jobs[i].remaining_cpu_s;
        if (1000 + work_cpu_s / cpus > sorted_jobs[i].latest_start_s)
            return 0;
        count++;
    }
    return count;
}

/* lmn_job_compare is a strict total order: antisymmetric, transitive, and 0 only for the
 * same job. */
static void job_order_is_total(void **state)
{
    (void)state;
    fixture_set_up(77);
    for (int a = 0; a < JOBS; a++) {
        jobs[a].is_under_fair_share = a % 3 == 1;
        jobs[a].has_missed_objective = a % 4 == 2;
        jobs[a].is_within_guarantee = a % 5 == 0;
    }
    for (int a = 0; a < JOBS; a++)
        for (int b = 0; b < JOBS; b++) {
            int order = lmn_job_compare(&jobs[a], &jobs[b]);
            int reverse_order = lmn_job_compare(&jobs[b], &jobs[a]);
            assert_int_equal(order<0, reverse_order> 0);
            assert_int_equal(order == 0, a == b);
            for (int c = 0; c < JOBS; c++)
                if (order < 0 && lmn_job_compare(&jobs[b], &jobs[c]) < 0)
                    assert_true(lmn_job_compare(&jobs[a], &jobs[c]) < 0);
        }
}

/* A job's latest start is that of its next objective that can still be met; objectives of
 * other classes do not count. */
static void latest_start_follows_next_reachable_objective(void **state)
{
    struct lmn_settings test_settings = {.objective_count = 3};
    struct lmn_job job = {
        .spec = {.class_name = (char *)"c", .estimate_s = 10, .deadline_s = -1},
        .accepted_at_s = 100};
    (void)state;

    test_settings.objectives[0] =
        (struct lmn_objective){LMN_OBJECTIVE_START, "c", 20, 1, 1};
    test_settings.objectives[1] =
        (struct lmn_objective){LMN_OBJECTIVE_FINISH, "c", 60, 1, 1};
    test_settings.objectives[2] =
        (struct lmn_objective){LMN_OBJECTIVE_START, "other", 1, 1, 1};
    lmn_job_update_latest_start(&test_settings, &job, 110);
    assert_true(!job.has_missed_objective && job.latest_start_s == 120);
    lmn_job_update_latest_start(&test_settings, &job, 121);
    assert_true(!job.has_missed_objective && job.latest_start_s == 155);
    lmn_job_update_latest_start(&test_settings, &job, 156);
    assert_true(job.has_missed_objective);
    job.spec.class_name = (char *)"unheard-of";
    lmn_job_update_latest_start(&test_settings, &job, 156);
    assert_true(!job.has_missed_objective && isinf(job.latest_start_s));
}

/* Triage keeps as many jobs as possible, and these are all in time. The maximum is found
 * by trying all subsets of the jobs. */
static void triage_keeps_as_many_jobs_as_possible(void **state)
{
    (void)state;
    for (uint32_t seed = 0; seed < 300; seed++) {
        enum { JOB_COUNT = 9 };
        GRand *generator = g_rand_new_with_seed(seed);
        struct lmn_job sorted_jobs[JOB_COUNT];
        GPtrArray *triage_jobs = g_ptr_array_new();
        unsigned best = 0, kept = 0;
        memset(sorted_jobs, 0, sizeof sorted_jobs);
        for (int i = 0; i < JOB_COUNT; i++) {
            g_snprintf(sorted_jobs[i].spec.id, sizeof sorted_jobs[i].spec.id, "run-%06d",
                       i);
            sorted_jobs[i].spec.may_use_spot = true;
            sorted_jobs[i].remaining_cpu_s = g_rand_int_range(generator, 1, 400);
            sorted_jobs[i].latest_start_s =
                (i ? sorted_jobs[i - 1].latest_start_s : 1000) +
                g_rand_int_range(generator, 0, 20);
            g_ptr_array_add(triage_jobs, &sorted_jobs[i]);
        }
        lmn_overload_triage(triage_jobs, 1000, 10, 10);
        for (int i = 0; i < JOB_COUNT; i++)
            kept |= (unsigned)!sorted_jobs[i].is_deferred << i;
        for (unsigned mask = 1; mask < 1u << JOB_COUNT; mask++)
            best = MAX(best, count_if_all_in_time(sorted_jobs, JOB_COUNT, mask, 10));
        assert_int_equal(
            kept ? count_if_all_in_time(sorted_jobs, JOB_COUNT, kept, 10) : 0, best);
        g_ptr_array_free(triage_jobs, TRUE);
        g_rand_free(generator);
    }
}

/* A job is within its team's guarantee if it fits there together with the team's earlier
 * unfinished jobs. Jobs within the guarantee come before more urgent ones that are not.
 */
static void jobs_within_guarantee_are_marked_and_come_first(void **state)
{
    static struct lmn_settings test_settings;
    static struct lmn_team team;
    (void)state;
    test_settings = (struct lmn_settings){.partition_count = 1,
                                          .state_requests_per_s = 10,
                                          .state_writes_per_s = 10,
                                          .max_txn_operations = 12,
                                          .teams = &team,
                                          .team_count = 1};
    g_strlcpy(test_settings.teams[0].name, "t", LMN_NAME_SIZE);
    test_settings.teams[0].cpus = 10;
    struct lmn_core *core =
        lmn_core_new(&test_settings, lmn_kv_client_new(&test_settings), 1);
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
        struct lmn_cbor_document document;
        for (int final = 0; final < (i == 1 ? 2 : 1); final++) {
            g_snprintf(spec.id, sizeof spec.id, "run-%06d", i);
            g_snprintf(key, sizeof key, "j/%s", spec.id);
            GByteArray *record =
                lmn_job_record_encode(&spec, final ? LMN_JOB_DONE : LMN_JOB_ACTIVE, 1, i);
            assert_int_equal(lmn_cbor_parse(&document, record->data, record->len), 0);
            lmn_watch_cache_apply(core, key, &document, lmn_cbor_root(&document),
                                  ++revision, now);
            lmn_cbor_free(&document);
            g_byte_array_free(record, TRUE);
        }
        struct lmn_job *job = g_hash_table_lookup(core->cache.jobs, spec.id);
        assert_int_equal(job->is_within_guarantee, expected[i]);
        spec.tasks = i ? 2 : 3;
    }
    struct lmn_job *guaranteed = g_hash_table_lookup(core->cache.jobs, "run-000002");
    struct lmn_job more_urgent = *guaranteed;
    more_urgent.is_within_guarantee = false;
    more_urgent.spec.priority = LMN_PRIORITY_PRODUCTION;
    assert_true(lmn_job_compare(guaranteed, &more_urgent) < 0);
}

/* A service never counts as having missed its objectives, however late it is: otherwise
 * it would wait for all batch jobs that can still meet theirs. */
static void services_never_miss_their_objectives(void **state)
{
    struct lmn_settings test_settings = {.objective_count = 2};
    struct lmn_job service = {.accepted_at_s = 100}, batch = {.accepted_at_s = 500};
    (void)state;

    test_settings.objectives[0] = (struct lmn_objective){
        .kind = LMN_OBJECTIVE_START, .class_name = "s", .within_s = 5};
    test_settings.objectives[1] = (struct lmn_objective){
        .kind = LMN_OBJECTIVE_FINISH, .class_name = "b", .within_s = 180};
    service.spec = (struct lmn_job_spec){.kind = LMN_JOB_SERVICE,
                                         .class_name = (char *)"s",
                                         .priority = LMN_PRIORITY_PRODUCTION,
                                         .deadline_s = -1};
    batch.spec = (struct lmn_job_spec){.kind = LMN_JOB_BATCH,
                                       .class_name = (char *)"b",
                                       .priority = LMN_PRIORITY_NORMAL,
                                       .deadline_s = -1};
    for (double wall_clock_s = 500; wall_clock_s < 5000; wall_clock_s += 50) {
        lmn_job_update_latest_start(&test_settings, &service, wall_clock_s);
        lmn_job_update_latest_start(&test_settings, &batch, wall_clock_s);
        assert_false(service.has_missed_objective);
        assert_true(lmn_job_compare(&service, &batch) < 0);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(job_order_is_total),
        cmocka_unit_test(latest_start_follows_next_reachable_objective),
        cmocka_unit_test(triage_keeps_as_many_jobs_as_possible),
        cmocka_unit_test(jobs_within_guarantee_are_marked_and_come_first),
        cmocka_unit_test(services_never_miss_their_objectives),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
