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

enum { PIECE = 4 << 20, MAX_FILES = 100000 };

bool lmn_image_name_is_valid(const char *name)
{
    size_t n = strlen(name);

    if (n < 1 || n > 120 || name[0] == '.')
        return false;
    for (size_t i = 0; i < n; i++)
        if (!g_ascii_isalnum(name[i]) && !strchr("-_.", name[i]))
            return false;
    return true;
}

struct walk {
    struct lmn_http_client *http;
    struct lmn_image_store_error *e;
    GByteArray *files;
    uint64_t bytes;
    size_t n;
};

static int wrong(struct lmn_image_store_error *e, const char *path, const char *why)
{
    e->status = 0;
    g_snprintf(e->what, sizeof e->what, "%s: %s", path, why);
    return -1;
}

static int put_file(struct walk *w, const char *path, const char *rel,
                    const struct stat *st)
{
    GByteArray *pieces = g_byte_array_new(), *piece = g_byte_array_new();
    int fd = open(path, O_RDONLY | O_NOFOLLOW | O_CLOEXEC), rc = fd < 0 ? -1 : 0;
    char digest[LMN_DIGEST_SIZE];
    size_t n = 0;

    if (rc != 0)
        wrong(w->e, path, strerror(errno));
    while (rc == 0) {
        g_byte_array_set_size(piece, PIECE);
        ssize_t got = read(fd, piece->data, PIECE);
        if (got < 0)
            rc = wrong(w->e, path, strerror(errno));
        if (got <= 0)
            break;
        g_byte_array_set_size(piece, (guint)got);
        rc = lmn_image_store_put(w->http, piece, digest, w->e);
        lmn_cbor_put_text(pieces, digest);
        w->bytes += (uint64_t)got;
        n++;
    }
    if (fd >= 0)
        close(fd);
    lmn_cbor_put_map(w->files, 3);
    lmn_cbor_put_text(w->files, "Path"), lmn_cbor_put_text(w->files, rel);
    lmn_cbor_put_text(w->files, "Mode"), lmn_cbor_put_uint(w->files, st->st_mode & 0777);
    lmn_cbor_put_text(w->files, "Pieces"), lmn_cbor_put_array(w->files, n);
    g_byte_array_append(w->files, pieces->data, pieces->len);
    w->n++;
    g_byte_array_unref(pieces);
    g_byte_array_unref(piece);
    return rc;
}

static int put_dir(struct walk *w, const char *path, const char *rel)
{
    GError *error = NULL;
    GDir *d = g_dir_open(path, 0, &error);
    const char *name;
    int rc = 0;

    if (!d) {
        wrong(w->e, path, error->message);
        g_error_free(error);
        return -1;
    }
    while (rc == 0 && (name = g_dir_read_name(d))) {
        char *p = g_build_filename(path, name, NULL);
        char *r = *rel ? g_strdup_printf("%s/%s", rel, name) : g_strdup(name);
        struct stat st;
        if (lstat(p, &st) != 0)
            rc = wrong(w->e, p, strerror(errno));
        else if (S_ISDIR(st.st_mode))
            rc = put_dir(w, p, r);
        else if (!S_ISREG(st.st_mode))
            rc = wrong(w->e, p,
                       "neither a file nor a directory; take it out of the image");
        else if (w->n >= MAX_FILES)
            rc = wrong(w->e, p, "an image has at most 100000 files");
        else
            rc = put_file(w, p, r, &st);
        g_free(p);
        g_free(r);
    }
    g_dir_close(d);
    return rc;
}

int lmn_image_put(struct lmn_http_client *client, const char *name, const char *dir,
                  uint64_t *bytes, struct lmn_image_store_error *e)
{
    struct walk w = {.http = client, .e = e, .files = g_byte_array_new()};
    int rc = put_dir(&w, dir, "");
    GByteArray *list = g_byte_array_new();
    char digest[LMN_DIGEST_SIZE];

    lmn_cbor_put_array(list, w.n);
    g_byte_array_append(list, w.files->data, w.files->len);
    if (rc == 0)
        rc = lmn_image_store_put(client, list, digest, e);
    if (rc == 0)
        rc = lmn_image_store_bind(client, LMN_IMAGE_STORE_KIND_IMAGE, name, digest, e);
    *bytes = w.bytes;
    g_byte_array_unref(w.files);
    g_byte_array_unref(list);
    return rc;
}

