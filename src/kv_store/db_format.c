/** @file
 * Records as they lie in LMDB: checksums, and the tables' keys and values
 * (kv_store/db_format.h). No state of its own. */
#include "kv_store/db_format.h"

#include <errno.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static char meta_key[] = "meta";

/* The checksum of a record: of its key, and of its bytes after the sum. */
static uint64_t record_sum(const MDB_val *key, const void *bytes, size_t len)
{
    return XXH3_64bits_withSeed(bytes, len, XXH3_64bits(key->mv_data, key->mv_size));
}

bool lmn_db_record_is_intact(const MDB_val *key, const MDB_val *value)
{
    struct lmn_db_record_header head;

    if (value->mv_size < sizeof head)
        return false;
    memcpy(&head, value->mv_data, sizeof head);
    return head.sum == record_sum(key, (const char *)value->mv_data + sizeof head.sum,
                                  value->mv_size - sizeof head.sum);
}

GByteArray *lmn_db_record_new(void)
{
    GByteArray *record = g_byte_array_new();

    g_byte_array_set_size(record, sizeof(struct lmn_db_record_header));
    return record;
}

int lmn_db_record_put(MDB_txn *txn, MDB_dbi dbi, MDB_val *key, GByteArray *record,
                      const struct lmn_db_record_header *head, unsigned flags,
                      uint64_t *sum)
{
    struct lmn_db_record_header stored = *head;
    MDB_val value = {record->len, record->data};

    memcpy(record->data, &stored, sizeof stored);
    stored.sum = record_sum(key, record->data + sizeof stored.sum,
                            record->len - sizeof stored.sum);
    memcpy(record->data, &stored, sizeof stored);
    if (sum)
        *sum = stored.sum;
    return mdb_put(txn, dbi, key, &value, flags);
}

GByteArray *lmn_db_lease_index_key(uint64_t lease, const void *key, size_t len)
{
    GByteArray *bytes = g_byte_array_new();
    uint64_t stored_lease = GUINT64_TO_BE(lease);

    g_byte_array_append(bytes, (const guint8 *)&stored_lease, sizeof stored_lease);
    g_byte_array_append(bytes, key, (guint)len);
    return bytes;
}

bool lmn_db_data_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item)
{
    struct lmn_db_record_header head;

    if (key->mv_size > LMN_DB_MAX_KEY_BYTES || value->mv_size < sizeof head)
        return false;
    memcpy(&head, value->mv_data, sizeof head);
    memcpy(item->key, key->mv_data, key->mv_size);
    item->key[key->mv_size] = '\0';
    item->value = (const char *)value->mv_data + sizeof head;
    item->len = value->mv_size - sizeof head;
    item->revision = head.revision;
    item->lease = head.lease;
    return true;
}

bool lmn_db_log_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item)
{
    enum { KIND_AND_LENGTH = 2 };
    struct lmn_db_record_header head;
    const guint8 *bytes = value->mv_data;
    size_t left = value->mv_size;

    if (key->mv_size != sizeof(struct lmn_db_log_key) ||
        left < sizeof head + KIND_AND_LENGTH)
        return false;
    memcpy(&head, bytes, sizeof head);
    bytes += sizeof head;
    left -= sizeof head;
    bool is_put = bytes[0] != 0;
    size_t key_len = bytes[1];
    if (key_len > LMN_DB_MAX_KEY_BYTES || left < KIND_AND_LENGTH + key_len)
        return false;
    memcpy(item->key, bytes + KIND_AND_LENGTH, key_len);
    item->key[key_len] = '\0';
    item->value = is_put ? bytes + KIND_AND_LENGTH + key_len : NULL;
    item->len = left - KIND_AND_LENGTH - key_len;
    item->revision = head.revision;
    item->lease = head.lease;
    return true;
}

int lmn_db_meta_read(MDB_txn *txn, const struct lmn_db *db, struct lmn_db_meta *meta)
{
    MDB_val key = {strlen(meta_key), meta_key}, value;
    int rc = mdb_get(txn, db->dbi[LMN_DB_META], &key, &value);

    if (rc)
        return rc;
    if (value.mv_size != sizeof(struct lmn_db_record_header) + sizeof *meta ||
        !lmn_db_record_is_intact(&key, &value))
        return MDB_CORRUPTED;
    memcpy(meta, (const char *)value.mv_data + sizeof(struct lmn_db_record_header),
           sizeof *meta);
    return 0;
}

int lmn_db_meta_write(MDB_txn *txn, const struct lmn_db *db,
                      const struct lmn_db_meta *meta)
{
    const struct lmn_db_record_header head = {.revision = meta->revision};
    MDB_val key = {strlen(meta_key), meta_key};
    g_autoptr(GByteArray) record = lmn_db_record_new();

    g_byte_array_append(record, (const guint8 *)meta, sizeof *meta);
    return lmn_db_record_put(txn, db->dbi[LMN_DB_META], &key, record, &head, 0, NULL);
}

uint64_t lmn_db_new_incarnation(void)
{
    return (uint64_t)g_random_int() << 32 | g_random_int();
}

const char *lmn_db_error_advice(int rc)
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
