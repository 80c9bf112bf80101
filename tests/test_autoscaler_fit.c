/* Whether the autoscaler provisions a machine for every job that no present machine can
 * run, whatever capacity other machines have. */
#include "job/message_limits.h"
#include "scheduler/autoscaler.h"
#include "scheduler/autoscaler_capacity.h"
#include "state/core.h"

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

enum { MAX_JOBS = 24, PARTITIONS = 3, MAX_REQUESTS = 1000 };

/* The types of a small site: only the small one is cheap, and it is in one zone. */
static const struct lmn_machine_type types[] = {
    {.name = "small",
     .zones = {"a"},
     .zone_count = 1,
     .cpus = 8,
     .memory_gb = 16,
     .price_per_hour = 0.5,
     .spot_price_per_hour = 0.2,
     .boot_s = 50},
    {.name = "large",
     .zones = {"a", "b", "c"},
     .zone_count = 3,
     .cpus = 16,
     .memory_gb = 128,
     .price_per_hour = 1.4,
     .spot_price_per_hour = 0.6,
     .boot_s = 20},
    {.name = "accelerated",
     .zones = {"b"},
     .zone_count = 1,
     .cpus = 16,
     .gpus = 4,
     .memory_gb = 64,
     .price_per_hour = 6,
     .spot_price_per_hour = 2,
     .boot_s = 40},
};

static struct lmn_team team;
static struct lmn_settings settings;
static struct lmn_core *core;
static struct lmn_autoscaler autoscaler;
static struct lmn_job jobs[MAX_JOBS];
static struct lmn_range ranges[MAX_JOBS];
static int job_count;
static unsigned machine_count;
static struct timespec now;

static void set_up(void)
{
    memset(&settings, 0, sizeof settings);
    memset(&team, 0, sizeof team);
    g_strlcpy(team.name, "t", sizeof team.name);
    settings.partition_count = PARTITIONS;
    settings.teams = &team;
    settings.team_count = 1;
    settings.max_connections = 20000;
    settings.heartbeat_s = 5;
    settings.list_lag_s = 4;
    core = lmn_core_alloc(&settings, NULL, 1);
    memcpy(core->cloud.machine_types.types, types, sizeof types);
    core->cloud.machine_types.count = G_N_ELEMENTS(types);
    core->cloud.machine_types_known = true;
    lmn_autoscaler_init(&autoscaler);
    job_count = 0;
    machine_count = 0;
    now = (struct timespec){1000, 0};
}

/* Adds a job, whose tasks are in one partition. */
static struct lmn_job *add_job(uint32_t tasks, double cpus, double memory_gb)
{
    struct lmn_job *job = &jobs[job_count];
    struct lmn_range *range = &ranges[job_count];
    struct lmn_partition *partition = &core->partitions[job_count % PARTITIONS];

    memset(job, 0, sizeof *job);
    g_snprintf(job->spec.id, sizeof job->spec.id, "run-%06d", job_count);
    job->phase = LMN_JOB_ACTIVE;
    job->spec.kind = LMN_JOB_BATCH;
    job->spec.priority = LMN_PRIORITY_NORMAL;
    job->spec.tasks = tasks;
    job->spec.cpus = cpus;
    job->spec.memory_gb = memory_gb;
    job->spec.estimate_s = 60;
    job->spec.deadline_s = -1;
    *range = (struct lmn_range){.job = job, .partition = partition, .end = tasks};
    range->key = g_strdup_printf("r/%d", job_count);
    g_hash_table_insert(partition->ranges, range->key, range);
    g_hash_table_insert(core->cache.jobs, job->spec.id, job);
    job_count++;
    return job;
}

static struct lmn_cloud_machine *add_machine(const char *type, const char *zone,
                                             bool is_spot)
{
    struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);

    g_snprintf(machine->name, sizeof machine->name, "host-%06u", machine_count++);
    g_strlcpy(machine->type, type, sizeof machine->type);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->is_spot = is_spot;
    machine->provisioned_at = now;
    g_hash_table_insert(autoscaler.machines, machine->name, machine);
    return machine;
}

/* Grants what the autoscaler requests until it requests nothing more.
 * @return number of requests */
static int provision(void)
{
    struct lmn_provision_request request;
    int requests = 0;

    while (lmn_autoscaler_decide(core, &autoscaler, &request, now)) {
        assert_true(++requests < MAX_REQUESTS);
        for (unsigned i = 0; i < request.count; i++)
            add_machine(request.type, request.zone, request.is_spot);
    }
    return requests;
}

/* What the machines have that may run the job. */
static struct lmn_amounts capacity_for(const struct lmn_job *job)
{
    GHashTableIter iter;
    gpointer value;
    struct lmn_amounts sum = {{0}};

