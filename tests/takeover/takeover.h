/* The system that test_takeover*.c explores: the product's own mirror, membership,
 * partitions, ownership and answers to workers, for an owner (A) that is judged while it
 * may be alive, a claimant (B), a third member (C) that only speaks, two machines and one
 * task. Time, network and state service are simulated and deterministic, so a sequence of
 * moves always leads to the same state. */
#ifndef LMN_TESTS_TAKEOVER_H
#define LMN_TESTS_TAKEOVER_H

#include "util/clock.h"
#include "protocol/cbor.h"
#include "config/settings.h"
#include "digest/messages.h"
#include "state/core.h"
#include "state/core_state.h"
#include "kv_client/kv_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

enum { NODES = 2, MACHINES = 2, COMMANDS = 2, KEYS = 16, EVENTS = 256, TASKS = 3 };
enum { LEASES = 16 };
enum { A, B, C };

/* A safeguard of the product that a search is run without. */
enum guard {
    GUARD_NONE,
    GUARD_ACCOUNTING,   /* inherited tasks wait for the machines that may have them */
    GUARD_TOKEN,        /* machines refuse commands of an older term */
    GUARD_RECORD,       /* a machine is recorded before its first start */
    GUARD_INCARNATION,  /* a verdict is about an incarnation */
    GUARD_ACKNOWLEDGED, /* a start waits until the standby has acknowledged it */
    GUARD_STRUCK_OFF,   /* the standby is struck off before starts go on without it */
    GUARD_NAMED,        /* a warm takeover is by the standby that the record names */
    GUARD_TERM,         /* nobody owned it between the copy's owner and the claimant */
    GUARD_HELD,         /* what was replicated is held until its machine has spoken */
    GUARD_REPORT_ORDER, /* a report that newer ones overtook says nothing */
};

struct node {
    struct lmn_settings settings;
    struct lmn_core *core;
    uint64_t lease;
    guint seen; /* events of the state service that its mirror shows */
    bool stalled;
    struct lmn_txn *ownership; /* a claim or a hand-over on its way */
    bool handover;
    struct lmn_txn *standby_record; /* on its way */
    GByteArray *pending;            /* a start that waits for an acknowledgement */
    char pending_to[LMN_NAME_SIZE];
};

struct attempt {
    uint64_t number;
    bool running, done;
};

struct machine {
    char name[16];
    uint64_t token, seq, session;
    struct attempt attempts[TASKS];
    int nattempts;
    GByteArray *last_report;
};

struct entry {
    char key[24];
    GByteArray *value;
    uint64_t revision, lease;
};

/* A command on its way to a machine; it may arrive more than once. */
struct command {
    int machine;
    GByteArray *body;
};

/* Faults that a path may hold, and those that it has held. */
struct faults {
    unsigned copies, unanswered, restarts;
};

struct explored {
    bool with_standby;
    bool both_restart; /* B restarts as well, and a new life of A claims what was its own
                        */
    bool unrecorded;   /* the second machine is not recorded at the beginning */
    bool fair;         /* what waits for an acknowledgement gets it */
    enum guard without;
    struct faults allowed;

    /* What follows belongs to one path, and is forgotten by explored_forget. */
    struct node nodes[NODES];
    struct machine machines[MACHINES];
    struct entry store[KEYS];
    struct entry events[EVENTS];
    guint nevents;
    uint64_t revision, next_lease;
    bool lease_alive[LEASES];
    struct command commands[COMMANDS];
    GByteArray *late_report; /* a copy of a report that the network has kept */
    int late_machine;
    struct faults had;
    unsigned jumps, suspicions, waits;
    struct timespec now;
    const char *broken_rule;
};

extern struct explored explored;

/* What a path may hold where faults are searched for, and elsewhere. */
extern const struct faults faults_allowed, only_a_restart;

#define TASK_RUNS_TWICE "the task runs on both machines"
#define JUDGED_AFTER_REFUTATION "one that had refuted was judged"

/* The state service (store.c). */

int store_index(const char *key);
void store_put(void *unused, const char *key, const GByteArray *value, uint64_t lease);
/* All of it, or none if a condition does not hold. */
enum lmn_txn_outcome store_commit(const struct lmn_txn *transaction, uint64_t *revision);
void store_end_lease(uint64_t lease);

/* Nodes (nodes.c). */

struct lmn_partition *node_partition(int n);
void node_boot(int n);
/* Acquires a lease, and writes the member's record that hangs on it. */
void node_join(int n);
void node_discard(int n);
/* Its mirror shows all that was committed. */
void node_mirror(int n);
void advance(double seconds);
void explored_forget(void);
/* A owns the partition and two machines; the second is not recorded yet if `unrecorded`
 * or without GUARD_RECORD. A job of one task has been accepted. */
