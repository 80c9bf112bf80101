/** @file
 * Progress of a partition owner's replication to its standby. Owner:
 * replication/stream.h; under the core's lock. */
#ifndef LMN_STATE_REPLICATION_STATE_H
#define LMN_STATE_REPLICATION_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_replication_batch;

/** Phases of a stream. From LMN_STREAM_CATCHING_UP on, a start is sent to the worker only
 * after the standby has acknowledged it. */
enum lmn_replication_phase {
    LMN_STREAM_NONE,
    LMN_STREAM_SNAPSHOT,    /**< sending all machines */
    LMN_STREAM_CATCHING_UP, /**< sending the changes since the snapshot */
    LMN_STREAM_JOINING,     /**< writing the standby's record */
    LMN_STREAM_IN_SYNC,
    LMN_STREAM_REMOVING, /**< removing the standby from its record */
};

/** The stream from an owner to its standby. */
struct lmn_replication_stream {
    enum lmn_replication_phase phase;
    int standby_index;              /**< member index of the standby */
    uint64_t standby_lease;         /**< its lease when the stream began */
    uint64_t id;                    /**< made of the epoch and a counter */
    uint64_t next_batch_number;     /**< number of the next batch */
    uint64_t log_position;          /**< number of starts so far; never decreases */
    uint64_t acknowledged_position; /**< all starts up to here are acknowledged */
    uint64_t join_position; /**< must be acknowledged before the standby's record is
                               written */
    uint64_t join_revision; /**< record revision that this write is conditional on */
    struct lmn_replication_batch *batch; /**< sent, or to be resent; NULL: none */
    bool is_sending;               /**< the replication thread is sending the batch */
    unsigned send_failures;        /**< failed sends of the batch */
    unsigned consecutive_removals; /**< consecutive streams that failed */
    const char *last_failure_reason;
    struct timespec began_at, last_batch_at, waiting_since, next_step_at,
        record_written_at;
    /** struct lmn_deferred_response: HTTP responses that wait for an acknowledgement
     * (controller/replication_thread.h). */
    GQueue deferred_responses;
    /** Counts since the partition was first acquired. */
    struct lmn_replication_counters {
        uint64_t batches, machines, streams, removals;
    } counters;
};

#endif
