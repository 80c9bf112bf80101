/* An explorer of the hand-over: the product's own transition functions for a home and a
 * host, one job, and every order of sending, loss, doubling, late arrival, ends,
 * cancellation, leash and restore of the host from an older backup. All reachable states
 * are counted and checked; then each guard is taken away, and the same exploration must
 * find a state that breaks a rule.
 *
 * A crash loses nothing but messages, since both records are written before anything is
 * sent: it is covered by loss. Messages in flight are a set, each of which can be
 * delivered any number of times. */
#include "gateway/handover.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { EPOCHS = 2, FLIGHT = 3, INCARNATIONS = 2 };

enum guard {
    G_NONE,
    G_FLOOR,       /* what is resolved as unknown is refused for good */
    G_UNANSWERED,  /* an offer without an answer is not taken back */
    G_EPOCH,       /* answers count for their epoch only */
    G_OLD_OFFER,   /* old offers are not accepted */
    G_INCARNATION, /* a restored host is fenced */
    G_HONEST,      /* withdrawn is told when it is true */
    GUARDS,
};

enum kind {
    OFFER,
    RESOLVE,
    CANCEL,
    HEARD,
    SAY_RUNS,
    SAY_REFUSED,
    SAY_DONE,
    SAY_WITHDRAWN,
    SAY_RETURNED,
    KINDS
};

/* A message's bit in the set: its kind, epoch, and the host's incarnation that said it.
 */
static int bit(enum kind k, uint64_t epoch, unsigned inc)
{
    return (int)(((unsigned)k * EPOCHS + (unsigned)(epoch - 1)) * INCARNATIONS + inc);
}

struct world {
    struct lmn_origin_record home;
    struct lmn_execution_record host, backup;
    uint64_t flight;
    /* the truth, which no record knows */
    bool at_home, at_host;
    uint8_t done; /* how often it has completed */
    uint8_t inc;  /* of the host's state */
    bool backed_up, leash;
};

/* Without padding, for the table of states. */
static char *pack(const struct world *w)
{
    const struct lmn_origin_record *h = &w->home;
    const struct lmn_execution_record *f[] = {&w->host, &w->backup};
    GString *s = g_string_new(NULL);

    g_string_append_printf(s, "%d %d %d %d %d %d %d|", h->state, (int)h->epoch,
                           *h->site != 0, (int)h->incarnation, h->outcome,
                           h->cancel_requested, h->is_revoked);
    for (int i = 0; i < 2; i++)
        g_string_append_printf(s, "%d %d %d %d %d %d|", f[i]->state, (int)f[i]->epoch,
                               (int)f[i]->min_epoch, f[i]->outcome,
                               f[i]->cancel_requested, f[i]->is_acknowledged);
    g_string_append_printf(s, "%" G_GINT64_MODIFIER "x %d%d%d %d %d", w->flight,
                           w->at_home, w->at_host, w->done, w->inc, w->backed_up);
    return g_string_free(s, FALSE);
}

static enum guard without;
static const char *broken;
static bool restores, recalls;

static void send(struct world *w, enum kind k, uint64_t epoch)
{
    if (epoch >= 1 && __builtin_popcountll(w->flight) < FLIGHT)
        w->flight |=
            1ull << bit(k, epoch, k >= SAY_RUNS ? w->inc : (unsigned)w->home.incarnation);
}

static enum kind saying(enum lmn_handover_answer a, enum lmn_handover_outcome o)
{
    if (a != LMN_HANDOVER_FINISHED)
        return a == LMN_HANDOVER_ACCEPTED ? SAY_RUNS : SAY_REFUSED;
    return o == LMN_OUTCOME_DONE        ? SAY_DONE
           : o == LMN_OUTCOME_CANCELLED ? SAY_WITHDRAWN
                                        : SAY_RETURNED;
}

