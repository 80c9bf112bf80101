/** @file
 * The metrics of the key-value store's server. */
#include "http/metrics.h"
#include "kv_store/kv_store_internal.h"

static void put_database_metrics(struct lmn_kv_store *store, GString *out)
{
    struct lmn_db_meta meta = {0};
    struct lmn_db_reader *reader = lmn_db_reader_new(store->db);

    if (lmn_db_view_begin(reader, &meta) == 0)
        lmn_db_view_end(reader);
    lmn_db_reader_free(reader);
    lmn_metric_gauge(out, "lemonspar_state_revision", "Revision of the last commit",
                     (double)meta.revision);
    lmn_metric_gauge(out, "lemonspar_state_keys", "Keys in the database",
                     (double)meta.count);
}

static void put_watch_metrics(struct lmn_kv_store *store, GString *out)
{
    pthread_mutex_lock(&store->watch_lock);
    guint count = store->watches.length;
    pthread_mutex_unlock(&store->watch_lock);
    lmn_metric_gauge(out, "lemonspar_state_watches", "Open watches", count);
}

static void put_write_metrics(struct lmn_kv_store *store, GString *out)
{
    pthread_mutex_lock(&store->lock);
    lmn_metric_gauge(out, "lemonspar_state_leases", "Leases",
                     g_hash_table_size(store->leases));
    lmn_metric_gauge(out, "lemonspar_state_waiting",
                     "Operations that wait for the writer", store->operations.length);
    lmn_metric_counter(out, "lemonspar_state_applied", "Transactions applied",
                       store->applied);
    lmn_metric_counter(out, "lemonspar_state_conflicts",
                       "Transactions whose conditions failed", store->conflicts);
    lmn_metric_counter(out, "lemonspar_state_syncs", "Commits, each with one sync",
                       store->syncs);
    lmn_metric_counter(out, "lemonspar_state_limited", "Requests answered 429",
                       store->rate_limited);
    lmn_metric_counter(out, "lemonspar_state_refused",
                       "Requests answered 503 since too many wait", store->refused);
    lmn_metric_counter(out, "lemonspar_state_failures", "Commits that failed",
                       store->failures);
    lmn_metric_gauge(out, "lemonspar_state_largest_batch",
                     "Most operations that shared a sync", store->largest_batch);
    lmn_metric_duration_summary(out, "lemonspar_state_commit_seconds", "Time of a commit",
                                &store->commit_latency);
    pthread_mutex_unlock(&store->lock);
}

void lmn_kv_store_metrics(void *arg, GString *out)
{
    struct lmn_kv_store *store = arg;

    put_database_metrics(store, out);
    put_watch_metrics(store, out);
    put_write_metrics(store, out);
}
