/* Submissions whose transaction's answer is lost: whether it was carried out or not,
 * their users hear of it long before the time for the answer is over. */
#include "http/server.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "partition/owner.h"
#include "controller/pending_submission.h"
#include "state/watch_cache.h"
#include "state/records.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0"; /* threads run until the process ends */
}

static struct lmn_settings settings;
static struct lmn_core *core;
static gint transactions;          /* that the state service has got */
static gint replied, step, status; /* of the submission's reply */
static const struct lmn_job_spec spec = {.id = "run-000001",
                                         .class_name = (char *)"c",
                                         .team = (char *)"x",
                                         .image = (char *)"img",
                                         .tasks = 3,
                                         .cpus = 1,
                                         .memory_gb = 1,
                                         .deadline_s = -1};

static void lose_the_first(void *arg, struct lmn_http_request *request)
{
    (void)arg;
    if (g_atomic_int_add(&transactions, 1) == 0) {
        lmn_http_request_defer(request);
        return;
    }
    GByteArray *b = g_byte_array_new();
    lmn_cbor_put_map(b, 1);
    lmn_cbor_put_text(b, WIRE_REVISION), lmn_cbor_put_uint(b, 7);
    lmn_http_request_respond(request, 200, b, 0);
}

static void reply(struct lmn_http_request *request, const char *ref,
                  const struct lmn_request_decision *decision)
{
    (void)request;
    assert_string_equal(ref, spec.id);
    g_atomic_int_set(&step, (gint)decision->step);
    g_atomic_int_set(&status, decision->reply.status);
    g_atomic_int_inc(&replied);
}

static int setup(void **state)
{
    struct lmn_http_server_options o = {.listen = "127.0.0.1:0",
                                        .connections = 16,
                                        .max_body = 65536,
                                        .route = lose_the_first};
    struct lmn_http_server *server = lmn_http_server_start(&o);
    (void)state;

    assert_non_null(server);
    settings.partition_count = 1;
    settings.state_requests_per_s = settings.state_writes_per_s = 1000;
    settings.max_value_kb = 16;
    settings.max_txn_operations = 12;
    g_snprintf(settings.state_address, sizeof settings.state_address, "127.0.0.1:%d",
               lmn_http_server_port(server));
    core = lmn_core_new(&settings, lmn_kv_client_new(&settings), 1);
    lmn_kv_client_start(core->kv_client);
    lmn_pending_submission_start(core, reply);
    return 0;
}

/* The call is only handed on: pending_submission.c does not look into it. */
static void submit(void)
{
    static int call;

    g_atomic_int_set(&transactions, 0);
    g_atomic_int_set(&replied, 0);
    lmn_pending_submission_submit(core, (struct lmn_http_request *)&call, &spec);
}

static void wait_for_reply(double longest_s)
{
    struct timespec begun = lmn_now();

    while (!g_atomic_int_get(&replied) && lmn_time_diff_s(lmn_now(), begun) < longest_s)
        lmn_sleep(0.005);
    assert_int_equal(g_atomic_int_get(&replied), 1);
}

/* Once it was answered 503 after 2 s, and its user had to come again. */
static void one_that_was_not_carried_out_is_sent_again(void **state)
{
    (void)state;
    submit();
    wait_for_reply(1.5);
    assert_int_equal(step, LMN_STEP_REPLY);
    assert_int_equal(status, 201);
    assert_int_equal(g_atomic_int_get(&transactions), 2);
    lmn_sleep(2.2); /* the first has no answer in the end: that is not told */
    assert_int_equal(g_atomic_int_get(&replied), 1);
}

/* The mirror shows the job. Its state is not told from there: a cancellation that the
 * mirror does not show may have been confirmed. */
static void one_that_was_carried_out_is_confirmed(void **state)
{
    struct lmn_cbor_document d;
    GByteArray *record = lmn_job_record(&spec, LMN_JOB_ACTIVE, 1, 1000);
    (void)state;

    submit();
    while (!g_atomic_int_get(&transactions))
        lmn_sleep(0.005);
    assert_int_equal(lmn_cbor_parse(&d, record->data, record->len), 0);
    pthread_mutex_lock(&core->lock);
    lmn_watch_cache_apply(core, "j/run-000001", &d, lmn_cbor_root(&d), 7, lmn_now());
    pthread_mutex_unlock(&core->lock);
    wait_for_reply(1.5);
    assert_int_equal(step, LMN_STEP_CONFIRM);
    assert_int_equal(g_atomic_int_get(&transactions), 1);
    lmn_cbor_free(&d);
    g_byte_array_unref(record);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_that_was_not_carried_out_is_sent_again),
        cmocka_unit_test(one_that_was_carried_out_is_confirmed),
    };
    return cmocka_run_group_tests(tests, setup, NULL);
}
