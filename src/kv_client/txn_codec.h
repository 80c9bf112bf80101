/** @file
 * Encodes transactions as the body of a request, and decodes their outcome from the
 * response. Pure functions, internal to kv_client/. */
#ifndef LMN_KV_CLIENT_TXN_CODEC_H
#define LMN_KV_CLIENT_TXN_CODEC_H

#include "kv_client/txn.h"

/** Encodes the transactions as a single transaction, which the store applies only if the
 * conditions of all of them hold. The caller owns the returned buffer. */
GByteArray *lmn_txn_encode(struct lmn_txn *const *txns, guint count);

/** Decodes the response to a transaction.
 *
 * @param status     HTTP status, or a negative error code of http/client.h
 * @param response   the response's body
 * @param revision   set to the store's revision if the response contains it
 * @param conflicts  keys whose condition did not hold are added to it (char *, which it
 *                   must free); may be NULL */
enum lmn_txn_outcome lmn_txn_decode_response(int status, const GByteArray *response,
                                             uint64_t *revision, GPtrArray *conflicts);

#endif
