/** @file
 * The periodic maintenance of owned partitions: it requeues the tasks of machines whose
 * leases have expired, drains machines that are to be returned to the cloud, detects
 * zones that are cut off, and reconciles the queues with the task states. The core's lock
 * is held by the caller throughout. */
#ifndef LMN_PARTITION_MAINTENANCE_H
#define LMN_PARTITION_MAINTENANCE_H

#include "state/core_state.h"

/** Runs one round of maintenance over all owned partitions. It may be called at any rate:
 * with more than 1000 owned machines it returns at once if the last round is too
 * recent. */
void lmn_maintenance_run(struct lmn_core *core, struct timespec now);

/** Handles the termination of a machine, which the cloud has confirmed: requeues its
 * tasks, and frees it unless a record in the key-value store still names it. */
void lmn_machine_handle_termination(struct lmn_core *core, struct lmn_machine *machine,
                                    struct timespec now);

#endif
