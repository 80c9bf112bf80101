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
    uint32_t open; /* ranges not yet closed */
    double at;     /* time of day of its acceptance */
    uint64_t rev;
    uint32_t gen;
    GPtrArray *ranges;
    const char *image; /* interned: looked for on every machine, at every deal */
    const char *cls;   /* its class, interned */
    bool owed;  /* its class or team has less than its floor (scheduler/fair_share.h) */
    bool aged;  /* it has waited for long, and nothing of it has started here */
    bool cheap; /* it fills gaps: on machines as cheap as it may use only */
    int team;   /* index in the settings, -1 if it has left them */
    uint64_t closing; /* revision on which a close of ours is under way */
    /* when its next task has to start, by the time of day, for the next expectation that
     * can still be met; lost: none can */
    double latest;
    bool lost;
    bool guaranteed; /* it fitted into its team's guarantee when it came */
    bool yields;     /* it could still be met, but only at the cost of more others
                        (lmn_overload_triage) */
    double left;     /* processor seconds that have not been started */
    GArray *zones;   /* struct lmn_zone_tasks, of a job whose tasks look at each other's
                        places */
    struct timespec
        tombstone; /* when another controller told of its withdrawal; 0: none */
    struct timespec
        final_at; /* when the mirror showed it final, or it was last looked at */
    const struct lmn_partition *ranked; /* mark of the triage under way */
    /* What one look over queues has found out (scheduler/queue.c): it can't start there,
     * it can, and what its image would take; each as long as the core's count is the
     * same.
     */
    uint64_t look_no, look_yes, look_fetch;
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
    struct lmn_partition *part;
    uint32_t lo, hi;
    char *key;
    uint8_t *done; /* as recorded */
    uint32_t ndone;
    uint64_t rev, born; /* of its last write, and of its first */
    uint32_t gen;
    /* the owner's: one lmn_task_state a task; NULL if not owned */
    uint8_t *st;
    bool dealt; /* its queued tasks stand in queues */
    uint32_t nstarted, nfinished;
    bool writing;
    uint64_t written; /* revision of our last write, until the mirror shows it */
    struct timespec dirty, retry;
    /* a move of the tasks from move_at on to another partition, while it is under way */
    uint32_t move_at;
    int move_to;      /* -1: none */
    bool move_unsure; /* an attempt's outcome is not known: only the mirror can tell */
    uint64_t move_rev;
};

/* A stretch of queued tasks. */
struct lmn_queue_segment {
    struct lmn_range *range;
    struct lmn_job *job; /* the range's: looks over queues want nothing else of it */
    uint32_t lo, hi;
};

struct lmn_queue {
    GPtrArray *segs;
    uint32_t tasks;
};

enum lmn_attempt_state {
    LMN_ATTEMPT_SENT,
    LMN_ATTEMPT_FETCHING,
    LMN_ATTEMPT_RUNNING,
    LMN_ATTEMPT_SAVING,
    LMN_ATTEMPT_ENDED
};

struct lmn_attempt {
    char ref[LMN_JOB_ID_SIZE];
    struct lmn_job *job;     /* NULL: unknown here */
    struct lmn_range *range; /* NULL: none of ours, or closed */
    uint32_t index;
    uint64_t number;
    enum lmn_attempt_state state;
    bool counted; /* holds room and quota */
    bool done, seen, killed;
    bool failed; /* it has ended with an error */
    bool stop;   /* it has to make room, with so many seconds to save: */
    double grace;
    bool direct; /* sent straight to the worker, in a call that is under way */
    bool
        unsure; /* sent in a call without an answer: it may yet arrive, in this session */
    bool listed;   /* the worker has named it */
    bool told;     /* a predecessor's, from the copy of it that we have; not heard yet */
    uint64_t mark; /* of its start, which waits until that is acknowledged; 0: it did not
                      have to */
    struct timespec since;
};

/* A job that has failed on a machine since something last succeeded there. */
struct lmn_failing_job {
    struct lmn_job *job;
    unsigned times;
    struct timespec last;
};

/* An image that a machine has, or fetches, as far as known. */
struct lmn_image {
    const char *name; /* interned */
    double gb;
    struct timespec ready; /* when a fetch under way should be over; 0: it is there */
};

