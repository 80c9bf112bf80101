/* The whole service in simulated time: several controllers, each with the product's own
 * mirror, books, queues and answers to workers, over a stand-in state service and
 * stand-in workers. Messages are delayed, lost, doubled and applied late; controllers
 * crash, are cut off and come back; machines hang and die. After every step the
 * protocol's rules are checked. Same seed, same history. What is played in it are the
 * days of the tests beside this folder. */
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
enum { MAX_TEAMS = 3 };
static const double STEP_S = 0.1;

enum guard {
    GUARD_NONE,
    GUARD_ACCOUNTED,       /* inherited tasks wait until all machines are accounted for */
    GUARD_UNCERTAIN_PUSH,  /* unanswered direct starts are not given up */
    GUARD_QUOTA,           /* limits are shared out among the partitions */
    GUARD_PLACEMENT,       /* only machines that the job allows */
    GUARD_STALE_VIEW,      /* a node with an old view stops answering workers */
    GUARD_DONE,            /* done only what a worker has reported done */
    GUARD_FINAL,           /* final states are written conditionally */
    GUARD_ANTI_AFFINITY,   /* tasks of a job that is spread look at each other's zones */
    GUARD_DECLARED_FAILED, /* inherited tasks wait although their owner was judged */
    GUARD_HEARTBEAT_ORDER, /* a report is dropped if a newer one of its worker was heard
                            */
    GUARD_REPLICATED,      /* starts wait until the standby has acknowledged them */
    GUARD_ANNOUNCE,        /* a node sees to it that its record stands */
    GUARD_VIEW_AGE,        /* a view is as old as its question, not its answer */
    GUARD_LATE_WRITE,      /* what is carried out late is conditional like all else */
    GUARD_KILL_CANCELLED,  /* the first answer of a new term ends what is withdrawn */
    GUARD_CONFIRM,         /* what is not final is confirmed before it is told */
    GUARD_UNKNOWN_OUTCOME, /* a submission with an unknown outcome is not told as accepted
                            */
    GUARD_LOST_RESPONSE, /* a transaction whose answer was lost is not told as a conflict
                          */
    GUARD_SHARED_CONFIRMATION, /* who asks later than a confirmation was asked for waits
                                  for the next */
    GUARD_DUPLICATE_REQUEST,   /* a refusal is confirmed: the id may have been accepted
                                  before */
    GUARD_OWN_EPOCH,       /* an owner's own state counts only if nobody owned it since */
    GUARD_HEARTBEAT_EPOCH, /* a report from before an owner's term settles nothing */
    GUARD_OLD_EPOCH,       /* a worker refuses direct commands of an older term */
    GUARD_INCARNATION,     /* and those that name an earlier session of it */
    GUARD_MACHINE_RECORDED, /* a machine's record stands before the first start there */
    GUARD_LEASE, /* a silent machine's tasks are believed until its lease has ended */
    GUARD_QUOTA_UNTIL_GONE, /* what is withdrawn uses its team's limit until it is proven
                               gone */
    GUARD_UNACCOUNTED, /* so does whatever may run on a machine that is not accounted for
                        */
    GUARD_FENCING_TOKEN, /* a worker refuses commands of older terms and of its earlier
                            sessions */
    GUARD_FAIR_SHARE, /* classes and teams that are owed room, and aged jobs, go first */
    GUARD_KILL_INHERITED, /* an owner ends what is withdrawn of its predecessors' tasks
                             too */
    GUARD_ONE_WRITE_PER_RANGE, /* a range has one write under way at most */
};

/* What a transaction is for. */
enum txn_kind {
    TXN_SUBMISSION,
    TXN_CANCELLATION,
    TXN_OWNERSHIP, /* or a partition is given away */
    TXN_QUOTA,
    TXN_RANGE,
    TXN_MACHINE_BLOCK,
    TXN_STANDBY,
    TXN_SUSPICION,
    TXN_MEMBER_RECORD, /* a controller's record of itself */
    TXN_KIND_COUNT
};

