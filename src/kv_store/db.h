/** @file
 * The embedded database of the key-value store, on LMDB: records, the log of the last
 * changes, and leases.
 *
 * One process writes and holds a lock on the directory; other processes may read at the
 * same time. A batch whose lmn_db_commit() returned LMN_DB_COMMITTED survives a crash of
 * the process and of the machine. There is no recovery step: LMDB writes changed pages to
 * places that are not in use, syncs them, and only then writes and syncs one of its two
 * root pages.
 *
 * Every record has a checksum, and the meta record a digest over all records, so that
 * lmn_db_check() finds damage that LMDB itself does not detect: a flipped bit, or a
 * missing record.
 *
 * This layer uses neither HTTP nor clocks: the server decides when a lease expires
 * (kv_store/lease.c).
 *
 * Threads: there are no locks in this layer. Only one batch may be open at a time, used
 * by one thread at a time. Each reader is used by one thread only.
 *
 * Errors are returned as text in `err`, a buffer of `len` bytes, or as LMDB's result code
 * `result`: 0, an errno, or a negative MDB_ code. */
#ifndef LMN_KV_STORE_DB_H
#define LMN_KV_STORE_DB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    LMN_DB_FORMAT_VERSION = 1,         /**< version of the record format on disk */
    LMN_DB_MAX_KEY_BYTES = 200,        /**< longest key, in bytes */
    LMN_DB_MAX_LOGGED_CHANGES = 10000, /**< the most changes that the log keeps */
};

/** An open database. */
struct lmn_db;

/** How to open a database. */
struct lmn_db_options {
    const char *dir;
    double map_gb;  /**< the largest size of the database in GiB; 0: 64 if `create`,
                         else the recorded size */
    bool read_only; /**< take no lock: another process may be serving the directory */
    bool create; /**< create the directory and an empty database if they do not exist */
};

/** Opens a database.
 * @return NULL if it can't be opened; err is then "DIR: cause; advice to the operator" */
struct lmn_db *lmn_db_open(const struct lmn_db_options *options, char *err, size_t len);

/** Closes the database and releases the lock on its directory. All batches must have
 * ended, and all readers must have been freed. */
void lmn_db_close(struct lmn_db *db);

/** The meta record, as of the last commit or of a view. Stored on disk in this layout. */
struct lmn_db_meta {
    uint32_t format; /**< LMN_DB_FORMAT_VERSION */
    uint64_t revision;
    uint64_t next_lease;
    uint64_t compact_revision; /**< the log may lack changes up to and including this
                                  revision */
    uint64_t count;            /**< number of records */
    uint64_t digest;           /**< exclusive or of the checksums of all records */
    uint64_t incarnation; /**< random; new when the database is created or restored */
};

/** @name Writing
 * @{ */

/** A condition of a compare-and-swap transaction. */
struct lmn_db_condition {
    const char *key;
    uint64_t revision; /**< required revision of the record; 0: the key must not exist */
};

/** A put or a delete. */
struct lmn_db_change {
    const char *key;
    const void *value; /**< NULL: the key is deleted */
    size_t len;
    uint64_t lease; /**< whose end deletes the record; 0: none */
};

/** A compare-and-swap transaction: all changes are made if all conditions hold, otherwise
 * none. */
struct lmn_db_txn {
    struct lmn_db_condition *conditions;
    struct lmn_db_change *changes;
    size_t condition_count, change_count;
};

/** The outcome of a transaction. */
enum lmn_db_outcome {
    LMN_DB_APPLIED,
    LMN_DB_CONFLICT, /**< a condition did not hold; nothing was changed */
    LMN_DB_NO_LEASE, /**< a put names a lease that does not exist; nothing was changed */
    LMN_DB_FAILED,   /**< LMDB reported an error: the batch can't be committed any more */
};

/** Transactions that are committed together with one sync of the disk. */
struct lmn_db_batch;

/** Begins a batch. @return NULL on an error, with its text in err */
struct lmn_db_batch *lmn_db_begin(struct lmn_db *db, char *err, size_t len);

/** Applies one transaction within the batch: all of its changes or none.
 * @param revision is set to the database's revision after the transaction
 * @param failed on LMN_DB_CONFLICT gets a copy of each key whose condition did not hold
 * (the caller frees them); may be NULL if the transaction has no conditions */
