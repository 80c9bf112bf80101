/** @file
 * A simulated group of controllers that monitor each other. It runs the unmodified
 * functions of membership/ in simulated time, over a simulated network with message loss,
 * delays and refused connections, and a simulated key-value store. It measures how soon a
 * failure is detected, and how often a member is declared failed that has not failed.
 *
 * The simulation has no threads and does no I/O; equal options give equal results. */
#ifndef LMN_SIMULATION_CONTROLLER_GROUP_H
#define LMN_SIMULATION_CONTROLLER_GROUP_H

#include <stdint.h>

/** The rule by which a member is declared failed. */
enum lmn_controller_group_rule {
    LMN_GROUP_RULE_PRODUCT, /**< the rule of membership/: suspicion, then declaration */
    /** For comparison: any one controller declares the failure as soon as its probes have
     * been unanswered for a fixed time. */
    LMN_GROUP_RULE_FIXED_TIMEOUT,
    /** For comparison: any one controller declares the failure as soon as phi reaches a
     * threshold. */
    LMN_GROUP_RULE_PHI
};

/** What is simulated. Durations and times are in seconds. */
struct lmn_controller_group_options {
    int members;
    double lease_s,
        heartbeat_s; /**< of the workers, from which the members' timeouts are derived */
    uint32_t seed;
    double seconds; /**< maximum simulated time */
    enum lmn_controller_group_rule rule;
    double threshold; /**< seconds for FIXED_TIMEOUT, phi for PHI */

    /** @name Faults that are not the failure of a member
     * @{ */
    double loss; /**< share of messages that are lost and sent again, after 0.2 s, then
                    0.4 s, and so on */
    double store_latency_s;  /**< the key-value store takes 0.5 to 2 times this long for a
                                reply */
    double stall_interval_s; /**< mean time between a member's stalls; 0: no stalls */
    double max_stall_s;      /**< upper bound of a stall's duration */
    double max_delay_s; /**< upper bound of the random delay of ticks, decisions and probe
                           replies */
    double refusal_interval_s; /**< mean time between periods of 10 s in which members
                                  refuse each other's connections; 0: no such periods */
    /** @} */

    int failing_members; /**< number of members that fail, all at failed_at_s; 0: none */
    double failed_at_s;
};

/** The outcome of a simulation. */
struct lmn_controller_group_result {
    unsigned probes, suspicions, refutations;
    unsigned false_failures; /**< declarations of members that had not failed */
    /** Seconds from the failure until all failed members were suspected, and until all
     * were declared failed; -1: this never happened. A declaration before the failure
     * also gives a negative declared_failed_s. */
    double suspected_s, declared_failed_s;
};

/** Simulates a group until options->seconds have passed or all failing members are
 * declared failed. */
void lmn_simulate_controller_group(const struct lmn_controller_group_options *options,
                                   struct lmn_controller_group_result *result);

#endif
