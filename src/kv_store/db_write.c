/** @file
 * Batches of transactions and lease changes, and their commit (kv_store/db.h).
 *
 * A batch is one LMDB write transaction and a copy of the meta record, which the commit
 * writes back. The batch keeps the first error that LMDB reports; after an error the
 * batch can't be committed. */
#include "kv_store/db.h"
#include "kv_store/db_format.h"

#include <stdio.h>
#include <string.h>

struct lmn_db_batch {
    struct lmn_db *db;
    MDB_txn *txn;
    struct lmn_db_meta meta;
    uint32_t change_number; /* changes so far in the current transaction */
    int result;             /* the first error of LMDB; 0: none */
};

struct lmn_db_batch *lmn_db_begin(struct lmn_db *db, char *err, size_t len)
{
    struct lmn_db_batch *batch = g_new0(struct lmn_db_batch, 1);
    int result = mdb_txn_begin(db->env, NULL, 0, &batch->txn);

    batch->db = db;
    if (!result) {
        result = lmn_db_meta_read(batch->txn, db, &batch->meta);
        if (result)
            mdb_txn_abort(batch->txn);
    }
    if (!result)
        return batch;
    snprintf(err, len, "%s", mdb_strerror(result));
    g_free(batch);
    return NULL;
}

/* Keeps the first error. Returns whether `result` is a success. */
static bool succeeded(struct lmn_db_batch *batch, int result)
{
    if (result && !batch->result)
        batch->result = result;
    return result == 0;
}

/* Reads the header of a record of "data". Returns false if the key does not exist or LMDB
 * reported an error. */
static bool read_header(struct lmn_db_batch *batch, const char *key,
                        struct lmn_db_record_header *header)
{
    MDB_val stored_key = {strlen(key), (void *)key}, value;
    int result = mdb_get(batch->txn, batch->db->dbi[LMN_DB_DATA], &stored_key, &value);

    if (result == MDB_NOTFOUND)
        return false;
    if (!result && value.mv_size < sizeof *header)
        result = MDB_CORRUPTED;
    if (!succeeded(batch, result))
        return false;
    memcpy(header, value.mv_data, sizeof *header);
    return true;
}

static void attach_to_lease(struct lmn_db_batch *batch, uint64_t lease, const char *key)
{
    g_autoptr(GByteArray) bytes = lmn_db_lease_index_key(lease, key, strlen(key));
    MDB_val leased_key = {bytes->len, bytes->data}, nothing = {0, (void *)""};

    succeeded(batch, mdb_put(batch->txn, batch->db->dbi[LMN_DB_LEASED], &leased_key,
                             &nothing, 0));
}

static void detach_from_lease(struct lmn_db_batch *batch, uint64_t lease, const char *key)
{
    g_autoptr(GByteArray) bytes = lmn_db_lease_index_key(lease, key, strlen(key));
    MDB_val leased_key = {bytes->len, bytes->data};

    succeeded(batch,
              mdb_del(batch->txn, batch->db->dbi[LMN_DB_LEASED], &leased_key, NULL));
}

/* Appends the change to the log, from which watches are answered. */
static void log_change(struct lmn_db_batch *batch, const struct lmn_db_change *change)
{
    const struct lmn_db_record_header header = {.revision = batch->meta.revision,
                                                .lease = change->lease};
    struct lmn_db_log_key log_key = {GUINT64_TO_BE(batch->meta.revision),
                                     GUINT32_TO_BE(batch->change_number)};
    MDB_val key = {sizeof log_key, &log_key};
    g_autoptr(GByteArray) record = lmn_db_record_new();
    guint8 is_put = change->value != NULL, key_len = (guint8)strlen(change->key);

    batch->change_number++;
    g_byte_array_append(record, &is_put, 1);
    g_byte_array_append(record, &key_len, 1);
    g_byte_array_append(record, (const guint8 *)change->key, key_len);
    if (change->value)
        g_byte_array_append(record, change->value, (guint)change->len);
    succeeded(batch, lmn_db_record_put(batch->txn, batch->db->dbi[LMN_DB_LOG], &key,
                                       record, &header, MDB_APPEND, NULL));
}

