/* Fair-share floors, starvation, spot-only idle jobs and backfill reservations. */
#include "queue/fixture.h"

#include "scheduler/fair_share.h"
#include "scheduler/job_order.h"
#include "scheduler/queue.h"
#include "scheduler/reservation.h"
#include "partition/range.h"
#include "state/task_ledger.h"

/* Runs a task that needs a whole machine beside small tasks that take all capacity as it
 * becomes free; without reservations it would wait for as long as small tasks arrive.
 * With `has_quota_limit`, it is the team's quota of 24 processors that the small tasks
 * take. Returns the seconds until the large task started; 600 if it never did. */
static int wait_of_large_task_s(bool has_quota_limit)
{
    GByteArray *commands = g_byte_array_new();
    struct lmn_partition *partition;
    struct lmn_job *small = &jobs[1], *large = &jobs[0];
    int elapsed_s = 0;

    fixture_set_up(11);
    now = (struct timespec){1000, 0};
    partition = &core->partitions[0];
    settings.teams[0].cpus_max = has_quota_limit ? 24 : 0;
    for (int i = 0; i < JOBS; i++)
        jobs[i].phase = i < 2 ? LMN_JOB_ACTIVE : LMN_JOB_DONE;
    for (int i = 0; i < 2; i++) {
        struct lmn_range *range = jobs[i].ranges->pdata[0];
        jobs[i].spec.zone = NULL;
        jobs[i].spec.may_use_spot = true;
        jobs[i].spec.priority = i ? LMN_PRIORITY_HIGH : LMN_PRIORITY_NORMAL;
        jobs[i].spec.cpus = i ? 1 : 8;
        jobs[i].spec.tasks = range->end = i ? 3000 : 1;
        jobs[i].has_missed_objective = false;
        jobs[i].accepted_at_s = 0;
        g_free(range->done);
        range->done = g_malloc0(3000 / 8);
        lmn_range_open(core, range);
        range->is_assigned = true;
    }
    lmn_assign_range(core, small->ranges->pdata[0], now);
    lmn_assign_range(core, large->ranges->pdata[0], now);
    for (;
         elapsed_s < 600 && !count_attempts(large, true) && !count_attempts(large, false);
         elapsed_s++) {
        now = lmn_time_add(now, 1);
        core->scheduling.wall_clock_s = elapsed_s;
        lmn_update_starvation(core, elapsed_s);
        lmn_update_reservations(core, partition, now);
        for (guint k = 0; k < partition->machine_list->len; k++) {
            struct lmn_machine *machine = partition->machine_list->pdata[k];
            /* Each second, each small task ends with a probability of 1/10, and the
             * machine is scheduled after each end. */
            for (guint i = machine->attempts->len; i-- > 0;) {
                struct lmn_attempt *attempt =
                    &g_array_index(machine->attempts, struct lmn_attempt, i);
                if (attempt->job != small || g_rand_int_range(core->random, 0, 10))
                    continue;
                lmn_attempt_uncount(machine, attempt);
                lmn_task_finished(attempt->range, attempt->index, now);
                g_array_remove_index_fast(machine->attempts, i);
                machine->stealing.next_at = now;
                lmn_schedule_machine(core, machine, commands, now);
            }
            machine->stealing.next_at = now;
            lmn_schedule_machine(core, machine, commands, now);
        }
    }
    g_byte_array_unref(commands);
    return elapsed_s;
}

/* The floor is a quarter of the processors in use, divided by the number of subjects with
 * waiting tasks. */
static void is_under_floor_below_a_quarter_of_even_share(void **state)
{
    struct lmn_fair_share share = {.used_cpus = 12, .waiting_cpus = 1};
    (void)state;

    assert_true(lmn_is_under_fair_share(&share, 100, 2));  /* floor 12.5 */
    assert_false(lmn_is_under_fair_share(&share, 100, 3)); /* floor 8.3 */
    assert_false(lmn_is_under_fair_share(&share, 100, 1)); /* no other subject waits */
    share.used_cpus = 13;
    assert_false(lmn_is_under_fair_share(&share, 100, 2));
    share.used_cpus = 0;
    assert_true(lmn_is_under_fair_share(&share, 1, 50));
    share.waiting_cpus = 0;
    assert_false(lmn_is_under_fair_share(&share, 100, 2));
}

/* Without the floor, a class of lower priority would never start while jobs of higher
 * priority keep arriving. */
static void class_under_its_floor_precedes_higher_priority(void **state)
{
    struct lmn_job high = {.spec = {.priority = LMN_PRIORITY_HIGH}, .latest_start_s = 10},
                   low = {.spec = {.priority = LMN_PRIORITY_NORMAL},
                          .has_missed_objective = true};
    struct lmn_job production = {.spec = {.priority = LMN_PRIORITY_PRODUCTION},
                                 .latest_start_s = 99};
    (void)state;

    g_strlcpy(high.spec.id, "run-000001", LMN_JOB_ID_SIZE);
    g_strlcpy(low.spec.id, "run-000002", LMN_JOB_ID_SIZE);
    g_strlcpy(production.spec.id, "run-000003", LMN_JOB_ID_SIZE);
    assert_true(lmn_job_compare(&high, &low) < 0);
    low.is_under_fair_share = true;
    assert_true(lmn_job_compare(&low, &high) < 0);
    assert_true(lmn_job_compare(&production, &low) < 0);
    high.is_within_guarantee = true;
    assert_true(lmn_job_compare(&high, &low) < 0);
}

