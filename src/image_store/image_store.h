/**
 * @file
 * The image store of a site: what users upload and workers fetch (jobs' descriptions,
 * images, the output of attempts). The server is in server.c, the client in client.c;
 * how an image is made up of blobs is in image.h.
 *
 * A blob is named by its SHA-256, so its content never changes and a repeated upload has
 * no effect. A name refers to a blob. The server responds to a write only after the data
 * is on disk. All state is in the server's directory; nothing is kept in memory.
 *
 *     PUT /blobs/HEX         stores the bytes whose SHA-256 is HEX: 201, or 200 if they
 *                            are stored already; 400 if their SHA-256 is not HEX
 *     GET /blobs/HEX         the bytes; with ?Stat=1 only the status: 200 if they are
 *                            stored, else 404
 *     PUT /names/KIND/NAME   binds the name to the digest in the body (text); a name of
 *                            kind "job" can't be bound to another digest: 409
 *     GET /names/KIND/NAME   the digest
 *     GET /names/KIND        {"Names": [...]}, sorted
 *     PUT /logs/JOB/NAME     the output of an attempt, replaced as it grows
 *     GET /logs/JOB/NAME     the output
 *     GET /logs/JOB          {"Names": [...]}, sorted
 *     GET /ready             200
 */
#ifndef LMN_IMAGE_STORE_IMAGE_STORE_H
#define LMN_IMAGE_STORE_IMAGE_STORE_H

#include "http/client.h"
#include "http/server.h"

enum {
    LMN_MAX_BLOB_BYTES = 8 << 20,
    LMN_DIGEST_SIZE = 65, /**< 64 hexadecimal digits and the terminating zero */
};

/** The kind of the names of jobs' descriptions; such a name can't be bound to another
 * digest. */
#define LMN_IMAGE_STORE_KIND_JOB "job"
/** The kind of the names of images; such a name may be bound to another digest. */
#define LMN_IMAGE_STORE_KIND_IMAGE "image"
/** The name of the empty image, which is never fetched. */
#define LMN_EMPTY_IMAGE_NAME "none"

/**
 * Serves a directory, which is created if needed, until the process ends.
 * @return the server, or NULL with the reason in `err`.
 */
struct lmn_http_server *lmn_image_store_start(const char *dir, const char *listen,
                                              char *err, size_t len);

/** Why a call of the client failed. */
struct lmn_image_store_error {
    int status; /**< the server's HTTP status; 0 if the call failed for another reason */
    char what[256]; /**< the message: "path or name: reason" */
};

/** Computes the SHA-256 in hexadecimal. @param digest receives LMN_DIGEST_SIZE bytes. */
void lmn_digest(const void *bytes, size_t len, char *digest);

/**
 * Stores a blob, unless the server has it already.
 * @param digest  receives the blob's digest, LMN_DIGEST_SIZE bytes, also on failure.
 * @return 0, or -1 with `error` filled in.
 */
int lmn_image_store_put(struct lmn_http_client *client, const GByteArray *blob,
                        char *digest, struct lmn_image_store_error *error);

/**
 * Fetches a blob and checks it against its digest.
 * @param blob  its content is replaced.
 * @return 0, or -1 with `error` filled in.
 */
int lmn_image_store_get(struct lmn_http_client *client, const char *digest,
                        GByteArray *blob, struct lmn_image_store_error *error);

/**
 * Binds a name to a blob that is stored already.
 * @return 0, or -1 with `error` filled in.
 */
int lmn_image_store_bind(struct lmn_http_client *client, const char *kind,
                         const char *name, const char *digest,
                         struct lmn_image_store_error *error);

/**
 * Reads the digest that a name is bound to.
 * @param digest  receives LMN_DIGEST_SIZE bytes, on success only.
 * @return 0, or -1 with `error` filled in.
 */
int lmn_image_store_lookup(struct lmn_http_client *client, const char *kind,
                           const char *name, char *digest,
                           struct lmn_image_store_error *error);

#endif
