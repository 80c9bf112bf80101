/** @file
 * Where an owner stands with the standby that holds a replica of its partition. Owner:
 * replication/stream.h; under the core's lock. */
#ifndef LMN_STATE_REPLICATION_STATE_H
#define LMN_STATE_REPLICATION_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct lmn_replication_batch;

/** Phases of a stream. From CATCHING_UP on starts wait until they are acknowledged. */
enum lmn_replication_phase {
    LMN_STREAM_NONE,
    LMN_STREAM_SNAPSHOT,    /**< all machines are sent */
    LMN_STREAM_CATCHING_UP, /**< what has changed since is sent, while starts wait */
    LMN_STREAM_JOINING,     /**< the record that names the standby is being written */
    LMN_STREAM_IN_SYNC,
    LMN_STREAM_REMOVING, /**< the standby is being removed from the record */
};

/** The stream from an owner to its standby. */
struct lmn_replication_stream {
    enum lmn_replication_phase phase;
    int standby_index;              /**< member index of the standby */
    uint64_t standby_lease;         /**< its lease when the stream began */
    uint64_t id;                    /**< the epoch and a count */
    uint64_t next_batch_number;     /**< of the batch that is next */
    uint64_t log_position;          /**< starts so far; never set back */
    uint64_t acknowledged_position; /**< all starts up to here are acknowledged */
    uint64_t join_position; /**< must be acknowledged before the record is written */
    uint64_t
        join_revision; /**< revision of the record that the write is conditional on */
    struct lmn_replication_batch *batch; /**< sent, or to be sent again; NULL: none */
    bool is_sending;                     /**< the replication thread has the batch */
    unsigned send_failures;              /**< of the batch */
    unsigned consecutive_removals;       /**< streams in a row that failed */
    const char *last_failure_reason;
    struct timespec began_at, last_batch_at, waiting_since, next_step_at,
        record_written_at;
    /** struct lmn_deferred_response: HTTP responses that wait for an acknowledgement
     * (controller/replication_thread.h). */
    GQueue deferred_responses;
    /** Counts since the partition was acquired first. */
    struct lmn_replication_counters {
        uint64_t batches, machines, streams, removals;
    } counters;
};

#endif
