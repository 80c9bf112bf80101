#include "image_store/image_store.h"

#include <stdio.h>
#include <string.h>

static const double PATIENCE_S = 30;

void lmn_digest(const void *bytes, size_t len, char *digest)
{
    char *hex = g_compute_checksum_for_data(G_CHECKSUM_SHA256, bytes, len);
    g_strlcpy(digest, hex, LMN_DIGEST_SIZE);
    g_free(hex);
}

static int failed(struct lmn_image_store_error *e, int status, const char *what)
{
    e->status = MAX(status, 0);
    if (status == LMN_HTTP_NOT_SENT)
        g_snprintf(e->what, sizeof e->what, "%s: the depot can't be reached", what);
    else if (status < 0)
        g_snprintf(e->what, sizeof e->what, "%s: the depot did not answer", what);
    else
        g_snprintf(e->what, sizeof e->what, "%s: the depot answered %d", what, status);
    return -1;
}

int lmn_image_store_put(struct lmn_http_client *client, const GByteArray *blob,
                        char *digest, struct lmn_image_store_error *e)
{
    GByteArray *out = g_byte_array_new();
    char path[128], stat[160];

    lmn_digest(blob->data, blob->len, digest);
    g_snprintf(path, sizeof path, "/blobs/%s", digest);
    g_snprintf(stat, sizeof stat, "%s?Stat=1", path);
    int status = lmn_http_client_call(client, "GET", stat, NULL, PATIENCE_S, out);
    if (status == 404)
        status = lmn_http_client_call(client, "PUT", path, blob, PATIENCE_S, out);
    g_byte_array_unref(out);
    return status == 200 || status == 201 ? 0 : failed(e, status, path);
}

int lmn_image_store_get(struct lmn_http_client *client, const char *digest,
                        GByteArray *blob, struct lmn_image_store_error *e)
{
    char path[128], is[LMN_DIGEST_SIZE];

    g_snprintf(path, sizeof path, "/blobs/%s", digest);
    int status = lmn_http_client_call(client, "GET", path, NULL, PATIENCE_S, blob);
    if (status != 200)
        return failed(e, status, path);
    lmn_digest(blob->data, blob->len, is);
    if (!strcmp(is, digest))
        return 0;
    e->status = 0;
    g_snprintf(e->what, sizeof e->what, "%s: the bytes have another digest", path);
    return -1;
}

int lmn_image_store_bind(struct lmn_http_client *client, const char *kind,
                         const char *name, const char *digest,
                         struct lmn_image_store_error *e)
{
    GByteArray *in = g_byte_array_new(), *out = g_byte_array_new();
    char path[256];

    g_snprintf(path, sizeof path, "/names/%s/%s", kind, name);
    g_byte_array_append(in, (const guint8 *)digest, (guint)strlen(digest));
    int status = lmn_http_client_call(client, "PUT", path, in, PATIENCE_S, out);
    g_byte_array_unref(in);
    g_byte_array_unref(out);
    return status == 200 || status == 201 ? 0 : failed(e, status, path);
}

int lmn_image_store_lookup(struct lmn_http_client *client, const char *kind,
                           const char *name, char *digest,
                           struct lmn_image_store_error *e)
{
    GByteArray *out = g_byte_array_new();
    char path[256];

    g_snprintf(path, sizeof path, "/names/%s/%s", kind, name);
    int status = lmn_http_client_call(client, "GET", path, NULL, PATIENCE_S, out);
    bool ok = status == 200 && out->len == LMN_DIGEST_SIZE - 1;
    if (ok) {
        memcpy(digest, out->data, LMN_DIGEST_SIZE - 1);
        digest[LMN_DIGEST_SIZE - 1] = '\0';
    }
    g_byte_array_unref(out);
    return ok ? 0 : failed(e, status, path);
}
