/** @file
 * Decodes client transactions from CBOR, checks them against the limits, and queues them
 * for the writer. Runs on the HTTP thread. */
#include "kv_store/kv_store_internal.h"
#include "protocol/wire.h"

/* The limit of conditions is this multiple of the limit of puts and deletes. */
enum { CONDITIONS_PER_CHANGE = 4 };

/* Copies a key into the operation. Returns NULL if it is missing or not a valid key. */
static const char *copy_key(struct lmn_kv_store_operation *operation,
                            const struct lmn_cbor_value *node)
{
    /* One byte more than a key may have, to detect longer ones, and the final 0. */
    char key[LMN_DB_MAX_KEY_BYTES + 2];

    if (!lmn_cbor_get_text(node, key, sizeof key) || !lmn_kv_store_key_is_valid(key))
        return NULL;
    char *copy = g_strdup(key);
    g_ptr_array_add(operation->bytes, copy);
    return copy;
}

/* Decodes the next condition. Returns an error text; NULL if it is valid. */
static const char *read_condition(struct lmn_kv_store_operation *operation,
                                  const struct lmn_cbor_document *document,
                                  const struct lmn_cbor_value *node)
{
    struct lmn_db_condition *condition =
        &operation->txn.conditions[operation->txn.condition_count++];

    condition->key = copy_key(operation, lmn_cbor_get(document, node, WIRE_KEY));
    if (!condition->key)
        return WIRE_CONDITIONS ": a key of 1 to 200 bytes without spaces is missing";
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_VERSION),
                           &condition->revision))
        return WIRE_CONDITIONS ": a version is missing";
    return NULL;
}

/* Copies a value as CBOR into the operation; null if the put has no value. */
static void copy_value(struct lmn_kv_store_operation *operation,
                       struct lmn_db_change *change,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *value)
{
    GByteArray *bytes = g_byte_array_new();

    if (value)
        lmn_cbor_put_value(bytes, document, value);
    else
        lmn_cbor_put_null(bytes);
    change->len = bytes->len;
    change->value = g_byte_array_free(bytes, FALSE);
    g_ptr_array_add(operation->bytes, (gpointer)change->value);
}

/* Decodes the next put or delete. Returns an error text; NULL if it is valid. */
static const char *read_change(const struct lmn_kv_store *store,
                               struct lmn_kv_store_operation *operation,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *node)
{
    struct lmn_db_change *change = &operation->txn.changes[operation->txn.change_count++];
    const struct lmn_cbor_value *put = lmn_cbor_get(document, node, WIRE_PUT);
    double max_value_kb = store->options.max_value_kb;

    change->key =
        copy_key(operation, put ? put : lmn_cbor_get(document, node, WIRE_DELETE));
    if (!change->key)
        return WIRE_OPERATIONS ": a key of 1 to 200 bytes without spaces is missing";
    if (!put)
        return NULL;
    const struct lmn_cbor_value *value = lmn_cbor_get(document, node, WIRE_VALUE);
    lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_LEASE), &change->lease);
    if (max_value_kb > 0 && value &&
        (double)lmn_cbor_json_size(document, value) > max_value_kb * 1024)
        return WIRE_OPERATIONS ": a value is too large";
    copy_value(operation, change, document, value);
    return NULL;
}

/* Checks the structure and the size of the transaction. Returns an error text; NULL if
 * both are valid. */
static const char *check_size(const struct lmn_kv_store *store,
                              const struct lmn_cbor_document *document,
                              const struct lmn_cbor_value *conditions,
                              const struct lmn_cbor_value *changes)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document);
    int max_changes = store->options.max_txn_operations;

    if (root->type != LMN_CBOR_MAP ||
        (conditions && conditions->type != LMN_CBOR_ARRAY) ||
        (changes && changes->type != LMN_CBOR_ARRAY))
        return "a map with lists " WIRE_CONDITIONS " and " WIRE_OPERATIONS " is expected";
    if (lmn_cbor_json_size(document, root) > LMN_KV_STORE_MAX_BODY_BYTES)
        return "more than 64 KiB";
    if (max_changes > 0 &&
        ((changes && changes->len > (uint32_t)max_changes) ||
         (conditions && conditions->len > CONDITIONS_PER_CHANGE * (uint32_t)max_changes)))
        return "too many changes or conditions";
    return NULL;
}

/* Decodes the transaction. Returns an error text; NULL if it is valid. */
static const char *read_txn(const struct lmn_kv_store *store,
                            struct lmn_kv_store_operation *operation,
                            const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *root = lmn_cbor_root(document), *node;
    const struct lmn_cbor_value *conditions =
        lmn_cbor_get(document, root, WIRE_CONDITIONS);
    const struct lmn_cbor_value *changes = lmn_cbor_get(document, root, WIRE_OPERATIONS);
    const char *fault = check_size(store, document, conditions, changes);

    if (fault)
        return fault;
    operation->txn.conditions =
        g_new0(struct lmn_db_condition, conditions ? conditions->len : 0);
    operation->txn.changes = g_new0(struct lmn_db_change, changes ? changes->len : 0);
    for (node = lmn_cbor_first_child(document, conditions); node && !fault;
         node = lmn_cbor_next(document, node))
        fault = read_condition(operation, document, node);
    for (node = lmn_cbor_first_child(document, changes); node && !fault;
         node = lmn_cbor_next(document, node))
        fault = read_change(store, operation, document, node);
    return fault;
}

void lmn_kv_store_handle_txn(struct lmn_kv_store *store, struct lmn_http_request *request,
                             const struct lmn_cbor_document *document)
{
    struct lmn_kv_store_operation *operation =
        lmn_kv_store_operation_new(LMN_KV_STORE_TXN, request);

    operation->bytes = g_ptr_array_new_with_free_func(g_free);
    const char *fault = read_txn(store, operation, document);
    if (fault)
        lmn_http_request_fail(request, LMN_KV_STORE_INVALID, fault);
    if (fault || lmn_kv_store_reject_if_rate_limited(store, request, &store->writes,
                                                     (double)operation->txn.change_count))
        lmn_kv_store_operation_free(operation);
    else
        lmn_kv_store_submit(store, operation);
}
