/* How the product's messages enter a digest (digest.h), for all simulations alike. */
#ifndef LMN_TESTS_DIGEST_MESSAGES_H
#define LMN_TESTS_DIGEST_MESSAGES_H

#include "digest/digest.h"
#include "replication/batch.h"
#include "replication/replica.h"
#include "kv_client/kv_client.h"

/* A field: enumerators of the product by fixed names, not by their numbers. */
void digest_outcome(enum lmn_txn_outcome outcome);
/* A message: the transaction's conditions and changes, in order. Further fields may
 * follow. */
void digest_transaction(const char *kind, struct timespec now,
                        const struct lmn_txn *transaction);
/* A message: a batch from an owner to its standby, and the answer if it was heard. */
void digest_batch(int from, int to, struct timespec now,
                  const struct lmn_replication_batch *batch, bool heard,
                  enum lmn_replica_result answer);

#endif
