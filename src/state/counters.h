/** @file
 * Event counts since a controller's start, for the status page and the metrics. Each
 * module increments its own counters under the core's lock. */
#ifndef LMN_STATE_COUNTERS_H
#define LMN_STATE_COUNTERS_H

#include "util/latency.h"

#include <stdint.h>

/** Event counts since the controller's start. */
struct lmn_counters {
    uint64_t steal_tries, steals, stolen_tasks;
    uint64_t starts, kills, preempted;
    uint64_t heartbeats, malformed_heartbeats, oversized_requests;
    uint64_t deferred_commands;   /**< that did not fit into a message to a worker */
    uint64_t raised_tokens;       /**< at a machine, to clear attempts there */
    uint64_t reappeared_attempts; /**< named by a worker after they were forgotten here */
    uint64_t status_requests, submissions, refused_requests;
    uint64_t failovers, warm_failovers, cold_failovers;
    uint64_t
        own_state_failovers; /**< warm failovers to the member that was owner before */
    uint64_t moves, moved_tasks; /**< of ranges between partitions */
    uint64_t reconciled_tasks;   /**< queued tasks that reconciliation found in no queue
                                    and queued again */
    uint64_t
        tombstones; /**< cancellations learned from another controller before the store */
    uint64_t withheld_starts; /**< starts that the standby did not acknowledge in time */
    uint64_t task_failures;
    uint64_t faulty_jobs, faulty_machines; /**< times that one was declared faulty */
};

/** Latency histograms, in seconds. */
struct lmn_latencies {
    struct lmn_latency submission; /**< from a submission to its commit */
    struct lmn_latency start; /**< from a job's acceptance to a task's start command */
    struct lmn_latency
        replication; /**< wait of a start for the standby's acknowledgement */
};

#endif
