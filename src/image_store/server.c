/**
 * @file
 * The server of the image store: its HTTP routes over a directory. Blobs are the files
 * blobs/XX/HEX (XX: the first two digits of HEX), names are names/KIND/NAME, output is
 * logs/JOB/NAME.
 *
 * The HTTP server calls route() from its only thread, which owns the state; there is no
 * lock.
 */
#include "util/log.h"
#include "util/process.h"
#include "image_store/image_store.h"
#include "image_store/image.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

enum {
    MAX_CONNECTIONS = 4096,
    RETRY_AFTER_S = 2,
    DIRECTORY_MODE = 0755,
    MAX_PATH_COMPONENTS = 4,
};

enum {
    STATUS_OK = 200,
    STATUS_CREATED = 201,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_METHOD_NOT_ALLOWED = 405,
    STATUS_CONFLICT = 409,
    STATUS_UNAVAILABLE = 503,
};

struct image_store {
    char *dir;
};

static bool digest_is_valid(const char *text)
{
    return strlen(text) == LMN_DIGEST_SIZE - 1 &&
           strspn(text, "0123456789abcdef") == LMN_DIGEST_SIZE - 1;
}

static char *blob_path(const struct image_store *store, const char *digest)
{
    return g_strdup_printf("%s/blobs/%.2s/%s", store->dir, digest, digest);
}

static bool file_exists(const char *path)
{
    return g_file_test(path, G_FILE_TEST_IS_REGULAR);
}

/** Writes a file durably, with the directories above it. @return 0, or -1 with errno */
static int write_file(const char *path, const GByteArray *content)
{
    g_autofree char *directory = g_path_get_dirname(path);

    if (g_mkdir_with_parents(directory, DIRECTORY_MODE) != 0)
        return -1;
    return lmn_file_replace_durably(path, content->data, content->len);
}

/** Writes the request's body to a file and responds only once it is on the disk. */
static void store_body(struct lmn_http_request *request, const char *path, int status)
{
    if (write_file(path, lmn_http_request_body(request)) == 0) {
        lmn_http_request_respond(request, status, NULL, 0);
        return;
    }
    lmn_error("image_store_write_failed error=\"%s\"", strerror(errno));
    lmn_http_request_respond(request, STATUS_UNAVAILABLE, NULL, RETRY_AFTER_S);
}

static void respond_with_file(struct lmn_http_request *request, const char *path)
{
    char *content = NULL;
    gsize length = 0;

    if (!g_file_get_contents(path, &content, &length, NULL)) {
        lmn_http_request_respond(request, STATUS_NOT_FOUND, NULL, 0);
        return;
    }
    lmn_http_request_respond_as(request, STATUS_OK, "application/octet-stream",
                                g_byte_array_new_take((guint8 *)content, length));
}

static void put_blob(struct lmn_http_request *request, const char *digest,
                     const char *path)
{
    const GByteArray *body = lmn_http_request_body(request);
    char actual_digest[LMN_DIGEST_SIZE];

    lmn_digest(body->data, body->len, actual_digest);
    if (strcmp(actual_digest, digest))
        lmn_http_request_fail(
            request, STATUS_BAD_REQUEST,
            "the SHA-256 of the body differs from the digest in the path");
    else if (file_exists(path))
        lmn_http_request_respond(request, STATUS_OK, NULL, 0);
    else
        store_body(request, path, STATUS_CREATED);
}

static void get_blob(struct lmn_http_request *request, const char *path)
{
    if (lmn_http_request_query(request, "Stat"))
        lmn_http_request_respond(
            request, file_exists(path) ? STATUS_OK : STATUS_NOT_FOUND, NULL, 0);
    else
        respond_with_file(request, path);
}

static void route_blob(const struct image_store *store, struct lmn_http_request *request,
                       const char *digest)
{
    if (!digest_is_valid(digest)) {
        lmn_http_request_fail(
            request, STATUS_BAD_REQUEST,
            "the path must end in a digest: 64 lowercase hexadecimal digits");
        return;
    }
    g_autofree char *path = blob_path(store, digest);
    if (lmn_http_request_method(request) == LMN_HTTP_GET)
        get_blob(request, path);
    else if (lmn_http_request_method(request) == LMN_HTTP_PUT)
        put_blob(request, digest, path);
    else
        lmn_http_request_respond(request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
}

static gint compare_names(gconstpointer left, gconstpointer right)
{
    return strcmp(*(char *const *)left, *(char *const *)right);
}

/** The names in a directory, sorted; empty if there is no such directory. */
static GPtrArray *list_names(const char *path)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GDir) directory = g_dir_open(path, 0, NULL);
    const char *name;

    while (directory && (name = g_dir_read_name(directory)))
        /* Skips temporary files, which lmn_file_replace_durably() has not renamed yet. */
        if (!strstr(name, ".tmp-"))
            g_ptr_array_add(names, g_strdup(name));
    g_ptr_array_sort(names, compare_names);
    return names;
}

static void respond_with_names(struct lmn_http_request *request, const char *path)
{
    g_autoptr(GPtrArray) names = list_names(path);
    GByteArray *body = g_byte_array_new();

    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, "Names");
    lmn_cbor_put_array(body, names->len);
    for (guint i = 0; i < names->len; i++)
        lmn_cbor_put_text(body, names->pdata[i]);
    lmn_http_request_respond(request, STATUS_OK, body, 0);
}

