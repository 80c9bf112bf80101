/* Links between sites: who gets in and who does not, and frames that a hostile peer may
 * send. */
#include "util/process.h"
#include "gateway/peer_connection.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

/* What a reload replaces is left to whoever may still be using it. */
const char *__asan_default_options(void);
const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}

static char root[128], err[512];
static struct lmn_peer_key peers[LMN_MAX_PEERS];
static unsigned npeers;

static const char *dir_of(const char *site)
{
    static char path[4][256];
    static int turn;
    char *p = path[turn++ % 4];
    g_snprintf(p, sizeof path[0], "%s/%s", root, site);
    return p;
}

static void add_site(const char *site, double days)
{
    struct lmn_keys_info i;
    if (lmn_keys_init(dir_of(site), site, days, err, sizeof err) != 0 ||
        lmn_keys_show(dir_of(site), &i, err, sizeof err) != 0)
        fail_msg("%s", err);
    assert_string_equal(i.site, site);
    g_strlcpy(peers[npeers].site, site, LMN_NAME_SIZE);
    g_strlcpy(peers[npeers++].fingerprint, i.fingerprint, LMN_FINGERPRINT);
}

static struct lmn_tls *tls_of(const char *site)
{
    struct lmn_tls *tls =
        lmn_tls_new(dir_of(site), site, peers, &npeers, err, sizeof err);
    if (!tls)
        fail_msg("%s", err);
    return tls;
}

static int fresh(void **state)
{
    (void)state;
    g_snprintf(root, sizeof root, "/tmp/lemonspar-link-%d", (int)getpid());
    lmn_tree_remove(root);
    g_mkdir_with_parents(root, 0755);
    npeers = 0;
    return 0;
}

static int wipe(void **state)
{
    (void)state;
    lmn_tree_remove(root);
    return 0;
}

struct server {
    struct lmn_tls *tls;
    int fd;
    char err[256], seen[LMN_NAME_SIZE];
    bool in;
};

static void *serve_one(void *arg)
{
    struct server *s = arg;
    struct lmn_peer_connection *l = lmn_peer_connection_accept(
        s->tls, accept(s->fd, NULL, NULL), 5, s->err, sizeof s->err);
    lmn_gateway_rpc_request q;
    lmn_gateway_rpc_response r = {.kind = LMN_GATEWAY_RPC_LOAD,
                                  .lmn_gateway_rpc_response_u.queued_cpu_s = 42};

    if (!l)
        return NULL;
    g_strlcpy(s->seen, lmn_peer_connection_site(l), sizeof s->seen);
    while (lmn_peer_connection_read_request(l, &q) == 0) {
        s->in = true;
        xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_request, (char *)&q);
        lmn_peer_connection_send_response(l, &r);
    }
    lmn_peer_connection_close(l);
    return NULL;
}

/* Whether a client with the keys gets through to a server with the keys that should be
 * the site. why: the server's or the client's word. */
static bool meet(struct lmn_tls *client, struct lmn_tls *server, const char *site,
                 char *why)
{
    struct server s = {.tls = server, .fd = socket(AF_INET, SOCK_STREAM, 0)};
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof a;
    char addr[64], mine[256] = "";
    pthread_t t;
    bool ok = false;

    assert_int_equal(bind(s.fd, (struct sockaddr *)&a, sizeof a), 0);
    assert_int_equal(listen(s.fd, 1), 0);
    getsockname(s.fd, (struct sockaddr *)&a, &len);
    g_snprintf(addr, sizeof addr, "127.0.0.1:%d", ntohs(a.sin_port));
    pthread_create(&t, NULL, serve_one, &s);
    struct lmn_peer_connection *l =
        lmn_peer_connection_open(client, addr, site, 5, mine, sizeof mine);
    if (l) {
        lmn_gateway_rpc_request q = {.kind = LMN_GATEWAY_RPC_LOAD};
        lmn_gateway_rpc_response r;
        /* TLS 1.3: a client hears of its refusal with its first reading. */
        ok = lmn_peer_connection_send_request(l, &q) == 0 &&
             lmn_peer_connection_read_response(l, &r) == 0;
        assert_true(!ok || r.lmn_gateway_rpc_response_u.queued_cpu_s == 42);
        lmn_peer_connection_close(l);
    }
    pthread_join(t, NULL);
    close(s.fd);
    assert_int_equal(ok, s.in);
    g_snprintf(why, 512, "%s / %s", mine, s.err);
    return ok;
}

