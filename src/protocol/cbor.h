/* CBOR: a flat, bounded reading of one message, and an appending writer.
 *
 * The reader runs over libcbor's streaming decoder and never allocates more than a fixed
 * multiple of the message: a hostile length or depth costs nothing. Text points into the
 * message, which must outlive the document. */
#ifndef LMN_PROTOCOL_CBOR_H
#define LMN_PROTOCOL_CBOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

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

struct lmn_cbor_value {
    uint8_t type;
    bool truth;
    uint32_t next;  /* index of the next sibling, 0 if none */
    uint32_t child; /* index of the first child, 0 if none; a map's children alternate */
    uint32_t len;   /* bytes of text, or number of children */
    union {
        uint64_t u;
        double f;
        const char *s;
    };
};

enum { LMN_CBOR_MAX_DEPTH = 16 };

struct lmn_cbor_document {
    struct lmn_cbor_value *nodes; /* [0] unused, [1] the root */
    uint32_t n, cap;
};

/* 0 if the bytes are exactly one well-formed item of the kinds that the protocol uses. */
int lmn_cbor_parse(struct lmn_cbor_document *document, const void *bytes, size_t len);
void lmn_cbor_free(struct lmn_cbor_document *document);

const struct lmn_cbor_value *lmn_cbor_root(const struct lmn_cbor_document *document);
const struct lmn_cbor_value *
lmn_cbor_first_child(const struct lmn_cbor_document *document,
                     const struct lmn_cbor_value *parent);
const struct lmn_cbor_value *lmn_cbor_next(const struct lmn_cbor_document *document,
                                           const struct lmn_cbor_value *node);
/* The value of a map's key; NULL if absent or null, since the two mean the same. */
const struct lmn_cbor_value *lmn_cbor_get(const struct lmn_cbor_document *document,
                                          const struct lmn_cbor_value *map,
                                          const char *key);
bool lmn_cbor_text_equals(const struct lmn_cbor_value *node, const char *text);
bool lmn_cbor_get_text(const struct lmn_cbor_value *node, char *out, size_t len);
bool lmn_cbor_get_number(const struct lmn_cbor_value *node, double *out);
bool lmn_cbor_get_uint(const struct lmn_cbor_value *node, uint64_t *out);
bool lmn_cbor_get_bool(const struct lmn_cbor_value *node, bool *out);

void lmn_cbor_put_map(GByteArray *buffer, size_t pairs);
void lmn_cbor_put_array(GByteArray *buffer, size_t items);
void lmn_cbor_put_text(GByteArray *buffer, const char *s);
void lmn_cbor_put_uint(GByteArray *buffer, uint64_t v);
void lmn_cbor_put_number(GByteArray *buffer, double v);
void lmn_cbor_put_bool(GByteArray *buffer, bool v);
void lmn_cbor_put_null(GByteArray *buffer);
/* Copies a node as it was read. */
void lmn_cbor_put_value(GByteArray *buffer, const struct lmn_cbor_document *document,
                        const struct lmn_cbor_value *node);

/* Bytes that a node takes when written as compact JSON: the form in which limits are
 * counted. */
size_t lmn_cbor_json_size(const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *node);

#endif
