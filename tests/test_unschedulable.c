/* Which waiting tasks an owner lists as unschedulable, how other members learn of them,
 * and which machines the autoscaler provisions for them. */
#include "controller/unschedulable_message.h"
#include "kv_client/kv_client.h"
#include "partition/owner.h"
#include "partition/range.h"
#include "scheduler/autoscaler.h"
#include "scheduler/unschedulable.h"
#include "state/core.h"
#include "state/task_ledger.h"
#include "util/clock.h"

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

enum { MAX_JOBS = 80, BOOT_S = 20, LIST_LAG_S = 4, HORIZON_S = 30 };

static struct lmn_team team;
static struct lmn_settings settings;
static struct lmn_core *core;
static struct lmn_autoscaler autoscaler;
static struct lmn_job jobs[MAX_JOBS];
static struct lmn_range *ranges[MAX_JOBS];
static int job_count;
static struct timespec now;

/* A machine of the site that runs `used_cpus` of tasks for ever. */
static void add_machine(const char *name, const char *zone, double used_cpus)
{
    struct lmn_machine *machine = lmn_machine_new(&core->partitions[0], name);
    struct lmn_cloud_machine *listed = g_new0(struct lmn_cloud_machine, 1);

    machine->type = &core->cloud.machine_types.types[0];
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->record.revision = 1;
    machine->agent.has_reported = machine->lifecycle.is_accounted = true;
    machine->used.cpus = used_cpus;
    g_strlcpy(listed->name, name, sizeof listed->name);
    g_strlcpy(listed->type, machine->type->name, sizeof listed->type);
    g_strlcpy(listed->zone, zone, sizeof listed->zone);
    g_hash_table_insert(autoscaler.machines, listed->name, listed);
}

/* Adds a job to partition 0, which this controller owns, with its tasks queued. */
static struct lmn_job *add_job(uint32_t tasks, double cpus)
{
    struct lmn_job *job = &jobs[job_count];
    struct lmn_range *range = g_new0(struct lmn_range, 1);

    memset(job, 0, sizeof *job);
    g_snprintf(job->spec.id, sizeof job->spec.id, "run-%06d", job_count);
    job->spec.team = team.name;
    job->spec.class_name = (char *)"c";
    job->spec.image = (char *)"i";
    job->image = g_intern_string("i");
    job->spec.tasks = tasks;
    job->spec.cpus = cpus;
    job->spec.estimate_s = 60;
    job->spec.deadline_s = -1;
    job->spec.priority = LMN_PRIORITY_NORMAL;
    job->ranges = g_ptr_array_new();
    *range = (struct lmn_range){
        .job = job, .partition = &core->partitions[0], .end = tasks, .move_to = -1};
    range->key = g_strdup_printf("r/0/%s/0", job->spec.id);
    range->done = g_malloc0(tasks / 8 + 1);
    g_hash_table_insert(core->partitions[0].ranges, range->key, range);
    g_hash_table_insert(core->cache.jobs, job->spec.id, job);
    g_ptr_array_add(job->ranges, range);
    lmn_range_open(core, range);
    range->is_assigned = true;
    ranges[job_count++] = range;
    return job;
}

/* Two machines of 8 processors in zone a, each with 2 free. */
static void set_up(void)
{
    memset(&settings, 0, sizeof settings);
    memset(&team, 0, sizeof team);
    g_strlcpy(team.name, "t", sizeof team.name);
    settings.partition_count = 3;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_txn_operations = 12;
    settings.max_connections = 20000;
    settings.heartbeat_s = 3;
    settings.lease_s = 10;
    settings.list_lag_s = LIST_LAG_S;
    settings.teams = &team;
    settings.team_count = 1;
    now = (struct timespec){1000, 0};
    lmn_test_clock = &now;
    job_count = 0;
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->cache.is_synced = true;
    core->cache.operator_settings.horizon_s = HORIZON_S;
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x",
                                  .zones = {"a", "b", "c"},
                                  .zone_count = 3,
                                  .cpus = 8,
                                  .memory_gb = 64,
                                  .price_per_hour = 1,
                                  .boot_s = BOOT_S};
    core->cloud.machine_types_known = true;
    struct lmn_partition_ownership *ownership = &core->partitions[0].ownership;
    ownership->is_owned = ownership->is_ready = ownership->inherited_may_start = true;
    ownership->epoch = 1;
    lmn_autoscaler_init(&autoscaler);
    add_machine("host-1", "a", 6);
    add_machine("host-2", "a", 6);
}

