/** @file
 * State of machines on the controller that owns their partition: record, last heartbeat
 * of the agent, attempts that run or may run there, queue and reservations.
 *
 * Owner: the controller that owns the machine's partition. partition/ writes the record,
 * agent, lifecycle and push parts, scheduler/ the stealing and reservation parts. All
 * under the core's lock. */
#ifndef LMN_STATE_MACHINE_H
#define LMN_STATE_MACHINE_H

#include "config/settings.h"
#include "job/job_spec.h"
#include "state/range.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_job;
struct lmn_partition;
struct lmn_machine_block;

/** Progress of an attempt as last reported to the machine's owner. */
enum lmn_attempt_state {
    LMN_ATTEMPT_SENT, /**< start command sent; not in a heartbeat yet */
    LMN_ATTEMPT_FETCHING,
    LMN_ATTEMPT_RUNNING,
    LMN_ATTEMPT_SAVING,
    LMN_ATTEMPT_ENDED
};

/** One attempt at a task that runs, or may run, on a machine. */
struct lmn_attempt {
    char job_id[LMN_JOB_ID_SIZE];
    struct lmn_job *job;     /**< NULL: the watch cache lacks it */
    struct lmn_range *range; /**< NULL: in no owned partition, or closed */
    uint32_t index;          /**< index of the task in its job */
    uint64_t number; /**< number of the attempt; rises with each start of the task */
    enum lmn_attempt_state state;
    bool holds_capacity; /**< counted in machine capacity and team quota */
    bool is_done;
    bool in_last_heartbeat; /**< the heartbeat being processed lists it */
    bool kill_sent;
    bool has_failed;     /**< it has ended with an error */
    bool must_stop;      /**< preempted; it has grace_s to save a checkpoint */
    double grace_s;      /**< seconds */
    bool push_in_flight; /**< a call in flight to the worker contains its start */
    /** A call that contained its start got no answer. Until the worker has seen a higher
     * token, or its incarnation ends, the start may still arrive for the first time. */
    bool push_is_uncertain;
    /** Highest token of a call that contained its start; 0: no call of this owner to the
     * agent's present incarnation did. */
    uint64_t push_token;
    bool was_reported;   /**< a heartbeat has listed it */
    bool start_repeated; /**< a reply has contained its pushed start, too */
    bool clear_pushed;   /**< a push has told the worker to forget it */
    bool from_replica;   /**< known from an earlier owner's replica only */
    /** Replication log position of its start. The start is sent once the standby has
     * acknowledged this position; 0: it did not have to wait. */
    uint64_t log_position;
    struct timespec started_at;
};

/** Why an attempt was thought to be gone from its machine. */
enum lmn_absence_reason {
    LMN_ABSENT_FROM_HEARTBEAT,
    LMN_ABSENT_FROM_PROBE_ANSWER,
    LMN_ABSENT_AFTER_CLEAR,  /**< the answer to a push that cleared it does not name it */
    LMN_ABSENT_NOT_SENT,     /**< its start was pushed, and not sent */
    LMN_ABSENT_PUSH_REFUSED, /**< the worker refused the push with its start */
    LMN_ABSENT_WITHHELD,     /**< the standby did not acknowledge its start in time */
};

/** An attempt that the owner has removed from a machine's attempts. */
struct lmn_removed_attempt {
    uint64_t number; /**< 0: none */
    enum lmn_absence_reason reason;
};

/** How many of a machine's latest removed attempts are kept, for the log. */
enum { LMN_REMOVED_ATTEMPTS = 32 };

/** A job that has failed on a machine since a task last succeeded there. */
struct lmn_failing_job {
    struct lmn_job *job;
    unsigned failures;
    struct timespec last_failed_at;
};

/** An image that a machine has cached or is fetching, as last reported or planned. */
struct lmn_image {
    const char *name; /**< interned */
    double gb;
    struct timespec ready_at; /**< expected end of the fetch; 0: cached */
};

/** Where a machine is recorded in the key-value store. */
struct lmn_machine_record {
    uint64_t revision;               /**< of the first record that lists it; 0: none */
    struct lmn_machine_block *block; /**< block whose record lists it, or will */
    uint64_t block_revision;         /**< of the last record that lists it */
};

