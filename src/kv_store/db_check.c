/** @file
 * Verifies a database: lmn_db_check() (kv_store/db.h).
 *
 * A child process opens the database read-only, reads all tables and writes a line for
 * each fault to a pipe; the parent passes the lines to the caller. A separate process is
 * needed since LMDB does not validate page references: reading a damaged page may crash.
 */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/* --- the child process: reads and verifies --- */

struct check {
    int out; /* write end of the pipe for fault lines */
    unsigned fault_count;
    struct lmn_db *db;
    MDB_txn *txn;
    struct lmn_db_meta meta;
};

static void report_fault(struct check *check, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
static void report_fault(struct check *check, const char *format, ...)
{
    char line[512];
    va_list arguments;

    check->fault_count++;
    va_start(arguments, format);
    int len = vsnprintf(line, sizeof line - 1, format, arguments);
    va_end(arguments);
    len = MIN(len, (int)sizeof line - 2);
    line[len++] = '\n';
    if (write(check->out, line, (size_t)len) != len)
        check->fault_count++;
}

/* Opens a cursor on the table. Reports a failure and returns NULL. */
static MDB_cursor *open_cursor(struct check *check, enum lmn_db_table table)
{
    MDB_cursor *cursor = NULL;
    int result = mdb_cursor_open(check->txn, check->db->dbi[table], &cursor);

    if (result)
        report_fault(check, "table %d: %s", (int)table, mdb_strerror(result));
    return cursor;
}

/* Closes the cursor, after reporting a fault if `result`, the result of the last read, is
 * not the end of the table. */
static void close_cursor(struct check *check, MDB_cursor *cursor, const char *table,
                         int result)
{
    if (result != MDB_NOTFOUND)
        report_fault(check, "%s: can't read the rest of the table: %s", table,
                     mdb_strerror(result));
    mdb_cursor_close(cursor);
}

static bool is_indexed_by_lease(struct check *check, uint64_t lease, const MDB_val *key)
{
    g_autoptr(GByteArray) bytes =
        lmn_db_lease_index_key(lease, key->mv_data, key->mv_size);
    MDB_val leased_key = {bytes->len, bytes->data}, value;

    return mdb_get(check->txn, check->db->dbi[LMN_DB_LEASED], &leased_key, &value) == 0;
}

/* Totals over all records of "data". */
struct data_totals {
    uint64_t count, digest;
    uint64_t leased; /* number of records with a lease */
};

static void check_record(struct check *check, const MDB_val *key, const MDB_val *value,
                         struct data_totals *totals)
{
    const char *name = key->mv_data;
    int name_len = (int)MIN(key->mv_size, LMN_DB_MAX_KEY_BYTES);
    struct lmn_db_record_header header;

    totals->count++;
    if (key->mv_size > LMN_DB_MAX_KEY_BYTES || !lmn_db_record_is_intact(key, value)) {
        report_fault(check, "record %.*s: wrong checksum", name_len, name);
        return;
    }
    memcpy(&header, value->mv_data, sizeof header);
    totals->digest ^= header.checksum;
    if (header.revision > check->meta.revision)
        report_fault(check, "record %.*s: revision is newer than the database's",
                     name_len, name);
    if (header.lease && !is_indexed_by_lease(check, header.lease, key))
        report_fault(check, "record %.*s: missing in the index of its lease", name_len,
                     name);
    totals->leased += header.lease != 0;
}

/* Verifies "data". Returns the number of records with a lease. */
static uint64_t check_data(struct check *check)
{
    MDB_cursor *cursor = open_cursor(check, LMN_DB_DATA);
    struct data_totals totals = {0};
    MDB_val key, value;
    int result;

    if (!cursor)
        return 0;
    for (result = mdb_cursor_get(cursor, &key, &value, MDB_FIRST); !result;
         result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT))
        check_record(check, &key, &value, &totals);
    close_cursor(check, cursor, "data", result);
    if (totals.count != check->meta.count)
        report_fault(check,
                     "data: %" G_GUINT64_FORMAT " records, expected %" G_GUINT64_FORMAT,
                     totals.count, check->meta.count);
    if (totals.digest != check->meta.digest)
        report_fault(check, "data: wrong digest over all records");
    return totals.leased;
}

static void check_log(struct check *check)
{
    MDB_cursor *cursor = open_cursor(check, LMN_DB_LOG);
    uint64_t last = check->meta.compact_revision;
    MDB_val key, value;
    int result;

    if (!cursor)
        return;
    for (result = mdb_cursor_get(cursor, &key, &value, MDB_FIRST); !result;
         result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
        struct lmn_db_item item;
        struct lmn_db_log_key log_key = {0, 0};
        if (!lmn_db_record_is_intact(&key, &value) ||
            !lmn_db_log_read(&key, &value, &item)) {
            report_fault(check,
                         "log: a change after revision %" G_GUINT64_FORMAT " is damaged",
                         last);
            continue;
        }
        memcpy(&log_key, key.mv_data, sizeof log_key);
        if (item.revision != GUINT64_FROM_BE(log_key.revision) || item.revision < last ||
            item.revision > check->meta.revision)
            report_fault(check, "log: revision %" G_GUINT64_FORMAT " is out of order",
                         item.revision);
        last = MAX(last, item.revision);
    }
    close_cursor(check, cursor, "log", result);
}

