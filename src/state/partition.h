/** @file
 * A partition of the machines: what its records say, and what its owner knows.
 *
 * Owner: the watch cache writes `record`; partition/ writes `ownership`, `quota` and
 * `zone_cuts`; scheduler/ writes `scheduling`; replication/ writes `replication`. All
 * under the core's lock. */
#ifndef LMN_STATE_PARTITION_H
#define LMN_STATE_PARTITION_H

#include "admission/worker_hosts.h"
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

/** A quota share on its way from a partition to another. */
struct lmn_quota_transfer {
    int team; /**< -1: no transfer */
    int to_partition;
    double cpus, gpus;
    uint64_t revision; /**< of the team's record, on which the write is conditional */
    uint64_t serial;
    bool is_uncertain; /**< a write's outcome is unknown */
    struct timespec retry_at;
};

/** Part of a team's quota share that only one job may use, or that is kept for another
 * partition's request (scheduler/reservation.h). */
struct lmn_quota_reservation {
    const struct lmn_job *job; /**< NULL: kept for another partition */
    double cpus, gpus;
    struct timespec until;
};

/** A zone most of whose machines have been silent. */
struct lmn_zone_cut {
    const char *zone; /**< interned */
    struct timespec until;
};

/** What the key-value store says of a partition, as the watch cache shows it. */
struct lmn_partition_record {
    char owner[LMN_NAME_SIZE]; /**< member; empty: nobody */
    uint64_t owner_lease, owner_revision, owner_epoch;
    uint32_t owner_generation;
    uint64_t
        owner_stream; /**< stream that the owner's claim was conditional on; 0: none */
    uint64_t epoch;   /**< highest fencing token ever; only rises */
    uint64_t epoch_revision;
    struct timespec vacant_since;   /**< since when nobody owns it */
    char last_owner[LMN_NAME_SIZE]; /**< who owned it until then; empty: unknown */
    /** The member that is in sync with the owner of that epoch, and by which stream;
     * empty and 0: nobody. */
    char standby[LMN_NAME_SIZE];
    uint64_t standby_lease, standby_stream, standby_epoch, standby_revision;
};

/** How this controller owns a partition. */
struct lmn_partition_ownership {
    bool is_owned;
    bool is_ready;        /**< every inherited machine is accounted for */
    bool is_transferring; /**< it is being given to another member: nothing starts */
    /** Every task that may be on a machine is in the task ledger, though not every
     * machine has reported. */
    bool is_warm;
    bool inherited_may_start; /**< inherited tasks may start: ready, or warm */
    bool has_started_task;    /**< since it is owned */
    bool needs_probing; /**< some machine may have to be asked whether it is there */
    /** What may run on inherited machines that are not accounted for, as of the last
     * lmn_partition_check_ready. */
    double unaccounted_cpus, unaccounted_gpus;
    bool has_unaccounted_unknown; /**< of one not even the type is known */
    uint64_t epoch;               /**< the fencing token that it is owned under */
    uint64_t revision;            /**< of the owner's key */
    uint64_t last_attempt;        /**< number of the attempt that started last */
    struct timespec since, ready_at;
    struct timespec transfer_tried_at; /**< when giving it away was last tried */
};

/** A partition's quota shares; arrays are by team. */
struct lmn_partition_quota {
    double *cpus, *gpus;           /**< its shares, where a record says so */
    double *used_cpus, *used_gpus; /**< by its attempts */
    struct lmn_quota_transfer transfer;
    struct lmn_quota_reservation *reservations;
    struct timespec next_request_at; /**< when it may ask other partitions again */
    double request_interval_s;
};

/** What the scheduler keeps for a partition. */
struct lmn_partition_scheduling {
    struct lmn_queue unassigned; /**< tasks that no machine's queue holds */
    GPtrArray *woken_machines;   /**< to be given work at once (lmn_machine_wake) */
    guint round_robin_cursor;
    double steal_interval_s; /**< between steals from other partitions */
    struct timespec next_steal_at;
    struct timespec next_consolidation_at;
};

/** A partition's replication: as its owner, and as the standby of another owner. */
struct lmn_partition_replication {
    struct lmn_replication_stream stream; /**< to our standby */
    struct lmn_replica *replica;          /**< of another owner's state; NULL: none */
    GPtrArray *pending_machines;          /**< that the standby has to be told about */
    GPtrArray *pending_removals;          /**< names of machines that it may forget */
    pthread_cond_t due;                   /**< signalled when something is to be sent */
};

/** A partition. */
struct lmn_partition {
    int id;
    struct lmn_partition_record record;
    GHashTable *ranges;   /**< key -> struct lmn_range */
    GHashTable *machines; /**< name -> struct lmn_machine */
    GPtrArray
        *machine_list; /**< the same machines in no order: samples are drawn from it */
    GPtrArray *blocks; /**< struct lmn_machine_block by number */
    struct lmn_worker_hosts *worker_hosts; /**< the core's: counts machines' addresses */
    struct lmn_partition_ownership ownership;
    struct lmn_partition_quota quota;
    struct lmn_partition_scheduling scheduling;
    struct lmn_partition_replication replication;
    GArray *zone_cuts; /**< struct lmn_zone_cut */
};

#endif
