/** @file
 * What the files of the key-value store's server share.
 *
 * Two locks, never held together: `lock` guards the queue to the writer, the leases and
 * the counters; `watch_lock` guards the watches. Nobody does I/O while holding either. */
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
    LMN_KV_STORE_COMPACTED = 410, /**< a watch has to read everything anew */
    LMN_KV_STORE_RATE_LIMITED = 429,
    LMN_KV_STORE_UNAVAILABLE = 503,
};

/** The longest body of a request, also counted as JSON. */
enum { LMN_KV_STORE_MAX_BODY_BYTES = 64 * 1024 };

/** What an operation does. */
enum lmn_kv_store_operation_kind {
    LMN_KV_STORE_TXN,
    LMN_KV_STORE_GRANT,
    LMN_KV_STORE_REVOKE, /**< a client ends its lease */
    LMN_KV_STORE_EXPIRE  /**< the lease thread does */
};

/** A write that waits for the writer, and then its outcome. Owned by the queue, then by
 * the writer. */
struct lmn_kv_store_operation {
    enum lmn_kv_store_operation_kind kind;
    struct lmn_http_request *request; /**< to be answered; NULL: nobody's */
    struct lmn_db_txn txn;
    GPtrArray *bytes; /**< keys and values that txn points at */
    uint64_t lease;   /**< to be ended; or the outcome of a grant */
    uint32_t ttl_ms;
    int status; /**< the outcome: enum lmn_kv_store_status */
    uint64_t revision;
    GPtrArray *failed; /**< keys whose conditions failed */
};

/** A lease as the server knows it. Its deadline is in memory only: a restarted server
 * gives each lease its full time again. */
struct lmn_kv_store_lease {
    uint64_t id;
    uint32_t ttl_ms;
    struct timespec expires_at;
    bool is_ending; /**< handed to the writer: it can't be renewed any more */
};

/** A watch that waits for changes. */
struct lmn_kv_store_watch {
    struct lmn_http_request *request;
    char *prefix;
    uint64_t scanned_revision; /**< no change up to here concerns it */
    struct timespec deadline;  /**< it is answered then, with no changes */
};

/** The server. */
struct lmn_kv_store {
    struct lmn_kv_store_options options; /**< set before the threads start */
    struct lmn_db *db;                   /**< batches: the writer's alone */
    struct lmn_db_reader *reader;        /**< the HTTP thread's */
    struct lmn_http_server *server;
    struct lmn_token_bucket requests, writes; /**< the HTTP thread's */

    pthread_mutex_t lock; /**< of what follows */
    pthread_cond_t operation_queued;
    GQueue operations;  /**< struct lmn_kv_store_operation */
    GHashTable *leases; /**< id -> struct lmn_kv_store_lease */
    uint64_t applied, conflicts, refused, rate_limited, syncs, failures;
    struct lmn_latency commit_latency;
    double largest_batch; /**< operations that shared a sync */

    pthread_mutex_t watch_lock; /**< of what follows */
    pthread_cond_t watch_changed;
    GQueue watches;       /**< struct lmn_kv_store_watch */
    uint64_t revision;    /**< the last that is committed */
    bool has_stale_watch; /**< a commit came between a watch's view and its queueing */
};

/** A new operation of the kind, with nothing in it. */
struct lmn_kv_store_operation *
lmn_kv_store_operation_new(enum lmn_kv_store_operation_kind kind,
                           struct lmn_http_request *request);

/** Frees the operation with all that it points at but the request. */
void lmn_kv_store_operation_free(struct lmn_kv_store_operation *operation);

/** Queues the operation for the writer, which owns it then. Takes the lock.
 * @return false if too many are queued: the request was answered 503, and the operation
 *     is freed */
bool lmn_kv_store_submit(struct lmn_kv_store *store,
                         struct lmn_kv_store_operation *operation);

/** Makes a lease known, with its full time from now. The lock is held, or the threads
 * don't run yet. */
void lmn_kv_store_add_lease(struct lmn_kv_store *store, uint64_t id, uint32_t ttl_ms,
                            struct timespec now);

/** Takes the amount from the bucket. If that is more than it holds the request is
 * answered 429 and counted. Takes the lock. @return whether it was answered */
bool lmn_kv_store_reject_if_rate_limited(struct lmn_kv_store *store,
                                         struct lmn_http_request *request,
                                         struct lmn_token_bucket *bucket, double amount);

/** Whether the text may be a key: 1 to LMN_DB_MAX_KEY_BYTES bytes without spaces. */
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
/** Renewal or end of a lease. @param path what follows the path of leases */
void lmn_kv_store_handle_lease(struct lmn_kv_store *store,
                               struct lmn_http_request *request, const char *path);
/** GET of changes: answers at once if there are some, or queues a watch. */
void lmn_kv_store_handle_watch(struct lmn_kv_store *store,
                               struct lmn_http_request *request);
/** @} */

/** Appends the metrics as OpenMetrics text. @param store struct lmn_kv_store */
void lmn_kv_store_metrics(void *store, GString *out);

/** @name Threads, each for ever
 * `store`: struct lmn_kv_store.
 * @{ */
/** Commits what is queued. */
void *lmn_kv_store_writer_thread(void *store);
/** Ends leases that were not renewed. */
void *lmn_kv_store_lease_thread(void *store);
/** Answers watches. */
void *lmn_kv_store_watch_thread(void *store);
/** @} */

#endif