/* The demand of the running tasks, without which the sums would not be covered. */
static void add_services(void)
{
    for (int i = 0; i < 2; i++) {
        add_job(1, 6)->spec.kind = LMN_JOB_SERVICE;
        ranges[job_count - 1]->started_count = 1;
        ranges[job_count - 1]->task_states[0] = LMN_TASK_STARTED;
    }
}

/* Lets the controller run for that long. */
static void pass(double seconds)
{
    for (double passed = 0; passed < seconds; passed++) {
        now = lmn_time_add(now, 1);
        core->cache.fresh_at = now;
        lmn_unschedulable_update(core, &core->partitions[0], now);
    }
}

static guint listed_count(void)
{
    return core->partitions[0].scheduling.unschedulable->len;
}

static const struct lmn_unschedulable_tasks *listed(guint index)
{
    return &g_array_index(core->partitions[0].scheduling.unschedulable,
                          struct lmn_unschedulable_tasks, index);
}

/* Grants one decision of the autoscaler.
 * @return the number of machines requested; they boot */
static unsigned provision(void)
{
    struct lmn_provision_request request;
    static unsigned serial;

    if (!lmn_autoscaler_decide(core, &autoscaler, &request, now))
        return 0;
    for (unsigned i = 0; i < request.count; i++) {
        struct lmn_cloud_machine *machine = g_new0(struct lmn_cloud_machine, 1);
        g_snprintf(machine->name, sizeof machine->name, "new-%u", serial++);
        g_strlcpy(machine->type, request.type, sizeof machine->type);
        g_strlcpy(machine->zone, request.zone, sizeof machine->zone);
        machine->is_booting = true;
        machine->provisioned_at = now;
        g_hash_table_insert(autoscaler.machines, machine->name, machine);
    }
    return request.count;
}

static void end_boots(void)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, autoscaler.machines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lmn_cloud_machine *machine = value;
        if (machine->is_booting)
            machine->booted_at = now;
        machine->is_booting = false;
    }
}

/* Guards against a task that is larger than each piece of free capacity and waits for as
 * long as services keep the machines up: the free processors cover it in the sum. */
static void tasks_larger_than_each_piece_of_free_capacity_get_a_machine(void **state)
{
    (void)state;
    set_up();
    add_services();
    add_job(1, 4);
    pass(HORIZON_S - 1);
    assert_int_equal(listed_count(), 0);
    assert_int_equal(provision(), 0);
    pass(3);
    assert_int_equal(listed_count(), 1);
    assert_int_equal(listed(0)->tasks, 1);
    assert_true(listed(0)->waited_s >= HORIZON_S);
    assert_int_equal(provision(), 1);
    /* While the machine boots, and just after it has, no second one is requested. */
    for (int i = 0; i < BOOT_S; i++) {
        pass(1);
        assert_int_equal(provision(), 0);
    }
    end_boots();
    pass(3);
    assert_int_equal(provision(), 0);
    /* The task still waits, because other work has taken the machine. */
    pass(10);
    assert_int_equal(provision(), 1);
}

/* Deficits of less than a processor or half a machine, beside machines that are full. */
static void small_remainders_get_a_machine(void **state)
{
    (void)state;
    for (int variant = 0; variant < 2; variant++) {
        set_up();
        add_services();
        add_job(2, 2)->spec.kind = LMN_JOB_SERVICE;
        ranges[2]->started_count = 2;
        add_job(variant ? 3 : 1, variant ? 1 : 0.25);
        pass(HORIZON_S + 2);
        assert_int_equal(provision(), 1);
        assert_int_equal(provision(), 0);
    }
}

/* Tasks of several jobs share one machine if they fit on it together. */
static void waiting_tasks_share_the_machines_that_arrive(void **state)
{
    (void)state;
    set_up();
    add_services();
    add_machine("host-3", "a", 7.5);
    add_machine("host-4", "a", 7.5);
    for (int i = 0; i < 3; i++)
        add_job(1, 2.5);
    pass(HORIZON_S + 2);
    unsigned machines = provision();
    machines += provision();
    machines += provision();
    assert_int_equal(machines, 1);
    /* Nine more need three more: three fit on a machine. */
    for (int i = 0; i < 9; i++)
        add_job(1, 2.5);
    pass(HORIZON_S + 2);
    for (int i = 0; i < 12; i++)
        machines += provision();
    assert_in_range(machines, 4, 5);
}

