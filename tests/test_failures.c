/* Failures: broken jobs are told from faulty machines. */
#include "util/clock.h"
#include "state/failures.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

enum { MACHINES = 40, JOBS = 60, MOST = 64 };

struct running {
    int job, machine;
    struct timespec started, ends;
};

struct day {
    GRand *rng;
    struct timespec now;
    struct lmn_job_failures jobs[JOBS];
    unsigned times[MACHINES][JOBS]; /* failures since the machine's last success */
    struct timespec last[MACHINES][JOBS], pause[MACHINES];
    bool faulty[MACHINES], left[MACHINES], broken[JOBS];
    unsigned failed[JOBS], before[JOBS]; /* in all, and until the takeover */
    struct running *v;
    guint n;
};

/* Whether the machine would be left, as partition/heartbeat.c decides it. */
static void failed_on(struct day *d, int job, int machine, struct timespec started)
{
    guint where = (guint)machine * 2654435761u;
    double sum = 0;

    lmn_job_record_failure(&d->jobs[job], where, started, d->now);
    d->failed[job]++;
    d->times[machine][job]++;
    d->last[machine][job] = d->now;
    for (int j = 0; j < JOBS; j++)
        if (d->times[machine][j])
            sum += lmn_failure_weight(&d->jobs[j], where, d->times[machine][j],
                                      d->last[machine][j], d->now);
    d->pause[machine] = lmn_time_add(d->now, lmn_machine_quarantine_s(sum));
    d->left[machine] = d->left[machine] || lmn_machine_is_faulty(sum);
}

/* A day on which every job has tasks without end; a broken one's, and those on a faulty
 * machine, end at once. The controller forgets everything at half-time but for what it
 * had left at the machines, if it may. */
static void play(struct day *d, guint32 seed, int faulty, int broken, bool takeover)
{
    memset(d, 0, sizeof *d);
    d->rng = g_rand_new_with_seed(seed);
    d->now = (struct timespec){1000, 0};
    d->v = g_new0(struct running, MACHINES * MOST);
    for (int i = 0; i < faulty; i++)
        d->faulty[g_rand_int_range(d->rng, 0, MACHINES)] = true;
    for (int i = 0; i < broken; i++)
        d->broken[g_rand_int_range(d->rng, 0, JOBS)] = true;
    for (int tick = 0; tick < 2400; tick++) {
        d->now = lmn_time_add(d->now, 0.25);
        if (takeover && tick == 1200) {
            struct lmn_job_failures old[JOBS];
            memcpy(old, d->jobs, sizeof old);
            memset(d->jobs, 0, sizeof d->jobs);
            memset(d->times, 0, sizeof d->times);
            for (int j = 0; j < JOBS; j++)
                for (unsigned k = 0;
                     lmn_job_is_faulty(&old[j]) && k < old[j].machine_count; k++)
                    lmn_job_record_inherited_failure(&d->jobs[j], old[j].machines[k],
                                                     d->now);
            memcpy(d->before, d->failed, sizeof d->before);
        }
        for (guint i = d->n; i-- > 0;) {
            struct running r = d->v[i];
            if (lmn_time_before(d->now, r.ends))
                continue;
            d->v[i] = d->v[--d->n];
            if (d->broken[r.job] || d->faulty[r.machine]) {
                failed_on(d, r.job, r.machine, r.started);
            } else {
                lmn_job_record_success(&d->jobs[r.job]);
                memset(d->times[r.machine], 0, sizeof d->times[r.machine]);
            }
        }
        for (int k = 0; k < 12; k++) {
            int m = g_rand_int_range(d->rng, 0, MACHINES);
            int j = g_rand_int_range(d->rng, 0, MIN(JOBS, 4 + tick / 20));
            guint here = 0;
            for (guint i = 0; i < d->n; i++)
                here += d->v[i].machine == m;
            if (d->left[m] || here >= 8 || lmn_time_before(d->now, d->pause[m]) ||
                lmn_time_before(d->now, d->jobs[j].backoff_until))
                continue;
            if (lmn_job_is_faulty(&d->jobs[j]))
                lmn_job_record_retry(&d->jobs[j], d->now);
            bool bad = d->broken[j] || d->faulty[m];
            double run = bad ? 0.5 : g_rand_double_range(d->rng, 5, 30);
            d->v[d->n++] = (struct running){j, m, d->now, lmn_time_add(d->now, run)};
        }
    }
    g_free(d->v);
    g_rand_free(d->rng);
}

