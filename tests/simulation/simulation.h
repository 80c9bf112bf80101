/* Simulates the whole service: several controllers, each running the product's watch
 * cache, job queues and heartbeat handling, against a simulated state service and
 * simulated workers. Messages are delayed, lost, duplicated and applied late; controllers
 * crash, lose their connections and restart; machines freeze and terminate. The rules of
 * the protocol (enum rule) are checked after every step of simulated time. The same seed
 * gives the same history. The scenarios that are played stand in tests/test_model.c and
 * tests/test_scenarios*.c. */
#ifndef LMN_TESTS_SIMULATION_H
#define LMN_TESTS_SIMULATION_H

#include "protocol/cbor.h"
#include "digest/messages.h"
#include "partition/heartbeat.h"
#include "partition/machine_attempts.h"
#include "partition/worker_client.h"
#include "partition/worker_probe.h"
#include "partition/worker_push.h"
#include "state/core_state.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

enum { MAX_NODES = 33, MAX_MACHINES = 66, JOBS = 40, MAX_JOBS = 400, TASKS = 24 };
enum { MAX_TASKS_PER_MACHINE = 64, MAX_TASKS_PER_JOB = 64 };
enum { MAX_TEAMS = 3 };
static const double STEP_S = 0.1;
/* Simulated time at the first step of a run, in seconds. */
static const double RUN_START_S = 1000;
/* A worker gives up on a heartbeat that has not been answered after that time. */
static const double HEARTBEAT_TIMEOUT_S = 4;

/* Safety mechanisms of the product, each of which a test can disable to show that a rule
 * is broken without it. The numbers stand in the names of digests: append only. */
enum guard {
    GUARD_NONE,
    /* Inherited tasks are not restarted before all machines are accounted for. */
    GUARD_ACCOUNTED,
    /* A pushed start command without a response is assumed to have arrived. */
    GUARD_UNCERTAIN_PUSH,
    /* The quotas of the teams are divided among the partitions. */
    GUARD_QUOTA,
    /* Tasks start only on machines that their job allows. */
    GUARD_PLACEMENT,
    /* A controller whose watch cache is too old stops answering workers. */
    GUARD_STALE_VIEW,
    /* A task is done only once a worker has reported it done. */
    GUARD_DONE,
    /* Final job states are written on condition that the record is unchanged. */
    GUARD_FINAL,
    /* Placement counts the zones of the job's other tasks. */
    GUARD_ANTI_AFFINITY,
    /* Inherited tasks are not restarted early even if their previous owner was declared
     * failed. */
    GUARD_DECLARED_FAILED,
    /* A heartbeat is dropped if a newer one of the same worker was handled before it. */
    GUARD_HEARTBEAT_ORDER,
    /* Start commands are sent only after the standby has acknowledged them. */
    GUARD_REPLICATED,
    /* A controller rewrites its member record if it is missing. */
    GUARD_ANNOUNCE,
    /* The age of the watch cache counts from the request, not from its response. */
    GUARD_VIEW_AGE,
    /* A transaction that is executed late still checks its conditions. */
    GUARD_LATE_WRITE,
    /* The first response with a new fencing token kills tasks of cancelled jobs. */
    GUARD_KILL_CANCELLED,
    /* A job state that is not final is confirmed with the state service before it is
     * returned to a user. */
    GUARD_CONFIRM,
    /* A submission whose transaction has an unknown outcome is not returned as accepted.
     */
    GUARD_UNKNOWN_OUTCOME,
    /* A transaction whose response was lost is not treated as a conflict. */
    GUARD_LOST_RESPONSE,
    /* A request that arrives after a confirmation was sent waits for the next one. */
    GUARD_SHARED_CONFIRMATION,
    /* A rejection is confirmed, as a job with the same id may have been accepted before.
     */
    GUARD_DUPLICATE_REQUEST,
    /* An owner reuses its own earlier state only if nobody owned the partition since. */
    GUARD_OWN_EPOCH,
    /* A heartbeat from before the owner's epoch settles nothing. */
    GUARD_HEARTBEAT_EPOCH,
    /* A worker rejects pushed commands with an older fencing token. */
    GUARD_OLD_EPOCH,
    /* A worker rejects pushed commands for an earlier incarnation of its agent. */
    GUARD_INCARNATION,
    /* A machine's record is written before the first task starts there. */
    GUARD_MACHINE_RECORDED,
    /* The tasks of a silent machine count as running until its lease has ended. */
    GUARD_LEASE,
    /* Tasks of cancelled jobs count against the quota until they are known to have ended.
     */
    GUARD_QUOTA_UNTIL_GONE,
    /* Tasks that may run on machines that are not accounted for count against the quota.
     */
    GUARD_UNACCOUNTED,
    /* A worker rejects commands with older fencing tokens or for its earlier
     * incarnations. */
    GUARD_FENCING_TOKEN,
    /* Classes and teams below their fair share, and jobs that have waited long, go first.
     */
    GUARD_FAIR_SHARE,
    /* An owner kills tasks of cancelled jobs that its predecessors started, too. */
    GUARD_KILL_INHERITED,
    /* At most one write of a range is in flight. */
    GUARD_ONE_WRITE_PER_RANGE,
    /* An attempt whose start was pushed is cleared only under a higher fencing token. */
    GUARD_RAISED_TOKEN,
};

