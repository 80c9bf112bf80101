/** @file
 * A simulated group of controllers that watch each other. It runs the functions of
 * membership/ as they are, in simulated time, over a network and a key-value store that
 * lose, delay and stall. It shows how soon a failure is noticed, and how often a member
 * is declared failed that has not failed.
 *
 * It has no threads and does no I/O; the same options give the same result. */
#ifndef LMN_SIMULATION_CONTROLLER_GROUP_H
#define LMN_SIMULATION_CONTROLLER_GROUP_H

#include <stdint.h>

/** By which rule a member is declared failed. */
enum lmn_controller_group_rule {
    LMN_GROUP_RULE_PRODUCT, /**< as the product does: a suspicion, then a declaration */
    /** To compare with: one controller alone, as soon as a probe has been unanswered for
     * a fixed time. */
    LMN_GROUP_RULE_FIXED_TIMEOUT,
    /** To compare with: one controller alone, as soon as phi is reached. */
    LMN_GROUP_RULE_PHI
};

/** What is simulated. Times are in seconds. */
struct lmn_controller_group_options {
    int members;
    double lease_s, heartbeat_s; /**< the workers', from which all other times follow */
    uint32_t seed;
    double seconds; /**< for how long, at most */
    enum lmn_controller_group_rule rule;
    double threshold; /**< seconds for FIXED_TIMEOUT, phi for PHI */

    /** @name Faults that are no failure of a member
     * @{ */
    double loss; /**< share of messages that are sent again, after 0.2 s, 0.4 s, ... */
    double store_latency_s;    /**< typical time of the key-value store for a reply */
    double stall_interval_s;   /**< between a member's stalls, on average; 0: none */
    double max_stall_s;        /**< the longest stall */
    double max_delay_s;        /**< members do everything late by up to this */
    double refusal_interval_s; /**< between periods of 10 s in which members refuse each
                                  other's connections, on average; 0: none */
    /** @} */

    int failing_members; /**< so many members fail at once; 0: none */
    double failed_at_s;
};

/** What has happened. */
struct lmn_controller_group_result {
    unsigned probes, suspicions, refutations;
    unsigned false_failures; /**< declarations of members that had not failed */
    /** From the failure until all that failed are suspected, and declared failed;
     * negative: they never were. */
    double suspected_s, declared_failed_s;
};

/** Simulates a group, until the time is over or all that failed are declared failed. */
void lmn_simulate_controller_group(const struct lmn_controller_group_options *options,
                                   struct lmn_controller_group_result *result);

#endif
