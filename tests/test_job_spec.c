/* Jobs' descriptions, done sets, and what can never run. */
#include "protocol/cbor.h"
#include "job/job_spec.h"
#include "config/settings.h"
#include "protocol/wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

static void random_spec(GRand *r, struct lmn_job_spec *spec)
{
    memset(spec, 0, sizeof *spec);
    g_snprintf(spec->id, sizeof spec->id, "run-%06d", g_rand_int_range(r, 0, 1000000));
    spec->class_name = g_strdup("c");
    spec->team = g_strdup("t");
    spec->image = g_strdup_printf("img-%d", g_rand_int_range(r, 0, 9));
    spec->zone = g_rand_boolean(r) ? g_strdup("a") : NULL;
    spec->machine_types = g_rand_boolean(r) ? g_strsplit("x,y", ",", -1) : NULL;
    spec->kind = g_rand_boolean(r) ? LMN_JOB_BATCH : LMN_JOB_SERVICE;
    spec->priority = (enum lmn_priority)g_rand_int_range(r, 0, 4);
    spec->tasks = (uint32_t)g_rand_int_range(r, 1, LMN_MAX_TASKS + 1);
    spec->cpus = g_rand_int_range(r, 0, 64) / 2.0;
    spec->memory_gb = g_rand_double_range(r, 0, 100);
    spec->deadline_s = g_rand_boolean(r) ? g_rand_double_range(r, 0, 1000) : -1;
    spec->may_use_spot = g_rand_boolean(r);
}

static GByteArray *encode(const struct lmn_job_spec *spec)
{
    GByteArray *b = g_byte_array_new();
    lmn_cbor_put_map(b, lmn_job_spec_pair_count());
    lmn_job_spec_write(b, spec);
    return b;
}

static void round_trip(void **state)
{
    GRand *r = g_rand_new_with_seed(3);
    (void)state;

    for (int i = 0; i < 500; i++) {
        struct lmn_job_spec a, b;
        struct lmn_cbor_document d;
        const char *what;
        random_spec(r, &a);
        GByteArray *x = encode(&a);
        assert_int_equal(lmn_cbor_parse(&d, x->data, x->len), 0);
        assert_int_equal(lmn_job_spec_parse(&b, &d, lmn_cbor_root(&d), &what), 0);
        GByteArray *y = encode(&b);
        assert_int_equal(x->len, y->len);
        assert_memory_equal(x->data, y->data, x->len);
        g_byte_array_unref(x);
        g_byte_array_unref(y);
        lmn_job_spec_clear(&a);
        lmn_job_spec_clear(&b);
        lmn_cbor_free(&d);
    }
    g_rand_free(r);
}

/* Writes the description once more with one field left out, or replaced. */
static int parse_with(const struct lmn_job_spec *spec, const char *field,
                      const GByteArray *instead)
{
    GByteArray *x = encode(spec), *y = g_byte_array_new();
    struct lmn_cbor_document d, e;
    struct lmn_job_spec t;
    const char *what;

    assert_int_equal(lmn_cbor_parse(&d, x->data, x->len), 0);
    lmn_cbor_put_map(y, lmn_job_spec_pair_count() - (instead ? 0 : 1));
    for (const struct lmn_cbor_value *key = lmn_cbor_first_child(&d, lmn_cbor_root(&d));
         key;) {
        const struct lmn_cbor_value *value = lmn_cbor_next(&d, key);
        if (!lmn_cbor_text_equals(key, field)) {
            lmn_cbor_put_value(y, &d, key);
            lmn_cbor_put_value(y, &d, value);
        } else if (instead) {
            lmn_cbor_put_value(y, &d, key);
            g_byte_array_append(y, instead->data, instead->len);
        }
        key = lmn_cbor_next(&d, value);
    }
    assert_int_equal(lmn_cbor_parse(&e, y->data, y->len), 0);
    int rc = lmn_job_spec_parse(&t, &e, lmn_cbor_root(&e), &what);
    if (rc)
        assert_string_equal(what, field);
    lmn_job_spec_clear(&t);
    lmn_cbor_free(&d);
    lmn_cbor_free(&e);
    g_byte_array_unref(x);
    g_byte_array_unref(y);
    return rc;
}

