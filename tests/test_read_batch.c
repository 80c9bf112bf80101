/* The queue of requests that wait for a confirmation, under random load and overload. */
#include "util/clock.h"
#include "controller/read_batch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

static void add_request(struct lmn_read_batch *batch, enum lmn_read_request_kind kind,
                        int job, struct timespec now)
{
    struct lmn_read_request *read = g_new0(struct lmn_read_request, 1);

    read->kind = kind;
    read->received_at = now;
    g_snprintf(read->job_id, sizeof read->job_id, "run-%06d", job);
    lmn_read_batch_add(batch, read);
}

static guint free_list(struct lmn_read_request *read)
{
    guint count = 0;

    for (struct lmn_read_request *next; read; read = next, count++) {
        next = read->next_same_job;
        g_free(read);
    }
    return count;
}

/* Requests arrive many times faster than they could be confirmed one by one, and at times
 * the key-value store takes 2 s to answer. Each request leaves the queue exactly once:
 * with the requests for its job if it is within its timeout, otherwise as late. No job
 * is in a batch twice. */
static void overload_loses_and_delays_no_request(void **state)
{
    GRand *random = g_rand_new_with_seed(3);
    (void)state;

    for (int round = 0; round < 20; round++) {
        struct lmn_read_batch batch;
        struct timespec now = {1000, 0};
        struct lmn_read_request *jobs[16], *cancel, *late;
        guint added = 0, answered = 0, timed_out = 0, shared_jobs = 0, dequeued_jobs = 0;
        lmn_read_batch_init(&batch);
        for (int tick = 0; tick < 2000; tick++) {
            bool is_slow = tick % 400 > 350;
            double duration_s = is_slow ? 2 : 0.02;
            guint arrivals = is_slow ? 60 : (guint)g_rand_int_range(random, 0, 30);
            for (guint i = 0; i < arrivals; i++, added++)
                add_request(&batch,
                            g_rand_int_range(random, 0, 50) ? LMN_READ_STATUS
                                                            : LMN_READ_CANCEL,
                            g_rand_int_range(random, 0, 100),
                            lmn_time_add(now, g_rand_double(random) * duration_s));
            now = lmn_time_add(now, duration_s);
            guint job_count = lmn_read_batch_dequeue(&batch, jobs, G_N_ELEMENTS(jobs),
                                                     &cancel, &late, now);
            assert_true(job_count <= G_N_ELEMENTS(jobs));
            for (struct lmn_read_request *read = late; read; read = read->next_same_job)
                assert_true(lmn_time_diff_s(now, read->received_at) >
                            LMN_READ_REQUEST_TIMEOUT_S);
            /* Requests time out only while the store is slow, or up to 20 ticks after. */
            assert_true(tick % 400 > 350 || tick % 400 < 20 || !late);
            timed_out += free_list(late);
            for (guint i = 0; i < job_count; i++) {
                guint list_length = 0;
                for (guint k = 0; k < i; k++)
                    assert_string_not_equal(jobs[i]->job_id, jobs[k]->job_id);
                for (struct lmn_read_request *read = jobs[i]; read;
                     read = read->next_same_job, list_length++) {
                    assert_true(lmn_time_diff_s(now, read->received_at) <=
                                LMN_READ_REQUEST_TIMEOUT_S);
                    assert_string_equal(read->job_id, jobs[i]->job_id);
                }
                shared_jobs += list_length > 1;
            }
            for (guint i = 0; i < job_count; i++, dequeued_jobs++)
                answered += free_list(jobs[i]);
            answered += free_list(cancel);
            assert_int_equal(batch.waiting, added - answered - timed_out);
        }
        while (batch.waiting) {
            now = lmn_time_add(now, 0.02);
            guint job_count = lmn_read_batch_dequeue(&batch, jobs, G_N_ELEMENTS(jobs),
                                                     &cancel, &late, now);
            for (guint i = 0; i < job_count; i++)
                answered += free_list(jobs[i]);
            answered += free_list(cancel);
            timed_out += free_list(late);
        }
        assert_int_equal(added, answered + timed_out);
        assert_true(shared_jobs > 100);
        lmn_read_batch_clear(&batch);
    }
    g_rand_free(random);
}

/* A job with one request leaves the queue in its turn, ahead of later requests for jobs
 * that have many. */
static void job_with_one_request_is_not_starved(void **state)
{
    struct lmn_read_batch batch;
    struct timespec now = {1000, 0};
    struct lmn_read_request *jobs[8], *cancel, *late;
    (void)state;

    lmn_read_batch_init(&batch);
    for (int i = 0; i < 400; i++)
        add_request(&batch, LMN_READ_STATUS, i % 20, now);
    add_request(&batch, LMN_READ_STATUS, 99, now);
    for (int i = 0; i < 400; i++)
        add_request(&batch, LMN_READ_STATUS, i % 20, now);
    int batch_count = 0, rare_job_batch = -1;
    while (batch.waiting) {
        guint job_count =
            lmn_read_batch_dequeue(&batch, jobs, G_N_ELEMENTS(jobs), &cancel, &late, now);
        for (guint i = 0; i < job_count; i++) {
            if (g_str_has_suffix(jobs[i]->job_id, "000099"))
                rare_job_batch = batch_count;
            assert_int_equal(free_list(jobs[i]),
                             i + (guint)batch_count * 8 == 20 ? 1 : 40);
        }
        batch_count++;
    }
    assert_int_equal(batch_count, 3);
    assert_int_equal(rare_job_batch, 2);
    lmn_read_batch_clear(&batch);
}

/* A request that arrives after its job was dequeued may not share that confirmation,
 * which may show a state from before the request's arrival: it needs the next one. A
 * cancellation shares no confirmation. */
static void later_request_needs_another_confirmation(void **state)
{
    struct lmn_read_batch batch;
    struct timespec now = {1000, 0};
    struct lmn_read_request *first[4], *second[4], *cancel, *no_cancel, *late;
    (void)state;

    lmn_read_batch_init(&batch);
    add_request(&batch, LMN_READ_STATUS, 1, now);
    add_request(&batch, LMN_READ_STATUS, 1, now);
    add_request(&batch, LMN_READ_CANCEL, 1, now);
    add_request(&batch, LMN_READ_STATUS, 1, now);
    assert_int_equal(lmn_read_batch_dequeue(&batch, first, 4, &cancel, &late, now), 1);
    add_request(&batch, LMN_READ_STATUS, 1, now);
    assert_int_equal(lmn_read_batch_dequeue(&batch, second, 4, &no_cancel, &late, now),
                     1);
    assert_null(no_cancel);
    assert_int_equal(free_list(first[0]), 3);
    assert_int_equal(free_list(second[0]), 1);
    assert_int_equal(free_list(cancel), 1);
    assert_int_equal(batch.waiting, 0);
    lmn_read_batch_clear(&batch);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(overload_loses_and_delays_no_request),
        cmocka_unit_test(job_with_one_request_is_not_starved),
        cmocka_unit_test(later_request_needs_another_confirmation),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
