/** @file
 * Batches of transactions: see kv_client/txn_batch.h. */
#include "kv_client/txn_batch.h"

#include "kv_client/txn_impl.h"

#include <string.h>

enum {
    MAX_BATCH_BYTES = 60000,
    /* The store's limit of conditions per request is this multiple of its limit of
     * operations per request. */
    CONDITIONS_PER_OPERATION = 4,
};

/** Whether the transaction has an operation or a condition on the key. */
static bool names_key(const struct lmn_txn *txn, const char *key)
{
    for (guint i = 0; i < txn->operations->len; i++)
        if (!strcmp(key, lmn_txn_operation_at(txn, i)->key))
            return true;
    for (guint i = 0; i < txn->conditions->len; i++)
        if (!strcmp(key, lmn_txn_condition_at(txn, i)->key))
            return true;
    return false;
}

/** Whether the first transaction changes a key on which the second has an operation or a
 * condition. Such transactions can't share a batch: the store checks all conditions of a
 * batch against the state before the batch. */
static bool affects(const struct lmn_txn *first, const struct lmn_txn *second)
{
    for (guint i = 0; i < first->operations->len; i++)
        if (names_key(second, lmn_txn_operation_at(first, i)->key))
            return true;
    return false;
}

bool lmn_txn_batch_fits(const struct lmn_txn_batch *batch, const struct lmn_txn *txn)
{
    if (batch->count >= batch->max_txns ||
        batch->operations + txn->operations->len > batch->max_operations ||
        batch->conditions + txn->conditions->len >
            CONDITIONS_PER_OPERATION * batch->max_operations ||
        batch->bytes + txn->bytes > MAX_BATCH_BYTES)
        return false;
    for (guint i = 0; i < batch->count; i++)
        if (affects(batch->txns[i], txn) || affects(txn, batch->txns[i]))
            return false;
    return true;
}

void lmn_txn_batch_add(struct lmn_txn_batch *batch, struct lmn_txn *txn)
{
    batch->txns[batch->count++] = txn;
    batch->operations += txn->operations->len;
    batch->conditions += txn->conditions->len;
    batch->bytes += txn->bytes;
}

bool lmn_txn_has_condition_on(const struct lmn_txn *txn, const GPtrArray *keys)
{
    for (guint i = 0; i < txn->conditions->len; i++)
        for (guint k = 0; k < keys->len; k++)
            if (!strcmp(lmn_txn_condition_at(txn, i)->key, keys->pdata[k]))
                return true;
    return false;
}
