/* The state shared by all threads, behind one short lock.
 *
 * The mirror (jobs, ranges, owners, machine records) is altered by one thing only: the state
 * service's changes in their order. So what a node sees is always a true past state, whole.
 * What an owner knows of its machines lives beside it, in the same structures. */
#ifndef LMN_CORE_H
#define LMN_CORE_H

#include "clock.h"
#include "job.h"
#include "latency.h"
#include "settings.h"
#include "state.h"
#include "tuning.h"

#include <pthread.h>

struct lmn_range;
struct lmn_partition;

struct lmn_job {
    struct lmn_spec spec;
    enum lmn_phase phase;
    uint32_t open; /* ranges not yet closed */
    double at;     /* time of day of its acceptance */
    uint64_t rev;
    uint32_t gen;
    GPtrArray *ranges;
    const char *image; /* interned: looked for on every machine, at every deal */
    int team; /* index in the settings, -1 if it has left them */
    uint64_t closing; /* revision on which a close of ours is under way */
    /* when its next task has to start, by the time of day, for the next expectation that can
     * still be met; lost: none can */
    double latest;
    bool lost;
    bool guaranteed; /* it fitted into its team's guarantee when it came */
    bool yields; /* it could still be met, but only at the cost of more others (lmn_triage) */
    double left; /* processor seconds that have not been started */
    GArray *zones; /* struct lmn_zone_tasks, of a job whose tasks look at each other's places */
    const struct lmn_partition *ranked; /* mark of the triage under way */
    /* a job whose tasks fail is held back by itself */
    unsigned errors;
    struct timespec hold;
};

/* How many of a job's tasks are, or may be, on machines of a zone. */
struct lmn_zone_tasks {
    const char *zone; /* interned */
    int tasks;
};

enum lmn_task_state { LMN_T_QUEUED, LMN_T_STARTED, LMN_T_DONE, LMN_T_MOVING };

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
struct lmn_seg {
    struct lmn_range *range;
    uint32_t lo, hi;
};

struct lmn_queue {
    GPtrArray *segs;
    uint32_t tasks;
};

enum lmn_attempt_state { LMN_A_SENT, LMN_A_FETCHING, LMN_A_RUNNING, LMN_A_SAVING, LMN_A_ENDED };

struct lmn_attempt {
    char ref[LMN_REF];
    struct lmn_job *job;     /* NULL: unknown here */
    struct lmn_range *range; /* NULL: none of ours, or closed */
    uint32_t index;
    uint64_t number;
    enum lmn_attempt_state state;
    bool counted; /* holds room and quota */
    bool done, seen, killed;
    bool stop; /* it has to make room, with so many seconds to save: */
    double grace;
    bool direct; /* sent straight to the worker, in a call that is under way */
    bool unsure; /* sent in a call without an answer: it may yet arrive, in this session */
    bool listed; /* the worker has named it */
    struct timespec since;
};

/* An image that a machine has, or fetches, as far as known. */
struct lmn_image {
    const char *name; /* interned */
    double gb;
};

struct lmn_machine {
    char name[LMN_NAME], addr[LMN_ADDR], type_name[LMN_NAME], zone[LMN_NAME];
    const struct lmn_type *type; /* NULL: not known yet */
    bool spot;
    struct lmn_partition *part;
    uint64_t rev; /* of the record that first named it; 0: not recorded */
    struct lmn_block *block; /* where it is recorded, or will be */
    uint64_t block_rev;      /* of the last record that named it */
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
    bool poke, in_call;
    unsigned probes; /* without an answer, since the takeover */
    struct timespec next_probe;
    uint64_t session, seq, report_seq;
    struct timespec first, last, idle, noticed_at, retired_at;
    GArray *attempts; /* struct lmn_attempt */
    struct lmn_queue queue;
    double poll_s;
    bool hungry; /* has room for which nothing in its partition fits */
    struct timespec next_steal;
    GPtrArray *failed_jobs; /* distinct jobs that failed here since the last success */
    GArray *images;         /* struct lmn_image, the most recently used last */
    double used_cpus, used_gpus, used_mem;
    uint32_t promised; /* tasks that room is being made for: nothing less urgent starts, until: */
    struct timespec promise_until;
};

