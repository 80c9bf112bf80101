/** @file
 * The layout of records in LMDB. Internal to the files db_*.c of kv_store/.
 *
 * The tables, each with its key and its value. Every value but those of "leased" begins
 * with a struct lmn_db_record_header; the list gives what follows the header.
 *
 * - data: the record's key -> the record's value (CBOR)
 * - log: struct lmn_db_log_key -> kind of the change (one byte; 1: put, 0: delete),
 *   length of the record's key (one byte), the record's key, its new value (put only)
 * - leases: id of the lease (64 bits) -> time to live in ms (32 bits)
 * - leased: id of the lease (64 bits), key of a record -> (empty)
 * - meta: "meta" -> struct lmn_db_meta
 *
 * "leased" is the index from leases to the records that are attached to them. Numbers in
 * keys are big-endian, so that LMDB's byte-wise order of keys is the numeric order.
 * Numbers in values are in the machine's byte order: a backup can be restored only on a
 * machine with the byte order of the machine that wrote it, a dump on any machine.
 *
 * The tables are written only by the thread that holds the open batch (lmn_db_begin()).
 */
#ifndef LMN_KV_STORE_DB_FORMAT_H
#define LMN_KV_STORE_DB_FORMAT_H

#include "kv_store/db.h"

#include <lmdb.h>

/** The header of each stored value in all tables but "leased". */
struct lmn_db_record_header {
    uint64_t checksum; /**< XXH3 of the key and of all bytes after this field */
    uint64_t revision, lease;
};

/** The tables; each is a named database of LMDB. */
enum lmn_db_table {
    LMN_DB_DATA,
    LMN_DB_LOG,
    LMN_DB_LEASES,
    LMN_DB_LEASED,
    LMN_DB_META,
    LMN_DB_TABLES /**< number of tables */
};

/** An open database. */
struct lmn_db {
    MDB_env *env;
    MDB_dbi dbi[LMN_DB_TABLES];
    char *dir;
    int lock_fd; /**< -1: opened read-only */
};

/** A key of the log. */
struct lmn_db_log_key {
    uint64_t revision; /**< big-endian */
    uint32_t number;   /**< big-endian: the change's position within its transaction */
} __attribute__((packed));

/** Creates a buffer that begins with space for the header. The caller appends the value
 * to the buffer. */
GByteArray *lmn_db_record_new(void);

/** Writes a record. Its header is copied from `header`, except for the checksum, which is
 * computed here.
 * @param record a buffer that lmn_db_record_new() created
 * @param flags for mdb_put()
 * @param checksum if not NULL, is set to the record's checksum
 * @return LMDB's code */
int lmn_db_record_put(MDB_txn *txn, MDB_dbi dbi, MDB_val *key, GByteArray *record,
                      const struct lmn_db_record_header *header, unsigned flags,
                      uint64_t *checksum);

/** Whether the value is long enough for a header and its checksum is correct. */
bool lmn_db_record_is_intact(const MDB_val *key, const MDB_val *value);

/** The key of a record's entry in "leased"; the caller frees it. */
GByteArray *lmn_db_lease_index_key(uint64_t lease, const void *key, size_t len);

/** Decodes a record of "data" without verifying its checksum. item->value points into the
 * value. @return false if the record is malformed */
bool lmn_db_data_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item);

/** Decodes a change of "log" without verifying its checksum. item->value points into the
 * value. @return false if the change is malformed */
bool lmn_db_log_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item);

/** Reads the meta record. @return LMDB's code; MDB_CORRUPTED: the record's size or
 * checksum is wrong */
int lmn_db_meta_read(MDB_txn *txn, const struct lmn_db *db, struct lmn_db_meta *meta);

/** Writes the meta record. @return LMDB's code */
int lmn_db_meta_write(MDB_txn *txn, const struct lmn_db *db,
                      const struct lmn_db_meta *meta);

/** Returns a random incarnation for a database that is created or restored. */
uint64_t lmn_db_new_incarnation(void);

/** Returns advice to the operator about an error. @param result LMDB's result code */
const char *lmn_db_error_advice(int result);

#endif
