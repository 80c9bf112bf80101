/* Questions that wait for their confirmation, over generated storms of them. */
#include "util/clock.h"
#include "controller/read_batch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

static void put(struct lmn_read_batch *batch, enum lmn_read_request_kind kind, int job,
                struct timespec now)
{
    struct lmn_read_request *read = g_new0(struct lmn_read_request, 1);

    read->kind = kind;
    read->received_at = now;
    g_snprintf(read->job_id, sizeof read->job_id, "run-%06d", job);
    lmn_read_batch_add(batch, read);
}

static guint done(struct lmn_read_request *read)
{
    guint n = 0;

    for (struct lmn_read_request *next; read; read = next, n++) {
        next = read->next_same_job;
        g_free(read);
    }
    return n;
}

/* Questions come many times as often as they can be confirmed one by one, and the state
 * service answers now and then only after seconds. Nobody who still listens is left out,
 * nobody is held who doesn't, a job stands once in a batch, and what comes first is taken
 * first. */
static void storms(void **state)
{
    GRand *r = g_rand_new_with_seed(3);
    (void)state;

    for (int round = 0; round < 20; round++) {
        struct lmn_read_batch q;
        struct timespec now = {1000, 0};
        struct lmn_read_request *v[16], *cancel, *late;
        guint in = 0, out = 0, told = 0, shared = 0, taken = 0;
        lmn_read_batch_init(&q);
        for (int tick = 0; tick < 2000; tick++) {
            bool slow = tick % 400 > 350;
            double took = slow ? 2 : 0.02;
            guint asked = slow ? 60 : (guint)g_rand_int_range(r, 0, 30);
            for (guint i = 0; i < asked; i++, in++)
                put(&q, g_rand_int_range(r, 0, 50) ? LMN_READ_STATUS : LMN_READ_CANCEL,
                    g_rand_int_range(r, 0, 100),
                    lmn_time_add(now, g_rand_double(r) * took));
            now = lmn_time_add(now, took);
            guint n = lmn_read_batch_dequeue(&q, v, G_N_ELEMENTS(v), &cancel, &late, now);
            assert_true(n <= G_N_ELEMENTS(v));
            for (struct lmn_read_request *read = late; read; read = read->next_same_job)
                assert_true(lmn_time_diff_s(now, read->received_at) >
                            LMN_READ_REQUEST_TIMEOUT_S);
            /* What the state service holds up is over with it. */
            assert_true(tick % 400 > 350 || tick % 400 < 20 || !late);
            told += done(late);
            for (guint i = 0; i < n; i++) {
                guint who = 0;
                for (guint k = 0; k < i; k++)
                    assert_string_not_equal(v[i]->job_id, v[k]->job_id);
                for (struct lmn_read_request *read = v[i]; read;
                     read = read->next_same_job, who++) {
                    assert_true(lmn_time_diff_s(now, read->received_at) <=
                                LMN_READ_REQUEST_TIMEOUT_S);
                    assert_string_equal(read->job_id, v[i]->job_id);
                }
                shared += who > 1;
            }
            for (guint i = 0; i < n; i++, taken++)
                out += done(v[i]);
            out += done(cancel);
            assert_int_equal(q.waiting, in - out - told);
        }
        while (q.waiting) {
            now = lmn_time_add(now, 0.02);
            guint n = lmn_read_batch_dequeue(&q, v, G_N_ELEMENTS(v), &cancel, &late, now);
            for (guint i = 0; i < n; i++)
                out += done(v[i]);
            out += done(cancel);
            told += done(late);
        }
        assert_int_equal(in, out + told);
        assert_true(shared > 100);
        lmn_read_batch_clear(&q);
    }
    g_rand_free(r);
}

/* A job that few ask about is not passed over for those that many do. */
static void nobody_is_passed_over(void **state)
{
    struct lmn_read_batch q;
    struct timespec now = {1000, 0};
    struct lmn_read_request *v[8], *cancel, *late;
    (void)state;

    lmn_read_batch_init(&q);
    for (int i = 0; i < 400; i++)
        put(&q, LMN_READ_STATUS, i % 20, now);
    put(&q, LMN_READ_STATUS, 99, now);
    for (int i = 0; i < 400; i++)
        put(&q, LMN_READ_STATUS, i % 20, now);
    int batches = 0, at = -1;
    while (q.waiting) {
        guint n = lmn_read_batch_dequeue(&q, v, G_N_ELEMENTS(v), &cancel, &late, now);
        for (guint i = 0; i < n; i++) {
            if (g_str_has_suffix(v[i]->job_id, "000099"))
                at = batches;
            assert_int_equal(done(v[i]), i + (guint)batches * 8 == 20 ? 1 : 40);
        }
        batches++;
    }
    assert_int_equal(batches, 3);
    assert_int_equal(at, 2);
    lmn_read_batch_clear(&q);
}

/* A confirmation may be of an instant before a later question arrived: that one waits for
 * the next, and a cancellation shares none. */
static void who_comes_later_is_confirmed_anew(void **state)
{
    struct lmn_read_batch q;
    struct timespec now = {1000, 0};
    struct lmn_read_request *first[4], *second[4], *cancel, *none, *late;
    (void)state;

    lmn_read_batch_init(&q);
    put(&q, LMN_READ_STATUS, 1, now);
    put(&q, LMN_READ_STATUS, 1, now);
    put(&q, LMN_READ_CANCEL, 1, now);
    put(&q, LMN_READ_STATUS, 1, now);
    assert_int_equal(lmn_read_batch_dequeue(&q, first, 4, &cancel, &late, now), 1);
    put(&q, LMN_READ_STATUS, 1, now);
    assert_int_equal(lmn_read_batch_dequeue(&q, second, 4, &none, &late, now), 1);
    assert_null(none);
    assert_int_equal(done(first[0]), 3);
    assert_int_equal(done(second[0]), 1);
    assert_int_equal(done(cancel), 1);
    assert_int_equal(q.waiting, 0);
    lmn_read_batch_clear(&q);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(storms),
        cmocka_unit_test(nobody_is_passed_over),
        cmocka_unit_test(who_comes_later_is_confirmed_anew),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
