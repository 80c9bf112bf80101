/** @file
 * The embedded database of the key-value store, on LMDB: records, the log of the last
 * changes, and leases.
 *
 * One process writes (it holds a lock on the directory); any number of processes may read
 * at the same time. What a commit has returned from survives the death of the process and
 * of the machine. There is no recovery step: LMDB writes changed pages to places that are
 * not in use, syncs them, and only then writes and syncs one of its two root pages.
 *
 * Every record carries a checksum, and the meta record a digest over all records, so that
 * lmn_db_check() finds what LMDB itself can't: a flipped bit, or a record that is
 * missing.
 *
 * This layer knows neither HTTP nor clocks: when a lease expires is decided by the server
 * (kv_store/lease.c).
 *
 * Threads: there are no locks here. A batch belongs to one thread at a time, and LMDB
 * allows one batch at a time; a reader belongs to the thread that uses it.
 *
 * Errors are given as text in `err`, a buffer of `len` bytes, or as LMDB's codes (`rc`:
 * 0, an errno, or a negative MDB_ code). */
#ifndef LMN_KV_STORE_DB_H
#define LMN_KV_STORE_DB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    LMN_DB_FORMAT_VERSION = 1,         /**< of the records on the disk */
    LMN_DB_MAX_KEY_BYTES = 200,        /**< longest key, in bytes */
    LMN_DB_MAX_LOGGED_CHANGES = 10000, /**< changes that the log keeps */
};

/** An open database. */
struct lmn_db;

/** How to open a database. */
struct lmn_db_options {
    const char *dir;
    double map_gb;  /**< the most that the database may grow to, in GiB; 0: 64 */
    bool read_only; /**< take no lock: another process may be serving the directory */
    bool create;    /**< make the directory and an empty database if there is none */
};

/** Opens a database.
 * @return NULL if it can't be opened; err then says "DIR: what is wrong; what to do" */
struct lmn_db *lmn_db_open(const struct lmn_db_options *options, char *err, size_t len);

/** Closes the database and gives up the lock on its directory. Its batches and readers
 * must have ended. */
void lmn_db_close(struct lmn_db *db);

/** The meta record, as of the last commit or of the view. Stored as it stands here. */
struct lmn_db_meta {
    uint32_t format; /**< LMN_DB_FORMAT_VERSION */
    uint64_t revision;
    uint64_t next_lease;
    uint64_t compact_revision; /**< changes up to here may be missing from the log */
    uint64_t count;            /**< of records */
    uint64_t digest;           /**< of all records: the exclusive or of their checksums */
    uint64_t incarnation;      /**< drawn when the database is made or restored */
};

/** @name Writing
 * @{ */

/** A condition of a compare-and-swap transaction. */
struct lmn_db_condition {
    const char *key;
    uint64_t revision; /**< that the record must have; 0: there must be no such key */
};

/** A put or a delete. */
struct lmn_db_change {
    const char *key;
    const void *value; /**< NULL: the key is deleted */
    size_t len;
    uint64_t lease; /**< that the record is attached to; 0: none */
};

/** A compare-and-swap transaction: the changes are made if all conditions hold. */
struct lmn_db_txn {
    struct lmn_db_condition *conditions;
    struct lmn_db_change *changes;
    size_t condition_count, change_count;
};

/** What became of a transaction. */
enum lmn_db_outcome {
    LMN_DB_APPLIED,
    LMN_DB_CONFLICT, /**< a condition failed; nothing was changed */
    LMN_DB_NO_LEASE, /**< a put names a lease that does not exist; nothing was changed */
    LMN_DB_FAILED,   /**< LMDB reported an error: the batch can only be given up */
};

/** Transactions that are committed together, and so share one sync of the disk. */
struct lmn_db_batch;

/** Begins a batch. @return NULL if that failed; err says why */
struct lmn_db_batch *lmn_db_begin(struct lmn_db *db, char *err, size_t len);

/** Applies one transaction within the batch, whole or not at all.
 * @param revision is set to the database's revision after the transaction
 * @param failed on LMN_DB_CONFLICT gets a copy of each key whose condition failed (the
 *     caller frees them); may be NULL if the transaction has no conditions */
enum lmn_db_outcome lmn_db_apply(struct lmn_db_batch *batch, const struct lmn_db_txn *txn,
                                 uint64_t *revision, GPtrArray *failed);