/* Machines that one record names. */
struct lmn_block {
    guint id;
    uint64_t rev; /* 0: there is no such record */
    uint32_t gen;
    GPtrArray *machines;
    size_t bytes;
    bool writing;
    struct timespec written, retry;
};

enum { LMN_MAX_BLOCKS = 4096 };

/* A part of a team's limit on its way from a partition to another. */
struct lmn_gift {
    int team, to; /* team -1: none */
    double cpus, gpus;
    uint64_t rev; /* of the team's record, on which the write is conditional */
    uint64_t serial;
    bool unsure; /* an attempt's outcome is not known */
    struct timespec retry;
};

/* What a partition is short of for a team: at best, and at least for one task. */
struct lmn_quota_want {
    int team;
    double cpus, gpus, least_cpus, least_gpus;
};

/* A zone most of whose machines have been silent. */
struct lmn_cut {
    const char *zone; /* interned */
    struct timespec until;
};

struct lmn_partition {
    int id;
    /* mirrored */
    char owner[LMN_NAME];
    uint64_t owner_lease, owner_rev, owner_term, term, term_rev;
    double quota_cpus[LMN_MAX_TEAMS], quota_gpus[LMN_MAX_TEAMS]; /* if there is a record */
    uint32_t owner_gen;
    struct timespec vacant; /* since when nobody owns it */
    GHashTable *ranges, *machines;
    GPtrArray *blocks; /* struct lmn_block by number */
    /* the owner's */
    bool mine, ready, releasing;
    uint64_t my_term, my_rev, attempts;
    struct timespec since, ready_at;
    double poll_s; /* interval of steals from other partitions */
    struct timespec next_steal;
    struct lmn_queue limbo; /* tasks that no machine's queue holds yet */
    double used_cpus[LMN_MAX_TEAMS], used_gpus[LMN_MAX_TEAMS];
    struct lmn_gift gift;
    GArray *cuts; /* struct lmn_cut */
    struct timespec next_pack;
    struct timespec next_quota; /* when it may ask others again */
    double quota_poll_s;
    guint rr;
};

struct lmn_peer_view {
    bool alive;
    uint64_t rev;
    uint32_t gen;
    struct timespec since;
};

struct lmn_counters {
    uint64_t steal_tries, steals, stolen_tasks, starts, kills, reports, polls, submissions;
    uint64_t refused, takeovers, moves, moved_tasks, unqueued, preempted;
};

struct lmn_core {
    pthread_mutex_t lock;
    pthread_cond_t changed; /* ownership, or membership */
    pthread_cond_t poked;   /* machines to be given work at once */
    const struct lmn_settings *cfg;
    struct lmn_state *state;
    struct lmn_tuning tuning;
    uint64_t tuning_rev;
    GRand *rng;

    GHashTable *jobs; /* ref -> lmn_job */
    struct lmn_partition *parts;
    int nparts;
    struct lmn_peer_view peers[LMN_MAX_MEMBERS + 1]; /* by rank */
    double wall;    /* the time of day at the last tick */
    double triaged; /* the time of day at the last triage */
    bool synced;
    bool odd_one; /* the mirror stands still, and only here, as far as known */
    uint32_t gen;
    struct timespec fresh; /* the mirror is no older than this */
    struct timespec booted, synced_at, audited;
    uint64_t lease; /* ours, 0: none */

    uint64_t quota_rev[LMN_MAX_TEAMS]; /* of the teams' records of parts; 0: none */
    bool quota_known[LMN_MAX_TEAMS]; /* there is a record, and of this limit */
    uint64_t gifts;
    /* what the teams' active jobs ask for, all their tasks together */
    double asked_cpus[LMN_MAX_TEAMS], asked_gpus[LMN_MAX_TEAMS];

    struct lmn_types types;
    bool types_known;
    GHashTable *gone; /* names of machines that were returned */
    struct lmn_counters count;
    struct lmn_latency accepting; /* from a submission to its commit */
    struct lmn_latency starting;  /* from a job's acceptance to a task's start command */
};

