/* The state service: the published protocol over the database.
 *
 * Three threads: the server's answers reads from a view and queues what writes; the
 * writer takes all that waits, applies it, and shares one sync among it (group commit);
 * the watcher answers those who wait for changes. Nothing is answered before its commit.
 */
#ifndef LMN_KV_STORE_KV_STORE_H
#define LMN_KV_STORE_KV_STORE_H

#include "config/settings.h"

#include <glib.h>
#include <stdbool.h>

struct lmn_kv_store_options {
    char listen[LMN_ADDRESS_SIZE];
    const char *dir;
    double map_gb;
    /* 0: no limit */
    double rps, write_rps; /* requests, and puts and deletes, a second; bursts of a
                              second's worth */
    double value_kb;       /* of a value, counted as JSON */
    int txn_ops;     /* puts and deletes a transaction; four times as many conditions */
    bool one_by_one; /* for measuring only: a sync for each transaction */
};

extern const struct lmn_kv_store_options lmn_kv_store_default_options;

struct lmn_kv_store;
/* Opens the database and serves it; NULL with what is wrong in err. Serves until the
 * process ends. */
struct lmn_kv_store *lmn_kv_store_start(const struct lmn_kv_store_options *o, char *err,
                                        size_t len);
/* Appends its metrics as OpenMetrics text. */
void lmn_kv_store_metrics(struct lmn_kv_store *s, GString *out);

#endif
