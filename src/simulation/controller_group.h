/* A group of controllers that watch each other, in simulated time: the product's own
 * functions of src/membership/, over a network and a state service that lose, delay and
 * stand still. What it tells: how soon a failure is noticed, and how often one is judged
 * that had not failed.
 *
 * No threads, no I/O; the same options give the same result. */
#ifndef LMN_SIMULATION_CONTROLLER_GROUP_H
#define LMN_SIMULATION_CONTROLLER_GROUP_H

#include <stdint.h>

/* By what a member is judged: as the product does, or, to compare with, by one node alone
 * as soon as a question has gone unanswered for a fixed time (threshold: seconds), or for
 * one that is this unlikely (threshold: phi). */
enum lmn_controller_group_rule {
    LMN_GROUP_RULE_PRODUCT,
    LMN_GROUP_RULE_FIXED_TIMEOUT,
    LMN_GROUP_RULE_PHI
};

struct lmn_controller_group_options {
    int members;
    double lease_s, report_s; /* the workers', from which all times follow */
    uint32_t seed;
    double seconds;
    enum lmn_controller_group_rule rule;
    double threshold;
    /* noise */
    double loss;      /* share of messages that are sent again, after 0.2 s, 0.4 s, ... */
    double state_s;   /* what the state service takes for an answer, about */
    double stalls_s;  /* between a node's stand-stills, on average; 0: none */
    double stall_s;   /* how long one lasts at most */
    double late_s;    /* nodes do everything late by up to this */
    double refused_s; /* between stretches of 10 s in which members refuse each other's
                         connections; 0: none */
    /* a failure: so many members die at once; 0: none */
    int dead;
    double dead_at;
};

struct lmn_controller_group_result {
    unsigned questions, suspicions, refutations;
    unsigned false_verdicts; /* of members that had not failed */
    /* from the failure until all that died are suspected, and judged; negative: not */
    double suspected_s, judged_s;
};

void lmn_simulate_controller_group(const struct lmn_controller_group_options *o,
                                   struct lmn_controller_group_result *r);

#endif
