/* A model of a partition's takeover, whose states test_takeover*.c search.
 *
 * Node A owns the partition and is declared failed while it may be alive. Node B claims
 * the partition. Member C only sends gossip. There are two machines and one task. The
 * watch caches, membership, ownership, replication and the exchange with workers are the
 * product's code. Time, network and key-value store are simulated without randomness, so
 * a sequence of moves always leads to the same state. */
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

enum {
    NODES = 2,
    MACHINES = 2,
    MAX_PUSHES = 2,
    MAX_KEYS = 16,
    MAX_EVENTS = 256,
    MAX_ATTEMPTS = 3,
    MAX_LEASES = 16
};
enum { NODE_A, NODE_B, NODE_C };

/* A safeguard of the product that can be disabled, to test that a search then finds a
 * violation. The comments say what each safeguard enforces. */
enum guard {
    GUARD_NONE,
    /* Inherited tasks are not started until the machines that may run them answer. */
    GUARD_ACCOUNTING,
    GUARD_FENCING_TOKEN,   /* machines refuse commands of an older epoch */
    GUARD_MACHINE_RECORD,  /* a machine is recorded before the first start on it */
    GUARD_INCARNATION,     /* only the suspected incarnation can be declared failed */
    GUARD_ACKNOWLEDGEMENT, /* a start is sent once the standby has acknowledged it */
    /* The standby is removed from the record before starts are sent without it. */
    GUARD_STANDBY_REMOVAL,
    GUARD_RECORDED_STANDBY, /* only the recorded standby can take over warm */
    /* A replica is used only if no other epoch began between its owner's and the
     * claimant's. */
    GUARD_REPLICA_EPOCH,
    /* A replicated attempt's task is not started again until the machine has answered. */
    GUARD_REPLICATED_ATTEMPTS,
    GUARD_HEARTBEAT_ORDER, /* heartbeats that arrive after newer ones are ignored */
};

struct node {
    struct lmn_settings settings;
    struct lmn_core *core;
    uint64_t lease_id;
    guint applied_events; /* events of the store that the watch cache contains */
    bool is_paused;
    struct lmn_txn *ownership_txn; /* claim or transfer in flight; may be NULL */
    bool is_transfer;              /* ownership_txn is a transfer */
    struct lmn_txn *standby_txn;   /* write of the standby's record in flight, or NULL */
    GByteArray *deferred_push;     /* starts that wait for an acknowledgement, or NULL */
    char deferred_push_machine[LMN_NAME_SIZE];
};

struct attempt {
    uint64_t number;
    bool running, done;
};

struct machine {
    char name[16];
    uint64_t fencing_token, sequence, incarnation;
    struct attempt attempts[MAX_ATTEMPTS];
    int attempt_count;
    GByteArray *last_heartbeat;
};

struct store_entry {
    char key[24];
    GByteArray *value;
    uint64_t revision, lease_id;
};

/* A push in flight to a machine. It may arrive more than once. */
struct push {
    int machine;
    GByteArray *body;
};

/* Numbers of faults on a path: duplicates of heartbeats that arrive late, lost answers of
 * the store, and process restarts. */
struct faults {
    unsigned late_heartbeats, lost_answers, restarts;
};

struct model {
    bool with_standby;
    /* B may restart too, and A after a restart may claim the partition that it owned. */
    bool both_nodes_may_restart;
    bool second_machine_is_unrecorded; /* in the state after model_reset */
    bool is_fair_schedule; /* batches are replicated at once when starts wait for them */
    enum guard disabled_guard;
    struct faults allowed_faults;

