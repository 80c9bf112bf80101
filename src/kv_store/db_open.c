/** @file
 * Opens and closes a database (kv_store/db.h): the lock on its directory, LMDB's
 * environment, and the tables. */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

static const char *const table_names[LMN_DB_TABLES] = {"data", "log", "leases", "leased",
                                                       "meta"};
static const double DEFAULT_MAP_GB = 64;
enum { MAX_READERS = 64, FILE_MODE = 0644, DIRECTORY_MODE = 0755, PID_SIZE = 32 };

/* Writes this process's id into the lock file, for the error message of another process
 * that finds the directory locked. */
static bool write_lock_owner(const struct lmn_db *db, char *err, size_t len)
{
    char pid[PID_SIZE];
    int pid_len = snprintf(pid, sizeof pid, "%ld\n", (long)getpid());

    if (ftruncate(db->lock_fd, 0) == 0 &&
        pwrite(db->lock_fd, pid, (size_t)pid_len, 0) == pid_len)
        return true;
    snprintf(err, len, "%s: can't write the lock file: %s", db->dir, strerror(errno));
    return false;
}

/* Takes the lock on the directory, which only one process, the writer, may hold. The
 * kernel releases it when the process ends, also after a crash. */
static bool lock_directory(struct lmn_db *db, char *err, size_t len)
{
    g_autofree char *path = g_build_filename(db->dir, "lock", NULL);

    db->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (db->lock_fd < 0) {
        snprintf(
            err, len,
            "%s: can't open the lock file: %s; the directory must exist and be writable",
            db->dir, strerror(errno));
        return false;
    }
    if (flock(db->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        char pid[PID_SIZE];
        ssize_t pid_len = read(db->lock_fd, pid, sizeof pid - 1);
        pid[MAX(pid_len, 0)] = '\0';
        snprintf(
            err, len,
            "%s: process %s serves this directory; stop it, or use another directory",
            db->dir, g_strstrip(pid));
        return false;
    }
    return write_lock_owner(db, err, len);
}

static int open_environment(struct lmn_db *db, const struct lmn_db_options *options)
{
    /* MDB_NOTLS: read transactions belong to reader objects and not to threads. */
    unsigned flags = MDB_NOTLS | (options->read_only ? MDB_RDONLY : 0);
    double map_gb = options->map_gb > 0 ? options->map_gb : DEFAULT_MAP_GB;
    int result = mdb_env_create(&db->env);

    if (result)
        return result;
    mdb_env_set_maxdbs(db->env, LMN_DB_TABLES);
    mdb_env_set_maxreaders(db->env, MAX_READERS);
    /* A database that exists has its map size on record. Readers need no larger one:
     * there may be no room for it in the address space. */
    if (options->create || options->map_gb > 0)
        mdb_env_set_mapsize(db->env, (size_t)(map_gb * (1u << 30)));
    result = mdb_env_open(db->env, options->dir, flags, FILE_MODE);
    /* LMDB can't create its lock file in a read-only directory. The lock file only
     * coordinates with writers, and no process can write to that directory. */
    if (options->read_only && (result == EROFS || result == EACCES))
        result = mdb_env_open(db->env, options->dir, flags | MDB_NOLOCK, FILE_MODE);
    return result;
}

static int open_tables(struct lmn_db *db, bool is_writer, MDB_txn *txn)
{
    for (int i = 0; i < LMN_DB_TABLES; i++) {
        int result =
            mdb_dbi_open(txn, table_names[i], is_writer ? MDB_CREATE : 0, &db->dbi[i]);
        if (result)
            return result == MDB_NOTFOUND ? MDB_INVALID : result;
    }
    return 0;
}

/* Reads the meta record, or creates it in a new database. An existing file without a meta
 * record is not a database of lemonspar and is left unchanged. */
static int read_or_create_meta(struct lmn_db *db, MDB_txn *txn, bool may_create,
                               struct lmn_db_meta *meta)
{
    int result = lmn_db_meta_read(txn, db, meta);

    if (result != MDB_NOTFOUND)
        return result;
    if (!may_create)
        return MDB_INVALID;
    *meta = (struct lmn_db_meta){.format = LMN_DB_FORMAT_VERSION,
                                 .next_lease = 1,
                                 .incarnation = lmn_db_new_incarnation()};
    return lmn_db_meta_write(txn, db, meta);
}

/* Opens the tables and verifies the format. */
static int prepare_tables(struct lmn_db *db, bool is_writer, bool is_new, char *err,
                          size_t len)
{
    struct lmn_db_meta meta;
    MDB_txn *txn;
    int result = mdb_txn_begin(db->env, NULL, is_writer ? 0 : MDB_RDONLY, &txn);

    if (result)
        return result;
    result = open_tables(db, is_writer, txn);
    if (!result)
        result = read_or_create_meta(db, txn, is_writer && is_new, &meta);
    if (!result && meta.format != LMN_DB_FORMAT_VERSION) {
        snprintf(err, len,
                 "%s: format version %u, this program reads %d; use a newer lemonspar",
                 db->dir, meta.format, LMN_DB_FORMAT_VERSION);
        result = MDB_VERSION_MISMATCH;
    }
    if (result) {
        mdb_txn_abort(txn);
        return result;
    }
    return mdb_txn_commit(txn);
}

static bool has_data_file(const char *dir)
{
    g_autofree char *path = g_build_filename(dir, "data.mdb", NULL);
    struct stat status;

    return stat(path, &status) == 0 && status.st_size > 0;
}

struct lmn_db *lmn_db_open(const struct lmn_db_options *options, char *err, size_t len)
{
    struct lmn_db *db = g_new0(struct lmn_db, 1);
    bool is_new = !has_data_file(options->dir);
    int result = 0;

    *err = '\0';
    db->dir = g_strdup(options->dir);
    db->lock_fd = -1;
    if (options->create && g_mkdir_with_parents(options->dir, DIRECTORY_MODE) != 0)
        result = errno;
    else if (is_new && !options->create)
        result = ENOENT;
    if (!result && !options->read_only && !lock_directory(db, err, len))
        result = EBUSY;
    if (!result)
        result = open_environment(db, options);
    if (!result)
        result = prepare_tables(db, !options->read_only, is_new, err, len);
    if (!result)
        return db;
    if (!*err)
        snprintf(err, len, "%s: %s; %s", options->dir, mdb_strerror(result),
                 lmn_db_error_advice(result));
    lmn_db_close(db);
    return NULL;
}

void lmn_db_close(struct lmn_db *db)
{
    if (db->env)
        mdb_env_close(db->env);
    if (db->lock_fd >= 0)
        close(db->lock_fd);
    g_free(db->dir);
    g_free(db);
}