enum rule {
    RULE_RAN_TWICE,
    RULE_QUOTA_EXCEEDED,
    RULE_WRONG_PLACE,
    RULE_RAN_CANCELLED,
    RULE_DONE_TOO_EARLY,
    RULE_STATE_REVERTED,
    RULE_JOB_FORGOTTEN,
    RULE_JOB_INVENTED,
    RULE_COUNT
};

/* --- the state service --- */

struct item {
    GByteArray *value; /* NULL: removed */
    uint64_t rev, lease;
};

struct event {
    char *key;
    GByteArray *value;
    uint64_t rev;
};

struct holder {
    uint64_t id;
    double until;
};

/* One that got no answer, and is carried out late. */
struct late {
    struct lmn_txn *txn;
    double at;
    int writer; /* the controller that sent it, in which of its lives */
    unsigned life;
};

/* --- a machine --- */

struct task {
    int job, index;
    uint64_t attempt;
    enum { FETCHING, RUNNING, ENDED } state;
    bool done;
    double until;
};

struct message {
    double at;
    int machine, node, life;
    bool direct;
    bool copy;        /* of a report that has arrived; nobody waits for its answer */
    GByteArray *body; /* of a report's answer, or of a direct command */
    uint64_t session, seq;
    guint token_at; /* where a report's token stands: it is the last field */
};

/* A machine's last reports, for copies that arrive much later. */
enum { OLD_REPORTS = 16 };

struct machine {
    char name[16], zone[8];
    int life; /* how many machines have had its place before */
    bool spot, dead;
    int island; /* only this node reaches it, until: */
    double island_until;
    double unheard_until; /* its reports arrive, and nothing reaches it, until */
    double closed_until;  /* nothing that is sent straight to it gets there, until */
    double mute_until;    /* it reaches no controller, and hears direct calls, until */
    double hang_until, lease_from, next_report, answer_by;
    uint64_t session, seq, token, told_token;
    int node; /* reports to */
    bool in_flight;
    uint64_t flight_seq;
    struct task tasks[64];
    int ntasks;
    double up_at;                         /* dead: another has its place from then on */
    struct message *reports[OLD_REPORTS]; /* a ring; NULL: none yet */
    unsigned nreports;
};

struct job {
    struct lmn_job_spec spec;
    char id[LMN_JOB_ID_SIZE];
    bool submitted, told_done;
    double cancelled_at;                       /* negative: not */
    double accepted_at, began_at, answered_at; /* negative: not yet */
    uint64_t read_rev; /* of its record, when the rules were last checked against it */
    bool done[64];
    /* of its user, on days with users (users.c) */
    bool offered;                     /* its submission has begun */
    bool cancel_wanted, cancel_asked; /* it is to be cancelled; some node was asked to */
    bool accepted;                    /* it was told so */
    enum lmn_job_phase told;          /* the end that was told; LMN_JOB_ACTIVE: none */
    /* since when one of its tasks has waited while that machine had room; 0: not */
    double beside[MAX_MACHINES];
};

struct node {
    struct lmn_settings settings;
    struct lmn_team teams[MAX_TEAMS];
    struct lmn_kv_client *state;
    struct lmn_core *core;
    uint64_t revision, lease, announced; /* the lease of which a record was written */
    unsigned restarts;                   /* how often it was started */
    size_t seen;                         /* events applied */
    double down_until, cut_until, renewed;
    double zone_until; /* its zone is cut off: it reaches only its island until then */
    double still_until, deaf_until, mute_until; /* it stands still, and is cut off from
                                                   the workers, from its peers, until */
    bool ends;                                  /* with its next step */
    double slow_until;      /* the state service answers it late, until */
    double asked, answer;   /* when it asked last, and when that will be answered */
    size_t asked_len;       /* events when it did */
    bool judged[MAX_NODES]; /* it has the partition from one that was judged */
    GPtrArray *waiting;     /* struct waiter: starts that wait for a standby */
};

