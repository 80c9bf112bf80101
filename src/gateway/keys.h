/* A site's keys: an authority of its own, and certificates that it issues to its
 * gateways.
 *
 * A directory holds ca.key, ca.crt (the authority), site.key, site.crt (the gateway's),
 * crl.pem (what is revoked). Keys are in files of mode 0600 only; another mode is an
 * error. OpenSSL, P-256. */
#ifndef LMN_KEYS_H
#define LMN_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { LMN_FINGERPRINT = 65 };

/* Makes the authority and a first certificate for the site. -1 with err; nothing is
 * overwritten. */
int lmn_keys_init(const char *dir, const char *site, double days, char *err, size_t len);
/* A new key and certificate for the site, in place of the old one, which stays valid. */
int lmn_keys_issue(const char *dir, const char *site, double days, char *err, size_t len);
/* Puts a certificate of this serial number (hexadecimal; NULL: the current one) on the
 * list. */
int lmn_keys_revoke(const char *dir, const char *serial, char *err, size_t len);

struct lmn_keys_info {
    char site[64], serial[64], fingerprint[LMN_FINGERPRINT], not_before[32],
        not_after[32];
    double days_left;
    unsigned revoked;
    bool is_revoked;
};
int lmn_keys_show(const char *dir, struct lmn_keys_info *i, char *err, size_t len);

#endif