static void host_hears(struct world *w, enum kind k, uint64_t epoch, unsigned inc)
{
    bool ours = inc == w->inc || without == G_INCARNATION;
    struct lmn_execution_record before = w->host;
    enum lmn_handover_answer a;
    bool old;

    if (k == CANCEL) {
        if (ours)
            lmn_execution_cancel(&w->host, epoch);
    } else if (k == HEARD) {
        if (ours)
            lmn_execution_acknowledged(&w->host, epoch);
    } else {
        if (k == OFFER)
            lmn_execution_handle_offer(&w->host, epoch, ours, true, &a, &old);
        else
            lmn_execution_resolve(&w->host, epoch, ours, &a, &old);
        if (without == G_FLOOR && k == RESOLVE && a == LMN_HANDOVER_REJECTED)
            w->host = before;
        if (without == G_OLD_OFFER && k == OFFER &&
            w->host.state != LMN_EXECUTION_RUNNING) {
            w->host.state = LMN_EXECUTION_RUNNING;
            w->host.epoch = epoch;
            old = false;
            a = LMN_HANDOVER_ACCEPTED;
        }
        w->at_host = w->host.state == LMN_EXECUTION_RUNNING;
        if (!old)
            send(w, saying(a, w->host.outcome), epoch);
    }
}

static void home_hears(struct world *w, enum kind k, uint64_t epoch, unsigned inc)
{
    enum lmn_handover_answer a = k == SAY_RUNS      ? LMN_HANDOVER_ACCEPTED
                                 : k == SAY_REFUSED ? LMN_HANDOVER_REJECTED
                                                    : LMN_HANDOVER_FINISHED;
    enum lmn_handover_outcome o = k == SAY_DONE        ? LMN_OUTCOME_DONE
                                  : k == SAY_WITHDRAWN ? LMN_OUTCOME_CANCELLED
                                                       : LMN_OUTCOME_RETURNED;
    bool heard;

    if (without == G_EPOCH)
        epoch = w->home.epoch;
    lmn_origin_handle_answer(&w->home, "host",
                             without == G_INCARNATION ? w->home.incarnation : inc, epoch,
                             a, o, &heard);
    if (heard && k >= SAY_DONE)
        send(w, HEARD, epoch);
}

/* What can happen next: the n-th thing; false past the last. *fair: it needs no fault. */
static bool step(const struct world *from, unsigned n, struct world *w, bool *fair)
{
    *w = *from;
    *fair = true;
    switch (n) {
    case 0:
        if (w->home.epoch < EPOCHS && lmn_origin_offer(&w->home, "host", w->inc, EPOCHS))
            send(w, OFFER, w->home.epoch);
        return true;
    case 1:
        w->at_home = lmn_origin_run_locally(&w->home) || w->at_home;
        return true;
    case 2: /* it completes at home */
        if (w->at_home && lmn_origin_local_finished(&w->home, LMN_OUTCOME_DONE)) {
            w->done++;
            w->at_home = false;
        }
        return true;
    case 3: /* a cancelled one is stopped at home */
        if (w->at_home && w->home.cancel_requested &&
            lmn_origin_local_finished(&w->home, LMN_OUTCOME_CANCELLED))
            w->at_home = false;
        return true;
    case 4:
        if (w->home.state == LMN_ORIGIN_OFFERED || w->home.state == LMN_ORIGIN_REMOTE)
            send(w,
                 w->home.cancel_requested && w->home.state == LMN_ORIGIN_REMOTE ? CANCEL
                                                                                : RESOLVE,
                 w->home.epoch);
        return true;
    case 5:
        lmn_origin_cancel(&w->home);
        if (without == G_HONEST && w->home.state == LMN_ORIGIN_REMOTE) {
            w->home.state = LMN_ORIGIN_FINAL;
            w->home.outcome = LMN_OUTCOME_CANCELLED;
        }
        return true;
    case 6: /* it completes there, */
    case 7: /* is stopped for its cancellation, */
    case 8: /* or for the leash, or to make room */
        if (w->at_host && (n != 7 || w->host.cancel_requested)) {
            lmn_execution_finished(&w->host, n == 6   ? LMN_OUTCOME_DONE
                                             : n == 7 ? LMN_OUTCOME_CANCELLED
                                                      : LMN_OUTCOME_RETURNED);
            w->done += n == 6;
            w->at_host = false;
        }
        *fair = n != 8;
        return true;
    case 9: /* it says what it has, until it was heard */
        if (w->host.state == LMN_EXECUTION_RUNNING)
            send(w, SAY_RUNS, w->host.epoch);
        if (w->host.state == LMN_EXECUTION_FINISHED && !w->host.is_acknowledged)
            send(w, saying(LMN_HANDOVER_FINISHED, w->host.outcome), w->host.epoch);
        return true;
    case 10: /* the leash is over: the host surely runs nothing */
        if (w->leash && !w->at_host && lmn_origin_conclude(&w->home, false))
            /* By then no offer can be accepted any more: a host drops those that come
             * late by its own clock. */
            for (uint64_t e = 1; e <= EPOCHS; e++)
                for (unsigned i = 0; i < INCARNATIONS; i++)
                    w->flight &= ~(1ull << bit(OFFER, e, i));
        return true;
    case 11:
        if (without == G_UNANSWERED && w->home.state == LMN_ORIGIN_OFFERED)
            w->home.state = LMN_ORIGIN_QUEUED;
        return true;
    case 12:
        if (restores && !w->backed_up) {
            w->backup = w->host;
            w->backed_up = true;
        }
        return true;
    case 13: /* restored: it runs what its records say */
        *fair = false;
        if (w->backed_up && w->inc + 1 < INCARNATIONS) {
            w->host = w->backup;
            if (without != G_INCARNATION)
                lmn_execution_restored(&w->host);
            w->at_host = w->host.state == LMN_EXECUTION_RUNNING;
            w->inc++;
        }
        return true;
    case 14: /* an operator calls it back: the host may stop it at any time, see 8 */
        if (recalls)
            lmn_origin_revoke(&w->home);
        return true;
    default:
        break;
    }
    n -= 15;
    /* Each message in flight: lost, delivered, or delivered and still there. */
    for (int b = 0; b < KINDS * EPOCHS * INCARNATIONS; b++) {
        if (!(w->flight >> b & 1))
            continue;
        if (n >= 3) {
            n -= 3;
            continue;
        }
        enum kind k = (enum kind)(b / (EPOCHS * INCARNATIONS));
        uint64_t epoch = (uint64_t)(b / INCARNATIONS % EPOCHS) + 1;
        *fair = n == 1;
        if (n < 2)
            w->flight &= ~(1ull << b);
        if (n > 0 && k < SAY_RUNS)
            host_hears(w, k, epoch, (unsigned)b % INCARNATIONS);
        else if (n > 0)
            home_hears(w, k, epoch, (unsigned)b % INCARNATIONS);
        return true;
    }
    return false;
}

