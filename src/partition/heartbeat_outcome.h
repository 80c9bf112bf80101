/** @file
 * The outcomes of a heartbeat, their names in the log, and the HTTP status of each. */
#ifndef LMN_PARTITION_HEARTBEAT_OUTCOME_H
#define LMN_PARTITION_HEARTBEAT_OUTCOME_H

/** What became of a heartbeat. Only an accepted one renews the worker's lease. */
enum lmn_heartbeat_outcome {
    LMN_HEARTBEAT_ACCEPTED,
    LMN_HEARTBEAT_REDIRECTED, /**< the reply names the member to go to */
    LMN_HEARTBEAT_MALFORMED,
    LMN_HEARTBEAT_STALLED,    /**< this controller has stood still, and may be replaced */
    LMN_HEARTBEAT_STALE_VIEW, /**< the watch cache is too old for any reply */
    LMN_HEARTBEAT_NO_OWNER,   /**< to be redirected, but nobody is known to go to */
    LMN_HEARTBEAT_NEWER_EPOCH,  /**< the worker has seen a successor's epoch already */
    LMN_HEARTBEAT_RETURNED,     /**< the machine was returned to the cloud */
    LMN_HEARTBEAT_TERMINATED,   /**< the cloud has said that the machine is gone */
    LMN_HEARTBEAT_OUT_OF_ORDER, /**< a newer heartbeat has been handled already */
    /** The machine's tasks were given up: its agent's incarnation has to end. */
    LMN_HEARTBEAT_LEASE_EXPIRED
};

/** The outcome's name in the log. */
const char *lmn_heartbeat_outcome_name(enum lmn_heartbeat_outcome outcome);

/** The HTTP status that the worker gets; the only place that decides it. */
int lmn_heartbeat_outcome_status(enum lmn_heartbeat_outcome outcome);

#endif
