/* The database of the key-value store: committed transactions survive restarts, torn
 * writes and a full disk, and lmn_db_check() finds damage to the file. */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

static char dir[128], err[512];

static char *file_in(const char *name)
{
    return g_build_filename(dir, name, NULL);
}

static void clear_dir(const char *directory)
{
    GDir *entries = g_dir_open(directory, 0, NULL);
    const char *name;

    while (entries && (name = g_dir_read_name(entries))) {
        char *path = g_build_filename(directory, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    if (entries)
        g_dir_close(entries);
    g_rmdir(directory);
}

static int set_up_directory(void **state)
{
    (void)state;
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-store-%d", (int)getpid());
    clear_dir(dir);
    return 0;
}

static int remove_directory(void **state)
{
    (void)state;
    clear_dir(dir);
    return 0;
}

static struct lmn_db *open_database(void)
{
    const struct lmn_db_options options = {.dir = dir, .map_gb = 1, .create = true};
    struct lmn_db *db = lmn_db_open(&options, err, sizeof err);
    if (!db)
        fail_msg("%s", err);
    return db;
}

static enum lmn_db_outcome apply_change(struct lmn_db_batch *batch, const char *key,
                                        uint64_t required_revision, bool conditional,
                                        const char *value, uint64_t lease,
                                        uint64_t *revision)
{
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    struct lmn_db_condition condition = {key, required_revision};
    struct lmn_db_change change = {key, value, value ? strlen(value) : 0, lease};
    const struct lmn_db_txn txn = {&condition, &change, conditional, 1};
    enum lmn_db_outcome outcome = lmn_db_apply(batch, &txn, revision, failed);
    if (outcome == LMN_DB_CONFLICT)
        assert_string_equal(failed->pdata[0], key);
    g_ptr_array_free(failed, TRUE);
    return outcome;
}

static void commit_put(struct lmn_db *db, const char *key, const char *value)
{
    struct lmn_db_batch *batch = lmn_db_begin(db, err, sizeof err);
    uint64_t revision;
    assert_non_null(batch);
    assert_int_equal(apply_change(batch, key, 0, false, value, 0, &revision),
                     LMN_DB_APPLIED);
    assert_int_equal(lmn_db_commit(batch, err, sizeof err), 0);
}

static void append_fault(void *arg, const char *what)
{
    g_string_append_printf(arg, "%s\n", what);
}

static unsigned check(struct lmn_db_meta *meta)
{
    GString *faults = g_string_new(NULL);
    unsigned count = lmn_db_check(dir, append_fault, faults, meta);
    g_string_free(faults, TRUE);
    return count;
}

/* --- comparison with a reference model in memory --- */

struct model_record {
    char *value;
    uint64_t revision, lease;
};

static void free_model_record(gpointer p)
{
    g_free(((struct model_record *)p)->value);
    g_free(p);
}

static bool compare_with_model(void *arg, const struct lmn_db_item *item)
{
    GHashTable *model = arg;
    const struct model_record *record = g_hash_table_lookup(model, item->key);
    assert_non_null(record);
    assert_int_equal(item->revision, record->revision);
    assert_int_equal(item->lease, record->lease);
    assert_int_equal(item->len, strlen(record->value));
    assert_memory_equal(item->value, record->value, item->len);
    g_hash_table_remove(model, item->key);
    return true;
}

static void remove_leased(GHashTable *model, uint64_t lease)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, model);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (((struct model_record *)value)->lease == lease)
            g_hash_table_iter_remove(&iterator);
}

/* Random transactions, leases, aborted batches and restarts leave the database in the
 * state of a hash table to which the same changes were made. */
