/** @file
 * Replication of a partition's owner state to a standby: the owner's side.
 *
 * This is primary-backup replication with a recorded configuration, after PacificA (Lin
 * and others, 2008). The record b/P in the key-value store names the standby
 * that is in sync. While it names a standby, no task start is sent to a worker before the
 * standby has acknowledged it; to continue without the standby, the owner must first
 * remove the standby from the record. The standby that the record names when the owner
 * fails therefore knows every task that may be on a machine, and can take over without
 * waiting for the machines' heartbeats. docs/design/failover.md gives the full argument.
 *
 * A stream is a state machine (enum lmn_replication_phase). lmn_replication_next_step
 * makes all transitions except those on a standby's reply, which
 * lmn_replication_batch_sent makes:
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
 * From CATCHING_UP on, starts wait for their acknowledgement. From JOINING on, the record
 * may name the standby, so that the stream has to pass through REMOVING to return to
 * NONE.
 *
 * The functions work on the shared state and a passed-in time; the replication thread
 * does the I/O (controller/replication_thread.h). The caller holds the core's lock during
 * each call. replication/start_gate.h holds starts back, replication/replica_choice.h
 * chooses the standby, and replication/replica.h is the standby's side.
 */
#ifndef LMN_REPLICATION_STREAM_H
#define LMN_REPLICATION_STREAM_H

#include "replication/batch.h"
#include "replication/replica.h"

/** The standby is removed after waiting this many seconds for an acknowledgement. */
extern const double LMN_REPLICATION_TIMEOUT_S;

/** What the replication thread has to do next. */
enum lmn_replication_step {
    /** Wait for the given time, or until the partition's replication.due is signalled. */
    LMN_REPLICATION_WAIT,
    /** Send the batch, and report its outcome with lmn_replication_batch_sent. */
    LMN_REPLICATION_SEND,
    /** Write the transaction. The watch cache will show its outcome. */
    LMN_REPLICATION_WRITE,
};

/** Advances the stream and returns the step that is due.
 *
 * @param batch set for SEND; owned by the stream until lmn_replication_batch_sent
 * @param txn set for WRITE; the caller sends and frees it
 * @param wait_s set for WAIT: how many seconds to wait */
enum lmn_replication_step lmn_replication_next_step(struct lmn_core *core,
                                                    struct lmn_partition *partition,
                                                    struct timespec now,
                                                    struct lmn_replication_batch **batch,
                                                    struct lmn_txn **txn, double *wait_s);

/** Reports the outcome of sending a batch. If the stream has ended since the batch was
 * returned by lmn_replication_next_step, the batch is only freed.
 *
 * @param answered whether a reply came; if not, `result` is ignored */
void lmn_replication_batch_sent(struct lmn_core *core, struct lmn_partition *partition,
                                struct lmn_replication_batch *batch, bool answered,
                                enum lmn_replica_result result, struct timespec now);

/** Ends the stream because this controller has lost or just gained the partition. The
 * backoff after earlier failures is cleared. */
void lmn_replication_reset(struct lmn_core *core, struct lmn_partition *partition);

/** Frees the batch of the partition's stream, and the partition's replica. */
void lmn_replication_clear(struct lmn_partition *partition);

/** Returns the phase's name for logs and the status page; operators match on these names.
 */
const char *lmn_replication_phase_name(enum lmn_replication_phase phase);

#endif
