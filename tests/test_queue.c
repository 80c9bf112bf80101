/* Queues: dealing to machines, and that no task is lost or doubled on the way. */
#include "queue/fixture.h"

#include "scheduler/queue.h"
#include "partition/range.h"
#include "state/task_ledger.h"

#include <math.h>
#include <string.h>

static void count_queue(const struct lmn_queue *queue, unsigned seen[JOBS][64])
{
    uint32_t n = 0;
    for (guint i = 0; i < queue->segments->len; i++) {
        const struct lmn_queue_segment *segment = queue->segments->pdata[i];
        for (uint32_t k = segment->first; k < segment->end; k++)
            seen[segment->range->job - jobs][k]++;
        n += segment->end - segment->first;
    }
    assert_int_equal(n, queue->task_count);
}

/* Every task is in one queue, or on one machine, and never in two. */
static void check_all(void)
{
    unsigned seen[JOBS][64] = {{0}};
    GHashTableIter it;
    gpointer v;

    /* The list that samples are drawn from holds each machine once, at its place. */
    const GPtrArray *list = core->partitions[0].machine_list;
    assert_int_equal(list->len, g_hash_table_size(core->partitions[0].machines));
    for (guint i = 0; i < list->len; i++)
        assert_int_equal(((struct lmn_machine *)list->pdata[i])->list_index, i);
    count_queue(&core->partitions[0].scheduling.unassigned, seen);
    g_hash_table_iter_init(&it, core->partitions[0].machines);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct lmn_machine *machine = v;
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

static struct lmn_machine *some_machine(GRand *r)
{
    char name[16];
    g_snprintf(name, sizeof name, "m-%d", g_rand_int_range(r, 0, MACHINES));
    return g_hash_table_lookup(core->partitions[0].machines, name);
}

static void never_loses_or_doubles_a_task(void **state)
{
    (void)state;

    for (uint32_t seed = 1; seed <= 25; seed++) {
        GRand *r = g_rand_new_with_seed(seed);
        fixture_begin(seed);
        for (int i = 0; i < JOBS; i++)
            lmn_assign_tasks(core, jobs[i].ranges->pdata[0], 0, jobs[i].spec.tasks, now);
        check_all();
        for (int step = 0; step < 120; step++) {
            struct lmn_machine *machine = some_machine(r);
            GByteArray *out = g_byte_array_new();
            now = lmn_time_add(now, 0.3);
            switch (g_rand_int_range(r, 0, 6)) {
            case 0:
                lmn_steal_for_machine(core, machine, now);
                break;
            case 1:
                lmn_machine_requeue_tasks(core, machine, "test", now);
                break;
            case 2:
                machine->lifecycle.has_spot_notice = !machine->lifecycle.has_spot_notice;
                lmn_reassign_machine_queue(core, machine, now);
                break;
            default:
                lmn_schedule_machine(core, machine, out, now);
            }
            g_byte_array_unref(out);
            check_all();
        }
        assert_true(core->counters.starts > 0 && core->counters.steals > 0);
        g_rand_free(r);
    }
}

/* A zone takes no more of a spread job's tasks than half, rounded up, and the deal says
 * so. */
static void spread_is_dealt(void **state)
{
    (void)state;
    for (uint32_t n = 1; n <= 9; n++) {
        fixture_begin(n);
        struct lmn_job *job = &jobs[3];
        struct lmn_range *range = job->ranges->pdata[0];
        uint32_t zone[2] = {0, 0};
        GHashTableIter it;
        gpointer v;
        job->spec.spreads_over_zones = job->spec.may_use_spot = true;
        job->spec.cpus = 1;
        job->spec.tasks = range->end = n;
        lmn_range_open(core, range);
        range->is_assigned = true;
        lmn_assign_tasks(core, range, 0, n, now);
        g_hash_table_iter_init(&it, core->partitions[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_machine *machine = v;
            zone[machine->zone[0] - 'a'] += machine->queue.task_count;
        }
        assert_int_equal(zone[0] + zone[1], n);
        assert_true(MAX(zone[0], zone[1]) <= (n + 1) / 2);
    }
}

/* Where two jobs are alike, a machine takes the one whose image it has; a fetch is not
 * worth being late for by more than it costs. */
static void images_count(void **state)
{
    (void)state;
    fixture_begin(3);
    struct lmn_machine *m = g_hash_table_lookup(core->partitions[0].machines, "m-0");
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
        lmn_queue_add(&m->queue, jobs[i].ranges->pdata[0], 0, 1);
    }
    lmn_machine_record_image(m, &jobs[1], true, now);
    assert_true(lmn_image_fetch_s(m, &jobs[1], now) == 0);
    assert_true(fabs(lmn_image_fetch_s(m, &jobs[0], now) - 20) < 1e-9);
    for (int urgent = 0; urgent < 2; urgent++) {
        GByteArray *out = g_byte_array_new();
        jobs[0].latest_start_s = 1000;
        jobs[1].latest_start_s = urgent ? 1100 : 1010;
        assert_int_equal(lmn_schedule_machine(core, m, out, now), 1);
        struct lmn_attempt *attempt = &g_array_index(m->attempts, struct lmn_attempt, 0);
        assert_ptr_equal(attempt->job, &jobs[urgent ? 0 : 1]);
        lmn_machine_requeue_tasks(core, m, "again", now);
        lmn_queue_clear(&m->queue);
        for (int i = 0; i < 2; i++)
            lmn_queue_add(&m->queue, jobs[i].ranges->pdata[0], 0, 1);
        g_byte_array_free(out, TRUE);
    }
    /* While one task's fetch is under way, others of its job wait for what is left of it.
     */
    struct lmn_machine *o = g_hash_table_lookup(core->partitions[0].machines, "m-1");
    lmn_machine_record_image(o, &jobs[0], false, now);
    assert_true(lmn_machine_has_image(o, &jobs[0]));
    assert_true(fabs(lmn_image_fetch_s(o, &jobs[0], lmn_time_add(now, 5)) - 15) < 1e-6);
    lmn_machine_record_image(o, &jobs[1], false, now); /* a second one shares the rate */
    assert_true(fabs(lmn_image_fetch_s(o, &jobs[1], now) - 40) < 1e-6);
    lmn_machine_record_image(o, &jobs[0], true,
                             lmn_time_add(now, 6)); /* a task of it runs */
    assert_true(lmn_image_fetch_s(o, &jobs[0], lmn_time_add(now, 6)) == 0);
    assert_true(lmn_image_fetch_s(o, &jobs[1], lmn_time_add(now, 50)) == 0);
    /* The cache holds ten: the least recently used go. */
    for (int i = 2; i < 7; i++) {
        jobs[i].spec.image_gb = 2;
        jobs[i].image = g_intern_string(jobs[i].spec.id);
        lmn_machine_record_image(m, &jobs[i], true, now);
    }
    assert_true(lmn_image_fetch_s(m, &jobs[6], now) == 0);
    assert_true(lmn_image_fetch_s(m, &jobs[1], now) > 0);
}

/* A job that fails wherever it starts stands in unplaced, out of the machines' queues,
 * and is tried with one task at a time; one success brings all of it back. */
static void the_accused_are_set_aside(void **state)
{
    struct lmn_job *job = lone_job(LMN_PRIORITY_HIGH, 10);
    struct lmn_range *range = job->ranges->pdata[0];
    (void)state;

    job->spec.cpus = 1;
    for (guint m = 1; m <= 3; m++)
        lmn_job_record_failure(&job->failures, m, now, now);
    lmn_reassign_job(core, job, now);
    assert_int_equal(core->partitions[0].scheduling.unassigned.task_count, range->end);
    start_all();
    assert_int_equal(range->started_count, 0);
    now = lmn_time_add(job->failures.backoff_until, 0.1);
    start_all();
    assert_int_equal(range->started_count, 1);
    lmn_job_record_success(&job->failures);
    lmn_reassign_job(core, job, now);
    start_all();
    assert_true(range->started_count == MIN(range->end, 8 * MACHINES));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(never_loses_or_doubles_a_task),
        cmocka_unit_test(spread_is_dealt),
        cmocka_unit_test(images_count),
        cmocka_unit_test(the_accused_are_set_aside),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
