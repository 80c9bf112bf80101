/* Care of a database: check, backup, restore. */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/* Revisions of a restored database begin so far above the backup's: more than a service
 * could have given out since, so that none is ever given out twice. */
static const uint64_t RESTORE_GAP = 1ull << 32;

struct check {
    int out;
    unsigned wrong;
    struct lmn_db *db;
    MDB_txn *txn;
    struct lmn_db_meta meta;
};

static void wrong(struct check *c, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
static void wrong(struct check *c, const char *fmt, ...)
{
    char line[512];
    va_list ap;

    c->wrong++;
    va_start(ap, fmt);
    int n = vsnprintf(line, sizeof line - 1, fmt, ap);
    va_end(ap);
    n = MIN(n, (int)sizeof line - 2);
    line[n++] = '\n';
    if (write(c->out, line, (size_t)n) != n)
        c->wrong++;
}

static MDB_cursor *cursor(struct check *c, int table)
{
    MDB_cursor *cur = NULL;
    int rc = mdb_cursor_open(c->txn, c->db->dbi[table], &cur);
    if (rc)
        wrong(c, "table %d: %s", table, mdb_strerror(rc));
    return cur;
}

static void ended(struct check *c, const char *table, int rc)
{
    if (rc != MDB_NOTFOUND)
        wrong(c, "%s: reading stops: %s", table, mdb_strerror(rc));
}

static bool indexed(struct check *c, uint64_t lease, const MDB_val *key)
{
    uint64_t be = GUINT64_TO_BE(lease);
    GByteArray *buffer = g_byte_array_new();
    MDB_val k, v;

    g_byte_array_append(buffer, (const guint8 *)&be, sizeof be);
    g_byte_array_append(buffer, key->mv_data, (guint)key->mv_size);
    k = (MDB_val){buffer->len, buffer->data};
    int rc = mdb_get(c->txn, c->db->dbi[LMN_LEASED], &k, &v);
    g_byte_array_unref(buffer);
    return rc == 0;
}

static uint64_t check_data(struct check *c)
{
    MDB_cursor *cur = cursor(c, LMN_DATA);
    uint64_t count = 0, digest = 0, leased = 0;
    MDB_val k, v;
    int rc;

    if (!cur)
        return 0;
    for (rc = mdb_cursor_get(cur, &k, &v, MDB_FIRST); !rc;
         rc = mdb_cursor_get(cur, &k, &v, MDB_NEXT)) {
        struct lmn_db_head h;
        int klen = (int)MIN(k.mv_size, LMN_DB_KEY);
        count++;
        if (k.mv_size > LMN_DB_KEY || !lmn_db_intact(&k, &v)) {
            wrong(c, "record %.*s: the checksum does not hold", klen,
                  (const char *)k.mv_data);
            continue;
        }
        memcpy(&h, v.mv_data, sizeof h);
        digest ^= h.sum;
        if (h.rev > c->meta.revision)
            wrong(c, "record %.*s: of a revision yet to come", klen,
                  (const char *)k.mv_data);
        if (h.lease && !indexed(c, h.lease, &k))
            wrong(c, "record %.*s: missing among its lease's", klen,
                  (const char *)k.mv_data);
        leased += h.lease != 0;
    }
    ended(c, "data", rc);
    mdb_cursor_close(cur);
    if (count != c->meta.count)
        wrong(c,
              "data: %" G_GUINT64_FORMAT " records, there should be %" G_GUINT64_FORMAT,
              count, c->meta.count);
    if (digest != c->meta.digest)
        wrong(c, "data: the digest over all records does not hold");
    return leased;
}

static void check_log(struct check *c)
{
    MDB_cursor *cur = cursor(c, LMN_LOG);
    uint64_t last = c->meta.floor;
    MDB_val k, v;
    int rc;

    if (!cur)
        return;
    for (rc = mdb_cursor_get(cur, &k, &v, MDB_FIRST); !rc;
         rc = mdb_cursor_get(cur, &k, &v, MDB_NEXT)) {
        struct lmn_db_item item;
        struct lmn_db_log_key lk = {0, 0};
        if (!lmn_db_intact(&k, &v) || !lmn_db_log_read(&k, &v, &item)) {
            wrong(c, "log: a change after revision %" G_GUINT64_FORMAT " does not hold",
                  last);
            continue;
        }
        memcpy(&lk, k.mv_data, sizeof lk);
        if (item.rev != GUINT64_FROM_BE(lk.rev) || item.rev < last ||
            item.rev > c->meta.revision)
            wrong(c, "log: revision %" G_GUINT64_FORMAT " out of order", item.rev);
        last = MAX(last, item.rev);
    }
    ended(c, "log", rc);
    mdb_cursor_close(cur);
}

static void check_leases(struct check *c, uint64_t leased)
{
    MDB_cursor *cur = cursor(c, LMN_LEASES);
    MDB_val k, v;
    MDB_stat st = {0};
    int rc;

    if (!cur)
        return;
    for (rc = mdb_cursor_get(cur, &k, &v, MDB_FIRST); !rc;
         rc = mdb_cursor_get(cur, &k, &v, MDB_NEXT))
        if (!lmn_db_intact(&k, &v))
            wrong(c, "leases: a lease's checksum does not hold");
    ended(c, "leases", rc);
    mdb_cursor_close(cur);
    if (mdb_stat(c->txn, c->db->dbi[LMN_LEASED], &st) != 0 || st.ms_entries != leased)
        wrong(c,
              "leases: %zu keys are listed, %" G_GUINT64_FORMAT " records have a lease",
              st.ms_entries, leased);
}

/* In the child: what is wrong goes to the pipe as lines, the meta record to the other. */
static int check_in_child(const char *dir, int out, int meta_out)
{
    const struct lmn_db_options o = {.dir = dir, .read_only = true};
    struct check c = {.out = out};
    char err[512];
    int rc;

    c.db = lmn_db_open(&o, err, sizeof err);
    if (!c.db) {
        wrong(&c, "%s", err);
        return 1;
    }
    rc = mdb_txn_begin(c.db->env, NULL, MDB_RDONLY, &c.txn);
    if (!rc)
        rc = lmn_db_meta_read(c.txn, c.db, &c.meta);
    if (rc) {
        wrong(&c, "meta: %s", mdb_strerror(rc));
        return 1;
    }
    uint64_t leased = check_data(&c);
    check_log(&c);
    check_leases(&c, leased);
    mdb_txn_abort(c.txn);
    lmn_db_close(c.db);
    if (write(meta_out, &c.meta, sizeof c.meta) != sizeof c.meta)
        return 1;
    return c.wrong ? 1 : 0;
}

unsigned lmn_db_check(const char *dir, void (*say)(void *arg, const char *what),
                      void *arg, struct lmn_db_meta *meta)
{
    int lines[2], metas[2], status = 0;
    unsigned n = 0;
    char *line = NULL;
    size_t cap = 0;

    memset(meta, 0, sizeof *meta);
    if (pipe(lines) != 0 || pipe(metas) != 0) {
        say(arg, "no pipe can be had");
        return 1;
    }
    fflush(NULL);
    pid_t pid = fork();
    if (pid == 0) {
        /* A damaged tree may end it, which its parent waits for: no handler, no core. */
        static const int ends[] = {SIGSEGV, SIGBUS, SIGABRT, SIGFPE, SIGILL};
        const struct rlimit no_core = {0, 0};
        for (guint i = 0; i < G_N_ELEMENTS(ends); i++)
            signal(ends[i], SIG_DFL);
        setrlimit(RLIMIT_CORE, &no_core);
        close(lines[0]);
        close(metas[0]);
        _exit(check_in_child(dir, lines[1], metas[1]));
    }
    close(lines[1]);
    close(metas[1]);
    FILE *in = fdopen(lines[0], "r");
    while (in && getline(&line, &cap, in) > 0) {
        g_strchomp(line);
        say(arg, line);
        n++;
    }
    free(line);
    if (in)
        fclose(in);
    if (read(metas[0], meta, sizeof *meta) != sizeof *meta)
        memset(meta, 0, sizeof *meta);
    close(metas[0]);
    if (pid < 0 || waitpid(pid, &status, 0) != pid) {
        say(arg, "the reading process can't be started");
        n++;
    } else if (WIFSIGNALED(status)) {
        char what[96];
        snprintf(what, sizeof what,
                 "the tree of pages is damaged: its reader ended by signal %d",
                 WTERMSIG(status));
        say(arg, what);
        n++;
    } else if (WEXITSTATUS(status) && !n) {
        say(arg, "the tree of pages is damaged: its reader gave up");
        n++;
    }
    return n;
}

static int sync_dir_of(const char *file)
{
    char *dir = g_path_get_dirname(file);
    int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC), rc = fd < 0 ? -1 : fsync(fd);

    if (fd >= 0)
        close(fd);
    g_free(dir);
    return rc;
}