    /* The state of the current path. model_clear clears all fields from here on. */
    struct node nodes[NODES];
    struct machine machines[MACHINES];
    struct store_entry store[MAX_KEYS];
    struct store_entry events[MAX_EVENTS];
    guint event_count;
    uint64_t revision, next_lease_id;
    bool lease_alive[MAX_LEASES];
    struct push pushes[MAX_PUSHES];
    GByteArray *kept_heartbeat; /* duplicate of a heartbeat, which is delivered late */
    int kept_heartbeat_machine;
    struct faults injected_faults;
    unsigned clock_jumps, suspicions, waits; /* moves made so far, which are limited */
    struct timespec now;
    const char *violated_invariant; /* NULL: none */
};

extern struct model model;

/* Values for allowed_faults: for tests of faults, and the default. */
extern const struct faults all_faults, one_restart;

/* Violations of invariants. The texts are part of the searches' digests, so they must not
 * change. */
#define TASK_RUNS_TWICE "the task runs on both machines"
#define FAILED_AFTER_REFUTATION "one that had refuted was judged"

/* The key-value store (store.c). */

int store_index(const char *key);
void store_put(void *unused, const char *key, const GByteArray *value, uint64_t lease_id);
/* Commits the whole transaction, or nothing if a condition does not hold. */
enum lmn_txn_outcome store_commit(const struct lmn_txn *transaction, uint64_t *revision);
void store_end_lease(uint64_t lease_id);

/* Nodes (nodes.c). */

struct lmn_partition *node_partition(int node_index);
void node_boot(int node_index);
/* Acquires a lease, and writes the member's record, which is bound to the lease. */
void node_join(int node_index);
void node_discard(int node_index);
/* Applies all committed events to the node's watch cache. */
void node_sync_cache(int node_index);
void advance_time(double seconds);
void model_clear(void);
/* Sets the state in which every path begins. A owns the partition and two machines, and a
 * job of one task has been accepted. The second machine is not recorded yet if
 * second_machine_is_unrecorded is set or GUARD_MACHINE_RECORD is disabled. */
void model_reset(void);

/* Machines (machines.c). */

/* Appends the encoded heartbeat to `body`, with the machine's next sequence number. */
void machine_write_heartbeat(int machine_index, GByteArray *body);
/* Executes the commands of a heartbeat's reply or of a push. Commands of an older epoch,
 * and pushes to another agent incarnation, are refused.
 * Returns whether the commands were accepted. */
bool machine_handle_commands(int machine_index, const GByteArray *body, bool is_push);
bool machine_is_running_task(int machine_index);
void machine_complete_tasks(int machine_index);

/* Messages between owners and machines (commands.c). Each function returns false if the
 * message is not possible in the current state. */

bool push_start(int node_index);
/* Sends a push that waited for an acknowledgement, or cancels it if there is none. */
bool release_deferred_push(int node_index);
bool send_heartbeat(int node_index, int machine_index);
bool send_probe(int node_index);
bool keep_heartbeat(int machine_index);
/* Delivers the kept duplicate of a heartbeat. The reply is lost. */
bool deliver_kept_heartbeat(int node_index);

/* Messages between owner and standby (replication.c). */

enum delivery { DELIVERED, ACKNOWLEDGEMENT_LOST, BATCH_LOST };

bool replicate(int node_index, enum delivery delivery);
/* Commits the write of the standby's record that is in flight, or drops it. */
bool finish_standby_txn(int node_index, bool applied);

/* Suspicions, claims, transfers and the owners' writes (ownership.c). */

void record_evidence_against_a(void);
bool commit_suspicion(void);
bool commit_refutation(void);
bool prepare_claim(int node_index);
bool prepare_transfer(void);
bool commit_ownership_txn(int node_index);
/* Commits all of the owner's pending writes. If `answered` is false, the store's answers
 * are lost. */
bool flush_records(int node_index, bool answered);

/* Moves (moves.c). */

