/**
 * @file
 * Encoding of CBOR items at the end of a byte array, which belongs to the caller. Nothing
 * is checked here: the caller must append as many items or pairs as it announced.
 */
#include "protocol/cbor.h"

#include <cbor.h>
#include <string.h>

/** Bytes of the longest head of an item: a type byte and a number or length of 8 bytes.
 */
enum { MAX_HEAD_BYTES = 9 };

static void append(GByteArray *buffer, const unsigned char *bytes, size_t len)
{
    g_byte_array_append(buffer, bytes, (guint)len);
}

void lmn_cbor_put_map(GByteArray *buffer, size_t pairs)
{
    unsigned char head[MAX_HEAD_BYTES];
    append(buffer, head, cbor_encode_map_start(pairs, head, sizeof head));
}

void lmn_cbor_put_array(GByteArray *buffer, size_t items)
{
    unsigned char head[MAX_HEAD_BYTES];
    append(buffer, head, cbor_encode_array_start(items, head, sizeof head));
}

static void put_text_bytes(GByteArray *buffer, const char *text, size_t len)
{
    unsigned char head[MAX_HEAD_BYTES];
    append(buffer, head, cbor_encode_string_start(len, head, sizeof head));
    append(buffer, (const unsigned char *)text, len);
}

void lmn_cbor_put_text(GByteArray *buffer, const char *text)
{
    put_text_bytes(buffer, text, strlen(text));
}

void lmn_cbor_put_uint(GByteArray *buffer, uint64_t number)
{
    unsigned char head[MAX_HEAD_BYTES];
    append(buffer, head, cbor_encode_uint(number, head, sizeof head));
}

/** Appends the number -1 - `integer`. */
static void put_negint(GByteArray *buffer, uint64_t integer)
{
    unsigned char head[MAX_HEAD_BYTES];
    append(buffer, head, cbor_encode_negint(integer, head, sizeof head));
}

void lmn_cbor_put_number(GByteArray *buffer, double number)
{
    unsigned char head[MAX_HEAD_BYTES];
    append(buffer, head, cbor_encode_double(number, head, sizeof head));
}

void lmn_cbor_put_bool(GByteArray *buffer, bool truth)
{
    unsigned char head[1];
    append(buffer, head, cbor_encode_bool(truth, head, sizeof head));
}

void lmn_cbor_put_null(GByteArray *buffer)
{
    unsigned char head[1];
    append(buffer, head, cbor_encode_null(head, sizeof head));
}

void lmn_cbor_put_value(GByteArray *buffer, const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *node)
{
    switch (node->type) {
    case LMN_CBOR_BOOL:
        lmn_cbor_put_bool(buffer, node->truth);
        return;
    case LMN_CBOR_UINT:
        lmn_cbor_put_uint(buffer, node->integer);
        return;
    case LMN_CBOR_NEGINT:
        put_negint(buffer, node->integer);
        return;
    case LMN_CBOR_FLOAT:
        lmn_cbor_put_number(buffer, node->number);
        return;
    case LMN_CBOR_TEXT:
        put_text_bytes(buffer, node->text, node->len);
        return;
    case LMN_CBOR_ARRAY:
        lmn_cbor_put_array(buffer, node->len);
        break;
    case LMN_CBOR_MAP:
        lmn_cbor_put_map(buffer, node->len / 2);
        break;
    default:
        lmn_cbor_put_null(buffer);
        return;
    }
    for (const struct lmn_cbor_value *child = lmn_cbor_first_child(document, node); child;
         child = lmn_cbor_next(document, child))
        lmn_cbor_put_value(buffer, document, child);
}
