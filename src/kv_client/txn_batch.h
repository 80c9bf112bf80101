/** @file
 * Batches: transactions that are sent to the store as one. For the files of kv_client/
 * only; a batch has no lock, one thread at a time uses it. */
#ifndef LMN_KV_CLIENT_TXN_BATCH_H
#define LMN_KV_CLIENT_TXN_BATCH_H

#include "kv_client/txn.h"

#include <stdbool.h>
#include <stddef.h>

/** Most transactions of a batch. */
enum { LMN_MAX_BATCH_TXNS = 64 };

/** A batch; all zero but max_txns and max_operations: an empty one. */
struct lmn_txn_batch {
    struct lmn_txn *txns[LMN_MAX_BATCH_TXNS];
    guint count;
    guint max_txns;       /**< at most LMN_MAX_BATCH_TXNS */
    guint max_operations; /**< that the store takes in one request */
    guint operations, conditions;
    size_t bytes; /**< as lmn_txn's */
};

/** Whether the transaction can be sent in the batch: the request keeps within the store's
 * limits, and no two of its transactions depend on each other. */
bool lmn_txn_batch_fits(const struct lmn_txn_batch *batch, const struct lmn_txn *txn);

/** Adds the transaction, without a check; there has to be a place for it. */
void lmn_txn_batch_add(struct lmn_txn_batch *batch, struct lmn_txn *txn);

/** Whether one of the transaction's conditions is on one of the keys (char *). */
bool lmn_txn_has_condition_on(const struct lmn_txn *txn, const GPtrArray *keys);

#endif