enum move {
    SYNC_CACHE_A,
    SYNC_CACHE_B,
    PUSH_START_A,
    PUSH_START_B,
    DELIVER_PUSH_0, /* the first or second push in flight arrives, perhaps repeatedly */
    DELIVER_PUSH_1,
    LOSE_PUSH,
    HEARTBEAT_A_0, /* a heartbeat to node A from machine 0 */
    HEARTBEAT_A_1,
    HEARTBEAT_B_0,
    HEARTBEAT_B_1,
    PROBE_B,
    SUSPECT_A,
    AGE_SUSPICION, /* time passes until A may be declared failed */
    REFUTE_A,
    CLAIM_B,
    TRANSFER_A,
    COMMIT_OWNER_A, /* the claim or transfer in flight is committed */
    COMMIT_OWNER_B,
    DROP_CLAIM_B,
    PAUSE_A, /* A's process makes no progress until RESUME_A */
    RESUME_A,
    EXPIRE_LEASE_A,
    RESTART_A,
    COMPLETE_0, /* the attempts on machine 0 finish */
    COMPLETE_1,
    FLUSH_A,
    FLUSH_B,
    REPLICATE_A,
    REPLICATE_B,
    REPLICATE_UNACKNOWLEDGED, /* the batch arrives, its acknowledgement is lost */
    REPLICATE_LOST,           /* all attempts to send the batch fail */
    RELEASE_PUSH_A,
    RELEASE_PUSH_B,
    COMMIT_STANDBY_A, /* the write of the standby's record is committed, or dropped */
    DROP_STANDBY_A,
    RESTART_B,        /* B restarts with another lease and without a replica */
    CLAIM_A,          /* after a restart A claims the partition that it owned before */
    WARM_DELAY,       /* time after which a warm successor starts inherited tasks even if
                       * some machines have not answered */
    KEEP_HEARTBEAT_0, /* the network keeps a duplicate of machine 0's last heartbeat */
    KEEP_HEARTBEAT_1,
    DELIVER_KEPT_A,
    DELIVER_KEPT_B,
    FLUSH_ANSWER_LOST_A,
    FLUSH_ANSWER_LOST_B,
    MOVE_COUNT
};

/* Returns false if the move is not possible in the current state. */
bool play_move(enum move move);
/* Sets violated_invariant if the current state violates one. */
void check_invariants(void);

/* The search (summary.c, fair.c, explorer.c). */

/* A text that is equal for two states if the same moves have the same effects in both,
 * apart from revisions and times. To be freed by the caller. */
char *state_summary(void);
/* Continues from the current state without faults: in each round all nodes sync their
 * caches, probe, receive heartbeats and write, until the job is finished.
 * Returns the violated invariant, or NULL. */
const char *finish_under_fair_schedule(void);

/* Begins the digest of the program's next search, which is identified by its number. */
void begin_search_digest(void);

struct sequence {
    const enum move *moves;
    guint len;
};

#define SEQUENCE(array) ((struct sequence){array, G_N_ELEMENTS(array)})

/* Searches breadth first from the state after `start`, until about max_states states are
 * found or an invariant is violated.
 * Returns the number of states found. */
guint explore(enum guard disabled_guard, struct sequence start, guint max_states,
              const char **violation);
/* Fails the test if an invariant is violated or fewer states than expected are found. */
void assert_invariants_hold_after(struct sequence start);
/* Fails the test unless the search finds exactly this violation, both with one restart
 * among the moves and with late heartbeats, lost answers and two restarts. */
void assert_violation_after(enum guard disabled_guard, struct sequence start,
                            const char *expected_violation);

/* Fault injection (placement.c). Both functions return the violated invariant or NULL. */

/* Searches from the state after each step of the sequence, with all kinds of faults among
 * the moves. */
const char *explore_each_step(struct sequence sequence, guint max_states);
/* Plays the sequence many times with faults before its steps, and each time continues
 * under a fair schedule until the job is finished. The faults are: each single lost
 * answer and restart, each pair of one of these with a restart, and each late heartbeat,
 * alone and after a restart. Moves of the sequence that a fault made impossible are
 * skipped. */
const char *place_faults(enum guard disabled_guard, struct sequence sequence);

#endif
