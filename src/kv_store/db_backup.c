/** @file
 * Backup and restore of a database (kv_store/db.h). Neither stops the process that serves
 * the database: a backup copies a consistent view, and a restore creates a new directory.
 */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Added to the backup's revision and next lease id on a restore. The store can't have
 * used that many since the backup, so no revision or lease id is used twice. */
static const uint64_t RESTORE_GAP = 1ull << 32;
enum { BACKUP_MODE = 0600, DATA_MODE = 0644, DIRECTORY_MODE = 0755, REASON_SIZE = 256 };

/* Syncs the directory of a file, so that the file's directory entry survives a crash. */
static int sync_directory_of(const char *file)
{
    g_autofree char *dir = g_path_get_dirname(file);
    int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

    if (fd < 0)
        return -1;
    int result = fsync(fd);
    close(fd);
    return result;
}

int lmn_db_backup(const char *dir, const char *file, char *err, size_t len)
{
    const struct lmn_db_options options = {.dir = dir, .read_only = true};
    struct lmn_db *db = lmn_db_open(&options, err, len);
    g_autofree char *temporary = g_strdup_printf("%s.tmp-%ld", file, (long)getpid());

    if (!db)
        return -1;
    int fd = open(temporary, O_CREAT | O_EXCL | O_RDWR | O_CLOEXEC, BACKUP_MODE);
    int result = fd < 0 ? errno : mdb_env_copyfd2(db->env, fd, MDB_CP_COMPACT);
    /* The file gets its name only after the copy is complete and synced. */
    if (!result &&
        (fsync(fd) != 0 || rename(temporary, file) != 0 || sync_directory_of(file) != 0))
        result = errno;
    if (result) {
        snprintf(err, len, "%s: backup not written: %s", file, mdb_strerror(result));
        unlink(temporary);
    }
    lmn_db_close(db);
    if (fd >= 0)
        close(fd);
    return result ? -1 : 0;
}

static int advance_meta(MDB_txn *txn, struct lmn_db *db)
{
    struct lmn_db_meta meta;
    int result = lmn_db_meta_read(txn, db, &meta);

    if (!result)
        result = mdb_drop(txn, db->dbi[LMN_DB_LOG], 0);
    if (result)
        return result;
    meta.revision += RESTORE_GAP;
    meta.next_lease += RESTORE_GAP;
    meta.compact_revision = meta.revision;
    meta.incarnation = lmn_db_new_incarnation();
    return lmn_db_meta_write(txn, db, &meta);
}

/* Turns the copy into a separate database: a new incarnation, an empty log, and revisions
 * and lease ids advanced by RESTORE_GAP. */
static int begin_new_incarnation(const char *dir, char *err, size_t len)
{
    const struct lmn_db_options options = {.dir = dir};
    struct lmn_db *db = lmn_db_open(&options, err, len);
    MDB_txn *txn;

    if (!db)
        return -1;
    int result = mdb_txn_begin(db->env, NULL, 0, &txn);
    if (!result) {
        result = advance_meta(txn, db);
        if (result)
            mdb_txn_abort(txn);
        else
            result = mdb_txn_commit(txn);
    }
    if (result)
        snprintf(err, len, "%s: %s", dir, mdb_strerror(result));
    lmn_db_close(db);
    return result ? -1 : 0;
}

/* Copies the first fault that a check reports into `arg`, a buffer of REASON_SIZE bytes.
 */
static void keep_first_fault(void *arg, const char *what)
{
    char *first = arg;

    if (!*first)
        g_strlcpy(first, what, REASON_SIZE);
}

/* Copies the backup to the temporary file and syncs it; creates both directories. */
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
    int result = -1;

    if (g_file_test(target, G_FILE_TEST_EXISTS)) {
        snprintf(err, len,
                 "%s: already contains a database; restore into a new directory", dir);
    } else if (!copy_backup(file, temporary_dir, temporary_file, dir, err, len)) {
        /* copy_backup set err */
    } else if (lmn_db_check(temporary_dir, keep_first_fault, fault, &meta)) {
        snprintf(err, len, "%s: backup is damaged: %s; restore another backup", file,
                 fault);
    } else if (begin_new_incarnation(temporary_dir, err, len) == 0) {
        /* The file gets its name only after the database is verified and complete. */
        if (rename(temporary_file, target) != 0 || sync_directory_of(target) != 0)
            snprintf(err, len, "%s: %s", target, strerror(errno));
        else
            result = 0;
    }
    remove_temporary_directory(temporary_dir);
    return result;
}
