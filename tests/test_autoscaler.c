/* Which machines the autoscaler provisions for random demands and limits. */
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

/* Tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_team teams[3];
static struct lmn_settings settings;
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

/* Sets up a core of three partitions and three teams with random jobs and limits. */
static struct lmn_core *set_up(GRand *generator, int job_count)
{
    struct lmn_core *core;

    memset(&settings, 0, sizeof settings);
    settings.partition_count = 3;
    memset(teams, 0, sizeof teams);
    settings.teams = teams;
    settings.team_count = 3;
    settings.max_connections = 20000;
    settings.heartbeat_s = 5;
    for (int i = 0; i < 3; i++) {
        g_snprintf(settings.teams[i].name, LMN_NAME_SIZE, "team%d", i);
        /* A team has no limit with a probability of 1/4. */
        settings.teams[i].cpus_max = g_rand_int_range(generator, 0, 4)
                                         ? 100.0 * g_rand_int_range(generator, 1, 30)
                                         : 0;
    }
    core = lmn_core_alloc(&settings, NULL, 1);
    memcpy(core->cloud.machine_types.types, types, sizeof types);
    core->cloud.machine_types.count = G_N_ELEMENTS(types);
    core->cloud.machine_types_known = true;
    for (int i = 0; i < job_count; i++) {
        struct lmn_job *job = &jobs[i];
        memset(job, 0, sizeof *job);
        job->team = g_rand_int_range(generator, 0, 3);
        job->phase = LMN_JOB_ACTIVE;
        job->spec.kind = LMN_JOB_BATCH;
        job->spec.cpus = 1 << g_rand_int_range(generator, 0, 4);
        job->spec.memory_gb = 2 * job->spec.cpus;
        job->spec.estimate_s = g_rand_int_range(generator, 1, 200);
        job->spec.may_use_spot = g_rand_boolean(generator);
        job->spec.tasks = (uint32_t)g_rand_int_range(generator, 1, 400);
        ranges[i] = (struct lmn_range){.job = job, .end = job->spec.tasks};
        ranges[i].partition = &core->partitions[i % 3];
        ranges[i].key = g_strdup_printf("r/%d", i);
        g_hash_table_insert(core->partitions[i % 3].ranges, ranges[i].key, &ranges[i]);
    }
    return core;
}

/* Processors that the teams' tasks could use at the same time, within the horizon and the
 * limits; with `only_ordinary`, the part that may not use spot instances. */
static double usable_cpus(int job_count, double horizon_s, bool only_ordinary)
{
    double sum = 0;

    for (int team = 0; team < 3; team++) {
        double all_cpus = 0, ordinary_cpus = 0;
        for (int i = 0; i < job_count; i++) {
            const struct lmn_job_spec *spec = &jobs[i].spec;
            double tasks = MIN(
                spec->tasks, MAX(spec->tasks * MAX(spec->estimate_s, 1) / horizon_s, 1));
            if (jobs[i].team != team)
                continue;
            all_cpus += tasks * spec->cpus;
            if (!spec->may_use_spot)
                ordinary_cpus += tasks * spec->cpus;
        }
        double limit =
            settings.teams[team].cpus_max > 0 ? settings.teams[team].cpus_max : 1e12;
        double factor = all_cpus > limit ? limit / all_cpus : 1;
        sum += factor * (only_ordinary ? ordinary_cpus : all_cpus);
    }
    return sum;
}

/* Guards against provisioning for tasks that the quota limits do not let run: on a site
 * with four times the machines and unchanged limits, some 5,200 machines were kept
 * although tasks could use only a third of their processors, and machines were
 * provisioned and returned over and over. */
static void provisions_what_quota_limits_let_run(void **state)
{
    GRand *generator = g_rand_new_with_seed(7);
    (void)state;

    for (int round = 0; round < 60; round++) {
        int job_count = g_rand_int_range(generator, 0, 64);
        struct lmn_core *core = set_up(generator, job_count);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler autoscaler;
        struct lmn_provision_request request;
        double cpus = 0, ordinary_cpus = 0;
        int calls = 0;
        lmn_autoscaler_init(&autoscaler);
        while (lmn_autoscaler_decide(core, &autoscaler, &request, now)) {
            assert_true(++calls < 10000);
            const struct lmn_machine_type *type =
                lmn_machine_type_by_name(core, request.type);
            for (unsigned i = 0; i < request.count; i++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d-%u", calls, i);
                g_strlcpy(machine->type, request.type, LMN_NAME_SIZE);
                machine->is_spot = request.is_spot;
                g_hash_table_insert(autoscaler.machines, machine->name, machine);
                cpus += type->cpus;
                ordinary_cpus += request.is_spot ? 0 : type->cpus;
            }
        }
        double horizon_s = core->cache.operator_settings.horizon_s;
        double max_cpus = usable_cpus(job_count, horizon_s, false);
        double max_ordinary_cpus = usable_cpus(job_count, horizon_s, true);
        /* Rounding to whole machines is off by at most half a machine of each type and
         * price model; the bounds allow for one or two of the largest machines (32
         * processors). */
        assert_true(cpus <= MAX(max_cpus, max_ordinary_cpus) + 2 * 32);
        assert_true(cpus >= max_cpus - 32);
        assert_true(ordinary_cpus >= max_ordinary_cpus - 32);
    }
    g_rand_free(generator);
}