static void random_transactions_match_the_model(void **state)
{
    GHashTable *model =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_model_record);
    GRand *rng = g_rand_new_with_seed(7);
    struct lmn_db *db = open_database();
    uint64_t lease = 0, last = 0;
    struct lmn_db_meta meta;
    (void)state;

    for (int step = 0; step < 400; step++) {
        struct lmn_db_batch *batch = lmn_db_begin(db, err, sizeof err);
        assert_non_null(batch);
        if (g_rand_int_range(rng, 0, 10) == 0) {
            uint64_t unused;
            apply_change(batch, "given/up", 0, false, "x", 0, &unused);
            lmn_db_abort(batch);
            continue;
        }
        for (int remaining = g_rand_int_range(rng, 1, 8); remaining > 0; remaining--) {
            char key[32], value[64];
            uint64_t revision, is_conflict = g_rand_int_range(rng, 0, 4) == 0;
            g_snprintf(key, sizeof key, "k/%d", g_rand_int_range(rng, 0, 40));
            g_snprintf(value, sizeof value, "value %d of %d", remaining, step);
            const struct model_record *old = g_hash_table_lookup(model, key);
            bool is_delete = g_rand_int_range(rng, 0, 5) == 0;
            uint64_t record_lease = lease && g_rand_int_range(rng, 0, 3) == 0 ? lease : 0;
            enum lmn_db_outcome outcome = apply_change(
                batch, key, (old ? old->revision : 0) + is_conflict, true,
                is_delete ? NULL : value, is_delete ? 0 : record_lease, &revision);
            assert_int_equal(outcome, is_conflict ? LMN_DB_CONFLICT : LMN_DB_APPLIED);
            if (is_conflict)
                continue;
            assert_int_equal(revision, lmn_db_batch_revision(batch));
            assert_true(revision > last);
            last = revision;
            g_hash_table_remove(model, key);
            if (is_delete)
                continue;
            struct model_record *record = g_new0(struct model_record, 1);
            *record = (struct model_record){g_strdup(value), revision, record_lease};
            g_hash_table_insert(model, g_strdup(key), record);
        }
        if (!lease) {
            lease = lmn_db_grant_lease(batch, 5000);
            assert_true(lease > 0);
        } else if (g_rand_int_range(rng, 0, 6) == 0) {
            uint64_t revision;
            assert_true(lmn_db_revoke_lease(batch, lease));
            remove_leased(model, lease);
            assert_int_equal(apply_change(batch, "k/x", 0, false, "x", lease, &revision),
                             LMN_DB_NO_LEASE);
            last = lmn_db_batch_revision(batch);
            lease = 0;
        }
        assert_int_equal(lmn_db_commit(batch, err, sizeof err), 0);
        if (g_rand_int_range(rng, 0, 40) == 0) {
            lmn_db_close(db);
            db = open_database();
        }
    }
    struct lmn_db_reader *view = lmn_db_reader_new(db);
    assert_int_equal(lmn_db_view_begin(view, &meta), 0);
    assert_int_equal(meta.revision, last);
    assert_int_equal(meta.count, g_hash_table_size(model));
    lmn_db_list(view, "k/", NULL, compare_with_model, model);
    assert_int_equal(g_hash_table_size(model), 0);
    lmn_db_view_end(view);
    lmn_db_reader_free(view);
    lmn_db_close(db);
    assert_int_equal(check(&meta), 0);
    g_rand_free(rng);
    g_hash_table_destroy(model);
}

static bool count_change(void *arg, const struct lmn_db_item *item)
{
    uint64_t *count_and_last = arg;
    assert_true(item->revision >= count_and_last[1]);
    count_and_last[1] = item->revision;
    count_and_last[0]++;
    return true;
}

static void restart_keeps_the_newest_logged_changes(void **state)
{
    struct lmn_db *db = open_database();
    struct lmn_db_meta meta;
    uint64_t revision, count_and_last[2] = {0, 0};
    (void)state;

    for (int batch = 0; batch < 13; batch++) {
        struct lmn_db_batch *open_batch = lmn_db_begin(db, err, sizeof err);
        for (int i = 0; i < 1000; i++)
            assert_int_equal(apply_change(open_batch, "k", 0, false, "v", 0, &revision),
                             LMN_DB_APPLIED);
        assert_int_equal(lmn_db_commit(open_batch, err, sizeof err), 0);
    }
    lmn_db_close(db);
    db = open_database();
    struct lmn_db_reader *view = lmn_db_reader_new(db);
    assert_int_equal(lmn_db_view_begin(view, &meta), 0);
    /* The changes up to 3000 were removed: a watch from 2999 is answered 410. */
    assert_int_equal(meta.compact_revision, 3000);
    lmn_db_list_changes(view, meta.compact_revision, count_change, count_and_last);
    assert_int_equal(count_and_last[0], LMN_DB_MAX_LOGGED_CHANGES);
    assert_int_equal(count_and_last[1], 13000);
    lmn_db_view_end(view);
    lmn_db_reader_free(view);
    lmn_db_close(db);
}

