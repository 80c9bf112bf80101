/* The thread of the ownership manager. It owns struct ownership_manager; it takes the
 * core's lock for each decision, and holds it during no call. */
#include "partition/ownership_thread.h"

#include "http/client.h"
#include "partition/ownership.h"
#include "partition/partition.h"
#include "partition/shutdown.h"
#include "protocol/wire.h"
#include "util/log.h"
#include "util/thread.h"

/* How long the key-value store may take to answer, seconds. */
static const double LEASE_RENEWAL_TIMEOUT_S = 1.0, LEASE_REQUEST_TIMEOUT_S = 1.5,
                    LEASE_RELEASE_TIMEOUT_S = 1.0;

/* The thread's interval after the lease was released. */
static const double RELEASED_INTERVAL_S = 0.5;

enum { LEASE_PATH_SIZE = 64, LEASE_RENEWALS_PER_TTL = 4, ROUNDS_PER_PROBE = 4 };

/* The thread's own state. */
struct ownership_manager {
    struct lmn_core *core;
    struct lmn_http_client *http;
    GByteArray *answer;         /* of the last call */
    double ttl_s;               /* of the lease */
    uint64_t lease;             /* 0: none */
    struct timespec renewed_at; /* when the last successful renewal was sent */
    bool is_announced; /* this controller's record was written under this lease once */
};

/* The lease has ended, and with it the ownership of every partition. */
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

/* Path of the present lease, with a suffix. */
static void lease_path(const struct ownership_manager *manager, const char *suffix,
                       char path[LEASE_PATH_SIZE])
{
    g_snprintf(path, LEASE_PATH_SIZE, WIRE_PATH_LEASES "/%" G_GUINT64_FORMAT "%s",
               manager->lease, suffix);
}

static void renew_lease(struct ownership_manager *manager)
{
    char path[LEASE_PATH_SIZE];

    lease_path(manager, WIRE_PATH_RENEW, path);
    /* The lease runs from when the store got the request, at the earliest from now. */
    struct timespec sent_at = lmn_now();
    int status = lmn_http_client_call(manager->http, "POST", path, NULL,
                                      LEASE_RENEWAL_TIMEOUT_S, manager->answer);
    if (status == 200)
        manager->renewed_at = sent_at;
    else if (status == 404)
        drop_lease(manager, "ended");
}

/* Takes over the lease that the store has granted. */
static void record_lease(struct ownership_manager *manager, struct timespec sent_at)
{
    struct lmn_core *core = manager->core;
    struct lmn_cbor_document document;

    if (lmn_cbor_parse(&document, manager->answer->data, manager->answer->len) != 0)
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
                                      LEASE_REQUEST_TIMEOUT_S, manager->answer);
    g_byte_array_unref(body);
    if (status == 200)
        record_lease(manager, sent_at);
}

/* Sends the transaction and frees it. */
static enum lmn_txn_outcome commit(struct ownership_manager *manager, struct lmn_txn *txn)
{
    uint64_t revision;
    enum lmn_txn_outcome outcome = lmn_kv_client_commit(
        manager->core->kv_client, manager->http, txn, &revision, NULL);

    lmn_txn_free(txn);
    return outcome;
}

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

/* Releases the lease of a controller that shuts down, when no partition depends on it any
 * more: the others need not wait for its end, and do not miss this member. */
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
        lease_path(manager, "", path);
        int status = lmn_http_client_call(manager->http, "DELETE", path, NULL,
                                          LEASE_RELEASE_TIMEOUT_S, manager->answer);
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

/* Writes which members are suspected, and refutes a suspicion of this one. */
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
    /* Not as an argument of the log call, which evaluates nothing below its level. */
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

/* Makes all decisions that are due under the present lease. */
static void decide(struct ownership_manager *manager)
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
        .answer = g_byte_array_new(),
        .ttl_s = core->members.timeouts.lease_s};

    for (;;) {
        struct timespec now = lmn_now();
        if (has_released_lease(&manager)) {
            lmn_sleep(RELEASED_INTERVAL_S);
            continue;
        }
        keep_lease(&manager, now);
        decide(&manager);
        pthread_mutex_lock(&core->lock);
        lmn_cond_wait_for(&core->ownership_changed, &core->lock,
                          core->members.timeouts.probe_interval_s / ROUNDS_PER_PROBE);
        pthread_mutex_unlock(&core->lock);
    }
    return NULL;
}
