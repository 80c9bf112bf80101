/* What is rented, over generated demands and limits. */
#include "scheduler/autoscaler.h"
#include "admission/connection_budget.h"
#include "state/core.h"
#include "state/watch_cache.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_team teams[3];
static struct lmn_settings cfg;
static struct lmn_machine_type types[] = {
    {.name = "small",
     .zones = {"a"},
     .zone_count = 1,
     .cpus = 8,
     .memory_gb = 64,
     .price_per_hour = 1,
     .spot_price_per_hour = 0.4,
     .boot_s = 20},
    {.name = "large",
     .zones = {"a", "b"},
     .zone_count = 2,
     .cpus = 32,
     .memory_gb = 256,
     .price_per_hour = 3.5,
     .spot_price_per_hour = 1.5,
     .boot_s = 40},
};
static struct lmn_job jobs[64];
static struct lmn_range ranges[64];

static struct lmn_core *make(GRand *r, int njobs)
{
    struct lmn_core *core;

    memset(&cfg, 0, sizeof cfg);
    cfg.partition_count = 3;
    memset(teams, 0, sizeof teams);
    cfg.teams = teams;
    cfg.team_count = 3;
    cfg.max_connections = 20000;
    cfg.heartbeat_s = 5;
    for (int i = 0; i < 3; i++) {
        g_snprintf(cfg.teams[i].name, LMN_NAME_SIZE, "team%d", i);
        /* One of the teams has no limit now and then. */
        cfg.teams[i].cpus_max =
            g_rand_int_range(r, 0, 4) ? 100.0 * g_rand_int_range(r, 1, 30) : 0;
    }
    core = lmn_core_alloc(&cfg, NULL, 1);
    memcpy(core->cloud.machine_types.types, types, sizeof types);
    core->cloud.machine_types.count = G_N_ELEMENTS(types);
    core->cloud.machine_types_known = true;
    for (int i = 0; i < njobs; i++) {
        struct lmn_job *job = &jobs[i];
        memset(job, 0, sizeof *job);
        job->team = g_rand_int_range(r, 0, 3);
        job->phase = LMN_JOB_ACTIVE;
        job->spec.kind = LMN_JOB_BATCH;
        job->spec.cpus = 1 << g_rand_int_range(r, 0, 4);
        job->spec.memory_gb = 2 * job->spec.cpus;
        job->spec.estimate_s = g_rand_int_range(r, 1, 200);
        job->spec.may_use_spot = g_rand_boolean(r);
        job->spec.tasks = (uint32_t)g_rand_int_range(r, 1, 400);
        ranges[i] = (struct lmn_range){.job = job, .end = job->spec.tasks};
        ranges[i].partition = &core->partitions[i % 3];
        ranges[i].key = g_strdup_printf("r/%d", i);
        g_hash_table_insert(core->partitions[i % 3].ranges, ranges[i].key, &ranges[i]);
    }
    return core;
}

/* What the teams could use at once, limits and horizon counted. */
static double usable(int njobs, double horizon, bool ordinary)
{
    double sum = 0;

    for (int t = 0; t < 3; t++) {
        double all = 0, bound = 0;
        for (int i = 0; i < njobs; i++) {
            const struct lmn_job_spec *spec = &jobs[i].spec;
            double n = MIN(spec->tasks,
                           MAX(spec->tasks * MAX(spec->estimate_s, 1) / horizon, 1));
            if (jobs[i].team != t)
                continue;
            all += n * spec->cpus;
            if (!spec->may_use_spot)
                bound += n * spec->cpus;
        }
        double limit = cfg.teams[t].cpus_max > 0 ? cfg.teams[t].cpus_max : 1e12;
        double part = all > limit ? limit / all : 1;
        sum += part * (ordinary ? bound : all);
    }
    return sum;
}

/* Found on a site with four times the machines and limits as they were: some 5,200
 * machines were kept where tasks could run on a third of their processors, and came and
 * went. */
