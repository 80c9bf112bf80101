/* The thread that holds this node's lease, and with it claims partitions, gives them, and
 * says whom it suspects. */
#ifndef LMN_PARTITION_OWNERSHIP_H
#define LMN_PARTITION_OWNERSHIP_H

#include "state/core_state.h"

/* Each returns the transaction that is due, to be freed by the caller, or NULL. The lock
 * is held; the lease is this node's. They write events to the log. */
struct lmn_txn *lmn_ownership_refutation(const struct lmn_core *core, uint64_t lease,
                                         struct timespec now);
/* This node's record, whenever the mirror does not show it as it should be: a record of
 * an earlier life that was carried out late, and removed with that one's lease, once took
 * the present one's place for good, and nobody counted on the node any more. */
struct lmn_txn *lmn_ownership_announce(struct lmn_core *core, uint64_t lease,
                                       struct timespec now);
void lmn_ownership_announced(struct lmn_core *core,
                             enum lmn_txn_outcome r); /* what came of it */
bool lmn_ownership_is_announced(const struct lmn_core *core, uint64_t lease);
/* Each suspicion is written once, tied to our lease, so that none outlives us. */
struct lmn_txn *lmn_ownership_suspicion(struct lmn_core *core, int member_index,
                                        uint64_t lease, struct timespec now);
struct lmn_txn *lmn_ownership_claim(struct lmn_core *core, int id, uint64_t lease,
                                    struct timespec now);
/* A partition goes back to the member that holds it by default once that one has earned
 * it; all go to others while this node does not hear its workers. From then on nothing is
 * started there; lmn_ownership_transferred tells what became of it. */
struct lmn_txn *lmn_ownership_transfer(struct lmn_core *core, int id, int *successor,
                                       struct timespec now);
void lmn_ownership_transferred(struct lmn_core *core, int id, enum lmn_txn_outcome r,
                               struct timespec now);

void *lmn_ownership_thread(void *core);

#endif