static void check_leases(struct check *check, uint64_t leased)
{
    MDB_cursor *cursor = open_cursor(check, LMN_DB_LEASES);
    MDB_val key, value;
    MDB_stat statistics = {0};
    int result;

    if (!cursor)
        return;
    for (result = mdb_cursor_get(cursor, &key, &value, MDB_FIRST); !result;
         result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT))
        if (!lmn_db_record_is_intact(&key, &value))
            report_fault(check, "leases: wrong checksum of a lease");
    close_cursor(check, cursor, "leases", result);
    if (mdb_stat(check->txn, check->db->dbi[LMN_DB_LEASED], &statistics) != 0 ||
        statistics.ms_entries != leased)
        report_fault(check,
                     "leases: the index has %zu keys, but %" G_GUINT64_FORMAT
                     " records have a lease",
                     statistics.ms_entries, leased);
}

/* Verifies all tables. Writes a line for each fault to `out` and, after all tables were
 * read, the meta record to `meta_out`. Returns the exit status of the child. */
static int check_in_child(const char *dir, int out, int meta_out)
{
    const struct lmn_db_options options = {.dir = dir, .read_only = true};
    struct check check = {.out = out};
    char err[512];

    check.db = lmn_db_open(&options, err, sizeof err);
    if (!check.db) {
        report_fault(&check, "%s", err);
        return 1;
    }
    int result = mdb_txn_begin(check.db->env, NULL, MDB_RDONLY, &check.txn);
    if (!result)
        result = lmn_db_meta_read(check.txn, check.db, &check.meta);
    if (result) {
        report_fault(&check, "meta: %s", mdb_strerror(result));
        return 1;
    }
    uint64_t leased = check_data(&check);
    check_log(&check);
    check_leases(&check, leased);
    mdb_txn_abort(check.txn);
    lmn_db_close(check.db);
    if (write(meta_out, &check.meta, sizeof check.meta) != sizeof check.meta)
        return 1;
    return check.fault_count ? 1 : 0;
}

/* A damaged database may crash the child, which the parent detects by the signal. The
 * signal must end the child without running an inherited handler or writing a core file.
 */
static void prepare_to_crash(void)
{
    static const int fatal_signals[] = {SIGSEGV, SIGBUS, SIGABRT, SIGFPE, SIGILL};
    const struct rlimit no_core = {0, 0};

    for (guint i = 0; i < G_N_ELEMENTS(fatal_signals); i++)
        signal(fatal_signals[i], SIG_DFL);
    setrlimit(RLIMIT_CORE, &no_core);
}

/* --- the parent process --- */

/* Passes the child's lines to `report` until the child closes the pipe; closes `fd`.
 * Returns the number of lines. */
static unsigned forward_lines(int fd, void (*report)(void *arg, const char *what),
                              void *arg)
{
    FILE *in = fdopen(fd, "r");
    char *line = NULL;
    size_t capacity = 0;
    unsigned count = 0;

    while (in && getline(&line, &capacity, in) > 0) {
        g_strchomp(line);
        report(arg, line);
        count++;
    }
    free(line);
    if (in)
        fclose(in);
    return count;
}

/* Waits for the child and reports a fault if it was not started, crashed, or failed
 * without reporting one. Returns the number of faults reported here. */
static unsigned check_child_status(pid_t pid, unsigned line_count,
                                   void (*report)(void *arg, const char *what), void *arg)
{
    char what[96];
    int status = 0;

    if (pid < 0 || waitpid(pid, &status, 0) != pid) {
        report(arg, "can't start the process that reads the database");
        return 1;
    }
    if (WIFSIGNALED(status)) {
        snprintf(what, sizeof what,
                 "the tree of pages is damaged: reading it ended with signal %d",
                 WTERMSIG(status));
        report(arg, what);
        return 1;
    }
    if (WEXITSTATUS(status) && !line_count) {
        report(arg, "the tree of pages is damaged: reading it failed");
        return 1;
    }
    return 0;
}

unsigned lmn_db_check(const char *dir, void (*report)(void *arg, const char *what),
                      void *arg, struct lmn_db_meta *meta)
{
    int line_pipe[2], meta_pipe[2];

    memset(meta, 0, sizeof *meta);
    if (pipe(line_pipe) != 0 || pipe(meta_pipe) != 0) {
        report(arg, "can't create a pipe to the process that reads the database");
        return 1;
    }
    fflush(NULL); /* else the child would write the buffered output a second time */
    pid_t pid = fork();
    if (pid == 0) {
        prepare_to_crash();
        close(line_pipe[0]);
        close(meta_pipe[0]);
        _exit(check_in_child(dir, line_pipe[1], meta_pipe[1]));
    }
    close(line_pipe[1]);
    close(meta_pipe[1]);
    unsigned line_count = forward_lines(line_pipe[0], report, arg);
    if (read(meta_pipe[0], meta, sizeof *meta) != sizeof *meta)
        memset(meta, 0, sizeof *meta);
    close(meta_pipe[0]);
    return line_count + check_child_status(pid, line_count, report, arg);
}