static void no_more_than_limits_let_run(void **state)
{
    GRand *r = g_rand_new_with_seed(7);
    (void)state;

    for (int round = 0; round < 60; round++) {
        int n = g_rand_int_range(r, 0, 64);
        struct lmn_core *core = make(r, n);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler f;
        struct lmn_provision_request rental;
        double have = 0, ordinary = 0;
        int calls = 0;
        lmn_autoscaler_init(&f);
        while (lmn_autoscaler_decide(core, &f, &rental, now)) {
            assert_true(++calls < 10000);
            const struct lmn_machine_type *type =
                lmn_machine_type_by_name(core, rental.type);
            for (unsigned i = 0; i < rental.count; i++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d-%u", calls, i);
                g_strlcpy(machine->type, rental.type, LMN_NAME_SIZE);
                machine->is_spot = rental.is_spot;
                g_hash_table_insert(f.machines, machine->name, machine);
                have += type->cpus;
                ordinary += rental.is_spot ? 0 : type->cpus;
            }
        }
        double most = usable(n, core->cache.operator_settings.horizon_s, false);
        double most_ordinary = usable(n, core->cache.operator_settings.horizon_s, true);
        /* No less than what can run, and no more than that by half a machine of each
         * kind. */
        assert_true(have <= MAX(most, most_ordinary) + 2 * 32);
        assert_true(have >= most - 32);
        assert_true(ordinary >= most_ordinary - 32);
    }
    g_rand_free(r);
}

/* With few sockets, no more machines than can be heard, however much work waits; and none
 * while the node is behind. */
static void no_more_than_can_be_heard(void **state)
{
    GRand *r = g_rand_new_with_seed(8);
    (void)state;

    for (int round = 0; round < 40; round++) {
        struct lmn_core *core = make(r, 60);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler f;
        struct lmn_provision_request rental;
        double most;
        cfg.max_connections = 64 << g_rand_int_range(r, 0, 3);
        cfg.heartbeat_s = g_rand_double_range(r, 0.2, 2);
        for (int i = 0; i < 3; i++)
            cfg.teams[i].cpus_max = 0;
        lmn_connection_budget_init(&cfg, &core->connection_budget);
        most = lmn_connection_budget_max_machines(&core->connection_budget, &cfg);
        lmn_autoscaler_init(&f);
        core->load.delay_s = 3;
        assert_false(lmn_autoscaler_decide(core, &f, &rental, now));
        core->load.delay_s = 0;
        for (int calls = 0; lmn_autoscaler_decide(core, &f, &rental, now); calls++)
            for (unsigned i = 0; i < rental.count; i++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d-%u", calls, i);
                g_strlcpy(machine->type, rental.type, LMN_NAME_SIZE);
                g_hash_table_insert(f.machines, machine->name, machine);
            }
        assert_true(g_hash_table_size(f.machines) <= most);
        assert_true(g_hash_table_size(f.machines) > MIN(most, 100) - 2);
    }
    g_rand_free(r);
}

/* Long idle work rents cheap machines only, where these can be had at all; what is short
 * of machines besides it rents as ever. */
static void idle_work_rents_no_ordinary_machine(void **state)
{
    GRand *r = g_rand_new_with_seed(9);
    (void)state;

    for (int k = 0; k < 4; k++) {
        struct lmn_core *core = make(r, 2);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler f;
        struct lmn_provision_request rental;
        unsigned ordinary = 0, spot = 0;
        for (int i = 0; i < 2; i++) {
            cfg.teams[jobs[i].team].cpus_max = 0;
            jobs[i].spec.cpus = 8;
            jobs[i].spec.memory_gb = 16;
            jobs[i].spec.estimate_s = 300;
            jobs[i].spec.may_use_spot = true;
            jobs[i].spec.deadline_s = -1;
            jobs[i].spec.tasks = ranges[i].end = 40;
            jobs[i].spec.priority =
                i == 1 && k == 1 ? LMN_PRIORITY_HIGH : LMN_PRIORITY_IDLE;
        }
        lmn_autoscaler_init(&f);
        /* Five cheap machines, if any, are all there are. */
        for (int calls = 0; calls < 400; calls++) {
            now = lmn_time_add(now, 1);
            if (!lmn_autoscaler_decide(core, &f, &rental, now))
                continue;
            unsigned got = !rental.is_spot       ? rental.count
                           : k == 2 || spot >= 5 ? 0
                                                 : MIN(rental.count, 5 - spot);
            lmn_autoscaler_record_result(&f, &rental, got, now);
            for (unsigned i = 0; i < got; i++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d-%u", calls, i);
                g_strlcpy(machine->type, rental.type, LMN_NAME_SIZE);
                machine->is_spot = rental.is_spot;
                g_hash_table_insert(f.machines, machine->name, machine);
            }
            spot += rental.is_spot ? got : 0;
            ordinary +=
                rental.is_spot
                    ? 0
                    : got * (unsigned)lmn_machine_type_by_name(core, rental.type)->cpus;
        }
        assert_int_equal(spot, k == 2 ? 0 : 5);
        assert_int_equal(ordinary > 0, k == 1 || k == 2);
        if (k == 1) /* processors for the other job, and not for both */
            assert_in_range(ordinary, 40 * 8 - 5 * 32, 40 * 8 + 32);
    }
    g_rand_free(r);
}