/* However many tasks wait, no more machines are provisioned than the controllers can
 * accept connections from, and none while the controller is late in handling heartbeats.
 */
static void provisions_no_more_machines_than_connections(void **state)
{
    GRand *generator = g_rand_new_with_seed(8);
    (void)state;

    for (int round = 0; round < 40; round++) {
        struct lmn_core *core = set_up(generator, 60);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler autoscaler;
        struct lmn_provision_request request;
        double max_machines;
        settings.max_connections = 64 << g_rand_int_range(generator, 0, 3);
        settings.heartbeat_s = g_rand_double_range(generator, 0.2, 2);
        for (int i = 0; i < 3; i++)
            settings.teams[i].cpus_max = 0;
        lmn_connection_budget_init(&settings, &core->connection_budget);
        max_machines =
            lmn_connection_budget_max_machines(&core->connection_budget, &settings);
        lmn_autoscaler_init(&autoscaler);
        core->load.delay_s = 3;
        assert_false(lmn_autoscaler_decide(core, &autoscaler, &request, now));
        core->load.delay_s = 0;
        for (int calls = 0; lmn_autoscaler_decide(core, &autoscaler, &request, now);
             calls++)
            for (unsigned i = 0; i < request.count; i++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d-%u", calls, i);
                g_strlcpy(machine->type, request.type, LMN_NAME_SIZE);
                g_hash_table_insert(autoscaler.machines, machine->name, machine);
            }
        assert_true(g_hash_table_size(autoscaler.machines) <= max_machines);
        assert_true(g_hash_table_size(autoscaler.machines) > MIN(max_machines, 100) - 2);
    }
    g_rand_free(generator);
}

/* For long idle tasks only spot instances are provisioned, if the cloud has any. Jobs of
 * other priorities get ordinary machines as before. */
static void long_idle_jobs_get_spot_instances_only(void **state)
{
    GRand *generator = g_rand_new_with_seed(9);
    (void)state;

    enum { ALL_IDLE, WITH_URGENT_JOB, NO_SPOT_INSTANCES, ALL_IDLE_AGAIN, CASES };
    for (int variant = 0; variant < CASES; variant++) {
        struct lmn_core *core = set_up(generator, 2);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler autoscaler;
        struct lmn_provision_request request;
        unsigned ordinary_cpus = 0, spot_machines = 0;
        for (int i = 0; i < 2; i++) {
            settings.teams[jobs[i].team].cpus_max = 0;
            jobs[i].spec.cpus = 8;
            jobs[i].spec.memory_gb = 16;
            jobs[i].spec.estimate_s = 300;
            jobs[i].spec.may_use_spot = true;
            jobs[i].spec.deadline_s = -1;
            jobs[i].spec.tasks = ranges[i].end = 40;
            jobs[i].spec.priority = i == 1 && variant == WITH_URGENT_JOB
                                        ? LMN_PRIORITY_HIGH
                                        : LMN_PRIORITY_IDLE;
        }
        lmn_autoscaler_init(&autoscaler);
        /* The cloud has five spot instances, or none. */
        for (int calls = 0; calls < 400; calls++) {
            now = lmn_time_add(now, 1);
            if (!lmn_autoscaler_decide(core, &autoscaler, &request, now))
                continue;
            unsigned granted = !request.is_spot ? request.count
                               : variant == NO_SPOT_INSTANCES || spot_machines >= 5
                                   ? 0
                                   : MIN(request.count, 5 - spot_machines);
            lmn_autoscaler_record_result(&autoscaler, &request, granted, now);
            for (unsigned i = 0; i < granted; i++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d-%u", calls, i);
                g_strlcpy(machine->type, request.type, LMN_NAME_SIZE);
                machine->is_spot = request.is_spot;
                g_hash_table_insert(autoscaler.machines, machine->name, machine);
            }
            spot_machines += request.is_spot ? granted : 0;
            ordinary_cpus +=
                request.is_spot
                    ? 0
                    : granted *
                          (unsigned)lmn_machine_type_by_name(core, request.type)->cpus;
        }
        assert_int_equal(spot_machines, variant == NO_SPOT_INSTANCES ? 0 : 5);
        assert_int_equal(ordinary_cpus > 0,
                         variant == WITH_URGENT_JOB || variant == NO_SPOT_INSTANCES);
        if (variant == WITH_URGENT_JOB) /* processors for the urgent job only */
            assert_in_range(ordinary_cpus, 40 * 8 - 5 * 32, 40 * 8 + 32);
    }
    g_rand_free(generator);
}