    g_hash_table_iter_init(&iter, autoscaler.machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_cloud_machine *machine = value;
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, machine->type);
        const struct lmn_amounts amounts = lmn_type_amounts(type);
        if (lmn_job_spec_allows(&job->spec, type, machine->zone, machine->is_spot))
            lmn_amounts_add(&sum, 1, &amounts);
    }
    return sum;
}

static double cpus_for(const struct lmn_job *job)
{
    return capacity_for(job).of[LMN_UNIT_CPUS];
}

/* Number of tasks that the machines can name in their heartbeats. */
static double nameable_tasks_for(const struct lmn_job *job)
{
    return capacity_for(job).of[LMN_UNIT_TASKS];
}

/* Guards against jobs that are never served because machines that they may not use cover
 * their demand in the sum: three jobs bound to a zone waited beside a machine of another
 * zone on which a service ran. */
static void jobs_that_free_machines_may_not_run_get_their_own(void **state)
{
    enum { ZONE, TYPE, GPUS, CPUS, MEMORY, NO_SPOT, CASES };
    static char *only_large[] = {(char *)"large", NULL};
    (void)state;

    for (int variant = 0; variant < CASES; variant++) {
        set_up();
        struct lmn_job *service = add_job(1, 2, 4);
        service->spec.kind = LMN_JOB_SERVICE;
        add_machine("small", "a", variant == NO_SPOT);
        add_machine("small", "a", variant == NO_SPOT);
        service->spec.may_use_spot = variant == NO_SPOT;
        struct lmn_job *job = add_job(1, 0.5, 1);
        if (variant == ZONE)
            job->spec.zone = (char *)"c";
        else if (variant == TYPE)
            job->spec.machine_types = only_large;
        else if (variant == GPUS)
            job->spec.gpus = 1;
        else if (variant == CPUS)
            job->spec.cpus = 12;
        else if (variant == MEMORY)
            job->spec.memory_gb = 100;
        provision();
        assert_true(cpus_for(job) > 0);
        /* One machine is enough for it. */
        assert_int_equal(machine_count, 3);
    }
}

/* Guards against small tasks that wait for ever on a site without machines: two tasks of
 * a quarter of a processor were still queued after 75 s, until a larger job came. */
static void small_tasks_alone_get_a_machine(void **state)
{
    (void)state;
    for (int is_spot = 0; is_spot <= 1; is_spot++) {
        set_up();
        add_job(2, 0.25, 0.1)->spec.may_use_spot = is_spot;
        provision();
        assert_int_equal(machine_count, 1);
        assert_int_equal(provision(), 0);
    }
}

/* A team that is at its limit elsewhere gets no machine that could start nothing: it
 * would be returned and requested again in turns. */
static void less_than_a_task_within_the_limit_gets_no_machine(void **state)
{
    (void)state;
    for (int is_limited = 0; is_limited <= 1; is_limited++) {
        set_up();
        team.cpus_max = is_limited ? 64 : 0;
        for (int i = 0; i < 64; i++)
            add_machine("small", "a", false);
        add_job(256, 2, 3)->spec.kind = LMN_JOB_SERVICE;
        struct lmn_job *bound = add_job(1, 2, 3);
        bound->spec.zone = (char *)"c";
        provision();
        assert_int_equal(cpus_for(bound) > 0, !is_limited);
    }
}

/* Many tasks bound to a zone get as many machines as they would alone. */
static void bound_arrays_get_the_capacity_that_they_need(void **state)
{
    (void)state;
    set_up();
    add_job(400, 2, 3);
    struct lmn_job *bound = add_job(200, 2, 3);
    bound->spec.zone = (char *)"b";
    provision();
    assert_true(cpus_for(bound) > 400 - 8 && cpus_for(bound) < 400 + 16 + 8);
    assert_int_equal(provision(), 0);
}

/* Guards against accepted work that machines cover by their processors but can't start:
 * small tasks fill machines by their number. */
static void tasks_that_request_little_get_machines_by_their_number(void **state)
{
    static const double sizes[] = {0, 0.001, 0.005};
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
        for (int is_bound = 0; is_bound <= 1; is_bound++) {
            set_up();
            if (is_bound)
                for (int k = 0; k < 8; k++)
                    add_machine("large", "c", false);
            struct lmn_job *job = add_job(2000, sizes[i], 0);
            job->spec.kind = LMN_JOB_SERVICE;
            job->spec.zone = is_bound ? (char *)"b" : NULL;
            provision();
            assert_true(nameable_tasks_for(job) >= 2000);
            assert_true(nameable_tasks_for(job) <= 2000 + LMN_MAX_MACHINE_ATTEMPTS);
            assert_int_equal(provision(), 0);
        }
}

/* Guards against ordinary work that waits for the horizon beside small services: their
 * number is a little more than the only machine can name. */
