/** @file
 * Queued tasks for which no machine has had free capacity for long, although their team's
 * quota would let them start.
 *
 * Machines can have enough free capacity in the sum, and yet none of them for a task that
 * is larger than each piece, or that may run on none of them. Only the owner of a
 * partition sees that, so each owner lists such tasks, the lists are sent to all members,
 * and the autoscaler provisions machines for them. The lists decide nothing else, so one
 * that is late or lost does no harm. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_UNSCHEDULABLE_H
#define LMN_SCHEDULER_UNSCHEDULABLE_H

#include "state/core_state.h"

/** Lists the unschedulable tasks of a partition of this controller anew; does nothing if
 * it did so within the last second, or does not own the partition. */
void lmn_unschedulable_update(struct lmn_core *core, struct lmn_partition *partition,
                              struct timespec now);

/** Replaces the list of a partition that another member owns, as that member sent it.
 * Ignored if this controller owns the partition or knows of a later epoch.
 * @param epoch of the sender's ownership
 * @param tasks struct lmn_unschedulable_tasks */
void lmn_unschedulable_receive(struct lmn_partition *partition, uint64_t epoch,
                               const GArray *tasks, struct timespec now);

/** Lists the unschedulable tasks of all partitions, as far as this controller knows, the
 * longest wait first.
 * @return pointers to struct lmn_unschedulable_tasks of the partitions; the caller frees
 * the array */
GPtrArray *lmn_list_unschedulable(const struct lmn_core *core, struct timespec now);

/** Seconds for which queued tasks of the job have been waiting for a machine with free
 * capacity, as far as this controller knows; 0: none waits for long. */
double lmn_job_unschedulable_s(const struct lmn_core *core, const struct lmn_job *job,
                               struct timespec now);

#endif
