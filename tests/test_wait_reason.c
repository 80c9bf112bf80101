/* Why a queued task does not start, and how a job whose tasks must be in one zone is
 * stolen. */
#include "util/clock.h"
#include "config/settings.h"
#include "job/message_limits.h"
#include "scheduler/queue.h"
#include "scheduler/reservation.h"
#include "scheduler/work_stealing.h"
#include "scheduler/wait_reason.h"
#include "partition/owner.h"
#include "partition/range.h"
#include "state/core.h"
#include "state/core_state.h"
#include "state/task_ledger.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

/* Tests do not free their cores, so leak detection is off. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { TASKS = 4 };

static struct lmn_settings settings;
static struct lmn_core *core;
static struct lmn_job job, other_job;
static struct lmn_range *range;
static struct lmn_machine *machine;
static struct lmn_team team;
static struct timespec now;

/* Sets up one machine with 8 processors in partition 0, and a job of four tasks with 2
 * processors each in the machine's queue. All tasks must be in one zone. */
static void set_up(void)
{
    memset(&settings, 0, sizeof settings);
    memset(&job, 0, sizeof job);
    settings.partition_count = 2;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_txn_operations = 12;
    settings.lease_s = 10;
    settings.teams = &team;
    settings.team_count = 1;
    g_strlcpy(settings.teams[0].name, "t", LMN_NAME_SIZE);
    settings.teams[0].cpus_max = 100;
    now = (struct timespec){1000, 0};
    lmn_test_clock = &now;
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    core->cloud.machine_types.count = 1;
    core->cloud.machine_types.types[0] =
        (struct lmn_machine_type){.name = "x", .cpus = 8, .memory_gb = 64};
    struct lmn_partition *partition = &core->partitions[0];
    partition->ownership.is_owned = partition->ownership.is_ready =
        partition->ownership.inherited_may_start = true;
    partition->ownership.epoch = 1;
    machine = lmn_machine_new(partition, "m-1");
    machine->type = &core->cloud.machine_types.types[0];
    g_strlcpy(machine->zone, "a", sizeof machine->zone);
    machine->record.revision = 1;
    machine->agent.has_reported = machine->lifecycle.is_accounted = true;
    g_strlcpy(job.spec.id, "run-000001", sizeof job.spec.id);
    job.spec.team = (char *)"t";
    job.spec.class_name = (char *)"c";
    job.spec.image = (char *)"i";
    job.image = g_intern_string("i");
    job.spec.tasks = TASKS;
    job.spec.cpus = 2;
    job.spec.requires_one_zone = true;
    job.spec.priority = LMN_PRIORITY_NORMAL;
    job.ranges = g_ptr_array_new();
    range = g_new0(struct lmn_range, 1);
    *range = (struct lmn_range){
        .job = &job, .partition = partition, .end = TASKS, .move_to = -1};
    range->key = g_strdup("r/0/run-000001/0");
    range->done = g_malloc0(1);
    g_hash_table_insert(partition->ranges, range->key, range);
    g_ptr_array_add(job.ranges, range);
    lmn_range_open(core, range);
    range->is_assigned = true;
    lmn_queue_add(&machine->queue, range, 0, TASKS);
}

static void transfer_partition(void)
{
    machine->partition->ownership.is_transferring = true;
}
static void forget_heartbeat(void)
{
    machine->lifecycle.is_accounted = false;
}
static void remove_machine_record(void)
{
    machine->record.revision = 0;
}
static void drain_machine(void)
{
    machine->lifecycle.is_draining = true;
}
static void give_spot_notice(void)
{
    machine->lifecycle.has_spot_notice = true;
}
static void remove_machine_type(void)
{
    machine->type = NULL;
}
static void quarantine_machine(void)
{
    machine->failures.quarantined_until = lmn_time_add(now, 5);
}
static void cancel_job(void)
{
    job.phase = LMN_JOB_CANCELLED;
}
static void fill_machine(void)
{
    machine->used.cpus = 7;
}
static void fill_heartbeat(void)
{
    const struct lmn_attempt ended = {.state = LMN_ATTEMPT_ENDED};

    while (machine->attempts->len < LMN_MAX_MACHINE_ATTEMPTS)
        g_array_append_val(machine->attempts, ended);
}
static void reserve_for_preemption(void)
{
    machine->reservation.preemption_tasks = 1;
}
static void reserve_for_other_job(void)
{
    machine->reservation.job = &other_job;
}
static void back_off_job(void)
{
    job.failures.backoff_until = lmn_time_add(now, 5);
}
static void require_other_zone(void)
{
    job.spec.zone = (char *)"b";
}
static void use_up_quota(void)
{
    machine->partition->quota.used_cpus[0] = 49;
}
static void run_task_in_other_zone(void)
{
    lmn_job_add_zone_tasks(&job, "b", 1);
}
static void leave_inherited_tasks_unreconciled(void)
{
    machine->partition->ownership.inherited_may_start = false;
}
static void change_nothing(void)
{
}

