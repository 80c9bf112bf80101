/**
 * @file
 * Upload and download of images as blobs of the image store.
 */
#include "image_store/image.h"
#include "util/clock.h"
#include "util/process.h"
#include "util/thread.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum {
    PIECE_BYTES = 4 << 20,
    MAX_FILES = 100000,
    MAX_NAME_LENGTH = 120,
    MAX_PATH_SIZE = 1024,
    DIRECTORY_MODE = 0755,
    PERMISSION_BITS = 0777,
};

bool lmn_image_name_is_valid(const char *name)
{
    size_t length = strlen(name);

    if (length < 1 || length > MAX_NAME_LENGTH || name[0] == '.')
        return false;
    for (size_t i = 0; i < length; i++)
        if (!g_ascii_isalnum(name[i]) && !strchr("-_.", name[i]))
            return false;
    return true;
}

/** Fills in the error for a path or an image's name. @return -1 */
static int fail(struct lmn_image_store_error *error, const char *path, const char *reason)
{
    error->status = 0;
    g_snprintf(error->what, sizeof error->what, "%s: %s", path, reason);
    return -1;
}

/* --- upload --- */

/** The upload of one image. */
struct upload {
    struct lmn_http_client *client;
    struct lmn_image_store_error *error;
    GByteArray *entries; /**< the files so far: the elements of a CBOR array */
    size_t file_count;
    uint64_t bytes; /**< read from files so far */
};

/** Uploads an open file piece by piece. @param digests receives the pieces' digests as
 * CBOR texts. @return 0, or -1 with the upload's error filled in. */
static int upload_pieces(struct upload *upload, int fd, const char *path,
                         GByteArray *digests, size_t *count)
{
    g_autoptr(GByteArray) piece = g_byte_array_new();
    char digest[LMN_DIGEST_SIZE];

    for (;;) {
        g_byte_array_set_size(piece, PIECE_BYTES);
        ssize_t length = read(fd, piece->data, PIECE_BYTES);
        if (length < 0)
            return fail(upload->error, path, strerror(errno));
        if (length == 0)
            return 0;
        g_byte_array_set_size(piece, (guint)length);
        int result = lmn_image_store_put(upload->client, piece, digest, upload->error);
        upload->bytes += (uint64_t)length;
        if (result != 0)
            return result;
        lmn_cbor_put_text(digests, digest);
        (*count)++;
    }
}

static void append_entry(struct upload *upload, const char *relative_path, mode_t mode,
                         const GByteArray *digests, size_t piece_count)
{
    lmn_cbor_put_map(upload->entries, 3);
    lmn_cbor_put_text(upload->entries, "Path");
    lmn_cbor_put_text(upload->entries, relative_path);
    lmn_cbor_put_text(upload->entries, "Mode");
    lmn_cbor_put_uint(upload->entries, mode & PERMISSION_BITS);
    lmn_cbor_put_text(upload->entries, "Pieces");
    lmn_cbor_put_array(upload->entries, piece_count);
    g_byte_array_append(upload->entries, digests->data, digests->len);
    upload->file_count++;
}

static int upload_file(struct upload *upload, const char *path, const char *relative_path,
                       mode_t mode)
{
    g_autoptr(GByteArray) digests = g_byte_array_new();
    size_t piece_count = 0;
    int fd = open(path, O_RDONLY | O_NOFOLLOW | O_CLOEXEC);

    if (fd < 0)
        return fail(upload->error, path, strerror(errno));
    int result = upload_pieces(upload, fd, path, digests, &piece_count);
    close(fd);
    if (result == 0)
        append_entry(upload, relative_path, mode, digests, piece_count);
    return result;
}

static int upload_directory(struct upload *upload, const char *path,
                            const char *relative_path);

/** Fails because the image has too many files. @return -1 */
static int fail_with_file_count(struct lmn_image_store_error *error, const char *path)
{
    char reason[64];

    g_snprintf(reason, sizeof reason, "the image has more than %d files", MAX_FILES);
    return fail(error, path, reason);
}

