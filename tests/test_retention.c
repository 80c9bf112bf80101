/* Final jobs leave memory, but nothing that is still referred to does, and what was
 * forgotten is read again without starting anything. */
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

/* A core is never freed. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { JOBS = 6000, KEPT = 1000 };

static struct lmn_team team = {.name = "t"};
static struct lmn_settings cfg = {.node_name = "n0",
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
static uint64_t rev;
static struct timespec now = {1000, 0};

static void apply(struct lmn_core *core, const char *key, GByteArray *value)
{
    struct lmn_cbor_document d;
    assert_int_equal(lmn_cbor_parse(&d, value->data, value->len), 0);
    lmn_watch_cache_apply(core, key, &d, lmn_cbor_root(&d), ++rev, now);
    lmn_cbor_free(&d);
    g_byte_array_unref(value);
}

static void job(struct lmn_core *core, int n, enum lmn_job_phase phase)
{
    struct lmn_job_spec s = {.class_name = (char *)"c",
                             .team = (char *)"t",
                             .image = (char *)"i",
                             .tasks = 2,
                             .cpus = 1,
                             .deadline_s = -1};
    char key[64];

    g_snprintf(s.id, sizeof s.id, "run-%06d", n);
    g_snprintf(key, sizeof key, "j/%s", s.id);
    apply(core, key, lmn_job_record(&s, phase, phase == LMN_JOB_ACTIVE, 1));
}

static void range(struct lmn_core *core, int n)
{
    const struct lmn_range r = {.first = 0, .end = 2};
    uint8_t none = 0;
    char key[64];

    g_snprintf(key, sizeof key, "r/0/run-%06d/0", n);
    apply(core, key, lmn_range_record(&r, &none));
}

static bool known(const struct lmn_core *core, int n)
{
    char ref[LMN_JOB_ID_SIZE];
    g_snprintf(ref, sizeof ref, "run-%06d", n);
    return g_hash_table_contains(core->cache.jobs, ref);
}

static struct lmn_core *core(void)
{
    struct lmn_core *core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
    core->cache.max_retained_jobs = KEPT;
    rev = 0;
    return core;
}

static void final_jobs_are_let_go(void **state)
{
    struct lmn_core *c = core();
    (void)state;

    for (int n = 0; n < JOBS; n++) {
        job(c, n, LMN_JOB_ACTIVE);
        if (n % 100 == 7)
            range(c, n); /* withdrawn with a range that its owner has yet to remove */
        if (n % 100 != 3)
            job(c, n, n % 2 ? LMN_JOB_CANCELLED : LMN_JOB_DONE);
    }
    struct lmn_machine *machine = lmn_machine_new(&c->partitions[0], "host-000000");
    struct lmn_attempt a = {.job = g_hash_table_lookup(c->cache.jobs, "run-000001")};
    g_array_append_val(machine->attempts, a);
    /* Nobody goes who was final only just now: whatever still runs of it counts for its
     * team. */
    assert_int_equal(lmn_retention_evict(c, now), 0);
    now.tv_sec += 700;
    assert_true(lmn_retention_evict(c, now) > JOBS - 2 * KEPT - 200);
    assert_true(c->cache.final_jobs.length <= KEPT + 200);
    assert_false(known(c, 0));
    assert_true(known(c, 1));   /* an attempt points at it */
    assert_true(known(c, 3));   /* it is active */
    assert_true(known(c, 107)); /* it has a range */
    assert_true(known(c, JOBS - 1));
    /* What goes on in the mirror goes on. */
    job(c, 3, LMN_JOB_DONE);
    assert_int_equal(
        ((struct lmn_job *)g_hash_table_lookup(c->cache.jobs, "run-000003"))->phase,
        LMN_JOB_DONE);
}

static void while_all_is_read_only_the_needed_are_taken(void **state)
{
    struct lmn_core *c = core();
    (void)state;

    c->cache.is_listing = true;
    for (int n = 0; n < JOBS && !c->cache.too_many_final_jobs; n++)
        job(c, n, LMN_JOB_CANCELLED);
    assert_true(
        c->cache
            .too_many_final_jobs); /* the ranges are listed first, and it begins anew */
    assert_int_equal(c->cache.final_jobs.length, KEPT);
    c->cache.too_many_final_jobs = false;
    c->cache.needed_job_ids = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(c->cache.needed_job_ids, (gpointer) "run-005000");
    for (int n = 0; n < JOBS; n++)
        job(c, n, n == 5500 ? LMN_JOB_ACTIVE : LMN_JOB_CANCELLED);
    assert_true(known(c, 5000));
    assert_true(known(c, 5500));
    assert_false(known(c, 5501));
    assert_int_equal(g_hash_table_size(c->cache.jobs), KEPT + 2);
    range(c, 5000);
    assert_false(c->cache.must_relist);
    range(c, 5501); /* it became final between the two listings: all is read once more */
    assert_true(c->cache.must_relist);
    g_hash_table_destroy(c->cache.needed_job_ids);
    c->cache.needed_job_ids = NULL;
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(final_jobs_are_let_go),
        cmocka_unit_test(while_all_is_read_only_the_needed_are_taken),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