/* An answer to a report, or a call to a machine, that waits for an acknowledgement. */
struct waiter {
    struct lmn_deferred_starts held;
    bool direct;
    int machine, life;
    GByteArray *body;
    uint64_t session, seq;
    double since;
};

/* How large a site is, and how long its day. */
struct layout {
    int nodes, machines, zones, steps;
    int calm;     /* steps without trouble after that */
    double limit; /* of the one team, processors */
    double every; /* seconds from one job to the next */
};
extern const struct layout usual;

/* A day by a schedule: nothing goes wrong but what its step does, and messages and writes
 * that are lost or late as on any day. */
struct schedule {
    void (*step)(void);              /* before all else of a step */
    double lease_s, cancel_s, run_s; /* workers' leases; longest run of a task */
    bool users; /* jobs are submitted, asked about and cancelled through controllers */
    int jobs, teams; /* 0: as on the usual day */
    double link_s;   /* longest way of a report */
    unsigned writes; /* transactions of a controller in a step; 0: all */
    void (*describe)(struct job *j, int number); /* what the users ask for, or NULL */
};

struct simulation {
    struct layout layout;
    GRand *random;
    double now, cancel_s, lease_s, run_s;
    struct timespec clock;
    GHashTable *store;
    GPtrArray *log;
    GArray *leases;
    GPtrArray *late_transactions; /* struct late: transactions on their way */
    uint64_t revision, next_lease;
    double cloud_down_until;
    double late_until, copies_until; /* many transactions, and reports, are late */
    double lost_until;               /* many transactions' answers are lost */
    int lost_kind;  /* of this kind (enum txn_kind); TXN_KIND_COUNT: of all */
    bool lost_ends; /* their controllers often end with it */
    double repeated_reads_until, odd_requests_until, cancel_at_end_until;
    double keep_until;         /* copies of reports are kept for the next leader */
    GPtrArray *kept;           /* struct kept_report */
    int acting;                /* the controller whose step this is */
    double commands_until;     /* many direct commands are */
    double quiet_from;         /* no fault has been in force since */
    double longest_beside;     /* a task has waited beside a machine with room for it */
    char service_failure[160]; /* what the day fails by, besides the rules */
    unsigned transactions, changes, most_queued; /* of the owners' writes */
    unsigned late_commands;
    struct node nodes[MAX_NODES];
    struct machine machines[MAX_MACHINES];
    struct job jobs[MAX_JOBS];
    int njobs, teams;
    GPtrArray *messages;
    enum guard disabled_guard;
    unsigned violations[RULE_COUNT];
    unsigned starts, finished, takeovers, steals, preempted;
    unsigned failures_declared, refutations, transfers;
    unsigned warm, compared, withheld, leaves, copies, cancelled, tombstones, lates;
    unsigned lost[TXN_KIND_COUNT]; /* answers to transactions that were carried out */
    /* Users' requests that were answered; so many went back, came after a newer answer
     * that was asked for later, and were 503. */
    unsigned answers, answers_back, answers_overtaken, answers_none;
    bool users;
    double least_margin;    /* of cancel_s, when a cancelled job's last task ended */
    unsigned ended_writers; /* late transactions that arrived in a later life of theirs */
    unsigned old_terms;     /* direct commands that were refused for their token, */
    unsigned old_sessions;  /* and for their session alone */
    unsigned kept_arrived;  /* kept reports that reached the next leader */
    bool standbys;
    bool flapping; /* members fail again and again */
    bool helped;   /* tombstones are told: a help, without which the rules hold too */
    bool calm;     /* no trouble begins any more */
};
extern struct simulation simulation;
extern const struct schedule *schedule; /* of the next day; NULL: troubles at random */
extern bool flapping_members; /* whether members flapping_members in the next day */
extern bool standbys;         /* whether controllers follow each other in it */

const char *simulation_team(int number);
/* A chance of the day; one that something goes wrong. */
bool simulation_chance(double p);
bool simulation_fault_chance(double p);

/* --- store.c: the state service --- */