/* --- crash of the machine during a write --- */

enum { PAGE = 4096 };

static void read_file(const char *name, GByteArray *contents)
{
    char *path = file_in(name), *bytes;
    gsize size;
    assert_true(g_file_get_contents(path, &bytes, &size, NULL));
    g_byte_array_set_size(contents, 0);
    g_byte_array_append(contents, (guint8 *)bytes, (guint)size);
    g_free(bytes);
    g_free(path);
}

static void write_file(const char *name, const GByteArray *contents)
{
    char *path = file_in(name);
    assert_true(g_file_set_contents(path, (char *)contents->data, contents->len, NULL));
    g_free(path);
}

static uint64_t revision_now(void)
{
    struct lmn_db *db = open_database();
    struct lmn_db_reader *reader = lmn_db_reader_new(db);
    struct lmn_db_meta meta;
    assert_int_equal(lmn_db_view_begin(reader, &meta), 0);
    lmn_db_view_end(reader);
    lmn_db_reader_free(reader);
    lmn_db_close(db);
    return meta.revision;
}

/* When a machine crashes during a commit, each changed page may be on the disk
 * completely, up to any sector, or not at all. As long as the root page, which is written
 * last, is not there, the database is in the state before the commit. */
static void a_torn_commit_leaves_the_state_before_it(void **state)
{
    GByteArray *before = g_byte_array_new(), *after = g_byte_array_new();
    GRand *rng = g_rand_new_with_seed(11);
    struct lmn_db_meta meta;
    (void)state;

    for (int round = 0; round < 12; round++) {
        struct lmn_db *db = open_database();
        for (int i = 0; i < 5; i++) {
            char key[16], value[900];
            g_snprintf(key, sizeof key, "k/%d", g_rand_int_range(rng, 0, 30));
            memset(value, 'a' + round, sizeof value - 1);
            value[g_rand_int_range(rng, 1, sizeof value)] = '\0';
            if (i == 4) {
                lmn_db_close(db);
                read_file("data.mdb", before);
                db = open_database();
            }
            commit_put(db, key, value);
        }
        lmn_db_close(db);
        read_file("data.mdb", after);
        uint64_t revision = revision_now();
        for (int variant = 0; variant < 12; variant++) {
            GByteArray *torn = g_byte_array_new();
            g_byte_array_append(torn, after->data, after->len);
            /* Pages 0 and 1 are the root pages. */
            memcpy(torn->data, before->data, 2 * PAGE);
            for (guint page = 2; page * PAGE < before->len; page++) {
                guint intact_bytes = (guint)g_rand_int_range(rng, 0, 9) * 512;
                memcpy(torn->data + page * PAGE + intact_bytes,
                       before->data + page * PAGE + intact_bytes, PAGE - intact_bytes);
            }
            if (g_rand_boolean(rng))
                g_byte_array_set_size(torn, before->len);
            write_file("data.mdb", torn);
            assert_int_equal(revision_now(), revision - 1);
            assert_int_equal(check(&meta), 0);
            g_byte_array_unref(torn);
        }
        write_file("data.mdb", after);
        assert_int_equal(revision_now(), revision);
    }
    g_byte_array_unref(before);
    g_byte_array_unref(after);
    g_rand_free(rng);
}

