/* Whether the autoscaler provisions a machine for every job that no present machine can
 * run, whatever capacity other machines have. */
#include "scheduler/autoscaler.h"
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

/* Processors of the machines that may run the job. */
static double cpus_for(const struct lmn_job *job)
{
    GHashTableIter iter;
    gpointer value;
    double cpus = 0;

    g_hash_table_iter_init(&iter, autoscaler.machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct lmn_cloud_machine *machine = value;
        const struct lmn_machine_type *type =
            lmn_machine_type_by_name(core, machine->type);
        if (lmn_job_spec_allows(&job->spec, type, machine->zone, machine->is_spot))
            cpus += type->cpus;
    }
    return cpus;
}

/* Guards against jobs that are never served because machines that they may not use cover
 * their demand in the sum: three jobs bound to a zone waited beside a machine of another
 * zone on which a service ran. */
static void jobs_that_free_machines_may_not_run_get_their_own(void **state)
{
    enum { ZONE, TYPE, GPUS, CPUS, MEMORY, CASES };
    static char *only_large[] = {(char *)"large", NULL};
    (void)state;

    for (int variant = 0; variant < CASES; variant++) {
        set_up();
        struct lmn_job *service = add_job(1, 2, 4);
        service->spec.kind = LMN_JOB_SERVICE;
        add_machine("small", "a", false);
        add_machine("small", "a", false);
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

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(jobs_that_free_machines_may_not_run_get_their_own),
        cmocka_unit_test(bound_arrays_get_the_capacity_that_they_need),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
