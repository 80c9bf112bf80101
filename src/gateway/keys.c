#include "gateway/keys.h"
#include "util/process.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <openssl/bn.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static const double CA_DAYS = 3650;

static int fail(char *err, size_t len, const char *what, const char *why)
{
    g_snprintf(err, len, "%s: %s", what, why);
    return -1;
}

static char *in_dir(const char *dir, const char *name)
{
    return g_build_filename(dir, name, NULL);
}

/* Writes what a BIO holds, durably and at once; secret: mode 0600 from the first moment.
 */
static int put(const char *path, BIO *b, bool secret)
{
    char *bytes, *tmp = g_strdup_printf("%s.new-%ld", path, (long)getpid());
    long n = BIO_get_mem_data(b, &bytes);
    int fd = open(tmp, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, secret ? 0600 : 0644),
        rc = -1;

    if (fd >= 0 && write(fd, bytes, (size_t)n) == n && fsync(fd) == 0 &&
        rename(tmp, path) == 0)
        rc = 0;
    else
        unlink(tmp);
    if (fd >= 0)
        close(fd);
    g_free(tmp);
    return rc;
}

static int put_key(const char *path, EVP_PKEY *key)
{
    BIO *b = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(b, key, NULL, NULL, 0, NULL, NULL);
    int rc = put(path, b, true);
    BIO_free(b);
    return rc;
}

static int put_cert(const char *path, X509 *c)
{
    BIO *b = BIO_new(BIO_s_mem());
    PEM_write_bio_X509(b, c);
    int rc = put(path, b, false);
    BIO_free(b);
    return rc;
}

static int put_crl(const char *path, X509_CRL *c)
{
    BIO *b = BIO_new(BIO_s_mem());
    PEM_write_bio_X509_CRL(b, c);
    int rc = put(path, b, false);
    BIO_free(b);
    return rc;
}

static BIO *open_bio(const char *dir, const char *name, bool secret, char *err,
                     size_t len)
{
    char *path = in_dir(dir, name);
    struct stat st;
    BIO *b = NULL;

    if (stat(path, &st) != 0)
        fail(err, len, path, strerror(errno));
    else if (secret && (st.st_mode & 0777) != 0600)
        fail(err, len, path,
             "its mode must be 0600: others could read the key; chmod 600, and "
             "think of renewing it");
    else if (!(b = BIO_new_file(path, "r")))
        fail(err, len, path, "can't be read");
    g_free(path);
    return b;
}

static EVP_PKEY *read_key(const char *dir, const char *name, char *err, size_t len)
{
    BIO *b = open_bio(dir, name, true, err, len);
    EVP_PKEY *k = b ? PEM_read_bio_PrivateKey(b, NULL, NULL, NULL) : NULL;

    if (b && !k)
        fail(err, len, name, "is no private key");
    BIO_free(b);
    return k;
}

static X509 *read_cert(const char *dir, const char *name, char *err, size_t len)
{
    BIO *b = open_bio(dir, name, false, err, len);
    X509 *c = b ? PEM_read_bio_X509(b, NULL, NULL, NULL) : NULL;

    if (b && !c)
        fail(err, len, name, "is no certificate");
    BIO_free(b);
    return c;
}

static void add_ext(X509 *c, X509 *issuer, int nid, const char *value)
{
    X509V3_CTX ctx;
    X509V3_set_ctx(&ctx, issuer, c, NULL, NULL, 0);
    X509_EXTENSION *e = X509V3_EXT_conf_nid(NULL, &ctx, nid, value);
    if (e)
        X509_add_ext(c, e, -1);
    X509_EXTENSION_free(e);
}

