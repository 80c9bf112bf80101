/** @file
 * The maintenance loop of an owner: expired leases, machines to be returned, zones that
 * are cut off, and the reconciliation of queues with task states. The core's lock is held
 * by the caller throughout. */
#ifndef LMN_PARTITION_MAINTENANCE_H
#define LMN_PARTITION_MAINTENANCE_H

#include "state/core_state.h"

/** One round of maintenance over all owned partitions. It may be called at any rate: with
 * many machines it returns at once if the last round was too recent. */
void lmn_maintenance_run(struct lmn_core *core, struct timespec now);

/** The cloud has said that the machine is gone: its tasks are queued again, and it is
 * freed unless a record still names it. */
void lmn_machine_handle_termination(struct lmn_core *core, struct lmn_machine *machine,
                                    struct timespec now);

#endif