/* Guards against long idle tasks on ordinary machines at three times the spot price,
 * which kept the machines for minutes after all other tasks had ended. Short idle tasks,
 * jobs with an objective, and all jobs where there is no spot instance do use ordinary
 * machines. */
static void long_idle_tasks_wait_for_spot_instances(void **state)
{
    (void)state;
    enum { LONG_IDLE, NOT_IDLE, SHORT_IDLE, NO_SPOT_INSTANCES, WITH_OBJECTIVE, CASES };
    for (int variant = 0; variant < CASES; variant++) {
        struct lmn_job *job = fixture_set_up_one_job(
            variant == NOT_IDLE ? LMN_PRIORITY_NORMAL : LMN_PRIORITY_IDLE,
            variant == SHORT_IDLE ? 10 : 300);
        GHashTableIter iter;
        gpointer value;
        jobs[0].spec.tasks = 40;
        g_hash_table_iter_init(&iter, core->partitions[0].machines);
        while (variant == NO_SPOT_INSTANCES &&
               g_hash_table_iter_next(&iter, NULL, &value))
            ((struct lmn_machine *)value)->is_spot = false;
        /* A job that waits for spot instances would miss its objective. */
        if (variant == WITH_OBJECTIVE) {
            settings.objective_count = 1;
            settings.objectives[0] =
                (struct lmn_objective){LMN_OBJECTIVE_FINISH, "c", 180, 1, 1};
        }
        lmn_update_starvation(core, job->accepted_at_s);
        start_all_tasks();
        assert_int_equal(count_attempts(job, true) > 0, variant != NO_SPOT_INSTANCES);
        assert_int_equal(count_attempts(job, false) > 0, variant != LONG_IDLE);
    }
}

/* Two of a class's six jobs used up its floor, and the other four waited for 6 minutes.
 * Therefore the first task of a starving job starts before more urgent jobs; its other
 * tasks do not. */
static void first_task_of_starving_job_takes_precedence(void **state)
{
    struct lmn_job *starving, *urgent;
    (void)state;

    fixture_set_up(5);
    for (int i = 0; i < JOBS; i++)
        jobs[i].phase = i < 2 ? LMN_JOB_ACTIVE : LMN_JOB_DONE;
    starving = &jobs[0];
    urgent = &jobs[1];
    for (int i = 0; i < 2; i++) {
        struct lmn_range *range = jobs[i].ranges->pdata[0];
        jobs[i].spec.cpus = 8;
        jobs[i].spec.zone = NULL;
        jobs[i].spec.may_use_spot = true;
        jobs[i].spec.tasks = range->end = 30;
        lmn_range_open(core, range);
        range->is_assigned = true;
    }
    starving->spec.priority = LMN_PRIORITY_NORMAL;
    urgent->spec.priority = LMN_PRIORITY_HIGH;
    starving->has_missed_objective = urgent->has_missed_objective = false;
    lmn_assign_range(core, urgent->ranges->pdata[0], now);
    lmn_assign_range(core, starving->ranges->pdata[0], now);
    lmn_update_starvation(core, starving->accepted_at_s + 50);
    assert_false(starving->is_starving);
    lmn_update_starvation(core, starving->accepted_at_s + 61);
    assert_true(starving->is_starving && lmn_job_compare(starving, urgent) < 0);
    urgent->is_starving = false;
    start_all_tasks();
    assert_int_equal(count_attempts(starving, true) + count_attempts(starving, false), 1);
    lmn_update_starvation(core, starving->accepted_at_s + 100);
    assert_false(starving->is_starving);
}

/* The task starts soon after reservations are allowed, which is after 120 s. */
static void large_task_starts_while_small_ones_keep_coming(void **state)
{
    (void)state;
    assert_in_range(wait_of_large_task_s(false), 120, 200);
    assert_in_range(wait_of_large_task_s(true), 120, 240);
    assert_int_equal(core->partitions[0].quota.reservations[0].job != NULL, true);
    /* The reservations are released after the large task has started. */
    lmn_update_starvation(core, 601);
    lmn_update_reservations(core, &core->partitions[0], now);
    assert_null(core->partitions[0].quota.reservations[0].job);
    for (guint k = 0; k < core->partitions[0].machine_list->len; k++)
        assert_null(((struct lmn_machine *)core->partitions[0].machine_list->pdata[k])
                        ->reservation.job);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(is_under_floor_below_a_quarter_of_even_share),
        cmocka_unit_test(class_under_its_floor_precedes_higher_priority),
        cmocka_unit_test(long_idle_tasks_wait_for_spot_instances),
        cmocka_unit_test(first_task_of_starving_job_takes_precedence),
        cmocka_unit_test(large_task_starts_while_small_ones_keep_coming),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
