/** @file
 * How records lie in LMDB: for the files db_*.c of this folder only.
 *
 *     table    key                -> value
 *     data     key                -> struct lmn_db_record_header, value (CBOR)
 *     log      revision, number   -> struct lmn_db_record_header, kind (1: put, 0:
 * delete; one byte), length of the key (one byte), key, value leases   id -> struct
 * lmn_db_record_header, ttl in ms (32 bits) leased   id, key            -> (nothing) meta
 * "meta"             -> struct lmn_db_record_header, struct lmn_db_meta
 *
 * "leased" is the index from leases to the records that are attached to them. Numbers in
 * keys are big-endian, so that LMDB's order of bytes is the order of the numbers. Other
 * numbers are in the machine's byte order: a backup can be moved between machines of the
 * same byte order, a dump between all.
 *
 * All tables are written by the thread that holds the batch, and by nobody else. */
#ifndef LMN_KV_STORE_DB_FORMAT_H
#define LMN_KV_STORE_DB_FORMAT_H

#include "kv_store/db.h"

#include <lmdb.h>

/** The beginning of each stored value but those of "leased". */
struct lmn_db_record_header {
    uint64_t sum; /**< XXH3 of the key and of all that follows here */
    uint64_t revision, lease;
};

/** The tables, LMDB's named databases. */
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
    int lock_fd; /**< -1: opened for reading only */
};

/** A key of the log. */
struct lmn_db_log_key {
    uint64_t revision; /**< big-endian */
    uint32_t number;   /**< big-endian: the change's position within its transaction */
} __attribute__((packed));

/** Begins a record: a buffer that holds room for the head, for the value to be appended.
 */
GByteArray *lmn_db_record_new(void);

/** Writes a record that lmn_db_record_new() began, after filling in its head.
 * @param flags of mdb_put()
 * @param sum if not NULL, is set to the record's checksum
 * @return LMDB's code */
int lmn_db_record_put(MDB_txn *txn, MDB_dbi dbi, MDB_val *key, GByteArray *record,
                      const struct lmn_db_record_header *head, unsigned flags,
                      uint64_t *sum);

/** Whether the value is long enough to have a head and its checksum holds. */
bool lmn_db_record_is_intact(const MDB_val *key, const MDB_val *value);

/** The key of a record's entry in "leased"; the caller frees it. */
GByteArray *lmn_db_lease_index_key(uint64_t lease, const void *key, size_t len);

/** Reads a record of "data". @return false if it is none */
bool lmn_db_data_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item);

/** Reads a change of "log". @return false if it is none */
bool lmn_db_log_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item);

/** Reads the meta record. @return LMDB's code; MDB_CORRUPTED: the checksum fails */
int lmn_db_meta_read(MDB_txn *txn, const struct lmn_db *db, struct lmn_db_meta *meta);

/** Writes the meta record. @return LMDB's code */
int lmn_db_meta_write(MDB_txn *txn, const struct lmn_db *db,
                      const struct lmn_db_meta *meta);

/** A new random incarnation. */
uint64_t lmn_db_new_incarnation(void);

/** What an operator can do about an error. @param rc LMDB's code */
const char *lmn_db_error_advice(int rc);

#endif
