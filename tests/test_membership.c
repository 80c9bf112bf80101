/* Members: what each function concludes from generated observations, and groups of them
 * in simulated time, under noise and failures. */
#include "membership/membership.h"
#include "simulation/controller_group.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

static struct lmn_settings cfg;
static struct lmn_members ms;
static double now;
static uint64_t visits;
static const struct lmn_member_health well = {0, 0.5, 0};

static struct timespec at(double s)
{
    return lmn_time_add((struct timespec){1000, 0}, s);
}

/* n members of which this is the first, all up, seen for ten seconds and well. */
static void meet(int n)
{
    memset(&cfg, 0, sizeof cfg);
    cfg.lease_s = 31;
    cfg.heartbeat_s = 6;
    g_strlcpy(cfg.node_name, "n00", LMN_NAME_SIZE);
    for (int i = 1; i < n; i++)
        g_snprintf(cfg.members[cfg.member_count++].name, LMN_NAME_SIZE, "n%02d", i);
    now = 0;
    lmn_members_init(&ms, &cfg, at(0));
    for (int i = 0; i < n; i++)
        lmn_member_apply_record(&ms, i, (uint64_t)i + 1, 100 + (uint64_t)i, at(0));
    for (; now < 10; now += 0.1) {
        lmn_members_record_watch(&ms, at(now));
        lmn_members_tick(&ms, 0, at(now));
        for (int i = 1; i < n; i++)
            lmn_member_record_probe_reply(&ms, i, &well, at(now), at(now + 0.002));
    }
}

/* Time passes: the mirror is fresh, the ticks come, and those from `silent` on answer
 * nothing, neither this node nor, if others say so, the others. */
static void pass(double s, int silent, bool others)
{
    for (double end = now + s; now < end; now += 0.1) {
        lmn_members_record_watch(&ms, at(now));
        lmn_members_tick(&ms, 0, at(now));
        for (int i = 1; i < ms.count; i++) {
            if (i >= silent) {
                lmn_member_record_probe_timeout(&ms, i, at(now), at(now + 0.05));
                continue;
            }
            lmn_member_record_probe_reply(&ms, i, &well, at(now), at(now + 0.002));
            for (int k = silent; k < ms.count; k++) {
                struct lmn_gossip_statement says = {k, ms.views[k].incarnation,
                                                    others ? 5 : 0.1, others ? 1 : 0, 0};
                lmn_member_record_gossip(&ms, i, &says, at(now));
            }
        }
    }
}

static void doubt(int member_index, enum lmn_suspicion_cause why)
{
    lmn_member_apply_suspicion(&ms, member_index, 1000 + (uint64_t)member_index,
                               ms.views[member_index].incarnation, "n00", why, at(now));
}

static void tells_how_unlikely_a_wait_is(void **state)
{
    (void)state;
    GRand *r = g_rand_new_with_seed(1);

    for (int k = 0; k < 200; k++) {
        struct lmn_phi_accrual a = {0};
        double mean = g_rand_double_range(r, 0.001, 0.5), last = -1;
        for (int i = 0; i < 60; i++)
            lmn_phi_accrual_add(&a, mean * g_rand_double_range(r, 0.5, 1.5));
        for (double s = 0; s < 3; s += 0.1) {
            double phi = lmn_phi_accrual_phi(&a, s);
            assert_true(phi >= last && phi <= 16);
            last = phi;
        }
        /* The wait for phi is where phi is. */
        for (double phi = 1; phi <= 8; phi++)
            assert_true(fabs(lmn_phi_accrual_phi(&a, lmn_phi_accrual_timeout_s(&a, phi)) -
                             phi) < 1e-6);
    }
    g_rand_free(r);
}

static void times_follow_from_the_settings(void **state)
{
    struct lmn_membership_timeouts t;
    struct lmn_settings s = {.heartbeat_s = 2};
    (void)state;

    for (s.lease_s = 3; s.lease_s < 120; s.lease_s += 1) {
        lmn_membership_timeouts_init(&s, &t);
        assert_true(t.lease_s >= 2 && t.lease_s <= 8);
        /* A failure is noticed, suspected and judged before the lease would end, where
         * the lease leaves the time for that. */
        assert_true(t.lease_s < 3 ||
                    t.probe_interval_s + t.probe_timeout_s + t.suspicion_s < t.lease_s);
        assert_true(t.stall_s > t.suspicion_s);
    }
}

