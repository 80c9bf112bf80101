/**
 * @file
 * Conversion between CBOR messages and jansson's JSON values: for command-line output,
 * logs and status pages. Too slow for code that runs for every request. References follow
 * jansson's rules. No shared state; a value belongs to one thread at a time.
 */
#ifndef LMN_PROTOCOL_JSON_H
#define LMN_PROTOCOL_JSON_H

#include "protocol/cbor.h"

#include <jansson.h>

/** Converts an item with all its children. An integer beyond INT64_MAX becomes a real.
 * @return a new reference; NULL if jansson refuses the item's text. */
json_t *lmn_json_from_cbor(const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *node);

/** Converts a message. @return a new reference; NULL if the bytes are not one valid item.
 */
json_t *lmn_json_from_cbor_bytes(const void *bytes, size_t len);

/** Appends a JSON value as CBOR; the reference stays the caller's. The keys of a map come
 * in the order in which they were added to it. */
void lmn_json_append_cbor(GByteArray *buffer, json_t *value);

/** Prints a value and a newline to standard output, and drops the caller's reference.
 * @param pretty indents the output; otherwise it takes one line. */
void lmn_json_print(json_t *value, bool pretty);

#endif
