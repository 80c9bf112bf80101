/* Room that is made for production, and replicas that are packed. */
#include "queue/fixture.h"

#include "scheduler/consolidation.h"
#include "scheduler/preemption.h"
#include "scheduler/queue.h"
#include "partition/range.h"
#include "state/task_ledger.h"

/* Puts a running attempt of the range's next task on the machine. */
static struct lmn_attempt *run(struct lmn_machine *machine, struct lmn_range *range,
                               uint32_t index)
{
    struct lmn_attempt a = {.job = range->job,
                            .range = range,
                            .index = index,
                            .number = index + 1,
                            .state = LMN_ATTEMPT_RUNNING,
                            .was_reported = true,
                            .in_last_heartbeat = true,
                            .started_at = now};

    range->task_states[index - range->first] = LMN_TASK_STARTED;
    range->started_count++;
    lmn_attempt_count(machine, &a);
    g_array_append_val(machine->attempts, a);
    return &g_array_index(machine->attempts, struct lmn_attempt,
                          machine->attempts->len - 1);
}

/* A task of production that finds all machines full has room made for it: by lesser tasks
 * only, no more of them than it needs, and what lesser work waits does not take the
 * pieces. */
static void room_is_made(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        fixture_begin(seed);
        struct lmn_partition *partition = &core->partitions[0];
        GHashTableIter it;
        gpointer v;
        struct lmn_range *prod = jobs[3].ranges->pdata[0],
                         *low = jobs[4].ranges->pdata[0];
        struct lmn_range *peer = jobs[7].ranges->pdata[0];
        uint32_t at = 0, k = 0;
        core->cache.fresh_at = now;
        jobs[4].spec.priority = LMN_PRIORITY_NORMAL;
        jobs[4].spec.cpus = jobs[7].spec.cpus = 2;
        jobs[3].spec.cpus = 4;
        jobs[3].spec.may_use_spot = true;
        jobs[4].spec.tasks = jobs[7].spec.tasks = 200;
        low->end = peer->end = 200;
        low->done = g_malloc0(32);
        peer->done = g_malloc0(32);
        lmn_range_open(core, low);
        lmn_range_open(core, peer);
        low->is_assigned = peer->is_assigned = prod->is_assigned = true;
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *machine = v;
            machine->agent.last_heartbeat_at = now;
            /* Of each machine's eight processors two to six belong to an equal. */
            uint32_t equals = 1 + (seed + k++) % 3;
            for (uint32_t i = 0; i < 4; i++)
                run(machine, i < equals ? peer : low, at++);
        }
        lmn_queue_add(&partition->scheduling.unassigned, prod, 0, 1);
        lmn_preempt_for_production(core, partition, now);
        guint stopped = 0;
        struct lmn_machine *where = NULL;
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *machine = v;
            for (guint i = 0; i < machine->attempts->len; i++) {
                const struct lmn_attempt *attempt =
                    &g_array_index(machine->attempts, struct lmn_attempt, i);
                assert_true(!attempt->must_stop || attempt->job == &jobs[4]);
                stopped += attempt->must_stop;
                where = attempt->must_stop ? machine : where;
            }
        }
        assert_int_equal(stopped, 2);
        if (!where) {
            fail_msg("no task is stopped on any machine");
            return;
        }
        assert_int_equal(where->reservation.preemption_tasks, 1);
        assert_int_equal(partition->scheduling.unassigned.task_count, 0);
        /* Again: it is helped already. */
        lmn_preempt_for_production(core, partition, lmn_time_add(now, 1));
        assert_int_equal(core->counters.preempted, 1);
        /* One victim has ended: its piece stays free until the other has too. */
        lmn_queue_add(&where->queue, low, 199, 200);
        for (int gone = 0; gone < 2; gone++) {
            GByteArray *out = g_byte_array_new();
            for (guint i = 0; i < where->attempts->len; i++) {
                struct lmn_attempt *attempt =
                    &g_array_index(where->attempts, struct lmn_attempt, i);
                if (!attempt->must_stop || attempt->state == LMN_ATTEMPT_ENDED)
                    continue;
                lmn_attempt_uncount(where, attempt);
                attempt->state = LMN_ATTEMPT_ENDED;
                break;
            }
            assert_int_equal(lmn_schedule_machine(core, where, out, now), gone);
            g_byte_array_unref(out);
        }
        assert_int_equal(prod->started_count, 1);
        assert_int_equal(where->reservation.preemption_tasks, 0);
    }
}

/* Those who make room save if the one who waits can wait for it: with a start expected
 * within 5 s, 3 s of saving came before a fetch and made most starts late. */
