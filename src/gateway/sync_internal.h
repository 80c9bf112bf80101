/* What both ends of a peer connection share: execution.c, which asks, and origin.c, which
 * answers. */
#ifndef LMN_GATEWAY_SYNC_INTERNAL_H
#define LMN_GATEWAY_SYNC_INTERNAL_H

#include "gateway/gateway_internal.h"
#include "gateway/peer_connection.h"

/* A message takes no longer, seconds. */
#define LMN_PEER_MESSAGE_TIMEOUT_S 5.0

const char *lmn_gateway_peer_site(const struct lmn_gateway_peer *p);
/* This gateway's hello; its strings belong to the gateway. */
void lmn_gateway_hello_fill(struct lmn_gateway *gateway, lmn_gateway_rpc_hello *h);
/* Takes a peer's hello; what is wrong with it, or NULL. */
const char *lmn_gateway_hello_accept(struct lmn_gateway *gateway, const char *site,
                                     const lmn_gateway_rpc_hello *h);
/* One more in an array of lmn_gateway_rpc_item, zero; belongs to the array, until that
 * grows. */
struct lmn_gateway_rpc_item *lmn_gateway_item_append(GArray *v);
/* Whether the job is among those that are taken already: a peer that names one twice must
 * not make this thread wait for itself. */
bool lmn_record_write_contains(const GArray *writes, const char *ref);

#endif
