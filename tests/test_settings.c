/* The platform's settings and the operators' own. */
#include "protocol/cbor.h"
#include "config/settings.h"
#include "config/operator_settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

static const char good[] =
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

static void reads(void **state)
{
    struct lmn_settings s;
    char err[256];
    (void)state;

    assert_int_equal(lmn_settings_parse(good, "f", &s, err, sizeof err), 0);
    assert_string_equal(s.node_name, "n1");
    assert_int_equal(s.member_count, 2);
    assert_int_equal(s.team_count, 1);
    assert_int_equal(s.objective_count,
                     1); /* a kind that it does not know is passed over */
    assert_true(s.teams[0].cpus_max == 0);
    assert_int_equal(lmn_settings_member_index(&s, "n0"), 0);
    assert_int_equal(lmn_settings_member_index(&s, "n1"), 1);
    assert_int_equal(lmn_settings_member_index(&s, "n2"), 2);
    assert_int_equal(s.partition_count, 3);
    /* As many partitions as there can be controllers. */
    char *most = g_strdup(strstr(good, "initial_size")), *text;
    text = g_strdup_printf("%.*sinitial_size = %d%s",
                           (int)(strstr(good, "initial_size") - good), good,
                           LMN_MAX_PARTITIONS, strchr(most, '\n'));
    struct lmn_settings large;
    assert_int_equal(lmn_settings_parse(text, "f", &large, err, sizeof err), 0);
    assert_int_equal(large.partition_count, LMN_MAX_PARTITIONS);
    lmn_settings_free(&large);
    g_free(most);
    g_free(text);
    assert_non_null(lmn_settings_team(&s, "t"));
    assert_null(lmn_settings_team(&s, "u"));
    lmn_settings_free(&s);
}

static int parse_with_teams(unsigned n, struct lmn_settings *settings, char *err,
                            size_t len)
{
    const char *rest = strstr(good, "[[params.objectives]]");
    GString *text = g_string_new_len(good, rest - good);

    for (unsigned i = 1; i < n; i++)
        g_string_append_printf(text, "[[params.teams]]\nname = 'team%u'\ncpus_max = %u\n",
                               i, i);
    g_string_append(text, rest);
    int rc = lmn_settings_parse(text->str, "f", settings, err, len);
    g_string_free(text, TRUE);
    return rc;
}

/* Teams are as many as a site has; the bound only refuses what can't be meant. */
static void takes_many_teams(void **state)
{
    static const unsigned taken[] = {65, 110, 700, LMN_MAX_TEAMS};
    struct lmn_settings s;
    char err[256];
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(taken); i++) {
        if (parse_with_teams(taken[i], &s, err, sizeof err) != 0)
            fail_msg("%u teams: %s", taken[i], err);
        assert_int_equal(s.team_count, taken[i]);
        assert_string_equal(s.teams[0].name, "t");
        assert_true(s.teams[taken[i] - 1].cpus_max == taken[i] - 1);
        assert_ptr_equal(lmn_settings_team(&s, "team64"), &s.teams[64]);
        lmn_settings_free(&s);
    }
    assert_int_equal(parse_with_teams(LMN_MAX_TEAMS + 1, &s, err, sizeof err), -1);
    assert_string_equal(err, "f: params.teams: more than 4096");
    assert_null(s.teams);
}

/* Each alteration is refused, and the message names the file and the field. */
static void refuses(void **state)
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
        struct lmn_settings s;
        char err[256] = "";
        char **parts = g_strsplit(good, cases[i].from, 2);
        char *text = g_strjoinv(cases[i].to, parts);
        assert_non_null(parts[1]);
        if (lmn_settings_parse(text, "the-file", &s, err, sizeof err) != -1)
            fail_msg("accepted: %s", cases[i].to);
        if (!strstr(err, "the-file: ") || !strstr(err, cases[i].field))
            fail_msg("\"%s\" does not name %s", err, cases[i].field);
        g_free(text);
        g_strfreev(parts);
    }
}

/* Any bytes: refused or read, never a crash. */
static void hostile(void **state)
{
    GRand *r = g_rand_new_with_seed(6);
    struct lmn_settings s;
    char text[sizeof good], err[256];
    (void)state;

    for (int i = 0; i < 2000; i++) {
        memcpy(text, good, sizeof good);
        for (int k = g_rand_int_range(r, 1, 6); k--;)
            text[g_rand_int_range(r, 0, sizeof good - 1)] =
                (char)g_rand_int_range(r, 1, 256);
        if (lmn_settings_parse(text, "f", &s, err, sizeof err) == 0)
            lmn_settings_free(&s);
    }
    g_rand_free(r);
}

static void operators_settings(void **state)
{
    struct lmn_operator_settings t = lmn_operator_settings_default, u;
    struct lmn_cbor_document d;
    char err[128];
    (void)state;

    assert_int_equal(lmn_operator_settings_set(&t, "share", 0.25, err, sizeof err), 0);
    assert_int_equal(lmn_operator_settings_set(&t, "share", 0, err, sizeof err), -1);
    assert_int_equal(
        lmn_operator_settings_set(&t, "share", __builtin_nan(""), err, sizeof err), -1);
    assert_int_equal(lmn_operator_settings_set(&t, "nothing", 1, err, sizeof err), -1);
    for (size_t i = 0; lmn_operator_settings_name(i); i++)
        assert_int_equal(lmn_operator_settings_set(&t, lmn_operator_settings_name(i),
                                                   lmn_operator_settings_value(&t, i),
                                                   err, sizeof err),
                         0);
    GByteArray *b = lmn_operator_settings_record(&t);
    assert_int_equal(lmn_cbor_parse(&d, b->data, b->len), 0);
    lmn_operator_settings_read(&u, &d, lmn_cbor_root(&d));
    assert_memory_equal(&t, &u, sizeof t);
    /* A record that was removed means the defaults. */
    lmn_operator_settings_read(&u, &d, NULL);
    assert_memory_equal(&u, &lmn_operator_settings_default, sizeof u);
    lmn_cbor_free(&d);
    g_byte_array_unref(b);
}

/* Too little between lease_s and cancel_s is said with field and values; the limit that
 * follows is kept whatever it is. */
static void tight_leases_are_said(void **state)
{
    struct lmn_settings s = {.lease_s = 10, .cancel_s = 35};
    char text[512];
    (void)state;

    assert_false(lmn_settings_warning(&s, text, sizeof text));
    assert_true(lmn_settings_max_cache_age_s(&s) > 23);
    s.cancel_s = 12;
    assert_true(lmn_settings_warning(&s, text, sizeof text));
    assert_non_null(strstr(text, "cancel_s = 12, lease_s = 10"));
    assert_null(strstr(text, "ever answered"));
    s.cancel_s = 10.5;
    assert_true(lmn_settings_warning(&s, text, sizeof text));
    assert_non_null(strstr(text, "no worker is ever answered"));
    assert_true(lmn_settings_max_cache_age_s(&s) < 0);
    /* What it advises is enough. */
    s.cancel_s = strtod(strstr(text, "cancel_s to ") + 12, NULL) + 0.01;
    assert_false(lmn_settings_warning(&s, text, sizeof text));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(reads),
        cmocka_unit_test(takes_many_teams),
        cmocka_unit_test(refuses),
        cmocka_unit_test(hostile),
        cmocka_unit_test(operators_settings),
        cmocka_unit_test(tight_leases_are_said),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
