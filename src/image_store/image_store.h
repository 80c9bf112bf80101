/* The site's depot: what users upload and workers fetch. Blobs are named by their
 * SHA-256, so that a blob never changes and a repeated upload does nothing; names point
 * at blobs. Everything is on the disk before it is answered.
 *
 *   PUT /blobs/HEX            bytes whose SHA-256 is HEX: 201, 200 known, 400 if it is
 * another GET /blobs/HEX            (?Stat=1: only whether it is there) PUT
 * /names/KIND/NAME      the digest, as text; "job" is written once: 409 if it is another
 *   GET /names/KIND/NAME      the digest
 *   GET /names/KIND           {"Names": [...]}, sorted
 *   PUT /logs/JOB/NAME        output of an attempt, replaced as it grows
 *   GET /logs/JOB/NAME, GET /logs/JOB
 */
#ifndef LMN_IMAGE_STORE_IMAGE_STORE_H
#define LMN_IMAGE_STORE_IMAGE_STORE_H

#include "http/client.h"
#include "http/server.h"

enum { LMN_MAX_BLOB_BYTES = 8 << 20, LMN_DIGEST_SIZE = 65 };

#define LMN_IMAGE_STORE_KIND_JOB "job"
#define LMN_IMAGE_STORE_KIND_IMAGE "image"
/* The image that is nothing at all. */
#define LMN_NO_IMAGE "none"

/* Serves dir at the address; NULL with err. Serves until the process ends. */
struct lmn_http_server *lmn_image_store_start(const char *dir, const char *listen,
                                              char *err, size_t len);

/* --- its client: each returns 0, or -1 with err ("what: why") and, where the other side
 * answered, its status in *status (else 0) --- */
struct lmn_image_store_error {
    int status;
    char what[256];
};
/* The hex SHA-256 of the bytes; digest: LMN_DIGEST_SIZE bytes. */
void lmn_digest(const void *bytes, size_t len, char *digest);
int lmn_image_store_put(struct lmn_http_client *client, const GByteArray *blob,
                        char *digest, struct lmn_image_store_error *e);
/* Checks what it got against the digest. */
int lmn_image_store_get(struct lmn_http_client *client, const char *digest,
                        GByteArray *blob, struct lmn_image_store_error *e);
int lmn_image_store_bind(struct lmn_http_client *client, const char *kind,
                         const char *name, const char *digest,
                         struct lmn_image_store_error *e);
int lmn_image_store_lookup(struct lmn_http_client *client, const char *kind,
                           const char *name, char *digest,
                           struct lmn_image_store_error *e);

#endif
