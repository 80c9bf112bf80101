/* Attribution of task failures to faulty jobs or faulty machines (state/failures.h). */
#include "util/clock.h"
#include "state/failures.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

enum {
    MACHINES = 40,
    JOBS = 60,
    TASKS_PER_MACHINE = 8,
    MAX_TASKS_PER_MACHINE = 64, /* for the size of the array of running tasks */
    TICKS = 2400,
    TAKEOVER_TICK = 1200,
    STARTS_TRIED_PER_TICK = 12,
};

static const double TICK_S = 0.25;

struct running_task {
    int job, machine;
    struct timespec started_at, ends_at;
};

struct simulation {
    GRand *random;
    struct timespec now;
    struct lmn_job_failures jobs[JOBS];
    unsigned failures[MACHINES][JOBS]; /* since the machine's last success */
    struct timespec last_failed_at[MACHINES][JOBS], quarantined_until[MACHINES];
    bool machine_is_faulty[MACHINES], machine_is_unused[MACHINES], job_is_faulty[JOBS];
    unsigned failure_count[JOBS]; /* over the whole run */
    struct running_task *running;
    guint running_count;
};

/* Records a failed task, and takes the machine out of use as partition/heartbeat.c does.
 */
static void record_failure(struct simulation *simulation, int job, int machine,
                           struct timespec started_at)
{
    guint machine_hash = (guint)machine * 2654435761u;
    struct timespec now = simulation->now;
    double weight_sum = 0;

    lmn_job_record_failure(&simulation->jobs[job], machine_hash, started_at, now);
    simulation->failure_count[job]++;
    simulation->failures[machine][job]++;
    simulation->last_failed_at[machine][job] = now;
    for (int j = 0; j < JOBS; j++)
        if (simulation->failures[machine][j])
            weight_sum += lmn_failure_weight(&simulation->jobs[j], machine_hash,
                                             simulation->failures[machine][j],
                                             simulation->last_failed_at[machine][j], now);
    simulation->quarantined_until[machine] =
        lmn_time_add(now, lmn_machine_quarantine_s(weight_sum));
    if (lmn_machine_is_faulty(weight_sum))
        simulation->machine_is_unused[machine] = true;
}

/* Another controller takes the machines over. It knows only the failures of jobs that
 * were found faulty, which remain in the machines' heartbeats. */
static void take_over(struct simulation *simulation)
{
    struct lmn_job_failures before[JOBS];

    memcpy(before, simulation->jobs, sizeof before);
    memset(simulation->jobs, 0, sizeof simulation->jobs);
    memset(simulation->failures, 0, sizeof simulation->failures);
    for (int job = 0; job < JOBS; job++)
        for (unsigned i = 0;
             lmn_job_is_faulty(&before[job]) && i < before[job].machine_count; i++)
            lmn_job_record_inherited_failure(&simulation->jobs[job],
                                             before[job].machines[i], simulation->now);
}

/* Removes the tasks that have ended and records whether they failed. */
static void end_tasks(struct simulation *simulation)
{
    for (guint i = simulation->running_count; i-- > 0;) {
        struct running_task task = simulation->running[i];
        if (lmn_time_before(simulation->now, task.ends_at))
            continue;
        simulation->running[i] = simulation->running[--simulation->running_count];
        if (simulation->job_is_faulty[task.job] ||
            simulation->machine_is_faulty[task.machine]) {
            record_failure(simulation, task.job, task.machine, task.started_at);
        } else {
            lmn_job_record_success(&simulation->jobs[task.job]);
            memset(simulation->failures[task.machine], 0,
                   sizeof simulation->failures[task.machine]);
        }
    }
}

/* Whether the machine and the job may start a task now. */
static bool may_start(const struct simulation *simulation, int job, int machine)
{
    guint tasks_on_machine = 0;

    for (guint i = 0; i < simulation->running_count; i++)
        tasks_on_machine += simulation->running[i].machine == machine;
    return !simulation->machine_is_unused[machine] &&
           tasks_on_machine < TASKS_PER_MACHINE &&
           !lmn_time_before(simulation->now, simulation->quarantined_until[machine]) &&
           !lmn_time_before(simulation->now, simulation->jobs[job].backoff_until);
}

/* Starts a task of a random job on a random machine, if both may start one. Jobs are
 * added one at a time: 4 at first, one more every 20 ticks. */
static void try_start(struct simulation *simulation, int tick)
{
    int machine = g_rand_int_range(simulation->random, 0, MACHINES);
    int job = g_rand_int_range(simulation->random, 0, MIN(JOBS, 4 + tick / 20));

    if (!may_start(simulation, job, machine))
        return;
    if (lmn_job_is_faulty(&simulation->jobs[job]))
        lmn_job_record_retry(&simulation->jobs[job], simulation->now);
    bool will_fail =
        simulation->job_is_faulty[job] || simulation->machine_is_faulty[machine];
    double run_time_s = will_fail ? 0.5 : g_rand_double_range(simulation->random, 5, 30);
    simulation->running[simulation->running_count++] = (struct running_task){
        job, machine, simulation->now, lmn_time_add(simulation->now, run_time_s)};
}

/* Runs jobs with an unlimited number of tasks for 600 s. Tasks of a faulty job, and all
 * tasks on a faulty machine, fail after 0.5 s. */
