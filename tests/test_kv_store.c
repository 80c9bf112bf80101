/* The state service's database: what is committed stays, whatever happens to the process,
 * the disk or the file; what is damaged is found. */
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

static void clear_dir(const char *of)
{
    GDir *d = g_dir_open(of, 0, NULL);
    const char *name;

    while (d && (name = g_dir_read_name(d))) {
        char *p = g_build_filename(of, name, NULL);
        g_unlink(p);
        g_free(p);
    }
    if (d)
        g_dir_close(d);
    g_rmdir(of);
}

static int fresh(void **state)
{
    (void)state;
    g_snprintf(dir, sizeof dir, "/tmp/lemonspar-store-%d", (int)getpid());
    clear_dir(dir);
    return 0;
}

static int wipe(void **state)
{
    (void)state;
    clear_dir(dir);
    return 0;
}

static struct lmn_db *must_open(void)
{
    const struct lmn_db_options o = {.dir = dir, .map_gb = 1, .create = true};
    struct lmn_db *db = lmn_db_open(&o, err, sizeof err);
    if (!db)
        fail_msg("%s", err);
    return db;
}

static enum lmn_db_outcome apply1(struct lmn_db_batch *batch, const char *key,
                                  uint64_t cond, bool conditional, const char *value,
                                  uint64_t lease, uint64_t *rev)
{
    GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
    struct lmn_db_condition c = {key, cond};
    struct lmn_db_change w = {key, value, value ? strlen(value) : 0, lease};
    const struct lmn_db_txn t = {&c, &w, conditional, 1};
    enum lmn_db_outcome r = lmn_db_apply(batch, &t, rev, failed);
    if (r == LMN_DB_CONFLICT)
        assert_string_equal(failed->pdata[0], key);
    g_ptr_array_free(failed, TRUE);
    return r;
}

static void put1(struct lmn_db *db, const char *key, const char *value)
{
    struct lmn_db_batch *batch = lmn_db_begin(db, err, sizeof err);
    uint64_t revision;
    assert_non_null(batch);
    assert_int_equal(apply1(batch, key, 0, false, value, 0, &revision), LMN_DB_APPLIED);
    assert_int_equal(lmn_db_commit(batch, err, sizeof err), 0);
}

static void count_wrong(void *arg, const char *what)
{
    g_string_append_printf(arg, "%s\n", what);
}

static unsigned check(struct lmn_db_meta *meta)
{
    GString *s = g_string_new(NULL);
    unsigned n = lmn_db_check(dir, count_wrong, s, meta);
    g_string_free(s, TRUE);
    return n;
}

/* --- against a naive model --- */

struct naive {
    char *value;
    uint64_t rev, lease;
};

static void free_naive(gpointer p)
{
    g_free(((struct naive *)p)->value);
    g_free(p);
}

static bool compare(void *arg, const struct lmn_db_item *item)
{
    GHashTable *model = arg;
    const struct naive *n = g_hash_table_lookup(model, item->key);
    assert_non_null(n);
    assert_int_equal(item->revision, n->rev);
    assert_int_equal(item->lease, n->lease);
    assert_int_equal(item->len, strlen(n->value));
    assert_memory_equal(item->value, n->value, item->len);
    g_hash_table_remove(model, item->key);
    return true;
}

static void forget_leased(GHashTable *model, uint64_t lease)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, model);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (((struct naive *)v)->lease == lease)
            g_hash_table_iter_remove(&it);
}

/* Random transactions, leases, given-up batches and restarts leave what a table of the
 * same would. */
