/** @file
 * The key-value store's server: serves the protocol of docs/state.md from the database
 * (kv_store/db.h). Only one process can serve a directory.
 *
 * Four threads:
 *  - the HTTP server's thread answers reads from a view and queues writes;
 *  - the writer applies all queued writes and commits them with one sync of the disk
 *    (group commit). A write is answered only after its commit;
 *  - the watch thread answers clients that wait for changes;
 *  - the lease thread queues the end of expired leases for the writer. */
#ifndef LMN_KV_STORE_KV_STORE_H
#define LMN_KV_STORE_KV_STORE_H

#include "config/settings.h"

#include <glib.h>
#include <stdbool.h>

/** Settings of the server. A limit of 0 is no limit. */
struct lmn_kv_store_options {
    char listen[LMN_ADDRESS_SIZE]; /**< "IPv4:port" */
    const char *dir;               /**< directory of the database */
    double map_gb;                 /**< largest size of the database in GiB */
    double requests_per_s;  /**< limit of requests per second; the burst is one second's
                               worth */
    double writes_per_s;    /**< limit of puts and deletes per second; the burst is one
                                second's worth */
    double max_value_kb;    /**< limit of a value's size as JSON, in KiB */
    int max_txn_operations; /**< limit of puts and deletes per transaction; the limit of
                               conditions is four times as high */
    bool one_txn_per_sync;  /**< commit and sync each transaction separately; for
                               measurements only */
};

/** The defaults; `dir` is not set. */
extern const struct lmn_kv_store_options lmn_kv_store_default_options;

/** A running server. */
struct lmn_kv_store;

/** Opens the database and serves it until the process ends.
 * @return NULL on an error, with its cause in err; the caller must then end the process
 */
struct lmn_kv_store *lmn_kv_store_start(const struct lmn_kv_store_options *options,
                                        char *err, size_t len);

#endif
