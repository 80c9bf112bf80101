/* Claims and transfers as a controller of an older version writes them: they reserve one
 * fencing token, the next one, and the owner's record has no field for more. */
#include "simulation.h"

#include "kv_client/txn_impl.h"
#include "state/fencing_token.h"

#include <string.h>

static uint64_t read_uint(const struct lmn_cbor_document *document, const char *name)
{
    uint64_t value = 0;

    lmn_cbor_get_uint(lmn_cbor_get(document, lmn_cbor_root(document), name), &value);
    return value;
}

/* Replaces the owner's record. Returns the only token of the claim. */
static uint64_t rewrite_owner_record(GByteArray *value)
{
    struct lmn_cbor_document document;
    char node[LMN_NAME_SIZE];

    assert_int_equal(lmn_cbor_parse(&document, value->data, value->len), 0);
    lmn_cbor_get_text(lmn_cbor_get(&document, lmn_cbor_root(&document), "node"), node,
                      sizeof node);
    uint64_t token = read_uint(&document, "term") - read_uint(&document, "raises");
    uint64_t lease = read_uint(&document, "lease"),
             stream = read_uint(&document, "stream");
    lmn_cbor_free(&document);
    g_byte_array_set_size(value, 0);
    lmn_cbor_put_map(value, 4);
    lmn_cbor_put_text(value, "node"), lmn_cbor_put_text(value, node);
    lmn_cbor_put_text(value, "lease"), lmn_cbor_put_uint(value, lease);
    lmn_cbor_put_text(value, "term"), lmn_cbor_put_uint(value, token);
    lmn_cbor_put_text(value, "stream"), lmn_cbor_put_uint(value, stream);
    return token;
}

void simulation_write_as_older_version(struct lmn_txn *txn)
{
    uint64_t token = 0;

    for (guint i = 0; i < txn->operations->len; i++) {
        const struct lmn_txn_operation *operation = lmn_txn_operation_at(txn, i);
        if (!strncmp(operation->key, "o/", 2))
            token = rewrite_owner_record(operation->value);
    }
    for (guint i = 0; i < txn->operations->len; i++) {
        const struct lmn_txn_operation *operation = lmn_txn_operation_at(txn, i);
        if (strncmp(operation->key, "t/", 2) != 0)
            continue;
        g_byte_array_set_size(operation->value, 0);
        lmn_cbor_put_uint(operation->value, token);
    }
}
