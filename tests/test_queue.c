/* Assignment of tasks to machines' queues, image caches, and faulty jobs. */
#include "queue/fixture.h"

#include "scheduler/queue.h"
#include "partition/range.h"
#include "state/task_ledger.h"

#include <math.h>
#include <string.h>

/* Counts each task of the queue in `seen`, and checks the queue's own count. */
static void count_queue(const struct lmn_queue *queue, unsigned seen[JOBS][64])
{
    uint32_t task_count = 0;
    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        for (uint32_t k = segment->first; k < segment->end; k++)
            seen[segment->range->job - jobs][k]++;
        task_count += segment->end - segment->first;
    }
    assert_int_equal(task_count, queue->task_count);
}

/* Every task is in exactly one queue or attempt. Attempts fit on their machines, and only
 * on machines that the job allows. */
static void check_invariants(void)
{
    unsigned seen[JOBS][64] = {{0}};
    GHashTableIter iter;
    gpointer value;

    /* The list from which samples are drawn contains each machine once, and each machine
     * knows its index there. */
    const GPtrArray *list = core->partitions[0].machine_list;
    assert_int_equal(list->len, g_hash_table_size(core->partitions[0].machines));
    for (guint i = 0; i < list->len; i++)
        assert_int_equal(((struct lmn_machine *)list->pdata[i])->list_index, i);
    count_queue(&core->partitions[0].scheduling.unassigned, seen);
    g_hash_table_iter_init(&iter, core->partitions[0].machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_machine *machine = value;
        double cpus = 0;
        count_queue(&machine->queue, seen);
        for (guint i = 0; i < machine->attempts->len; i++) {
            const struct lmn_attempt *attempt =
                &g_array_index(machine->attempts, struct lmn_attempt, i);
            seen[attempt->job - jobs][attempt->index]++;
            cpus += attempt->job->spec.cpus;
            assert_true(lmn_job_spec_allows(&attempt->job->spec, machine->type,
                                            machine->zone, machine->is_spot));
        }
        assert_true(fabs(cpus - machine->used.cpus) < 1e-6);
        assert_true(cpus <= machine->type->cpus + 1e-6);
    }
    for (int i = 0; i < JOBS; i++)
        for (uint32_t k = 0; k < jobs[i].spec.tasks; k++)
            assert_int_equal(seen[i][k], 1);
}

static struct lmn_machine *random_machine(GRand *generator)
{
    char name[16];
    g_snprintf(name, sizeof name, "m-%d", g_rand_int_range(generator, 0, MACHINES));
    return g_hash_table_lookup(core->partitions[0].machines, name);
}

/* Steals, losses of a machine's tasks, spot notices and starts in random order neither
 * lose nor duplicate a task. */
static void each_task_stays_in_exactly_one_place(void **state)
{
    (void)state;

    for (uint32_t seed = 1; seed <= 25; seed++) {
        GRand *generator = g_rand_new_with_seed(seed);
        fixture_set_up(seed);
        for (int i = 0; i < JOBS; i++)
            lmn_assign_tasks(core, jobs[i].ranges->pdata[0], 0, jobs[i].spec.tasks, now);
        check_invariants();
        for (int step = 0; step < 120; step++) {
            struct lmn_machine *machine = random_machine(generator);
            GByteArray *commands = g_byte_array_new();
            now = lmn_time_add(now, 0.3);
            switch (g_rand_int_range(generator, 0, 6)) {
            case 0:
                lmn_steal_for_machine(core, machine, now);
                break;
            case 1:
                lmn_machine_requeue_tasks(core, machine, "requeued by the test", now);
                break;
            case 2:
                machine->lifecycle.has_spot_notice = !machine->lifecycle.has_spot_notice;
                lmn_reassign_machine_queue(core, machine, now);
                break;
            default:
                lmn_schedule_machine(core, machine, commands, now);
            }
            g_byte_array_unref(commands);
            check_invariants();
        }
        assert_true(core->counters.starts > 0 && core->counters.steals > 0);
        g_rand_free(generator);
    }
}

/* Assignment gives each zone at most half, rounded up, of the tasks of a job that spreads
 * over zones. */
static void zone_gets_at_most_half_of_a_spread_job(void **state)
{
    (void)state;
    for (uint32_t task_count = 1; task_count <= 9; task_count++) {
        fixture_set_up(task_count);
        struct lmn_job *job = &jobs[3];
        struct lmn_range *range = job->ranges->pdata[0];
        uint32_t tasks_in_zone[2] = {0, 0};
        GHashTableIter iter;
        gpointer value;
        job->spec.spreads_over_zones = job->spec.may_use_spot = true;
        job->spec.cpus = 1;
        job->spec.tasks = range->end = task_count;
        lmn_range_open(core, range);
        range->is_assigned = true;
        lmn_assign_tasks(core, range, 0, task_count, now);
        g_hash_table_iter_init(&iter, core->partitions[0].machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const struct lmn_machine *machine = value;
            tasks_in_zone[machine->zone[0] - 'a'] += machine->queue.task_count;
        }
        assert_int_equal(tasks_in_zone[0] + tasks_in_zone[1], task_count);
        assert_true(MAX(tasks_in_zone[0], tasks_in_zone[1]) <= (task_count + 1) / 2);
    }
}

