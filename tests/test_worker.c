/* Which machines are asked, and when they are given up. */
#include "base/clock.h"
#include "base/settings.h"
#include "own/owner.h"
#include "own/upkeep.h"
#include "own/worker.h"
#include "state/books.h"
#include "state/model.h"
#include "state/state.h"

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

static struct lmn_settings cfg;
static struct lmn_core *core;
static struct timespec now;

static struct lmn_machine *add(int i)
{
    char name[32];

    g_snprintf(name, sizeof name, "host-%06d", i);
    struct lmn_machine *m = lmn_machine_new(&core->parts[0], name);
    m->rev = 1;
    m->heard = m->accounted = true;
    m->last = now;
    return m;
}

static void make(int machines)
{
    memset(&cfg, 0, sizeof cfg);
    cfg.partitions = 1;
    cfg.state_rps = cfg.state_write_rps = 1000;
    cfg.txn_ops = 12;
    cfg.report_s = 8;
    cfg.lease_s = 44;
    cfg.cancel_s = 64;
    now = (struct timespec){1000, 0};
    core = lmn_core_new(&cfg, lmn_state_new(&cfg), 1);
    core->parts[0].mine = core->parts[0].ready = core->parts[0].open = true;
    core->parts[0].my_term = 1;
    core->parts[0].since = now;
    core->synced = true;
    for (int i = 0; i < machines; i++)
        add(i);
}

/* Lets seconds pass in which all but the silent report, and asks whoever is worth asking: none
 * of those answers. */
