/** @file
 * The ownership of a partition: what happens when this controller acquires or loses it,
 * and when its inherited tasks may start. Which member should own it is decided in
 * partition_claim.h. The core's lock is held by the caller throughout. */
#ifndef LMN_PARTITION_PARTITION_H
#define LMN_PARTITION_PARTITION_H

#include "state/core_state.h"

/** The id of the partition that a machine belongs to. It depends only on the machine's
 * name and the number of partitions. */
int lmn_partition_for_machine(const char *machine_name, int partition_count);

/** Begins the ownership of a partition, after the watch cache has shown that this
 * controller owns it. The state of its machines and tasks is reset, and then restored
 * from the replica if there is a valid one. */
void lmn_partition_begin_ownership(struct lmn_core *core, struct lmn_partition *partition,
                                   struct timespec now);

/** Ends the ownership of a partition. This controller keeps the state of the partition's
 * machines and tasks as its own replica, in case it acquires the partition again.
 * @param why the reason, for the log */
void lmn_partition_end_ownership(struct lmn_core *core, struct lmn_partition *partition,
                                 const char *why);

/** Checks whether all inherited machines are accounted for, and assigns the tasks that
 * may start. An inherited task waits until every machine that may be running it is
 * accounted for; otherwise it could run twice. */
void lmn_partition_check_ready(struct lmn_core *core, struct lmn_partition *partition,
                               struct timespec now);

/** Whether the partition's preferred owner is a member in the zone. */
bool lmn_preferred_owner_is_in_zone(const struct lmn_core *core,
                                    const struct lmn_partition *partition,
                                    const char *zone);

#endif
