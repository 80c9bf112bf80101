#include "gateway/peer_connection.h"
#include "util/clock.h"
#include "util/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

struct lmn_tls {
    char dir[256], site[LMN_NAME_SIZE];
    const struct lmn_peer_key *peers;
    const unsigned *npeers;
    pthread_mutex_t lock; /* of what follows */
    SSL_CTX *ctx;
    unsigned char *crl;
    int crl_len;
    X509_CRL *theirs[LMN_MAX_PEERS]; /* by the peer's place in the table */
};

struct lmn_peer_connection {
    SSL *ssl;
    int fd;
    char site[LMN_NAME_SIZE];
    uint64_t bytes;
};

static int tls_slot = -1; /* where an SSL keeps the struct verdict of its verification */

struct verdict {
    struct lmn_tls *t;
    char site[LMN_NAME_SIZE]; /* whom the certificate names, once it is verified */
    char why[128];
};

static const char *ssl_error(void)
{
    static _Thread_local char text[256];
    unsigned long e = ERR_get_error();

    if (!e)
        return errno ? g_strerror(errno) : "the connection ended";
    ERR_error_string_n(e, text, sizeof text);
    return text;
}

static int refuse(struct verdict *v, const char *fmt, const char *what)
{
    g_snprintf(v->why, sizeof v->why, fmt, what);
    return 0;
}

static void fingerprint(X509 *c, char *out)
{
    unsigned char md[EVP_MAX_MD_SIZE];
    unsigned n = 0;

    X509_digest(c, EVP_sha256(), md, &n);
    for (unsigned i = 0; i < n; i++)
        g_snprintf(out + 2 * i, 3, "%02x", md[i]);
}

/* The whole verification: which authority, whether it is a peer's, the dates, the list,
 * the name. */
static int verify(X509_STORE_CTX *given, void *arg)
{
    SSL *ssl = X509_STORE_CTX_get_ex_data(given, SSL_get_ex_data_X509_STORE_CTX_idx());
    struct verdict *v = SSL_get_ex_data(ssl, tls_slot);
    STACK_OF(X509) *chain = X509_STORE_CTX_get0_untrusted(given);
    X509 *leaf = X509_STORE_CTX_get0_cert(given), *ca = NULL;
    char print[LMN_FINGERPRINT], name[LMN_NAME_SIZE] = "";
    int peer = -1, ok;
    (void)arg;

    for (int i = 0; i < sk_X509_num(chain); i++)
        if (X509_check_ca(sk_X509_value(chain, i)))
            ca = sk_X509_value(chain, i);
    if (!ca || !leaf || ca == leaf)
        return refuse(v, "no authority was shown%s", "");
    fingerprint(ca, print);
    for (unsigned i = 0; i < *v->t->npeers; i++)
        if (!g_ascii_strcasecmp(v->t->peers[i].fingerprint, print))
            peer = (int)i;
    if (peer < 0)
        return refuse(v, "wrong authority: %.64s", print);
    X509_STORE *store = X509_STORE_new();
    X509_STORE_CTX *ctx = X509_STORE_CTX_new();
    X509_STORE_add_cert(store, ca);
    pthread_mutex_lock(&v->t->lock);
    if (v->t->theirs[peer]) {
        X509_STORE_add_crl(store, v->t->theirs[peer]);
        X509_STORE_set_flags(store, X509_V_FLAG_CRL_CHECK);
    }
    pthread_mutex_unlock(&v->t->lock);
    X509_STORE_CTX_init(ctx, store, leaf, NULL);
    ok = X509_verify_cert(ctx);
    if (ok != 1)
        refuse(v, "%s", X509_verify_cert_error_string(X509_STORE_CTX_get_error(ctx)));
    X509_STORE_CTX_free(ctx);
    X509_STORE_free(store);
    if (ok != 1)
        return 0;
    X509_NAME_get_text_by_NID(X509_get_subject_name(leaf), NID_commonName, name,
                              sizeof name);
    if (strcmp(name, v->t->peers[peer].site))
        return refuse(v, "wrong name: the authority of another site vouches for '%s'",
                      name);
    g_strlcpy(v->site, name, sizeof v->site);
    return 1;
}