int lmn_db_backup(const char *dir, const char *file, char *err, size_t len)
{
    const struct lmn_db_options o = {.dir = dir, .read_only = true};
    struct lmn_db *db = lmn_db_open(&o, err, len);
    char *tmp = g_strdup_printf("%s.tmp-%ld", file, (long)getpid());
    int rc = -1, fd = -1;

    if (db) {
        fd = open(tmp, O_CREAT | O_EXCL | O_RDWR | O_CLOEXEC, 0600);
        rc = fd < 0 ? errno : mdb_env_copyfd2(db->env, fd, MDB_CP_COMPACT);
        if (!rc && (fsync(fd) != 0 || rename(tmp, file) != 0 || sync_dir_of(file) != 0))
            rc = errno;
        if (rc) {
            snprintf(err, len, "%s: %s; nothing was left there", file, mdb_strerror(rc));
            unlink(tmp);
        }
        lmn_db_close(db);
    }
    if (fd >= 0)
        close(fd);
    g_free(tmp);
    return rc ? -1 : 0;
}

/* The copy becomes a database of its own: new incarnation, revisions far above. */
static int rebirth(const char *dir, char *err, size_t len)
{
    const struct lmn_db_options o = {.dir = dir};
    struct lmn_db *db = lmn_db_open(&o, err, len);
    struct lmn_db_meta meta;
    MDB_txn *txn;

    if (!db)
        return -1;
    int rc = mdb_txn_begin(db->env, NULL, 0, &txn);
    if (!rc) {
        rc = lmn_db_meta_read(txn, db, &meta);
        if (!rc)
            rc = mdb_drop(txn, db->dbi[LMN_LOG], 0);
        if (!rc) {
            meta.revision += RESTORE_GAP;
            meta.next_lease += RESTORE_GAP;
            meta.floor = meta.revision;
            meta.incarnation = (uint64_t)g_random_int() << 32 | g_random_int();
            rc = lmn_db_meta_write(txn, db, &meta);
        }
        if (rc)
            mdb_txn_abort(txn);
        else
            rc = mdb_txn_commit(txn);
    }
    if (rc)
        snprintf(err, len, "%s: %s", dir, mdb_strerror(rc));
    lmn_db_close(db);
    return rc ? -1 : 0;
}

