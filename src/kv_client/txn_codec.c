/** @file
 * Encoding of transactions and decoding of responses (kv_client/txn_codec.h). */
#include "kv_client/txn_codec.h"

#include "http/client.h"
#include "kv_client/txn_impl.h"
#include "protocol/cbor.h"
#include "protocol/wire.h"

enum {
    HTTP_OK = 200,
    HTTP_BAD_REQUEST = 400,
    HTTP_CONFLICT = 409,
    HTTP_TOO_MANY_REQUESTS = 429,
    HTTP_UNAVAILABLE = 503,
};

static void encode_conditions(GByteArray *buffer, const struct lmn_txn *txn)
{
    for (guint i = 0; i < txn->conditions->len; i++) {
        const struct lmn_txn_condition *condition = lmn_txn_condition_at(txn, i);
        lmn_cbor_put_map(buffer, 2);
        lmn_cbor_put_text(buffer, WIRE_KEY);
        lmn_cbor_put_text(buffer, condition->key);
        lmn_cbor_put_text(buffer, WIRE_VERSION);
        lmn_cbor_put_uint(buffer, condition->version);
    }
}

static void encode_operation(GByteArray *buffer,
                             const struct lmn_txn_operation *operation)
{
    if (!operation->value) {
        lmn_cbor_put_map(buffer, 1);
        lmn_cbor_put_text(buffer, WIRE_DELETE);
        lmn_cbor_put_text(buffer, operation->key);
        return;
    }
    lmn_cbor_put_map(buffer, operation->lease ? 3 : 2);
    lmn_cbor_put_text(buffer, WIRE_PUT);
    lmn_cbor_put_text(buffer, operation->key);
    lmn_cbor_put_text(buffer, WIRE_VALUE);
    g_byte_array_append(buffer, operation->value->data, operation->value->len);
    if (operation->lease) {
        lmn_cbor_put_text(buffer, WIRE_LEASE);
        lmn_cbor_put_uint(buffer, operation->lease);
    }
}

GByteArray *lmn_txn_encode(struct lmn_txn *const *txns, guint count)
{
    GByteArray *buffer = g_byte_array_new();
    size_t conditions = 0, operations = 0;

    for (guint i = 0; i < count; i++) {
        conditions += txns[i]->conditions->len;
        operations += txns[i]->operations->len;
    }
    lmn_cbor_put_map(buffer, operations ? 2 : 1);
    lmn_cbor_put_text(buffer, WIRE_CONDITIONS);
    lmn_cbor_put_array(buffer, conditions);
    for (guint i = 0; i < count; i++)
        encode_conditions(buffer, txns[i]);
    if (!operations)
        return buffer;
    lmn_cbor_put_text(buffer, WIRE_OPERATIONS);
    lmn_cbor_put_array(buffer, operations);
    for (guint i = 0; i < count; i++)
        for (guint k = 0; k < txns[i]->operations->len; k++)
            encode_operation(buffer, lmn_txn_operation_at(txns[i], k));
    return buffer;
}

static void add_conflicts(const struct lmn_cbor_document *document, GPtrArray *conflicts)
{
    const struct lmn_cbor_value *keys =
        lmn_cbor_get(document, lmn_cbor_root(document), WIRE_CONFLICTS);

    for (const struct lmn_cbor_value *key = lmn_cbor_first_child(document, keys); key;
         key = lmn_cbor_next(document, key))
        if (key->type == LMN_CBOR_TEXT)
            g_ptr_array_add(conflicts, g_strndup(key->text, key->len));
}

enum lmn_txn_outcome lmn_txn_decode_response(int status, const GByteArray *response,
                                             uint64_t *revision, GPtrArray *conflicts)
{
    struct lmn_cbor_document document;
    enum lmn_txn_outcome outcome = LMN_TXN_UNKNOWN;

    if (status == LMN_HTTP_NOT_SENT || status == HTTP_TOO_MANY_REQUESTS ||
        status == HTTP_UNAVAILABLE || status == HTTP_BAD_REQUEST)
        return LMN_TXN_REJECTED;
    if (status != HTTP_OK && status != HTTP_CONFLICT)
        return LMN_TXN_UNKNOWN;
    if (lmn_cbor_parse(&document, response->data, response->len) != 0)
        return LMN_TXN_UNKNOWN;
    if (lmn_cbor_get_uint(
            lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_REVISION), revision))
        outcome = status == HTTP_OK ? LMN_TXN_COMMITTED : LMN_TXN_CONFLICT;
    if (conflicts)
        add_conflicts(&document, conflicts);
    lmn_cbor_free(&document);
    return outcome;
}
