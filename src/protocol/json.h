/* CBOR and JSON, by jansson. */
#ifndef LMN_PROTOCOL_JSON_H
#define LMN_PROTOCOL_JSON_H

#include "protocol/cbor.h"

#include <jansson.h>

/* A new reference; NULL if the text in it is not UTF-8. */
json_t *lmn_json_of(const struct lmn_cbor_document *document,
                    const struct lmn_cbor_value *node);
/* The bytes of one CBOR item; NULL if they are none. */
json_t *lmn_json_of_bytes(const void *bytes, size_t len);
/* Appends a JSON value as CBOR. Map keys come in jansson's order of insertion. */
void lmn_json_put(GByteArray *buffer, json_t *j);
/* Prints it and a newline to standard output, and drops the reference. */
void lmn_json_print(json_t *j, bool pretty);

#endif