static int upload_child(struct upload *upload, const char *path,
                        const char *relative_path)
{
    struct stat status;

    if (lstat(path, &status) != 0)
        return fail(upload->error, path, strerror(errno));
    if (S_ISDIR(status.st_mode))
        return upload_directory(upload, path, relative_path);
    if (!S_ISREG(status.st_mode))
        return fail(upload->error, path,
                    "neither a regular file nor a directory; an image can't contain it");
    if (upload->file_count >= MAX_FILES)
        return fail_with_file_count(upload->error, path);
    return upload_file(upload, path, relative_path, status.st_mode);
}

static int upload_directory(struct upload *upload, const char *path,
                            const char *relative_path)
{
    g_autoptr(GError) open_error = NULL;
    g_autoptr(GDir) directory = g_dir_open(path, 0, &open_error);
    const char *name;
    int result = 0;

    if (!directory)
        return fail(upload->error, path, open_error->message);
    while (result == 0 && (name = g_dir_read_name(directory))) {
        g_autofree char *child = g_build_filename(path, name, NULL);
        g_autofree char *relative_child =
            *relative_path ? g_strdup_printf("%s/%s", relative_path, name)
                           : g_strdup(name);
        result = upload_child(upload, child, relative_child);
    }
    return result;
}

int lmn_image_put(struct lmn_http_client *client, const char *name, const char *dir,
                  uint64_t *bytes, struct lmn_image_store_error *error)
{
    g_autoptr(GByteArray) entries = g_byte_array_new();
    g_autoptr(GByteArray) list = g_byte_array_new();
    struct upload upload = {.client = client, .error = error, .entries = entries};
    char digest[LMN_DIGEST_SIZE];

    int result = upload_directory(&upload, dir, "");
    *bytes = upload.bytes;
    if (result != 0)
        return result;
    lmn_cbor_put_array(list, upload.file_count);
    g_byte_array_append(list, entries->data, entries->len);
    /* Binds the name last, so that it never refers to an incomplete image. */
    result = lmn_image_store_put(client, list, digest, error);
    if (result != 0)
        return result;
    return lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_IMAGE, name, digest, error);
}

/* --- download --- */

/** The download of one image. */
struct download {
    struct lmn_http_client *client;
    struct lmn_image_store_error *error;
    double bytes_per_s; /**< 0: no limit */
    bool (*should_continue)(void *argument);
    void *argument;
    struct timespec started_at;
    uint64_t bytes; /**< written to files so far */
};

/** Whether a file with this path is inside the image's directory. The list of files comes
 * from the network; a path such as "../x" would make a worker write elsewhere. */
static bool path_is_inside_image(const char *path)
{
    if (!*path || *path == '/' || strstr(path, "//") || g_str_has_suffix(path, "/"))
        return false;
    g_auto(GStrv) components = g_strsplit(path, "/", -1);
    for (char **component = components; *component; component++)
        if (!strcmp(*component, ".") || !strcmp(*component, ".."))
            return false;
    return true;
}

/** Sleeps until the average rate of the download is not above its limit. */
static void limit_rate(const struct download *download)
{
    if (download->bytes_per_s <= 0)
        return;
    double ahead_s = (double)download->bytes / download->bytes_per_s -
                     lmn_time_diff_s(lmn_now(), download->started_at);
    if (ahead_s > 0)
        lmn_sleep(ahead_s);
}

/** Downloads one piece and appends it to the file. @param path within the image.
 * @param target the file's whole path. */
static int download_piece(struct download *download,
                          const struct lmn_cbor_value *digest_value, int fd,
                          const char *path, const char *target)
{
    g_autoptr(GByteArray) piece = g_byte_array_new();
    char digest[LMN_DIGEST_SIZE];

    if (download->should_continue && !download->should_continue(download->argument))
        return fail(download->error, path,
                    "download cancelled: the image is no longer needed");
    if (!lmn_cbor_get_text(digest_value, digest, sizeof digest))
        return fail(download->error, path,
                    "malformed list of files: a piece has no valid digest");
    if (lmn_image_store_get(download->client, digest, piece, download->error) != 0)
        return -1;
    if (write(fd, piece->data, piece->len) != (ssize_t)piece->len)
        return fail(download->error, target, strerror(errno));
    download->bytes += piece->len;
    limit_rate(download);
    return 0;
}