/* A certificate for the key; issuer NULL: its own authority. */
static X509 *make(const char *name, EVP_PKEY *key, X509 *issuer, EVP_PKEY *by,
                  double days)
{
    X509 *c = X509_new();
    BIGNUM *serial = BN_new();
    X509_NAME *n = X509_get_subject_name(c);

    X509_set_version(c, 2);
    BN_rand(serial, 120, BN_RAND_TOP_ONE, BN_RAND_BOTTOM_ANY);
    BN_to_ASN1_INTEGER(serial, X509_get_serialNumber(c));
    BN_free(serial);
    /* Clocks differ a little: it holds from some minutes ago. */
    X509_gmtime_adj(X509_getm_notBefore(c), days < 0 ? (long)((days - 1) * 86400) : -600);
    X509_gmtime_adj(X509_getm_notAfter(c), (long)(days * 86400));
    X509_NAME_add_entry_by_txt(n, "O", MBSTRING_UTF8, (const unsigned char *)"lemonspar",
                               -1, -1, 0);
    X509_NAME_add_entry_by_txt(n, "CN", MBSTRING_UTF8, (const unsigned char *)name, -1,
                               -1, 0);
    X509_set_issuer_name(c, issuer ? X509_get_subject_name(issuer) : n);
    X509_set_pubkey(c, key);
    add_ext(c, issuer ? issuer : c, NID_basic_constraints,
            issuer ? "critical,CA:FALSE" : "critical,CA:TRUE");
    add_ext(c, issuer ? issuer : c, NID_key_usage,
            issuer ? "critical,digitalSignature" : "critical,keyCertSign,cRLSign");
    X509_sign(c, by, EVP_sha256());
    return c;
}

static X509_CRL *make_crl(X509 *ca, EVP_PKEY *key, X509_CRL *old,
                          const ASN1_INTEGER *serial)
{
    X509_CRL *l = old ? X509_CRL_dup(old) : X509_CRL_new();
    ASN1_TIME *now = ASN1_TIME_new(), *next = ASN1_TIME_new();

    X509_CRL_set_version(l, 1);
    X509_CRL_set_issuer_name(l, X509_get_subject_name(ca));
    X509_gmtime_adj(now, -600);
    X509_gmtime_adj(next, (long)(CA_DAYS * 86400));
    X509_CRL_set1_lastUpdate(l, now);
    X509_CRL_set1_nextUpdate(l, next);
    if (serial) {
        X509_REVOKED *r = X509_REVOKED_new();
        X509_REVOKED_set_serialNumber(r, (ASN1_INTEGER *)serial);
        X509_REVOKED_set_revocationDate(r, now);
        X509_CRL_add0_revoked(l, r);
    }
    X509_CRL_sort(l);
    X509_CRL_sign(l, key, EVP_sha256());
    ASN1_TIME_free(now);
    ASN1_TIME_free(next);
    return l;
}

static X509_CRL *read_crl(const char *dir)
{
    char *path = in_dir(dir, "crl.pem");
    BIO *b = BIO_new_file(path, "r");
    X509_CRL *l = b ? PEM_read_bio_X509_CRL(b, NULL, NULL, NULL) : NULL;

    BIO_free(b);
    g_free(path);
    return l;
}

int lmn_keys_issue(const char *dir, const char *site, double days, char *err, size_t len)
{
    EVP_PKEY *ca_key = read_key(dir, "ca.key", err, len), *key = NULL;
    X509 *ca = ca_key ? read_cert(dir, "ca.crt", err, len) : NULL, *c = NULL;
    char *key_path = in_dir(dir, "site.key"), *path = in_dir(dir, "site.crt");
    int rc = -1;

    if (ca) {
        key = EVP_EC_gen("P-256");
        c = make(site, key, ca, ca_key, days);
        /* The key first: a certificate without its key would be refused at the next
         * start. Between the two, the pair does not match: a start then fails, and this
         * command again mends it. */
        rc = put_key(key_path, key) == 0 && put_cert(path, c) == 0
                 ? 0
                 : fail(err, len, dir, strerror(errno));
    }
    EVP_PKEY_free(ca_key);
    EVP_PKEY_free(key);
    X509_free(ca);
    X509_free(c);
    g_free(key_path);
    g_free(path);
    return rc;
}

int lmn_keys_init(const char *dir, const char *site, double days, char *err, size_t len)
{
    char *key_path = in_dir(dir, "ca.key"), *path = in_dir(dir, "ca.crt"),
         *crl = in_dir(dir, "crl.pem");
    char *name = g_strdup_printf("%s authority", site);
    int rc = -1;

    if (g_mkdir_with_parents(dir, 0700) != 0) {
        fail(err, len, dir, strerror(errno));
    } else if (access(key_path, F_OK) == 0) {
        fail(err, len, key_path,
             "there is an authority already; its peers would not know a new one");
    } else {
        EVP_PKEY *key = EVP_EC_gen("P-256");
        X509 *ca = make(name, key, NULL, key, CA_DAYS);
        X509_CRL *l = make_crl(ca, key, NULL, NULL);
        rc =
            put_cert(path, ca) == 0 && put_crl(crl, l) == 0 && put_key(key_path, key) == 0
                ? lmn_keys_issue(dir, site, days, err, len)
                : fail(err, len, dir, strerror(errno));
        EVP_PKEY_free(key);
        X509_free(ca);
        X509_CRL_free(l);
    }
    g_free(key_path);
    g_free(path);
    g_free(crl);
    g_free(name);
    return rc;
}