static void simulate(struct simulation *simulation, guint32 seed, int faulty_machines,
                     int faulty_jobs, bool with_takeover)
{
    memset(simulation, 0, sizeof *simulation);
    simulation->random = g_rand_new_with_seed(seed);
    simulation->now = (struct timespec){1000, 0};
    simulation->running = g_new0(struct running_task, MACHINES * MAX_TASKS_PER_MACHINE);
    for (int i = 0; i < faulty_machines; i++)
        simulation->machine_is_faulty[g_rand_int_range(simulation->random, 0, MACHINES)] =
            true;
    for (int i = 0; i < faulty_jobs; i++)
        simulation->job_is_faulty[g_rand_int_range(simulation->random, 0, JOBS)] = true;
    for (int tick = 0; tick < TICKS; tick++) {
        simulation->now = lmn_time_add(simulation->now, TICK_S);
        if (with_takeover && tick == TAKEOVER_TICK)
            take_over(simulation);
        end_tasks(simulation);
        for (int i = 0; i < STARTS_TRIED_PER_TICK; i++)
            try_start(simulation, tick);
    }
    g_free(simulation->running);
    g_rand_free(simulation->random);
}

/* In 60 random runs every faulty machine, and no other, is taken out of use, and no job
 * without a fault is found faulty. */
static void only_faulty_machines_are_taken_out_of_use(void **state)
{
    static struct simulation simulation;
    unsigned good = 0, good_unused = 0, faulty = 0, faulty_unused = 0;
    (void)state;

    for (guint32 seed = 1; seed <= 60; seed++) {
        simulate(&simulation, seed, (int)(seed % 4), (int)(seed % 7) * 4, seed % 2);
        for (int machine = 0; machine < MACHINES; machine++) {
            bool is_faulty = simulation.machine_is_faulty[machine];
            bool is_unused = simulation.machine_is_unused[machine];
            good += !is_faulty;
            good_unused += !is_faulty && is_unused;
            faulty += is_faulty;
            faulty_unused += is_faulty && is_unused;
        }
        for (int job = 0; job < JOBS; job++) {
            /* A faulty job fails several times at first, then about once a minute, also
             * after a takeover. */
            if (simulation.job_is_faulty[job])
                assert_in_range(simulation.failure_count[job], 1, 60);
            else if (!simulation.jobs[job].has_succeeded)
                assert_false(lmn_job_is_faulty(&simulation.jobs[job]));
        }
    }
    assert_true(good > 2000);
    assert_int_equal(good_unused, 0);
    assert_true(faulty > 50);
    assert_int_equal(faulty_unused, faulty);
}

/* Guards against a backoff that doubles with each failed task: 50 tasks of one job that
 * fail together on a faulty machine would delay the job by a minute. */
static void tasks_that_fail_together_count_as_one_round(void **state)
{
    struct lmn_job_failures failures = {0};
    struct timespec now = {1000, 0};
    (void)state;

    for (int i = 0; i < 50; i++)
        lmn_job_record_failure(&failures, 1, now, lmn_time_add(now, 1 + i * 0.01));
    assert_int_equal(failures.rounds, 1);
    assert_false(lmn_job_is_faulty(&failures));
    assert_true(lmn_time_diff_s(failures.backoff_until, now) < 3);
    /* On the only machine of its type the job starts again after each backoff of at most
     * 4 s. Neither the job nor the machine is found faulty because of this job alone. */
    for (int i = 0; i < 50; i++) {
        now = failures.backoff_until;
        lmn_job_record_failure(&failures, 1, lmn_time_add(now, 0.1),
                               lmn_time_add(now, 0.2));
        assert_false(lmn_job_is_faulty(&failures));
        assert_in_range((int)lmn_time_diff_s(failures.backoff_until, now), 0, 5);
    }
    assert_false(lmn_machine_is_faulty(lmn_failure_weight(&failures, 1, 50, now, now)));
    lmn_job_record_success(&failures); /* on another machine */
    lmn_job_record_failure(&failures, 1, now, lmn_time_add(now, 1));
    assert_true(lmn_machine_is_faulty(lmn_failure_weight(&failures, 1, 51, now, now)));
}

/* A faulty job starts again at most every 4 s and at least once a minute; one success
 * clears its failures. */
static void a_faulty_job_is_retried_until_it_succeeds(void **state)
{
    struct lmn_job_failures failures = {0};
    struct timespec now = {1000, 0}, end = lmn_time_add(now, 3600);
    unsigned retries = 0;
    (void)state;

    for (guint machine = 1; machine <= 3; machine++)
        lmn_job_record_failure(&failures, machine, now, now);
    assert_true(lmn_job_is_faulty(&failures));
    while (lmn_time_before(now, end)) {
        now = lmn_time_add(failures.backoff_until, 0.01);
        lmn_job_record_retry(&failures, now);
        assert_true(lmn_time_diff_s(failures.backoff_until, now) > 3.9 &&
                    lmn_time_diff_s(failures.backoff_until, now) < 61);
        lmn_job_record_failure(&failures, 1 + retries % 20, now, lmn_time_add(now, 1));
        retries++;
    }
    assert_in_range(retries, 55, 70);
    lmn_job_record_success(&failures);
    assert_false(lmn_job_is_faulty(&failures));
    assert_true(lmn_time_before(failures.backoff_until, now));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_faulty_machines_are_taken_out_of_use),
        cmocka_unit_test(tasks_that_fail_together_count_as_one_round),
        cmocka_unit_test(a_faulty_job_is_retried_until_it_succeeds),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
