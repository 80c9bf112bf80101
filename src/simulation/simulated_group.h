/** @file
 * The state of a simulated group of controllers, shared by the files of this folder.
 *
 * simulated_store.c is the network and the key-value store, simulated_controller.c a
 * controller, controller_group.c the group as a whole. The result of a seed depends on
 * the order of the random draws. */
#ifndef LMN_SIMULATION_SIMULATED_GROUP_H
#define LMN_SIMULATION_SIMULATED_GROUP_H

#include "membership/membership.h"

struct lmn_controller_group_options;
struct lmn_controller_group_result;

/** The simulation's step. */
#define LMN_SIMULATION_STEP_S 0.01
/** Between two ticks of a controller's maintenance loop. */
#define LMN_SIMULATION_TICK_INTERVAL_S 0.15
/** How long members refuse each other's connections. */
#define LMN_SIMULATION_REFUSAL_S 10

/** A record of the key-value store: a member's, or a suspicion. */
struct lmn_simulated_record {
    uint64_t revision;
    int by_index;         /**< who wrote the suspicion */
    uint64_t incarnation; /**< that is suspected */
    enum lmn_suspicion_cause cause;
};

/** An entry of the store's history. */
struct lmn_simulated_change {
    int member_index;
    bool is_suspicion;
    struct lmn_simulated_record record;
    double at_s;
};

/** What a controller writes to the store. */
enum lmn_simulated_write_kind {
    LMN_SIMULATED_REFUTATION, /**< a member writes its record anew */
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

/** A watch request of a controller, in flight or answered. */
struct lmn_simulated_watch {
    double sent_at_s, reply_at_s;
    guint changes_seen; /**< of the store's history */
};

/** A probe of a controller. */
struct lmn_simulated_probe_in_flight {
    bool is_active;
    struct lmn_probe probe;
    double sent_at_s, times_out_at_s;
    double reply_at_s; /**< 0: none will come */
};

/** A controller. */
struct lmn_simulated_controller {
    struct lmn_settings settings;
    struct lmn_members members;
    double stalled_until_s;
    double failed_at_s; /**< 0: it has not failed */
    double next_tick_s, last_tick_s;
    double next_decision_s;
    struct lmn_simulated_watch watch;
    struct lmn_simulated_probe_in_flight probe;
    /** Writes that were sent, and do not show in the watch yet. */
    bool is_refuting, is_suspecting[LMN_MAX_MEMBERS + 1],
        is_declaring[LMN_MAX_MEMBERS + 1];
};

/** The whole simulation. */
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

/** The simulated time as one of the steady clock. */
struct timespec lmn_simulated_time(double simulated_s);
/** A random number from 0 to max. Draws only if max is positive. */
double lmn_simulated_random(struct lmn_simulated_group *group, double max);
/** Whether the member has not failed and is not stalled. */
bool lmn_simulated_is_running(const struct lmn_simulated_group *group, int member_index);
/** How long a message takes one way; a lost one is sent again. */
double lmn_simulated_one_way_s(struct lmn_simulated_group *group);
/** How long a request to the key-value store takes, both ways included. */
double lmn_simulated_store_round_trip_s(struct lmn_simulated_group *group);
/** Whether members refuse each other's connections now. */
bool lmn_simulated_connections_refused(const struct lmn_simulated_group *group);
/** Writes the member's record anew: it has a new incarnation. */
void lmn_simulated_renew_member_record(struct lmn_simulated_group *group,
                                       int member_index);
/** Sends a write to the store. */
void lmn_simulated_send_write(struct lmn_simulated_group *group,
                              struct lmn_simulated_write write);
/** Applies the writes that have arrived at the store. */
void lmn_simulated_apply_writes(struct lmn_simulated_group *group);
/** Lets a controller do what is due. */
void lmn_simulated_controller_step(struct lmn_simulated_group *group,
                                   struct lmn_simulated_controller *controller);

#endif
