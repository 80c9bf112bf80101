/** @file
 * Replication between controllers: the threads that send an owner's batches to its
 * standbys, and the receipt of other owners' batches. What is sent, and what a batch
 * changes, is decided in replication/. */
#ifndef LMN_CONTROLLER_REPLICATION_THREAD_H
#define LMN_CONTROLLER_REPLICATION_THREAD_H

#include "state/core_state.h"
#include "controller_rpc.h"

/** Starts a thread for each partition, which works while this controller owns it: a
 * standby that does not answer delays the replication of no other partition. */
void lmn_replication_start(struct lmn_core *core);

/** Applies a batch of another owner to the replica here. Takes the core's lock.
 * @return an enum lmn_replica_result, as it is sent back */
u_int lmn_replication_receive(struct lmn_core *core,
                              const lmn_rpc_replication_batch *message);

#endif
