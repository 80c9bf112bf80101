/** @file
 * The state that all threads of a controller share.
 *
 * The mutex `lock` of struct lmn_core guards all of its fields except `worker_hosts`,
 * which has its own lock, and the fields that are set once at startup. No thread does I/O
 * while it holds `lock`.
 *
 * Only the watch cache changes records (jobs, ranges, owners, machines). It applies the
 * key-value store's changes in commit order, so a controller always sees a consistent,
 * possibly outdated, state of the store. The structures also hold what an owner learns
 * from its machines' heartbeats. */
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

/** Minimum number of final jobs kept in memory (state/retention.h). */
enum { LMN_RETAINED_JOBS = 20000 };

/** State of the watch cache. Written by state/watch_cache.h, except is_isolated_view and
 * isolated_since, which the probe thread writes (controller/probe_client.h). */
struct lmn_watch_cache {
    GHashTable *jobs;           /**< id -> struct lmn_job */
    GQueue final_jobs;          /**< jobs done or cancelled, the oldest first */
    guint max_retained_jobs;    /**< final jobs above this number may be evicted */
    GHashTable *needed_job_ids; /**< during a listing: ids of jobs with ranges; or NULL */
    bool is_listing;
    bool too_many_final_jobs; /**< the listing must restart with needed_job_ids */
    bool must_relist;         /**< the listing under way must be repeated */
    uint32_t generation;      /**< number of the last listing */
    bool is_synced;           /**< a complete listing was applied at least once */
    struct timespec synced_at;
    struct timespec fresh_at; /**< the cache shows the store as of this time, or later */
    bool is_isolated_view;    /**< the cache is stalled here, and not on some other
                                 member, or no other member is reachable */
    /** Since when the view is isolated with no other member reachable; 0: it is not. */
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
    /* the last attempt to write this member's record: */
    uint64_t announced_lease_id; /**< lease in that record */
    bool announced_shutdown;
    struct timespec announced_at;
};

/** A graceful shutdown. Owner: partition/shutdown.h. */
struct lmn_shutdown {
    bool is_requested;       /**< partitions are being transferred to other members */
    bool has_released_lease; /**< no partition is owned and the lease is released */
    struct timespec began_at;
};

/** Quota state of all partitions together; arrays are indexed by team. Owner:
 * partition/quota_transfer.h. */
struct lmn_quota_ledger {
    uint64_t *revision; /**< of each team's record of quota shares; 0: none */
    bool *has_record;   /**< a record exists that matches the present limit */
    uint64_t transfer_count;
    double *demanded_cpus,
        *demanded_gpus; /**< sum over all tasks of the team's active jobs */
};

/** The scheduler's working state. Owner: scheduler/. */
struct lmn_scheduling {
    uint64_t scan_generation;   /**< count of scans over queues */
    uint64_t start_generation;  /**< count of starts within them */
    double wall_clock_s;        /**< time of day at the last tick */
    double last_triage_s;       /**< time of day at the last triage */
    bool has_underserved_share; /**< at the last triage a class or team was below its
                                    fair share */
};

/** Times kept by the maintenance loop. Owner: partition/maintenance.h. */
struct lmn_maintenance {
    struct timespec last_run_at, last_reconciled_at;
    /** Last time at which this controller refused heartbeats because it had stalled or
     * its watch cache was too old; 0: never. */
    struct timespec heartbeats_refused_until;
    /** Earliest time for the next probe of a worker, while no heartbeats arrive. */
    struct timespec next_reach_probe_at;
    struct timespec last_malformed_logged_at;
    /** Last time at which a request with too large a body was logged. */
    struct timespec last_oversized_logged_at;
};

/** Responses of the cloud provider. Owner: partition/provisioner.h. */
struct lmn_cloud_view {
    struct lmn_machine_types machine_types;
    bool machine_types_known;
    GHashTable *returned_machines; /**< names of machines returned to the cloud */
};

/** A controller's shared state. */
struct lmn_core {
    pthread_mutex_t lock;
    pthread_cond_t ownership_changed; /**< ownership or membership changed */
    pthread_cond_t probe_due;         /**< a member should be probed at once */
    pthread_cond_t machines_woken; /**< some machine may get work before its heartbeat */
    pthread_cond_t replication_acknowledged; /**< or no start waits for it any longer */

    /* set once at the start: */
    const struct lmn_settings *settings;
    struct lmn_kv_client *kv_client;
    const struct lmn_owner_ops *owner_ops;
    struct lmn_connection_budget connection_budget;
    struct lmn_http_server *http_server; /**< for users and workers; NULL: none */
    struct timespec booted_at;

    struct lmn_worker_hosts
        worker_hosts; /**< hosts of all known machines; has its own lock */
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