/* Checks modes and that key and certificate belong together before OpenSSL sees them. */
static SSL_CTX *load(const char *dir, unsigned char **crl, int *crl_len, char *err,
                     size_t len)
{
    struct lmn_keys_info info;
    char *path[4] = {
        g_build_filename(dir, "site.crt", NULL), g_build_filename(dir, "site.key", NULL),
        g_build_filename(dir, "ca.crt", NULL), g_build_filename(dir, "crl.pem", NULL)};
    SSL_CTX *ctx = NULL;

    if (lmn_keys_show(dir, &info, err, len) == 0) {
        BIO *b = BIO_new_file(path[2], "r"), *lb = BIO_new_file(path[3], "r");
        X509 *ca = b ? PEM_read_bio_X509(b, NULL, NULL, NULL) : NULL;
        X509_CRL *l = lb ? PEM_read_bio_X509_CRL(lb, NULL, NULL, NULL) : NULL;
        ctx = SSL_CTX_new(TLS_method());
        SSL_CTX_set_min_proto_version(ctx, TLS1_3_VERSION);
        SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_OFF);
        SSL_CTX_set_num_tickets(ctx, 0);
        SSL_CTX_set_mode(ctx, SSL_MODE_AUTO_RETRY);
        SSL_CTX_set_verify(ctx, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, NULL);
        SSL_CTX_set_cert_verify_callback(ctx, verify, NULL);
        if (SSL_CTX_use_certificate_file(ctx, path[0], SSL_FILETYPE_PEM) != 1 ||
            SSL_CTX_use_PrivateKey_file(ctx, path[1], SSL_FILETYPE_PEM) != 1 || !ca ||
            SSL_CTX_add1_chain_cert(ctx, ca) != 1) {
            g_snprintf(err, len, "%s: %s", dir, ssl_error());
            SSL_CTX_free(ctx);
            ctx = NULL;
        }
        *crl = NULL;
        *crl_len = l ? i2d_X509_CRL(l, crl) : 0;
        X509_free(ca);
        X509_CRL_free(l);
        BIO_free(b);
        BIO_free(lb);
    }
    for (int i = 0; i < 4; i++)
        g_free(path[i]);
    return ctx;
}

struct lmn_tls *lmn_tls_new(const char *dir, const char *site,
                            const struct lmn_peer_key *peers, const unsigned *npeers,
                            char *err, size_t len)
{
    struct lmn_tls *tls = g_new0(struct lmn_tls, 1);

    if (tls_slot < 0)
        tls_slot = SSL_get_ex_new_index(0, NULL, NULL, NULL, NULL);
    g_strlcpy(tls->dir, dir, sizeof tls->dir);
    g_strlcpy(tls->site, site, sizeof tls->site);
    tls->peers = peers;
    tls->npeers = npeers;
    pthread_mutex_init(&tls->lock, NULL);
    tls->ctx = load(dir, &tls->crl, &tls->crl_len, err, len);
    if (!tls->ctx)
        g_clear_pointer(&tls, g_free);
    return tls;
}

int lmn_tls_reload(struct lmn_tls *tls, char *err, size_t len)
{
    unsigned char *crl = NULL;
    int crl_len = 0;
    SSL_CTX *ctx = load(tls->dir, &crl, &crl_len, err, len), *old = NULL;

    if (!ctx)
        return -1;
    pthread_mutex_lock(&tls->lock);
    old = tls->ctx;
    tls->ctx = ctx;
    /* The old list is left: somebody may be sending it. It is small, and reloads are
     * rare. */
    tls->crl = crl;
    tls->crl_len = crl_len;
    pthread_mutex_unlock(&tls->lock);
    SSL_CTX_free(old);
    return 0;
}

const unsigned char *lmn_tls_crl(struct lmn_tls *tls, size_t *len)
{
    pthread_mutex_lock(&tls->lock);
    const unsigned char *crl = tls->crl;
    *len = (size_t)tls->crl_len;
    pthread_mutex_unlock(&tls->lock);
    return crl;
}

