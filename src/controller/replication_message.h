/** @file
 * Replication batches as messages (controller_rpc.x). Pure functions: no lock, no I/O. */
#ifndef LMN_CONTROLLER_REPLICATION_MESSAGE_H
#define LMN_CONTROLLER_REPLICATION_MESSAGE_H

#include "replication/batch.h"
#include "controller_rpc.h"

/** @return a batch of its own, to be freed with lmn_replication_batch_free */
struct lmn_replication_batch *
lmn_replication_message_decode(const lmn_rpc_replication_batch *message);
/** Describes a batch; names remain the batch's, which must outlive the message.
 * @param machines room for LMN_REPLICATION_BATCH_MACHINES, all zero */
lmn_rpc_replication_batch
lmn_replication_message_encode(const struct lmn_replication_batch *batch,
                               lmn_rpc_machine *machines);
/** Frees what lmn_replication_message_encode has allocated. */
void lmn_replication_message_clear(lmn_rpc_replication_batch *message);

#endif
