/* The writer's order and budget. */
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

/* Past writers are left behind as they are. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static struct lmn_settings cfg;
static struct timespec now = {1000, 0};
static unsigned told[LMN_WRITE_PRIORITIES];

static void heard(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome o,
                  uint64_t revision)
{
    (void)txn;
    (void)o;
    (void)revision;
    told[GPOINTER_TO_INT(arg)]++;
}

static struct lmn_kv_client *make(void)
{
    cfg.state_requests_per_s = 200;
    cfg.state_writes_per_s = 25;
    cfg.max_txn_operations = 48;
    lmn_test_clock = &now;
    for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
        told[i] = 0;
    return lmn_kv_client_new(&cfg);
}

static void submit(struct lmn_kv_client *client, enum lmn_write_priority priority,
                   guint changes)
{
    static unsigned n;
    struct lmn_txn *txn = lmn_txn_new(priority, heard, GINT_TO_POINTER(priority));

    for (guint i = 0; i < changes; i++) {
        char key[32];
        GByteArray *v = g_byte_array_new();
        lmn_cbor_put_null(v);
        g_snprintf(key, sizeof key, "k/%u", n++);
        lmn_txn_put(txn, key, v, 0);
    }
    lmn_kv_client_submit(client, txn);
}

/* Takes what may go out now; returns its changes. */
static guint drain(struct lmn_kv_client *client)
{
    struct lmn_txn *txn;
    guint n = 0;

    while ((txn = lmn_kv_client_dequeue(client))) {
        n += lmn_txn_operation_count(txn);
        lmn_txn_complete(txn, LMN_TXN_COMMITTED, 1);
    }
    return n;
}

/* Done sets once emptied the bucket, and submissions waited seconds for it to fill. */
static void users_find_budget(void **state)
{
    (void)state;
    struct lmn_kv_client *client = make();
    for (int i = 0; i < 100; i++)
        submit(client, LMN_WRITE_DEFERRABLE, 1);
    assert_in_range(drain(client), 1, 12);
    assert_true(lmn_kv_client_spare_writes(client) == 0);
    submit(client, LMN_WRITE_USER, 4);
    assert_int_equal(drain(client), 4);
    assert_int_equal(told[LMN_WRITE_USER], 1);
}

static void urgent_first(void **state)
{
    (void)state;
    struct lmn_kv_client *client = make();
    static const enum lmn_write_priority order[] = {
        LMN_WRITE_CLOSE, LMN_WRITE_USER, LMN_WRITE_DEFERRABLE, LMN_WRITE_OWNER};
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++)
        submit(client, order[i], 1);
    for (int r = 0; r < LMN_WRITE_PRIORITIES; r++) {
        struct lmn_txn *txn = lmn_kv_client_dequeue(client);
        assert_non_null(txn);
        lmn_txn_complete(txn, LMN_TXN_COMMITTED, 1);
        assert_int_equal(told[r], 1);
    }
}

/* Whatever is asked for, the limit holds, and everything goes out in the end. */
static void within_limit(void **state)
{
    (void)state;
    for (uint32_t seed = 0; seed < 40; seed++) {
        GRand *r = g_rand_new_with_seed(seed);
        struct lmn_kv_client *client = make();
        struct timespec begun = now;
        unsigned submitted[LMN_WRITE_PRIORITIES] = {0};
        double sent = 0, most = 0;
        for (int step = 0; step < 3000; step++) {
            if (step < 1500 && g_rand_double(r) < 0.2) {
                enum lmn_write_priority priority =
                    (enum lmn_write_priority)g_rand_int_range(r, 0, LMN_WRITE_PRIORITIES);
                submit(
                    client, priority,
                    (guint)g_rand_int_range(r, 1, priority == LMN_WRITE_USER ? 48 : 4));
                submitted[priority]++;
            }
            now = lmn_time_add(now, 0.2);
            sent += drain(client);
            /* A transaction larger than the bucket is taken from a full one, users may
             * overdraw, and both are paid off. */
            most = lmn_time_diff_s(now, begun) * 25 + 2 * 25 + 48;
            assert_true(sent <= most);
        }
        for (int i = 0; i < LMN_WRITE_PRIORITIES; i++)
            assert_int_equal(told[i], submitted[i]);
        g_rand_free(r);
    }
}

static int calls;

/* A state service whose first answer is lost. */
static void lose_the_first(void *arg, struct lmn_http_request *request)
{
    (void)arg;
    if (g_atomic_int_add(&calls, 1) == 0) {
        lmn_http_request_defer(request);
        return;
    }
    GByteArray *b = g_byte_array_new();
    lmn_cbor_put_map(b, 1);
    lmn_cbor_put_text(b, WIRE_REVISION), lmn_cbor_put_uint(b, 7);
    lmn_http_request_respond(request, 200, b, 0);
}

static void answered(void *arg, struct lmn_txn *txn, enum lmn_txn_outcome o,
                     uint64_t revision)
{
    (void)txn;
    if (o == LMN_TXN_COMMITTED && revision == 7)
        g_atomic_int_set((int *)arg, 1);
}

/* A lost answer held up all that was submitted after it until its time was over. The last
 * of the tests: the writers go on by the real clock until the process ends. */
static void a_lost_answer_delays_nobody_else(void **state)
{
    (void)state;
    struct lmn_http_server_options o = {.listen = "127.0.0.1:0",
                                        .connections = 16,
                                        .max_body_bytes = 65536,
                                        .route = lose_the_first};
    static int done;

    make();
    lmn_test_clock = NULL;
    struct lmn_http_server *server = lmn_http_server_start(&o);
    assert_non_null(server);
    g_snprintf(cfg.state_address, sizeof cfg.state_address, "127.0.0.1:%d",
               lmn_http_server_port(server));
    struct lmn_kv_client *client = lmn_kv_client_new(&cfg);
    lmn_kv_client_start(client);
    submit(client, LMN_WRITE_USER, 1);
    while (!g_atomic_int_get(&calls))
        lmn_sleep(0.005);
    struct lmn_txn *txn = lmn_txn_new(LMN_WRITE_USER, answered, &done);
    lmn_txn_delete(txn, "k/late");
    struct timespec begun = lmn_now();
    lmn_kv_client_submit(client, txn);
    while (!g_atomic_int_get(&done) && lmn_time_diff_s(lmn_now(), begun) < 1.5)
        lmn_sleep(0.005);
    assert_true(g_atomic_int_get(&done));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(users_find_budget),
        cmocka_unit_test(urgent_first),
        cmocka_unit_test(within_limit),
        cmocka_unit_test(a_lost_answer_delays_nobody_else),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
