/* What bends at a limit: sockets by purpose over generated sizes, a server that is full
 * of workers and still answers users, what is shed. */
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

static struct lmn_settings settings(int sockets, size_t members)
{
    struct lmn_settings s = {.max_connections = sockets, .member_count = members};
    return s;
}

/* Any number of workers and users that come in any order and are answered: what stands
 * never passes the limit, nor takes a floor. */
static void crowd(GRand *rng, const struct lmn_connection_budget *budget,
                  unsigned workers, unsigned users)
{
    unsigned open[LMN_CONNECTION_KINDS] = {0};
    unsigned want[LMN_CONNECTION_KINDS] = {0, users, workers};

    while (want[LMN_CONNECTION_USER] + want[LMN_CONNECTION_WORKER]) {
        enum lmn_connection_kind k =
            g_rand_boolean(rng) ? LMN_CONNECTION_USER : LMN_CONNECTION_WORKER;
        if (!want[k])
            k = k == LMN_CONNECTION_USER ? LMN_CONNECTION_WORKER : LMN_CONNECTION_USER;
        want[k]--;
        open[k]++;
        if (!lmn_connection_budget_keeps_open(budget, open, k, false))
            open[k]--;
        else if (g_rand_int_range(rng, 0, 20) == 0)
            open[k]--; /* it ends by itself */
        unsigned sum = open[LMN_CONNECTION_USER] + open[LMN_CONNECTION_WORKER];
        assert_true(sum + budget->reserved[LMN_CONNECTION_UNIDENTIFIED] <=
                    budget->max_accepted);
    }
    /* Whoever else is there, a floor is had. */
    for (enum lmn_connection_kind k = LMN_CONNECTION_USER; k < LMN_CONNECTION_KINDS; k++)
        if (open[k] < budget->reserved[k]) {
            open[k]++;
            assert_true(lmn_connection_budget_keeps_open(budget, open, k, false));
            open[k]--;
        }
}

static void plans(void **state)
{
    GRand *rng = g_rand_new_with_seed(21);
    (void)state;

    for (int i = 0; i < 400; i++) {
        int sockets = (int)exp2(g_rand_double_range(rng, 6, 14.3));
        struct lmn_settings s = settings(sockets, (size_t)g_rand_int_range(rng, 0, 33));
        struct lmn_connection_budget p;
        unsigned floors = 0;
        lmn_connection_budget_init(&s, &p);
        for (int k = 0; k < LMN_CONNECTION_KINDS; k++)
            floors += p.reserved[k];
        assert_true(floors <= p.max_accepted);
        assert_true(p.worker_connections >= 16);
        if ((unsigned)sockets >= lmn_connection_budget_minimum(&s) &&
            p.worker_connections == 16)
            assert_true(p.own_connections + p.max_accepted <= (unsigned)sockets);
        if (p.own_connections + 16 <= (unsigned)sockets)
            assert_int_equal(p.own_connections + p.max_accepted, sockets);
        crowd(rng, &p, (unsigned)exp2(g_rand_double_range(rng, 0, 15.6)),
              (unsigned)exp2(g_rand_double_range(rng, 0, 13)));
    }
    g_rand_free(rng);
}

static void nothing_is_lost_while_there_is_room(void **state)
{
    struct lmn_settings s = settings(2000, 2);
    struct lmn_connection_budget p;
    (void)state;

    lmn_connection_budget_init(&s, &p);
    /* Beyond a floor, what the other kind has no use for may be used: */
    unsigned quiet[] = {0, 3, p.max_accepted / 2};
    assert_true(
        lmn_connection_budget_keeps_open(&p, quiet, LMN_CONNECTION_WORKER, false));
    /* and no more than that. */
    unsigned full[] = {0, 3, p.max_accepted - p.reserved[0] - p.reserved[1] + 1};
    assert_false(
        lmn_connection_budget_keeps_open(&p, full, LMN_CONNECTION_WORKER, false));
    assert_true(lmn_connection_budget_keeps_open(&p, full, LMN_CONNECTION_USER, false));
    /* Many that pass make fewer stand. */
    unsigned storm[] = {p.max_accepted / 2, 3, p.max_accepted / 2};
    assert_false(
        lmn_connection_budget_keeps_open(&p, storm, LMN_CONNECTION_WORKER, false));
    /* Users of a node that alone can't confirm anything go elsewhere; its workers stay.
     */
    assert_true(lmn_connection_budget_keeps_open(&p, quiet, LMN_CONNECTION_USER, false));
    assert_false(lmn_connection_budget_keeps_open(&p, quiet, LMN_CONNECTION_USER, true));
    assert_true(lmn_connection_budget_keeps_open(&p, quiet, LMN_CONNECTION_WORKER, true));
}