static void start_a_task(void)
{
    ranges[0]->last_start_at = now;
}
static void cancel_job(void)
{
    jobs[0].phase = LMN_JOB_CANCELLED;
}
static void back_off(void)
{
    jobs[0].failures.backoff_until = lmn_time_add(now, 1000);
}
static void move_range(void)
{
    ranges[0]->move_to = 1;
}
static void wait_for_spot(void)
{
    jobs[0].is_spot_only = true;
}
static void use_up_quota(void)
{
    team.cpus_max = 30; /* 10 for each partition */
    core->partitions[0].quota.used_cpus[0] = 7;
}
static void transfer_partition(void)
{
    core->partitions[0].ownership.is_transferring = true;
}
static void wait_for_inherited_machines(void)
{
    core->partitions[0].ownership.inherited_may_start = false;
}
static void change_nothing(void)
{
}

/* Machines are provisioned for no task that would not start on them. */
static void only_tasks_that_a_machine_would_help_are_listed(void **state)
{
    static const struct {
        void (*apply)(void);
        guint count;
    } cases[] = {
        {change_nothing, 1}, {start_a_task, 0},       {cancel_job, 0},
        {back_off, 0},       {move_range, 0},         {wait_for_spot, 0},
        {use_up_quota, 0},   {transfer_partition, 0}, {wait_for_inherited_machines, 0}};
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        set_up();
        add_job(3, 4);
        pass(HORIZON_S + 2);
        assert_int_equal(listed_count(), 1);
        cases[i].apply();
        pass(1);
        assert_int_equal(listed_count(), cases[i].count);
    }
}

/* After an outage of the store, in which nothing new starts, the waits begin anew: the
 * tasks start as soon as it is over. */
static void waits_begin_anew_when_tasks_may_start_again(void **state)
{
    (void)state;
    set_up();
    add_job(3, 4);
    for (double passed = 0; passed < 2 * HORIZON_S; passed++) {
        now = lmn_time_add(now, 1);
        lmn_unschedulable_update(core, &core->partitions[0], now);
    }
    pass(HORIZON_S - 1);
    assert_int_equal(listed_count(), 0);
    pass(3);
    assert_int_equal(listed_count(), 1);
}

/* The quota that is left is shared among the listed tasks. */
static void no_more_tasks_are_listed_than_the_quota_lets_start(void **state)
{
    (void)state;
    set_up();
    team.cpus_max = 30;
    add_job(2, 4);
    add_job(2, 4);
    pass(HORIZON_S + 2);
    assert_int_equal(listed_count(), 1);
    assert_int_equal(listed(0)->tasks, 2);
}

/* A batch job with running tasks waits for their ends first; replicas never end. */
static void running_batch_jobs_wait_longer(void **state)
{
    (void)state;
    for (int is_service = 0; is_service <= 1; is_service++) {
        set_up();
        add_job(3, 4)->spec.kind = is_service ? LMN_JOB_SERVICE : LMN_JOB_BATCH;
        ranges[0]->started_count = 1;
        pass(HORIZON_S + 2);
        assert_int_equal(listed_count(), is_service);
        pass(HORIZON_S);
        assert_int_equal(listed_count(), 1);
        assert_int_equal(listed(0)->tasks, 2);
    }
}

/* A new owner's wait begins with its ownership. */
static void a_wait_begins_with_the_ownership(void **state)
{
    (void)state;
    set_up();
    add_job(1, 4);
    pass(HORIZON_S - 2);
    core->partitions[0].ownership.since = now;
    pass(HORIZON_S - 2);
    assert_int_equal(listed_count(), 0);
    pass(5);
    assert_int_equal(listed_count(), 1);
}

/* The tasks of a spread job get a machine in a zone in which they may start. */
static void affinity_limits_the_zones(void **state)
{
    (void)state;
    for (int one_zone = 0; one_zone <= 1; one_zone++) {
        set_up();
        struct lmn_job *job = add_job(4, 4);
        job->spec.kind = LMN_JOB_SERVICE;
        job->spec.requires_one_zone = one_zone;
        job->spec.spreads_over_zones = !one_zone;
        ranges[0]->started_count = 2;
        lmn_job_add_zone_tasks(job, "a", 2);
        pass(HORIZON_S + 2);
        assert_int_equal(listed_count(), 1);
        assert_int_equal(listed(0)->zone_count, one_zone ? 1 : 2);
        assert_string_equal(listed(0)->zones[0], one_zone ? "a" : "b");
        /* The sums, which know no zone, are covered. */
        add_machine("host-3", one_zone ? "b" : "a", 0);
        unsigned machines = provision();
        assert_int_equal(machines, 1);
        GHashTableIter iter;
        gpointer value;
        bool is_in_zone = false;
        g_hash_table_iter_init(&iter, autoscaler.machines);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const struct lmn_cloud_machine *machine = value;
            is_in_zone = is_in_zone || (machine->is_booting &&
                                        !strcmp(machine->zone, one_zone ? "a" : "b"));
        }
        assert_true(is_in_zone);
    }
}

