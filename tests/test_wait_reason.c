/* Why a queued task does not start, and what becomes of a job that can only be moved as
 * one. */
#include "util/clock.h"
#include "config/settings.h"
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

/* Past cores are left behind as they are. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

enum { TASKS = 4 };

static struct lmn_settings cfg;
static struct lmn_core *core;
static struct lmn_job job, other;
static struct lmn_range *range;
static struct lmn_machine *machine;
static struct lmn_team team;
static struct timespec now;

/* One machine of 8 processors in partition 0, and a job of four tasks of two. */
static void make(void)
{
    memset(&cfg, 0, sizeof cfg);
    memset(&job, 0, sizeof job);
    cfg.partition_count = 2;
    cfg.state_requests_per_s = cfg.state_writes_per_s = 1000;
    cfg.max_txn_operations = 12;
    cfg.lease_s = 10;
    cfg.teams = &team;
    cfg.team_count = 1;
    g_strlcpy(cfg.teams[0].name, "t", LMN_NAME_SIZE);
    cfg.teams[0].cpus_max = 100;
    now = (struct timespec){1000, 0};
    lmn_test_clock = &now;
    core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
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

static void hand_over(void)
{
    machine->partition->ownership.is_transferring = true;
}
static void is_new(void)
{
    machine->lifecycle.is_accounted = false;
}
static void lacks_record(void)
{
    machine->record.revision = 0;
}
static void retires(void)
{
    machine->lifecycle.is_draining = true;
}
static void is_noticed(void)
{
    machine->lifecycle.has_spot_notice = true;
}
static void has_no_type(void)
{
    machine->type = NULL;
}
static void failed(void)
{
    machine->failures.quarantined_until = lmn_time_add(now, 5);
}
static void job_is_over(void)
{
    job.phase = LMN_JOB_CANCELLED;
}
static void is_full(void)
{
    machine->used.cpus = 7;
}
static void is_promised(void)
{
    machine->reservation.preemption_tasks = 1;
}
static void is_kept(void)
{
    machine->reservation.job = &other;
}
static void job_fails(void)
{
    job.failures.backoff_until = lmn_time_add(now, 5);
}
static void forbids_zone(void)
{
    job.spec.zone = (char *)"b";
}
static void reaches_limit(void)
{
    machine->partition->quota.used_cpus[0] = 49;
}
static void runs_elsewhere(void)
{
    lmn_job_add_zone_tasks(&job, "b", 1);
}
static void is_not_open(void)
{
    machine->partition->ownership.inherited_may_start = false;
}
static void nothing(void)
{
}

/* Each reason is given if, and only if, the decision itself does not start the task. */
static void reasons_are_the_decisions(void **state)
{
    static const struct {
        void (*happens)(void);
        enum lmn_wait_reason reason;
    } cases[] = {
        {nothing, LMN_WAIT_NONE},
        {hand_over, LMN_WAIT_TRANSFER},
        {is_new, LMN_WAIT_UNACCOUNTED},
        {lacks_record, LMN_WAIT_UNRECORDED},
        {retires, LMN_WAIT_DRAINING},
        {is_noticed, LMN_WAIT_SPOT_NOTICE},
        {has_no_type, LMN_WAIT_UNKNOWN_TYPE},
        {failed, LMN_WAIT_QUARANTINED},
        {job_is_over, LMN_WAIT_JOB_ENDED},
        {is_full, LMN_WAIT_CAPACITY},
        {is_promised, LMN_WAIT_PREEMPTION_RESERVED},
        {is_kept, LMN_WAIT_BACKFILL_RESERVED},
        {job_fails, LMN_WAIT_JOB_BACKOFF},
        {forbids_zone, LMN_WAIT_NOT_ELIGIBLE},
        {reaches_limit, LMN_WAIT_QUOTA},
        {runs_elsewhere, LMN_WAIT_ZONE_AFFINITY},
    };
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GByteArray *out = g_byte_array_new();
        make();
        cases[i].happens();
        enum lmn_wait_reason reason = lmn_wait_reason(core, machine, range, now);
        assert_string_equal(lmn_wait_reason_text(reason),
                            lmn_wait_reason_text(cases[i].reason));
        guint started = lmn_schedule_machine(core, machine, out, now);
        assert_int_equal(started, reason == LMN_WAIT_NONE ? TASKS : 0);
        g_byte_array_unref(out);
    }
    make();
    is_not_open();
    assert_int_equal(lmn_wait_reason(core, machine, range, now), LMN_WAIT_UNRECONCILED);
}

static double cpus_left[] = {8}, gpus_left[] = {1e12}; /* of the team's limit */
static const struct lmn_steal_request thief = {
    .partition = 1,
    .capacities = {{"x", "b", false, 2, 0, 64}},
    .capacity_count = 1,
    .team_free_cpus = cpus_left,
    .team_free_gpus = gpus_left};

/* A job of one zone waited for ever in a partition without a machine there. */
static void untouched_job_moves_whole(void **state)
{
    (void)state;
    make();
    forbids_zone();
    assert_int_equal(lmn_victim_load(core, range->partition, &thief), TASKS);
    assert_int_equal(lmn_victim_begin_move(core, range->partition, &thief, now), TASKS);
    assert_int_equal(range->move_at, 0);
    assert_int_equal(machine->queue.task_count, 0);
}

static void half_lies_elsewhere(void)
{
    job.spec.tasks = 2 * TASKS;
}
static void one_has_started(void)
{
    range->started_count = 1;
}
static void one_has_ended(void)
{
    range->finished_count = 1;
}
static void finds_no_room(void)
{
    job.spec.cpus = 4;
}

/* Its tasks would be seen by two owners. */
static void touched_job_stays(void **state)
{
    static void (*const cases[])(void) = {half_lies_elsewhere, one_has_started,
                                          one_has_ended, runs_elsewhere, finds_no_room};
    (void)state;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        make();
        cases[i]();
        assert_int_equal(lmn_victim_load(core, range->partition, &thief), 0);
        assert_int_equal(lmn_victim_begin_move(core, range->partition, &thief, now), 0);
    }
}

/* A machine stayed empty for a job whose tasks had all gone to other partitions. */
static void machine_is_kept_for_who_waits_here(void **state)
{
    (void)state;
    make();
    job.is_starving = other.is_starving = true;
    other.ranges = g_ptr_array_new();
    machine->reservation.job = &job;
    machine->reservation.until = lmn_time_add(now, 60);
    lmn_update_reservations(core, machine->partition, now);
    assert_ptr_equal(machine->reservation.job, &job);
    machine->reservation.job = &other;
    lmn_update_reservations(core, machine->partition, now);
    assert_null(machine->reservation.job);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(reasons_are_the_decisions),
        cmocka_unit_test(untouched_job_moves_whole),
        cmocka_unit_test(touched_job_stays),
        cmocka_unit_test(machine_is_kept_for_who_waits_here),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
