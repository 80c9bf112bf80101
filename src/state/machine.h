/** @file
 * Machines as their owner knows them: the record, the agent's last heartbeat, the
 * attempts that are or may be there, and what the scheduler plans with them.
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

/** How far an attempt is, as far as its owner knows. */
enum lmn_attempt_state {
    LMN_ATTEMPT_SENT, /**< the start command went out; no heartbeat has named it */
    LMN_ATTEMPT_FETCHING,
    LMN_ATTEMPT_RUNNING,
    LMN_ATTEMPT_SAVING,
    LMN_ATTEMPT_ENDED
};

/** One attempt at a task, which is or may be on a machine. */
struct lmn_attempt {
    char job_id[LMN_JOB_ID_SIZE];
    struct lmn_job *job;     /**< NULL: unknown here */
    struct lmn_range *range; /**< NULL: none of ours, or closed */
    uint32_t index;          /**< of the task in its job */
    uint64_t number;         /**< of the attempt; rises with each start of the task */
    enum lmn_attempt_state state;
    bool holds_capacity; /**< it counts against the machine's capacity and the quota */
    bool is_done;
    bool in_last_heartbeat; /**< the heartbeat that is being handled names it */
    bool kill_sent;
    bool has_failed; /**< it has ended with an error */
    bool must_stop;  /**< it is preempted, with grace_s to save a checkpoint */
    double grace_s;
    bool push_in_flight; /**< its start is in a call to the worker that is in flight */
    /** Its start was in a call that got no answer: it may yet arrive while the agent's
     * incarnation lasts. */
    bool push_is_uncertain;
    bool was_reported; /**< a heartbeat has named it */
    bool from_replica; /**< a predecessor's by its replica, and not reported yet */
    /** Log position of its start, which waits until the standby has acknowledged it; 0:
     * it did not have to wait. */
    uint64_t log_position;
    struct timespec started_at;
};

/** A job that has failed on a machine since a task last succeeded there. */
struct lmn_failing_job {
    struct lmn_job *job;
    unsigned failures;
    struct timespec last_failed_at;
};

/** An image that a machine caches or fetches, as far as known. */
struct lmn_image {
    const char *name; /**< interned */
    double gb;
    struct timespec ready_at; /**< when the fetch should be over; 0: it is cached */
};

/** Where a machine is recorded in the key-value store. */
struct lmn_machine_record {
    uint64_t revision; /**< of the record that first named it; 0: not recorded */
    struct lmn_machine_block *block; /**< that records it, or will */
    uint64_t block_revision;         /**< of the last record that named it */
};

/** What is known of a machine's agent. */
struct lmn_agent_view {
    bool has_reported;  /**< a heartbeat has come since the partition is owned */
    bool lease_expired; /**< its tasks are given up */
    uint64_t incarnation;
    uint64_t sequence;           /**< highest of any message of this incarnation */
    uint64_t heartbeat_sequence; /**< highest of its heartbeats */
    struct timespec first_seen_at, last_heartbeat_at;
    struct timespec redirected_at; /**< when it was last sent to another controller */
    /** Replies or commands in a row that had no effect: its heartbeats arrive, and what
     * is sent to it does not. */
    unsigned ignored_commands;
    unsigned unanswered_probes; /**< since the partition is owned */
    struct timespec next_probe_at;
};

/** How a machine came to this owner, and how it goes. */
struct lmn_machine_lifecycle {
    bool is_inherited;      /**< a predecessor recorded it */
    bool is_accounted;      /**< it has reported with our epoch: it holds what it says */
    bool is_terminated;     /**< the cloud has said so; only its record is left */
    bool is_draining;       /**< it starts nothing more, and is returned once empty */
    bool drain_at_once;     /**< its tasks can't be waited for */
    bool is_being_returned; /**< the request to the cloud is in flight */
    bool has_spot_notice;
    double spot_notice_s; /**< seconds until the cloud takes it, as of spot_notice_at */
    struct timespec spot_notice_at, drain_began_at;
    struct timespec idle_since; /**< 0: it is not idle */
};

/** Capacity that attempts on a machine take, those whose start is in flight included. */
struct lmn_machine_usage {
    double cpus, gpus, memory_gb;
};

/** When a machine with free capacity tries to steal within its partition. */
struct lmn_machine_stealing {
    double interval_s; /**< doubles with each failure, reset by success */
    struct timespec next_at;
    bool is_idle_with_capacity; /**< nothing in its partition fits its free capacity */
};

/** What speaks against a machine. */
struct lmn_machine_failures {
    GArray *jobs;                      /**< struct lmn_failing_job */
    struct timespec quarantined_until; /**< it starts nothing before */
};

/** What the standby does not know of a machine yet. */
struct lmn_machine_replication {
    bool is_pending;   /**< it stands in the partition's list of pending machines */
    guint images_hash; /**< of the images as last replicated */
};

/** Capacity that is kept free on a machine. */
struct lmn_machine_reservation {
    const struct lmn_job *job; /**< that it runs empty for; NULL: none */
    struct timespec until;
    /** Tasks that others are being preempted for: nothing of lower priority starts until
     * preemption_until. */
    uint32_t preemption_tasks;
    struct timespec preemption_until;
};

/** Commands that go straight to a machine's agent. */
struct lmn_machine_push {
    bool is_woken; /**< it is to get work at once, and stands in the partition's list */
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
    GArray *attempts; /**< struct lmn_attempt */
    struct lmn_queue queue;
    struct lmn_machine_stealing stealing;
    struct lmn_machine_failures failures;
    GArray *images; /**< struct lmn_image, the most recently used last */
    struct lmn_machine_usage used;
    struct lmn_machine_replication replication;
    struct lmn_machine_reservation reservation;
};

/** Machines that one record of the key-value store names. */
struct lmn_machine_block {
    guint id;
    uint64_t revision; /**< 0: there is no such record */
    uint32_t generation;
    GPtrArray *machines;
    size_t bytes; /**< that the record takes */
    bool is_writing;
    struct timespec written_at, retry_at;
};

/** Most blocks of a partition; a record that names a higher one is ignored. */
enum { LMN_MAX_MACHINE_BLOCKS = 4096 };

#endif
