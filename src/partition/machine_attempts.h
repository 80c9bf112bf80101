/** @file
 * The attempts that are or may be on a machine, as known to the owner of its partition.
 * The caller holds the core's lock. */
#ifndef LMN_PARTITION_MACHINE_ATTEMPTS_H
#define LMN_PARTITION_MACHINE_ATTEMPTS_H

#include "state/core_state.h"

/** Whether the machine can be returned without loss: no attempt is on it, and the results
 * of all its ended attempts are recorded in the key-value store. */
bool lmn_machine_is_empty(const struct lmn_machine *machine);

/** Removes an attempt that is proven not to be on the machine, and requeues its task
 * unless the attempt had ended.
 * @param position index in machine->attempts; the array's last element is moved there
 * @param reason what proves it */
void lmn_attempt_remove_absent(struct lmn_core *core, struct lmn_machine *machine,
                               guint position, enum lmn_absence_reason reason,
                               struct timespec now);

/** Records that a worker names an attempt which this owner has started and removed:
 * counts it, and logs why it was thought to be gone. */
void lmn_attempt_record_reappeared(struct lmn_core *core,
                                   const struct lmn_machine *machine,
                                   const struct lmn_attempt *attempt);

#endif
