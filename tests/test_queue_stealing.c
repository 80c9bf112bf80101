/* Stealing between queues, and the messages of steals between partitions. */
#include "queue/fixture.h"

#include "scheduler/queue.h"
#include "partition/range.h"
#include "state/task_ledger.h"
#include "controller_rpc.h"

#include <math.h>
#include <string.h>

/* The interval doubles with each failure up to its cap, and new work resets it. */
static void interval_doubles(void **state)
{
    (void)state;
    fixture_begin(5);
    struct lmn_machine *m = g_hash_table_lookup(core->partitions[0].machines, "m-1");
    double last = 0;

    for (int i = 0; i < 20; i++) {
        now = m->stealing.next_at.tv_sec ? lmn_time_add(m->stealing.next_at, 0.01) : now;
        assert_false(lmn_steal_for_machine(core, m, now));
        assert_true(last == 0 ||
                    m->stealing.interval_s ==
                        fmin(last * 2, core->cache.operator_settings.poll_cap_s));
        last = m->stealing.interval_s;
    }
    assert_true(last == core->cache.operator_settings.poll_cap_s);
    lmn_assign_tasks(core, jobs[2].ranges->pdata[0], 0, jobs[2].spec.tasks, now);
    struct lmn_machine *dealt = NULL;
    for (int i = 0; i < MACHINES && !dealt; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        struct lmn_machine *o = g_hash_table_lookup(core->partitions[0].machines, name);
        if (o->queue.task_count)
            dealt = o;
    }
    assert_non_null(dealt);
    assert_true(dealt->stealing.interval_s == 0);
}

/* Found so: the last tasks of nearly every job waited for minutes in the queue of a
 * machine that was busy for long, while machines with work of their own started what came
 * much later. */
static void urgent_first_across_queues(void **state)
{
    (void)state;
    fixture_begin(4);
    struct lmn_partition *partition = &core->partitions[0];
    struct lmn_machine *busy = g_hash_table_lookup(partition->machines, "m-0");
    struct lmn_machine *machine = g_hash_table_lookup(partition->machines, "m-3");
    struct lmn_job *early = &jobs[0], *late = &jobs[1];
    GByteArray *out = g_byte_array_new();

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
    lmn_queue_add(&busy->queue, early->ranges->pdata[0], 0, 1);
    lmn_queue_add(&machine->queue, late->ranges->pdata[0], 0, 1);
    assert_int_equal(lmn_schedule_machine(core, machine, out, now), 1);
    assert_ptr_equal(g_array_index(machine->attempts, struct lmn_attempt, 0).job, early);
    assert_int_equal(busy->queue.task_count, 0);
    assert_int_equal(machine->queue.task_count, 1);
    /* What is no more urgent stays where it was dealt. */
    lmn_machine_requeue_tasks(core, machine, "again", now);
    lmn_queue_clear(&busy->queue);
    lmn_queue_clear(&machine->queue);
    late->latest_start_s = early->latest_start_s - 1;
    lmn_queue_add(&busy->queue, early->ranges->pdata[0], 0, 1);
    lmn_queue_add(&machine->queue, late->ranges->pdata[0], 0, 1);
    assert_int_equal(lmn_schedule_machine(core, machine, out, now), 1);
    assert_ptr_equal(g_array_index(machine->attempts, struct lmn_attempt, 0).job, late);
    assert_int_equal(busy->queue.task_count, 1);
    g_byte_array_free(out, TRUE);
}

/* Messages between processes: as they went in, and hostile bytes without a crash. */
static void xdr(void **state)
{
    GRand *r = g_rand_new_with_seed(9);
    (void)state;

    for (int i = 0; i < 500; i++) {
        char bytes[4096];
        struct lmn_rpc_capacity rooms[5];
        struct lmn_rpc_team_quota teams[3];
        struct lmn_rpc_steal_request q = {1,
                                          2,
                                          {(u_int)g_rand_int_range(r, 0, 6), rooms},
                                          {3, teams}},
                                     back;
        XDR x;
        for (int k = 0; k < 5; k++)
            rooms[k] = (struct lmn_rpc_capacity){
                (char *)"type", (char *)"zone", k % 2, g_rand_double(r), 0, 1};
        for (int k = 0; k < 3; k++)
            teams[k] = (struct lmn_rpc_team_quota){(char *)"team", k, g_rand_double(r)};
        xdrmem_create(&x, bytes, sizeof bytes, XDR_ENCODE);
        assert_true(xdr_lmn_rpc_steal_request(&x, &q));
        u_int len = xdr_getpos(&x);
        memset(&back, 0, sizeof back);
        xdrmem_create(&x, bytes, len, XDR_DECODE);
        assert_true(xdr_lmn_rpc_steal_request(&x, &back));
        assert_int_equal(back.capacities.capacities_len, q.capacities.capacities_len);
        for (u_int k = 0; k < q.capacities.capacities_len; k++)
            assert_true(back.capacities.capacities_val[k].cpus == rooms[k].cpus);
        xdr_free((xdrproc_t)xdr_lmn_rpc_steal_request, (char *)&back);
        bytes[g_rand_int_range(r, 0, (gint32)len)] ^=
            (char)(1 + g_rand_int_range(r, 0, 255));
        memset(&back, 0, sizeof back);
        xdrmem_create(&x, bytes, (u_int)g_rand_int_range(r, 0, (gint32)len + 1),
                      XDR_DECODE);
        xdr_lmn_rpc_steal_request(&x, &back);
        xdr_free((xdrproc_t)xdr_lmn_rpc_steal_request, (char *)&back);
    }
    g_rand_free(r);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(interval_doubles),
        cmocka_unit_test(urgent_first_across_queues),
        cmocka_unit_test(xdr),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
