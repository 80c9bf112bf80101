/* Preemption for production tasks, and consolidation of replicas. */
#include "queue/fixture.h"

#include "scheduler/consolidation.h"
#include "scheduler/preemption.h"
#include "scheduler/queue.h"
#include "partition/range.h"
#include "state/task_ledger.h"

/* Adds a running attempt of the range's task `index` to the machine. */
static struct lmn_attempt *add_running_attempt(struct lmn_machine *machine,
                                               struct lmn_range *range, uint32_t index)
{
    struct lmn_attempt attempt = {.job = range->job,
                                  .range = range,
                                  .index = index,
                                  .number = index + 1,
                                  .state = LMN_ATTEMPT_RUNNING,
                                  .was_reported = true,
                                  .in_last_heartbeat = true,
                                  .started_at = now};

    range->task_states[index - range->first] = LMN_TASK_STARTED;
    range->started_count++;
    lmn_attempt_count(machine, &attempt);
    g_array_append_val(machine->attempts, attempt);
    return &g_array_index(machine->attempts, struct lmn_attempt,
                          machine->attempts->len - 1);
}

/* All machines are full when a production task waits. Only tasks of lower priority are
 * preempted, no more of them than the task needs, and other waiting tasks of lower
 * priority do not get the freed capacity. */
static void preemption_stops_only_what_one_task_needs(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        fixture_set_up(seed);
        struct lmn_partition *partition = &core->partitions[0];
        GHashTableIter iter;
        gpointer value;
        struct lmn_range *production = jobs[3].ranges->pdata[0],
                         *low = jobs[4].ranges->pdata[0];
        struct lmn_range *same_priority = jobs[7].ranges->pdata[0];
        uint32_t next_index = 0, machine_number = 0;
        core->cache.fresh_at = now;
        jobs[4].spec.priority = LMN_PRIORITY_NORMAL;
        jobs[4].spec.cpus = jobs[7].spec.cpus = 2;
        jobs[3].spec.cpus = 4;
        jobs[3].spec.may_use_spot = true;
        jobs[4].spec.tasks = jobs[7].spec.tasks = 200;
        low->end = same_priority->end = 200;
        low->done = g_malloc0(32);
        same_priority->done = g_malloc0(32);
        lmn_range_open(core, low);
        lmn_range_open(core, same_priority);
        low->is_assigned = same_priority->is_assigned = production->is_assigned = true;
        g_hash_table_iter_init(&iter, partition->machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            struct lmn_machine *machine = value;
            machine->agent.last_heartbeat_at = now;
            /* Two to six of each machine's eight processors are used by a job of the same
             * priority. */
            uint32_t same_priority_count = 1 + (seed + machine_number++) % 3;
            for (uint32_t i = 0; i < 4; i++)
                add_running_attempt(
                    machine, i < same_priority_count ? same_priority : low, next_index++);
        }
        lmn_queue_add(&partition->scheduling.unassigned, production, 0, 1);
        lmn_preempt_for_production(core, partition, now);
        guint stopped = 0;
        struct lmn_machine *preempting_machine = NULL;
        g_hash_table_iter_init(&iter, partition->machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            struct lmn_machine *machine = value;
            for (guint i = 0; i < machine->attempts->len; i++) {
                const struct lmn_attempt *attempt =
                    &g_array_index(machine->attempts, struct lmn_attempt, i);
                assert_true(!attempt->must_stop || attempt->job == &jobs[4]);
                stopped += attempt->must_stop;
                preempting_machine = attempt->must_stop ? machine : preempting_machine;
            }
        }
        assert_int_equal(stopped, 2);
        if (!preempting_machine) {
            fail_msg("no attempt is marked to be stopped on any of %d machines",
                     MACHINES);
            return;
        }
        assert_int_equal(preempting_machine->reservation.preemption_tasks, 1);
        assert_int_equal(partition->scheduling.unassigned.task_count, 0);
        /* A second call preempts nothing more for the same task. */
        lmn_preempt_for_production(core, partition, lmn_time_add(now, 1));
        assert_int_equal(core->counters.preempted, 1);
        /* The capacity of the first victim to end stays free until the second has ended.
         */
        lmn_queue_add(&preempting_machine->queue, low, 199, 200);
        for (int ended_victims = 0; ended_victims < 2; ended_victims++) {
            GByteArray *commands = g_byte_array_new();
            for (guint i = 0; i < preempting_machine->attempts->len; i++) {
                struct lmn_attempt *attempt =
                    &g_array_index(preempting_machine->attempts, struct lmn_attempt, i);
                if (!attempt->must_stop || attempt->state == LMN_ATTEMPT_ENDED)
                    continue;
                lmn_attempt_uncount(preempting_machine, attempt);
                attempt->state = LMN_ATTEMPT_ENDED;
                break;
            }
            assert_int_equal(
                lmn_schedule_machine(core, preempting_machine, commands, now),
                ended_victims);
            g_byte_array_unref(commands);
        }
        assert_int_equal(production->started_count, 1);
        assert_int_equal(preempting_machine->reservation.preemption_tasks, 0);
    }
}

/* A victim gets time to save its checkpoint only if that takes at most half of the time
 * within which the waiting task should start. With a start objective of 5 s, saving for 3
 * s before an image fetch made most starts late. */