int lmn_keys_revoke(const char *dir, const char *serial, char *err, size_t len)
{
    EVP_PKEY *key = read_key(dir, "ca.key", err, len);
    X509 *ca = key ? read_cert(dir, "ca.crt", err, len) : NULL;
    X509 *c = ca && !serial ? read_cert(dir, "site.crt", err, len) : NULL;
    ASN1_INTEGER *n = NULL;
    int rc = -1;

    if (c) {
        n = ASN1_INTEGER_dup(X509_get_serialNumber(c));
    } else if (ca && serial) {
        BIGNUM *b = NULL;
        if (BN_hex2bn(&b, serial) == (int)strlen(serial) && *serial)
            n = BN_to_ASN1_INTEGER(b, NULL);
        else
            fail(err, len, serial, "expected a serial number in hexadecimal");
        BN_free(b);
    }
    if (n) {
        X509_CRL *old = read_crl(dir), *l = make_crl(ca, key, old, n);
        char *path = in_dir(dir, "crl.pem");
        rc = put_crl(path, l) == 0 ? 0 : fail(err, len, path, strerror(errno));
        g_free(path);
        X509_CRL_free(old);
        X509_CRL_free(l);
    }
    ASN1_INTEGER_free(n);
    X509_free(c);
    X509_free(ca);
    EVP_PKEY_free(key);
    return rc;
}

static void time_text(const ASN1_TIME *t, char *out, size_t len)
{
    struct tm tm = {0};
    ASN1_TIME_to_tm(t, &tm);
    strftime(out, len, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

int lmn_keys_show(const char *dir, struct lmn_keys_info *i, char *err, size_t len)
{
    X509 *ca = read_cert(dir, "ca.crt", err, len),
         *c = ca ? read_cert(dir, "site.crt", err, len) : NULL;
    EVP_PKEY *key = c ? read_key(dir, "site.key", err, len) : NULL;
    X509_CRL *l = read_crl(dir);
    unsigned char md[EVP_MAX_MD_SIZE];
    X509_REVOKED *r = NULL;
    unsigned n = 0;
    int rc = -1, days = 0, seconds = 0;

    memset(i, 0, sizeof *i);
    if (key && X509_check_private_key(c, key) != 1) {
        fail(err, len, dir,
             "site.key does not belong to site.crt; 'lemonspar key renew' makes a new "
             "pair");
    } else if (key) {
        X509_NAME_get_text_by_NID(X509_get_subject_name(c), NID_commonName, i->site,
                                  sizeof i->site);
        BIGNUM *b = ASN1_INTEGER_to_BN(X509_get_serialNumber(c), NULL);
        char *hex = BN_bn2hex(b);
        g_strlcpy(i->serial, hex, sizeof i->serial);
        OPENSSL_free(hex);
        BN_free(b);
        X509_digest(ca, EVP_sha256(), md, &n);
        for (unsigned k = 0; k < n; k++)
            g_snprintf(i->fingerprint + 2 * k, 3, "%02x", md[k]);
        time_text(X509_get0_notBefore(c), i->not_before, sizeof i->not_before);
        time_text(X509_get0_notAfter(c), i->not_after, sizeof i->not_after);
        ASN1_TIME_diff(&days, &seconds, NULL, X509_get0_notAfter(c));
        i->days_left = days + seconds / 86400.0;
        i->revoked = l && X509_CRL_get_REVOKED(l)
                         ? (unsigned)sk_X509_REVOKED_num(X509_CRL_get_REVOKED(l))
                         : 0;
        i->is_revoked = l && X509_CRL_get0_by_cert(l, &r, c) == 1;
        rc = 0;
    }
    X509_free(ca);
    X509_free(c);
    X509_CRL_free(l);
    EVP_PKEY_free(key);
    return rc;
}