void lmn_tls_learn_crl(struct lmn_tls *tls, const char *site, const unsigned char *der,
                       size_t len)
{
    const unsigned char *p = der;
    X509_CRL *l = len ? d2i_X509_CRL(NULL, &p, (long)len) : NULL;

    if (!l)
        return;
    pthread_mutex_lock(&tls->lock);
    for (unsigned i = 0; i < *tls->npeers; i++) {
        if (strcmp(tls->peers[i].site, site))
            continue;
        /* Its signature is verified whenever a certificate is checked against it. It
         * never shrinks: one with fewer entries is older. */
        STACK_OF(X509_REVOKED) *is = X509_CRL_get_REVOKED(l), *was = NULL;
        if (tls->theirs[i])
            was = X509_CRL_get_REVOKED(tls->theirs[i]);
        if (tls->theirs[i] && sk_X509_REVOKED_num(is) < sk_X509_REVOKED_num(was))
            break;
        X509_CRL_free(tls->theirs[i]);
        tls->theirs[i] = l;
        l = NULL;
        break;
    }
    pthread_mutex_unlock(&tls->lock);
    X509_CRL_free(l);
}

/* --- links --- */

static struct lmn_peer_connection *shake(struct lmn_tls *tls, int fd, bool server,
                                         double seconds, char *err, size_t len)
{
    struct timeval wait = {(time_t)seconds,
                           (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6)};
    struct lmn_peer_connection *l = g_new0(struct lmn_peer_connection, 1);
    struct verdict v = {.t = tls};
    int one = 1;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    l->fd = fd;
    pthread_mutex_lock(&tls->lock);
    l->ssl = SSL_new(tls->ctx);
    pthread_mutex_unlock(&tls->lock);
    SSL_set_ex_data(l->ssl, tls_slot, &v);
    SSL_set_fd(l->ssl, fd);
    errno = 0;
    ERR_clear_error();
    if ((server ? SSL_accept(l->ssl) : SSL_connect(l->ssl)) != 1) {
        g_snprintf(err, len, "%s", *v.why ? v.why : ssl_error());
        lmn_peer_connection_close(l);
        return NULL;
    }
    SSL_set_ex_data(l->ssl, tls_slot, NULL);
    g_strlcpy(l->site, v.site, sizeof l->site);
    return l;
}