static void tasks_beyond_the_number_that_machines_can_name_get_a_machine(void **state)
{
    (void)state;
    for (int variant = 0; variant < 4; variant++) {
        bool is_bound = variant % 2;
        /* More than the machine's processors, by too little for another machine. */
        bool lacks_cpus = variant / 2;
        set_up();
        add_machine("large", "b", false);
        for (int i = 0; is_bound && i < 8; i++)
            add_machine("large", "c", false);
        struct lmn_job *job =
            add_job(LMN_MAX_MACHINE_ATTEMPTS + 100, lacks_cpus ? 0.0285 : 0.001, 0.01);
        job->spec.kind = LMN_JOB_SERVICE;
        struct lmn_job *ordinary = add_job(1, 2, 2);
        job->spec.zone = ordinary->spec.zone = is_bound ? (char *)"b" : NULL;
        assert_int_equal(provision(), 1);
        assert_int_equal(machine_count, is_bound ? 10 : 2);
    }
}

/* Guards against tasks without processors that share the limit of their team's other
 * tasks, which does not concern them. */
static void tasks_that_request_nothing_limited_are_not_reduced_by_the_limit(void **state)
{
    (void)state;
    set_up();
    team.cpus_max = 8;
    add_job(800, 1, 1)->spec.kind = LMN_JOB_SERVICE;
    struct lmn_job *job = add_job(2000, 0, 0);
    job->spec.kind = LMN_JOB_SERVICE;
    provision();
    assert_true(nameable_tasks_for(job) >= 2000);
}

/* Whatever jobs there are, each finds a machine that may run it, the requests come to an
 * end, and no more is provisioned than the demand and one machine for each set of offers.
 */
static void every_job_finds_a_machine_that_may_run_it(void **state)
{
    static char *type_lists[][2] = {
        {(char *)"small", NULL}, {(char *)"large", NULL}, {(char *)"accelerated", NULL}};
    static const char *const zones[] = {"a", "b", "c"};
    GRand *generator = g_rand_new_with_seed(52);
    (void)state;

    for (int round = 0; round < 300; round++) {
        double demand_cpus = 0, cpus = 0;
        set_up();
        for (int i = g_rand_int_range(generator, 1, MAX_JOBS); i > 0; i--) {
            struct lmn_job *job = add_job((uint32_t)g_rand_int_range(generator, 1, 12),
                                          g_rand_double_range(generator, 0.1, 16),
                                          g_rand_double_range(generator, 0.1, 60));
            job->spec.kind = g_rand_boolean(generator) ? LMN_JOB_SERVICE : LMN_JOB_BATCH;
            job->spec.may_use_spot = g_rand_boolean(generator);
            if (!g_rand_int_range(generator, 0, 3))
                job->spec.zone = (char *)zones[g_rand_int_range(generator, 0, 3)];
            if (!g_rand_int_range(generator, 0, 4))
                job->spec.machine_types = type_lists[g_rand_int_range(generator, 0, 3)];
            if (!g_rand_int_range(generator, 0, 6))
                job->spec.gpus = g_rand_int_range(generator, 1, 5);
            const char *reason;
            job->spec.team = team.name;
            if (!lmn_job_spec_is_feasible(&job->spec, &settings,
                                          &core->cloud.machine_types, &reason)) {
                job->phase = LMN_JOB_DONE;
                continue;
            }
            demand_cpus += job->spec.tasks * job->spec.cpus;
        }
        provision();
        for (int i = 0; i < job_count; i++)
            assert_true(jobs[i].phase != LMN_JOB_ACTIVE || cpus_for(&jobs[i]) > 0);
        GHashTableIter iter;
        gpointer value;
        g_hash_table_iter_init(&iter, autoscaler.machines);
        while (g_hash_table_iter_next(&iter, NULL, &value))
            cpus +=
                lmn_machine_type_by_name(core, ((struct lmn_cloud_machine *)value)->type)
                    ->cpus;
        /* Memory may need up to as many machines as tasks; each has 16 processors. */
        assert_true(cpus <= 16 * (demand_cpus + job_count));
    }
    g_rand_free(generator);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(jobs_that_free_machines_may_not_run_get_their_own),
        cmocka_unit_test(small_tasks_alone_get_a_machine),
        cmocka_unit_test(less_than_a_task_within_the_limit_gets_no_machine),
        cmocka_unit_test(bound_arrays_get_the_capacity_that_they_need),
        cmocka_unit_test(tasks_that_request_little_get_machines_by_their_number),
        cmocka_unit_test(tasks_beyond_the_number_that_machines_can_name_get_a_machine),
        cmocka_unit_test(tasks_that_request_nothing_limited_are_not_reduced_by_the_limit),
        cmocka_unit_test(every_job_finds_a_machine_that_may_run_it),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
