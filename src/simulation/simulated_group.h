/** @file
 * The state of a simulated group of controllers, shared by the files in this directory.
 *
 * simulated_store.c simulates the network and the key-value store, simulated_controller.c
 * one controller, and controller_group.c the group. The result for a seed depends on the
 * order of the random draws, which a change to these files has to keep. */
#ifndef LMN_SIMULATION_SIMULATED_GROUP_H
#define LMN_SIMULATION_SIMULATED_GROUP_H

#include "membership/membership.h"

struct lmn_controller_group_options;
struct lmn_controller_group_result;

/** Simulated time between two steps. */
#define LMN_SIMULATION_STEP_S 0.01
/** Time between two ticks of a controller's maintenance loop. */
#define LMN_SIMULATION_TICK_INTERVAL_S 0.15
/** Duration of a period in which members refuse each other's connections. */
#define LMN_SIMULATION_REFUSAL_S 10

/** A record in the key-value store: a member's record or a suspicion. */
struct lmn_simulated_record {
    uint64_t revision;
    int by_index;         /**< suspicion: index of the member that wrote it */
    uint64_t incarnation; /**< suspicion: the suspected incarnation */
    enum lmn_suspicion_cause cause;
};

/** An entry of the store's history. */
struct lmn_simulated_change {
    int member_index;
    bool is_suspicion;
    struct lmn_simulated_record record;
    double at_s;
};

/** The kinds of writes that controllers send to the store. */
enum lmn_simulated_write_kind {
    LMN_SIMULATED_REFUTATION, /**< a member rewrites its record */
    LMN_SIMULATED_SUSPICION,
    LMN_SIMULATED_FAILURE, /**< a member is declared failed */
};

/** A write on its way to the store. */
struct lmn_simulated_write {
    enum lmn_simulated_write_kind kind;
    int member_index, by_index;
    uint64_t incarnation, suspicion_revision; /**< conditions of the write */
    enum lmn_suspicion_cause cause;
    double arrives_at_s;
};

/** A controller's current watch request, in flight or answered. */
struct lmn_simulated_watch {
    double sent_at_s, reply_at_s;
    guint changes_seen; /**< number of entries of the store's history that the controller
                           has seen */
};

/** A probe that a controller has sent. */
struct lmn_simulated_probe_in_flight {
    bool is_active;
    struct lmn_probe probe;
    double sent_at_s, times_out_at_s;
    double reply_at_s; /**< 0: no reply will come */
};

/** A simulated controller. */
struct lmn_simulated_controller {
    struct lmn_settings settings;
    struct lmn_members members;
    double stalled_until_s;
    double failed_at_s; /**< 0: it has not failed */
    double next_tick_s, last_tick_s;
    double next_decision_s;
    struct lmn_simulated_watch watch;
    struct lmn_simulated_probe_in_flight probe;
    /** Writes that were sent, and whose outcome the watch has not shown yet. */
    bool is_refuting, is_suspecting[LMN_MAX_MEMBERS + 1],
        is_declaring[LMN_MAX_MEMBERS + 1];
};

/** The state of the whole simulation. */
struct lmn_simulated_group {
    const struct lmn_controller_group_options *options;
    struct lmn_controller_group_result *result;
    GRand *rng;
    double now_s;
    double refusal_began_s;
    uint64_t store_revision;
    struct lmn_simulated_record member_records[LMN_MAX_MEMBERS + 1],
        suspicions[LMN_MAX_MEMBERS + 1];
    GArray *history; /**< struct lmn_simulated_change */
    GArray *writes;  /**< struct lmn_simulated_write */
    struct lmn_simulated_controller *controllers;
    bool was_suspected[LMN_MAX_MEMBERS + 1], was_declared_failed[LMN_MAX_MEMBERS + 1];
};

/** Converts a simulated time to a time of the steady clock. */
struct timespec lmn_simulated_time(double simulated_s);
/** Returns a random number from 0 to max. If max is not positive, returns 0 without
 * drawing a number. */
double lmn_simulated_random(struct lmn_simulated_group *group, double max);
/** Whether the member has not failed and is not stalled. */
bool lmn_simulated_is_running(const struct lmn_simulated_group *group, int member_index);
/** Draws how long a message takes one way, including the time to send lost messages
 * again. */
double lmn_simulated_one_way_s(struct lmn_simulated_group *group);
/** Draws how long a request to the key-value store and its reply take together. */
double lmn_simulated_store_round_trip_s(struct lmn_simulated_group *group);
/** Whether members refuse each other's connections now. */
bool lmn_simulated_connections_refused(const struct lmn_simulated_group *group);
/** Rewrites the member's record, which gives the member a new incarnation. */
void lmn_simulated_renew_member_record(struct lmn_simulated_group *group,
                                       int member_index);
/** Sends a write to the store. */
void lmn_simulated_send_write(struct lmn_simulated_group *group,
                              struct lmn_simulated_write write);
/** Applies the writes that have arrived at the store. */
void lmn_simulated_apply_writes(struct lmn_simulated_group *group);
/** Runs the work of a controller that is due in this step. */
void lmn_simulated_controller_step(struct lmn_simulated_group *group,
                                   struct lmn_simulated_controller *controller);

#endif