/* One change, at the revision that the caller has raised. */
void simulation_store_put(const char *key, const GByteArray *value, uint64_t lease);
/* The job's record as it stands; the description is to be cleared. */
enum lmn_job_phase simulation_read_job(const struct job *job, struct lmn_job_spec *spec,
                                       uint32_t *open, double *at);
uint64_t simulation_job_revision(const struct job *job);
enum lmn_txn_outcome simulation_commit(const struct lmn_txn *txn, uint64_t *rev);
/* One of conditions alone; the keys whose condition did not hold are added to failed. */
enum lmn_txn_outcome simulation_confirm(const struct lmn_txn *txn, GPtrArray *failed);
enum txn_kind simulation_txn_kind(const struct lmn_txn *txn);
const char *simulation_txn_name(enum txn_kind k);
/* Whether its answer is to be lost now, by luck (0 to 1). */
bool simulation_response_is_lost(const struct lmn_txn *txn, double luck);
/* The transaction is carried out, and the node does not hear of it. */
enum lmn_txn_outcome simulation_commit_without_response(struct node *node,
                                                        const struct lmn_txn *txn);
/* A transaction of the node is carried out, refused, lost or late, by luck. */
enum lmn_txn_outcome simulation_send_txn(struct node *node, const struct lmn_txn *txn,
                                         double luck, uint64_t *rev);
/* The same transaction, once more: to be carried out seconds later, after newer ones. */
void simulation_add_late_txn(const struct lmn_txn *txn);
bool simulation_lease_is_alive(uint64_t id);
/* Leases that are over end, with what hangs on them; what is late is carried out. */
void simulation_expire_leases(void);

/* --- rules.c --- */

int simulation_job_index(const char *ref); /* -1: there is none */
/* Whether what the machine holds still counts. One that hangs past its lease has lost its
 * tasks, though it will notice only when it goes on. */
bool simulation_machine_is_live(const struct machine *machine);
/* A task is on the machine, or on its way to run there. */
bool simulation_task_is_active(const struct machine *machine, const struct task *task);
/* A task has started there. */
void simulation_check_start(struct machine *machine, const struct task *task);
void simulation_check_rules(void);

/* --- service_checks.c --- */

