/** @file
 * The attempts that are, or may be, on a machine, as the owner of its partition knows
 * them. The core's lock is held by the caller throughout. */
#ifndef LMN_PARTITION_MACHINE_ATTEMPTS_H
#define LMN_PARTITION_MACHINE_ATTEMPTS_H

#include "state/core_state.h"

/** Whether nothing would be lost with the machine: no attempt is on it, and no result is
 * there alone because its range's record does not name it as done yet. */
bool lmn_machine_is_empty(const struct lmn_machine *machine);

/** Removes the attempt at that position of machine->attempts, which is proven not to be
 * on the machine; its task is queued again unless the attempt had ended. The last attempt
 * takes its position. */
void lmn_attempt_remove_absent(struct lmn_core *core, struct lmn_machine *machine,
                               guint position, struct timespec now);

#endif
