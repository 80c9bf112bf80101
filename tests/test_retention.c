/* Eviction of final jobs from memory: no job is evicted that is active, has a range, or
 * is referred to by a machine's attempt. When all records are listed again, evicted final
 * jobs are not loaded again, except those that have ranges. */
#include "protocol/cbor.h"
#include "partition/owner.h"
#include "state/task_ledger.h"
#include "state/core.h"
#include "state/retention.h"
#include "state/watch_cache.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

/* The cores of these tests are never freed, so leaks are not reported. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { JOBS = 6000, MAX_RETAINED_JOBS = 1000 };

static struct lmn_team team = {.name = "t"};
static struct lmn_settings settings = {.node_name = "n0",
                                       .partition_count = 1,
                                       .state_requests_per_s = 1000,
                                       .state_writes_per_s = 1000,
                                       .max_value_kb = 16,
                                       .max_txn_operations = 12,
                                       .heartbeat_s = 1,
                                       .lease_s = 10,
                                       .cancel_s = 30,
                                       .team_count = 1,
                                       .teams = &team};
static uint64_t last_revision;
static struct timespec now = {1000, 0};

/* Applies a record's value as a change that the watch cache shows; frees the value. */
static void apply_record(struct lmn_core *core, const char *key, GByteArray *value)
{
    struct lmn_cbor_document document;

    assert_int_equal(lmn_cbor_parse(&document, value->data, value->len), 0);
    lmn_watch_cache_apply(core, key, &document, lmn_cbor_root(&document), ++last_revision,
                          now);
    lmn_cbor_free(&document);
    g_byte_array_unref(value);
}

/* Writes the record of the job with the number. */
static void put_job(struct lmn_core *core, int job_number, enum lmn_job_phase phase)
{
    struct lmn_job_spec spec = {.class_name = (char *)"c",
                                .team = (char *)"t",
                                .image = (char *)"i",
                                .tasks = 2,
                                .cpus = 1,
                                .deadline_s = -1};
    char key[64];

    g_snprintf(spec.id, sizeof spec.id, "run-%06d", job_number);
    g_snprintf(key, sizeof key, "j/%s", spec.id);
    apply_record(core, key,
                 lmn_job_record_encode(&spec, phase, phase == LMN_JOB_ACTIVE, 1));
}

/* Writes the record of a range of the job with the number. */
static void put_range(struct lmn_core *core, int job_number)
{
    const struct lmn_range range = {.first = 0, .end = 2};
    uint8_t none_done = 0;
    char key[64];

    g_snprintf(key, sizeof key, "r/0/run-%06d/0", job_number);
    apply_record(core, key, lmn_range_record_encode(&range, &none_done));
}

/* Whether the job with the number is in memory. */
static bool is_in_memory(const struct lmn_core *core, int job_number)
{
    char job_id[LMN_JOB_ID_SIZE];

    g_snprintf(job_id, sizeof job_id, "run-%06d", job_number);
    return g_hash_table_contains(core->cache.jobs, job_id);
}

static struct lmn_core *make_core(void)
{
    struct lmn_core *core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);

    core->cache.max_retained_jobs = MAX_RETAINED_JOBS;
    last_revision = 0;
    return core;
}

static void evicts_final_jobs_without_references(void **state)
{
    struct lmn_core *core = make_core();
    (void)state;

    for (int n = 0; n < JOBS; n++) {
        put_job(core, n, LMN_JOB_ACTIVE);
        if (n % 100 == 7)
            put_range(core, n); /* a range that its owner has not removed yet */
        if (n % 100 != 3)
            put_job(core, n, n % 2 ? LMN_JOB_CANCELLED : LMN_JOB_DONE);
    }
    struct lmn_machine *machine = lmn_machine_new(&core->partitions[0], "host-000000");
    struct lmn_attempt attempt = {
        .job = g_hash_table_lookup(core->cache.jobs, "run-000001")};
    g_array_append_val(machine->attempts, attempt);
    /* Jobs that became final less than 600 s ago are kept: tasks of them may still run
     * and have to count against the team's quota limit. */
    assert_int_equal(lmn_retention_evict(core, now), 0);
    now.tv_sec += 700;
    assert_true(lmn_retention_evict(core, now) > JOBS - 2 * MAX_RETAINED_JOBS - 200);
    assert_true(core->cache.final_jobs.length <= MAX_RETAINED_JOBS + 200);
    assert_false(is_in_memory(core, 0));
    assert_true(is_in_memory(core, 1));   /* an attempt refers to it */
    assert_true(is_in_memory(core, 3));   /* it is active */
    assert_true(is_in_memory(core, 107)); /* it has a range */
    assert_true(is_in_memory(core, JOBS - 1));
    /* Later changes of a job that was kept are still applied. */
    put_job(core, 3, LMN_JOB_DONE);
    assert_int_equal(
        ((struct lmn_job *)g_hash_table_lookup(core->cache.jobs, "run-000003"))->phase,
        LMN_JOB_DONE);
}

/* A listing that names too many final jobs is begun again: the ranges are listed first,
 * and then only active jobs and jobs that have ranges are loaded. */
static void listing_loads_only_needed_final_jobs(void **state)
{
    struct lmn_core *core = make_core();
    (void)state;

    core->cache.is_listing = true;
    for (int n = 0; n < JOBS && !core->cache.too_many_final_jobs; n++)
        put_job(core, n, LMN_JOB_CANCELLED);
    assert_true(core->cache.too_many_final_jobs);
    assert_int_equal(core->cache.final_jobs.length, MAX_RETAINED_JOBS);
    core->cache.too_many_final_jobs = false;
    core->cache.needed_job_ids = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(core->cache.needed_job_ids, (gpointer) "run-005000");
    for (int n = 0; n < JOBS; n++)
        put_job(core, n, n == 5500 ? LMN_JOB_ACTIVE : LMN_JOB_CANCELLED);
    assert_true(is_in_memory(core, 5000));
    assert_true(is_in_memory(core, 5500));
    assert_false(is_in_memory(core, 5501));
    assert_int_equal(g_hash_table_size(core->cache.jobs), MAX_RETAINED_JOBS + 2);
    put_range(core, 5000);
    assert_false(core->cache.must_relist);
    /* This job became final, and was not loaded, after the ranges were listed: everything
     * has to be listed again. */
    put_range(core, 5501);
    assert_true(core->cache.must_relist);
    g_hash_table_destroy(core->cache.needed_job_ids);
    core->cache.needed_job_ids = NULL;
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(evicts_final_jobs_without_references),
        cmocka_unit_test(listing_loads_only_needed_final_jobs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
