/** @file
 * Encodes and decodes the keys and values of the tables, with their checksums
 * (kv_store/db_format.h). Stateless. */
#include "kv_store/db_format.h"

#include <errno.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static char meta_key[] = "meta";

/* The checksum of a record's key and of its bytes after the checksum field. */
static uint64_t record_checksum(const MDB_val *key, const void *bytes, size_t len)
{
    return XXH3_64bits_withSeed(bytes, len, XXH3_64bits(key->mv_data, key->mv_size));
}

bool lmn_db_record_is_intact(const MDB_val *key, const MDB_val *value)
{
    struct lmn_db_record_header header;

    if (value->mv_size < sizeof header)
        return false;
    memcpy(&header, value->mv_data, sizeof header);
    return header.checksum ==
           record_checksum(key, (const char *)value->mv_data + sizeof header.checksum,
                           value->mv_size - sizeof header.checksum);
}

GByteArray *lmn_db_record_new(void)
{
    GByteArray *record = g_byte_array_new();

    g_byte_array_set_size(record, sizeof(struct lmn_db_record_header));
    return record;
}

int lmn_db_record_put(MDB_txn *txn, MDB_dbi dbi, MDB_val *key, GByteArray *record,
                      const struct lmn_db_record_header *header, unsigned flags,
                      uint64_t *checksum)
{
    struct lmn_db_record_header stored = *header;
    MDB_val value = {record->len, record->data};

    memcpy(record->data, &stored, sizeof stored);
    stored.checksum = record_checksum(key, record->data + sizeof stored.checksum,
                                      record->len - sizeof stored.checksum);
    memcpy(record->data, &stored, sizeof stored);
    if (checksum)
        *checksum = stored.checksum;
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
    struct lmn_db_record_header header;

    if (key->mv_size > LMN_DB_MAX_KEY_BYTES || value->mv_size < sizeof header)
        return false;
    memcpy(&header, value->mv_data, sizeof header);
    memcpy(item->key, key->mv_data, key->mv_size);
    item->key[key->mv_size] = '\0';
    item->value = (const char *)value->mv_data + sizeof header;
    item->len = value->mv_size - sizeof header;
    item->revision = header.revision;
    item->lease = header.lease;
    return true;
}

bool lmn_db_log_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item)
{
    enum { KIND_AND_LENGTH = 2 };
    struct lmn_db_record_header header;
    const guint8 *bytes = value->mv_data;
    size_t left = value->mv_size;

    if (key->mv_size != sizeof(struct lmn_db_log_key) ||
        left < sizeof header + KIND_AND_LENGTH)
        return false;
    memcpy(&header, bytes, sizeof header);
    bytes += sizeof header;
    left -= sizeof header;
    bool is_put = bytes[0] != 0;
    size_t key_len = bytes[1];
    if (key_len > LMN_DB_MAX_KEY_BYTES || left < KIND_AND_LENGTH + key_len)
        return false;
    memcpy(item->key, bytes + KIND_AND_LENGTH, key_len);
    item->key[key_len] = '\0';
    item->value = is_put ? bytes + KIND_AND_LENGTH + key_len : NULL;
    item->len = left - KIND_AND_LENGTH - key_len;
    item->revision = header.revision;
    item->lease = header.lease;
    return true;
}

int lmn_db_meta_read(MDB_txn *txn, const struct lmn_db *db, struct lmn_db_meta *meta)
{
    MDB_val key = {strlen(meta_key), meta_key}, value;
    int result = mdb_get(txn, db->dbi[LMN_DB_META], &key, &value);

    if (result)
        return result;
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
    const struct lmn_db_record_header header = {.revision = meta->revision};
    MDB_val key = {strlen(meta_key), meta_key};
    g_autoptr(GByteArray) record = lmn_db_record_new();

    g_byte_array_append(record, (const guint8 *)meta, sizeof *meta);
    return lmn_db_record_put(txn, db->dbi[LMN_DB_META], &key, record, &header, 0, NULL);
}

uint64_t lmn_db_new_incarnation(void)
{
    return (uint64_t)g_random_int() << 32 | g_random_int();
}

const char *lmn_db_error_advice(int result)
{
    switch (result) {
    case MDB_INVALID:
    case MDB_CORRUPTED:
    case MDB_PAGE_NOTFOUND:
        return "the file is damaged or not a database of lemonspar; 'lemonspar state "
               "check' lists the faults, 'lemonspar state restore' restores a backup";
    case MDB_VERSION_MISMATCH:
        return "it was written in another format of LMDB; use the version that wrote it";
    case ENOENT:
        return "there is no database; start 'lemonspar state' to create one";
    case ENOSPC:
    case MDB_MAP_FULL:
        return "there is no space; free disk space, or raise --map-gb";
    default:
        return "check the permissions of the directory and the disk";
    }
}
