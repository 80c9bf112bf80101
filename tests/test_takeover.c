/* Cold takeovers: every order of starts, losses, late and doubled commands, suspicions,
 * refutations, claims, hand-overs, stalls, restarts and ends of leases, up to a number of
 * states. With each guard taken away the same search must break what it guards. */
#include "takeover/sequences.h"

#include "util/log.h"

/* A start is on its way, the owner suspected, the claim on its way; then carried out, and
 * mirrored by the claimant alone. */
static const enum move suspected[] = {START_A, SUSPECTED, CLAIM_B};
static const enum move claimed[] = {START_A, SUSPECTED, CLAIM_B, APPLY_B, MIRROR_B};
static const enum move handed_over[] = {START_A, HAND_OVER, APPLY_A, MIRROR_B};
static const enum move stalled[] = {START_A, STALL, SUSPECTED, CLAIM_B};
/* The second machine is not recorded when a task starts there. */
static const enum move unrecorded[] = {REPORT_A_1, REPORT_A_1, START_A, SUSPECTED,
                                       CLAIM_B,    APPLY_B,    MIRROR_B};

static void keeps_the_rules(void **state)
{
    (void)state;
    keeps_rules_after((struct sequence){NULL, 0});
    keeps_rules_after(SEQUENCE(suspected));
    keeps_rules_after(SEQUENCE(claimed));
    keeps_rules_after(SEQUENCE(handed_over));
    keeps_rules_after(SEQUENCE(stalled));
}

static void accounting_is_needed(void **state)
{
    (void)state;
    breaks_rule_after(GUARD_ACCOUNTING, SEQUENCE(claimed), TASK_RUNS_TWICE);
    breaks_rule_after(GUARD_ACCOUNTING, SEQUENCE(handed_over), TASK_RUNS_TWICE);
}

static void tokens_are_needed(void **state)
{
    (void)state;
    breaks_rule_after(GUARD_TOKEN, SEQUENCE(claimed), TASK_RUNS_TWICE);
}

static void records_are_needed(void **state)
{
    (void)state;
    breaks_rule_after(GUARD_RECORD, SEQUENCE(unrecorded), TASK_RUNS_TWICE);
}

static void incarnations_are_needed(void **state)
{
    (void)state;
    breaks_rule_after(GUARD_INCARNATION, SEQUENCE(suspected), JUDGED_AFTER_REFUTATION);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keeps_the_rules),         cmocka_unit_test(accounting_is_needed),
        cmocka_unit_test(tokens_are_needed),       cmocka_unit_test(records_are_needed),
        cmocka_unit_test(incarnations_are_needed),
    };
    lmn_log_level = LMN_LOG_ERROR;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