static void silence_is_suspected_then_judged(void **state)
{
    struct lmn_failure_evidence e;
    (void)state;

    meet(3);
    assert_false(lmn_member_should_suspect(&ms, 2, at(now), &e));
    pass(0.5, 2, true);
    assert_true(lmn_member_should_suspect(&ms, 2, at(now), &e));
    assert_int_equal(e.cause, LMN_CAUSE_UNRESPONSIVE);
    assert_int_equal(e.independent_witnesses, 2);
    /* Never without a suspicion, nor before it has stood. */
    pass(5, 2, true);
    assert_false(lmn_member_is_declared_failed(&ms, 2, at(now)));
    doubt(2, LMN_CAUSE_UNRESPONSIVE);
    assert_false(lmn_member_is_declared_failed(&ms, 2, at(now)));
    assert_false(lmn_member_is_trusted(&ms, 2, at(now)));
    pass(ms.timeouts.suspicion_s + 0.3, 2, true);
    assert_true(lmn_member_is_declared_failed(&ms, 2, at(now)));
    /* For all of its partitions: after the first it is judged still. */
    lmn_member_record_failure(&ms, 2, at(now));
    assert_true(lmn_member_is_declared_failed(&ms, 2, at(now)));
    /* Nor once it was refuted. */
    lmn_member_apply_record(&ms, 2, 2000, 102, at(now));
    assert_false(lmn_member_is_declared_failed(&ms, 2, at(now)));
}

/* The accuser has ended, and its suspicion with it, before the judged could refute: it
 * had nothing to refute any more, and was trusted by nobody for ever. */
static void a_verdict_ends_with_its_suspicion(void **state)
{
    (void)state;

    meet(3);
    pass(5, 2, true);
    doubt(2, LMN_CAUSE_UNRESPONSIVE);
    pass(5, 2, true);
    lmn_member_record_failure(&ms, 2, at(now));
    pass(5, 3, true);
    assert_false(lmn_member_is_trusted(&ms, 2, at(now)));
    lmn_member_apply_suspicion(&ms, 2, 0, 0, "", LMN_CAUSE_UNRESPONSIVE, at(now));
    pass(1, 3, true);
    assert_true(lmn_member_is_trusted(&ms, 2, at(now)));
}

static void one_side_is_not_enough(void **state)
{
    struct lmn_failure_evidence e;
    (void)state;

    /* The other still hears it: a broken link. */
    meet(3);
    pass(5, 2, false);
    assert_false(lmn_member_should_suspect(&ms, 2, at(now), &e));
    assert_true(e.is_reached_by_others);
    doubt(2, LMN_CAUSE_UNRESPONSIVE);
    pass(10, 2, false);
    assert_false(lmn_member_is_declared_failed(&ms, 2, at(now)));
    /* Both silent to us alone: the fault is here, unless its workers say otherwise. */
    meet(3);
    pass(5, 1, true);
    doubt(2, LMN_CAUSE_UNRESPONSIVE);
    doubt(1, LMN_CAUSE_UNRESPONSIVE);
    pass(5, 1, true);
    assert_false(lmn_member_is_declared_failed(&ms, 2, at(now)));
    ms.views[2].machine_count = 400;
    for (int i = 0; i < 40; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "host-%d", i);
        lmn_member_record_redirected_worker(&ms, 2, name, 1, ++visits, at(now));
        /* The same ones again are no more. */
        assert_int_equal(lmn_member_is_declared_failed(&ms, 2, at(now)), i >= 19);
        lmn_member_record_redirected_worker(&ms, 2, "host-0", 1, ++visits, at(now));
    }
}

/* A copy of a worker's report that comes again, up to minutes later, spoke against a
 * member that was well by then. */