/* What a transaction writes. */
enum txn_kind {
    TXN_SUBMISSION,
    TXN_CANCELLATION,
    TXN_OWNERSHIP, /* claim or transfer of a partition */
    TXN_QUOTA,
    TXN_RANGE,
    TXN_MACHINE_BLOCK,
    TXN_STANDBY,
    TXN_SUSPICION,
    TXN_MEMBER_RECORD,
    TXN_KIND_COUNT
};

/* What the protocol guarantees in every history; named by the violation. */
enum rule {
    RULE_RAN_TWICE,      /* a task runs on two machines at the same time */
    RULE_QUOTA_EXCEEDED, /* a team runs more processors than its quota */
    RULE_WRONG_PLACE,    /* a task runs on a machine that its job does not allow */
    RULE_RAN_CANCELLED,  /* a task runs for longer than cancel_s after its cancellation */
    RULE_DONE_TOO_EARLY, /* a job is recorded as done before all its tasks are */
    RULE_STATE_REVERTED, /* a final job state changes */
    RULE_JOB_FORGOTTEN,  /* an accepted job is returned as unknown or rejected */
    RULE_JOB_INVENTED,   /* a job is returned that nobody submitted */
    RULE_COUNT
};

/* --- the state service --- */

struct stored_value {
    GByteArray *value; /* NULL: deleted */
    uint64_t revision, lease;
};

struct event {
    char *key;
    GByteArray *value; /* NULL: the key was deleted */
    uint64_t revision;
};

struct store_lease {
    uint64_t id;
    double expires_at;
};

/* A transaction whose sender has got no response and which is executed later. */
struct late_txn {
    struct lmn_txn *txn;
    double execute_at;
    int sender; /* controller */
    unsigned sender_restarts;
};

/* --- machines --- */

struct task {
    int job, index;
    uint64_t attempt;
    enum { FETCHING, RUNNING, ENDED } state;
    bool is_done;
    double next_state_at;
};

struct message {
    double arrives_at;
    int machine, node, generation; /* of the machine */
    bool is_command;               /* pushed to the worker; else a heartbeat */
    bool is_copy;     /* of a heartbeat that has arrived; its response is dropped */
    GByteArray *body; /* of the heartbeat, its response, or the pushed command */
    uint64_t incarnation, sequence;
    guint token_offset; /* of the fencing token in the body: its last field */
};

/* How many heartbeats of a machine are kept, for copies that arrive much later. */
enum { OLD_HEARTBEATS = 16 };