enum lmn_db_outcome lmn_db_apply(struct lmn_db_batch *batch, const struct lmn_db_txn *txn,
                                 uint64_t *revision, GPtrArray *failed);

/** Creates a lease. @return its id; 0 if LMDB reported an error */
uint64_t lmn_db_grant_lease(struct lmn_db_batch *batch, uint32_t ttl_ms);

/** Ends a lease and deletes the records that are attached to it.
 * @return false if the lease does not exist, or LMDB reported an error */
bool lmn_db_revoke_lease(struct lmn_db_batch *batch, uint64_t lease);

/** The revision that the database will have after the batch is committed. */
uint64_t lmn_db_batch_revision(const struct lmn_db_batch *batch);

/** The result of lmn_db_commit(). */
enum lmn_db_commit_result {
    LMN_DB_COMMITTED = 0,      /**< the batch is synced to the disk */
    LMN_DB_NOT_COMMITTED = -1, /**< nothing of the batch was applied */
    /** It is unknown whether the batch was applied, and the database takes no more
     * batches. The process must end without answering any client of the batch. */
    LMN_DB_COMMIT_UNKNOWN = -2,
};

/** Commits the batch, syncs the disk, and frees the batch whatever the result.
 * @return enum lmn_db_commit_result; unless it is LMN_DB_COMMITTED, err has the cause */
int lmn_db_commit(struct lmn_db_batch *batch, char *err, size_t len);

/** Discards and frees the batch; none of its transactions is applied. */
void lmn_db_abort(struct lmn_db_batch *batch);

/** @}
 * @name Reading
 * @{ */

/** A reader of consistent views of the database. */
struct lmn_db_reader;

/** Makes a reader for the calling thread. */
struct lmn_db_reader *lmn_db_reader_new(struct lmn_db *db);

/** Frees the reader. Its view must have been ended with lmn_db_view_end(). */
void lmn_db_reader_free(struct lmn_db_reader *reader);

/** Begins a view: a consistent state of the database. Pointers into it stay
 * valid until lmn_db_view_end(). While a view is open LMDB can't reuse the pages that the
 * view refers to, and the file grows with each commit: keep views short.
 * @param meta is set to the meta record of the view
 * @return 0, or LMDB's result code if no view was begun */
int lmn_db_view_begin(struct lmn_db_reader *reader, struct lmn_db_meta *meta);

/** Ends the view. */
void lmn_db_view_end(struct lmn_db_reader *reader);

/** A record, or a change from the log. */
struct lmn_db_item {
    char key[LMN_DB_MAX_KEY_BYTES + 1];
    const void *value; /**< NULL in the log: the key was deleted */
    size_t len;
    uint64_t revision; /**< revision of the transaction that wrote the item */
    uint64_t lease;    /**< 0: none */
};

/** Reads one record. @return false if the key does not exist */
bool lmn_db_get(struct lmn_db_reader *reader, const char *key, struct lmn_db_item *item);

/** Calls `visit` for each record whose key begins with the prefix, in the order of keys,
 * until `visit` returns false.
 * @param after only keys greater than this one; NULL: from the first */
void lmn_db_list(struct lmn_db_reader *reader, const char *prefix, const char *after,
                 bool (*visit)(void *arg, const struct lmn_db_item *item), void *arg);

/** Calls `visit` for each logged change with a revision greater than `after`, whatever
 * its key, in the order of the changes, until `visit` returns false. */
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

/** Reads and verifies the whole database in a child process, since a damaged page can
 * make the reading process crash.
 * @param report is called with a line of text for each fault
 * @param meta is set to the meta record; all 0 if it could not be read
 * @return the number of faults */
unsigned lmn_db_check(const char *dir, void (*report)(void *arg, const char *what),
                      void *arg, struct lmn_db_meta *meta);

/** Writes a consistent copy of the database, which another process may be serving, to a
 * file. The file gets its name only after the copy is complete and synced.
 * @return 0, or -1 with the cause in err */
int lmn_db_backup(const char *dir, const char *file, char *err, size_t len);

/** Creates a database in a new directory from a backup. Its revision is higher by 2^32
 * than the backup's, so that no revision used after the backup is used again. It has a
 * new incarnation and an empty log, so that watches from before the restore are answered
 * that their revision is compacted.
 * @return 0, or -1 with the cause in err */
int lmn_db_restore(const char *file, const char *dir, char *err, size_t len);

/** @} */

#endif