void explored_begin(void);

/* Machines (machines.c). */

/* Appends a new report of the machine. */
void machine_report(int k, GByteArray *body);
/* Carries commands out, unless they are of an older token or, sent directly, of another
 * session. */
bool machine_accept(int k, const GByteArray *body, bool direct);
bool machine_runs(int k);
void machine_complete(int k);

/* What owners and machines exchange (commands.c). Each returns false if it is not
 * possible now. */

bool start_directly(int n);
/* A start that waited for an acknowledgement goes out, or is taken back. */
bool release_pending(int n);
bool report(int n, int k);
bool probe(int n);
bool keep_copy(int k);
/* The copy arrives; its answer reaches nobody. */
bool deliver_copy(int n);

/* What owner and standby exchange (replication.c). */

enum delivery { DELIVERED, ACKNOWLEDGEMENT_LOST, BATCH_LOST };

bool replicate(int n, enum delivery how);
bool write_standby_record(int n, bool applied);

/* Suspicion, claims and owners' writes (ownership.c). */

void speak_against_a(void);
bool suspect(void);
bool refute(void);
bool claim(int n);
bool hand_over(void);
bool apply_ownership(int n);
/* Writes what an owner has to write; not answered: carried out, and the answer is lost.
 */
bool flush(int n, bool answered);

/* Moves (moves.c). */

enum move {
    MIRROR_A,
    MIRROR_B,
    START_A,
    START_B,
    DELIVER, /* the first or second command on its way arrives, perhaps again */
    DELIVER_2,
    LOSE_COMMAND,
    REPORT_A_0,
    REPORT_A_1,
    REPORT_B_0,
    REPORT_B_1,
    PROBE_B,
    SUSPECT,
    SUSPICION_AGES,
    REFUTE,
    CLAIM_B,
    HAND_OVER,
    APPLY_A, /* a claim or a hand-over on its way is carried out */
    APPLY_B,
    DROP_B,
    STALL, /* the owner stands still, and wakes */
    WAKE,
    EXPIRE_LEASE_A,
    RESTART_A,
    COMPLETE_0,
    COMPLETE_1,
    FLUSH_A,
    FLUSH_B,
    REPLICATE_A,
    REPLICATE_B,
    REPLICATE_UNACKNOWLEDGED, /* the batch arrives, its acknowledgement is lost */
    REPLICATE_LOST,           /* neither arrives, however often it is sent */
    RELEASE_A,
    RELEASE_B,
    RECORD_A, /* the standby's record on its way is written, or lost */
    DROP_RECORD_A,
    RESTART_B, /* another life, with another lease, that has no copy */
    CLAIM_A,   /* another life of the owner claims what the last one held */
    WAIT,      /* so long that a warm successor deals, whoever has spoken */
    COPY_0,    /* the network keeps a copy of the machine's last report */
    COPY_1,
    DELIVER_COPY_A,
    DELIVER_COPY_B,
    FLUSH_UNANSWERED_A,
    FLUSH_UNANSWERED_B,
    MOVES
};

/* False: not possible now. */
bool play(enum move move);
/* Sets broken_rule if a rule is broken. */
void check_rules(void);

/* The explorer (summary.c, fair.c, explorer.c). */

/* Two states of equal summaries are equal for all that can follow, but for revisions and
 * times. To be freed. */
char *summary(void);
/* Plays fair steps alone, in which everybody mirrors, asks, reports and writes, and tells
 * what is broken in the end, or NULL. */
const char *finish_fairly(void);

/* Begins the digest of the program's next search. Searches are numbered, and have no
 * seed.
 */
void begin_search_digest(void);

struct sequence {
    const enum move *moves;
    guint len;
};

#define SEQUENCE(array) ((struct sequence){array, G_N_ELEMENTS(array)})

/* Searches breadth first from the end of the sequence until about that many states were
 * seen or a rule is broken; returns their number. */
guint explore(enum guard without, struct sequence from, guint states,
              const char **broken);
/* Fails the test if a rule is broken or fewer states than expected are found. */
void keeps_rules_after(struct sequence from);
/* Fails the test unless the search breaks exactly this rule, both without and with copies
 * of reports, lost answers and restarts among the moves. */
void breaks_rule_after(enum guard without, struct sequence from, const char *rule);

/* Placement of faults (placement.c). Both tell what is broken, or NULL. */

/* Searches from each step of the sequence, with the faults allowed among the moves. */
const char *explore_each_step(struct sequence sequence, guint states);
/* Plays the sequence with each fault, and pairs of a restart and another, at each step, a
 * copy being delivered at each later step, and then fair steps to the job's end. Moves
 * that a fault made impossible are left out. */
const char *place_faults(enum guard without, struct sequence sequence);

#endif