struct machine {
    char name[16], zone[8];
    int generation; /* how many earlier machines have had this index */
    bool spot, is_terminated;
    /* Until isolated_until the machine reaches only the controller isolated_with. */
    int isolated_with;
    double isolated_until;
    double inbound_lost_until;     /* heartbeats arrive, responses and commands don't */
    double commands_delayed_until; /* pushed commands wait until then */
    double outbound_lost_until;    /* no heartbeat arrives, pushed commands do */
    double hang_until, lease_start, next_heartbeat_at, response_deadline;
    uint64_t incarnation, sequence, token;
    int node; /* the controller that it sends heartbeats to */
    bool heartbeat_in_flight;
    uint64_t in_flight_sequence;
    struct task tasks[MAX_TASKS_PER_MACHINE];
    int task_count;
    double replaced_at; /* when another machine takes the index; 0: at a random time */
    struct message *old_heartbeats[OLD_HEARTBEATS]; /* a ring; NULL: none yet */
    unsigned heartbeat_count;
    GHashTable *cleared_attempts; /* uint64_t, of this incarnation; NULL: none yet */
};

struct job {
    struct lmn_job_spec spec;
    char id[LMN_JOB_ID_SIZE];
    bool submitted;
    bool recorded_done; /* its record says that it is done */
    double cancelled_at, accepted_at, first_start_at; /* negative: not yet */
    uint64_t checked_revision; /* of its record, when the rules were last checked */
    bool done[MAX_TASKS_PER_JOB];
    /* What the job's user has done and been told, in runs with users (users.c). */
    bool submission_begun;
    bool cancel_wanted, cancel_sent;
    bool acceptance_returned;          /* some response has said that the job is known */
    enum lmn_job_phase returned_phase; /* the final one; LMN_JOB_ACTIVE: none yet */
    /* By machine: since when a task of the job has waited although the machine had room
     * for it; 0: it does not. */
    double waiting_beside_since[MAX_MACHINES];
};

struct node {
    struct lmn_settings settings;
    struct lmn_team teams[MAX_TEAMS];
    struct lmn_kv_client *state;
    struct lmn_core *core;           /* NULL: the controller is down */
    uint64_t lease, announced_lease; /* the latter: with which its record was written */
    unsigned restarts;
    size_t applied_events;
    double down_until, store_unreachable_until;
    double zone_isolated_until; /* it reaches only machines isolated with it */
    double frozen_until, workers_unreachable_until, peers_unreachable_until;
    bool crashes_next_step;
    double store_slow_until; /* responses of the state service are delayed */
    double watch_request_at, watch_response_at; /* the latter 0: no request is sent */
    size_t watch_request_events;                /* number of events when it was sent */
    bool declared_failed[MAX_NODES]; /* by partition: claimed from a failed owner */
    GPtrArray *deferred_starts;      /* struct deferred_start */
};

/* The response to a heartbeat, or a pushed command, that waits until the standby has
 * acknowledged the starts in it. */
struct deferred_start {
    struct lmn_deferred_starts starts;
    bool is_command;
    int machine, generation;
    GByteArray *body;
    uint64_t incarnation, sequence;
    double since;
};

/* The size of a site and the length of a run. */
struct layout {
    int nodes, machines, zones;
    int steps;          /* in which faults may begin */
    int recovery_steps; /* after those: no fault begins */
    double team_cpus_max;
    double job_interval_s; /* from one submission to the next */
};
extern const struct layout default_layout;

/* A run in which only the schedule's step begins faults; messages and writes are lost or
 * late as in any run. */
struct schedule {
    void (*step)(void); /* called first in each step */
    double lease_s, cancel_s;
    double max_task_s; /* longest run of a task */
    bool has_users;    /* jobs are submitted, queried and cancelled through controllers */
    int jobs, teams;   /* 0: as in a run without a schedule */
    double max_heartbeat_delay_s;
    bool older_versions_claim; /* half of the claims and transfers, as they write them */
    unsigned max_transactions; /* of a controller in a step; 0: no limit */
    void (*describe_job)(struct job *job, int number); /* sets the spec; may be NULL */
};

