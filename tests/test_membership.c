/* Membership: the conclusions of each function from generated observations, and whole
 * groups of controllers in simulated time, with disturbances and with failures. */
#include "membership/membership.h"
#include "simulation/controller_group.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

static struct lmn_settings settings_of_self;
static struct lmn_members members;
static double now;
static uint64_t sequence_number;
static const struct lmn_member_health healthy = {0, 0.5, 0};

static struct timespec at(double seconds)
{
    return lmn_time_add((struct timespec){1000, 0}, seconds);
}

/* Sets up a group whose first member is this controller. All members are present, and
 * have replied to probes as healthy for ten seconds. */
static void init_group(int member_count)
{
    memset(&settings_of_self, 0, sizeof settings_of_self);
    settings_of_self.lease_s = 31;
    settings_of_self.heartbeat_s = 6;
    g_strlcpy(settings_of_self.node_name, "n00", LMN_NAME_SIZE);
    for (int i = 1; i < member_count; i++)
        g_snprintf(settings_of_self.members[settings_of_self.member_count++].name,
                   LMN_NAME_SIZE, "n%02d", i);
    now = 0;
    lmn_members_init(&members, &settings_of_self, at(0));
    for (int i = 0; i < member_count; i++)
        lmn_member_apply_record(&members, i, (uint64_t)i + 1, 100 + (uint64_t)i, at(0));
    for (; now < 10; now += 0.1) {
        lmn_members_record_watch(&members, at(now));
        lmn_members_tick(&members, 0, at(now));
        for (int i = 1; i < member_count; i++)
            lmn_member_record_probe_reply(&members, i, &healthy, at(now),
                                          at(now + 0.002));
    }
}

/* Lets time pass with a fresh watch cache and punctual ticks. Members from first_silent
 * on do not reply to this controller's probes. The gossip of the other members says that
 * these members do not reply to them either if silent_to_others is set, and otherwise
 * that they do reply. */
static void pass_time(double seconds, int first_silent, bool silent_to_others)
{
    for (double end = now + seconds; now < end; now += 0.1) {
        lmn_members_record_watch(&members, at(now));
        lmn_members_tick(&members, 0, at(now));
        for (int i = 1; i < members.count; i++) {
            if (i >= first_silent) {
                lmn_member_record_probe_timeout(&members, i, at(now), at(now + 0.05));
                continue;
            }
            lmn_member_record_probe_reply(&members, i, &healthy, at(now),
                                          at(now + 0.002));
            for (int k = first_silent; k < members.count; k++) {
                struct lmn_gossip_statement statement = {k, members.views[k].incarnation,
                                                         silent_to_others ? 5 : 0.1,
                                                         silent_to_others ? 1 : 0, 0};
                lmn_member_record_gossip(&members, i, &statement, at(now));
            }
        }
    }
}

static void suspect(int member_index, enum lmn_suspicion_cause cause)
{
    lmn_member_apply_suspicion(&members, member_index, 1000 + (uint64_t)member_index,
                               members.views[member_index].incarnation, "n00", cause,
                               at(now));
}

static void phi_grows_with_the_wait_and_has_an_inverse(void **state)
{
    (void)state;
    GRand *rng = g_rand_new_with_seed(1);

    for (int k = 0; k < 200; k++) {
        struct lmn_phi_accrual accrual = {0};
        double mean = g_rand_double_range(rng, 0.001, 0.5), last = -1;
        for (int i = 0; i < 60; i++)
            lmn_phi_accrual_add(&accrual, mean * g_rand_double_range(rng, 0.5, 1.5));
        for (double wait_s = 0; wait_s < 3; wait_s += 0.1) {
            double phi = lmn_phi_accrual_phi(&accrual, wait_s);
            assert_true(phi >= last && phi <= 16);
            last = phi;
        }
        /* lmn_phi_accrual_timeout_s is the inverse of lmn_phi_accrual_phi. */
        for (double phi = 1; phi <= 8; phi++)
            assert_true(fabs(lmn_phi_accrual_phi(
                                 &accrual, lmn_phi_accrual_timeout_s(&accrual, phi)) -
                             phi) < 1e-6);
    }
    g_rand_free(rng);
}