/* lmn_wait_reason gives a reason if and only if lmn_schedule_machine starts no task. */
static void wait_reason_agrees_with_the_scheduler(void **state)
{
    static const struct {
        void (*apply)(void);
        enum lmn_wait_reason reason;
    } cases[] = {
        {change_nothing, LMN_WAIT_NONE},
        {transfer_partition, LMN_WAIT_TRANSFER},
        {forget_heartbeat, LMN_WAIT_UNACCOUNTED},
        {remove_machine_record, LMN_WAIT_UNRECORDED},
        {drain_machine, LMN_WAIT_DRAINING},
        {give_spot_notice, LMN_WAIT_SPOT_NOTICE},
        {remove_machine_type, LMN_WAIT_UNKNOWN_TYPE},
        {quarantine_machine, LMN_WAIT_QUARANTINED},
        {cancel_job, LMN_WAIT_JOB_ENDED},
        {fill_machine, LMN_WAIT_CAPACITY},
        {fill_heartbeat, LMN_WAIT_TASK_LIMIT},
        {reserve_for_preemption, LMN_WAIT_PREEMPTION_RESERVED},
        {reserve_for_other_job, LMN_WAIT_BACKFILL_RESERVED},
        {back_off_job, LMN_WAIT_JOB_BACKOFF},
        {require_other_zone, LMN_WAIT_NOT_ELIGIBLE},
        {use_up_quota, LMN_WAIT_QUOTA},
        {run_task_in_other_zone, LMN_WAIT_ZONE_AFFINITY},
    };
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GByteArray *commands = g_byte_array_new();
        set_up();
        cases[i].apply();
        enum lmn_wait_reason reason = lmn_wait_reason(core, machine, range, now);
        assert_string_equal(lmn_wait_reason_text(reason),
                            lmn_wait_reason_text(cases[i].reason));
        guint started = lmn_schedule_machine(core, machine, commands, now);
        assert_int_equal(started, reason == LMN_WAIT_NONE ? TASKS : 0);
        g_byte_array_unref(commands);
    }
    set_up();
    leave_inherited_tasks_unreconciled();
    assert_int_equal(lmn_wait_reason(core, machine, range, now), LMN_WAIT_UNRECONCILED);
}

static double free_cpus_by_team[] = {8}, free_gpus_by_team[] = {1e12};
/* A thief with a free machine of 2 processors in zone "b". */
static const struct lmn_steal_request thief = {
    .partition = 1,
    .capacities = {{"x", "b", false, 2, 0, 64}},
    .capacity_count = 1,
    .team_free_cpus = free_cpus_by_team,
    .team_free_gpus = free_gpus_by_team};

/* Guards against a job that must run in one zone waiting indefinitely in a partition
 * without a machine in that zone. */
static void untouched_one_zone_job_moves_as_a_whole(void **state)
{
    (void)state;
    set_up();
    require_other_zone();
    assert_int_equal(lmn_victim_load(core, range->partition, &thief), TASKS);
    assert_int_equal(lmn_victim_begin_move(core, range->partition, &thief, now), TASKS);
    assert_int_equal(range->move_at, 0);
    assert_int_equal(machine->queue.task_count, 0);
}

static void put_half_in_another_range(void)
{
    job.spec.tasks = 2 * TASKS;
}
static void start_one_task(void)
{
    range->started_count = 1;
}
static void finish_one_task(void)
{
    range->finished_count = 1;
}
static void exceed_thief_capacity(void)
{
    job.spec.cpus = 4;
}

/* If only some tasks of the job moved, its tasks would belong to two owners, and neither
 * would know the zones of all. */
static void one_zone_job_stays_if_it_would_be_split_or_not_fit(void **state)
{
    static void (*const cases[])(void) = {put_half_in_another_range, start_one_task,
                                          finish_one_task, run_task_in_other_zone,
                                          exceed_thief_capacity};
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        set_up();
        cases[i]();
        assert_int_equal(lmn_victim_load(core, range->partition, &thief), 0);
        assert_int_equal(lmn_victim_begin_move(core, range->partition, &thief, now), 0);
    }
}

/* Guards against a machine staying reserved, and empty, for a job whose tasks have all
 * moved to other partitions. */
static void reservation_ends_when_the_job_has_no_task_here(void **state)
{
    (void)state;
    set_up();
    job.is_starving = other_job.is_starving = true;
    other_job.ranges = g_ptr_array_new();
    machine->reservation.job = &job;
    machine->reservation.until = lmn_time_add(now, 60);
    lmn_update_reservations(core, machine->partition, now);
    assert_ptr_equal(machine->reservation.job, &job);
    machine->reservation.job = &other_job;
    lmn_update_reservations(core, machine->partition, now);
    assert_null(machine->reservation.job);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(wait_reason_agrees_with_the_scheduler),
        cmocka_unit_test(untouched_one_zone_job_moves_as_a_whole),
        cmocka_unit_test(one_zone_job_stays_if_it_would_be_split_or_not_fit),
        cmocka_unit_test(reservation_ends_when_the_job_has_no_task_here),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