struct simulation {
    struct layout layout;
    GRand *random;
    double now, cancel_s, lease_s, max_task_s;
    struct timespec clock;
    GHashTable *store;            /* struct stored_value by key */
    GPtrArray *events;            /* struct event: every change, in order */
    GArray *leases;               /* struct store_lease */
    GPtrArray *late_transactions; /* struct late_txn */
    uint64_t revision, last_lease;
    double cloud_down_until;
    double late_writes_until, copied_heartbeats_until;
    double lost_responses_until;
    int lost_response_kind;      /* enum txn_kind; TXN_KIND_COUNT: of all kinds */
    bool crash_on_lost_response; /* the sender often crashes when a response is lost */
    double repeated_reads_until, odd_requests_until, cancel_at_end_until;
    double keep_heartbeats_until; /* copies are kept for the partition's next owner */
    GPtrArray *kept_heartbeats;   /* struct kept_heartbeat */
    int current_node;             /* the controller whose step this is */
    double late_commands_until, copied_commands_until;
    double fault_free_since;
    double longest_wait_s;     /* of a task while a machine had room for it */
    char service_failure[160]; /* why the run fails although no rule is broken */
    /* Written by partition owners. */
    unsigned transactions, operations, most_queued_operations;
    unsigned late_commands, copied_commands;
    unsigned restarted_attempts; /* begun anew at a worker that had cleared them */
    struct node nodes[MAX_NODES];
    struct machine machines[MAX_MACHINES];
    struct job jobs[MAX_JOBS];
    int job_count, team_count;
    GPtrArray *messages; /* struct message: in flight */
    enum guard disabled_guard;
    unsigned violations[RULE_COUNT];
    unsigned starts, finished_jobs, takeovers, steals, preempted;
    unsigned failures_declared, refutations, partition_transfers;
    unsigned warm_takeovers, compared_replicas, withheld_starts, shutdowns;
    unsigned copied_heartbeats, cancelled_jobs, received_tombstones, late_commits;
    unsigned lost_responses[TXN_KIND_COUNT]; /* of transactions that were committed */
    /* Responses to users: all; those that break a rule; those that are older than a
     * response that arrived before them; status 503. */
    unsigned replies, wrong_replies, overtaken_replies, unavailable_replies;
    bool has_users;
    double least_cancel_margin_s; /* left of cancel_s when a cancelled task last ran */
    unsigned ended_sender_writes; /* executed after their sender had restarted */
    /* Pushed commands that were rejected for their fencing token, and for the agent's
     * incarnation alone. */
    unsigned old_token_commands, old_incarnation_commands;
    unsigned delivered_kept_heartbeats;
    bool has_standbys;
    bool members_flap;
    bool sends_tombstones; /* the rules hold without them, too */
    bool faults_stopped;   /* no fault begins any more */
};
extern struct simulation simulation;
extern const struct schedule *schedule; /* of the next run; NULL: random faults */
extern bool flapping_members;           /* in the next run, members fail repeatedly */
extern bool enable_standbys;            /* in the next run, partitions have standbys */

const char *simulation_team(int number);
/* True with that probability, by the run's random numbers. */
bool simulation_chance(double probability);
/* The same, but always false once faults have stopped. */
bool simulation_fault_chance(double probability);

/* --- store.c: the state service --- */

/* Writes one change at the current revision, which the caller has incremented. */
void simulation_store_put(const char *key, const GByteArray *value, uint64_t lease);
/* Reads the job's record; the caller clears the spec. */
enum lmn_job_phase simulation_read_job(const struct job *job, struct lmn_job_spec *spec,
                                       uint32_t *open, double *accepted_at);
uint64_t simulation_job_revision(const struct job *job);
enum lmn_txn_outcome simulation_commit(const struct lmn_txn *txn, uint64_t *revision);
/* Checks a transaction that has only conditions; keys whose condition does not hold are
 * added to failed. */
