/* What the state service's files share. */
#ifndef LMN_KV_STORE_KV_STORE_INTERNAL_H
#define LMN_KV_STORE_KV_STORE_INTERNAL_H

#include "util/token_bucket.h"
#include "http/server.h"
#include "util/latency.h"
#include "kv_store/db.h"
#include "kv_store/kv_store.h"

#include <pthread.h>

enum lmn_kv_store_operation_kind {
    LMN_KV_STORE_TXN,
    LMN_KV_STORE_GRANT,
    LMN_KV_STORE_REVOKE,
    LMN_KV_STORE_EXPIRE
};

/* What waits for the writer. */
struct lmn_kv_store_operation {
    enum lmn_kv_store_operation_kind kind;
    struct lmn_http_request *call; /* NULL: the service's own */
    struct lmn_db_txn txn;
    GPtrArray *bytes; /* keys and values that txn points at */
    uint64_t lease;
    uint32_t ttl_ms;
    /* the outcome */
    int status;
    uint64_t rev;
    GPtrArray *failed;
};

struct lmn_kv_store_lease {
    uint64_t id;
    uint32_t ttl_ms;
    struct timespec until;
    bool ending; /* handed to the writer: it can't be renewed any more */
};

/* Somebody who waits for changes. */
struct lmn_deferred_response {
    struct lmn_http_request *call;
    char *prefix;
    uint64_t scanned; /* no change up to here concerns it */
    struct timespec until;
};

struct lmn_kv_store {
    struct lmn_kv_store_options o;
    struct lmn_db *db;
    struct lmn_db_reader *reader; /* the server thread's */
    struct lmn_http_server *server;
    struct lmn_token_bucket requests, writes; /* the server thread's */

    pthread_mutex_t lock; /* of what follows */
    pthread_cond_t more;
    GQueue ops;
    GHashTable *leases; /* id -> lmn_kv_store_lease */
    uint64_t applied, conflicts, refused, limited, syncs, failures;
    struct lmn_latency committing; /* from a request to its answer */
    double largest;                /* transactions that shared a sync */

    pthread_mutex_t watch_lock; /* of what follows */
    pthread_cond_t watch_more;
    GQueue waiters;
    uint64_t revision; /* committed */
    bool behind;       /* a waiter has not seen it */
};

void lmn_kv_store_operation_free(struct lmn_kv_store_operation *op);
/* Hands it to the writer; false: too many wait, and the call was answered so. */
bool lmn_kv_store_submit(struct lmn_kv_store *s, struct lmn_kv_store_operation *op);
/* Commits for ever (a thread). store: struct lmn_kv_store. */
void *lmn_kv_store_writer_thread(void *store);
/* Ends leases that were not renewed, for ever (a thread). */
void *lmn_kv_store_lease_thread(void *store);
/* Answers those who wait for changes, for ever (a thread). */
void *lmn_kv_store_watch_thread(void *store);
/* GET /changes, on the server's thread. */
void lmn_kv_store_watch(struct lmn_kv_store *s, struct lmn_http_request *request);
void lmn_kv_store_put_item(GByteArray *buffer, const struct lmn_db_item *item);

#endif