static void check(const struct world *w, const struct world *before)
{
    const struct lmn_origin_record *h = &w->home;

    if (w->at_home && w->at_host)
        broken = "it runs at both sites";
    if (w->done > 1)
        broken = "it completes twice";
    if (h->state == LMN_ORIGIN_FINAL && h->outcome == LMN_OUTCOME_DONE && !w->done)
        broken = "it is called done, and never completed";
    if (h->state == LMN_ORIGIN_FINAL && (w->at_home || w->at_host))
        broken = "it has an outcome, and runs";
    if (before->home.state == LMN_ORIGIN_FINAL &&
        (h->state != LMN_ORIGIN_FINAL || h->outcome != before->home.outcome))
        broken = "its outcome changes";
}

/* The states from which an end can be reached by fair steps alone. */
static guint stuck(GHashTable *ends, GPtrArray *edges_from, GArray *edges_to,
                   guint states)
{
    GPtrArray *back = g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    GArray *work = g_array_new(FALSE, FALSE, sizeof(guint));
    guint8 *good = g_malloc0(states);
    guint left = states;
    GHashTableIter it;
    gpointer key;

    for (guint i = 0; i < states; i++)
        g_ptr_array_add(back, g_array_new(FALSE, FALSE, sizeof(guint)));
    for (guint i = 0; i < edges_to->len; i++) {
        guint from = GPOINTER_TO_UINT(edges_from->pdata[i]);
        g_array_append_val(back->pdata[g_array_index(edges_to, guint, i)], from);
    }
    g_hash_table_iter_init(&it, ends);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        guint i = GPOINTER_TO_UINT(key);
        good[i] = 1;
        g_array_append_val(work, i);
    }
    while (work->len) {
        guint i = g_array_index(work, guint, work->len - 1);
        GArray *b = back->pdata[i];
        g_array_set_size(work, work->len - 1);
        left--;
        for (guint k = 0; k < b->len; k++) {
            guint from = g_array_index(b, guint, k);
            if (good[from])
                continue;
            good[from] = 1;
            g_array_append_val(work, from);
        }
    }
    g_ptr_array_free(back, TRUE);
    g_array_free(work, TRUE);
    g_free(good);
    return left;
}

