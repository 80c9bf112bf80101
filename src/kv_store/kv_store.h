/** @file
 * The key-value store's server: the published protocol (docs/state.md) over the database
 * (kv_store/db.h). One process serves a directory.
 *
 * Four threads:
 *  - the HTTP server's answers reads from a view and queues what writes;
 *  - the writer takes all that is queued, applies it, and shares one sync of the disk
 *    among it (group commit). Nothing that writes is answered before its commit;
 *  - the watch thread answers those who wait for changes;
 *  - the lease thread ends leases that were not renewed, by way of the writer. */
#ifndef LMN_KV_STORE_KV_STORE_H
#define LMN_KV_STORE_KV_STORE_H

#include "config/settings.h"

#include <glib.h>
#include <stdbool.h>

/** Settings of the server. A limit of 0 is no limit. */
struct lmn_kv_store_options {
    char listen[LMN_ADDRESS_SIZE]; /**< "IPv4:port" */
    const char *dir;               /**< of the database */
    double map_gb;                 /**< the most that the database may grow to, in GiB */
    double requests_per_s; /**< requests a second, in bursts of a second's worth */
    double writes_per_s; /**< puts and deletes a second, in bursts of a second's worth */
    double max_value_kb; /**< KiB of a value, counted as JSON */
    int max_txn_operations; /**< puts and deletes a transaction; four times as many
                               conditions */
    bool one_txn_per_sync;  /**< a sync for each transaction: for measurements only */
};

/** The defaults; `dir` is not set. */
extern const struct lmn_kv_store_options lmn_kv_store_default_options;

/** A server. */
struct lmn_kv_store;

/** Opens the database and serves it until the process ends.
 * @return NULL if that failed; err says why, and the process is expected to end */
struct lmn_kv_store *lmn_kv_store_start(const struct lmn_kv_store_options *options,
                                        char *err, size_t len);

#endif
