/* How records lie in LMDB: for db_write.c, db_read.c and db_care.c only.
 *
 *   data    key                -> struct head, value (CBOR)
 *   log     revision, number   -> struct head, kind, length of the key, key, value
 *   leases  id                 -> struct head, ttl in ms
 *   leased  id, key            -> (nothing)
 *   meta    "meta"             -> struct head, struct lmn_db_meta
 *
 * Numbers in keys are big-endian, so that LMDB's order is theirs; others are the
 * machine's: a backup moves between machines of one byte order, a dump between all. */
#ifndef LMN_KV_STORE_DB_FORMAT_H
#define LMN_KV_STORE_DB_FORMAT_H

#include "kv_store/db.h"

#include <lmdb.h>

struct lmn_db_head {
    uint64_t sum; /* XXH3 of the key and of all that follows here */
    uint64_t rev, lease;
};

enum { LMN_DATA, LMN_LOG, LMN_LEASES, LMN_LEASED, LMN_META, LMN_DBIS };

struct lmn_db {
    MDB_env *env;
    MDB_dbi dbi[LMN_DBIS];
    char *dir;
    int lock_fd; /* -1: a reader */
};

struct lmn_db_log_key {
    uint64_t rev; /* big-endian */
    uint32_t n;   /* big-endian: the change's number within its transaction */
} __attribute__((packed));

/* The checksum of a record: key, and its bytes after the sum. */
uint64_t lmn_db_sum(const MDB_val *key, const void *bytes, size_t len);
/* Whether the value is long enough and its checksum holds. */
bool lmn_db_intact(const MDB_val *key, const MDB_val *value);
/* Parts of a change in the log; false if it is none. */
bool lmn_db_log_read(const MDB_val *key, const MDB_val *value, struct lmn_db_item *item);
int lmn_db_meta_read(MDB_txn *txn, const struct lmn_db *db, struct lmn_db_meta *meta);
int lmn_db_meta_write(MDB_txn *txn, const struct lmn_db *db,
                      const struct lmn_db_meta *meta);

#endif
