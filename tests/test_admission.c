/* Admission: the division of sockets by purpose for random sizes, a server whose sockets
 * are used by workers and that still answers users, and load shedding. */
#include "http/server.h"
#include "http/client.h"
#include "admission/worker_hosts.h"
#include "admission/load_shedding.h"
#include "admission/connection_budget.h"

#include <arpa/inet.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

static struct lmn_settings make_settings(int sockets, size_t members)
{
    struct lmn_settings settings = {.max_connections = sockets, .member_count = members};
    return settings;
}

/* Opens connections of workers and users in random order, each of which stays open after
 * its reply if the budget allows it. The open connections never exceed the limit or use
 * what is reserved for another kind. */
static void connect_in_random_order(GRand *rng,
                                    const struct lmn_connection_budget *budget,
                                    unsigned workers, unsigned users)
{
    unsigned open[LMN_CONNECTION_KINDS] = {0};
    unsigned want[LMN_CONNECTION_KINDS] = {0, users, workers};

    while (want[LMN_CONNECTION_USER] + want[LMN_CONNECTION_WORKER]) {
        enum lmn_connection_kind kind =
            g_rand_boolean(rng) ? LMN_CONNECTION_USER : LMN_CONNECTION_WORKER;
        if (!want[kind])
            kind =
                kind == LMN_CONNECTION_USER ? LMN_CONNECTION_WORKER : LMN_CONNECTION_USER;
        want[kind]--;
        open[kind]++;
        if (!lmn_connection_budget_keeps_open(budget, open, kind, false))
            open[kind]--;
        else if (g_rand_int_range(rng, 0, 20) == 0)
            open[kind]--; /* the client closes it */
        unsigned sum = open[LMN_CONNECTION_USER] + open[LMN_CONNECTION_WORKER];
        assert_true(sum + budget->reserved[LMN_CONNECTION_UNIDENTIFIED] <=
                    budget->max_accepted);
    }
    /* Each kind can still use its reservation, whatever the others have open. */
    for (enum lmn_connection_kind kind = LMN_CONNECTION_USER; kind < LMN_CONNECTION_KINDS;
         kind++)
        if (open[kind] < budget->reserved[kind]) {
            open[kind]++;
            assert_true(lmn_connection_budget_keeps_open(budget, open, kind, false));
            open[kind]--;
        }
}

static void division_keeps_within_max_connections(void **state)
{
    GRand *rng = g_rand_new_with_seed(21);
    (void)state;

    for (int i = 0; i < 400; i++) {
        int sockets = (int)exp2(g_rand_double_range(rng, 6, 14.3));
        struct lmn_settings settings =
            make_settings(sockets, (size_t)g_rand_int_range(rng, 0, 33));
        struct lmn_connection_budget budget;
        unsigned reserved = 0;
        lmn_connection_budget_init(&settings, &budget);
        for (int kind = 0; kind < LMN_CONNECTION_KINDS; kind++)
            reserved += budget.reserved[kind];
        assert_true(reserved <= budget.max_accepted);
        assert_true(budget.worker_connections >= 16);
        if ((unsigned)sockets >= lmn_connection_budget_minimum(&settings) &&
            budget.worker_connections == 16)
            assert_true(budget.own_connections + budget.max_accepted <=
                        (unsigned)sockets);
        if (budget.own_connections + 16 <= (unsigned)sockets)
            assert_int_equal(budget.own_connections + budget.max_accepted, sockets);
        connect_in_random_order(rng, &budget,
                                (unsigned)exp2(g_rand_double_range(rng, 0, 15.6)),
                                (unsigned)exp2(g_rand_double_range(rng, 0, 13)));
    }
    g_rand_free(rng);
}

