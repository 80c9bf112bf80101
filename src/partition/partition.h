/** @file
 * The ownership of a partition: what happens when this controller acquires or loses it,
 * and when its inherited tasks may start. Who should own it stands in partition_claim.h.
 * The core's lock is held by the caller throughout. */
#ifndef LMN_PARTITION_PARTITION_H
#define LMN_PARTITION_PARTITION_H

#include "state/core_state.h"

/** The partition that a machine belongs to: a fixed function of its name. */
int lmn_partition_for_machine(const char *machine_name, int partition_count);

/** The watch cache shows that this controller owns the partition: begins a new epoch,
 * with all that is known of the machines and tasks forgotten, or taken over from a
 * replica. */
void lmn_partition_begin_ownership(struct lmn_core *core, struct lmn_partition *partition,
                                   struct timespec now);

/** This controller does not own the partition any more. What it knew is kept as a replica
 * of its own, in case it gets the partition back.
 * @param why for the log */
void lmn_partition_end_ownership(struct lmn_core *core, struct lmn_partition *partition,
                                 const char *why);

/** Checks whether all inherited machines are accounted for, and assigns the tasks that
 * may start. Inherited tasks wait until each machine that may hold them is accounted for.
 */
void lmn_partition_check_ready(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now);

/** Whether the partition's preferred owner stands in the zone. */
bool lmn_preferred_owner_is_in_zone(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    const char *zone);

#endif