/* The day fails, by that; the first counts. */
void simulation_fail_service(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Processors that the team's tasks use. */
double simulation_team_cpus(int team);
/* Prints what each machine's owner says of why the job does not start there. */
void simulation_print_wait_reasons(const struct job *job);
/* No task waits beside room for longer than it may. */
void simulation_check_service(void);

/* --- machines.c --- */

/* A place's machines have different names, of the same partition: none comes back. */
void machine_name(struct machine *machine);
/* NULL: it is gone, and another has its place. */
struct machine *machine_named(const char *name);
/* Whether the machine's messages get to the node; and whether anything from there gets
 * back. */
bool machine_reaches_node(int node, const struct machine *machine);
bool node_reaches_machine(int node, const struct machine *machine);
void machine_handle_response(struct machine *machine, const struct message *message);
int machine_handle_command(struct machine *machine, const GByteArray *body,
                           GByteArray *report);
void machine_step(struct machine *machine);
/* A copy of a report, with its own body. */
struct message *heartbeat_copy(const struct message *message);
/* One of the machine's earlier reports; NULL: there is none. */
const struct message *machine_old_heartbeat(const struct machine *machine);
/* A machine of another name has the place, and is up at once. */
void machine_replace(struct machine *machine);

/* --- nodes.c: controllers --- */

bool node_up(const struct node *node);
struct lmn_member_health node_health(const struct node *node);
/* A write of the thread that holds the lease; what becomes of it is not always known. */
enum lmn_txn_outcome node_send_txn(struct node *node, struct lmn_txn *txn);
void node_step(struct node *node, int i);
/* Its memory is gone, its lease runs on; it is back after so many seconds. */
void node_crash(struct node *node, double down_s);

/* --- peers.c: what they send each other, and straight to workers --- */

/* Whether a question gets there, and its answer back. */
bool node_reaches_node(const struct node *from, const struct node *to);
void node_send_probes(struct node *node, int me);
void node_replicate(struct node *node, int me, bool cut);
void node_send_deferred(struct node *node);
/* Holds an answer to a report, or with x NULL a call, until a standby has acknowledged
 * it. */
void node_defer_starts(struct node *node, const struct lmn_deferred_starts *deferred,
                       const struct message *message, struct machine *machine,
                       GByteArray *body);
void node_call_workers(struct node *node);

/* --- faults.c: what a schedule begins --- */

enum fault {
    FAULT_REFUSED,  /* the state service refuses one controller */
    FAULT_OUTAGE,   /* it is down for all */
    FAULT_ISOLATED, /* a controller is cut from the state service and from the others */
    FAULT_SLOW_STATE,
    FAULT_LATE_WRITES,
    FAULT_CRASH,
    FAULT_CRASH_ALL,
    FAULT_FREEZE,
    FAULT_NODE_LOSES_WORKERS, /* it is cut from the workers */
    FAULT_NODE_LOSES_PEERS,   /* from the other controllers */
    FAULT_LEAVE,
    FAULT_ZONE, /* a controller and its machines are cut off by themselves */
    FAULT_HANG,
    FAULT_MACHINE_HEARS_NOTHING, /* reports arrive, nothing gets back */
    FAULT_PUSH_BLOCKED,          /* direct calls are held up */
    FAULT_LATE_HEARTBEATS,
    FAULT_MACHINE_DIES,
    FAULT_CLOUD,
    FAULT_CANCEL,
    FAULT_LOST_RESPONSES, /* transactions are carried out, and their answers lost */
    FAULT_REPEATED_READS, /* users ask at all nodes within milliseconds */
    FAULT_ODD_REQUESTS,   /* and send what must be refused, or is known */
    FAULT_CANCEL_AT_END,  /* jobs are cancelled as their last task ends */
    FAULT_HEARTBEATS_FOR_NEXT_OWNER, /* copies of reports are kept for the next leader */
    FAULT_OLD_HEARTBEATS, /* an old report of each machine reaches every controller now */
    FAULT_NEW_MACHINES,   /* machines are gone, and others up within two seconds */
    FAULT_MACHINE_REACHES_NOBODY, /* it reaches no controller, and hears direct calls */
    FAULT_LATE_COMMANDS, /* direct commands get no answer and are carried out late */
    FAULT_COUNT
};
const char *fault_name(enum fault k);
/* The highest term in which a controller holds the partition; 0: none does. */
uint64_t simulation_epoch(int part);
/* Who owns most machines. */
int simulation_largest_owner(void);
void simulation_cancel_jobs(double share);
/* who: the controller that it befalls, if one is to. */
void fault_begin(enum fault k, int who, double s);

/* --- users.c --- */

/* The day's users; before its first step. */
void users_begin(uint32_t seed);
/* The job is submitted, or cancelled, however often its user has to ask. */
void users_submit(struct job *job);
void users_cancel(struct job *job);
/* What users do at this instant; several times a step. */
void users_step(void);
/* Each job is asked about at each node. */
void users_query_all(void);

/* --- day.c --- */

/* A copy of a report arrives there at that time; the copy is taken. */
void simulation_deliver_heartbeat(struct message *copy, int node, double at);
/* The user cancels the job through a node that reaches the state service; not if there is
 * none. */
void simulation_cancel(struct job *job);
/* Through that node; false if it does not serve users, or the job is over. */
bool simulation_cancel_through(struct job *job, int node);
/* Whether the node reaches the state service now. */
bool node_reaches_store(const struct node *node);
/* Once nothing goes wrong any more: no partition without an owner that is ready, nobody
 * suspected or judged for ever. */
bool simulation_is_recovered(void);
/* When the last of the troubles that have begun is over. */
double simulation_faults_end(void);
/* A whole day. */
void simulation_run(const struct layout *l, uint32_t seed, enum guard broken);

#endif
