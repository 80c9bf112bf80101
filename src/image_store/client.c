/**
 * @file
 * The client of the image store: blobs and names. It has no state of its own; the owner
 * of the HTTP client serializes the calls.
 */
#include "image_store/image_store.h"

#include <stdio.h>
#include <string.h>

static const double CALL_TIMEOUT_S = 30;

enum {
    STATUS_OK = 200,
    STATUS_CREATED = 201,
    STATUS_NOT_FOUND = 404,
    BLOB_PATH_SIZE = 128,
    STAT_PATH_SIZE = 160,
    NAME_PATH_SIZE = 256,
};

void lmn_digest(const void *bytes, size_t len, char *digest)
{
    g_autofree char *hex = g_compute_checksum_for_data(G_CHECKSUM_SHA256, bytes, len);

    g_strlcpy(digest, hex, LMN_DIGEST_SIZE);
}

/** Fills in the error for an unexpected status, or for a call without a response.
 * @param what the path of the request
 * @return -1 */
static int fail_with_status(struct lmn_image_store_error *error, int status,
                            const char *what)
{
    error->status = MAX(status, 0);
    if (status == LMN_HTTP_NOT_SENT)
        g_snprintf(error->what, sizeof error->what,
                   "%s: can't connect to the image store", what);
    else if (status < 0)
        g_snprintf(error->what, sizeof error->what,
                   "%s: no answer from the image store (time limit %g s)", what,
                   CALL_TIMEOUT_S);
    else
        g_snprintf(error->what, sizeof error->what,
                   "%s: the image store answered with HTTP status %d", what, status);
    return -1;
}

static bool is_stored(int status)
{
    return status == STATUS_OK || status == STATUS_CREATED;
}

int lmn_image_store_put(struct lmn_http_client *client, const GByteArray *blob,
                        char *digest, struct lmn_image_store_error *error)
{
    g_autoptr(GByteArray) response = g_byte_array_new();
    char path[BLOB_PATH_SIZE], stat_path[STAT_PATH_SIZE];

    lmn_digest(blob->data, blob->len, digest);
    g_snprintf(path, sizeof path, "/blobs/%s", digest);
    g_snprintf(stat_path, sizeof stat_path, "%s?Stat=1", path);
    int status =
        lmn_http_client_call(client, "GET", stat_path, NULL, CALL_TIMEOUT_S, response);
    if (status == STATUS_NOT_FOUND)
        status =
            lmn_http_client_call(client, "PUT", path, blob, CALL_TIMEOUT_S, response);
    return is_stored(status) ? 0 : fail_with_status(error, status, path);
}

int lmn_image_store_get(struct lmn_http_client *client, const char *digest,
                        GByteArray *blob, struct lmn_image_store_error *error)
{
    char path[BLOB_PATH_SIZE], actual_digest[LMN_DIGEST_SIZE];

    g_snprintf(path, sizeof path, "/blobs/%s", digest);
    int status = lmn_http_client_call(client, "GET", path, NULL, CALL_TIMEOUT_S, blob);
    if (status != STATUS_OK)
        return fail_with_status(error, status, path);
    lmn_digest(blob->data, blob->len, actual_digest);
    if (!strcmp(actual_digest, digest))
        return 0;
    error->status = 0;
    g_snprintf(error->what, sizeof error->what,
               "%s: the %u bytes received have the digest %s", path, blob->len,
               actual_digest);
    return -1;
}

int lmn_image_store_bind(struct lmn_http_client *client, const char *kind,
                         const char *name, const char *digest,
                         struct lmn_image_store_error *error)
{
    g_autoptr(GByteArray) request = g_byte_array_new();
    g_autoptr(GByteArray) response = g_byte_array_new();
    char path[NAME_PATH_SIZE];

    g_snprintf(path, sizeof path, "/names/%s/%s", kind, name);
    g_byte_array_append(request, (const guint8 *)digest, (guint)strlen(digest));
    int status =
        lmn_http_client_call(client, "PUT", path, request, CALL_TIMEOUT_S, response);
    return is_stored(status) ? 0 : fail_with_status(error, status, path);
}

int lmn_image_store_lookup(struct lmn_http_client *client, const char *kind,
                           const char *name, char *digest,
                           struct lmn_image_store_error *error)
{
    g_autoptr(GByteArray) response = g_byte_array_new();
    char path[NAME_PATH_SIZE];

    g_snprintf(path, sizeof path, "/names/%s/%s", kind, name);
    int status =
        lmn_http_client_call(client, "GET", path, NULL, CALL_TIMEOUT_S, response);
    if (status != STATUS_OK || response->len != LMN_DIGEST_SIZE - 1)
        return fail_with_status(error, status, path);
    memcpy(digest, response->data, LMN_DIGEST_SIZE - 1);
    digest[LMN_DIGEST_SIZE - 1] = '\0';
    return 0;
}
