/** @file
 * Verifies a database: lmn_db_check() (kv_store/db.h).
 *
 * A child process opens the database for reading, reads all tables and writes a line for
 * each thing that is wrong into a pipe; the parent passes the lines on. It is a process
 * of its own since LMDB follows a damaged page wherever it points: its reader may crash.
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

/* --- the child: reads and compares --- */

struct check {
    int out; /* the pipe for the lines */
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

/* Opens a cursor; NULL if that fails, which is reported. */
static MDB_cursor *open_cursor(struct check *check, enum lmn_db_table table)
{
    MDB_cursor *cursor = NULL;
    int rc = mdb_cursor_open(check->txn, check->db->dbi[table], &cursor);

    if (rc)
        report_fault(check, "table %d: %s", (int)table, mdb_strerror(rc));
    return cursor;
}

/* Closes the cursor; reports it if the reading ended before the end of the table. */
static void close_cursor(struct check *check, MDB_cursor *cursor, const char *table,
                         int rc)
{
    if (rc != MDB_NOTFOUND)
        report_fault(check, "%s: reading stops: %s", table, mdb_strerror(rc));
    mdb_cursor_close(cursor);
}

static bool is_indexed_by_lease(struct check *check, uint64_t lease, const MDB_val *key)
{
    g_autoptr(GByteArray) bytes =
        lmn_db_lease_index_key(lease, key->mv_data, key->mv_size);
    MDB_val leased_key = {bytes->len, bytes->data}, value;

    return mdb_get(check->txn, check->db->dbi[LMN_DB_LEASED], &leased_key, &value) == 0;
}

/* What is read from all records of "data". */
struct data_totals {
    uint64_t count, digest;
    uint64_t leased; /* records that are attached to a lease */
};

static void check_record(struct check *check, const MDB_val *key, const MDB_val *value,
                         struct data_totals *totals)
{
    const char *name = key->mv_data;
    int name_len = (int)MIN(key->mv_size, LMN_DB_MAX_KEY_BYTES);
    struct lmn_db_record_header head;