/** Downloads the pieces of one file. @param path within the image, already checked. */
static int download_pieces(struct download *download, const char *directory,
                           const char *path, mode_t mode,
                           const struct lmn_cbor_document *document,
                           const struct lmn_cbor_value *pieces)
{
    g_autofree char *target = g_build_filename(directory, path, NULL);
    g_autofree char *parent = g_path_get_dirname(target);
    int result = 0;

    /* If this fails, open() fails, too, and its errno is reported. */
    g_mkdir_with_parents(parent, DIRECTORY_MODE);
    int fd = open(target, O_WRONLY | O_CREAT | O_EXCL | O_NOFOLLOW | O_CLOEXEC, mode);
    if (fd < 0)
        return fail(download->error, target, strerror(errno));
    for (const struct lmn_cbor_value *piece = lmn_cbor_first_child(document, pieces);
         piece && result == 0; piece = lmn_cbor_next(document, piece))
        result = download_piece(download, piece, fd, path, target);
    close(fd);
    return result;
}

/** Downloads the file that an entry of the image's list describes. */
static int download_file(struct download *download, const char *directory,
                         const struct lmn_cbor_document *document,
                         const struct lmn_cbor_value *entry)
{
    char path[MAX_PATH_SIZE];
    uint64_t mode = 0;

    if (!lmn_cbor_get_text(lmn_cbor_get(document, entry, "Path"), path, sizeof path) ||
        !path_is_inside_image(path) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, entry, "Mode"), &mode))
        return fail(download->error, "image",
                    "malformed list of files: invalid Path or Mode");
    return download_pieces(download, directory, path, (mode_t)(mode & PERMISSION_BITS),
                           document, lmn_cbor_get(document, entry, "Pieces"));
}

static int download_files(struct download *download, const char *directory,
                          const struct lmn_cbor_document *document)
{
    int result = 0;

    /* An interrupted download may have left files. */
    lmn_tree_remove(directory);
    if (g_mkdir_with_parents(directory, DIRECTORY_MODE) != 0)
        return fail(download->error, directory, strerror(errno));
    for (const struct lmn_cbor_value *entry =
             lmn_cbor_first_child(document, lmn_cbor_root(document));
         entry && result == 0; entry = lmn_cbor_next(document, entry))
        result = download_file(download, directory, document, entry);
    return result;
}

/** Looks up the image's name and downloads its list of files. */
static int download_list(struct download *download, const char *name, GByteArray *list)
{
    char digest[LMN_DIGEST_SIZE];

    if (!lmn_image_name_is_valid(name))
        return fail(
            download->error, name,
            "invalid image name: expected 1 to 120 letters, digits, '-', '_' or '.', not "
            "beginning with '.'");
    if (lmn_image_store_lookup(download->client, LMN_IMAGE_STORE_KIND_IMAGE, name, digest,
                               download->error) != 0)
        return -1;
    return lmn_image_store_get(download->client, digest, list, download->error);
}

/** Downloads the image into `partial`, and renames `partial` to `dir` when the image is
 * complete. */
static int download_image(struct download *download, const char *name,
                          const char *partial, const char *dir)
{
    g_autoptr(GByteArray) list = g_byte_array_new();
    struct lmn_cbor_document document;

    if (download_list(download, name, list) != 0)
        return -1;
    if (lmn_cbor_parse(&document, list->data, list->len) != 0)
        return fail(download->error, name, "malformed list of files: not CBOR");
    int result = download_files(download, partial, &document);
    lmn_cbor_free(&document);
    if (result == 0 && rename(partial, dir) != 0)
        result = fail(download->error, dir, strerror(errno));
    return result;
}

int lmn_image_get(struct lmn_http_client *client, const char *name, const char *dir,
                  double bytes_per_s, bool (*should_continue)(void *argument),
                  void *argument, uint64_t *bytes, struct lmn_image_store_error *error)
{
    g_autofree char *partial = g_strdup_printf("%s.part", dir);
    struct download download = {.client = client,
                                .error = error,
                                .bytes_per_s = bytes_per_s,
                                .should_continue = should_continue,
                                .argument = argument,
                                .started_at = lmn_now()};

    int result = download_image(&download, name, partial, dir);
    if (result != 0)
        lmn_tree_remove(partial);
    *bytes = download.bytes;
    return result;
}
