/* Adds the product's messages to a digest (digest.h), in the same way for all
 * simulations. */
#ifndef LMN_TESTS_DIGEST_MESSAGES_H
#define LMN_TESTS_DIGEST_MESSAGES_H

#include "digest/digest.h"
#include "replication/batch.h"
#include "replication/replica.h"
#include "kv_client/kv_client.h"

/* Adds a field: each enumerator has a fixed text, so that its number may change. */
void digest_outcome(enum lmn_txn_outcome outcome);
/* Adds a message: the conditions and operations of the transaction, in order. The
 * caller may add fields after it. */
void digest_transaction(const char *kind, struct timespec now,
                        const struct lmn_txn *transaction);
/* Adds a message: a batch from an owner to its standby, and the standby's answer if
 * the owner has received it. */
void digest_batch(int from, int to, struct timespec now,
                  const struct lmn_replication_batch *batch, bool heard,
                  enum lmn_replica_result answer);

#endif
