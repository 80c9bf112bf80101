/** @file
 * Consistent views of the database (kv_store/db.h). A view is an LMDB read transaction,
 * which the reader keeps and renews, so that beginning a view allocates no memory. */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <string.h>

struct lmn_db_reader {
    struct lmn_db *db;
    MDB_txn *txn; /* NULL before the first view */
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

int lmn_db_view_begin(struct lmn_db_reader *reader, struct lmn_db_meta *meta)
{
    int result = reader->txn
                     ? mdb_txn_renew(reader->txn)
                     : mdb_txn_begin(reader->db->env, NULL, MDB_RDONLY, &reader->txn);

    if (result)
        return result;
    result = lmn_db_meta_read(reader->txn, reader->db, meta);
    if (result)
        mdb_txn_reset(reader->txn);
    return result;
}

void lmn_db_view_end(struct lmn_db_reader *reader)
{
    mdb_txn_reset(reader->txn);
}

bool lmn_db_get(struct lmn_db_reader *reader, const char *key, struct lmn_db_item *item)
{
    MDB_val stored_key = {strlen(key), (void *)key}, value;

    /* LMDB does not accept an empty key. */
    return stored_key.mv_size &&
           mdb_get(reader->txn, reader->db->dbi[LMN_DB_DATA], &stored_key, &value) == 0 &&
           lmn_db_data_read(&stored_key, &value, item);
}

void lmn_db_list(struct lmn_db_reader *reader, const char *prefix, const char *after,
                 bool (*visit)(void *arg, const struct lmn_db_item *item), void *arg)
{
    size_t prefix_len = strlen(prefix);
    const char *from = after && strcmp(after, prefix) >= 0 ? after : prefix;
    MDB_val key = {strlen(from), (void *)from}, value;
    struct lmn_db_item item;
    MDB_cursor *cursor;

    if (mdb_cursor_open(reader->txn, reader->db->dbi[LMN_DB_DATA], &cursor) != 0)
        return;
    int result =
        mdb_cursor_get(cursor, &key, &value, key.mv_size ? MDB_SET_RANGE : MDB_FIRST);
    for (; !result; result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
        if (key.mv_size < prefix_len || memcmp(key.mv_data, prefix, prefix_len) != 0)
            break;
        if (!lmn_db_data_read(&key, &value, &item) ||
            (after && strcmp(item.key, after) == 0))
            continue;
        if (!visit(arg, &item))
            break;
    }
    mdb_cursor_close(cursor);
}

void lmn_db_list_changes(struct lmn_db_reader *reader, uint64_t after,
                         bool (*visit)(void *arg, const struct lmn_db_item *item),
                         void *arg)
{
    struct lmn_db_log_key log_key = {GUINT64_TO_BE(after + 1), 0};
    MDB_val key = {sizeof log_key, &log_key}, value;
    struct lmn_db_item item;
    MDB_cursor *cursor;

    if (mdb_cursor_open(reader->txn, reader->db->dbi[LMN_DB_LOG], &cursor) != 0)
        return;
    for (int result = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE); !result;
         result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT))
        if (lmn_db_log_read(&key, &value, &item) && !visit(arg, &item))
            break;
    mdb_cursor_close(cursor);
}

void lmn_db_list_leases(struct lmn_db_reader *reader,
                        void (*visit)(void *arg, uint64_t id, uint32_t ttl_ms), void *arg)
{
    MDB_cursor *cursor;
    MDB_val key, value;

    if (mdb_cursor_open(reader->txn, reader->db->dbi[LMN_DB_LEASES], &cursor) != 0)
        return;
    for (int result = mdb_cursor_get(cursor, &key, &value, MDB_FIRST); !result;
         result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
        uint64_t stored_id;
        uint32_t ttl_ms;
        if (key.mv_size != sizeof stored_id ||
            value.mv_size != sizeof(struct lmn_db_record_header) + sizeof ttl_ms)
            continue;
        memcpy(&stored_id, key.mv_data, sizeof stored_id);
        memcpy(&ttl_ms, (const char *)value.mv_data + sizeof(struct lmn_db_record_header),
               sizeof ttl_ms);
        visit(arg, GUINT64_FROM_BE(stored_id), ttl_ms);
    }
    mdb_cursor_close(cursor);
}