/* If few machines of a type are late in booting, as many replacements are provisioned. If
 * most are late, because the cloud is slow, none are. The boot timeout also depends on
 * observed boot times. */
static void few_late_machines_are_replaced(void **state)
{
    GRand *generator = g_rand_new_with_seed(10);
    (void)state;

    enum { FEW_LATE, MANY_LATE, MANY_LATE_AFTER_SLOW_BOOTS, CASES };
    for (int variant = 0; variant < CASES; variant++) {
        struct lmn_core *core = set_up(generator, 1);
        struct timespec now = {1000, 0};
        struct lmn_autoscaler autoscaler;
        struct lmn_provision_request request;
        GHashTableIter iter;
        gpointer value;
        int decisions = 0, late_count = variant == FEW_LATE ? 3 : 20;
        unsigned replacements = 0;
        settings.teams[jobs[0].team].cpus_max = 0;
        settings.list_lag_s = 4;
        jobs[0].spec.cpus = 8;
        jobs[0].spec.memory_gb = 16;
        jobs[0].spec.may_use_spot = false;
        jobs[0].spec.estimate_s = 300;
        jobs[0].spec.tasks = ranges[0].end = 30;
        g_strlcpy(core->cloud.machine_types.types[0].zones[0], "a", LMN_NAME_SIZE);
        core->cloud.machine_types.count = 1;
        lmn_autoscaler_init(&autoscaler);
        for (int i = 0; i < 30; i++) {
            struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
            g_snprintf(machine->name, LMN_NAME_SIZE, "m-%d", i);
            g_strlcpy(machine->type, "small", LMN_NAME_SIZE);
            g_strlcpy(machine->zone, "a", LMN_NAME_SIZE);
            machine->provisioned_at = now;
            machine->is_booting = i < late_count;
            g_hash_table_insert(autoscaler.machines, machine->name, machine);
        }
        for (int i = 0; variant == MANY_LATE_AFTER_SLOW_BOOTS && i < 20; i++)
            lmn_autoscaler_record_boot(
                &autoscaler, g_hash_table_lookup(autoscaler.machines, "m-25"), 200);
        now = lmn_time_add(now, 30);
        assert_false(lmn_autoscaler_decide(core, &autoscaler, &request, now));
        now = lmn_time_add(now, 20);
        while (lmn_autoscaler_decide(core, &autoscaler, &request, now) &&
               ++decisions < 100)
            for (unsigned i = 0; i < request.count; i++, replacements++) {
                struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
                g_snprintf(machine->name, LMN_NAME_SIZE, "n-%u", replacements);
                g_strlcpy(machine->type, "small", LMN_NAME_SIZE);
                g_strlcpy(machine->zone, "a", LMN_NAME_SIZE);
                machine->provisioned_at = now;
                machine->is_booting = true;
                g_hash_table_insert(autoscaler.machines, machine->name, machine);
            }
        assert_int_equal(replacements, variant == FEW_LATE ? 3 : 0);
        /* Once the late machines have booted, nothing more is provisioned. */
        g_hash_table_iter_init(&iter, autoscaler.machines);
        while (g_hash_table_iter_next(&iter, NULL, &value))
            ((struct lmn_cloud_machine *)value)->is_booting = false;
        assert_false(lmn_autoscaler_decide(core, &autoscaler, &request, now));
        assert_true(lmn_autoscaler_boot_timeout_s(
                        &autoscaler, &core->cloud.machine_types.types[0], "a", 4) >
                    (variant == MANY_LATE_AFTER_SLOW_BOOTS ? 250 : 30));
    }
    g_rand_free(generator);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(provisions_what_quota_limits_let_run),
        cmocka_unit_test(provisions_no_more_machines_than_connections),
        cmocka_unit_test(few_late_machines_are_replaced),
        cmocka_unit_test(long_idle_jobs_get_spot_instances_only),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