struct lmn_core *lmn_core_new(const struct lmn_settings *cfg, struct lmn_state *state,
                              uint32_t seed);

/* NULL: the cloud has not named it yet. */
const struct lmn_type *lmn_type_named(const struct lmn_core *c, const char *name);

/* --- mirror.c --- */
/* One change of the state service; value NULL: removed. The lock is held. */
void lmn_mirror_apply(struct lmn_core *c, const char *key, const struct lmn_doc *doc,
                      const struct lmn_node *value, uint64_t rev, struct timespec now);
/* After a full reading: what it did not name is gone. */
void lmn_mirror_sweep(struct lmn_core *c, struct timespec now);
GByteArray *lmn_job_record(const struct lmn_spec *s, enum lmn_phase phase, uint32_t open,
                           double at);
/* Reads a job's record; -1 if it is none. The spec is the caller's to clear. */
int lmn_job_read(const struct lmn_doc *doc, const struct lmn_node *value, struct lmn_spec *s,
                 enum lmn_phase *phase, uint32_t *open, double *at);
GByteArray *lmn_range_record(const struct lmn_range *r, const uint8_t *done);
/* After changes were applied: takes over what the mirror shows as this node's. */
void lmn_mirror_settle(struct lmn_core *c, struct timespec now);
/* Follows the state service for ever (a thread). */
void *lmn_mirror_thread(void *core);
/* Seconds by which the mirror may be behind; beyond LMN_BLIND_S a node touches no machine of the
 * cloud's: it may long have lost them to a successor. */
#define LMN_BLIND_S 5.0
/* The mirror stands still: it is asked for at least every 1.5 s. */
#define LMN_STALE_S 3.0
double lmn_staleness(const struct lmn_core *c, struct timespec now);

/* --- partition.c --- */
int lmn_partition_of(const char *machine, int nparts);
void lmn_partition_own(struct lmn_core *c, struct lmn_partition *p, struct timespec now);
void lmn_partition_lose(struct lmn_core *c, struct lmn_partition *p, const char *why);
/* All inherited machines accounted for? Then the inherited tasks may start. */
void lmn_partition_check(struct lmn_core *c, struct lmn_partition *p, struct timespec now);
/* Whether the member that holds the partition by default stands in the zone. */
bool lmn_holder_stands_in(const struct lmn_core *c, const struct lmn_partition *p,
                          const char *zone);
/* Whether this node should try to own the partition now. */
bool lmn_partition_wanted(const struct lmn_core *c, const struct lmn_partition *p,
                          struct timespec now);
/* The transaction that claims it: the owner's key and a higher term, both conditional. */
struct lmn_txn *lmn_partition_claim(const struct lmn_core *c, const struct lmn_partition *p,
                                    uint64_t lease);
void *lmn_partition_thread(void *core);

/* --- range.c: an owner's ranges and machines --- */
struct lmn_machine *lmn_machine_new(struct lmn_partition *p, const char *name);
void lmn_machine_free(struct lmn_machine *m);
/* The machine holds no task any more: everything it carried is queued again. */
void lmn_machine_empty(struct lmn_core *c, struct lmn_machine *m, const char *why,
                       struct timespec now);
void lmn_machine_retire(struct lmn_core *c, struct lmn_machine *m, bool force, const char *why,
                        struct timespec now);
/* It should have reported by now, and is worth asking. */
bool lmn_machine_silent(const struct lmn_core *c, const struct lmn_machine *m,
                        struct timespec now);
/* The cloud has said that it is gone. */
void lmn_machine_gone(struct lmn_core *c, struct lmn_machine *m, struct timespec now);
void lmn_attempt_count(struct lmn_machine *m, struct lmn_attempt *a);
void lmn_attempt_uncount(struct lmn_machine *m, struct lmn_attempt *a);
void lmn_range_free(struct lmn_range *r);
/* Takes a range into the owner's books. */
void lmn_range_open(struct lmn_core *c, struct lmn_range *r);
/* Whether its queued tasks may start: an inherited range's only once every machine that may hold
 * them is accounted for; one that is younger than our ownership was never a predecessor's. */