struct lmn_machine {
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE], type_name[LMN_NAME_SIZE],
        zone[LMN_NAME_SIZE];
    const struct lmn_machine_type *type; /* NULL: not known yet */
    bool spot;
    struct lmn_partition *part;
    guint at;     /* in the partition's list */
    uint64_t rev; /* of the record that first named it; 0: not recorded */
    struct lmn_machine_block *block; /* where it is recorded, or will be */
    uint64_t block_rev;              /* of the last record that named it */
    /* the owner's */
    bool heard, lapsed;
    bool inherited; /* recorded by an owner before us */
    bool accounted; /* has reported with our term: its tasks are as it says */
    bool is_gone;   /* the cloud has said so; only its record is left */
    bool retiring;  /* starts nothing more; returned once empty, or at once if forced */
    bool force;     /* its tasks can't be waited for */
    bool returning; /* the request is under way */
    bool noticed;
    double notice_s;
    bool poke; /* to be given work at once: it stands in the partition's list of those */
    bool in_call;
    unsigned probes; /* without an answer, since the takeover */
    /* Answers, or commands, in a row that had no effect: it is heard, and does not hear.
     */
    unsigned unheeded;
    struct timespec sent_on; /* when it was last told to try another controller */
    struct timespec next_probe;
    uint64_t session, seq, report_seq;
    struct timespec first, last, idle, noticed_at, retired_at;
    GArray *attempts; /* struct lmn_attempt */
    struct lmn_queue queue;
    double poll_s;
    bool hungry; /* has room for which nothing in its partition fits */
    struct timespec next_steal;
    GArray *accusers;     /* struct lmn_failing_job */
    struct timespec hold; /* after a failure it starts nothing before */
    GArray *images;       /* struct lmn_image, the most recently used last */
    double used_cpus, used_gpus, used_mem;
    bool untold;       /* it has changed since the standby was told: it stands in the
                          partition's list of those */
    guint told_images; /* hash of the images that were told */
    /* It runs empty for a job that waits for whole room, until then
     * (scheduler/reservation.h).
     */
    const struct lmn_job *kept;
    struct timespec kept_until;
    uint32_t promised; /* tasks that room is being made for: nothing less urgent starts,
                          until: */
    struct timespec promise_until;
};

/* Machines that one record names. */
struct lmn_machine_block {
    guint id;
    uint64_t rev; /* 0: there is no such record */
    uint32_t gen;
    GPtrArray *machines;
    size_t bytes;
    bool writing;
    struct timespec written, retry;
};

enum { LMN_RETAINED_JOBS = 20000 };
enum { LMN_MAX_BLOCKS = 4096 };

/* A part of a team's limit on its way from a partition to another. */
struct lmn_quota_transfer {
    int team, to; /* team -1: none */
    double cpus, gpus;
    uint64_t rev; /* of the team's record, on which the write is conditional */
    uint64_t serial;
    bool unsure; /* an attempt's outcome is not known */
    struct timespec retry;
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
    int to;             /* the rank of who follows */
    uint64_t to_lease;  /* and its lease when it began to */
    uint64_t id;        /* of the stream: the term, and a count */
    uint64_t number;    /* of the batch that is next */
    uint64_t mark;      /* starts so far; never set back */
    uint64_t acked;     /* as of this mark, all is acknowledged */
    uint64_t closing;   /* as of this, all has to be before the record is written */
    uint64_t named_rev; /* the record's revision on which the naming was conditional */
    struct lmn_replication_batch *batch; /* on its way, or to be sent again; NULL: none */
    bool sending;                        /* it is with the thread that sends */
    unsigned failures;                   /* of sending it */
    unsigned struck; /* how often in a row a stream has come to nothing */
    const char *why; /* the last one did */
    struct timespec began, told, waits, next, written;
    GQueue waiting; /* struct lmn_deferred_response: answers that wait
                       (controller/replication_thread.h) */
    struct lmn_replication_counters {
        uint64_t batches, machines, streams, strikes;
    } count;
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
    uint64_t owner_lease, owner_rev, owner_term, term, term_rev;
    double *quota_cpus, *quota_gpus; /* by team, if there is a record */
    uint32_t owner_gen;
    uint64_t owner_stream;  /* that its claim, or its being given, was conditional on */
    struct timespec vacant; /* since when nobody owns it */
    char last_owner[LMN_NAME_SIZE]; /* who did until then; empty: not known */
    /* who is in step with the owner of that term, by which stream; 0: nobody */
    char standby[LMN_NAME_SIZE];
    uint64_t standby_lease, standby_stream, standby_term, standby_rev;
    struct lmn_replica *copy; /* what we have been told of it; NULL: nothing */
    GHashTable *ranges, *machines;
    GPtrArray *list; /* the same machines in no order: what samples are drawn from */
    struct lmn_worker_hosts
        *hosts;        /* the core's, where its machines' addresses are counted */
    GPtrArray *poked;  /* those to be given work at once (lmn_machine_wake) */
    GPtrArray *blocks; /* struct lmn_machine_block by number */
    /* the owner's */
    bool mine, ready, releasing;
    bool warm;    /* every task that may be on a machine is in the books, though not
                     every machine has spoken */
    bool open;    /* inherited tasks may start: ready, or warm */
    bool started; /* something, since it is ours */
    bool asking;  /* some machine may have to be asked whether it is there */
    /* what may run on inherited machines that are not accounted for, as of the last
     * lmn_partition_check_ready; unknown: of one, not even the type is known */
    double unheard_cpus, unheard_gpus;
    bool unheard_unknown;
    uint64_t my_term, my_rev, attempts;
    struct timespec since, ready_at;
    struct timespec released; /* when the write that gives it away was last tried */
    double poll_s;            /* interval of steals from other partitions */
    struct timespec next_steal;
    struct lmn_queue unplaced;     /* tasks that no machine's queue holds yet */
    double *used_cpus, *used_gpus; /* by team */
    struct lmn_quota_transfer transfer;
    struct lmn_quota_reservation *keep; /* by team */
    struct lmn_replication_stream stream;
    GPtrArray *untold;        /* machines that the standby has to be told about */
    GPtrArray *forgotten;     /* names of machines that it need not know any more */
    pthread_cond_t following; /* something is to be told */
    GArray *cuts;             /* struct lmn_zone_cut */
    struct timespec next_pack;
    struct timespec next_quota; /* when it may ask others again */
    double quota_poll_s;
    guint rr;
};

