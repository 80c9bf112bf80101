/** @file
 * Backfill reservations: keep capacity free for large tasks that have waited for long. A
 * reserved machine starts no tasks of other jobs; reserved quota is not available to the
 * team's other jobs.
 *
 * While small jobs keep arriving, they take all capacity as it becomes free, and a task
 * that needs a whole machine, or most of a quota limit, never starts. As in EASY backfill
 * (D. A. Lifka, "The ANL/IBM SP scheduling system", 1995), small tasks may start before a
 * large one until it has waited too long; unlike EASY, this does not predict when tasks
 * end. Depends only on the core's state and the time. The caller holds the core's lock.
 */
#ifndef LMN_SCHEDULER_RESERVATION_H
#define LMN_SCHEDULER_RESERVATION_H

#include "state/core_state.h"

/** Makes reservations for the partition's starving jobs (scheduler/fair_share.h), and
 * releases reservations that have expired or are no longer needed. */
void lmn_update_reservations(struct lmn_core *core, struct lmn_partition *partition,
                             struct timespec now);

/** Reserves part of the team's quota share for another partition, which needs it to start
 * one task, until it can be transferred.
 * @param cpus least processors that the other partition requests
 * @param gpus least GPUs that the other partition requests */
void lmn_reserve_quota_for_partition(struct lmn_partition *partition, int team,
                                     double cpus, double gpus, struct timespec now);

#endif