static void late_copies_are_no_witnesses(void **state)
{
    (void)state;
    meet(3);
    pass(1, 3, true);
    lmn_member_record_redirected_worker(&ms, 2, "host-1", 3, 7, at(now));
    lmn_member_record_redirected_worker(&ms, 2, "host-2", 1, 9, at(now));
    assert_int_equal(lmn_member_redirected_workers(&ms, 2, at(now)), 2);
    pass(60, 3, true);
    assert_int_equal(lmn_member_redirected_workers(&ms, 2, at(now)), 0);
    lmn_member_record_redirected_worker(&ms, 2, "host-1", 3, 7, at(now));
    lmn_member_record_redirected_worker(&ms, 2, "host-1", 2, 99, at(now));
    lmn_member_record_redirected_worker(&ms, 2, "host-2", 1, 8, at(now));
    assert_int_equal(lmn_member_redirected_workers(&ms, 2, at(now)), 0);
    lmn_member_record_redirected_worker(&ms, 2, "host-1", 4, 1, at(now));
    lmn_member_record_redirected_worker(&ms, 2, "host-2", 1, 10, at(now));
    assert_int_equal(lmn_member_redirected_workers(&ms, 2, at(now)), 2);
}

static void most_are_not_judged_at_a_time(void **state)
{
    unsigned judged = 0;
    (void)state;

    meet(9);
    pass(1, 3, true);
    for (int i = 3; i < 9; i++)
        doubt(i, LMN_CAUSE_UNRESPONSIVE);
    for (int i = 3; i < 9; i++) {
        pass(3, 3, true);
        if (!lmn_member_is_declared_failed(&ms, i, at(now)))
            break;
        lmn_member_record_failure(&ms, i, at(now));
        judged++;
    }
    /* Of nine, five have to remain. */
    assert_int_equal(judged, 4);
}

static void an_old_mirror_judges_nobody(void **state)
{
    (void)state;

    meet(3);
    pass(0.5, 2, true);
    doubt(2, LMN_CAUSE_UNRESPONSIVE);
    /* An outage of the state service: nobody could have refuted. */
    for (double end = now + 20; now < end; now += 0.1)
        lmn_members_tick(&ms, 0, at(now));
    assert_false(lmn_member_is_declared_failed(&ms, 2, at(now)));
    /* After it, the suspicion stands anew. */
    pass(0.5, 2, true);
    assert_false(lmn_member_is_declared_failed(&ms, 2, at(now)));
    pass(ms.timeouts.suspicion_s + 0.5, 2, true);
    assert_true(lmn_member_is_declared_failed(&ms, 2, at(now)));
}

static void half_failures_are_told_apart(void **state)
{
    struct lmn_failure_evidence e;
    struct lmn_member_health blind = {0, 4, 0}, deaf = {0, 0.5, 0.9};
    (void)state;

    meet(3);
    pass(5, 3, true);
    lmn_member_record_probe_reply(&ms, 2, &blind, at(now), at(now));
    assert_true(lmn_member_should_suspect(&ms, 2, at(now), &e));
    assert_int_equal(e.cause, LMN_CAUSE_STALE_CACHE);
    /* Not when our own mirror has stood still as well: then it was an outage. */
    meet(3);
    now += 5;
    lmn_members_record_watch(&ms, at(now));
    lmn_members_tick(&ms, 0, at(now));
    lmn_members_record_watch(&ms, at(now + 0.01));
    now += 0.1;
    lmn_member_record_probe_reply(&ms, 2, &blind, at(now), at(now));
    assert_false(lmn_member_should_suspect(&ms, 2, at(now), &e));
    /* Its word alone is not enough, nor are workers that were turned away. */
    meet(3);
    pass(1, 3, true);
    ms.views[2].machine_count = 10;
    lmn_member_record_probe_reply(&ms, 2, &deaf, at(now), at(now));
    assert_false(lmn_member_should_suspect(&ms, 2, at(now), &e));
    for (int i = 0; i < 3; i++)
        lmn_member_record_redirected_worker(&ms, 2, i ? i > 1 ? "a" : "b" : "c", 1,
                                            ++visits, at(now));
    lmn_member_record_probe_reply(&ms, 2, &well, at(now), at(now));
    assert_false(lmn_member_should_suspect(&ms, 2, at(now), &e));
    lmn_member_record_probe_reply(&ms, 2, &deaf, at(now), at(now));
    assert_true(lmn_member_should_suspect(&ms, 2, at(now), &e));
    assert_int_equal(e.cause, LMN_CAUSE_NO_HEARTBEATS);
}

