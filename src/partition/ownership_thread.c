/* The thread of the ownership manager. Only this thread uses struct ownership_manager. It
 * takes the core's lock for each decision, and never holds it during an HTTP call. */
#include "partition/ownership_thread.h"

#include "http/client.h"
#include "partition/ownership.h"
#include "partition/partition.h"
#include "partition/shutdown.h"
#include "protocol/wire.h"
#include "util/log.h"
#include "util/thread.h"

/* Time-outs of the requests to the key-value store, in seconds. */
static const double LEASE_RENEWAL_TIMEOUT_S = 1.0, LEASE_REQUEST_TIMEOUT_S = 1.5,
                    LEASE_RELEASE_TIMEOUT_S = 1.0;

/* The interval of the thread's rounds after the lease was released, in seconds. */
static const double RELEASED_INTERVAL_S = 0.5;

/* How often the lease is renewed within its time to live, and how many rounds the thread
 * runs for each interval of the members' probes. */
enum { LEASE_RENEWALS_PER_TTL = 4, ROUNDS_PER_PROBE_INTERVAL = 4 };

enum { LEASE_PATH_SIZE = 64 }; /* bytes */

/* State that only this thread uses. */
struct ownership_manager {
    struct lmn_core *core;
    struct lmn_http_client *http;
    GByteArray *response;       /* body of the last response */
    double ttl_s;               /* the lease's time to live */
    uint64_t lease;             /* the lease's id; 0: no lease */
    struct timespec renewed_at; /* when the last successful renewal was sent */
    bool is_announced; /* the member record has been written once under this lease */
};

/* Forgets the lease, which has expired, and ends the ownership of every partition, which
 * depended on it. */
static void drop_lease(struct ownership_manager *manager, const char *why)
{
    lmn_info("lease_lost lease=%" G_GUINT64_FORMAT " why=\"%s\"", manager->lease, why);
    manager->lease = 0;
    manager->is_announced = false;
    pthread_mutex_lock(&manager->core->lock);
    manager->core->lease.id = 0;
    for (int i = 0; i < manager->core->partition_count; i++)
        if (manager->core->partitions[i].ownership.is_owned)
            lmn_partition_end_ownership(manager->core, &manager->core->partitions[i],
                                        "lease ended");
    pthread_mutex_unlock(&manager->core->lock);
}

/* Sets the URL path of the present lease, with the suffix appended. */
static void format_lease_path(const struct ownership_manager *manager, const char *suffix,
                              char path[LEASE_PATH_SIZE])
{
    g_snprintf(path, LEASE_PATH_SIZE, WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT "%s",
               manager->lease, suffix);
}

static void renew_lease(struct ownership_manager *manager)
{
    char path[LEASE_PATH_SIZE];

    format_lease_path(manager, WIRE_PATH_RENEW, path);
    /* The store extends the lease from when it receives the request. Counting from before
     * the request is sent never overestimates the lease. */
    struct timespec sent_at = lmn_now();
    int status = lmn_http_client_call(manager->http, "POST", path, NULL,
                                      LEASE_RENEWAL_TIMEOUT_S, manager->response);
    if (status == 200)
        manager->renewed_at = sent_at;
    else if (status == 404)
        drop_lease(manager, "not known to the key-value store");
}

/* Reads the lease that the store has granted from the response, and begins to use it. */
static void adopt_lease(struct ownership_manager *manager, struct timespec sent_at)
{
    struct lmn_core *core = manager->core;
    struct lmn_cbor_document document;

    if (lmn_cbor_parse(&document, manager->response->data, manager->response->len) != 0)
        return;
    if (lmn_cbor_get_uint(lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_LEASE),
                          &manager->lease)) {
        manager->renewed_at = sent_at;
        pthread_mutex_lock(&core->lock);
        core->lease.id = manager->lease;
        core->lease.acquired_at = lmn_now();
        pthread_mutex_unlock(&core->lock);
        lmn_info("lease_acquired lease=%" G_GUINT64_FORMAT, manager->lease);
    }
    lmn_cbor_free(&document);
}

static void acquire_lease(struct ownership_manager *manager)
{
    GByteArray *body = g_byte_array_new();

    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_TTL_MS);
    lmn_cbor_put_uint(body, (uint64_t)(manager->ttl_s * 1000));
    struct timespec sent_at = lmn_now();
    int status = lmn_http_client_call(manager->http, "POST", WIRE_PATH_LEASES, body,
                                      LEASE_REQUEST_TIMEOUT_S, manager->response);
    g_byte_array_unref(body);
    if (status == 200)
        adopt_lease(manager, sent_at);
}

/* Commits the transaction and frees it. */
static enum lmn_txn_outcome commit(struct ownership_manager *manager, struct lmn_txn *txn)
{
    uint64_t revision;
    enum lmn_txn_outcome outcome = lmn_kv_client_commit(
        manager->core->kv_client, manager->http, txn, &revision, NULL);

    lmn_txn_free(txn);
    return outcome;
}

/* Writes this controller's member record, if that is due. */
static void announce(struct ownership_manager *manager)
{
    pthread_mutex_lock(&manager->core->lock);
    struct lmn_txn *txn =
        lmn_ownership_announce(manager->core, manager->lease, lmn_now());
    manager->is_announced = manager->is_announced ||
                            lmn_ownership_is_announced(manager->core, manager->lease);
    pthread_mutex_unlock(&manager->core->lock);
    if (!txn)
        return;
    enum lmn_txn_outcome outcome = commit(manager, txn);
    manager->is_announced = manager->is_announced || outcome == LMN_TXN_COMMITTED;
    pthread_mutex_lock(&manager->core->lock);
    lmn_ownership_announce_completed(manager->core, outcome);
    pthread_mutex_unlock(&manager->core->lock);
}

