/* Warm takeovers: the owner's stream of what it starts is part of the search. Batches and
 * their acknowledgements are lost, the record is written late, a standby is struck off
 * while it claims. Without each check of a warm takeover a task runs twice. */
#include "takeover/sequences.h"

#include "util/log.h"

static const enum move in_step[] = {IN_STEP};
static const enum move told_claim[] = {IN_STEP,   START_A, REPLICATE_A, RELEASE_A,
                                       SUSPECTED, CLAIM_B, APPLY_B,     MIRROR_B};
static const enum move untold_claim[] = {IN_STEP, START_A, REPLICATE_UNACKNOWLEDGED,
                                         SUSPECTED, CLAIM_B};
static const enum move struck_claim[] = {IN_STEP,        SUSPECTED,   CLAIM_B,  START_A,
                                         REPLICATE_LOST, REPLICATE_A, RECORD_A, MIRROR_A};
static const enum move told_handover[] = {IN_STEP,   START_A, REPLICATE_A, RELEASE_A,
                                          HAND_OVER, APPLY_A, MIRROR_B};

/* What each guard is needed for. */
static const enum move unacknowledged[] = {IN_STEP, START_A, RELEASE_A, SUSPECTED,
                                           CLAIM_B, APPLY_B, MIRROR_B,  WAIT};
static const enum move not_struck[] = {
    IN_STEP,   START_A, REPLICATE_LOST, REPLICATE_A, REPLICATE_A, RELEASE_A,
    SUSPECTED, CLAIM_B, APPLY_B,        MIRROR_B,    WAIT};
static const enum move not_named[] = {
    IN_STEP,  SUSPECTED,   CLAIM_B,   START_A, REPLICATE_LOST, REPLICATE_A, RECORD_A,
    MIRROR_A, REPLICATE_A, RELEASE_A, APPLY_B, MIRROR_B,       WAIT};
static const enum move not_held[] = {IN_STEP, START_A, REPLICATE_A, RELEASE_A, SUSPECTED,
                                     CLAIM_B, APPLY_B, MIRROR_B,    WAIT};
/* The owner starts again, claims what was its own, and has nobody in step yet. */
static const enum move owned_between[] = {IN_STEP,    RESTART_A,  MIRROR_A,   CLAIM_A,
                                          APPLY_A,    MIRROR_A,   REPORT_A_0, REPORT_A_0,
                                          REPORT_A_1, REPORT_A_1, MIRROR_B,   SUSPECTED,
                                          CLAIM_B,    APPLY_B,    MIRROR_B,   WAIT};

static void keeps_the_rules_with_a_standby(void **state)
{
    (void)state;
    keeps_rules_after(SEQUENCE(in_step));
    keeps_rules_after(SEQUENCE(told_claim));
    keeps_rules_after(SEQUENCE(untold_claim));
    keeps_rules_after(SEQUENCE(struck_claim));
    keeps_rules_after(SEQUENCE(told_handover));
}

static void each_check_of_a_warm_takeover_is_needed(void **state)
{
    (void)state;
    breaks_rule_after(GUARD_TERM, SEQUENCE(owned_between), TASK_RUNS_TWICE);
    breaks_rule_after(GUARD_ACKNOWLEDGED, SEQUENCE(unacknowledged), TASK_RUNS_TWICE);
    breaks_rule_after(GUARD_STRUCK_OFF, SEQUENCE(not_struck), TASK_RUNS_TWICE);
    breaks_rule_after(GUARD_NAMED, SEQUENCE(not_named), TASK_RUNS_TWICE);
    breaks_rule_after(GUARD_HELD, SEQUENCE(not_held), TASK_RUNS_TWICE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keeps_the_rules_with_a_standby),
        cmocka_unit_test(each_check_of_a_warm_takeover_is_needed),
    };
    lmn_log_level = LMN_LOG_ERROR;
    explored.with_standby = explored.both_restart = true;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
