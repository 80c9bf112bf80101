/* The client of the key-value store: the order in which transactions are sent, and the
 * write budget. */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "http/server.h"
#include "config/settings.h"
#include "util/thread.h"
#include "protocol/wire.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* The clients are not freed, since their writer threads never end. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_settings settings;
static struct timespec now = {1000, 0};
static unsigned completed[LMN_WRITE_PRIORITIES];

static void count_completion(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                             uint64_t revision)
{
    (void)txn;
    (void)outcome;
    (void)revision;
    completed[GPOINTER_TO_INT(arg)]++;
}

static struct lmn_kv_client *make_client(void)
{
    settings.state_requests_per_s = 200;
    settings.state_writes_per_s = 25;
    settings.max_txn_operations = 48;
    lmn_test_clock = &now;
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        completed[i] = 0;
    return lmn_kv_client_new(&settings);
}

static void submit(struct lmn_kv_client *client, enum lmn_write_priority priority,
                   guint operations)
{
    static unsigned next_key;
    struct lmn_txn *txn =
        lmn_txn_new(priority, count_completion, GINT_TO_POINTER(priority));

    for (guint i = 0; i < operations; i++) {
        char key[32];
        GByteArray *value = g_byte_array_new();
        lmn_cbor_put_null(value);
        g_snprintf(key, sizeof key, "k/%u", next_key++);
        lmn_txn_put(txn, key, value, 0);
    }
    lmn_kv_client_submit(client, txn);
}

/* Dequeues and completes all transactions that may be sent now; returns the number of
 * their operations. */
static guint drain(struct lmn_kv_client *client)
{
    struct lmn_txn *txn;
    guint operations = 0;

    while ((txn = lmn_kv_client_dequeue(client))) {
        operations += lmn_txn_operation_count(txn);
        lmn_txn_complete(txn, LMN_TXN_COMMITTED, 1);
    }
    return operations;
}

/* Regression: deferrable writes emptied the bucket, and users' submissions waited seconds
 * for it to refill. */
static void deferrable_writes_leave_budget_for_users(void **state)
{
    (void)state;
    struct lmn_kv_client *client = make_client();
    for (int i = 0; i < 100; i++)
        submit(client, LMN_WRITE_DEFERRABLE, 1);
    assert_in_range(drain(client), 1, 12);
    assert_true(lmn_kv_client_spare_writes(client) == 0);
    submit(client, LMN_WRITE_USER, 4);
    assert_int_equal(drain(client), 4);
    assert_int_equal(completed[LMN_WRITE_USER], 1);
}

static void higher_priorities_are_sent_first(void **state)
{
    (void)state;
    struct lmn_kv_client *client = make_client();
    static const enum lmn_write_priority order[] = {
        LMN_WRITE_CLOSE, LMN_WRITE_USER, LMN_WRITE_DEFERRABLE, LMN_WRITE_OWNER};
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++)
        submit(client, order[i], 1);
    for (int priority = 0; priority < LMN_WRITE_PRIORITIES; priority++) {
        struct lmn_txn *txn = lmn_kv_client_dequeue(client);
        assert_non_null(txn);
        lmn_txn_complete(txn, LMN_TXN_COMMITTED, 1);
        assert_int_equal(completed[priority], 1);
    }
}

/* The number of operations sent stays within the limit whatever is submitted, and every
 * transaction is sent eventually. */
static void writes_stay_within_the_limit(void **state)
{
    (void)state;
    for (uint32_t seed = 0; seed < 40; seed++) {
        GRand *rng = g_rand_new_with_seed(seed);
        struct lmn_kv_client *client = make_client();
        struct timespec started_at = now;
        unsigned submitted[LMN_WRITE_PRIORITIES] = {0};
        double sent = 0, max_sent = 0;
        for (int step = 0; step < 3000; step++) {
            if (step < 1500 && g_rand_double(rng) < 0.2) {
                enum lmn_write_priority priority =
                    (enum lmn_write_priority)g_rand_int_range(rng, 0,
                                                              LMN_WRITE_PRIORITIES);
                submit(
                    client, priority,
                    (guint)g_rand_int_range(rng, 1, priority == LMN_WRITE_USER ? 48 : 4));
                submitted[priority]++;
            }
            now = lmn_time_add(now, 0.2);
            sent += drain(client);
            /* Beyond the rate: the burst, the overdraft of owners and users, and a
             * transaction of 48 operations that is larger than the bucket. */
            max_sent = lmn_time_diff_s(now, started_at) * 25 + 2 * 25 + 48;
            assert_true(sent <= max_sent);
        }
        for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
            assert_int_equal(completed[i], submitted[i]);
        g_rand_free(rng);
    }
}

static int request_count;

/* A store that never answers its first request. */
static void leave_first_unanswered(void *arg, struct lmn_http_request *request)
{
    (void)arg;
    if (g_atomic_int_add(&request_count, 1) == 0) {
        lmn_http_request_defer(request);
        return;
    }
    GByteArray *body = g_byte_array_new();
    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_REVISION), lmn_cbor_put_uint(body, 7);
    lmn_http_request_respond(request, 200, body, 0);
}

static void record_commit(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                          uint64_t revision)
{
    (void)txn;
    if (outcome == LMN_TXN_COMMITTED && revision == 7)
        g_atomic_int_set((int *)arg, 1);
}

/* Regression: a response that never came delayed all transactions submitted after it
 * until the request timed out. This must be the last test: its writer threads run by the
 * real clock until the process ends. */
static void an_unanswered_request_does_not_delay_others(void **state)
{
    (void)state;
    struct lmn_http_server_options options = {.listen = "127.0.0.1:0",
                                              .connections = 16,
                                              .max_body_bytes = 65536,
                                              .route = leave_first_unanswered};
    static int is_committed;

    make_client();
    lmn_test_clock = NULL;
    struct lmn_http_server *server = lmn_http_server_start(&options);
    assert_non_null(server);
    g_snprintf(settings.state_address, sizeof settings.state_address, "127.0.0.1:%d",
               lmn_http_server_port(server));
    struct lmn_kv_client *client = lmn_kv_client_new(&settings);
    lmn_kv_client_start(client);
    submit(client, LMN_WRITE_USER, 1);
    while (!g_atomic_int_get(&request_count))
        lmn_sleep(0.005);
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_USER, record_commit, &is_committed);
    lmn_txn_delete(txn, "k/late");
    struct timespec started_at = lmn_now();
    lmn_kv_client_submit(client, txn);
    while (!g_atomic_int_get(&is_committed) &&
           lmn_time_diff_s(lmn_now(), started_at) < 1.5)
        lmn_sleep(0.005);
    assert_true(g_atomic_int_get(&is_committed));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(deferrable_writes_leave_budget_for_users),
        cmocka_unit_test(higher_priorities_are_sent_first),
        cmocka_unit_test(writes_stay_within_the_limit),
        cmocka_unit_test(an_unanswered_request_does_not_delay_others),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
