/** @file
 * Transactions on the wire: the body of a request that carries some, and what its
 * response says of their outcome. Pure functions; for the files of kv_client/ only. */
#ifndef LMN_KV_CLIENT_TXN_CODEC_H
#define LMN_KV_CLIENT_TXN_CODEC_H

#include "kv_client/txn.h"

/** Encodes the transactions as one, all of whose conditions must hold. The buffer is the
 * caller's. */
GByteArray *lmn_txn_encode(struct lmn_txn *const *txns, guint count);

/** Decodes the response to a transaction.
 *
 * @param status     HTTP status, or one of http/client.h's negative ones
 * @param response   the response's body
 * @param revision   set if the response has one
 * @param conflicts  keys whose condition did not hold are added to it (char *, which it
 *                   must free); may be NULL */
enum lmn_txn_outcome lmn_txn_decode_response(int status, const GByteArray *response,
                                             uint64_t *revision, GPtrArray *conflicts);

#endif