static void unreserved_connections_are_open_to_every_kind(void **state)
{
    struct lmn_settings settings = make_settings(2000, 2);
    struct lmn_connection_budget budget;
    (void)state;

    lmn_connection_budget_init(&settings, &budget);
    /* Workers may use connections that are neither reserved for nor open by others, */
    unsigned half_full[] = {0, 3, budget.max_accepted / 2};
    assert_true(lmn_connection_budget_keeps_open(&budget, half_full,
                                                 LMN_CONNECTION_WORKER, false));
    /* but no more. */
    unsigned full[] = {0, 3,
                       budget.max_accepted - budget.reserved[0] - budget.reserved[1] + 1};
    assert_false(
        lmn_connection_budget_keeps_open(&budget, full, LMN_CONNECTION_WORKER, false));
    assert_true(
        lmn_connection_budget_keeps_open(&budget, full, LMN_CONNECTION_USER, false));
    /* Open unidentified connections leave fewer connections that may stay open. */
    unsigned with_unidentified[] = {budget.max_accepted / 2, 3, budget.max_accepted / 2};
    assert_false(lmn_connection_budget_keeps_open(&budget, with_unidentified,
                                                  LMN_CONNECTION_WORKER, false));
    /* A controller that can't confirm writes while others can closes its users'
     * connections so that they go to another one; its workers' connections stay open.
     */
    assert_true(
        lmn_connection_budget_keeps_open(&budget, half_full, LMN_CONNECTION_USER, false));
    assert_false(
        lmn_connection_budget_keeps_open(&budget, half_full, LMN_CONNECTION_USER, true));
    assert_true(lmn_connection_budget_keeps_open(&budget, half_full,
                                                 LMN_CONNECTION_WORKER, true));
}

/* Workers that connect at the same time, none of them answered yet, do not use the users'
 * reservation; users' connections are accepted whatever is open. */
static void workers_leave_the_users_reservation_free(void **state)
{
    GRand *rng = g_rand_new_with_seed(5);
    (void)state;

    for (int i = 0; i < 300; i++) {
        struct lmn_settings settings =
            make_settings((int)exp2(g_rand_double_range(rng, 7, 14.3)), 2);
        struct lmn_connection_budget budget;
        unsigned open[LMN_CONNECTION_KINDS] = {0};
        lmn_connection_budget_init(&settings, &budget);
        open[LMN_CONNECTION_USER] =
            (unsigned)g_rand_int_range(rng, 0, (int)budget.max_accepted / 2);
        while (lmn_connection_budget_admits(&budget, open, LMN_CONNECTION_WORKER))
            open[g_rand_boolean(rng) ? LMN_CONNECTION_WORKER
                                     : LMN_CONNECTION_UNIDENTIFIED]++;
        unsigned left = budget.max_accepted - open[0] - open[1] - open[2];
        assert_true(open[LMN_CONNECTION_USER] + left >=
                    budget.reserved[LMN_CONNECTION_USER]);
        assert_true(lmn_connection_budget_admits(&budget, open, LMN_CONNECTION_USER));
        assert_true(
            lmn_connection_budget_admits(&budget, open, LMN_CONNECTION_UNIDENTIFIED));
    }
    g_rand_free(rng);
}

static bool contains_host(struct lmn_worker_hosts *hosts, const char *host)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    inet_pton(AF_INET, host, &address.sin_addr);
    return lmn_worker_hosts_contain(hosts, (struct sockaddr *)&address);
}