enum lmn_txn_outcome simulation_confirm(const struct lmn_txn *txn, GPtrArray *failed);
enum txn_kind simulation_txn_kind(const struct lmn_txn *txn);
const char *simulation_txn_name(enum txn_kind kind);
/* Whether the response to the transaction is lost, by a random number from 0 to 1. */
bool simulation_response_is_lost(const struct lmn_txn *txn, double random_value);
/* Executes the transaction; the controller does not learn the outcome. */
enum lmn_txn_outcome simulation_commit_without_response(struct node *node,
                                                        const struct lmn_txn *txn);
/* Executes, rejects, loses or delays the transaction, by a random number from 0 to 1. */
enum lmn_txn_outcome simulation_send_txn(struct node *node, const struct lmn_txn *txn,
                                         double random_value, uint64_t *revision);
/* Executes a copy of the transaction some seconds later, after newer ones. */
void simulation_add_late_txn(const struct lmn_txn *txn);
bool simulation_lease_is_alive(uint64_t id);
/* Executes late transactions that are due, and deletes the keys of expired leases. */
void simulation_expire_leases(void);

/* --- rules.c --- */

int simulation_job_index(const char *job_id); /* -1: no job of the run has that id */
/* Whether the machine's tasks still count. A machine that hangs past its lease has lost
 * them, although it ends them only when it continues. */
bool simulation_machine_is_live(const struct machine *machine);
/* The task runs on the machine, or is about to. */
bool simulation_task_is_active(const struct machine *machine, const struct task *task);
/* Counts a task that has just started on the machine, and checks the rules for it. */
void simulation_check_start(const struct machine *machine, const struct task *task);
void simulation_check_rules(void);

/* --- service_checks.c --- */

