/* Routing between sites: what every choice must keep, over generated queues. */
#include "gateway/route.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

enum { MOST = 40 };

static void choices_keep_their_bounds(void **state)
{
    GRand *r = g_rand_new_with_seed(23);
    unsigned chosen = 0, late_first = 0;
    (void)state;

    for (int round = 0; round < 20000; round++) {
        struct lmn_route_job j[MOST] = {{0}};
        unsigned picks[MOST] = {0}, n = (unsigned)g_rand_int_range(r, 0, MOST), most;
        struct lmn_route_for_origin home = {
            1 + 50 * g_rand_double(r), 100 * g_rand_double(r),
            500 * (g_rand_double(r) - 0.3), g_rand_double(r)};
        double room = 40 * g_rand_double(r), all = 0, gone = 0, largest = 0;
        for (unsigned i = 0; i < n; i++) {
            j[i] = (struct lmn_route_job){
                .cpus = 1 + 5 * g_rand_double(r),
                .run_s = 1 + 30 * g_rand_double(r),
                .slack_s = g_rand_boolean(r) ? INFINITY : 20 * g_rand_double(r),
                .fetch_s = 5 * g_rand_double(r)};
            j[i].work_s = j[i].cpus * j[i].run_s;
            all += j[i].cpus;
            largest = MAX(largest, j[i].cpus);
        }
        most = (unsigned)g_rand_int_range(r, 0, MOST);
        unsigned k = lmn_route_choose(j, n, &home, room, most, picks);
        assert_true(k <= most && k <= n);
        bool seen[MOST] = {false}, plain = false;
        for (unsigned i = 0; i < k; i++) {
            double ahead = home.handed_cpus * j[picks[i]].run_s / 2;
            assert_true(picks[i] < n && !seen[picks[i]]);
            seen[picks[i]] = true;
            gone += j[picks[i]].cpus;
            for (unsigned x = 0; x < picks[i]; x++)
                ahead += j[x].work_s;
            /* Nothing that would start sooner at home. */
            assert_true(j[picks[i]].fetch_s < ahead / home.cpus + 1e-9);
            bool late = ahead / home.cpus > j[picks[i]].slack_s &&
                        j[picks[i]].fetch_s <= j[picks[i]].slack_s;
            assert_false(late && plain); /* what can only there be in time goes first */
            plain = plain || !late;
            late_first += late;
        }
        /* Room and share are passed by less than one job. */
        assert_true(gone < room + largest + 1e-9 &&
                    gone < home.share * all + largest + 1e-9);
        /* What the own controllers will get next stays. */
        double kept = 0;
        for (unsigned i = 0; i < n && kept < home.spare_s; i++) {
            assert_false(seen[i]);
            kept += j[i].work_s;
        }
        chosen += k;
    }
    assert_true(chosen > 10000 && late_first > 500);
    g_rand_free(r);
}

static void pulls_double_and_go_to_the_busiest(void **state)
{
    struct lmn_route_peer p[9] = {{true, 0}};
    GRand *r = g_rand_new_with_seed(29);
    unsigned hits[9] = {0};
    double s = 0;
    (void)state;

    assert_int_equal(lmn_route_pick(r, p, 9), -1);
    for (int i = 0; i < 9; i++)
        p[i] = (struct lmn_route_peer){i != 8, i};
    for (int i = 0; i < 3000; i++) {
        int k = lmn_route_pick(r, p, 9);
        assert_true(k == -1 || (k > 0 && k < 8)); /* neither empty nor down */
        if (k >= 0)
            hits[k]++;
    }
    for (int i = 1; i < 7; i++)
        assert_true(
            hits[i] <
            hits[i + 1]); /* a sample, the busiest of it: the busier the more often */
    for (int i = 0; i < 20; i++) {
        double next = lmn_route_interval(s, false);
        assert_true(next > s || next == s);
        s = next;
    }
    assert_true(s <= 5 && lmn_route_interval(s, true) == 0);
    assert_true(lmn_route_for_idle_site(10, 5, 0, 0.7));
    assert_false(lmn_route_for_idle_site(10, 8, 0, 0.7));
    assert_false(lmn_route_for_idle_site(10, 0, 1, 0.7));
    g_rand_free(r);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(choices_keep_their_bounds),
        cmocka_unit_test(pulls_double_and_go_to_the_busiest),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