static void worker_hosts_are_counted_by_machine(void **state)
{
    struct lmn_worker_hosts hosts;
    (void)state;

    lmn_worker_hosts_init(&hosts, "10.0.0.1:8080");
    lmn_worker_hosts_add(&hosts, "10.1.0.7:9000");
    lmn_worker_hosts_add(&hosts, "10.1.0.7:9001");
    assert_true(contains_host(&hosts, "10.1.0.7"));
    lmn_worker_hosts_remove(&hosts, "10.1.0.7:9000");
    assert_true(contains_host(&hosts, "10.1.0.7"));
    lmn_worker_hosts_remove(&hosts, "10.1.0.7:9001");
    assert_false(contains_host(&hosts, "10.1.0.7"));
    /* The count does not become negative. */
    lmn_worker_hosts_remove(&hosts, "10.1.0.7:9001");
    lmn_worker_hosts_add(&hosts, "10.1.0.7:9000");
    assert_true(contains_host(&hosts, "10.1.0.7"));
    /* Hosts that users may share with workers are not counted, nor are host names. */
    lmn_worker_hosts_add(&hosts, "127.0.0.1:9000");
    lmn_worker_hosts_add(&hosts, "10.0.0.1:9000");
    lmn_worker_hosts_add(&hosts, "worker.example:9000");
    assert_false(contains_host(&hosts, "127.0.0.1"));
    assert_false(contains_host(&hosts, "10.0.0.1"));
    lmn_worker_hosts_clear(&hosts);
}

static void load_shedding_refuses_polls_first(void **state)
{
    GRand *rng = g_rand_new_with_seed(9);
    struct lmn_load load = {0};
    (void)state;

    /* Polls are refused before submissions and these before starts, and each kind more
     * the longer the delay. */
    for (double delay_s = 0; delay_s < 6; delay_s += 0.01)
        for (int kind = 0; kind < LMN_SHED_KINDS; kind++) {
            assert_true(lmn_load_shed_share(delay_s, kind) <=
                        lmn_load_shed_share(delay_s + 0.01, kind));
            if (kind > 0)
                assert_true(lmn_load_shed_share(delay_s, kind) <=
                            lmn_load_shed_share(delay_s, kind - 1));
        }
    assert_true(lmn_load_shed_share(0.3, LMN_SHED_POLL) == 0);
    assert_true(lmn_load_shed_share(0.9, LMN_SHED_SUBMISSION) == 0);
    assert_true(lmn_load_shed_share(10, LMN_SHED_START) == 1);
    /* After work was 3 s late, a few seconds of work on time end the load shedding.
     */
    for (int i = 0; i < 4; i++)
        lmn_load_record_delay(&load, 3, 3);
    assert_true(load.delay_s > 2.5);
    assert_true(lmn_load_should_shed(&load, LMN_SHED_POLL, rng));
    assert_int_equal(load.shed_counts[LMN_SHED_POLL], 1);
    for (int i = 0; i < 30; i++)
        lmn_load_record_delay(&load, 0, 0.15);
    assert_true(load.delay_s < 0.1);
    assert_false(lmn_load_should_shed(&load, LMN_SHED_POLL, rng));
    /* Retry-After is spread over its interval, and is from 1 to the protocol's 30 s.
     */
    unsigned counts_by_wait[31] = {0};
    for (int i = 0; i < 3000; i++) {
        int retry_after_s = lmn_retry_after_s(8, rng);
        assert_in_range(retry_after_s, 8, 12);
        counts_by_wait[retry_after_s]++;
    }
    for (int retry_after_s = 9; retry_after_s <= 12; retry_after_s++)
        assert_true(counts_by_wait[retry_after_s] > 500);
    assert_in_range(lmn_retry_after_s(0, rng), 1, 2);
    assert_in_range(lmn_retry_after_s(1e9, rng), 20, 30);
    g_rand_free(rng);
}

/* --- a server --- */

static struct lmn_connection_budget server_budget;

static void handle_request(void *arg, struct lmn_http_request *request)
{
    bool worker = lmn_http_request_method(request) == LMN_HTTP_POST;
    (void)arg;

    lmn_http_request_set_kind(request,
                              worker ? LMN_CONNECTION_WORKER : LMN_CONNECTION_USER);
    lmn_http_request_respond(request, 200, NULL, 0);
}

static bool may_stay_open(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                          unsigned kind)
{
    (void)arg;
    return lmn_connection_budget_keeps_open(&server_budget, open,
                                            (enum lmn_connection_kind)kind, false);
}