static void victims_save_only_if_the_waiting_task_has_time(void **state)
{
    (void)state;
    for (int has_start_objective = 0; has_start_objective < 2; has_start_objective++) {
        fixture_set_up(1);
        struct lmn_partition *partition = &core->partitions[0];
        struct lmn_range *production = jobs[3].ranges->pdata[0],
                         *low = jobs[4].ranges->pdata[0];
        GHashTableIter iter;
        gpointer value;
        uint32_t next_index = 0;
        guint stopped = 0;
        core->cache.fresh_at = now;
        core->cache.is_synced = true;
        if (has_start_objective) {
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
        g_hash_table_iter_init(&iter, partition->machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            ((struct lmn_machine *)value)->agent.last_heartbeat_at = now;
            add_running_attempt(value, low, next_index++);
        }
        lmn_queue_add(&partition->scheduling.unassigned, production, 0, 1);
        lmn_preempt_for_production(core, partition, now);
        g_hash_table_iter_init(&iter, partition->machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const struct lmn_attempt *attempt = &g_array_index(
                ((struct lmn_machine *)value)->attempts, struct lmn_attempt, 0);
            stopped += attempt->must_stop;
            if (attempt->must_stop)
                assert_true(attempt->grace_s == (has_start_objective ? 0 : 4));
        }
        assert_int_equal(stopped, 1);
    }
}

/* Replicas that are scattered over many machines are moved to fewer, one machine at a
 * time, and only if all replicas of that machine fit elsewhere. None moves while a task
 * waits, or less than 35 s after its start. */
static void replicas_move_to_fewer_machines(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        fixture_set_up(seed);
        struct lmn_partition *partition = &core->partitions[0];
        struct lmn_range *range = jobs[3].ranges->pdata[0];
        struct timespec step_time = now;
        GHashTableIter iter;
        gpointer value;
        uint32_t next_index = 0;
        core->cache.is_synced = true;
        jobs[3].spec.kind = LMN_JOB_SERVICE;
        jobs[3].spec.cpus = 2;
        jobs[3].spec.tasks = range->end = 40;
        range->done = g_malloc0(8);
        lmn_range_open(core, range);
        range->is_assigned = true;
        settings.heartbeat_s = 1;
        g_hash_table_iter_init(&iter, partition->machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            struct lmn_machine *machine = value;
            machine->is_spot = false;
            lmn_machine_record_image(machine, &jobs[3], true, now);
            for (uint32_t i = 0, replica_count = 1 + (seed + next_index) % 2;
                 i < replica_count; i++)
                add_running_attempt(machine, range, next_index++);
        }
        uint32_t replicas = next_index;
        for (int step = 0; step < 40; step++) {
            step_time = lmn_time_add(step_time, 5);
            core->cache.fresh_at = step_time;
            bool is_before_settling = step < 6;
            guint draining_before = 0, draining_after = 0, stopped = 0;
            g_hash_table_iter_init(&iter, partition->machines);
            while (g_hash_table_iter_next(&iter, NULL, &value)) {
                draining_before += ((struct lmn_machine *)value)->lifecycle.is_draining;
                ((struct lmn_machine *)value)->agent.last_heartbeat_at = step_time;
            }
            if (step == 10)
                lmn_queue_add(&partition->scheduling.unassigned, jobs[5].ranges->pdata[0],
                              0, 1);
            if (step == 11)
                lmn_queue_clear(&partition->scheduling.unassigned);
            lmn_consolidate_replicas(core, partition, step_time);
            g_hash_table_iter_init(&iter, partition->machines);
            while (g_hash_table_iter_next(&iter, NULL, &value)) {
                struct lmn_machine *machine = value;
                draining_after += machine->lifecycle.is_draining;
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
                    lmn_task_requeue(core, range, index, step_time);
                }
            }
            assert_true(draining_after <= draining_before + 1);
            assert_true(draining_after > draining_before || !stopped);
            if (is_before_settling || step == 10)
                assert_int_equal(draining_after, draining_before);
            /* Stopped replicas start again at once, on machines where they fit. */
            g_hash_table_iter_init(&iter, partition->machines);
            while (g_hash_table_iter_next(&iter, NULL, &value)) {
                struct lmn_machine *machine = value;
                GByteArray *commands = g_byte_array_new();
                lmn_schedule_machine(core, machine, commands, step_time);
                g_byte_array_unref(commands);
                for (guint i = 0; i < machine->attempts->len; i++) {
                    struct lmn_attempt *attempt =
                        &g_array_index(machine->attempts, struct lmn_attempt, i);
                    attempt->state = LMN_ATTEMPT_RUNNING;
                    attempt->was_reported = true;
                }
            }
            assert_int_equal(range->started_count, replicas);
        }
        guint kept_machines = 0;
        g_hash_table_iter_init(&iter, partition->machines);
        while (g_hash_table_iter_next(&iter, NULL, &value))
            kept_machines += !((struct lmn_machine *)value)->lifecycle.is_draining;
        assert_true(kept_machines < MACHINES);
        assert_true(8 * kept_machines >= 2 * replicas);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(preemption_stops_only_what_one_task_needs),
        cmocka_unit_test(victims_save_only_if_the_waiting_task_has_time),
        cmocka_unit_test(replicas_move_to_fewer_machines),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
