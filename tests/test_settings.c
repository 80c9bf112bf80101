/* The settings that the platform hands to a controller at its start, and the settings
 * that operators change at run time. */
#include "protocol/cbor.h"
#include "config/settings.h"
#include "config/operator_settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

static const char valid_file[] =
    "host_name = 'n1'\narea = 'a'\nclient_listen = '10.0.0.1:8080'\n"
    "internal_addr = '10.0.0.1:8081'\nnew_field = 3\n"
    "[[members]]\nhost_name = 'n0'\narea = 'a'\naddress = '10.0.0.2:8081'\n"
    "[[members]]\nhost_name = 'n2'\naddress = '10.0.0.3:8081'\n"
    "[outside]\ncloud = '10.2.0.2:1'\nstate = '10.2.0.1:2'\nmore = []\n"
    "[params]\ninitial_size = 3\n"
    "[[params.teams]]\nname = 't'\ncpus = 8.0\ncpus_max = 0\n"
    "[[params.objectives]]\nkind = 'wait'\nclass = 'c'\nwithin_s = 5\n"
    "[[params.objectives]]\nkind = 'of-tomorrow'\n"
    "[params.workers]\nlease_s = 10.0\ncancel_s = 35\n";

static void valid_file_is_read(void **state)
{
    struct lmn_settings settings;
    char err[256];
    (void)state;

    assert_int_equal(lmn_settings_parse(valid_file, "f", &settings, err, sizeof err), 0);
    assert_string_equal(settings.node_name, "n1");
    assert_int_equal(settings.member_count, 2);
    assert_int_equal(settings.team_count, 1);
    assert_int_equal(settings.objective_count,
                     1); /* the objective of an unknown kind is ignored */
    assert_true(settings.teams[0].cpus_max == 0);
    assert_int_equal(lmn_settings_member_index(&settings, "n0"), 0);
    assert_int_equal(lmn_settings_member_index(&settings, "n1"), 1);
    assert_int_equal(lmn_settings_member_index(&settings, "n2"), 2);
    assert_int_equal(settings.partition_count, 3);
    /* LMN_MAX_PARTITIONS, the most controllers of a group, is accepted. */
    char *rest = g_strdup(strstr(valid_file, "initial_size")), *text;
    text = g_strdup_printf("%.*sinitial_size = %d%s",
                           (int)(strstr(valid_file, "initial_size") - valid_file),
                           valid_file, LMN_MAX_PARTITIONS, strchr(rest, '\n'));
    struct lmn_settings large;
    assert_int_equal(lmn_settings_parse(text, "f", &large, err, sizeof err), 0);
    assert_int_equal(large.partition_count, LMN_MAX_PARTITIONS);
    lmn_settings_free(&large);
    g_free(rest);
    g_free(text);
    assert_non_null(lmn_settings_find_team(&settings, "t"));
    assert_null(lmn_settings_find_team(&settings, "u"));
    lmn_settings_free(&settings);
}

static int parse_with_teams(unsigned team_count, struct lmn_settings *settings, char *err,
                            size_t len)
{
    const char *rest = strstr(valid_file, "[[params.objectives]]");
    GString *text = g_string_new_len(valid_file, rest - valid_file);

    for (unsigned i = 1; i < team_count; i++)
        g_string_append_printf(text, "[[params.teams]]\nname = 'team%u'\ncpus_max = %u\n",
                               i, i);
    g_string_append(text, rest);
    int rc = lmn_settings_parse(text->str, "f", settings, err, len);
    g_string_free(text, TRUE);
    return rc;
}

/* Any number of teams up to LMN_MAX_TEAMS is accepted; one more is refused, and leaves
 * nothing allocated. */
static void up_to_4096_teams_are_accepted(void **state)
{
    static const unsigned team_counts[] = {65, 110, 700, LMN_MAX_TEAMS};
    struct lmn_settings settings;
    char err[256];
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(team_counts); i++) {
        if (parse_with_teams(team_counts[i], &settings, err, sizeof err) != 0)
            fail_msg("%u teams refused: %s", team_counts[i], err);
        assert_int_equal(settings.team_count, team_counts[i]);
        assert_string_equal(settings.teams[0].name, "t");
        assert_true(settings.teams[team_counts[i] - 1].cpus_max == team_counts[i] - 1);
        assert_ptr_equal(lmn_settings_find_team(&settings, "team64"),
                         &settings.teams[64]);
        lmn_settings_free(&settings);
    }
    assert_int_equal(parse_with_teams(LMN_MAX_TEAMS + 1, &settings, err, sizeof err), -1);
    assert_string_equal(err, "f: params.teams: more than 4096");
    assert_null(settings.teams);
}

/* Each change of the valid file makes it invalid; the error names the file and the
 * field. */
