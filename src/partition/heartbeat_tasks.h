/** @file
 * What a heartbeat, or the answer to a push or a probe, says of the tasks on a machine.
 *
 * It changes the machine's attempts and the states of their tasks. It does not decide
 * what the worker is commanded to do: that is heartbeat_reply.h. The core's lock is held
 * by the caller throughout. */
#ifndef LMN_PARTITION_HEARTBEAT_TASKS_H
#define LMN_PARTITION_HEARTBEAT_TASKS_H

#include "partition/heartbeat_message.h"
#include "state/core_state.h"

/** Applies each entry of the task list, and marks the attempts that it names
 * (in_last_heartbeat). Attempts that it does not name are left to the caller, who knows
 * whether their absence proves anything. */
void lmn_heartbeat_apply_tasks(struct lmn_core *core, struct lmn_machine *machine,
                               const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *tasks, struct timespec now);

#endif