    totals->count++;
    if (key->mv_size > LMN_DB_MAX_KEY_BYTES || !lmn_db_record_is_intact(key, value)) {
        report_fault(check, "record %.*s: the checksum does not hold", name_len, name);
        return;
    }
    memcpy(&head, value->mv_data, sizeof head);
    totals->digest ^= head.sum;
    if (head.revision > check->meta.revision)
        report_fault(check, "record %.*s: of a revision yet to come", name_len, name);
    if (head.lease && !is_indexed_by_lease(check, head.lease, key))
        report_fault(check, "record %.*s: missing among its lease's", name_len, name);
    totals->leased += head.lease != 0;
}

/* Returns how many records are attached to a lease. */
static uint64_t check_data(struct check *check)
{
    MDB_cursor *cursor = open_cursor(check, LMN_DB_DATA);
    struct data_totals totals = {0};
    MDB_val key, value;
    int rc;

    if (!cursor)
        return 0;
    for (rc = mdb_cursor_get(cursor, &key, &value, MDB_FIRST); !rc;
         rc = mdb_cursor_get(cursor, &key, &value, MDB_NEXT))
        check_record(check, &key, &value, &totals);
    close_cursor(check, cursor, "data", rc);
    if (totals.count != check->meta.count)
        report_fault(check,
                     "data: %" G_GUINT64_FORMAT
                     " records, there should be %" G_GUINT64_FORMAT,
                     totals.count, check->meta.count);
    if (totals.digest != check->meta.digest)
        report_fault(check, "data: the digest over all records does not hold");
    return totals.leased;
}

static void check_log(struct check *check)
{
    MDB_cursor *cursor = open_cursor(check, LMN_DB_LOG);
    uint64_t last = check->meta.compact_revision;
    MDB_val key, value;
    int rc;

    if (!cursor)
        return;
    for (rc = mdb_cursor_get(cursor, &key, &value, MDB_FIRST); !rc;
         rc = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
        struct lmn_db_item item;
        struct lmn_db_log_key log_key = {0, 0};
        if (!lmn_db_record_is_intact(&key, &value) ||
            !lmn_db_log_read(&key, &value, &item)) {
            report_fault(
                check, "log: a change after revision %" G_GUINT64_FORMAT " does not hold",
                last);
            continue;
        }
        memcpy(&log_key, key.mv_data, sizeof log_key);
        if (item.revision != GUINT64_FROM_BE(log_key.revision) || item.revision < last ||
            item.revision > check->meta.revision)
            report_fault(check, "log: revision %" G_GUINT64_FORMAT " out of order",
                         item.revision);
        last = MAX(last, item.revision);
    }
    close_cursor(check, cursor, "log", rc);
}

static void check_leases(struct check *check, uint64_t leased)
{
    MDB_cursor *cursor = open_cursor(check, LMN_DB_LEASES);
    MDB_val key, value;
    MDB_stat statistics = {0};
    int rc;

    if (!cursor)
        return;
    for (rc = mdb_cursor_get(cursor, &key, &value, MDB_FIRST); !rc;
         rc = mdb_cursor_get(cursor, &key, &value, MDB_NEXT))
        if (!lmn_db_record_is_intact(&key, &value))
            report_fault(check, "leases: a lease's checksum does not hold");
    close_cursor(check, cursor, "leases", rc);
    if (mdb_stat(check->txn, check->db->dbi[LMN_DB_LEASED], &statistics) != 0 ||
        statistics.ms_entries != leased)
        report_fault(check,
                     "leases: %zu keys are listed, %" G_GUINT64_FORMAT
                     " records have a lease",
                     statistics.ms_entries, leased);
}

/* Writes lines to `out`, and the meta record, once all has been read, to `meta_out`.
 * Returns the exit status of the child. */
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
    int rc = mdb_txn_begin(check.db->env, NULL, MDB_RDONLY, &check.txn);
    if (!rc)
        rc = lmn_db_meta_read(check.txn, check.db, &check.meta);
    if (rc) {
        report_fault(&check, "meta: %s", mdb_strerror(rc));
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

/* A damaged tree may crash the child. Its parent expects that: the signals must end it,
 * without a handler that was inherited, and without a core file. */
static void prepare_to_crash(void)
{
    static const int fatal_signals[] = {SIGSEGV, SIGBUS, SIGABRT, SIGFPE, SIGILL};
    const struct rlimit no_core = {0, 0};

    for (guint i = 0; i < G_N_ELEMENTS(fatal_signals); i++)
        signal(fatal_signals[i], SIG_DFL);
    setrlimit(RLIMIT_CORE, &no_core);
}

/* --- the parent --- */

/* Passes the child's lines on until it closes the pipe; closes `fd`. Returns how many
 * there were. */
static unsigned relay_lines(int fd, void (*say)(void *arg, const char *what), void *arg)
{
    FILE *in = fdopen(fd, "r");
    char *line = NULL;
    size_t capacity = 0;
    unsigned count = 0;

    while (in && getline(&line, &capacity, in) > 0) {
        g_strchomp(line);
        say(arg, line);
        count++;
    }
    free(line);
    if (in)
        fclose(in);
    return count;
}

/* Waits for the child and judges how it ended. Returns how many things were said. */
static unsigned check_child_status(pid_t pid, unsigned line_count,
                                   void (*say)(void *arg, const char *what), void *arg)
{
    char what[96];
    int status = 0;

    if (pid < 0 || waitpid(pid, &status, 0) != pid) {
        say(arg, "the reading process can't be started");
        return 1;
    }
    if (WIFSIGNALED(status)) {
        snprintf(what, sizeof what,
                 "the tree of pages is damaged: its reader ended by signal %d",
                 WTERMSIG(status));
        say(arg, what);
        return 1;
    }
    if (WEXITSTATUS(status) && !line_count) {
        say(arg, "the tree of pages is damaged: its reader gave up");
        return 1;
    }
    return 0;
}

unsigned lmn_db_check(const char *dir, void (*say)(void *arg, const char *what),
                      void *arg, struct lmn_db_meta *meta)
{
    int lines[2], metas[2];

    memset(meta, 0, sizeof *meta);
    if (pipe(lines) != 0 || pipe(metas) != 0) {
        say(arg, "no pipe can be had");
        return 1;
    }
    fflush(NULL); /* or the child would write what is buffered a second time */
    pid_t pid = fork();
    if (pid == 0) {
        prepare_to_crash();
        close(lines[0]);
        close(metas[0]);
        _exit(check_in_child(dir, lines[1], metas[1]));
    }
    close(lines[1]);
    close(metas[1]);
    unsigned line_count = relay_lines(lines[0], say, arg);
    if (read(metas[0], meta, sizeof *meta) != sizeof *meta)
        memset(meta, 0, sizeof *meta);
    close(metas[0]);
    return line_count + check_child_status(pid, line_count, say, arg);
}