static void invalid_files_are_refused_naming_file_and_field(void **state)
{
    static const struct {
        const char *from, *to, *field;
    } cases[] = {
        {"host_name = 'n1'\n", "", "host_name: missing"},
        {"10.0.0.1:8080", "10.0.0.1", "client_listen"},
        {"10.0.0.1:8081", "localhost:8081", "internal_addr"},
        {"10.0.0.2:8081", "10.0.0.2:99999", "members[0].address"},
        {"host_name = 'n0'", "host_name = 'n1'", "members[0].host_name"},
        {"host_name = 'n2'", "host_name = 'n0'", "members[1].host_name"},
        {"state = '10.2.0.1:2'", "", "outside.state"},
        {"initial_size = 3", "initial_size = 0", "params.initial_size"},
        {"initial_size = 3", "initial_size = 2.5", "params.initial_size"},
        {"cpus_max = 0", "cpus_max = 4", "params.teams[0].cpus"},
        {"cpus_max = 0", "cpus_max = nan", "params.teams[0].cpus_max"},
        {"cpus = 8.0", "cpus = 'many'", "params.teams[0].cpus"},
        {"lease_s = 10.0", "lease_s = 0.1", "params.workers.lease_s"},
        {"cancel_s = 35", "cancel_s = 9", "params.workers.cancel_s"},
        {"[params]", "[params", "line"},
    };
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct lmn_settings settings;
        char err[256] = "";
        char **parts = g_strsplit(valid_file, cases[i].from, 2);
        char *text = g_strjoinv(cases[i].to, parts);
        assert_non_null(parts[1]);
        if (lmn_settings_parse(text, "the-file", &settings, err, sizeof err) != -1)
            fail_msg("accepted after replacing \"%s\" by \"%s\"", cases[i].from,
                     cases[i].to);
        if (!strstr(err, "the-file: ") || !strstr(err, cases[i].field))
            fail_msg("error \"%s\" does not name the file and %s", err, cases[i].field);
        g_free(text);
        g_strfreev(parts);
    }
}

/* A file with one to five altered bytes is refused or accepted; the parser never
 * crashes. */
static void corrupted_file_never_crashes_the_parser(void **state)
{
    GRand *generator = g_rand_new_with_seed(6);
    struct lmn_settings settings;
    char text[sizeof valid_file], err[256];
    (void)state;

    for (int i = 0; i < 2000; i++) {
        memcpy(text, valid_file, sizeof valid_file);
        for (int changes = g_rand_int_range(generator, 1, 6); changes--;)
            text[g_rand_int_range(generator, 0, sizeof valid_file - 1)] =
                (char)g_rand_int_range(generator, 1, 256);
        if (lmn_settings_parse(text, "f", &settings, err, sizeof err) == 0)
            lmn_settings_free(&settings);
    }
    g_rand_free(generator);
}

static void operator_settings_check_ranges_and_survive_a_round_trip(void **state)
{
    struct lmn_operator_settings written = lmn_operator_settings_default, restored;
    struct lmn_cbor_document document;
    char err[128];
    (void)state;

    assert_int_equal(lmn_operator_settings_set(&written, "share", 0.25, err, sizeof err),
                     0);
    assert_int_equal(lmn_operator_settings_set(&written, "share", 0, err, sizeof err),
                     -1);
    assert_int_equal(
        lmn_operator_settings_set(&written, "share", __builtin_nan(""), err, sizeof err),
        -1);
    assert_int_equal(lmn_operator_settings_set(&written, "nothing", 1, err, sizeof err),
                     -1);
    for (size_t i = 0; lmn_operator_settings_name(i); i++)
        assert_int_equal(lmn_operator_settings_set(
                             &written, lmn_operator_settings_name(i),
                             lmn_operator_settings_value(&written, i), err, sizeof err),
                         0);
    GByteArray *record = lmn_operator_settings_record(&written);
    assert_int_equal(lmn_cbor_parse(&document, record->data, record->len), 0);
    lmn_operator_settings_read(&restored, &document, lmn_cbor_root(&document));
    assert_memory_equal(&written, &restored, sizeof written);
    /* Without a record, all settings have their defaults. */
    lmn_operator_settings_read(&restored, &document, NULL);
    assert_memory_equal(&restored, &lmn_operator_settings_default, sizeof read);
    lmn_cbor_free(&document);
    g_byte_array_unref(record);
}

/* If cancel_s - lease_s leaves too little for the age of a controller's view, the
 * warning names both settings with their values. The age limit is computed all the same,
 * and is negative if no view is fresh enough. */
static void cancel_s_close_to_lease_s_is_warned_of(void **state)
{
    struct lmn_settings settings = {.lease_s = 10, .cancel_s = 35};
    char text[512];
    (void)state;

    assert_false(lmn_settings_warning(&settings, text, sizeof text));
    assert_true(lmn_settings_max_cache_age_s(&settings) > 23);
    settings.cancel_s = 12;
    assert_true(lmn_settings_warning(&settings, text, sizeof text));
    assert_non_null(strstr(text, "cancel_s = 12, lease_s = 10"));
    assert_null(strstr(text, "ever answered"));
    settings.cancel_s = 10.5;
    assert_true(lmn_settings_warning(&settings, text, sizeof text));
    assert_non_null(strstr(text, "no worker is ever answered"));
    assert_true(lmn_settings_max_cache_age_s(&settings) < 0);
    /* Just above the cancel_s that the warning recommends there is no warning. */
    settings.cancel_s = strtod(strstr(text, "cancel_s to ") + 12, NULL) + 0.01;
    assert_false(lmn_settings_warning(&settings, text, sizeof text));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(valid_file_is_read),
        cmocka_unit_test(up_to_4096_teams_are_accepted),
        cmocka_unit_test(invalid_files_are_refused_naming_file_and_field),
        cmocka_unit_test(corrupted_file_never_crashes_the_parser),
        cmocka_unit_test(operator_settings_check_ranges_and_survive_a_round_trip),
        cmocka_unit_test(cancel_s_close_to_lease_s_is_warned_of),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
