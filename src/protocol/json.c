#include "protocol/json.h"

#include <stdio.h>

json_t *lmn_json_of(const struct lmn_cbor_document *document,
                    const struct lmn_cbor_value *node)
{
    json_t *j;

    switch (node->type) {
    case LMN_CBOR_BOOL:
        return json_boolean(node->truth);
    case LMN_CBOR_UINT:
        return node->u <= INT64_MAX ? json_integer((json_int_t)node->u)
                                    : json_real((double)node->u);
    case LMN_CBOR_NEGINT:
        return json_integer(-1 - (json_int_t)node->u);
    case LMN_CBOR_FLOAT:
        return json_real(node->f);
    case LMN_CBOR_TEXT:
        return json_stringn(node->s, node->len);
    case LMN_CBOR_ARRAY:
        j = json_array();
        for (const struct lmn_cbor_value *k = lmn_cbor_first_child(document, node); k;
             k = lmn_cbor_next(document, k))
            json_array_append_new(j, lmn_json_of(document, k));
        return j;
    case LMN_CBOR_MAP:
        j = json_object();
        for (const struct lmn_cbor_value *k = lmn_cbor_first_child(document, node); k;) {
            const struct lmn_cbor_value *value = lmn_cbor_next(document, k);
            char *key = g_strndup(k->s, k->len);
            json_object_set_new(j, key, lmn_json_of(document, value));
            g_free(key);
            k = lmn_cbor_next(document, value);
        }
        return j;
    default:
        return json_null();
    }
}

json_t *lmn_json_of_bytes(const void *bytes, size_t len)
{
    struct lmn_cbor_document d;

    if (lmn_cbor_parse(&d, bytes, len) != 0)
        return NULL;
    json_t *j = lmn_json_of(&d, lmn_cbor_root(&d));
    lmn_cbor_free(&d);
    return j;
}

void lmn_json_put(GByteArray *buffer, json_t *j)
{
    const char *key;
    json_t *v;
    size_t i;

    switch (json_typeof(j)) {
    case JSON_OBJECT:
        lmn_cbor_put_map(buffer, json_object_size(j));
        json_object_foreach(j, key, v)
        {
            lmn_cbor_put_text(buffer, key);
            lmn_json_put(buffer, v);
        }
        return;
    case JSON_ARRAY:
        lmn_cbor_put_array(buffer, json_array_size(j));
        json_array_foreach(j, i, v) lmn_json_put(buffer, v);
        return;
    case JSON_STRING:
        lmn_cbor_put_text(buffer, json_string_value(j));
        return;
    case JSON_INTEGER:
        if (json_integer_value(j) >= 0)
            lmn_cbor_put_uint(buffer, (uint64_t)json_integer_value(j));
        else
            lmn_cbor_put_number(buffer, (double)json_integer_value(j));
        return;
    case JSON_REAL:
        lmn_cbor_put_number(buffer, json_real_value(j));
        return;
    case JSON_TRUE:
    case JSON_FALSE:
        lmn_cbor_put_bool(buffer, json_is_true(j));
        return;
    default:
        lmn_cbor_put_null(buffer);
    }
}

void lmn_json_print(json_t *j, bool pretty)
{
    json_dumpf(j, stdout, pretty ? JSON_INDENT(2) : JSON_COMPACT);
    putchar('\n');
    json_decref(j);
}
