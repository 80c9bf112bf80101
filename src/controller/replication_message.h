/** @file
 * Converts replication batches to and from RPC messages (controller_rpc.x). Pure
 * functions without locks or I/O. */
#ifndef LMN_CONTROLLER_REPLICATION_MESSAGE_H
#define LMN_CONTROLLER_REPLICATION_MESSAGE_H

#include "replication/batch.h"
#include "controller_rpc.h"

/** Copies a message into a new batch.
 * @return to be freed with lmn_replication_batch_free */
struct lmn_replication_batch *
lmn_replication_message_decode(const lmn_rpc_replication_batch *message);
/** Makes the message for a batch. The message points to the batch's strings, so that the
 * batch must outlive it.
 * @param machines room for LMN_REPLICATION_BATCH_MACHINES entries, initialized with
 * zeros; must outlive the message
 * @return to be freed with lmn_replication_message_clear */
lmn_rpc_replication_batch
lmn_replication_message_encode(const struct lmn_replication_batch *batch,
                               lmn_rpc_machine *machines);
/** Frees the memory that lmn_replication_message_encode has allocated. */
void lmn_replication_message_clear(lmn_rpc_replication_batch *message);

#endif
