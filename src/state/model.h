/* The state shared by all threads, behind one short lock.
 *
 * The mirror (jobs, ranges, owners, machine records) is altered by one thing only: the
 * state service's changes in their order. So what a node sees is always a true past
 * state, whole. What an owner knows of its machines lives beside it, in the same
 * structures. */
#ifndef LMN_MODEL_H
#define LMN_MODEL_H

#include "util/clock.h"
#include "job/job_spec.h"
#include "util/latency.h"
#include "config/settings.h"
#include "admission/worker_hosts.h"
#include "admission/load_shedding.h"
#include "admission/connection_budget.h"
#include "membership/membership.h"
#include "state/failures.h"
#include "kv_client/kv_client.h"
#include "state/tombstone.h"
#include "config/operator_settings.h"

#include <pthread.h>

struct lmn_range;
struct lmn_partition;

struct lmn_job {
    struct lmn_job_spec spec;
    enum lmn_job_phase phase;
    uint32_t open_ranges; /* ranges not yet closed */
    double accepted_at_s; /* time of day of its acceptance */
    uint64_t revision;
    uint32_t generation;
    GPtrArray *ranges;
    const char *image;        /* interned: looked for on every machine, at every deal */
    const char *class_name;   /* its class, interned */
    bool is_under_fair_share; /* its class or team has less than its floor
                                 (scheduler/fair_share.h) */
    bool is_starving;  /* it has waited for long, and nothing of it has started here */
    bool is_spot_only; /* it fills gaps: on machines as cheap as it may use only */
    int team;          /* index in the settings, -1 if it has left them */
    uint64_t closing_revision; /* revision on which a close of ours is under way */
    /* when its next task has to start, by the time of day, for the next expectation that
     * can still be met; lost: none can */
    double latest_start_s;
    bool has_missed_objective;
    bool is_within_guarantee; /* it fitted into its team's guarantee when it came */
    bool is_deferred;       /* it could still be met, but only at the cost of more others
                          (lmn_overload_triage) */
    double remaining_cpu_s; /* processor seconds that have not been started */
    GArray *zones; /* struct lmn_zone_tasks, of a job whose tasks look at each other's
                      places */
    struct timespec
        tombstone_at; /* when another controller told of its withdrawal; 0: none */
    struct timespec
        final_at; /* when the mirror showed it final, or it was last looked at */
    const struct lmn_partition *triage_partition; /* mark of the triage under way */
    /* What one look over queues has found out (scheduler/queue.c): it can't start there,
     * it can, and what its image would take; each as long as the core's count is the
     * same.
     */
    uint64_t rejected_scan, accepted_scan, fetch_scan;
    double fetch_s;
    struct lmn_job_failures failures; /* a job whose tasks fail is held back by itself */
};

/* How many of a job's tasks are, or may be, on machines of a zone. */
struct lmn_zone_tasks {
    const char *zone; /* interned */
    int tasks;
};

enum lmn_task_state { LMN_TASK_QUEUED, LMN_TASK_STARTED, LMN_TASK_DONE, LMN_TASK_MOVING };

/* Tasks lo..hi-1 of a job, in one partition. */
struct lmn_range {
    struct lmn_job *job;
    struct lmn_partition *partition;
    uint32_t first, end;
    char *key;
    uint8_t *done; /* as recorded */
    uint32_t done_count;
    uint64_t revision, created_revision; /* of its last write, and of its first */
    uint32_t generation;
    /* the owner's: one lmn_task_state a task; NULL if not owned */
    uint8_t *task_states;
    bool is_assigned; /* its queued tasks stand in queues */
    uint32_t started_count, finished_count;
    bool is_writing;
    uint64_t written_revision; /* revision of our last write, until the mirror shows it */
    struct timespec dirty_since, retry_at;
    /* a move of the tasks from move_at on to another partition, while it is under way */
    uint32_t move_at;
    int move_to;            /* -1: none */
    bool move_is_uncertain; /* an attempt's outcome is not known: only the mirror can tell
                             */
    uint64_t move_revision;
};

