/** @file
 * The outcomes of handling a heartbeat, with the name and HTTP status of each. */
#ifndef LMN_PARTITION_HEARTBEAT_OUTCOME_H
#define LMN_PARTITION_HEARTBEAT_OUTCOME_H

/** The outcome of handling a heartbeat. Only an accepted heartbeat renews the worker's
 * lease. */
enum lmn_heartbeat_outcome {
    LMN_HEARTBEAT_ACCEPTED,
    LMN_HEARTBEAT_REDIRECTED, /**< the reply names another member to contact */
    LMN_HEARTBEAT_MALFORMED,
    LMN_HEARTBEAT_STALLED, /**< this process paused; its partitions may be taken over */
    LMN_HEARTBEAT_STALE_VIEW,   /**< the watch cache is too stale for any reply */
    LMN_HEARTBEAT_NO_OWNER,     /**< no other member is known to redirect the worker to */
    LMN_HEARTBEAT_NEWER_EPOCH,  /**< the worker has seen a successor's epoch already */
    LMN_HEARTBEAT_RETURNED,     /**< the machine was returned to the cloud */
    LMN_HEARTBEAT_TERMINATED,   /**< the cloud has reported the machine as terminated */
    LMN_HEARTBEAT_OUT_OF_ORDER, /**< it or a later heartbeat was handled before */
    /** The lease has expired and the machine's tasks were requeued. Heartbeats are
     * refused until the agent has restarted with a new incarnation. */
    LMN_HEARTBEAT_LEASE_EXPIRED
};

/** The outcome's name in log lines. */
const char *lmn_heartbeat_outcome_name(enum lmn_heartbeat_outcome outcome);

/** The HTTP status of the response to the worker. */
int lmn_heartbeat_outcome_status(enum lmn_heartbeat_outcome outcome);

#endif
