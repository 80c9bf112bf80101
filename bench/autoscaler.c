/* What a decision of the autoscaler costs: MACHINES machines, RANGES ranges of jobs, of
 * which each BOUND-th is bound to a zone, ZONES zones, and, with LISTED 1, as many
 * unschedulable tasks as the partitions can list. Prints the microseconds of processor
 * time that a decision takes. */
#include "kv_client/kv_client.h"
#include "partition/owner.h"
#include "scheduler/autoscaler.h"
#include "state/core.h"
#include "util/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { DECISIONS = 200, PARTITIONS = 6, TEAMS = 110, TYPES = 3, CPUS = 16 };

static struct lmn_settings settings;
static struct lmn_team teams[TEAMS];
static struct lmn_autoscaler autoscaler;
static struct lmn_core *core;

static void add_types(int zone_count)
{
    for (int i = 0; i < TYPES; i++) {
        struct lmn_machine_type *type = &core->cloud.machine_types.types[i];
        *type = (struct lmn_machine_type){.cpus = CPUS,
                                          .memory_gb = 64,
                                          .price_per_hour = 1 + i,
                                          .spot_price_per_hour = 0.5,
                                          .boot_s = 20,
                                          .zone_count = zone_count};
        g_snprintf(type->name, sizeof type->name, "type-%d", i);
        for (int zone = 0; zone < zone_count; zone++)
            g_snprintf(type->zones[zone], sizeof type->zones[zone], "zone-%d", zone);
    }
    core->cloud.machine_types.count = TYPES;
    core->cloud.machine_types_known = true;
}

static void add_machines(int count, int zone_count)
{
    for (int i = 0; i < count; i++) {
        struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
        g_snprintf(machine->name, sizeof machine->name, "host-%06d", i);
        g_snprintf(machine->type, sizeof machine->type, "type-%d", i % TYPES);
        g_snprintf(machine->zone, sizeof machine->zone, "zone-%d", i % zone_count);
        machine->is_spot = i % 2;
        g_hash_table_insert(autoscaler.machines, machine->name, machine);
    }
}

static void add_range(int number, bool is_bound, int zone_count)
{
    struct lmn_partition *partition = &core->partitions[number % PARTITIONS];
    struct lmn_job *job = g_new0(struct lmn_job, 1);
    struct lmn_range *range = g_new0(struct lmn_range, 1);

    g_snprintf(job->spec.id, sizeof job->spec.id, "run-%06d", number);
    job->team = number % TEAMS;
    job->spec.kind = LMN_JOB_SERVICE;
    job->spec.tasks = 1;
    job->spec.cpus = 0.5;
    job->spec.memory_gb = 1;
    job->spec.deadline_s = -1;
    job->spec.may_use_spot = number % 2;
    job->spec.zone = is_bound ? g_strdup_printf("zone-%d", number % zone_count) : NULL;
    *range = (struct lmn_range){.job = job, .partition = partition, .end = 1};
    range->key = g_strdup_printf("r/%d", number);
    g_hash_table_insert(partition->ranges, range->key, range);
    g_hash_table_insert(core->cache.jobs, job->spec.id, job);
}

static void list_tasks(void)
{
    for (int i = 0; i < PARTITIONS; i++) {
        struct lmn_partition_scheduling *scheduling = &core->partitions[i].scheduling;
        scheduling->unschedulable_at = lmn_now();
        for (int k = 0; k < LMN_MAX_UNSCHEDULABLE; k++) {
            struct lmn_unschedulable_tasks tasks = {.tasks = 1, .waited_s = 30 + k};
            g_snprintf(tasks.job_id, sizeof tasks.job_id, "run-%06d", i + PARTITIONS * k);
            g_array_append_val(scheduling->unschedulable, tasks);
        }
    }
}

static void set_up(int zone_count)
{
    settings.partition_count = PARTITIONS;
    settings.teams = teams;
    settings.team_count = TEAMS;
    settings.max_connections = 200000;
    settings.heartbeat_s = 5;
    settings.list_lag_s = 4;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    for (int i = 0; i < TEAMS; i++)
        g_snprintf(teams[i].name, sizeof teams[i].name, "team-%d", i);
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    lmn_autoscaler_init(&autoscaler);
    add_types(zone_count);
}

int main(int argc, char **argv)
{
    if (argc != 6) {
        fprintf(stderr, "usage: %s MACHINES RANGES BOUND ZONES LISTED\n", argv[0]);
        return 2;
    }
    int machines = atoi(argv[1]), ranges = atoi(argv[2]), bound = atoi(argv[3]);
    int zone_count = CLAMP(atoi(argv[4]), 1, LMN_MAX_ZONES), requests = 0;
    struct lmn_provision_request request;

    set_up(zone_count);
    add_machines(machines, zone_count);
    for (int i = 0; i < ranges; i++)
        add_range(i, bound > 0 && i % bound == 0, zone_count);
    if (atoi(argv[5]))
        list_tasks();
    clock_t begun_at = clock();
    for (int i = 0; i < DECISIONS; i++)
        requests += lmn_autoscaler_decide(core, &autoscaler, &request, lmn_now());
    double us = 1e6 * (double)(clock() - begun_at) / CLOCKS_PER_SEC / DECISIONS;
    printf("%.0f us a decision, %d of %d with a request\n", us, requests, DECISIONS);
    return 0;
}
