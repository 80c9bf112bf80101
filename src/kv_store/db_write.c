#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static const char *const names[LMN_DBIS] = {"data", "log", "leases", "leased", "meta"};

uint64_t lmn_db_sum(const MDB_val *key, const void *bytes, size_t len)
{
    return XXH3_64bits_withSeed(bytes, len, XXH3_64bits(key->mv_data, key->mv_size));
}

bool lmn_db_intact(const MDB_val *key, const MDB_val *value)
{
    struct lmn_db_head h;

    if (value->mv_size < sizeof h)
        return false;
    memcpy(&h, value->mv_data, sizeof h);
    return h.sum == lmn_db_sum(key, (const char *)value->mv_data + sizeof h.sum,
                               value->mv_size - sizeof h.sum);
}

/* Writes a record: room for the head is at the front of b. */
static int put(MDB_txn *txn, MDB_dbi dbi, MDB_val *key, GByteArray *buffer,
               uint64_t revision, uint64_t lease, unsigned flags, uint64_t *sum)
{
    struct lmn_db_head h = {0, revision, lease};
    MDB_val v = {buffer->len, buffer->data};

    memcpy(buffer->data, &h, sizeof h);
    h.sum = lmn_db_sum(key, buffer->data + sizeof h.sum, buffer->len - sizeof h.sum);
    memcpy(buffer->data, &h, sizeof h);
    if (sum)
        *sum = h.sum;
    return mdb_put(txn, dbi, key, &v, flags);
}

static GByteArray *with_head(void)
{
    GByteArray *buffer = g_byte_array_new();
    g_byte_array_set_size(buffer, sizeof(struct lmn_db_head));
    return buffer;
}

int lmn_db_meta_read(MDB_txn *txn, const struct lmn_db *db, struct lmn_db_meta *meta)
{
    MDB_val key = {4, (void *)"meta"}, v;
    int rc = mdb_get(txn, db->dbi[LMN_META], &key, &v);

    if (rc)
        return rc;
    if (v.mv_size != sizeof(struct lmn_db_head) + sizeof *meta ||
        !lmn_db_intact(&key, &v))
        return MDB_CORRUPTED;
    memcpy(meta, (const char *)v.mv_data + sizeof(struct lmn_db_head), sizeof *meta);
    return 0;
}

int lmn_db_meta_write(MDB_txn *txn, const struct lmn_db *db,
                      const struct lmn_db_meta *meta)
{
    MDB_val key = {4, (void *)"meta"};
    GByteArray *buffer = with_head();

    g_byte_array_append(buffer, (const guint8 *)meta, sizeof *meta);
    int rc = put(txn, db->dbi[LMN_META], &key, buffer, meta->revision, 0, 0, NULL);
    g_byte_array_unref(buffer);
    return rc;
}

/* --- opening --- */