static void each_field_is_checked(void **state)
{
    static const char *const required[] = {WIRE_JOB_ID,
                                           WIRE_CLASS,
                                           WIRE_TEAM,
                                           WIRE_JOB_KIND,
                                           WIRE_PRIORITY,
                                           WIRE_TASKS,
                                           WIRE_CPUS,
                                           WIRE_GPUS,
                                           WIRE_MEMORY_GB,
                                           WIRE_IMAGE,
                                           WIRE_IMAGE_GB,
                                           WIRE_ZONE_AFFINITY,
                                           WIRE_ZONE_ANTI_AFFINITY,
                                           WIRE_SPOT,
                                           WIRE_ESTIMATE_S,
                                           WIRE_CHECKPOINT_S,
                                           WIRE_SAVE_S};
    static const char *const optional[] = {WIRE_MACHINE_TYPES, WIRE_ZONE,
                                           WIRE_DEADLINE_S};
    GRand *r = g_rand_new_with_seed(4);
    struct lmn_job_spec s;
    GByteArray *list = g_byte_array_new(), *nan = g_byte_array_new(),
               *minus = g_byte_array_new(), *null = g_byte_array_new();
    (void)state;

    random_spec(r, &s);
    lmn_cbor_put_array(list, 0);
    lmn_cbor_put_number(nan, NAN);
    lmn_cbor_put_number(minus, -1);
    lmn_cbor_put_null(null);
    for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
        assert_int_equal(parse_with(&s, required[i], NULL), -1);
        assert_int_equal(parse_with(&s, required[i], list), -1);
        assert_int_equal(parse_with(&s, required[i], nan), -1);
        assert_int_equal(parse_with(&s, required[i], minus), -1);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(optional); i++) {
        assert_int_equal(parse_with(&s, optional[i], NULL), 0);
        assert_int_equal(parse_with(&s, optional[i], null), 0);
        assert_int_equal(parse_with(&s, optional[i], minus), -1);
    }
    GByteArray *unknown[] = {list, nan, minus, null};
    for (size_t i = 0; i < G_N_ELEMENTS(unknown); i++)
        g_byte_array_unref(unknown[i]);
    lmn_job_spec_clear(&s);
    g_rand_free(r);
}

static void forms_of_ids(void **state)
{
    (void)state;
    assert_true(lmn_job_id_is_valid("run-000412"));
    static const char *const bad[] = {"",
                                      "run-",
                                      "run",
                                      "run-00041x",
                                      "Run-000412",
                                      "run-000412/0",
                                      "job-000412",
                                      "run--00412",
                                      " run-000412",
                                      "run-000000000000000000000000000000412"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        assert_false(lmn_job_id_is_valid(bad[i]));
}

/* Done sets against a naive model: any set comes back as it was, and a text that names a
 * task that there is not is refused. */
static void done_sets(void **state)
{
    GRand *r = g_rand_new_with_seed(5);
    (void)state;

    for (int i = 0; i < 800; i++) {
        uint32_t n = (uint32_t)g_rand_int_range(r, 1, 300), count = 0;
        uint8_t bits[40] = {0}, again[40];
        bool model[300] = {false};
        double p = g_rand_double(r);
        struct lmn_cbor_document d;
        for (uint32_t k = 0; k < n; k++)
            if ((model[k] = g_rand_double(r) < p)) {
                lmn_bitset_set(bits, k);
                count++;
            }
        GByteArray *b = g_byte_array_new();
        lmn_bitset_write(b, bits, n);
        assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
        assert_int_equal(lmn_bitset_read(lmn_cbor_root(&d), again, n), 0);
        assert_int_equal(lmn_bitset_count(again, n), count);
        for (uint32_t k = 0; k < n; k++)
            assert_int_equal(lmn_bitset_get(again, k), model[k]);
        if (model[n - 1] && n > 1) {
            assert_int_equal(lmn_bitset_read(lmn_cbor_root(&d), again, n - 1), -1);
        }
        lmn_cbor_free(&d);
        g_byte_array_unref(b);
    }
    g_rand_free(r);
}

/* 0 in a team's limit means that there is none. */
static void what_can_never_run(void **state)
{
    struct lmn_team teams[2] = {0};
    struct lmn_settings cfg = {.teams = teams, .team_count = 2};
    struct lmn_machine_type t = {
        .name = "x", .cpus = 8, .memory_gb = 16, .zones = {"a"}, .zone_count = 1};
    struct lmn_machine_types types = {&t, 1};
    const char *why;
    struct lmn_job_spec s = {
        .team = (char *)"free", .tasks = 10, .cpus = 4, .memory_gb = 4};
    (void)state;

    g_strlcpy(cfg.teams[0].name, "free", LMN_NAME_SIZE);
    g_strlcpy(cfg.teams[1].name, "held", LMN_NAME_SIZE);
    cfg.teams[1].cpus_max = 20;
    assert_true(lmn_job_spec_is_feasible(&s, &cfg, &types, &why));
    s.team = (char *)"held";
    assert_true(lmn_job_spec_is_feasible(&s, &cfg, &types, &why));
    s.kind = LMN_JOB_SERVICE; /* all replicas count */
    assert_false(lmn_job_spec_is_feasible(&s, &cfg, &types, &why));
    s.tasks = 5;
    assert_true(lmn_job_spec_is_feasible(&s, &cfg, &types, &why));
    s.memory_gb = 17;
    assert_false(lmn_job_spec_is_feasible(&s, &cfg, &types, &why));
    s.memory_gb = 4;
    s.zone = (char *)"b";
    assert_false(lmn_job_spec_is_feasible(&s, &cfg, &types, &why));
    s.zone = NULL;
    s.team = (char *)"nobody";
    assert_false(lmn_job_spec_is_feasible(&s, &cfg, &types, &why));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(round_trip),         cmocka_unit_test(each_field_is_checked),
        cmocka_unit_test(forms_of_ids),       cmocka_unit_test(done_sets),
        cmocka_unit_test(what_can_never_run),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