/* A stretch of queued tasks. */
struct lmn_queue_segment {
    struct lmn_range *range;
    struct lmn_job *job; /* the range's: looks over queues want nothing else of it */
    uint32_t first, end;
};

struct lmn_queue {
    GPtrArray *segments;
    uint32_t task_count;
};

enum lmn_attempt_state {
    LMN_ATTEMPT_SENT,
    LMN_ATTEMPT_FETCHING,
    LMN_ATTEMPT_RUNNING,
    LMN_ATTEMPT_SAVING,
    LMN_ATTEMPT_ENDED
};

struct lmn_attempt {
    char job_id[LMN_JOB_ID_SIZE];
    struct lmn_job *job;     /* NULL: unknown here */
    struct lmn_range *range; /* NULL: none of ours, or closed */
    uint32_t index;
    uint64_t number;
    enum lmn_attempt_state state;
    bool holds_capacity; /* holds room and quota */
    bool is_done, in_last_heartbeat, kill_sent;
    bool has_failed; /* it has ended with an error */
    bool must_stop;  /* it has to make room, with so many seconds to save: */
    double grace_s;
    bool push_in_flight;    /* sent straight to the worker, in a call that is under way */
    bool push_is_uncertain; /* sent in a call without an answer: it may yet arrive, in
                               this session */
    bool was_reported;      /* the worker has named it */
    bool from_replica; /* a predecessor's, from the copy of it that we have; not heard yet
                        */
    uint64_t log_position; /* of its start, which waits until that is acknowledged; 0: it
                      did not have to */
    struct timespec started_at;
};

/* A job that has failed on a machine since something last succeeded there. */
struct lmn_failing_job {
    struct lmn_job *job;
    unsigned failures;
    struct timespec last_failed_at;
};

/* An image that a machine has, or fetches, as far as known. */
struct lmn_image {
    const char *name; /* interned */
    double gb;
    struct timespec ready_at; /* when a fetch under way should be over; 0: it is there */
};

struct lmn_machine {
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], type_name[LMN_NAME_SIZE],
        zone[LMN_NAME_SIZE];
    const struct lmn_machine_type *type; /* NULL: not known yet */
    bool is_spot;
    struct lmn_partition *partition;
    guint list_index;  /* in the partition's list */
    uint64_t revision; /* of the record that first named it; 0: not recorded */
    struct lmn_machine_block *block; /* where it is recorded, or will be */
    uint64_t block_revision;         /* of the last record that named it */
    /* the owner's */
    bool has_reported, lease_expired;
    bool is_inherited;  /* recorded by an owner before us */
    bool is_accounted;  /* has reported with our term: its tasks are as it says */
    bool is_terminated; /* the cloud has said so; only its record is left */
    bool is_draining; /* starts nothing more; returned once empty, or at once if forced */
    bool drain_at_once;     /* its tasks can't be waited for */
    bool is_being_returned; /* the request is under way */
    bool has_spot_notice;
    double notice_s;
    bool is_woken; /* to be given work at once: it stands in the partition's list of those
                    */
    bool has_push_in_flight;
    unsigned unanswered_probes; /* without an answer, since the takeover */
    /* Answers, or commands, in a row that had no effect: it is heard, and does not hear.
     */
    unsigned ignored_commands;
    struct timespec redirected_at; /* when it was last told to try another controller */
    struct timespec next_probe_at;
    uint64_t agent_incarnation, sequence, heartbeat_sequence;
    struct timespec first_seen_at, last_heartbeat_at, idle_since, spot_notice_at,
        drain_began_at;
    GArray *attempts; /* struct lmn_attempt */
    struct lmn_queue queue;
    double steal_interval_s;
    bool is_idle_with_capacity; /* has room for which nothing in its partition fits */
    struct timespec next_steal_at;
    GArray *failing_jobs;              /* struct lmn_failing_job */
    struct timespec quarantined_until; /* after a failure it starts nothing before */
    GArray *images;                    /* struct lmn_image, the most recently used last */
    double used_cpus, used_gpus, used_memory_gb;
    bool is_unreplicated; /* it has changed since the standby was told: it stands in the
                    partition's list of those */
    guint replicated_images_hash; /* hash of the images that were told */
    /* It runs empty for a job that waits for whole room, until then
     * (scheduler/reservation.h).
     */
    const struct lmn_job *reserved_for;
    struct timespec reserved_until;
    uint32_t preemption_reserved_tasks; /* tasks that room is being made for: nothing less
                          urgent starts, until: */
    struct timespec preemption_reserved_until;
};