static void put_record(struct lmn_db_batch *batch, const struct lmn_db_change *change)
{
    const struct lmn_db_record_header header = {.revision = batch->meta.revision,
                                                .lease = change->lease};
    MDB_val key = {strlen(change->key), (void *)change->key};
    g_autoptr(GByteArray) record = lmn_db_record_new();
    uint64_t checksum = 0;

    g_byte_array_append(record, change->value, (guint)change->len);
    succeeded(batch, lmn_db_record_put(batch->txn, batch->db->dbi[LMN_DB_DATA], &key,
                                       record, &header, 0, &checksum));
    batch->meta.digest ^= checksum;
    batch->meta.count++;
    if (change->lease)
        attach_to_lease(batch, change->lease, change->key);
}

/* Applies one change of a transaction to the record, the index of leases, the digest and
 * the log. */
static void apply_change(struct lmn_db_batch *batch, const struct lmn_db_change *change)
{
    struct lmn_db_record_header old;
    bool existed = read_header(batch, change->key, &old);

    if (existed) {
        batch->meta.digest ^= old.checksum;
        batch->meta.count--;
        if (old.lease)
            detach_from_lease(batch, old.lease, change->key);
    }
    if (change->value) {
        put_record(batch, change);
    } else if (existed) {
        MDB_val key = {strlen(change->key), (void *)change->key};
        succeeded(batch, mdb_del(batch->txn, batch->db->dbi[LMN_DB_DATA], &key, NULL));
    } else {
        return; /* deleting a missing key is no change, and no watch reports it */
    }
    log_change(batch, change);
}

static bool lease_exists(struct lmn_db_batch *batch, uint64_t lease)
{
    uint64_t stored_lease = GUINT64_TO_BE(lease);
    MDB_val key = {sizeof stored_lease, &stored_lease}, value;
    int result = mdb_get(batch->txn, batch->db->dbi[LMN_DB_LEASES], &key, &value);

    if (result && result != MDB_NOTFOUND)
        succeeded(batch, result);
    return result == 0;
}

static bool all_leases_exist(struct lmn_db_batch *batch, const struct lmn_db_txn *txn)
{
    for (size_t i = 0; i < txn->change_count; i++)
        if (txn->changes[i].lease && !lease_exists(batch, txn->changes[i].lease))
            return false;
    return true;
}

/* Whether all conditions hold. Adds the keys of those that don't to `failed`. */
static bool conditions_hold(struct lmn_db_batch *batch, const struct lmn_db_txn *txn,
                            GPtrArray *failed)
{
    bool all_hold = true;

    for (size_t i = 0; i < txn->condition_count; i++) {
        const struct lmn_db_condition *condition = &txn->conditions[i];
        struct lmn_db_record_header header = {0};
        uint64_t revision =
            read_header(batch, condition->key, &header) ? header.revision : 0;
        if (revision == condition->revision)
            continue;
        all_hold = false;
        g_ptr_array_add(failed, g_strdup(condition->key));
    }
    return all_hold;
}

static void begin_revision(struct lmn_db_batch *batch)
{
    batch->meta.revision++;
    batch->change_number = 0;
}

enum lmn_db_outcome lmn_db_apply(struct lmn_db_batch *batch, const struct lmn_db_txn *txn,
                                 uint64_t *revision, GPtrArray *failed)
{
    *revision = batch->meta.revision;
    if (!all_leases_exist(batch, txn))
        return batch->result ? LMN_DB_FAILED : LMN_DB_NO_LEASE;
    bool may_apply = conditions_hold(batch, txn, failed);
    if (batch->result)
        return LMN_DB_FAILED;
    if (!may_apply)
        return LMN_DB_CONFLICT;
    if (!txn->change_count)
        return LMN_DB_APPLIED;
    begin_revision(batch);
    for (size_t i = 0; i < txn->change_count && !batch->result; i++)
        apply_change(batch, &txn->changes[i]);
    *revision = batch->meta.revision;
    return batch->result ? LMN_DB_FAILED : LMN_DB_APPLIED;
}

uint64_t lmn_db_grant_lease(struct lmn_db_batch *batch, uint32_t ttl_ms)
{
    uint64_t id = batch->meta.next_lease++, stored_id = GUINT64_TO_BE(id);
    const struct lmn_db_record_header header = {.lease = id};
    MDB_val key = {sizeof stored_id, &stored_id};
    g_autoptr(GByteArray) record = lmn_db_record_new();

    g_byte_array_append(record, (const guint8 *)&ttl_ms, sizeof ttl_ms);
    succeeded(batch, lmn_db_record_put(batch->txn, batch->db->dbi[LMN_DB_LEASES], &key,
                                       record, &header, 0, NULL));
    return batch->result ? 0 : id;
}

