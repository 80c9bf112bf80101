/** @file
 * Replication of a partition's owner state to a standby: the owner's side.
 *
 * This is primary-backup replication with a recorded configuration, after PacificA (Lin
 * and others, 2008). The record b/P names the standby that is in sync. While it names
 * one, no task start goes out before that standby has acknowledged it; to go on without
 * the standby, the owner must first remove it from the record. A standby that the record
 * names when the owner fails therefore knows every task that may be on a machine, and can
 * take over without asking the machines. The whole argument: docs/design/failover.md.
 *
 * A stream is a state machine (enum lmn_replication_phase). lmn_replication_next_step
 * makes every transition but those of a reply, which lmn_replication_batch_sent makes:
 *
 *     phase        on                                             next phase
 *     NONE         a ready owner with little load finds a member  SNAPSHOT
 *     SNAPSHOT     at least one batch is acknowledged, and what   CATCHING_UP
 *                  is left fits in half a batch
 *     CATCHING_UP  every start up to this point is acknowledged   JOINING
 *     JOINING      the watch cache shows the record that names    IN_SYNC
 *                  this stream
 *     IN_SYNC      the preferred standby is about to return       REMOVING
 *     REMOVING     the watch cache shows a record that no longer  NONE
 *                  names this stream
 *
 *     failure: the standby is suspected, has restarted, refuses, or does not acknowledge,
 *     or the operator has turned standbys off
 *     SNAPSHOT, CATCHING_UP                                       NONE
 *     JOINING, IN_SYNC                                            REMOVING
 *     any          lmn_replication_reset: ownership won or lost   NONE
 *
 * From CATCHING_UP on, starts wait for their acknowledgement. From JOINING on the record
 * may name the standby, so that only REMOVING leads back to NONE.
 *
 * The functions work on the shared state and a passed-in time; they do no I/O, which is
 * the replication thread's (controller/replication_thread.h). The caller holds the core's
 * lock throughout. Which starts wait is in replication/start_gate.h, the choice of a
 * standby in replication/replica_choice.h, the standby's side in replication/replica.h.
 */
#ifndef LMN_REPLICATION_STREAM_H
#define LMN_REPLICATION_STREAM_H

#include "replication/batch.h"
#include "replication/replica.h"

/** After how many seconds without an acknowledgement the standby is removed. */
extern const double LMN_REPLICATION_TIMEOUT_S;

/** What the replication thread has to do next. */
enum lmn_replication_step {
    /** Wait for the given time, or until the partition's replication.due is signalled. */
    LMN_REPLICATION_WAIT,
    /** Send the batch, and report its outcome by lmn_replication_batch_sent. */
    LMN_REPLICATION_SEND,
    /** Write the transaction. Its outcome is taken from the watch cache. */
    LMN_REPLICATION_WRITE,
};

/** Advances the stream and returns what is due.
 *
 * @param batch set for SEND; it stays the stream's until lmn_replication_batch_sent
 * @param txn set for WRITE; the caller sends and frees it
 * @param wait_s set to the time to wait, for WAIT */
enum lmn_replication_step lmn_replication_next_step(struct lmn_core *core,
                                                    struct lmn_partition *partition,
                                                    struct timespec now,
                                                    struct lmn_replication_batch **batch,
                                                    struct lmn_txn **txn, double *wait_s);

/** Reports the outcome of a batch. If the stream has ended since it was handed out, or
 * the partition was lost, the batch is only freed.
 *
 * @param answered false if no reply came; then `result` is not used */
void lmn_replication_batch_sent(struct lmn_core *core, struct lmn_partition *partition,
                                struct lmn_replication_batch *batch, bool answered,
                                enum lmn_replica_result result, struct timespec now);

/** Ends the stream because the partition was lost, or has just become ours. The backoff
 * of earlier failures is cleared. */
void lmn_replication_reset(struct lmn_core *core, struct lmn_partition *partition);

/** Frees what a partition holds as an owner's stream and as a standby's replica. */
void lmn_replication_clear(struct lmn_partition *partition);

/** The phase's name in logs and in the status page; operators match on these words. */
const char *lmn_replication_phase_name(enum lmn_replication_phase phase);

#endif