static bool lock_dir(struct lmn_db *db, char *err, size_t len)
{
    char *path = g_build_filename(db->dir, "lock", NULL), pid[32];

    db->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    g_free(path);
    if (db->lock_fd < 0) {
        snprintf(err, len, "%s: %s; the directory must exist and be writable", db->dir,
                 strerror(errno));
        return false;
    }
    if (flock(db->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        ssize_t n = read(db->lock_fd, pid, sizeof pid - 1);
        pid[MAX(n, 0)] = '\0';
        snprintf(err, len,
                 "%s: process %s serves this directory; stop it, or take another one",
                 db->dir, g_strstrip(pid));
        return false;
    }
    int n = snprintf(pid, sizeof pid, "%ld\n", (long)getpid());
    if (ftruncate(db->lock_fd, 0) != 0 || pwrite(db->lock_fd, pid, (size_t)n, 0) != n) {
        snprintf(err, len, "%s: the lock can't be written: %s", db->dir, strerror(errno));
        return false;
    }
    return true;
}

static const char *mend(int rc)
{
    switch (rc) {
    case MDB_INVALID:
    case MDB_CORRUPTED:
    case MDB_PAGE_NOTFOUND:
        return "the file is damaged or no database of lemonspar's; 'lemonspar state "
               "check' looks, "
               "'lemonspar state restore' takes a backup";
    case MDB_VERSION_MISMATCH:
        return "it was written in another format of LMDB's; use the version that wrote "
               "it";
    case ENOENT:
        return "there is no database; start 'lemonspar state' to make one";
    case ENOSPC:
    case MDB_MAP_FULL:
        return "there is no room; free some, or raise --map-gb";
    default:
        return "look at the directory's rights and the disk";
    }
}

static int open_tables(struct lmn_db *db, bool write, MDB_txn *txn)
{
    for (int i = 0; i < LMN_DBIS; i++) {
        int rc = mdb_dbi_open(txn, names[i], write ? MDB_CREATE : 0, &db->dbi[i]);
        if (rc)
            return rc == MDB_NOTFOUND ? MDB_INVALID : rc;
    }
    return 0;
}

/* Opens the tables; a new database gets its meta record. */
static int prepare(struct lmn_db *db, bool write, bool fresh, char *err, size_t len)
{
    struct lmn_db_meta meta;
    MDB_txn *txn;
    int rc = mdb_txn_begin(db->env, NULL, write ? 0 : MDB_RDONLY, &txn);

    if (rc)
        return rc;
    rc = open_tables(db, write, txn);
    if (!rc)
        rc = lmn_db_meta_read(txn, db, &meta);
    if (rc == MDB_NOTFOUND && write && fresh) {
        meta = (struct lmn_db_meta){.format = LMN_DB_FORMAT, .next_lease = 1};
        meta.incarnation = (uint64_t)g_random_int() << 32 | g_random_int();
        rc = lmn_db_meta_write(txn, db, &meta);
    } else if (rc == MDB_NOTFOUND) {
        rc = MDB_INVALID;
    }
    if (!rc && meta.format != LMN_DB_FORMAT) {
        snprintf(err, len, "%s: format %u, this program reads %d; use a newer lemonspar",
                 db->dir, meta.format, LMN_DB_FORMAT);
        rc = MDB_VERSION_MISMATCH;
    }
    if (rc) {
        mdb_txn_abort(txn);
        return rc;
    }
    return mdb_txn_commit(txn);
}

struct lmn_db *lmn_db_open(const struct lmn_db_options *options, char *err, size_t len)
{
    struct lmn_db *db = g_new0(struct lmn_db, 1);
    char *file = g_build_filename(options->dir, "data.mdb", NULL);
    unsigned flags = options->read_only ? MDB_RDONLY : 0;
    struct stat st;
    bool there = stat(file, &st) == 0 && st.st_size > 0;
    int rc = 0;

    *err = '\0';
    db->dir = g_strdup(options->dir);
    db->lock_fd = -1;
    g_free(file);
    if (options->create && g_mkdir_with_parents(options->dir, 0755) != 0)
        rc = errno;
    else if (!there && !options->create)
        rc = ENOENT;
    if (!rc && !options->read_only && !lock_dir(db, err, len))
        rc = EBUSY;
    if (!rc)
        rc = mdb_env_create(&db->env);
    if (!rc) {
        mdb_env_set_maxdbs(db->env, LMN_DBIS);
        mdb_env_set_maxreaders(db->env, 64);
        mdb_env_set_mapsize(
            db->env, (size_t)((options->map_gb > 0 ? options->map_gb : 64) * (1u << 30)));
        rc = mdb_env_open(db->env, options->dir, flags | MDB_NOTLS, 0644);
        /* A reader beside nobody, in a directory that takes no lock file. */
        if (options->read_only && (rc == EROFS || rc == EACCES))
            rc =
                mdb_env_open(db->env, options->dir, flags | MDB_NOTLS | MDB_NOLOCK, 0644);
    }
    if (!rc)
        rc = prepare(db, !options->read_only, !there, err, len);
    if (!rc)
        return db;
    if (!*err)
        snprintf(err, len, "%s: %s; %s", options->dir, mdb_strerror(rc), mend(rc));
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

/* --- writing --- */

struct lmn_db_batch {
    struct lmn_db *db;
    MDB_txn *txn;
    struct lmn_db_meta meta;
    uint32_t n; /* of the change within its transaction */
    int rc;     /* the first thing that went wrong with LMDB */
};

struct lmn_db_batch *lmn_db_begin(struct lmn_db *db, char *err, size_t len)
{
    struct lmn_db_batch *batch = g_new0(struct lmn_db_batch, 1);
    int rc = mdb_txn_begin(db->env, NULL, 0, &batch->txn);

    batch->db = db;
    if (!rc) {
        rc = lmn_db_meta_read(batch->txn, db, &batch->meta);
        if (rc)
            mdb_txn_abort(batch->txn);
    }
    if (!rc)
        return batch;
    snprintf(err, len, "%s", mdb_strerror(rc));
    g_free(batch);
    return NULL;
}

static bool went(struct lmn_db_batch *batch, int rc)
{
    if (rc && !batch->rc)
        batch->rc = rc;
    return rc == 0;
}

/* The record's head; false if there is none. */
static bool look(struct lmn_db_batch *batch, const char *key, struct lmn_db_head *h)
{
    MDB_val k = {strlen(key), (void *)key}, v;
    int rc = mdb_get(batch->txn, batch->db->dbi[LMN_DATA], &k, &v);

    if (rc == MDB_NOTFOUND)
        return false;
    if (!rc && v.mv_size < sizeof *h)
        rc = MDB_CORRUPTED;
    if (!went(batch, rc))
        return false;
    memcpy(h, v.mv_data, sizeof *h);
    return true;
}

static GByteArray *leased_key(uint64_t lease, const char *key)
{
    GByteArray *buffer = g_byte_array_new();
    uint64_t be = GUINT64_TO_BE(lease);

    g_byte_array_append(buffer, (const guint8 *)&be, sizeof be);
    g_byte_array_append(buffer, (const guint8 *)key, (guint)strlen(key));
    return buffer;
}

static void index_lease(struct lmn_db_batch *batch, uint64_t lease, const char *key,
                        bool add)
{
    GByteArray *bytes = leased_key(lease, key);
    MDB_val k = {bytes->len, bytes->data}, none = {0, (void *)""};
    MDB_dbi dbi = batch->db->dbi[LMN_LEASED];

    went(batch, add ? mdb_put(batch->txn, dbi, &k, &none, 0)
                    : mdb_del(batch->txn, dbi, &k, NULL));
    g_byte_array_unref(bytes);
}

static void log_change(struct lmn_db_batch *batch, const struct lmn_db_change *c)
{
    struct lmn_db_log_key lk = {GUINT64_TO_BE(batch->meta.revision),
                                GUINT32_TO_BE(batch->n)};
    MDB_val k = {sizeof lk, &lk};
    GByteArray *v = with_head();
    guint8 kind = c->value != NULL, len = (guint8)strlen(c->key);

    batch->n++;
    g_byte_array_append(v, &kind, 1);
    g_byte_array_append(v, &len, 1);
    g_byte_array_append(v, (const guint8 *)c->key, len);
    if (c->value)
        g_byte_array_append(v, c->value, (guint)c->len);
    went(batch, put(batch->txn, batch->db->dbi[LMN_LOG], &k, v, batch->meta.revision,
                    c->lease, MDB_APPEND, NULL));
    g_byte_array_unref(v);
}

static void change(struct lmn_db_batch *batch, const struct lmn_db_change *c)
{
    struct lmn_db_head old;
    bool there = look(batch, c->key, &old);
    MDB_val k = {strlen(c->key), (void *)c->key};

    if (there) {
        batch->meta.digest ^= old.sum;
        batch->meta.count--;
        if (old.lease)
            index_lease(batch, old.lease, c->key, false);
    }
    if (c->value) {
        GByteArray *v = with_head();
        uint64_t sum = 0;
        g_byte_array_append(v, c->value, (guint)c->len);
        went(batch, put(batch->txn, batch->db->dbi[LMN_DATA], &k, v, batch->meta.revision,
                        c->lease, 0, &sum));
        g_byte_array_unref(v);
        batch->meta.digest ^= sum;
        batch->meta.count++;
        if (c->lease)
            index_lease(batch, c->lease, c->key, true);
    } else if (there) {
        went(batch, mdb_del(batch->txn, batch->db->dbi[LMN_DATA], &k, NULL));
    } else {
        return; /* nothing was there: nobody need hear of it */
    }
    log_change(batch, c);
}

static bool lease_there(struct lmn_db_batch *batch, uint64_t lease)
{
    uint64_t be = GUINT64_TO_BE(lease);
    MDB_val k = {sizeof be, &be}, v;
    int rc = mdb_get(batch->txn, batch->db->dbi[LMN_LEASES], &k, &v);

    if (rc && rc != MDB_NOTFOUND)
        went(batch, rc);
    return rc == 0;
}

enum lmn_db_outcome lmn_db_apply(struct lmn_db_batch *batch, const struct lmn_db_txn *txn,
                                 uint64_t *rev, GPtrArray *failed)
{
    bool conflict = false;

    *rev = batch->meta.revision;
    for (size_t i = 0; i < txn->nchanges; i++)
        if (txn->changes[i].lease && !lease_there(batch, txn->changes[i].lease))
            return batch->rc ? LMN_DB_BROKEN : LMN_DB_NO_LEASE;
    for (size_t i = 0; i < txn->nconds; i++) {
        struct lmn_db_head h = {0};
        uint64_t at = look(batch, txn->conds[i].key, &h) ? h.rev : 0;
        if (at == txn->conds[i].rev)
            continue;
        conflict = true;
        g_ptr_array_add(failed, g_strdup(txn->conds[i].key));
    }
    if (batch->rc)
        return LMN_DB_BROKEN;
    if (conflict)
        return LMN_DB_CONFLICT;
    if (!txn->nchanges)
        return LMN_DB_APPLIED;
    batch->meta.revision++;
    batch->n = 0;
    for (size_t i = 0; i < txn->nchanges && !batch->rc; i++)
        change(batch, &txn->changes[i]);
    *rev = batch->meta.revision;
    return batch->rc ? LMN_DB_BROKEN : LMN_DB_APPLIED;
}

uint64_t lmn_db_grant(struct lmn_db_batch *batch, uint32_t ttl_ms)
{
    uint64_t id = batch->meta.next_lease++, be = GUINT64_TO_BE(id);
    MDB_val k = {sizeof be, &be};
    GByteArray *v = with_head();

    g_byte_array_append(v, (const guint8 *)&ttl_ms, sizeof ttl_ms);
    went(batch, put(batch->txn, batch->db->dbi[LMN_LEASES], &k, v, 0, id, 0, NULL));
    g_byte_array_unref(v);
    return batch->rc ? 0 : id;
}

bool lmn_db_revoke(struct lmn_db_batch *batch, uint64_t lease)
{
    uint64_t be = GUINT64_TO_BE(lease);
    MDB_val k = {sizeof be, &be}, v;
    MDB_cursor *cur;
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);

    if (!lease_there(batch, lease) ||
        !went(batch, mdb_cursor_open(batch->txn, batch->db->dbi[LMN_LEASED], &cur))) {
        g_ptr_array_free(keys, TRUE);
        return false;
    }
    for (int rc = mdb_cursor_get(cur, &k, &v, MDB_SET_RANGE); !rc;
         rc = mdb_cursor_get(cur, &k, &v, MDB_NEXT)) {
        if (k.mv_size < sizeof be || memcmp(k.mv_data, &be, sizeof be))
            break;
        g_ptr_array_add(
            keys, g_strndup((const char *)k.mv_data + sizeof be, k.mv_size - sizeof be));
    }
    mdb_cursor_close(cur);
    if (keys->len) {
        batch->meta.revision++;
        batch->n = 0;
    }
    for (guint i = 0; i < keys->len; i++)
        change(batch, &(struct lmn_db_change){.key = keys->pdata[i]});
    g_ptr_array_free(keys, TRUE);
    k = (MDB_val){sizeof be, &be};
    return went(batch, mdb_del(batch->txn, batch->db->dbi[LMN_LEASES], &k, NULL));
}

uint64_t lmn_db_batch_revision(const struct lmn_db_batch *batch)
{
    return batch->meta.revision;
}

/* Drops the oldest changes beyond those that are kept. */
static void prune(struct lmn_db_batch *batch)
{
    MDB_dbi dbi = batch->db->dbi[LMN_LOG];
    MDB_stat st;
    MDB_cursor *cur;
    MDB_val k, v;

    if (!went(batch, mdb_stat(batch->txn, dbi, &st)) || st.ms_entries <= LMN_DB_CHANGES ||
        !went(batch, mdb_cursor_open(batch->txn, dbi, &cur)))
        return;
    for (size_t n = st.ms_entries - LMN_DB_CHANGES; n > 0 && !batch->rc; n--) {
        struct lmn_db_log_key lk;
        if (!went(batch, mdb_cursor_get(cur, &k, &v, MDB_FIRST)))
            break;
        memcpy(&lk, k.mv_data, sizeof lk);
        batch->meta.floor = GUINT64_FROM_BE(lk.rev);
        went(batch, mdb_cursor_del(cur, 0));
    }
    mdb_cursor_close(cur);
}

int lmn_db_commit(struct lmn_db_batch *batch, char *err, size_t len)
{
    struct lmn_db *db = batch->db;
    int rc;

    if (!batch->rc)
        prune(batch);
    if (!batch->rc)
        went(batch, lmn_db_meta_write(batch->txn, db, &batch->meta));
    rc = batch->rc;
    if (rc)
        mdb_txn_abort(batch->txn);
    else
        rc = mdb_txn_commit(batch->txn);
    g_free(batch);
    if (!rc)
        return 0;
    snprintf(err, len, "%s; %s", mdb_strerror(rc), mend(rc));
    /* If not even the root could be taken back, LMDB says so at the next try: then nobody
     * knows which of the two stands on the disk. */
    MDB_txn *probe;
    rc = mdb_txn_begin(db->env, NULL, 0, &probe);
    if (rc == MDB_PANIC)
        return -2;
    if (!rc)
        mdb_txn_abort(probe);
    return -1;
}

void lmn_db_abort(struct lmn_db_batch *batch)
{
    mdb_txn_abort(batch->txn);
    g_free(batch);
}
