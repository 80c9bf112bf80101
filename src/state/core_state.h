/** @file
 * The state that all threads of a controller share.
 *
 * One short lock, `lock`, guards everything below it but `worker_hosts`, which has a lock
 * of its own, and what is set once at the start. Nobody does I/O while holding it.
 *
 * Records (jobs, ranges, owners, machines) are changed by the watch cache alone, which
 * applies the key-value store's changes in their order: what a controller sees is always
 * a past state, whole. What an owner knows of its machines stands beside them in the same
 * structures. */
#ifndef LMN_STATE_CORE_STATE_H
#define LMN_STATE_CORE_STATE_H

#include "admission/connection_budget.h"
#include "admission/load_shedding.h"
#include "admission/worker_hosts.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "job/job_spec.h"
#include "kv_client/kv_client.h"
#include "membership/membership.h"
#include "state/counters.h"
#include "state/job.h"
#include "state/machine.h"
#include "state/owner_ops.h"
#include "state/partition.h"
#include "state/range.h"
#include "state/replication_state.h"
#include "state/tombstone.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_http_server;

/** Final jobs that are kept in memory at least (state/retention.h). */
enum { LMN_RETAINED_JOBS = 20000 };

/** The watch cache's own state. Owner: state/watch_cache.h, but for is_isolated_view and
 * isolated_since, which the probe thread sets (controller/probe_client.h). */
struct lmn_watch_cache {
    GHashTable *jobs;           /**< id -> struct lmn_job */
    GQueue final_jobs;          /**< those that are final, the oldest first */
    guint max_retained_jobs;    /**< final jobs that are kept at least */
    GHashTable *needed_job_ids; /**< during a listing: ids of jobs with ranges; or NULL */
    bool is_listing;
    bool too_many_final_jobs; /**< the listing has to be done by needed_job_ids */
    bool must_relist;
    uint32_t generation; /**< of the last listing */
    bool is_synced;      /**< it has shown a whole state once */
    struct timespec synced_at;
    struct timespec fresh_at; /**< it is no older than this */
    bool is_isolated_view;    /**< it stands still, and only here, as far as known */
    /** Since when no other controller has been reached either; 0: some are. */
    struct timespec isolated_since;
    struct lmn_operator_settings operator_settings;
    uint64_t operator_settings_revision;
    struct lmn_tombstones tombstones;
};

/** This controller's lease in the key-value store. Owner: partition/ownership_thread.h.
 */
struct lmn_own_lease {
    uint64_t id; /**< 0: none */
    struct timespec acquired_at;
    /* the last try to write this node's record: */
    uint64_t announced_lease_id; /**< with this lease */
    bool announced_shutdown;
    struct timespec announced_at;
};

/** A graceful shutdown. Owner: partition/shutdown.h. */
struct lmn_shutdown {
    bool is_requested;       /**< partitions are being given away */
    bool has_released_lease; /**< no partition and no lease is left */
    struct timespec began_at;
};

/** Quotas over all partitions; arrays are by team. Owner: partition/quota_transfer.h. */
struct lmn_quota_ledger {
    uint64_t *revision; /**< of the teams' records of shares; 0: none */
    bool *has_record;   /**< there is a record, and for the present limit */
    uint64_t transfer_count;
    double *demanded_cpus,
        *demanded_gpus; /**< of the teams' active jobs, all their tasks */
};

/** Scratch values of the scheduler. Owner: scheduler/. */
struct lmn_scheduling {
    uint64_t scan_generation;   /**< count of scans over queues */
    uint64_t start_generation;  /**< count of starts within them */
    double wall_clock_s;        /**< time of day at the last tick */
    double last_triage_s;       /**< time of day at the last triage */
    bool has_underserved_share; /**< a class or team was under its fair share then */
};

/** When the maintenance loop last did what. Owner: partition/maintenance.h. */
struct lmn_maintenance {
    struct timespec last_run_at, last_reconciled_at;
    /** Until when this controller answered no heartbeats, having stalled or having too
     * old a view; 0: it always has. */
    struct timespec heartbeats_refused_until;
    /** When a controller that gets no heartbeats may next probe one of its workers. */
    struct timespec next_reach_probe_at;
    struct timespec last_malformed_logged_at;
};

/** What the cloud has said. Owner: partition/provisioner.h. */
struct lmn_cloud_view {
    struct lmn_machine_types machine_types;
    bool machine_types_known;
    GHashTable *returned_machines; /**< names of machines that were returned */
};

/** A controller's shared state. */
struct lmn_core {
    pthread_mutex_t lock;
    pthread_cond_t ownership_changed; /**< of partitions or members */
    pthread_cond_t probe_due;
    pthread_cond_t machines_woken;           /**< machines are to be given work at once */
    pthread_cond_t replication_acknowledged; /**< or nothing waits for it any more */

    /* set once at the start: */
    const struct lmn_settings *settings;
    struct lmn_kv_client *kv_client;
    const struct lmn_owner_ops *owner_ops;
    struct lmn_connection_budget connection_budget;
    struct lmn_http_server *http_server; /**< users' and workers'; NULL: none */
    struct timespec booted_at;

    struct lmn_worker_hosts worker_hosts; /**< of all machines known; own lock */
    struct lmn_load load;
    GRand *random;
    struct lmn_watch_cache cache;
    struct lmn_partition *partitions;
    int partition_count;
    struct lmn_members members;
    struct lmn_own_lease lease;
    struct lmn_shutdown shutdown;
    struct lmn_quota_ledger quota;
    struct lmn_scheduling scheduling;
    struct lmn_maintenance maintenance;
    struct lmn_cloud_view cloud;
    struct lmn_counters counters;
    struct lmn_latencies latencies;
};

#endif
