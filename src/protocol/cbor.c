/**
 * @file
 * Accessors of a parsed CBOR document, and the size of its items as JSON. They do not
 * modify the document, so that any number of threads may share it.
 */
#include "protocol/cbor.h"

#include <math.h>
#include <string.h>

/** Floats below this bound (less than 2^53) represent every integer exactly, so that a
 * count that was sent as a float is converted without loss. */
static const double MAX_EXACT_INTEGER = 9e15;

const struct lmn_cbor_value *lmn_cbor_get(const struct lmn_cbor_document *document,
                                          const struct lmn_cbor_value *map,
                                          const char *key)
{
    if (!map || map->type != LMN_CBOR_MAP)
        return NULL;
    for (const struct lmn_cbor_value *name = lmn_cbor_first_child(document, map); name;) {
        const struct lmn_cbor_value *value = lmn_cbor_next(document, name);
        if (lmn_cbor_text_equals(name, key))
            return value && value->type != LMN_CBOR_NULL ? value : NULL;
        name = lmn_cbor_next(document, value);
    }
    return NULL;
}

bool lmn_cbor_text_equals(const struct lmn_cbor_value *node, const char *text)
{
    return node && node->type == LMN_CBOR_TEXT && node->len == strlen(text) &&
           !memcmp(node->text, text, node->len);
}

bool lmn_cbor_get_text(const struct lmn_cbor_value *node, char *out, size_t len)
{
    if (!node || node->type != LMN_CBOR_TEXT || node->len >= len ||
        memchr(node->text, 0, node->len))
        return false;
    memcpy(out, node->text, node->len);
    out[node->len] = '\0';
    return true;
}

bool lmn_cbor_get_number(const struct lmn_cbor_value *node, double *out)
{
    if (!node)
        return false;
    if (node->type == LMN_CBOR_FLOAT)
        *out = node->number;
    else if (node->type == LMN_CBOR_UINT)
        *out = (double)node->integer;
    else if (node->type == LMN_CBOR_NEGINT)
        *out = -1.0 - (double)node->integer;
    else
        return false;
    return isfinite(*out);
}

bool lmn_cbor_get_uint(const struct lmn_cbor_value *node, uint64_t *out)
{
    if (!node)
        return false;
    if (node->type == LMN_CBOR_UINT) {
        *out = node->integer;
        return true;
    }
    if (node->type == LMN_CBOR_FLOAT && node->number >= 0 &&
        node->number < MAX_EXACT_INTEGER && node->number == floor(node->number)) {
        *out = (uint64_t)node->number;
        return true;
    }
    return false;
}

bool lmn_cbor_get_bool(const struct lmn_cbor_value *node, bool *out)
{
    if (!node || node->type != LMN_CBOR_BOOL)
        return false;
    *out = node->truth;
    return true;
}

/** @return the size in bytes of a text as a JSON string, including the quotes. */
static size_t json_text_size(const struct lmn_cbor_value *node)
{
    size_t size = 2;

    for (uint32_t i = 0; i < node->len; i++) {
        unsigned char character = (unsigned char)node->text[i];
        if (character == '"' || character == '\\')
            size += 2;
        else if (character < 0x20)
            size += 6; /* \u00XX */
        else
            size += 1;
    }
    return size;
}

/** @return the size in bytes of an array or map as JSON: two brackets, the children, and
 * one separator after each child except the last (in a map a colon after each key and a
 * comma after each value). */
static size_t json_container_size(const struct lmn_cbor_document *document,
                                  const struct lmn_cbor_value *node)
{
    size_t size = 2;

    for (const struct lmn_cbor_value *child = lmn_cbor_first_child(document, node); child;
         child = lmn_cbor_next(document, child))
        size += lmn_cbor_json_size(document, child) + 1;
    return node->len ? size - 1 : size;
}

size_t lmn_cbor_json_size(const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *node)
{
    char digits[64];

    switch (node->type) {
    case LMN_CBOR_NULL:
        return 4; /* null */
    case LMN_CBOR_BOOL:
        return node->truth ? 4 : 5; /* true, false */
    case LMN_CBOR_UINT:
        return (size_t)g_snprintf(digits, sizeof digits, "%" G_GUINT64_FORMAT,
                                  node->integer);
    case LMN_CBOR_NEGINT:
        return 1 + (size_t)g_snprintf(digits, sizeof digits, "%" G_GUINT64_FORMAT,
                                      node->integer + 1);
    case LMN_CBOR_FLOAT:
        /* An integral float is written with ".0" at the end. */
        return strlen(g_ascii_dtostr(digits, sizeof digits, node->number)) +
               (node->number == (double)(int64_t)node->number ? 2 : 0);
    case LMN_CBOR_TEXT:
        return json_text_size(node);
    default:
        return json_container_size(document, node);
    }
}
