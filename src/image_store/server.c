#include "util/log.h"
#include "util/process.h"
#include "image_store/image_store.h"
#include "image_store/image.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

struct depot {
    char *dir;
    uint64_t puts, gets, missing;
};

static bool digest_ok(const char *s)
{
    return strlen(s) == LMN_DIGEST_SIZE - 1 &&
           strspn(s, "0123456789abcdef") == LMN_DIGEST_SIZE - 1;
}

static char *blob_path(const struct depot *depot, const char *digest)
{
    return g_strdup_printf("%s/blobs/%.2s/%s", depot->dir, digest, digest);
}

static int store(const char *path, const void *bytes, size_t len)
{
    char *dir = g_path_get_dirname(path);
    int rc = g_mkdir_with_parents(dir, 0755);

    g_free(dir);
    return rc == 0 ? lmn_file_put(path, bytes, len) : -1;
}

static void answer_stored(struct lmn_http_request *request, int rc, int status)
{
    if (rc == 0) {
        lmn_http_request_respond(request, status, NULL, 0);
        return;
    }
    lmn_error("image_store_write_failed error=\"%s\"", strerror(errno));
    lmn_http_request_respond(request, 503, NULL, 2);
}

static void answer_file(struct depot *depot, struct lmn_http_request *request,
                        const char *path)
{
    char *bytes = NULL;
    gsize n = 0;

    depot->gets++;
    if (!g_file_get_contents(path, &bytes, &n, NULL)) {
        depot->missing++;
        lmn_http_request_respond(request, 404, NULL, 0);
        return;
    }
    lmn_http_request_respond_as(request, 200, "application/octet-stream",
                                g_byte_array_new_take((guint8 *)bytes, n));
}

static void blob(struct depot *depot, struct lmn_http_request *request,
                 const char *digest)
{
    const GByteArray *body = lmn_http_request_body(request);
    char is[LMN_DIGEST_SIZE];

    if (!digest_ok(digest)) {
        lmn_http_request_fail(request, 400, "a digest is 64 digits of hexadecimal");
        return;
    }
    char *path = blob_path(depot, digest);
    bool there = g_file_test(path, G_FILE_TEST_IS_REGULAR);
    if (lmn_http_request_method(request) == LMN_HTTP_GET &&
        lmn_http_request_query(request, "Stat")) {
        lmn_http_request_respond(request, there ? 200 : 404, NULL, 0);
    } else if (lmn_http_request_method(request) == LMN_HTTP_GET) {
        answer_file(depot, request, path);
    } else if (lmn_http_request_method(request) == LMN_HTTP_PUT) {
        lmn_digest(body->data, body->len, is);
        depot->puts++;
        if (strcmp(is, digest))
            lmn_http_request_fail(request, 400, "the bytes have another digest");
        else if (there)
            lmn_http_request_respond(request, 200, NULL, 0);
        else
            answer_stored(request, store(path, body->data, body->len), 201);
    } else {
        lmn_http_request_respond(request, 405, NULL, 0);
    }
    g_free(path);
}

static gint by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static void listing(struct lmn_http_request *request, const char *path)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GDir *dir = g_dir_open(path, 0, NULL);
    GByteArray *buffer = g_byte_array_new();
    const char *name;

    while (dir && (name = g_dir_read_name(dir)))
        if (!strstr(name, ".tmp-"))
            g_ptr_array_add(names, g_strdup(name));
    if (dir)
        g_dir_close(dir);
    g_ptr_array_sort(names, by_name);
    lmn_cbor_put_map(buffer, 1);
    lmn_cbor_put_text(buffer, "Names"), lmn_cbor_put_array(buffer, names->len);
    for (guint i = 0; i < names->len; i++)
        lmn_cbor_put_text(buffer, names->pdata[i]);
    g_ptr_array_free(names, TRUE);
    lmn_http_request_respond(request, 200, buffer, 0);
}