/* Machines that one record names. */
struct lmn_machine_block {
    guint id;
    uint64_t revision; /* 0: there is no such record */
    uint32_t generation;
    GPtrArray *machines;
    size_t bytes;
    bool is_writing;
    struct timespec written_at, retry_at;
};

enum { LMN_RETAINED_JOBS = 20000 };
enum { LMN_MAX_BLOCKS = 4096 };

/* A part of a team's limit on its way from a partition to another. */
struct lmn_quota_transfer {
    int team, to_partition; /* team -1: none */
    double cpus, gpus;
    uint64_t revision; /* of the team's record, on which the write is conditional */
    uint64_t serial;
    bool is_uncertain; /* an attempt's outcome is not known */
    struct timespec retry_at;
};

/* Where an owner stands with the standby that follows it (replication/stream.h). From
 * CLOSING on starts wait until they are acknowledged. */
enum lmn_replication_phase {
    LMN_STREAM_NONE,
    LMN_STREAM_SNAPSHOT,    /* it is being told everything */
    LMN_STREAM_CATCHING_UP, /* what is left, while starts wait already */
    LMN_STREAM_JOINING,     /* the record that names it is being written */
    LMN_STREAM_IN_SYNC,
    LMN_STREAM_REMOVING, /* it is being struck off the record */
};

struct lmn_replication_batch;

struct lmn_replication_stream {
    enum lmn_replication_phase phase;
    int standby_index;              /* the rank of who follows */
    uint64_t standby_lease;         /* and its lease when it began to */
    uint64_t id;                    /* of the stream: the term, and a count */
    uint64_t next_batch_number;     /* of the batch that is next */
    uint64_t log_position;          /* starts so far; never set back */
    uint64_t acknowledged_position; /* as of this mark, all is acknowledged */
    uint64_t join_position; /* as of this, all has to be before the record is written */
    uint64_t
        join_revision; /* the record's revision on which the naming was conditional */
    struct lmn_replication_batch *batch; /* on its way, or to be sent again; NULL: none */
    bool is_sending;                     /* it is with the thread that sends */
    unsigned send_failures;              /* of sending it */
    unsigned consecutive_removals;   /* how often in a row a stream has come to nothing */
    const char *last_failure_reason; /* the last one did */
    struct timespec began_at, last_batch_at, waiting_since, next_step_at,
        record_written_at;
    GQueue deferred_responses; /* struct lmn_deferred_response: answers that wait
                       (controller/replication_thread.h) */
    struct lmn_replication_counters {
        uint64_t batches, machines, streams, removals;
    } counters;
};

struct lmn_replica;

/* A part of a team's limit that only one job may use: its own, or, with none, another
 * partition that it is to be given to (scheduler/reservation.h). */
struct lmn_quota_reservation {
    const struct lmn_job *job;
    double cpus, gpus;
    struct timespec until;
};

/* A zone most of whose machines have been silent. */
struct lmn_zone_cut {
    const char *zone; /* interned */
    struct timespec until;
};

