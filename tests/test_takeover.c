/* Searches of cold takeovers, without a standby. They cover all orders of starts, lost,
 * late and duplicate commands, suspicions, refutations, claims, transfers, paused
 * processes, restarts and expired leases, up to a number of states. With a guard
 * disabled, the search must find the violation that the guard prevents. */
#include "takeover/sequences.h"

#include "util/log.h"

/* A pushed start is in flight, and the owner may be declared failed. The claim is first
 * in flight, then committed and in the claimant's cache only. */
static const enum move claim_in_flight[] = {PUSH_START_A, SUSPICION_DUE, CLAIM_B};
static const enum move claim_committed[] = {PUSH_START_A, SUSPICION_DUE, CLAIM_B,
                                            COMMIT_OWNER_B, SYNC_CACHE_B};
static const enum move transferred[] = {PUSH_START_A, TRANSFER_A, COMMIT_OWNER_A,
                                        SYNC_CACHE_B};
static const enum move owner_paused[] = {PUSH_START_A, PAUSE_A, SUSPICION_DUE, CLAIM_B};
/* A task is started on the second machine before that machine is recorded. */
static const enum move unrecorded_machine[] = {
    HEARTBEAT_A_1, HEARTBEAT_A_1,  PUSH_START_A, SUSPICION_DUE,
    CLAIM_B,       COMMIT_OWNER_B, SYNC_CACHE_B};

static void cold_takeover_keeps_all_invariants(void **state)
{
    (void)state;
    assert_invariants_hold_after((struct sequence){NULL, 0});
    assert_invariants_hold_after(SEQUENCE(claim_in_flight));
    assert_invariants_hold_after(SEQUENCE(claim_committed));
    assert_invariants_hold_after(SEQUENCE(transferred));
    assert_invariants_hold_after(SEQUENCE(owner_paused));
}

static void without_accounting_a_task_runs_twice(void **state)
{
    (void)state;
    assert_violation_after(GUARD_ACCOUNTING, SEQUENCE(claim_committed), TASK_RUNS_TWICE);
    assert_violation_after(GUARD_ACCOUNTING, SEQUENCE(transferred), TASK_RUNS_TWICE);
}

static void without_fencing_tokens_a_task_runs_twice(void **state)
{
    (void)state;
    assert_violation_after(GUARD_FENCING_TOKEN, SEQUENCE(claim_committed),
                           TASK_RUNS_TWICE);
}

static void without_machine_records_a_task_runs_twice(void **state)
{
    (void)state;
    assert_violation_after(GUARD_MACHINE_RECORD, SEQUENCE(unrecorded_machine),
                           TASK_RUNS_TWICE);
}

static void without_incarnations_a_member_is_declared_failed_after_refuting(void **state)
{
    (void)state;
    assert_violation_after(GUARD_INCARNATION, SEQUENCE(claim_in_flight),
                           FAILED_AFTER_REFUTATION);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(cold_takeover_keeps_all_invariants),
        cmocka_unit_test(without_accounting_a_task_runs_twice),
        cmocka_unit_test(without_fencing_tokens_a_task_runs_twice),
        cmocka_unit_test(without_machine_records_a_task_runs_twice),
        cmocka_unit_test(without_incarnations_a_member_is_declared_failed_after_refuting),
    };
    lmn_log_level = LMN_LOG_ERROR;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
