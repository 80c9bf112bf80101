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

enum lmn_node_type {
    LMN_NULL,
    LMN_BOOL,
    LMN_UINT,
    LMN_NEGINT,
    LMN_FLOAT,
    LMN_TEXT,
    LMN_LIST,
    LMN_MAP
};

struct lmn_node {
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

enum { LMN_DEPTH = 16 };

struct lmn_doc {
    struct lmn_node *nodes; /* [0] unused, [1] the root */
    uint32_t n, cap;
};

/* 0 if the bytes are exactly one well-formed item of the kinds that the protocol uses. */
int lmn_doc_parse(struct lmn_doc *doc, const void *bytes, size_t len);
void lmn_doc_free(struct lmn_doc *doc);

const struct lmn_node *lmn_root(const struct lmn_doc *doc);
const struct lmn_node *lmn_child(const struct lmn_doc *doc, const struct lmn_node *of);
const struct lmn_node *lmn_next(const struct lmn_doc *doc, const struct lmn_node *n);
/* The value of a map's key; NULL if absent or null, since the two mean the same. */
const struct lmn_node *lmn_get(const struct lmn_doc *doc, const struct lmn_node *map,
                               const char *key);
bool lmn_is(const struct lmn_node *n, const char *text);
bool lmn_text(const struct lmn_node *n, char *out, size_t len);
bool lmn_number(const struct lmn_node *n, double *out);
bool lmn_count(const struct lmn_node *n, uint64_t *out);
bool lmn_truth(const struct lmn_node *n, bool *out);

void lmn_put_map(GByteArray *b, size_t pairs);
void lmn_put_list(GByteArray *b, size_t items);
void lmn_put_text(GByteArray *b, const char *s);
void lmn_put_count(GByteArray *b, uint64_t v);
void lmn_put_number(GByteArray *b, double v);
void lmn_put_truth(GByteArray *b, bool v);
void lmn_put_null(GByteArray *b);
/* Copies a node as it was read. */
void lmn_put_node(GByteArray *b, const struct lmn_doc *doc, const struct lmn_node *n);

/* Bytes that a node takes when written as compact JSON: the form in which limits are
 * counted. */
size_t lmn_json_size(const struct lmn_doc *doc, const struct lmn_node *n);

#endif
