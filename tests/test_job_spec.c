/* Job descriptions, sets of done tasks, and feasibility of jobs. */
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

static void random_spec(GRand *random, struct lmn_job_spec *spec)
{
    memset(spec, 0, sizeof *spec);
    g_snprintf(spec->id, sizeof spec->id, "run-%06d",
               g_rand_int_range(random, 0, 1000000));
    spec->class_name = g_strdup("c");
    spec->team = g_strdup("t");
    spec->image = g_strdup_printf("img-%d", g_rand_int_range(random, 0, 9));
    spec->zone = g_rand_boolean(random) ? g_strdup("a") : NULL;
    spec->machine_types = g_rand_boolean(random) ? g_strsplit("x,y", ",", -1) : NULL;
    spec->kind = g_rand_boolean(random) ? LMN_JOB_BATCH : LMN_JOB_SERVICE;
    spec->priority = (enum lmn_priority)g_rand_int_range(random, 0, 4);
    spec->tasks = (uint32_t)g_rand_int_range(random, 1, LMN_MAX_TASKS + 1);
    spec->cpus = g_rand_int_range(random, 0, 64) / 2.0;
    spec->memory_gb = g_rand_double_range(random, 0, 100);
    spec->deadline_s = g_rand_boolean(random) ? g_rand_double_range(random, 0, 1000) : -1;
    spec->may_use_spot = g_rand_boolean(random);
}

static GByteArray *encode(const struct lmn_job_spec *spec)
{
    GByteArray *buffer = g_byte_array_new();
    lmn_cbor_put_map(buffer, lmn_job_spec_pair_count());
    lmn_job_spec_write(buffer, spec);
    return buffer;
}

static void a_parsed_description_encodes_to_the_same_bytes(void **state)
{
    GRand *random = g_rand_new_with_seed(3);
    (void)state;

    for (int i = 0; i < 500; i++) {
        struct lmn_job_spec spec, parsed;
        struct lmn_cbor_document document;
        const char *invalid_field;
        random_spec(random, &spec);
        GByteArray *encoded = encode(&spec);
        assert_int_equal(lmn_cbor_parse(&document, encoded->data, encoded->len), 0);
        assert_int_equal(lmn_job_spec_parse(&parsed, &document, lmn_cbor_root(&document),
                                            &invalid_field),
                         0);
        GByteArray *encoded_again = encode(&parsed);
        assert_int_equal(encoded->len, encoded_again->len);
        assert_memory_equal(encoded->data, encoded_again->data, encoded->len);
        g_byte_array_unref(encoded);
        g_byte_array_unref(encoded_again);
        lmn_job_spec_clear(&spec);
        lmn_job_spec_clear(&parsed);
        lmn_cbor_free(&document);
    }
    g_rand_free(random);
}

/* Parses the description's encoding with the value of one field replaced, or with the
 * field left out if `replacement` is NULL. Asserts that an error names this field. */
static int parse_with(const struct lmn_job_spec *spec, const char *field,
                      const GByteArray *replacement)
{
    GByteArray *encoded = encode(spec), *changed = g_byte_array_new();
    struct lmn_cbor_document document, changed_document;
    struct lmn_job_spec parsed;
    const char *invalid_field;

    assert_int_equal(lmn_cbor_parse(&document, encoded->data, encoded->len), 0);
    lmn_cbor_put_map(changed, lmn_job_spec_pair_count() - (replacement ? 0 : 1));
    for (const struct lmn_cbor_value *key =
             lmn_cbor_first_child(&document, lmn_cbor_root(&document));
         key;) {
        const struct lmn_cbor_value *value = lmn_cbor_next(&document, key);
        if (!lmn_cbor_text_equals(key, field)) {
            lmn_cbor_put_value(changed, &document, key);
            lmn_cbor_put_value(changed, &document, value);
        } else if (replacement) {
            lmn_cbor_put_value(changed, &document, key);
            g_byte_array_append(changed, replacement->data, replacement->len);
        }
        key = lmn_cbor_next(&document, value);
    }
    assert_int_equal(lmn_cbor_parse(&changed_document, changed->data, changed->len), 0);
    int result = lmn_job_spec_parse(&parsed, &changed_document,
                                    lmn_cbor_root(&changed_document), &invalid_field);
    if (result)
        assert_string_equal(invalid_field, field);
    lmn_job_spec_clear(&parsed);
    lmn_cbor_free(&document);
    lmn_cbor_free(&changed_document);
    g_byte_array_unref(encoded);
    g_byte_array_unref(changed);
    return result;
}

