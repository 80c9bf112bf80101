/* Takeovers with faults: the network delivers duplicates of heartbeats late, answers of
 * the key-value store are lost after the commit, and processes restart. The faults are
 * injected at each step of complete sequences, and are among the moves of searches that
 * start from each step. */
#include "takeover/sequences.h"

#include "util/log.h"

enum { STATES_PER_STEP = 200 };

/* Complete sequences, from the first start to the end of the task. The partition is taken
 * over by B's claim, by a claim of A after a restart, and by a transfer from A to B. */
static const enum move cold_takeover[] = {
    HEARTBEAT_A_1, FLUSH_A,        SYNC_CACHE_A,  PUSH_START_A,  SUSPICION_DUE,
    CLAIM_B,       COMMIT_OWNER_B, SYNC_CACHE_B,  HEARTBEAT_B_1, HEARTBEAT_B_0,
    HEARTBEAT_B_1, DELIVER_PUSH_0, HEARTBEAT_A_0, HEARTBEAT_B_0, DELIVER_PUSH_0,
    SYNC_CACHE_A,  COMPLETE_0,     HEARTBEAT_B_0, HEARTBEAT_B_1, FLUSH_B,
    SYNC_CACHE_B,  SYNC_CACHE_A,   HEARTBEAT_B_0};
static const enum move claim_by_restarted_owner[] = {
    HEARTBEAT_A_1, FLUSH_A,       SYNC_CACHE_A,   HEARTBEAT_A_0, RESTART_A,
    SYNC_CACHE_A,  CLAIM_A,       COMMIT_OWNER_A, SYNC_CACHE_A,  HEARTBEAT_A_0,
    HEARTBEAT_A_1, HEARTBEAT_A_0, HEARTBEAT_A_1,  COMPLETE_0,    HEARTBEAT_A_0,
    HEARTBEAT_A_1, FLUSH_A,       SYNC_CACHE_A};
static const enum move transfer[] = {
    HEARTBEAT_A_1, FLUSH_A,        SYNC_CACHE_A,   PUSH_START_A,  DELIVER_PUSH_0,
    TRANSFER_A,    COMMIT_OWNER_A, SYNC_CACHE_B,   HEARTBEAT_B_0, HEARTBEAT_B_0,
    PROBE_B,       HEARTBEAT_B_1,  DELIVER_PUSH_0, SYNC_CACHE_A,  COMPLETE_1,
    HEARTBEAT_B_0, HEARTBEAT_B_1,  FLUSH_B,        SYNC_CACHE_B};
static const enum move warm_takeover[] = {
    SYNC_STANDBY,  PUSH_START_A,   REPLICATE_A,   RELEASE_PUSH_A, SUSPICION_DUE,
    CLAIM_B,       COMMIT_OWNER_B, SYNC_CACHE_B,  WARM_DELAY,     HEARTBEAT_B_1,
    HEARTBEAT_B_1, DELIVER_PUSH_0, HEARTBEAT_B_0, HEARTBEAT_B_1,  DELIVER_PUSH_0,
    SYNC_CACHE_A,  COMPLETE_0,     HEARTBEAT_B_0, HEARTBEAT_B_1,  FLUSH_B,
    SYNC_CACHE_B};

/* A heartbeat's reply starts the task. Then the other machine sends a heartbeat. */
static const enum move start_by_heartbeat[] = {HEARTBEAT_A_0, HEARTBEAT_A_1};

static void assert_invariants_hold_with_faults(struct sequence sequence)
{
    const char *violation = place_faults(GUARD_NONE, sequence);

    if (!violation)
        violation = explore_each_step(sequence, STATES_PER_STEP);
    if (violation)
        fail_msg("%s", violation);
}

static void cold_takeover_with_faults_keeps_all_invariants(void **state)
{
    (void)state;
    model.second_machine_is_unrecorded = true;
    assert_invariants_hold_with_faults(SEQUENCE(cold_takeover));
    assert_invariants_hold_with_faults(SEQUENCE(claim_by_restarted_owner));
    assert_invariants_hold_with_faults(SEQUENCE(transfer));
    model.second_machine_is_unrecorded = false;
}

static void warm_takeover_with_faults_keeps_all_invariants(void **state)
{
    (void)state;
    model.with_standby = true;
    assert_invariants_hold_with_faults(SEQUENCE(warm_takeover));
    model.with_standby = false;
}

static void assert_faults_run_task_twice(enum guard disabled_guard,
                                         struct sequence sequence)
{
    const char *violation = place_faults(disabled_guard, sequence);

    assert_non_null(violation);
    assert_string_equal(violation, TASK_RUNS_TWICE);
}

/* A late heartbeat, sent before the task was started on the machine, does not name the
 * task. If it were applied, the task would be requeued and started on the other machine
 * too. */
static void without_heartbeat_order_a_late_copy_runs_a_task_twice(void **state)
{
    (void)state;
    assert_faults_run_task_twice(GUARD_HEARTBEAT_ORDER, SEQUENCE(start_by_heartbeat));
}

/* Checks the sequences themselves: the faults must be injected in states where only one
 * guard prevents a violation. */
static void without_its_guard_each_sequence_runs_a_task_twice(void **state)
{
    (void)state;
    model.second_machine_is_unrecorded = true;
    assert_faults_run_task_twice(GUARD_FENCING_TOKEN, SEQUENCE(cold_takeover));
    assert_faults_run_task_twice(GUARD_ACCOUNTING, SEQUENCE(transfer));
    model.second_machine_is_unrecorded = false;
    model.with_standby = true;
    assert_faults_run_task_twice(GUARD_REPLICATED_ATTEMPTS, SEQUENCE(warm_takeover));
    model.with_standby = false;
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(without_heartbeat_order_a_late_copy_runs_a_task_twice),
        cmocka_unit_test(without_its_guard_each_sequence_runs_a_task_twice),
        cmocka_unit_test(cold_takeover_with_faults_keeps_all_invariants),
        cmocka_unit_test(warm_takeover_with_faults_keeps_all_invariants),
    };
    lmn_log_level = LMN_LOG_ERROR;
    model.both_nodes_may_restart = true;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
