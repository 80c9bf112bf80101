/** @file
 * Work stealing between the machines of one partition.
 *
 * All queues of a partition belong to one controller, so a steal only moves queue
 * segments in memory and writes nothing to the key-value store. Steals between partitions
 * are in scheduler/work_stealing.h. The caller holds the core's lock. */
#ifndef LMN_SCHEDULER_LOCAL_STEALING_H
#define LMN_SCHEDULER_LOCAL_STEALING_H

#include "state/core_state.h"

/** Steals tasks for the machine: takes a random sample of queues, chooses the one with
 * the most tasks that the machine could start, and moves a share of these into the
 * machine's queue. Does nothing before the end of the machine's steal interval, which
 * doubles with each failed steal and is reset by a successful one. Begins a scan
 * (scheduler/queue_scan.h).
 * @return whether any task was moved */
bool lmn_steal_for_machine(struct lmn_core *core, struct lmn_machine *machine,
                           struct timespec now);

#endif