static void transactions_follow_a_naive_model(void **state)
{
    GHashTable *model =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_naive);
    GRand *r = g_rand_new_with_seed(7);
    struct lmn_db *db = must_open();
    uint64_t lease = 0, last = 0;
    struct lmn_db_meta meta;
    (void)state;

    for (int step = 0; step < 400; step++) {
        struct lmn_db_batch *batch = lmn_db_begin(db, err, sizeof err);
        assert_non_null(batch);
        if (g_rand_int_range(r, 0, 10) == 0) {
            uint64_t unused;
            apply1(batch, "given/up", 0, false, "x", 0, &unused);
            lmn_db_abort(batch);
            continue;
        }
        for (int k = g_rand_int_range(r, 1, 8); k > 0; k--) {
            char key[32], value[64];
            uint64_t revision, wrong = g_rand_int_range(r, 0, 4) == 0;
            g_snprintf(key, sizeof key, "k/%d", g_rand_int_range(r, 0, 40));
            g_snprintf(value, sizeof value, "value %d of %d", k, step);
            const struct naive *old = g_hash_table_lookup(model, key);
            bool gone = g_rand_int_range(r, 0, 5) == 0;
            uint64_t with = lease && g_rand_int_range(r, 0, 3) == 0 ? lease : 0;
            enum lmn_db_outcome o =
                apply1(batch, key, (old ? old->rev : 0) + wrong, true,
                       gone ? NULL : value, gone ? 0 : with, &revision);
            assert_int_equal(o, wrong ? LMN_DB_CONFLICT : LMN_DB_APPLIED);
            if (wrong)
                continue;
            assert_int_equal(revision, lmn_db_batch_revision(batch));
            assert_true(revision > last);
            last = revision;
            g_hash_table_remove(model, key);
            if (gone)
                continue;
            struct naive *n = g_new0(struct naive, 1);
            *n = (struct naive){g_strdup(value), revision, with};
            g_hash_table_insert(model, g_strdup(key), n);
        }
        if (!lease) {
            lease = lmn_db_grant_lease(batch, 5000);
            assert_true(lease > 0);
        } else if (g_rand_int_range(r, 0, 6) == 0) {
            uint64_t revision;
            assert_true(lmn_db_revoke_lease(batch, lease));
            forget_leased(model, lease);
            assert_int_equal(apply1(batch, "k/x", 0, false, "x", lease, &revision),
                             LMN_DB_NO_LEASE);
            last = lmn_db_batch_revision(batch);
            lease = 0;
        }
        assert_int_equal(lmn_db_commit(batch, err, sizeof err), 0);
        if (g_rand_int_range(r, 0, 40) == 0) {
            lmn_db_close(db);
            db = must_open();
        }
    }
    struct lmn_db_reader *view = lmn_db_reader_new(db);
    assert_int_equal(lmn_db_view_begin(view, &meta), 0);
    assert_int_equal(meta.revision, last);
    assert_int_equal(meta.count, g_hash_table_size(model));
    lmn_db_list(view, "k/", NULL, compare, model);
    assert_int_equal(g_hash_table_size(model), 0);
    lmn_db_view_end(view);
    lmn_db_reader_free(view);
    lmn_db_close(db);
    assert_int_equal(check(&meta), 0);
    g_rand_free(r);
    g_hash_table_destroy(model);
}

static bool follow(void *arg, const struct lmn_db_item *item)
{
    uint64_t *n = arg;
    assert_true(item->revision >= n[1]);
    n[1] = item->revision;
    n[0]++;
    return true;
}

static void the_last_changes_are_kept_across_a_restart(void **state)
{
    struct lmn_db *db = must_open();
    struct lmn_db_meta meta;
    uint64_t revision, seen[2] = {0, 0};
    (void)state;

    for (int batch = 0; batch < 13; batch++) {
        struct lmn_db_batch *b = lmn_db_begin(db, err, sizeof err);
        for (int i = 0; i < 1000; i++)
            assert_int_equal(apply1(b, "k", 0, false, "v", 0, &revision), LMN_DB_APPLIED);
        assert_int_equal(lmn_db_commit(b, err, sizeof err), 0);
    }
    lmn_db_close(db);
    db = must_open();
    struct lmn_db_reader *view = lmn_db_reader_new(db);
    assert_int_equal(lmn_db_view_begin(view, &meta), 0);
    assert_int_equal(meta.compact_revision,
                     3000); /* a watch from 2999 would miss a change: 410 */
    lmn_db_list_changes(view, meta.compact_revision, follow, seen);
    assert_int_equal(seen[0], LMN_DB_MAX_LOGGED_CHANGES);
    assert_int_equal(seen[1], 13000);
    lmn_db_view_end(view);
    lmn_db_reader_free(view);
    lmn_db_close(db);
}

/* --- a machine that dies while it writes --- */

enum { PAGE = 4096 };

static void read_file(const char *name, GByteArray *to)
{
    char *p = file_in(name), *bytes;
    gsize n;
    assert_true(g_file_get_contents(p, &bytes, &n, NULL));
    g_byte_array_set_size(to, 0);
    g_byte_array_append(to, (guint8 *)bytes, (guint)n);
    g_free(bytes);
    g_free(p);
}

static void write_file(const char *name, const GByteArray *from)
{
    char *p = file_in(name);
    assert_true(g_file_set_contents(p, (char *)from->data, from->len, NULL));
    g_free(p);
}

