/** @file
 * Declarations shared by the source files of the key-value store's server.
 *
 * Two locks, never held together: `lock` guards the queue to the writer, the leases and
 * the counters; `watch_lock` guards the watches. No thread does I/O while it holds one of
 * them. */
#ifndef LMN_KV_STORE_KV_STORE_INTERNAL_H
#define LMN_KV_STORE_KV_STORE_INTERNAL_H

#include "util/token_bucket.h"
#include "http/server.h"
#include "util/latency.h"
#include "protocol/cbor.h"
#include "kv_store/db.h"
#include "kv_store/kv_store.h"

#include <pthread.h>

/** HTTP statuses of the protocol (docs/state.md). */
enum lmn_kv_store_status {
    LMN_KV_STORE_OK = 200,
    LMN_KV_STORE_INVALID = 400,
    LMN_KV_STORE_NOT_FOUND = 404,
    LMN_KV_STORE_CONFLICT = 409,
    LMN_KV_STORE_COMPACTED = 410, /**< changes that the watch asks for may be missing in
                                     the log: the client must list all keys again */
    LMN_KV_STORE_RATE_LIMITED = 429,
    LMN_KV_STORE_UNAVAILABLE = 503,
};

/** The largest body of a request, in bytes, as sent and as JSON. */
enum { LMN_KV_STORE_MAX_BODY_BYTES = 64 * 1024 };

/** The kind of a queued write. */
enum lmn_kv_store_operation_kind {
    LMN_KV_STORE_TXN,
    LMN_KV_STORE_GRANT,
    LMN_KV_STORE_REVOKE, /**< a client ends a lease */
    LMN_KV_STORE_EXPIRE  /**< the lease thread ends an expired lease */
};

/** A write that is queued for the writer, and its outcome after the commit. Owned by the
 * queue, then by the writer. */
struct lmn_kv_store_operation {
    enum lmn_kv_store_operation_kind kind;
    struct lmn_http_request *request; /**< request to answer; NULL: none */
    struct lmn_db_txn txn;
    GPtrArray *bytes; /**< keys and values that txn points at */
    uint64_t lease;   /**< the lease to end; after a grant: the new lease */
    uint32_t ttl_ms;
    int status; /**< the outcome: enum lmn_kv_store_status */
    uint64_t revision;
    GPtrArray *failed; /**< keys whose conditions did not hold */
};

/** A lease in memory. Its deadline is not stored: after a restart the server gives each
 * lease its full time to live again. */
struct lmn_kv_store_lease {
    uint64_t id;
    uint32_t ttl_ms;
    struct timespec expires_at;
    bool is_ending; /**< its end is queued for the writer: it can't be renewed */
};

/** A watch that waits for changes. */
struct lmn_kv_store_watch {
    struct lmn_http_request *request;
    char *prefix;
    uint64_t scanned_revision; /**< no change up to this revision matches the prefix,
                                  unless it was in an earlier response */
    struct timespec deadline;  /**< when it is answered with an empty list of changes */
};

/** The server. */
struct lmn_kv_store {
    struct lmn_kv_store_options options; /**< set before the threads start */
    struct lmn_db *db;                   /**< batches are used by the writer only */
    struct lmn_db_reader *reader;        /**< used by the HTTP thread only */
    struct lmn_http_server *server;
    struct lmn_token_bucket requests, writes; /**< used by the HTTP thread only */

    pthread_mutex_t lock; /**< guards the fields up to watch_lock */
    pthread_cond_t operation_queued;
    GQueue operations;  /**< struct lmn_kv_store_operation */
    GHashTable *leases; /**< id -> struct lmn_kv_store_lease */
    uint64_t applied, conflicts, refused, rate_limited, syncs, failures;
    struct lmn_latency commit_latency;
    double largest_batch; /**< the most operations committed with one sync */

    pthread_mutex_t watch_lock; /**< guards the fields below */
    pthread_cond_t watch_changed;
    GQueue watches;       /**< struct lmn_kv_store_watch */
    uint64_t revision;    /**< revision of the last commit */
    bool has_stale_watch; /**< a commit was made after the view against which a
                               queued watch was checked */
};

/** Creates an operation of the kind; its other fields are zero. */
struct lmn_kv_store_operation *
lmn_kv_store_operation_new(enum lmn_kv_store_operation_kind kind,
                           struct lmn_http_request *request);

/** Frees the operation and everything that it points to except the request. */
void lmn_kv_store_operation_free(struct lmn_kv_store_operation *operation);

/** Queues the operation for the writer, which takes ownership. Takes the lock.
 * @return false if the queue is full: the request was answered with 503 and the operation
 *     was freed */
bool lmn_kv_store_submit(struct lmn_kv_store *store,
                         struct lmn_kv_store_operation *operation);

/** Adds a lease in memory, which expires ttl_ms after `now` unless it is renewed. The
 * lock is held, or the threads are not started yet. */
void lmn_kv_store_add_lease(struct lmn_kv_store *store, uint64_t id, uint32_t ttl_ms,
                            struct timespec now);

/** Takes the amount from the bucket. If the bucket holds less, answers the request with
 * 429 and counts it in rate_limited. Takes the lock. @return whether the request was
 * answered */
bool lmn_kv_store_reject_if_rate_limited(struct lmn_kv_store *store,
                                         struct lmn_http_request *request,
                                         struct lmn_token_bucket *bucket, double amount);

/** Whether the text is a valid key: 1 to LMN_DB_MAX_KEY_BYTES bytes without spaces. */
bool lmn_kv_store_key_is_valid(const char *key);

/** @name Handlers of requests, on the HTTP thread
 * @{ */
/** POST of a transaction: checks and queues it. */
void lmn_kv_store_handle_txn(struct lmn_kv_store *store, struct lmn_http_request *request,
                             const struct lmn_cbor_document *document);
/** POST of a new lease: queues it. */
void lmn_kv_store_handle_grant(struct lmn_kv_store *store,
                               struct lmn_http_request *request,
                               const struct lmn_cbor_document *document);
/** Renews a lease (POST), or queues its end (DELETE).
 * @param path the path after that of leases: the lease's id, and the suffix of a renewal
 */
void lmn_kv_store_handle_lease(struct lmn_kv_store *store,
                               struct lmn_http_request *request, const char *path);
/** GET of changes: answers at once if there are any or no wait was asked for, otherwise
 * queues a watch. */
void lmn_kv_store_handle_watch(struct lmn_kv_store *store,
                               struct lmn_http_request *request);
/** @} */

/** Appends the metrics as OpenMetrics text. @param store struct lmn_kv_store */
void lmn_kv_store_metrics(void *store, GString *out);

/** @name Main functions of the threads, which never return
 * `store`: struct lmn_kv_store.
 * @{ */
/** Commits queued operations and answers their requests. */
void *lmn_kv_store_writer_thread(void *store);
/** Queues the end of leases that have expired. */
void *lmn_kv_store_lease_thread(void *store);
/** Answers queued watches. */
void *lmn_kv_store_watch_thread(void *store);
/** @} */

#endif
