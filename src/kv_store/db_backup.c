/** @file
 * Backup and restore of a database (kv_store/db.h). Neither needs the serving process to
 * stop: a backup is a view of LMDB's, and a restore makes a new directory. */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Revisions and leases of a restored database begin so far above the backup's: more than
 * the store could have given out since, so that none is ever given out twice. */
static const uint64_t RESTORE_GAP = 1ull << 32;
enum { BACKUP_MODE = 0600, DATA_MODE = 0644, DIRECTORY_MODE = 0755, REASON_SIZE = 256 };

/* Syncs the directory of a file, so that the file's name survives a crash. */
static int sync_directory_of(const char *file)
{
    g_autofree char *dir = g_path_get_dirname(file);
    int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    if (fd < 0)
        return -1;
    int rc = fsync(fd);
    close(fd);
    return rc;
}

int lmn_db_backup(const char *dir, const char *file, char *err, size_t len)
{
    const struct lmn_db_options options = {.dir = dir, .read_only = true};
    struct lmn_db *db = lmn_db_open(&options, err, len);
    g_autofree char *temporary = g_strdup_printf("%s.tmp-%ld", file, (long)getpid());

    if (!db)
        return -1;
    int fd = open(temporary, O_CREAT | O_EXCL | O_RDWR | O_CLOEXEC, BACKUP_MODE);
    int rc = fd < 0 ? errno : mdb_env_copyfd2(db->env, fd, MDB_CP_COMPACT);
    /* The file gets its name only when it is whole and on the disk. */
    if (!rc &&
        (fsync(fd) != 0 || rename(temporary, file) != 0 || sync_directory_of(file) != 0))
        rc = errno;
    if (rc) {
        snprintf(err, len, "%s: %s; nothing was left there", file, mdb_strerror(rc));
        unlink(temporary);
    }
    lmn_db_close(db);
    if (fd >= 0)
        close(fd);
    return rc ? -1 : 0;
}

static int advance_meta(MDB_txn *txn, struct lmn_db *db)
{
    struct lmn_db_meta meta;
    int rc = lmn_db_meta_read(txn, db, &meta);

    if (!rc)
        rc = mdb_drop(txn, db->dbi[LMN_DB_LOG], 0);
    if (rc)
        return rc;
    meta.revision += RESTORE_GAP;
    meta.next_lease += RESTORE_GAP;
    meta.compact_revision = meta.revision;
    meta.incarnation = lmn_db_new_incarnation();
    return lmn_db_meta_write(txn, db, &meta);
}

/* Makes the copy a database of its own: a new incarnation, an empty log, revisions far
 * above the backup's. */
static int begin_new_incarnation(const char *dir, char *err, size_t len)
{
    const struct lmn_db_options options = {.dir = dir};
    struct lmn_db *db = lmn_db_open(&options, err, len);
    MDB_txn *txn;

    if (!db)
        return -1;
    int rc = mdb_txn_begin(db->env, NULL, 0, &txn);
    if (!rc) {
        rc = advance_meta(txn, db);
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

/* Keeps the first line of a check. */
static void keep_first_fault(void *arg, const char *what)
{
    char *first = arg;

    if (!*first)
        g_strlcpy(first, what, REASON_SIZE);
}

/* Copies the backup into the temporary directory's database, synced. */
static bool copy_backup(const char *file, const char *temporary_dir,
                        const char *temporary_file, const char *dir, char *err,
                        size_t len)
{
    const GFileSetContentsFlags flags =
        G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE;
    g_autofree char *bytes = NULL;
    g_autoptr(GError) error = NULL;
    gsize size = 0;

    if (!g_file_get_contents(file, &bytes, &size, &error)) {
        snprintf(err, len, "%s", error->message);
        return false;
    }
    if (g_mkdir_with_parents(temporary_dir, DIRECTORY_MODE) != 0 ||
        g_mkdir_with_parents(dir, DIRECTORY_MODE) != 0 ||
        !g_file_set_contents_full(temporary_file, bytes, (gssize)size, flags, DATA_MODE,
                                  &error)) {
        snprintf(err, len, "%s: %s", temporary_dir,
                 error ? error->message : strerror(errno));
        return false;
    }
    return true;
}

static void remove_temporary_directory(const char *temporary_dir)
{
    static const char *const files[] = {"data.mdb", "lock.mdb", "lock"};

    for (guint i = 0; i < G_N_ELEMENTS(files); i++) {
        g_autofree char *path = g_build_filename(temporary_dir, files[i], NULL);
        unlink(path);
    }
    rmdir(temporary_dir);
}

int lmn_db_restore(const char *file, const char *dir, char *err, size_t len)
{
    g_autofree char *target = g_build_filename(dir, "data.mdb", NULL);
    g_autofree char *temporary_dir =
        g_strdup_printf("%s.restore-%ld", dir, (long)getpid());
    g_autofree char *temporary_file = g_build_filename(temporary_dir, "data.mdb", NULL);
    char fault[REASON_SIZE] = "";
    struct lmn_db_meta meta;
    int rc = -1;

    if (g_file_test(target, G_FILE_TEST_EXISTS)) {
        snprintf(err, len,
                 "%s: there is a database already; restore into a new directory", dir);
    } else if (!copy_backup(file, temporary_dir, temporary_file, dir, err, len)) {
        /* err says why */
    } else if (lmn_db_check(temporary_dir, keep_first_fault, fault, &meta)) {
        snprintf(err, len, "%s: not whole: %s; take another backup", file, fault);
    } else if (begin_new_incarnation(temporary_dir, err, len) == 0) {
        /* Only a whole database ever gets the name. */
        if (rename(temporary_file, target) != 0 || sync_directory_of(target) != 0)
            snprintf(err, len, "%s: %s", target, strerror(errno));
        else
            rc = 0;
    }
    remove_temporary_directory(temporary_dir);
    return rc;
}