static uint64_t revision_now(void)
{
    struct lmn_db *db = must_open();
    struct lmn_db_reader *reader = lmn_db_reader_new(db);
    struct lmn_db_meta meta;
    assert_int_equal(lmn_db_view_begin(reader, &meta), 0);
    lmn_db_view_end(reader);
    lmn_db_reader_free(reader);
    lmn_db_close(db);
    return meta.revision;
}

/* Of the pages of the last write any may have reached the disk, each whole or up to any
 * sector: as long as the root, which is written last, has not, the state is the one
 * before. */
static void a_torn_last_write_is_as_if_it_had_not_begun(void **state)
{
    GByteArray *before = g_byte_array_new(), *after = g_byte_array_new();
    GRand *r = g_rand_new_with_seed(11);
    struct lmn_db_meta meta;
    (void)state;

    for (int round = 0; round < 12; round++) {
        struct lmn_db *db = must_open();
        for (int i = 0; i < 5; i++) {
            char key[16], value[900];
            g_snprintf(key, sizeof key, "k/%d", g_rand_int_range(r, 0, 30));
            memset(value, 'a' + round, sizeof value - 1);
            value[g_rand_int_range(r, 1, sizeof value)] = '\0';
            if (i == 4) {
                lmn_db_close(db);
                read_file("data.mdb", before);
                db = must_open();
            }
            put1(db, key, value);
        }
        lmn_db_close(db);
        read_file("data.mdb", after);
        uint64_t revision = revision_now();
        for (int mix = 0; mix < 12; mix++) {
            GByteArray *torn = g_byte_array_new();
            g_byte_array_append(torn, after->data, after->len);
            /* Pages 0 and 1 are the roots. */
            memcpy(torn->data, before->data, 2 * PAGE);
            for (guint page = 2; page * PAGE < before->len; page++) {
                guint whole = (guint)g_rand_int_range(r, 0, 9) * 512;
                memcpy(torn->data + page * PAGE + whole,
                       before->data + page * PAGE + whole, PAGE - whole);
            }
            if (g_rand_boolean(r))
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
    g_rand_free(r);
}

static void flips_and_truncations_are_found(void **state)
{
    GByteArray *good = g_byte_array_new();
    GRand *r = g_rand_new_with_seed(13);
    struct lmn_db *db = must_open();
    struct lmn_db_meta meta;
    unsigned found = 0;
    (void)state;

    for (int i = 0; i < 60; i++) {
        char key[16], value[200];
        g_snprintf(key, sizeof key, "k/%d", i);
        g_snprintf(value, sizeof value, "MARK%d-%0150d", i, i);
        put1(db, key, value);
    }
    lmn_db_close(db);
    read_file("data.mdb", good);
    assert_int_equal(check(&meta), 0);
    assert_int_equal(meta.count, 60);
    for (int k = 0; k < 25; k++) {
        GByteArray *bad = g_byte_array_new();
        g_byte_array_append(bad, good->data, good->len);
        /* Somewhere in what is in use: old pages hold marks too, so one in the last tree
         * is looked for, by flipping all copies of one. */
        char mark[32];
        g_snprintf(mark, sizeof mark, "MARK%d-", g_rand_int_range(r, 0, 60));
        guint at = (guint)g_rand_int_range(r, 0, 140);
        for (guint i = 0; i + 160 < bad->len; i++)
            if (!memcmp(bad->data + i, mark, strlen(mark)))
                bad->data[i + at] ^= (guint8)(1u << g_rand_int_range(r, 0, 8));
        write_file("data.mdb", bad);
        found += check(&meta) > 0;
        g_byte_array_unref(bad);
    }
    assert_int_equal(found, 25);
    for (int k = 0; k < 8; k++) {
        GByteArray *bad = g_byte_array_new();
        g_byte_array_append(bad, good->data,
                            (guint)g_rand_int_range(r, 1, (gint)good->len / 2));
        write_file("data.mdb", bad);
        assert_true(check(&meta) > 0);
        g_byte_array_unref(bad);
    }
    g_byte_array_unref(good);
    g_rand_free(r);
}

/* --- what goes wrong around it --- */

static void a_full_disk_loses_nothing(void **state)
{
    struct lmn_db *db = must_open();
    struct rlimit old, tight;
    struct lmn_db_meta meta;
    char *big = g_malloc0(60001);
    int failed = 0;
    uint64_t revision;
    (void)state;

    put1(db, "kept", "v");
    memset(big, 'x', 60000);
    signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &old);
    tight = old;
    tight.rlim_cur = 200000;
    setrlimit(RLIMIT_FSIZE, &tight);
    for (int i = 0; i < 10; i++) {
        char key[16];
        struct lmn_db_batch *batch = lmn_db_begin(db, err, sizeof err);
        assert_non_null(batch);
        g_snprintf(key, sizeof key, "big/%d", i);
        apply1(batch, key, 0, false, big, 0, &revision);
        int rc = lmn_db_commit(batch, err, sizeof err);
        assert_true(rc == 0 || rc == -1);
        failed += rc != 0;
    }
    setrlimit(RLIMIT_FSIZE, &old);
    assert_true(failed > 0);
    put1(db, "after", "room again");
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

static void refused(const struct lmn_db_options *options, const char *word)
{
    assert_null(lmn_db_open(options, err, sizeof err));
    if (!strstr(err, word) || !strstr(err, options->dir))
        fail_msg("\"%s\" names neither %s nor %s", err, options->dir, word);
}

static void what_cannot_be_opened_is_said(void **state)
{
    const struct lmn_db_options make = {.dir = dir, .map_gb = 1, .create = true};
    const struct lmn_db_options look = {.dir = dir, .map_gb = 1, .read_only = true};
    const struct lmn_db_options none = {.dir = "/proc/lemonspar/none", .create = true};
    GByteArray *junk = g_byte_array_new();
    struct lmn_db_meta meta;
    MDB_txn *txn;
    (void)state;

    refused(&none, "/proc");
    refused(&look, "no database");
    struct lmn_db *db = must_open();
    refused(&make, "serves this directory");
    /* Readers beside it may look. */
    struct lmn_db *reader = lmn_db_open(&look, err, sizeof err);
    assert_non_null(reader);
    lmn_db_close(reader);
    /* A newer format. */
    assert_int_equal(mdb_txn_begin(db->env, NULL, 0, &txn), 0);
    assert_int_equal(lmn_db_meta_read(txn, db, &meta), 0);
    meta.format = LMN_DB_FORMAT_VERSION + 1;
    assert_int_equal(lmn_db_meta_write(txn, db, &meta), 0);
    assert_int_equal(mdb_txn_commit(txn), 0);
    lmn_db_close(db);
    refused(&make, "use a newer lemonspar");
    /* No database at all. */
    g_byte_array_set_size(junk, 9000);
    memset(junk->data, 0x5a, junk->len);
    write_file("data.mdb", junk);
    refused(&make, "no database of lemonspar's");
    g_byte_array_unref(junk);
}

static void a_restored_backup_begins_far_above(void **state)
{
    struct lmn_db *db = must_open();
    struct lmn_db_meta old, new;
    char *bak = file_in("copy"), *to = g_strdup_printf("%s-2", dir), *whole;
    gsize n;
    (void)state;

    put1(db, "a", "1");
    assert_int_equal(lmn_db_backup(dir, bak, err, sizeof err), 0);
    assert_int_equal(check(&old), 0);
    for (int i = 0; i < 5; i++)
        put1(db, "a", "lost with the machine");
    lmn_db_close(db);
    clear_dir(to);
    assert_int_equal(lmn_db_restore(bak, to, err, sizeof err), 0);
    assert_int_equal(lmn_db_restore(bak, to, err, sizeof err),
                     -1); /* never over another */
    g_strlcpy(dir, to, sizeof dir);
    assert_int_equal(check(&new), 0);
    assert_true(new.revision > old.revision + 1000000);
    assert_int_equal(new.compact_revision, new.revision);
    assert_true(new.incarnation != old.incarnation);
    /* Half a backup is none. */
    assert_true(g_file_get_contents(bak, &whole, &n, NULL));
    assert_true(g_file_set_contents(bak, whole, (gssize)n / 3, NULL));
    clear_dir(to);
    assert_int_equal(lmn_db_restore(bak, to, err, sizeof err), -1);
    assert_false(g_file_test(to, G_FILE_TEST_IS_REGULAR));
    g_free(whole);
    clear_dir(to);
    fresh(NULL);
    g_free(bak);
    g_free(to);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(transactions_follow_a_naive_model, fresh, wipe),
        cmocka_unit_test_setup_teardown(the_last_changes_are_kept_across_a_restart, fresh,
                                        wipe),
        cmocka_unit_test_setup_teardown(a_torn_last_write_is_as_if_it_had_not_begun,
                                        fresh, wipe),
        cmocka_unit_test_setup_teardown(flips_and_truncations_are_found, fresh, wipe),
        cmocka_unit_test_setup_teardown(a_full_disk_loses_nothing, fresh, wipe),
        cmocka_unit_test_setup_teardown(what_cannot_be_opened_is_said, fresh, wipe),
        cmocka_unit_test_setup_teardown(a_restored_backup_begins_far_above, fresh, wipe),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
