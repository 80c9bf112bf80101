/* Views of the database. */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <string.h>

struct lmn_db_reader {
    struct lmn_db *db;
    MDB_txn *txn;
    bool open;
};

struct lmn_db_reader *lmn_db_reader_new(struct lmn_db *db)
{
    struct lmn_db_reader *reader = g_new0(struct lmn_db_reader, 1);
    reader->db = db;
    return reader;
}

void lmn_db_reader_free(struct lmn_db_reader *reader)
{
    if (reader->txn)
        mdb_txn_abort(reader->txn);
    g_free(reader);
}

int lmn_db_view(struct lmn_db_reader *reader, struct lmn_db_meta *meta)
{
    int rc = reader->txn ? mdb_txn_renew(reader->txn)
                         : mdb_txn_begin(reader->db->env, NULL, MDB_RDONLY, &reader->txn);

    if (rc)
        return rc;
    rc = lmn_db_meta_read(reader->txn, reader->db, meta);
    if (rc)
        mdb_txn_reset(reader->txn);
    return rc;
}

void lmn_db_view_end(struct lmn_db_reader *reader)
{
    mdb_txn_reset(reader->txn);
}

static bool read_item(const MDB_val *k, const MDB_val *v, struct lmn_db_item *item)
{
    struct lmn_db_head h;

    if (k->mv_size > LMN_DB_KEY || v->mv_size < sizeof h)
        return false;
    memcpy(&h, v->mv_data, sizeof h);
    memcpy(item->key, k->mv_data, k->mv_size);
    item->key[k->mv_size] = '\0';
    item->value = (const char *)v->mv_data + sizeof h;
    item->len = v->mv_size - sizeof h;
    item->rev = h.rev;
    item->lease = h.lease;
    return true;
}

bool lmn_db_get(struct lmn_db_reader *reader, const char *key, struct lmn_db_item *item)
{
    MDB_val k = {strlen(key), (void *)key}, v;

    return k.mv_size && mdb_get(reader->txn, reader->db->dbi[LMN_DATA], &k, &v) == 0 &&
           read_item(&k, &v, item);
}

void lmn_db_list(struct lmn_db_reader *reader, const char *prefix, const char *after,
                 bool (*f)(void *arg, const struct lmn_db_item *item), void *arg)
{
    size_t plen = strlen(prefix);
    const char *from = after && strcmp(after, prefix) >= 0 ? after : prefix;
    MDB_val k = {strlen(from), (void *)from}, v;
    struct lmn_db_item item;
    MDB_cursor *cur;

    if (mdb_cursor_open(reader->txn, reader->db->dbi[LMN_DATA], &cur) != 0)
        return;
    int rc = mdb_cursor_get(cur, &k, &v, k.mv_size ? MDB_SET_RANGE : MDB_FIRST);
    for (; !rc; rc = mdb_cursor_get(cur, &k, &v, MDB_NEXT)) {
        if (k.mv_size < plen || memcmp(k.mv_data, prefix, plen))
            break;
        if (!read_item(&k, &v, &item) || (after && !strcmp(item.key, after)))
            continue;
        if (!f(arg, &item))
            break;
    }
    mdb_cursor_close(cur);
}

bool lmn_db_log_read(const MDB_val *k, const MDB_val *v, struct lmn_db_item *item)
{
    struct lmn_db_head h;
    const guint8 *p = v->mv_data;
    size_t left = v->mv_size;

    if (k->mv_size != sizeof(struct lmn_db_log_key) || left < sizeof h + 2)
        return false;
    memcpy(&h, p, sizeof h);
    p += sizeof h, left -= sizeof h;
    size_t len = p[1];
    if (len > LMN_DB_KEY || left < 2 + len)
        return false;
    memcpy(item->key, p + 2, len);
    item->key[len] = '\0';
    item->value = p[0] ? p + 2 + len : NULL;
    item->len = left - 2 - len;
    item->rev = h.rev;
    item->lease = h.lease;
    return true;
}

void lmn_db_changes(struct lmn_db_reader *reader, uint64_t after,
                    bool (*f)(void *arg, const struct lmn_db_item *item), void *arg)
{
    struct lmn_db_log_key lk = {GUINT64_TO_BE(after + 1), 0};
    MDB_val k = {sizeof lk, &lk}, v;
    struct lmn_db_item item;
    MDB_cursor *cur;

    if (mdb_cursor_open(reader->txn, reader->db->dbi[LMN_LOG], &cur) != 0)
        return;
    for (int rc = mdb_cursor_get(cur, &k, &v, MDB_SET_RANGE); !rc;
         rc = mdb_cursor_get(cur, &k, &v, MDB_NEXT))
        if (lmn_db_log_read(&k, &v, &item) && !f(arg, &item))
            break;
    mdb_cursor_close(cur);
}

void lmn_db_leases(struct lmn_db_reader *reader,
                   void (*f)(void *arg, uint64_t id, uint32_t ttl_ms), void *arg)
{
    MDB_cursor *cur;
    MDB_val k, v;

    if (mdb_cursor_open(reader->txn, reader->db->dbi[LMN_LEASES], &cur) != 0)
        return;
    for (int rc = mdb_cursor_get(cur, &k, &v, MDB_FIRST); !rc;
         rc = mdb_cursor_get(cur, &k, &v, MDB_NEXT)) {
        uint64_t id;
        uint32_t ttl;
        if (k.mv_size != sizeof id ||
            v.mv_size != sizeof(struct lmn_db_head) + sizeof ttl)
            continue;
        memcpy(&id, k.mv_data, sizeof id);
        memcpy(&ttl, (const char *)v.mv_data + sizeof(struct lmn_db_head), sizeof ttl);
        f(arg, GUINT64_FROM_BE(id), ttl);
    }
    mdb_cursor_close(cur);
}