/** Whether a file consists of exactly these bytes. */
static bool file_equals(const char *path, const GByteArray *content)
{
    g_autofree char *actual = NULL;
    gsize length = 0;

    return g_file_get_contents(path, &actual, &length, NULL) && length == content->len &&
           !memcmp(actual, content->data, length);
}

static bool blob_exists(const struct image_store *store, const char *digest)
{
    g_autofree char *path = blob_path(store, digest);

    return file_exists(path);
}

static void put_name(const struct image_store *store, struct lmn_http_request *request,
                     const char *kind, const char *path)
{
    const GByteArray *body = lmn_http_request_body(request);
    char digest[LMN_DIGEST_SIZE] = "";
    bool is_bound = file_exists(path);

    if (body->len == LMN_DIGEST_SIZE - 1)
        memcpy(digest, body->data, LMN_DIGEST_SIZE - 1);
    if (!digest_is_valid(digest))
        lmn_http_request_fail(
            request, STATUS_BAD_REQUEST,
            "the body must be a digest: 64 lowercase hexadecimal digits");
    else if (!blob_exists(store, digest))
        /* A reader that looks up a name must find its blob. */
        lmn_http_request_fail(
            request, STATUS_BAD_REQUEST,
            "no blob with this digest is stored; upload the blob first");
    else if (is_bound && file_equals(path, body))
        lmn_http_request_respond(request, STATUS_OK, NULL, 0);
    else if (is_bound && !strcmp(kind, LMN_IMAGE_STORE_KIND_JOB))
        /* Attempts of one job must never run different commands. */
        lmn_http_request_fail(request, STATUS_CONFLICT,
                              "the job is already bound to another description");
    else
        store_body(request, path, STATUS_CREATED);
}

/** Requests for a directory: names/KIND or logs/JOB. */
static void route_directory(struct lmn_http_request *request, const char *path)
{
    if (lmn_http_request_method(request) == LMN_HTTP_GET)
        respond_with_names(request, path);
    else
        lmn_http_request_respond(request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
}

/** Requests for a file: names/KIND/NAME, or logs/JOB/NAME if `kind` is NULL. */
static void route_file(const struct image_store *store, struct lmn_http_request *request,
                       const char *kind, const char *path)
{
    if (lmn_http_request_method(request) == LMN_HTTP_GET)
        respond_with_file(request, path);
    else if (lmn_http_request_method(request) != LMN_HTTP_PUT)
        lmn_http_request_respond(request, STATUS_METHOD_NOT_ALLOWED, NULL, 0);
    else if (kind)
        put_name(store, request, kind, path);
    else
        store_body(request, path, STATUS_OK);
}

/** Whether all components after the first are valid names. Such a path cannot lead out of
 * the server's directory. */
static bool components_are_names(char *const *components, guint count)
{
    if (count < 2 || count > 3)
        return false;
    for (guint i = 1; i < count; i++)
        if (!lmn_image_name_is_valid(components[i]))
            return false;
    return true;
}

static void route(void *argument, struct lmn_http_request *request)
{
    const struct image_store *store = argument;
    g_auto(GStrv) components =
        g_strsplit(lmn_http_request_path(request) + 1, "/", MAX_PATH_COMPONENTS);
    guint count = g_strv_length(components);
    bool is_name = count >= 2 && !strcmp(components[0], "names");
    bool is_log = count >= 2 && !strcmp(components[0], "logs");

    if (count == 2 && !strcmp(components[0], "blobs")) {
        route_blob(store, request, components[1]);
    } else if (count == 1 && !strcmp(components[0], "ready")) {
        lmn_http_request_respond(request, STATUS_OK, NULL, 0);
    } else if ((is_name || is_log) && components_are_names(components, count)) {
        g_autofree char *path =
            g_strjoin("/", store->dir, components[0], components[1], components[2], NULL);
        if (count == 2)
            route_directory(request, path);
        else
            route_file(store, request, is_name ? components[1] : NULL, path);
    } else {
        lmn_http_request_fail(
            request, is_name || is_log ? STATUS_BAD_REQUEST : STATUS_NOT_FOUND,
            "unknown path, or a name in it is invalid (1 to 120 letters, "
            "digits, '-', '_' or '.', not beginning with '.')");
    }
}

struct lmn_http_server *lmn_image_store_start(const char *dir, const char *listen,
                                              char *err, size_t len)
{
    if (g_mkdir_with_parents(dir, DIRECTORY_MODE) != 0) {
        g_snprintf(err, len, "%s: %s", dir, strerror(errno));
        return NULL;
    }
    /* Never freed: the server runs until the process ends. */
    struct image_store *store = g_new0(struct image_store, 1);
    store->dir = g_strdup(dir);
    const struct lmn_http_server_options options = {.listen = listen,
                                                    .connections = MAX_CONNECTIONS,
                                                    .max_body_bytes = LMN_MAX_BLOB_BYTES,
                                                    .route = route,
                                                    .arg = store};
    struct lmn_http_server *server = lmn_http_server_start(&options);
    if (!server)
        g_snprintf(err, len, "%s: can't listen: %s", listen, strerror(errno));
    return server;
}