static void check_finds_bit_flips_and_truncations(void **state)
{
    GByteArray *intact = g_byte_array_new();
    GRand *rng = g_rand_new_with_seed(13);
    struct lmn_db *db = open_database();
    struct lmn_db_meta meta;
    unsigned found = 0;
    (void)state;

    for (int i = 0; i < 60; i++) {
        char key[16], value[200];
        g_snprintf(key, sizeof key, "k/%d", i);
        g_snprintf(value, sizeof value, "MARK%d-%0150d", i, i);
        commit_put(db, key, value);
    }
    lmn_db_close(db);
    read_file("data.mdb", intact);
    assert_int_equal(check(&meta), 0);
    assert_int_equal(meta.count, 60);
    for (int trial = 0; trial < 25; trial++) {
        GByteArray *damaged = g_byte_array_new();
        g_byte_array_append(damaged, intact->data, intact->len);
        /* Unused old pages contain marks too. Flipping a bit in all copies of one mark
         * surely damages the copy that is in use. */
        char mark[32];
        g_snprintf(mark, sizeof mark, "MARK%d-", g_rand_int_range(rng, 0, 60));
        guint offset = (guint)g_rand_int_range(rng, 0, 140);
        for (guint i = 0; i + 160 < damaged->len; i++)
            if (!memcmp(damaged->data + i, mark, strlen(mark)))
                damaged->data[i + offset] ^= (guint8)(1u << g_rand_int_range(rng, 0, 8));
        write_file("data.mdb", damaged);
        found += check(&meta) > 0;
        g_byte_array_unref(damaged);
    }
    assert_int_equal(found, 25);
    for (int trial = 0; trial < 8; trial++) {
        GByteArray *damaged = g_byte_array_new();
        g_byte_array_append(damaged, intact->data,
                            (guint)g_rand_int_range(rng, 1, (gint)intact->len / 2));
        write_file("data.mdb", damaged);
        assert_true(check(&meta) > 0);
        g_byte_array_unref(damaged);
    }
    g_byte_array_unref(intact);
    g_rand_free(rng);
}

/* --- errors of the disk and of the operator --- */

static void a_full_disk_keeps_committed_records(void **state)
{
    struct lmn_db *db = open_database();
    struct rlimit old_limit, small_limit;
    struct lmn_db_meta meta;
    char *big = g_malloc0(60001);
    int failed = 0;
    uint64_t revision;
    (void)state;

    commit_put(db, "kept", "v");
    memset(big, 'x', 60000);
    signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &old_limit);
    small_limit = old_limit;
    small_limit.rlim_cur = 200000;
    setrlimit(RLIMIT_FSIZE, &small_limit);
    for (int i = 0; i < 10; i++) {
        char key[16];
        struct lmn_db_batch *batch = lmn_db_begin(db, err, sizeof err);
        assert_non_null(batch);
        g_snprintf(key, sizeof key, "big/%d", i);
        apply_change(batch, key, 0, false, big, 0, &revision);
        int result = lmn_db_commit(batch, err, sizeof err);
        assert_true(result == 0 || result == -1);
        failed += result != 0;
    }
    setrlimit(RLIMIT_FSIZE, &old_limit);
    assert_true(failed > 0);
    commit_put(db, "after", "room again");
    struct lmn_db_reader *reader = lmn_db_reader_new(db);
    struct lmn_db_item item;
    assert_int_equal(lmn_db_view_begin(reader, &meta), 0);
    assert_true(lmn_db_get(reader, "kept", &item) && lmn_db_get(reader, "after", &item));
    assert_int_equal(meta.count, 2 + 10 - failed);
    lmn_db_view_end(reader);
    lmn_db_reader_free(reader);
    lmn_db_close(db);
    assert_int_equal(check(&meta), 0);
    g_free(big);
}

static void assert_open_fails(const struct lmn_db_options *options, const char *word)
{
    assert_null(lmn_db_open(options, err, sizeof err));
    if (!strstr(err, word) || !strstr(err, options->dir))
        fail_msg("\"%s\" names neither %s nor %s", err, options->dir, word);
}