/* A crowd of workers that comes all at once, none of them answered yet, leaves users'
 * part alone; users come in whatever stands. */
static void admission(void **state)
{
    GRand *rng = g_rand_new_with_seed(5);
    (void)state;

    for (int i = 0; i < 300; i++) {
        struct lmn_settings s = settings((int)exp2(g_rand_double_range(rng, 7, 14.3)), 2);
        struct lmn_connection_budget p;
        unsigned open[LMN_CONNECTION_KINDS] = {0};
        lmn_connection_budget_init(&s, &p);
        open[LMN_CONNECTION_USER] =
            (unsigned)g_rand_int_range(rng, 0, (int)p.max_accepted / 2);
        while (lmn_connection_budget_admits(&p, open, LMN_CONNECTION_WORKER))
            open[g_rand_boolean(rng) ? LMN_CONNECTION_WORKER
                                     : LMN_CONNECTION_UNIDENTIFIED]++;
        unsigned left = p.max_accepted - open[0] - open[1] - open[2];
        assert_true(open[LMN_CONNECTION_USER] + left >= p.reserved[LMN_CONNECTION_USER]);
        assert_true(lmn_connection_budget_admits(&p, open, LMN_CONNECTION_USER));
        assert_true(lmn_connection_budget_admits(&p, open, LMN_CONNECTION_UNIDENTIFIED));
    }
    g_rand_free(rng);
}

static bool knows(struct lmn_worker_hosts *hosts, const char *host)
{
    struct sockaddr_in a = {.sin_family = AF_INET};

    inet_pton(AF_INET, host, &a.sin_addr);
    return lmn_worker_hosts_contain(hosts, (struct sockaddr *)&a);
}

static void hosts(void **state)
{
    struct lmn_worker_hosts h;
    (void)state;

    lmn_worker_hosts_init(&h, "10.0.0.1:8080");
    lmn_worker_hosts_add(&h, "10.1.0.7:9000");
    lmn_worker_hosts_add(&h, "10.1.0.7:9001");
    assert_true(knows(&h, "10.1.0.7"));
    lmn_worker_hosts_remove(&h, "10.1.0.7:9000");
    assert_true(knows(&h, "10.1.0.7"));
    lmn_worker_hosts_remove(&h, "10.1.0.7:9001");
    assert_false(knows(&h, "10.1.0.7"));
    lmn_worker_hosts_remove(&h, "10.1.0.7:9001"); /* never below none */
    lmn_worker_hosts_add(&h, "10.1.0.7:9000");
    assert_true(knows(&h, "10.1.0.7"));
    /* Where users may be too, an address tells nothing. */
    lmn_worker_hosts_add(&h, "127.0.0.1:9000");
    lmn_worker_hosts_add(&h, "10.0.0.1:9000");
    lmn_worker_hosts_add(&h, "worker.example:9000");
    assert_false(knows(&h, "127.0.0.1"));
    assert_false(knows(&h, "10.0.0.1"));
    lmn_worker_hosts_clear(&h);
}

static void what_is_shed_first(void **state)
{
    GRand *rng = g_rand_new_with_seed(9);
    struct lmn_load l = {0};
    (void)state;

    /* Polls before submissions before starts, each more the further behind. */
    for (double s = 0; s < 6; s += 0.01)
        for (int k = 0; k < LMN_SHED_KINDS; k++) {
            assert_true(lmn_load_shed_share(s, k) <= lmn_load_shed_share(s + 0.01, k));
            if (k > 0)
                assert_true(lmn_load_shed_share(s, k) <= lmn_load_shed_share(s, k - 1));
        }
    assert_true(lmn_load_shed_share(0.3, LMN_SHED_POLL) == 0);
    assert_true(lmn_load_shed_share(0.9, LMN_SHED_SUBMISSION) == 0);
    assert_true(lmn_load_shed_share(10, LMN_SHED_START) == 1);
    /* A node that stood still for a moment is itself again after a few seconds on time.
     */
    for (int i = 0; i < 4; i++)
        lmn_load_record_delay(&l, 3, 3);
    assert_true(l.delay_s > 2.5);
    assert_true(lmn_load_should_shed(&l, LMN_SHED_POLL, rng));
    assert_int_equal(l.shed_counts[LMN_SHED_POLL], 1);
    for (int i = 0; i < 30; i++)
        lmn_load_record_delay(&l, 0, 0.15);
    assert_true(l.delay_s < 0.1);
    assert_false(lmn_load_should_shed(&l, LMN_SHED_POLL, rng));
    /* Those sent away come back spread, never at once, never after the protocol's 30 s.
     */
    unsigned at[31] = {0};
    for (int i = 0; i < 3000; i++) {
        int s = lmn_retry_after(8, rng);
        assert_in_range(s, 8, 12);
        at[s]++;
    }
    for (int s = 9; s <= 12; s++)
        assert_true(at[s] > 500);
    assert_in_range(lmn_retry_after(0, rng), 1, 2);
    assert_in_range(lmn_retry_after(1e9, rng), 20, 30);
    g_rand_free(rng);
}