struct lmn_counters {
    uint64_t steal_tries, steals, stolen_tasks, starts, kills, reports, polls,
        submissions;
    uint64_t refused, takeovers, moves, moved_tasks, unqueued, preempted;
    uint64_t warm, cold; /* takeovers */
    uint64_t own;        /* of the warm ones: with what this process knew itself */
    uint64_t malformed;  /* reports */
    uint64_t tombstones; /* withdrawals that another controller told of first */
    uint64_t withheld;   /* starts that a standby did not acknowledge in time */
    uint64_t failures, accused, faulty; /* tasks that failed; jobs, and machines, that
                                           were found to be at fault */
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
    pthread_cond_t changed; /* ownership, or membership */
    pthread_cond_t asking;  /* a question has become due */
    pthread_cond_t poked;   /* machines to be given work at once */
    pthread_cond_t told;    /* a standby has acknowledged, or need not any more */
    const struct lmn_settings *cfg;
    struct lmn_kv_client *state;
    const struct lmn_owner_ops *owner;
    struct lmn_connection_budget sockets;
    struct lmn_load load;
    struct lmn_http_server *server; /* the users' and workers'; NULL: none */
    struct lmn_worker_hosts hosts;  /* of all machines known, with a lock of its own */
    struct lmn_operator_settings tuning;
    uint64_t tuning_rev;
    GRand *rng;
    uint64_t look, turn;     /* counts of looks over queues, and of starts within them */
    struct timespec kept_up; /* the last look at all machines */
    /* until when this node answered no reports: it had stood still, or its view was too
     * old; 0: it always has */
    struct timespec refused_until;

    GHashTable *jobs;    /* ref -> lmn_job */
    GQueue final_jobs;   /* those that are final, the oldest first */
    guint retained_most; /* so many are kept in memory at least (state/retention.h) */
    GHashTable
        *needed; /* while everything is read: refs of jobs that have ranges; or NULL */
    bool reading, crowded, reread;
    struct lmn_partition *parts;
    int nparts;
    struct lmn_members members;
    double wall;    /* the time of day at the last tick */
    double triaged; /* the time of day at the last triage */
    bool owing;     /* some class or team was owed room then */
    bool synced;
    bool odd_one; /* the mirror stands still, and only here, as far as known */
    /* since when no other controller is heard either; 0: some are */
    struct timespec isolated;
    bool leaving; /* it gives its partitions away, and ends (partition/shutdown.h) */
    bool left;    /* it has none, and no lease any more */
    /* the last try to write this node's record */
    uint64_t announced_lease;
    bool announced_leaving;
    struct timespec announced;
    struct timespec leave_at;
    uint32_t gen;
    struct timespec fresh; /* the mirror is no older than this */
    struct timespec booted, synced_at, audited;
    struct timespec complained; /* when a malformed report was last logged */
    struct timespec next_reach; /* when a node that hears no workers may ask one */
    uint64_t lease;             /* ours, 0: none */
    struct timespec leased;     /* when we last got one */

    /* by team */
    uint64_t *quota_rev; /* of the teams' records of parts; 0: none */
    bool *quota_known;   /* there is a record, and of this limit */
    uint64_t transfers;
    /* what the teams' active jobs ask for, all their tasks together */
    double *asked_cpus, *asked_gpus; /* by team */

    struct lmn_tombstones tombstones;
    struct lmn_machine_types types;
    bool types_known;
    GHashTable *gone; /* names of machines that were returned */
    struct lmn_counters count;
    struct lmn_latency accepting; /* from a submission to its commit */
    struct lmn_latency starting;  /* from a job's acceptance to a task's start command */
    struct lmn_latency telling;   /* what a start has waited for its standby */
};

#endif
