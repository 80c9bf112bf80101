/* The database of the state service, on LMDB: records, the last changes, leases.
 *
 * One process writes (a lock on the directory says so), any number read. What a commit
 * has returned from survives the death of the process and of the machine; there is no
 * recovery step: LMDB writes pages nowhere in use, syncs them, and only then one of its
 * two roots. Every record carries a checksum, and the meta record a digest over all of
 * them, so that lmn_db_check can tell what LMDB itself can't: a flipped bit, or a record
 * that is missing.
 *
 * Threads: a batch belongs to one thread at a time; readers belong to their thread. No
 * locks here. */
#ifndef LMN_KV_STORE_DB_H
#define LMN_KV_STORE_DB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { LMN_DB_FORMAT = 1, LMN_DB_KEY = 200, LMN_DB_CHANGES = 10000 };

struct lmn_db;

struct lmn_db_options {
    const char *dir;
    double map_gb;  /* the most that the database may grow to; 0: 64 */
    bool read_only; /* reads beside a process that may be serving it */
    bool create;
};

/* NULL with what is wrong in err ("DIR: what; mend"). */
struct lmn_db *lmn_db_open(const struct lmn_db_options *options, char *err, size_t len);
void lmn_db_close(struct lmn_db *db);

/* What the meta record says, as of the last commit or read. */
struct lmn_db_meta {
    uint32_t format;
    uint64_t revision;
    uint64_t next_lease;
    uint64_t floor;       /* changes up to this revision may be missing from the log */
    uint64_t count;       /* records */
    uint64_t digest;      /* of all records: the exclusive or of their checksums */
    uint64_t incarnation; /* drawn anew when the database is made or restored */
};

/* --- writing --- */

struct lmn_db_cond {
    const char *key;
    uint64_t rev; /* 0: the key does not exist */
};
struct lmn_db_change {
    const char *key;
    const void *value; /* NULL: removed */
    size_t len;
    uint64_t lease; /* 0: none */
};
struct lmn_db_txn {
    struct lmn_db_cond *conds;
    struct lmn_db_change *changes;
    size_t nconds, nchanges;
};

enum lmn_db_outcome { LMN_DB_APPLIED, LMN_DB_CONFLICT, LMN_DB_NO_LEASE, LMN_DB_BROKEN };

/* Many transactions that share one sync. NULL: it can't be begun (err says why). */
struct lmn_db_batch;
struct lmn_db_batch *lmn_db_begin(struct lmn_db *db, char *err, size_t len);
/* Applies one, whole or not at all. LMN_DB_CONFLICT: keys whose condition failed are
 * added to failed (the caller's strings to free). LMN_DB_BROKEN: the batch can only be
 * given up. */
enum lmn_db_outcome lmn_db_apply(struct lmn_db_batch *batch, const struct lmn_db_txn *txn,
                                 uint64_t *rev, GPtrArray *failed);
/* A new lease; 0 if the batch is broken. */
uint64_t lmn_db_grant(struct lmn_db_batch *batch, uint32_t ttl_ms);
/* Ends a lease: removes what is attached to it. false: no such lease. */
bool lmn_db_revoke(struct lmn_db_batch *batch, uint64_t lease);
uint64_t lmn_db_batch_revision(const struct lmn_db_batch *batch);
/* Ends the batch. 0: on the disk. -1: nothing of it was applied, err says why. -2:
 * whether it was can't be told, and the database takes no more: the process has to end
 * without answering. */
int lmn_db_commit(struct lmn_db_batch *batch, char *err, size_t len);
void lmn_db_abort(struct lmn_db_batch *batch);

/* --- reading: a consistent view, of the calling thread --- */

struct lmn_db_reader;
struct lmn_db_reader *lmn_db_reader_new(struct lmn_db *db);
void lmn_db_reader_free(struct lmn_db_reader *reader);
/* Begins a view; pointers that it hands out hold until lmn_db_view_end. 0 or an
 * errno-like code. */
int lmn_db_view(struct lmn_db_reader *reader, struct lmn_db_meta *meta);
void lmn_db_view_end(struct lmn_db_reader *reader);

struct lmn_db_item {
    char key[LMN_DB_KEY + 1];
    const void *value; /* NULL: a removal, in the log */
    size_t len;
    uint64_t rev, lease;
};
bool lmn_db_get(struct lmn_db_reader *reader, const char *key, struct lmn_db_item *item);
/* Calls f for each record under the prefix after the key (NULL: from the first), in key
 * order, until f returns false. */
void lmn_db_list(struct lmn_db_reader *reader, const char *prefix, const char *after,
                 bool (*f)(void *arg, const struct lmn_db_item *item), void *arg);
/* Calls f for each change after the revision, in order, whatever its key. */
void lmn_db_changes(struct lmn_db_reader *reader, uint64_t after,
                    bool (*f)(void *arg, const struct lmn_db_item *item), void *arg);
void lmn_db_leases(struct lmn_db_reader *reader,
                   void (*f)(void *arg, uint64_t id, uint32_t ttl_ms), void *arg);

/* --- care --- */

/* Reads everything and compares it; calls say for each thing that is wrong. Returns how
 * many. It runs in a child process, since a damaged tree can end its reader. */
unsigned lmn_db_check(const char *dir, void (*say)(void *arg, const char *what),
                      void *arg, struct lmn_db_meta *meta);
/* A consistent copy into a new file, while it is served or not. 0, or -1 with err. */
int lmn_db_backup(const char *dir, const char *file, char *err, size_t len);
/* A new directory's database from such a file. Its revision goes on far above any that
 * can have been given out after the backup, it gets a new incarnation, and no changes can
 * be followed across. */
int lmn_db_restore(const char *file, const char *dir, char *err, size_t len);

#endif
