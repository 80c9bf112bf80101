/**
 * @file
 * CBOR (RFC 8949): a bounded parser that turns one message into a flat document,
 * accessors for that document, and functions that append encoded items to a byte array.
 *
 * The parser uses libcbor's streaming decoder and accepts only what the protocol needs:
 * null, booleans, integers, floats, UTF-8 text, and arrays and maps of a stated length
 * whose keys are text. Byte strings, tags, `undefined` and items of indefinite length are
 * refused. It never allocates more than a fixed multiple of the message's length, so that
 * a forged length or deep nesting can't exhaust memory or stack.
 *
 * Ownership: a document owns its nodes; the text of a node points into the parsed
 * message, which must therefore outlive the document. Nothing here is locked: several
 * threads may read a document, but a byte array belongs to one thread at a time.
 *
 * Not here: conversion from and to JSON values (protocol/json.h) and the names of fields
 * (protocol/wire.h).
 */
#ifndef LMN_PROTOCOL_CBOR_H
#define LMN_PROTOCOL_CBOR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The kind of one item. */
enum lmn_cbor_type {
    LMN_CBOR_NULL,
    LMN_CBOR_BOOL,
    LMN_CBOR_UINT,
    LMN_CBOR_NEGINT,
    LMN_CBOR_FLOAT,
    LMN_CBOR_TEXT,
    LMN_CBOR_ARRAY,
    LMN_CBOR_MAP
};

/** One item of a document. Items refer to each other by index, since the array of nodes
 * moves while it grows. */
struct lmn_cbor_value {
    uint8_t type;   /**< an enum lmn_cbor_type in one byte, to keep nodes small */
    bool truth;     /**< of LMN_CBOR_BOOL */
    uint32_t next;  /**< index of the next sibling, 0 if there is none */
    uint32_t child; /**< index of the first child, 0 if there is none; the children of a
                       map are key, value, key, value, ... */
    uint32_t len;   /**< of text: bytes; of an array or map: number of children */
    union {
        uint64_t integer; /**< of LMN_CBOR_UINT: the value; of LMN_CBOR_NEGINT: n, where
                               the value is -1 - n */
        double number;    /**< of LMN_CBOR_FLOAT */
        const char *text; /**< of LMN_CBOR_TEXT: `len` bytes of the message, without a
                               closing zero byte */
    };
};

/** Maximum nesting of arrays and maps; a message with deeper nesting is refused. */
enum { LMN_CBOR_MAX_DEPTH = 16 };

/** A parsed message. Filled by lmn_cbor_parse(), released by lmn_cbor_free(). */
struct lmn_cbor_document {
    struct lmn_cbor_value *nodes; /**< [0] is unused, [1] is the root; owned */
    uint32_t count;               /**< nodes in use, the unused one included */
    uint32_t capacity;            /**< nodes allocated */
};

/**
 * Parses a message.
 * @param bytes must outlive the document, whose text points into it.
 * @return 0 if the bytes are exactly one well-formed item of the supported kinds; -1
 *         otherwise, and then there is nothing to free.
 */
int lmn_cbor_parse(struct lmn_cbor_document *document, const void *bytes, size_t len);

/** Frees the nodes, but neither the document structure nor the message. */
void lmn_cbor_free(struct lmn_cbor_document *document);

/** @return the outermost item; NULL if the document was freed. */
static inline const struct lmn_cbor_value *
lmn_cbor_root(const struct lmn_cbor_document *document)
{
    return document->count > 1 ? &document->nodes[1] : NULL;
}

/** @return the first child of an array or map; NULL if it has none or `parent` is NULL.
 */
static inline const struct lmn_cbor_value *
lmn_cbor_first_child(const struct lmn_cbor_document *document,
                     const struct lmn_cbor_value *parent)
{
    return parent && parent->child ? &document->nodes[parent->child] : NULL;
}

/** @return the next sibling; NULL after the last or if `node` is NULL. */
static inline const struct lmn_cbor_value *
lmn_cbor_next(const struct lmn_cbor_document *document, const struct lmn_cbor_value *node)
{
    return node && node->next ? &document->nodes[node->next] : NULL;
}

/**
 * Looks a key up in a map.
 * @param map may be NULL or no map; the result is then NULL.
 * @return the value; NULL if it is absent or null, since null and an absent key mean the
 *         same in the protocol.
 */
const struct lmn_cbor_value *lmn_cbor_get(const struct lmn_cbor_document *document,
                                          const struct lmn_cbor_value *map,
                                          const char *key);

/** Whether the node is text that equals `text`; false for NULL. */
bool lmn_cbor_text_equals(const struct lmn_cbor_value *node, const char *text);

/**
 * Copies text with a closing zero byte.
 * @return false, with `out` untouched, if the node is NULL, is no text, contains a zero
 *         byte or does not fit into `len` bytes.
 */
bool lmn_cbor_get_text(const struct lmn_cbor_value *node, char *out, size_t len);

/** Reads an integer or float. @return false if the node is no number, NULL, or not
 * finite; `out` is then not to be used. */
bool lmn_cbor_get_number(const struct lmn_cbor_value *node, double *out);

/** Reads a whole number that is not negative, also one that was sent as a float. @return
 * false, with `out` untouched, if the node is anything else. */
bool lmn_cbor_get_uint(const struct lmn_cbor_value *node, uint64_t *out);

/** Reads a boolean. @return false, with `out` untouched, if the node is anything else. */
bool lmn_cbor_get_bool(const struct lmn_cbor_value *node, bool *out);

/** Opens a map: the caller appends `pairs` keys, each followed by its value. */
void lmn_cbor_put_map(GByteArray *buffer, size_t pairs);

/** Opens an array: the caller appends `items` items. */
void lmn_cbor_put_array(GByteArray *buffer, size_t items);

/** Appends text. @param text valid UTF-8 with a closing zero byte, which isn't sent. */
void lmn_cbor_put_text(GByteArray *buffer, const char *text);

/** Appends a whole number in its shortest form. */
void lmn_cbor_put_uint(GByteArray *buffer, uint64_t number);

/** Appends a number as a float of 64 bits. */
void lmn_cbor_put_number(GByteArray *buffer, double number);

/** Appends a boolean. */
void lmn_cbor_put_bool(GByteArray *buffer, bool truth);

/** Appends null. */
void lmn_cbor_put_null(GByteArray *buffer);

/** Appends a node of a document with all its children. Integers and lengths come out in
 * their shortest form and floats in 64 bits, however they were received. */
void lmn_cbor_put_value(GByteArray *buffer, const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *node);

/** @return the size in bytes of a node as compact JSON. The limits on sizes apply to this
 * form. */
size_t lmn_cbor_json_size(const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *node);

#endif