static void the_suspected_refutes_what_is_untrue(void **state)
{
    (void)state;

    meet(3);
    assert_false(lmn_self_should_refute(&ms, at(now)));
    doubt(0, LMN_CAUSE_UNRESPONSIVE);
    assert_true(lmn_self_should_refute(&ms, at(now)));
    lmn_member_apply_record(&ms, 0, 3000, 100, at(now));
    assert_false(lmn_self_should_refute(&ms, at(now)));
    doubt(0, LMN_CAUSE_NO_HEARTBEATS);
    assert_true(lmn_self_should_refute(&ms, at(now)));
    ms.health.silent_machine_share = 0.9;
    assert_false(lmn_self_should_refute(&ms, at(now)));
}

static void a_deaf_node_knows_its_heir(void **state)
{
    struct lmn_gossip_statement few = {0, 1, 0.1, 0, 2}, many = {0, 1, 0.1, 0, 30};
    (void)state;

    meet(4);
    ms.views[0].machine_count = 300;
    ms.health.silent_machine_share = 0.8;
    assert_int_equal(lmn_self_transfer_target(&ms, at(now)), -1);
    lmn_member_record_gossip(&ms, 1, &few, at(now));
    assert_int_equal(lmn_self_transfer_target(&ms, at(now)), -1);
    lmn_member_record_gossip(&ms, 2, &many, at(now));
    assert_int_equal(lmn_self_transfer_target(&ms, at(now)), 2);
    /* What they said is forgotten, and one that is suspected inherits nothing. */
    doubt(2, LMN_CAUSE_UNRESPONSIVE);
    assert_int_equal(lmn_self_transfer_target(&ms, at(now)), -1);
    lmn_member_apply_record(&ms, 2, 3000, 102, at(now));
    assert_int_equal(lmn_self_transfer_target(&ms, at(now)), 2);
    assert_int_equal(lmn_self_transfer_target(&ms, at(now + 5)), -1);
    ms.health.silent_machine_share = 0.2;
    assert_int_equal(lmn_self_transfer_target(&ms, at(now)), -1);
}

static void a_stand_still_is_noticed_before_an_answer(void **state)
{
    (void)state;

    meet(3);
    assert_true(lmn_self_may_reply(&ms, at(now)));
    /* No tick is needed for it. */
    now += ms.timeouts.stall_s + 0.3;
    assert_false(lmn_self_may_reply(&ms, at(now)));
    lmn_members_tick(&ms, 3, at(now));
    assert_false(lmn_self_may_reply(&ms, at(now)));
    assert_false(lmn_self_may_claim(&ms, at(now)));
    /* What was asked before it proves nothing. */
    lmn_members_record_watch(&ms, at(now - 0.5));
    assert_false(lmn_self_may_reply(&ms, at(now)));
    lmn_members_record_watch(&ms, at(now + 0.01));
    assert_true(lmn_self_may_reply(&ms, at(now + 0.02)));
    /* A node that is always late stands not still. */
    for (int i = 0; i < 100; i++) {
        now += 2;
        lmn_members_tick(&ms, 1.85, at(now));
        lmn_members_record_watch(&ms, at(now));
    }
    assert_true(lmn_self_may_reply(&ms, at(now + 2)));
}

static void work_comes_back_later_each_time(void **state)
{
    double last = 0;
    (void)state;

    meet(3);
    pass(30, 3, true);
    assert_true(lmn_member_readmission_delay_s(&ms, 2, at(now)) <= 0);
    for (int i = 0; i < 5; i++) {
        lmn_member_record_failure(&ms, 2, at(now));
        lmn_member_record_failure(&ms, 2, at(now)); /* its other partitions */
        double back = lmn_member_readmission_delay_s(&ms, 2, at(now));
        assert_true(i ? fabs(back - 2 * last) < 1 : fabs(back - 15) < 1);
        last = back;
        pass(20, 3, true);
    }
    now += 3000;
    assert_true(lmn_member_readmission_delay_s(&ms, 2, at(now)) <= 0);
    /* One that gave its partitions away itself is not out: it has nothing to refute. */
    lmn_members_record_watch(&ms, at(now));
    lmn_members_tick(&ms, 0, at(now));
    pass(5, 3, true);
    lmn_member_record_failure(&ms, 2, at(now));
    pass(40, 3, true);
    assert_true(lmn_member_is_trusted(&ms, 2, at(now)));
}

