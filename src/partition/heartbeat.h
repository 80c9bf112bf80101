/** @file
 * The request handler of workers' heartbeats.
 *
 * A heartbeat is admitted or refused, updates what is known of its machine, settles the
 * attempts there, and gets a reply with commands, which renews the worker's lease. How
 * messages are laid out stands in heartbeat_message.h, what a heartbeat says of tasks in
 * heartbeat_tasks.h, and which commands follow in heartbeat_reply.h. */
#ifndef LMN_PARTITION_HEARTBEAT_H
#define LMN_PARTITION_HEARTBEAT_H

#include "partition/heartbeat_outcome.h"
#include "state/core_state.h"

/** The starts in a reply that the partition's standby has to acknowledge before the reply
 * may go out (lmn_replication_covers). */
struct lmn_deferred_starts {
    int partition;
    uint64_t epoch;
    /** The reply's starts are those after from_position, up to log_position. A
     * log_position of 0: the reply waits for nothing. */
    uint64_t from_position, log_position;
    char machine[LMN_NAME_SIZE];
    /** Offset in the reply's body where its commands begin. */
    guint commands_offset;
    /** The commands before the new starts, which go out in any case: their bytes and
     * their count. */
    guint bytes_before_starts, commands_before_starts;
};

/** Handles a heartbeat. Takes the core's lock.
 * @param out the reply's body is appended to it, if there is one
 * @param deferred set to what the reply waits for
 * @return HTTP status of the reply */
int lmn_heartbeat_handle(struct lmn_core *core, const void *body, size_t len,
                         GByteArray *out, struct lmn_deferred_starts *deferred,
                         struct timespec now);

/** Takes back the starts of a reply that the standby did not acknowledge in time, and
 * replaces `out` by the reply without them. The core's lock is held by the caller. */
void lmn_heartbeat_withhold_starts(struct lmn_core *core,
                                   const struct lmn_deferred_starts *deferred,
                                   GByteArray *out, struct timespec now);

#endif
