/* Submissions to whose transaction the key-value store does not answer. Whether the
 * transaction was committed or not, the user gets a response long before the timeout of
 * the transaction. */
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
static gint transactions; /* number received by the key-value store */
static gint replied;      /* number of replies to the submission */
static gint step, status; /* of the last reply */
static const struct lmn_job_spec spec = {.id = "run-000001",
                                         .class_name = (char *)"c",
                                         .team = (char *)"x",
                                         .image = (char *)"img",
                                         .tasks = 3,
                                         .cpus = 1,
                                         .memory_gb = 1,
                                         .deadline_s = -1};

static void answer_all_but_first(void *arg, struct lmn_http_request *request)
{
    (void)arg;
    if (g_atomic_int_add(&transactions, 1) == 0) {
        lmn_http_request_defer(request);
        return;
    }
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_REVISION), lmn_cbor_put_uint(body, 7);
    lmn_http_request_respond(request, 200, body, 0);
}

static void record_reply(struct lmn_http_request *request, const char *job_id,
                         const struct lmn_request_decision *decision)
{
    (void)request;
    assert_string_equal(job_id, spec.id);
    g_atomic_int_set(&step, (gint)decision->step);
    g_atomic_int_set(&status, decision->reply.status);
    g_atomic_int_inc(&replied);
}

static int setup(void **state)
{
    struct lmn_http_server_options options = {.listen = "127.0.0.1:0",
                                              .connections = 16,
                                              .max_body_bytes = 65536,
                                              .route = answer_all_but_first};
    struct lmn_http_server *server = lmn_http_server_start(&options);
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
    lmn_pending_submission_start(core, record_reply);
    return 0;
}

/* The HTTP request is a dummy: pending_submission.c only passes the pointer on. */
static void submit(void)
{
    static int dummy_request;

    g_atomic_int_set(&transactions, 0);
    g_atomic_int_set(&replied, 0);
    lmn_pending_submission_submit(core, (struct lmn_http_request *)&dummy_request, &spec);
}

static void wait_for_reply(double timeout_s)
{
    struct timespec started_at = lmn_now();

    while (!g_atomic_int_get(&replied) &&
           lmn_time_diff_s(lmn_now(), started_at) < timeout_s)
        lmn_sleep(0.005);
    assert_int_equal(g_atomic_int_get(&replied), 1);
}

/* Without the second sending, the response is 503 after 2 s, and the user has to retry.
 */
static void uncommitted_submission_is_sent_a_second_time(void **state)
{
    (void)state;
    submit();
    wait_for_reply(1.5);
    assert_int_equal(step, LMN_STEP_REPLY);
    assert_int_equal(status, 201);
    assert_int_equal(g_atomic_int_get(&transactions), 2);
    lmn_sleep(2.2); /* the first transaction times out: no second response */
    assert_int_equal(g_atomic_int_get(&replied), 1);
}

/* The watch cache shows the job. Its state is confirmed before it is replied, because a
 * cancellation that the cache does not show yet may have been confirmed to the user. */
static void committed_submission_is_confirmed(void **state)
{
    struct lmn_cbor_document document;
    GByteArray *record = lmn_job_record_encode(&spec, LMN_JOB_ACTIVE, 1, 1000);
    (void)state;

    submit();
    while (!g_atomic_int_get(&transactions))
        lmn_sleep(0.005);
    assert_int_equal(lmn_cbor_parse(&document, record->data, record->len), 0);
    pthread_mutex_lock(&core->lock);
    lmn_watch_cache_apply(core, "j/run-000001", &document, lmn_cbor_root(&document), 7,
                          lmn_now());
    pthread_mutex_unlock(&core->lock);
    wait_for_reply(1.5);
    assert_int_equal(step, LMN_STEP_CONFIRM);
    assert_int_equal(g_atomic_int_get(&transactions), 1);
    lmn_cbor_free(&document);
    g_byte_array_unref(record);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(uncommitted_submission_is_sent_a_second_time),
        cmocka_unit_test(committed_submission_is_confirmed),
    };
    return cmocka_run_group_tests(tests, setup, NULL);
}