struct lmn_peer_connection *lmn_peer_connection_open(struct lmn_tls *tls,
                                                     const char *addr, const char *site,
                                                     double seconds, char *err,
                                                     size_t len)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDRESS_SIZE];
    int port, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0),
              error = 0;
    socklen_t n = sizeof error;

    if (fd < 0 || lmn_address_split(addr, host, sizeof host, &port) != 0) {
        g_snprintf(err, len, "%s: no address, or no socket", addr);
        if (fd >= 0)
            close(fd);
        return NULL;
    }
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    if (connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
        struct pollfd w = {fd, POLLOUT, 0};
        if (errno != EINPROGRESS || poll(&w, 1, (int)(seconds * 1000)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error) {
            g_snprintf(err, len, "%s: %s", addr,
                       error ? g_strerror(error) : "no connection");
            close(fd);
            return NULL;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    struct lmn_peer_connection *l = shake(tls, fd, false, seconds, err, len);
    if (l && strcmp(l->site, site)) {
        g_snprintf(err, len, "%s: wrong name: '%s' answers, not '%s'", addr, l->site,
                   site);
        lmn_peer_connection_close(l);
        return NULL;
    }
    return l;
}

struct lmn_peer_connection *lmn_peer_connection_accept(struct lmn_tls *tls, int fd,
                                                       double seconds, char *err,
                                                       size_t len)
{
    return shake(tls, fd, true, seconds, err, len);
}

void lmn_peer_connection_close(struct lmn_peer_connection *l)
{
    SSL_free(l->ssl);
    close(l->fd);
    g_free(l);
}

const char *lmn_peer_connection_site(const struct lmn_peer_connection *l)
{
    return l->site;
}

uint64_t lmn_peer_connection_bytes(const struct lmn_peer_connection *l)
{
    return l->bytes;
}

/* --- frames --- */

static int write_all(struct lmn_peer_connection *l, const char *p, size_t n)
{
    while (n > 0) {
        ERR_clear_error();
        int k = SSL_write(l->ssl, p, (int)MIN(n, 1u << 20));
        if (k <= 0)
            return -1;
        p += k;
        n -= (size_t)k;
        l->bytes += (uint64_t)k;
    }
    return 0;
}

static int read_all(struct lmn_peer_connection *l, char *p, size_t n)
{
    while (n > 0) {
        ERR_clear_error();
        int k = SSL_read(l->ssl, p, (int)MIN(n, 1u << 20));
        if (k <= 0)
            return -1;
        p += k;
        n -= (size_t)k;
        l->bytes += (uint64_t)k;
    }
    return 0;
}

static int send_frame(struct lmn_peer_connection *l, xdrproc_t proc, void *what)
{
    char *buf = g_malloc(LMN_MAX_FRAME_BYTES);
    uint32_t be;
    XDR x;

    xdrmem_create(&x, buf + sizeof be, LMN_MAX_FRAME_BYTES - sizeof be, XDR_ENCODE);
    bool ok = proc(&x, what, 0);
    u_int n = xdr_getpos(&x);
    xdr_destroy(&x);
    be = htonl(n);
    memcpy(buf, &be, sizeof be);
    int rc = ok ? write_all(l, buf, n + sizeof be) : -1;
    g_free(buf);
    return rc;
}

static int decode(const char *bytes, size_t len, xdrproc_t proc, void *what, size_t size)
{
    XDR x;

    memset(what, 0, size);
    xdrmem_create(&x, (char *)bytes, (u_int)len, XDR_DECODE);
    bool ok = proc(&x, what, 0) && xdr_getpos(&x) == len;
    xdr_destroy(&x);
    if (ok)
        return 0;
    xdr_free(proc, what);
    memset(what, 0, size);
    return -1;
}

static int read_frame(struct lmn_peer_connection *l, xdrproc_t proc, void *what,
                      size_t size)
{
    uint32_t be;

    if (read_all(l, (char *)&be, sizeof be) != 0 || ntohl(be) > LMN_MAX_FRAME_BYTES)
        return -1;
    size_t n = ntohl(be);
    char *buf = g_malloc(n + 1);
    int rc = read_all(l, buf, n) == 0 ? decode(buf, n, proc, what, size) : -1;
    g_free(buf);
    return rc;
}

int lmn_frame_request(const char *bytes, size_t len, lmn_gateway_rpc_request *q)
{
    return decode(bytes, len, (xdrproc_t)xdr_lmn_gateway_rpc_request, q, sizeof *q);
}

int lmn_frame_response(const char *bytes, size_t len, lmn_gateway_rpc_response *r)
{
    return decode(bytes, len, (xdrproc_t)xdr_lmn_gateway_rpc_response, r, sizeof *r);
}

int lmn_peer_connection_send_request(struct lmn_peer_connection *l,
                                     lmn_gateway_rpc_request *q)
{
    return send_frame(l, (xdrproc_t)xdr_lmn_gateway_rpc_request, q);
}

int lmn_peer_connection_read_request(struct lmn_peer_connection *l,
                                     lmn_gateway_rpc_request *q)
{
    return read_frame(l, (xdrproc_t)xdr_lmn_gateway_rpc_request, q, sizeof *q);
}

int lmn_peer_connection_send_response(struct lmn_peer_connection *l,
                                      lmn_gateway_rpc_response *r)
{
    return send_frame(l, (xdrproc_t)xdr_lmn_gateway_rpc_response, r);
}

int lmn_peer_connection_read_response(struct lmn_peer_connection *l,
                                      lmn_gateway_rpc_response *r)
{
    return read_frame(l, (xdrproc_t)xdr_lmn_gateway_rpc_response, r, sizeof *r);
}
