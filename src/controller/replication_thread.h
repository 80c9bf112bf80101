/** @file
 * Replication between controllers: threads that send the batches of owned partitions to
 * their standbys, and the receipt of batches from other owners. The modules in
 * replication/ decide what is sent and what a received batch changes. */
#ifndef LMN_CONTROLLER_REPLICATION_THREAD_H
#define LMN_CONTROLLER_REPLICATION_THREAD_H

#include "state/core_state.h"
#include "controller_rpc.h"

/** Starts a thread for each partition, which replicates it while this controller owns it.
 * With separate threads, a standby that does not answer delays the replication of no
 * other partition. */
void lmn_replication_start(struct lmn_core *core);

/** Applies a batch from another owner to this controller's replica. Takes the core's
 * lock.
 * @return the enum lmn_replica_result to send back */
u_int lmn_replication_receive(struct lmn_core *core,
                              const lmn_rpc_replication_batch *message);

#endif