static void timeouts_fit_in_the_lease(void **state)
{
    struct lmn_membership_timeouts timeouts;
    struct lmn_settings settings = {.heartbeat_s = 2};
    (void)state;

    for (settings.lease_s = 3; settings.lease_s < 120; settings.lease_s += 1) {
        lmn_membership_timeouts_init(&settings, &timeouts);
        assert_true(timeouts.lease_s >= 2 && timeouts.lease_s <= 8);
        /* A failure is detected, suspected and declared before the member's lease would
         * end, if the lease is long enough for that. */
        assert_true(timeouts.lease_s < 3 || timeouts.probe_interval_s +
                                                    timeouts.probe_timeout_s +
                                                    timeouts.suspicion_s <
                                                timeouts.lease_s);
        assert_true(timeouts.stall_s > timeouts.suspicion_s);
    }
}

static void unresponsive_member_is_suspected_then_declared_failed(void **state)
{
    struct lmn_failure_evidence evidence;
    (void)state;

    init_group(3);
    assert_false(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    pass_time(0.5, 2, true);
    assert_true(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    assert_int_equal(evidence.cause, LMN_CAUSE_UNRESPONSIVE);
    assert_int_equal(evidence.independent_witnesses, 2);
    /* No declaration without a suspicion, or before the suspicion has stood for
     * suspicion_s. */
    pass_time(5, 2, true);
    assert_false(lmn_member_is_declared_failed(&members, 2, at(now)));
    suspect(2, LMN_CAUSE_UNRESPONSIVE);
    assert_false(lmn_member_is_declared_failed(&members, 2, at(now)));
    assert_false(lmn_member_is_trusted(&members, 2, at(now)));
    pass_time(members.timeouts.suspicion_s + 0.3, 2, true);
    assert_true(lmn_member_is_declared_failed(&members, 2, at(now)));
    /* The member still counts as failed after its first partition was claimed, so that
     * its other partitions can be claimed too. */
    lmn_member_record_failure(&members, 2, at(now));
    assert_true(lmn_member_is_declared_failed(&members, 2, at(now)));
    /* A refuted suspicion declares no failure. */
    lmn_member_apply_record(&members, 2, 2000, 102, at(now));
    assert_false(lmn_member_is_declared_failed(&members, 2, at(now)));
}

/* A member was declared failed, and the suspicion was deleted (its author had ended)
 * before the member refuted it. The member then had nothing to refute, and if the
 * declaration outlasted the suspicion, no member would ever trust it again. */
static void declared_failure_ends_with_its_suspicion(void **state)
{
    (void)state;

    init_group(3);
    pass_time(5, 2, true);
    suspect(2, LMN_CAUSE_UNRESPONSIVE);
    pass_time(5, 2, true);
    lmn_member_record_failure(&members, 2, at(now));
    pass_time(5, 3, true);
    assert_false(lmn_member_is_trusted(&members, 2, at(now)));
    lmn_member_apply_suspicion(&members, 2, 0, 0, "", LMN_CAUSE_UNRESPONSIVE, at(now));
    pass_time(1, 3, true);
    assert_true(lmn_member_is_trusted(&members, 2, at(now)));
}

static void one_witness_declares_no_failure(void **state)
{
    struct lmn_failure_evidence evidence;
    (void)state;

    /* The third member still reaches it: only the link from this controller is broken. */
    init_group(3);
    pass_time(5, 2, false);
    assert_false(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    assert_true(evidence.is_reached_by_others);
    suspect(2, LMN_CAUSE_UNRESPONSIVE);
    pass_time(10, 2, false);
    assert_false(lmn_member_is_declared_failed(&members, 2, at(now)));
    /* No other member replies to this controller: the fault is probably this
     * controller's, unless enough of a member's workers send their heartbeats here. */
    init_group(3);
    pass_time(5, 1, true);
    suspect(2, LMN_CAUSE_UNRESPONSIVE);
    suspect(1, LMN_CAUSE_UNRESPONSIVE);
    pass_time(5, 1, true);
    assert_false(lmn_member_is_declared_failed(&members, 2, at(now)));
    members.views[2].machine_count = 400;
    for (int i = 0; i < 40; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "host-%d", i);
        lmn_member_record_redirected_worker(&members, 2, name, 1, ++sequence_number,
                                            at(now));
        /* Further heartbeats of the same worker do not count again. */
        assert_int_equal(lmn_member_is_declared_failed(&members, 2, at(now)), i >= 19);
        lmn_member_record_redirected_worker(&members, 2, "host-0", 1, ++sequence_number,
                                            at(now));
    }
}

/* A duplicate of a redirected worker's heartbeat that arrives minutes later must not
 * count as evidence against a member that is healthy by then. */
static void duplicate_heartbeats_are_no_evidence(void **state)
{
    (void)state;
    init_group(3);
    pass_time(1, 3, true);
    lmn_member_record_redirected_worker(&members, 2, "host-1", 3, 7, at(now));
    lmn_member_record_redirected_worker(&members, 2, "host-2", 1, 9, at(now));
    assert_int_equal(lmn_member_count_redirected_workers(&members, 2, at(now)), 2);
    pass_time(60, 3, true);
    assert_int_equal(lmn_member_count_redirected_workers(&members, 2, at(now)), 0);
    lmn_member_record_redirected_worker(&members, 2, "host-1", 3, 7, at(now));
    lmn_member_record_redirected_worker(&members, 2, "host-1", 2, 99, at(now));
    lmn_member_record_redirected_worker(&members, 2, "host-2", 1, 8, at(now));
    assert_int_equal(lmn_member_count_redirected_workers(&members, 2, at(now)), 0);
    lmn_member_record_redirected_worker(&members, 2, "host-1", 4, 1, at(now));
    lmn_member_record_redirected_worker(&members, 2, "host-2", 1, 10, at(now));
    assert_int_equal(lmn_member_count_redirected_workers(&members, 2, at(now)), 2);
}

static void a_majority_is_never_declared_failed(void **state)
{
    unsigned failures_declared = 0;
    (void)state;

    init_group(9);
    pass_time(1, 3, true);
    for (int i = 3; i < 9; i++)
        suspect(i, LMN_CAUSE_UNRESPONSIVE);
    for (int i = 3; i < 9; i++) {
        pass_time(3, 3, true);
        if (!lmn_member_is_declared_failed(&members, i, at(now)))
            break;
        lmn_member_record_failure(&members, i, at(now));
        failures_declared++;
    }
    /* More than half of the nine members have to remain, that is five. */
    assert_int_equal(failures_declared, 4);
}

static void stale_watch_cache_declares_no_failure(void **state)
{
    (void)state;

    init_group(3);
    pass_time(0.5, 2, true);
    suspect(2, LMN_CAUSE_UNRESPONSIVE);
    /* During an outage of the key-value store no member can refute a suspicion. */
    for (double end = now + 20; now < end; now += 0.1)
        lmn_members_tick(&members, 0, at(now));
    assert_false(lmn_member_is_declared_failed(&members, 2, at(now)));
    /* After the outage, the suspicion has to stand for suspicion_s again. */
    pass_time(0.5, 2, true);
    assert_false(lmn_member_is_declared_failed(&members, 2, at(now)));
    pass_time(members.timeouts.suspicion_s + 0.5, 2, true);
    assert_true(lmn_member_is_declared_failed(&members, 2, at(now)));
}

static void partial_failures_get_their_own_cause(void **state)
{
    struct lmn_failure_evidence evidence;
    struct lmn_member_health stale_cache = {0, 4, 0}, no_heartbeats = {0, 0.5, 0.9};
    (void)state;

    init_group(3);
    pass_time(5, 3, true);
    lmn_member_record_probe_reply(&members, 2, &stale_cache, at(now), at(now));
    assert_true(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    assert_int_equal(evidence.cause, LMN_CAUSE_STALE_CACHE);
    /* If this controller's own watch cache was stale as well, the store had an outage,
     * and the member is not suspected. */
    init_group(3);
    now += 5;
    lmn_members_record_watch(&members, at(now));
    lmn_members_tick(&members, 0, at(now));
    lmn_members_record_watch(&members, at(now + 0.01));
    now += 0.1;
    lmn_member_record_probe_reply(&members, 2, &stale_cache, at(now), at(now));
    assert_false(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    /* The member's own report alone is not enough, nor are redirected workers alone. */
    init_group(3);
    pass_time(1, 3, true);
    members.views[2].machine_count = 10;
    lmn_member_record_probe_reply(&members, 2, &no_heartbeats, at(now), at(now));
    assert_false(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    for (int i = 0; i < 3; i++)
        lmn_member_record_redirected_worker(&members, 2, i ? i > 1 ? "a" : "b" : "c", 1,
                                            ++sequence_number, at(now));
    lmn_member_record_probe_reply(&members, 2, &healthy, at(now), at(now));
    assert_false(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    lmn_member_record_probe_reply(&members, 2, &no_heartbeats, at(now), at(now));
    assert_true(lmn_member_should_suspect(&members, 2, at(now), &evidence));
    assert_int_equal(evidence.cause, LMN_CAUSE_NO_HEARTBEATS);
}

static void suspected_controller_refutes_a_wrong_suspicion(void **state)
{
    (void)state;

    init_group(3);
    assert_false(lmn_self_should_refute(&members, at(now)));
    suspect(0, LMN_CAUSE_UNRESPONSIVE);
    assert_true(lmn_self_should_refute(&members, at(now)));
    lmn_member_apply_record(&members, 0, 3000, 100, at(now));
    assert_false(lmn_self_should_refute(&members, at(now)));
    suspect(0, LMN_CAUSE_NO_HEARTBEATS);
    assert_true(lmn_self_should_refute(&members, at(now)));
    members.health.silent_machine_share = 0.9;
    assert_false(lmn_self_should_refute(&members, at(now)));
}

static void
controller_without_heartbeats_transfers_to_the_member_with_its_workers(void **state)
{
    struct lmn_gossip_statement few = {0, 1, 0.1, 0, 2}, many = {0, 1, 0.1, 0, 30};
    (void)state;

    init_group(4);
    members.views[0].machine_count = 300;
    members.health.silent_machine_share = 0.8;
    assert_int_equal(lmn_self_transfer_target(&members, at(now)), -1);
    lmn_member_record_gossip(&members, 1, &few, at(now));
    assert_int_equal(lmn_self_transfer_target(&members, at(now)), -1);
    lmn_member_record_gossip(&members, 2, &many, at(now));
    assert_int_equal(lmn_self_transfer_target(&members, at(now)), 2);
    /* Old gossip does not count, and a suspected member is not a transfer target. */
    suspect(2, LMN_CAUSE_UNRESPONSIVE);
    assert_int_equal(lmn_self_transfer_target(&members, at(now)), -1);
    lmn_member_apply_record(&members, 2, 3000, 102, at(now));
    assert_int_equal(lmn_self_transfer_target(&members, at(now)), 2);
    assert_int_equal(lmn_self_transfer_target(&members, at(now + 5)), -1);
    members.health.silent_machine_share = 0.2;
    assert_int_equal(lmn_self_transfer_target(&members, at(now)), -1);
}

static void stalled_controller_does_not_reply_before_a_fresh_watch(void **state)
{
    (void)state;

    init_group(3);
    assert_true(lmn_self_may_reply(&members, at(now)));
    /* The stall shows even before the next tick. */
    now += members.timeouts.stall_s + 0.3;
    assert_false(lmn_self_may_reply(&members, at(now)));
    lmn_members_tick(&members, 3, at(now));
    assert_false(lmn_self_may_reply(&members, at(now)));
    assert_false(lmn_self_may_claim(&members, at(now)));
    /* A watch request that was sent before the stall ended proves nothing. */
    lmn_members_record_watch(&members, at(now - 0.5));
    assert_false(lmn_self_may_reply(&members, at(now)));
    lmn_members_record_watch(&members, at(now + 0.01));
    assert_true(lmn_self_may_reply(&members, at(now + 0.02)));
    /* A controller whose ticks are always late has not stalled. */
    for (int i = 0; i < 100; i++) {
        now += 2;
        lmn_members_tick(&members, 1.85, at(now));
        lmn_members_record_watch(&members, at(now));
    }
    assert_true(lmn_self_may_reply(&members, at(now + 2)));
}

static void readmission_delay_doubles_with_each_failure(void **state)
{
    double last = 0;
    (void)state;

    init_group(3);
    pass_time(30, 3, true);
    assert_true(lmn_member_readmission_delay_s(&members, 2, at(now)) <= 0);
    for (int i = 0; i < 5; i++) {
        lmn_member_record_failure(&members, 2, at(now));
        lmn_member_record_failure(&members, 2, at(now)); /* a further partition */
        double delay_s = lmn_member_readmission_delay_s(&members, 2, at(now));
        assert_true(i ? fabs(delay_s - 2 * last) < 1 : fabs(delay_s - 15) < 1);
        last = delay_s;
        pass_time(20, 3, true);
    }
    now += 3000;
    assert_true(lmn_member_readmission_delay_s(&members, 2, at(now)) <= 0);
    /* A member that has transferred its partitions itself, and has no suspicion to
     * refute, is not declared failed. */
    lmn_members_record_watch(&members, at(now));
    lmn_members_tick(&members, 0, at(now));
    pass_time(5, 3, true);
    lmn_member_record_failure(&members, 2, at(now));
    pass_time(40, 3, true);
    assert_true(lmn_member_is_trusted(&members, 2, at(now)));
}

static void probe_rate_is_independent_of_group_size(void **state)
{
    static const int sizes[] = {2, 3, 9, 17, 33};
    GRand *rng = g_rand_new_with_seed(4);
    (void)state;

    for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
        unsigned member_probes[33] = {0}, all_probes = 0;
        struct lmn_probe probe;
        double wait_s;
        init_group(sizes[k]);
        members.next_probe_at = members.next_extra_probe_at = at(now);
        for (double end = now + 200; now < end; now += 0.05) {
            lmn_members_record_watch(&members, at(now));
            while (lmn_member_next_probe(&members, rng, at(now), &probe, &wait_s)) {
                assert_true(probe.member > 0 && probe.member < members.count);
                lmn_member_record_probe_reply(&members, probe.member, &healthy, at(now),
                                              at(now));
                member_probes[probe.member]++;
                all_probes++;
            }
        }
        assert_in_range(all_probes, 380, 402);
        /* In each round every member is probed once: none has two probes less than its
         * share. */
        for (int i = 1; i < members.count; i++)
            assert_true(member_probes[i] + 2 >=
                        all_probes / (unsigned)(members.count - 1));
    }
    g_rand_free(rng);
}

/* --- groups in simulated time --- */

static const struct lmn_controller_group_options default_options = {.members = 3,
                                                                    .lease_s = 31,
                                                                    .heartbeat_s = 6,
                                                                    .seconds = 100000,
                                                                    .store_latency_s =
                                                                        0.004};

static void assert_no_false_failure(const struct lmn_controller_group_options *options)
{
    struct lmn_controller_group_result result;

    lmn_simulate_controller_group(options, &result);
    assert_int_equal(result.false_failures, 0);
    assert_true(result.probes > options->seconds);
    /* Every suspicion was refuted. */
    assert_int_equal(result.suspicions, result.refutations);
}

static void disturbances_declare_no_failure(void **state)
{
    struct lmn_controller_group_options options = default_options;
    (void)state;

    options.loss = 0.05;
    assert_no_false_failure(&options);
    options.loss = 0;
    options.store_latency_s *= 12;
    assert_no_false_failure(&options);
    options.store_latency_s /= 12;
    options.max_delay_s = 0.5;
    assert_no_false_failure(&options);
    options.max_delay_s = 0;
    options.stall_interval_s = 60;
    options.max_stall_s = 1;
    assert_no_false_failure(&options);
    options.stall_interval_s = 0;
    options.refusal_interval_s = 60;
    assert_no_false_failure(&options);
    /* A short lease in a group of many members. */
    options = default_options;
    options.lease_s = 10;
    options.heartbeat_s = 1.5;
    options.members = 9;
    options.seconds = 10000;
    options.loss = 0.05;
    options.stall_interval_s = 200;
    options.max_stall_s = 0.8;
    assert_no_false_failure(&options);
}

static void failures_are_declared_within_seven_seconds(void **state)
{
    static const int sizes[] = {2, 3, 9, 33};
    (void)state;

    for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
        double sum = 0;
        for (uint32_t seed = 1; seed <= 20; seed++) {
            struct lmn_controller_group_options options = default_options;
            struct lmn_controller_group_result result;
            options.members = sizes[k];
            options.seed = seed;
            options.seconds = 60;
            options.failing_members = sizes[k] > 4 ? sizes[k] / 3 : 1;
            options.failed_at_s = 20 + 0.037 * seed;
            lmn_simulate_controller_group(&options, &result);
            assert_true(result.declared_failed_s > 0 && result.declared_failed_s < 7);
            assert_true(result.suspected_s < result.declared_failed_s);
            assert_int_equal(result.false_failures, 0);
            sum += result.declared_failed_s;
        }
        assert_true(sum / 20 < 4);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(phi_grows_with_the_wait_and_has_an_inverse),
        cmocka_unit_test(timeouts_fit_in_the_lease),
        cmocka_unit_test(unresponsive_member_is_suspected_then_declared_failed),
        cmocka_unit_test(declared_failure_ends_with_its_suspicion),
        cmocka_unit_test(one_witness_declares_no_failure),
        cmocka_unit_test(duplicate_heartbeats_are_no_evidence),
        cmocka_unit_test(a_majority_is_never_declared_failed),
        cmocka_unit_test(stale_watch_cache_declares_no_failure),
        cmocka_unit_test(partial_failures_get_their_own_cause),
        cmocka_unit_test(suspected_controller_refutes_a_wrong_suspicion),
        cmocka_unit_test(
            controller_without_heartbeats_transfers_to_the_member_with_its_workers),
        cmocka_unit_test(stalled_controller_does_not_reply_before_a_fresh_watch),
        cmocka_unit_test(readmission_delay_doubles_with_each_failure),
        cmocka_unit_test(probe_rate_is_independent_of_group_size),
        cmocka_unit_test(disturbances_declare_no_failure),
        cmocka_unit_test(failures_are_declared_within_seven_seconds),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