static void questions_cost_the_same_at_any_size(void **state)
{
    static const int sizes[] = {2, 3, 9, 17, 33};
    GRand *r = g_rand_new_with_seed(4);
    (void)state;

    for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
        unsigned asked[33] = {0}, all = 0;
        struct lmn_probe q;
        double wait;
        meet(sizes[k]);
        ms.next_probe_at = ms.next_extra_probe_at = at(now);
        for (double end = now + 200; now < end; now += 0.05) {
            lmn_members_record_watch(&ms, at(now));
            while (lmn_member_next_probe(&ms, r, at(now), &q, &wait)) {
                assert_true(q.member > 0 && q.member < ms.count);
                lmn_member_record_probe_reply(&ms, q.member, &well, at(now), at(now));
                asked[q.member]++;
                all++;
            }
        }
        assert_in_range(all, 380, 402);
        /* In turns: none is asked much less than others. */
        for (int i = 1; i < ms.count; i++)
            assert_true(asked[i] + 2 >= all / (unsigned)(ms.count - 1));
    }
    g_rand_free(r);
}

/* --- groups in simulated time --- */

static const struct lmn_controller_group_options usual = {.members = 3,
                                                          .lease_s = 31,
                                                          .heartbeat_s = 6,
                                                          .seconds = 100000,
                                                          .store_latency_s = 0.004};

static void calm(const struct lmn_controller_group_options *o)
{
    struct lmn_controller_group_result r;

    lmn_simulate_controller_group(o, &r);
    assert_int_equal(r.false_failures, 0);
    assert_true(r.probes > o->seconds);
    /* Every suspicion was refuted. */
    assert_int_equal(r.suspicions, r.refutations);
}

static void noise_makes_no_verdict(void **state)
{
    struct lmn_controller_group_options o = usual;
    (void)state;

    o.loss = 0.05;
    calm(&o);
    o.loss = 0;
    o.store_latency_s *= 12;
    calm(&o);
    o.store_latency_s /= 12;
    o.max_delay_s = 0.5;
    calm(&o);
    o.max_delay_s = 0;
    o.stall_interval_s = 60;
    o.max_stall_s = 1;
    calm(&o);
    o.stall_interval_s = 0;
    o.refusal_interval_s = 60;
    calm(&o);
    /* And a short lease on many members. */
    o = usual;
    o.lease_s = 10;
    o.heartbeat_s = 1.5;
    o.members = 9;
    o.seconds = 10000;
    o.loss = 0.05;
    o.stall_interval_s = 200;
    o.max_stall_s = 0.8;
    calm(&o);
}

static void failures_are_judged_in_time(void **state)
{
    static const int sizes[] = {2, 3, 9, 33};
    (void)state;

    for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
        double sum = 0;
        for (uint32_t seed = 1; seed <= 20; seed++) {
            struct lmn_controller_group_options o = usual;
            struct lmn_controller_group_result r;
            o.members = sizes[k];
            o.seed = seed;
            o.seconds = 60;
            o.failing_members = sizes[k] > 4 ? sizes[k] / 3 : 1;
            o.failed_at_s = 20 + 0.037 * seed;
            lmn_simulate_controller_group(&o, &r);
            assert_true(r.declared_failed_s > 0 && r.declared_failed_s < 7);
            assert_true(r.suspected_s < r.declared_failed_s);
            assert_int_equal(r.false_failures, 0);
            sum += r.declared_failed_s;
        }
        assert_true(sum / 20 < 4);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(tells_how_unlikely_a_wait_is),
        cmocka_unit_test(times_follow_from_the_settings),
        cmocka_unit_test(silence_is_suspected_then_judged),
        cmocka_unit_test(a_verdict_ends_with_its_suspicion),
        cmocka_unit_test(one_side_is_not_enough),
        cmocka_unit_test(late_copies_are_no_witnesses),
        cmocka_unit_test(most_are_not_judged_at_a_time),
        cmocka_unit_test(an_old_mirror_judges_nobody),
        cmocka_unit_test(half_failures_are_told_apart),
        cmocka_unit_test(the_suspected_refutes_what_is_untrue),
        cmocka_unit_test(a_deaf_node_knows_its_heir),
        cmocka_unit_test(a_stand_still_is_noticed_before_an_answer),
        cmocka_unit_test(work_comes_back_later_each_time),
        cmocka_unit_test(questions_cost_the_same_at_any_size),
        cmocka_unit_test(noise_makes_no_verdict),
        cmocka_unit_test(failures_are_judged_in_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
