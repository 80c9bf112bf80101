/** @file
 * The structure of a transaction; internal to kv_client/. */
#ifndef LMN_KV_CLIENT_TXN_IMPL_H
#define LMN_KV_CLIENT_TXN_IMPL_H

#include "kv_client/txn.h"

#include <stddef.h>
#include <time.h>

/** A condition: the key has the version. */
struct lmn_txn_condition {
    char *key;
    uint64_t version; /**< 0: the key does not exist */
};

/** An operation on a key. */
struct lmn_txn_operation {
    char *key;
    GByteArray *value; /**< NULL: the key is removed */
    uint64_t lease;    /**< that the key is attached to; 0: none */
};

/** A transaction. */
struct lmn_txn {
    enum lmn_write_priority priority;
    lmn_txn_callback *done;
    void *arg;
    GArray *conditions; /**< struct lmn_txn_condition */
    GArray *operations; /**< struct lmn_txn_operation */
    size_t bytes;       /**< upper estimate of the transaction's size, encoded as JSON, by
                             which the store limits requests */
    struct timespec submitted_at;
};

/** The condition at the index. */
static inline const struct lmn_txn_condition *
lmn_txn_condition_at(const struct lmn_txn *txn, guint index)
{
    return &g_array_index(txn->conditions, struct lmn_txn_condition, index);
}

/** The operation at the index. */
static inline const struct lmn_txn_operation *
lmn_txn_operation_at(const struct lmn_txn *txn, guint index)
{
    return &g_array_index(txn->operations, struct lmn_txn_operation, index);
}

#endif
