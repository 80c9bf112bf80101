/** @file
 * Counts of what a controller has done since it started, for the status and the metrics.
 * Every module raises its own; under the core's lock. */
#ifndef LMN_STATE_COUNTERS_H
#define LMN_STATE_COUNTERS_H

#include "util/latency.h"

#include <stdint.h>

/** Counts since the start. */
struct lmn_counters {
    uint64_t steal_tries, steals, stolen_tasks;
    uint64_t starts, kills, preempted;
    uint64_t heartbeats, malformed_heartbeats;
    uint64_t status_requests, submissions, refused_requests;
    uint64_t failovers, warm_failovers, cold_failovers;
    uint64_t own_state_failovers; /**< warm ones from what this process knew itself */
    uint64_t moves, moved_tasks;  /**< of ranges between partitions */
    uint64_t
        reconciled_tasks; /**< found queued in no queue by reconciliation, and mended */
    uint64_t tombstones;  /**< cancellations that another controller told of first */
    uint64_t withheld_starts; /**< that the standby did not acknowledge in time */
    uint64_t task_failures;
    uint64_t faulty_jobs, faulty_machines; /**< that were declared faulty */
};

/** Histograms of latencies, seconds. */
struct lmn_latencies {
    struct lmn_latency submission; /**< from a submission to its commit */
    struct lmn_latency start; /**< from a job's acceptance to a task's start command */
    struct lmn_latency replication; /**< that a start waited for its standby */
};

#endif
