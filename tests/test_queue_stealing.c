/* Stealing between queues, and the XDR encoding of steal requests between partitions. */
#include "queue/fixture.h"

#include "scheduler/queue.h"
#include "partition/range.h"
#include "state/task_ledger.h"
#include "controller_rpc.h"

#include <math.h>
#include <string.h>

/* The steal interval doubles with each failure up to its cap; an assignment of tasks to
 * the machine resets it. */
static void steal_interval_doubles_and_new_tasks_reset_it(void **state)
{
    (void)state;
    fixture_set_up(5);
    struct lmn_machine *machine =
        g_hash_table_lookup(core->partitions[0].machines, "m-1");
    double last_interval_s = 0;

    for (int i = 0; i < 20; i++) {
        now = machine->stealing.next_at.tv_sec
                  ? lmn_time_add(machine->stealing.next_at, 0.01)
                  : now;
        assert_false(lmn_steal_for_machine(core, machine, now));
        assert_true(
            last_interval_s == 0 ||
            machine->stealing.interval_s ==
                fmin(last_interval_s * 2, core->cache.operator_settings.poll_cap_s));
        last_interval_s = machine->stealing.interval_s;
    }
    assert_true(last_interval_s == core->cache.operator_settings.poll_cap_s);
    lmn_assign_tasks(core, jobs[2].ranges->pdata[0], 0, jobs[2].spec.tasks, now);
    struct lmn_machine *assigned_machine = NULL;
    for (int i = 0; i < MACHINES && !assigned_machine; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        struct lmn_machine *other_machine =
            g_hash_table_lookup(core->partitions[0].machines, name);
        if (other_machine->queue.task_count)
            assigned_machine = other_machine;
    }
    assert_non_null(assigned_machine);
    assert_true(assigned_machine->stealing.interval_s == 0);
}

/* Guards against the last tasks of a job waiting for minutes in the queue of a machine
 * that stays busy, while other machines start jobs of their own queues that came much
 * later. */
static void machine_starts_most_urgent_task_of_all_sampled_queues(void **state)
{
    (void)state;
    fixture_set_up(4);
    struct lmn_partition *partition = &core->partitions[0];
    struct lmn_machine *busy = g_hash_table_lookup(partition->machines, "m-0");
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, "m-3");
    struct lmn_job *urgent_job = &jobs[0], *later_job = &jobs[1];
    GByteArray *commands = g_byte_array_new();

    core->cache.operator_settings.sample = MACHINES;
    for (int i = 0; i < 2; i++) {
        jobs[i].spec.priority = LMN_PRIORITY_NORMAL;
        jobs[i].spec.zone = NULL;
        jobs[i].spec.may_use_spot = true;
        jobs[i].spec.cpus = 8;
        jobs[i].spec.tasks = 1;
        jobs[i].has_missed_objective = jobs[i].is_deferred = jobs[i].is_within_guarantee =
            false;
        jobs[i].latest_start_s = 1000 + i;
    }
    lmn_queue_add(&busy->queue, urgent_job->ranges->pdata[0], 0, 1);
    lmn_queue_add(&machine->queue, later_job->ranges->pdata[0], 0, 1);
    assert_int_equal(lmn_schedule_machine(core, machine, commands, now), 1);
    assert_ptr_equal(g_array_index(machine->attempts, struct lmn_attempt, 0).job,
                     urgent_job);
    assert_int_equal(busy->queue.task_count, 0);
    assert_int_equal(machine->queue.task_count, 1);
    /* A task that is less urgent than those of the machine's own queue is not stolen. */
    lmn_machine_requeue_tasks(core, machine, "requeued by the test", now);
    lmn_queue_clear(&busy->queue);
    lmn_queue_clear(&machine->queue);
    later_job->latest_start_s = urgent_job->latest_start_s - 1;
    lmn_queue_add(&busy->queue, urgent_job->ranges->pdata[0], 0, 1);
    lmn_queue_add(&machine->queue, later_job->ranges->pdata[0], 0, 1);
    assert_int_equal(lmn_schedule_machine(core, machine, commands, now), 1);
    assert_ptr_equal(g_array_index(machine->attempts, struct lmn_attempt, 0).job,
                     later_job);
    assert_int_equal(busy->queue.task_count, 1);
    g_byte_array_free(commands, TRUE);
}

/* Steal requests are decoded as they were encoded; truncated or changed bytes do not
 * crash the decoder. */
static void steal_request_xdr_round_trip_and_damaged_bytes(void **state)
{
    GRand *generator = g_rand_new_with_seed(9);
    (void)state;

    for (int i = 0; i < 500; i++) {
        char bytes[4096];
        struct lmn_rpc_capacity capacities[5];
        struct lmn_rpc_team_quota teams[3];
        struct lmn_rpc_steal_request request = {1,
                                                2,
                                                {(u_int)g_rand_int_range(generator, 0, 6),
                                                 capacities},
                                                {3, teams}},
                                     decoded;
        XDR xdr;
        for (int k = 0; k < 5; k++)
            capacities[k] = (struct lmn_rpc_capacity){
                (char *)"type", (char *)"zone", k % 2, g_rand_double(generator), 0, 1};
        for (int k = 0; k < 3; k++)
            teams[k] =
                (struct lmn_rpc_team_quota){(char *)"team", k, g_rand_double(generator)};
        xdrmem_create(&xdr, bytes, sizeof bytes, XDR_ENCODE);
        assert_true(xdr_lmn_rpc_steal_request(&xdr, &request));
        u_int length = xdr_getpos(&xdr);
        memset(&decoded, 0, sizeof decoded);
        xdrmem_create(&xdr, bytes, length, XDR_DECODE);
        assert_true(xdr_lmn_rpc_steal_request(&xdr, &decoded));
        assert_int_equal(decoded.capacities.capacities_len,
                         request.capacities.capacities_len);
        for (u_int k = 0; k < request.capacities.capacities_len; k++)
            assert_true(decoded.capacities.capacities_val[k].cpus == capacities[k].cpus);
        xdr_free((xdrproc_t)xdr_lmn_rpc_steal_request, (char *)&decoded);
        bytes[g_rand_int_range(generator, 0, (gint32)length)] ^=
            (char)(1 + g_rand_int_range(generator, 0, 255));
        memset(&decoded, 0, sizeof decoded);
        xdrmem_create(&xdr, bytes,
                      (u_int)g_rand_int_range(generator, 0, (gint32)length + 1),
                      XDR_DECODE);
        xdr_lmn_rpc_steal_request(&xdr, &decoded);
        xdr_free((xdrproc_t)xdr_lmn_rpc_steal_request, (char *)&decoded);
    }
    g_rand_free(generator);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(steal_interval_doubles_and_new_tasks_reset_it),
        cmocka_unit_test(machine_starts_most_urgent_task_of_all_sampled_queues),
        cmocka_unit_test(steal_request_xdr_round_trip_and_damaged_bytes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