/** Makes a new lease. @return its id; 0 if the batch is broken */
uint64_t lmn_db_grant_lease(struct lmn_db_batch *batch, uint32_t ttl_ms);

/** Ends a lease and deletes the records that are attached to it.
 * @return false if there is no such lease, or the batch is broken */
bool lmn_db_revoke_lease(struct lmn_db_batch *batch, uint64_t lease);

/** The revision that the database will have once the batch is committed. */
uint64_t lmn_db_batch_revision(const struct lmn_db_batch *batch);

/** What lmn_db_commit() returns. */
enum lmn_db_commit_result {
    LMN_DB_COMMITTED = 0,      /**< it is on the disk */
    LMN_DB_NOT_COMMITTED = -1, /**< nothing of the batch was applied */
    /** It is unknown whether it was applied, and the database takes no more batches: the
     * process has to end without answering anyone. */
    LMN_DB_COMMIT_UNKNOWN = -2,
};

/** Ends and frees the batch, after a sync of the disk.
 * @return enum lmn_db_commit_result; unless it is LMN_DB_COMMITTED, err says why */
int lmn_db_commit(struct lmn_db_batch *batch, char *err, size_t len);

/** Ends and frees the batch; nothing of it is applied. */
void lmn_db_abort(struct lmn_db_batch *batch);

/** @}
 * @name Reading
 * @{ */

/** Reads consistent views of the database. */
struct lmn_db_reader;

/** Makes a reader for the calling thread. */
struct lmn_db_reader *lmn_db_reader_new(struct lmn_db *db);

/** Frees the reader; its view must have ended. */
void lmn_db_reader_free(struct lmn_db_reader *reader);

/** Begins a view: a consistent state of the database. Pointers into it stay
 * valid until lmn_db_view_end(). While a view is open LMDB can't use the pages that it
 * shows again, so it must be short.
 * @param meta is set to the meta record of the view
 * @return 0 or LMDB's code; then there is no view to end */
int lmn_db_view_begin(struct lmn_db_reader *reader, struct lmn_db_meta *meta);

/** Ends the view. */
void lmn_db_view_end(struct lmn_db_reader *reader);

/** A record, or a change of the log. */
struct lmn_db_item {
    char key[LMN_DB_MAX_KEY_BYTES + 1];
    const void *value; /**< NULL in the log: the key was deleted */
    size_t len;
    uint64_t revision; /**< of the transaction that wrote it */
    uint64_t lease;    /**< 0: none */
};

/** Reads one record. @return false if there is none */
bool lmn_db_get(struct lmn_db_reader *reader, const char *key, struct lmn_db_item *item);

/** Calls `visit` for each record whose key begins with the prefix, in the order of keys,
 * until it returns false.
 * @param after only keys behind this one; NULL: from the first */
void lmn_db_list(struct lmn_db_reader *reader, const char *prefix, const char *after,
                 bool (*visit)(void *arg, const struct lmn_db_item *item), void *arg);

/** Calls `visit` for each logged change after the revision, whatever its key, in their
 * order, until it returns false. */
void lmn_db_list_changes(struct lmn_db_reader *reader, uint64_t after,
                         bool (*visit)(void *arg, const struct lmn_db_item *item),
                         void *arg);

/** Calls `visit` for each lease. */
void lmn_db_list_leases(struct lmn_db_reader *reader,
                        void (*visit)(void *arg, uint64_t id, uint32_t ttl_ms),
                        void *arg);

/** @}
 * @name Check, backup and restore
 * @{ */

/** Reads the whole database and verifies it. The reading is done by a child process,
 * since a damaged tree of pages can make its reader crash.
 * @param say is called with a line of text for each thing that is wrong
 * @param meta is set to the meta record; all 0 if it could not be read
 * @return how many things are wrong */
unsigned lmn_db_check(const char *dir, void (*say)(void *arg, const char *what),
                      void *arg, struct lmn_db_meta *meta);

/** Writes a consistent copy of the database, which may be in service, into a new file.
 * The file gets its name only when the copy is whole and synced.
 * @return 0, or -1 with err */
int lmn_db_backup(const char *dir, const char *file, char *err, size_t len);

/** Makes a new directory's database from a backup. Its revision continues far above any
 * that can have been given out after the backup, it gets a new incarnation, and no watch
 * can follow changes across the restore.
 * @return 0, or -1 with err */
int lmn_db_restore(const char *file, const char *dir, char *err, size_t len);

/** @} */

#endif