struct lmn_partition {
    int id;
    /* mirrored */
    char owner[LMN_NAME_SIZE];
    uint64_t owner_lease, owner_revision, owner_epoch, epoch, epoch_revision;
    double *quota_cpus, *quota_gpus; /* by team, if there is a record */
    uint32_t owner_generation;
    uint64_t owner_stream; /* that its claim, or its being given, was conditional on */
    struct timespec vacant_since;   /* since when nobody owns it */
    char last_owner[LMN_NAME_SIZE]; /* who did until then; empty: not known */
    /* who is in step with the owner of that term, by which stream; 0: nobody */
    char standby[LMN_NAME_SIZE];
    uint64_t standby_lease, standby_stream, standby_epoch, standby_revision;
    struct lmn_replica *replica; /* what we have been told of it; NULL: nothing */
    GHashTable *ranges, *machines;
    GPtrArray
        *machine_list; /* the same machines in no order: what samples are drawn from */
    struct lmn_worker_hosts
        *worker_hosts;         /* the core's, where its machines' addresses are counted */
    GPtrArray *woken_machines; /* those to be given work at once (lmn_machine_wake) */
    GPtrArray *blocks;         /* struct lmn_machine_block by number */
    /* the owner's */
    bool is_owned, is_ready, is_transferring;
    bool is_warm; /* every task that may be on a machine is in the books, though not
                  every machine has spoken */
    bool inherited_may_start; /* inherited tasks may start: ready, or warm */
    bool has_started_task;    /* something, since it is ours */
    bool needs_probing;       /* some machine may have to be asked whether it is there */
    /* what may run on inherited machines that are not accounted for, as of the last
     * lmn_partition_check_ready; unknown: of one, not even the type is known */
    double unaccounted_cpus, unaccounted_gpus;
    bool has_unaccounted_unknown;
    uint64_t owned_epoch, owned_revision, next_attempt;
    struct timespec owned_since, ready_at;
    struct timespec
        transfer_tried_at;   /* when the write that gives it away was last tried */
    double steal_interval_s; /* interval of steals from other partitions */
    struct timespec next_steal_at;
    struct lmn_queue unassigned;   /* tasks that no machine's queue holds yet */
    double *used_cpus, *used_gpus; /* by team */
    struct lmn_quota_transfer quota_transfer;
    struct lmn_quota_reservation *quota_reservations; /* by team */
    struct lmn_replication_stream stream;
    GPtrArray *unreplicated_machines; /* machines that the standby has to be told about */
    GPtrArray
        *unreplicated_removals;     /* names of machines that it need not know any more */
    pthread_cond_t replication_due; /* something is to be told */
    GArray *zone_cuts;              /* struct lmn_zone_cut */
    struct timespec next_consolidation_at;
    struct timespec next_quota_request_at; /* when it may ask others again */
    double quota_request_interval_s;
    guint round_robin_cursor;
};

struct lmn_counters {
    uint64_t steal_tries, steals, stolen_tasks, starts, kills, heartbeats,
        status_requests, submissions;
    uint64_t refused_requests, failovers, moves, moved_tasks, reconciled_tasks, preempted;
    uint64_t warm_failovers, cold_failovers; /* takeovers */
    uint64_t
        own_state_failovers; /* of the warm ones: with what this process knew itself */
    uint64_t malformed_heartbeats; /* reports */
    uint64_t tombstones;           /* withdrawals that another controller told of first */
    uint64_t withheld_starts;      /* starts that a standby did not acknowledge in time */
    uint64_t task_failures, faulty_jobs, faulty_machines; /* tasks that failed; jobs, and
                                           machines, that were found to be at fault */
};

struct lmn_core;
struct lmn_http_server;

/* What the mirror tells an owner's books: they stand above it. Set once, before any
 * change is applied; the lock is held in every call. */
struct lmn_owner_ops {
    /* A range of ours has appeared; it may have to be dealt. */
    void (*range_born)(struct lmn_core *c, struct lmn_range *r, struct timespec now);
    /* The range ends at hi now: a move of its tail was applied. */
    void (*range_cut)(struct lmn_core *c, struct lmn_range *r, uint32_t hi);
    /* The move under way can't be applied any more. */
    void (*move_undo)(struct lmn_core *c, struct lmn_range *r, struct timespec now);
    /* The range is about to be freed. */
    void (*range_forget)(struct lmn_core *c, struct lmn_range *r);
    void (*partition_own)(struct lmn_core *c, struct lmn_partition *p,
                          struct timespec now);
    void (*partition_lose)(struct lmn_core *c, struct lmn_partition *p, const char *why);
    void (*block_apply)(struct lmn_core *c, struct lmn_partition *p, unsigned long id,
                        const struct lmn_cbor_document *d, const struct lmn_cbor_value *v,
                        uint64_t rev, struct timespec now);
    void (*block_sweep)(struct lmn_core *c, struct lmn_partition *p, struct timespec now);
    void (*quota_apply)(struct lmn_core *c, const char *key,
                        const struct lmn_cbor_document *d, const struct lmn_cbor_value *v,
                        uint64_t rev);
    /* The core is freed: what the partition holds of and for standbys goes. */
    void (*partition_free)(struct lmn_partition *p);
};