static void saving_takes_no_more_time_than_there_is(void **state)
{
    (void)state;
    for (int hurry = 0; hurry < 2; hurry++) {
        fixture_begin(1);
        struct lmn_partition *partition = &core->partitions[0];
        struct lmn_range *prod = jobs[3].ranges->pdata[0],
                         *low = jobs[4].ranges->pdata[0];
        GHashTableIter it;
        gpointer v;
        uint32_t at = 0;
        guint stopped = 0;
        core->cache.fresh_at = now;
        core->cache.is_synced = true;
        if (hurry) {
            settings.objectives[0] = (struct lmn_objective){
                .kind = LMN_OBJECTIVE_START, .class_name = "c", .within_s = 5};
            settings.objective_count = 1;
        }
        jobs[3].spec.cpus = jobs[4].spec.cpus = 8;
        jobs[3].spec.may_use_spot = true;
        jobs[4].spec.priority = LMN_PRIORITY_NORMAL;
        jobs[4].spec.checkpoint_s = 15;
        jobs[4].spec.save_s = 3;
        jobs[4].spec.tasks = low->end = MACHINES;
        low->done = g_malloc0(8);
        lmn_range_open(core, low);
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            ((struct lmn_machine *)v)->agent.last_heartbeat_at = now;
            run(v, low, at++);
        }
        lmn_queue_add(&partition->scheduling.unassigned, prod, 0, 1);
        lmn_preempt_for_production(core, partition, now);
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            const struct lmn_attempt *attempt = &g_array_index(
                ((struct lmn_machine *)v)->attempts, struct lmn_attempt, 0);
            stopped += attempt->must_stop;
            if (attempt->must_stop)
                assert_true(attempt->grace_s == (hurry ? 0 : 4));
        }
        assert_int_equal(stopped, 1);
    }
}

/* Replicas left over on many machines are moved together, one machine at a time and only
 * if all of its own have room elsewhere; nothing moves while work waits, or right after a
 * start. */
static void replicas_are_packed(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        fixture_begin(seed);
        struct lmn_partition *partition = &core->partitions[0];
        struct lmn_range *range = jobs[3].ranges->pdata[0];
        struct timespec then = now;
        GHashTableIter it;
        gpointer v;
        uint32_t at = 0;
        core->cache.is_synced = true;
        jobs[3].spec.kind = LMN_JOB_SERVICE;
        jobs[3].spec.cpus = 2;
        jobs[3].spec.tasks = range->end = 40;
        range->done = g_malloc0(8);
        lmn_range_open(core, range);
        range->is_assigned = true;
        settings.heartbeat_s = 1;
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v)) {
            struct lmn_machine *machine = v;
            machine->is_spot = false;
            lmn_machine_record_image(machine, &jobs[3], true, now);
            for (uint32_t i = 0, n = 1 + (seed + at) % 2; i < n; i++)
                run(machine, range, at++);
        }
        uint32_t all = at;
        for (int step = 0; step < 40; step++) {
            then = lmn_time_add(then, 5);
            core->cache.fresh_at = then;
            bool young = step < 6;
            guint before = 0, after = 0, stopped = 0;
            g_hash_table_iter_init(&it, partition->machines);
            while (g_hash_table_iter_next(&it, NULL, &v)) {
                before += ((struct lmn_machine *)v)->lifecycle.is_draining;
                ((struct lmn_machine *)v)->agent.last_heartbeat_at = then;
            }
            if (step == 10)
                lmn_queue_add(&partition->scheduling.unassigned, jobs[5].ranges->pdata[0],
                              0, 1);
            if (step == 11)
                lmn_queue_clear(&partition->scheduling.unassigned);
            lmn_consolidate_replicas(core, partition, then);
            g_hash_table_iter_init(&it, partition->machines);
            while (g_hash_table_iter_next(&it, NULL, &v)) {
                struct lmn_machine *machine = v;
                after += machine->lifecycle.is_draining;
                for (guint i = machine->attempts->len; i-- > 0;) {
                    struct lmn_attempt *attempt =
                        &g_array_index(machine->attempts, struct lmn_attempt, i);
                    if (!attempt->must_stop)
                        continue;
                    assert_true(machine->lifecycle.is_draining);
                    uint32_t index = attempt->index;
                    stopped++;
                    lmn_attempt_uncount(machine, attempt);
                    g_array_remove_index_fast(machine->attempts, i);
                    lmn_task_requeue(core, range, index, then);
                }
            }
            assert_true(after <= before + 1);
            assert_true(after > before || !stopped);
            if (young || step == 10)
                assert_int_equal(after, before);
            /* What was stopped starts at once where it was seen to fit. */
            g_hash_table_iter_init(&it, partition->machines);
            while (g_hash_table_iter_next(&it, NULL, &v)) {
                struct lmn_machine *machine = v;
                GByteArray *out = g_byte_array_new();
                lmn_schedule_machine(core, machine, out, then);
                g_byte_array_unref(out);
                for (guint i = 0; i < machine->attempts->len; i++) {
                    struct lmn_attempt *attempt =
                        &g_array_index(machine->attempts, struct lmn_attempt, i);
                    attempt->state = LMN_ATTEMPT_RUNNING;
                    attempt->was_reported = true;
                }
            }
            assert_int_equal(range->started_count, all);
        }
        guint kept = 0;
        g_hash_table_iter_init(&it, partition->machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            kept += !((struct lmn_machine *)v)->lifecycle.is_draining;
        assert_true(kept < MACHINES);
        assert_true(8 * kept >= 2 * all);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(room_is_made),
        cmocka_unit_test(saving_takes_no_more_time_than_there_is),
        cmocka_unit_test(replicas_are_packed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