static void good_machines_are_kept(void **state)
{
    static struct day d;
    unsigned lost = 0, good = 0, found = 0, faulty = 0;
    (void)state;

    for (guint32 seed = 1; seed <= 60; seed++) {
        play(&d, seed, (int)(seed % 4), (int)(seed % 7) * 4, seed % 2);
        for (int m = 0; m < MACHINES; m++) {
            good += !d.faulty[m];
            lost += !d.faulty[m] && d.left[m];
            faulty += d.faulty[m];
            found += d.faulty[m] && d.left[m];
        }
        for (int j = 0; j < JOBS; j++) {
            /* A trickle: some in the first rush, then one a minute, and no second rush.
             */
            if (d.broken[j])
                assert_in_range(d.failed[j], 1, 60);
            else if (!d.jobs[j].has_succeeded)
                assert_false(lmn_job_is_faulty(&d.jobs[j]));
        }
    }
    assert_true(good > 2000);
    assert_int_equal(lost, 0);
    assert_true(faulty > 50);
    assert_int_equal(found, faulty);
}

/* A job of many tasks whose first machine is faulty is not held back for long, and takes
 * no blame: once it waited for a minute. */
static void a_faulty_first_machine(void **state)
{
    struct lmn_job_failures b = {0};
    struct timespec t = {1000, 0};
    (void)state;

    for (int i = 0; i < 50; i++)
        lmn_job_record_failure(&b, 1, t, lmn_time_add(t, 1 + i * 0.01));
    assert_int_equal(b.rounds, 1);
    assert_false(lmn_job_is_faulty(&b));
    assert_true(lmn_time_diff_s(b.backoff_until, t) < 3);
    /* The only machine of its type: tried again, more and more seldom, and never blamed
     * by this job alone. */
    for (int i = 0; i < 50; i++) {
        t = b.backoff_until;
        lmn_job_record_failure(&b, 1, lmn_time_add(t, 0.1), lmn_time_add(t, 0.2));
        assert_false(lmn_job_is_faulty(&b));
        assert_in_range((int)lmn_time_diff_s(b.backoff_until, t), 0, 5);
    }
    assert_false(lmn_machine_is_faulty(lmn_failure_weight(&b, 1, 50, t, t)));
    lmn_job_record_success(&b); /* elsewhere */
    lmn_job_record_failure(&b, 1, t, lmn_time_add(t, 1));
    assert_true(lmn_machine_is_faulty(lmn_failure_weight(&b, 1, 51, t, t)));
}

/* An accused job is tried, at most once in four seconds and at least once in a minute;
 * one success clears it. */
static void the_trickle(void **state)
{
    struct lmn_job_failures b = {0};
    struct timespec t = {1000, 0}, end = lmn_time_add(t, 3600);
    unsigned tries = 0;
    (void)state;

    for (guint m = 1; m <= 3; m++)
        lmn_job_record_failure(&b, m, t, t);
    assert_true(lmn_job_is_faulty(&b));
    while (lmn_time_before(t, end)) {
        t = lmn_time_add(b.backoff_until, 0.01);
        lmn_job_record_retry(&b, t);
        assert_true(lmn_time_diff_s(b.backoff_until, t) > 3.9 &&
                    lmn_time_diff_s(b.backoff_until, t) < 61);
        lmn_job_record_failure(&b, 1 + tries % 20, t, lmn_time_add(t, 1));
        tries++;
    }
    assert_in_range(tries, 55, 70);
    lmn_job_record_success(&b);
    assert_false(lmn_job_is_faulty(&b));
    assert_true(lmn_time_before(b.backoff_until, t));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(good_machines_are_kept),
        cmocka_unit_test(a_faulty_first_machine),
        cmocka_unit_test(the_trickle),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
