/** @file
 * Backfill reservations: capacity that is kept free for large tasks that have waited for
 * long. A machine runs empty for one, or part of a team's quota share is left alone by
 * the team's other jobs.
 *
 * While small jobs keep coming, each piece of capacity is theirs as it becomes free, and
 * what needs a whole machine, or most of a limit, never begins. As in EASY backfill (D.
 * A. Lifka, "The ANL/IBM SP scheduling system", 1995), small tasks go first as long as no
 * large one has waited too long; unlike there, no end times are predicted. Pure functions
 * of the shared state and the time; the caller holds the core's lock throughout. */
#ifndef LMN_SCHEDULER_RESERVATION_H
#define LMN_SCHEDULER_RESERVATION_H

#include "state/core_state.h"

/** Makes reservations for the partition's starving jobs (scheduler/fair_share.h), and
 * releases those that are not needed any more. */
void lmn_update_reservations(struct lmn_core *core, struct lmn_partition *partition,
                             struct timespec now);

/** Reserves part of the team's quota share for another partition, which lacks that much
 * for one task, until it can be transferred.
 * @param cpus processors, and gpus: GPUs, that the other partition asks for at least */
void lmn_reserve_quota_for_partition(struct lmn_partition *partition, int team,
                                     double cpus, double gpus, struct timespec now);

#endif