/** State of a machine's agent. */
struct lmn_agent_view {
    bool has_reported;  /**< a heartbeat arrived since the partition is owned */
    bool lease_expired; /**< no heartbeat within the lease; its tasks were requeued */
    uint64_t incarnation;
    uint64_t sequence;           /**< highest one of this incarnation's messages */
    uint64_t heartbeat_sequence; /**< highest one of its heartbeats */
    struct timespec first_seen_at, last_heartbeat_at;
    struct timespec redirected_at; /**< last redirected to another controller */
    /** Consecutive replies or commands without effect: the machine's heartbeats arrive
     * here, but messages to the machine do not. */
    unsigned ignored_commands;
    unsigned unanswered_probes; /**< count since the partition was acquired */
    struct timespec next_probe_at;
};

/** Acquisition, draining and return of a machine. */
struct lmn_machine_lifecycle {
    bool is_inherited;      /**< an earlier owner recorded it */
    bool is_accounted;      /**< its attempts are known: it reported with this owner's
                                 epoch, or it is terminated */
    bool is_terminated;     /**< the cloud reports its end; only the record is left */
    bool is_draining;       /**< no more starts; returned to the cloud once empty */
    bool drain_at_once;     /**< drains without waiting for its tasks */
    bool is_being_returned; /**< the request to the cloud is in flight */
    bool has_spot_notice;
    double spot_notice_s; /**< seconds from spot_notice_at until the cloud reclaims it */
    struct timespec spot_notice_at, drain_began_at;
    struct timespec idle_since; /**< 0: it is not idle */
};

/** Capacity used by a machine's attempts, including those whose start is in flight. */
struct lmn_machine_usage {
    double cpus, gpus, memory_gb;
};

/** Work stealing between machine queues of one partition. */
struct lmn_machine_stealing {
    double interval_s; /**< between attempts; doubles on failure, reset on success */
    struct timespec next_at;
    bool is_idle_with_capacity; /**< no queued task of its partition fits it */
};

/** Failures on a machine (state/failures.h). */
struct lmn_machine_failures {
    GArray *jobs;                      /**< struct lmn_failing_job */
    struct timespec quarantined_until; /**< no task starts here before */
};

/** Changes of a machine that are not replicated yet. */
struct lmn_machine_replication {
    bool is_pending;   /**< it is in the partition's pending_machines */
    guint images_hash; /**< hash of the image list last replicated */
};

/** Reservation of a machine's capacity. */
struct lmn_machine_reservation {
    const struct lmn_job *job; /**< job that the machine is kept free for; NULL: none */
    struct timespec until;
    /** Number of tasks for which others are being preempted. Until preemption_until no
     * task of lower priority starts on the machine. */
    uint32_t preemption_tasks;
    struct timespec preemption_until;
};

/** Commands pushed to a machine's agent outside of heartbeat replies. */
struct lmn_machine_push {
    bool is_woken; /**< it is in the partition's woken_machines, to get work at once */
    bool is_in_flight;
};

/** A machine of a partition. */
struct lmn_machine {
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], type_name[LMN_NAME_SIZE],
        zone[LMN_NAME_SIZE];
    const struct lmn_machine_type *type; /**< NULL: not known yet */
    bool is_spot;
    struct lmn_partition *partition;
    guint list_index; /**< in the partition's machine_list */
    struct lmn_machine_record record;
    struct lmn_agent_view agent;
    struct lmn_machine_lifecycle lifecycle;
    struct lmn_machine_push push;
    uint64_t fencing_token; /**< highest one sent to it or reported by it, in whichever
                                 ownership; see lmn_machine_token */
    GArray *attempts;       /**< struct lmn_attempt */
    struct lmn_removed_attempt removed_attempts[LMN_REMOVED_ATTEMPTS]; /**< a ring */
    unsigned removed_attempt_count;
    struct lmn_queue queue;
    struct lmn_machine_stealing stealing;
    struct lmn_machine_failures failures;
    GArray *images; /**< struct lmn_image, the most recently used last */
    struct lmn_machine_usage used;
    struct lmn_machine_replication replication;
    struct lmn_machine_reservation reservation;
};

/** Machines listed in one record of the key-value store. */
struct lmn_machine_block {
    guint id;
    uint64_t revision; /**< of its record; 0: no record exists */
    uint32_t generation;
    GPtrArray *machines;
    size_t bytes; /**< size of the record */
    bool is_writing;
    struct timespec written_at, retry_at;
};

/** Maximum number of blocks in a partition; records of higher blocks are ignored. */
enum { LMN_MAX_MACHINE_BLOCKS = 4096 };

#endif
