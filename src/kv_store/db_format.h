/** @file
 * The layout of records in LMDB. Internal to the files db_*.c of kv_store/.
 *
 *     table    key                -> value
 *     data     key                -> struct lmn_db_record_header, value (CBOR)
 *     log      revision, number   -> struct lmn_db_record_header, kind (1: put, 0:
 * delete; one byte), length of the key (one byte), key, value leases   id -> struct
 * lmn_db_record_header, ttl in ms (32 bits) leased   id, key            -> (nothing) meta
 * "meta"             -> struct lmn_db_record_header, struct lmn_db_meta
 *
 * "leased" is the index from leases to the records that are attached to them. Numbers in
 * keys are big-endian, so that LMDB's byte-wise order of keys is the numeric order. Other
 * numbers are in the machine's byte order: a backup can only be restored on a machine of
 * the same byte order, a dump on any.
 *
 * Only the thread that has the open batch writes the tables. */
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
    LMN_DB_TABLES
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

/** Creates a buffer with space for the header, to which the caller appends the value.
 */
GByteArray *lmn_db_record_new(void);

/** Fills in the header of a record from lmn_db_record_new(), including the checksum, and
 * writes the record.
 * @param flags of mdb_put()
 * @param checksum if not NULL, is set to the record's checksum
 * @return LMDB's code */
int lmn_db_record_put(MDB_txn *txn, MDB_dbi dbi, MDB_val *key, GByteArray *record,
                      const struct lmn_db_record_header *header, unsigned flags,
                      uint64_t *checksum);

/** Whether the value is long enough for a header and its checksum is correct. */
bool lmn_db_record_is_intact(const MDB_val *key, const MDB_val *value);

/** The key of a record's entry in "leased"; the caller frees it. */
GByteArray *lmn_db_lease_index_key(uint64_t lease, const void *key, size_t len);

/** Decodes a record of "data". @return false if it is malformed */
bool lmn_db_data_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item);

/** Decodes a change of "log". @return false if it is malformed */
bool lmn_db_log_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item);

/** Reads the meta record. @return LMDB's code; MDB_CORRUPTED: the size or the checksum is
 * wrong */
int lmn_db_meta_read(MDB_txn *txn, const struct lmn_db *db, struct lmn_db_meta *meta);

/** Writes the meta record. @return LMDB's code */
int lmn_db_meta_write(MDB_txn *txn, const struct lmn_db *db,
                      const struct lmn_db_meta *meta);

/** Returns a new random incarnation. */
uint64_t lmn_db_new_incarnation(void);

/** Advice to the operator for an error. @param result LMDB's result code */
const char *lmn_db_error_advice(int result);

#endif