/* Records why the run fails; only the first reason of a run is kept. */
void simulation_fail_service(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Processors that the team's tasks use. */
double simulation_team_cpus(int team);
/* Prints for each machine why its partition's owner does not start the job there. */
void simulation_print_wait_reasons(const struct job *job);
/* Fails the run if a task has waited too long although a machine had room for it. */
void simulation_check_service(void);

/* --- machines.c --- */

/* Names the machine by its index and generation. All machines of an index belong to the
 * same partition, and no name is used twice. */
void machine_set_name(struct machine *machine);
/* NULL: the machine is gone, and another has its index. */
struct machine *simulation_find_machine(const char *name);
/* Whether messages get from the machine to the controller. */
bool machine_reaches_node(int node, const struct machine *machine);
/* Whether messages get from the controller to the machine. */
bool node_reaches_machine(int node, const struct machine *machine);
void machine_handle_response(struct machine *machine, const struct message *message);
/* Handles a pushed command and returns the HTTP status. A heartbeat is appended to
 * heartbeat unless it is NULL. */
int machine_handle_command(struct machine *machine, const GByteArray *body,
                           GByteArray *heartbeat);
void machine_step(struct machine *machine);
/* A copy of a heartbeat with a body of its own. */
struct message *heartbeat_copy(const struct message *message);
/* One of the machine's earlier heartbeats, at random; NULL: there is none. */
const struct message *machine_old_heartbeat(const struct machine *machine);
/* Starts a machine of the next generation at the index. */
void machine_replace(struct machine *machine);

/* --- nodes.c: controllers --- */

bool node_up(const struct node *node);
struct lmn_member_health node_health(const struct node *node);
/* Sends a write of the ownership thread and frees it; the outcome may be unknown. */
enum lmn_txn_outcome node_send_txn(struct node *node, struct lmn_txn *txn);
void node_step(struct node *node, int self);
/* The process ends without a shutdown: its lease stays until it expires. The controller
 * restarts after down_s seconds. */
void node_crash(struct node *node, double down_s);

/* --- older_version.c --- */

/* Changes a claim or transfer to what an older version writes. */
void simulation_write_as_older_version(struct lmn_txn *txn);

/* --- peers.c: messages between controllers, and pushed to workers --- */

/* Whether a request gets from one controller to the other and its response back. */
bool node_reaches_node(const struct node *from, const struct node *to);
void node_send_probes(struct node *node, int self);
void node_replicate(struct node *node, int self, bool store_unreachable);
void node_send_deferred(struct node *node);
/* Holds back the response to a heartbeat, or with message NULL a pushed command, until a
 * standby has acknowledged the starts in it. */
void node_defer_starts(struct node *node, const struct lmn_deferred_starts *starts,
                       const struct message *message, struct machine *machine,
                       GByteArray *body);
void node_call_workers(struct node *node);

/* --- faults.c --- */

enum fault {
    FAULT_REFUSED,  /* the state service rejects one controller */
    FAULT_OUTAGE,   /* it rejects all of them */
    FAULT_ISOLATED, /* a controller loses the state service and the other controllers */
    FAULT_SLOW_STATE,
    FAULT_LATE_WRITES,
    FAULT_CRASH,
    FAULT_CRASH_ALL,
    FAULT_FREEZE,
    FAULT_NODE_LOSES_WORKERS,
    FAULT_NODE_LOSES_PEERS,
    FAULT_LEAVE,                 /* a controller is asked to shut down */
    FAULT_ZONE,                  /* a controller and its machines reach only each other */
    FAULT_HANG,                  /* machines */
    FAULT_MACHINE_HEARS_NOTHING, /* heartbeats arrive, responses and commands don't */
    FAULT_PUSH_BLOCKED,          /* pushed commands are delayed */
    FAULT_LATE_HEARTBEATS,
    FAULT_MACHINE_DIES,
    FAULT_CLOUD, /* machines can't be returned */
    FAULT_CANCEL,
    FAULT_LOST_RESPONSES, /* transactions are committed, and the responses lost */
    FAULT_REPEATED_READS, /* users query a job at all controllers within milliseconds */
    FAULT_ODD_REQUESTS,   /* users send requests that are invalid or already done */
    FAULT_CANCEL_AT_END,  /* jobs are cancelled as their last task ends */
    FAULT_HEARTBEATS_FOR_NEXT_OWNER, /* copies arrive at the partition's next owner */
    FAULT_OLD_HEARTBEATS, /* an old heartbeat of each machine reaches all controllers */
    FAULT_NEW_MACHINES,   /* machines terminate, and others are up within 2 s */
    FAULT_MACHINE_REACHES_NOBODY, /* no heartbeat arrives, pushed commands do */
    FAULT_LATE_COMMANDS,   /* pushed commands get no response and are executed late */
    FAULT_COPIED_COMMANDS, /* commands that were answered arrive again, much later */
    FAULT_COUNT
};
const char *fault_name(enum fault kind);
/* The highest epoch in which a controller owns the partition; 0: none owns it. */
uint64_t simulation_epoch(int partition);
/* The controller that owns the most machines. */
int simulation_largest_owner(void);
/* Cancels each running job with that probability. */
void simulation_cancel_jobs(double probability);
/* node is the controller that is affected, for kinds that affect one. */
void fault_begin(enum fault kind, int node, double duration_s);

/* --- users.c --- */

/* Called before the first step of a run. */
void users_begin(uint32_t seed);
/* The user submits, or cancels, the job, and repeats the request until it succeeds. */
void users_submit(struct job *job);
void users_cancel(struct job *job);
/* Sends and handles users' requests; called several times a step. */
void users_step(void);
/* Queries each job at each controller. */
void users_query_all(void);

/* --- day.c: a whole run --- */

/* Delivers the heartbeat to the controller at that time, and frees it then. */
void simulation_deliver_heartbeat(struct message *heartbeat, int node, double arrives_at);
/* The user cancels the job through a controller that reaches the state service; nothing
 * happens if there is none. */
void simulation_cancel(struct job *job);
/* Cancels through that controller; false if it can't serve users, or the job is over. */
bool simulation_cancel_through(struct job *job, int node);
/* Whether the controller reaches the state service now. */
bool node_reaches_store(const struct node *node);
/* Each partition has exactly one owner that is ready, and no member suspects another. */
bool simulation_is_recovered(void);
/* When the last of the faults that have begun ends. */
double simulation_faults_end(void);
/* Plays a whole run. */
void simulation_run(const struct layout *layout, uint32_t seed, enum guard disabled);

#endif
