/* Takeovers during which the network delivers old copies of reports, answers of the state
 * service are lost after the transaction was carried out, and processes restart: placed
 * at each step of whole histories, and searched for from each step of them. */
#include "takeover/sequences.h"

#include "util/log.h"

enum { STATES_A_STEP = 200 };

/* From the first start to the task's end, by the claimant, by the owner's next life, and
 * by the successor that the owner names. */
static const enum move cold[] = {
    REPORT_A_1, FLUSH_A,    MIRROR_A,   START_A,    SUSPECTED,  CLAIM_B,
    APPLY_B,    MIRROR_B,   REPORT_B_1, REPORT_B_0, REPORT_B_1, DELIVER,
    REPORT_A_0, REPORT_B_0, DELIVER,    MIRROR_A,   COMPLETE_0, REPORT_B_0,
    REPORT_B_1, FLUSH_B,    MIRROR_B,   MIRROR_A,   REPORT_B_0};
static const enum move next_life[] = {
    REPORT_A_1, FLUSH_A,    MIRROR_A,   REPORT_A_0, RESTART_A,  MIRROR_A,
    CLAIM_A,    APPLY_A,    MIRROR_A,   REPORT_A_0, REPORT_A_1, REPORT_A_0,
    REPORT_A_1, COMPLETE_0, REPORT_A_0, REPORT_A_1, FLUSH_A,    MIRROR_A};
static const enum move handed_over[] = {
    REPORT_A_1, FLUSH_A,    MIRROR_A,   START_A, DELIVER,    HAND_OVER, APPLY_A,
    MIRROR_B,   REPORT_B_0, REPORT_B_0, PROBE_B, REPORT_B_1, DELIVER,   MIRROR_A,
    COMPLETE_1, REPORT_B_0, REPORT_B_1, FLUSH_B, MIRROR_B};
static const enum move warm[] = {
    IN_STEP,  START_A,  REPLICATE_A, RELEASE_A,  SUSPECTED,  CLAIM_B,    APPLY_B,
    MIRROR_B, WAIT,     REPORT_B_1,  REPORT_B_1, DELIVER,    REPORT_B_0, REPORT_B_1,
    DELIVER,  MIRROR_A, COMPLETE_0,  REPORT_B_0, REPORT_B_1, FLUSH_B,    MIRROR_B};

/* The task is started with a report's answer, and the other machine asks for work. */
static const enum move overtaken[] = {REPORT_A_0, REPORT_A_1};

static void search(struct sequence sequence)
{
    const char *broken = place_faults(GUARD_NONE, sequence);

    if (!broken)
        broken = explore_each_step(sequence, STATES_A_STEP);
    if (broken)
        fail_msg("%s", broken);
}

static void cold_takeovers_keep_the_rules(void **state)
{
    (void)state;
    explored.unrecorded = true;
    search(SEQUENCE(cold));
    search(SEQUENCE(next_life));
    search(SEQUENCE(handed_over));
    explored.unrecorded = false;
}

static void warm_takeovers_keep_the_rules(void **state)
{
    (void)state;
    explored.with_standby = true;
    search(SEQUENCE(warm));
    explored.with_standby = false;
}

static void placements_break(enum guard without, struct sequence sequence)
{
    const char *broken = place_faults(without, sequence);

    assert_non_null(broken);
    assert_string_equal(broken, TASK_RUNS_TWICE);
}

/* A copy of an idle machine's report takes the task away that was started there since. */
static void the_order_of_reports_is_needed(void **state)
{
    (void)state;
    placements_break(GUARD_REPORT_ORDER, SEQUENCE(overtaken));
}

/* So that faults are placed where little is missing for a rule to break. */
static void each_history_needs_a_guard(void **state)
{
    (void)state;
    explored.unrecorded = true;
    placements_break(GUARD_TOKEN, SEQUENCE(cold));
    placements_break(GUARD_ACCOUNTING, SEQUENCE(handed_over));
    explored.unrecorded = false;
    explored.with_standby = true;
    placements_break(GUARD_HELD, SEQUENCE(warm));
    explored.with_standby = false;
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_order_of_reports_is_needed),
        cmocka_unit_test(each_history_needs_a_guard),
        cmocka_unit_test(cold_takeovers_keep_the_rules),
        cmocka_unit_test(warm_takeovers_keep_the_rules),
    };
    lmn_log_level = LMN_LOG_ERROR;
    explored.both_restart = true;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