/* Sends a worker's request over a new connection. Returns 1 if it was answered and the
 * connection stays open, 0 if it was answered with "Connection: close", -1 if it was not
 * answered. */
static int send_worker_request(int port, int *fd)
{
    static const char request[] =
        "POST /hello HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    struct timeval receive_timeout = {20, 0};
    char response[1024] = "";
    ssize_t received;

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    *fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(*fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    if (connect(*fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        send(*fd, request, sizeof request - 1, MSG_NOSIGNAL) < 0)
        return -1;
    received = recv(*fd, response, sizeof response - 1, 0);
    if (received <= 0 || strncmp(response, "HTTP/1.1 200", 12))
        return -1;
    return !strcasestr(response, "connection: close");
}

/* On a site with four times as many machines as its controllers had sockets, workers'
 * connections used the sockets of every controller, and users and health checks could not
 * connect. */
static void users_connect_while_workers_use_all_other_connections(void **state)
{
    enum { WORKERS = 200 };
    struct lmn_settings settings = make_settings(96, 0);
    int fds[WORKERS], kept_open = 0, closed = 0;
    struct lmn_http_server_load load;
    (void)state;

    lmn_connection_budget_init(&settings, &server_budget);
    const struct lmn_http_server_options options = {.listen = "127.0.0.1:0",
                                                    .connections =
                                                        server_budget.max_accepted,
                                                    .max_body_bytes = 1024,
                                                    .route = handle_request,
                                                    .keep_open = may_stay_open};
    struct lmn_http_server *server = lmn_http_server_start(&options);
    assert_non_null(server);
    for (int i = 0; i < WORKERS; i++) {
        int result = send_worker_request(lmn_http_server_port(server), &fds[i]);
        assert_true(result >= 0);
        kept_open += result == 1;
        closed += result == 0;
        if (result == 0) { /* as a worker closes its end */
            close(fds[i]);
            fds[i] = -1;
        }
    }
    assert_int_equal(kept_open, server_budget.max_accepted -
                                    server_budget.reserved[LMN_CONNECTION_UNIDENTIFIED] -
                                    server_budget.reserved[LMN_CONNECTION_USER]);
    assert_int_equal(closed, WORKERS - kept_open);
    /* The server notices a closed connection some time after the peer closed it. */
    do
        lmn_http_server_load(server, &load);
    while (load.open[LMN_CONNECTION_WORKER] != (unsigned)kept_open);
    assert_int_equal(load.closed[LMN_CONNECTION_WORKER], closed);
    assert_int_equal(load.open[LMN_CONNECTION_WORKER], kept_open);
    /* The workers' open connections stay open, and users are answered. */
    struct lmn_http_client *users[3];
    GByteArray *response = g_byte_array_new();
    char server_address[32];
    g_snprintf(server_address, sizeof server_address, "127.0.0.1:%d",
               lmn_http_server_port(server));
    for (int i = 0; i < 3; i++) {
        users[i] = lmn_http_client_new(server_address);
        for (int k = 0; k < 3; k++)
            assert_int_equal(
                lmn_http_client_call(users[i], "GET", "/ready", NULL, 20, response), 200);
    }
    do
        lmn_http_server_load(server, &load);
    while (load.open[LMN_CONNECTION_USER] != 3);
    assert_int_equal(load.closed[LMN_CONNECTION_USER], 0);
    for (int i = 0; i < 3; i++)
        lmn_http_client_free(users[i]);
    for (int i = 0; i < WORKERS; i++)
        if (fds[i] >= 0)
            close(fds[i]);
    g_byte_array_unref(response);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(division_keeps_within_max_connections),
        cmocka_unit_test(unreserved_connections_are_open_to_every_kind),
        cmocka_unit_test(workers_leave_the_users_reservation_free),
        cmocka_unit_test(worker_hosts_are_counted_by_machine),
        cmocka_unit_test(load_shedding_refuses_polls_first),
        cmocka_unit_test(users_connect_while_workers_use_all_other_connections),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