static void first_wrong(void *arg, const char *what)
{
    char *to = arg;
    if (!*to)
        g_strlcpy(to, what, 256);
}

int lmn_db_restore(const char *file, const char *dir, char *err, size_t len)
{
    char *to = g_build_filename(dir, "data.mdb", NULL), what[256] = "";
    char *new = g_strdup_printf("%s.restore-%ld", dir, (long)getpid());
    char *part = g_build_filename(new, "data.mdb", NULL), *bytes = NULL;
    struct lmn_db_meta meta;
    GError *error = NULL;
    gsize n = 0;
    int rc = -1;

    if (g_file_test(to, G_FILE_TEST_EXISTS)) {
        snprintf(err, len,
                 "%s: there is a database already; restore into a new directory", dir);
    } else if (!g_file_get_contents(file, &bytes, &n, &error)) {
        snprintf(err, len, "%s", error->message);
    } else if (g_mkdir_with_parents(new, 0755) != 0 ||
               g_mkdir_with_parents(dir, 0755) != 0 ||
               !g_file_set_contents_full(part, bytes, (gssize)n,
                                         G_FILE_SET_CONTENTS_CONSISTENT |
                                             G_FILE_SET_CONTENTS_DURABLE,
                                         0644, &error)) {
        snprintf(err, len, "%s: %s", new, error ? error->message : strerror(errno));
    } else if (lmn_db_check(new, first_wrong, what, &meta)) {
        snprintf(err, len, "%s: not whole: %s; take another backup", file, what);
    } else if (rebirth(new, err, len) == 0) {
        /* Only a whole database ever gets the name. */
        if (rename(part, to) != 0 || sync_dir_of(to) != 0)
            snprintf(err, len, "%s: %s", to, strerror(errno));
        else
            rc = 0;
    }
    static const char *const left[] = {"data.mdb", "lock.mdb", "lock"};
    for (guint i = 0; i < G_N_ELEMENTS(left); i++) {
        char *p = g_build_filename(new, left[i], NULL);
        unlink(p);
        g_free(p);
    }
    rmdir(new);
    g_clear_error(&error);
    g_free(bytes);
    g_free(part);
    g_free(new);
    g_free(to);
    return rc;
}
