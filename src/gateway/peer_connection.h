/* A link between two sites: TLS 1.3 with both sides authenticated, and framed messages
 * over it. Blocking; a link belongs to one thread. */
#ifndef LMN_GATEWAY_PEER_CONNECTION_H
#define LMN_GATEWAY_PEER_CONNECTION_H

#include "config/settings.h"
#include "gateway/keys.h"

#include "gateway_rpc.h"

#include <pthread.h>

enum { LMN_MAX_PEERS = 128, LMN_MAX_FRAME_BYTES = 5 << 20 };

struct lmn_peer_key {
    char site[LMN_NAME_SIZE], fingerprint[LMN_FINGERPRINT]; /* of the site's authority */
};

struct lmn_tls;
/* Reads the site's keys; -1 with err (also if a key's mode is wrong). The peers' table is
 * the caller's, and may grow under its lock; it is read while peers are verified. */
struct lmn_tls *lmn_tls_new(const char *dir, const char *site,
                            const struct lmn_peer_key *peers, const unsigned *npeers,
                            char *err, size_t len);
/* Takes up renewed keys and the list of revoked ones, while links are up: new links use
 * them. */
int lmn_tls_reload(struct lmn_tls *tls, char *err, size_t len);
/* The own list of revoked certificates, DER; belongs to t until it is reloaded. */
const unsigned char *lmn_tls_crl(struct lmn_tls *tls, size_t *len);
/* A peer's list, as its hello brought it: taken if its authority has signed it and it is
 * no older. */
void lmn_tls_learn_crl(struct lmn_tls *tls, const char *site, const unsigned char *der,
                       size_t len);

struct lmn_peer_connection;
/* Dials; NULL with why in err. site: who must be there. */
struct lmn_peer_connection *lmn_peer_connection_open(struct lmn_tls *tls,
                                                     const char *addr, const char *site,
                                                     double seconds, char *err,
                                                     size_t len);
/* The other side of an accepted socket, which is taken over; NULL with why in err. */
struct lmn_peer_connection *lmn_peer_connection_accept(struct lmn_tls *tls, int fd,
                                                       double seconds, char *err,
                                                       size_t len);
void lmn_peer_connection_close(struct lmn_peer_connection *l);
/* Who the other side is, by its certificate. */
const char *lmn_peer_connection_site(const struct lmn_peer_connection *l);
uint64_t lmn_peer_connection_bytes(const struct lmn_peer_connection *l);

/* 0, or -1: the link is of no use any more. What is read is freed by xdr_free. */
int lmn_peer_connection_send_request(struct lmn_peer_connection *l,
                                     lmn_gateway_rpc_request *q);
int lmn_peer_connection_read_request(struct lmn_peer_connection *l,
                                     lmn_gateway_rpc_request *q);
int lmn_peer_connection_send_response(struct lmn_peer_connection *l,
                                      lmn_gateway_rpc_response *r);
int lmn_peer_connection_read_response(struct lmn_peer_connection *l,
                                      lmn_gateway_rpc_response *r);

/* --- for tests and fuzzing: a frame's bytes --- */
/* 0, or -1 if they are no such message; nothing is left allocated then. */
int lmn_frame_request(const char *bytes, size_t len, lmn_gateway_rpc_request *q);
int lmn_frame_response(const char *bytes, size_t len, lmn_gateway_rpc_response *r);

#endif
