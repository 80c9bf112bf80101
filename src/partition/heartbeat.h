/** @file
 * The request handler for workers' heartbeats.
 *
 * The handler accepts or refuses a heartbeat. For an accepted one it updates the state of
 * the machine, reconciles the attempts on the machine with the heartbeat's task list, and
 * writes a reply with commands. The reply renews the worker's lease.
 *
 * heartbeat_message.h encodes and decodes the messages, heartbeat_tasks.h applies the
 * task list, and heartbeat_reply.h decides on the commands. */
#ifndef LMN_PARTITION_HEARTBEAT_H
#define LMN_PARTITION_HEARTBEAT_H

#include "partition/heartbeat_outcome.h"
#include "state/core_state.h"

/** The start commands of a reply that the partition's standby has to acknowledge before
 * the reply is sent (lmn_replication_allows_starts_up_to). */
struct lmn_deferred_starts {
    int partition;
    uint64_t epoch;         /**< of the partition's ownership */
    uint64_t fencing_token; /**< in the reply */
    /** Positions in the replication log: the reply's starts are the entries after
     * from_position, up to and including log_position. If log_position is 0, the reply
     * is sent without waiting. */
    uint64_t from_position, log_position;
    char machine[LMN_NAME_SIZE];
    /** Offset in bytes of the first command in the reply's body. */
    guint commands_offset;
    /** Size and number of the commands that precede the new starts. These commands are
     * sent whether or not the standby acknowledges. */
    guint bytes_before_starts, commands_before_starts;
};

/** Handles a heartbeat. Acquires the core's lock.
 * @param out the reply's body is appended to it; some outcomes have no body
 * @param deferred set to the starts that the standby has to acknowledge
 * @return HTTP status of the reply */
int lmn_heartbeat_handle(struct lmn_core *core, const void *body, size_t len,
                         GByteArray *out, struct lmn_deferred_starts *deferred,
                         struct timespec now);

/** Cancels the starts of a reply that the standby did not acknowledge in time, and
 * replaces the content of `out` with a reply that omits them. The caller holds the core's
 * lock. */
void lmn_heartbeat_withhold_starts(struct lmn_core *core,
                                   const struct lmn_deferred_starts *deferred,
                                   GByteArray *out, struct timespec now);

#endif