static void open_errors_name_directory_and_cause(void **state)
{
    const struct lmn_db_options create_options = {
        .dir = dir, .map_gb = 1, .create = true};
    const struct lmn_db_options read_options = {
        .dir = dir, .map_gb = 1, .read_only = true};
    const struct lmn_db_options missing_options = {.dir = "/proc/lemonspar/none",
                                                   .create = true};
    GByteArray *junk = g_byte_array_new();
    struct lmn_db_meta meta;
    MDB_txn *txn;
    (void)state;

    assert_open_fails(&missing_options, "/proc");
    assert_open_fails(&read_options, "no database");
    struct lmn_db *db = open_database();
    assert_open_fails(&create_options, "serves this directory");
    /* Read-only processes can open the database while it is served. */
    struct lmn_db *reader = lmn_db_open(&read_options, err, sizeof err);
    assert_non_null(reader);
    lmn_db_close(reader);
    /* A database of a newer format version. */
    assert_int_equal(mdb_txn_begin(db->env, NULL, 0, &txn), 0);
    assert_int_equal(lmn_db_meta_read(txn, db, &meta), 0);
    meta.format = LMN_DB_FORMAT_VERSION + 1;
    assert_int_equal(lmn_db_meta_write(txn, db, &meta), 0);
    assert_int_equal(mdb_txn_commit(txn), 0);
    lmn_db_close(db);
    assert_open_fails(&create_options, "use a newer lemonspar");
    /* A file that is not a database. */
    g_byte_array_set_size(junk, 9000);
    memset(junk->data, 0x5a, junk->len);
    write_file("data.mdb", junk);
    assert_open_fails(&create_options, "not a database of lemonspar");
    g_byte_array_unref(junk);
}

static void a_restored_backup_advances_the_revision(void **state)
{
    struct lmn_db *db = open_database();
    struct lmn_db_meta before, after;
    char *backup = file_in("copy"), *restored_dir = g_strdup_printf("%s-2", dir), *bytes;
    gsize size;
    (void)state;

    commit_put(db, "a", "1");
    assert_int_equal(lmn_db_backup(dir, backup, err, sizeof err), 0);
    assert_int_equal(check(&before), 0);
    for (int i = 0; i < 5; i++)
        commit_put(db, "a", "lost with the machine");
    lmn_db_close(db);
    clear_dir(restored_dir);
    assert_int_equal(lmn_db_restore(backup, restored_dir, err, sizeof err), 0);
    /* A restore refuses to overwrite a database. */
    assert_int_equal(lmn_db_restore(backup, restored_dir, err, sizeof err), -1);
    g_strlcpy(dir, restored_dir, sizeof dir);
    assert_int_equal(check(&after), 0);
    assert_true(after.revision > before.revision + 1000000);
    assert_int_equal(after.compact_revision, after.revision);
    assert_true(after.incarnation != before.incarnation);
    /* A truncated backup is refused, and no database is created. */
    assert_true(g_file_get_contents(backup, &bytes, &size, NULL));
    assert_true(g_file_set_contents(backup, bytes, (gssize)size / 3, NULL));
    clear_dir(restored_dir);
    assert_int_equal(lmn_db_restore(backup, restored_dir, err, sizeof err), -1);
    assert_false(g_file_test(restored_dir, G_FILE_TEST_IS_REGULAR));
    g_free(bytes);
    clear_dir(restored_dir);
    set_up_directory(NULL);
    g_free(backup);
    g_free(restored_dir);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(random_transactions_match_the_model,
                                        set_up_directory, remove_directory),
        cmocka_unit_test_setup_teardown(restart_keeps_the_newest_logged_changes,
                                        set_up_directory, remove_directory),
        cmocka_unit_test_setup_teardown(a_torn_commit_leaves_the_state_before_it,
                                        set_up_directory, remove_directory),
        cmocka_unit_test_setup_teardown(check_finds_bit_flips_and_truncations,
                                        set_up_directory, remove_directory),
        cmocka_unit_test_setup_teardown(a_full_disk_keeps_committed_records,
                                        set_up_directory, remove_directory),
        cmocka_unit_test_setup_teardown(open_errors_name_directory_and_cause,
                                        set_up_directory, remove_directory),
        cmocka_unit_test_setup_teardown(a_restored_backup_advances_the_revision,
                                        set_up_directory, remove_directory),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