bool lmn_range_free_to_start(const struct lmn_range *r);
/* Nothing refers to the range any more. */
void lmn_range_forget(struct lmn_core *c, struct lmn_range *r);
void lmn_task_requeue(struct lmn_core *c, struct lmn_range *r, uint32_t index,
                      struct timespec now);
void lmn_task_finished(struct lmn_range *r, uint32_t index, struct timespec now);
/* Writes done sets and closes ranges that are due; the lock is held. */
void lmn_ranges_flush(struct lmn_core *c, struct timespec now);
/* Lapses, retirements, returns of idle machines; the lock is held. */
void lmn_upkeep(struct lmn_core *c, struct timespec now);

/* --- block.c: the records of machines --- */
/* A block's record as the mirror shows it; v NULL: removed. */
void lmn_block_apply(struct lmn_core *c, struct lmn_partition *p, unsigned long id,
                     const struct lmn_doc *d, const struct lmn_node *v, uint64_t rev,
                     struct timespec now);
void lmn_block_sweep(struct lmn_core *c, struct lmn_partition *p, struct timespec now);
/* No write of ours is under way any more. */
void lmn_block_reset(struct lmn_partition *p);
void lmn_block_leave(struct lmn_machine *m);
/* Writes the blocks that machines have come to or gone from; lazy: there is budget to spare. */
void lmn_blocks_flush(struct lmn_core *c, struct lmn_partition *p, bool lazy, struct timespec now);

/* --- queue.c --- */
void lmn_queue_init(struct lmn_queue *q);
void lmn_queue_clear(struct lmn_queue *q);
void lmn_queue_add(struct lmn_queue *q, struct lmn_range *r, uint32_t lo, uint32_t hi);
void lmn_queue_drop_range(struct lmn_queue *q, const struct lmn_range *r);
void lmn_queue_take(struct lmn_queue *q, const struct lmn_range *r, uint32_t index);
/* Takes one task, or the range's tasks from lo on, out of the queue. */
void lmn_queue_cut(struct lmn_queue *q, const struct lmn_range *r, uint32_t lo);
int lmn_job_order(const struct lmn_job *a, const struct lmn_job *b);
/* Works out latest and lost for the time of day now. */
void lmn_job_rank(const struct lmn_settings *cfg, struct lmn_job *j, double wall);
void lmn_rank_all(struct lmn_core *c, double wall);
/* Which of the jobs should yield, so that as many as possible are in time: v holds jobs that are
 * not lost, the capacities are in processors. */
void lmn_triage(GPtrArray *v, double wall, double cpus, double ordinary_cpus);
/* Cuts the range's queued tasks over the queues of the machines that could hold them. */
void lmn_deal(struct lmn_core *c, struct lmn_range *r, uint32_t lo, uint32_t hi,
              struct timespec now);
/* Gives a machine's queue, or all of limbo, back to be dealt anew. */
void lmn_redeal_machine(struct lmn_core *c, struct lmn_machine *m, struct timespec now);
/* Seconds for which a task of the job would wait for its image there. */
double lmn_fetch_s(const struct lmn_machine *m, const struct lmn_job *j);
/* The machine has the job's image, or is fetching it. */
void lmn_note_image(struct lmn_machine *m, const struct lmn_job *j);
/* Whether the job's team may use one task's processors more. */
bool lmn_in_quota(const struct lmn_core *c, const struct lmn_partition *p, const struct lmn_job *j);
bool lmn_can_hold(const struct lmn_machine *m, const struct lmn_job *j);
/* Starts what fits on a machine that has just reported: commands go to out. */
guint lmn_schedule(struct lmn_core *c, struct lmn_machine *m, GByteArray *out,
                   struct timespec now);
bool lmn_steal(struct lmn_core *c, struct lmn_machine *m, struct timespec now);

/* --- place.c: tasks of a job that look at each other's places --- */
void lmn_zone_count(struct lmn_job *j, const char *zone, int n);
/* How many more of its tasks may be started in the zone. */
uint32_t lmn_zone_room(const struct lmn_job *j, const char *zone);

/* --- preempt.c --- */
/* Finds room for tasks of production that wait, and makes it where there is none. */
void lmn_make_room(struct lmn_core *c, struct lmn_partition *p, struct timespec now);

