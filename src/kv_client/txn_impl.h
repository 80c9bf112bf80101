/** @file
 * What a transaction consists of; for the files of kv_client/ only. */
#ifndef LMN_KV_CLIENT_TXN_IMPL_H
#define LMN_KV_CLIENT_TXN_IMPL_H

#include "kv_client/txn.h"

#include <stddef.h>
#include <time.h>

/** A condition: the key is at the version. */
struct lmn_txn_condition {
    char *key;
    uint64_t version; /**< 0: it does not exist */
};

/** An operation on a key. */
struct lmn_txn_operation {
    char *key;
    GByteArray *value; /**< NULL: the key is removed */
    uint64_t lease;    /**< 0: none */
};

/** A transaction. */
struct lmn_txn {
    enum lmn_write_priority priority;
    lmn_txn_callback *done;
    void *arg;
    GArray *conditions; /**< struct lmn_txn_condition */
    GArray *operations; /**< struct lmn_txn_operation */
    size_t bytes;       /**< an upper estimate of its size as the store counts it */
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