/* Releases the lease during a shutdown, once no partition depends on it any more. The
 * other members then need not wait for the lease to expire, and do not take this member
 * for failed. */
static void release_lease(struct ownership_manager *manager)
{
    struct lmn_core *core = manager->core;
    char path[LEASE_PATH_SIZE];

    pthread_mutex_lock(&core->lock);
    bool may_release =
        lmn_shutdown_all_transferred(core) && !core->shutdown.has_released_lease;
    pthread_mutex_unlock(&core->lock);
    if (!may_release)
        return;
    if (manager->lease) {
        format_lease_path(manager, "", path);
        int status = lmn_http_client_call(manager->http, "DELETE", path, NULL,
                                          LEASE_RELEASE_TIMEOUT_S, manager->response);
        if (status != 200 && status != 404)
            return;
        manager->lease = 0;
        manager->is_announced = false;
    }
    pthread_mutex_lock(&core->lock);
    core->lease.id = 0;
    core->shutdown.has_released_lease = true;
    lmn_info("shutdown_partitions_transferred after=%.2f",
             lmn_time_diff_s(lmn_now(), core->shutdown.began_at));
    pthread_mutex_unlock(&core->lock);
}

static bool has_released_lease(struct ownership_manager *manager)
{
    pthread_mutex_lock(&manager->core->lock);
    bool is_released = manager->core->shutdown.has_released_lease;
    pthread_mutex_unlock(&manager->core->lock);
    return is_released;
}

/* Writes which members this controller suspects, and refutes suspicions of itself. */
static void write_suspicions(struct ownership_manager *manager)
{
    struct lmn_core *core = manager->core;

    for (int i = 0; i < core->members.count; i++) {
        pthread_mutex_lock(&core->lock);
        struct lmn_txn *txn =
            i == core->members.self
                ? lmn_ownership_refute(core, manager->lease, lmn_now())
                : lmn_ownership_suspect(core, i, manager->lease, lmn_now());
        pthread_mutex_unlock(&core->lock);
        if (txn)
            commit(manager, txn);
    }
}

static void claim_partition(struct ownership_manager *manager, int partition_id)
{
    struct lmn_core *core = manager->core;

    pthread_mutex_lock(&core->lock);
    struct lmn_txn *txn =
        lmn_ownership_claim(core, partition_id, manager->lease, lmn_now());
    pthread_mutex_unlock(&core->lock);
    if (!txn)
        return;
    /* Not committed in the log call's arguments, which are not evaluated if the log level
     * leaves the message out. */
    enum lmn_txn_outcome outcome = commit(manager, txn);
    lmn_info("partition_claim_tried partition=%d outcome=%d", partition_id, outcome);
}

static void transfer_partition(struct ownership_manager *manager, int partition_id)
{
    struct lmn_core *core = manager->core;
    int target;

    pthread_mutex_lock(&core->lock);
    struct lmn_txn *txn = lmn_ownership_transfer(core, partition_id, &target, lmn_now());
    pthread_mutex_unlock(&core->lock);
    if (!txn)
        return;
    enum lmn_txn_outcome outcome = commit(manager, txn);
    lmn_info("partition_transfer_tried partition=%d to=%s outcome=%d", partition_id,
             lmn_member_name(&core->members, target), outcome);
    pthread_mutex_lock(&core->lock);
    lmn_ownership_transfer_completed(core, partition_id, outcome, lmn_now());
    pthread_mutex_unlock(&core->lock);
}

/* Carries out all decisions that are due. */
static void run_decisions(struct ownership_manager *manager)
{
    if (manager->lease)
        announce(manager);
    release_lease(manager);
    if (manager->lease && manager->is_announced)
        write_suspicions(manager);
    if (!manager->lease)
        return;
    for (int i = 0; i < manager->core->partition_count; i++) {
        claim_partition(manager, i);
        transfer_partition(manager, i);
    }
}

/* Acquires a lease if there is none, or renews it when that is due. */
static void keep_lease(struct ownership_manager *manager, struct timespec now)
{
    if (!manager->lease)
        acquire_lease(manager);
    else if (lmn_time_diff_s(now, manager->renewed_at) >
             manager->ttl_s / LEASE_RENEWALS_PER_TTL)
        renew_lease(manager);
}

void *lmn_ownership_thread(void *arg)
{
    struct lmn_core *core = arg;
    struct ownership_manager manager = {
        .core = core,
        .http = lmn_http_client_new(core->settings->state_address),
        .response = g_byte_array_new(),
        .ttl_s = core->members.timeouts.lease_s};

    for (;;) {
        struct timespec now = lmn_now();
        if (has_released_lease(&manager)) {
            lmn_sleep(RELEASED_INTERVAL_S);
            continue;
        }
        keep_lease(&manager, now);
        run_decisions(&manager);
        pthread_mutex_lock(&core->lock);
        lmn_cond_wait_for(&core->ownership_changed, &core->lock,
                          core->members.timeouts.probe_interval_s /
                              ROUNDS_PER_PROBE_INTERVAL);
        pthread_mutex_unlock(&core->lock);
    }
    return NULL;
}