/* Explores all; the number of states, or fewer if a rule was found broken. */
static guint explore(enum guard guard, bool with_restores, bool with_leash, guint *dead)
{
    GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTable *ends = g_hash_table_new(g_direct_hash, g_direct_equal);
    GArray *worlds = g_array_new(FALSE, FALSE, sizeof(struct world));
    GPtrArray *edges_from = g_ptr_array_new();
    GArray *edges_to = g_array_new(FALSE, FALSE, sizeof(guint));
    struct world first = {.leash = with_leash};

    without = guard;
    restores = with_restores;
    broken = NULL;
    g_array_append_val(worlds, first);
    g_hash_table_insert(seen, pack(&first), GUINT_TO_POINTER(0));
    for (guint i = 0; i < worlds->len && !broken; i++) {
        struct world from = g_array_index(worlds, struct world, i), to;
        bool fair;
        if (from.home.state == LMN_ORIGIN_FINAL || from.home.state == LMN_ORIGIN_FENCED)
            g_hash_table_add(ends, GUINT_TO_POINTER(i));
        for (unsigned n = 0; step(&from, n, &to, &fair) && !broken; n++) {
            gpointer known;
            char *key = pack(&to);
            check(&to, &from);
            if (!g_hash_table_lookup_extended(seen, key, NULL, &known)) {
                known = GUINT_TO_POINTER(worlds->len);
                g_array_append_val(worlds, to);
                g_hash_table_insert(seen, key, known);
            } else {
                g_free(key);
            }
            if (fair && dead) {
                guint at = GPOINTER_TO_UINT(known);
                g_ptr_array_add(edges_from, GUINT_TO_POINTER(i));
                g_array_append_val(edges_to, at);
            }
        }
    }
    guint states = worlds->len;
    if (dead && !broken)
        *dead = stuck(ends, edges_from, edges_to, states);
    g_hash_table_destroy(seen);
    g_hash_table_destroy(ends);
    g_array_free(worlds, TRUE);
    g_ptr_array_free(edges_from, TRUE);
    g_array_free(edges_to, TRUE);
    return states;
}

static void every_order_keeps_the_rules(void **state)
{
    guint dead = 0, states = explore(G_NONE, false, true, &dead);
    (void)state;

    if (broken)
        fail_msg("%s", broken);
    print_message("states: %u, without a way to an end: %u\n", states, dead);
    assert_true(states > 1000);
    assert_int_equal(dead, 0);
}

static void a_job_that_is_called_back_keeps_the_rules(void **state)
{
    guint dead = 0, states;
    (void)state;

    recalls = true;
    states = explore(G_NONE, false, false, &dead);
    recalls = false;
    if (broken)
        fail_msg("%s", broken);
    print_message("states with call-backs: %u, without a way to an end: %u\n", states,
                  dead);
    assert_true(states > 1000);
    assert_int_equal(dead, 0);
}

/* From then on it stays: no offer is made of it, wherever it was. */
static void a_job_that_is_called_back_stays(void **state)
{
    struct lmn_origin_record h = {0};
    bool heard;
    (void)state;

    assert_true(lmn_origin_offer(&h, "host", 1, 4));
    assert_true(lmn_origin_revoke(&h));
    assert_false(lmn_origin_revoke(&h));
    assert_true(lmn_origin_handle_answer(&h, "host", 1, 1, LMN_HANDOVER_FINISHED,
                                         LMN_OUTCOME_RETURNED, &heard));
    assert_int_equal(h.state, LMN_ORIGIN_QUEUED);
    assert_false(lmn_origin_offer(&h, "host", 1, 4));
    assert_true(lmn_origin_run_locally(&h));
    assert_true(lmn_origin_local_finished(&h, LMN_OUTCOME_DONE));
    assert_false(lmn_origin_revoke(&h));
}

static void a_restored_host_is_fenced(void **state)
{
    guint states = explore(G_NONE, true, false, NULL);
    (void)state;

    if (broken)
        fail_msg("%s", broken);
    print_message("states with restores: %u\n", states);
    assert_true(states > 1000);
}

static void each_guard_matters(void **state)
{
    (void)state;
    for (int g = G_NONE + 1; g < GUARDS; g++) {
        guint states = explore((enum guard)g, g == G_INCARNATION, false, NULL);
        print_message("without guard %d: %s, after %u states\n", g, broken ? broken : "-",
                      states);
        assert_non_null(broken);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_order_keeps_the_rules),
        cmocka_unit_test(a_job_that_is_called_back_keeps_the_rules),
        cmocka_unit_test(a_job_that_is_called_back_stays),
        cmocka_unit_test(a_restored_host_is_fenced),
        cmocka_unit_test(each_guard_matters),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