/* A few machines are late, or never come: others are rented in their place, and no more
 * than that. Where most of a kind are late, as when the cloud is slow, none are; and
 * patience follows what was seen, not what the type says alone. */
static void late_boots_are_replaced(void **state)
{
    GRand *r = g_rand_new_with_seed(10);
    (void)state;

    for (int k = 0; k < 3; k++) {
        struct lmn_core *core = make(r, 1);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler f;
        struct lmn_provision_request rental;
        GHashTableIter it;
        gpointer v;
        int n = 0, late = k == 0 ? 3 : 20;
        unsigned more = 0;
        cfg.teams[jobs[0].team].cpus_max = 0;
        cfg.list_lag_s = 4;
        jobs[0].spec.cpus = 8;
        jobs[0].spec.memory_gb = 16;
        jobs[0].spec.may_use_spot = false;
        jobs[0].spec.estimate_s = 300;
        jobs[0].spec.tasks = ranges[0].end = 30;
        g_strlcpy(core->cloud.machine_types.types[0].zones[0], "a", LMN_NAME_SIZE);
        core->cloud.machine_types.count = 1;
        lmn_autoscaler_init(&f);
        for (int i = 0; i < 30; i++) {
            struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
            g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d", i);
            g_strlcpy(machine->type, "small", LMN_NAME_SIZE);
            g_strlcpy(machine->zone, "a", LMN_NAME_SIZE);
            machine->provisioned_at = now;
            machine->is_booting = i < late;
            g_hash_table_insert(f.machines, machine->name, machine);
        }
        for (int i = 0; k == 2 && i < 20; i++) /* they take long here */
            lmn_autoscaler_record_boot(&f, g_hash_table_lookup(f.machines, "m-25"), 200);
        now = lmn_time_add(now, 30);
        assert_false(lmn_autoscaler_decide(core, &f, &rental, now));
        now = lmn_time_add(now, 20);
        while (lmn_autoscaler_decide(core, &f, &rental, now) && ++n < 100)
            for (unsigned i = 0; i < rental.count; i++, more++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "n-%u", more);
                g_strlcpy(machine->type, "small", LMN_NAME_SIZE);
                g_strlcpy(machine->zone, "a", LMN_NAME_SIZE);
                machine->provisioned_at = now;
                machine->is_booting = true;
                g_hash_table_insert(f.machines, machine->name, machine);
            }
        assert_int_equal(more, k == 0 ? 3 : 0);
        /* They do come: what is too much goes back by itself. */
        g_hash_table_iter_init(&it, f.machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            ((struct lmn_cloud_machine *)v)->is_booting = false;
        assert_false(lmn_autoscaler_decide(core, &f, &rental, now));
        assert_true(lmn_autoscaler_boot_timeout_s(&f, &core->cloud.machine_types.types[0],
                                                  "a", 4) > (k == 2 ? 250 : 30));
    }
    g_rand_free(r);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(no_more_than_limits_let_run),
        cmocka_unit_test(no_more_than_can_be_heard),
        cmocka_unit_test(late_boots_are_replaced),
        cmocka_unit_test(idle_work_rents_no_ordinary_machine),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