/* The keys of the records that are attached to the lease (the caller frees them); NULL if
 * LMDB reported an error. All are collected before the first is deleted, since a delete
 * moves the entries under the cursor. */
static GPtrArray *keys_of_lease(struct lmn_db_batch *batch, uint64_t lease)
{
    uint64_t stored_lease = GUINT64_TO_BE(lease);
    MDB_val key = {sizeof stored_lease, &stored_lease}, value;
    MDB_cursor *cursor;

    if (!succeeded(batch,
                   mdb_cursor_open(batch->txn, batch->db->dbi[LMN_DB_LEASED], &cursor)))
        return NULL;
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    for (int result = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE); !result;
         result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
        if (key.mv_size < sizeof stored_lease ||
            memcmp(key.mv_data, &stored_lease, sizeof stored_lease) != 0)
            break;
        g_ptr_array_add(keys, g_strndup((const char *)key.mv_data + sizeof stored_lease,
                                        key.mv_size - sizeof stored_lease));
    }
    mdb_cursor_close(cursor);
    return keys;
}

bool lmn_db_revoke_lease(struct lmn_db_batch *batch, uint64_t lease)
{
    uint64_t stored_lease = GUINT64_TO_BE(lease);
    MDB_val lease_key = {sizeof stored_lease, &stored_lease};

    if (!lease_exists(batch, lease))
        return false;
    g_autoptr(GPtrArray) keys = keys_of_lease(batch, lease);
    if (!keys)
        return false;
    if (keys->len)
        begin_revision(batch);
    for (guint i = 0; i < keys->len; i++)
        apply_change(batch, &(struct lmn_db_change){.key = keys->pdata[i]});
    return succeeded(
        batch, mdb_del(batch->txn, batch->db->dbi[LMN_DB_LEASES], &lease_key, NULL));
}

uint64_t lmn_db_batch_revision(const struct lmn_db_batch *batch)
{
    return batch->meta.revision;
}

/* Removes the oldest changes from the log until LMN_DB_MAX_LOGGED_CHANGES are left. */
static void compact_log(struct lmn_db_batch *batch)
{
    MDB_dbi dbi = batch->db->dbi[LMN_DB_LOG];
    MDB_stat statistics;
    MDB_cursor *cursor;
    MDB_val key, value;

    if (!succeeded(batch, mdb_stat(batch->txn, dbi, &statistics)) ||
        statistics.ms_entries <= LMN_DB_MAX_LOGGED_CHANGES ||
        !succeeded(batch, mdb_cursor_open(batch->txn, dbi, &cursor)))
        return;
    for (size_t surplus = statistics.ms_entries - LMN_DB_MAX_LOGGED_CHANGES;
         surplus > 0 && !batch->result; surplus--) {
        struct lmn_db_log_key log_key;
        if (!succeeded(batch, mdb_cursor_get(cursor, &key, &value, MDB_FIRST)))
            break;
        memcpy(&log_key, key.mv_data, sizeof log_key);
        batch->meta.compact_revision = GUINT64_FROM_BE(log_key.revision);
        succeeded(batch, mdb_cursor_del(cursor, 0));
    }
    mdb_cursor_close(cursor);
}

/* Whether LMDB refuses further write transactions (MDB_PANIC), as it does after a failed
 * commit whose root page it could not restore. It is then unknown which of the two root
 * pages is on the disk. */
static bool environment_panicked(struct lmn_db *db)
{
    MDB_txn *probe;
    int result = mdb_txn_begin(db->env, NULL, 0, &probe);

    if (!result)
        mdb_txn_abort(probe);
    return result == MDB_PANIC;
}

int lmn_db_commit(struct lmn_db_batch *batch, char *err, size_t len)
{
    struct lmn_db *db = batch->db;

    if (!batch->result)
        compact_log(batch);
    if (!batch->result)
        succeeded(batch, lmn_db_meta_write(batch->txn, db, &batch->meta));
    int result = batch->result;
    if (result)
        mdb_txn_abort(batch->txn);
    else
        result = mdb_txn_commit(batch->txn);
    g_free(batch);
    if (!result)
        return LMN_DB_COMMITTED;
    snprintf(err, len, "%s; %s", mdb_strerror(result), lmn_db_error_advice(result));
    return environment_panicked(db) ? LMN_DB_COMMIT_UNKNOWN : LMN_DB_NOT_COMMITTED;
}

void lmn_db_abort(struct lmn_db_batch *batch)
{
    mdb_txn_abort(batch->txn);
    g_free(batch);
}