/* Of two jobs of the same urgency, a machine starts the one whose image it has cached,
 * unless the other's latest start is earlier by more than 4 times its fetch time (here 80
 * s). Also checks the estimates of fetch times, and that the cache evicts the least
 * recently used images. */
static void machine_prefers_job_with_cached_image(void **state)
{
    (void)state;
    fixture_set_up(3);
    struct lmn_machine *machine =
        g_hash_table_lookup(core->partitions[0].machines, "m-0");
    core->cloud.machine_types.types[0].pull_gb_per_s = 0.1;
    core->cloud.machine_types.types[0].cache_gb = 10;
    for (int i = 0; i < 2; i++) {
        jobs[i].spec.priority = LMN_PRIORITY_NORMAL;
        jobs[i].spec.zone = NULL;
        jobs[i].spec.may_use_spot = true;
        jobs[i].spec.image_gb = 2;
        jobs[i].spec.cpus = 8;
        jobs[i].has_missed_objective = false;
        jobs[i].image = g_intern_string(i ? "near" : "far");
        lmn_queue_add(&machine->queue, jobs[i].ranges->pdata[0], 0, 1);
    }
    lmn_machine_record_image(machine, &jobs[1], true, now);
    assert_true(lmn_image_fetch_s(machine, &jobs[1], now) == 0);
    assert_true(fabs(lmn_image_fetch_s(machine, &jobs[0], now) - 20) < 1e-9);
    for (int urgent = 0; urgent < 2; urgent++) {
        GByteArray *commands = g_byte_array_new();
        jobs[0].latest_start_s = 1000;
        jobs[1].latest_start_s = urgent ? 1100 : 1010;
        assert_int_equal(lmn_schedule_machine(core, machine, commands, now), 1);
        struct lmn_attempt *attempt =
            &g_array_index(machine->attempts, struct lmn_attempt, 0);
        assert_ptr_equal(attempt->job, &jobs[urgent ? 0 : 1]);
        lmn_machine_requeue_tasks(core, machine, "requeued by the test", now);
        lmn_queue_clear(&machine->queue);
        for (int i = 0; i < 2; i++)
            lmn_queue_add(&machine->queue, jobs[i].ranges->pdata[0], 0, 1);
        g_byte_array_free(commands, TRUE);
    }
    /* While a fetch is in progress, other tasks of the job wait for the rest of it. */
    struct lmn_machine *other_machine =
        g_hash_table_lookup(core->partitions[0].machines, "m-1");
    lmn_machine_record_image(other_machine, &jobs[0], false, now);
    assert_true(lmn_machine_has_image(other_machine, &jobs[0]));
    assert_true(fabs(lmn_image_fetch_s(other_machine, &jobs[0], lmn_time_add(now, 5)) -
                     15) < 1e-6);
    lmn_machine_record_image(other_machine, &jobs[1], false,
                             now); /* two fetches share the rate */
    assert_true(fabs(lmn_image_fetch_s(other_machine, &jobs[1], now) - 40) < 1e-6);
    lmn_machine_record_image(other_machine, &jobs[0], true,
                             lmn_time_add(now, 6)); /* its task runs */
    assert_true(lmn_image_fetch_s(other_machine, &jobs[0], lmn_time_add(now, 6)) == 0);
    assert_true(lmn_image_fetch_s(other_machine, &jobs[1], lmn_time_add(now, 50)) == 0);
    /* The cache holds 10 GB: five more images of 2 GB evict the oldest. */
    for (int i = 2; i < 7; i++) {
        jobs[i].spec.image_gb = 2;
        jobs[i].image = g_intern_string(jobs[i].spec.id);
        lmn_machine_record_image(machine, &jobs[i], true, now);
    }
    assert_true(lmn_image_fetch_s(machine, &jobs[6], now) == 0);
    assert_true(lmn_image_fetch_s(machine, &jobs[1], now) > 0);
}

/* The tasks of a faulty job stay in the partition's unassigned queue, and one of them is
 * started after the backoff. After a success all of them start again. */
static void faulty_job_is_retried_with_one_task_at_a_time(void **state)
{
    struct lmn_job *job = fixture_set_up_one_job(LMN_PRIORITY_HIGH, 10);
    struct lmn_range *range = job->ranges->pdata[0];
    (void)state;

    job->spec.cpus = 1;
    for (guint machine = 1; machine <= 3; machine++)
        lmn_job_record_failure(&job->failures, machine, now, now);
    lmn_reassign_job(core, job, now);
    assert_int_equal(core->partitions[0].scheduling.unassigned.task_count, range->end);
    start_all_tasks();
    assert_int_equal(range->started_count, 0);
    now = lmn_time_add(job->failures.backoff_until, 0.1);
    start_all_tasks();
    assert_int_equal(range->started_count, 1);
    lmn_job_record_success(&job->failures);
    lmn_reassign_job(core, job, now);
    start_all_tasks();
    assert_true(range->started_count == MIN(range->end, 8 * MACHINES));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_task_stays_in_exactly_one_place),
        cmocka_unit_test(zone_gets_at_most_half_of_a_spread_job),
        cmocka_unit_test(machine_prefers_job_with_cached_image),
        cmocka_unit_test(faulty_job_is_retried_with_one_task_at_a_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