struct lmn_core {
    pthread_mutex_t lock;
    pthread_cond_t ownership_changed; /* ownership, or membership */
    pthread_cond_t probe_due;         /* a question has become due */
    pthread_cond_t machines_woken;    /* machines to be given work at once */
    pthread_cond_t
        replication_acknowledged; /* a standby has acknowledged, or need not any more */
    const struct lmn_settings *settings;
    struct lmn_kv_client *kv_client;
    const struct lmn_owner_ops *owner_ops;
    struct lmn_connection_budget connection_budget;
    struct lmn_load load;
    struct lmn_http_server *http_server; /* the users' and workers'; NULL: none */
    struct lmn_worker_hosts
        worker_hosts; /* of all machines known, with a lock of its own */
    struct lmn_operator_settings operator_settings;
    uint64_t operator_settings_revision;
    GRand *random;
    uint64_t scan_generation,
        start_generation; /* counts of looks over queues, and of starts within them */
    struct timespec last_maintenance_at; /* the last look at all machines */
    /* until when this node answered no reports: it had stood still, or its view was too
     * old; 0: it always has */
    struct timespec heartbeats_refused_until;

    GHashTable *jobs;        /* ref -> lmn_job */
    GQueue final_jobs;       /* those that are final, the oldest first */
    guint max_retained_jobs; /* so many are kept in memory at least (state/retention.h) */
    GHashTable *needed_job_ids; /* while everything is read: refs of jobs that have
                                   ranges; or NULL */
    bool is_listing, too_many_final_jobs, must_relist;
    struct lmn_partition *partitions;
    int partition_count;
    struct lmn_members members;
    double wall_clock_s;        /* the time of day at the last tick */
    double last_triage_s;       /* the time of day at the last triage */
    bool has_underserved_share; /* some class or team was owed room then */
    bool is_synced;
    bool is_isolated_view; /* the mirror stands still, and only here, as far as known */
    /* since when no other controller is heard either; 0: some are */
    struct timespec isolated_since;
    bool is_shutting_down;   /* it gives its partitions away, and ends
                                (partition/shutdown.h) */
    bool has_released_lease; /* it has none, and no lease any more */
    /* the last try to write this node's record */
    uint64_t announced_lease;
    bool announced_leaving;
    struct timespec announced_at;
    struct timespec shutdown_began_at;
    uint32_t generation;
    struct timespec cache_fresh_at; /* the mirror is no older than this */
    struct timespec booted_at, synced_at, last_reconciled_at;
    struct timespec
        last_malformed_logged_at; /* when a malformed report was last logged */
    struct timespec
        next_reach_probe_at;   /* when a node that hears no workers may ask one */
    uint64_t lease;            /* ours, 0: none */
    struct timespec leased_at; /* when we last got one */

    /* by team */
    uint64_t *quota_revision; /* of the teams' records of parts; 0: none */
    bool *has_quota_record;   /* there is a record, and of this limit */
    uint64_t transfer_count;
    /* what the teams' active jobs ask for, all their tasks together */
    double *demanded_cpus, *demanded_gpus; /* by team */

    struct lmn_tombstones tombstones;
    struct lmn_machine_types machine_types;
    bool machine_types_known;
    GHashTable *returned_machines; /* names of machines that were returned */
    struct lmn_counters counters;
    struct lmn_latency submission_latency; /* from a submission to its commit */
    struct lmn_latency
        start_latency; /* from a job's acceptance to a task's start command */
    struct lmn_latency replication_latency; /* what a start has waited for its standby */
};

#endif