/* --- a server --- */

static struct lmn_connection_budget plan;

static void answer(void *arg, struct lmn_http_request *request)
{
    bool worker = lmn_http_request_method(request) == LMN_HTTP_POST;
    (void)arg;

    lmn_http_request_set_kind(request,
                              worker ? LMN_CONNECTION_WORKER : LMN_CONNECTION_USER);
    lmn_http_request_respond(request, 200, NULL, 0);
}

static bool stands(void *arg, const unsigned open[LMN_HTTP_CONNECTION_KINDS],
                   unsigned kind)
{
    (void)arg;
    return lmn_connection_budget_keeps_open(&plan, open, (enum lmn_connection_kind)kind,
                                            false);
}

/* Asks over a connection of its own; 1: it was answered and stays open, 0: it was
 * answered and closed, -1: no answer. */
static int report(int port, int *fd)
{
    static const char ask[] =
        "POST /hello HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    struct timeval patience = {20, 0};
    char in[1024] = "";
    ssize_t n;

    inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
    *fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(*fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    if (connect(*fd, (struct sockaddr *)&a, sizeof a) != 0 ||
        send(*fd, ask, sizeof ask - 1, MSG_NOSIGNAL) < 0)
        return -1;
    n = recv(*fd, in, sizeof in - 1, 0);
    if (n <= 0 || strncmp(in, "HTTP/1.1 200", 12))
        return -1;
    return !strcasestr(in, "connection: close");
}

/* Found on a site with four times the machines that its sockets could hold: workers'
 * connections filled every node, and users and health checks found no way in. */
static void users_get_in_past_a_crowd_of_workers(void **state)
{
    enum { CROWD = 200 };
    struct lmn_settings s = settings(96, 0);
    int fds[CROWD], standing = 0, closed = 0;
    struct lmn_http_server_load load;
    (void)state;

    lmn_connection_budget_init(&s, &plan);
    const struct lmn_http_server_options o = {.listen = "127.0.0.1:0",
                                              .connections = plan.max_accepted,
                                              .max_body_bytes = 1024,
                                              .route = answer,
                                              .keep_open = stands};
    struct lmn_http_server *server = lmn_http_server_start(&o);
    assert_non_null(server);
    for (int i = 0; i < CROWD; i++) {
        int r = report(lmn_http_server_port(server), &fds[i]);
        assert_true(r >= 0);
        standing += r == 1;
        closed += r == 0;
        if (r == 0) { /* as a worker does */
            close(fds[i]);
            fds[i] = -1;
        }
    }
    assert_int_equal(standing, plan.max_accepted -
                                   plan.reserved[LMN_CONNECTION_UNIDENTIFIED] -
                                   plan.reserved[LMN_CONNECTION_USER]);
    assert_int_equal(closed, CROWD - standing);
    /* The server learns of an end a moment after the peer. */
    do
        lmn_http_server_load(server, &load);
    while (load.open[LMN_CONNECTION_WORKER] != (unsigned)standing);
    assert_int_equal(load.closed[LMN_CONNECTION_WORKER], closed);
    assert_int_equal(load.open[LMN_CONNECTION_WORKER], standing);
    /* All that stand stay open, and users are served. */
    struct lmn_http_client *users[3];
    GByteArray *in = g_byte_array_new();
    char addr[32];
    g_snprintf(addr, sizeof addr, "127.0.0.1:%d", lmn_http_server_port(server));
    for (int i = 0; i < 3; i++) {
        users[i] = lmn_http_client_new(addr);
        for (int k = 0; k < 3; k++)
            assert_int_equal(
                lmn_http_client_call(users[i], "GET", "/ready", NULL, 20, in), 200);
    }
    do
        lmn_http_server_load(server, &load);
    while (load.open[LMN_CONNECTION_USER] != 3);
    assert_int_equal(load.closed[LMN_CONNECTION_USER], 0);
    for (int i = 0; i < 3; i++)
        lmn_http_client_free(users[i]);
    for (int i = 0; i < CROWD; i++)
        if (fds[i] >= 0)
            close(fds[i]);
    g_byte_array_unref(in);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(plans),
        cmocka_unit_test(nothing_is_lost_while_there_is_room),
        cmocka_unit_test(admission),
        cmocka_unit_test(hosts),
        cmocka_unit_test(what_is_shed_first),
        cmocka_unit_test(users_get_in_past_a_crowd_of_workers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