/* The longest waits are listed if there are too many. */
static void the_longest_waits_are_listed(void **state)
{
    (void)state;
    set_up();
    for (int i = 0; i < MAX_JOBS; i++) {
        add_job(1, 4);
        pass(1);
    }
    pass(HORIZON_S + 2);
    assert_int_equal(listed_count(), LMN_MAX_UNSCHEDULABLE);
    assert_string_equal(listed(0)->job_id, jobs[0].spec.id);
    for (guint i = 1; i < listed_count(); i++)
        assert_true(listed(i)->waited_s <= listed(i - 1)->waited_s);
    assert_true(lmn_job_unschedulable_s(core, &jobs[0], now) > HORIZON_S);
    assert_true(lmn_job_unschedulable_s(core, &jobs[MAX_JOBS - 1], now) == 0);
}

/* The list of another member's partition counts until it is replaced or too old; one of a
 * deposed owner, of an own partition or of none does not. */
static void lists_of_other_members_count_while_they_are_valid(void **state)
{
    lmn_rpc_zone zones[] = {{(char *)"b"}, {(char *)"nowhere"}};
    lmn_rpc_unschedulable items[] = {{(char *)"run-000000", 1, 40, {2, zones}}};
    lmn_rpc_unschedulable_list message = {1, 7, {1, items}};
    (void)state;

    set_up();
    struct lmn_job *job = add_job(1, 4);
    g_hash_table_steal(core->partitions[0].ranges, ranges[0]->key);
    core->partitions[1].record.epoch = 7;
    assert_int_equal(lmn_unschedulable_message_handle(core, &message), 1);
    const GArray *received = core->partitions[1].scheduling.unschedulable;
    assert_int_equal(received->len, 1);
    assert_int_equal(
        g_array_index(received, struct lmn_unschedulable_tasks, 0).zone_count, 1);
    assert_true(lmn_job_unschedulable_s(core, job, now) == 40);
    assert_int_equal(provision(), 1);
    now = lmn_time_add(now, 16);
    assert_true(lmn_job_unschedulable_s(core, job, now) == 0);

    message.epoch = 6;
    lmn_unschedulable_message_handle(core, &message);
    assert_true(lmn_job_unschedulable_s(core, job, now) == 0);
    message.epoch = 8;
    lmn_unschedulable_message_handle(core, &message);
    assert_true(lmn_job_unschedulable_s(core, job, now) == 40);
    message.items.items_len = 0;
    lmn_unschedulable_message_handle(core, &message);
    assert_true(lmn_job_unschedulable_s(core, job, now) == 0);
    message.items.items_len = 1;
    message.partition = 0;
    lmn_unschedulable_message_handle(core, &message);
    assert_true(lmn_job_unschedulable_s(core, job, now) == 0);
    message.partition = 3;
    assert_int_equal(lmn_unschedulable_message_handle(core, &message), 0);
    message.partition = -1;
    assert_int_equal(lmn_unschedulable_message_handle(core, &message), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(tasks_larger_than_each_piece_of_free_capacity_get_a_machine),
        cmocka_unit_test(small_remainders_get_a_machine),
        cmocka_unit_test(waiting_tasks_share_the_machines_that_arrive),
        cmocka_unit_test(only_tasks_that_a_machine_would_help_are_listed),
        cmocka_unit_test(waits_begin_anew_when_tasks_may_start_again),
        cmocka_unit_test(no_more_tasks_are_listed_than_the_quota_lets_start),
        cmocka_unit_test(running_batch_jobs_wait_longer),
        cmocka_unit_test(a_wait_begins_with_the_ownership),
        cmocka_unit_test(affinity_limits_the_zones),
        cmocka_unit_test(the_longest_waits_are_listed),
        cmocka_unit_test(lists_of_other_members_count_while_they_are_valid),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
