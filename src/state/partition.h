/** @file
 * A partition of the cluster's machines: the fields of its records, and its owner's
 * runtime state.
 *
 * Owner: the watch cache writes `record`; partition/ writes `ownership`, `quota` and
 * `zone_cuts`; scheduler/ writes `scheduling`; replication/ writes `replication`. All
 * under the core's lock. */
#ifndef LMN_STATE_PARTITION_H
#define LMN_STATE_PARTITION_H

#include "admission/worker_hosts.h"
#include "job/job_spec.h"
#include "state/machine.h"
#include "state/range.h"
#include "state/replication_state.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_job;
struct lmn_replica;

/** A transfer of part of a quota share to another partition. */
struct lmn_quota_transfer {
    int team; /**< -1: no transfer */
    int to_partition;
    double cpus, gpus;
    uint64_t revision; /**< of the team's record, on which the write is conditional */
    uint64_t serial;
    bool is_uncertain; /**< the outcome of its write is unknown */
    struct timespec retry_at;
};

/** Part of a team's quota share that is reserved for one job or for another partition's
 * request (scheduler/reservation.h). */
struct lmn_quota_reservation {
    const struct lmn_job *job; /**< NULL: reserved for another partition */
    double cpus, gpus;
    struct timespec until;
};

/** A zone from most of whose machines no heartbeats arrive. */
struct lmn_zone_cut {
    const char *zone; /**< interned */
    struct timespec until;
};

/** Fields of a partition's records, as the watch cache shows them. */
struct lmn_partition_record {
    char owner[LMN_NAME_SIZE]; /**< member name; empty: no owner */
    uint64_t owner_lease, owner_revision, owner_epoch;
    uint64_t owner_token_raises; /**< tokens of the owner's claim below owner_epoch */
    uint32_t owner_generation;
    uint64_t
        owner_stream; /**< stream that the owner's claim was conditional on; 0: none */
    uint64_t epoch;   /**< highest fencing token so far; never decreases */
    uint64_t epoch_revision;
    struct timespec vacant_since;   /**< since when it has no owner */
    char last_owner[LMN_NAME_SIZE]; /**< previous owner; empty: unknown */
    /** Member in sync with the owner of standby_epoch through standby_stream; empty and
     * 0: none. */
    char standby[LMN_NAME_SIZE];
    uint64_t standby_lease, standby_stream, standby_epoch, standby_revision;
};

/** This controller's ownership of a partition. */
struct lmn_partition_ownership {
    bool is_owned;
    bool is_ready;        /**< every inherited machine is accounted for */
    bool is_transferring; /**< being transferred to another member: no starts */
    /** The task ledger was restored from a replica and contains every task that may be on
     * a machine, although some machines have not reported. */
    bool is_warm;
    bool inherited_may_start; /**< inherited tasks may start: is_ready or is_warm */
    bool has_started_task;    /**< since this controller owns it */
    bool needs_probing;       /**< some machine may need a reachability probe */
    /** Upper bound of the capacity in use on inherited machines that are not accounted
     * for, as of the last lmn_partition_check_ready. */
    double unaccounted_cpus, unaccounted_gpus;
    bool has_unaccounted_unknown; /**< one of them has an unknown machine type */
    uint64_t epoch;               /**< highest fencing token of this ownership */
    uint64_t token_raises;        /**< its tokens below that (state/fencing_token.h) */
    uint64_t revision;            /**< of the owner's record */
    uint64_t last_attempt;        /**< how many attempts this owner has started */
    struct timespec since, ready_at;
    struct timespec transfer_tried_at; /**< last attempt to transfer it */
};

/** A partition's quota shares; arrays are indexed by team. */
struct lmn_partition_quota {
    double *cpus, *gpus;           /**< its shares, for teams with a quota record */
    double *used_cpus, *used_gpus; /**< used by its attempts */
    struct lmn_quota_transfer transfer;
    struct lmn_quota_reservation *reservations;
    struct timespec next_request_at; /**< earliest next request to other partitions */
    double request_interval_s;
};

enum {
    LMN_MAX_UNSCHEDULABLE = 64,      /**< entries of a partition */
    LMN_MAX_UNSCHEDULABLE_ZONES = 16 /**< zones of an entry */
};

/** Queued tasks of a job for which no machine has had free capacity for long
 * (scheduler/unschedulable.h). */
struct lmn_unschedulable_tasks {
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t tasks;  /**< that should run at the same time */
    double waited_s; /**< since the last start of a task of their range */
    /** Zones in which the job's affinity or anti-affinity lets them start; interned. */
    const char *zones[LMN_MAX_UNSCHEDULABLE_ZONES];
    uint32_t zone_count; /**< 0: it excludes no zone */
};

/** The scheduler's state of a partition. */
struct lmn_partition_scheduling {
    struct lmn_queue unassigned; /**< tasks in no machine's queue */
    GPtrArray *woken_machines;   /**< machines to get work at once (lmn_machine_wake) */
    guint round_robin_cursor;
    double steal_interval_s; /**< between steals from other partitions */
    struct timespec next_steal_at;
    struct timespec next_consolidation_at;
    GArray *unschedulable; /**< struct lmn_unschedulable_tasks, the longest wait first */
    struct timespec unschedulable_at; /**< when it was listed, here or, for a partition of
                                           another member, received; 0: never */
};

/** A partition's replication: as its owner, and as the standby of another owner. */
struct lmn_partition_replication {
    struct lmn_replication_stream stream; /**< as owner: to the standby */
    struct lmn_replica *replica; /**< as standby: of the owner's state; NULL: none */
    GPtrArray *pending_machines; /**< machines with changes not sent to the standby */
    GPtrArray *pending_removals; /**< names of machines that the standby may drop */
    pthread_cond_t due;          /**< signalled when there is something to send */
};

/** A partition of the machines, with the ranges of tasks that belong to it. */
struct lmn_partition {
    int id;
    struct lmn_partition_record record;
    GHashTable *ranges;   /**< key -> struct lmn_range */
    GHashTable *machines; /**< name -> struct lmn_machine */
    GPtrArray
        *machine_list; /**< all entries of `machines`, unordered, for random samples */
    GPtrArray *blocks; /**< struct lmn_machine_block by number */
    struct lmn_worker_hosts *worker_hosts; /**< points at the core's counts of hosts */
    struct lmn_partition_ownership ownership;
    struct lmn_partition_quota quota;
    struct lmn_partition_scheduling scheduling;
    struct lmn_partition_replication replication;
    GArray *zone_cuts; /**< struct lmn_zone_cut */
};

#endif