/* A path that stays below the image. */
static bool path_ok(const char *p)
{
    if (!*p || *p == '/' || strstr(p, "//") || g_str_has_suffix(p, "/"))
        return false;
    char **parts = g_strsplit(p, "/", -1);
    bool ok = true;
    for (char **s = parts; *s; s++)
        ok = ok && strcmp(*s, ".") && strcmp(*s, "..");
    g_strfreev(parts);
    return ok;
}

struct fetch {
    struct lmn_http_client *http;
    struct lmn_image_store_error *e;
    double rate;
    bool (*go_on)(void *arg);
    void *arg;
    struct timespec begun;
    uint64_t bytes;
};

static int get_file(struct fetch *f, const char *dir,
                    const struct lmn_cbor_document *document,
                    const struct lmn_cbor_value *node)
{
    char path[1024], digest[LMN_DIGEST_SIZE];
    uint64_t mode = 0;
    GByteArray *piece = g_byte_array_new();
    int rc = 0;

    if (!lmn_cbor_get_text(lmn_cbor_get(document, node, "Path"), path, sizeof path) ||
        !path_ok(path) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, node, "Mode"), &mode)) {
        g_byte_array_unref(piece);
        return wrong(f->e, "image", "its list of files can't be read");
    }
    char *to = g_build_filename(dir, path, NULL), *parent = g_path_get_dirname(to);
    g_mkdir_with_parents(parent, 0755);
    int fd = open(to, O_WRONLY | O_CREAT | O_EXCL | O_NOFOLLOW | O_CLOEXEC,
                  (mode_t)(mode & 0777));
    if (fd < 0)
        rc = wrong(f->e, to, strerror(errno));
    const struct lmn_cbor_value *pieces = lmn_cbor_get(document, node, "Pieces");
    for (const struct lmn_cbor_value *pair = lmn_cbor_first_child(document, pieces);
         pair && rc == 0; pair = lmn_cbor_next(document, pair)) {
        if (f->go_on && !f->go_on(f->arg))
            rc = wrong(f->e, path, "given up: no task waits for it");
        else if (!lmn_cbor_get_text(pair, digest, sizeof digest))
            rc = wrong(f->e, path, "its pieces can't be read");
        else
            rc = lmn_image_store_get(f->http, digest, piece, f->e);
        if (rc == 0 && write(fd, piece->data, piece->len) != (ssize_t)piece->len)
            rc = wrong(f->e, to, strerror(errno));
        f->bytes += piece->len;
        double ahead = f->rate > 0 ? (double)f->bytes / f->rate -
                                         lmn_time_diff_s(lmn_now(), f->begun)
                                   : 0;
        if (rc == 0 && ahead > 0)
            lmn_sleep(ahead);
    }
    if (fd >= 0)
        close(fd);
    g_byte_array_unref(piece);
    g_free(to);
    g_free(parent);
    return rc;
}

int lmn_image_get(struct lmn_http_client *client, const char *name, const char *dir,
                  double bytes_per_s, bool (*go_on)(void *arg), void *arg,
                  uint64_t *bytes, struct lmn_image_store_error *e)
{
    struct fetch f = {client, e, bytes_per_s, go_on, arg, lmn_now(), 0};
    GByteArray *list = g_byte_array_new();
    char digest[LMN_DIGEST_SIZE], *part = g_strdup_printf("%s.part", dir);
    struct lmn_cbor_document d;
    int rc =
        lmn_image_name_is_valid(name)
            ? lmn_image_store_lookup(client, LMN_IMAGE_STORE_KIND_IMAGE, name, digest, e)
            : wrong(e, name, "can't be an image's name");

    if (rc == 0)
        rc = lmn_image_store_get(client, digest, list, e);
    if (rc == 0 && lmn_cbor_parse(&d, list->data, list->len) != 0)
        rc = wrong(e, name, "its list of files can't be read");
    else if (rc == 0) {
        lmn_tree_remove(part);
        if (g_mkdir_with_parents(part, 0755) != 0)
            rc = wrong(e, part, strerror(errno));
        for (const struct lmn_cbor_value *node =
                 lmn_cbor_first_child(&d, lmn_cbor_root(&d));
             node && rc == 0; node = lmn_cbor_next(&d, node))
            rc = get_file(&f, part, &d, node);
        lmn_cbor_free(&d);
        if (rc == 0 && rename(part, dir) != 0)
            rc = wrong(e, dir, strerror(errno));
    }
    if (rc != 0)
        lmn_tree_remove(part);
    *bytes = f.bytes;
    g_byte_array_unref(list);
    g_free(part);
    return rc;
}