static void only_peers_get_in(void **state)
{
    char why[512], key[300];
    struct lmn_keys_info i;
    size_t n;
    (void)state;

    add_site("warsaw", 90);
    add_site("sfax", 90);
    struct lmn_tls *warsaw = tls_of("warsaw"), *sfax = tls_of("sfax");
    if (!meet(warsaw, sfax, "sfax", why))
        fail_msg("%s", why);
    assert_false(meet(warsaw, sfax, "tunis", why)); /* somebody else answers there */
    assert_non_null(strstr(why, "wrong name"));
    /* An authority that is nobody's. */
    add_site("stranger", 90);
    npeers--;
    assert_false(meet(tls_of("stranger"), sfax, "sfax", why));
    assert_non_null(strstr(why, "wrong authority"));
    /* A peer's authority that vouches for another site's name. */
    assert_int_equal(lmn_keys_issue(dir_of("stranger"), "warsaw", 90, err, sizeof err),
                     0);
    npeers++;
    assert_false(meet(tls_of("stranger"), sfax, "sfax", why));
    assert_non_null(strstr(why, "wrong name"));
    /* Expired. */
    assert_int_equal(lmn_keys_issue(dir_of("stranger"), "stranger", -1, err, sizeof err),
                     0);
    assert_false(meet(tls_of("stranger"), sfax, "sfax", why));
    assert_non_null(strstr(why, "expired"));
    /* Renewed, while the site is up. */
    assert_int_equal(lmn_keys_issue(dir_of("stranger"), "stranger", 90, err, sizeof err),
                     0);
    struct lmn_tls *third = tls_of("stranger");
    if (!meet(third, sfax, "sfax", why))
        fail_msg("%s", why);
    /* Revoked: as soon as the peer has the list. */
    assert_int_equal(lmn_keys_revoke(dir_of("stranger"), NULL, err, sizeof err), 0);
    assert_int_equal(lmn_keys_show(dir_of("stranger"), &i, err, sizeof err), 0);
    assert_true(i.is_revoked);
    assert_int_equal(lmn_tls_reload(third, err, sizeof err), 0);
    const unsigned char *crl = lmn_tls_crl(third, &n);
    lmn_tls_learn_crl(sfax, "stranger", crl, n);
    lmn_tls_learn_crl(sfax, "stranger", (const unsigned char *)"junk", 4);
    assert_false(meet(third, sfax, "sfax", why));
    assert_non_null(strstr(why, "revoked"));
    /* A new one gets in again. */
    assert_int_equal(lmn_keys_issue(dir_of("stranger"), "stranger", 90, err, sizeof err),
                     0);
    assert_int_equal(lmn_tls_reload(third, err, sizeof err), 0);
    if (!meet(third, sfax, "sfax", why))
        fail_msg("%s", why);
    /* A key that others could read is an error. */
    g_snprintf(key, sizeof key, "%s/site.key", dir_of("warsaw"));
    chmod(key, 0640);
    assert_null(lmn_tls_new(dir_of("warsaw"), "warsaw", peers, &npeers, err, sizeof err));
    assert_non_null(strstr(err, "0600"));
    chmod(key, 0600);
    assert_int_equal(lmn_keys_init(dir_of("warsaw"), "warsaw", 90, err, sizeof err), -1);
}

/* --- hostile frames --- */

static size_t frame(char *buf, size_t size, GRand *r)
{
    static struct lmn_gateway_rpc_item items[4];
    static struct lmn_gateway_rpc_offer offers[2];
    lmn_gateway_rpc_response p = {.kind = LMN_GATEWAY_RPC_SYNC};
    lmn_gateway_rpc_request q = {.kind = LMN_GATEWAY_RPC_SYNC};
    XDR x;

    for (int i = 0; i < 4; i++)
        items[i] = (struct lmn_gateway_rpc_item){(char *)"run-000001", 3, 1, 1, 2, 0, 0};
    for (int i = 0; i < 2; i++)
        offers[i] = (struct lmn_gateway_rpc_offer){(char *)"run-000002",
                                                   1,
                                                   1,
                                                   {5, (char *)"\xa1"
                                                               "aa\x01"},
                                                   (char *)"d",
                                                   0};
    xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
    if (g_rand_boolean(r)) {
        struct lmn_gateway_rpc_reply *y = &p.lmn_gateway_rpc_response_u.reply;
        y->heard.heard_len = y->cancel.cancel_len = 4;
        y->heard.heard_val = y->cancel.cancel_val = items;
        y->offers.offers_len = 2;
        y->offers.offers_val = offers;
        assert_true(xdr_lmn_gateway_rpc_response(&x, &p));
    } else {
        q.lmn_gateway_rpc_request_u.sync.says.says_len = 4;
        q.lmn_gateway_rpc_request_u.sync.says.says_val = items;
        assert_true(xdr_lmn_gateway_rpc_request(&x, &q));
    }
    size_t n = xdr_getpos(&x);
    xdr_destroy(&x);
    return n;
}

static void hostile_frames_change_nothing(void **state)
{
    GRand *r = g_rand_new_with_seed(17);
    char buf[4096];
    unsigned taken = 0;
    (void)state;

    for (int round = 0; round < 60000; round++) {
        size_t n = frame(buf, sizeof buf, r);
        lmn_gateway_rpc_request q;
        lmn_gateway_rpc_response p;
        for (int k = g_rand_int_range(r, 0, 4); k > 0; k--) {
            size_t at = (size_t)g_rand_int_range(r, 0, (gint32)n);
            switch (g_rand_int_range(r, 0, 4)) {
            case 0:
                buf[at] ^= (char)(1 << g_rand_int_range(r, 0, 8));
                break;
            case 1: /* a huge length, wherever one may stand */
                memset(buf + (at & ~3u), 0xff, MIN(4, n - (at & ~3u)));
                break;
            case 2:
                n = at + 1;
                break;
            default:
                memmove(buf + at, buf + at / 2, n - at);
            }
        }
        if (lmn_frame_request(buf, n, &q) == 0) {
            taken++;
            xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_request, (char *)&q);
        }
        if (lmn_frame_response(buf, n, &p) == 0) {
            taken++;
            xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_response, (char *)&p);
        }
    }
    assert_true(taken >
                1000); /* many are still well-formed: their content is judged elsewhere */
    g_rand_free(r);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(only_peers_get_in, fresh, wipe),
        cmocka_unit_test(hostile_frames_change_nothing),
    };
    signal(SIGPIPE, SIG_IGN);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
