/** @file
 * Work stealing between the machines of one partition.
 *
 * The queues belong to the same controller, so a steal moves queue segments and writes
 * nothing. Steals between partitions are in scheduler/work_stealing.h. The caller holds
 * the core's lock throughout. */
#ifndef LMN_SCHEDULER_LOCAL_STEALING_H
#define LMN_SCHEDULER_LOCAL_STEALING_H

#include "state/core_state.h"

/** Moves tasks that the machine could start into its queue, from the busiest of a random
 * sample of queues. Does nothing until the machine's steal interval is over, which
 * doubles with each failure and is reset by success. Begins a scan
 * (scheduler/queue_scan.h).
 * @return whether any task was moved */
bool lmn_steal_for_machine(struct lmn_core *core, struct lmn_machine *machine,
                           struct timespec now);

#endif