/* A file's whole text is the bytes. */
static bool holds(const char *path, const GByteArray *bytes)
{
    char *text = NULL;
    gsize n = 0;
    bool same = g_file_get_contents(path, &text, &n, NULL) && n == bytes->len &&
                !memcmp(text, bytes->data, n);
    g_free(text);
    return same;
}

static void put_name(struct depot *depot, struct lmn_http_request *request,
                     const char *kind, const char *path)
{
    const GByteArray *body = lmn_http_request_body(request);
    char digest[LMN_DIGEST_SIZE] = "";
    bool there = g_file_test(path, G_FILE_TEST_IS_REGULAR);

    if (body->len == LMN_DIGEST_SIZE - 1)
        memcpy(digest, body->data, LMN_DIGEST_SIZE - 1);
    if (!digest_ok(digest)) {
        lmn_http_request_fail(request, 400, "a name points at a digest");
        return;
    }
    char *to = blob_path(depot, digest);
    bool known = g_file_test(to, G_FILE_TEST_IS_REGULAR);
    g_free(to);
    if (!known)
        lmn_http_request_fail(request, 400, "there is no such blob yet");
    else if (there && holds(path, body))
        lmn_http_request_respond(request, 200, NULL, 0);
    else if (there && !strcmp(kind, LMN_IMAGE_STORE_KIND_JOB))
        lmn_http_request_fail(request, 409, "the job has another description");
    else
        answer_stored(request, store(path, body->data, body->len), 201);
}

static void route(void *arg, struct lmn_http_request *request)
{
    struct depot *depot = arg;
    char **p = g_strsplit(lmn_http_request_path(request) + 1, "/", 4);
    guint n = g_strv_length(p);
    bool names = n >= 2 && !strcmp(p[0], "names"), logs = n >= 2 && !strcmp(p[0], "logs");
    bool get = lmn_http_request_method(request) == LMN_HTTP_GET,
         put = lmn_http_request_method(request) == LMN_HTTP_PUT;

    if (n == 2 && !strcmp(p[0], "blobs")) {
        blob(depot, request, p[1]);
    } else if (n == 1 && !strcmp(p[0], "ready")) {
        lmn_http_request_respond(request, 200, NULL, 0);
    } else if ((names || logs) && lmn_image_name_is_valid(p[1]) &&
               (n == 2 || (n == 3 && lmn_image_name_is_valid(p[2])))) {
        char *path = g_strjoin("/", depot->dir, p[0], p[1], p[2], NULL);
        if (n == 2 && get)
            listing(request, path);
        else if (n == 3 && get)
            answer_file(depot, request, path);
        else if (n == 3 && put && names)
            put_name(depot, request, p[1], path);
        else if (n == 3 && put)
            answer_stored(request,
                          store(path, lmn_http_request_body(request)->data,
                                lmn_http_request_body(request)->len),
                          200);
        else
            lmn_http_request_respond(request, 405, NULL, 0);
        g_free(path);
    } else {
        lmn_http_request_fail(request, names || logs ? 400 : 404,
                              "no such path, or a name that can't be one");
    }
    g_strfreev(p);
}

struct lmn_http_server *lmn_image_store_start(const char *dir, const char *listen,
                                              char *err, size_t len)
{
    struct depot *depot = g_new0(struct depot, 1);
    const struct lmn_http_server_options o = {.listen = listen,
                                              .connections = 4096,
                                              .max_body = LMN_MAX_BLOB_BYTES,
                                              .route = route,
                                              .arg = depot};

    depot->dir = g_strdup(dir);
    if (g_mkdir_with_parents(dir, 0755) != 0) {
        g_snprintf(err, len, "%s: %s", dir, strerror(errno));
        return NULL;
    }
    struct lmn_http_server *server = lmn_http_server_start(&o);
    if (!server)
        g_snprintf(err, len, "%s: can't listen: %s", listen, strerror(errno));
    return server;
}