static void missing_or_invalid_fields_are_rejected(void **state)
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
    GRand *random = g_rand_new_with_seed(4);
    struct lmn_job_spec spec;
    GByteArray *list = g_byte_array_new(), *nan = g_byte_array_new(),
               *negative = g_byte_array_new(), *null = g_byte_array_new();
    (void)state;

    random_spec(random, &spec);
    lmn_cbor_put_array(list, 0);
    lmn_cbor_put_number(nan, NAN);
    lmn_cbor_put_number(negative, -1);
    lmn_cbor_put_null(null);
    for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
        assert_int_equal(parse_with(&spec, required[i], NULL), -1);
        assert_int_equal(parse_with(&spec, required[i], list), -1);
        assert_int_equal(parse_with(&spec, required[i], nan), -1);
        assert_int_equal(parse_with(&spec, required[i], negative), -1);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(optional); i++) {
        assert_int_equal(parse_with(&spec, optional[i], NULL), 0);
        assert_int_equal(parse_with(&spec, optional[i], null), 0);
        assert_int_equal(parse_with(&spec, optional[i], negative), -1);
    }
    GByteArray *unknown[] = {list, nan, negative, null};
    for (size_t i = 0; i < G_N_ELEMENTS(unknown); i++)
        g_byte_array_unref(unknown[i]);
    lmn_job_spec_clear(&spec);
    g_rand_free(random);
}

static void malformed_job_ids_are_rejected(void **state)
{
    (void)state;
    assert_true(lmn_job_id_is_valid("run-000412"));
    static const char *const malformed_ids[] = {"",
                                                "run-",
                                                "run",
                                                "run-00041x",
                                                "Run-000412",
                                                "run-000412/0",
                                                "job-000412",
                                                "run--00412",
                                                " run-000412",
                                                "run-000000000000000000000000000000412"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed_ids); i++)
        assert_false(lmn_job_id_is_valid(malformed_ids[i]));
}

/* Random sets are decoded as they were encoded, and a set that contains a task beyond the
 * expected count is rejected. */
static void decoded_done_sets_equal_the_encoded_ones(void **state)
{
    GRand *random = g_rand_new_with_seed(5);
    (void)state;

    for (int i = 0; i < 800; i++) {
        uint32_t task_count = (uint32_t)g_rand_int_range(random, 1, 300), count = 0;
        uint8_t bits[40] = {0}, decoded[40];
        bool expected[300] = {false};
        double probability = g_rand_double(random);
        struct lmn_cbor_document document;
        for (uint32_t task = 0; task < task_count; task++)
            if ((expected[task] = g_rand_double(random) < probability)) {
                lmn_bitset_set(bits, task);
                count++;
            }
        GByteArray *buffer = g_byte_array_new();
        lmn_bitset_write(buffer, bits, task_count);
        assert_int_equal(lmn_cbor_parse(&document, buffer->data, buffer->len), 0);
        assert_int_equal(lmn_bitset_read(lmn_cbor_root(&document), decoded, task_count),
                         0);
        assert_int_equal(lmn_bitset_count(decoded, task_count), count);
        for (uint32_t task = 0; task < task_count; task++)
            assert_int_equal(lmn_bitset_get(decoded, task), expected[task]);
        if (expected[task_count - 1] && task_count > 1) {
            assert_int_equal(
                lmn_bitset_read(lmn_cbor_root(&document), decoded, task_count - 1), -1);
        }
        lmn_cbor_free(&document);
        g_byte_array_unref(buffer);
    }
    g_rand_free(random);
}

/* A team limit of 0 means no limit. */
static void infeasible_jobs_are_rejected(void **state)
{
    struct lmn_team teams[2] = {0};
    struct lmn_settings settings = {.teams = teams, .team_count = 2};
    struct lmn_machine_type type = {
        .name = "x", .cpus = 8, .memory_gb = 16, .zones = {"a"}, .zone_count = 1};
    struct lmn_machine_types types = {&type, 1};
    const char *reason;
    struct lmn_job_spec spec = {
        .team = (char *)"unlimited", .tasks = 10, .cpus = 4, .memory_gb = 4};
    (void)state;

    g_strlcpy(settings.teams[0].name, "unlimited", LMN_NAME_SIZE);
    g_strlcpy(settings.teams[1].name, "limited", LMN_NAME_SIZE);
    settings.teams[1].cpus_max = 20;
    assert_true(lmn_job_spec_is_feasible(&spec, &settings, &types, &reason));
    spec.team = (char *)"limited";
    assert_true(lmn_job_spec_is_feasible(&spec, &settings, &types, &reason));
    spec.kind = LMN_JOB_SERVICE; /* all replicas have to run at once */
    assert_false(lmn_job_spec_is_feasible(&spec, &settings, &types, &reason));
    spec.tasks = 5;
    assert_true(lmn_job_spec_is_feasible(&spec, &settings, &types, &reason));
    spec.memory_gb = 17;
    assert_false(lmn_job_spec_is_feasible(&spec, &settings, &types, &reason));
    spec.memory_gb = 4;
    spec.zone = (char *)"b";
    assert_false(lmn_job_spec_is_feasible(&spec, &settings, &types, &reason));
    spec.zone = NULL;
    spec.team = (char *)"nobody";
    assert_false(lmn_job_spec_is_feasible(&spec, &settings, &types, &reason));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_parsed_description_encodes_to_the_same_bytes),
        cmocka_unit_test(missing_or_invalid_fields_are_rejected),
        cmocka_unit_test(malformed_job_ids_are_rejected),
        cmocka_unit_test(decoded_done_sets_equal_the_encoded_ones),
        cmocka_unit_test(infeasible_jobs_are_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
