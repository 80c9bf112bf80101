/** @file
 * Batches: groups of transactions that are sent to the store in one request, as one
 * transaction. Internal to kv_client/. A batch has no lock: only one thread at a time may
 * use it. */
#ifndef LMN_KV_CLIENT_TXN_BATCH_H
#define LMN_KV_CLIENT_TXN_BATCH_H

#include "kv_client/txn.h"

#include <stdbool.h>
#include <stddef.h>

/** The most transactions in a batch. */
enum { LMN_MAX_BATCH_TXNS = 64 };

/** A batch. In an empty batch all fields but max_txns and max_operations are zero. */
struct lmn_txn_batch {
    struct lmn_txn *txns[LMN_MAX_BATCH_TXNS];
    guint count;
    guint max_txns;       /**< at most LMN_MAX_BATCH_TXNS */
    guint max_operations; /**< the store's limit of operations per request */
    guint operations, conditions;
    size_t bytes; /**< the sum of the transactions' bytes (struct lmn_txn) */
};

/** Whether the transaction can be added to the batch: the request stays within the limits
 * of the store, and neither the transaction nor one of the batch changes a key that the
 * other reads or changes. */
bool lmn_txn_batch_fits(const struct lmn_txn_batch *batch, const struct lmn_txn *txn);

/** Adds the transaction without checking any limit. The batch must hold fewer than
 * LMN_MAX_BATCH_TXNS transactions. */
void lmn_txn_batch_add(struct lmn_txn_batch *batch, struct lmn_txn *txn);

/** Whether the transaction has a condition on at least one of the keys (char *). */
bool lmn_txn_has_condition_on(const struct lmn_txn *txn, const GPtrArray *keys);

#endif
