/* What lesser, idle, old and large work is kept: floors and reserves. */
#include "queue/fixture.h"

#include "scheduler/fair_share.h"
#include "scheduler/job_order.h"
#include "scheduler/queue.h"
#include "scheduler/reservation.h"
#include "partition/range.h"
#include "state/task_ledger.h"

/* One task of a job that needs a whole machine, while small ones keep coming and fill
 * every piece of room as it becomes free: it once waited for as long as they came. With
 * `limit`, the pieces are those of their team's limit. Returns after how many seconds it
 * began; 600: never. */
static int wait_among_small(bool limit)
{
    GByteArray *out = g_byte_array_new();
    struct lmn_partition *partition;
    struct lmn_job *small = &jobs[1], *large = &jobs[0];
    int t = 0;

    fixture_begin(11);
    now = (struct timespec){1000, 0};
    partition = &core->partitions[0];
    settings.teams[0].cpus_max = limit ? 24 : 0;
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
    for (; t < 600 && !count_started(large, true) && !count_started(large, false); t++) {
        now = lmn_time_add(now, 1);
        core->scheduling.wall_clock_s = t;
        lmn_update_starvation(core, t);
        lmn_update_reservations(core, partition, now);
        for (guint k = 0; k < partition->machine_list->len; k++) {
            struct lmn_machine *machine = partition->machine_list->pdata[k];
            /* A tenth of the small tasks end each second, one after the other. */
            for (guint i = machine->attempts->len; i-- > 0;) {
                struct lmn_attempt *attempt =
                    &g_array_index(machine->attempts, struct lmn_attempt, i);
                if (attempt->job != small || g_rand_int_range(core->random, 0, 10))
                    continue;
                lmn_attempt_uncount(machine, attempt);
                lmn_task_finished(attempt->range, attempt->index, now);
                g_array_remove_index_fast(machine->attempts, i);
                machine->stealing.next_at = now;
                lmn_schedule_machine(core, machine, out, now);
            }
            machine->stealing.next_at = now;
            lmn_schedule_machine(core, machine, out, now);
        }
    }
    g_byte_array_unref(out);
    return t;
}

/* A quarter of an even part of what is in use, over those with work waiting. */
static void floors(void **state)
{
    struct lmn_fair_share f = {.used_cpus = 12, .waiting_cpus = 1};
    (void)state;

    assert_true(lmn_is_under_fair_share(&f, 100, 2));  /* of 12.5 */
    assert_false(lmn_is_under_fair_share(&f, 100, 3)); /* of 8.3 */
    assert_false(lmn_is_under_fair_share(&f, 100, 1)); /* nobody else waits */
    f.used_cpus = 13;
    assert_false(lmn_is_under_fair_share(&f, 100, 2));
    f.used_cpus = 0;
    assert_true(lmn_is_under_fair_share(&f, 1, 50));
    f.waiting_cpus = 0;
    assert_false(lmn_is_under_fair_share(&f, 100, 2));
}

/* Twenty tasks of an urgent class came before one of a lesser one, and more come with
 * each that ends: without the floor the lesser would never start. */
static void the_lesser_class_gets_its_floor(void **state)
{
    struct lmn_job high = {.spec = {.priority = LMN_PRIORITY_HIGH}, .latest_start_s = 10},
                   low = {.spec = {.priority = LMN_PRIORITY_NORMAL},
                          .has_missed_objective = true};
    struct lmn_job prod = {.spec = {.priority = LMN_PRIORITY_PRODUCTION},
                           .latest_start_s = 99};
    (void)state;

    g_strlcpy(high.spec.id, "run-000001", LMN_JOB_ID_SIZE);
    g_strlcpy(low.spec.id, "run-000002", LMN_JOB_ID_SIZE);
    g_strlcpy(prod.spec.id, "run-000003", LMN_JOB_ID_SIZE);
    assert_true(lmn_job_compare(&high, &low) < 0);
    low.is_under_fair_share = true;
    assert_true(lmn_job_compare(&low, &high) < 0);
    assert_true(lmn_job_compare(&prod, &low) < 0);
    high.is_within_guarantee = true;
    assert_true(lmn_job_compare(&high, &low) < 0);
}

/* Found when long idle work sat on ordinary machines, at three times the price, for
 * minutes after all else was done. Short work fills their gaps; all of it runs there if
 * no others are. */
static void idle_work_keeps_to_cheap_machines(void **state)
{
    (void)state;
    for (int k = 0; k < 5; k++) {
        struct lmn_job *job =
            lone_job(k == 1 ? LMN_PRIORITY_NORMAL : LMN_PRIORITY_IDLE, k == 2 ? 10 : 300);
        GHashTableIter it;
        gpointer v;
        jobs[0].spec.tasks = 40;
        g_hash_table_iter_init(&it, core->partitions[0].machines);
        while (k == 3 && g_hash_table_iter_next(&it, NULL, &v))
            ((struct lmn_machine *)v)->is_spot = false;
        /* An archive that was expected within minutes missed it. */
        if (k == 4) {
            settings.objective_count = 1;
            settings.objectives[0] =
                (struct lmn_objective){LMN_OBJECTIVE_FINISH, "c", 180, 1, 1};
        }
        lmn_update_starvation(core, job->accepted_at_s);
        start_all();
        assert_int_equal(count_started(job, true) > 0, k != 3);
        assert_int_equal(count_started(job, false) > 0, k != 0);
    }
}

/* Two of a class's six jobs took its floor, and the other four waited for six minutes:
 * the first task of one that has waited goes first, and no more of it. */
static void the_aged_begin(void **state)
{
    struct lmn_job *old, *urgent;
    (void)state;

    fixture_begin(5);
    for (int i = 0; i < JOBS; i++)
        jobs[i].phase = i < 2 ? LMN_JOB_ACTIVE : LMN_JOB_DONE;
    old = &jobs[0];
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
    old->spec.priority = LMN_PRIORITY_NORMAL;
    urgent->spec.priority = LMN_PRIORITY_HIGH;
    old->has_missed_objective = urgent->has_missed_objective = false;
    lmn_assign_range(core, urgent->ranges->pdata[0], now);
    lmn_assign_range(core, old->ranges->pdata[0], now);
    lmn_update_starvation(core, old->accepted_at_s + 50);
    assert_false(old->is_starving);
    lmn_update_starvation(core, old->accepted_at_s + 61);
    assert_true(old->is_starving && lmn_job_compare(old, urgent) < 0);
    urgent->is_starving = false;
    start_all();
    assert_int_equal(count_started(old, true) + count_started(old, false), 1);
    lmn_update_starvation(core, old->accepted_at_s + 100);
    assert_false(old->is_starving);
}

static void large_tasks_find_room_among_small_ones(void **state)
{
    (void)state;
    assert_in_range(wait_among_small(false), 120, 200);
    assert_in_range(wait_among_small(true), 120, 240);
    assert_int_equal(core->partitions[0].quota.reservations[0].job != NULL, true);
    /* And what was kept is given up once it has begun. */
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
        cmocka_unit_test(floors),
        cmocka_unit_test(the_lesser_class_gets_its_floor),
        cmocka_unit_test(idle_work_keeps_to_cheap_machines),
        cmocka_unit_test(the_aged_begin),
        cmocka_unit_test(large_tasks_find_room_among_small_ones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
