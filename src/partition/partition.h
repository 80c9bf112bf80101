/* Who owns which partition, under what term. The lock is held. */
#ifndef LMN_PARTITION_PARTITION_H
#define LMN_PARTITION_PARTITION_H

#include "state/core_state.h"

int lmn_partition_for_machine(const char *machine, int nparts);
void lmn_partition_own(struct lmn_core *core, struct lmn_partition *partition,
                       struct timespec now);
void lmn_partition_lose(struct lmn_core *core, struct lmn_partition *partition,
                        const char *why);
/* All inherited machines accounted for? Then the inherited tasks may start. */
void lmn_partition_check_ready(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now);
/* Whether the member that holds the partition by default stands in the zone. */
bool lmn_preferred_owner_is_in_zone(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    const char *zone);
/* Who would own it if its owner were judged now: the first in order that is trusted; -1:
 * nobody. */
int lmn_partition_next_owner(const struct lmn_core *core,
                             const struct lmn_partition *partition, struct timespec now);
/* Whether this node should try to own the partition now. */
bool lmn_partition_should_claim(const struct lmn_core *core,
                                const struct lmn_partition *partition,
                                struct timespec now);
/* The transaction that claims it: the owner's key and a higher term, both conditional;
 * and where the owner is judged, conditional on its incarnation. */
struct lmn_txn *lmn_partition_claim(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    uint64_t lease);
/* The same write by an owner that gives it to another member: conditional on that one's
 * incarnation, and hanging on its lease. */
struct lmn_txn *lmn_partition_transfer(const struct lmn_core *core,
                                       const struct lmn_partition *partition,
                                       int successor);

#endif
