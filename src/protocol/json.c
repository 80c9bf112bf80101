/**
 * @file
 * Conversion between CBOR and JSON. Both directions recurse. From CBOR, the depth is at
 * most LMN_CBOR_MAX_DEPTH; to CBOR, it is the depth of the JSON value, which only our own
 * code builds.
 */
#include "protocol/json.h"

#include <stdio.h>

enum { INDENT_COLUMNS = 2 };

static json_t *array_of(const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *node)
{
    json_t *array = json_array();

    for (const struct lmn_cbor_value *item = lmn_cbor_first_child(document, node); item;
         item = lmn_cbor_next(document, item))
        json_array_append_new(array, lmn_json_from_cbor(document, item));
    return array;
}

static json_t *object_of(const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *node)
{
    json_t *object = json_object();

    for (const struct lmn_cbor_value *key = lmn_cbor_first_child(document, node); key;) {
        const struct lmn_cbor_value *value = lmn_cbor_next(document, key);
        g_autofree char *name = g_strndup(key->text, key->len);
        json_object_set_new(object, name, lmn_json_from_cbor(document, value));
        key = lmn_cbor_next(document, value);
    }
    return object;
}

json_t *lmn_json_from_cbor(const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *node)
{
    switch (node->type) {
    case LMN_CBOR_BOOL:
        return json_boolean(node->truth);
    case LMN_CBOR_UINT:
        return node->integer <= INT64_MAX ? json_integer((json_int_t)node->integer)
                                          : json_real((double)node->integer);
    case LMN_CBOR_NEGINT:
        return json_integer(-1 - (json_int_t)node->integer);
    case LMN_CBOR_FLOAT:
        return json_real(node->number);
    case LMN_CBOR_TEXT:
        return json_stringn(node->text, node->len);
    case LMN_CBOR_ARRAY:
        return array_of(document, node);
    case LMN_CBOR_MAP:
        return object_of(document, node);
    default:
        return json_null();
    }
}

json_t *lmn_json_from_cbor_bytes(const void *bytes, size_t len)
{
    struct lmn_cbor_document document;

    if (lmn_cbor_parse(&document, bytes, len) != 0)
        return NULL;
    json_t *value = lmn_json_from_cbor(&document, lmn_cbor_root(&document));
    lmn_cbor_free(&document);
    return value;
}

static void put_object(GByteArray *buffer, json_t *object)
{
    const char *key;
    json_t *member;

    lmn_cbor_put_map(buffer, json_object_size(object));
    json_object_foreach(object, key, member)
    {
        lmn_cbor_put_text(buffer, key);
        lmn_json_append_cbor(buffer, member);
    }
}

static void put_array(GByteArray *buffer, json_t *array)
{
    json_t *item;
    size_t i;

    lmn_cbor_put_array(buffer, json_array_size(array));
    json_array_foreach(array, i, item) lmn_json_append_cbor(buffer, item);
}

/** Encodes a negative integer as a float, since no field of the protocol is a negative
 * integer. */
static void put_integer(GByteArray *buffer, json_int_t integer)
{
    if (integer >= 0)
        lmn_cbor_put_uint(buffer, (uint64_t)integer);
    else
        lmn_cbor_put_number(buffer, (double)integer);
}

void lmn_json_append_cbor(GByteArray *buffer, json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_OBJECT:
        put_object(buffer, value);
        return;
    case JSON_ARRAY:
        put_array(buffer, value);
        return;
    case JSON_STRING:
        lmn_cbor_put_text(buffer, json_string_value(value));
        return;
    case JSON_INTEGER:
        put_integer(buffer, json_integer_value(value));
        return;
    case JSON_REAL:
        lmn_cbor_put_number(buffer, json_real_value(value));
        return;
    case JSON_TRUE:
    case JSON_FALSE:
        lmn_cbor_put_bool(buffer, json_is_true(value));
        return;
    default:
        lmn_cbor_put_null(buffer);
    }
}

void lmn_json_print(json_t *value, bool pretty)
{
    json_dumpf(value, stdout, pretty ? JSON_INDENT(INDENT_COLUMNS) : JSON_COMPACT);
    putchar('\n');
    json_decref(value);
}