static void pass(double seconds, const struct lmn_machine *silent)
{
    GHashTableIter it;
    gpointer v;
    char name[LMN_NAME], addr[LMN_ADDR];
    uint64_t term;

    for (double t = 0; t < seconds; t += 0.25) {
        now = lmn_after(now, 0.25);
        core->fresh = now;
        g_hash_table_iter_init(&it, core->parts[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            if (v != silent)
                ((struct lmn_machine *)v)->last = now;
        while (lmn_probe_next(core, 0, 1, name, addr, &term, now)) {
            assert_string_equal(name, silent->name);
            lmn_probe_outcome(core, name, term, LMN_NO_ANSWER, NULL, now);
        }
        lmn_upkeep(core, now);
    }
}

/* A machine that vanished without notice was once only asked during takeovers; its tasks waited
 * for the lease. */
static void silent_is_asked(void **state)
{
    (void)state;
    make(9);
    struct lmn_machine *m = add(100);
    pass(11, m);
    assert_int_equal(m->probes, 0); /* its next report may still be on its way */
    pass(5, m);
    assert_true(m->probes >= 2);
    assert_true(m->retiring && m->force);
}

/* Tasks on a machine that the cloud has announced to take are not waited for beyond that. */
static void taken_is_given_up(void **state)
{
    (void)state;
    make(9);
    struct lmn_machine *m = add(100);
    m->noticed = true;
    m->noticed_at = now;
    m->notice_s = 6;
    pass(5, m);
    assert_false(m->retiring);
    pass(2, m);
    assert_true(m->retiring && m->force);
}

/* A zone was cut off with its controller: that gave up the machines of the other zones when their
 * lease was over by its own reckoning, though a successor had kept them alive, and started their
 * tasks a second time. It may so only if it was the owner still when the lease was over. */
static void lapses_need_ownership(void **state)
{
    (void)state;
    make(0);
    struct lmn_machine *m = add(1);
    core->fresh = lmn_after(now, cfg.lease_s - 1); /* the last that it heard of the state service */
    now = lmn_after(now, 2 * cfg.lease_s);
    lmn_upkeep(core, now);
    assert_false(m->lapsed);
    core->fresh = now; /* heard again, and still the owner */
    lmn_upkeep(core, now);
    assert_true(m->lapsed);
}

/* With a zone that is cut off, its machines were once returned after some seconds, and all
 * replicas on them ended. They are waited for, while a single silent machine is not. */
static void cut_zones_are_waited_for(void **state)
{
    struct lmn_machine *far[8];
    (void)state;
    make(20);
    struct lmn_machine *one = add(100);
    g_strlcpy(one->zone, "a", sizeof one->zone);
    for (int i = 0; i < 8; i++) {
        far[i] = add(200 + i);
        g_strlcpy(far[i]->zone, "b", sizeof far[i]->zone);
        far[i]->probes = 2;
    }
    for (int i = 0; i < 20; i++)
        g_strlcpy(((struct lmn_machine *)g_hash_table_lookup(
                       core->parts[0].machines, g_strdup_printf("host-%06d", i)))->zone,
                  "a", LMN_NAME);
    one->probes = 2;
    now = lmn_after(now, cfg.lease_s - 5);
    core->fresh = now;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, core->parts[0].machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (v != one && strcmp(((struct lmn_machine *)v)->zone, "b"))
            ((struct lmn_machine *)v)->last = now;
    lmn_upkeep(core, now);
    assert_true(one->retiring);
    for (int i = 0; i < 8; i++)
        assert_false(far[i]->retiring);
    /* The cut is over and most are heard again: the others once were returned at that moment. */
    for (int k = 0; k < 2; k++) {
        core->fresh = now = lmn_after(now, k ? cfg.report_s + 11 : 1);
        g_hash_table_iter_init(&it, core->parts[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            if (v != far[0] && v != far[1])
                ((struct lmn_machine *)v)->last = now;
        lmn_upkeep(core, now);
        for (int i = 0; i < 2; i++)
            assert_int_equal(far[i]->retiring, k);
    }
}

/* After a takeover with a zone cut off: where the partition's usual holder stands in that zone, it
 * may still answer its workers; elsewhere nobody does, and all queued work would wait for them. */
static void inherited_ones_are_waited_for_where_the_holder_is(void **state)
{
    static const char *const holder_in[] = {"a", "b"};
    (void)state;
    for (int k = 0; k < 2; k++) {
        make(20);
        g_strlcpy(cfg.zone, holder_in[k], sizeof cfg.zone);
        GHashTableIter it;
        gpointer v;
        g_hash_table_iter_init(&it, core->parts[0].machines);
        while (g_hash_table_iter_next(&it, NULL, &v))
            g_strlcpy(((struct lmn_machine *)v)->zone, "a", LMN_NAME);
        core->parts[0].ready = false;
        struct lmn_machine *far[8];
        for (int i = 0; i < 8; i++) {
            far[i] = add(200 + i);
            g_strlcpy(far[i]->zone, "b", sizeof far[i]->zone);
            far[i]->inherited = true;
            far[i]->heard = far[i]->accounted = false;
            far[i]->probes = 2;
        }
        now = lmn_after(now, 6);
        core->fresh = now;
        lmn_upkeep(core, now);
        for (int i = 0; i < 8; i++)
            assert_int_equal(far[i]->retiring, k == 0);
    }
}

/* One that does not answer holds a lane up: the others are asked before it is asked again. */
static void unanswered_come_last(void **state)
{
    char name[LMN_NAME], addr[LMN_ADDR];
    uint64_t term;
    (void)state;
    make(0);
    core->parts[0].ready = false;
    core->parts[0].asking = true;
    for (int i = 0; i < 20; i++) {
        struct lmn_machine *m = add(i);
        m->inherited = true;
        m->accounted = false;
        m->probes = i % 2;
    }
    for (int i = 0; i < 20; i++) {
        assert_true(lmn_probe_next(core, 0, 1, name, addr, &term, now));
        struct lmn_machine *m = g_hash_table_lookup(core->parts[0].machines, name);
        assert_int_equal(m->probes, i < 10 ? 0 : 1);
    }
    assert_false(lmn_probe_next(core, 0, 1, name, addr, &term, now));
}

/* After a wave of losses a few lanes were left with most of the silent machines, a second for each
 * question: any lane asks them, and once is enough for one whose report is overdue. */
static void any_lane_asks(void **state)
{
    char name[LMN_NAME], addr[LMN_ADDR];
    uint64_t term;
    struct lmn_machine *lost[12];
    (void)state;
    make(40);
    core->parts[0].ready = false;
    core->parts[0].asking = true;
    for (int i = 0; i < 12; i++) {
        lost[i] = add(100 + i);
        lost[i]->inherited = true;
        lost[i]->heard = lost[i]->accounted = false;
    }
    now = lmn_after(now, 3);
    for (unsigned lane = 0; lane < 12; lane++)
        assert_true(lmn_probe_next(core, lane, 12, name, addr, &term, now));
    assert_false(lmn_probe_next(core, 0, 12, name, addr, &term, now));
    for (int i = 0; i < 12; i++)
        lmn_probe_outcome(core, lost[i]->name, 1, LMN_NO_ANSWER, NULL, now);
    core->fresh = now = lmn_after(now, 2);
    lmn_upkeep(core, now);
    for (int i = 0; i < 12; i++)
        assert_false(lost[i]->retiring);
    core->fresh = now = lmn_after(now, 1.25 * cfg.report_s);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, core->parts[0].machines);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (!((struct lmn_machine *)v)->inherited)
            ((struct lmn_machine *)v)->last = now;
    lmn_upkeep(core, now);
    for (int i = 0; i < 12; i++)
        assert_true(lost[i]->retiring);
}

/* Machines of a partition whose inherited work still waits were returned as idle, and rented anew
 * as soon as it was ready. */
static void idle_counts_from_readiness(void **state)
{
    (void)state;
    make(6);
    struct lmn_machine *m = add(50);
    core->parts[0].ready = false;
    m->idle = now;
    struct lmn_machine *lost = add(51);
    lost->inherited = true;
    lost->heard = lost->accounted = false;
    for (int i = 0; i < 30; i++) {
        core->fresh = m->last = now = lmn_after(now, 1);
        lmn_upkeep(core, now);
        assert_false(m->retiring);
        if (i == 20)
            lmn_machine_gone(core, lost, now);
    }
    assert_true(core->parts[0].ready);
    for (int i = 0; i < 10; i++) {
        core->fresh = m->last = now = lmn_after(now, 1);
        lmn_upkeep(core, now);
    }
    assert_true(m->retiring);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(silent_is_asked),
        cmocka_unit_test(taken_is_given_up),
        cmocka_unit_test(unanswered_come_last),
        cmocka_unit_test(lapses_need_ownership),
        cmocka_unit_test(any_lane_asks),
        cmocka_unit_test(idle_counts_from_readiness),
        cmocka_unit_test(cut_zones_are_waited_for),
        cmocka_unit_test(inherited_ones_are_waited_for_where_the_holder_is),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
