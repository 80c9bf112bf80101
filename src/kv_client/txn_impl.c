/** @file
 * Creates, reads, copies and frees compare-and-swap transactions (kv_client/txn.h). */
#include "kv_client/txn_impl.h"

#include <string.h>

/** Upper estimates of the bytes that the store counts beyond keys and values. The store
 * limits the size of the JSON encoding, in which numbers and quotes are longer than in
 * CBOR; a value is therefore estimated at 1.5 times its CBOR size. */
enum { TXN_OVERHEAD_BYTES = 32, CONDITION_BYTES = 40, PUT_BYTES = 60, DELETE_BYTES = 40 };

struct lmn_txn *lmn_txn_new(enum lmn_write_priority priority, lmn_txn_callback *done,
                            void *arg)
{
    struct lmn_txn *txn = g_new0(struct lmn_txn, 1);

    txn->priority = priority;
    txn->done = done;
    txn->arg = arg;
    txn->conditions = g_array_new(FALSE, FALSE, sizeof(struct lmn_txn_condition));
    txn->operations = g_array_new(FALSE, FALSE, sizeof(struct lmn_txn_operation));
    txn->bytes = TXN_OVERHEAD_BYTES;
    return txn;
}

void lmn_txn_require_version(struct lmn_txn *txn, const char *key, uint64_t version)
{
    struct lmn_txn_condition condition = {g_strdup(key), version};

    g_array_append_val(txn->conditions, condition);
    txn->bytes += strlen(key) + CONDITION_BYTES;
}

/** Makes a put operation and adds its size to the transaction's bytes. */
static struct lmn_txn_operation make_put(struct lmn_txn *txn, const char *key,
                                         GByteArray *value, uint64_t lease)
{
    txn->bytes += strlen(key) + PUT_BYTES + value->len + value->len / 2;
    return (struct lmn_txn_operation){g_strdup(key), value, lease};
}

void lmn_txn_put(struct lmn_txn *txn, const char *key, GByteArray *value, uint64_t lease)
{
    struct lmn_txn_operation operation = make_put(txn, key, value, lease);
    g_array_append_val(txn->operations, operation);
}

void lmn_txn_put_first(struct lmn_txn *txn, const char *key, GByteArray *value)
{
    struct lmn_txn_operation operation = make_put(txn, key, value, 0);
    g_array_prepend_val(txn->operations, operation);
}

void lmn_txn_delete(struct lmn_txn *txn, const char *key)
{
    struct lmn_txn_operation operation = {g_strdup(key), NULL, 0};

    g_array_append_val(txn->operations, operation);
    txn->bytes += strlen(key) + DELETE_BYTES;
}

void lmn_txn_free(struct lmn_txn *txn)
{
    for (guint i = 0; i < txn->conditions->len; i++)
        g_free(lmn_txn_condition_at(txn, i)->key);
    for (guint i = 0; i < txn->operations->len; i++) {
        const struct lmn_txn_operation *operation = lmn_txn_operation_at(txn, i);
        g_free(operation->key);
        if (operation->value)
            g_byte_array_unref(operation->value);
    }
    g_array_free(txn->conditions, TRUE);
    g_array_free(txn->operations, TRUE);
    g_free(txn);
}

struct lmn_txn *lmn_txn_copy(const struct lmn_txn *txn)
{
    struct lmn_txn *copy = lmn_txn_new(txn->priority, txn->done, txn->arg);

    for (guint i = 0; i < txn->conditions->len; i++) {
        const struct lmn_txn_condition *condition = lmn_txn_condition_at(txn, i);
        lmn_txn_require_version(copy, condition->key, condition->version);
    }
    for (guint i = 0; i < txn->operations->len; i++) {
        const struct lmn_txn_operation *operation = lmn_txn_operation_at(txn, i);
        if (operation->value)
            lmn_txn_put(copy, operation->key, g_byte_array_ref(operation->value),
                        operation->lease);
        else
            lmn_txn_delete(copy, operation->key);
    }
    return copy;
}

guint lmn_txn_operation_count(const struct lmn_txn *txn)
{
    return txn->operations->len;
}

void lmn_txn_foreach_operation(const struct lmn_txn *txn,
                               void (*visit)(void *arg, const char *key,
                                             const GByteArray *value, uint64_t lease),
                               void *arg)
{
    for (guint i = 0; i < txn->operations->len; i++) {
        const struct lmn_txn_operation *operation = lmn_txn_operation_at(txn, i);
        visit(arg, operation->key, operation->value, operation->lease);
    }
}

void lmn_txn_foreach_condition(const struct lmn_txn *txn,
                               void (*visit)(void *arg, const char *key,
                                             uint64_t version),
                               void *arg)
{
    for (guint i = 0; i < txn->conditions->len; i++) {
        const struct lmn_txn_condition *condition = lmn_txn_condition_at(txn, i);
        visit(arg, condition->key, condition->version);
    }
}

void lmn_txn_complete(struct lmn_txn *txn, enum lmn_txn_outcome outcome,
                      uint64_t revision)
{
    if (txn->done)
        txn->done(txn->arg, txn, outcome, revision);
    lmn_txn_free(txn);
}
