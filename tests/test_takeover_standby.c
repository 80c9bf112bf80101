/* Searches of warm takeovers, by a standby to which the owner replicates its starts.
 * Batches and their acknowledgements are lost, the standby's record is written late, and
 * a standby is removed while it claims the partition. With any guard of a warm takeover
 * disabled, the search must find a task that runs twice. */
#include "takeover/sequences.h"

#include "util/log.h"

static const enum move standby_in_sync[] = {SYNC_STANDBY};
static const enum move claim_after_acknowledged_start[] = {
    SYNC_STANDBY,  PUSH_START_A, REPLICATE_A,    RELEASE_PUSH_A,
    SUSPICION_DUE, CLAIM_B,      COMMIT_OWNER_B, SYNC_CACHE_B};
static const enum move claim_after_unacknowledged_start[] = {
    SYNC_STANDBY, PUSH_START_A, REPLICATE_UNACKNOWLEDGED, SUSPICION_DUE, CLAIM_B};
static const enum move standby_removed_during_claim[] = {
    SYNC_STANDBY,   SUSPICION_DUE, CLAIM_B,          PUSH_START_A,
    REPLICATE_LOST, REPLICATE_A,   COMMIT_STANDBY_A, SYNC_CACHE_A};
static const enum move transfer_after_acknowledged_start[] = {
    SYNC_STANDBY, PUSH_START_A,   REPLICATE_A, RELEASE_PUSH_A,
    TRANSFER_A,   COMMIT_OWNER_A, SYNC_CACHE_B};

/* Each sequence leads to a task that runs twice if its guard is disabled. */
static const enum move start_sent_without_acknowledgement[] = {
    SYNC_STANDBY, PUSH_START_A,   RELEASE_PUSH_A, SUSPICION_DUE,
    CLAIM_B,      COMMIT_OWNER_B, SYNC_CACHE_B,   WARM_DELAY};
static const enum move start_sent_without_standby_removal[] = {
    SYNC_STANDBY,   PUSH_START_A,   REPLICATE_LOST, REPLICATE_A,
    REPLICATE_A,    RELEASE_PUSH_A, SUSPICION_DUE,  CLAIM_B,
    COMMIT_OWNER_B, SYNC_CACHE_B,   WARM_DELAY};
static const enum move claim_by_removed_standby[] = {
    SYNC_STANDBY,   SUSPICION_DUE,    CLAIM_B,      PUSH_START_A, REPLICATE_LOST,
    REPLICATE_A,    COMMIT_STANDBY_A, SYNC_CACHE_A, REPLICATE_A,  RELEASE_PUSH_A,
    COMMIT_OWNER_B, SYNC_CACHE_B,     WARM_DELAY};
static const enum move attempts_not_held_after_claim[] = {
    SYNC_STANDBY, PUSH_START_A,   REPLICATE_A,  RELEASE_PUSH_A, SUSPICION_DUE,
    CLAIM_B,      COMMIT_OWNER_B, SYNC_CACHE_B, WARM_DELAY};
/* The owner restarts and claims its partition again. It has no synced standby yet, so the
 * replica on B is from the previous epoch. */
static const enum move owner_restarted_before_claim[] = {
    SYNC_STANDBY,   RESTART_A,      SYNC_CACHE_A,  CLAIM_A,
    COMMIT_OWNER_A, SYNC_CACHE_A,   HEARTBEAT_A_0, HEARTBEAT_A_0,
    HEARTBEAT_A_1,  HEARTBEAT_A_1,  SYNC_CACHE_B,  SUSPICION_DUE,
    CLAIM_B,        COMMIT_OWNER_B, SYNC_CACHE_B,  WARM_DELAY};

static void warm_takeover_keeps_all_invariants(void **state)
{
    (void)state;
    assert_invariants_hold_after(SEQUENCE(standby_in_sync));
    assert_invariants_hold_after(SEQUENCE(claim_after_acknowledged_start));
    assert_invariants_hold_after(SEQUENCE(claim_after_unacknowledged_start));
    assert_invariants_hold_after(SEQUENCE(standby_removed_during_claim));
    assert_invariants_hold_after(SEQUENCE(transfer_after_acknowledged_start));
}

static void without_each_guard_a_warm_takeover_runs_a_task_twice(void **state)
{
    (void)state;
    assert_violation_after(GUARD_REPLICA_EPOCH, SEQUENCE(owner_restarted_before_claim),
                           TASK_RUNS_TWICE);
    assert_violation_after(GUARD_ACKNOWLEDGEMENT,
                           SEQUENCE(start_sent_without_acknowledgement), TASK_RUNS_TWICE);
    assert_violation_after(GUARD_STANDBY_REMOVAL,
                           SEQUENCE(start_sent_without_standby_removal), TASK_RUNS_TWICE);
    assert_violation_after(GUARD_RECORDED_STANDBY, SEQUENCE(claim_by_removed_standby),
                           TASK_RUNS_TWICE);
    assert_violation_after(GUARD_REPLICATED_ATTEMPTS,
                           SEQUENCE(attempts_not_held_after_claim), TASK_RUNS_TWICE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(warm_takeover_keeps_all_invariants),
        cmocka_unit_test(without_each_guard_a_warm_takeover_runs_a_task_twice),
    };
    lmn_log_level = LMN_LOG_ERROR;
    model.with_standby = model.both_nodes_may_restart = true;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