/* --- pack.c --- */
/* Empties a machine whose replicas have room elsewhere. */
void lmn_pack(struct lmn_core *c, struct lmn_partition *p, struct timespec now);

/* --- quota.c: parts of the teams' limits --- */
/* What the team's tasks in the partition may use. */
void lmn_quota_part(const struct lmn_core *c, const struct lmn_partition *p, int team,
                    double *cpus, double *gpus);
void lmn_quota_apply(struct lmn_core *c, const char *key, const struct lmn_doc *d,
                     const struct lmn_node *v, uint64_t rev);
/* Sets a gift to another partition going, of no more than is free; false if there is none. */
bool lmn_quota_give(struct lmn_core *c, struct lmn_partition *p, int team, int to, double cpus,
                    double gpus);
void lmn_quota_flush(struct lmn_core *c, struct lmn_partition *p, struct timespec now);
void lmn_quota_reset(struct lmn_partition *p);
/* Whether the partition is short of the team's quota, and by how much. */
bool lmn_quota_wanted(const struct lmn_core *c, const struct lmn_partition *p, int team,
                      struct lmn_quota_want *w);
/* Another partition is short of it: gives what can be spared. */
bool lmn_quota_asked(struct lmn_core *c, struct lmn_partition *p, int to,
                     const struct lmn_quota_want *w);

/* --- steal.c: steals between partitions --- */
struct lmn_room {
    char type[LMN_NAME], zone[LMN_NAME];
    bool spot;
    double cpus, gpus, mem;
};
struct lmn_thief {
    int part;
    struct lmn_room rooms[64];
    guint nrooms;
    double team_cpus[LMN_MAX_TEAMS], team_gpus[LMN_MAX_TEAMS]; /* what its quota leaves */
};
/* Idle room of a partition of ours; false if there is none, or it is not yet time. */
bool lmn_thief_fill(struct lmn_core *c, struct lmn_partition *p, struct lmn_thief *t,
                    struct timespec now);
/* Queued tasks of the partition that the thief could start. */
uint32_t lmn_victim_load(const struct lmn_core *c, const struct lmn_partition *p,
                         const struct lmn_thief *t);
/* Sets a move going; returns how many tasks go. */
uint32_t lmn_victim_give(struct lmn_core *c, struct lmn_partition *p, const struct lmn_thief *t,
                         struct timespec now);
void lmn_thief_result(struct lmn_core *c, struct lmn_partition *p, uint32_t got,
                      struct timespec now);
/* The mirror shows the range cut at hi. */
void lmn_range_cut(struct lmn_core *c, struct lmn_range *r, uint32_t hi);
/* The move did not take place. */
void lmn_move_undo(struct lmn_core *c, struct lmn_range *r, struct timespec now);

/* --- worker.c --- */
/* Answers a report: status, and a body in out if there is one. */
/* Nothing on it that would be lost with it. */
bool lmn_machine_bare(const struct lmn_machine *m);
/* Fills a body for /do with starts for a machine of ours that waits for none; returns false if
 * there is nothing to send. name, addr: buffers of LMN_NAME and LMN_ADDR. */
bool lmn_direct_next(struct lmn_core *c, unsigned lane, unsigned lanes, char *name, char *addr,
                     GByteArray *body, struct timespec now);
/* What became of it. */
void lmn_direct_outcome(struct lmn_core *c, const char *name, int status, const GByteArray *answer,
                        struct timespec now);
/* The same for machines of a partition just taken over, which are asked what they hold. */
bool lmn_probe_next(struct lmn_core *c, unsigned lane, unsigned lanes, char *name, char *addr,
                    uint64_t *term, struct timespec now);
void lmn_probe_outcome(struct lmn_core *c, const char *name, uint64_t term, int status,
                       const GByteArray *answer, struct timespec now);
/* A lane of direct commands (a thread). */
void *lmn_direct_thread(void *lane);
struct lmn_lane {
    struct lmn_core *core;
    unsigned lane, lanes;
};
int lmn_worker_report(struct lmn_core *c, const void *body, size_t len, GByteArray *out,
                      struct timespec now);

#endif
